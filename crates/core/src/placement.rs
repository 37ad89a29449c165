//! Placement of a request: reserving a place on a server through a pool's coordinator, in this data
//! centre or another one.
//!
//! A job has one main reservation, which may be queued at its coordinator. While it is queued, a
//! second reservation (the spill reservation) tries to get a place at once in another data centre.

use std::collections::BTreeMap;
use std::time::Duration;

use admit::Decision;
use clock::Time;
use conf::Name;
use route::choice::Candidate;
use route::choice::Criteria;
use wire::AttemptId;
use wire::Body;
use wire::InstanceId;
use wire::RequestId;
use wire::admission::Denial;
use wire::admission::Grant;
use wire::admission::Reservation;

use crate::instance::Instance;
use crate::job::Job;
use crate::job::PendingReservation;
use crate::job::Phase;
use crate::job::Placement;
use crate::lifecycle::Dispatched;
use crate::origins::is_of_version;
use crate::outcome::Reason;
use crate::settings::Policy;

/// Time after which an unanswered reservation is first sent again. Each later wait is this time
/// multiplied by two to the power of the number of tries, at most four.
const RESERVATION_RETRY: Duration = Duration::from_millis(80);
/// Times that a reservation is sent before its coordinator is considered silent.
const RESERVATION_TRIES: u32 = 3;
/// Time after which a queued reservation is sent again, so that the coordinator keeps it in its
/// queue.
const RESERVATION_REFRESH: Duration = Duration::from_millis(600);
/// Time for which no reservation is sent to a silent coordinator.
const SILENT_COORDINATOR_BACKOFF: Duration = Duration::from_millis(800);
/// Pause before the search is repeated when no data centre can be sent a reservation.
const NO_CANDIDATE_PAUSE: Duration = Duration::from_millis(120);
/// Age up to which a grant may be used. The coordinator holds the granted place longer than this,
/// by more than the time that a frame takes.
const GRANT_AGE_MAX: Duration = Duration::from_millis(700);
/// Longest time for which the numbers of servers that may take work are kept.
const COUNT_LIFETIME: Duration = Duration::from_millis(50);
/// Retry-after of a request of a pool without a server in service.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Time that a coordinator has to answer a reservation for resuming from a copy. The caller sees
/// this as a gap between tokens, for which a route's objective allows less than 200 ms.
const COPY_RESERVATION_TIMEOUT: Duration = Duration::from_millis(30);

/// State of the coordinator of one pool in one data centre, as an instance knows it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CoordinatorStatus {
    /// When the coordinator last denied a main reservation as full, or a spill reservation for any
    /// reason.
    pub(crate) last_full: Option<Time>,
    /// Time before which no reservation is sent to the coordinator, because the last one was not
    /// answered. Zero if there is no such time.
    pub(crate) silent_until: Time,
}

/// How many servers of a pool may take work in each data centre.
#[derive(Debug)]
pub(crate) struct ServerCounts {
    counted_at: Time,
    /// Number of changes of the server list or the configuration before the count.
    list_changes: u64,
    by_data_centre: BTreeMap<Name, usize>,
}

/// Identifies one of a job's two reservations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReservationKind {
    /// The reservation that may be queued.
    Main,
    /// The reservation in another data centre that may not be queued.
    Spill,
}

impl Instance {
    /// Starts the placement of a job by the policy that applies to it.
    pub(crate) fn start_placement(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = Phase::Placing(Placement::default());
        job.placing_since = self.now;
        if self.hand_over_if_cut_off(id) || self.waits_for_trial(id) {
            return;
        }
        if self.is_placed_locally(id) {
            self.place_locally(id);
        } else if self.settings.policy == Policy::Coordinator {
            self.reserve_next(id);
        } else {
            self.place_by_baseline(id);
        }
    }

