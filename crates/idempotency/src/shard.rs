//! One shard: its cached record, the store call in flight and the queued operations.

use std::collections::VecDeque;
use std::time::Duration;

use clock::Time;
use clock::WallTime;
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

/// Minimum time between two swaps of one shard.
pub const SWAP_INTERVAL_MIN: Duration = Duration::from_millis(60);
/// Extra time for which a batch without claims is held back, so that claims can join it.
const SETTLE_DELAY: Duration = Duration::from_millis(240);
/// Time before the next call after the store was unreachable or returned an invalid record.
const OUTAGE_BACKOFF: Duration = Duration::from_millis(300);
/// Time between a swap whose answer was lost and the read that shows whether it was applied.
const LOST_ANSWER_BACKOFF: Duration = Duration::from_millis(60);
/// Maximum number of requests that wait for another request with their key to end.
const WAITERS_MAX: usize = 1_024;
/// Age from which the cached record is read again before it is used, so that a key that another
/// instance has released since is not reported as taken.
const CACHE_AGE_MAX: Duration = Duration::from_millis(1_500);

/// One shard. Claims are refused while `corrupt` is set, that is after a stored record could not be
/// decoded.
#[derive(Debug, Default)]
pub(crate) struct Shard {
    cache: Option<CachedRecord>,
    pub(crate) queue: VecDeque<Op>,
    pub(crate) in_flight: Option<PendingCall>,
    not_before: Time,
    pub(crate) corrupt: bool,
    waiters: Vec<Waiter>,
}

/// A request whose key is claimed by another request that is still running.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    key: wire::Key,
    claim: RequestId,
    source: Source,
}

/// The record at a revision of the store.
#[derive(Clone, Debug)]
struct CachedRecord {
    revision: Revision,
    record: Record,
    read_at: Time,
}

/// The store call in flight. A swap writes the record `next`, to which its batch has been applied.
#[derive(Debug)]
pub(crate) enum PendingCall {
    Read,
    Swap { next: Record, batch: Vec<Op> },
}

/// A queued operation on the record.
#[derive(Clone, Debug)]
pub(crate) enum Op {
    Claim { claim: Claim, source: Source },
    Settle { settle: Settle, source: Source },
}

impl Shard {
    /// Returns whether the claim of a request is queued or in flight.
    pub(crate) fn has_claim(&self, wanted: RequestId) -> bool {
        let is_wanted = |op: &Op| matches!(op, Op::Claim { claim, .. } if claim.claim == wanted);
        let in_pending_swap = match &self.in_flight {
            Some(PendingCall::Swap { batch, .. }) => batch.iter().any(is_wanted),
            _ => false,
        };
        in_pending_swap || self.queue.iter().any(is_wanted)
    }

    /// Returns the earliest time of the next call. Outcomes are delayed unless a waiter needs them.
    pub(crate) fn due_at(&self) -> Time {
        let is_urgent = self.queue.iter().any(|op| match op {
            Op::Claim { .. } => true,
            Op::Settle { settle, .. } => self.waiters.iter().any(|waiter| waiter.key == settle.key),
        });
        if is_urgent {
            self.not_before
        } else {
            self.not_before + SETTLE_DELAY
        }
    }

    /// Returns the next store call if one is due, and answers the operations that need none.
    pub(crate) fn next_call(
        &mut self,
        shard_number: u32,
        now: Time,
        wall: WallTime,
        effects: &mut Vec<Effect>,
    ) -> Option<Call> {
        if self.in_flight.is_some() || self.queue.is_empty() || now < self.due_at() {
            return None;
        }
        let key = shard_name(shard_number);
        let stale = |cached: &CachedRecord| now.saturating_sub(cached.read_at) > CACHE_AGE_MAX;
        if self.cache.as_ref().is_none_or(stale) {
            self.in_flight = Some(PendingCall::Read);
            return Some(Call::Get { key });
        }
        self.answer_from_cache(effects);
        let cached = self.cache.as_ref()?;
        let batch: Vec<Op> = self.queue.drain(..).collect();
        if batch.is_empty() {
            return None;
        }
        let mut next = cached.record.clone();
        next.prune(wall);
        let changed = apply(&mut next, &batch, wall);
        if !changed {
            self.complete_batch(&batch, &next, effects);
            return None;
        }
        let Some(value) = next.to_bytes() else {
            fail_batch(batch, effects, &mut self.queue);
            self.not_before = now + OUTAGE_BACKOFF;
            return None;
        };
        let expect = cached.revision;
        self.not_before = now + SWAP_INTERVAL_MIN;
        self.in_flight = Some(PendingCall::Swap { next, batch });
        Some(Call::CompareAndSwap {
            key,
            expect,
            value,
            ttl_ms: 0,
        })
    }

    /// Answers the queued claims whose key is present in the cached record.
    ///
    /// A stale entry is harmless: it is either still valid or the key has been released since, and
    /// an instance whose claim is answered with "taken" repeats the claim.
    fn answer_from_cache(&mut self, effects: &mut Vec<Effect>) {
        let Some(cached) = &self.cache else { return };
        let mut answers = Vec::new();
        self.queue.retain(|op| {
            let Op::Claim { claim, source } = op else {
                return true;
            };
            let status = cached.record.status(claim.key, claim.claim);
            let is_free = status.is_none();
            answers.extend(status.map(|status| (claim.clone(), *source, status)));
            is_free
        });
        for (claim, source, status) in answers {
            self.answer_claim(&claim, source, status, effects);
        }
    }

