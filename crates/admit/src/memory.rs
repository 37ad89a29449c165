//! Predicted peak of KV cache memory, and the safety margin.
//!
//! A generation's KV cache grows by one token per step and is freed when the generation ends. Given
//! the predicted remaining tokens of each generation, total memory has its local maxima right
//! before a generation ends. The peak is the greatest of these maxima (Gong et al., "Past-Future
//! Scheduler for LLM Serving under SLA Guarantees", 2025).

use std::time::Duration;

use clock::Time;

/// Minimum share of the capacity that is kept free.
const MARGIN_MIN: f64 = 0.02;
/// Maximum share of the capacity that is kept free.
const MARGIN_MAX: f64 = 0.5;
/// Share of the capacity that each preemption adds to the margin.
const MARGIN_PER_PREEMPTION: f64 = 0.03;
/// Share of the capacity by which the margin shrinks per second without a preemption.
const MARGIN_DECAY_PER_SECOND: f64 = 0.002;
/// Time after a preemption during which the margin does not shrink.
const MARGIN_DECAY_DELAY: Duration = Duration::from_secs(3);

/// KV cache tokens of one generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Footprint {
    /// Tokens in the cache now.
    pub held: u64,
    /// Tokens that the generation is expected to add before it ends.
    pub remaining: u64,
}

/// Returns the predicted peak of the total tokens that all generations hold.
pub fn peak(footprints: &mut [Footprint]) -> u64 {
    footprints.sort_unstable_by_key(|footprint| std::cmp::Reverse(footprint.remaining));
    peak_of_sorted(footprints.iter())
}

/// Returns the predicted peak after adding one generation to a list that is sorted by descending
/// remaining tokens.
pub fn peak_after_adding(footprints: &[Footprint], added: Footprint) -> u64 {
    let index = footprints.partition_point(|footprint| footprint.remaining > added.remaining);
    let (before, after) = footprints.split_at(index);
    peak_of_sorted(before.iter().chain([&added]).chain(after))
}

/// Returns the predicted peak of generations in descending order of remaining tokens.
fn peak_of_sorted<'a>(footprints: impl Iterator<Item = &'a Footprint>) -> u64 {
    let mut held = 0;
    let mut count = 0;
    let mut peak = 0;
    for footprint in footprints {
        held += footprint.held;
        count += 1;
        peak = peak.max(held + count * footprint.remaining);
    }
    peak
}

/// Share of a server's memory that is kept free. Each preemption increases it by a fixed step;
/// without preemptions it shrinks slowly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Margin {
    share: f64,
    updated_at: Time,
    preempted_at: Option<Time>,
}

impl Margin {
    /// Returns the minimum margin.
    pub fn new(now: Time) -> Margin {
        Margin {
            share: MARGIN_MIN,
            updated_at: now,
            preempted_at: None,
        }
    }

    /// Returns the part of a capacity that remains after the margin.
    pub fn usable(&self, capacity: u64) -> u64 {
        (capacity as f64 * (1.0 - self.share)) as u64
    }

    /// Updates the margin with the number of preemptions since the last call.
    pub fn observe(&mut self, now: Time, preemptions: u64) {
        if preemptions > 0 {
            let step = MARGIN_PER_PREEMPTION * preemptions.min(4) as f64;
            self.share = (self.share + step).min(MARGIN_MAX);
            self.preempted_at = Some(now);
        } else if self
            .preempted_at
            .is_none_or(|at| now.saturating_sub(at) > MARGIN_DECAY_DELAY)
        {
            let passed = now.saturating_sub(self.updated_at).as_secs_f64();
            self.share = (self.share - MARGIN_DECAY_PER_SECOND * passed).max(MARGIN_MIN);
        }
        self.updated_at = now;
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    /// Computes the peak by simulating every generation step by step.
    fn simulated_peak(footprints: &[Footprint]) -> u64 {
        let last = footprints
            .iter()
            .map(|footprint| footprint.remaining)
            .max()
            .unwrap_or(0);
        let at = |step: u64| -> u64 {
            footprints
                .iter()
                .filter(|footprint| footprint.remaining >= step)
                .map(|footprint| footprint.held + step)
                .sum()
        };
        (0..=last).map(at).max().unwrap_or(0)
    }

    proptest! {
        #[test]
        fn peak_equals_step_by_step_simulation(
            footprints in proptest::collection::vec((0u64..50, 0u64..50), 0..12),
        ) {
            let mut footprints: Vec<Footprint> = footprints
                .into_iter()
                .map(|(held, remaining)| Footprint { held, remaining })
                .collect();
            let expected = simulated_peak(&footprints);
            prop_assert_eq!(peak(&mut footprints), expected);
        }
    }

    proptest! {
        #[test]
        fn peak_after_adding_equals_peak_of_whole_list(
            footprints in proptest::collection::vec((0u64..50, 0u64..50), 0..12),
            added in (0u64..50, 0u64..50),
        ) {
            let mut footprints: Vec<Footprint> = footprints
                .into_iter()
                .map(|(held, remaining)| Footprint { held, remaining })
                .collect();
            footprints.sort_unstable_by_key(|footprint| std::cmp::Reverse(footprint.remaining));
            let added = Footprint { held: added.0, remaining: added.1 };
            let found = peak_after_adding(&footprints, added);
            footprints.push(added);
            prop_assert_eq!(found, peak(&mut footprints));
        }
    }

    #[test]
    fn margin_grows_with_preemptions_and_shrinks_slowly() {
        let mut margin = Margin::new(Time::ZERO);
        margin.observe(Duration::from_secs(1), 2);
        let raised = margin.usable(1_000);
        assert!(raised < 930);
        margin.observe(Duration::from_secs(2), 0);
        assert_eq!(margin.usable(1_000), raised);
        margin.observe(Duration::from_secs(60), 0);
        assert!(margin.usable(1_000) > raised);
    }
}