    /// Continues the placement of a job whose timer is due: repeats, replaces or gives up its
    /// reservations.
    pub(crate) fn on_placement_timer(&mut self, id: RequestId) {
        if self.hand_over_if_cut_off(id) {
            return;
        }
        if self.is_placed_locally(id) {
            self.place_locally(id);
            return;
        }
        if self.settings.policy != Policy::Coordinator {
            self.place_by_baseline(id);
            return;
        }
        if self.jobs[&id].resume_from.is_some() {
            self.resume_without_grant(id);
            return;
        }
        let Some(Phase::Placing(placement)) = self.jobs.get(&id).map(|job| &job.phase) else {
            return;
        };
        let Some(main) = placement.main.clone() else {
            self.restart_search(id);
            return;
        };
        if let Some(spill) = placement.spill.clone() {
            self.drop_unanswered_spill(id, &spill);
        }
        if main.tries >= RESERVATION_TRIES {
            self.on_silent_coordinator(id, &main);
        } else {
            self.repeat_reservation(id, main);
        }
    }

    /// Clears the list of tried data centres and starts the search again.
    fn restart_search(&mut self, id: RequestId) {
        if let Some(Phase::Placing(placement)) = self.jobs.get_mut(&id).map(|job| &mut job.phase) {
            placement.tried.clear();
        }
        self.reserve_next(id);
    }

