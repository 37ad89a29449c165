//! Asking for a place, here or in another data centre.

use std::collections::BTreeMap;
use std::time::Duration;

use admit::Decision;
use clock::Time;
use conf::Name;
use route::choice::Candidate;
use route::choice::Criteria;
use suspect::Status;
use wire::AttemptId;
use wire::Body;
use wire::InstanceId;
use wire::RequestId;
use wire::admission::Denial;
use wire::admission::Grant;
use wire::admission::Reservation;

use crate::instance::Instance;
use crate::job::Asked;
use crate::job::Phase;
use crate::job::Seeking;
use crate::outcome::Reason;
use crate::settings::Policy;

/// Time after which an unanswered reservation is sent again; doubled each time.
const RESERVATION_RETRY: Duration = Duration::from_millis(80);
/// Times that a reservation is sent before its coordinator counts as silent.
const RESERVATION_TRIES: u32 = 3;
/// Time after which a queued reservation is repeated, so that the coordinator keeps it.
const RESERVATION_REFRESH: Duration = Duration::from_millis(600);
/// Time for which a silent coordinator is not asked.
const SILENT_TIME: Duration = Duration::from_millis(800);
/// Pause before looking again when there is nobody to ask.
const NOBODY_PAUSE: Duration = Duration::from_millis(120);
/// Time after its grant up to which a place may be used. Less than the time for which the coordinator
/// keeps it, by more than a frame's way.
const GRANT_USE: Duration = Duration::from_millis(700);
/// Time that a coordinator has to answer where a generation is to go on from a copy. Its caller
/// sees the pause, of which a route's objective allows less than 200 ms.
const COPY_ASK: Duration = Duration::from_millis(30);

/// What is remembered of a coordinator of another data centre, or of the own one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SiteMemory {
    pub(crate) full_at: Option<Time>,
    pub(crate) silent_until: Time,
}

/// Which of a job's two reservations an answer is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Side {
    Main,
    Spill,
}

impl Instance {
    /// Starts the search for a place.
    pub(crate) fn seek(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = Phase::Seeking(Seeking::default());
        if self.is_placed_locally(id) {
            self.place_locally(id);
        } else if self.settings.policy == Policy::Coordinator {
            self.reserve_next(id);
        } else {
            self.place_by_baseline(id);
        }
    }

    pub(crate) fn on_seek_due(&mut self, id: RequestId) {
        if self.is_placed_locally(id) {
            self.place_locally(id);
            return;
        }
        if self.settings.policy != Policy::Coordinator {
            self.place_by_baseline(id);
            return;
        }
        if self.jobs[&id].replica.is_some() {
            self.on_silent_copy(id);
            return;
        }
        let Some(Phase::Seeking(seeking)) = self.jobs.get(&id).map(|job| &job.phase) else {
            return;
        };
        let Some(main) = seeking.main.clone() else {
            self.look_again(id);
            return;
        };
        if let Some(spill) = seeking.spill.clone() {
            self.drop_late_spill(id, &spill);
        }
        if main.tries >= RESERVATION_TRIES {
            self.on_silent_coordinator(id, &main);
        } else {
            self.repeat_reservation(id, main);
        }
    }

    /// Forgets the data centres that were tried and starts over.
    fn look_again(&mut self, id: RequestId) {
        if let Some(Phase::Seeking(seeking)) = self.jobs.get_mut(&id).map(|job| &mut job.phase) {
            seeking.tried.clear();
        }
        self.reserve_next(id);
    }

