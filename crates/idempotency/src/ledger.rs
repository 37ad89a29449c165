//! Batching, lost answers, outages.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use clock::Time;
use clock::Wall;
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

/// Ended claims that are remembered, so that a late copy of a claim is not taken up.
const ENDED_MAX: usize = 4_096;
/// Most operations that wait for one shard.
const WAITING_MAX: usize = 8_192;

/// Who asked for an operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// This instance.
    Own,
    /// Another one.
    Peer(InstanceId),
}

/// What a ledger wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A call to the store.
    Call {
        /// To be given back with the answer.
        ticket: Ticket,
        /// The call.
        call: Call,
    },
    /// The answer to a claim.
    Claimed {
        /// Who asked.
        source: Source,
        /// The request that claims.
        claim: RequestId,
        /// What became of it.
        status: ClaimStatus,
    },
    /// The confirmation of an ending.
    Settled {
        /// Who asked.
        source: Source,
        /// The request that has ended.
        claim: RequestId,
    },
}

/// The shards that one instance works on.
#[derive(Debug)]
pub struct Ledger {
    count: u32,
    shards: BTreeMap<u32, Shard>,
    tickets: BTreeMap<Ticket, u32>,
    next_ticket: Ticket,
    ended: BTreeSet<RequestId>,
    ended_order: VecDeque<RequestId>,
    swaps: u64,
}

impl Ledger {
    /// Returns a ledger over a number of shards.
    ///
    /// All instances must use the same number: it is part of what the records mean.
    pub fn new(shards: u32) -> Ledger {
        Ledger {
            count: shards.max(1),
            shards: BTreeMap::new(),
            tickets: BTreeMap::new(),
            next_ticket: 0,
            ended: BTreeSet::new(),
            ended_order: VecDeque::new(),
            swaps: 0,
        }
    }

    /// Returns the number of shards.
    pub fn shards(&self) -> u32 {
        self.count
    }

    /// Returns how many swaps were sent.
    pub fn swaps(&self) -> u64 {
        self.swaps
    }

    /// Takes a claim. A repetition of one that waits or flies is not taken twice.
    pub fn claim(&mut self, source: Source, claim: Claim) -> Vec<Effect> {
        if self.ended.contains(&claim.claim) {
            return Vec::new();
        }
        let shard = self.shard_mut(claim.key);
        if shard.has_claim(claim.claim) {
            return Vec::new();
        }
        if shard.broken || shard.waiting.len() >= WAITING_MAX {
            return vec![Effect::Claimed {
                source,
                claim: claim.claim,
                status: ClaimStatus::Unavailable,
            }];
        }
        shard.waiting.push_back(Op::Claim { claim, source });
        Vec::new()
    }

    /// Takes the ending of a claimed request. A claim of it that still waits is dropped with it.
    pub fn settle(&mut self, source: Source, settle: Settle) {
        self.remember_end(settle.claim);
        let shard = self.shard_mut(settle.key);
        shard.waiting.retain(|op| match op {
            Op::Claim { claim, .. } => claim.claim != settle.claim,
            Op::Settle { settle: other, .. } => other.claim != settle.claim,
        });
        shard.waiting.push_back(Op::Settle { settle, source });
    }

    /// Sends what is due.
    pub fn tick(&mut self, now: Time, wall: Wall) -> Vec<Effect> {
        let mut effects = Vec::new();
        let numbers: Vec<u32> = self.shards.keys().copied().collect();
        for number in numbers {
            let shard = self.shards.get_mut(&number).expect("the shard was listed");
            let call = shard.next_call(number, now, wall, &mut effects);
            let Some(call) = call else { continue };
            if matches!(call, Call::Swap { .. }) {
                self.swaps += 1;
            }
            self.next_ticket += 1;
            self.tickets.insert(self.next_ticket, number);
            effects.push(Effect::Call {
                ticket: self.next_ticket,
                call,
            });
        }
        effects
    }

    /// Takes the answer of a call.
    pub fn answer(&mut self, now: Time, ticket: Ticket, answer: Answer) -> Vec<Effect> {
        let Some(number) = self.tickets.remove(&ticket) else {
            return Vec::new();
        };
        let shard = self.shards.get_mut(&number).expect("a ticket has a shard");
        shard.take_answer(now, answer)
    }

    /// Returns when something is next due.
    pub fn next_wake(&self) -> Option<Time> {
        self.shards
            .values()
            .filter(|shard| shard.flight.is_none() && !shard.waiting.is_empty())
            .map(Shard::due)
            .min()
    }

    fn shard_mut(&mut self, key: wire::Key) -> &mut Shard {
        self.shards.entry(shard_of(key, self.count)).or_default()
    }

