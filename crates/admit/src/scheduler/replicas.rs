//! Replicas: copies of running generations' KV memory on a second server.
//!
//! Engines are reclaimed all day with two seconds' notice, so two in five long generations lose
//! their engine. A generation that may not run twice can only continue from a replica. Replicas
//! occupy memory like running generations, so they are placed only where memory is to spare.
//! Generations on a server that is about to shut down come first and may use memory that is denied
//! to others.

use std::time::Duration;

use clock::Time;
use wire::AttemptId;
use wire::InstanceId;
use wire::Name;
use wire::admission::Endpoint;
use wire::admission::Work;

use super::Scheduler;
use super::assignments::Assignment;
use super::occupancy::Occupancies;
use crate::server::Server;

/// Maximum share of a server's memory, at its predicted peak, up to which it accepts replicas.
pub(super) const REPLICA_MEMORY_SHARE_MAX: f64 = 0.4;
/// The same maximum for a generation on a server that is about to shut down. It is above 1 because
/// the generation is certainly lost without a replica, while memory that does run out only pauses
/// another generation.
const REPLICA_MEMORY_SHARE_MAX_AT_RISK: f64 = 1.1;
/// Minimum expected output, in tokens, of a generation that gets a replica. A shorter one is run
/// again in less time than the transfer of its memory takes.
const REPLICA_TOKENS_MIN: u32 = 64;
/// Time between two searches for generations that need a replica. A server announces its shutdown
/// only two seconds ahead.
const REPLICA_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Maximum number of replicas ordered per search. One transfer takes some 200 ms on a link.
const REPLICAS_PER_CHECK_MAX: usize = 4;
/// The same maximum for generations on servers that are about to shut down: some ten servers shut
/// down at once, each with its own link.
const REPLICAS_PER_CHECK_MAX_AT_RISK: usize = 32;
/// Time for which a server that refused a replica is not given another one. Load reports are some
/// 500 ms old, and a full server finishes a generation about once a second.
const REPLICA_REFUSAL_BACKOFF: Duration = Duration::from_millis(300);

/// A generation that is to get a replica.
pub(super) struct Original<'a> {
    /// Server that runs the generation.
    pub(super) server: &'a Name,
    /// Version of that server's software, `None` if it is not known which boot runs the generation.
    pub(super) software: Option<&'a Name>,
    /// Load of the generation.
    pub(super) work: &'a Work,
    /// Expected length of the output in tokens.
    pub(super) length: u32,
}

impl Original<'_> {
    /// Returns whether a server has the version that runs the generation. Servers without a listed
    /// version count as equal, so that replicas don't depend on the listing of versions.
    fn fits_software(&self, other: &Server) -> bool {
        self.software.is_some() && other.software() == self.software
    }
}

