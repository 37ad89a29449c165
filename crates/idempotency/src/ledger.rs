//! The idempotency ledger of one instance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use clock::Time;
use clock::WallTime;
use store::Answer;
use store::Call;
use store::Ticket;
use wire::InstanceId;
use wire::RequestId;
use wire::ledger::Claim;
use wire::ledger::ClaimStatus;
use wire::ledger::Settle;

use crate::shard::Op;
use crate::shard::Shard;
use crate::shard_of;

/// Maximum number of ended claims that are remembered in order to ignore delayed copies of them.
const ENDED_CLAIMS_MAX: usize = 4_096;
/// Maximum number of operations queued for one shard. Further claims are refused.
const QUEUED_OPS_MAX: usize = 8_192;

/// The instance that requested an operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// This instance.
    Own,
    /// Another instance.
    Peer(InstanceId),
}

/// An action that the caller of the ledger must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a call to the store.
    Call {
        /// Identifies the call when its answer is passed to [`Ledger::answer`].
        ticket: Ticket,
        /// The call.
        call: Call,
    },
    /// Answers a claim.
    Claimed {
        /// The instance that sent the claim.
        source: Source,
        /// The request that made the claim.
        claim: RequestId,
        /// The status of the claim.
        status: ClaimStatus,
    },
    /// Confirms that the outcome of a request is recorded.
    Settled {
        /// The instance that sent the outcome.
        source: Source,
        /// The request that has ended.
        claim: RequestId,
    },
}

/// The idempotency ledger of one instance: the shards for which it has handled operations.
#[derive(Debug)]
pub struct Ledger {
    shard_count: u32,
    shards: BTreeMap<u32, Shard>,
    shard_by_ticket: BTreeMap<Ticket, u32>,
    next_ticket: Ticket,
    ended_claims: BTreeSet<RequestId>,
    ended_claim_order: VecDeque<RequestId>,
    swaps: u64,
}

impl Ledger {
    /// Returns a ledger with the given number of shards.
    ///
    /// All instances must use the same number, since it determines which record holds a key.
    pub fn new(shards: u32) -> Ledger {
        Ledger {
            shard_count: shards.max(1),
            shards: BTreeMap::new(),
            shard_by_ticket: BTreeMap::new(),
            next_ticket: 0,
            ended_claims: BTreeSet::new(),
            ended_claim_order: VecDeque::new(),
            swaps: 0,
        }
    }

    /// Returns the number of shards.
    pub fn shards(&self) -> u32 {
        self.shard_count
    }

    /// Returns the number of swaps sent to the store since the start.
    pub fn swaps(&self) -> u64 {
        self.swaps
    }

    /// Queues a claim. A claim that is already queued or in flight, or whose request has ended, is
    /// ignored.
    pub fn claim(&mut self, source: Source, claim: Claim) -> Vec<Effect> {
        if self.ended_claims.contains(&claim.claim) {
            return Vec::new();
        }
        let shard = self.shard_mut(claim.key);
        if shard.has_claim(claim.claim) {
            return Vec::new();
        }
        if shard.corrupt || shard.queue.len() >= QUEUED_OPS_MAX {
            return vec![Effect::Claimed {
                source,
                claim: claim.claim,
                status: ClaimStatus::Unavailable,
            }];
        }
        shard.queue.push_back(Op::Claim { claim, source });
        Vec::new()
    }

    /// Queues the outcome of a request. A queued claim or earlier outcome of the same request is
    /// dropped.
    pub fn settle(&mut self, source: Source, settle: Settle) {
        self.record_ended(settle.claim);
        let shard = self.shard_mut(settle.key);
        shard.queue.retain(|op| match op {
            Op::Claim { claim, .. } => claim.claim != settle.claim,
            Op::Settle { settle: other, .. } => other.claim != settle.claim,
        });
        shard.queue.push_back(Op::Settle { settle, source });
    }

    /// Returns the store calls that are due, and answers to claims that need no call.
    pub fn tick(&mut self, now: Time, wall: WallTime) -> Vec<Effect> {
        let mut effects = Vec::new();
        let shard_numbers: Vec<u32> = self.shards.keys().copied().collect();
        for shard_number in shard_numbers {
            let shard = self
                .shards
                .get_mut(&shard_number)
                .expect("the shard number comes from the map's keys");
            let call = shard.next_call(shard_number, now, wall, &mut effects);
            let Some(call) = call else { continue };
            if matches!(call, Call::CompareAndSwap { .. }) {
                self.swaps += 1;
            }
            self.next_ticket += 1;
            self.shard_by_ticket.insert(self.next_ticket, shard_number);
            effects.push(Effect::Call {
                ticket: self.next_ticket,
                call,
            });
        }
        effects
    }

