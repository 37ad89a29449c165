//! Following the configuration and accepting operators' changes to it.
//!
//! With [`Source::Store`], the head in the platform's store names the newest version. A few
//! instances of each data centre watch the head and the others read it periodically. An operator's
//! change is applied to the newest head, which is then written back with a compare-and-swap. With
//! [`Source::External`], the configuration is passed in from outside and its version is the
//! revision at which it was read. In both cases an instance that learns of a newer version from
//! another instance can fetch it from there.

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
use reconcile::EngineState;
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
use crate::transfer::Transfers;

/// Number of instances of a data centre that watch the head.
const WATCHERS: usize = 2;
/// Time between two reads of the head by an instance that does not watch it.
const HEAD_READ_PERIOD: Duration = Duration::from_secs(20);
/// Pause before a failed read of the head is repeated.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest time that a watch waits to be sent, or to be repeated after a failure.
const WATCH_QUEUE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time that any other call waits to be sent, or a read to be repeated.
const CALL_QUEUE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of other instances to which an instance sends each new version at once.
const PUSH_FANOUT: usize = 3;
/// Time after which a command that is not accepted fails.
const EDIT_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest time that the reply to an accepted command waits until the other instances have its
/// version in force.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(2);

/// A store call that is made for the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConfigCall {
    /// Waits for a newer head.
    WatchHead,
    /// Reads the head.
    ReadHead,
    /// Reads the snapshot of the head that was read.
    ReadSnapshot,
    /// Reads the head that a command is applied to.
    ReadHeadForEdit,
    /// Reads the snapshot of the head that a command is applied to.
    ReadSnapshotForEdit,
    /// Writes the snapshot for a command's new head.
    WriteSnapshot,
    /// Replaces the head by a command's new head.
    SwapHead,
}

impl ConfigCall {
    /// Returns the longest time that the call waits to be sent, or a read to be repeated.
    pub(crate) fn queue_timeout(self) -> Duration {
        match self {
            ConfigCall::WatchHead => WATCH_QUEUE_TIMEOUT,
            _ => CALL_QUEUE_TIMEOUT,
        }
    }
}

/// State of following and changing the configuration.
#[derive(Debug, Default)]
pub(crate) struct ConfigState {
    /// The configuration in force.
    pub(crate) follower: Follower,
    /// The setups that engines last reported, by server.
    pub(crate) setups: BTreeMap<Name, EngineState>,
    /// The version that each other instance last reported as in force.
    pub(crate) versions: BTreeMap<InstanceId, Version>,
    /// Greatest revision of the head that was seen, or zero if no head was seen.
    head_revision: Revision,
    /// The head whose snapshot is being read.
    pending_head: Option<Head>,
    /// Whether the configuration is kept outside the store.
    external: bool,
    /// Whether a watch of the head is open.
    watching: bool,
    /// Whether a read of the head is under way.
    reading_head: bool,
    /// When the head is read or watched next.
    next_head_read: Time,
    /// Transfers of configurations from and to other instances.
    pub(crate) transfers: Transfers,
    /// When this instance learnt that a newer version than its own is in force elsewhere.
    pub(crate) behind_since: Option<Time>,
    /// Hash of the configuration in force without its version. Zero if there is none.
    digest: u64,
    /// Commands that are not accepted yet, processed one after another in order of arrival.
    edits: VecDeque<Edit>,
    /// Accepted commands that are not reported yet.
    rollouts: Vec<Rollout>,
}

/// A command that changes the configuration and is not accepted yet.
#[derive(Debug)]
struct Edit {
    command: CommandLine,
    /// The changes that the command's lines ask for.
    actions: Vec<query::Change>,
    /// When the command fails if it is not accepted.
    deadline: Time,
    /// Whether the head was requested for the current attempt.
    read_sent: bool,
    /// Whether the answer to a write of the head was lost, so that the write may have succeeded.
    outcome_unknown: bool,
    /// Revision of the head that was read, which a write expects unchanged.
    revision: Revision,
    /// The head that was read, or the new head once it is being written.
    head: Head,
    /// Key of the snapshot that is written for the new head, if it needs one.
    snapshot: Option<Name>,
}

/// An accepted command whose version is not reported as in force on all instances yet.
#[derive(Debug)]
struct Rollout {
    /// Id of the command.
    id: u64,
    version: Version,
    /// When the command is replied to, even if instances are missing.
    deadline: Time,
}

impl ConfigState {
    pub(crate) fn new(source: Source) -> ConfigState {
        ConfigState {
            external: source == Source::External,
            ..ConfigState::default()
        }
    }

