//! One shard: its copy of the record, the swap that flies, and what waits.

use std::collections::VecDeque;
use std::time::Duration;

use clock::Time;
use clock::Wall;
use store::Answer;
use store::Call;
use store::Revision;
use wire::RequestId;
use wire::ledger::Claim;
use wire::ledger::ClaimStatus;
use wire::ledger::Settle;

use crate::ledger::Effect;
use crate::ledger::Source;
use crate::record::Record;
use crate::shard_name;

/// Least time between two swaps of one shard.
pub const SWAP_PERIOD: Duration = Duration::from_millis(60);
/// Time that a batch of endings alone may wait for claims to go with it.
const SETTLE_PERIOD: Duration = Duration::from_millis(240);
/// Pause after the service could not be reached.
const OUTAGE_PAUSE: Duration = Duration::from_millis(300);
/// Pause after a swap whose answer was lost, before the record is read back.
const LOST_PAUSE: Duration = Duration::from_millis(60);
/// Requests that wait here for the end of another one with their key.
const JOINED_MAX: usize = 1_024;
/// Age of a copy of a record after which a key found taken is looked up again.
const COPY_AGE: Duration = Duration::from_millis(1_500);

#[derive(Debug, Default)]
pub(crate) struct Shard {
    copy: Option<Copy>,
    pub(crate) waiting: VecDeque<Op>,
    pub(crate) flight: Option<Flight>,
    not_before: Time,
    pub(crate) broken: bool,
    joined: Vec<Joined>,
}

/// A request that was told that its key is in use.
#[derive(Clone, Copy, Debug)]
struct Joined {
    key: wire::Key,
    claim: RequestId,
    source: Source,
}

/// The record as it stood at a revision.
#[derive(Clone, Debug)]
struct Copy {
    revision: Revision,
    record: Record,
    read: Time,
}

#[derive(Debug)]
pub(crate) enum Flight {
    Read,
    Swap { next: Record, batch: Vec<Op> },
}

#[derive(Clone, Debug)]
pub(crate) enum Op {
    Claim { claim: Claim, source: Source },
    Settle { settle: Settle, source: Source },
}

impl Shard {
    pub(crate) fn has_claim(&self, wanted: RequestId) -> bool {
        let is_it = |op: &Op| matches!(op, Op::Claim { claim, .. } if claim.claim == wanted);
        let flying = match &self.flight {
            Some(Flight::Swap { batch, .. }) => batch.iter().any(is_it),
            _ => false,
        };
        flying || self.waiting.iter().any(is_it)
    }

    pub(crate) fn due(&self) -> Time {
        let urgent = self.waiting.iter().any(|op| match op {
            Op::Claim { .. } => true,
            Op::Settle { settle, .. } => self.joined.iter().any(|one| one.key == settle.key),
        });
        if urgent {
            self.not_before
        } else {
            self.not_before + SETTLE_PERIOD
        }
    }

    pub(crate) fn next_call(
        &mut self,
        number: u32,
        now: Time,
        wall: Wall,
        effects: &mut Vec<Effect>,
    ) -> Option<Call> {
        if self.flight.is_some() || self.waiting.is_empty() || now < self.due() {
            return None;
        }
        let key = shard_name(number);
        let stale = |copy: &Copy| now.saturating_sub(copy.read) > COPY_AGE;
        if self.copy.as_ref().is_none_or(stale) {
            self.flight = Some(Flight::Read);
            return Some(Call::Get { key });
        }
        self.answer_known(effects);
        let copy = self.copy.as_ref()?;
        let batch: Vec<Op> = self.waiting.drain(..).collect();
        if batch.is_empty() {
            return None;
        }
        let mut next = copy.record.clone();
        next.prune(wall);
        let changed = apply(&mut next, &batch, wall);
        if !changed {
            self.confirm(&batch, &next, effects);
            return None;
        }
        let Some(value) = next.to_bytes() else {
            refuse(batch, effects, &mut self.waiting);
            self.not_before = now + OUTAGE_PAUSE;
            return None;
        };
        let expect = copy.revision;
        self.not_before = now + SWAP_PERIOD;
        self.flight = Some(Flight::Swap { next, batch });
        Some(Call::Swap {
            key,
            expect,
            value,
            ttl_ms: 0,
        })
    }

    /// Answers the claims whose key stands in the copy. What a copy says of a key that was claimed
    /// stays true or becomes free again, and a claim that is told "taken" is repeated by its owner.
    fn answer_known(&mut self, effects: &mut Vec<Effect>) {
        let Some(copy) = &self.copy else { return };
        let mut known = Vec::new();
        self.waiting.retain(|op| {
            let Op::Claim { claim, source } = op else {
                return true;
            };
            let status = copy.record.status(claim.key, claim.claim);
            let is_free = status.is_none();
            known.extend(status.map(|status| (claim.clone(), *source, status)));
            is_free
        });
        for (claim, source, status) in known {
            self.tell(&claim, source, status, effects);
        }
    }

