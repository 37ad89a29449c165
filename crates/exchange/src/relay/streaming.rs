//! Forwarding of a response to the caller as it arrives, over several attempts if necessary.

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

use super::Relay;
use super::ResponseBody;
use super::Truncated;
use super::outcome_labels;
use super::replication::Replication;
use super::response::AttemptResult;
use super::response::ResponseHead;
use super::response::ResponseStream;
use super::response::StreamItem;
use crate::sse;

/// Maximum number of events queued for a slow caller. While the queue is full, no more events are
/// read from the server.
const QUEUED_EVENTS_MAX: usize = 16;
/// Number of events between two progress reports to the decider.
const EVENTS_PER_REPORT: u32 = 8;
/// Time without a new event after which a stream is resumed from its replica. Engines send an event
/// every 30 to 90 ms; a server that sends none for this long has crashed or is partitioned. Bytes
/// that complete no new event do not count, since a stalled server may still send some.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of bytes in events that the caller already has, between two new events.
const REPEATED_BYTES_MAX: usize = 256 * 1_024;

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
        loop {
            let frame = tokio::select! {
                frame = stream.body.frame() => frame,
                () = caller.closed() => return,
                command = self.commands.recv() => {
                    if let Some(RelayCommand::Orphan | RelayCommand::Copy(..)) = command {
                        continue;
                    }
                    let _ = caller.send(Err(Truncated)).await;
                    self.finish("failed", "timed-out", StatusCode::OK);
                    return;
                }
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
                    let event = self.lost_event();
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

    /// Forwards a stream of events. When an attempt fails, the stream resumes with the decider's
    /// next attempt.
    async fn forward_events(
        mut self,
        mut dispatch: Dispatch,
        stream: ResponseStream,
        caller: mpsc::Sender<Result<Bytes, Truncated>>,
    ) {
        self.send_event(&dispatch, Event::FirstToken).await;
        let mut stream = Some(stream);
        let mut queue: VecDeque<Bytes> = VecDeque::new();
        let mut progressed_at = Instant::now();
        let mut repeated_bytes = 0;
        loop {
            let times_out = stream.is_some() && queue.is_empty() && self.has_replica(&dispatch);
            let silent_at = times_out.then_some(progressed_at + SILENCE_TIMEOUT);
            tokio::select! {
                biased;
                permit = caller.reserve(), if !queue.is_empty() => match permit {
                    Ok(permit) => {
                        if queue.len() >= QUEUED_EVENTS_MAX {
                            // Nothing was read from the server while the caller was behind.
                            progressed_at = Instant::now();
                        }
                        if let Some(bytes) = queue.pop_front() {
                            permit.send(Ok(bytes));
                        }
                    }
                    Err(_) => return,
                },
                () = caller.closed() => return,
                command = receive(&mut self.pending_commands, &mut self.commands) => match command {
                    RelayCommand::Dispatch(next) => {
                        self.replication = None;
                        if next
                            .resume_from
                            .as_ref()
                            .is_some_and(|replica| replica.handle == self.replica_handle)
                        {
                            // The attempt consumes the replica, so it must not be released.
                            self.replica_handle = None;
                        }
                        stream = self.resume(&next, &caller).await;
                        dispatch = *next;
                        progressed_at = Instant::now();
                        repeated_bytes = 0;
                    }
                    RelayCommand::Copy(attempt, endpoint) if attempt == dispatch.attempt => {
                        self.start_replication(&dispatch, endpoint);
                    }
                    RelayCommand::Cancel(attempt) if attempt == dispatch.attempt => stream = None,
                    RelayCommand::Cancel(_) | RelayCommand::Copy(..) | RelayCommand::Orphan => {}
                    RelayCommand::Finish(outcome) => {
                        let (_, reason) = outcome_labels(&outcome);
                        self.finish("failed", reason, StatusCode::OK);
                        let _ = caller.send(Err(Truncated)).await;
                        return;
                    }
                },
                event = Replication::next(&mut self.replication) => {
                    self.on_replication_event(&dispatch, event).await;
                }
                item = next_item(&mut stream, silent_at), if queue.len() < QUEUED_EVENTS_MAX => {
                    match item {
                        StreamItem::Event(event) => {
                            let size = event.bytes.len();
                            let has_id = event.id.is_some();
                            if let Some(bytes) = self.accept_event(event) {
                                queue.push_back(bytes);
                                if has_id {
                                    progressed_at = Instant::now();
                                    repeated_bytes = 0;
                                }
                            } else {
                                repeated_bytes += size;
                            }
                            self.report_progress(&dispatch).await;
                            if repeated_bytes > REPEATED_BYTES_MAX {
                                stream = None;
                                self.lose_stream(&dispatch, "repeating").await;
                            }
                        }
                        StreamItem::End => {
                            let event = self.completion_event();
                            self.send_event(&dispatch, event).await;
                            for bytes in queue {
                                if caller.send(Ok(bytes)).await.is_err() {
                                    break;
                                }
                            }
                            self.finish("answered", "complete", StatusCode::OK);
                            return;
                        }
                        StreamItem::Truncated | StreamItem::Silent => {
                            let result = match item {
                                StreamItem::Silent => "silent",
                                _ => "broken",
                            };
                            // Closes the connection before the report, so that the server has
                            // stopped the generation when the decider orders the next attempt.
                            stream = None;
                            self.lose_stream(&dispatch, result).await;
                        }
                    }
                }
            }
        }
    }

    /// Reports to the decider that the stream of an attempt was lost.
    async fn lose_stream(&mut self, dispatch: &Dispatch, result: &'static str) {
        self.log_failed_attempt(dispatch, result);
        let event = self.lost_event();
        self.send_event(dispatch, event).await;
    }

    /// Returns whether the attempt's generation has a replica: one that the dispatch named, or one
    /// that was made during the attempt.
    fn has_replica(&self, dispatch: &Dispatch) -> bool {
        let replica = self.replica_handle.as_ref();
        dispatch.copy.is_some() || replica.is_some_and(|handle| handle.source == dispatch.address)
    }

    /// Makes an attempt to resume the stream. Returns the rest of its response, or `None` if the
    /// attempt failed, which is reported to the decider.
    async fn resume(
        &mut self,
        dispatch: &Dispatch,
        caller: &mpsc::Sender<Result<Bytes, Truncated>>,
    ) -> Option<ResponseStream> {
        let result = tokio::select! {
            result = self.attempt_until_command(dispatch) => result?,
            () = caller.closed() => return None,
        };
        match result {
            AttemptResult::EventStream(_, stream) => {
                self.send_event(dispatch, Event::FirstToken).await;
                Some(stream)
            }
            // The caller has received the beginning of a stream, which no other kind of response
            // can complete.
            AttemptResult::Complete(..)
            | AttemptResult::Partial(..)
            | AttemptResult::ServerError(..) => {
                self.log_failed_attempt(dispatch, "no-stream");
                let event = self.lost_event();
                self.send_event(dispatch, event).await;
                None
            }
            other => {
                self.report_attempt(dispatch, other).await;
                None
            }
        }
    }

    /// Records an event and returns its bytes for the caller, or `None` if the caller already has
    /// the event.
    fn accept_event(&mut self, event: sse::Event) -> Option<Bytes> {
        let now = self.context.clock.now();
        let is_duplicate = |last: u64| event.id.is_some_and(|id| id <= last);
        if self.progress.last_event_id.is_some_and(is_duplicate) {
            return None;
        }
        self.progress.last_event_id = event.id.or(self.progress.last_event_id);
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
