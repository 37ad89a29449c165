//! The lifecycle of a request: arrival, dispatch, retries and end.

use std::time::Duration;

use conf::Delivery;
use conf::Pool;
use route::retry::Weight;
use slo::Sample;
use wire::AttemptId;
use wire::Name;
use wire::RequestId;
use wire::admission::End;
use wire::admission::Grant;
use wire::ledger::Answer;

use crate::instance::Instance;
use crate::instance::Violation;
use crate::job::Claiming;
use crate::job::Job;
use crate::job::Phase;
use crate::job::Running;
use crate::message::Dispatch;
use crate::message::Event;
use crate::message::ListedServer;
use crate::message::Output;
use crate::message::Replica;
use crate::message::Request;
use crate::origins::is_of_version;
use crate::outcome::Outcome;
use crate::outcome::Reason;
use crate::outcome::Refusal;
use crate::parts;
use crate::retries::Payment;
use crate::settings::Source;
use crate::suspects::ISOLATION_TIME;

/// Expected output in tokens of a route for which no answer has been observed.
const DEFAULT_OUTPUT_TOKENS: u32 = 128;
/// Pause before an exhausted retry budget is checked again.
const RETRY_BUDGET_PAUSE: Duration = Duration::from_millis(150);
/// Retry-after of a request whose servers could not be reached.
pub(crate) const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Retry-after of a request that ends because its pool's retry budget is exhausted.
pub(crate) const NO_BUDGET_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Unreachable attempts after which a request is refused. Each attempt costs the time of a failed
/// connection.
const UNREACHABLE_ATTEMPTS_MAX: u32 = 4;
/// Time after a server is first listed as leaving during which a generation may still resume there.
/// No work may reach a server more than two seconds after it announces that it leaves, and the
/// announcement takes up to a second to arrive.
const LEAVING_RESUME_WINDOW: Duration = Duration::from_millis(900);
/// Pause before an attempt is made again that was not sent because an earlier run may still go on.
const POSTPONED_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a stream that has begun waits longer than other requests. A server that has restarted
/// is listed with its new boot, and so with its software version, up to this much later.
const RELISTING_TIME: Duration = Duration::from_secs(2);
/// Pause before a suspect request is retried, so that the strikes of the same crash have reached
/// all instances.
const SUSPECT_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// The same for a request whose prompt contains a part that the next crash would bar. Other runs with
/// that part end in this time, in a crash or in output.
const ACCUSED_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// What came of sending a job to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use = "a job that is refused needs another server or a timer"]
pub(crate) enum Dispatched {
    /// An attempt was dispatched.
    Sent,
    /// The server may not be given the job. The job is as it was.
    Refused,
    /// The job may not run again: it has ended, or goes on with an attempt that is only silent.
    Settled,
}

impl Instance {
    /// Accepts a caller's request: creates its job and claims its idempotency key or places it.
    pub(crate) fn on_request(&mut self, request: Request) {
        let id = request.id;
        if self.jobs.contains_key(&id) {
            return;
        }
        let found = self.config().routes.get(&request.route).cloned();
        let organisation = &request.organisation;
        let allowed = |route: &conf::Route| {
            route.organisations.is_empty() || route.organisations.contains(organisation)
        };
        let Some(mut route) = found.filter(allowed) else {
            let outcome = Outcome::Refused(Refusal::without_job(Reason::NoRoute));
            self.out.push(Output::Finish {
                request: id,
                outcome,
            });
            return;
        };
        route.pool = route.pool_for(self.rng.f64()).clone();
        let rank = self.config().organisations.get(organisation);
        route.rank = rank.and_then(|found| found.rank).or(route.rank);
        // The instance that has handed the request over has counted it.
        if !request.handed_over {
            self.earn_retries(&route.pool);
        }
        self.jobs.insert(id, Job::new(self.now, request, route));
        if !self.waits_for_evidence(id) {
            self.admit(id);
        }
    }

