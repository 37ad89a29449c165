//! The evidence that outlives the instances, as one document.
//!
//! The document states the wall time at which it was written, and the age of each finding at that
//! time. The times between findings are therefore those of the writer's monotonic clock, and only
//! the document as a whole may seem too old or too new by the skew between two wall clocks.

use std::collections::BTreeSet;
use std::time::Duration;

use clock::WallTime;
use serde::Deserialize;
use serde::Serialize;
use wire::Fingerprint;
use wire::gossip::Evidence;

use crate::Finding;
use crate::Subject;
use crate::table::RECURRENT_FINDINGS_MAX;

/// Findings about the subjects under which servers have crashed repeatedly.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Findings about requests.
    pub requests: Vec<Finding>,
    /// Findings about parts of prompts.
    pub parts: Vec<Finding>,
}

#[derive(Deserialize, Serialize)]
struct Document {
    /// Unix time of the writer, in milliseconds.
    written_at_ms: u64,
    #[serde(default)]
    requests: Vec<Entry>,
    #[serde(default)]
    parts: Vec<Entry>,
}

#[derive(Deserialize, Serialize)]
struct Entry {
    subject: Subject,
    /// Age at the time of writing, in milliseconds.
    age_ms: u64,
    /// The crash that was found, or `None` if a run was sound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    crash: Option<Crash>,
}

#[derive(Deserialize, Serialize)]
struct Crash {
    server: u64,
    request: Fingerprint,
}

impl Snapshot {
    /// Returns whether the snapshot contains no findings.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.parts.is_empty()
    }

    /// Returns whether the snapshot contains each finding of another one, whatever their ages.
    pub fn covers(&self, other: &Snapshot) -> bool {
        keys(&self.requests).is_superset(&keys(&other.requests))
            && keys(&self.parts).is_superset(&keys(&other.parts))
    }

    /// Returns the snapshot as a document that is written at the given wall time.
    ///
    /// # Errors
    ///
    /// Returns an error if the document can't be encoded.
    pub fn encode(&self, wall: WallTime) -> serde_json::Result<Vec<u8>> {
        serde_json::to_vec(&Document {
            written_at_ms: millis(wall),
            requests: self.requests.iter().map(Entry::from).collect(),
            parts: self.parts.iter().map(Entry::from).collect(),
        })
    }

    /// Returns the snapshot of a document that is read at the given wall time. A document from the
    /// future counts as written just now.
    ///
    /// # Errors
    ///
    /// Returns an error if the document can't be decoded.
    pub fn decode(wall: WallTime, document: &[u8]) -> serde_json::Result<Snapshot> {
        let document: Document = serde_json::from_slice(document)?;
        let elapsed = wall.saturating_sub(Duration::from_millis(document.written_at_ms));
        let findings = |entries: Vec<Entry>| {
            let finding = |entry: Entry| entry.into_finding(elapsed);
            // What another program has written may hold any number.
            let entries = entries.into_iter().take(RECURRENT_FINDINGS_MAX);
            entries.map(finding).collect()
        };
        Ok(Snapshot {
            requests: findings(document.requests),
            parts: findings(document.parts),
        })
    }
}

impl Entry {
    fn into_finding(self, elapsed: Duration) -> Finding {
        let evidence = match self.crash {
            Some(Crash { server, request }) => Evidence::Crash { server, request },
            None => Evidence::Sound,
        };
        let age = Duration::from_millis(self.age_ms);
        Finding {
            age: age.saturating_add(elapsed),
            ..Finding::new(self.subject, evidence)
        }
    }
}

impl From<&Finding> for Entry {
    fn from(finding: &Finding) -> Entry {
        let crash = match finding.evidence {
            Evidence::Crash { server, request } => Some(Crash { server, request }),
            Evidence::Sound => None,
        };
        Entry {
            subject: finding.subject,
            age_ms: millis(finding.age),
            crash,
        }
    }
}

/// Returns what tells findings apart: the subject, and the server that crashed if one did.
fn keys(findings: &[Finding]) -> BTreeSet<(Subject, Option<u64>)> {
    let key = |finding: &Finding| match finding.evidence {
        Evidence::Crash { server, .. } => (finding.subject, Some(server)),
        Evidence::Sound => (finding.subject, None),
    };
    findings.iter().map(key).collect()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
