//! Seeded runs of several instances with faults.
//!
//! # Overview
//!
//! A [`world::World`] holds a few instances of several data centres, the stand-ins around them and one
//! queue of events ordered by time. Everything random comes from one seed: who asks for what, how
//! long a frame takes, whether it is lost or doubled, which process is paused or killed, which links
//! are cut. [`run`] lets trouble go on for a while, heals everything, waits until it is quiet, and
//! checks what the callers and the stand-ins saw. The instances' own invariants panic on the way.
//!
//! It is a test driver: it knows nothing of time or cost, only of order.
//!
//! # Modules
//!
//! - [`capacity`]: what instances cost as the fleet grows.
//! - [`world`]: instances, stand-ins, events.
//! - [`relay`]: the shell's part of an attempt.
//! - [`fault`]: what goes wrong.
//! - [`verdict`]: what must hold in the end.

pub mod capacity;
pub mod fault;
pub mod relay;
pub mod verdict;
pub mod world;

use std::time::Duration;

/// Time for which there is load and trouble.
const TROUBLE: Duration = Duration::from_secs(14);
/// Time after which it must be quiet.
const QUIET: Duration = Duration::from_secs(45);
/// Further time for generations that their engines still bring on. One that turned cold with more than it
/// bears takes a quarter of a second for a step (seed 173), and some 400 steps make a long answer.
const COLLAPSED: Duration = Duration::from_secs(100);

/// What a run led to.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// What did not hold. Empty if all is well.
    pub broken: Vec<String>,
    /// The newest events.
    pub trace: Vec<String>,
    /// Requests of callers.
    pub requests: usize,
    /// Requests that were answered in the end.
    pub answered: usize,
}

/// Makes one run.
pub fn run(seed: u64) -> Outcome {
    let mut world = world::World::new(seed);
    world.run_until(TROUBLE);
    if world.broken.is_empty() {
        world.heal();
        world.run_until(TROUBLE + QUIET);
        let mut until = TROUBLE + QUIET;
        while world.is_generating() && until < TROUBLE + QUIET + COLLAPSED {
            until += Duration::from_secs(5);
            world.run_until(until);
        }
    }
    verdict::judge(&mut world)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Runs that each test run makes.
    const RUNS: u64 = 200;

    #[test]
    fn fixed_seeds_hold() {
        let threads = 4;
        std::thread::scope(|scope| {
            for part in 0..threads {
                scope.spawn(move || {
                    for seed in (0..RUNS).filter(|seed| seed % threads == part) {
                        let outcome = run(seed);
                        assert!(
                            outcome.broken.is_empty(),
                            "seed {seed}: {:?}\n{}",
                            outcome.broken,
                            outcome.trace.join("\n")
                        );
                    }
                });
            }
        });
    }
}
