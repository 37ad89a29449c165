//! Accepting and following configurations.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use clock::Time;
use conf::Name;
use conf::Version;
use conf::change::Change;
use conf::follower::Follower;
use conf::head::HEAD_KEY;
use conf::head::Head;
use query::Command;
use reconcile::Engine;
use store::Answer;
use store::Call;
use store::Revision;
use wire::Body;
use wire::InstanceId;

use crate::instance::CallOrigin;
use crate::instance::Instance;
use crate::message::CommandLine;
use crate::message::CommandReply;
use crate::settings::Source;

/// Instances of a data centre that keep a watch on the head.
const WATCHERS: usize = 2;
/// Time between two reads of the head by an instance without a watch.
const POLL_PERIOD: Duration = Duration::from_secs(20);
/// Pause before a read that failed is repeated.
const FAILED_PAUSE: Duration = Duration::from_millis(500);
/// Time for which a watch is waited for.
const WATCH_PATIENCE: Duration = Duration::from_secs(30);
/// Time for which another call is waited for.
const CALL_PATIENCE: Duration = Duration::from_millis(1_500);
/// Least time between two requests for a newer configuration.
const FETCH_PERIOD: Duration = Duration::from_millis(150);
/// Time that an instance which follows the configuration itself has to read a newer one, before it asks
/// another instance for it.
const OWN_READ: Duration = Duration::from_millis(700);
/// Times that this time is doubled while no newer configuration has come.
const FETCH_DOUBLINGS: u32 = 4;
/// Instances that a new version is sent to at once by each one that gets it.
const PUSH_FANOUT: usize = 3;
/// Time for which a command tries to be accepted.
const EDIT_TIME: Duration = Duration::from_secs(6);
/// Time for which an accepted command waits for the other instances.
const SPREAD_TIME: Duration = Duration::from_secs(2);

/// What a call of the configuration was for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    /// Wait for a newer head.
    Watch,
    /// Read the head.
    Poll,
    /// Read the snapshot.
    Snapshot,
    /// Read the head for a command.
    EditRead,
    /// Read the snapshot for a command.
    EditBase,
    /// Write a snapshot for a command.
    EditSnapshot,
    /// Write the head for a command.
    EditSwap,
}

impl Purpose {
    pub(crate) fn patience(self) -> Duration {
        match self {
            Purpose::Watch => WATCH_PATIENCE,
            _ => CALL_PATIENCE,
        }
    }
}

/// What an instance keeps of the configuration.
#[derive(Debug, Default)]
pub(crate) struct Configuring {
    pub(crate) follower: Follower,
    pub(crate) setups: BTreeMap<Name, Engine>,
    pub(crate) versions: BTreeMap<InstanceId, Version>,
    seen: Revision,
    pending: Option<Head>,
    given: bool,
    following: bool,
    reading: bool,
    next_read: Time,
    next_fetch: Time,
    fetches: u32,
    behind_since: Option<Time>,
    digest: u64,
    edits: VecDeque<Edit>,
    spreading: Vec<Spread>,
}

/// A command on its way to acceptance.
#[derive(Debug)]
struct Edit {
    command: CommandLine,
    actions: Vec<query::Change>,
    until: Time,
    started: bool,
    uncertain: bool,
    revision: Revision,
    head: Head,
    snapshot: Option<Name>,
}

/// An accepted command that waits to be in force elsewhere.
#[derive(Debug)]
struct Spread {
    id: u64,
    version: Version,
    until: Time,
}

impl Configuring {
    pub(crate) fn new(source: Source) -> Configuring {
        Configuring {
            given: source == Source::Shell,
            ..Configuring::default()
        }
    }

    /// Notes that a newer configuration has come.
    pub(crate) fn record_newer(&mut self) {
        self.fetches = 0;
        self.behind_since = None;
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        let read = (!self.following && !self.reading && !self.given).then_some(self.next_read);
        let edit = self.edits.front().map(|edit| edit.until);
        let spread = self.spreading.iter().map(|spread| spread.until).min();
        [read, edit, spread].into_iter().flatten().min()
    }
}

impl Instance {
    pub(crate) fn tick_config(&mut self) {
        self.read_head();
        self.expire_edits();
        self.report_spread();
    }

    /// Keeps a watch on the head, or reads it from time to time.
    fn read_head(&mut self) {
        if self.settings.source == Source::Shell {
            return;
        }
        if self.config.following || self.config.reading || self.now < self.config.next_read {
            return;
        }
        let watches = self.members.is_among_first("config", WATCHERS);
        let known = self.config.seen > 0;
        let key = HEAD_KEY.into();
        if watches && known {
            self.config.following = true;
            let after = self.config.seen;
            self.call_store(
                CallOrigin::Config(Purpose::Watch),
                Call::Watch { key, after },
            );
        } else {
            self.config.reading = true;
            self.call_store(CallOrigin::Config(Purpose::Poll), Call::Get { key });
        }
    }

