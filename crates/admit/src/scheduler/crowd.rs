//! What is on each server, gathered in one look.
//!
//! Load pattern: at the worst load dozens wait for places on full servers, hundreds of reports a
//! second may each free one, and many generations lack a copy. A coordinator looks at every server
//! for every one of them. Looking through all that is placed each time took more than the whole
//! processor share of the instance that was the coordinator, and with it the time in which places
//! were granted.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use wire::Name;

use super::Scheduler;
use super::placed::Placed;
use crate::memory;
use crate::memory::Use;

/// Tokens after which a request under suspicion no longer keeps others off its server: one that
/// crashes servers has mostly done so by then.
const TRIAL_TOKENS: u32 = 32;
/// Time after which a prompt counts as read though no token of its answer was reported.
const READING_TIME: Duration = Duration::from_secs(3);

/// What is on one server.
#[derive(Clone, Debug, Default)]
pub(super) struct Crowd {
    /// Attempts that have a place there.
    pub(super) count: usize,
    /// Those of them that had it when the server last reported.
    pub(super) reported: usize,
    /// Tokens of the prompts that it has still to read.
    pub(super) reading: u64,
    /// Whether a request under suspicion has yet to prove itself there.
    pub(super) is_on_trial: bool,
    /// Memory of what runs there and of the copies that it keeps, by falling rest.
    uses: Vec<Use>,
}

/// What is on each server of a pool.
pub(super) type Crowds = BTreeMap<Name, Crowd>;

impl Crowd {
    /// Adds the memory of an attempt, or of a copy of one.
    fn hold(&mut self, one: Use) {
        let index = self.uses.partition_point(|other| other.rest > one.rest);
        self.uses.insert(index, one);
    }

    /// Returns the predicted peak of the memory with one more generation.
    pub(super) fn peak_with(&self, one: Use) -> u64 {
        memory::peak_with(&self.uses, one)
    }

    /// Returns whether it holds no memory.
    pub(super) fn is_empty(&self) -> bool {
        self.uses.is_empty()
    }
}

impl Scheduler {
    /// Returns what is on each server.
    pub(super) fn crowds(&self, now: Time) -> Crowds {
        let mut crowds: Crowds = self
            .servers
            .keys()
            .map(|name| (name.clone(), Crowd::default()))
            .collect();
        for placed in self.placed.values() {
            self.join(now, &mut crowds, placed);
        }
        crowds
    }

    /// Adds an attempt to the server where it has its place, and to the one that keeps its copy.
    pub(super) fn join(&self, now: Time, crowds: &mut Crowds, placed: &Placed) {
        self.join_copy(crowds, placed);
        let Some(crowd) = crowds.get_mut(&placed.server) else {
            return;
        };
        crowd.hold(placed.memory());
        crowd.count += 1;
        crowd.is_on_trial |= placed.suspect && placed.generated < TRIAL_TOKENS;
        let report = self.servers[&placed.server].load;
        crowd.reported += usize::from(report.is_some_and(|(at, _)| placed.since <= at));
        let is_young = now.saturating_sub(placed.since) < READING_TIME;
        if placed.generated == 0 && placed.given_up.is_none() && is_young {
            crowd.reading += u64::from(placed.work.prompt);
        }
    }

    /// Adds the copy of an attempt to the server that keeps it.
    pub(super) fn join_copy(&self, crowds: &mut Crowds, placed: &Placed) {
        if let Some(copy) = &placed.copy
            && let Some(crowd) = crowds.get_mut(copy)
        {
            // It grows as its original does.
            crowd.hold(placed.memory());
        }
    }
}
