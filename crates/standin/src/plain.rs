//! A simulated plain service: calls of a fixed duration, and slow cold starts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::engine::COLD_REPORT_DELAY;
use crate::token::Marker;

/// Performance of a plain service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Duration of a call.
    pub call_duration: Duration,
    /// Concurrent calls that a freshly started service handles without slowing down. Each completed
    /// call raises the limit by one.
    pub cold_concurrency: usize,
    /// Completed calls after which the service is warm and has no such limit.
    pub warm_after: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            call_duration: Duration::from_millis(15),
            cold_concurrency: 3,
            warm_after: 12,
        }
    }
}

/// Events that a plain service records for checks. Restarts keep them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// Start of each call: time, request number.
    pub starts: Vec<(Duration, u64)>,
    /// Number of calls that exceeded the limit of a cold service.
    pub cold_overloads: u64,
}

/// A simulated plain service.
#[derive(Debug)]
pub struct PlainService {
    settings: Settings,
    /// Recorded events.
    pub record: Record,
    boot: u64,
    up: bool,
    leaving: bool,
    running: BTreeMap<u64, Duration>,
    next_call: u64,
    served: u64,
    cold_reported_at: Duration,
}

impl PlainService {
    /// Returns a cold service with a boot id.
    pub fn new(settings: Settings, boot: u64) -> PlainService {
        PlainService {
            settings,
            record: Record::default(),
            boot,
            up: true,
            leaving: false,
            running: BTreeMap::new(),
            next_call: 0,
            served: 0,
            cold_reported_at: Duration::ZERO,
        }
    }

    /// Returns whether the service is running.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Returns the boot id.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Makes the service warm, as if it had completed enough calls.
    pub fn warm_up(&mut self) {
        self.served = self.settings.warm_after;
    }

    /// Makes the service cold again without a restart. Calls above the limit are not recorded for
    /// [`COLD_REPORT_DELAY`], until the load reports show the change.
    pub fn cool_down(&mut self, now: Duration) {
        self.served = 0;
        self.cold_reported_at = now + COLD_REPORT_DELAY;
    }

    /// Announces that the service is about to shut down. It refuses new calls and completes those
    /// it has.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Stops the service and discards all running calls.
    pub fn crash(&mut self) {
        self.up = false;
        self.running.clear();
    }

    /// Restarts the service, cold, with the next boot id. Only the record is kept.
    pub fn restart(&mut self) {
        let record = std::mem::take(&mut self.record);
        *self = PlainService::new(self.settings, self.boot + 1);
        self.record = record;
    }

    /// Starts a call. Returns the call id and the time at which the call ends, or `None` if the
    /// service is down, about to shut down or crashed by this call.
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
        let max_concurrency =
            self.settings.cold_concurrency + usize::try_from(self.served).unwrap_or(0);
        let overloaded = cold && self.running.len() + 1 > max_concurrency;
        if overloaded && now >= self.cold_reported_at {
            self.record.cold_overloads += 1;
        }
        let duration = self.settings.call_duration * if overloaded { 10 } else { 1 };
        let id = self.boot << 32 | self.next_call;
        self.running.insert(id, now + duration);
        Some((id, now + duration))
    }

    /// Completes a call. Returns `false` if the call is no longer running.
    pub fn end(&mut self, call: u64) -> bool {
        let was_running = self.running.remove(&call).is_some();
        if was_running {
            self.served += 1;
        }
        was_running
    }

    /// Returns the load report, or `None` if the service is down.
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
