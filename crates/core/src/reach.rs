//! The instance's own paths to the backend servers.
//!
//! An instance that loses its paths to the servers of a service sees what it would see if all of them
//! had crashed. After a failure it tests the paths to a few other servers, and tells the two apart by
//! what they show ([`route::path`]). What it sees of servers while its paths are lost is no evidence
//! against them or against requests, and it hands its requests over to instances that reach servers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Time;
use route::path::Paths;
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

/// Least time between two rounds of tests of the paths to one service.
const TEST_PERIOD: Duration = Duration::from_millis(250);
/// Number of servers that one round tests.
const TESTS_PER_ROUND: usize = 4;
/// Time after which a test that was not answered is forgotten.
const TEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of servers of a service that are not reached from which on a request whose server is not
/// reached either is handed over.
const FAILING_FOR_HAND_OVER: usize = 2;
/// Number of attempts that do not reach their server after which a request is handed over.
const UNREACHABLE_BEFORE_HAND_OVER: u32 = 2;
/// Time for which nothing is handed over to an instance that did not serve a request.
const PEER_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of instances to which one request is handed over in turn.
const HAND_OVERS_MAX: u32 = 4;

/// What the instance's connections show of its paths to the servers.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    /// The paths to the servers of each label.
    paths: BTreeMap<Name, Paths>,
    /// The labels to whose servers the paths are lost.
    lost: BTreeSet<Name>,
    /// When each label was last tested.
    tested_at: BTreeMap<Name, Time>,
    /// The servers under test, with the time at which the test began.
    tests: BTreeMap<Name, Time>,
    /// Instances that did not serve a request that was handed over, with the end of their backoff.
    closed_peers: BTreeMap<InstanceId, Time>,
}

impl Instance {
    /// Returns whether this instance seems to have lost its paths to all servers of any label.
    pub fn is_cut_off(&self) -> bool {
        !self.reach.lost.is_empty()
    }

    /// Returns whether this instance seems to have lost its paths to the servers of the same label
    /// as a given one.
    pub(crate) fn lacks_paths_of(&self, server: &str) -> bool {
        let label = self.servers.get(server).map(|listed| &listed.label);
        label.is_some_and(|label| self.reach.lost.contains(label))
    }

    /// Records that this instance did not reach a server.
    pub(crate) fn record_not_reached(&mut self, server: &Name) {
        let Some(label) = self.label_of(server) else {
            return;
        };
        let paths = self.reach.paths.entry(label.clone()).or_default();
        paths.record_failure(self.now, server);
        self.update_lost(&label);
        self.test_paths(&label, None);
    }

    /// Records that a connection of this instance to a server was opened at a given time.
    pub(crate) fn record_reached(&mut self, server: &Name, opened_at: Time) {
        let Some(label) = self.label_of(server) else {
            return;
        };
        let was_lost = self.reach.lost.contains(&label);
        let paths = self.reach.paths.entry(label.clone()).or_default();
        paths.record_success(opened_at, server);
        self.update_lost(&label);
        if was_lost {
            self.test_paths(&label, None);
        }
    }

    /// Handles the result of a test of the path to a server.
    pub(crate) fn on_path_tested(&mut self, server: &Name, started_at: Time, reached: bool) {
        self.reach.tests.remove(server);
        match reached {
            true => self.record_reached(server, started_at),
            false => self.record_not_reached(server),
        }
    }

    fn label_of(&self, server: &str) -> Option<Name> {
        self.servers.get(server).map(|listed| listed.label.clone())
    }

    /// Forms the belief about the paths to a label's servers anew.
    fn update_lost(&mut self, label: &Name) {
        let servers = || {
            let listed = self.servers.values();
            listed.filter(|server| server.label == *label).count()
        };
        let paths = self.reach.paths.get(label);
        let is_lost = paths.is_some_and(|paths| paths.are_lost(self.now, servers));
        let has_changed = match is_lost {
            true => self.reach.lost.insert(label.clone()),
            false => self.reach.lost.remove(label),
        };
        if !has_changed {
            return;
        }
        let failing = self.failing_count(label);
        let text = match is_lost {
            true => format!(
                "This instance seems to be cut off from the servers of {label}: {failing} are not reached."
            ),
            false => format!("Servers of {label} are reached again, {failing} are not."),
        };
        self.log("reach", true, text);
    }

