//! Passing an answer on as it comes, over as many attempts as it takes.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use gateway::decider::RelayCommand;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use tokio::sync::mpsc;
use wigeon_core::Event;
use wigeon_core::message::Dispatch;

use super::Body;
use super::Broken;
use super::Relay;
use super::copies::Copying;
use super::source::Head;
use super::source::Piece;
use super::source::Source;
use super::source::Tried;
use super::words;
use crate::events;

/// Events that wait for a slow caller before no more are read from the server.
const EVENTS_QUEUED: usize = 16;
/// Events between two reports of progress to the decider.
const PROGRESS_EVENTS: u32 = 8;
/// Silence of a server in the middle of a stream after which the generation goes on from its copy.
/// Engines send an event every 30 to 90 ms; one that is silent for this long is dead or cut off.
const SILENCE: Duration = Duration::from_millis(700);

impl Relay {
    /// Passes an answer on as it comes, in a task of its own.
    pub(super) fn stream(
        self,
        dispatch: Dispatch,
        head: Head,
        begun: Option<Bytes>,
        source: Source,
    ) -> Response<Body> {
        let (out, pieces) = mpsc::channel(1);
        let response = head.into_response(Body::Pieces(pieces));
        match begun {
            Some(begun) => tokio::spawn(self.pass_on(dispatch, begun, source, out)),
            None => tokio::spawn(self.pump(dispatch, source, out)),
        };
        response
    }

    /// Passes on a long answer that is no stream of events.
    async fn pass_on(
        mut self,
        dispatch: Dispatch,
        begun: Bytes,
        mut source: Source,
        out: mpsc::Sender<Result<Bytes, Broken>>,
    ) {
        if out.send(Ok(begun)).await.is_err() {
            return;
        }
        loop {
            let frame = tokio::select! {
                frame = source.body.frame() => frame,
                () = out.closed() => return,
                command = self.commands.recv() => {
                    if let Some(RelayCommand::Orphan | RelayCommand::Copy(..)) = command {
                        continue;
                    }
                    let _ = out.send(Err(Broken)).await;
                    self.end("failed", "timed-out", StatusCode::OK);
                    return;
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if out.send(Ok(data)).await.is_err() {
                        return;
                    }
                }
                Some(Err(_)) => {
                    let event = self.lost();
                    self.tell(&dispatch, event).await;
                    let _ = out.send(Err(Broken)).await;
                    self.end("failed", "lost", StatusCode::OK);
                    return;
                }
                None => {
                    let event = self.complete();
                    self.tell(&dispatch, event).await;
                    self.end("answered", "complete", StatusCode::OK);
                    return;
                }
            }
        }
    }

    /// Passes events on, over as many attempts as the decider orders.
    async fn pump(
        mut self,
        mut dispatch: Dispatch,
        source: Source,
        out: mpsc::Sender<Result<Bytes, Broken>>,
    ) {
        self.tell(&dispatch, Event::Started).await;
        let mut source = Some(source);
        let mut queue: VecDeque<Bytes> = VecDeque::new();
        loop {
            let watched = source.is_some() && queue.is_empty() && self.has_copy(&dispatch);
            let silence = watched.then_some(SILENCE);
            tokio::select! {
                biased;
                permit = out.reserve(), if !queue.is_empty() => match permit {
                    Ok(permit) => if let Some(bytes) = queue.pop_front() {
                        permit.send(Ok(bytes));
                    },
                    Err(_) => return,
                },
                () = out.closed() => return,
                command = next_of(&mut self.pending, &mut self.commands) => match command {
                    RelayCommand::Dispatch(next) => {
                        self.copying = None;
                        if next.resume_from.as_ref().is_some_and(|replica| replica.handle == self.handle) {
                            // It is used up by going on from it.
                            self.handle = None;
                        }
                        source = self.go_on(&next, &out).await;
                        dispatch = next;
                    }
                    RelayCommand::Copy(attempt, endpoint) if attempt == dispatch.attempt => {
                        self.copy_to(&dispatch, endpoint);
                    }
                    RelayCommand::Cancel(attempt) if attempt == dispatch.attempt => source = None,
                    RelayCommand::Cancel(_) | RelayCommand::Copy(..) | RelayCommand::Orphan => {}
                    RelayCommand::Finish(outcome) => {
                        let (_, reason) = words(&outcome);
                        self.end("failed", reason, StatusCode::OK);
                        let _ = out.send(Err(Broken)).await;
                        return;
                    }
                },
                copied = Copying::next(&mut self.copying) => {
                    self.take_copied(&dispatch, copied).await;
                }
                piece = next_piece(&mut source, silence), if queue.len() < EVENTS_QUEUED => {
                    match piece {
                        Piece::Event(event) => {
                            if let Some(bytes) = self.take(event) {
                                queue.push_back(bytes);
                            }
                            self.tell_progress(&dispatch).await;
                        }
                        Piece::End => {
                            let event = self.complete();
                            self.tell(&dispatch, event).await;
                            for bytes in queue {
                                if out.send(Ok(bytes)).await.is_err() {
                                    break;
                                }
                            }
                            self.end("answered", "complete", StatusCode::OK);
                            return;
                        }
                        Piece::Broken => {
                            // Closed before the decider knows of it, so that nothing more of it runs.
                            source = None;
                            self.log_attempt(&dispatch, "broken");
                            let event = self.lost();
                            self.tell(&dispatch, event).await;
                        }
                    }
                }
            }
        }
    }

