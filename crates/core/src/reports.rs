//! Reports of running attempts to the coordinators of their pools.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use conf::Name;
use wire::AttemptId;
use wire::Body;
use wire::InstanceId;
use wire::RequestId;
use wire::admission::End;
use wire::admission::Item;
use wire::admission::Report;

use crate::coordinator::millis;
use crate::instance::Instance;
use crate::job::Running;
use crate::settings::Policy;

/// Time for which report items are collected into one report.
const REPORT_DELAY: Duration = Duration::from_millis(30);
/// Time between two full reports to the same coordinator.
const FULL_REPORT_PERIOD: Duration = Duration::from_secs(5);
/// Output tokens from which on the progress of an attempt is reported.
const PROGRESS_REPORT_TOKENS: u32 = 32;

/// The reports to the coordinator of one pool in one data centre.
#[derive(Debug)]
pub(crate) struct Reporter {
    coordinator: InstanceId,
    /// Sequence number of the last report.
    seq: u64,
    /// Items that are not sent yet.
    items: Vec<Item>,
    /// When the oldest of these items was added.
    pending_since: Option<Time>,
    /// When the last full report was sent, or was skipped because nothing was running.
    full_report_at: Time,
}

impl Reporter {
    /// Returns when the collected items are sent.
    pub(crate) fn next_flush(&self) -> Option<Time> {
        self.pending_since.map(|since| since + REPORT_DELAY)
    }
}

impl Instance {
    /// Queues a report item for the dispatch of a job's attempt.
    pub(crate) fn record_started(&mut self, id: RequestId) {
        let Some(running) = self.jobs.get(&id).and_then(|job| job.running()) else {
            return;
        };
        let item = Item::Progress {
            attempt: running.attempt,
            generated: 0,
        };
        let data_centre = running.data_centre.clone();
        self.queue_report_item(id, &data_centre, item);
    }

    /// Queues a report item for the progress of a job's attempt.
    pub(crate) fn record_progress(&mut self, id: RequestId) {
        let Some(running) = self.jobs.get(&id).and_then(|job| job.running()) else {
            return;
        };
        if running.peer.is_some() {
            return;
        }
        let (attempt, generated) = (running.attempt, running.generated);
        let data_centre = running.data_centre.clone();
        let started = generated == 1;
        if started || generated >= PROGRESS_REPORT_TOKENS {
            let item = Item::Progress { attempt, generated };
            self.queue_report_item(id, &data_centre, item);
        }
    }

    /// Queues a report item for the end of a job's attempt.
    pub(crate) fn record_ended(&mut self, id: RequestId, end: End) {
        let running = self.jobs.get(&id).and_then(|job| job.running());
        if let Some(running) = running.cloned() {
            self.record_attempt_ended(id, &running, end);
        }
    }

    /// Queues a report item for the end of an attempt of a job.
    pub(crate) fn record_attempt_ended(&mut self, id: RequestId, attempt: &Running, end: End) {
        if attempt.peer.is_some() {
            return;
        }
        let item = Item::Ended {
            attempt: attempt.attempt,
            end,
            generated: attempt.generated,
            first_token_ms: millis(attempt.first_token.unwrap_or_default()),
        };
        self.queue_report_item(id, &attempt.data_centre, item);
    }

    /// Queues an item for the coordinator of a job's server. If this instance is the coordinator,
    /// the report is delivered at once.
    fn queue_report_item(&mut self, id: RequestId, data_centre: &Name, item: Item) {
        if self.settings.policy != Policy::Coordinator || self.is_placed_locally(id) {
            return;
        }
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let key = (data_centre.clone(), job.route.pool.clone());
        let Some(coordinator) = self.members.coordinator(&key.0, &key.1) else {
            return;
        };
        let now = self.now;
        let reporter = self
            .coordinator
            .reporters
            .entry(key.clone())
            .or_insert(Reporter {
                coordinator,
                seq: 0,
                items: Vec::new(),
                pending_since: None,
                full_report_at: now,
            });
        reporter.items.push(item);
        reporter.pending_since.get_or_insert(now);
        if coordinator == self.id() {
            self.flush_report(&key);
        }
    }

    /// Sends full reports where the coordinator has changed.
    pub(crate) fn reassign_reporters(&mut self) {
        let keys: Vec<(Name, Name)> = self.coordinator.reporters.keys().cloned().collect();
        for (data_centre, pool) in keys {
            let coordinator = self.members.coordinator(&data_centre, &pool);
            let known =
                self.coordinator.reporters[&(data_centre.clone(), pool.clone())].coordinator;
            if coordinator.is_some_and(|coordinator| coordinator != known) {
                self.report_in_full(&data_centre, &pool);
            }
        }
    }