    /// Returns how many servers of a label were not reached when last tried.
    fn failing_count(&self, label: &Name) -> usize {
        let paths = self.reach.paths.get(label);
        paths.map_or(0, |paths| paths.failing(self.now).count())
    }

    /// Opens connections to some servers of a label, to see which of them are reached. The given one
    /// is among them; the others are those that were not tried for the longest time.
    pub(crate) fn test_paths(&mut self, label: &Name, server: Option<&Name>) {
        let tested_at = self.reach.tested_at.get(label).copied();
        if tested_at.is_some_and(|at| self.now.saturating_sub(at) < TEST_PERIOD) {
            return;
        }
        let (now, timeout) = (self.now, TEST_TIMEOUT);
        self.reach
            .tests
            .retain(|_, started_at| now.saturating_sub(*started_at) < timeout);
        let paths = self.reach.paths.get(label);
        let mut candidates: Vec<(bool, Time, u64, Name, SocketAddr)> = Vec::new();
        for listed in self.servers.values() {
            if listed.label != *label
                || listed.leaving
                || self.reach.tests.contains_key(&listed.name)
            {
                continue;
            }
            let tried_at = paths.and_then(|paths| paths.tried_at(&listed.name));
            candidates.push((
                Some(&listed.name) != server,
                tried_at.unwrap_or_default(),
                self.rng.u64(..),
                listed.name.clone(),
                listed.address,
            ));
        }
        candidates.sort_unstable();
        if candidates.is_empty() {
            return;
        }
        self.reach.tested_at.insert(label.clone(), self.now);
        for (_, _, _, server, address) in candidates.into_iter().take(TESTS_PER_ROUND) {
            self.reach.tests.insert(server.clone(), self.now);
            self.out.push(Output::TestPath {
                server,
                address,
                started_at: self.now,
            });
        }
    }

    /// Tests lost paths again, and forgets what is too old.
    pub(crate) fn tick_reach(&mut self) {
        let lost: Vec<Name> = self.reach.lost.iter().cloned().collect();
        for label in lost {
            self.update_lost(&label);
            if self.reach.lost.contains(&label) {
                self.test_paths(&label, None);
            }
        }
    }

    /// Returns when lost paths are tested next.
    pub(crate) fn next_path_test(&self) -> Option<Time> {
        let tested_at = |label| self.reach.tested_at.get(label).copied().unwrap_or_default();
        let lost = self.reach.lost.iter();
        lost.map(|label| tested_at(label) + TEST_PERIOD).min()
    }

    /// Returns the label of the servers that a job needs.
    fn label_for(&self, id: RequestId) -> Option<Name> {
        let job = self.jobs.get(&id)?;
        let pool = self.config().pools.get(&job.route.pool)?;
        Some(pool.label(&job.route.pool).into())
    }

    /// Returns whether a request whose server is not reached is handed over rather than tried again
    /// here.
    fn should_hand_over(&self, id: RequestId) -> bool {
        let job = &self.jobs[&id];
        let Some(label) = self.label_for(id) else {
            return false;
        };
        self.reach.lost.contains(&label)
            || self.failing_count(&label) >= FAILING_FOR_HAND_OVER
            || job.unreachable_attempts >= UNREACHABLE_BEFORE_HAND_OVER
    }

    /// Hands a request over whose server was not reached, if the paths of this instance may be the
    /// reason. Returns false if it is to be tried again here.
    pub(crate) fn hand_over_unreachable(&mut self, id: RequestId) -> bool {
        self.should_hand_over(id) && self.hand_over(id)
    }

    /// Hands a request over to another instance if this one has no paths to the servers that the
    /// request needs. Returns false if the request is to be placed here.
    pub(crate) fn hand_over_if_cut_off(&mut self, id: RequestId) -> bool {
        let label = self.label_for(id);
        label.is_some_and(|label| self.reach.lost.contains(&label)) && self.hand_over(id)
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
            // A lost connection or a silence may be the server's or the path's.
            Event::Lost { .. } | Event::Silent { .. } => {
                if let Some(label) = self.label_of(&server) {
                    self.test_paths(&label, Some(&server));
                }
            }
            Event::Accepted
            | Event::FirstToken
            | Event::Complete { .. }
            | Event::Refused
            | Event::Failed => self.record_reached(&server, dispatched_at),
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