    pub(crate) fn on_config_answer(&mut self, purpose: Purpose, answer: Answer) {
        match purpose {
            Purpose::Watch => {
                self.config.following = false;
                self.on_head(answer, Duration::ZERO);
            }
            Purpose::Poll => {
                self.config.reading = false;
                let watches = self.members.is_among_first("config", WATCHERS);
                let pause = if watches { Duration::ZERO } else { POLL_PERIOD };
                self.on_head(answer, pause);
            }
            Purpose::Snapshot => self.on_snapshot(answer),
            Purpose::EditRead => self.on_edit_read(answer),
            Purpose::EditBase => self.on_edit_base(answer),
            Purpose::EditSnapshot => self.on_edit_snapshot(answer),
            Purpose::EditSwap => self.on_edit_swap(answer),
        }
    }

    fn on_head(&mut self, answer: Answer, pause: Duration) {
        let jitter = pause.mul_f64(self.rng.f64() * 0.2);
        self.config.next_read = self.now + pause + jitter;
        match answer {
            Answer::Value { revision, value } => {
                // A service that lost its values would show an older revision; what is in force
                // here stays in force.
                self.config.seen = self.config.seen.max(revision);
                if value.is_empty() {
                    self.config.next_read = self.now + pause.max(FAILED_PAUSE);
                } else if let Ok(head) = serde_json::from_slice(&value) {
                    self.follow(head);
                } else {
                    self.log("config", true, "The head in the store is broken.".into());
                }
            }
            Answer::Nothing => {}
            _ => {
                let jitter = FAILED_PAUSE.mul_f64(self.rng.f64());
                self.config.next_read = self.now + FAILED_PAUSE + jitter;
            }
        }
    }

    /// Moves to a head's version, by its changes or by its snapshot.
    fn follow(&mut self, head: Head) {
        let before = self.config.follower.version();
        self.config.follower.observe_version(head.version);
        self.config.follower.apply_changes(&head.changes);
        if self.config.follower.version() < head.version && !head.snapshot_key.is_empty() {
            let key = head.snapshot_key.clone();
            self.config.pending = Some(head);
            self.call_store(CallOrigin::Config(Purpose::Snapshot), Call::Get { key });
        }
        self.activate_config(before);
    }

    fn on_snapshot(&mut self, answer: Answer) {
        let Some(head) = self.config.pending.take() else {
            return;
        };
        let before = self.config.follower.version();
        if let Answer::Value { value, .. } = answer
            && let Ok(config) = serde_json::from_slice(&value)
        {
            self.config.follower.install(config);
            self.config.follower.apply_changes(&head.changes);
        }
        self.activate_config(before);
    }

    /// Sends the newest changes to a few others at once.
    pub(crate) fn push_config(&mut self, before: Version) {
        let Some(changes) = self.config.follower.changes_after(before) else {
            return;
        };
        let Ok(json) = serde_json::to_vec(&changes) else {
            return;
        };
        let mut others: Vec<InstanceId> = self.members.running_others().collect();
        self.rng.shuffle(&mut others);
        for to in others.into_iter().take(PUSH_FANOUT) {
            self.send(to, Body::ConfigChanges { json: json.clone() });
        }
    }

    /// Hears which version another instance has in force.
    pub(crate) fn hear_version(&mut self, from: InstanceId, version: Version) {
        self.config.versions.insert(from, version);
        if self.config.versions.len() > self.members.rumours().count() * 2 + 8 {
            let members = &self.members;
            self.config.versions.retain(|id, _| members.is_running(*id));
        }
        self.config.follower.observe_version(version);
        if version <= self.config.follower.version() {
            return;
        }
        let behind = *self.config.behind_since.get_or_insert(self.now);
        let reads_itself = self.settings.source == Source::Shell;
        if reads_itself && self.now.saturating_sub(behind) < OWN_READ {
            return;
        }
        if self.now >= self.config.next_fetch {
            // A great configuration takes a while on a slow link, and asking again only adds to that.
            let doubled = FETCH_PERIOD * 2u32.pow(self.config.fetches.min(FETCH_DOUBLINGS));
            self.config.next_fetch = self.now + doubled;
            self.config.fetches += 1;
            let after = self.config.follower.version();
            let digest = self.config.digest;
            self.send(from, Body::FetchConfig { after, digest });
        }
    }