    /// Handles the store's answer to a call. Returns nothing for an unknown ticket.
    pub fn answer(&mut self, now: Time, ticket: Ticket, answer: Answer) -> Vec<Effect> {
        let Some(shard_number) = self.shard_by_ticket.remove(&ticket) else {
            return Vec::new();
        };
        let shard = self
            .shards
            .get_mut(&shard_number)
            .expect("every ticket refers to a shard");
        shard.handle_answer(now, answer)
    }

    /// Returns the time at which [`Ledger::tick`] next has work, or `None` if it has none.
    pub fn next_wake(&self) -> Option<Time> {
        self.shards
            .values()
            .filter(|shard| shard.in_flight.is_none() && !shard.queue.is_empty())
            .map(Shard::due_at)
            .min()
    }

    fn shard_mut(&mut self, key: wire::Key) -> &mut Shard {
        self.shards
            .entry(shard_of(key, self.shard_count))
            .or_default()
    }

    fn record_ended(&mut self, claim: RequestId) {
        if self.ended_claims.insert(claim) {
            self.ended_claim_order.push_back(claim);
        }
        if self.ended_claim_order.len() > ENDED_CLAIMS_MAX
            && let Some(oldest) = self.ended_claim_order.pop_front()
        {
            self.ended_claims.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use proptest::prelude::*;
    use store::Revision;
    use wire::ledger::Outcome;

    use super::*;
    use crate::record::Record;
    use crate::shard_name;

    const WALL: WallTime = Duration::from_secs(1_000_000);

    /// In-memory store, with writes that have been sent but not applied yet.
    #[derive(Default)]
    struct FakeStore {
        revision: Revision,
        values: BTreeMap<String, (Revision, Vec<u8>)>,
        delayed_writes: Vec<Call>,
    }

    impl FakeStore {
        fn call(&mut self, call: &Call) -> Answer {
            match call {
                Call::Get { key } => {
                    let (revision, value) = self.get(key);
                    Answer::Value { revision, value }
                }
                Call::CompareAndSwap {
                    key, expect, value, ..
                } => {
                    let (revision, found) = self.get(key);
                    if revision != *expect {
                        return Answer::Conflict {
                            revision,
                            value: found,
                        };
                    }
                    self.revision += 1;
                    self.values
                        .insert(key.to_string(), (self.revision, value.clone()));
                    Answer::Swapped {
                        revision: self.revision,
                    }
                }
                _ => Answer::Unreachable,
            }
        }

        fn get(&self, key: &str) -> (Revision, Vec<u8>) {
            self.values.get(key).cloned().unwrap_or_default()
        }
    }

    /// Two ledgers that share the same shards of one store, with claims made through both.
    struct Simulation {
        now: Time,
        store: FakeStore,
        ledgers: Vec<Ledger>,
        pending_calls: Vec<(usize, Ticket, Call)>,
        runs_by_key: BTreeMap<wire::Key, Vec<RequestId>>,
        next: RequestId,
    }

    impl Simulation {
        fn new() -> Simulation {
            Simulation {
                now: Duration::from_secs(10),
                store: FakeStore::default(),
                ledgers: vec![Ledger::new(2), Ledger::new(2)],
                pending_calls: Vec::new(),
                runs_by_key: BTreeMap::new(),
                next: 0,
            }
        }

        fn apply(&mut self, index: usize, effects: Vec<Effect>) {
            for effect in effects {
                match effect {
                    Effect::Call { ticket, call } => self.pending_calls.push((index, ticket, call)),
                    Effect::Claimed {
                        claim,
                        status: ClaimStatus::Fresh,
                        ..
                    } => {
                        let key = wire::Key::from(claim % 4);
                        let runs = self.runs_by_key.entry(key).or_default();
                        if !runs.contains(&claim) {
                            runs.push(claim);
                        }
                    }
                    _ => {}
                }
            }
        }

        fn claim(&mut self, index: usize, key: u64) {
            self.next += 4;
            let claim = Claim {
                key: wire::Key::from(key),
                claim: self.next + key,
                owner: index as u64,
                retention_s: 60,
            };
            let effects = self.ledgers[index].claim(Source::Own, claim);
            self.apply(index, effects);
        }

        fn step(&mut self, wait_ms: u64) {
            self.now += Duration::from_millis(wait_ms);
            for index in 0..2 {
                let effects = self.ledgers[index].tick(self.now, WALL + self.now);
                self.apply(index, effects);
            }
        }

        /// Answers the oldest pending call: normally, with the answer lost after the store applied
        /// the call or before it applies it, or as unreachable.
        fn answer(&mut self, fault: u8) {
            if self.pending_calls.is_empty() {
                return;
            }
            let (index, ticket, call) = self.pending_calls.remove(0);
            let answer = match fault {
                0 => {
                    self.store.call(&call);
                    Answer::Unknown
                }
                1 => {
                    self.store.delayed_writes.push(call);
                    Answer::Unknown
                }
                2 => Answer::Unreachable,
                _ => self.store.call(&call),
            };
            let effects = self.ledgers[index].answer(self.now, ticket, answer);
            self.apply(index, effects);
        }
    }

    proptest! {
        #[test]
        fn each_key_runs_at_most_once_under_store_faults(
            steps in proptest::collection::vec((0u8..4, 0usize..2, 0u64..4, 0u8..9, 0u64..400), 1..200),
        ) {
            let mut simulation = Simulation::new();
            for (action, index, key, fault, wait_ms) in steps {
                match action {
                    0 => simulation.claim(index, key),
                    1 => simulation.answer(fault),
                    2 => if let Some(call) = simulation.store.delayed_writes.pop() { simulation.store.call(&call); },
                    _ => simulation.step(wait_ms),
                }
                for (key, runs) in &simulation.runs_by_key {
                    prop_assert!(runs.len() <= 1, "key {key} was run by several requests: {runs:?}");
                }
            }
        }
    }

    fn settle(key: u64, claim: RequestId, outcome: Outcome) -> Settle {
        Settle {
            key: wire::Key::from(key),
            claim,
            outcome,
        }
    }

    fn run(simulation: &mut Simulation) {
        for _ in 0..40 {
            simulation.step(50);
            simulation.answer(9);
            simulation.answer(9);
        }
    }

    #[test]
    fn released_key_can_be_claimed_again_and_delayed_copy_of_claim_is_ignored() {
        let mut simulation = Simulation::new();
        simulation.claim(0, 1);
        run(&mut simulation);
        let first = simulation.runs_by_key[&1][0];
        simulation.ledgers[0].settle(Source::Own, settle(1, first, Outcome::Released));
        run(&mut simulation);
        let copy = Claim {
            key: 1,
            claim: first,
            owner: 0,
            retention_s: 60,
        };
        simulation.ledgers[0].claim(Source::Own, copy);
        simulation.claim(1, 1);
        run(&mut simulation);
        assert_eq!(simulation.runs_by_key[&1].len(), 2);
    }

    #[test]
    fn recorded_answer_is_returned_until_the_retention_has_passed() {
        let answer = wire::ledger::Answer {
            status: 200,
            media: "text/plain".into(),
            body: Some(b"held".to_vec()),
        };
        let mut record = Record::default();
        let claim = Claim {
            key: 1,
            claim: 7,
            owner: 1,
            retention_s: 60,
        };
        record.claim(&claim, WALL);
        record.settle(1, 7, &Outcome::Done(answer.clone()), WALL);
        let mut later = record.clone();
        later.prune(WALL + Duration::from_secs(60));
        assert_eq!(later.status(1, 8), Some(ClaimStatus::Done(answer)));
        later.prune(WALL + Duration::from_secs(100));
        assert_eq!(later.status(1, 8), None);
    }

    #[test]
    fn waiting_claim_is_answered_when_the_claiming_request_ends() {
        let mut simulation = Simulation::new();
        simulation.claim(0, 1);
        run(&mut simulation);
        let first = simulation.runs_by_key[&1][0];
        simulation.claim(0, 1);
        run(&mut simulation);
        let answer = wire::ledger::Answer::default();
        let done = Outcome::Done(answer.clone());
        simulation.ledgers[0].settle(Source::Own, settle(1, first, done));
        let is_answered = (0..40).any(|_| {
            simulation.step(10);
            let Some((index, ticket, call)) = simulation.pending_calls.pop() else {
                return false;
            };
            let reply = simulation.store.call(&call);
            let effects = simulation.ledgers[index].answer(simulation.now, ticket, reply);
            let answers_waiting_claim = |effect: &Effect| match effect {
                Effect::Claimed { claim, status, .. } => {
                    *claim != first && *status == ClaimStatus::Done(answer.clone())
                }
                _ => false,
            };
            effects.iter().any(answers_waiting_claim)
        });
        assert!(is_answered);
    }

    #[test]
    fn outcome_is_recorded_after_a_store_outage() {
        let mut simulation = Simulation::new();
        simulation.claim(0, 1);
        run(&mut simulation);
        let first = simulation.runs_by_key[&1][0];
        let done = Outcome::Done(wire::ledger::Answer::default());
        simulation.ledgers[0].settle(Source::Own, settle(1, first, done));
        for _ in 0..5 {
            simulation.step(400);
            simulation.answer(2);
        }
        run(&mut simulation);
        let (_, value) = simulation.store.get(&shard_name(shard_of(1, 2)));
        let record = Record::from_bytes(&value).unwrap();
        assert!(matches!(record.status(1, 99), Some(ClaimStatus::Done(_))));
    }
}
