//! Bounding the number of log lines.
//!
//! Every decision on a request, and every change of what an instance believes, is one line. Lines about requests that went
//! well are let through up to a rate, so that a flood of requests is no flood of lines; what was left
//! out is counted and said. Lines about requests that went wrong have an allowance of their own, so
//! that many good ones never displace them.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use clock::Time;

/// Lines about good requests in a second. A small instance has some 10 requests a second with five
/// lines each.
const GOOD_RATE: f64 = 100.0;
/// Lines about requests that went wrong in a second.
const BAD_RATE: f64 = 200.0;
/// Seconds of an allowance that can be saved up.
const SAVED_S: f64 = 3.0;
/// Time between two lines that tell how many were left out.
const REPORT_PERIOD: Duration = Duration::from_secs(5);

/// Bounds the number of lines.
#[derive(Debug)]
pub struct LogLimiter {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    good: Allowance,
    bad: Allowance,
    dropped: u64,
    reported: Time,
}

#[derive(Debug)]
struct Allowance {
    rate: f64,
    saved: f64,
    at: Time,
}

impl Allowance {
    fn new(rate: f64) -> Allowance {
        Allowance {
            rate,
            saved: rate * SAVED_S,
            at: Time::ZERO,
        }
    }

    fn take(&mut self, now: Time) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.saved = (self.saved + passed * self.rate).min(self.rate * SAVED_S);
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}

impl Default for LogLimiter {
    fn default() -> LogLimiter {
        LogLimiter {
            inner: Mutex::new(Inner {
                good: Allowance::new(GOOD_RATE),
                bad: Allowance::new(BAD_RATE),
                dropped: 0,
                reported: Time::ZERO,
            }),
        }
    }
}

impl LogLimiter {
    /// Returns whether a line may be written. From time to time it writes how many might not.
    pub fn allows(&self, now: Time, good: bool) -> bool {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let allowance = if good {
            &mut inner.good
        } else {
            &mut inner.bad
        };
        let allowed = allowance.take(now);
        if !allowed {
            inner.dropped += 1;
        }
        if inner.dropped > 0 && now.saturating_sub(inner.reported) >= REPORT_PERIOD {
            log::warn!(dropped = inner.dropped; "log: Lines about requests were left out.");
            inner.dropped = 0;
            inner.reported = now;
        }
        allowed
    }
}