    /// Returns the hash of the configuration in force without its version, or zero if there is none.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Records that a newer version has come into force.
    pub(crate) fn on_version_in_force(&mut self) {
        self.transfers.on_config_in_force(self.follower.version());
        self.behind_since = None;
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        let read =
            (!self.watching && !self.reading_head && !self.external).then_some(self.next_head_read);
        let edit = self.edits.front().map(|edit| edit.deadline);
        let rollout = self.rollouts.iter().map(|rollout| rollout.deadline).min();
        [read, edit, rollout].into_iter().flatten().min()
    }
}

impl Instance {
    pub(crate) fn tick_config(&mut self) {
        self.follow_head();
        self.expire_edits();
        self.report_rollouts();
    }

    /// Opens a watch of the head or reads the head, if that is due.
    fn follow_head(&mut self) {
        if self.settings.source == Source::External {
            return;
        }
        if self.config.watching || self.config.reading_head || self.now < self.config.next_head_read
        {
            return;
        }
        let is_watcher = self.members.is_top_ranked("config", WATCHERS);
        let is_head_known = self.config.head_revision > 0;
        let key = HEAD_KEY.into();
        if is_watcher && is_head_known {
            self.config.watching = true;
            let after = self.config.head_revision;
            self.call_store(
                CallOrigin::Config(ConfigCall::WatchHead),
                Call::Watch { key, after },
            );
        } else {
            self.config.reading_head = true;
            self.call_store(CallOrigin::Config(ConfigCall::ReadHead), Call::Get { key });
        }
    }

    pub(crate) fn on_config_answer(&mut self, config_call: ConfigCall, answer: Answer) {
        match config_call {
            ConfigCall::WatchHead => {
                self.config.watching = false;
                self.on_head(answer, Duration::ZERO);
            }
            ConfigCall::ReadHead => {
                self.config.reading_head = false;
                let is_watcher = self.members.is_top_ranked("config", WATCHERS);
                let pause = if is_watcher {
                    Duration::ZERO
                } else {
                    HEAD_READ_PERIOD
                };
                self.on_head(answer, pause);
            }
            ConfigCall::ReadSnapshot => self.on_snapshot(answer),
            ConfigCall::ReadHeadForEdit => self.on_edit_head(answer),
            ConfigCall::ReadSnapshotForEdit => self.on_edit_snapshot_read(answer),
            ConfigCall::WriteSnapshot => self.on_edit_snapshot_written(answer),
            ConfigCall::SwapHead => self.on_edit_head_swapped(answer),
        }
    }

    /// Handles the answer to a read or a watch of the head. The next one follows after the given
    /// pause.
    fn on_head(&mut self, answer: Answer, pause: Duration) {
        let jitter = pause.mul_f64(self.rng.f64() * 0.2);
        self.config.next_head_read = self.now + pause + jitter;
        match answer {
            Answer::Value { revision, value } => {
                // A store that has lost its values returns an older revision. The greatest revision
                // is kept, and so is the configuration in force.
                self.config.head_revision = self.config.head_revision.max(revision);
                if value.is_empty() {
                    self.config.next_head_read = self.now + pause.max(READ_RETRY_PAUSE);
                } else if let Ok(head) = serde_json::from_slice(&value) {
                    self.advance_to_head(head);
                } else {
                    self.log(
                        "config",
                        true,
                        "The configuration head in the store can't be decoded.".into(),
                    );
                }
            }
            Answer::Unchanged => {}
            _ => {
                let jitter = READ_RETRY_PAUSE.mul_f64(self.rng.f64());
                self.config.next_head_read = self.now + READ_RETRY_PAUSE + jitter;
            }
        }
    }

    /// Moves to a head's version by applying its changes, or else by reading its snapshot.
    fn advance_to_head(&mut self, head: Head) {
        let before = self.config.follower.version();
        self.config.follower.observe_version(head.version);
        self.config.follower.apply_changes(&head.changes);
        if self.config.follower.version() < head.version && !head.snapshot_key.is_empty() {
            let key = head.snapshot_key.clone();
            self.config.pending_head = Some(head);
            self.call_store(
                CallOrigin::Config(ConfigCall::ReadSnapshot),
                Call::Get { key },
            );
        }
        self.activate_config(before);
    }

