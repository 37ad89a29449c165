//! The instance's own paths to the backend servers.
//!
//! An instance that loses its paths to all servers sees what it would see if all of them had crashed.
//! It tells the two apart by its own connections: servers that are reached in vain one after the
//! other, none in between, point to the instance. What it then sees of servers is no evidence
//! against them or against requests, and it hands its requests over to instances that reach servers.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use wire::InstanceId;
use wire::Name;
use wire::RequestId;
use wire::gossip::Entry;
use wire::gossip::State;

use crate::instance::Instance;
use crate::job::Phase;
use crate::job::Running;
use crate::lifecycle::UNREACHABLE_RETRY_AFTER;
use crate::message::Dispatch;
use crate::message::Event;
use crate::message::Output;
use crate::outcome::Reason;
use crate::settings::Source;

/// Number of servers that are not reached, with none reached in between, from which on the instance
/// counts as cut off.
const CUT_SERVERS_MIN: usize = 2;
/// Least time between the first and the last of these failures. Several servers may crash at once,
/// and requests to others take some time to show that those are reached.
const CUT_TIME_MIN: Duration = Duration::from_millis(400);
/// Time after which an attempt has a connection unless it was reported as unreachable.
const CONNECTED_AFTER: Duration = Duration::from_millis(200);
/// Time for which a failure to reach a server counts.
const FAILURE_LIFETIME: Duration = Duration::from_secs(3);
/// Time between two requests that try the own paths of a cut instance.
const TRIAL_PERIOD: Duration = Duration::from_millis(500);
/// Time for which nothing is handed over to an instance that did not serve a request.
const PEER_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of instances to which one request is handed over in turn.
const HAND_OVERS_MAX: u32 = 4;

/// What the instance's connections show of its paths to the servers.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    /// When each server was last not reached.
    failures: BTreeMap<Name, Time>,
    /// When a server was first not reached since one was reached.
    failing_since: Time,
    /// When the next request tries the own paths of a cut instance.
    next_trial: Time,
    /// Instances that did not serve a request that was handed over, with the end of their backoff.
    closed_peers: BTreeMap<InstanceId, Time>,
}

impl Reach {
    /// Records that a server was not reached.
    fn record_failure(&mut self, now: Time, server: &Name) {
        self.failures
            .retain(|_, at| now.saturating_sub(*at) < FAILURE_LIFETIME);
        if self.failures.is_empty() {
            self.failing_since = now;
        }
        self.failures.insert(server.clone(), now);
    }

    /// Records that a connection to a server was established at a given time. One from before the
    /// failures does not show that the paths are sound now.
    fn record_success(&mut self, connected_at: Time) {
        if connected_at >= self.failing_since {
            self.failures.clear();
        }
    }

    fn is_cut_off(&self, now: Time) -> bool {
        let is_recent = |at: &&Time| now.saturating_sub(**at) < FAILURE_LIFETIME;
        let recent = self.failures.values().filter(is_recent);
        let last = recent.clone().max().copied().unwrap_or_default();
        let failing_for = last.saturating_sub(self.failing_since);
        recent.count() >= CUT_SERVERS_MIN && failing_for >= CUT_TIME_MIN
    }
}

impl Instance {
    /// Returns whether this instance seems to have lost its paths to all servers.
    pub fn is_cut_off(&self) -> bool {
        self.reach.is_cut_off(self.now) && !self.has_new_connection()
    }

    /// Returns whether an attempt has established a connection since servers are not reached.
    fn has_new_connection(&self) -> bool {
        let attempts = self.jobs.values().filter_map(|job| job.running());
        let mut to_servers = attempts.filter(|running| running.peer.is_none());
        to_servers.any(|running| {
            running.dispatched_at >= self.reach.failing_since
                && self.now.saturating_sub(running.dispatched_at) >= CONNECTED_AFTER
        })
    }

    /// Records that this instance did not reach a server, or lost its connection to it.
    pub(crate) fn record_not_reached(&mut self, server: &Name) {
        let was_cut_off = self.is_cut_off();
        self.reach.record_failure(self.now, server);
        if !was_cut_off && self.is_cut_off() {
            let text =
                "No server is reached any more: this instance seems to be cut off from them.";
            self.log("reach", true, text.into());
        }
    }

    /// Records that a connection of this instance to a server was established at a given time.
    pub(crate) fn record_reached(&mut self, connected_at: Time) {
        let was_cut_off = self.is_cut_off();
        self.reach.record_success(connected_at);
        if was_cut_off && !self.is_cut_off() {
            self.log("reach", true, "Servers are reached again.".into());
        }
    }

    /// Hands a request over to another instance if this one is cut off from the servers. Now and then
    /// a request tries the own paths first. Returns false if the request is to be placed here.
    pub(crate) fn hand_over_if_cut_off(&mut self, id: RequestId) -> bool {
        if !self.is_cut_off() {
            return false;
        }
        if self.now >= self.reach.next_trial {
            self.reach.next_trial = self.now + TRIAL_PERIOD;
            return false;
        }
        self.hand_over(id)
    }

