//! Limits the rate of log lines.
//!
//! Every decision on a request, and every change of an instance's view of the cluster, is one log
//! line. Lines about successful requests are limited to a rate, so that many requests do not flood
//! the log. Dropped lines are counted, and the count is logged. Lines about failed requests have a
//! limit of their own, so that lines about successful ones never displace them.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use clock::Time;

/// Lines per second about successful requests. A small instance serves about 10 requests per second
/// with five lines each.
const SUCCESS_LINES_PER_S: f64 = 100.0;
/// Lines per second about failed requests.
const FAILURE_LINES_PER_S: f64 = 200.0;
/// Capacity of a token bucket, in seconds of its rate.
const BURST_S: f64 = 3.0;
/// Shortest time between two lines that report the number of dropped lines.
const REPORT_PERIOD: Duration = Duration::from_secs(5);

/// Limits the rate of log lines with two token buckets, for successes and for failures.
#[derive(Debug)]
pub struct LogLimiter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    successes: TokenBucket,
    failures: TokenBucket,
    /// Lines dropped since the last report.
    dropped: u64,
    reported_at: Time,
}

/// A token bucket, in which each token allows one line.
#[derive(Debug)]
struct TokenBucket {
    /// Tokens that are added per second.
    rate: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    fn new(rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            tokens: rate * BURST_S,
            refilled_at: Time::ZERO,
        }
    }

    /// Refills the bucket and takes a token. Returns whether there was one.
    fn take(&mut self, now: Time) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate * BURST_S);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

impl Default for LogLimiter {
    fn default() -> LogLimiter {
        LogLimiter {
            state: Mutex::new(State {
                successes: TokenBucket::new(SUCCESS_LINES_PER_S),
                failures: TokenBucket::new(FAILURE_LINES_PER_S),
                dropped: 0,
                reported_at: Time::ZERO,
            }),
        }
    }
}

impl LogLimiter {
    /// Returns whether a line may be logged, either about a success or about a failure. Also logs
    /// the number of lines dropped since the last report, at most once per [`REPORT_PERIOD`].
    pub fn allows(&self, now: Time, is_success: bool) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = if is_success {
            &mut state.successes
        } else {
            &mut state.failures
        };
        let allowed = bucket.take(now);
        if !allowed {
            state.dropped += 1;
        }
        if state.dropped > 0 && now.saturating_sub(state.reported_at) >= REPORT_PERIOD {
            log::warn!(dropped = state.dropped; "log: Lines about requests were dropped by the rate limit.");
            state.dropped = 0;
            state.reported_at = now;
        }
        allowed
    }
}
