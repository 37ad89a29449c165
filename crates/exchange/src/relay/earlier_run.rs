//! Runs of a request that were given up, and proof that they have ended.
//!
//! A server may go on with a generation after its connection has ended, so a closed connection does
//! not prove that the run is over. Before another server runs the request, the server of each run
//! before is asked to stop it. As long as one of them is reached and has not confirmed that, the next
//! attempt is not sent.
//!
//! A server that has sent no event may have yet to begin: the memory of a prompt is copied before the
//! run begins, and until then the server knows no run. A request that must run once waits for proof in
//! that case, in whatever way the server fails to answer, since a run that begins late is a second one.
//! One that may run again, or has begun, goes on without it, and its server is asked on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::Time;
use tokio::time::Instant;
use wigeon_core::Handle;
use wigeon_core::message::Dispatch;
use wire::AttemptId;
use wire::BootId;

use super::Relay;
use super::millis;
use super::stop::RunEnd;
use super::stop::Stop;
use super::stop::Target;

/// Longest time for which an attempt waits until the runs before have ended. The decider then checks
/// anew whether its server may take work.
const WAIT_MAX: Duration = Duration::from_millis(500);

/// A run of a request that was given up without proof that it has ended.
pub(super) struct EarlierRun {
    attempt: AttemptId,
    server: wire::Name,
    boot: BootId,
    address: SocketAddr,
    given_up_at: Time,
    /// Whether an event of the run has arrived, so that its server knows it.
    has_begun: bool,
    /// Whether the attempt is silent. Its connection was open when the run was stopped.
    is_silent: bool,
    /// Whether the attempt's connection is open.
    is_connected: Arc<AtomicBool>,
    /// Whether the next attempt waits for proof of the end.
    is_awaited: bool,
    stop: Option<Stop>,
}

/// What an attempt knows of the runs before it.
pub(super) enum Endings {
    /// All of them have ended, or their servers are not reached.
    Ended(Vec<EarlierRun>),
    /// Some servers have not answered yet, or not proved what has to be proved.
    Pending,
    /// A server is reached and does not confirm that its run has ended.
    Unknown,
}

impl Endings {
    /// Returns whether the ends of all runs may still be known.
    pub(super) fn is_pending(&self) -> bool {
        matches!(self, Endings::Pending)
    }
}

impl EarlierRun {
    fn end(&self) -> Option<RunEnd> {
        self.stop.as_ref().and_then(Stop::end)
    }

    /// Returns whether the attempt is silent and its connection was open when the run was stopped.
    pub(super) fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Returns whether the run is that of an attempt and was stopped by its server, which keeps its
    /// memory.
    pub(super) fn is_stopped_run_of(&self, dispatch: &Dispatch) -> bool {
        self.attempt == dispatch.attempt && self.known_end().handle().is_some()
    }

    /// Returns what is known of the end of the run.
    pub(super) fn known_end(&self) -> RunEnd {
        self.end().unwrap_or(RunEnd::Unknown)
    }

    /// Returns whether the run can neither go on nor begin.
    fn is_proven_ended(&self) -> bool {
        let is_connected = self.is_connected.load(Ordering::Relaxed);
        self.known_end().is_proof(self.has_begun, is_connected)
    }

    /// Returns whether the run is that of an attempt.
    pub(super) fn is_of(&self, attempt: AttemptId) -> bool {
        self.attempt == attempt
    }

    /// Returns whether the run may go on and its server is not being asked to stop it.
    pub(super) fn may_go_on(&self) -> bool {
        matches!(self.end(), None | Some(RunEnd::Unknown)) && !is_stopping(self)
    }

    /// Returns the run as one to be stopped after a delay.
    pub(super) fn target(&self, delay: Duration) -> Target<'_> {
        Target {
            server: &self.server,
            boot: self.boot,
            address: self.address,
            is_connected: self.is_connected.clone(),
            has_begun: self.has_begun,
            given_up_at: self.given_up_at,
            delay,
        }
    }

    /// Returns the handle of the run's memory if it was copied to a server.
    fn moved_to(&self, server: SocketAddr) -> Option<Handle> {
        self.stop.as_ref().and_then(|stop| stop.moved_to(server))
    }

    /// Keeps the memory of the run from being released if it has the given handle.
    pub(super) fn claim(&self, handle: &Handle) {
        if let Some(stop) = &self.stop
            && self.known_end().handle() == Some(handle)
        {
            stop.claim();
        }
    }
}

