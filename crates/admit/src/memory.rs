//! Predicted peak of cache memory, and its margin.
//!
//! A generation's cache grows by one token a step and is freed when it ends. With the predicted rest
//! of each generation known, the use of memory has its peaks right before a generation ends, so the
//! greatest of those is the peak of them all (Gong et al., "Past-Future Scheduler for LLM Serving
//! under SLA Guarantees", 2025).

use std::time::Duration;

use clock::Time;

/// Least share of the capacity that is left free.
const MARGIN_MIN: f64 = 0.02;
/// Greatest share of the capacity that is left free.
const MARGIN_MAX: f64 = 0.5;
/// Share added by each preemption.
const MARGIN_STEP: f64 = 0.03;
/// Share taken back in each second without a preemption.
const MARGIN_RELIEF: f64 = 0.002;
/// Time after a preemption in which nothing is taken back.
const CALM: Duration = Duration::from_secs(3);

/// Cache tokens of one generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Use {
    /// Tokens held now.
    pub held: u64,
    /// Tokens that it is expected to add before it ends.
    pub rest: u64,
}

/// Returns the predicted peak of the tokens held by all generations together.
pub fn peak(uses: &mut [Use]) -> u64 {
    uses.sort_unstable_by_key(|one| std::cmp::Reverse(one.rest));
    peak_of_sorted(uses.iter())
}

/// Returns the predicted peak with one more generation than those of a list, which is sorted by falling
/// rest.
pub fn peak_with(uses: &[Use], more: Use) -> u64 {
    let index = uses.partition_point(|one| one.rest > more.rest);
    let (before, after) = uses.split_at(index);
    peak_of_sorted(before.iter().chain([&more]).chain(after))
}

/// Returns the predicted peak of generations that come by falling rest.
fn peak_of_sorted<'a>(uses: impl Iterator<Item = &'a Use>) -> u64 {
    let mut held = 0;
    let mut count = 0;
    let mut peak = 0;
    for one in uses {
        held += one.held;
        count += 1;
        peak = peak.max(held + count * one.rest);
    }
    peak
}

/// Share of a server's memory that is left free, moved by additive increase and slow relief with
/// the preemptions that are seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Margin {
    share: f64,
    moved: Time,
    preempted: Option<Time>,
}

impl Margin {
    /// Returns the least margin.
    pub fn new(now: Time) -> Margin {
        Margin {
            share: MARGIN_MIN,
            moved: now,
            preempted: None,
        }
    }

    /// Returns what is usable of a capacity.
    pub fn usable(&self, capacity: u64) -> u64 {
        (capacity as f64 * (1.0 - self.share)) as u64
    }

    /// Takes the number of preemptions since the last call.
    pub fn observe(&mut self, now: Time, preemptions: u64) {
        if preemptions > 0 {
            let step = MARGIN_STEP * preemptions.min(4) as f64;
            self.share = (self.share + step).min(MARGIN_MAX);
            self.preempted = Some(now);
        } else if self
            .preempted
            .is_none_or(|at| now.saturating_sub(at) > CALM)
        {
            let passed = now.saturating_sub(self.moved).as_secs_f64();
            self.share = (self.share - MARGIN_RELIEF * passed).max(MARGIN_MIN);
        }
        self.moved = now;
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    /// Steps every generation to its end and watches the sum.
    fn peak_by_steps(uses: &[Use]) -> u64 {
        let last = uses.iter().map(|one| one.rest).max().unwrap_or(0);
        let at = |step: u64| -> u64 {
            uses.iter()
                .filter(|one| one.rest >= step)
                .map(|one| one.held + step)
                .sum()
        };
        (0..=last).map(at).max().unwrap_or(0)
    }

    proptest! {
        #[test]
        fn peak_equals_that_of_stepping(
            uses in proptest::collection::vec((0u64..50, 0u64..50), 0..12),
        ) {
            let mut uses: Vec<Use> = uses.into_iter().map(|(held, rest)| Use { held, rest }).collect();
            let expected = peak_by_steps(&uses);
            prop_assert_eq!(peak(&mut uses), expected);
        }
    }

    proptest! {
        #[test]
        fn peak_with_one_more_equals_the_peak_of_all(
            uses in proptest::collection::vec((0u64..50, 0u64..50), 0..12),
            more in (0u64..50, 0u64..50),
        ) {
            let mut uses: Vec<Use> = uses.into_iter().map(|(held, rest)| Use { held, rest }).collect();
            uses.sort_unstable_by_key(|one| std::cmp::Reverse(one.rest));
            let more = Use { held: more.0, rest: more.1 };
            let found = peak_with(&uses, more);
            uses.push(more);
            prop_assert_eq!(found, peak(&mut uses));
        }
    }

    #[test]
    fn margin_grows_with_preemptions_and_relaxes_slowly() {
        let mut margin = Margin::new(Time::ZERO);
        margin.observe(Duration::from_secs(1), 2);
        let tight = margin.usable(1_000);
        assert!(tight < 930);
        margin.observe(Duration::from_secs(2), 0);
        assert_eq!(margin.usable(1_000), tight);
        margin.observe(Duration::from_secs(60), 0);
        assert!(margin.usable(1_000) > tight);
    }
}
