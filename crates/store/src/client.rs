//! Budget, priorities, deadlines and breaker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use clock::Time;

use crate::Answer;
use crate::Call;
use crate::Priority;
use crate::Ticket;

/// Failures in a row that open the breaker.
const BREAKER_FAILURES: u32 = 4;
/// First pause of an open breaker.
const PAUSE_FIRST: Duration = Duration::from_millis(200);
/// Longest pause of an open breaker.
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// Most calls that wait here.
const WAITING_MAX: usize = 4_096;
/// Pause before a read is repeated.
const READ_RETRY: Duration = Duration::from_millis(100);

/// What one instance may ask of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Calls a second.
    pub rate: f64,
    /// Calls at once after a quiet time.
    pub burst: f64,
    /// Time after which a call that was sent counts as lost.
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

/// A call to be sent now.
#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    /// Number of the sending, to be given back with its answer.
    pub id: u64,
    /// The call.
    pub call: Call,
    /// Time after which it counts as lost.
    pub timeout: Duration,
}

/// A call with its outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct Done {
    /// The owner's ticket.
    pub ticket: Ticket,
    /// The outcome.
    pub answer: Answer,
}

/// All calls of one instance.
#[derive(Debug)]
pub struct Client {
    limits: Limits,
    rng: fastrand::Rng,
    tokens: f64,
    refilled: Time,
    waiting: BTreeMap<u64, Waiting>,
    order: BTreeSet<(Priority, u64)>,
    flying: BTreeMap<u64, Waiting>,
    done: Vec<Done>,
    next_id: u64,
    failures: u32,
    closed_until: Time,
    calls: u64,
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    priority: Priority,
    call: Call,
    not_before: Time,
    deadline: Time,
}

impl Client {
    /// Returns a client with a share of the service's rates.
    pub fn new(limits: Limits, seed: u64) -> Client {
        Client {
            limits,
            rng: fastrand::Rng::with_seed(seed),
            tokens: limits.burst,
            refilled: Time::ZERO,
            waiting: BTreeMap::new(),
            order: BTreeSet::new(),
            flying: BTreeMap::new(),
            done: Vec::new(),
            next_id: 0,
            failures: 0,
            closed_until: Time::ZERO,
            calls: 0,
        }
    }

    /// Takes a call. Its outcome comes from [`Client::answer`] or [`Client::expired`].
    pub fn submit(
        &mut self,
        now: Time,
        ticket: Ticket,
        priority: Priority,
        call: Call,
        patience: Duration,
    ) {
        if self.waiting.len() >= WAITING_MAX {
            self.done.push(Done {
                ticket,
                answer: Answer::Unreachable,
            });
            return;
        }
        let waiting = Waiting {
            ticket,
            priority,
            call,
            not_before: now,
            deadline: now + patience,
        };
        self.enqueue(waiting);
    }

    /// Returns how many calls were sent.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Returns whether the service answered the last calls.
    pub fn is_up(&self) -> bool {
        self.failures < BREAKER_FAILURES
    }

    /// Returns the calls that go now.
    pub fn ready(&mut self, now: Time) -> Vec<Sent> {
        self.refill(now);
        let mut sent = Vec::new();
        while now >= self.closed_until && self.tokens >= 1.0 {
            // While the breaker is half open, one call at a time finds out.
            if !self.is_up() && !self.flying.is_empty() {
                break;
            }
            let Some(id) = self.first_due(now) else {
                break;
            };
            self.tokens -= 1.0;
            sent.push(self.launch(id));
        }
        sent
    }

    /// Takes the outcome of a sent call. Returns it with its owner's ticket, unless the call is to
    /// be repeated or was given up.
    pub fn answer(&mut self, now: Time, id: u64, answer: Answer) -> Option<Done> {
        let waiting = self.flying.remove(&id)?;
        let failed = matches!(answer, Answer::Unreachable | Answer::Unknown);
        self.record(now, failed);
        if failed && waiting.call.is_read() && now + READ_RETRY < waiting.deadline {
            let jitter = READ_RETRY.mul_f64(self.rng.f64());
            let not_before = now + READ_RETRY + jitter;
            self.enqueue(Waiting {
                not_before,
                ..waiting
            });
            return None;
        }
        Some(Done {
            ticket: waiting.ticket,
            answer,
        })
    }

