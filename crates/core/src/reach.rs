//! The instance's own paths to the backend servers.
//!
//! An instance that loses its paths to the servers of a service sees what it would see if all of them
//! had crashed. After a failure it tests the paths to a few other servers, and tells the two apart by
//! what they show ([`route::path`]). What it sees of servers while its paths are lost is no evidence
//! against them or against requests. It tells all instances, so that none hands requests over to it,
//! and [hands its own over](crate::hand_over) to instances that reach servers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Time;
use route::path::Paths;
use wire::Body;
use wire::InstanceId;
use wire::Name;
use wire::RequestId;
use wire::path::LABELS_MAX;
use wire::path::STATEMENTS_MAX;
use wire::path::Statement;

use crate::coordinator::millis;
use crate::instance::Instance;
use crate::message::Event;
use crate::message::Output;

/// Least time between two rounds of tests of the paths to one service.
const TEST_PERIOD: Duration = Duration::from_millis(250);
/// Number of servers that one round tests.
const TESTS_PER_ROUND: usize = 4;
/// Time after which a test that was not answered is forgotten.
const TEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Least time between two statements of this instance that are sent to all others.
const STATEMENT_PERIOD: Duration = Duration::from_millis(500);
/// Time after which an instance whose paths are lost confirms its statement.
const CONFIRMATION_PERIOD: Duration = Duration::from_secs(8);
/// Time after which a statement that was not confirmed is forgotten.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(20);
/// Maximum number of instances whose statements are kept.
const STATEMENTS_KEPT_MAX: usize = 4_096;

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
    /// What other instances have stated about their paths.
    peers: BTreeMap<InstanceId, PeerPaths>,
    /// Number of the newest statement of this instance.
    number: u64,
    /// When that statement was last sent to all others.
    stated_at: Time,
    /// Whether the belief has changed since.
    has_news: bool,
}

/// What another instance has stated about its paths.
#[derive(Clone, Debug)]
struct PeerPaths {
    number: u64,
    /// When the instance last confirmed the statement.
    confirmed_at: Time,
    /// Labels to whose servers the instance has lost its paths.
    lost: Vec<Name>,
}

impl Reach {
    /// Returns whether the paths to the servers of a label are lost.
    pub(crate) fn is_lost(&self, label: &Name) -> bool {
        self.lost.contains(label)
    }

    /// Returns whether another instance has stated that it has lost its paths to the servers of a
    /// label.
    pub(crate) fn is_lost_at(&self, instance: InstanceId, label: &Name) -> bool {
        let peer = self.peers.get(&instance);
        peer.is_some_and(|peer| peer.lost.contains(label))
    }
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

    /// Records that a connection of this instance, begun at a given time, did not reach its server.
    pub(crate) fn record_not_reached(&mut self, server: &Name, begun_at: Time) {
        let Some(label) = self.label_of(server) else {
            return;
        };
        let paths = self.reach.paths.entry(label.clone()).or_default();
        paths.record_failure(begun_at, server);
        self.update_lost(&label);
        self.test_paths(&label, None);
    }

    /// Records that a connection of this instance, begun at a given time, reached its server.
    pub(crate) fn record_reached(&mut self, server: &Name, begun_at: Time) {
        let Some(label) = self.label_of(server) else {
            return;
        };
        let was_lost = self.reach.lost.contains(&label);
        let paths = self.reach.paths.entry(label.clone()).or_default();
        paths.record_success(begun_at, server);
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
            false => self.record_not_reached(server, started_at),
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
        self.reach.has_news = true;
        self.state_paths();
    }

    /// Sends a changed belief to all other instances, and confirms it from time to time while paths
    /// are lost.
    fn state_paths(&mut self) {
        let waited = self.now.saturating_sub(self.reach.stated_at);
        let is_due = match self.reach.has_news {
            true => waited >= STATEMENT_PERIOD || self.reach.number == 0,
            false => waited >= CONFIRMATION_PERIOD && !self.reach.lost.is_empty(),
        };
        if !is_due {
            return;
        }
        self.reach.number += u64::from(self.reach.has_news);
        self.reach.has_news = false;
        self.reach.stated_at = self.now;
        let statements = vec![self.own_statement()];
        self.broadcast(&Body::Paths { statements });
    }

