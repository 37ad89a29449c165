//! Injectable clocks: the system clock, and a manual one for tests.
//!
//! Decision logic takes the time as an argument, and each program reads the time through a
//! [`Clock`] that is passed to it. No other code reads the machine's clock. Tests therefore advance
//! time manually, and a simulation is reproducible from its seed.
//!
//! [`Time`] is a monotonic reading: the [`Duration`] since the clock's origin, which is fixed when
//! the clock is created. Readings of different clocks can't be compared. Times that two instances
//! compare (retention of idempotency keys, the age of a frame) are taken from [`Clock::wall`], with
//! an allowance for skew.
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

/// A monotonic reading: the time since the clock's origin.
pub type Time = Duration;

/// Wall time: the time since the Unix epoch according to the machine.
pub type WallTime = Duration;

/// A source of time.
pub trait Clock: Send + Sync + 'static {
    /// Returns the time since the clock's origin. It never decreases.
    fn now(&self) -> Time;

    /// Returns the time since the Unix epoch. It may jump forwards or backwards.
    fn wall(&self) -> WallTime;
}

/// The machine's monotonic and wall clocks.
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

    fn wall(&self) -> WallTime {
        // A wall clock set before 1970 reads as the epoch.
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}

/// The machine's clock with a wall time that never steps: the wall clock is read once at the start
/// and advanced by the monotonic clock.
///
/// It is meant for machines whose wall clock may jump by seconds in both directions. Times that
/// instances compare, such as the age of a frame, must not jump with it.
#[derive(Clone, Copy, Debug)]
pub struct SteadyWall {
    system: System,
    wall_at_origin: WallTime,
}

impl SteadyWall {
    /// Returns a clock whose origin is the moment of the call.
    pub fn new() -> SteadyWall {
        let system = System::new();
        SteadyWall {
            wall_at_origin: system.wall(),
            system,
        }
    }
}

impl Default for SteadyWall {
    fn default() -> SteadyWall {
        SteadyWall::new()
    }
}

impl Clock for SteadyWall {
    fn now(&self) -> Time {
        self.system.now()
    }

    fn wall(&self) -> WallTime {
        self.wall_at_origin + self.system.now()
    }
}

/// A clock that moves only by [`Manual::advance`], for tests and simulations.
#[derive(Debug)]
pub struct Manual {
    wall_at_origin: WallTime,
    now: Mutex<Time>,
}

impl Manual {
    /// Returns a clock whose monotonic time is zero and whose wall time is `wall_at_origin`.
    pub fn new(wall_at_origin: WallTime) -> Manual {
        Manual {
            wall_at_origin,
            now: Mutex::new(Time::ZERO),
        }
    }

    /// Advances the monotonic and the wall time by a duration.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held this clock's lock.
    pub fn advance(&self, by: Duration) {
        *self.now.lock().expect("the lock is not poisoned") += by;
    }
}

impl Clock for Manual {
    fn now(&self) -> Time {
        *self.now.lock().expect("the lock is not poisoned")
    }

    fn wall(&self) -> WallTime {
        self.wall_at_origin + self.now()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn advancing_a_manual_clock_moves_wall_and_monotonic_time() {
        let clock = Manual::new(Duration::from_secs(10));
        clock.advance(Duration::from_secs(2));
        assert_eq!(clock.now(), Duration::from_secs(2));
        assert_eq!(clock.wall(), Duration::from_secs(12));
    }
}
