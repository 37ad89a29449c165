//! Requests that crash the backend servers that run them.
//!
//! The evidence and the verdict are in [`suspect::Table`]. This module records the evidence of the
//! own attempts, exchanges it with the other instances, and keeps barred requests from running. A
//! request under which enough servers have crashed to bar it, but all of them together, runs on trial
//! at one instance at a time while its other copies wait, and so does one whose bar has ended.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use suspect::Change;
use suspect::Finding;
use suspect::REQUESTS;
use suspect::Rule;
use suspect::Status;
use suspect::Table;
use wire::Body;
use wire::Fingerprint;
use wire::RequestId;
use wire::gossip::Evidence;
use wire::gossip::RequestFinding;
use wire::gossip::Strike;

use crate::evidence;
use crate::instance::Instance;
use crate::job::Phase;
use crate::job::Running;
use crate::message::Request;
use crate::outcome::Reason;
use crate::parts;

/// Longest pause before a trial begins. The pauses are drawn at random, so that copies of a request
/// that arrive together do not all begin one.
const TRIAL_PAUSE_MAX: Duration = Duration::from_millis(100);
/// Time after which a trial without a result is replaced by another one.
const TRIAL_TIME: Duration = Duration::from_secs(3);
/// Time between two checks of a request that waits for a trial.
const TRIAL_POLL: Duration = Duration::from_millis(40);
/// Longest time for which a request waits for a trial.
const TRIAL_WAIT_MAX: Duration = Duration::from_secs(2);
/// Retry-after of a request that has waited that long.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time for which a suspected request waits for a server that runs no other one.
pub(crate) const ISOLATION_TIME: Duration = Duration::from_secs(2);
/// Time by which the age of a strike may be too short: strikes state it in whole seconds.
const STRIKE_PRECISION: Duration = Duration::from_millis(1_500);

/// The requests that are suspected, and their trials.
#[derive(Debug)]
pub(crate) struct SuspectRequests {
    table: Table,
    trials: BTreeMap<Fingerprint, Trial>,
}

/// A trial of a request.
#[derive(Debug)]
struct Trial {
    /// The request, if it runs at this instance.
    request: Option<RequestId>,
    started_at: Time,
}

impl SuspectRequests {
    /// Returns an empty state that bars a request after the crashes of a number of servers.
    pub(crate) fn new(servers_min: usize) -> SuspectRequests {
        SuspectRequests {
            table: Table::new(Rule {
                servers_min,
                ..REQUESTS
            }),
            trials: BTreeMap::new(),
        }
    }

    fn crash_count(&self, now: Time, request: Fingerprint) -> usize {
        self.table.crashes(now, request).len()
    }

    /// Returns the fingerprints of a request of which one run only may be made at a time.
    fn on_trial(&self, now: Time, request: &Request) -> Vec<Fingerprint> {
        let is_on_trial =
            |fingerprint: &Fingerprint| self.table.status(now, *fingerprint) == Status::OnTrial;
        let servers_min = self.table.rule().servers_min;
        let is_accused = self.crash_count(now, request.fingerprint) >= servers_min;
        fingerprints(request)
            .into_iter()
            .filter(|fingerprint| {
                is_on_trial(fingerprint) || (is_accused && *fingerprint == request.fingerprint)
            })
            .collect()
    }
}

/// Returns the fingerprint of a request, and that of what it shares with others if that differs.
fn fingerprints(request: &Request) -> Vec<Fingerprint> {
    let mut all = vec![request.fingerprint, request.group];
    all.dedup();
    all
}

impl Instance {
    /// Returns whether servers have crashed under a request since it last ran soundly. Such a request
    /// runs apart from others like it for a time, so that a further crash tells them apart.
    pub(crate) fn is_suspect(&self, request: &Request) -> bool {
        self.suspects.crash_count(self.now, request.fingerprint) > 0
    }

    /// Returns whether a reservation is to be for a server that runs no other suspected request.
    pub(crate) fn wants_isolation(&self, id: RequestId) -> bool {
        let job = &self.jobs[&id];
        self.is_suspect(&job.request) && self.now.saturating_sub(job.placing_since) < ISOLATION_TIME
    }

    /// Records that a server crashed while a request was running there in its opening, and reports it
    /// to all instances.
    pub(crate) fn record_request_crash(&mut self, request: &Request, server: u64) {
        let findings: Vec<Finding> = fingerprints(request)
            .into_iter()
            .map(|subject| {
                let request = request.fingerprint;
                Finding::new(subject, Evidence::Crash { server, request })
            })
            .collect();
        let was_barred = self.bar_of(request).is_some();
        let news = self.merge_request_findings(&findings);
        self.on_request_evidence(&news, true);
        self.broadcast_request_findings(&findings);
        if self.bar_of(request).is_some() && !was_barred {
            self.broadcast_strikes(request);
        }
    }

