//! The client of the key-value service: rate limit, priorities, deadlines and circuit breaker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use clock::Time;

use crate::Answer;
use crate::Call;
use crate::Priority;
use crate::Ticket;

/// Consecutive failures that open the circuit breaker.
const BREAKER_THRESHOLD: u32 = 4;
/// Backoff when the breaker opens. It doubles with each further failure.
const BREAKER_BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest backoff while the breaker is open.
const BREAKER_BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Maximum number of queued calls. Further calls fail at once as unreachable.
const QUEUED_CALLS_MAX: usize = 4_096;
/// Delay before a failed read is retried, before jitter of up to the same length.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Limits on the calls of one instance to the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Sustained rate, in calls per second.
    pub rate: f64,
    /// Size of the token bucket: calls that may be sent at once after an idle period.
    pub burst: f64,
    /// Time after which a sent call without an answer counts as lost.
    pub timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            rate: 40.0,
            burst: 40.0,
            timeout: Duration::from_millis(800),
        }
    }
}

/// A call that the shell must send now.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingCall {
    /// Id of this transmission, to be passed to [`Client::on_answer`] with the outcome.
    pub id: u64,
    /// The call to send.
    pub call: Call,
    /// Time after which the call counts as lost if it has no answer.
    pub timeout: Duration,
}

/// The outcome of a submitted call.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Ticket that the owner passed to [`Client::submit`].
    pub ticket: Ticket,
    /// Outcome of the call.
    pub answer: Answer,
}

/// Schedules all calls of one instance to the service.
#[derive(Debug)]
pub struct Client {
    limits: Limits,
    rng: fastrand::Rng,
    tokens: f64,
    refilled_at: Time,
    queued: BTreeMap<u64, PendingCall>,
    by_priority: BTreeSet<(Priority, u64)>,
    in_flight: BTreeMap<u64, PendingCall>,
    done: Vec<Completion>,
    next_id: u64,
    failures: u32,
    open_until: Time,
    calls: u64,
}

#[derive(Clone, Debug)]
struct PendingCall {
    ticket: Ticket,
    priority: Priority,
    call: Call,
    not_before: Time,
    deadline: Time,
}

impl Client {
    /// Returns a client with an empty queue and a closed breaker.
    pub fn new(limits: Limits, seed: u64) -> Client {
        Client {
            limits,
            rng: fastrand::Rng::with_seed(seed),
            tokens: limits.burst,
            refilled_at: Time::ZERO,
            queued: BTreeMap::new(),
            by_priority: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            done: Vec::new(),
            next_id: 0,
            failures: 0,
            open_until: Time::ZERO,
            calls: 0,
        }
    }

    /// Queues a call for at most `max_wait`. [`Client::on_answer`] or [`Client::take_failed`]
    /// returns its outcome under the same ticket.
    pub fn submit(
        &mut self,
        now: Time,
        ticket: Ticket,
        priority: Priority,
        call: Call,
        max_wait: Duration,
    ) {
        if self.queued.len() >= QUEUED_CALLS_MAX {
            self.done.push(Completion {
                ticket,
                answer: Answer::Unreachable,
            });
            return;
        }
        let pending = PendingCall {
            ticket,
            priority,
            call,
            not_before: now,
            deadline: now + max_wait,
        };
        self.enqueue(pending);
    }

    /// Returns the number of calls sent so far, retries included.
    pub fn calls_sent(&self) -> u64 {
        self.calls
    }

    /// Returns whether the service counts as reachable, that is, whether the breaker is closed.
    pub fn is_up(&self) -> bool {
        self.failures < BREAKER_THRESHOLD
    }

    /// Returns the calls to send now, the most important first.
    pub fn calls_to_send(&mut self, now: Time) -> Vec<OutgoingCall> {
        self.refill(now);
        let mut sent = Vec::new();
        while now >= self.open_until && self.tokens >= 1.0 {
            // While the breaker is half open, only one probe call is in flight at a time.
            if !self.is_up() && !self.in_flight.is_empty() {
                break;
            }
            let Some(id) = self.next_due(now) else {
                break;
            };
            self.tokens -= 1.0;
            sent.push(self.send_now(id));
        }
        sent
    }

    /// Handles the outcome of a sent call and returns it with the owner's ticket. Returns `None` if
    /// the call is a read that will be retried, or if no call with this id is in flight.
    pub fn on_answer(&mut self, now: Time, id: u64, answer: Answer) -> Option<Completion> {
        let pending = self.in_flight.remove(&id)?;
        let failed = matches!(answer, Answer::Unreachable | Answer::Unknown);
        self.record(now, failed);
        if failed && pending.call.is_read() && now + READ_RETRY_DELAY < pending.deadline {
            let jitter = READ_RETRY_DELAY.mul_f64(self.rng.f64());
            let not_before = now + READ_RETRY_DELAY + jitter;
            self.enqueue(PendingCall {
                not_before,
                ..pending
            });
            return None;
        }
        Some(Completion {
            ticket: pending.ticket,
            answer,
        })
    }