impl Scheduler {
    /// Returns the running attempts that get a new replica now, with their holder and the
    /// destination. These are attempts without a replica, for example because no server had memory
    /// for it, and attempts whose replica is on a server that is shutting down, drained or gone.
    /// The number is limited, so that transfers do not queue on the links.
    pub fn order_replicas(&mut self, now: Time) -> Vec<(InstanceId, AttemptId, Endpoint)> {
        if !self.pool.copies || now < self.next_replica_check {
            return Vec::new();
        }
        self.next_replica_check = now + REPLICA_CHECK_PERIOD;
        let is_staying = |name: &Name| self.servers.get(name).is_some_and(Server::is_staying);
        let is_at_risk = |assignment: &Assignment| !is_staying(&assignment.server);
        let mut unprotected: Vec<(bool, u32, AttemptId)> = self
            .assignments
            .iter()
            .filter(|(_, assignment)| assignment.confirmed && assignment.cancelled_at.is_none())
            .filter(|(_, assignment)| assignment.generated > 0)
            .filter(|(_, assignment)| !assignment.replica.as_ref().is_some_and(is_staying))
            .filter(|(_, assignment)| !self.is_rate_limited(&assignment.server))
            .map(|(attempt, assignment)| (is_at_risk(assignment), assignment.generated, *attempt))
            .collect();
        // Attempts on servers that are shutting down come first, then those with the most tokens.
        unprotected.sort_unstable_by(|a, b| b.cmp(a));
        let mut orders = Vec::new();
        if unprotected.is_empty() {
            return orders;
        }
        let mut occupancies = self.occupancies(now);
        for (at_risk, _, attempt) in unprotected {
            let limit = if at_risk {
                REPLICAS_PER_CHECK_MAX_AT_RISK
            } else {
                REPLICAS_PER_CHECK_MAX
            };
            if orders.len() >= limit {
                break;
            }
            let mut assignment = self.assignments[&attempt].clone();
            let share_max = if at_risk {
                REPLICA_MEMORY_SHARE_MAX_AT_RISK
            } else {
                REPLICA_MEMORY_SHARE_MAX
            };
            let original = Original {
                server: &assignment.server,
                software: self.software_of(&assignment),
                work: &assignment.work,
                length: assignment.generated + assignment.remaining,
            };
            let Some(replica) =
                self.choose_replica_server(now, &original, &[], share_max, &occupancies)
            else {
                continue;
            };
            orders.push((assignment.holder, attempt, self.endpoint_of(&replica)));
            assignment.replica = Some(replica);
            self.add_replica(&mut occupancies, &assignment);
            self.assignments.insert(attempt, assignment);
        }
        orders
    }

    /// Records that a replica could not be made, because its server has too little memory or is
    /// unreachable.
    pub fn record_replica_refused(&mut self, now: Time, attempt: AttemptId) {
        let assignment = self.assignments.get_mut(&attempt);
        if let Some(replica) = assignment.and_then(|assignment| assignment.replica.take()) {
            self.replica_refused_until
                .insert(replica, now + REPLICA_REFUSAL_BACKOFF);
        }
    }

    fn has_refused_replica(&self, now: Time, name: &Name) -> bool {
        self.replica_refused_until
            .get(name)
            .is_some_and(|until| now < *until)
    }

    /// Returns whether a server limits the rate of its requests. The order to copy a generation is a
    /// request to its server, and so is the attempt to resume it at the other one.
    fn is_rate_limited(&self, name: &Name) -> bool {
        self.servers
            .get(name)
            .is_some_and(|server| server.pacer().is_some())
    }

    /// Returns the software version that runs an assignment. A server that is no longer listed may
    /// still run it.
    fn software_of<'a>(&'a self, assignment: &'a Assignment) -> Option<&'a Name> {
        let listed = || self.servers.get(&assignment.server)?.software();
        assignment.software.as_ref().or_else(listed)
    }

    /// Returns the best server for a replica of a generation: the one with the least memory in use
    /// among those with the generation's software version, whose predicted peak stays within
    /// `share_max` so that replicas do not block admission.
    pub(super) fn choose_replica_server(
        &self,
        now: Time,
        original: &Original,
        avoid: &[Name],
        share_max: f64,
        occupancies: &Occupancies,
    ) -> Option<Name> {
        if !self.pool.copies || original.work.expected_tokens < REPLICA_TOKENS_MIN {
            return None;
        }
        let mut best: Option<(f64, Name)> = None;
        for (name, other) in &self.servers {
            if name == original.server || avoid.contains(name) || !other.is_open(now) {
                continue;
            }
            if !original.fits_software(other) {
                continue;
            }
            if self.has_refused_replica(now, name) || self.is_rate_limited(name) {
                continue;
            }
            let occupancy = &occupancies[name];
            let (work, length) = (original.work, original.length);
            let Some(share) = self.memory_share(other, occupancy, work, length, share_max) else {
                continue;
            };
            if best.as_ref().is_none_or(|(lowest, _)| share < *lowest) {
                best = Some((share, name.clone()));
            }
        }
        best.map(|(_, name)| name)
    }
}
