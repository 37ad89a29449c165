//! Forwarding of a response to the caller as it arrives, over several attempts if necessary.

mod resumption;

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use gateway::decider::RelayCommand;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wigeon_core::Event;
use wigeon_core::message::Dispatch;
use wigeon_core::outcome::Reason;
use wire::AttemptId;

use self::resumption::Stage;
use self::resumption::Successor;
use self::resumption::next_result;
use super::Relay;
use super::ResponseBody;
use super::Truncated;
use super::earlier_run::EarlierRun;
use super::outcome_labels;
use super::replication::Replication;
use super::response::ResponseHead;
use super::response::ResponseStream;
use super::response::StreamItem;
use crate::sse;

/// Maximum number of events queued for a slow caller. While the queue is full, no more events are
/// read from the server.
const QUEUED_EVENTS_MAX: usize = 16;
/// Number of bytes in queued events from which on no more events are read from the server either.
/// Events have up to a few KB, but a faulty server may send longer ones.
const QUEUED_BYTES_MAX: usize = 64 * 1_024;
/// Number of events between two progress reports to the decider.
const EVENTS_PER_REPORT: u32 = 8;
/// Time without a new event after which the decider may resume a stream from its replica. A sound
/// server may be silent for a second or so. Bytes that complete no new event do not count, since a
/// stalled server may still send some.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of bytes in events that the caller already has, between two new events.
const REPEATED_BYTES_MAX: usize = 256 * 1_024;

/// The state of a stream of events that is forwarded.
struct Forwarding {
    /// The attempt whose events are forwarded.
    dispatch: Dispatch,
    /// The rest of that attempt's response, or `None` once it is lost.
    stream: Option<ResponseStream>,
    /// The attempt that replaces this one as soon as its server has begun to answer.
    successor: Option<Successor>,
    /// Events for the caller that have not been sent yet.
    queue: VecDeque<Bytes>,
    /// Time of the last new event.
    progressed_at: Instant,
    /// Bytes in events that the caller already had, since the last new event.
    repeated_bytes: usize,
    /// Number of silences reported to the decider.
    silences: u32,
    /// The present silence, if it was reported.
    silence: Option<u32>,
    /// Whether no event of the attempt that holds data has arrived.
    awaits_event: bool,
    /// The attempt's part in a stream that another one has begun.
    continuation: Option<Continuation>,
    /// Whether the attempt's server was asked to stop its run. From then on the end of the connection
    /// may be the work of the stop.
    stop_begun: bool,
    /// The attempt's run, after its server has stopped it.
    stopped: Option<EarlierRun>,
}

/// Events of an attempt that continues a stream, until one of them proves that it does.
#[derive(Default)]
struct Continuation {
    /// Events without an id, which are forwarded with the first new one. A response that is no stream
    /// of events may look like these.
    held: Vec<Bytes>,
}

/// An attempt that was cancelled after it had been sent.
struct Cancelled {
    dispatch: Dispatch,
    /// Whether one of its events has arrived.
    has_begun: bool,
}

/// What follows after an event of the forwarding loop.
enum Step {
    /// The stream goes on.
    Continue,
    /// The stream is complete.
    Complete,
    /// The caller's connection is aborted for a reason.
    Abort(&'static str),
}

impl Forwarding {
    fn new(dispatch: Dispatch, stream: ResponseStream) -> Forwarding {
        Forwarding {
            dispatch,
            stream: Some(stream),
            successor: None,
            queue: VecDeque::new(),
            progressed_at: Instant::now(),
            repeated_bytes: 0,
            silences: 0,
            silence: None,
            awaits_event: true,
            continuation: None,
            stop_begun: false,
            stopped: None,
        }
    }

    /// Returns whether an event of the attempt has arrived.
    fn has_begun(&self) -> bool {
        !self.awaits_event
    }

    /// Returns whether an attempt waits for the end of this attempt's run.
    fn is_being_stopped(&self) -> bool {
        let stage = self.successor.as_ref().map(|successor| &successor.stage);
        self.stop_begun && matches!(stage, Some(Stage::Waiting(_)))
    }

    /// Returns whether nothing more comes for the caller unless another attempt is made.
    fn is_over(&self) -> bool {
        self.stream.is_none() && self.successor.is_none() && self.queue.is_empty()
    }

