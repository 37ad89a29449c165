//! Assignments of attempts to servers, and the holders' reports on them.

use std::collections::BTreeSet;
use std::time::Duration;

use clock::Time;
use conf::Service;
use wire::AttemptId;
use wire::InstanceId;
use wire::Name;
use wire::admission::End;
use wire::admission::Item;
use wire::admission::Report;
use wire::admission::Work;

use super::GRANT_LIFETIME;
use super::Scheduler;
use super::selection::estimate_remaining;
use crate::memory::Footprint;

/// Time for which a cancelled attempt still counts. After that the server's load reports show
/// whether it still runs.
pub(super) const CANCELLED_RETENTION: Duration = Duration::from_millis(500);
/// Time after a holder's death for which its attempts count as running. An attempt reported after
/// that moment is kept, since its holder was only disconnected.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an attempt that no report mentions is removed. Holders send more than two full
/// reports in that time.
const UNREPORTED_TIMEOUT: Duration = Duration::from_secs(13);

/// Assignment of one attempt to a server.
#[derive(Clone, Debug)]
pub(super) struct Assignment {
    pub(super) server: Name,
    /// Version of the server's software when the assignment was made. `None` if the list did not
    /// show the server, or showed another boot.
    pub(super) software: Option<Name>,
    pub(super) holder: InstanceId,
    pub(super) work: Work,
    /// Server that holds a replica of the generation's memory.
    pub(super) replica: Option<Name>,
    /// Whether the request is suspected of crashing servers.
    pub(super) suspect: bool,
    /// Tokens generated, as of the newest report.
    pub(super) generated: u32,
    /// Tokens expected to be generated after the newest report.
    pub(super) remaining: u32,
    /// Time of the grant, or of the holder's first report to a coordinator that did not grant it.
    pub(super) granted_at: Time,
    /// Whether the holder has reported that the attempt runs.
    pub(super) confirmed: bool,
    /// Time of the grant, or of the newest request for a report while it was unconfirmed.
    pub(super) last_query_at: Time,
    pub(super) last_report_at: Time,
    pub(super) cancelled_at: Option<Time>,
}

impl Assignment {
    /// Returns the memory that the attempt holds and is expected to add.
    pub(super) fn memory(&self) -> Footprint {
        Footprint {
            held: u64::from(self.work.prompt_tokens) + u64::from(self.generated),
            remaining: u64::from(self.remaining),
        }
    }

    /// Records a progress report of the holder.
    fn record_progress(&mut self, now: Time, generated: u32) {
        self.confirmed = true;
        self.last_report_at = now;
        self.generated = self.generated.max(generated);
    }
}

impl Scheduler {
    /// Applies one item of a report. Returns `false` if it is progress of an unknown attempt.
    pub(super) fn apply_item(&mut self, now: Time, holder: InstanceId, item: &Item) -> bool {
        match item {
            Item::Running {
                attempt,
                server,
                work,
                generated,
                replica,
            } => {
                let remaining = self.expected_remaining(work, *generated);
                let servers = &self.servers;
                let software = || servers.get(server)?.software().cloned();
                let assignment = self
                    .assignments
                    .entry(*attempt)
                    .or_insert_with(|| Assignment {
                        server: server.clone(),
                        software: software(),
                        holder,
                        work: work.clone(),
                        replica: replica.clone(),
                        suspect: false,
                        generated: *generated,
                        remaining,
                        granted_at: now,
                        confirmed: true,
                        last_query_at: now,
                        last_report_at: now,
                        cancelled_at: None,
                    });
                assignment.record_progress(now, *generated);
                assignment.remaining = remaining;
                true
            }
            Item::Progress { attempt, generated } => {
                let Some(assignment) = self.assignments.get_mut(attempt) else {
                    return false;
                };
                assignment.record_progress(now, *generated);
                assignment.remaining =
                    estimate_remaining(&self.lengths, &assignment.work, *generated);
                true
            }
            Item::Ended {
                attempt,
                end,
                generated,
                first_token_ms,
            } => {
                self.apply_end(now, *attempt, *end, *generated, *first_token_ms);
                true
            }
        }
    }

    /// Handles the end of an attempt: frees its slot and updates its server's limit and
    /// availability. A cancelled attempt keeps its slot for [`CANCELLED_RETENTION`].
    fn apply_end(
        &mut self,
        now: Time,
        attempt: AttemptId,
        end: End,
        generated: u32,
        first_token_ms: u32,
    ) {
        if end == End::Cancelled {
            // The server may still run the attempt: the cancellation has not arrived there yet, or
            // the server is unreachable.
            if let Some(assignment) = self.assignments.get_mut(&attempt) {
                assignment.cancelled_at.get_or_insert(now);
            }
            return;
        }
        let Some(assignment) = self.assignments.remove(&attempt) else {
            return;
        };
        if end == End::Complete && self.pool.service == Service::Engine {
            let work = &assignment.work;
            self.lengths.add(&work.route, &work.organisation, generated);
        }
        let Some(server) = self.servers.get_mut(&assignment.server) else {
            return;
        };
        server.record_end(now);
        match end {
            End::Complete => {
                let first_token = Duration::from_millis(u64::from(first_token_ms));
                server.record_success(now, assignment.granted_at, first_token, &self.pool);
            }
            End::Refused => server.record_failure(now, false, &self.pool),
            End::Crashed => {
                server.record_crash(now);
                server.record_failure(now, true, &self.pool);
            }
            End::Unreachable => server.record_failure(now, true, &self.pool),
            End::Cancelled | End::Failed | End::Unused => {}
        }
    }

    /// Removes the holder's attempts that its full report does not list. Attempts granted within
    /// [`GRANT_LIFETIME`] are kept, since the report may have been sent before the grant arrived.
    pub(super) fn drop_unlisted(&mut self, now: Time, holder: InstanceId, report: &Report) {
        let listed: BTreeSet<AttemptId> = report.items.iter().map(Item::attempt).collect();
        self.assignments.retain(|attempt, assignment| {
            assignment.holder != holder
                || listed.contains(attempt)
                || now.saturating_sub(assignment.granted_at) < GRANT_LIFETIME
        });
    }

    /// Removes assignments whose grant was never confirmed, that were cancelled, that no report
    /// mentions any more, or whose holder is dead.
    pub(super) fn expire_assignments(&mut self, now: Time) {
        let dead_holders = &self.dead_holders;
        self.assignments.retain(|_, assignment| {
            let unused = !assignment.confirmed
                && now.saturating_sub(assignment.granted_at) >= GRANT_LIFETIME;
            let cancelled = assignment
                .cancelled_at
                .is_some_and(|at| now.saturating_sub(at) >= CANCELLED_RETENTION);
            let unreported = now.saturating_sub(assignment.last_report_at) >= UNREPORTED_TIMEOUT;
            let orphaned = dead_holders.get(&assignment.holder).is_some_and(|at| {
                assignment.last_report_at <= *at && now.saturating_sub(*at) >= ORPHAN_TIMEOUT
            });
            !unused && !orphaned && !unreported && !cancelled
        });
        self.decay_service_rate(now);
    }
}
