//! The list of backend servers and its distribution within a data centre.
//!
//! Calls to the platform's store are rate-limited, so one instance of each data centre (the reader)
//! reads the list and sends the changes to the other instances of its data centre. Each frame names
//! the revision from which its changes are counted. A receiver that has missed a frame fetches the
//! whole list. A frame without changes serves as a heartbeat: an instance that receives none for
//! [`SILENCE_MAX`] from those before it in the order of readers reads the list itself, so a reader
//! that stops, is disconnected or is refused by the store is replaced within about a second. The one
//! that has taken over goes on until an instance before it sends a frame again: its own frames keep
//! only those after it from reading.
//!
//! Records may lapse while the store is away although their servers run, and are written again when
//! it is back. Servers that it then lacks are kept for a grace period, with a mark. Whether it was
//! away is judged by what all instances of the data centre know: if the list went on while the store
//! refused this instance, nothing lapsed unseen. Only servers of the current list are kept, which
//! lacks those whose removal another instance has seen.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use clock::Time;
use conf::Name;
use wire::Body;
use wire::BootId;
use wire::InstanceId;
use wire::RequestId;
use wire::server_list::Era;
use wire::server_list::Revision;
use wire::server_list::ServerListUpdate;

use crate::instance::Instance;
use crate::message::ListPosition;
use crate::message::ListedServer;

/// Key by which the instance that reads the store for its data centre is chosen.
pub(crate) const READER_KEY: &str = "list";
/// Time without a frame of any instance after which this instance counts as cut off from the others
/// and reads the list itself.
const ISOLATION_TIME: Duration = Duration::from_millis(1_200);
/// Time without a frame of the reader after which an instance reads the list itself. A reader reads
/// the list several times a second.
const SILENCE_MAX: Duration = Duration::from_millis(900);
/// Time for which a removed server is remembered. A store may be restored from a copy some seconds
/// old, in which the server is still listed.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);
/// Time after which further instances start to read the list while no frame arrives.
const TAKEOVER_PERIOD: Duration = Duration::from_millis(700);
/// Position in the order of readers up to which the number of instances that read the list doubles
/// with each period. After that it grows by one, so that an outage does not make all instances call
/// the store.
const DOUBLING_POSITIONS: u32 = 8;
/// Time for which a request of another instance waits for a reading of the list.
const AWAITING_TIME: Duration = Duration::from_secs(1);
/// Maximum number of requests of other instances that wait for a reading of the list.
const AWAITING_MAX: usize = 1_024;
/// Time for which the last frame of a reader is remembered.
const FRAME_RETENTION: Duration = Duration::from_secs(30);

/// Time without a list, whether read or received, after which the store may have been away for all
/// instances of the data centre.
const OUTAGE_MIN: Duration = Duration::from_secs(1);

/// State of following the server list.
#[derive(Debug, Default)]
pub(crate) struct ListState {
    /// Era of the store to which the revision belongs.
    era: Era,
    /// Revision of the store as of which the list is current.
    revision: Revision,
    /// When the last frame of any instance arrived.
    last_frame: Time,
    /// When the list was last read or confirmed by a frame. `None` before the first time.
    last_update: Option<Time>,
    /// When the list was first read or received.
    first_update: Option<Time>,
    /// When each other instance last sent a frame with the list that it had read.
    frames: BTreeMap<InstanceId, Time>,
    /// The instance that read the list then.
    reader: InstanceId,
    /// When the call began by which this instance last read the list itself.
    asked_at: Option<Time>,
    /// Requests of other instances that wait for a reading, and since when.
    awaiting: Vec<(InstanceId, RequestId, Time)>,
    /// When each leaving server was first listed as leaving.
    leaving_since: BTreeMap<Name, Time>,
    /// The servers that were removed lately, with their boot and the time of their removal.
    removed: BTreeMap<Name, (BootId, Time)>,
    /// The servers of the current list that the store lacks.
    kept: BTreeSet<Name>,
    /// Until when servers are kept that the store lacks.
    grace_until: Time,
}

impl ListState {
    /// Returns the revision of the store as of which the list is current.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Records that a frame of another instance has arrived.
    pub(crate) fn record_frame(&mut self, now: Time) {
        self.last_frame = now;
    }

    /// Returns when a server was first listed as leaving, or `None` if it is not.
    pub(crate) fn leaving_since(&self, server: &str) -> Option<Time> {
        self.leaving_since.get(server).copied()
    }