    /// Hands a request that has not run over to another instance, or refuses it if there is none left
    /// to try. Returns false if there was none from the start.
    pub(crate) fn hand_over(&mut self, id: RequestId) -> bool {
        let job = &self.jobs[&id];
        if job.may_have_run() || self.settings.source != Source::External {
            return false;
        }
        let is_exhausted = job.request.handed_over || job.hand_overs >= HAND_OVERS_MAX;
        let is_first = !job.request.handed_over && job.hand_overs == 0;
        let Some(peer) = self.choose_peer().filter(|_| !is_exhausted) else {
            if !is_first {
                self.end(id, Reason::NoServer, Some(UNREACHABLE_RETRY_AFTER));
            }
            return !is_first;
        };
        self.withdraw_all(id);
        let attempt = self.rng.u64(1..);
        let list = self.list_position();
        let Some(job) = self.jobs.get_mut(&id) else {
            return true;
        };
        job.hand_overs += 1;
        let text = format!(
            "Request {id} is handed over to {} in {} (hand-over {}, {} unreachable attempts).",
            peer.name, peer.data_centre, job.hand_overs, job.unreachable_attempts
        );
        job.record_dispatch();
        job.phase = Phase::Running(Running {
            attempt,
            server: peer.name.clone(),
            boot: 0,
            data_centre: peer.data_centre.clone(),
            software: Name::default(),
            dispatched_at: self.now,
            first_token: None,
            generated: job.delivered(),
            resumed: false,
            replica: None,
            peer: Some(peer.id),
        });
        let hard_deadline = job.hard_deadline;
        self.clear_timer(id);
        if let Some(hard_deadline) = hard_deadline {
            self.set_timer(id, hard_deadline);
        }
        self.attempt_requests.insert(attempt, id);
        self.log("reach", false, text);
        self.out.push(Output::Dispatch(Dispatch {
            request: id,
            attempt,
            server: peer.name,
            address: peer.callers,
            boot: 0,
            software: Name::default(),
            priority: 0,
            rerun: false,
            copy: None,
            resume_from: None,
            silence: None,
            list,
            hands_over: true,
        }));
        true
    }

    /// Handles an event that ends the attempt of a request which was handed over without an answer.
    /// Returns false for any other event, which is handled like that of a server.
    pub(crate) fn on_peer_event(&mut self, id: RequestId, event: &Event) -> bool {
        let Some(running) = self.jobs[&id].running().cloned() else {
            return false;
        };
        let Some(peer) = running.peer else {
            return false;
        };
        match event {
            Event::Refused | Event::Unreachable => {
                let text = format!(
                    "Request {id} was not run by {} ({event:?}), to which it was handed over.",
                    running.server
                );
                self.log("reach", false, text);
                self.attempt_requests.remove(&running.attempt);
                let until = self.now + PEER_BACKOFF;
                self.reach.closed_peers.insert(peer, until);
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.record_not_run();
                }
                self.hand_over(id);
            }
            // The other instance may have made all attempts that the route allows.
            Event::Lost { .. } => self.end(id, Reason::Lost, None),
            Event::Failed => self.end(id, Reason::ServerError, None),
            _ => return false,
        }
        true
    }

    /// Records what an event of a job's attempt shows of the path to the attempt's server.
    pub(crate) fn record_path(&mut self, id: RequestId, event: &Event) {
        let Some(running) = self.jobs[&id].running().filter(|r| r.peer.is_none()) else {
            return;
        };
        let (server, dispatched_at) = (running.server.clone(), running.dispatched_at);
        match event {
            Event::Unreachable => self.record_not_reached(&server),
            Event::Lost { .. } => {
                self.record_reached(dispatched_at);
                self.record_not_reached(&server);
            }
            Event::Accepted
            | Event::FirstToken
            | Event::Complete { .. }
            | Event::Refused
            | Event::Failed => self.record_reached(dispatched_at),
            _ => {}
        }
    }

    /// Returns an instance that may serve a request in this one's place, one of the own data centre
    /// if there is any.
    fn choose_peer(&mut self) -> Option<Entry> {
        let now = self.now;
        self.reach.closed_peers.retain(|_, until| *until > now);
        let own = self.own_data_centre();
        let config = self.config();
        let region = |data_centre: &Name| {
            let found = config.data_centres.get(data_centre);
            found.map(|found| found.region.clone())
        };
        let own_region = region(&own);
        let candidates: Vec<&Entry> = self
            .members
            .rumours()
            .filter(|rumour| rumour.state == State::Alive)
            .map(|rumour| &rumour.entry)
            .filter(|entry| entry.id != self.settings.entry.id)
            .filter(|entry| !self.reach.closed_peers.contains_key(&entry.id))
            .filter(|entry| region(&entry.data_centre) == own_region)
            .collect();
        let is_near = |entry: &&&Entry| entry.data_centre == own;
        let near: Vec<&Entry> = candidates.iter().filter(is_near).copied().collect();
        let preferred = if near.is_empty() { candidates } else { near };
        let preferred: Vec<Entry> = preferred.into_iter().cloned().collect();
        if preferred.is_empty() {
            return None;
        }
        let index = self.rng.usize(..preferred.len());
        preferred.into_iter().nth(index)
    }
}
