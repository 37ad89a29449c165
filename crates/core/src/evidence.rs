//! The record of evidence against requests and parts of prompts in the platform's store.
//!
//! Each instance judges the evidence that it has in memory, and tells the others of what it finds. The
//! record is for the time when no instance is left to be told by: it holds the findings about what has
//! crashed servers repeatedly. An instance reads it before it runs anything, and writes it when it
//! finds something that the record lacks. It merges what others have written first, and replaces the
//! record only if that is unchanged since.
//!
//! While the store can't be read, requests wait for [`READ_WAIT_MAX`] and then run: the store may be
//! away for long, and running instances tell a new one of all bars within seconds.

use std::time::Duration;

use clock::Time;
use store::Answer;
use store::Call;
use store::Revision;
use suspect::Finding;
use suspect::Snapshot;
use wire::RequestId;
use wire::server_list::Era;

use crate::instance::CallOrigin;
use crate::instance::Instance;
use crate::job::Phase;

/// Key of the record.
const KEY: &str = "suspects";
/// Rendezvous key of the instances that write the record for others.
const KEEPER_KEY: &str = "suspects";
/// Number of these in each data centre.
const KEEPERS: usize = 1;
/// Longest time that a call waits to be sent, or a read to be repeated.
pub(crate) const CALL_QUEUE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time for which requests wait for the record, from when they could be served.
const READ_WAIT_MAX: Duration = Duration::from_millis(600);
/// Minimum time between two updates of the record by an instance.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a keeper checks that what another instance has found is in the record.
const KEEPER_DELAY: Duration = Duration::from_millis(1_000);
/// Longest pause after the first failed update, or after one that met another instance's. It doubles
/// with each further failure.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Limit of that pause.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(4);

/// A store call that is made for the record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EvidenceCall {
    /// Reads the record.
    Read,
    /// Replaces the record.
    Write,
}

/// State of reading and writing the record.
#[derive(Debug, Default)]
pub(crate) struct EvidenceRecord {
    /// Whether the record was read since the start.
    is_read: bool,
    /// When requests cease to wait for the record, or `None` while none can be served.
    wait_until: Option<Time>,
    /// When the record is to be read and brought up to date, or `None` if nothing is to be done.
    due: Option<Time>,
    /// Time before which no update begins.
    not_before: Time,
    /// Whether a call is under way.
    is_calling: bool,
    /// Consecutive updates that failed.
    failures: u32,
    /// The newest known era of the store.
    era: Era,
}

impl EvidenceRecord {
    /// Returns the state of an instance that has not read the record yet.
    pub(crate) fn new() -> EvidenceRecord {
        EvidenceRecord {
            due: Some(Time::ZERO),
            ..EvidenceRecord::default()
        }
    }

    /// Records that a configuration has come into force, so that requests could be served.
    pub(crate) fn on_config_in_force(&mut self, now: Time) {
        self.wait_until.get_or_insert(now + READ_WAIT_MAX);
    }

    /// Returns until when requests have to wait for the record, or `None` if they need not.
    pub(crate) fn awaited_until(&self, now: Time) -> Option<Time> {
        let until = self.wait_until.filter(|_| !self.is_read);
        until.filter(|until| now < *until)
    }

    pub(crate) fn next_wake(&self, now: Time) -> Option<Time> {
        let update = self.due.filter(|_| !self.is_calling);
        [update, self.awaited_until(now)]
            .into_iter()
            .flatten()
            .min()
    }

    /// Plans an update of the record, unless an earlier one is planned.
    fn plan(&mut self, at: Time) {
        let at = at.max(self.not_before);
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }
}

impl Instance {
    /// Begins an update of the record if one is due.
    pub(crate) fn tick_evidence(&mut self) {
        let era = self.store_era();
        if era > self.evidence.era {
            self.evidence.era = era;
            self.restore_evidence();
        }
        let is_due = self.evidence.due.is_some_and(|due| due <= self.now);
        if !is_due || self.evidence.is_calling {
            return;
        }
        self.evidence.due = None;
        self.evidence.not_before = self.now + UPDATE_INTERVAL;
        self.call_for_evidence(EvidenceCall::Read, Call::Get { key: KEY.into() });
    }

    /// Has a keeper write again what a restored store may have lost.
    fn restore_evidence(&mut self) {
        if self.is_evidence_keeper() && !self.recurrent_evidence().is_empty() {
            self.evidence.plan(self.now);
        }
    }

    /// Plans an update of the record for findings that were news, if it is to hold them. Those of other
    /// instances are left to them at first.
    pub(crate) fn on_evidence_found(&mut self, is_recurrent: bool, is_own: bool) {
        if !is_recurrent {
            return;
        }
        if is_own {
            self.evidence.plan(self.now);
        } else if self.is_evidence_keeper() {
            self.evidence.plan(self.now + KEEPER_DELAY);
        }
    }