    /// Claims the idempotency key of a new job, or places it, unless it is barred.
    pub(crate) fn admit(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let needs_claim = !job.route.idempotent && job.request.key.is_some();
        job.phase = match needs_claim {
            true => Phase::Claiming(Claiming::default()),
            false => Phase::Waiting,
        };
        if self.end_if_barred(id) || self.end_if_leaving(id) {
            // Its caller has been told.
        } else if needs_claim {
            self.send_claim(id);
        } else {
            self.trace_or_place(id);
        }
    }

    /// Cancels the request of a caller that has disconnected, unless it must run to its end.
    pub(crate) fn on_caller_gone(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.route.keep_running || (job.claimed && job.may_have_run()) {
            // An attempt that must not run twice is not cancelled, but runs to its end so that the
            // outcome is recorded.
            job.orphaned = true;
            return;
        }
        self.stop_running(id, End::Cancelled);
        let outcome = Outcome::of_unserved(&self.jobs[&id], Reason::Cancelled, None);
        self.out.push(Output::Finish {
            request: id,
            outcome,
        });
        self.forget(id, Reason::Cancelled);
    }

    /// Handles the timer of a job, which is due.
    pub(crate) fn on_timer(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let past_deadline = self.now >= job.deadline;
        if !past_deadline && job.running().is_none() && self.end_if_leaving(id) {
            return;
        }
        let job = &self.jobs[&id];
        match &job.phase {
            _ if job.hard_deadline.is_some_and(|at| self.now >= at) => {
                self.time_out(id);
            }
            Phase::Running(_) => {}
            _ if past_deadline => self.end_unplaced(id),
            Phase::Held => self.admit(id),
            Phase::Claiming(_) | Phase::Joining { .. } => self.send_claim(id),
            Phase::Tracing(_) => self.on_tracing_timer(id),
            Phase::Placing(_) => self.on_placement_timer(id),
            Phase::Waiting if job.trial_since.is_some() => self.end_trial_wait(id),
            Phase::Waiting => self.retry(id),
        }
    }

    /// Ends a job whose hard deadline has passed.
    fn time_out(&mut self, id: RequestId) {
        let job = &self.jobs[&id];
        if job.running().is_none() && job.silent.is_none() {
            self.end_unplaced(id);
            return;
        }
        self.stop_running(id, End::Cancelled);
        self.end(id, Reason::TimedOut, None);
    }

    /// Ends a job whose deadline has passed before an attempt was dispatched, unless an earlier one
    /// is only silent.
    fn end_unplaced(&mut self, id: RequestId) {
        if self.restore_silent(id) {
            return;
        }
        let reason = match &self.jobs[&id].phase {
            Phase::Held => Reason::NoServer,
            Phase::Claiming(_) => Reason::NoLedger,
            Phase::Tracing(_) => Reason::UnknownOrigin,
            Phase::Joining { .. } => Reason::KeyInUse,
            Phase::Placing(placement) => match placement.denial {
                Some(wire::admission::Denial::Limited) => Reason::Limited,
                _ if placement.main.as_ref().is_some_and(|main| main.queued) => Reason::Overloaded,
                Some(wire::admission::Denial::NoServer) | None => Reason::NoServer,
                Some(_) => Reason::Overloaded,
            },
            _ => Reason::RetriesSpent,
        };
        self.end(id, reason, Some(Duration::from_secs(1)));
    }

