//! Claiming and settling idempotency keys.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use idempotency::Effect;
use idempotency::Source;
use wire::Body;
use wire::InstanceId;
use wire::RequestId;
use wire::ledger::Claim;
use wire::ledger::ClaimStatus;
use wire::ledger::Outcome as ClaimOutcome;
use wire::ledger::Settle;

use crate::instance::CallOrigin;
use crate::instance::Instance;
use crate::job::Phase;
use crate::outcome::Outcome;
use crate::outcome::Reason;

/// Longest time that a store call of the ledger waits to be sent, or a read to be repeated.
pub(crate) const LEDGER_QUEUE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which an unanswered claim is sent again.
const CLAIM_RETRY_PERIOD: Duration = Duration::from_millis(250);
/// Times that a claim or settlement is sent to the shard's coordinator before the instance uses its
/// own ledger instead.
const COORDINATOR_TRIES: u32 = 2;
/// Time after which a claim of a key that is in use is repeated.
const JOIN_POLL_PERIOD: Duration = Duration::from_millis(200);
/// Time after which an unconfirmed settlement is sent again.
const SETTLE_RETRY_PERIOD: Duration = Duration::from_millis(400);
/// Time after which an unconfirmed settlement is given up. The key then stays claimed, and later
/// requests with the same key fail because the outcome of the first is unknown.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(600);

/// Settlements of claimed keys that are not confirmed yet.
#[derive(Debug, Default)]
pub(crate) struct Settlements {
    pending: BTreeMap<RequestId, PendingSettlement>,
}

/// A settlement that is sent until it is confirmed or expires.
#[derive(Debug)]
struct PendingSettlement {
    settle: Settle,
    /// When the settlement is sent next.
    next: Time,
    /// When the settlement is given up.
    until: Time,
    /// Times that the settlement was sent.
    tries: u32,
}

impl Settlements {
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.pending.values().map(|pending| pending.next).min()
    }
}

impl Instance {
    /// Sends a job's claim to the coordinator of its key's shard or to the own ledger.
    pub(crate) fn send_claim(&mut self, id: RequestId) {
        let own = self.id();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(key) = job.request.key else {
            return;
        };
        let tries = match &mut job.phase {
            Phase::Claiming(claiming) => {
                claiming.tries += 1;
                claiming.tries
            }
            // A coordinator that has just stopped does not answer. After some tries the own ledger
            // reads the record itself.
            Phase::Joining { tries, .. } => {
                *tries += 1;
                *tries
            }
            _ => 1,
        };
        let retention = job.route.retention_s;
        let claim = Claim {
            key,
            claim: id,
            owner: own,
            retention_s: u32::try_from(retention).unwrap_or(u32::MAX),
        };
        self.set_timer(id, self.now + CLAIM_RETRY_PERIOD);
        match self
            .shard_coordinator(key)
            .filter(|coordinator| *coordinator != own)
        {
            Some(coordinator) if tries <= COORDINATOR_TRIES => {
                self.send(coordinator, Body::Claim(claim));
            }
            _ => {
                let effects = self.ledger.claim(Source::Own, claim);
                self.apply_ledger_effects(effects);
            }
        }
    }

    fn shard_coordinator(&self, key: wire::Key) -> Option<InstanceId> {
        let shard = idempotency::shard_of(key, self.ledger.shards());
        self.members
            .global_coordinator(&idempotency::shard_name(shard))
    }

    pub(crate) fn on_claim(&mut self, from: InstanceId, claim: Claim) {
        let effects = self.ledger.claim(Source::Peer(from), claim);
        self.apply_ledger_effects(effects);
    }

    pub(crate) fn on_settle(&mut self, from: InstanceId, settle: Settle) {
        self.ledger.settle(Source::Peer(from), settle);
    }

