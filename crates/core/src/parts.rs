//! Requests whose prompts contain a part that crashes backend servers.
//!
//! The evidence and the verdict are in [`suspect::Table`]. This module records the evidence of the
//! own attempts, exchanges it with the other instances, and keeps barred requests from running.

use std::time::Duration;

use clock::Time;
use suspect::Change;
use suspect::Finding;
use suspect::OPENING_TOKENS;
use suspect::PARTS;
use suspect::Status;
use suspect::Subject;
use suspect::Table;
use wire::Body;
use wire::InstanceId;
use wire::PartId;
use wire::RequestId;
use wire::gossip::Evidence;
use wire::gossip::PartFinding;

use crate::evidence;
use crate::instance::Instance;
use crate::job::Phase;
use crate::message::Request;
use crate::outcome::Reason;

/// Time after which a request on trial that has neither crashed a server nor got past its opening
/// is replaced by another one.
const TRIAL_TIME: Duration = Duration::from_secs(10);
/// Retry-after of a request that has to wait for the end of another one's trial.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The parts of prompts that are suspected, and the trials of those whose bar has ended.
#[derive(Debug)]
pub(crate) struct SuspectParts {
    table: Table,
    /// The request on trial for each part, with the start of the trial.
    trials: Vec<(PartId, RequestId, Time)>,
}

impl Default for SuspectParts {
    fn default() -> SuspectParts {
        SuspectParts {
            table: Table::new(PARTS),
            trials: Vec::new(),
        }
    }
}

/// Returns parts of a prompt as written in log lines.
pub(crate) fn part_names(parts: &[PartId]) -> String {
    let names: Vec<String> = parts.iter().map(|part| format!("{part:016x}")).collect();
    names.join(",")
}

impl Instance {
    /// Records that a server crashed while a request was running there in its opening, and reports
    /// it to all instances.
    pub(crate) fn record_part_crash(&mut self, request: &Request, server: u64) {
        let findings: Vec<PartFinding> = request
            .parts
            .iter()
            .map(|part| PartFinding {
                part: *part,
                age_ms: 0,
                evidence: Evidence::Crash {
                    server,
                    request: request.fingerprint,
                },
            })
            .collect();
        let news = self.merge_findings(&findings);
        self.on_part_evidence(&news, true);
        self.broadcast_findings(&findings);
    }

    /// Records that the run of a request got past its opening. If that refutes crashes, it is
    /// reported to all instances, through one of them for each part: many instances run requests
    /// with a part that many prompts share.
    pub(crate) fn record_part_sound(&mut self, parts: &[PartId]) {
        for part in parts {
            let finding = PartFinding {
                part: *part,
                age_ms: 0,
                evidence: Evidence::Sound,
            };
            let news = self.merge_findings(&[finding]);
            if news.is_empty() {
                continue;
            }
            self.on_part_evidence(&news, true);
            match self.reporter_of(*part) {
                Some(reporter) if reporter != self.id() => {
                    let findings = vec![finding];
                    self.send(reporter, Body::PartFindings { findings });
                }
                _ => self.broadcast_findings(&[finding]),
            }
        }
    }

    /// Adds findings of another instance, and passes on those that this instance reports to all.
    pub(crate) fn on_part_findings(&mut self, findings: &[PartFinding]) {
        let news = self.merge_findings(findings);
        self.on_part_evidence(&news, false);
        let reported: Vec<PartFinding> = news
            .into_iter()
            .filter(|finding| finding.evidence == Evidence::Sound)
            .filter(|finding| self.reporter_of(finding.part) == Some(self.id()))
            .collect();
        if !reported.is_empty() {
            self.broadcast_findings(&reported);
        }
    }

    /// Adds findings and acts on the changes of verdicts. Returns the findings that were news.
    fn merge_findings(&mut self, findings: &[PartFinding]) -> Vec<PartFinding> {
        let table = &mut self.suspect_parts.table;
        let news = findings
            .iter()
            .filter(|finding| table.merge(self.now, &Finding::from(*finding)))
            .copied()
            .collect();
        for change in table.take_changes() {
            match change.barred_until {
                Some(until) if self.now < until => self.on_part_barred(&change, until),
                Some(_) => {
                    let text = format!(
                        "Part {:016x} of prompts is on trial: other parts explain its {} crashes.",
                        change.subject, change.crashes
                    );
                    self.log("suspect", true, text);
                }
                None => {
                    let text = format!(
                        "Part {:016x} of prompts is cleared after {} crashes: a run got past its \
                         opening.",
                        change.subject, change.crashes
                    );
                    self.log("suspect", true, text);
                }
            }
        }
        news
    }

    /// Has findings recorded in the store if they are to outlive the instances.
    fn on_part_evidence(&mut self, news: &[PartFinding], is_own: bool) {
        let news: Vec<Finding> = news.iter().map(Finding::from).collect();
        let is_recurrent = evidence::is_any_recurrent(&self.suspect_parts.table, &news);
        self.on_evidence_found(is_recurrent, is_own);
    }

    /// Adds findings that were recorded in the store.
    pub(crate) fn merge_recorded_parts(&mut self, findings: &[Finding]) {
        let findings: Vec<PartFinding> = findings.iter().map(PartFinding::from).collect();
        self.merge_findings(&findings);
    }

    /// Returns the findings to record in the store.
    pub(crate) fn recurrent_parts(&self) -> Vec<Finding> {
        self.suspect_parts.table.recurrent_findings(self.now)
    }

