//! The clock as an interface.
//!
//! Every decision of the system takes the time as an argument, and every program that needs to read
//! the time is given a [`Clock`]. Nothing else reads the machine's clock, so a test moves time by
//! hand and a run with one seed is the same run each time.
//!
//! [`Time`] is a monotonic reading: the [`Duration`] since an origin that the clock fixed when it
//! was made. Readings of two clocks can't be compared. What two instances must compare (retention
//! of idempotency keys, the age of a frame) uses [`Clock::wall`] instead, and allows for skew.
//!
//! ```
//! use std::time::Duration;
//!
//! use clock::Clock;
//! use clock::Manual;
//!
//! let clock = Manual::new(Duration::from_secs(1_700_000_000));
//! clock.advance(Duration::from_millis(250));
//! assert_eq!(clock.now(), Duration::from_millis(250));
//! ```

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// A monotonic reading, as the time since its clock's origin.
pub type Time = Duration;

/// Time since the Unix epoch, as far as the machine knows it.
pub type Wall = Duration;

/// A source of time.
pub trait Clock: Send + Sync + 'static {
    /// Returns the time since the clock's origin. It never goes back.
    fn now(&self) -> Time;

    /// Returns the time since the Unix epoch. It may jump either way.
    fn wall(&self) -> Wall;
}

/// The machine's clock.
#[derive(Clone, Copy, Debug)]
pub struct System {
    origin: Instant,
}

impl System {
    /// Returns a clock whose origin is the moment of the call.
    pub fn new() -> System {
        System {
            origin: Instant::now(),
        }
    }
}

impl Default for System {
    fn default() -> System {
        System::new()
    }
}

impl Clock for System {
    fn now(&self) -> Time {
        self.origin.elapsed()
    }

    fn wall(&self) -> Wall {
        // A machine whose clock stands before 1970 gets the epoch itself.
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}

/// The machine's clock, whose wall time is read once and never steps afterwards.
///
/// Where the time of day may jump by seconds and back, what instances compare (the age of a frame) must
/// not jump with it.
#[derive(Clone, Copy, Debug)]
pub struct Steady {
    system: System,
    start: Wall,
}

impl Steady {
    /// Returns a clock whose origin is the moment of the call.
    pub fn new() -> Steady {
        let system = System::new();
        Steady {
            start: system.wall(),
            system,
        }
    }
}

impl Default for Steady {
    fn default() -> Steady {
        Steady::new()
    }
}

impl Clock for Steady {
    fn now(&self) -> Time {
        self.system.now()
    }

    fn wall(&self) -> Wall {
        self.start + self.system.now()
    }
}

/// A clock that moves only when it is told to.
#[derive(Debug)]
pub struct Manual {
    start: Wall,
    now: Mutex<Time>,
}

impl Manual {
    /// Returns a clock that reads zero, and whose wall time at that reading is `start`.
    pub fn new(start: Wall) -> Manual {
        Manual {
            start,
            now: Mutex::new(Time::ZERO),
        }
    }

    /// Moves the clock on.
    ///
    /// # Panics
    ///
    /// If another thread panicked while it moved this clock.
    pub fn advance(&self, by: Duration) {
        *self.now.lock().expect("no holder panics") += by;
    }
}

impl Clock for Manual {
    fn now(&self) -> Time {
        *self.now.lock().expect("no holder panics")
    }

    fn wall(&self) -> Wall {
        self.start + self.now()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn manual_clock_moves_wall_and_monotonic_together() {
        let clock = Manual::new(Duration::from_secs(10));
        clock.advance(Duration::from_secs(2));
        assert_eq!(clock.now(), Duration::from_secs(2));
        assert_eq!(clock.wall(), Duration::from_secs(12));
    }
}