    /// Sends the crashes under a barred request to all instances as strikes, for those of an earlier
    /// build, which count them by what the request shares with others. If any of these others is known
    /// to be sound, nothing is sent: such a build would bar them as well.
    fn broadcast_strikes(&mut self, request: &Request) {
        let table = &self.suspects.table;
        if table.was_sound(request.group) {
            return;
        }
        let crashes = table.crashes(self.now, request.group);
        let strikes: Vec<Strike> = crashes
            .into_iter()
            .take(wire::gossip::STRIKES_MAX)
            .map(|(server, age)| Strike {
                fingerprint: request.group,
                server,
                age_s: u32::try_from(age.as_secs()).unwrap_or(u32::MAX),
            })
            .collect();
        self.broadcast(&Body::Strikes { strikes });
    }

    /// Records that a run of a request got past its opening. If that refutes crashes, it is reported
    /// to all instances, through one of them for each fingerprint.
    pub(crate) fn record_request_sound(&mut self, request: &Request) {
        for subject in fingerprints(request) {
            let finding = Finding::new(subject, Evidence::Sound);
            let news = self.merge_request_findings(&[finding]);
            if news.is_empty() {
                continue;
            }
            self.on_request_evidence(&news, true);
            match self.reporter_of(subject) {
                Some(reporter) if reporter != self.id() => {
                    let findings = vec![RequestFinding::from(&finding)];
                    self.send(reporter, Body::RequestFindings { findings });
                }
                _ => self.broadcast_request_findings(&[finding]),
            }
        }
    }

    /// Adds findings of another instance, and passes on those that this instance reports to all.
    pub(crate) fn on_request_findings(&mut self, findings: &[RequestFinding]) {
        let findings: Vec<Finding> = findings.iter().map(Finding::from).collect();
        let news = self.merge_request_findings(&findings);
        self.on_request_evidence(&news, false);
        let reported: Vec<Finding> = news
            .into_iter()
            .filter(|finding| finding.evidence == Evidence::Sound)
            .filter(|finding| self.reporter_of(finding.subject) == Some(self.id()))
            .collect();
        if !reported.is_empty() {
            self.broadcast_request_findings(&reported);
        }
    }

    /// Adds strikes. An instance of an earlier build sends one for each lost connection, by what a
    /// request shares with others, and does not tell them apart.
    pub(crate) fn merge_strikes(&mut self, strikes: &[Strike]) {
        let findings: Vec<Finding> = strikes
            .iter()
            .map(|strike| Finding {
                age: Duration::from_secs(u64::from(strike.age_s)),
                precision: STRIKE_PRECISION,
                ..Finding::new(
                    strike.fingerprint,
                    Evidence::Crash {
                        server: strike.server,
                        request: strike.server,
                    },
                )
            })
            .collect();
        self.merge_request_findings(&findings);
    }

    /// Adds findings and acts on the changes of verdicts. Returns the findings that were news.
    fn merge_request_findings(&mut self, findings: &[Finding]) -> Vec<Finding> {
        let table = &mut self.suspects.table;
        let news: Vec<Finding> = findings
            .iter()
            .filter(|finding| table.merge(self.now, finding))
            .copied()
            .collect();
        for finding in &news {
            // The trial has had its result.
            self.suspects.trials.remove(&finding.subject);
        }
        for change in self.suspects.table.take_changes() {
            self.on_verdict_on_request(&change);
        }
        news
    }

    /// Has findings recorded in the store if they are to outlive the instances.
    fn on_request_evidence(&mut self, news: &[Finding], is_own: bool) {
        let is_recurrent = evidence::is_any_recurrent(&self.suspects.table, news);
        self.on_evidence_found(is_recurrent, is_own);
    }

    /// Adds findings that were recorded in the store.
    pub(crate) fn merge_recorded_requests(&mut self, findings: &[Finding]) {
        self.merge_request_findings(findings);
    }

    /// Returns the findings to record in the store.
    pub(crate) fn recurrent_requests(&self) -> Vec<Finding> {
        self.suspects.table.recurrent_findings(self.now)
    }

    /// Logs the change of a verdict, and ends the requests that are barred and not dispatched.
    fn on_verdict_on_request(&mut self, change: &Change) {
        let Change {
            subject, crashes, ..
        } = *change;
        let bar = change
            .barred_until
            .map(|until| until.saturating_sub(self.now));
        let text = match bar {
            None => {
                format!(
                    "Request {subject:016x} is cleared after {crashes} crashes: a run was sound."
                )
            }
            Some(Duration::ZERO) => {
                format!("Request {subject:016x} is on trial: others explain its {crashes} crashes.")
            }
            Some(bar) => format!(
                "Request {subject:016x} is barred for {} s: {crashes} servers crashed under it and no \
                 run was sound since.",
                bar.as_secs()
            ),
        };
        self.log("suspect", true, text);
        if bar.is_none_or(|bar| bar.is_zero()) {
            return;
        }
        let waiting: Vec<RequestId> = self
            .jobs
            .values()
            .filter(|job| fingerprints(&job.request).contains(&subject))
            .filter(|job| matches!(job.phase, Phase::Placing(_) | Phase::Waiting))
            .map(|job| job.request.id)
            .collect();
        for id in waiting {
            self.end_if_barred(id);
        }
    }