    fn remember_end(&mut self, claim: RequestId) {
        if self.ended.insert(claim) {
            self.ended_order.push_back(claim);
        }
        if self.ended_order.len() > ENDED_MAX
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
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

    const WALL: Wall = Duration::from_secs(1_000_000);

    /// The store's records, and the writes that are still under way to it.
    #[derive(Default)]
    struct Service {
        count: Revision,
        values: BTreeMap<String, (Revision, Vec<u8>)>,
        late: Vec<Call>,
    }

    impl Service {
        fn call(&mut self, call: &Call) -> Answer {
            match call {
                Call::Get { key } => {
                    let (revision, value) = self.at(key);
                    Answer::Value { revision, value }
                }
                Call::Swap {
                    key, expect, value, ..
                } => {
                    let (revision, found) = self.at(key);
                    if revision != *expect {
                        return Answer::Conflict {
                            revision,
                            value: found,
                        };
                    }
                    self.count += 1;
                    self.values
                        .insert(key.to_string(), (self.count, value.clone()));
                    Answer::Swapped {
                        revision: self.count,
                    }
                }
                _ => Answer::Unreachable,
            }
        }

        fn at(&self, key: &str) -> (Revision, Vec<u8>) {
            self.values.get(key).cloned().unwrap_or_default()
        }
    }

    /// Two ledgers that work on the same shards, with claims of both.
    struct World {
        now: Time,
        service: Service,
        ledgers: Vec<Ledger>,
        flying: Vec<(usize, Ticket, Call)>,
        runs: BTreeMap<wire::Key, Vec<RequestId>>,
        next: RequestId,
    }

    impl World {
        fn new() -> World {
            World {
                now: Duration::from_secs(10),
                service: Service::default(),
                ledgers: vec![Ledger::new(2), Ledger::new(2)],
                flying: Vec::new(),
                runs: BTreeMap::new(),
                next: 0,
            }
        }

        fn take(&mut self, who: usize, effects: Vec<Effect>) {
            for effect in effects {
                match effect {
                    Effect::Call { ticket, call } => self.flying.push((who, ticket, call)),
                    Effect::Claimed {
                        claim,
                        status: ClaimStatus::Fresh,
                        ..
                    } => {
                        let key = wire::Key::from(claim % 4);
                        let runs = self.runs.entry(key).or_default();
                        if !runs.contains(&claim) {
                            runs.push(claim);
                        }
                    }
                    _ => {}
                }
            }
        }

        fn claim(&mut self, who: usize, key: u64) {
            self.next += 4;
            let claim = Claim {
                key: wire::Key::from(key),
                claim: self.next + key,
                owner: who as u64,
                retention_s: 60,
            };
            let effects = self.ledgers[who].claim(Source::Own, claim);
            self.take(who, effects);
        }

        fn step(&mut self, wait: u64) {
            self.now += Duration::from_millis(wait);
            for who in 0..2 {
                let effects = self.ledgers[who].tick(self.now, WALL + self.now);
                self.take(who, effects);
            }
        }

        /// Answers the oldest call: as it should be, lost after or before its effect, or never sent.
        fn answer(&mut self, fate: u8) {
            if self.flying.is_empty() {
                return;
            }
            let (who, ticket, call) = self.flying.remove(0);
            let answer = match fate {
                0 => {
                    self.service.call(&call);
                    Answer::Unknown
                }
                1 => {
                    self.service.late.push(call);
                    Answer::Unknown
                }
                2 => Answer::Unreachable,
                _ => self.service.call(&call),
            };
            let effects = self.ledgers[who].answer(self.now, ticket, answer);
            self.take(who, effects);
        }
    }

    proptest! {
        #[test]
        fn a_key_runs_at_most_once_whatever_the_store_does(
            steps in proptest::collection::vec((0u8..4, 0usize..2, 0u64..4, 0u8..9, 0u64..400), 1..200),
        ) {
            let mut world = World::new();
            for (kind, who, key, fate, wait) in steps {
                match kind {
                    0 => world.claim(who, key),
                    1 => world.answer(fate),
                    2 => if let Some(call) = world.service.late.pop() { world.service.call(&call); },
                    _ => world.step(wait),
                }
                for (key, runs) in &world.runs {
                    prop_assert!(runs.len() <= 1, "key {key} was run by {runs:?}");
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

    fn run(world: &mut World) {
        for _ in 0..40 {
            world.step(50);
            world.answer(9);
            world.answer(9);
        }
    }

    #[test]
    fn released_key_can_be_claimed_again_and_a_late_copy_of_the_claim_is_ignored() {
        let mut world = World::new();
        world.claim(0, 1);
        run(&mut world);
        let first = world.runs[&1][0];
        world.ledgers[0].settle(Source::Own, settle(1, first, Outcome::Released));
        run(&mut world);
        let copy = Claim {
            key: 1,
            claim: first,
            owner: 0,
            retention_s: 60,
        };
        world.ledgers[0].claim(Source::Own, copy);
        world.claim(1, 1);
        run(&mut world);
        assert_eq!(world.runs[&1].len(), 2);
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
    fn joined_request_is_told_as_soon_as_the_other_one_has_ended() {
        let mut world = World::new();
        world.claim(0, 1);
        run(&mut world);
        let first = world.runs[&1][0];
        world.claim(0, 1);
        run(&mut world);
        let answer = wire::ledger::Answer::default();
        let done = Outcome::Done(answer.clone());
        world.ledgers[0].settle(Source::Own, settle(1, first, done));
        let told = (0..40).any(|_| {
            world.step(10);
            let Some((who, ticket, call)) = world.flying.pop() else {
                return false;
            };
            let reply = world.service.call(&call);
            let effects = world.ledgers[who].answer(world.now, ticket, reply);
            let is_told = |effect: &Effect| match effect {
                Effect::Claimed { claim, status, .. } => {
                    *claim != first && *status == ClaimStatus::Done(answer.clone())
                }
                _ => false,
            };
            effects.iter().any(is_told)
        });
        assert!(told);
    }

    #[test]
    fn outage_refuses_claims_and_keeps_endings() {
        let mut world = World::new();
        world.claim(0, 1);
        run(&mut world);
        let first = world.runs[&1][0];
        let done = Outcome::Done(wire::ledger::Answer::default());
        world.ledgers[0].settle(Source::Own, settle(1, first, done));
        for _ in 0..5 {
            world.step(400);
            world.answer(2);
        }
        run(&mut world);
        let (_, value) = world.service.at(&shard_name(shard_of(1, 2)));
        let record = Record::from_bytes(&value).unwrap();
        assert!(matches!(record.status(1, 99), Some(ClaimStatus::Done(_))));
    }
}
