//! A plain service.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::engine::CHILL_NOTICE;
use crate::token::Marker;

/// How a plain service behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time of a call.
    pub time: Duration,
    /// Calls that a cold service bears at once.
    pub cold_bear: usize,
    /// Completed calls after which it bears all.
    pub warm_after: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            time: Duration::from_millis(15),
            cold_bear: 3,
            warm_after: 12,
        }
    }
}

/// What a plain service saw.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// Starts of calls: time, request.
    pub starts: Vec<(Duration, u64)>,
    /// Times that it had more calls at once than a cold service bears.
    pub over_cold: u64,
}

/// One plain service.
#[derive(Debug)]
pub struct Plain {
    settings: Settings,
    /// What it saw.
    pub record: Record,
    boot: u64,
    up: bool,
    leaving: bool,
    running: BTreeMap<u64, Duration>,
    next_call: u64,
    served: u64,
    noticed_at: Duration,
}

impl Plain {
    /// Returns a cold service in its first life.
    pub fn new(settings: Settings, boot: u64) -> Plain {
        Plain {
            settings,
            record: Record::default(),
            boot,
            up: true,
            leaving: false,
            running: BTreeMap::new(),
            next_call: 0,
            served: 0,
            noticed_at: Duration::ZERO,
        }
    }

    /// Returns whether it answers at all.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Returns its life.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Makes it warm.
    pub fn warm_up(&mut self) {
        self.served = self.settings.warm_after;
    }

    /// Makes it cold again without a restart. Nobody can know at once, so more than it bears is
    /// recorded only after a time in which its own reports show it.
    pub fn chill(&mut self, now: Duration) {
        self.served = 0;
        self.noticed_at = now + CHILL_NOTICE;
    }

    /// Says that it is about to go.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Loses all that it holds.
    pub fn crash(&mut self) {
        self.up = false;
        self.running.clear();
    }

    /// Starts a new life.
    pub fn restart(&mut self) {
        let record = std::mem::take(&mut self.record);
        *self = Plain::new(self.settings, self.boot + 1);
        self.record = record;
    }

    /// Starts a call. Returns its number and when it ends, or `None` if it was not run.
    pub fn start(&mut self, now: Duration, marker: &Marker) -> Option<(u64, Duration)> {
        if !self.up || self.leaving {
            return None;
        }
        self.record.starts.push((now, marker.request));
        if marker.poison {
            self.crash();
            return None;
        }
        self.next_call += 1;
        let cold = self.served < self.settings.warm_after;
        let bears = self.settings.cold_bear + usize::try_from(self.served).unwrap_or(0);
        let over = cold && self.running.len() + 1 > bears;
        if over && now >= self.noticed_at {
            self.record.over_cold += 1;
        }
        let time = self.settings.time * if over { 10 } else { 1 };
        let id = self.boot << 32 | self.next_call;
        self.running.insert(id, now + time);
        Some((id, now + time))
    }

    /// Ends a call. Returns whether it was still running.
    pub fn end(&mut self, call: u64) -> bool {
        let found = self.running.remove(&call).is_some();
        if found {
            self.served += 1;
        }
        found
    }

    /// Returns its report.
    pub fn load(&self) -> Option<crate::engine::Load> {
        self.up.then(|| crate::engine::Load {
            boot: self.boot,
            running: self.running.len() as u32,
            served: self.served,
            leaving: self.leaving,
            cold: self.served < self.settings.warm_after,
            ..crate::engine::Load::default()
        })
    }
}