    pub(crate) fn on_fetch(&mut self, from: InstanceId, after: Version, digest: u64) {
        let version = self.config.follower.version();
        if version <= after {
            return;
        }
        if digest != 0 && digest == self.config.digest {
            self.send(from, Body::ConfirmConfig { version, digest });
            return;
        }
        let body = match self.config.follower.changes_after(after) {
            Some(changes) => serde_json::to_vec(&changes).map(|json| Body::ConfigChanges { json }),
            None => serde_json::to_vec(self.config()).map(|json| Body::ConfigSnapshot { json }),
        };
        if let Ok(body) = body {
            self.send(from, body);
        }
    }

    /// Takes a later version that says the same. Where the configuration is read whole, its version is
    /// the revision at which it was read, so instances that read it at different times differ in nothing
    /// else.
    pub(crate) fn on_confirm(&mut self, version: Version, digest: u64) {
        if digest == self.config.digest {
            self.config.follower.confirm(version);
            self.config.record_newer();
        }
    }

    /// Notes a hash of the configuration in force, by which instances find that they have the same.
    pub(crate) fn record_digest(&mut self) {
        if self.settings.source != Source::Shell {
            return;
        }
        let mut unversioned = self.config().clone();
        unversioned.version = 0;
        match serde_json::to_vec(&unversioned) {
            Ok(json) => self.config.digest = xxhash_rust::xxh3::xxh3_64(&json),
            Err(error) => {
                self.config.digest = 0;
                self.log("config", true, format!("It can't be coded: {error}."));
            }
        }
    }

    pub(crate) fn on_changes(&mut self, json: &[u8]) {
        let Ok(changes) = serde_json::from_slice::<Vec<Change>>(json) else {
            return;
        };
        let before = self.config.follower.version();
        self.config.follower.apply_changes(&changes);
        self.activate_config(before);
    }

    pub(crate) fn on_whole(&mut self, json: &[u8]) {
        let Ok(config) = serde_json::from_slice(json) else {
            return;
        };
        let before = self.config.follower.version();
        self.config.follower.install(config);
        self.activate_config(before);
    }

    /// Takes a whole configuration from whoever keeps it.
    pub(crate) fn on_adopt(&mut self, config: &conf::Config) {
        let before = self.config.follower.version();
        self.config.follower.install(config.clone());
        self.activate_config(before);
    }

    /// Takes an operator's command.
    pub(crate) fn on_command(&mut self, command: CommandLine) {
        let mut actions = Vec::new();
        let mut findings = Vec::new();
        let single = command.lines.len() == 1;
        for (index, line) in command.lines.iter().enumerate() {
            match query::parse::parse(line) {
                Ok(Command::Change(change)) => actions.push(change),
                Ok(other) if single => {
                    let reply = self.look(&other);
                    self.reply(command.id, reply);
                    return;
                }
                Ok(_) => findings.push(format!("line {}: changes nothing", index + 1)),
                Err(error) if single => findings.push(error.to_string()),
                Err(error) => findings.push(format!("line {}, {error}", index + 1)),
            }
        }
        if self.settings.source == Source::Shell && !actions.is_empty() {
            findings.push("the configuration is kept by the platform; change it there".into());
        }
        if !findings.is_empty() || actions.is_empty() {
            self.reply(command.id, CommandReply::Refused(findings));
            return;
        }
        let edit = Edit {
            command,
            actions,
            until: self.now + EDIT_TIME,
            started: false,
            uncertain: false,
            revision: 0,
            head: Head::default(),
            snapshot: None,
        };
        self.config.edits.push_back(edit);
        self.start_edit();
    }

    fn reply(&mut self, id: u64, reply: CommandReply) {
        self.out.push(crate::message::Output::Reply { id, reply });
    }

    /// Reads the head for the first command, unless that is under way.
    fn start_edit(&mut self) {
        let Some(edit) = self.config.edits.front_mut() else {
            return;
        };
        if edit.started {
            return;
        }
        edit.started = true;
        let key = HEAD_KEY.into();
        self.call_store(CallOrigin::Config(Purpose::EditRead), Call::Get { key });
    }

    fn on_edit_read(&mut self, answer: Answer) {
        let (revision, value) = match answer {
            Answer::Value { revision, value } => (revision, value),
            _ => {
                self.fail_edit();
                return;
            }
        };
        let head: Head = if value.is_empty() {
            Head::default()
        } else if let Ok(head) = serde_json::from_slice(&value) {
            head
        } else {
            self.end_edit(CommandReply::Failed(
                "the head in the store is broken".into(),
            ));
            return;
        };
        let Some(edit) = self.config.edits.front_mut() else {
            return;
        };
        edit.revision = revision;
        edit.head = head.clone();
        self.follow_for_edit(&head);
    }

