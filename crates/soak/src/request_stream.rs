//! Models the part of an attempt that runs in the shell of an instance: token relay, detection of
//! stalled connections, and lost servers.

use std::time::Duration;

use standin::engine::Emission;
use stream::Disposition;
use stream::Frame;
use stream::Relay;
use stream::StallDetector;
use wigeon_core::Event;
use wire::AttemptId;
use wire::Name;

/// Time for which reconnections to an unreachable server are tried.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The stream of one request in the shell of one instance.
#[derive(Debug)]
pub struct RequestStream {
    /// Checks and collects the tokens of the answer.
    pub relay: Relay,
    /// The current attempt.
    pub attempt: AttemptId,
    /// The server that runs the current attempt.
    pub server: Name,
    /// The engine's number for the generation. `None` until the engine has accepted it, and for
    /// calls of plain services.
    pub generation: Option<u64>,
    stall_detector: StallDetector,
    last_received: Duration,
    unreachable_since: Option<Duration>,
}

/// Time without any answer after which a call fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The result of a check for a stalled connection.
#[derive(Clone, Debug, PartialEq)]
pub enum StallCheck {
    /// The connection is not stalled.
    Healthy,
    /// A call, which can't be resumed, has timed out.
    CallTimedOut,
    /// The connection is stalled. The generation must be resumed on a new connection.
    Resume {
        /// The engine's number for the generation.
        generation: u64,
        /// Index of the next token to read.
        from: u32,
    },
}

impl RequestStream {
    /// Returns the stream for the first attempt of a request.
    pub fn new(
        now: Duration,
        deliver_whole: bool,
        allow_rerun: bool,
        attempt: AttemptId,
        server: Name,
    ) -> RequestStream {
        let mut relay = Relay::new(deliver_whole).allow_rerun(allow_rerun);
        relay.bind(attempt);
        RequestStream {
            relay,
            attempt,
            server,
            generation: None,
            stall_detector: StallDetector::default(),
            last_received: now,
            unreachable_since: None,
        }
    }

    /// Replaces the current attempt by a new one. Returns whether the relay allows it.
    pub fn rebind(&mut self, now: Duration, attempt: AttemptId, server: Name) -> bool {
        self.attempt = attempt;
        self.server = server;
        self.generation = None;
        self.stall_detector = StallDetector::default();
        self.last_received = now;
        self.unreachable_since = None;
        self.relay.rebind(attempt).is_ok()
    }

    /// Processes an emission of a server. Returns the event for the instance, if there is one.
    pub fn accept_emission(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        emission: Emission,
    ) -> Option<Event> {
        let (generated, delivered) = match emission {
            Emission::Token {
                generation,
                index,
                text,
            } => {
                let frame = Frame {
                    generation,
                    index,
                    token: text,
                };
                match self.relay.accept(attempt, frame) {
                    Disposition::Drop => return None,
                    Disposition::Diverged => {
                        let delivered = self.relay.delivered();
                        return Some(Event::Diverged { delivered });
                    }
                    Disposition::Deliver | Disposition::Verified => {}
                }
                self.stall_detector.record(now);
                self.last_received = now;
                (self.relay.next(), self.relay.delivered())
            }
            Emission::End { generation, total } => return self.end(attempt, generation, total),
            Emission::Crash => return self.lost_event(attempt, true),
        };
        Some(if generated == 1 {
            Event::FirstToken
        } else {
            Event::Progress {
                generated,
                delivered,
            }
        })
    }

    fn end(&mut self, attempt: AttemptId, generation: u64, total: u32) -> Option<Event> {
        if self.relay.finish(attempt, generation, total) {
            return Some(Event::Complete {
                generated: total,
                gap: Duration::ZERO,
                answer: wire::ledger::Answer::default(),
            });
        }
        // A repeated generation that ends before the tokens delivered from the first generation
        // have been verified breaks the answer.
        let truncated = attempt == self.attempt && self.relay.is_longer_than(total);
        truncated.then(|| Event::Diverged {
            delivered: self.relay.delivered(),
        })
    }

    /// Returns the event for an attempt that the server has lost, or `None` if the attempt is not
    /// the current one.
    pub fn lost_event(&self, attempt: AttemptId, crashed: bool) -> Option<Event> {
        (attempt == self.attempt).then(|| Event::Lost {
            crashed,
            delivered: self.relay.delivered(),
        })
    }

    /// Checks whether the connection is stalled.
    pub fn check_stall(&mut self, now: Duration) -> StallCheck {
        let Some(generation) = self.generation else {
            let silent = now.saturating_sub(self.last_received) >= CALL_TIMEOUT;
            return if silent {
                StallCheck::CallTimedOut
            } else {
                StallCheck::Healthy
            };
        };
        if now.saturating_sub(self.last_received) < self.stall_detector.timeout() {
            return StallCheck::Healthy;
        }
        self.stall_detector.record_resume();
        self.last_received = now;
        StallCheck::Resume {
            generation,
            from: self.relay.next(),
        }
    }

    /// Records that the server is unreachable. Returns whether it has been unreachable for at
    /// least the timeout.
    pub fn record_unreachable(&mut self, now: Duration) -> bool {
        let since = *self.unreachable_since.get_or_insert(now);
        now.saturating_sub(since) >= UNREACHABLE_TIMEOUT
    }

    /// Records that the server is reachable.
    pub fn record_reachable(&mut self) {
        self.unreachable_since = None;
    }
}
