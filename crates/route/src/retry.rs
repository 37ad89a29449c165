//! Retry budgets and backoff.
//!
//! The instances share one budget: retries are a fraction of the requests, and some more in any span of
//! time, over all of them. Each instance has an equal part of what is allowed beyond the fraction. As the
//! parts add up to no more than the whole, the budget holds without a message for each retry, whatever
//! the share of the load that an instance has.

use std::time::Duration;

use clock::Time;

/// Part of the limits that is used. A retry may reach a server although it counts as not sent, or be
/// counted in another window than its request.
const USED_SHARE: f64 = 0.9;
/// Part of an instance's slack that is kept for retries that save what their callers have received.
const RESERVED_SHARE: f64 = 0.25;
/// Upper bound of the backoff before any doubling. Each earlier retry doubles the bound.
const BACKOFF_BASE: Duration = Duration::from_millis(50);
/// Upper bound of any backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Limits of the retries of one pool, over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Number of retries for each request.
    pub ratio: f64,
    /// Number of retries beyond those, in any window.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            ratio: 0.15,
            slack: 100.0,
            window: Duration::from_secs(10),
        }
    }
}

impl Limits {
    /// Returns the part of one of several instances.
    pub fn part(&self, instances: usize) -> Part {
        Part {
            ratio: self.ratio * USED_SHARE,
            slack: self.slack * USED_SHARE / instances.max(1) as f64,
        }
    }
}

/// Limits of the retries of one pool by one instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Number of retries for each request that the instance receives.
    pub ratio: f64,
    /// Number of retries beyond those, in any window.
    pub slack: f64,
}

/// How much depends on a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Weight {
    /// The caller has received nothing, and can be told to come back.
    Light,
    /// The caller would lose what it has received.
    Heavy,
}

/// Retry budget of one pool at one instance: a token bucket that requests fill.
///
/// Every request adds a fraction of a retry, so that retries stay a fraction of the requests even if
/// the pool fails completely (after "The Site Reliability Workbook", chapter on overload). A bucket
/// that holds at most the slack allows no more than the slack and that fraction in any window.
///
/// The process that ran before under the same name may have spent its slack just now. A new budget is
/// therefore empty, and is filled when a window has passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    retries: f64,
    /// When the slack is added, or `None` if it has been.
    opens_at: Option<Time>,
    /// Retries spent before that.
    spent_early: f64,
}

impl Budget {
    /// Returns an empty budget, to which the slack is added at a given time.
    pub fn new(opens_at: Time) -> Budget {
        Budget {
            retries: 0.0,
            opens_at: Some(opens_at),
            spent_early: 0.0,
        }
    }

    /// Adds the share of a new request to the budget.
    pub fn earn(&mut self, now: Time, part: &Part) {
        self.update(now, part);
        self.retries = (self.retries + part.ratio).min(capacity(part));
    }

    /// Takes one retry from the budget. Returns `false` if none is left for a retry of this weight.
    pub fn spend(&mut self, now: Time, part: &Part, weight: Weight) -> bool {
        self.update(now, part);
        let reserved = match weight {
            Weight::Light => (part.slack * RESERVED_SHARE).min(capacity(part) - 1.0),
            Weight::Heavy => 0.0,
        };
        let allowed = self.retries >= 1.0 + reserved;
        if allowed {
            self.retries -= 1.0;
            self.spent_early += 1.0;
        }
        allowed
    }

    /// Gives back a retry that was not sent.
    pub fn refund(&mut self, part: &Part) {
        self.retries = (self.retries + 1.0).min(capacity(part));
        self.spent_early = (self.spent_early - 1.0).max(0.0);
    }

    /// Applies the limits in force, and adds the slack when it is due, less what was spent before.
    fn update(&mut self, now: Time, part: &Part) {
        if self.opens_at.take_if(|opens_at| now >= *opens_at).is_some() {
            self.retries = self.retries.max(part.slack - self.spent_early);
        }
        self.retries = self.retries.min(capacity(part));
    }
}

/// Returns the number of retries that a budget holds at most. With less than one it could allow none.
fn capacity(part: &Part) -> f64 {
    part.slack.max(1.0)
}

/// Returns the delay before a retry: exponential backoff with full jitter. `retries` is the number
/// of doublings, of which at most six count.
pub fn backoff(retries: u32, rng: &mut fastrand::Rng) -> Duration {
    let upper_bound = BACKOFF_BASE * 2u32.pow(retries.min(6));
    upper_bound.min(BACKOFF_MAX).mul_f64(rng.f64())
}