    /// Dispatches an attempt to its granted server, unless that server may no longer take work.
    pub(crate) fn dispatch(
        &mut self,
        id: RequestId,
        data_centre: &Name,
        grant: &Grant,
    ) -> Dispatched {
        let has_copy = self
            .jobs
            .get(&id)
            .is_some_and(|job| job.has_copy_at(&grant.server));
        let eligible = if has_copy {
            self.may_resume_at(data_centre, &grant.server)
                && self.backoffs.take_resume(self.now, &grant.server)
        } else {
            self.boot_may_take_work(data_centre, &grant.server, grant.boot)
        };
        let may_continue = self
            .jobs
            .get(&id)
            .is_some_and(|job| self.may_continue_at(job, &grant.server, grant.boot));
        let eligible = eligible && may_continue && self.may_start(id);
        if !eligible {
            return Dispatched::Refused;
        }
        // Resuming from a copy of the generation's KV memory does not count as another run.
        let may_dispatch = has_copy || self.jobs.get(&id).is_some_and(Job::may_dispatch);
        if !may_dispatch {
            self.end_before_repeated_run(id, &grant.server);
            return Dispatched::Settled;
        }
        let is_paid = self.jobs[&id].is_next_attempt_paid();
        self.check_invariant(is_paid, Violation::UnpaidRetry);
        let Some(job) = self.jobs.get_mut(&id) else {
            return Dispatched::Settled;
        };
        job.record_arrival();
        let resume_from = job.take_copy_at(&grant.server);
        let rerun = job.attempts > 0 && resume_from.is_none();
        if resume_from.is_some() {
            job.record_resumed();
        } else {
            job.record_dispatch();
        }
        let hard_deadline = job.hard_deadline;
        let silence = job.silent.as_ref().map(|silent| silent.silence);
        let list = self.list_position();
        let software = self.software_of(&grant.server, grant.boot);
        let Some(job) = self.jobs.get_mut(&id) else {
            return Dispatched::Settled;
        };
        job.phase = Phase::Running(Running {
            attempt: grant.attempt,
            server: grant.server.clone(),
            boot: grant.boot,
            software: software.clone(),
            data_centre: data_centre.clone(),
            dispatched_at: self.now,
            first_token: None,
            generated: job.delivered(),
            resumed: resume_from.is_some(),
            replica: grant.replica.clone().map(|endpoint| Replica {
                endpoint,
                handle: None,
            }),
            peer: None,
        });
        self.clear_timer(id);
        if let Some(hard_deadline) = hard_deadline {
            self.set_timer(id, hard_deadline);
        }
        self.attempt_requests.insert(grant.attempt, id);
        self.out.push(Output::Dispatch(Dispatch {
            request: id,
            attempt: grant.attempt,
            server: grant.server.clone(),
            address: grant.address,
            boot: grant.boot,
            software,
            priority: grant.priority,
            rerun,
            copy: grant.replica.clone(),
            resume_from,
            silence,
            list,
            hands_over: false,
            ends_at: self.attempts_end_at(),
        }));
        self.check_invariant(eligible, Violation::WorkAfterWithdrawal);
        self.record_started(id);
        Dispatched::Sent
    }

    /// Ends a request that may have run and must not run again, in place of an attempt that would run
    /// it anew. An attempt that is only silent goes on.
    fn end_before_repeated_run(&mut self, id: RequestId, server: &Name) {
        let text = format!(
            "Request {id} may have run and must not run again, so it is not sent to server {server}."
        );
        self.log("dispatch", true, text);
        self.check_invariant(false, Violation::RepeatedRun);
        if !self.restore_silent(id) {
            self.end(id, Reason::Lost, None);
        }
    }

    /// Returns whether a server may be given new work now, as far as this instance knows.
    pub(crate) fn may_take_work(&self, data_centre: &str, server: &str) -> bool {
        self.would_take_work(data_centre, server) && self.backoffs.until(self.now, server).is_none()
    }

    /// Returns whether a server may be given new work now or after its backoff.
    pub(crate) fn would_take_work(&self, data_centre: &str, server: &str) -> bool {
        self.is_in_service(data_centre, server) && !self.is_leaving(server)
    }

    /// Returns whether the listed boot of a server has announced that it leaves.
    fn is_leaving(&self, server: &str) -> bool {
        let boot = self.servers.get(server).map_or(0, |listed| listed.boot);
        self.coordinator.is_leaving(self.now, server, boot)
    }