    /// Returns when the call began by which this instance last read the list itself.
    pub(crate) fn asked_at(&self) -> Option<Time> {
        self.asked_at
    }

    /// Returns the instance that read the current list.
    pub(crate) fn reader(&self) -> InstanceId {
        self.reader
    }

    /// Returns the era and the revision of the store as of which the list is current.
    pub(crate) fn position(&self) -> (Era, Revision) {
        (self.era, self.revision)
    }

    /// Returns when the kept servers are removed, if there are any.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        (!self.kept.is_empty()).then_some(self.grace_until)
    }

    /// Begins a grace period with a list of an era, unless instances have read the store of this
    /// era until now.
    fn begin_grace(&mut self, now: Time, era: Era, grace_ms: u32) {
        let is_old = |at: Time| now.saturating_sub(at) > OUTAGE_MIN;
        if era > self.era || self.last_update.is_none_or(is_old) {
            self.grace_until = now + Duration::from_millis(grace_ms.into());
        }
    }

    /// Returns the remaining grace period in milliseconds.
    fn grace_ms(&self, now: Time) -> u32 {
        let left = self.grace_until.saturating_sub(now);
        u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
    }

    /// Records the servers of the current list that a new list lacks.
    pub(crate) fn record_removed(
        &mut self,
        now: Time,
        current: &BTreeMap<Name, ListedServer>,
        new: &BTreeMap<Name, ListedServer>,
    ) {
        self.removed
            .retain(|_, (_, at)| now.saturating_sub(*at) < REMOVED_RETENTION);
        for server in current.values() {
            if server.boot != 0 && !new.contains_key(&server.name) {
                self.removed.insert(server.name.clone(), (server.boot, now));
            }
        }
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

/// Returns the periods of silence after which the instance reads the list that has this many
/// instances before it in the order of readers, at least one.
fn takeover_periods(before: usize) -> u32 {
    let position = u32::try_from(before).unwrap_or(u32::MAX);
    match position < DOUBLING_POSITIONS {
        true => position.ilog2(),
        false => position - DOUBLING_POSITIONS + DOUBLING_POSITIONS.ilog2() + 1,
    }
}

impl Instance {
    /// Returns whether this instance should read the server list in the store: none of the instances
    /// before it in the order of readers has sent a list lately.
    pub fn should_read_server_list(&self) -> bool {
        let (Some(last_update), Some(first_update)) =
            (self.list_state.last_update, self.list_state.first_update)
        else {
            return true;
        };
        if self.is_isolated() && self.now.saturating_sub(last_update) > SILENCE_MAX {
            return true;
        }
        let before = self.readers_before();
        if before.is_empty() {
            return true;
        }
        let frames = &self.list_state.frames;
        let last_frame = before.iter().filter_map(|id| frames.get(id).copied()).max();
        let silence = self
            .now
            .saturating_sub(last_frame.unwrap_or(first_update).max(first_update));
        silence > SILENCE_MAX + TAKEOVER_PERIOD * takeover_periods(before.len())
    }

    /// Returns the instances that read the list for this data centre rather than this one.
    fn readers_before(&self) -> Vec<InstanceId> {
        let own = self.own_data_centre();
        let live: Vec<InstanceId> = self.members.live(&own).collect();
        let count = live.len();
        let mut order = member::rendezvous::order(READER_KEY, live.into_iter(), count);
        let position = order.iter().position(|id| *id == self.id());
        order.truncate(position.unwrap_or(count));
        order
    }

    /// Returns whether no other instance has been heard of for [`ISOLATION_TIME`]. What this instance
    /// reads in the store then serves itself alone.
    pub fn is_isolated(&self) -> bool {
        self.now.saturating_sub(self.list_state.last_frame) > ISOLATION_TIME
    }

    /// Returns how current the list is.
    pub(crate) fn list_position(&self) -> ListPosition {
        let last_update = self.list_state.last_update.unwrap_or(self.now);
        ListPosition {
            revision: self.list_state.revision,
            age: self.now.saturating_sub(last_update),
            reader: self.instance_name(self.list_state.reader),
        }
    }

    /// Returns the servers of the current list, including those of services that are not configured.
    pub fn servers(&self) -> impl Iterator<Item = &ListedServer> {
        self.listed.values()
    }

    /// Installs a list that this instance has read in the store by a call that began at a given time,
    /// and sends the changes to the other instances of its data centre.
    pub(crate) fn on_server_list_read(&mut self, list: ServerListUpdate, asked_at: Time) {
        if (list.era, list.revision) < self.list_state.position() {
            return;
        }
        let known = self.list_state.asked_at;
        self.list_state.asked_at = known.max(Some(asked_at));
        if self.has_server_list {
            self.list_state
                .begin_grace(self.now, list.era, list.grace_ms);
        }
        // Changes can only be counted from a revision of the same era.
        let base_revision = match list.era == self.list_state.era {
            true => self.list_state.revision,
            false => 0,
        };
        let mut servers: BTreeMap<Name, ListedServer> = list
            .servers
            .into_iter()
            .map(|server| (server.name.clone(), server))
            .collect();
        let kept = self.keep_lapsed(&mut servers);
        // A kept server that the store lists again is sent, since receivers have it marked as kept.
        let is_back = |name: &Name| self.list_state.kept.contains(name) && !kept.contains(name);
        let is_changed = |server: &&ListedServer| {
            self.listed.get(&server.name) != Some(*server) || is_back(&server.name)
        };
        let changed = servers
            .values()
            .filter(|server| base_revision == 0 || is_changed(server))
            .cloned()
            .collect();
        let removed = self
            .listed
            .keys()
            .filter(|name| !servers.contains_key(*name))
            .cloned()
            .collect();
        let update = ServerListUpdate {
            era: list.era,
            base_revision,
            revision: list.revision,
            servers: changed,
            removed,
            kept: kept.iter().cloned().collect(),
            grace_ms: self.list_state.grace_ms(self.now),
            config_version: self.config.follower.version(),
            config_digest: self.config.digest(),
        };
        self.list_state.kept = kept;
        let is_restored = self.record_list_update(self.id(), list.era, list.revision);
        if is_restored
            || !update.servers.is_empty()
            || !update.removed.is_empty()
            || !self.has_server_list
        {
            self.install_servers(servers);
        }
        self.record_listed_software(asked_at);
        if is_restored {
            self.distrust_removed_servers();
        }
        self.broadcast_list_changes(&update);
        self.answer_awaiting(asked_at);
    }

    /// Answers the requests of other instances that wait for a reading by a call that began after
    /// they were received.
    fn answer_awaiting(&mut self, asked_at: Time) {
        let (era, revision) = self.list_state.position();
        let awaiting = std::mem::take(&mut self.list_state.awaiting);
        for (to, request, received_at) in awaiting {
            if received_at > asked_at {
                self.list_state.awaiting.push((to, request, received_at));
                continue;
            }
            let answer = Body::ServerListRead {
                request,
                era,
                revision,
            };
            self.send(to, answer);
        }
    }

    /// Handles the wish of another instance to be told when this one has read the list anew.
    pub(crate) fn on_await_server_list(&mut self, from: InstanceId, request: RequestId) {
        let now = self.now;
        let awaiting = &mut self.list_state.awaiting;
        awaiting.retain(|(_, _, received_at)| now.saturating_sub(*received_at) < AWAITING_TIME);
        let is_known = awaiting
            .iter()
            .any(|(to, waiting, _)| (*to, *waiting) == (from, request));
        if !is_known && awaiting.len() < AWAITING_MAX {
            awaiting.push((from, request, now));
        }
    }

    /// Adds the servers of the current list that a list read in the store lacks, if they may have
    /// lapsed. Returns their names.
    fn keep_lapsed(&self, servers: &mut BTreeMap<Name, ListedServer>) -> BTreeSet<Name> {
        let mut kept = BTreeSet::new();
        if self.now >= self.list_state.grace_until {
            return kept;
        }
        for (name, server) in &self.listed {
            if !servers.contains_key(name) {
                servers.insert(name.clone(), server.clone());
                kept.insert(name.clone());
            }
        }
        kept
    }

    /// Removes the kept servers whose grace period has ended. All instances know the same period,
    /// so each removes them by itself.
    pub(crate) fn expire_kept_servers(&mut self) {
        if self.now < self.list_state.grace_until || self.list_state.kept.is_empty() {
            return;
        }
        let kept = std::mem::take(&mut self.list_state.kept);
        let mut servers = self.listed.clone();
        servers.retain(|name, _| !kept.contains(name));
        self.install_servers(servers);
    }

    /// Records that the list is current as of a revision. Returns whether the store was restored
    /// from an older copy since the revision before.
    fn record_list_update(&mut self, reader: InstanceId, era: Era, revision: Revision) -> bool {
        self.list_state.reader = reader;
        let known = self.list_state.position();
        (self.list_state.era, self.list_state.revision) = known.max((era, revision));
        let is_first = self.list_state.last_update.is_none();
        self.list_state.last_update = Some(self.now);
        self.list_state.first_update.get_or_insert(self.now);
        !is_first && era > known.0
    }

    /// Returns the era of the store in which the current list was read.
    pub fn store_era(&self) -> Era {
        self.list_state.era
    }

    /// Excludes the servers that were removed shortly before the store was restored and that the
    /// older copy lists again. Records of servers that are gone lapse within that time.
    fn distrust_removed_servers(&mut self) {
        let era = self.list_state.era;
        let text = format!("The store was restored from an older copy (era {era}).");
        self.log("list", true, text);
        for (server, (boot, _)) in self.list_state.removed.clone() {
            if self
                .servers
                .get(&server)
                .is_some_and(|listed| listed.boot == boot)
            {
                let text = format!(
                    "Server {server} (boot {boot}) was removed before the restore and gets no \
                     work until its record proves current."
                );
                self.log("list", false, text);
                self.record_stale_record(&server, boot);
            }
        }
        self.refresh_coordinators();
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
    ///
    /// `age` is the time for which the frame was on its way. The list may be older by the time that
    /// its reader took.
    pub(crate) fn on_server_list(
        &mut self,
        from: InstanceId,
        update: ServerListUpdate,
        age: Duration,
    ) {
        self.observe_version(from, update.config_version, update.config_digest);
        let known_era = self.list_state.era;
        if (update.era, update.revision) < self.list_state.position() {
            return;
        }
        let now = self.now;
        let frames = &mut self.list_state.frames;
        frames.retain(|_, at| now.saturating_sub(*at) < FRAME_RETENTION);
        frames.insert(from, now);
        if update.base_revision > self.list_state.revision
            || (update.base_revision > 0 && update.era > known_era)
            || (update.base_revision > 0 && !self.has_server_list)
        {
            self.send(from, Body::FetchServerList);
            return;
        }
        self.list_state
            .begin_grace(self.now, update.era, update.grace_ms);
        let (mut servers, mut kept) = match update.base_revision {
            0 => (BTreeMap::new(), BTreeSet::new()),
            _ => (
                self.listed.clone(),
                std::mem::take(&mut self.list_state.kept),
            ),
        };
        let has_changes = update.base_revision == 0
            || !update.servers.is_empty()
            || !update.removed.is_empty()
            || !update.kept.is_empty();
        for server in update.servers {
            kept.remove(&server.name);
            servers.insert(server.name.clone(), server);
        }
        for name in update.removed {
            servers.remove(&name);
        }
        kept.extend(update.kept);
        let is_in_grace = self.now < self.list_state.grace_until;
        let may_keep = |name: &Name| !self.has_server_list || self.listed.contains_key(name);
        servers.retain(|name, _| !kept.contains(name) || (is_in_grace && may_keep(name)));
        kept.retain(|name| servers.contains_key(name));
        self.list_state.kept = kept;
        let is_restored = self.record_list_update(from, update.era, update.revision);
        if has_changes && (servers != self.listed || !self.has_server_list) {
            self.install_servers(servers);
        }
        self.record_listed_software(self.now.saturating_sub(age));
        if is_restored {
            self.distrust_removed_servers();
        }
    }

    /// Sends the whole list to an instance that has requested it.
    pub(crate) fn on_fetch_server_list(&mut self, from: InstanceId) {
        if !self.has_server_list {
            return;
        }
        let full_list = ServerListUpdate {
            era: self.list_state.era,
            base_revision: 0,
            revision: self.list_state.revision,
            servers: self.listed.values().cloned().collect(),
            removed: Vec::new(),
            kept: self.list_state.kept.iter().cloned().collect(),
            grace_ms: self.list_state.grace_ms(self.now),
            config_version: self.config.follower.version(),
            config_digest: self.config.digest(),
        };
        self.send(from, Body::ServerList(full_list));
    }
}
