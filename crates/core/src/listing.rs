//! The list of backend servers and its distribution within a data centre.
//!
//! Calls to the platform's store are rate-limited, so one instance of each data centre (the reader)
//! reads the list and sends the changes to the other instances of its data centre. Each frame names
//! the revision from which its changes are counted. A receiver that has missed a frame fetches the
//! whole list. A frame without changes serves as a heartbeat: an instance that receives none for
//! [`SILENCE_MAX`] reads the list itself, so a reader that stops, is disconnected or is refused by
//! the store is replaced within about a second.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use conf::Name;
use wire::Body;
use wire::InstanceId;
use wire::server_list::Revision;
use wire::server_list::ServerListUpdate;

use crate::instance::Instance;
use crate::message::ListedServer;

/// Number of instances of a data centre that read the list.
const READERS: usize = 1;
/// Time without a frame of the reader after which an instance reads the list itself. A reader reads
/// the list several times a second.
const SILENCE_MAX: Duration = Duration::from_millis(900);
/// Time after which one more instance starts to read the list while no frame arrives.
const TAKEOVER_PERIOD: Duration = Duration::from_millis(700);

/// State of following the server list.
#[derive(Debug, Default)]
pub(crate) struct ListState {
    /// Revision of the store as of which the list is current.
    revision: Revision,
    /// When the list was last read or confirmed by a frame. `None` before the first time.
    last_update: Option<Time>,
    /// When each leaving server was first listed as leaving.
    leaving_since: BTreeMap<Name, Time>,
}

impl ListState {
    /// Returns the revision of the store as of which the list is current.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns when a server was first listed as leaving, or `None` if it is not.
    pub(crate) fn leaving_since(&self, server: &str) -> Option<Time> {
        self.leaving_since.get(server).copied()
    }

    /// Records which servers of a new list are leaving.
    pub(crate) fn record_leaving(&mut self, now: Time, servers: &BTreeMap<Name, ListedServer>) {
        let is_leaving = |name: &Name| servers.get(name).is_some_and(|server| server.leaving);
        self.leaving_since.retain(|name, _| is_leaving(name));
        for name in servers.keys().filter(|name| is_leaving(name)) {
            self.leaving_since.entry(name.clone()).or_insert(now);
        }
    }
}

impl Instance {
    /// Returns whether this instance should read the server list in the store.
    pub fn should_read_server_list(&self) -> bool {
        let Some(last_update) = self.list_state.last_update else {
            return true;
        };
        let silence = self.now.saturating_sub(last_update);
        // One more instance takes over with each period, so that an outage does not make all
        // instances call the store at once.
        let takeovers =
            silence.saturating_sub(SILENCE_MAX).as_millis() / TAKEOVER_PERIOD.as_millis();
        let extra_readers = usize::try_from(takeovers).unwrap_or(usize::MAX);
        let readers = match silence > SILENCE_MAX {
            true => READERS.saturating_add(1).saturating_add(extra_readers),
            false => READERS,
        };
        self.members.is_top_ranked("list", readers)
    }

    /// Returns the servers of the current list.
    pub fn servers(&self) -> impl Iterator<Item = &ListedServer> {
        self.servers.values()
    }

    /// Installs a list that this instance has read in the store, and sends the changes to the other
    /// instances of its data centre.
    pub(crate) fn on_server_list_read(&mut self, list: ServerListUpdate) {
        if list.revision < self.list_state.revision {
            return;
        }
        let base_revision = self.list_state.revision;
        let servers: BTreeMap<Name, ListedServer> = list
            .servers
            .into_iter()
            .map(|server| (server.name.clone(), server))
            .collect();
        let changed = servers
            .values()
            .filter(|server| self.servers.get(&server.name) != Some(server))
            .cloned()
            .collect();
        let removed = self
            .servers
            .keys()
            .filter(|name| !servers.contains_key(*name))
            .cloned()
            .collect();
        let update = ServerListUpdate {
            base_revision,
            revision: list.revision,
            servers: changed,
            removed,
            config_version: self.config.follower.version(),
        };
        self.record_list_update(list.revision);
        if !update.servers.is_empty() || !update.removed.is_empty() || !self.has_server_list {
            self.install_servers(servers);
        }
        self.broadcast_list_changes(&update);
    }

    fn record_list_update(&mut self, revision: Revision) {
        self.list_state.revision = self.list_state.revision.max(revision);
        self.list_state.last_update = Some(self.now);
    }

    /// Sends changes of the list to all other instances of the data centre.
    fn broadcast_list_changes(&mut self, update: &ServerListUpdate) {
        let own = self.own_data_centre();
        let others: Vec<InstanceId> = self
            .members
            .live(&own)
            .filter(|id| *id != self.id())
            .collect();
        for to in others {
            self.send(to, Body::ServerList(update.clone()));
        }
    }

    /// Applies the changes or the whole list that another instance has sent.
    pub(crate) fn on_server_list(&mut self, from: InstanceId, update: ServerListUpdate) {
        self.observe_version(from, update.config_version);
        if update.revision < self.list_state.revision {
            return;
        }
        if update.base_revision > self.list_state.revision
            || (update.base_revision > 0 && !self.has_server_list)
        {
            self.send(from, Body::FetchServerList);
            return;
        }
        let mut servers = match update.base_revision {
            0 => BTreeMap::new(),
            _ => self.servers.clone(),
        };
        let has_changes =
            update.base_revision == 0 || !update.servers.is_empty() || !update.removed.is_empty();
        for server in update.servers {
            servers.insert(server.name.clone(), server);
        }
        for name in update.removed {
            servers.remove(&name);
        }
        self.record_list_update(update.revision);
        if has_changes && (servers != self.servers || !self.has_server_list) {
            self.install_servers(servers);
        }
    }

    /// Sends the whole list to an instance that has requested it.
    pub(crate) fn on_fetch_server_list(&mut self, from: InstanceId) {
        if !self.has_server_list {
            return;
        }
        let full_list = ServerListUpdate {
            base_revision: 0,
            revision: self.list_state.revision,
            servers: self.servers.values().cloned().collect(),
            removed: Vec::new(),
            config_version: self.config.follower.version(),
        };
        self.send(from, Body::ServerList(full_list));
    }
}
