//! The key-value service with faults, and the list.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use store::Answer;
use store::Call;
use store::Key;
use store::Revision;

/// Greatest value, in bytes.
const VALUE_BYTES: usize = 1_000_000;

/// One line of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Name.
    pub name: CompactString,
    /// `instance` or `server`.
    pub kind: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Label of a backend server; empty for instances.
    #[serde(default)]
    pub label: CompactString,
    /// Address for frames, or for requests.
    pub address: std::net::SocketAddr,
    /// Whether it is about to go.
    #[serde(default)]
    pub leaving: bool,
    /// Whether it goes at short notice.
    #[serde(default)]
    pub reclaimed: bool,
}

/// Faults of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// No call is answered or has an effect.
    pub down: bool,
    /// Delay of every answer.
    pub slow: Duration,
    /// Share of the writes whose answer is lost after they took effect.
    pub lost_answers: f64,
}

/// Calls that the service took.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Reads and ends of waits.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Writes that conflicted.
    pub conflicts: u64,
    /// Greatest size of a value written.
    pub greatest: usize,
}

/// The platform.
#[derive(Debug, Default)]
pub struct Platform {
    values: BTreeMap<Key, Stored>,
    revision: Revision,
    /// Its faults at this moment.
    pub faults: Faults,
    /// What it has answered.
    pub counts: Counts,
    list: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Stored {
    revision: Revision,
    value: Vec<u8>,
    expires: Option<Duration>,
}

impl Platform {
    /// Returns the list.
    pub fn list(&self) -> &[Entry] {
        &self.list
    }

    /// Replaces the list.
    pub fn set_list(&mut self, list: Vec<Entry>) {
        self.list = list;
    }

    /// Returns where a key stands.
    pub fn revision(&mut self, now: Duration, key: &str) -> Revision {
        self.expire(now);
        self.values.get(key).map_or(0, |stored| stored.revision)
    }

    /// Carries out a call. A wait is answered with what stands now; whoever serves it waits.
    pub fn call(&mut self, now: Duration, call: &Call) -> Answer {
        self.expire(now);
        match call {
            Call::Get { key } => {
                self.counts.reads += 1;
                let (revision, value) = self.at(key);
                Answer::Value { revision, value }
            }
            Call::Watch { key, after } => {
                self.counts.reads += 1;
                let (revision, value) = self.at(key);
                if revision > *after {
                    Answer::Value { revision, value }
                } else {
                    Answer::Nothing
                }
            }
            Call::Swap {
                key,
                expect,
                value,
                ttl_ms,
            } => self.swap(now, key, *expect, value, *ttl_ms),
            Call::Delete { key, expect } => self.delete(key, *expect),
        }
    }

    fn swap(
        &mut self,
        now: Duration,
        key: &Key,
        expect: Revision,
        value: &[u8],
        ttl_ms: u64,
    ) -> Answer {
        self.counts.writes += 1;
        let (revision, found) = self.at(key);
        if revision != expect {
            self.counts.conflicts += 1;
            return Answer::Conflict {
                revision,
                value: found,
            };
        }
        if value.len() > VALUE_BYTES {
            return Answer::Unreachable;
        }
        self.counts.greatest = self.counts.greatest.max(value.len());
        self.revision += 1;
        let expires = (ttl_ms > 0).then(|| now + Duration::from_millis(ttl_ms));
        let stored = Stored {
            revision: self.revision,
            value: value.to_vec(),
            expires,
        };
        self.values.insert(key.clone(), stored);
        Answer::Swapped {
            revision: self.revision,
        }
    }

    fn delete(&mut self, key: &Key, expect: Revision) -> Answer {
        self.counts.writes += 1;
        let (revision, value) = self.at(key);
        if revision != expect {
            return Answer::Conflict { revision, value };
        }
        self.values.remove(key);
        Answer::Swapped { revision: 0 }
    }

    fn at(&self, key: &Key) -> (Revision, Vec<u8>) {
        self.values
            .get(key)
            .map(|stored| (stored.revision, stored.value.clone()))
            .unwrap_or_default()
    }

    fn expire(&mut self, now: Duration) {
        self.values
            .retain(|_, stored| stored.expires.is_none_or(|at| now < at));
    }
}
