//! The shell's part of an attempt: the relay of its tokens, silent connections, lost servers.

use std::time::Duration;

use standin::engine::Emission;
use stream::Disposition;
use stream::Frame;
use stream::Pace;
use stream::Relay;
use wigeon_core::Event;
use wire::AttemptId;
use wire::Name;

/// Time for which a server that can't be reached is tried.
const UNREACHED_TIME: Duration = Duration::from_secs(5);

/// One request in one instance's shell.
#[derive(Debug)]
pub struct Stream {
    /// The answer.
    pub relay: Relay,
    /// The attempt that runs.
    pub attempt: AttemptId,
    /// The server that runs it.
    pub server: Name,
    /// The server's generation, or its call.
    pub generation: Option<u64>,
    pace: Pace,
    last: Duration,
    unreached: Option<Duration>,
}

/// Time after which a call without an answer is given up.
const CALL_TIME: Duration = Duration::from_secs(5);

/// What a look at a stream led to.
#[derive(Clone, Debug, PartialEq)]
pub enum Look {
    /// All is well.
    Fine,
    /// A call that can't be read on has been silent for too long.
    GiveUp,
    /// The connection is silent; read on from here on a new one.
    Resume {
        /// The generation.
        generation: u64,
        /// The next token.
        from: u32,
    },
}

impl Stream {
    /// Returns the stream of a first attempt.
    pub fn new(
        now: Duration,
        whole: bool,
        rerun: bool,
        attempt: AttemptId,
        server: Name,
    ) -> Stream {
        let mut relay = Relay::new(whole).with_rerun(rerun);
        relay.bind(attempt);
        Stream {
            relay,
            attempt,
            server,
            generation: None,
            pace: Pace::default(),
            last: now,
            unreached: None,
        }
    }

    /// Goes on with another attempt. Returns whether that is allowed.
    pub fn rebind(&mut self, now: Duration, attempt: AttemptId, server: Name) -> bool {
        self.attempt = attempt;
        self.server = server;
        self.generation = None;
        self.pace = Pace::default();
        self.last = now;
        self.unreached = None;
        self.relay.rebind(attempt).is_ok()
    }

    /// Takes what a server sent, and returns what the instance is told.
    pub fn take(&mut self, now: Duration, attempt: AttemptId, emission: Emission) -> Option<Event> {
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
                        return Some(Event::Broken { delivered });
                    }
                    Disposition::Deliver | Disposition::Verified => {}
                }
                self.pace.record(now);
                self.last = now;
                (self.relay.next(), self.relay.delivered())
            }
            Emission::End { generation, total } => return self.end(attempt, generation, total),
            Emission::Crash => return self.lost(attempt, true),
        };
        Some(if generated == 1 {
            Event::Started
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
        // A second generation that ended before it reached what was delivered of the first.
        let cut = attempt == self.attempt && self.relay.is_cut_by(total);
        cut.then(|| Event::Broken {
            delivered: self.relay.delivered(),
        })
    }

    /// The server lost the attempt.
    pub fn lost(&self, attempt: AttemptId, crashed: bool) -> Option<Event> {
        (attempt == self.attempt).then(|| Event::Lost {
            crashed,
            delivered: self.relay.delivered(),
        })
    }

    /// Looks whether the connection is silent.
    pub fn look(&mut self, now: Duration) -> Look {
        let Some(generation) = self.generation else {
            let silent = now.saturating_sub(self.last) >= CALL_TIME;
            return if silent { Look::GiveUp } else { Look::Fine };
        };
        if now.saturating_sub(self.last) < self.pace.limit() {
            return Look::Fine;
        }
        self.pace.record_resume();
        self.last = now;
        Look::Resume {
            generation,
            from: self.relay.next(),
        }
    }

    /// Notes that the server could not be reached. Returns whether that has lasted too long.
    pub fn record_unreached(&mut self, now: Duration) -> bool {
        let since = *self.unreached.get_or_insert(now);
        now.saturating_sub(since) >= UNREACHED_TIME
    }

    /// Notes that the server was reached.
    pub fn record_reached(&mut self) {
        self.unreached = None;
    }
}