    /// Returns whether an attempt may be made: it was ordered for the present silence or, after a
    /// silence or without one, for the loss of the stream.
    fn awaits(&self, dispatch: &Dispatch) -> bool {
        match dispatch.silence {
            Some(silence) => self.silence == Some(silence),
            None => self.stream.is_none(),
        }
    }

    /// Returns whether the stream's end can't be told from that of its connection.
    fn is_close_delimited(&self) -> bool {
        let stream = self.stream.as_ref();
        stream.is_some_and(|stream| stream.is_close_delimited)
    }

    /// Records that no event has arrived for some time. Returns the number of the silence, which
    /// stays the same until an event arrives.
    fn record_silence(&mut self) -> u32 {
        self.progressed_at = Instant::now();
        if self.silence.is_none() {
            self.silences += 1;
        }
        *self.silence.insert(self.silences)
    }

    fn is_queue_full(&self) -> bool {
        self.queue.len() >= QUEUED_EVENTS_MAX
            || self.queue.iter().map(Bytes::len).sum::<usize>() >= QUEUED_BYTES_MAX
    }

    fn send_queued(&mut self, permit: mpsc::Permit<'_, Result<Bytes, Truncated>>) {
        if self.is_queue_full() {
            // Nothing was read from the server while the caller was behind.
            self.progressed_at = Instant::now();
        }
        if let Some(bytes) = self.queue.pop_front() {
            permit.send(Ok(bytes));
        }
    }

    /// Records a new event. Returns whether that ends a silence. A run that its server was asked to
    /// stop may not be relied on any more.
    fn record_progress(&mut self) -> bool {
        self.progressed_at = Instant::now();
        self.repeated_bytes = 0;
        !self.is_being_stopped() && self.silence.take().is_some()
    }

    /// Replaces the attempt by its successor, which closes the connection to its server.
    fn replace(&mut self, dispatch: Dispatch, stream: ResponseStream) {
        *self = Forwarding {
            queue: std::mem::take(&mut self.queue),
            silences: self.silences,
            continuation: Some(Continuation::default()),
            ..Forwarding::new(dispatch, stream)
        };
    }

    fn close_stream(&mut self) {
        self.stream = None;
    }

    /// Closes the connection of an attempt. Returns the attempt if its server may have run it.
    fn cancel(&mut self, attempt: AttemptId) -> Option<Cancelled> {
        let is_successor = |successor: &mut Successor| successor.dispatch.attempt == attempt;
        if let Some(successor) = self.successor.take_if(is_successor) {
            return successor.into_sent().map(|dispatch| Cancelled {
                dispatch,
                has_begun: false,
            });
        }
        if self.dispatch.attempt != attempt {
            return None;
        }
        self.close_stream();
        Some(Cancelled {
            dispatch: self.dispatch.clone(),
            has_begun: self.has_begun(),
        })
    }
}

impl Relay {
    /// Spawns a task that forwards the rest of a response, and returns the response with its head.
    /// `prefix` holds the first bytes of a response that is not a stream of events.
    pub(super) fn start_streaming(
        self,
        dispatch: Dispatch,
        head: ResponseHead,
        prefix: Option<Bytes>,
        stream: ResponseStream,
    ) -> Response<ResponseBody> {
        let (caller, receiver) = mpsc::channel(1);
        let response = head.into_response(ResponseBody::Stream(receiver));
        match prefix {
            Some(prefix) => tokio::spawn(self.forward_body(dispatch, prefix, stream, caller)),
            None => tokio::spawn(self.forward_events(dispatch, stream, caller)),
        };
        response
    }

    /// Forwards a long response that is not a stream of events. A truncated response can't be
    /// resumed, so the caller's connection is aborted.
    async fn forward_body(
        mut self,
        dispatch: Dispatch,
        prefix: Bytes,
        mut stream: ResponseStream,
        caller: mpsc::Sender<Result<Bytes, Truncated>>,
    ) {
        if caller.send(Ok(prefix)).await.is_err() {
            return;
        }
        let deadline = self.final_deadline();
        tokio::pin!(deadline);
        loop {
            let frame = tokio::select! {
                frame = stream.body.frame() => frame,
                () = caller.closed() => return,
                () = &mut deadline => {
                    self.report_overdue();
                    return self.time_out_body(&caller).await;
                }
                command = self.commands.recv() => match command {
                    Some(RelayCommand::Orphan) => {
                        self.is_orphaned = true;
                        deadline.set(self.final_deadline());
                        continue;
                    }
                    Some(RelayCommand::Copy(..)) => continue,
                    _ => return self.time_out_body(&caller).await,
                },
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if caller.send(Ok(data)).await.is_err() {
                        return;
                    }
                }
                Some(Err(_)) => {
                    let event = self.lost_event(true);
                    self.send_event(&dispatch, event).await;
                    let _ = caller.send(Err(Truncated)).await;
                    self.finish("failed", "lost", StatusCode::OK);
                    return;
                }
                None => {
                    let event = self.completion_event();
                    self.send_event(&dispatch, event).await;
                    self.finish("answered", "complete", StatusCode::OK);
                    return;
                }
            }
        }
    }