    /// Returns whether a given boot of a server may be given new work now.
    pub(crate) fn boot_may_take_work(
        &self,
        data_centre: &str,
        server: &str,
        boot: wire::BootId,
    ) -> bool {
        self.is_in_service(data_centre, server)
            && !self.coordinator.is_leaving_boot(server, boot)
            && self.backoffs.until(self.now, server).is_none()
    }

    /// Returns the servers of a job's pool that may be given the job now, in all data centres.
    pub(crate) fn available_servers(&self, job: &Job, pool: &Pool) -> Vec<ListedServer> {
        let label = pool.label(&job.route.pool);
        let software = job.required_software();
        self.servers
            .values()
            .filter(|server| server.label == label && is_of_version(server, software))
            .filter(|server| self.may_take_work(&server.data_centre, &server.name))
            .filter(|server| self.may_continue_at(job, &server.name, self.newest_boot(server)))
            .cloned()
            .collect()
    }

    /// Returns the boot of a server that its last report names, or that the list does if there is no
    /// report.
    pub(crate) fn newest_boot(&self, server: &ListedServer) -> wire::BootId {
        let reported = self.baseline.loads.get(&server.name);
        reported.map_or(server.boot, |(_, load)| load.boot)
    }

    /// Returns whether a generation may resume at the server that holds its copy. A server that has
    /// just announced that it leaves is still allowed: no other server has the copy, and the
    /// leaving server stays up until its own work ends.
    fn may_resume_at(&self, data_centre: &str, server: &str) -> bool {
        let config = self.config();
        let drained = config.drained.contains(server);
        let boot = self.servers.get(server).map(|listed| listed.boot);
        let stated = boot.and_then(|boot| self.coordinator.stated_leaving_at(server, boot));
        let in_window = [self.list_state.leaving_since(server), stated]
            .into_iter()
            .flatten()
            .all(|at| self.now.saturating_sub(at) < LEAVING_RESUME_WINDOW);
        let listed = boot.is_some();
        in_window && listed && !drained && route::choice::in_service(config, data_centre)
    }

    /// Returns whether a server is listed, not leaving, not drained, and its data centre is in
    /// service.
    fn is_in_service(&self, data_centre: &str, server: &str) -> bool {
        let config = self.config();
        let listed = self.servers.get(server).is_some_and(|found| !found.leaving);
        let drained = config.drained.contains(server);
        listed && !drained && route::choice::in_service(config, data_centre)
    }

    /// Handles an event of a job's current attempt. Events of earlier attempts are ignored.
    pub(crate) fn on_attempt_event(&mut self, attempt: AttemptId, event: Event) {
        let Some(id) = self.attempt_requests.get(&attempt).copied() else {
            return;
        };
        let job = &self.jobs[&id];
        let is_attempt = |running: &Running| running.attempt == attempt;
        let is_current = job.running().is_some_and(is_attempt);
        let silent = job.silent.as_ref();
        let is_silent = silent.is_some_and(|silent| is_attempt(&silent.running));
        let is_handled = match is_silent {
            true => self.on_event_of_silent(id, &event),
            false => is_current,
        };
        if !is_handled {
            return;
        }
        if self.on_peer_event(id, &event) {
            return;
        }
        let is_sent = !matches!(event, Event::Unreachable | Event::Postponed { .. });
        if let Some(job) = self.jobs.get_mut(&id).filter(|_| !is_sent && !is_silent) {
            job.record_no_arrival();
        }
        if !is_silent {
            self.record_path(id, &event);
        }
        match event {
            Event::Accepted => self.replace_silent(id),
            Event::FirstToken => {
                self.record_origin(id);
                self.on_first_token(id);
            }
            Event::Progress {
                generated,
                delivered,
            } => self.on_progress(id, generated, delivered),
            Event::Complete {
                generated,
                gap,
                answer,
            } => self.on_complete(id, generated, gap, answer),
            Event::Refused | Event::NoRoom { .. } => self.on_not_run(id, End::Refused),
            Event::Unreachable => self.on_not_run(id, End::Unreachable),
            Event::Postponed { replica } => self.on_postponed(id, replica),
            Event::Failed => self.on_failed(id),
            Event::Copied(replica) => self.on_copied(id, replica),
            Event::NotCopied => self.on_not_copied(id, attempt),
            Event::Lost { crashed, delivered } => self.on_lost(id, crashed, delivered),
            Event::Silent { silence, delivered } => {
                self.record_delivered(id, delivered);
                self.on_silent(id, silence);
            }
            Event::Recovered => {}
            Event::Diverged { delivered } => {
                self.record_delivered(id, delivered);
                self.stop_running(id, End::Cancelled);
                self.end(id, Reason::Diverged, None);
            }
        }
    }