impl Relay {
    /// Records that an attempt is given up while its server may still run the request. `has_begun`
    /// tells whether one of its events has arrived.
    pub(super) fn give_up_run(&mut self, dispatch: &Dispatch, has_begun: bool) {
        self.record_earlier_run(dispatch, false, has_begun);
    }

    /// Records that the run of a silent attempt, whose connection is open, is to be stopped.
    pub(super) fn give_up_silent_run(&mut self, dispatch: &Dispatch, has_begun: bool) {
        self.record_earlier_run(dispatch, true, has_begun);
    }

    fn record_earlier_run(&mut self, dispatch: &Dispatch, is_silent: bool, has_begun: bool) {
        if dispatch.hands_over || !self.is_generation {
            return;
        }
        if !is_silent {
            self.forget_in_flight(dispatch.attempt);
        }
        let is_attempt = |run: &&mut EarlierRun| run.attempt == dispatch.attempt;
        if let Some(run) = self.earlier_runs.iter_mut().find(is_attempt) {
            run.is_silent = is_silent;
            run.is_connected.store(is_silent, Ordering::Relaxed);
            run.has_begun |= has_begun;
            // A server that was not reached may be reached again.
            run.stop.take_if(|stop| stop.is_unreachable());
            return;
        }
        self.earlier_runs.push(EarlierRun {
            attempt: dispatch.attempt,
            server: dispatch.server.clone(),
            boot: dispatch.boot,
            address: dispatch.address,
            given_up_at: self.context.clock.now(),
            has_begun,
            is_silent,
            is_connected: Arc::new(AtomicBool::new(is_silent)),
            is_awaited: false,
            stop: None,
        });
    }

    /// Records that the connection of an attempt has ended whose run is being stopped.
    pub(super) fn record_disconnect(&self, dispatch: &Dispatch) {
        let is_attempt = |run: &&EarlierRun| run.attempt == dispatch.attempt;
        if let Some(run) = self.earlier_runs.iter().find(is_attempt) {
            run.is_connected.store(false, Ordering::Relaxed);
        }
    }