    fn broadcast_request_findings(&mut self, findings: &[Finding]) {
        let findings = findings.iter().map(RequestFinding::from).collect();
        self.broadcast(&Body::RequestFindings { findings });
    }

    /// Returns findings to gossip, for instances that have missed the broadcast.
    pub(crate) fn take_request_gossip(&mut self) -> Vec<RequestFinding> {
        let findings = self.suspects.table.take_gossip(self.now);
        findings.iter().map(RequestFinding::from).collect()
    }

    /// Returns the time for which a request is still barred.
    fn bar_of(&self, request: &Request) -> Option<Duration> {
        fingerprints(request)
            .into_iter()
            .filter_map(
                |subject| match self.suspects.table.status(self.now, subject) {
                    Status::Barred { until } => Some(until.saturating_sub(self.now)),
                    Status::Clear | Status::OnTrial => None,
                },
            )
            .max()
    }

    /// Ends a request that is barred, by itself or by a part of its prompt. An attempt that is only
    /// silent goes on, like any that was running when the request was barred. Returns false if the
    /// request may be placed.
    pub(crate) fn end_if_barred(&mut self, id: RequestId) -> bool {
        let Some(bar) = self.jobs.get(&id).and_then(|job| self.bar_of(&job.request)) else {
            return self.end_if_part_barred(id);
        };
        if !self.restore_silent(id) {
            if let Some(job) = self
                .jobs
                .get_mut(&id)
                .filter(|job| job.request.key.is_some())
            {
                // An earlier submission with the same key ran, so the outcome must be a failure and
                // not a refusal.
                job.record_dispatch();
            }
            self.end(id, Reason::Barred, Some(bar));
        }
        true
    }

    /// Returns whether a request has to wait because another run of it is on trial, and makes it wait
    /// if so.
    pub(crate) fn waits_for_trial(&mut self, id: RequestId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        // The run of a stream that has begun is past what crashes servers.
        let has_begun = job.silent.is_some() || job.resume_from.is_some();
        let on_trial = self.suspects.on_trial(self.now, &job.request);
        if has_begun || on_trial.is_empty() {
            return false;
        }
        let waits_since = job.trial_since;
        let may_begin = waits_since.is_some();
        if may_begin
            && on_trial
                .into_iter()
                .all(|subject| self.take_trial_of(subject, id))
        {
            return false;
        }
        let waits_since = waits_since.unwrap_or(self.now);
        if self.now.saturating_sub(waits_since) > TRIAL_WAIT_MAX {
            if !self.restore_silent(id) {
                self.end(id, Reason::Barred, Some(TRIAL_RETRY_AFTER));
            }
            return true;
        }
        let pause = match may_begin {
            true => TRIAL_POLL,
            false => TRIAL_PAUSE_MAX.mul_f64(self.rng.f64()),
        };
        self.withdraw_all(id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.trial_since = Some(waits_since);
            job.phase = Phase::Waiting;
        }
        self.set_timer(id, self.now + pause);
        true
    }

    /// Continues the placement of a request that has waited for a trial.
    pub(crate) fn end_trial_wait(&mut self, id: RequestId) {
        if !self.end_if_barred(id) {
            self.start_placement(id);
        }
    }

    /// Returns whether a request is the one on trial for a fingerprint, and makes it so if there is
    /// none.
    fn take_trial_of(&mut self, subject: Fingerprint, id: RequestId) -> bool {
        let jobs = &self.jobs;
        let has_ended = |id: RequestId| !jobs.contains_key(&id);
        self.suspects.trials.retain(|_, trial| {
            self.now.saturating_sub(trial.started_at) < TRIAL_TIME
                && !trial.request.is_some_and(has_ended)
        });
        if let Some(trial) = self.suspects.trials.get(&subject) {
            return trial.request == Some(id);
        }
        let trial = Trial {
            request: Some(id),
            started_at: self.now,
        };
        self.suspects.trials.insert(subject, trial);
        self.broadcast(&Body::RequestTrial { request: subject });
        let text = format!("Request {id} runs on trial for {subject:016x}.");
        self.log("suspect", false, text);
        true
    }

    /// Handles the announcement of a trial at another instance. Of trials that begin together, each
    /// goes on.
    pub(crate) fn on_request_trial(&mut self, subject: Fingerprint) {
        let started_at = self.now;
        self.suspects.trials.entry(subject).or_insert(Trial {
            request: None,
            started_at,
        });
        let is_old = |_: &Fingerprint, trial: &mut Trial| {
            started_at.saturating_sub(trial.started_at) < TRIAL_TIME
        };
        self.suspects.trials.retain(is_old);
    }

    /// Records that a server lost an attempt in its opening. That counts against the request and the
    /// parts of its prompt.
    pub(crate) fn record_crash_under(&mut self, request: &Request, lost: &Running) {
        if !parts::is_opening(lost.generated) {
            return;
        }
        let hash = suspect::server_hash(&lost.server, lost.boot);
        self.record_request_crash(request, hash);
        self.record_part_crash(request, hash);
    }
}
