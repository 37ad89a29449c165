//! Attempts to resume a stream at another server, from the wait for the ends of earlier runs to the
//! response of the server.

use std::pin::Pin;

use wigeon_core::Event;
use wigeon_core::Replica;
use wigeon_core::message::Dispatch;
use wire::admission::Endpoint;

use super::Forwarding;
use crate::relay::Relay;
use crate::relay::earlier_run::EarlierRun;
use crate::relay::earlier_run::Endings;
use crate::relay::earlier_run::claim_used;
use crate::relay::response::AttemptResult;
use crate::relay::stop::RunEnd;

/// An attempt to resume a stream whose server has not begun to answer.
pub(super) struct Successor {
    pub(super) dispatch: Box<Dispatch>,
    pub(super) stage: Stage,
}

/// The stage of an attempt to resume a stream.
pub(super) enum Stage {
    /// The attempt waits for the ends of the runs before.
    Waiting(Pin<Box<dyn Future<Output = ()> + Send>>),
    /// The attempt has been sent. The memory of the runs before is kept until it is answered.
    Sent(
        Pin<Box<dyn Future<Output = AttemptResult> + Send>>,
        Vec<EarlierRun>,
    ),
}

/// The result of a stage of an attempt to resume a stream.
pub(super) enum StageResult {
    Waited,
    Answered(Box<AttemptResult>),
}

impl Successor {
    /// Returns the dispatch of the attempt if it has been sent.
    pub(super) fn into_sent(self) -> Option<Dispatch> {
        match self.stage {
            Stage::Waiting(_) => None,
            Stage::Sent(..) => Some(*self.dispatch),
        }
    }
}

impl Relay {
    /// Sends an attempt to resume the stream.
    pub(super) fn send_successor(&mut self, dispatch: &Dispatch, ended: Vec<EarlierRun>) -> Stage {
        self.record_attempt(dispatch);
        let replica = dispatch.resume_from.as_ref();
        if replica.is_some_and(|replica| replica.handle == self.replica_handle) {
            // The attempt consumes the replica, so it must not be released.
            self.replica_handle = None;
        }
        Stage::Sent(Box::pin(self.run_attempt(dispatch)), ended)
    }

    pub(super) async fn on_stage_result(
        &mut self,
        forwarding: &mut Forwarding,
        (successor, result): (Successor, StageResult),
    ) {
        let Successor { dispatch, stage } = successor;
        match (result, stage) {
            (StageResult::Waited, _) => self.on_waited(forwarding, dispatch).await,
            (StageResult::Answered(result), Stage::Sent(_, ended)) => {
                self.on_successor_result(forwarding, *dispatch, *result, ended)
                    .await;
            }
            (StageResult::Answered(_), Stage::Waiting(_)) => {}
        }
    }

    /// Sends an attempt to resume the stream if all runs before it have ended.
    async fn on_waited(&mut self, forwarding: &mut Forwarding, mut dispatch: Box<Dispatch>) {
        let replica = dispatch.resume_from.clone();
        let is_closed = forwarding.stream.is_none() && forwarding.silence.is_some();
        match self.take_endings(&mut dispatch) {
            Endings::Ended(mut ended) => {
                let silent = ended.iter().position(EarlierRun::is_silent);
                let silent = silent.map(|index| ended.swap_remove(index));
                let end = silent.as_ref().map(EarlierRun::known_end);
                let crashed = end == Some(RunEnd::Unreachable);
                if end.is_some_and(|end| end.handle().is_some()) {
                    forwarding.close_stream();
                    self.forget_in_flight(forwarding.dispatch.attempt);
                    forwarding.stopped = silent;
                } else if silent.is_none() {
                    let is_stopped = |run: &EarlierRun| run.is_stopped_run_of(&forwarding.dispatch);
                    let stopped = ended.iter().position(is_stopped);
                    forwarding.stopped = stopped.map(|index| ended.swap_remove(index));
                } else if silent.is_some() && forwarding.stream.is_none() {
                    self.lose_stream(forwarding, "broken", crashed).await;
                }
                let stage = self.send_successor(&dispatch, ended);
                forwarding.successor = Some(Successor { dispatch, stage });
            }
            endings => {
                let kept = replica.clone().filter(|_| endings.is_pending());
                self.report_attempt(&dispatch, AttemptResult::NotSent(kept))
                    .await;
                if !self.has_silent_run() {
                    return;
                }
                if let Some(replica) = replica {
                    // The copy was not used, so the silent attempt still has it.
                    let event = Event::Copied(replica);
                    self.send_event(&forwarding.dispatch, event).await;
                }
                if is_closed {
                    self.lose_stream(forwarding, "broken", false).await;
                }
            }
        }
    }