    /// Installs the snapshot of the pending head, and applies the head's changes to it.
    fn on_snapshot(&mut self, answer: Answer) {
        let Some(head) = self.config.pending_head.take() else {
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

    /// Sends the changes after a version to [`PUSH_FANOUT`] random instances.
    pub(crate) fn push_changes(&mut self, before: Version) {
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

    /// Adopts a later version whose content is the same as the configuration in force. The version
    /// of an external configuration is the revision at which it was read, so instances that read
    /// the same content at different times have different versions of it.
    pub(crate) fn on_confirm_config(&mut self, version: Version, digest: u64) {
        if digest == self.config.digest {
            self.config.follower.adopt_version(version);
            self.config.on_version_in_force();
        }
    }

    /// Updates the hash of the configuration in force, by which two instances detect that their
    /// configurations have the same content.
    pub(crate) fn update_digest(&mut self) {
        if self.settings.source != Source::External {
            return;
        }
        let mut unversioned = self.config().clone();
        unversioned.version = 0;
        match serde_json::to_vec(&unversioned) {
            Ok(json) => self.config.digest = xxhash_rust::xxh3::xxh3_64(&json),
            Err(error) => {
                self.config.digest = 0;
                self.log(
                    "config",
                    true,
                    format!("The configuration can't be encoded for its digest: {error}."),
                );
            }
        }
    }

    /// Applies changes that another instance has sent.
    pub(crate) fn on_config_changes(&mut self, json: &[u8]) {
        let Ok(changes) = serde_json::from_slice::<Vec<Change>>(json) else {
            return;
        };
        let before = self.config.follower.version();
        self.config.follower.apply_changes(&changes);
        self.activate_config(before);
    }

    /// Installs a whole configuration that another instance has sent.
    pub(crate) fn on_config_snapshot(&mut self, from: InstanceId, json: &[u8]) {
        let config: conf::Config = match serde_json::from_slice(json) {
            Ok(config) => config,
            Err(error) => {
                let from = self.instance_name(from);
                let text = format!("The configuration sent by {from} can't be decoded: {error}.");
                self.log("config", true, text);
                return;
            }
        };
        let text = format!(
            "Version {} received from {}, {} bytes.",
            config.version,
            self.instance_name(from),
            json.len()
        );
        self.log("config", false, text);
        let before = self.config.follower.version();
        self.config.follower.install(config);
        self.activate_config(before);
        if self.settings.source == Source::External && self.config.follower.version() > before {
            self.forward_config(false);
        }
    }

    /// Installs a whole configuration that the shell passes in.
    pub(crate) fn on_adopt_config(&mut self, config: &conf::Config) {
        let before = self.config.follower.version();
        self.config.follower.install(config.clone());
        self.activate_config(before);
        if self.settings.source == Source::External && self.config.follower.version() > before {
            self.forward_config(true);
        }
    }

    /// Answers an operator's query, or queues a command that changes the configuration.
    pub(crate) fn on_command(&mut self, command: CommandLine) {
        let mut actions = Vec::new();
        let mut findings = Vec::new();
        let is_single = command.lines.len() == 1;
        for (index, line) in command.lines.iter().enumerate() {
            match query::parse::parse(line) {
                Ok(Command::Change(change)) => actions.push(change),
                Ok(other) if is_single => {
                    let reply = self.answer_query(&other);
                    self.reply(command.id, reply);
                    return;
                }
                Ok(_) => findings.push(format!(
                    "line {}: does not change the configuration",
                    index + 1
                )),
                Err(error) if is_single => findings.push(error.to_string()),
                Err(error) => findings.push(format!("line {}, {error}", index + 1)),
            }
        }
        if self.settings.source == Source::External && !actions.is_empty() {
            findings.push("the configuration is kept outside this system; change it there".into());
        }
        if !findings.is_empty() || actions.is_empty() {
            self.reply(command.id, CommandReply::Refused(findings));
            return;
        }
        let edit = Edit {
            command,
            actions,
            deadline: self.now + EDIT_TIMEOUT,
            read_sent: false,
            outcome_unknown: false,
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

    /// Reads the head for the first command, unless that read was already sent.
    fn start_edit(&mut self) {
        let Some(edit) = self.config.edits.front_mut() else {
            return;
        };
        if edit.read_sent {
            return;
        }
        edit.read_sent = true;
        let key = HEAD_KEY.into();
        self.call_store(
            CallOrigin::Config(ConfigCall::ReadHeadForEdit),
            Call::Get { key },
        );
    }

    /// Handles the answer to the read of the head for a command.
    fn on_edit_head(&mut self, answer: Answer) {
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
                "the configuration head in the store can't be decoded".into(),
            ));
            return;
        };
        let Some(edit) = self.config.edits.front_mut() else {
            return;
        };
        edit.revision = revision;
        edit.head = head.clone();
        self.advance_to_head_for_edit(&head);
    }

    /// Moves to the version of the head that was read, so that the command can be applied to it.
    fn advance_to_head_for_edit(&mut self, head: &Head) {
        let before = self.config.follower.version();
        self.config.follower.observe_version(head.version);
        self.config.follower.apply_changes(&head.changes);
        self.activate_config(before);
        if self.config.follower.version() == head.version {
            self.apply_edit();
        } else if self.config.follower.version() < head.version && !head.snapshot_key.is_empty() {
            let key = head.snapshot_key.clone();
            self.call_store(
                CallOrigin::Config(ConfigCall::ReadSnapshotForEdit),
                Call::Get { key },
            );
        } else {
            // The follower is ahead of the head that was read, so the head was replaced meanwhile.
            self.restart_edit();
        }
    }

    /// Installs the snapshot of the head that was read, and applies the command.
    fn on_edit_snapshot_read(&mut self, answer: Answer) {
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

    /// Applies the first command to the head that was read, and writes the new head unless the
    /// command was accepted earlier, is refused or is a dry run.
    fn apply_edit(&mut self) {
        let wall_ms = u64::try_from(self.wall.as_millis()).unwrap_or(u64::MAX);
        let Some(edit) = self.config.edits.front() else {
            return;
        };
        if let Some(version) = edit.head.version_of(edit.command.change_id) {
            self.accept_edit(version);
            return;
        }
        let expected_versions = edit
            .actions
            .iter()
            .filter_map(|change| change.expected_version);
        let mismatches: Vec<String> = expected_versions
            .filter(|expected| *expected != edit.head.version)
            .map(|expected| format!("the version is {}, not {expected}", edit.head.version))
            .collect();
        if !mismatches.is_empty() {
            self.end_edit(CommandReply::Refused(mismatches));
            return;
        }
        let change = Change {
            id: edit.command.change_id,
            version: 0,
            who: edit.command.operator.clone(),
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
            let lines = diff_lines(base, &next);
            self.end_edit(CommandReply::Preview(lines));
            return;
        }
        self.write_edit(head);
    }

    /// Writes a command's new head. If the head has no room for more changes, a snapshot of the
    /// configuration in force is written first.
    fn write_edit(&mut self, mut head: Head) {
        let base_version = self.config.follower.version();
        let Ok(snapshot) = serde_json::to_vec(self.config.follower.config()) else {
            return;
        };
        let id = self.rng.u32(..);
        let Some(edit) = self.config.edits.front_mut() else {
            return;
        };
        if edit.head.needs_snapshot() && edit.snapshot.is_none() {
            let key = Name::from(format!("config/snapshot/{base_version}-{id:08x}"));
            edit.snapshot = Some(key.clone());
            let call = Call::CompareAndSwap {
                key,
                expect: 0,
                value: snapshot,
                ttl_ms: 0,
            };
            self.call_store(CallOrigin::Config(ConfigCall::WriteSnapshot), call);
            return;
        }
        if let Some(key) = edit.snapshot.clone() {
            head = head.with_snapshot(key, base_version);
        }
        let Ok(value) = serde_json::to_vec(&head) else {
            return;
        };
        let call = Call::CompareAndSwap {
            key: HEAD_KEY.into(),
            expect: edit.revision,
            value,
            ttl_ms: 0,
        };
        edit.head = head;
        self.call_store(CallOrigin::Config(ConfigCall::SwapHead), call);
    }

    fn on_edit_snapshot_written(&mut self, answer: Answer) {
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

    /// Handles the answer to the write of a new head. If the answer was lost or the head was
    /// replaced meanwhile, the head is read again.
    fn on_edit_head_swapped(&mut self, answer: Answer) {
        match answer {
            Answer::Swapped { revision } => {
                let Some(edit) = self.config.edits.front() else {
                    return;
                };
                let head = edit.head.clone();
                self.config.head_revision = self.config.head_revision.max(revision);
                let before = self.config.follower.version();
                self.config.follower.apply_changes(&head.changes);
                self.activate_config(before);
                self.accept_edit(head.version);
            }
            Answer::Unknown => {
                if let Some(edit) = self.config.edits.front_mut() {
                    edit.outcome_unknown = true;
                }
                self.restart_edit();
            }
            Answer::Conflict { .. } => self.restart_edit(),
            _ => self.fail_edit(),
        }
    }

    /// Reads the head again and repeats the first command on it, because another change was
    /// accepted first or an answer was lost.
    fn restart_edit(&mut self) {
        if let Some(edit) = self.config.edits.front_mut() {
            edit.read_sent = false;
            edit.snapshot = None;
        }
        self.start_edit();
    }

    /// Fails the first command, unless its write may have succeeded.
    fn fail_edit(&mut self) {
        let Some(edit) = self.config.edits.front() else {
            return;
        };
        if edit.outcome_unknown {
            // The write may have succeeded, which only the head shows.
            self.restart_edit();
            return;
        }
        let text = "the store can't be reached; nothing was changed";
        self.end_edit(CommandReply::Failed(text.into()));
    }

    /// Fails the first command if its deadline has passed.
    fn expire_edits(&mut self) {
        let is_expired = self
            .config
            .edits
            .front()
            .is_some_and(|edit| self.now >= edit.deadline);
        if is_expired {
            let outcome_unknown = self
                .config
                .edits
                .front()
                .is_some_and(|edit| edit.outcome_unknown);
            let text = if outcome_unknown {
                "the store can't be reached; whether the change was accepted is not known, send it again"
            } else {
                "the store can't be reached; nothing was changed"
            };
            self.end_edit(CommandReply::Failed(text.into()));
        }
    }

    /// Replies to the first command and starts the next one.
    fn end_edit(&mut self, reply: CommandReply) {
        if let Some(edit) = self.config.edits.pop_front() {
            self.reply(edit.command.id, reply);
        }
        self.start_edit();
    }

    /// Moves the first command to the rollouts and starts the next one.
    fn accept_edit(&mut self, version: Version) {
        let Some(edit) = self.config.edits.pop_front() else {
            return;
        };
        let operator = &edit.command.operator;
        let lines = edit.command.lines.join("; ");
        self.log(
            "config",
            false,
            format!("Accepted configuration version {version} from operator {operator}: {lines}."),
        );
        self.config.rollouts.push(Rollout {
            id: edit.command.id,
            version,
            deadline: self.now + ROLLOUT_TIMEOUT,
        });
        self.start_edit();
    }

    /// Replies to accepted commands whose version is in force on all instances, or whose deadline
    /// has passed.
    fn report_rollouts(&mut self) {
        let mut rollouts = std::mem::take(&mut self.config.rollouts);
        rollouts.retain(|rollout| {
            let (in_force, missing) = self.coverage(rollout.version);
            let done = missing.is_empty() || self.now >= rollout.deadline;
            if done {
                let reply = CommandReply::Accepted {
                    version: rollout.version,
                    in_force,
                    missing,
                };
                self.reply(rollout.id, reply);
            }
            !done
        });
        self.config.rollouts.extend(rollouts);
    }

    /// Returns the number of instances that have a version in force, and the names of those that
    /// have not reported it.
    fn coverage(&self, version: Version) -> (usize, Vec<Name>) {
        let own = self.id();
        let has_in_force = |id: InstanceId| {
            let reported = self.config.versions.get(&id).copied().unwrap_or(0);
            id == own || reported >= version
        };
        let live: Vec<&wire::gossip::Rumour> = self
            .members
            .rumours()
            .filter(|rumour| rumour.state != wire::gossip::State::Dead)
            .collect();
        let missing: Vec<Name> = live
            .iter()
            .filter(|rumour| !has_in_force(rumour.entry.id))
            .map(|rumour| rumour.entry.name.clone())
            .collect();
        (live.len() - missing.len(), missing)
    }
}

/// Returns the difference of two configurations as removed (`-`) and added (`+`) lines of their
/// JSON. Equal lines between the first and the last difference are listed as both removed and
/// added.
fn diff_lines(before: &conf::Config, after: &conf::Config) -> Vec<String> {
    let text = |config: &conf::Config| serde_json::to_string_pretty(config).unwrap_or_default();
    let (before, after) = (text(before), text(after));
    let old: Vec<&str> = before.lines().collect();
    let new: Vec<&str> = after.lines().collect();
    let common_prefix = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let suffix_max = old.len().min(new.len()) - common_prefix;
    let common_suffix = old
        .iter()
        .rev()
        .zip(new.iter().rev())
        .take_while(|(a, b)| a == b)
        .count()
        .min(suffix_max);
    let removed = &old[common_prefix..old.len() - common_suffix];
    let added = &new[common_prefix..new.len() - common_suffix];
    let minus = removed.iter().map(|line| format!("- {line}"));
    let plus = added.iter().map(|line| format!("+ {line}"));
    minus.chain(plus).collect()
}
