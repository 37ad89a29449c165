//! A lease whose holder checks expiry against its own monotonic clock.
//!
//! The service deletes a lease's record when the record has not been renewed within its time to
//! live (TTL). The holder counts the TTL from the moment at which it *sent* its last acknowledged
//! write, less a safety margin. It therefore stops before another contender can acquire the lease,
//! however late the acknowledgement arrived. The revision of the write that acquired the lease is
//! its fencing number (Kleppmann, "How to do distributed locking", 2016), which grows with every
//! new holder.

use std::time::Duration;

use clock::Time;

use crate::Answer;
use crate::Call;
use crate::Key;
use crate::Revision;

/// Fraction of the TTL after which the holder renews the lease.
const RENEW_FRACTION: f64 = 0.3;
/// Fraction of the TTL that the holder leaves unused as a safety margin.
const MARGIN_FRACTION: f64 = 0.2;

/// One contender for one lease, which may hold it.
#[derive(Debug)]
pub struct Lease {
    key: Key,
    owner: u64,
    ttl: Duration,
    state: State,
    sent_at: Option<Time>,
    next_call: Time,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// The record's revision is unknown and must be read.
    Unread,
    /// Another owner's record, or a lost write of this contender, was read at this revision. Zero
    /// means that there is no record.
    Observed { revision: Revision },
    /// This contender holds the lease until `until`.
    Held {
        revision: Revision,
        fence: Revision,
        since: Time,
        until: Time,
    },
}

/// The period for which a contender holds the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tenure {
    /// Fencing number: the revision of the write that acquired the lease.
    pub fence: Revision,
    /// When the write that acquired the lease was sent.
    pub since: Time,
    /// When the tenure ends unless it is renewed. The holder must have stopped acting by then.
    pub until: Time,
}

impl Lease {
    /// Returns a contender that does not hold the lease.
    pub fn new(key: Key, owner: u64, ttl: Duration) -> Lease {
        Lease {
            key,
            owner,
            ttl,
            state: State::Unread,
            sent_at: None,
            next_call: Time::ZERO,
        }
    }

    /// Returns the current tenure, or `None` if this contender does not hold the lease at `now`.
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

    /// Returns the call that is due, if any, and marks it as in flight until its outcome is passed
    /// to [`Lease::on_answer`].
    pub fn next_call(&mut self, now: Time) -> Option<Call> {
        if self.sent_at.is_some() || now < self.next_call {
            return None;
        }
        self.sent_at = Some(now);
        Some(match self.state {
            State::Unread => self.read(),
            State::Observed { revision: 0 } => self.write(0),
            State::Observed { .. } => self.read(),
            // An expired tenure is not renewed: another contender may hold the lease by now.
            State::Held { until, .. } if now >= until => {
                self.state = State::Unread;
                self.read()
            }
            State::Held { revision, .. } => self.write(revision),
        })
    }

    /// Returns when the next call is due, or `None` while one is in flight.
    pub fn next_wake(&self) -> Option<Time> {
        self.sent_at.is_none().then_some(self.next_call)
    }

    /// Handles the outcome of the call that [`Lease::next_call`] returned.
    pub fn on_answer(&mut self, now: Time, answer: Answer) {
        let Some(sent_at) = self.sent_at.take() else {
            return;
        };
        match answer {
            Answer::Swapped { revision } => self.acquire_or_renew(sent_at, revision),
            Answer::Value { revision, value } | Answer::Conflict { revision, value } => {
                self.observe(now, sent_at, revision, &value);
            }
            Answer::Unknown | Answer::Unreachable | Answer::Unchanged => self.retry_later(now),
        }
    }

    fn read(&self) -> Call {
        Call::Get {
            key: self.key.clone(),
        }
    }

    fn write(&self, expect: Revision) -> Call {
        Call::CompareAndSwap {
            key: self.key.clone(),
            expect,
            value: self.owner.to_le_bytes().to_vec(),
            ttl_ms: u64::try_from(self.ttl.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn acquire_or_renew(&mut self, sent_at: Time, revision: Revision) {
        let until = sent_at + self.ttl.mul_f64(1.0 - MARGIN_FRACTION);
        let (fence, since) = match self.state {
            State::Held { fence, since, .. } => (fence, since),
            _ => (revision, sent_at),
        };
        self.state = State::Held {
            revision,
            fence,
            since,
            until,
        };
        self.next_call = sent_at + self.ttl.mul_f64(RENEW_FRACTION);
    }

    fn observe(&mut self, now: Time, sent_at: Time, revision: Revision, value: &[u8]) {
        let is_own = revision != 0 && value == self.owner.to_le_bytes();
        match self.state {
            // A renewal took effect but its acknowledgement was lost: adopt the newer revision.
            State::Held {
                fence,
                since,
                until,
                ..
            } if is_own => {
                self.state = State::Held {
                    revision,
                    fence,
                    since,
                    until,
                };
                self.next_call = now;
            }
            // The record belongs to another owner, or to this contender by a first write whose
            // acknowledgement was lost. The send time of that write is no longer known, so neither
            // is the end of the tenure. The contender waits for the record to expire instead.
            _ => {
                self.state = State::Observed { revision };
                let wait = if revision == 0 {
                    Duration::ZERO
                } else {
                    self.ttl.mul_f64(RENEW_FRACTION)
                };
                self.next_call = sent_at.max(now) + wait;
            }
        }
    }

    fn retry_later(&mut self, now: Time) {
        if !matches!(self.state, State::Held { .. }) {
            self.state = State::Unread;
        }
        self.next_call = now + self.ttl.mul_f64(RENEW_FRACTION / 3.0);
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const TTL: Duration = Duration::from_secs(3);

    /// The service's record of the lease: revision, value and expiry time.
    #[derive(Default)]
    struct Service {
        last_revision: Revision,
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
                Call::CompareAndSwap {
                    expect, value: new, ..
                } if *expect == revision => {
                    self.last_revision += 1;
                    self.record = Some((self.last_revision, new.clone(), now + TTL));
                    Answer::Swapped {
                        revision: self.last_revision,
                    }
                }
                Call::CompareAndSwap { .. } => Answer::Conflict { revision, value },
                _ => Answer::Value { revision, value },
            }
        }
    }

    proptest! {
        #[test]
        fn at_most_one_holder_with_lost_and_late_answers(
            steps in proptest::collection::vec((0usize..3, 0u64..700, 0u8..4, 0u64..2_500), 1..200),
        ) {
            let mut service = Service::default();
            let mut leases: Vec<Lease> = (0..3).map(|owner| Lease::new("l".into(), owner, TTL)).collect();
            let mut now = Time::ZERO;
            let mut max_fence = 0;
            for (contender, wait, loss, delay) in steps {
                now += Duration::from_millis(wait);
                let Some(call) = leases[contender].next_call(now) else { continue };
                let answer = service.call(now, &call);
                now += Duration::from_millis(delay);
                let answer = if loss == 0 { Answer::Unknown } else { answer };
                leases[contender].on_answer(now, answer);
                let holders: Vec<Tenure> = leases.iter().filter_map(|lease| lease.tenure(now)).collect();
                prop_assert!(holders.len() <= 1, "two holders: {holders:?}");
                if let Some(tenure) = holders.first() {
                    prop_assert!(tenure.fence >= max_fence);
                    max_fence = tenure.fence;
                }
            }
        }
    }
}