    /// Reaches the head's version before a command is applied to it.
    fn follow_for_edit(&mut self, head: &Head) {
        let before = self.config.follower.version();
        self.config.follower.observe_version(head.version);
        self.config.follower.apply_changes(&head.changes);
        self.activate_config(before);
        if self.config.follower.version() == head.version {
            self.apply_edit();
        } else if self.config.follower.version() < head.version && !head.snapshot_key.is_empty() {
            let key = head.snapshot_key.clone();
            self.call_store(CallOrigin::Config(Purpose::EditBase), Call::Get { key });
        } else {
            // The follower is ahead of the head that was read: it was swapped meanwhile.
            self.restart_edit();
        }
    }

    fn on_edit_base(&mut self, answer: Answer) {
        let Answer::Value { value, .. } = answer else {
            self.fail_edit();
            return;
        };
        let Ok(config) = serde_json::from_slice(&value) else {
            self.restart_edit();
            return;
        };
        let before = self.config.follower.version();
        self.config.follower.install(config);
        self.activate_config(before);
        let Some(edit) = self.config.edits.front() else {
            return;
        };
        let head = edit.head.clone();
        self.config.follower.apply_changes(&head.changes);
        self.activate_config(before);
        if self.config.follower.version() == head.version {
            self.apply_edit();
        } else {
            self.restart_edit();
        }
    }

    /// Applies the first command to the head that was read, and writes what comes of it.
    fn apply_edit(&mut self) {
        let wall_ms = u64::try_from(self.wall.as_millis()).unwrap_or(u64::MAX);
        let Some(edit) = self.config.edits.front() else {
            return;
        };
        if let Some(version) = edit.head.version_of(edit.command.change_id) {
            self.accept_edit(version);
            return;
        }
        let guards = edit.actions.iter().filter_map(|change| change.guard);
        let broken: Vec<String> = guards
            .filter(|guard| *guard != edit.head.version)
            .map(|guard| format!("version is {}, not {guard}", edit.head.version))
            .collect();
        if !broken.is_empty() {
            self.end_edit(CommandReply::Refused(broken));
            return;
        }
        let change = Change {
            id: edit.command.change_id,
            version: 0,
            who: edit.command.who.clone(),
            at_ms: wall_ms,
            ops: edit
                .actions
                .iter()
                .map(|c| c.action.to_op(wall_ms))
                .collect(),
        };
        let base = self.config.follower.config();
        let (head, next) = match edit.head.with_change(base, change) {
            Ok(next) => next,
            Err(findings) => {
                let lines = findings.iter().map(ToString::to_string).collect();
                self.end_edit(CommandReply::Refused(lines));
                return;
            }
        };
        if edit.command.dry_run {
            let lines = difference(base, &next);
            self.end_edit(CommandReply::Preview(lines));
            return;
        }
        self.write_edit(head);
    }

    fn write_edit(&mut self, mut head: Head) {
        let base_version = self.config.follower.version();
        let Ok(snapshot) = serde_json::to_vec(self.config.follower.config()) else {
            return;
        };
        let id = self.rng.u32(..);
        let Some(edit) = self.config.edits.front_mut() else {
            return;
        };
        if edit.head.is_full() && edit.snapshot.is_none() {
            let key = Name::from(format!("config/snapshot/{base_version}-{id:08x}"));
            edit.snapshot = Some(key.clone());
            let call = Call::Swap {
                key,
                expect: 0,
                value: snapshot,
                ttl_ms: 0,
            };
            self.call_store(CallOrigin::Config(Purpose::EditSnapshot), call);
            return;
        }
        if let Some(key) = edit.snapshot.clone() {
            head = head.with_snapshot(key, base_version);
        }
        let Ok(value) = serde_json::to_vec(&head) else {
            return;
        };
        let call = Call::Swap {
            key: HEAD_KEY.into(),
            expect: edit.revision,
            value,
            ttl_ms: 0,
        };
        edit.head = head;
        self.call_store(CallOrigin::Config(Purpose::EditSwap), call);
    }

    fn on_edit_snapshot(&mut self, answer: Answer) {
        let Some(edit) = self.config.edits.front_mut() else {
            return;
        };
        if matches!(answer, Answer::Swapped { .. }) {
            self.apply_edit();
        } else {
            edit.snapshot = None;
            self.fail_edit();
        }
    }

