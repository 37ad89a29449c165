//! The list of backend servers, and passing it on.
//!
//! A call to the platform's store costs, so one instance of each data centre reads the list and tells
//! the others of its data centre what has changed. Each frame names the revision that it starts from; a
//! receiver that has missed one asks for the whole list. A frame without changes is a sign of life: an
//! instance that hears none for a while reads the list itself, so a reader that dies, is cut off or is
//! turned away by the store is missed for a second at most.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use conf::Name;
use wire::Body;
use wire::InstanceId;
use wire::roster::Revision;
use wire::roster::Roster;

use crate::instance::Instance;
use crate::message::ListedServer;

/// Instances of a data centre that read the list.
const READERS: usize = 1;
/// Time without news of the list after which an instance reads it itself. A reader reads several times
/// a second.
const SILENCE: Duration = Duration::from_millis(900);

/// Time after which one more instance takes over.
const TURN: Duration = Duration::from_millis(700);

/// How an instance keeps up with the list.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    revision: Revision,
    heard: Option<Time>,
    leaving: BTreeMap<Name, Time>,
}

impl Listing {
    /// Returns the revision as of which the list holds.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns when a server was first listed as about to go.
    pub(crate) fn leaving_since(&self, server: &str) -> Option<Time> {
        self.leaving.get(server).copied()
    }

    /// Notes which servers are listed as about to go.
    pub(crate) fn record_leaving(&mut self, now: Time, servers: &BTreeMap<Name, ListedServer>) {
        let leaves = |name: &Name| servers.get(name).is_some_and(|server| server.leaving);
        self.leaving.retain(|name, _| leaves(name));
        for name in servers.keys().filter(|name| leaves(name)) {
            self.leaving.entry(name.clone()).or_insert(now);
        }
    }
}

impl Instance {
    /// Returns whether this instance should read the list of servers in the store.
    pub fn reads_list(&self) -> bool {
        let Some(heard) = self.listing.heard else {
            return true;
        };
        let silence = self.now.saturating_sub(heard);
        // They take over one after the other, so that an outage does not have all of them call.
        let places = silence.saturating_sub(SILENCE).as_millis() / TURN.as_millis();
        let behind = usize::try_from(places).unwrap_or(usize::MAX);
        let readers = match silence > SILENCE {
            true => READERS.saturating_add(1).saturating_add(behind),
            false => READERS,
        };
        self.members.is_among_first("list", readers)
    }

    /// Returns the servers of the list in force.
    pub fn servers(&self) -> impl Iterator<Item = &ListedServer> {
        self.servers.values()
    }

    /// Takes the whole list as it was read in the store, and tells the others of the data centre what
    /// has changed.
    pub(crate) fn on_roster_read(&mut self, roster: Roster) {
        if roster.revision < self.listing.revision {
            return;
        }
        let after = self.listing.revision;
        let servers: BTreeMap<Name, ListedServer> = roster
            .servers
            .into_iter()
            .map(|server| (server.name.clone(), server))
            .collect();
        let changed = servers
            .values()
            .filter(|server| self.servers.get(&server.name) != Some(server))
            .cloned()
            .collect();
        let gone = self
            .servers
            .keys()
            .filter(|name| !servers.contains_key(*name))
            .cloned()
            .collect();
        let news = Roster {
            after,
            revision: roster.revision,
            servers: changed,
            gone,
            config: self.config.follower.version(),
        };
        self.heard_list(roster.revision);
        if !news.servers.is_empty() || !news.gone.is_empty() || !self.has_server_list {
            self.install_servers(servers);
        }
        self.tell_list(&news);
    }

    fn heard_list(&mut self, revision: Revision) {
        self.listing.revision = self.listing.revision.max(revision);
        self.listing.heard = Some(self.now);
    }

    fn tell_list(&mut self, news: &Roster) {
        let own = self.own_data_centre();
        let others: Vec<InstanceId> = self
            .members
            .live(&own)
            .filter(|id| *id != self.id())
            .collect();
        for to in others {
            self.send(to, Body::Roster(news.clone()));
        }
    }

    /// Takes what another instance has read.
    pub(crate) fn on_roster(&mut self, from: InstanceId, news: Roster) {
        self.hear_version(from, news.config);
        if news.revision < self.listing.revision {
            return;
        }
        if news.after > self.listing.revision || (news.after > 0 && !self.has_server_list) {
            self.send(from, Body::FetchRoster);
            return;
        }
        let mut servers = match news.after {
            0 => BTreeMap::new(),
            _ => self.servers.clone(),
        };
        let changes = news.after == 0 || !news.servers.is_empty() || !news.gone.is_empty();
        for server in news.servers {
            servers.insert(server.name.clone(), server);
        }
        for name in news.gone {
            servers.remove(&name);
        }
        self.heard_list(news.revision);
        if changes && (servers != self.servers || !self.has_server_list) {
            self.install_servers(servers);
        }
    }

    pub(crate) fn on_fetch_roster(&mut self, from: InstanceId) {
        if !self.has_server_list {
            return;
        }
        let whole = Roster {
            after: 0,
            revision: self.listing.revision,
            servers: self.servers.values().cloned().collect(),
            gone: Vec::new(),
            config: self.config.follower.version(),
        };
        self.send(from, Body::Roster(whole));
    }
}