    /// Aborts the caller's connection, since the time of the request is up.
    async fn time_out_body(&mut self, caller: &mpsc::Sender<Result<Bytes, Truncated>>) {
        let _ = caller.send(Err(Truncated)).await;
        self.finish("failed", "timed-out", StatusCode::OK);
    }

    /// Forwards a stream of events. When an attempt fails, the stream resumes with the decider's
    /// next attempt. A silent attempt is kept until the server of the next one has begun to answer.
    async fn forward_events(
        mut self,
        dispatch: Dispatch,
        stream: ResponseStream,
        caller: mpsc::Sender<Result<Bytes, Truncated>>,
    ) {
        let mut forwarding = Forwarding::new(dispatch, stream);
        let deadline = self.final_deadline();
        tokio::pin!(deadline);
        loop {
            let silent_at = self.silent_at(&forwarding);
            let step = tokio::select! {
                biased;
                permit = caller.reserve(), if !forwarding.queue.is_empty() => match permit {
                    Ok(permit) => {
                        forwarding.send_queued(permit);
                        Step::Continue
                    }
                    Err(_) => return,
                },
                () = caller.closed() => return,
                () = &mut deadline => {
                    self.report_overdue();
                    Step::Abort(Reason::TimedOut.as_str())
                }
                command = receive(&mut self.pending_commands, &mut self.commands) => {
                    let step = self.on_command(&mut forwarding, command);
                    deadline.set(self.final_deadline());
                    step
                }
                event = Replication::next(&mut self.replication) => {
                    self.on_replication_event(&forwarding.dispatch, event).await;
                    Step::Continue
                }
                result = next_result(&mut forwarding.successor) => {
                    self.on_stage_result(&mut forwarding, result).await;
                    Step::Continue
                }
                item = next_item(&mut forwarding.stream, silent_at),
                    if !forwarding.is_queue_full() =>
                {
                    self.on_item(&mut forwarding, item).await
                }
            };
            match step {
                // Nobody orders an attempt that continues the stream.
                Step::Continue if self.is_orphaned && forwarding.is_over() => {
                    self.finish("failed", Reason::Lost.as_str(), StatusCode::OK);
                    let _ = caller.send(Err(Truncated)).await;
                    return;
                }
                Step::Continue => {}
                Step::Complete => {
                    for bytes in forwarding.queue {
                        if caller.send(Ok(bytes)).await.is_err() {
                            break;
                        }
                    }
                    self.finish("answered", "complete", StatusCode::OK);
                    return;
                }
                Step::Abort(reason) => {
                    self.finish("failed", reason, StatusCode::OK);
                    let _ = caller.send(Err(Truncated)).await;
                    return;
                }
            }
        }
    }

    /// Returns when the stream counts as silent if no event arrives, or `None` if it can't be
    /// resumed from a replica or another attempt is already tried.
    fn silent_at(&self, forwarding: &Forwarding) -> Option<Instant> {
        let may_resume = forwarding.stream.is_some()
            && forwarding.successor.is_none()
            && forwarding.queue.is_empty()
            && self.has_replica(&forwarding.dispatch);
        may_resume.then_some(forwarding.progressed_at + SILENCE_TIMEOUT)
    }