    /// Handles the result of an attempt to resume the stream. As soon as its server has begun to
    /// answer, the attempt replaces the one before.
    async fn on_successor_result(
        &mut self,
        forwarding: &mut Forwarding,
        dispatch: Dispatch,
        result: AttemptResult,
        ended: Vec<EarlierRun>,
    ) {
        match result {
            AttemptResult::EventStream(_, stream) => {
                self.send_event(&dispatch, Event::Accepted).await;
                if forwarding.stream.is_some() {
                    self.give_up_run(&forwarding.dispatch, forwarding.has_begun());
                }
                claim_used(&dispatch, ended.iter().chain(&forwarding.stopped));
                forwarding.replace(dispatch, stream);
                return;
            }
            // The caller has received the beginning of a stream, which no other kind of response
            // can complete.
            AttemptResult::Complete(..)
            | AttemptResult::Partial(..)
            | AttemptResult::ServerError(..) => {
                self.lose_attempt(&dispatch, false, "no-stream", false)
                    .await;
            }
            AttemptResult::NotExecuted | AttemptResult::Unreachable
                if forwarding.silence.is_none() && forwarding.stopped.is_some() =>
            {
                let replica = self.take_stopped_memory(forwarding);
                self.report_attempt(&dispatch, AttemptResult::NotSent(replica))
                    .await;
                return;
            }
            other => self.report_attempt(&dispatch, other).await,
        }
        if forwarding.silence.is_some() {
            self.resume_stopped(forwarding).await;
        }
    }

    /// Lets a silent attempt whose run was stopped go on from its memory at its own server, since the
    /// attempt in its place has failed.
    async fn resume_stopped(&mut self, forwarding: &mut Forwarding) {
        let Some(replica) = self.take_stopped_memory(forwarding) else {
            return;
        };
        let dispatch = &forwarding.dispatch;
        self.send_event(dispatch, Event::Copied(replica)).await;
        self.log_failed_attempt(dispatch, "stopped");
        let event = self.lost_event(false);
        self.send_event(dispatch, event).await;
    }

    /// Returns the memory of the stopped run, which its own server keeps, and keeps it from being
    /// released before the end of the request.
    fn take_stopped_memory(&mut self, forwarding: &mut Forwarding) -> Option<Replica> {
        let run = forwarding.stopped.take()?;
        let handle = run.known_end().handle().cloned()?;
        run.claim(&handle);
        let dispatch = &forwarding.dispatch;
        self.replica_handle = Some(handle.clone());
        self.replica_source = Some((dispatch.server.clone(), dispatch.boot));
        Some(Replica {
            endpoint: Endpoint {
                server: dispatch.server.clone(),
                address: dispatch.address,
                boot: dispatch.boot,
            },
            handle: Some(handle),
        })
    }
}

/// Waits for the result of the present stage of the attempt that is to replace the current one.
/// Waits forever if there is none.
pub(super) async fn next_result(successor: &mut Option<Successor>) -> (Successor, StageResult) {
    let Some(pending) = successor else {
        return std::future::pending().await;
    };
    let result = match &mut pending.stage {
        Stage::Waiting(stopping) => {
            stopping.as_mut().await;
            StageResult::Waited
        }
        Stage::Sent(result, _) => StageResult::Answered(Box::new(result.as_mut().await)),
    };
    match successor.take() {
        Some(successor) => (successor, result),
        None => std::future::pending().await,
    }
}