    /// Starts to stop the runs before an attempt. Returns a future that waits for their ends for a
    /// limited time, or `None` if there are none.
    pub(super) fn stop_earlier_runs(
        &mut self,
        next: &Dispatch,
    ) -> Option<impl Future<Output = ()> + Send + 'static> {
        let mut runs = std::mem::take(&mut self.earlier_runs);
        let mut ends = Vec::new();
        for run in runs.iter_mut().filter(|run| is_elsewhere(run, next)) {
            if run.may_go_on() {
                run.stop = Some(self.spawn_stop(&run.target(Duration::ZERO), next.address));
            }
            let needs_proof = self.needs_proof(run);
            let (has_begun, is_connected) = (run.has_begun, run.is_connected.clone());
            let is_enough = move |end: &Option<RunEnd>| match end {
                None => false,
                Some(RunEnd::Unknown) => true,
                Some(end) => {
                    !needs_proof || end.is_proof(has_begun, is_connected.load(Ordering::Relaxed))
                }
            };
            ends.extend(run.stop.as_ref().map(|stop| (stop.subscribe(), is_enough)));
        }
        self.earlier_runs = runs;
        if ends.is_empty() {
            return None;
        }
        let deadline = Instant::now() + WAIT_MAX;
        Some(async move {
            for (mut end, is_enough) in ends {
                let ended = end.wait_for(is_enough);
                // The result is read from the run.
                let _ = tokio::time::timeout_at(deadline, ended).await;
            }
        })
    }

    /// Starts to stop the runs that were to replace that of an attempt which goes on. They may have begun,
    /// or begin late.
    pub(super) fn stop_other_runs(&mut self, dispatch: &Dispatch) {
        self.use_run_at(dispatch.address);
        self.earlier_runs
            .retain(|run| run.attempt != dispatch.attempt);
        // The attempt goes on and need not wait for them.
        drop(self.stop_earlier_runs(dispatch));
    }

    /// Returns how the runs before an attempt have ended, and forgets them if all have. An attempt that
    /// goes on from a copy uses the one that was made when the run was stopped.
    pub(super) fn take_endings(&mut self, next: &mut Dispatch) -> Endings {
        let runs = std::mem::take(&mut self.earlier_runs);
        let (before, others): (Vec<EarlierRun>, _) =
            runs.into_iter().partition(|run| is_elsewhere(run, next));
        self.earlier_runs = others;
        let is_open = |run: &EarlierRun| run.end().is_none() || self.lacks_proof(run);
        let is_pending = before.iter().any(is_open);
        if !is_pending {
            before.iter().for_each(|run| self.log_ending(next, run));
        }
        let is_unknown = |run: &EarlierRun| run.known_end() == RunEnd::Unknown;
        if is_pending || before.iter().any(is_unknown) {
            let mut before = before;
            let awaited = before.iter_mut().filter(|run| self.lacks_proof(run));
            awaited.for_each(|run| self.record_awaited(next, run));
            self.earlier_runs.extend(before);
            return match is_pending {
                true => Endings::Pending,
                false => Endings::Unknown,
            };
        }
        if !before.iter().all(EarlierRun::is_proven_ended) {
            let metrics = &self.context.metrics;
            metrics.count_unproven_attempt(self.route.idempotent);
        }
        let moved = before.iter().find_map(|run| run.moved_to(next.address));
        if let Some(replica) = &mut next.resume_from {
            replica.handle = moved.or(replica.handle.take());
        }
        Endings::Ended(before)
    }

    /// Returns whether no other server may have the request before the run is proved to have ended.
    fn needs_proof(&self, run: &EarlierRun) -> bool {
        !self.route.idempotent && !run.has_begun
    }

    /// Returns whether a run has to be proved to have ended, and what is known of it is no proof.
    fn lacks_proof(&self, run: &EarlierRun) -> bool {
        let is_stated = !matches!(run.end(), None | Some(RunEnd::Unknown));
        is_stated && self.needs_proof(run) && !run.is_proven_ended()
    }

    /// Returns whether the next attempt waits for proof that a run has ended.
    pub(super) fn awaits_proof(&self) -> bool {
        self.earlier_runs.iter().any(|run| run.is_awaited)
    }

    /// Records that the next attempt waits for proof that a run has ended.
    fn record_awaited(&self, next: &Dispatch, run: &mut EarlierRun) {
        if std::mem::replace(&mut run.is_awaited, true) {
            return;
        }
        self.context.metrics.count_earlier_run("awaited");
        let now = self.context.clock.now();
        if self.context.log_limiter.allows(now, false) {
            log::info!(
                id = self.meta.caller_request_id.as_str(),
                server = run.server.as_str(),
                life = run.boot,
                next = next.server.as_str(),
                proof = run.known_end().as_str(),
                given_up_ms = millis(now.saturating_sub(run.given_up_at));
                "relay: Waits for proof that a run has ended."
            );
        }
    }

    /// Returns whether the run of a silent attempt may still go on.
    pub(super) fn has_silent_run(&self) -> bool {
        self.earlier_runs.iter().any(EarlierRun::is_silent)
    }

    fn log_ending(&self, next: &Dispatch, run: &EarlierRun) {
        let proof = run.known_end().as_str();
        self.context.metrics.count_earlier_run(proof);
        let now = self.context.clock.now();
        if self.context.log_limiter.allows(now, false) {
            log::info!(
                id = self.meta.caller_request_id.as_str(),
                server = run.server.as_str(),
                life = run.boot,
                next = next.server.as_str(),
                proof = proof,
                begun = run.has_begun,
                repeats = self.route.idempotent,
                given_up_ms = millis(now.saturating_sub(run.given_up_at));
                "relay: Run given up before."
            );
        }
    }
}

/// Keeps memory of the runs before an attempt that the attempt has used.
pub(super) fn claim_used<'a>(dispatch: &Dispatch, runs: impl IntoIterator<Item = &'a EarlierRun>) {
    let replica = dispatch.resume_from.as_ref();
    if let Some(handle) = replica.and_then(|replica| replica.handle.as_ref()) {
        runs.into_iter().for_each(|run| run.claim(handle));
    }
}

/// Returns whether a run has to end before another attempt is sent: it is at another server, and not
/// at an instance.
fn is_elsewhere(run: &EarlierRun, next: &Dispatch) -> bool {
    run.address != next.address && !next.hands_over
}

/// Returns whether a server is being asked to stop a run.
fn is_stopping(run: &EarlierRun) -> bool {
    run.stop.is_some() && run.end().is_none()
}
