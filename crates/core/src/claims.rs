//! Idempotency keys.

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
use wire::ledger::Outcome as Ending;
use wire::ledger::Settle;

use crate::instance::Instance;
use crate::instance::Owner;
use crate::job::Phase;
use crate::outcome::Outcome;
use crate::outcome::Reason;

/// Longest wait of the ledger's calls for their turn.
pub(crate) const STORE_PATIENCE: Duration = Duration::from_millis(1_500);
/// Time after which an unanswered claim is sent again.
const CLAIM_RETRY: Duration = Duration::from_millis(250);
/// Times that the coordinator of a shard is asked before an instance claims by itself.
const COORDINATOR_TRIES: u32 = 2;
/// Time after which a key that is in use is asked for again.
const JOIN_PERIOD: Duration = Duration::from_millis(200);
/// Time after which an unconfirmed ending is sent again.
const ENDING_RETRY: Duration = Duration::from_millis(400);
/// Time for which an ending is tried to be recorded. After that its key stays as it is, which is
/// told as unknown.
const ENDING_TIME: Duration = Duration::from_secs(600);

/// Endings of claimed requests that are not recorded yet.
#[derive(Debug, Default)]
pub(crate) struct Endings {
    open: BTreeMap<RequestId, Open>,
}

#[derive(Debug)]
struct Open {
    settle: Settle,
    next: Time,
    until: Time,
    tries: u32,
}

impl Endings {
    pub(crate) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.open.values().map(|open| open.next).min()
    }
}

impl Instance {
    /// Claims a job's key, or claims it once more.
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
            // A coordinator that has just gone does not answer; the ledger here can read for itself.
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
        self.set_due(id, self.now + CLAIM_RETRY);
        match self
            .shard_coordinator(key)
            .filter(|coordinator| *coordinator != own)
        {
            Some(coordinator) if tries <= COORDINATOR_TRIES => {
                self.send(coordinator, Body::Claim(claim));
            }
            _ => {
                let effects = self.ledger.claim(Source::Own, claim);
                self.carry_out(effects);
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
        self.carry_out(effects);
    }

    pub(crate) fn on_settle(&mut self, from: InstanceId, settle: Settle) {
        self.ledger.settle(Source::Peer(from), settle);
    }

    /// Carries out what the ledger wants.
    pub(crate) fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Call { ticket, call } => self.call_store(Owner::Ledger(ticket), call),
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

    /// Takes the answer to a claim. One that comes after its job has ended changes nothing: the job
    /// has released the key.
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
                self.seek(id);
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
        let missed_before = matches!(job.phase, Phase::Joining { missed: true, .. });
        if !alive && missed_before {
            // The instance that ran it is gone, and with it the knowledge of how it ended.
            self.end(id, Reason::KeyUnknown, None);
            return;
        }
        job.phase = Phase::Joining {
            owner,
            missed: !alive,
            tries: 0,
        };
        let pause = if alive { JOIN_PERIOD } else { JOIN_PERIOD * 10 };
        self.set_due(id, self.now + pause);
    }

    /// Records how a claimed request ended.
    pub(crate) fn settle(&mut self, id: RequestId, outcome: Ending) {
        let Some(key) = self.jobs.get(&id).and_then(|job| job.request.key) else {
            return;
        };
        let open = Open {
            settle: Settle {
                key,
                claim: id,
                outcome,
            },
            next: self.now,
            until: self.now + ENDING_TIME,
            tries: 0,
        };
        self.endings.open.insert(id, open);
        self.tick_endings();
    }

    pub(crate) fn on_settled(&mut self, claim: RequestId) {
        self.endings.open.remove(&claim);
    }

    pub(crate) fn tick_endings(&mut self) {
        let now = self.now;
        self.endings.open.retain(|_, open| open.until > now);
        let due: Vec<RequestId> = self
            .endings
            .open
            .iter()
            .filter(|(_, open)| open.next <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.send_ending(id);
        }
    }

    fn send_ending(&mut self, id: RequestId) {
        let now = self.now;
        let Some(open) = self.endings.open.get_mut(&id) else {
            return;
        };
        open.next = now + ENDING_RETRY;
        open.tries += 1;
        let (settle, tries) = (open.settle.clone(), open.tries);
        let own = self.id();
        match self
            .shard_coordinator(settle.key)
            .filter(|coordinator| *coordinator != own)
        {
            Some(coordinator) if tries <= COORDINATOR_TRIES => {
                self.send(coordinator, Body::Settle(settle));
            }
            // The ledger keeps an ending until it is written.
            _ if tries <= COORDINATOR_TRIES + 1 => self.ledger.settle(Source::Own, settle),
            _ => {}
        }
    }
}
