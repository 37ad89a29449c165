//! The platform's key-value service, with fault injection, and its list of instances and servers.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use store::Answer;
use store::Call;
use store::Key;
use store::Revision;

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Entry of the platform's list: an instance or a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListEntry {
    /// Name of the instance or server.
    pub name: CompactString,
    /// `instance` or `server`.
    pub kind: CompactString,
    /// Name of the data centre.
    pub data_centre: CompactString,
    /// Label of a backend server; empty for instances.
    #[serde(default)]
    pub label: CompactString,
    /// Address that receives frames (instances) or requests (servers).
    pub address: std::net::SocketAddr,
    /// Whether the instance or server is about to shut down.
    #[serde(default)]
    pub leaving: bool,
    /// Whether the shutdown comes at such short notice that long answers can't complete.
    #[serde(default)]
    pub reclaimed: bool,
}

/// Injected faults of the key-value service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Whether the service is down. Calls fail and have no effect.
    pub down: bool,
    /// Delay added to each answer.
    pub answer_delay: Duration,
    /// Share of writes, from 0 to 1, that take effect but whose answer is lost.
    pub lost_answers: f64,
}

/// Counters of the calls to the key-value service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Reads, and watches that ended.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Swaps refused because the key was at another revision.
    pub conflicts: u64,
    /// Size of the largest value written, in bytes.
    pub max_value_bytes: usize,
}

/// The simulated platform.
#[derive(Debug, Default)]
pub struct Platform {
    values: BTreeMap<Key, StoredValue>,
    revision: Revision,
    /// Faults in effect.
    pub faults: Faults,
    /// Counters of the calls so far.
    pub counts: Counts,
    list: Vec<ListEntry>,
}

#[derive(Clone, Debug)]
struct StoredValue {
    revision: Revision,
    value: Vec<u8>,
    expires_at: Option<Duration>,
}

impl Platform {
    /// Returns the list.
    pub fn list(&self) -> &[ListEntry] {
        &self.list
    }

    /// Replaces the list.
    pub fn set_list(&mut self, list: Vec<ListEntry>) {
        self.list = list;
    }

    /// Returns the current revision of a key, or zero if it has no value.
    pub fn revision(&mut self, now: Duration, key: &str) -> Revision {
        self.remove_expired(now);
        self.values.get(key).map_or(0, |stored| stored.revision)
    }

    /// Executes a call. A watch does not wait: while the key is unchanged it returns
    /// [`Answer::Unchanged`], and the server of the call must repeat it.
    pub fn call(&mut self, now: Duration, call: &Call) -> Answer {
        self.remove_expired(now);
        match call {
            Call::Get { key } => {
                self.counts.reads += 1;
                let (revision, value) = self.current_value(key);
                Answer::Value { revision, value }
            }
            Call::Watch { key, after } => {
                self.counts.reads += 1;
                let (revision, value) = self.current_value(key);
                if revision > *after {
                    Answer::Value { revision, value }
                } else {
                    Answer::Unchanged
                }
            }
            Call::CompareAndSwap {
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
        let (revision, current) = self.current_value(key);
        if revision != expect {
            self.counts.conflicts += 1;
            return Answer::Conflict {
                revision,
                value: current,
            };
        }
        if value.len() > MAX_VALUE_BYTES {
            return Answer::Unreachable;
        }
        self.counts.max_value_bytes = self.counts.max_value_bytes.max(value.len());
        self.revision += 1;
        let expires_at = (ttl_ms > 0).then(|| now + Duration::from_millis(ttl_ms));
        let stored = StoredValue {
            revision: self.revision,
            value: value.to_vec(),
            expires_at,
        };
        self.values.insert(key.clone(), stored);
        Answer::Swapped {
            revision: self.revision,
        }
    }

    fn delete(&mut self, key: &Key, expect: Revision) -> Answer {
        self.counts.writes += 1;
        let (revision, value) = self.current_value(key);
        if revision != expect {
            return Answer::Conflict { revision, value };
        }
        self.values.remove(key);
        Answer::Swapped { revision: 0 }
    }

    fn current_value(&self, key: &Key) -> (Revision, Vec<u8>) {
        self.values
            .get(key)
            .map(|stored| (stored.revision, stored.value.clone()))
            .unwrap_or_default()
    }

    fn remove_expired(&mut self, now: Duration) {
        self.values
            .retain(|_, stored| stored.expires_at.is_none_or(|expires_at| now < expires_at));
    }
}