    /// Reserves a place on the server that holds the copy from which a generation resumes. If the
    /// coordinator does not answer within [`COPY_RESERVATION_TIMEOUT`], the generation resumes
    /// without a grant: the server already holds the copy's memory, and the caller is waiting.
    pub(crate) fn reserve_at_copy(&mut self, id: RequestId, data_centre: &Name) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = Phase::Placing(Placement::default());
        let pool = job.route.pool.clone();
        let Some(reservation) = self.new_reservation(data_centre, &pool) else {
            self.resume_without_grant(id);
            return;
        };
        let (attempt, coordinator) = (reservation.attempt, reservation.coordinator);
        self.attempt_requests.insert(attempt, id);
        self.set_main(id, Some(reservation));
        self.set_timer(id, self.now + COPY_RESERVATION_TIMEOUT);
        self.send_reservation(id, attempt, data_centre, coordinator, false);
    }

    /// Dispatches a job to the server that holds its copy although no place was granted.
    fn resume_without_grant(&mut self, id: RequestId) {
        self.withdraw_all(id);
        let Some(copy) = self.jobs[&id].resume_from.clone() else {
            return;
        };
        // The requests to a limited server are counted by its coordinator only.
        let is_limited = self.rate_limit(&copy.endpoint.server).is_some();
        let server = self.servers.get(&copy.endpoint.server).cloned();
        let Some(server) = server.filter(|_| !is_limited) else {
            self.on_copy_unusable(id);
            return;
        };
        if self.dispatch_to(id, &server) == Dispatched::Refused {
            self.on_copy_unusable(id);
        }
    }

    fn repeat_reservation(&mut self, id: RequestId, mut main: PendingReservation) {
        main.tries += 1;
        main.sent_at = self.now;
        let wait = if main.queued {
            RESERVATION_REFRESH
        } else {
            RESERVATION_RETRY * 2u32.pow(main.tries.min(4))
        };
        let (attempt, data_centre, coordinator) =
            (main.attempt, main.data_centre.clone(), main.coordinator);
        self.set_main(id, Some(main));
        self.set_timer(id, self.now + wait);
        self.send_reservation(id, attempt, &data_centre, coordinator, true);
    }

    fn on_silent_coordinator(&mut self, id: RequestId, main: &PendingReservation) {
        let pool = self.jobs[&id].route.pool.clone();
        let status = self.coordinator.status_mut(&main.data_centre, &pool);
        status.silent_until = self.now + SILENT_COORDINATOR_BACKOFF;
        self.withdraw(main);
        self.set_main(id, None);
        self.reserve_next(id);
    }

    /// Sends a reservation to the next data centre, if there is one that was not tried yet.
    fn reserve_next(&mut self, id: RequestId) {
        let Some(Phase::Placing(placement)) = self.jobs.get(&id).map(|job| &job.phase) else {
            return;
        };
        let tried = placement.tried.clone();
        let pool = self.jobs[&id].route.pool.clone();
        let software = self.jobs[&id].required_software().cloned();
        let candidates = self.candidates(&pool, software.as_ref());
        let Some(data_centre) = self.choose_data_centre(&candidates, &tried) else {
            self.on_no_candidate_left(id, &candidates, &tried);
            return;
        };
        let Some(reservation) = self.new_reservation(&data_centre, &pool) else {
            self.set_timer(id, self.now + NO_CANDIDATE_PAUSE);
            return;
        };
        let (attempt, coordinator) = (reservation.attempt, reservation.coordinator);
        self.attempt_requests.insert(attempt, id);
        self.set_main(id, Some(reservation));
        self.set_timer(id, self.now + RESERVATION_RETRY);
        self.send_reservation(id, attempt, &data_centre, coordinator, true);
    }

    fn choose_data_centre(
        &mut self,
        candidates: &BTreeMap<Name, Candidate>,
        tried: &[Name],
    ) -> Option<Name> {
        let own = self.own_data_centre();
        let criteria = Criteria {
            config: self.config.follower.config(),
            own_data_centre: &own,
            tried,
            candidates,
            now: self.now,
            wall: self.wall,
        };
        route::choice::choose(&criteria, &mut self.rng)
    }

    fn new_reservation(&mut self, data_centre: &Name, pool: &Name) -> Option<PendingReservation> {
        let coordinator = self.members.coordinator(data_centre, pool)?;
        Some(PendingReservation {
            attempt: self.rng.u64(1..),
            data_centre: data_centre.clone(),
            coordinator,
            sent_at: self.now,
            tries: 1,
            queued: false,
        })
    }

    /// Handles a job for which no data centre is left to try: uses the fallback share if a
    /// coordinator is silent, ends the job if its denial is final, or else repeats the search after
    /// a pause.
    fn on_no_candidate_left(
        &mut self,
        id: RequestId,
        candidates: &BTreeMap<Name, Candidate>,
        tried: &[Name],
    ) {
        let Some(Phase::Placing(placement)) = self.jobs.get(&id).map(|job| &job.phase) else {
            return;
        };
        let retry = placement.retry_after;
        // Whether the job reaches its deadline before the retry time that came with the denial.
        let past_deadline = self.now + retry >= self.jobs[&id].deadline;
        let silent = candidates.iter().any(|(name, candidate)| {
            candidate.servers > 0 && !candidate.reachable && !tried.contains(name)
        });
        let final_denial = match placement.denial {
            Some(Denial::Full) => Some(Reason::Overloaded),
            Some(Denial::Limited) => Some(Reason::Limited),
            _ => None,
        };
        if silent && self.place_by_fallback(id) {
            return;
        }
        if self.end_if_pool_is_closed(id) {
            return;
        }
        match final_denial {
            Some(reason) if !silent || past_deadline => self.end(id, reason, Some(retry)),
            _ => self.set_timer(id, self.now + NO_CANDIDATE_PAUSE),
        }
    }

    /// Ends a job that is known not to be served before its deadline: no server of its pool is in
    /// service, or none accepts requests of this instance in time. Returns whether the job was ended.
    pub(crate) fn end_if_pool_is_closed(&mut self, id: RequestId) -> bool {
        let job = &self.jobs[&id];
        // Without a list it is not known which servers there are.
        if self.has_server_list && !self.has_server_in_service(job) {
            self.end(id, Reason::NoServer, Some(NO_SERVER_RETRY_AFTER));
            return true;
        }
        let Some(until) = self.pool_backoff(&job.route.pool) else {
            return false;
        };
        if until < job.deadline {
            return false;
        }
        let retry_after = until.saturating_sub(self.now);
        self.end(id, Reason::Overloaded, Some(retry_after));
        true
    }

    /// Returns whether any server takes a job now or after a backoff.
    fn has_server_in_service(&self, job: &Job) -> bool {
        let Some(pool) = self.config().pools.get(&job.route.pool) else {
            return false;
        };
        let label = pool.label(&job.route.pool);
        let software = job.required_software();
        self.servers
            .values()
            .filter(|server| server.label == label && is_of_version(server, software))
            .any(|server| self.would_take_work(&server.data_centre, &server.name))
    }

    /// Returns the data centres that have servers of a pool and of the required software version, if
    /// there is one, with what is known of each.
    pub(crate) fn candidates(
        &mut self,
        pool: &str,
        software: Option<&Name>,
    ) -> BTreeMap<Name, Candidate> {
        let mut candidates: BTreeMap<Name, Candidate> = self
            .server_counts(pool, software)
            .into_iter()
            .map(|(data_centre, servers)| {
                let candidate = Candidate {
                    servers,
                    ..Candidate::default()
                };
                (data_centre, candidate)
            })
            .collect();
        for (name, candidate) in &mut candidates {
            let status = self.coordinator.status(name, pool);
            let alive = self.members.coordinator(name, pool).is_some();
            candidate.reachable = alive && self.now >= status.silent_until;
            candidate.last_full = status.last_full;
        }
        candidates
    }

    /// Returns how many servers of a pool may take work in each data centre that has any. The counts
    /// may be [`COUNT_LIFETIME`] old, so that a placement's cost does not grow with the list; every
    /// dispatch checks its server anew.
    fn server_counts(&mut self, pool: &str, software: Option<&Name>) -> BTreeMap<Name, usize> {
        let key = (Name::from(pool), software.cloned());
        let (now, list_changes) = (self.now, self.list_changes);
        let is_valid = |counts: &ServerCounts| {
            counts.list_changes == list_changes
                && now.saturating_sub(counts.counted_at) < COUNT_LIFETIME
        };
        if let Some(counts) = self
            .server_counts
            .get(&key)
            .filter(|counts| is_valid(counts))
        {
            return counts.by_data_centre.clone();
        }
        let Some(found) = self.config().pools.get(pool) else {
            return BTreeMap::new();
        };
        let label = found.label(pool);
        let mut by_data_centre: BTreeMap<Name, usize> = BTreeMap::new();
        let servers = self.servers.values();
        for server in servers.filter(|server| server.label == label) {
            if !is_of_version(server, software) {
                continue;
            }
            let count = by_data_centre
                .entry(server.data_centre.clone())
                .or_default();
            *count += usize::from(self.may_take_work(&server.data_centre, &server.name));
        }
        let counts = ServerCounts {
            counted_at: self.now,
            list_changes: self.list_changes,
            by_data_centre: by_data_centre.clone(),
        };
        self.server_counts.retain(|_, counts| is_valid(counts));
        self.server_counts.insert(key, counts);
        by_data_centre
    }

    fn send_reservation(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        data_centre: &Name,
        coordinator: InstanceId,
        may_queue: bool,
    ) {
        let job = &self.jobs[&id];
        let time_left = job.deadline.saturating_sub(self.now).as_millis();
        let wait_ms = u32::try_from(time_left).unwrap_or(u32::MAX);
        let reservation = Reservation {
            attempt,
            pool: job.route.pool.clone(),
            data_centre: data_centre.clone(),
            work: job.work(self.expected_tokens(job)),
            avoid: self.excluded_servers(&job.avoid),
            suspect: self.wants_isolation(id),
            wait_ms: if may_queue { wait_ms } else { 0 },
            resume_server: job
                .resume_from
                .as_ref()
                .map(|copy| copy.endpoint.server.clone()),
            software: job.required_software().cloned(),
        };
        if coordinator == self.id() {
            self.on_reservation(coordinator, reservation);
        } else {
            self.send(coordinator, Body::Reserve(reservation));
        }
    }

    /// Handles a coordinator's answer to a reservation.
    pub(crate) fn on_decision(
        &mut self,
        from: InstanceId,
        attempt: AttemptId,
        decision: Decision,
        age: Duration,
    ) {
        let Some((id, kind)) = self.find_reservation(attempt) else {
            // The job has ended or has made another reservation, so the grant is returned. A
            // duplicate of a grant that is already in use must not be returned.
            if matches!(decision, Decision::Grant(_)) && !self.is_running(attempt) {
                self.return_grant(from, attempt);
            }
            return;
        };
        match decision {
            Decision::Grant(grant) => self.on_grant(id, kind, from, &grant, age),
            Decision::Queued { .. } => self.on_queued(id, kind),
            Decision::Deny { denial, retry } => self.on_deny(id, kind, denial, retry),
        }
    }

    fn is_running(&self, attempt: AttemptId) -> bool {
        let job = self
            .attempt_requests
            .get(&attempt)
            .and_then(|id| self.jobs.get(id));
        job.and_then(|job| job.running())
            .is_some_and(|running| running.attempt == attempt)
    }

    fn find_reservation(&self, attempt: AttemptId) -> Option<(RequestId, ReservationKind)> {
        let id = *self.attempt_requests.get(&attempt)?;
        let Phase::Placing(placement) = &self.jobs.get(&id)?.phase else {
            return None;
        };
        let matches_attempt = |reservation: &Option<PendingReservation>| {
            reservation.as_ref().is_some_and(|r| r.attempt == attempt)
        };
        if matches_attempt(&placement.main) {
            Some((id, ReservationKind::Main))
        } else if matches_attempt(&placement.spill) {
            Some((id, ReservationKind::Spill))
        } else {
            None
        }
    }

    fn on_grant(
        &mut self,
        id: RequestId,
        kind: ReservationKind,
        from: InstanceId,
        grant: &Grant,
        age: Duration,
    ) {
        let Some(reservation) = self.take_reservation(id, kind) else {
            return;
        };
        if self.end_if_barred(id) || self.end_if_leaving(id) || self.waits_for_trial(id) {
            self.return_grant(from, grant.attempt);
            return;
        }
        let age = age + Duration::from_millis(u64::from(grant.age_ms));
        // The paths may have been lost while the reservation was queued.
        if kind == ReservationKind::Main && self.hand_over_if_cut_off(id) {
            self.return_grant(from, grant.attempt);
            return;
        }
        if age < GRANT_AGE_MAX && !self.waits_for_opening(id) {
            // The other reservation is withdrawn only once this grant has been dispatched.
            let other = self.other_reservation(id, kind);
            if self.dispatch(id, &reservation.data_centre, grant) == Dispatched::Sent {
                if let Some(other) = other {
                    self.withdraw(&other);
                }
                return;
            }
        }
        self.return_grant(from, grant.attempt);
        let is_running = self.jobs.get(&id).and_then(Job::running).is_some();
        if kind == ReservationKind::Main && !is_running {
            // A new reservation at once could get the same unusable grant over and over.
            self.set_timer(id, self.now + NO_CANDIDATE_PAUSE);
        }
    }

    fn on_queued(&mut self, id: RequestId, kind: ReservationKind) {
        if kind == ReservationKind::Spill {
            return;
        }
        if let Some(Phase::Placing(placement)) = self.jobs.get_mut(&id).map(|job| &mut job.phase)
            && let Some(main) = &mut placement.main
        {
            main.queued = true;
            main.tries = 0;
        }
        self.set_timer(id, self.now + RESERVATION_REFRESH);
        self.reserve_spill(id);
    }

    /// Sends a spill reservation: tries to get a place at once in another data centre while the
    /// main reservation is queued.
    fn reserve_spill(&mut self, id: RequestId) {
        let job = &self.jobs[&id];
        let Phase::Placing(placement) = &job.phase else {
            return;
        };
        let Some(main) = placement.main.clone().filter(|_| placement.spill.is_none()) else {
            return;
        };
        let pool = job.route.pool.clone();
        let mut tried = placement.tried.clone();
        tried.push(main.data_centre);
        let software = self.jobs[&id].required_software().cloned();
        let mut candidates = self.candidates(&pool, software.as_ref());
        candidates.retain(|name, _| !self.coordinator.was_recently_full(name, &pool, self.now));
        let Some(data_centre) = self.choose_data_centre(&candidates, &tried) else {
            return;
        };
        let Some(reservation) = self.new_reservation(&data_centre, &pool) else {
            return;
        };
        let (attempt, coordinator) = (reservation.attempt, reservation.coordinator);
        self.attempt_requests.insert(attempt, id);
        if let Some(Phase::Placing(placement)) = self.jobs.get_mut(&id).map(|job| &mut job.phase) {
            placement.spill = Some(reservation);
        }
        self.send_reservation(id, attempt, &data_centre, coordinator, false);
    }

    fn drop_unanswered_spill(&mut self, id: RequestId, spill: &PendingReservation) {
        if self.now.saturating_sub(spill.sent_at) < RESERVATION_RETRY {
            return;
        }
        self.withdraw(spill);
        self.take_reservation(id, ReservationKind::Spill);
        self.reserve_spill(id);
    }

    fn on_deny(&mut self, id: RequestId, kind: ReservationKind, denial: Denial, retry: Duration) {
        let Some(reservation) = self.take_reservation(id, kind) else {
            return;
        };
        self.attempt_requests.remove(&reservation.attempt);
        if self.jobs[&id].resume_from.is_some() {
            self.log(
                "seek",
                true,
                format!(
                    "Request {id}: {} denied the reservation on the server of its copy ({denial:?}).",
                    reservation.data_centre
                ),
            );
            self.on_copy_unusable(id);
            return;
        }
        let text = format!(
            "Request {id}: {} denied a reservation ({denial:?}, sent {} ms ago), retry in {} ms.",
            reservation.data_centre,
            self.now.saturating_sub(reservation.sent_at).as_millis(),
            retry.as_millis(),
        );
        self.log("seek", false, text);
        let pool = self.jobs[&id].route.pool.clone();
        // A queued job sends spill reservations repeatedly, so a data centre that denied a spill
        // reservation for any reason is skipped for a while.
        // For a job that is bound to a software version the denial says little about other jobs.
        let is_bound = self.jobs[&id].required_software().is_some();
        if (denial == Denial::Full || kind == ReservationKind::Spill) && !is_bound {
            self.coordinator
                .status_mut(&reservation.data_centre, &pool)
                .last_full = Some(self.now);
        }
        if kind == ReservationKind::Spill {
            // A bound job asks again when its main reservation is refreshed.
            if !is_bound {
                self.reserve_spill(id);
            }
            return;
        }
        if let Some(Phase::Placing(placement)) = self.jobs.get_mut(&id).map(|job| &mut job.phase) {
            placement.tried.push(reservation.data_centre);
            placement.retry_after = placement.retry_after.max(retry);
            // Of several denials the first in the order of `Denial` is reported to the caller: a
            // full data centre indicates better when to retry than a data centre without servers.
            if placement.denial.is_none_or(|earlier| denial < earlier) {
                placement.denial = Some(denial);
            }
        }
        self.reserve_next(id);
    }

    /// Handles a redirect: the instance that received the reservation is not the coordinator. The
    /// reservation is sent again to the instance that the redirect names.
    pub(crate) fn on_redirect(&mut self, attempt: AttemptId, coordinator: InstanceId) {
        let Some((id, ReservationKind::Main)) = self.find_reservation(attempt) else {
            return;
        };
        let reachable =
            self.members.entry(coordinator).is_some() && self.members.is_running(coordinator);
        let Some(Phase::Placing(placement)) = self.jobs.get_mut(&id).map(|job| &mut job.phase)
        else {
            return;
        };
        let Some(main) = &mut placement.main else {
            return;
        };
        // A redirect to an unknown instance or back to the same one is ignored.
        if !reachable || coordinator == main.coordinator || main.tries >= RESERVATION_TRIES {
            return;
        }
        main.coordinator = coordinator;
        main.queued = false;
        let main = main.clone();
        self.repeat_reservation(id, main);
    }

    fn set_main(&mut self, id: RequestId, main: Option<PendingReservation>) {
        if let Some(Phase::Placing(placement)) = self.jobs.get_mut(&id).map(|job| &mut job.phase) {
            placement.main = main;
        }
    }

    fn take_reservation(
        &mut self,
        id: RequestId,
        kind: ReservationKind,
    ) -> Option<PendingReservation> {
        let Phase::Placing(placement) = &mut self.jobs.get_mut(&id)?.phase else {
            return None;
        };
        match kind {
            ReservationKind::Main => placement.main.take(),
            ReservationKind::Spill => placement.spill.take(),
        }
    }

    fn other_reservation(
        &self,
        id: RequestId,
        kind: ReservationKind,
    ) -> Option<PendingReservation> {
        let Phase::Placing(placement) = &self.jobs.get(&id)?.phase else {
            return None;
        };
        match kind {
            ReservationKind::Main => placement.spill.clone(),
            ReservationKind::Spill => placement.main.clone(),
        }
    }

    /// Withdraws all reservations of a job.
    pub(crate) fn withdraw_all(&mut self, id: RequestId) {
        for kind in [ReservationKind::Main, ReservationKind::Spill] {
            if let Some(reservation) = self.take_reservation(id, kind) {
                self.withdraw(&reservation);
            }
        }
    }

    fn withdraw(&mut self, reservation: &PendingReservation) {
        self.attempt_requests.remove(&reservation.attempt);
        self.return_grant(reservation.coordinator, reservation.attempt);
    }

    fn return_grant(&mut self, coordinator: InstanceId, attempt: AttemptId) {
        if coordinator == self.id() {
            self.on_withdraw(attempt);
        } else {
            self.send(coordinator, Body::Withdraw { attempt });
        }
    }
}