    fn on_command(&mut self, forwarding: &mut Forwarding, command: RelayCommand) -> Step {
        match command {
            RelayCommand::Dispatch(dispatch) if forwarding.awaits(&dispatch) => {
                self.replication = None;
                if forwarding.stream.is_some() {
                    self.give_up_silent_run(&forwarding.dispatch, forwarding.has_begun());
                }
                let stage = match self.stop_earlier_runs(&dispatch) {
                    Some(stopping) => Stage::Waiting(Box::pin(stopping)),
                    None => self.send_successor(&dispatch, Vec::new()),
                };
                forwarding.stop_begun |= forwarding.stream.is_some();
                forwarding.successor = Some(Successor { dispatch, stage });
            }
            // The server has sent an event since the decider ordered this attempt.
            RelayCommand::Dispatch(_) => {}
            RelayCommand::Copy(attempt, endpoint) if attempt == forwarding.dispatch.attempt => {
                self.start_replication(&forwarding.dispatch, endpoint);
            }
            RelayCommand::Cancel(attempt) => {
                if let Some(cancelled) = forwarding.cancel(attempt) {
                    self.give_up_run(&cancelled.dispatch, cancelled.has_begun);
                }
            }
            RelayCommand::Orphan => self.is_orphaned = true,
            RelayCommand::Copy(..) => {}
            RelayCommand::Finish(outcome) => {
                let (_, reason) = outcome_labels(&outcome);
                return Step::Abort(reason);
            }
        }
        Step::Continue
    }

    async fn on_item(&mut self, forwarding: &mut Forwarding, item: StreamItem) -> Step {
        match item {
            StreamItem::Event(event) => self.on_event(forwarding, event).await,
            StreamItem::End if forwarding.stop_begun && forwarding.is_close_delimited() => {
                self.close_stopped(forwarding).await;
            }
            StreamItem::Truncated if forwarding.stop_begun => self.close_stopped(forwarding).await,
            // Nothing tells whether the stream was complete before.
            StreamItem::End if forwarding.continuation.is_some() => {
                forwarding.close_stream();
                self.lose_stream(forwarding, "no-new-event", false).await;
            }
            StreamItem::End => {
                let event = self.completion_event();
                self.send_event(&forwarding.dispatch, event).await;
                return Step::Complete;
            }
            StreamItem::Truncated => {
                // Closes the connection before the report, so that the server has stopped the
                // generation when the decider orders the next attempt.
                forwarding.close_stream();
                self.lose_stream(forwarding, "broken", true).await;
            }
            StreamItem::Silent => {
                let silence = forwarding.record_silence();
                self.log_failed_attempt(&forwarding.dispatch, "silent");
                let delivered = self.tokens_sent();
                let event = Event::Silent { silence, delivered };
                self.send_event(&forwarding.dispatch, event).await;
            }
        }
        Step::Continue
    }

    /// Handles a stream that has ended after its server was asked to stop the run, which may be the
    /// reason. While an attempt waits for the end of the run, it decides what follows.
    async fn close_stopped(&mut self, forwarding: &mut Forwarding) {
        let is_waiting = forwarding.is_being_stopped();
        forwarding.close_stream();
        self.record_disconnect(&forwarding.dispatch);
        if !is_waiting {
            self.lose_stream(forwarding, "broken", false).await;
        }
    }

    async fn on_event(&mut self, forwarding: &mut Forwarding, event: sse::Event) {
        // A server may send comments before a run begins.
        if forwarding.awaits_event && (event.id.is_some() || event.has_data()) {
            forwarding.awaits_event = false;
            self.record_begun(forwarding.dispatch.attempt);
            self.send_event(&forwarding.dispatch, Event::FirstToken)
                .await;
        }
        let size = event.bytes.len();
        let has_id = event.id.is_some();
        // Within one response, uneven ids are those of its server.
        if forwarding.continuation.is_some() && self.skips_events(&event) {
            forwarding.close_stream();
            self.lose_stream(forwarding, "gap", false).await;
            return;
        }
        if let Some(continuation) = &mut forwarding.continuation {
            if !has_id {
                continuation.held.push(event.bytes);
                forwarding.repeated_bytes += size;
                self.end_if_repeating(forwarding).await;
                return;
            }
            if self.is_new(&event)
                && let Some(continuation) = forwarding.continuation.take()
            {
                forwarding.queue.extend(continuation.held);
            }
        }
        match self.accept_event(event) {
            Some(bytes) => {
                forwarding.queue.push_back(bytes);
                if has_id && forwarding.record_progress() {
                    let successor = forwarding.successor.take();
                    if let Some(dispatch) = successor.and_then(Successor::into_sent) {
                        self.give_up_run(&dispatch, false);
                    }
                    self.stop_other_runs(&forwarding.dispatch);
                    self.send_event(&forwarding.dispatch, Event::Recovered)
                        .await;
                }
            }
            None => forwarding.repeated_bytes += size,
        }
        if forwarding.silence.is_none() {
            self.report_progress(&forwarding.dispatch).await;
        }
        self.end_if_repeating(forwarding).await;
    }