    pub(crate) fn take_answer(&mut self, now: Time, answer: Answer) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(flight) = self.flight.take() else {
            return effects;
        };
        match (flight, answer) {
            (Flight::Swap { next, batch }, Answer::Swapped { revision }) => {
                self.confirm(&batch, &next, &mut effects);
                self.copy = Some(Copy {
                    revision,
                    record: next,
                    read: now,
                });
                self.tell_joined(&mut effects);
            }
            (Flight::Swap { batch, .. }, Answer::Conflict { revision, value }) => {
                self.put_back(batch);
                self.read(now, revision, &value);
            }
            (Flight::Swap { batch, .. }, Answer::Unknown) => {
                // Whether it took effect shows in the record; until then nothing is known.
                self.copy = None;
                self.put_back(batch);
                self.not_before = now + LOST_PAUSE;
            }
            (Flight::Swap { batch, .. }, _) => {
                refuse(batch, &mut effects, &mut self.waiting);
                self.not_before = now + OUTAGE_PAUSE;
            }
            (Flight::Read, Answer::Value { revision, value }) => {
                self.read(now, revision, &value);
            }
            (Flight::Read, _) => {
                let waiting = std::mem::take(&mut self.waiting).into_iter().collect();
                refuse(waiting, &mut effects, &mut self.waiting);
                self.not_before = now + OUTAGE_PAUSE;
            }
        }
        effects
    }

    /// Tells those who wait for the end of another request with their key, once it is recorded.
    fn tell_joined(&mut self, effects: &mut Vec<Effect>) {
        let Some(copy) = &self.copy else { return };
        self.joined.retain(|one| {
            let status = copy.record.status(one.key, one.claim);
            let ended = matches!(status, Some(ClaimStatus::Done(_) | ClaimStatus::Unknown));
            if let Some(status) = status.filter(|_| ended) {
                effects.push(Effect::Claimed {
                    source: one.source,
                    claim: one.claim,
                    status,
                });
            }
            !ended
        });
    }

    /// Answers a claim. Whoever is told that its key is in use is remembered.
    fn tell(
        &mut self,
        claim: &Claim,
        source: Source,
        status: ClaimStatus,
        effects: &mut Vec<Effect>,
    ) {
        if matches!(status, ClaimStatus::Taken { .. }) {
            self.join(claim, source);
        }
        effects.push(Effect::Claimed {
            source,
            claim: claim.claim,
            status,
        });
    }

    fn join(&mut self, claim: &Claim, source: Source) {
        self.joined.retain(|one| one.claim != claim.claim);
        if self.joined.len() >= JOINED_MAX {
            self.joined.remove(0);
        }
        self.joined.push(Joined {
            key: claim.key,
            claim: claim.claim,
            source,
        });
    }

    /// Answers a batch from the record that it led to.
    fn confirm(&mut self, batch: &[Op], record: &Record, effects: &mut Vec<Effect>) {
        for op in batch {
            match op {
                Op::Claim { claim, source } => {
                    // A key that was claimed and released in one batch is free for whoever asks again.
                    let status = record.status(claim.key, claim.claim);
                    let status = status.unwrap_or(ClaimStatus::Unavailable);
                    self.tell(claim, *source, status, effects);
                }
                Op::Settle { settle, source } => effects.push(Effect::Settled {
                    source: *source,
                    claim: settle.claim,
                }),
            }
        }
    }

    fn read(&mut self, now: Time, revision: Revision, value: &[u8]) {
        match Record::from_bytes(value) {
            Ok(record) => {
                self.broken = false;
                self.copy = Some(Copy {
                    revision,
                    record,
                    read: now,
                });
            }
            Err(_) => {
                self.broken = true;
                self.copy = None;
                self.not_before = now + OUTAGE_PAUSE;
            }
        }
    }

    fn put_back(&mut self, batch: Vec<Op>) {
        for op in batch.into_iter().rev() {
            self.waiting.push_front(op);
        }
    }
}

/// Applies a batch in order. Returns whether the record changed.
fn apply(record: &mut Record, batch: &[Op], wall: Wall) -> bool {
    let mut changed = false;
    for op in batch {
        match op {
            Op::Claim { claim, .. } => {
                changed |= record.status(claim.key, claim.claim).is_none();
                record.claim(claim, wall);
            }
            Op::Settle { settle, .. } => {
                changed |= record.settle(settle.key, settle.claim, &settle.outcome, wall);
            }
        }
    }
    changed
}

/// Answers the claims of a batch that could not be written, and keeps the endings for later.
fn refuse(batch: Vec<Op>, effects: &mut Vec<Effect>, waiting: &mut VecDeque<Op>) {
    for op in batch {
        match op {
            Op::Claim { claim, source } => effects.push(Effect::Claimed {
                source,
                claim: claim.claim,
                status: ClaimStatus::Unavailable,
            }),
            settle @ Op::Settle { .. } => waiting.push_back(settle),
        }
    }
}