    /// Returns the calls that waited past their deadline and were never sent.
    pub fn expired(&mut self, now: Time) -> Vec<Done> {
        let late: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            if let Some(waiting) = self.dequeue(id) {
                self.done.push(Done {
                    ticket: waiting.ticket,
                    answer: Answer::Unreachable,
                });
            }
        }
        std::mem::take(&mut self.done)
    }

    /// Returns when there is next something to do.
    pub fn next_wake(&self) -> Option<Time> {
        if !self.done.is_empty() {
            return Some(Time::ZERO);
        }
        let first = self.waiting.values().map(|w| w.not_before).min()?;
        let expiry = self.waiting.values().map(|w| w.deadline).min()?;
        let missing = (1.0 - self.tokens).max(0.0) / self.limits.rate;
        let refill = self.refilled + Duration::from_secs_f64(missing);
        Some(first.max(self.closed_until).max(refill).min(expiry))
    }

    fn enqueue(&mut self, waiting: Waiting) {
        self.next_id += 1;
        self.order.insert((waiting.priority, self.next_id));
        self.waiting.insert(self.next_id, waiting);
    }

    fn dequeue(&mut self, id: u64) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        self.order.remove(&(waiting.priority, id));
        Some(waiting)
    }

    fn refill(&mut self, now: Time) {
        let passed = now.saturating_sub(self.refilled);
        let gained = passed.as_secs_f64() * self.limits.rate;
        self.tokens = (self.tokens + gained).min(self.limits.burst);
        self.refilled = self.refilled.max(now);
    }

    fn first_due(&self, now: Time) -> Option<u64> {
        self.order
            .iter()
            .map(|(_, id)| *id)
            .find(|id| self.waiting[id].not_before <= now)
    }

    fn launch(&mut self, id: u64) -> Sent {
        let waiting = self.dequeue(id).expect("the call waits");
        let sent = Sent {
            id,
            call: waiting.call.clone(),
            timeout: self.limits.timeout,
        };
        self.calls += 1;
        self.flying.insert(id, waiting);
        sent
    }

    fn record(&mut self, now: Time, failed: bool) {
        if !failed {
            self.failures = 0;
            self.closed_until = Time::ZERO;
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures >= BREAKER_FAILURES {
            let doublings = (self.failures - BREAKER_FAILURES).min(4);
            let pause = (PAUSE_FIRST * 2u32.pow(doublings)).min(PAUSE_MAX);
            self.closed_until = now + pause.mul_f64(0.5 + self.rng.f64() / 2.0);
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
    fn rate_and_priority_are_kept() {
        let limits = Limits {
            rate: 10.0,
            burst: 2.0,
            ..Limits::default()
        };
        let mut client = Client::new(limits, 1);
        client.submit(SECOND, 1, Priority::Other, get("o"), SECOND * 9);
        client.submit(SECOND, 2, Priority::Claim, get("c"), SECOND * 9);
        client.submit(SECOND, 3, Priority::Config, get("f"), SECOND * 9);
        let sent = client.ready(SECOND);
        let keys: Vec<&Call> = sent.iter().map(|sent| &sent.call).collect();
        assert_eq!(keys, [&get("c"), &get("f")]);
        assert!(client.ready(SECOND).is_empty());
        assert_eq!(client.ready(client.next_wake().unwrap()).len(), 1);
    }

    #[test]
    fn breaker_opens_and_one_call_probes() {
        let mut client = Client::new(Limits::default(), 1);
        for ticket in 0..20 {
            client.submit(SECOND, ticket, Priority::Other, get("k"), SECOND * 60);
        }
        for sent in client.ready(SECOND) {
            client.answer(SECOND, sent.id, Answer::Unreachable);
        }
        assert!(!client.is_up());
        assert!(client.ready(SECOND).is_empty());
        let later = SECOND * 5;
        let probe = client.ready(later);
        assert_eq!(probe.len(), 1);
        let value = Answer::Value {
            revision: 0,
            value: Vec::new(),
        };
        client.answer(later, probe[0].id, value);
        assert!(client.ready(later).len() > 1);
    }

    proptest! {
        #[test]
        fn each_ticket_ends_exactly_once(
            answers in proptest::collection::vec((0u8..4, 0u64..400), 1..60),
        ) {
            let mut client = Client::new(Limits::default(), 3);
            let mut now = SECOND;
            let mut ended = Vec::new();
            for (ticket, (kind, wait)) in answers.iter().enumerate() {
                client.submit(now, ticket as u64, Priority::Other, get("k"), SECOND);
                for sent in client.ready(now) {
                    let answer = match kind {
                        0 => Answer::Unknown,
                        1 => Answer::Unreachable,
                        _ => Answer::Nothing,
                    };
                    ended.extend(client.answer(now, sent.id, answer));
                }
                now += Duration::from_millis(*wait);
                ended.extend(client.expired(now));
            }
            ended.extend(client.expired(now + SECOND * 9));
            let mut tickets: Vec<u64> = ended.iter().map(|done| done.ticket).collect();
            tickets.sort_unstable();
            let all: Vec<u64> = (0..answers.len() as u64).collect();
            prop_assert_eq!(tickets, all);
        }
    }
}