    /// Returns the calls that failed in the queue: those whose deadline passed before they were
    /// sent, and those refused because the queue was full.
    pub fn take_failed(&mut self, now: Time) -> Vec<Completion> {
        let overdue: Vec<u64> = self
            .queued
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            if let Some(pending) = self.dequeue(id) {
                self.done.push(Completion {
                    ticket: pending.ticket,
                    answer: Answer::Unreachable,
                });
            }
        }
        std::mem::take(&mut self.done)
    }

    /// Returns the earliest time at which [`Client::calls_to_send`] or [`Client::take_failed`] may
    /// have a result.
    pub fn next_wake(&self) -> Option<Time> {
        if !self.done.is_empty() {
            return Some(Time::ZERO);
        }
        let earliest = self
            .queued
            .values()
            .map(|pending| pending.not_before)
            .min()?;
        let expiry = self.queued.values().map(|pending| pending.deadline).min()?;
        let deficit = (1.0 - self.tokens).max(0.0) / self.limits.rate;
        let refill = self.refilled_at + Duration::from_secs_f64(deficit);
        Some(earliest.max(self.open_until).max(refill).min(expiry))
    }

    fn enqueue(&mut self, pending: PendingCall) {
        self.next_id += 1;
        self.by_priority.insert((pending.priority, self.next_id));
        self.queued.insert(self.next_id, pending);
    }

    fn dequeue(&mut self, id: u64) -> Option<PendingCall> {
        let pending = self.queued.remove(&id)?;
        self.by_priority.remove(&(pending.priority, id));
        Some(pending)
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let added = elapsed.as_secs_f64() * self.limits.rate;
        self.tokens = (self.tokens + added).min(self.limits.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn next_due(&self, now: Time) -> Option<u64> {
        self.by_priority
            .iter()
            .map(|(_, id)| *id)
            .find(|id| self.queued[id].not_before <= now)
    }

    fn send_now(&mut self, id: u64) -> OutgoingCall {
        let pending = self.dequeue(id).expect("the call is queued");
        let sent = OutgoingCall {
            id,
            call: pending.call.clone(),
            timeout: self.limits.timeout,
        };
        self.calls += 1;
        self.in_flight.insert(id, pending);
        sent
    }

    fn record(&mut self, now: Time, failed: bool) {
        if !failed {
            self.failures = 0;
            self.open_until = Time::ZERO;
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures >= BREAKER_THRESHOLD {
            let doublings = (self.failures - BREAKER_THRESHOLD).min(4);
            let backoff = (BREAKER_BACKOFF_MIN * 2u32.pow(doublings)).min(BREAKER_BACKOFF_MAX);
            self.open_until = now + backoff.mul_f64(0.5 + self.rng.f64() / 2.0);
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    fn get(key: &str) -> Call {
        Call::Get { key: key.into() }
    }

    #[test]
    fn calls_are_sent_by_priority_within_the_rate_limit() {
        let limits = Limits {
            rate: 10.0,
            burst: 2.0,
            ..Limits::default()
        };
        let mut client = Client::new(limits, 1);
        client.submit(SECOND, 1, Priority::Other, get("o"), SECOND * 9);
        client.submit(SECOND, 2, Priority::Claim, get("c"), SECOND * 9);
        client.submit(SECOND, 3, Priority::Config, get("f"), SECOND * 9);
        let sent = client.calls_to_send(SECOND);
        let keys: Vec<&Call> = sent.iter().map(|sent| &sent.call).collect();
        assert_eq!(keys, [&get("c"), &get("f")]);
        assert!(client.calls_to_send(SECOND).is_empty());
        assert_eq!(client.calls_to_send(client.next_wake().unwrap()).len(), 1);
    }

    #[test]
    fn open_breaker_sends_a_single_probe_until_it_succeeds() {
        let mut client = Client::new(Limits::default(), 1);
        for ticket in 0..20 {
            client.submit(SECOND, ticket, Priority::Other, get("k"), SECOND * 60);
        }
        for sent in client.calls_to_send(SECOND) {
            client.on_answer(SECOND, sent.id, Answer::Unreachable);
        }
        assert!(!client.is_up());
        assert!(client.calls_to_send(SECOND).is_empty());
        let later = SECOND * 5;
        let probe = client.calls_to_send(later);
        assert_eq!(probe.len(), 1);
        let value = Answer::Value {
            revision: 0,
            value: Vec::new(),
        };
        client.on_answer(later, probe[0].id, value);
        assert!(client.calls_to_send(later).len() > 1);
    }

    proptest! {
        #[test]
        fn each_ticket_gets_exactly_one_outcome(
            answers in proptest::collection::vec((0u8..4, 0u64..400), 1..60),
        ) {
            let mut client = Client::new(Limits::default(), 3);
            let mut now = SECOND;
            let mut outcomes = Vec::new();
            for (ticket, (kind, wait)) in answers.iter().enumerate() {
                client.submit(now, ticket as u64, Priority::Other, get("k"), SECOND);
                for sent in client.calls_to_send(now) {
                    let answer = match kind {
                        0 => Answer::Unknown,
                        1 => Answer::Unreachable,
                        _ => Answer::Unchanged,
                    };
                    outcomes.extend(client.on_answer(now, sent.id, answer));
                }
                now += Duration::from_millis(*wait);
                outcomes.extend(client.take_failed(now));
            }
            outcomes.extend(client.take_failed(now + SECOND * 9));
            let mut tickets: Vec<u64> = outcomes.iter().map(|done| done.ticket).collect();
            tickets.sort_unstable();
            let all: Vec<u64> = (0..answers.len() as u64).collect();
            prop_assert_eq!(tickets, all);
        }
    }
}
