//! Tests of the retry budget of one instance.

use std::time::Duration;

use clock::Time;
use proptest::prelude::*;
use route::retry::Budget;
use route::retry::Limits;
use route::retry::Part;
use route::retry::Weight;

const WINDOW: Duration = Duration::from_secs(10);

/// A step of a run: time passes, then requests arrive, then as many retries as allowed are spent.
type Step = (u64, u32, bool);

/// Plays steps at a budget that opens after a window. Returns when each request arrived and each retry
/// was spent.
fn play(part: &Part, steps: &[Step]) -> (Vec<Time>, Vec<Time>) {
    let mut budget = Budget::new(WINDOW);
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut now = Time::ZERO;
    for (pause_ms, count, is_failing) in steps {
        now += Duration::from_millis(*pause_ms);
        for _ in 0..*count {
            budget.earn(now, part);
            requests.push(now);
        }
        while *is_failing && budget.spend(now, part, Weight::Heavy) {
            retries.push(now);
        }
    }
    (requests, retries)
}

proptest! {
    /// Guards against a start with the whole slack, which the process before may have spent just now.
    #[test]
    fn budget_holds_in_every_window(
        steps in prop::collection::vec((0_u64..2_000, 0_u32..20, any::<bool>()), 1..80),
        slack in 1.0_f64..60.0,
    ) {
        let part = Part { ratio: 0.2, slack };
        let (requests, retries) = play(&part, &steps);
        for from in &retries {
            let count = |times: &[Time]| {
                times.iter().filter(|at| (*from..*from + WINDOW).contains(at)).count()
            };
            let allowed = part.ratio * count(&requests) as f64 + slack;
            prop_assert!(count(&retries) as f64 <= allowed + 1e-6);
        }
        let early = retries.iter().filter(|at| **at < WINDOW).count();
        let arrived = requests.iter().filter(|at| **at < WINDOW).count();
        prop_assert!(early as f64 <= part.ratio * arrived as f64 + 1e-6);
    }
}

#[test]
fn budget_bounds_attempts_per_request() {
    for slack in [0.0, 100.0] {
        let part = Limits {
            slack,
            ..Limits::default()
        }
        .part(10);
        let mut budget = Budget::new(Time::ZERO);
        let requests = 2_000;
        let mut attempts = 0;
        for _ in 0..requests {
            budget.earn(Time::ZERO, &part);
            attempts += 1;
            while budget.spend(Time::ZERO, &part, Weight::Heavy) {
                attempts += 1;
            }
        }
        let ratio = f64::from(attempts) / f64::from(requests);
        assert!((1.1..1.2).contains(&ratio), "{ratio} attempts a request");
    }
}

#[test]
fn parts_of_all_instances_add_up_to_no_more_than_the_limits() {
    for (slack, instances) in [(54.0, 7), (196.0, 78), (630.0, 295), (10.0, 0)] {
        let limits = Limits {
            slack,
            ..Limits::default()
        };
        let part = limits.part(instances);
        assert!(part.slack * instances.max(1) as f64 <= slack && part.ratio <= limits.ratio);
    }
}

#[test]
fn smaller_part_applies_at_once() {
    let part = |slack| Part { ratio: 0.0, slack };
    let mut budget = Budget::new(Time::ZERO);
    assert!(budget.spend(Time::ZERO, &part(20.0), Weight::Heavy));
    let spend = |budget: &mut Budget| budget.spend(Time::ZERO, &part(2.0), Weight::Heavy);
    assert!(spend(&mut budget) && spend(&mut budget) && !spend(&mut budget));
}

#[test]
fn last_retries_are_kept_for_answers_that_have_begun() {
    let part = Part {
        ratio: 0.0,
        slack: 8.0,
    };
    let mut budget = Budget::new(Time::ZERO);
    let mut light = 0;
    while budget.spend(Time::ZERO, &part, Weight::Light) {
        light += 1;
    }
    assert_eq!(light, 6);
    assert!(budget.spend(Time::ZERO, &part, Weight::Heavy));
    budget.refund(&part);
    assert!(budget.spend(Time::ZERO, &part, Weight::Heavy));
    assert!(budget.spend(Time::ZERO, &part, Weight::Heavy));
    assert!(!budget.spend(Time::ZERO, &part, Weight::Heavy));
}