    /// Gives up an attempt that has sent too much without a new event.
    async fn end_if_repeating(&mut self, forwarding: &mut Forwarding) {
        if forwarding.repeated_bytes > REPEATED_BYTES_MAX {
            forwarding.close_stream();
            self.lose_stream(forwarding, "repeating", false).await;
        }
    }

    /// Reports to the decider that the stream of the forwarded attempt was lost.
    async fn lose_stream(
        &mut self,
        forwarding: &mut Forwarding,
        result: &'static str,
        crashed: bool,
    ) {
        let has_begun = forwarding.has_begun();
        self.lose_attempt(&forwarding.dispatch, has_begun, result, crashed)
            .await;
    }

    /// Reports to the decider that an attempt was lost. `has_begun` tells whether one of its events has
    /// arrived.
    async fn lose_attempt(
        &mut self,
        dispatch: &Dispatch,
        has_begun: bool,
        result: &'static str,
        crashed: bool,
    ) {
        self.log_failed_attempt(dispatch, result);
        self.give_up_run(dispatch, has_begun);
        let event = self.lost_event(crashed);
        self.send_event(dispatch, event).await;
    }

    /// Returns whether the attempt's generation has a replica: one that the dispatch named, or one
    /// that was made during the attempt.
    fn has_replica(&self, dispatch: &Dispatch) -> bool {
        let replica = self.replica_handle.as_ref();
        dispatch.copy.is_some() || replica.is_some_and(|handle| handle.source == dispatch.address)
    }

    /// Returns whether the caller does not have an event yet.
    fn is_new(&self, event: &sse::Event) -> bool {
        let is_duplicate = |last: u64| event.id.is_some_and(|id| id <= last);
        !self.progress.last_event_id.is_some_and(is_duplicate)
    }

    /// Returns whether events are missing between the last one that the caller has and a new one.
    fn skips_events(&self, event: &sse::Event) -> bool {
        let next = self.progress.next_id();
        next.is_some_and(|next| event.id.is_some_and(|id| id > next))
    }

    /// Records an event and returns its bytes for the caller, or `None` if the caller already has
    /// the event.
    fn accept_event(&mut self, event: sse::Event) -> Option<Bytes> {
        let now = self.context.clock.now();
        if !self.is_new(&event) {
            return None;
        }
        self.progress.record_id(event.id);
        self.progress.events += 1;
        self.progress
            .first_event_after
            .get_or_insert(now - self.arrived_at);
        if let Some(last) = self.progress.last_event_at {
            self.progress.longest_gap = self.progress.longest_gap.max(now.saturating_sub(last));
        }
        self.progress.last_event_at = Some(now);
        Some(event.bytes)
    }

    async fn report_progress(&self, dispatch: &Dispatch) {
        if !self.progress.events.is_multiple_of(EVENTS_PER_REPORT) {
            return;
        }
        let tokens_sent = self.tokens_sent();
        let event = Event::Progress {
            generated: tokens_sent,
            delivered: tokens_sent,
        };
        self.send_event(dispatch, event).await;
    }
}

/// Waits for the next command. Waits forever once the decider has stopped.
async fn receive(
    pending_commands: &mut VecDeque<RelayCommand>,
    commands: &mut mpsc::UnboundedReceiver<RelayCommand>,
) -> RelayCommand {
    if let Some(command) = pending_commands.pop_front() {
        return command;
    }
    match commands.recv().await {
        Some(command) => command,
        None => std::future::pending().await,
    }
}

/// Waits for the next part of the stream. Without a stream it waits forever, and a stream without a
/// new event until `silent_at` counts as silent.
async fn next_item(stream: &mut Option<ResponseStream>, silent_at: Option<Instant>) -> StreamItem {
    let Some(stream) = stream else {
        return std::future::pending().await;
    };
    match silent_at {
        Some(silent_at) => match tokio::time::timeout_at(silent_at, stream.next()).await {
            Ok(item) => item,
            Err(_) => StreamItem::Silent,
        },
        None => stream.next().await,
    }
}
