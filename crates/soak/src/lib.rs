//! Seeded runs of several instances with faults.
//!
//! # Overview
//!
//! A [`simulation::Simulation`] holds a few instances in several data centres, the stand-ins for
//! backend servers and the platform, and one queue of events ordered by simulated time. One seed
//! determines every random choice: the callers' requests, the delay and loss of each frame, the
//! processes that are paused or killed and the links that are cut. [`run`] applies load and faults
//! for a while, ends all faults, waits until the requests have settled, and checks the results that
//! the callers received against the records of the stand-ins. An instance that detects a broken
//! invariant panics during the run.
//!
//! A run checks the order of events. It does not measure real time or cost; [`capacity`] measures
//! cost.
//!
//! # Modules
//!
//! - [`capacity`]: measures the cost of an instance as the fleet grows.
//! - [`checks`]: invariants checked during a run and at its end.
//! - [`fault`]: fault injection.
//! - [`request_stream`]: relays the tokens of an attempt, as the shell of an instance does.
//! - [`simulation`]: instances, stand-ins and the event queue.

pub mod capacity;
pub mod checks;
pub mod fault;
pub mod request_stream;
pub mod simulation;

use std::time::Duration;

/// Length of the first phase of a run, with load and faults.
const FAULT_PHASE: Duration = Duration::from_secs(14);
/// Time after the end of load and faults in which all requests must settle.
const SETTLING_TIME: Duration = Duration::from_secs(45);
/// Additional time for generations that an engine still runs. An engine that becomes cold with more
/// work than its cold limit takes a quarter of a second for a step (seed 173), and a long answer
/// takes some 400 steps.
const SLOW_GENERATION_TIME: Duration = Duration::from_secs(100);

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Descriptions of the violated invariants. Empty if the run passed.
    pub violations: Vec<String>,
    /// The newest events, oldest first.
    pub trace: Vec<String>,
    /// Number of requests that callers made. Repeated sends of a request count once.
    pub requests: usize,
    /// Number of requests that were answered.
    pub answered: usize,
}

/// Runs one simulation with the given seed.
pub fn run(seed: u64) -> Outcome {
    let mut sim = simulation::Simulation::new(seed);
    sim.run_until(FAULT_PHASE);
    if sim.violations.is_empty() {
        sim.end_load_and_faults();
        sim.run_until(FAULT_PHASE + SETTLING_TIME);
        let mut until = FAULT_PHASE + SETTLING_TIME;
        while sim.is_generating() && until < FAULT_PHASE + SETTLING_TIME + SLOW_GENERATION_TIME {
            until += Duration::from_secs(5);
            sim.run_until(until);
        }
    }
    checks::check_final_state(&mut sim)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Number of seeds that the test runs.
    const SEEDS: u64 = 200;

    #[test]
    fn fixed_seeds_violate_no_invariant() {
        let threads = 4;
        std::thread::scope(|scope| {
            for remainder in 0..threads {
                scope.spawn(move || {
                    for seed in (0..SEEDS).filter(|seed| seed % threads == remainder) {
                        let outcome = run(seed);
                        assert!(
                            outcome.violations.is_empty(),
                            "seed {seed}: {:?}\n{}",
                            outcome.violations,
                            outcome.trace.join("\n")
                        );
                    }
                });
            }
        });
    }
}