    /// Asks the coordinator of a copy for the place where the copy is. A coordinator that does not
    /// answer at once is passed over: the copy's memory is there whatever the coordinator knows,
    /// and its caller waits.
    pub(crate) fn seek_at_copy(&mut self, id: RequestId, data_centre: &Name) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = Phase::Seeking(Seeking::default());
        let pool = job.route.pool.clone();
        let Some(asked) = self.asked(data_centre, &pool) else {
            self.on_silent_copy(id);
            return;
        };
        let (attempt, coordinator) = (asked.attempt, asked.coordinator);
        self.attempts.insert(attempt, id);
        self.set_main(id, Some(asked));
        self.set_due(id, self.now + COPY_ASK);
        self.send_reservation(id, attempt, data_centre, coordinator, false);
    }

    fn on_silent_copy(&mut self, id: RequestId) {
        self.withdraw_all(id);
        let Some(copy) = self.jobs[&id].replica.clone() else {
            return;
        };
        let Some(server) = self.servers.get(&copy.endpoint.server).cloned() else {
            self.end(id, Reason::Lost, None);
            return;
        };
        self.dispatch_to(id, &server);
        if self
            .jobs
            .get(&id)
            .is_some_and(|job| job.running().is_none())
        {
            self.end(id, Reason::Lost, None);
        }
    }

    fn repeat_reservation(&mut self, id: RequestId, mut main: Asked) {
        main.tries += 1;
        main.sent = self.now;
        let wait = if main.queued {
            RESERVATION_REFRESH
        } else {
            RESERVATION_RETRY * 2u32.pow(main.tries.min(4))
        };
        let (attempt, data_centre, coordinator) =
            (main.attempt, main.data_centre.clone(), main.coordinator);
        self.set_main(id, Some(main));
        self.set_due(id, self.now + wait);
        self.send_reservation(id, attempt, &data_centre, coordinator, true);
    }

    fn on_silent_coordinator(&mut self, id: RequestId, main: &Asked) {
        let pool = self.jobs[&id].route.pool.clone();
        let site = self.coordinator.site_mut(&main.data_centre, &pool);
        site.silent_until = self.now + SILENT_TIME;
        self.withdraw(main);
        self.set_main(id, None);
        self.reserve_next(id);
    }

    /// Asks the next data centre, or finds that there is none.
    fn reserve_next(&mut self, id: RequestId) {
        let Some(Phase::Seeking(seeking)) = self.jobs.get(&id).map(|job| &job.phase) else {
            return;
        };
        let tried = seeking.tried.clone();
        let pool = self.jobs[&id].route.pool.clone();
        let candidates = self.candidates(&pool);
        let Some(data_centre) = self.choose_site(&candidates, &tried) else {
            self.on_nobody_left(id, &candidates, &tried);
            return;
        };
        let Some(asked) = self.asked(&data_centre, &pool) else {
            self.set_due(id, self.now + NOBODY_PAUSE);
            return;
        };
        let (attempt, coordinator) = (asked.attempt, asked.coordinator);
        self.attempts.insert(attempt, id);
        self.set_main(id, Some(asked));
        self.set_due(id, self.now + RESERVATION_RETRY);
        self.send_reservation(id, attempt, &data_centre, coordinator, true);
    }

    fn choose_site(
        &mut self,
        candidates: &BTreeMap<Name, Candidate>,
        tried: &[Name],
    ) -> Option<Name> {
        let own = self.own_dc();
        let criteria = Criteria {
            config: self.config.follower.config(),
            own: &own,
            tried,
            candidates,
            now: self.now,
            wall: self.wall,
        };
        route::choice::choose(&criteria, &mut self.rng)
    }

    fn asked(&mut self, data_centre: &Name, pool: &Name) -> Option<Asked> {
        let coordinator = self.members.coordinator(data_centre, pool)?;
        Some(Asked {
            attempt: self.rng.u64(1..),
            data_centre: data_centre.clone(),
            coordinator,
            sent: self.now,
            tries: 1,
            queued: false,
        })
    }

    /// Decides what a job does for which no data centre is left to ask.
    fn on_nobody_left(
        &mut self,
        id: RequestId,
        candidates: &BTreeMap<Name, Candidate>,
        tried: &[Name],
    ) {
        let Some(Phase::Seeking(seeking)) = self.jobs.get(&id).map(|job| &job.phase) else {
            return;
        };
        let retry = seeking.retry;
        // The coordinator that denied it named a wait that is longer than it has.
        let hopeless = self.now + retry >= self.jobs[&id].deadline;
        let silent = candidates.iter().any(|(name, candidate)| {
            candidate.servers > 0 && !candidate.reachable && !tried.contains(name)
        });
        let final_denial = match seeking.denial {
            Some(Denial::Full) => Some(Reason::Overloaded),
            Some(Denial::Limited) => Some(Reason::Limited),
            _ => None,
        };
        if silent && self.place_by_fallback(id) {
            return;
        }
        match final_denial {
            Some(reason) if !silent || hopeless => self.end(id, reason, Some(retry)),
            _ => self.set_due(id, self.now + NOBODY_PAUSE),
        }
    }

    /// Returns what is known of each data centre for a pool.
    pub(crate) fn candidates(&self, pool: &str) -> BTreeMap<Name, Candidate> {
        let mut candidates: BTreeMap<Name, Candidate> = BTreeMap::new();
        let config = self.config();
        let Some(found) = config.pools.get(pool) else {
            return candidates;
        };
        let label = found.label(pool);
        for server in self.servers.values().filter(|server| server.label == label) {
            let candidate = candidates.entry(server.data_centre.clone()).or_default();
            if self.may_take_work(&server.data_centre, &server.name) {
                candidate.servers += 1;
            }
        }
        for (name, candidate) in &mut candidates {
            let memory = self.coordinator.site(name, pool);
            let alive = self.members.coordinator(name, pool).is_some();
            candidate.reachable = alive && self.now >= memory.silent_until;
            candidate.full_at = memory.full_at;
        }
        candidates
    }

    fn send_reservation(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        data_centre: &Name,
        coordinator: InstanceId,
        may_wait: bool,
    ) {
        let job = &self.jobs[&id];
        let patience = job.deadline.saturating_sub(self.now).as_millis();
        let wait_ms = u32::try_from(patience).unwrap_or(u32::MAX);
        let status = self.suspects.status(self.now, job.request.fingerprint);
        let reservation = Reservation {
            attempt,
            pool: job.route.pool.clone(),
            data_centre: data_centre.clone(),
            work: job.work(self.hint(job)),
            avoid: job.avoid.clone(),
            suspect: status == Status::Suspect,
            wait_ms: if may_wait { wait_ms } else { 0 },
            at: job
                .replica
                .as_ref()
                .map(|copy| copy.endpoint.server.clone()),
        };
        if coordinator == self.id() {
            self.on_reservation(coordinator, reservation);
        } else {
            self.send(coordinator, Body::Reserve(reservation));
        }
    }

    /// Takes a coordinator's answer to a reservation.
    pub(crate) fn on_decision(
        &mut self,
        from: InstanceId,
        attempt: AttemptId,
        decision: Decision,
        age: Duration,
    ) {
        let Some((id, side)) = self.side_of(attempt) else {
            // Too late: the job has ended or has asked anew. A grant that came twice is in use.
            if matches!(decision, Decision::Grant(_)) && !self.is_running(attempt) {
                self.return_grant(from, attempt);
            }
            return;
        };
        match decision {
            Decision::Grant(grant) => self.on_grant(id, side, from, &grant, age),
            Decision::Queued { .. } => self.on_queued(id, side),
            Decision::Deny { denial, retry } => self.on_deny(id, side, denial, retry),
        }
    }

    fn is_running(&self, attempt: AttemptId) -> bool {
        let job = self.attempts.get(&attempt).and_then(|id| self.jobs.get(id));
        job.and_then(|job| job.running())
            .is_some_and(|running| running.attempt == attempt)
    }

    fn side_of(&self, attempt: AttemptId) -> Option<(RequestId, Side)> {
        let id = *self.attempts.get(&attempt)?;
        let Phase::Seeking(seeking) = &self.jobs.get(&id)?.phase else {
            return None;
        };
        let is_it = |asked: &Option<Asked>| asked.as_ref().is_some_and(|a| a.attempt == attempt);
        if is_it(&seeking.main) {
            Some((id, Side::Main))
        } else if is_it(&seeking.spill) {
            Some((id, Side::Spill))
        } else {
            None
        }
    }

    fn on_grant(
        &mut self,
        id: RequestId,
        side: Side,
        from: InstanceId,
        grant: &Grant,
        age: Duration,
    ) {
        let Some(asked) = self.take_side(id, side) else {
            return;
        };
        let fingerprint = self.jobs[&id].request.fingerprint;
        if self.suspects.status(self.now, fingerprint) == Status::Barred {
            self.return_grant(from, grant.attempt);
            self.end_barred(id);
            return;
        }
        let age = age + Duration::from_millis(u64::from(grant.age_ms));
        if age < GRANT_USE {
            // The other reservation is taken back only after this one is sure to be used.
            let other = self.other_side(id, side);
            if self.dispatch(id, &asked.data_centre, grant) {
                if let Some(other) = other {
                    self.withdraw(&other);
                }
                return;
            }
        }
        self.return_grant(from, grant.attempt);
        if side == Side::Main {
            // Asking at once could lead to the same grant again and again.
            self.set_due(id, self.now + NOBODY_PAUSE);
        }
    }

    fn on_queued(&mut self, id: RequestId, side: Side) {
        if side == Side::Spill {
            return;
        }
        if let Some(Phase::Seeking(seeking)) = self.jobs.get_mut(&id).map(|job| &mut job.phase)
            && let Some(main) = &mut seeking.main
        {
            main.queued = true;
            main.tries = 0;
        }
        self.set_due(id, self.now + RESERVATION_REFRESH);
        self.spill(id);
    }

    /// Looks for a place at once in another data centre while the job waits in one.
    fn spill(&mut self, id: RequestId) {
        let job = &self.jobs[&id];
        let Phase::Seeking(seeking) = &job.phase else {
            return;
        };
        let Some(main) = seeking.main.clone().filter(|_| seeking.spill.is_none()) else {
            return;
        };
        let pool = job.route.pool.clone();
        let mut tried = seeking.tried.clone();
        tried.push(main.data_centre);
        let mut candidates = self.candidates(&pool);
        candidates.retain(|name, _| !self.coordinator.was_full_lately(name, &pool, self.now));
        let Some(data_centre) = self.choose_site(&candidates, &tried) else {
            return;
        };
        let Some(asked) = self.asked(&data_centre, &pool) else {
            return;
        };
        let (attempt, coordinator) = (asked.attempt, asked.coordinator);
        self.attempts.insert(attempt, id);
        if let Some(Phase::Seeking(seeking)) = self.jobs.get_mut(&id).map(|job| &mut job.phase) {
            seeking.spill = Some(asked);
        }
        self.send_reservation(id, attempt, &data_centre, coordinator, false);
    }

    fn drop_late_spill(&mut self, id: RequestId, spill: &Asked) {
        if self.now.saturating_sub(spill.sent) < RESERVATION_RETRY {
            return;
        }
        self.withdraw(spill);
        self.take_side(id, Side::Spill);
        self.spill(id);
    }

    fn on_deny(&mut self, id: RequestId, side: Side, denial: Denial, retry: Duration) {
        let Some(asked) = self.take_side(id, side) else {
            return;
        };
        self.attempts.remove(&asked.attempt);
        if self.jobs[&id].replica.is_some() {
            self.log(
                "seek",
                true,
                format!("Request {id}: the place of its copy was denied."),
            );
            self.end(id, Reason::Lost, None);
            return;
        }
        let text = format!(
            "Request {id}: {} denied a place ({denial:?}, asked {} ms ago), again in {} ms.",
            asked.data_centre,
            self.now.saturating_sub(asked.sent).as_millis(),
            retry.as_millis(),
        );
        self.log("seek", false, text);
        let pool = self.jobs[&id].route.pool.clone();
        // Work that waits asks others again and again, so it passes over one that had no place for any
        // reason.
        if denial == Denial::Full || side == Side::Spill {
            self.coordinator.site_mut(&asked.data_centre, &pool).full_at = Some(self.now);
        }
        if side == Side::Spill {
            self.spill(id);
            return;
        }
        if let Some(Phase::Seeking(seeking)) = self.jobs.get_mut(&id).map(|job| &mut job.phase) {
            seeking.tried.push(asked.data_centre);
            seeking.retry = seeking.retry.max(retry);
            // A full data centre says more about when to come back than an empty one.
            if seeking.denial.is_none_or(|known| denial < known) {
                seeking.denial = Some(denial);
            }
        }
        self.reserve_next(id);
    }

    /// An instance that was asked is not the coordinator.
    pub(crate) fn on_elsewhere(&mut self, attempt: AttemptId, coordinator: InstanceId) {
        let Some((id, Side::Main)) = self.side_of(attempt) else {
            return;
        };
        let known =
            self.members.entry(coordinator).is_some() && self.members.is_running(coordinator);
        let Some(Phase::Seeking(seeking)) = self.jobs.get_mut(&id).map(|job| &mut job.phase) else {
            return;
        };
        let Some(main) = &mut seeking.main else {
            return;
        };
        // A hint that leads back to the same instance is no hint.
        if !known || coordinator == main.coordinator || main.tries >= RESERVATION_TRIES {
            return;
        }
        main.coordinator = coordinator;
        main.queued = false;
        let main = main.clone();
        self.repeat_reservation(id, main);
    }

    fn set_main(&mut self, id: RequestId, main: Option<Asked>) {
        if let Some(Phase::Seeking(seeking)) = self.jobs.get_mut(&id).map(|job| &mut job.phase) {
            seeking.main = main;
        }
    }

    fn take_side(&mut self, id: RequestId, side: Side) -> Option<Asked> {
        let Phase::Seeking(seeking) = &mut self.jobs.get_mut(&id)?.phase else {
            return None;
        };
        match side {
            Side::Main => seeking.main.take(),
            Side::Spill => seeking.spill.take(),
        }
    }

    fn other_side(&self, id: RequestId, side: Side) -> Option<Asked> {
        let Phase::Seeking(seeking) = &self.jobs.get(&id)?.phase else {
            return None;
        };
        match side {
            Side::Main => seeking.spill.clone(),
            Side::Spill => seeking.main.clone(),
        }
    }

    /// Takes back all reservations of a job.
    pub(crate) fn withdraw_all(&mut self, id: RequestId) {
        for side in [Side::Main, Side::Spill] {
            if let Some(asked) = self.take_side(id, side) {
                self.withdraw(&asked);
            }
        }
    }

    fn withdraw(&mut self, asked: &Asked) {
        self.attempts.remove(&asked.attempt);
        self.return_grant(asked.coordinator, asked.attempt);
    }

    fn return_grant(&mut self, coordinator: InstanceId, attempt: AttemptId) {
        if coordinator == self.id() {
            self.on_withdraw(attempt);
        } else {
            self.send(coordinator, Body::Withdraw { attempt });
        }
    }
}
