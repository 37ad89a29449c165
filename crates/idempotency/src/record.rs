//! What stands in the store.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Wall;
use serde::Deserialize;
use serde::Serialize;
use wire::InstanceId;
use wire::Key;
use wire::RequestId;
use wire::ledger::Answer;
use wire::ledger::ClaimStatus;
use wire::ledger::Outcome;

/// Greatest coded size of a record. The service holds values up to a megabyte.
const RECORD_BYTES: usize = 900_000;
/// Time past its retention for which a key is kept, for wall clocks that disagree.
const SKEW: Duration = Duration::from_secs(30);

/// All keys of one shard.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Record {
    entries: BTreeMap<Key, Entry>,
}

/// One claimed key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Entry {
    claim: RequestId,
    owner: InstanceId,
    state: State,
    until_s: u64,
    retention_s: u32,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum State {
    Running,
    Done(Answer),
    Unknown,
}

impl Record {
    /// Returns the record in a value of the store, or an empty one where there is no value.
    ///
    /// # Errors
    ///
    /// If the value is no record. Nothing may be claimed then: what stands there is not understood.
    pub fn from_bytes(bytes: &[u8]) -> Result<Record, postcard::Error> {
        if bytes.is_empty() {
            return Ok(Record::default());
        }
        postcard::from_bytes(bytes)
    }

    /// Returns the value for the store, without recorded answers where it would be too large, or
    /// `None` if it is too large even so.
    ///
    /// # Panics
    ///
    /// Never: a record can always be coded.
    pub fn to_bytes(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_stdvec(self).expect("a record can be coded");
        if bytes.len() <= RECORD_BYTES {
            return Some(bytes);
        }
        let mut bare = self.clone();
        for entry in bare.entries.values_mut() {
            if let State::Done(answer) = &mut entry.state {
                answer.body = None;
            }
        }
        let bytes = postcard::to_stdvec(&bare).expect("a record can be coded");
        (bytes.len() <= RECORD_BYTES).then_some(bytes)
    }

    /// Returns how many keys are claimed.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns what a claim finds, or `None` if the key is free.
    pub fn status(&self, key: Key, claim: RequestId) -> Option<ClaimStatus> {
        let entry = self.entries.get(&key)?;
        Some(match &entry.state {
            State::Done(answer) => ClaimStatus::Done(answer.clone()),
            State::Unknown => ClaimStatus::Unknown,
            State::Running if entry.claim == claim => ClaimStatus::Fresh,
            State::Running => ClaimStatus::Taken { owner: entry.owner },
        })
    }

    /// Claims a free key.
    pub fn claim(&mut self, claim: &wire::ledger::Claim, wall: Wall) {
        let entry = Entry {
            claim: claim.claim,
            owner: claim.owner,
            state: State::Running,
            until_s: wall.as_secs() + u64::from(claim.retention_s),
            retention_s: claim.retention_s,
        };
        self.entries.entry(claim.key).or_insert(entry);
    }

    /// Records how a claimed request ended. Returns whether that changes anything.
    pub fn settle(&mut self, key: Key, claim: RequestId, outcome: &Outcome, wall: Wall) -> bool {
        let Some(entry) = self.entries.get_mut(&key).filter(|e| e.claim == claim) else {
            return false;
        };
        if entry.state != State::Running {
            return false;
        }
        // The retention counts from the end, since a caller may still wait and send again then.
        entry.until_s = wall.as_secs() + u64::from(entry.retention_s);
        match outcome {
            Outcome::Done(answer) => entry.state = State::Done(answer.clone()),
            Outcome::Unknown => entry.state = State::Unknown,
            Outcome::Released => {
                self.entries.remove(&key);
            }
        }
        true
    }

    /// Drops the keys whose retention has passed.
    pub fn prune(&mut self, wall: Wall) {
        let now_s = wall.saturating_sub(SKEW).as_secs();
        self.entries.retain(|_, entry| entry.until_s >= now_s);
    }
}