    /// Returns whether a copy was named when the attempt began, or has been made since.
    fn has_copy(&self, dispatch: &Dispatch) -> bool {
        let made = self.handle.as_ref();
        dispatch.copy.is_some() || made.is_some_and(|handle| handle.source == dispatch.address)
    }

    /// Makes the attempt by which a stream goes on. Returns its source, or tells the decider that there
    /// is none.
    async fn go_on(
        &mut self,
        dispatch: &Dispatch,
        out: &mpsc::Sender<Result<Bytes, Broken>>,
    ) -> Option<Source> {
        let tried = tokio::select! {
            tried = self.try_unless_ordered(dispatch) => tried?,
            () = out.closed() => return None,
        };
        match tried {
            Tried::Events(_, source) => {
                self.tell(dispatch, Event::Started).await;
                Some(source)
            }
            // A stream that has begun can't end with another kind of answer.
            Tried::Whole(..) | Tried::Long(..) | Tried::Failed(..) => {
                self.log_attempt(dispatch, "no-stream");
                let event = self.lost();
                self.tell(dispatch, event).await;
                None
            }
            other => {
                self.report(dispatch, other).await;
                None
            }
        }
    }

    /// Returns the bytes of an event that is to be passed on, or nothing for one that the caller has.
    fn take(&mut self, event: events::Event) -> Option<Bytes> {
        let now = self.shared.clock.now();
        let seen = |last: u64| event.id.is_some_and(|id| id <= last);
        if self.progress.last_id.is_some_and(seen) {
            return None;
        }
        self.progress.last_id = event.id.or(self.progress.last_id);
        self.progress.events += 1;
        self.progress.first.get_or_insert(now - self.arrived);
        if let Some(last) = self.progress.last_at {
            self.progress.gap = self.progress.gap.max(now.saturating_sub(last));
        }
        self.progress.last_at = Some(now);
        Some(event.bytes)
    }

    async fn tell_progress(&self, dispatch: &Dispatch) {
        if !self.progress.events.is_multiple_of(PROGRESS_EVENTS) {
            return;
        }
        let tokens = self.tokens();
        let event = Event::Progress {
            generated: tokens,
            delivered: tokens,
        };
        self.tell(dispatch, event).await;
    }
}

async fn next_of(
    pending: &mut VecDeque<RelayCommand>,
    commands: &mut mpsc::UnboundedReceiver<RelayCommand>,
) -> RelayCommand {
    if let Some(command) = pending.pop_front() {
        return command;
    }
    match commands.recv().await {
        Some(command) => command,
        None => std::future::pending().await,
    }
}

async fn next_piece(source: &mut Option<Source>, silence: Option<Duration>) -> Piece {
    let Some(source) = source else {
        return std::future::pending().await;
    };
    match silence {
        Some(silence) => match tokio::time::timeout(silence, source.next()).await {
            Ok(piece) => piece,
            Err(_) => Piece::Broken,
        },
        None => source.next().await,
    }
}