    fn own_statement(&self) -> Statement {
        Statement {
            instance: self.id(),
            number: self.reach.number,
            age_ms: millis(self.now.saturating_sub(self.reach.stated_at)),
            lost: self.reach.lost.iter().take(LABELS_MAX).cloned().collect(),
        }
    }

    /// Handles what instances have stated about their paths.
    pub(crate) fn on_path_statements(&mut self, statements: &[Statement]) {
        let own = self.own_data_centre();
        for statement in statements {
            let id = statement.instance;
            let age = Duration::from_millis(u64::from(statement.age_ms));
            let known = self.reach.peers.get(&id);
            let is_known = known.is_some() || self.reach.peers.len() < STATEMENTS_KEPT_MAX;
            if id == self.id() || age >= STATEMENT_LIFETIME || !is_known {
                continue;
            }
            let confirmed_at = self.now.saturating_sub(age);
            let is_newer = known.is_none_or(|known| {
                (known.number, known.confirmed_at) < (statement.number, confirmed_at)
            });
            if !is_newer {
                continue;
            }
            let is_news = known.is_none_or(|known| known.number < statement.number);
            let lost: Vec<Name> = statement.lost.iter().take(LABELS_MAX).cloned().collect();
            let peer = PeerPaths {
                number: statement.number,
                confirmed_at,
                lost: lost.clone(),
            };
            self.reach.peers.insert(id, peer);
            // Paths of one data centre are often lost together.
            let is_near = self.members.entry(id).map(|entry| &entry.data_centre) == Some(&own);
            for label in lost.iter().filter(|_| is_news && is_near) {
                self.test_paths(label, None);
            }
        }
    }

    /// Sends some of the statements about lost and restored paths to another instance, for those that
    /// missed them or have just started.
    pub(crate) fn gossip_paths(&mut self) {
        let now = self.now;
        self.reach
            .peers
            .retain(|_, peer| now.saturating_sub(peer.confirmed_at) < STATEMENT_LIFETIME);
        let is_recent = now.saturating_sub(self.reach.stated_at) < STATEMENT_LIFETIME;
        let own = (self.reach.number > 0 && is_recent).then(|| self.own_statement());
        let mut statements: Vec<Statement> = self
            .reach
            .peers
            .iter()
            .map(|(instance, peer)| Statement {
                instance: *instance,
                number: peer.number,
                age_ms: millis(now.saturating_sub(peer.confirmed_at)),
                lost: peer.lost.clone(),
            })
            .collect();
        self.rng.shuffle(&mut statements);
        statements.splice(0..0, own);
        statements.truncate(STATEMENTS_MAX);
        if statements.is_empty() {
            return;
        }
        let others: Vec<InstanceId> = self.members.running_others().collect();
        if let Some(to) = self.rng.choice(others) {
            self.send(to, Body::Paths { statements });
        }
    }

    /// Returns how many servers of a label were not reached when last tried.
    pub(crate) fn failing_count(&self, label: &Name) -> usize {
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
        self.state_paths();
    }

    /// Returns when lost paths are tested next.
    pub(crate) fn next_path_test(&self) -> Option<Time> {
        let tested_at = |label| self.reach.tested_at.get(label).copied().unwrap_or_default();
        let lost = self.reach.lost.iter();
        lost.map(|label| tested_at(label) + TEST_PERIOD).min()
    }

    /// Records what an event of a job's attempt shows of the path to the attempt's server.
    pub(crate) fn record_path(&mut self, id: RequestId, event: &Event) {
        let Some(running) = self.jobs[&id].running().filter(|r| r.peer.is_none()) else {
            return;
        };
        let (server, dispatched_at) = (running.server.clone(), running.dispatched_at);
        match event {
            Event::Unreachable => self.record_not_reached(&server, dispatched_at),
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
            | Event::NoRoom { .. }
            | Event::Failed => self.record_reached(&server, dispatched_at),
            _ => {}
        }
    }
}
