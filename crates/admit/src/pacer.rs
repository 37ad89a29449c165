//! Spacing of requests at a rate, by the generic cell rate algorithm (ITU-T I.371).

use std::time::Duration;

use clock::Time;

/// Number of requests that may be sent at once after a time without any.
const BURST: f64 = 2.0;
/// Lowest rate, in requests per second. A server that gets no requests can't state that its limit has
/// ended.
const RATE_MIN: f64 = 0.2;

/// The schedule of the requests to one server.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    /// Requests per second.
    rate: f64,
    /// When the next request would be due if all were spaced evenly.
    due: Time,
}

impl Pacer {
    /// Returns a schedule whose first request is due after one interval. Requests that another
    /// instance allowed before are thus not allowed once more.
    pub fn new(now: Time, rate: f64) -> Pacer {
        let rate = rate.max(RATE_MIN);
        Pacer {
            rate,
            due: now + intervals(BURST, rate),
        }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, now: Time, rate: f64) {
        let rate = rate.max(RATE_MIN);
        let scheduled = self.due.saturating_sub(now).as_secs_f64() * self.rate;
        self.due = self.due.min(now) + intervals(scheduled, rate);
        self.rate = rate;
    }

    /// Returns the rate in requests per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the time until the next request may be sent.
    pub fn wait(&self, now: Time) -> Duration {
        (self.due + intervals(1.0, self.rate)).saturating_sub(now + intervals(BURST, self.rate))
    }

    /// Records a request that is sent now, or after [`Pacer::wait`].
    pub fn take(&mut self, now: Time) {
        self.due = self.due.max(now) + intervals(1.0, self.rate);
    }
}

/// Returns the time of a number of intervals at a rate per second.
fn intervals(count: f64, rate: f64) -> Duration {
    Duration::from_secs_f64(count / rate)
}
