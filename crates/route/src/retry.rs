//! The retry budget and backoff.

use std::time::Duration;

/// Retries earned by each fresh request.
const RATIO: f64 = 0.15;
/// Most retries that can be saved up.
const SAVED_MAX: f64 = 10.0;
/// First backoff.
const BACKOFF_FIRST: Duration = Duration::from_millis(50);
/// Longest backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Retries that one pool may still make.
///
/// Every fresh request earns a fraction of one, so that retries stay a fraction of the fresh work
/// however sick the pool is (after "The Site Reliability Workbook", chapter on overload).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { saved: SAVED_MAX }
    }
}

impl Budget {
    /// Notes a fresh request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + RATIO).min(SAVED_MAX);
    }

    /// Takes one retry. Returns whether there was one left.
    pub fn spend(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}

/// Returns the time to wait before a retry: doubled each time, with full jitter.
pub fn backoff(retries: u32, rng: &mut fastrand::Rng) -> Duration {
    let doubled = BACKOFF_FIRST * 2u32.pow(retries.min(6));
    doubled.min(BACKOFF_MAX).mul_f64(rng.f64())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn attempts_stay_a_fraction_above_the_requests() {
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
