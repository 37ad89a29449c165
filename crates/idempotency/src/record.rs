//! The stored form of a shard: its claimed keys and their outcomes.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::WallTime;
use serde::Deserialize;
use serde::Serialize;
use wire::InstanceId;
use wire::Key;
use wire::RequestId;
use wire::ledger::Answer;
use wire::ledger::ClaimStatus;
use wire::ledger::Outcome;

/// Largest encoded record, in bytes. The store accepts values of up to one megabyte.
const RECORD_BYTES_MAX: usize = 900_000;
/// Extra time for which a key is kept after its retention, to tolerate skewed wall clocks.
const CLOCK_SKEW_ALLOWANCE: Duration = Duration::from_secs(30);

/// The claimed keys of one shard, as stored.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Record {
    entries: BTreeMap<Key, Entry>,
}

/// The claim on one key and its outcome. The key expires at `expires_at_s`, in seconds since the
/// Unix epoch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Entry {
    claim: RequestId,
    owner: InstanceId,
    state: State,
    expires_at_s: u64,
    retention_s: u32,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum State {
    Running,
    Done(Answer),
    Unknown,
}

impl Record {
    /// Decodes a record from a value of the store. An empty value decodes to an empty record.
    ///
    /// # Errors
    ///
    /// If the value cannot be decoded. No key of the shard may be claimed then, since existing
    /// claims cannot be read.
    pub fn from_bytes(bytes: &[u8]) -> Result<Record, postcard::Error> {
        if bytes.is_empty() {
            return Ok(Record::default());
        }
        postcard::from_bytes(bytes)
    }

    /// Encodes the record for the store. The bodies of recorded answers are left out if the record
    /// would be too large with them. Returns `None` if it is too large even without them.
    ///
    /// # Panics
    ///
    /// Never: every record can be encoded.
    pub fn to_bytes(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_stdvec(self).expect("postcard encodes every record");
        if bytes.len() <= RECORD_BYTES_MAX {
            return Some(bytes);
        }
        let mut without_bodies = self.clone();
        for entry in without_bodies.entries.values_mut() {
            if let State::Done(answer) = &mut entry.state {
                answer.body = None;
            }
        }
        let bytes = postcard::to_stdvec(&without_bodies).expect("postcard encodes every record");
        (bytes.len() <= RECORD_BYTES_MAX).then_some(bytes)
    }

    /// Returns the number of claimed keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the status of the request `claim` with respect to a key, or `None` if the key is
    /// free.
    pub fn status(&self, key: Key, claim: RequestId) -> Option<ClaimStatus> {
        let entry = self.entries.get(&key)?;
        Some(match &entry.state {
            State::Done(answer) => ClaimStatus::Done(answer.clone()),
            State::Unknown => ClaimStatus::Unknown,
            State::Running if entry.claim == claim => ClaimStatus::Fresh,
            State::Running => ClaimStatus::Taken { owner: entry.owner },
        })
    }

    /// Claims a key. Leaves the record unchanged if the key is already claimed.
    pub fn claim(&mut self, claim: &wire::ledger::Claim, wall: WallTime) {
        let entry = Entry {
            claim: claim.claim,
            owner: claim.owner,
            state: State::Running,
            expires_at_s: wall.as_secs() + u64::from(claim.retention_s),
            retention_s: claim.retention_s,
        };
        self.entries.entry(claim.key).or_insert(entry);
    }

    /// Records the outcome of the request that claimed a key. Returns whether the record changed.
    pub fn settle(
        &mut self,
        key: Key,
        claim: RequestId,
        outcome: &Outcome,
        wall: WallTime,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&key).filter(|e| e.claim == claim) else {
            return false;
        };
        if entry.state != State::Running {
            return false;
        }
        // The retention starts at the end of the request: the caller may have waited until then and
        // may retry afterwards.
        entry.expires_at_s = wall.as_secs() + u64::from(entry.retention_s);
        match outcome {
            Outcome::Done(answer) => entry.state = State::Done(answer.clone()),
            Outcome::Unknown => entry.state = State::Unknown,
            Outcome::Released => {
                self.entries.remove(&key);
            }
        }
        true
    }

    /// Removes the keys whose retention has passed.
    pub fn prune(&mut self, wall: WallTime) {
        let now_s = wall.saturating_sub(CLOCK_SKEW_ALLOWANCE).as_secs();
        self.entries.retain(|_, entry| entry.expires_at_s >= now_s);
    }
}