    /// Logs the bar of a part, and ends the requests with it that have not been dispatched.
    fn on_part_barred(&mut self, change: &Change, until: Time) {
        let part = change.subject;
        self.suspect_parts
            .trials
            .retain(|(tried, _, _)| *tried != part);
        let bar = until.saturating_sub(self.now);
        let text = format!(
            "Part {part:016x} of prompts is barred for {} s: {} servers crashed under runs in their \
             opening and none got past it since.",
            bar.as_secs(),
            change.crashes
        );
        self.log("suspect", true, text);
        let waiting: Vec<RequestId> = self
            .jobs
            .values()
            .filter(|job| job.request.parts.contains(&part))
            .filter(|job| matches!(job.phase, Phase::Placing(_) | Phase::Waiting))
            .map(|job| job.request.id)
            .collect();
        for id in waiting {
            if !self.restore_silent(id) {
                self.end(id, Reason::PartBarred, Some(bar));
            }
        }
    }

    fn broadcast_findings(&mut self, findings: &[PartFinding]) {
        let findings = findings.to_vec();
        self.broadcast(&Body::PartFindings { findings });
    }

    /// Sends findings to a random instance, for those that have missed the broadcast.
    pub(crate) fn gossip_findings(&mut self) {
        let others: Vec<InstanceId> = self.members.running_others().collect();
        if others.is_empty() {
            return;
        }
        let of_parts = self.suspect_parts.table.take_gossip(self.now);
        let of_requests = self.take_request_gossip();
        if of_parts.is_empty() && of_requests.is_empty() {
            return;
        }
        let to = others[self.rng.usize(..others.len())];
        if !of_parts.is_empty() {
            let findings = of_parts.iter().map(PartFinding::from).collect();
            self.send(to, Body::PartFindings { findings });
        }
        if !of_requests.is_empty() {
            let findings = of_requests;
            self.send(to, Body::RequestFindings { findings });
        }
    }

    /// Returns the instance that reports sound runs of a subject to all, and may run requests on trial
    /// for it if it is a part.
    pub(crate) fn reporter_of(&self, subject: Subject) -> Option<InstanceId> {
        let running = self.members.running_others().chain([self.id()]);
        let key = format!("{subject:016x}");
        member::rendezvous::order(&key, running, 1).first().copied()
    }

    /// Ends a request whose prompt contains a barred part, unless it may run on trial. An attempt
    /// that is only silent goes on. Returns false if the request may be placed.
    pub(crate) fn end_if_part_barred(&mut self, id: RequestId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let parts = job.request.parts.clone();
        let status = |part: &PartId| self.suspect_parts.table.status(self.now, *part);
        let longest_bar = parts
            .iter()
            .filter_map(|part| match status(part) {
                Status::Barred { until } => Some(until.saturating_sub(self.now)),
                Status::Clear | Status::OnTrial => None,
            })
            .max();
        let on_trial: Vec<PartId> = parts
            .iter()
            .filter(|part| status(part) == Status::OnTrial)
            .copied()
            .collect();
        let retry_after = match longest_bar {
            Some(bar) => bar,
            None if on_trial.into_iter().all(|part| self.take_trial(part, id)) => return false,
            None => TRIAL_RETRY_AFTER,
        };
        if !self.restore_silent(id) {
            self.end(id, Reason::PartBarred, Some(retry_after));
        }
        true
    }

    /// Returns whether a request has to wait because its prompt contains a part that the next crash
    /// would bar, and another run with that part is in its opening here.
    pub(crate) fn waits_for_opening(&self, id: RequestId) -> bool {
        if !self.has_accused_part(id) {
            return false;
        }
        let table = &self.suspect_parts.table;
        let parts = &self.jobs[&id].request.parts;
        let shares_accused = |part: &PartId| parts.contains(part) && table.is_accused(*part);
        self.jobs.values().any(|other| {
            let running = other.running();
            running.is_some_and(|running| is_opening(running.generated))
                && other.request.parts.iter().any(shares_accused)
        })
    }

    /// Returns whether a request's prompt contains a part that the next crash would bar.
    pub(crate) fn has_accused_part(&self, id: RequestId) -> bool {
        let table = &self.suspect_parts.table;
        let job = self.jobs.get(&id);
        job.is_some_and(|job| job.request.parts.iter().any(|part| table.is_accused(*part)))
    }

    /// Returns whether a request is the one on trial for a part, and makes it so if there is none
    /// and this instance runs the trials of the part.
    fn take_trial(&mut self, part: PartId, id: RequestId) -> bool {
        let now = self.now;
        let trials = &mut self.suspect_parts.trials;
        trials.retain(|(_, _, started_at)| now.saturating_sub(*started_at) < TRIAL_TIME);
        if let Some((_, tried, _)) = trials.iter().find(|(tried, _, _)| *tried == part) {
            return *tried == id;
        }
        if self.reporter_of(part) != Some(self.id()) {
            return false;
        }
        self.suspect_parts.trials.push((part, id, now));
        let text = format!("Request {id} runs on trial for part {part:016x} of prompts.");
        self.log("suspect", false, text);
        true
    }
}

/// Returns whether a run with so much output is in its opening.
pub(crate) fn is_opening(generated: u32) -> bool {
    generated < OPENING_TOKENS
}

/// Evidence against a request's parts is given once for each run, and so is evidence for them.
pub(crate) fn gets_past_opening(before: u32, generated: u32) -> bool {
    is_opening(before) && !is_opening(generated)
}
