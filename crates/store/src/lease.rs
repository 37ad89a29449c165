//! A lease whose holder judges by its own clock.
//!
//! The service drops a lease's record when nobody has renewed it for its time to live. The holder
//! counts that time from the moment at which it *sent* the write that it knows to be done, less a
//! margin, so that it stops before anybody else can start, however late the answer was. The
//! revision of the write that took the lease is its fencing number (Kleppmann, "How to do
//! distributed locking", 2016): it grows with every new holder.

use std::time::Duration;

use clock::Time;

use crate::Answer;
use crate::Call;
use crate::Key;
use crate::Revision;

/// Share of the time to live after which the holder renews.
const RENEW_SHARE: f64 = 0.3;
/// Share of the time to live that the holder leaves unused.
const MARGIN_SHARE: f64 = 0.2;

/// One contender for one lease.
#[derive(Debug)]
pub struct Lease {
    key: Key,
    owner: u64,
    ttl: Duration,
    state: State,
    asked: Option<Time>,
    next: Time,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Nothing is known of the record.
    Blank,
    /// The record was seen at a revision, absent at zero.
    Seen { revision: Revision },
    /// This contender holds it.
    Held {
        revision: Revision,
        fence: Revision,
        since: Time,
        until: Time,
    },
}

/// A held lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tenure {
    /// The fencing number.
    pub fence: Revision,
    /// When the lease was taken.
    pub since: Time,
    /// When the holder must have stopped.
    pub until: Time,
}

impl Lease {
    /// Returns a contender that holds nothing.
    pub fn new(key: Key, owner: u64, ttl: Duration) -> Lease {
        Lease {
            key,
            owner,
            ttl,
            state: State::Blank,
            asked: None,
            next: Time::ZERO,
        }
    }

    /// Returns the tenure, if the lease is held at this moment.
    pub fn tenure(&self, now: Time) -> Option<Tenure> {
        match self.state {
            State::Held {
                fence,
                since,
                until,
                ..
            } if now < until => Some(Tenure {
                fence,
                since,
                until,
            }),
            _ => None,
        }
    }

    /// Returns the call that is due, if any. Its answer goes to [`Lease::answer`].
    pub fn due(&mut self, now: Time) -> Option<Call> {
        if self.asked.is_some() || now < self.next {
            return None;
        }
        self.asked = Some(now);
        Some(match self.state {
            State::Blank => self.read(),
            State::Seen { revision: 0 } => self.write(0),
            State::Seen { .. } => self.read(),
            // A tenure that has run out is not renewed: another one may have begun.
            State::Held { until, .. } if now >= until => {
                self.state = State::Blank;
                self.read()
            }
            State::Held { revision, .. } => self.write(revision),
        })
    }

    /// Returns when a call is next due, unless one is under way.
    pub fn next_wake(&self) -> Option<Time> {
        self.asked.is_none().then_some(self.next)
    }

    /// Takes the answer of the call that was due.
    pub fn answer(&mut self, now: Time, answer: Answer) {
        let Some(asked) = self.asked.take() else {
            return;
        };
        match answer {
            Answer::Swapped { revision } => self.hold(asked, revision),
            Answer::Value { revision, value } | Answer::Conflict { revision, value } => {
                self.see(now, asked, revision, &value);
            }
            Answer::Unknown | Answer::Unreachable | Answer::Nothing => self.doubt(now),
        }
    }

    fn read(&self) -> Call {
        Call::Get {
            key: self.key.clone(),
        }
    }

    fn write(&self, expect: Revision) -> Call {
        Call::Swap {
            key: self.key.clone(),
            expect,
            value: self.owner.to_le_bytes().to_vec(),
            ttl_ms: u64::try_from(self.ttl.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn hold(&mut self, asked: Time, revision: Revision) {
        let until = asked + self.ttl.mul_f64(1.0 - MARGIN_SHARE);
        let (fence, since) = match self.state {
            State::Held { fence, since, .. } => (fence, since),
            _ => (revision, asked),
        };
        self.state = State::Held {
            revision,
            fence,
            since,
            until,
        };
        self.next = asked + self.ttl.mul_f64(RENEW_SHARE);
    }

    fn see(&mut self, now: Time, asked: Time, revision: Revision, value: &[u8]) {
        let own = revision != 0 && value == self.owner.to_le_bytes();
        match self.state {
            // A renewal whose answer was lost left a newer revision of our own.
            State::Held {
                fence,
                since,
                until,
                ..
            } if own => {
                self.state = State::Held {
                    revision,
                    fence,
                    since,
                    until,
                };
                self.next = now;
            }
            // A first write whose answer was lost. The time to live began no earlier than that
            // write, which this contender no longer remembers, so it takes nothing from it and
            // waits for the record to lapse.
            _ => {
                self.state = State::Seen { revision };
                let wait = if revision == 0 {
                    Duration::ZERO
                } else {
                    self.ttl.mul_f64(RENEW_SHARE)
                };
                self.next = asked.max(now) + wait;
            }
        }
    }

    fn doubt(&mut self, now: Time) {
        if !matches!(self.state, State::Held { .. }) {
            self.state = State::Blank;
        }
        self.next = now + self.ttl.mul_f64(RENEW_SHARE / 3.0);
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const TTL: Duration = Duration::from_secs(3);

    /// The record in the service: revision, owner, and when it lapses.
    #[derive(Default)]
    struct Service {
        count: Revision,
        record: Option<(Revision, Vec<u8>, Time)>,
    }

    impl Service {
        fn call(&mut self, now: Time, call: &Call) -> Answer {
            if self.record.as_ref().is_some_and(|record| record.2 <= now) {
                self.record = None;
            }
            let (revision, value) = match &self.record {
                Some((revision, value, _)) => (*revision, value.clone()),
                None => (0, Vec::new()),
            };
            match call {
                Call::Swap {
                    expect, value: new, ..
                } if *expect == revision => {
                    self.count += 1;
                    self.record = Some((self.count, new.clone(), now + TTL));
                    Answer::Swapped {
                        revision: self.count,
                    }
                }
                Call::Swap { .. } => Answer::Conflict { revision, value },
                _ => Answer::Value { revision, value },
            }
        }
    }

    proptest! {
        #[test]
        fn never_two_holders_whatever_is_lost_or_late(
            steps in proptest::collection::vec((0usize..3, 0u64..700, 0u8..4, 0u64..2_500), 1..200),
        ) {
            let mut service = Service::default();
            let mut leases: Vec<Lease> = (0..3).map(|owner| Lease::new("l".into(), owner, TTL)).collect();
            let mut now = Time::ZERO;
            let mut greatest = 0;
            for (who, wait, loss, delay) in steps {
                now += Duration::from_millis(wait);
                let Some(call) = leases[who].due(now) else { continue };
                let answer = service.call(now, &call);
                now += Duration::from_millis(delay);
                let answer = if loss == 0 { Answer::Unknown } else { answer };
                leases[who].answer(now, answer);
                let holders: Vec<Tenure> = leases.iter().filter_map(|lease| lease.tenure(now)).collect();
                prop_assert!(holders.len() <= 1, "two holders: {holders:?}");
                if let Some(tenure) = holders.first() {
                    prop_assert!(tenure.fence >= greatest);
                    greatest = tenure.fence;
                }
            }
        }
    }
}