    fn on_first_token(&mut self, id: RequestId) {
        let now = self.now;
        if let Some(Phase::Running(running)) = self.jobs.get_mut(&id).map(|job| &mut job.phase) {
            running
                .first_token
                .get_or_insert(now - running.dispatched_at);
            running.generated = running.generated.max(1);
        }
        // The coordinator counts the prompts that each server is still processing.
        self.record_progress(id);
    }

    fn on_progress(&mut self, id: RequestId, generated: u32, delivered: u32) {
        self.record_delivered(id, delivered);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Phase::Running(running) = &mut job.phase {
            let before = running.generated;
            running.generated = before.max(generated);
            if parts::gets_past_opening(before, generated) {
                let request = job.request.clone();
                self.record_request_sound(&request);
                self.record_part_sound(&request.parts);
            }
        }
        self.record_progress(id);
    }

    pub(crate) fn record_delivered(&mut self, id: RequestId, delivered: u32) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.record_delivered(delivered);
        }
    }

    fn on_complete(&mut self, id: RequestId, generated: u32, gap: Duration, answer: Answer) {
        let job = &self.jobs[&id];
        let request = job.request.clone();
        let objective = job.route.objective;
        let running = job.running().cloned();
        let arrived_at = job.arrived_at;
        self.length_estimator
            .add(&request.route, &request.organisation, generated);
        self.record_request_sound(&request);
        let is_opening = |running: &Running| parts::is_opening(running.generated);
        if running.as_ref().is_some_and(is_opening) {
            self.record_part_sound(&request.parts);
        }
        if let Some(Phase::Running(running)) = self.jobs.get_mut(&id).map(|job| &mut job.phase) {
            running.generated = generated;
        }
        self.record_ended(id, End::Complete);
        self.record_health(id, true);
        if let Some(running) = running {
            self.record_duration(&request.route, &running, generated);
            let first_token_time =
                running.dispatched_at + running.first_token.unwrap_or_default() - arrived_at;
            let sample = Sample {
                late_first_token: first_token_time
                    > Duration::from_millis(objective.first_token_ms),
                gaps: gap > Duration::from_millis(objective.token_gap_ms),
                failed: false,
            };
            self.record_sample(&request, &running.server, sample);
        }
        if self.jobs[&id].claimed {
            self.settle(id, wire::ledger::Outcome::Done(answer));
        }
        self.remove(id);
    }

    fn record_sample(&mut self, request: &Request, server: &str, sample: Sample) {
        let (route, organisation) = (&request.route, &request.organisation);
        self.meter
            .record(self.now, route, organisation, server, sample);
    }

    /// Handles an attempt that is proved not to have run: it was refused or never sent.
    fn on_not_run(&mut self, id: RequestId, end: End) {
        // What a cut instance sees is no reason for the coordinator to close the server.
        let lacks_paths = self.lacks_paths_to_attempt(id);
        let reported = match end {
            End::Unreachable if lacks_paths => End::Unused,
            end => end,
        };
        self.record_ended(id, reported);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let resumed = job.running().is_some_and(|running| running.resumed);
        if resumed {
            // Only the continuation did not run. The part before the resume point did, so the run
            // stays counted.
            self.on_copy_unusable(id);
            return;
        }
        job.record_not_run();
        let server = job.running().map(|running| running.server.clone());
        if let Some(server) = server {
            job.avoid(&server);
            if end == End::Unreachable {
                job.unreachable_attempts += 1;
                job.last_unreachable = true;
                self.health.record_unreachable(self.now, &server);
            }
        }
        if end == End::Unreachable && self.hand_over_unreachable(id) {
            return;
        }
        self.wait_for_retry(id, Duration::ZERO);
    }

    /// Handles an attempt that was not sent, since an earlier run of the request may still go on. Its own
    /// server is not the reason. A place is reserved anew, as the server may have left meanwhile.
    fn on_postponed(&mut self, id: RequestId, replica: Option<Replica>) {
        self.record_ended(id, End::Unused);
        if self.restore_silent(id) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Phase::Running(running) = &mut job.phase
            && running.resumed
        {
            running.replica = replica;
            if !self.resume_from_copy(id) {
                self.on_copy_unusable(id);
            }
            return;
        }
        job.record_not_run();
        job.last_unreachable = true;
        self.wait_for_retry(id, POSTPONED_PAUSE);
    }

    /// Handles an attempt that ran and that its server answered with an error.
    fn on_failed(&mut self, id: RequestId) {
        self.record_health(id, false);
        self.record_ended(id, End::Failed);
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.running().is_some_and(|running| running.peer.is_none()) {
            // The server has run the request and goes on.
            let request = job.request.clone();
            self.record_request_sound(&request);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(server) = job.running().map(|running| running.server.clone()) {
            job.avoid(&server);
        }
        if self.restore_silent(id) {
            return;
        }
        let job = &self.jobs[&id];
        if job.may_run_again() {
            self.wait_for_retry(id, Duration::ZERO);
        } else {
            self.end(id, Reason::ServerError, None);
        }
    }

    /// Handles an attempt that its server lost while it ran.
    fn on_lost(&mut self, id: RequestId, crashed: bool, delivered: u32) {
        let crashed = crashed && !self.lacks_paths_to_attempt(id);
        self.record_delivered(id, delivered);
        self.record_health(id, false);
        let end = if crashed {
            End::Crashed
        } else {
            End::Cancelled
        };
        self.record_ended(id, end);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(running) = job.running().cloned() {
            self.record_lost_attempt(id, &running, crashed);
        }
        if self.restore_silent(id) || self.resume_from_copy(id) {
            return;
        }
        let job = &self.jobs[&id];
        if !job.may_run_again() || (!job.route.rerun && delivered > 0) {
            self.end(id, Reason::Lost, None);
        } else if !self.end_if_barred(id) {
            let pause = match crashed {
                true if self.has_accused_part(id) => ACCUSED_RETRY_PAUSE,
                true => SUSPECT_RETRY_PAUSE,
                false => Duration::ZERO,
            };
            self.wait_for_retry(id, pause);
        }
    }

    /// Records that a server lost an attempt while it ran. If it crashed, that counts against the
    /// request and the parts of its prompt.
    pub(crate) fn record_lost_attempt(&mut self, id: RequestId, lost: &Running, crashed: bool) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.avoid(&lost.server);
        // A server that had announced that it leaves was not crashed by this request, so no strike
        // is recorded.
        let listed = self.servers.get(&lost.server);
        let had_announced = listed.is_some_and(|server| server.leaving)
            || self.coordinator.is_leaving_boot(&lost.server, lost.boot);
        if !crashed || had_announced {
            return;
        }
        let request = job.request.clone();
        let text = format!(
            "Request {id} ({:016x} of {:016x}) was running on server {} (boot {}) when the server \
             crashed, {} tokens generated, prompt parts {}.",
            request.fingerprint,
            request.group,
            lost.server,
            lost.boot,
            lost.generated,
            parts::part_names(&request.parts)
        );
        self.log("suspect", true, text);
        self.record_crash_under(&request, lost);
    }

    /// Schedules another attempt after a pause and the retry backoff.
    pub(crate) fn wait_for_retry(&mut self, id: RequestId, pause: Duration) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(running) = job.running() {
            self.attempt_requests.remove(&running.attempt);
        }
        job.phase = Phase::Waiting;
        job.trial_since = None;
        // The placement deadline starts anew: time spent running does not count against it.
        let mut patience = job.route.deadline();
        if job.required_software().is_some() {
            patience += RELISTING_TIME;
        }
        let request = job.request.clone();
        if self.is_suspect(&request) {
            patience += ISOLATION_TIME;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let deadline = self.now + patience;
        job.deadline = job.hard_deadline.map_or(deadline, |at| at.min(deadline));
        let backoff = match job.retries {
            0 => Duration::ZERO,
            retries => route::retry::backoff(retries, &mut self.rng),
        };
        self.set_timer(id, self.now + pause + backoff);
    }

    /// Starts another attempt if the pool's retry budget allows it now.
    fn retry(&mut self, id: RequestId) {
        if self.jobs[&id].resume_from.is_some() {
            self.resume(id);
            return;
        }
        if self.end_if_barred(id) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let was_unreachable = std::mem::take(&mut job.last_unreachable);
        if was_unreachable
            && job.unreachable_attempts >= UNREACHABLE_ATTEMPTS_MAX
            && self.settings.source == Source::External
        {
            self.end(id, Reason::NoServer, Some(UNREACHABLE_RETRY_AFTER));
            return;
        }
        match self.pay_or_borrow(id, self.retry_weight(id)) {
            Payment::Paid => {}
            Payment::Asked => return,
            Payment::Refused if self.settings.source == Source::External => {
                self.end(id, Reason::RetriesSpent, Some(NO_BUDGET_RETRY_AFTER));
                return;
            }
            Payment::Refused => {
                self.set_timer(id, self.now + RETRY_BUDGET_PAUSE);
                return;
            }
        }
        if let Some(job) = self.jobs.get_mut(&id).filter(|_| !was_unreachable) {
            job.retries += 1;
        }
        self.start_placement(id);
    }

    /// Returns how much depends on another attempt of a job. Only streams have parts of their answers
    /// that could be lost, so calls leave nothing to them.
    pub(crate) fn retry_weight(&self, id: RequestId) -> Weight {
        let job = &self.jobs[&id];
        match job.route.delivery {
            Delivery::Stream if job.delivered() == 0 => Weight::Light,
            _ => Weight::Heavy,
        }
    }

    /// Moves requests off a server that the platform is about to reclaim, by retrying them
    /// elsewhere. Only idempotent requests are moved, whose answers are delivered whole and have
    /// not been delivered yet.
    pub(crate) fn move_requests_off(&mut self, server: &str) {
        let movable = |job: &Job| {
            let on_server = job
                .running()
                .is_some_and(|running| running.server == server);
            on_server
                && job.route.idempotent
                && job.route.delivery == Delivery::Whole
                && job.delivered() == 0
        };
        let ids: Vec<RequestId> = self
            .jobs
            .values()
            .filter(|job| movable(job))
            .map(|job| job.request.id)
            .collect();
        for id in ids {
            self.stop_running(id, End::Cancelled);
            self.wait_for_retry(id, Duration::ZERO);
        }
    }

    /// Cancels a job's running attempt and withdraws its reservations.
    pub(crate) fn stop_running(&mut self, id: RequestId, end: End) {
        let running = self.jobs[&id].running().map(|running| running.attempt);
        if let Some(attempt) = running {
            self.out.push(Output::Cancel {
                request: id,
                attempt,
            });
            self.record_ended(id, end);
        }
        self.drop_silent(id, end);
        self.withdraw_all(id);
    }

    /// Ends a job that is not served, and sends its caller the reason.
    pub(crate) fn end(&mut self, id: RequestId, reason: Reason, retry_after: Option<Duration>) {
        let Some(job) = self.jobs.get(&id) else {
            self.check_invariant(false, Violation::EndedTwice);
            return;
        };
        // The instance that handed a request over takes these reasons for proof that no server got it.
        let is_passed_on = matches!(reason, Reason::NoServer | Reason::Leaving);
        let has_arrived = job.request.handed_over && job.arrivals > 0;
        let reason = match has_arrived && is_passed_on {
            true => Reason::RetriesSpent,
            false => reason,
        };
        let mut outcome = Outcome::of_unserved(job, reason, retry_after);
        if matches!(reason, Reason::KeyInUse | Reason::KeyUnknown) {
            // This request did not run, but an earlier one with the same key did or may have, so
            // the outcome is a failure and not a refusal.
            outcome = Outcome::Failed(crate::outcome::Failure {
                reason,
                delivered: 0,
                retry_after,
            });
        }
        self.finish(id, outcome, reason);
    }

    /// Finishes a job with an outcome other than its own whole answer.
    pub(crate) fn finish(&mut self, id: RequestId, outcome: Outcome, reason: Reason) {
        let request = self.jobs[&id].request.clone();
        let sample = Sample {
            failed: !matches!(outcome, Outcome::Recorded(_)) && reason != Reason::Limited,
            ..Sample::default()
        };
        let own = self.own_data_centre();
        self.record_sample(&request, &own, sample);
        self.out.push(Output::Finish {
            request: id,
            outcome,
        });
        self.withdraw_all(id);
        self.forget(id, reason);
    }

    /// Removes a job and settles its idempotency key.
    fn forget(&mut self, id: RequestId, reason: Reason) {
        let job = &self.jobs[&id];
        let claiming = matches!(job.phase, Phase::Claiming(_) | Phase::Joining { .. });
        let owns_key = job.claimed || claiming;
        if owns_key && !job.may_have_run() {
            self.settle(id, wire::ledger::Outcome::Released);
        } else if job.claimed && reason != Reason::KeyUnknown {
            self.settle(id, wire::ledger::Outcome::Unknown);
        }
        self.remove(id);
    }

    fn remove(&mut self, id: RequestId) {
        self.refund_retry(id);
        self.drop_silent(id, End::Cancelled);
        self.clear_timer(id);
        self.jobs.remove(&id);
        self.attempt_requests.retain(|_, request| *request != id);
    }

    /// Returns whether this instance has lost its paths to the servers like that of a job's attempt.
    fn lacks_paths_to_attempt(&self, id: RequestId) -> bool {
        let running = self.jobs.get(&id).and_then(|job| job.running());
        running.is_some_and(|running| self.lacks_paths_of(&running.server))
    }

    fn record_health(&mut self, id: RequestId, success: bool) {
        let server = self.jobs.get(&id).and_then(|job| job.running());
        let server = server.filter(|running| running.peer.is_none());
        if let Some(server) = server.map(|running| running.server.clone()) {
            self.health.record(self.now, &server, success);
        }
    }

    /// Returns the expected output of a request in tokens, at most the caller's limit.
    pub(crate) fn expected_tokens(&self, job: &Job) -> u32 {
        let request = &job.request;
        let estimate = self.length_estimator.expected_remaining(
            &request.route,
            &request.organisation,
            0,
            0.75,
            DEFAULT_OUTPUT_TOKENS,
        );
        let expected = request
            .expected_tokens
            .map_or(estimate, |expected| estimate.max(expected));
        request
            .max_tokens
            .map_or(expected, |limit| expected.min(limit))
    }
}