    pub(crate) fn handle_answer(&mut self, now: Time, answer: Answer) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(in_flight) = self.in_flight.take() else {
            return effects;
        };
        match (in_flight, answer) {
            (PendingCall::Swap { next, batch }, Answer::Swapped { revision }) => {
                self.complete_batch(&batch, &next, &mut effects);
                self.cache = Some(CachedRecord {
                    revision,
                    record: next,
                    read_at: now,
                });
                self.notify_waiters(&mut effects);
            }
            (PendingCall::Swap { batch, .. }, Answer::Conflict { revision, value }) => {
                self.requeue(batch);
                self.load(now, revision, &value);
            }
            (PendingCall::Swap { batch, .. }, Answer::Unknown) => {
                // The swap may have been applied. The record must be read before the next swap.
                self.cache = None;
                self.requeue(batch);
                self.not_before = now + LOST_ANSWER_BACKOFF;
            }
            (PendingCall::Swap { batch, .. }, _) => {
                fail_batch(batch, &mut effects, &mut self.queue);
                self.not_before = now + OUTAGE_BACKOFF;
            }
            (PendingCall::Read, Answer::Value { revision, value }) => {
                self.load(now, revision, &value);
            }
            (PendingCall::Read, _) => {
                let unsent = std::mem::take(&mut self.queue).into_iter().collect();
                fail_batch(unsent, &mut effects, &mut self.queue);
                self.not_before = now + OUTAGE_BACKOFF;
            }
        }
        effects
    }

    /// Answers the waiters whose key has a recorded outcome.
    fn notify_waiters(&mut self, effects: &mut Vec<Effect>) {
        let Some(cached) = &self.cache else { return };
        self.waiters.retain(|waiter| {
            let status = cached.record.status(waiter.key, waiter.claim);
            let ended = matches!(status, Some(ClaimStatus::Done(_) | ClaimStatus::Unknown));
            if let Some(status) = status.filter(|_| ended) {
                effects.push(Effect::Claimed {
                    source: waiter.source,
                    claim: waiter.claim,
                    status,
                });
            }
            !ended
        });
    }

    /// Answers a claim. A request whose key is taken becomes a waiter.
    fn answer_claim(
        &mut self,
        claim: &Claim,
        source: Source,
        status: ClaimStatus,
        effects: &mut Vec<Effect>,
    ) {
        if matches!(status, ClaimStatus::Taken { .. }) {
            self.add_waiter(claim, source);
        }
        effects.push(Effect::Claimed {
            source,
            claim: claim.claim,
            status,
        });
    }

    fn add_waiter(&mut self, claim: &Claim, source: Source) {
        self.waiters.retain(|waiter| waiter.claim != claim.claim);
        if self.waiters.len() >= WAITERS_MAX {
            self.waiters.remove(0);
        }
        self.waiters.push(Waiter {
            key: claim.key,
            claim: claim.claim,
            source,
        });
    }

    /// Answers the operations of a batch from the record that resulted from it.
    fn complete_batch(&mut self, batch: &[Op], record: &Record, effects: &mut Vec<Effect>) {
        for op in batch {
            match op {
                Op::Claim { claim, source } => {
                    // The key may have been claimed and released within the batch. It is free
                    // again, so the claim may be retried.
                    let status = record.status(claim.key, claim.claim);
                    let status = status.unwrap_or(ClaimStatus::Unavailable);
                    self.answer_claim(claim, *source, status, effects);
                }
                Op::Settle { settle, source } => effects.push(Effect::Settled {
                    source: *source,
                    claim: settle.claim,
                }),
            }
        }
    }

    fn load(&mut self, now: Time, revision: Revision, value: &[u8]) {
        match Record::from_bytes(value) {
            Ok(record) => {
                self.corrupt = false;
                self.cache = Some(CachedRecord {
                    revision,
                    record,
                    read_at: now,
                });
            }
            Err(_) => {
                self.corrupt = true;
                self.cache = None;
                self.not_before = now + OUTAGE_BACKOFF;
            }
        }
    }

    fn requeue(&mut self, batch: Vec<Op>) {
        for op in batch.into_iter().rev() {
            self.queue.push_front(op);
        }
    }
}

/// Applies the operations of a batch in order. Returns whether the record changed.
fn apply(record: &mut Record, batch: &[Op], wall: WallTime) -> bool {
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

/// Answers the claims of a batch that could not be written as unavailable, and queues its outcomes
/// again.
fn fail_batch(batch: Vec<Op>, effects: &mut Vec<Effect>, queue: &mut VecDeque<Op>) {
    for op in batch {
        match op {
            Op::Claim { claim, source } => effects.push(Effect::Claimed {
                source,
                claim: claim.claim,
                status: ClaimStatus::Unavailable,
            }),
            settle @ Op::Settle { .. } => queue.push_back(settle),
        }
    }
}