    /// Reports all attempts that run here to the coordinator of their pool.
    pub(crate) fn report_in_full(&mut self, data_centre: &Name, pool: &Name) {
        let Some(coordinator) = self.members.coordinator(data_centre, pool) else {
            return;
        };
        let key = (data_centre.clone(), pool.clone());
        let items = self.running_items(data_centre, pool);
        let now = self.now;
        let Some(reporter) = self.coordinator.reporters.get_mut(&key) else {
            return;
        };
        // Ended items that were not sent yet are included, because the coordinator also learns from
        // them how the server performs.
        let ended = reporter
            .items
            .drain(..)
            .filter(|i| matches!(i, Item::Ended { .. }));
        let items: Vec<Item> = ended.chain(items).collect();
        reporter.coordinator = coordinator;
        reporter.pending_since = None;
        reporter.full_report_at = now;
        reporter.seq += 1;
        let report = Report {
            pool: pool.clone(),
            seq: reporter.seq,
            full: true,
            items,
        };
        self.send_report(coordinator, report);
    }

    fn running_items(&self, data_centre: &Name, pool: &Name) -> Vec<Item> {
        self.jobs
            .values()
            .filter(|job| job.route.pool == *pool)
            .flat_map(|job| {
                let silent = job.silent.as_ref().map(|silent| &silent.running);
                let running = job.running().into_iter().chain(silent);
                running.map(move |running| (job, running))
            })
            .filter(|(_, running)| running.data_centre == *data_centre)
            .filter(|(_, running)| running.peer.is_none())
            .map(|(job, running)| Item::Running {
                attempt: running.attempt,
                server: running.server.clone(),
                work: job.work(self.expected_tokens(job)),
                generated: running.generated,
                replica: running
                    .replica
                    .as_ref()
                    .map(|replica| replica.endpoint.server.clone()),
            })
            .collect()
    }

    /// Sends a full report every [`FULL_REPORT_PERIOD`] where attempts are running.
    pub(crate) fn refresh_reports(&mut self) {
        let now = self.now;
        let due: Vec<(Name, Name)> = self
            .coordinator
            .reporters
            .iter()
            .filter(|(_, r)| now.saturating_sub(r.full_report_at) >= FULL_REPORT_PERIOD)
            .map(|(key, _)| key.clone())
            .collect();
        for (data_centre, pool) in due {
            if self.running_items(&data_centre, &pool).is_empty() {
                if let Some(reporter) = self.coordinator.reporters.get_mut(&(data_centre, pool)) {
                    reporter.full_report_at = now;
                }
            } else {
                self.report_in_full(&data_centre, &pool);
            }
        }
    }

    /// Sends the reports whose oldest item is due.
    pub(crate) fn flush_reports(&mut self) {
        let now = self.now;
        let due: Vec<(Name, Name)> = self
            .coordinator
            .reporters
            .iter()
            .filter(|(_, r)| {
                r.pending_since
                    .is_some_and(|since| now >= since + REPORT_DELAY)
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.flush_report(&key);
        }
    }

    fn flush_report(&mut self, key: &(Name, Name)) {
        let now = self.now;
        let Some(reporter) = self.coordinator.reporters.get_mut(key) else {
            return;
        };
        if now.saturating_sub(reporter.full_report_at) >= FULL_REPORT_PERIOD {
            self.report_in_full(&key.0, &key.1);
            return;
        }
        let items = std::mem::take(&mut reporter.items);
        reporter.pending_since = None;
        reporter.seq += 1;
        let report = Report {
            pool: key.1.clone(),
            seq: reporter.seq,
            full: false,
            items: merge_progress(items),
        };
        let coordinator = reporter.coordinator;
        self.send_report(coordinator, report);
    }

    fn send_report(&mut self, coordinator: InstanceId, report: Report) {
        if coordinator == self.id() {
            self.on_report(coordinator, &report);
        } else {
            self.send(coordinator, Body::Report(report));
        }
    }
}

/// Keeps only the newest item of each attempt.
fn merge_progress(items: Vec<Item>) -> Vec<Item> {
    let mut newest: BTreeMap<AttemptId, Item> = BTreeMap::new();
    for item in items {
        newest.insert(item.attempt(), item);
    }
    newest.into_values().collect()
}
