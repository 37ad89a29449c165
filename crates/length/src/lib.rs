//! Prediction of the remaining length of a generation, in tokens.
//!
//! # Overview
//!
//! The length of an answer is not known in advance, but the lengths of earlier answers of the same
//! route and organisation are. [`Estimator`] keeps decayed histograms of these lengths and returns
//! a conditional quantile: of the generations that reached the current length, the number of
//! further tokens that a given share of them did not exceed. For heavy-tailed lengths the expected
//! remainder grows with the tokens already generated, which a plain mean gets wrong.
//!
//! With too few samples the estimate falls back from (route, organisation) to the route, and then
//! to the caller's hint. Lengths of a route may shift, so each group has a slow and a fast
//! histogram; the fast one is used while their means differ strongly.
//!
//! ```
//! use length::Estimator;
//!
//! let mut estimator = Estimator::default();
//! for _ in 0..50 {
//!     estimator.add("letters", "signs-r-us", 200);
//! }
//! let remaining = estimator.expected_remaining("letters", "signs-r-us", 150, 0.9, 64);
//! assert!((25..=120).contains(&remaining));
//! ```

use std::collections::BTreeMap;

use compact_str::CompactString;

/// Number of buckets of a histogram.
const BUCKETS: usize = 64;
/// Ratio between the upper bounds of neighbouring buckets.
const BUCKET_RATIO: f64 = 1.2;
/// Factor by which each new sample decays the weight of earlier ones in the slow histogram.
const DECAY_SLOW: f64 = 0.99;
/// Factor by which each new sample decays the weight of earlier ones in the fast histogram.
const DECAY_FAST: f64 = 0.8;
/// Minimum total weight of samples for which a histogram is used.
const WEIGHT_MIN: f64 = 4.0;
/// Ratio of the means above which the fast histogram replaces the slow one.
const SHIFT_RATIO: f64 = 1.8;
/// Maximum number of (route, organisation) pairs kept.
const PAIRS_MAX: usize = 1_024;

/// Length estimator, trained with the lengths of completed generations.
#[derive(Debug, Default)]
pub struct Estimator {
    pairs: BTreeMap<(CompactString, CompactString), Lengths>,
    routes: BTreeMap<CompactString, Lengths>,
}

/// Lengths of one route, or of one (route, organisation) pair.
#[derive(Debug)]
struct Lengths {
    slow: Histogram,
    fast: Histogram,
}

/// A decayed histogram with geometric buckets.
#[derive(Clone, Debug)]
struct Histogram {
    decay: f64,
    counts: [f32; BUCKETS],
    total: f64,
    sum: f64,
}

impl Estimator {
    /// Adds the length, in tokens, of a generation that completed.
    pub fn add(&mut self, route: &str, organisation: &str, tokens: u32) {
        self.routes.entry(route.into()).or_default().add(tokens);
        let pair = (route.into(), organisation.into());
        if self.pairs.len() >= PAIRS_MAX && !self.pairs.contains_key(&pair) {
            self.evict_lightest_pair();
        }
        self.pairs.entry(pair).or_default().add(tokens);
    }

    /// Returns the number of further tokens that a share of the earlier generations did not exceed,
    /// among those that reached `generated` tokens. Without enough samples the estimate is the hint
    /// less `generated`, but at least half of `generated` and at least 16.
    pub fn expected_remaining(
        &self,
        route: &str,
        organisation: &str,
        generated: u32,
        share: f64,
        hint: u32,
    ) -> u32 {
        let pair = self.pairs.get(&(route.into(), organisation.into()));
        let estimate = [pair, self.routes.get(route)]
            .into_iter()
            .flatten()
            .find_map(|lengths| lengths.expected_remaining(generated, share));
        // Beyond the hint and all samples, expect half as many tokens again: the end of the tail is
        // unknown.
        let tail_estimate = generated / 2;
        estimate.unwrap_or_else(|| hint.saturating_sub(generated).max(tail_estimate).max(16))
    }

    fn evict_lightest_pair(&mut self) {
        let lightest = self
            .pairs
            .iter()
            .min_by(|a, b| a.1.slow.total.total_cmp(&b.1.slow.total))
            .map(|(pair, _)| pair.clone());
        if let Some(pair) = lightest {
            self.pairs.remove(&pair);
        }
    }
}

