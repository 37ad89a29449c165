//! What has a place, and what its holders report of it.

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
use super::room::predicted_rest;
use crate::memory::Use;

/// Time for which an attempt that its holder gave up still counts. After it the server's reports show
/// whether it still runs.
pub(super) const GIVEN_UP_TIME: Duration = Duration::from_millis(500);
/// Time for which the work of a holder that died counts as running. One that is heard of after its
/// death was only cut off.
const ORPHAN_TIME: Duration = Duration::from_secs(5);
/// Time after which an attempt that no report names any more is forgotten. Holders report in full
/// more than twice in that time.
const UNHEARD_TIME: Duration = Duration::from_secs(13);

/// One attempt that has a place.
#[derive(Clone, Debug)]
pub(super) struct Placed {
    pub(super) server: Name,
    pub(super) holder: InstanceId,
    pub(super) work: Work,
    pub(super) copy: Option<Name>,
    pub(super) suspect: bool,
    pub(super) generated: u32,
    /// Tokens that are expected to follow, as of the last report.
    pub(super) rest: u32,
    pub(super) since: Time,
    pub(super) confirmed: bool,
    pub(super) asked_after: Time,
    pub(super) heard: Time,
    pub(super) given_up: Option<Time>,
}

impl Placed {
    /// Returns its memory.
    pub(super) fn memory(&self) -> Use {
        Use {
            held: u64::from(self.work.prompt) + u64::from(self.generated),
            rest: u64::from(self.rest),
        }
    }

    /// Takes word from its holder.
    fn hear(&mut self, now: Time, generated: u32) {
        self.confirmed = true;
        self.heard = now;
        self.generated = self.generated.max(generated);
    }
}

impl Scheduler {
    /// Takes one item of a report. Returns whether the attempt is known.
    pub(super) fn take_item(&mut self, now: Time, holder: InstanceId, item: &Item) -> bool {
        match item {
            Item::Running {
                attempt,
                server,
                work,
                generated,
                copy,
            } => {
                let rest = self.rest_of(work, *generated);
                let placed = self.placed.entry(*attempt).or_insert_with(|| Placed {
                    server: server.clone(),
                    holder,
                    work: work.clone(),
                    copy: copy.clone(),
                    suspect: false,
                    generated: *generated,
                    rest,
                    since: now,
                    confirmed: true,
                    asked_after: now,
                    heard: now,
                    given_up: None,
                });
                placed.hear(now, *generated);
                placed.rest = rest;
                true
            }
            Item::Progress { attempt, generated } => {
                let Some(placed) = self.placed.get_mut(attempt) else {
                    return false;
                };
                placed.hear(now, *generated);
                placed.rest = predicted_rest(&self.lengths, &placed.work, *generated);
                true
            }
            Item::Ended {
                attempt,
                end,
                generated,
                first_token_ms,
            } => {
                self.end(now, *attempt, *end, *generated, *first_token_ms);
                true
            }
        }
    }

    fn end(&mut self, now: Time, attempt: AttemptId, end: End, generated: u32, first_ms: u32) {
        if end == End::Cancelled {
            // The server may still run it: it has not heard of it yet, or can't be reached.
            if let Some(placed) = self.placed.get_mut(&attempt) {
                placed.given_up.get_or_insert(now);
            }
            return;
        }
        let Some(placed) = self.placed.remove(&attempt) else {
            return;
        };
        if end == End::Complete && self.pool.service == Service::Engine {
            let work = &placed.work;
            self.lengths.add(&work.route, &work.organisation, generated);
        }
        let Some(server) = self.servers.get_mut(&placed.server) else {
            return;
        };
        server.record_end(now);
        match end {
            End::Complete => {
                let first_token = Duration::from_millis(u64::from(first_ms));
                server.prove(now, placed.since, first_token, &self.pool);
            }
            End::Refused => server.fail(now, false, &self.pool),
            End::Crashed => {
                server.record_crash(now);
                server.fail(now, true, &self.pool);
            }
            End::Unreachable => server.fail(now, true, &self.pool),
            End::Cancelled | End::Failed | End::Unused => {}
        }
    }

    /// What a full report does not list does not run, unless it was granted so lately that the
    /// report may have crossed the grant.
    pub(super) fn drop_unlisted(&mut self, now: Time, holder: InstanceId, report: &Report) {
        let listed: BTreeSet<AttemptId> = report.items.iter().map(Item::attempt).collect();
        self.placed.retain(|attempt, placed| {
            placed.holder != holder
                || listed.contains(attempt)
                || now.saturating_sub(placed.since) < GRANT_LIFETIME
        });
    }

    pub(super) fn expire_grants(&mut self, now: Time) {
        let gone = &self.gone;
        self.placed.retain(|_, placed| {
            let unused = !placed.confirmed && now.saturating_sub(placed.since) >= GRANT_LIFETIME;
            let given_up = placed
                .given_up
                .is_some_and(|at| now.saturating_sub(at) >= GIVEN_UP_TIME);
            let unheard = now.saturating_sub(placed.heard) >= UNHEARD_TIME;
            let orphaned = gone
                .get(&placed.holder)
                .is_some_and(|at| placed.heard <= *at && now.saturating_sub(*at) >= ORPHAN_TIME);
            !unused && !orphaned && !unheard && !given_up
        });
        self.decay_rate(now);
    }
}