    fn on_edit_swap(&mut self, answer: Answer) {
        match answer {
            Answer::Swapped { revision } => {
                let Some(edit) = self.config.edits.front() else {
                    return;
                };
                let head = edit.head.clone();
                self.config.seen = self.config.seen.max(revision);
                let before = self.config.follower.version();
                self.config.follower.apply_changes(&head.changes);
                self.activate_config(before);
                self.accept_edit(head.version);
            }
            Answer::Unknown => {
                if let Some(edit) = self.config.edits.front_mut() {
                    edit.uncertain = true;
                }
                self.restart_edit();
            }
            Answer::Conflict { .. } => self.restart_edit(),
            _ => self.fail_edit(),
        }
    }

    /// Reads the head anew: another command came first, or an answer was lost.
    fn restart_edit(&mut self) {
        if let Some(edit) = self.config.edits.front_mut() {
            edit.started = false;
            edit.snapshot = None;
        }
        self.start_edit();
    }

    fn fail_edit(&mut self) {
        let Some(edit) = self.config.edits.front() else {
            return;
        };
        if edit.uncertain {
            // The write may stand; only the head can tell.
            self.restart_edit();
            return;
        }
        let text = "the store is out of reach; nothing was changed";
        self.end_edit(CommandReply::Failed(text.into()));
    }

    fn expire_edits(&mut self) {
        let late = self
            .config
            .edits
            .front()
            .is_some_and(|edit| self.now >= edit.until);
        if late {
            let uncertain = self.config.edits.front().is_some_and(|edit| edit.uncertain);
            let text = if uncertain {
                "the store is out of reach; whether the change was accepted is not known, send it again"
            } else {
                "the store is out of reach; nothing was changed"
            };
            self.end_edit(CommandReply::Failed(text.into()));
        }
    }

    fn end_edit(&mut self, reply: CommandReply) {
        if let Some(edit) = self.config.edits.pop_front() {
            self.reply(edit.command.id, reply);
        }
        self.start_edit();
    }

    fn accept_edit(&mut self, version: Version) {
        let Some(edit) = self.config.edits.pop_front() else {
            return;
        };
        let who = &edit.command.who;
        let lines = edit.command.lines.join("; ");
        self.log(
            "config",
            false,
            format!("Version {version} by {who}: {lines}."),
        );
        self.config.spreading.push(Spread {
            id: edit.command.id,
            version,
            until: self.now + SPREAD_TIME,
        });
        self.start_edit();
    }

    /// Tells operators on how many instances their change is in force.
    fn report_spread(&mut self) {
        let mut open = std::mem::take(&mut self.config.spreading);
        open.retain(|spread| {
            let (in_force, missing) = self.coverage(spread.version);
            let done = missing.is_empty() || self.now >= spread.until;
            if done {
                let reply = CommandReply::Accepted {
                    version: spread.version,
                    in_force,
                    missing,
                };
                self.reply(spread.id, reply);
            }
            !done
        });
        self.config.spreading.extend(open);
    }

    /// Returns how many instances have a version in force, and which have not said so.
    fn coverage(&self, version: Version) -> (usize, Vec<Name>) {
        let own = self.id();
        let has = |id: InstanceId| {
            let known = self.config.versions.get(&id).copied().unwrap_or(0);
            id == own || known >= version
        };
        let live: Vec<&wire::gossip::Rumour> = self
            .members
            .rumours()
            .filter(|rumour| rumour.state != wire::gossip::State::Dead)
            .collect();
        let missing: Vec<Name> = live
            .iter()
            .filter(|rumour| !has(rumour.entry.id))
            .map(|rumour| rumour.entry.name.clone())
            .collect();
        (live.len() - missing.len(), missing)
    }
}

/// Returns the lines by which two configurations differ, as people read them.
fn difference(before: &conf::Config, after: &conf::Config) -> Vec<String> {
    let text = |config: &conf::Config| serde_json::to_string_pretty(config).unwrap_or_default();
    let (before, after) = (text(before), text(after));
    let old: Vec<&str> = before.lines().collect();
    let new: Vec<&str> = after.lines().collect();
    let same_start = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let most = old.len().min(new.len()) - same_start;
    let same_end = old
        .iter()
        .rev()
        .zip(new.iter().rev())
        .take_while(|(a, b)| a == b)
        .count()
        .min(most);
    let removed = &old[same_start..old.len() - same_end];
    let added = &new[same_start..new.len() - same_end];
    let minus = removed.iter().map(|line| format!("- {line}"));
    let plus = added.iter().map(|line| format!("+ {line}"));
    minus.chain(plus).collect()
}