impl Default for Lengths {
    fn default() -> Lengths {
        Lengths {
            slow: Histogram::new(DECAY_SLOW),
            fast: Histogram::new(DECAY_FAST),
        }
    }
}

impl Lengths {
    fn add(&mut self, tokens: u32) {
        self.slow.add(tokens);
        self.fast.add(tokens);
    }

    fn current(&self) -> &Histogram {
        let slow = self.slow.sum / self.slow.total.max(f64::MIN_POSITIVE);
        let fast = self.fast.sum / self.fast.total.max(f64::MIN_POSITIVE);
        let shifted = fast > slow * SHIFT_RATIO || slow > fast * SHIFT_RATIO;
        if shifted && self.fast.total >= WEIGHT_MIN {
            &self.fast
        } else {
            &self.slow
        }
    }

    fn expected_remaining(&self, generated: u32, share: f64) -> Option<u32> {
        self.current().expected_remaining(generated, share)
    }
}

impl Histogram {
    fn new(decay: f64) -> Histogram {
        Histogram {
            decay,
            counts: [0.0; BUCKETS],
            total: 0.0,
            sum: 0.0,
        }
    }

    fn add(&mut self, tokens: u32) {
        for count in &mut self.counts {
            *count *= self.decay as f32;
        }
        self.counts[bucket_of(tokens)] += 1.0;
        self.total = self.total * self.decay + 1.0;
        self.sum = self.sum * self.decay + f64::from(tokens);
    }

    fn expected_remaining(&self, generated: u32, share: f64) -> Option<u32> {
        let first = bucket_of(generated);
        let tail = &self.counts[first..];
        let weight: f32 = tail.iter().sum();
        if self.total < WEIGHT_MIN || weight < 0.5 {
            return None;
        }
        let target = weight * share as f32;
        let mut cumulative = 0.0;
        for (index, count) in tail.iter().enumerate() {
            cumulative += count;
            if cumulative >= target {
                return Some(upper_bound(first + index).saturating_sub(generated).max(1));
            }
        }
        Some(upper_bound(BUCKETS - 1).saturating_sub(generated).max(1))
    }
}

fn bucket_of(tokens: u32) -> usize {
    let index = f64::from(tokens.max(1)).ln() / BUCKET_RATIO.ln();
    (index as usize).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> u32 {
    BUCKET_RATIO.powi(bucket as i32 + 1).ceil() as u32
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn estimate_is_conditional_on_generated_tokens() {
        let mut estimator = Estimator::default();
        for index in 0..200 {
            let tokens = if index % 4 == 0 { 2_000 } else { 40 };
            estimator.add("r", "o", tokens);
        }
        let fresh = estimator.expected_remaining("r", "o", 0, 0.5, 0);
        let long_running = estimator.expected_remaining("r", "o", 300, 0.5, 0);
        assert!(fresh < 60, "{fresh}");
        assert!((1_500..2_200).contains(&long_running), "{long_running}");
    }

    #[test]
    fn estimate_follows_shift_within_a_few_samples() {
        let mut estimator = Estimator::default();
        for _ in 0..300 {
            estimator.add("r", "o", 50);
        }
        for _ in 0..8 {
            estimator.add("r", "o", 800);
        }
        assert!(estimator.expected_remaining("r", "o", 0, 0.75, 0) > 600);
    }

    #[test]
    fn few_samples_fall_back_to_route_and_then_to_hint() {
        let mut estimator = Estimator::default();
        assert_eq!(estimator.expected_remaining("r", "new", 10, 0.9, 100), 90);
        for _ in 0..20 {
            estimator.add("r", "old", 300);
        }
        assert!(estimator.expected_remaining("r", "new", 0, 0.9, 10) >= 300);
    }

    proptest! {
        #[test]
        fn estimate_grows_with_share(
            lengths in proptest::collection::vec(1u32..50_000, 8..80),
            generated in 0u32..60_000,
        ) {
            let mut estimator = Estimator::default();
            for tokens in lengths {
                estimator.add("r", "o", tokens);
            }
            let low = estimator.expected_remaining("r", "o", generated, 0.3, 64);
            let high = estimator.expected_remaining("r", "o", generated, 0.9, 64);
            prop_assert!(low >= 1 && low <= high);
        }
    }
}
