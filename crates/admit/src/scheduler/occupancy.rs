//! Occupancy of each server, computed in one pass over all assignments.
//!
//! At peak load dozens of reservations wait for full servers, hundreds of reports a second may each
//! free a slot, and many generations lack a replica. The scheduler checks every server for each of
//! them. Scanning all assignments for each check took more than the coordinator's whole CPU share
//! and delayed its grants.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use wire::Name;

use super::Scheduler;
use super::assignments::Assignment;
use crate::memory;
use crate::memory::Footprint;

/// Generated tokens after which a suspect request no longer keeps other suspects off its server. A
/// request that crashes servers has mostly done so by then.
const PROBATION_TOKENS: u32 = 32;
/// Number of assignments up to which occupancies are computed for each grant.
const EXACT_ASSIGNMENTS_MAX: usize = 1_000;
/// Time for which the occupancies of a larger pool are used for further grants.
const KEPT_LIFETIME: Duration = Duration::from_millis(20);
/// Time after which a prompt counts as processed even if no generated token has been reported.
const PREFILL_TIMEOUT: Duration = Duration::from_secs(3);

/// Assignments and replicas on one server, summed up.
#[derive(Clone, Debug, Default)]
pub(super) struct Occupancy {
    /// Number of attempts assigned to the server.
    pub(super) count: usize,
    /// Number of those attempts that were granted before the server's newest load report.
    pub(super) reported: usize,
    /// Prompt tokens that the server has still to process.
    pub(super) prefill_tokens: u64,
    /// Whether a suspect request runs here that has not yet generated [`PROBATION_TOKENS`].
    pub(super) has_suspect_on_probation: bool,
    /// Memory of the running generations and of the replicas, by descending remaining tokens.
    footprints: Vec<Footprint>,
}

/// Occupancy of each server of a pool, by name.
pub(super) type Occupancies = BTreeMap<Name, Occupancy>;

impl Occupancy {
    /// Adds the memory of an attempt or of a replica.
    fn add_memory(&mut self, footprint: Footprint) {
        let index = self
            .footprints
            .partition_point(|other| other.remaining > footprint.remaining);
        self.footprints.insert(index, footprint);
    }

    /// Returns the predicted peak of the memory in tokens with one more generation.
    pub(super) fn peak_after_adding(&self, footprint: Footprint) -> u64 {
        memory::peak_after_adding(&self.footprints, footprint)
    }

    /// Returns whether the server holds no generation and no replica.
    pub(super) fn is_empty(&self) -> bool {
        self.footprints.is_empty()
    }
}

/// Occupancies that are used for several grants.
#[derive(Debug)]
pub(super) struct KeptOccupancies {
    computed_at: Time,
    pub(super) by_server: Occupancies,
}

impl Scheduler {
    /// Returns the occupancy of each server for granting. In a pool with more than
    /// [`EXACT_ASSIGNMENTS_MAX`] assignments, they are computed at most once in
    /// [`KEPT_LIFETIME`]; grants made meanwhile are included, ended attempts still count.
    pub(super) fn take_occupancies(&mut self, now: Time) -> KeptOccupancies {
        let is_valid = |kept: &KeptOccupancies| {
            self.assignments.len() > EXACT_ASSIGNMENTS_MAX
                && now.saturating_sub(kept.computed_at) < KEPT_LIFETIME
        };
        let kept = self.kept_occupancies.take().filter(is_valid);
        kept.unwrap_or_else(|| KeptOccupancies {
            computed_at: now,
            by_server: self.occupancies(now),
        })
    }

    /// Keeps occupancies for the next grants.
    pub(super) fn keep_occupancies(&mut self, occupancies: KeptOccupancies) {
        self.kept_occupancies = Some(occupancies);
    }

    /// Returns the occupancy of each server.
    pub(super) fn occupancies(&self, now: Time) -> Occupancies {
        let mut occupancies: Occupancies = self
            .servers
            .keys()
            .map(|name| (name.clone(), Occupancy::default()))
            .collect();
        for assignment in self.assignments.values() {
            self.add_assignment(now, &mut occupancies, assignment);
        }
        occupancies
    }

    /// Adds an assignment to the occupancy of its server and of the server that holds its replica.
    pub(super) fn add_assignment(
        &self,
        now: Time,
        occupancies: &mut Occupancies,
        assignment: &Assignment,
    ) {
        self.add_replica(occupancies, assignment);
        let Some(occupancy) = occupancies.get_mut(&assignment.server) else {
            return;
        };
        occupancy.add_memory(assignment.memory());
        occupancy.count += 1;
        occupancy.has_suspect_on_probation |=
            assignment.suspect && assignment.generated < PROBATION_TOKENS;
        let report = self.servers[&assignment.server].load;
        occupancy.reported +=
            usize::from(report.is_some_and(|(at, _)| assignment.granted_at <= at));
        let may_be_unprocessed = now.saturating_sub(assignment.granted_at) < PREFILL_TIMEOUT;
        if assignment.generated == 0 && assignment.cancelled_at.is_none() && may_be_unprocessed {
            occupancy.prefill_tokens += u64::from(assignment.work.prompt_tokens);
        }
    }

    /// Adds the replica of an assignment to the occupancy of the server that holds it.
    pub(super) fn add_replica(&self, occupancies: &mut Occupancies, assignment: &Assignment) {
        if let Some(replica) = &assignment.replica
            && let Some(occupancy) = occupancies.get_mut(replica)
        {
            // A replica grows with its original.
            occupancy.add_memory(assignment.memory());
        }
    }
}