    /// Carries out the effects that the ledger returns.
    pub(crate) fn apply_ledger_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Call { ticket, call } => self.call_store(CallOrigin::Ledger(ticket), call),
                Effect::Claimed {
                    source: Source::Own,
                    claim,
                    status,
                } => self.on_claimed(claim, status),
                Effect::Claimed {
                    source: Source::Peer(peer),
                    claim,
                    status,
                } => self.send(peer, Body::Claimed { claim, status }),
                Effect::Settled {
                    source: Source::Own,
                    claim,
                } => self.on_settled(claim),
                Effect::Settled {
                    source: Source::Peer(peer),
                    claim,
                } => self.send(peer, Body::Settled { claim }),
            }
        }
    }

    /// Handles the answer to a claim. An answer that arrives after the job has ended is ignored,
    /// because the job has already released the key.
    pub(crate) fn on_claimed(&mut self, id: RequestId, status: ClaimStatus) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !matches!(job.phase, Phase::Claiming(_) | Phase::Joining { .. }) {
            return;
        }
        match status {
            ClaimStatus::Fresh => {
                job.claimed = true;
                self.trace_or_place(id);
            }
            ClaimStatus::Done(answer) => {
                job.phase = Phase::Waiting;
                self.finish(id, Outcome::Recorded(answer), Reason::KeyInUse);
            }
            ClaimStatus::Taken { owner } => self.join(id, owner),
            ClaimStatus::Unknown => self.end(id, Reason::KeyUnknown, None),
            ClaimStatus::Unavailable => {
                self.end(id, Reason::NoLedger, Some(Duration::from_secs(1)));
            }
        }
    }

    /// Waits for the answer of another request with the same key.
    fn join(&mut self, id: RequestId, owner: InstanceId) {
        let alive = self.members.is_running(owner);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let was_missing = matches!(
            job.phase,
            Phase::Joining {
                owner_missing: true,
                ..
            }
        );
        if !alive && was_missing {
            // The instance that ran the other request has stopped, so its outcome can't be known.
            self.end(id, Reason::KeyUnknown, None);
            return;
        }
        job.phase = Phase::Joining {
            owner,
            owner_missing: !alive,
            tries: 0,
        };
        let pause = if alive {
            JOIN_POLL_PERIOD
        } else {
            JOIN_POLL_PERIOD * 10
        };
        self.set_timer(id, self.now + pause);
    }

    /// Settles the idempotency key of a job, and repeats the settlement until it is confirmed.
    pub(crate) fn settle(&mut self, id: RequestId, outcome: ClaimOutcome) {
        let Some(key) = self.jobs.get(&id).and_then(|job| job.request.key) else {
            return;
        };
        let pending = PendingSettlement {
            settle: Settle {
                key,
                claim: id,
                outcome,
            },
            next: self.now,
            until: self.now + SETTLE_TIMEOUT,
            tries: 0,
        };
        self.settlements.pending.insert(id, pending);
        self.tick_settlements();
    }

    pub(crate) fn on_settled(&mut self, claim: RequestId) {
        self.settlements.pending.remove(&claim);
    }

    pub(crate) fn tick_settlements(&mut self) {
        let now = self.now;
        self.settlements
            .pending
            .retain(|_, pending| pending.until > now);
        let due: Vec<RequestId> = self
            .settlements
            .pending
            .iter()
            .filter(|(_, pending)| pending.next <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.send_settlement(id);
        }
    }

    fn send_settlement(&mut self, id: RequestId) {
        let now = self.now;
        let Some(pending) = self.settlements.pending.get_mut(&id) else {
            return;
        };
        pending.next = now + SETTLE_RETRY_PERIOD;
        pending.tries += 1;
        let (settle, tries) = (pending.settle.clone(), pending.tries);
        let own = self.id();
        match self
            .shard_coordinator(settle.key)
            .filter(|coordinator| *coordinator != own)
        {
            Some(coordinator) if tries <= COORDINATOR_TRIES => {
                self.send(coordinator, Body::Settle(settle));
            }
            // The own ledger keeps a settlement until it is written, so it is passed on only once.
            _ if tries <= COORDINATOR_TRIES + 1 => self.ledger.settle(Source::Own, settle),
            _ => {}
        }
    }
}
