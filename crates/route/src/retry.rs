//! Retry budget and backoff.

use std::time::Duration;

/// Retries added to the budget by each first attempt of a request.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// Maximum number of retries in the budget.
const RETRIES_MAX: f64 = 10.0;
/// Upper bound of the backoff before any doubling. Each earlier retry doubles the bound.
const BACKOFF_BASE: Duration = Duration::from_millis(50);
/// Upper bound of any backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Retry budget of one pool.
///
/// Every new request adds a fraction of a retry, so that retries stay a fraction of the new
/// requests even if the pool fails completely (after "The Site Reliability Workbook", chapter on
/// overload).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    retries: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            retries: RETRIES_MAX,
        }
    }
}

impl Budget {
    /// Adds the share of a new request to the budget.
    pub fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(RETRIES_MAX);
    }

    /// Takes one retry from the budget. Returns `false` if none is left.
    pub fn spend(&mut self) -> bool {
        let allowed = self.retries >= 1.0;
        if allowed {
            self.retries -= 1.0;
        }
        allowed
    }
}

/// Returns the delay before a retry: exponential backoff with full jitter. `retries` is the number
/// of doublings, of which at most six count.
pub fn backoff(retries: u32, rng: &mut fastrand::Rng) -> Duration {
    let upper_bound = BACKOFF_BASE * 2u32.pow(retries.min(6));
    upper_bound.min(BACKOFF_MAX).mul_f64(rng.f64())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn budget_bounds_attempts_per_request() {
        let mut budget = Budget::default();
        let requests = 2_000;
        let mut attempts = 0;
        for _ in 0..requests {
            budget.earn();
            attempts += 1;
            while budget.spend() {
                attempts += 1;
            }
        }
        assert!(f64::from(attempts) / f64::from(requests) < 1.2);
    }
}
