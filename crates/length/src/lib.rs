//! How many tokens a generation has still to come.
//!
//! # Overview
//!
//! Nobody knows how long an answer will be. What is known is how long earlier answers of the same
//! route and organisation were. [`Estimator`] keeps decayed histograms of those and answers one
//! question: of the generations that came at least *this* far, how many more tokens did a given
//! share of them need at most? The answer grows with what was generated already where lengths are
//! heavy-tailed, which a plain mean gets wrong.
//!
//! Thin data falls back from (route, organisation) to the route, and from there to the hint of
//! whoever asks. Lengths of a route may shift: beside the slow histogram there is a fast one, which
//! takes over while their means disagree.
//!
//! ```
//! use length::Estimator;
//!
//! let mut estimator = Estimator::default();
//! for _ in 0..50 {
//!     estimator.add("letters", "signs-r-us", 200);
//! }
//! let rest = estimator.expected_remaining("letters", "signs-r-us", 150, 0.9, 64);
//! assert!((25..=120).contains(&rest));
//! ```

use std::collections::BTreeMap;

use compact_str::CompactString;

/// Buckets of a histogram; each is a fifth wider than the one before.
const BUCKETS: usize = 64;
/// Ratio of the bounds of neighbouring buckets.
const RATIO: f64 = 1.2;
/// Weight that is left of a sample after each later one, in the slow histogram.
const DECAY_SLOW: f64 = 0.99;
/// Weight that is left of a sample after each later one, in the fast histogram.
const DECAY_FAST: f64 = 0.8;
/// Least weight of samples that is believed.
const WEIGHT_MIN: f64 = 4.0;
/// Ratio of the means at which the fast histogram takes over.
const SHIFT_RATIO: f64 = 1.8;
/// Most pairs of route and organisation that are kept.
const PAIRS_MAX: usize = 1_024;

/// Lengths of past generations.
#[derive(Debug, Default)]
pub struct Estimator {
    pairs: BTreeMap<(CompactString, CompactString), Lengths>,
    routes: BTreeMap<CompactString, Lengths>,
}

/// The lengths of one group.
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
    /// Adds the length of a generation that ended by itself, in tokens.
    pub fn add(&mut self, route: &str, organisation: &str, tokens: u32) {
        self.routes.entry(route.into()).or_default().add(tokens);
        let pair = (route.into(), organisation.into());
        if self.pairs.len() >= PAIRS_MAX && !self.pairs.contains_key(&pair) {
            self.forget_thinnest();
        }
        self.pairs.entry(pair).or_default().add(tokens);
    }

    /// Returns how many more tokens a share of the generations needed at most, of those that came
    /// at least as far as `generated`. Without data it returns what is left of the hint.
    pub fn expected_remaining(
        &self,
        route: &str,
        organisation: &str,
        generated: u32,
        share: f64,
        hint: u32,
    ) -> u32 {
        let pair = self.pairs.get(&(route.into(), organisation.into()));
        let known = [pair, self.routes.get(route)]
            .into_iter()
            .flatten()
            .find_map(|lengths| lengths.expected_remaining(generated, share));
        // Past all that was seen, expect as much again: the tail has no end that is known.
        let beyond = generated / 2;
        known.unwrap_or_else(|| hint.saturating_sub(generated).max(beyond).max(16))
    }

    fn forget_thinnest(&mut self) {
        let thinnest = self
            .pairs
            .iter()
            .min_by(|a, b| a.1.slow.total.total_cmp(&b.1.slow.total))
            .map(|(pair, _)| pair.clone());
        if let Some(pair) = thinnest {
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
        self.counts[bucket(tokens)] += 1.0;
        self.total = self.total * self.decay + 1.0;
        self.sum = self.sum * self.decay + f64::from(tokens);
    }

    fn expected_remaining(&self, generated: u32, share: f64) -> Option<u32> {
        let first = bucket(generated);
        let tail = &self.counts[first..];
        let weight: f32 = tail.iter().sum();
        if self.total < WEIGHT_MIN || weight < 0.5 {
            return None;
        }
        let wanted = weight * share as f32;
        let mut passed = 0.0;
        for (index, count) in tail.iter().enumerate() {
            passed += count;
            if passed >= wanted {
                return Some(upper(first + index).saturating_sub(generated).max(1));
            }
        }
        Some(upper(BUCKETS - 1).saturating_sub(generated).max(1))
    }
}

fn bucket(tokens: u32) -> usize {
    let index = f64::from(tokens.max(1)).ln() / RATIO.ln();
    (index as usize).min(BUCKETS - 1)
}

fn upper(bucket: usize) -> u32 {
    RATIO.powi(bucket as i32 + 1).ceil() as u32
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn rest_is_conditional_on_what_was_generated() {
        let mut estimator = Estimator::default();
        for index in 0..200 {
            let tokens = if index % 4 == 0 { 2_000 } else { 40 };
            estimator.add("r", "o", tokens);
        }
        let fresh = estimator.expected_remaining("r", "o", 0, 0.5, 0);
        let survivor = estimator.expected_remaining("r", "o", 300, 0.5, 0);
        assert!(fresh < 60, "{fresh}");
        assert!((1_500..2_200).contains(&survivor), "{survivor}");
    }

    #[test]
    fn shift_is_followed_within_a_few_samples() {
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
    fn thin_data_falls_back_to_route_and_then_to_hint() {
        let mut estimator = Estimator::default();
        assert_eq!(estimator.expected_remaining("r", "new", 10, 0.9, 100), 90);
        for _ in 0..20 {
            estimator.add("r", "old", 300);
        }
        assert!(estimator.expected_remaining("r", "new", 0, 0.9, 10) >= 300);
    }

    proptest! {
        #[test]
        fn rest_grows_with_share(
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