    fn is_evidence_keeper(&self) -> bool {
        self.members.is_top_ranked(KEEPER_KEY, KEEPERS)
    }

    fn recurrent_evidence(&self) -> Snapshot {
        Snapshot {
            requests: self.recurrent_requests(),
            parts: self.recurrent_parts(),
        }
    }

    fn call_for_evidence(&mut self, kind: EvidenceCall, call: Call) {
        self.evidence.is_calling = true;
        self.call_store(CallOrigin::Evidence(kind), call);
    }

    pub(crate) fn on_evidence_answer(&mut self, kind: EvidenceCall, answer: Answer) {
        self.evidence.is_calling = false;
        match (kind, answer) {
            (EvidenceCall::Read, Answer::Value { revision, value }) => {
                self.on_evidence_read(revision, &value);
            }
            (EvidenceCall::Write, Answer::Swapped { revision }) => {
                self.evidence.failures = 0;
                let text = format!("Evidence recorded in the store at revision {revision}.");
                self.log("suspect", false, text);
            }
            (kind, answer) => self.on_evidence_failure(kind, &answer),
        }
    }

    /// Plans another update after one that failed, or that met another instance's.
    fn on_evidence_failure(&mut self, kind: EvidenceCall, answer: &Answer) {
        let doublings = self.evidence.failures.min(8);
        let pause = (RETRY_PAUSE * 2u32.pow(doublings)).min(RETRY_PAUSE_MAX);
        let pause = pause.mul_f64(0.5 + self.rng.f64() / 2.0);
        if self.evidence.failures == 0 {
            let reason = match answer {
                Answer::Conflict { .. } => "another instance has written it",
                Answer::Unknown => "the answer is lost",
                _ => "the store is not reached",
            };
            let text = format!(
                "Evidence in the store: {kind:?} failed, {reason}; next in {} ms.",
                pause.as_millis()
            );
            self.log("suspect", true, text);
        }
        self.evidence.failures += 1;
        self.evidence.due = Some(self.now + pause);
    }

    /// Merges the record, lets the requests go on that have waited for it, and writes it anew if this
    /// instance knows more.
    fn on_evidence_read(&mut self, revision: Revision, document: &[u8]) {
        let stored = self.decode_evidence(revision, document);
        self.merge_recorded_requests(&stored.requests);
        self.merge_recorded_parts(&stored.parts);
        if !self.evidence.is_read {
            self.evidence.is_read = true;
            let text = format!(
                "Evidence read from the store at revision {revision}: {} findings about requests, {} \
                 about parts of prompts.",
                stored.requests.len(),
                stored.parts.len()
            );
            self.log("suspect", false, text);
            self.admit_held();
        }
        let own = self.recurrent_evidence();
        if stored.covers(&own) {
            self.evidence.failures = 0;
            return;
        }
        match own.encode(self.wall) {
            Ok(value) => {
                let call = Call::CompareAndSwap {
                    key: KEY.into(),
                    expect: revision,
                    value,
                    ttl_ms: 0,
                };
                self.call_for_evidence(EvidenceCall::Write, call);
            }
            Err(error) => {
                let text = format!("The evidence can't be encoded: {error}.");
                self.log("suspect", true, text);
            }
        }
    }

    /// Decodes the record. One that can't be read counts as empty.
    fn decode_evidence(&mut self, revision: Revision, document: &[u8]) -> Snapshot {
        if document.is_empty() {
            return Snapshot::default();
        }
        Snapshot::decode(self.wall, document).unwrap_or_else(|error| {
            let text = format!("The evidence at revision {revision} can't be decoded: {error}.");
            self.log("suspect", true, text);
            Snapshot::default()
        })
    }

    /// Makes a request wait for the record if it has not been read yet. Returns whether it waits.
    pub(crate) fn waits_for_evidence(&mut self, id: RequestId) -> bool {
        let Some(until) = self.evidence.awaited_until(self.now) else {
            return false;
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.phase = Phase::Held;
        }
        self.set_timer(id, until);
        true
    }

    /// Admits the requests that have waited for the record.
    fn admit_held(&mut self) {
        let held: Vec<RequestId> = self
            .jobs
            .values()
            .filter(|job| job.phase == Phase::Held)
            .map(|job| job.request.id)
            .collect();
        for id in held {
            self.admit(id);
        }
    }
}

/// Returns whether any of the findings is about a recurrent subject of a table.
pub(crate) fn is_any_recurrent(table: &suspect::Table, findings: &[Finding]) -> bool {
    let is_recurrent = |finding: &Finding| table.is_recurrent(finding.subject);
    findings.iter().any(is_recurrent)
}
