//! The records of an instance: where each stream began.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use clock::Time;
use wire::StreamId;
use wire::origin::Origin;

/// Lifetime of a record, which is longer than a caller continues a stream.
pub const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of records that a table keeps.
pub const RECORDS_MAX: usize = 65_536;

/// Outcome of recording the origin of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The stream had no record. It has one now.
    Recorded,
    /// The stream has a record of the same origin.
    Known,
    /// The stream has a record of another origin, which is kept.
    Conflicting,
}

/// Origins of streams known to one instance.
#[derive(Debug, Default)]
pub struct Table {
    records: BTreeMap<StreamId, Record>,
    /// The streams with a record, oldest record first.
    by_age: VecDeque<StreamId>,
}

#[derive(Debug)]
struct Record {
    origin: Origin,
    begun_at: Time,
}

impl Record {
    fn is_expired(&self, now: Time) -> bool {
        now.saturating_sub(self.begun_at) >= RETENTION
    }
}

impl Table {
    /// Returns an empty table.
    pub fn new() -> Table {
        Table::default()
    }

    /// Records where a stream began, unless the stream has a record. A full table drops its oldest
    /// record.
    pub fn record(&mut self, now: Time, stream: StreamId, origin: &Origin) -> Outcome {
        self.drop_expired(now);
        if let Some(known) = self.records.get(&stream) {
            return if known.origin == *origin {
                Outcome::Known
            } else {
                Outcome::Conflicting
            };
        }
        if self.records.len() >= RECORDS_MAX {
            self.drop_oldest();
        }
        let record = Record {
            origin: origin.clone(),
            begun_at: now,
        };
        self.records.insert(stream, record);
        self.by_age.push_back(stream);
        Outcome::Recorded
    }

    /// Returns where a stream began, or `None` without an unexpired record.
    pub fn find(&self, now: Time, stream: StreamId) -> Option<&Origin> {
        self.records
            .get(&stream)
            .filter(|record| !record.is_expired(now))
            .map(|record| &record.origin)
    }

    /// Returns the number of records, including expired ones that are not dropped yet.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn drop_expired(&mut self, now: Time) {
        while let Some(oldest) = self.by_age.front()
            && self.records[oldest].is_expired(now)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.by_age.pop_front() {
            self.records.remove(&oldest);
        }
    }
}
