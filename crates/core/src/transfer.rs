//! Transfer of a newer configuration from another instance.
//!
//! An instance that knows of a newer version than its own, and does not receive it or read it
//! itself, requests it from an instance that has it. Configurations are sent as compressed JSON, a
//! large one in parts, each requested when the one before has arrived. An instance receives at most one configuration at a
//! time, including one that its shell reads, and starts another request only when no bytes have
//! arrived for [`STALL_TIMEOUT`]: requests that are repeated by time alone make a slow link slower,
//! until none of the configurations on it arrives. A receiver whose sender falls silent continues
//! with another sender where it stopped.

use std::collections::BTreeMap;
use std::io::Read;
use std::sync::Arc;
use std::time::Duration;

use clock::Time;
use conf::Version;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use wire::Body;
use wire::InstanceId;

use crate::instance::Instance;
use crate::settings::Source;

/// Time without progress after which a transfer, or the shell's own reading of a configuration, no
/// longer counts as under way.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Least time between two requests to other instances for a newer configuration.
const FETCH_PERIOD_MIN: Duration = Duration::from_millis(150);
/// Greatest number of times that [`FETCH_PERIOD_MIN`] is doubled while no newer configuration
/// arrives.
const FETCH_DOUBLINGS_MAX: u32 = 4;
/// Number of requests without progress after which a transfer is not continued but begun anew.
const RESUMES_MAX: u32 = 6;
/// Size of a part in bytes. It takes 26 ms over a link of 10 Mbit/s, so other frames on that link
/// are not held up for long.
const PART_BYTES: usize = 32 * 1_024;
/// Maximum size of a configuration that is received, in bytes of JSON.
const CONFIG_BYTES_MAX: usize = 16 * 1_024 * 1_024;
/// Number of instances to which an instance sends a large configuration at a time. Those that it
/// turns away find other senders as more instances have the configuration.
const RECEIVERS_MAX: usize = 4;

/// The transfers of configurations that an instance takes part in.
#[derive(Debug, Default)]
pub(crate) struct Transfers {
    incoming: Option<Incoming>,
    /// When each receiver was last sent a part.
    receivers: BTreeMap<InstanceId, Time>,
    /// The compressed configuration with its version, as it is sent.
    encoded: Option<(Version, Arc<[u8]>)>,
    /// When the shell last received bytes of a configuration that it reads itself.
    read_progress_at: Option<Time>,
    /// When a newer version may next be requested from another instance.
    next_fetch: Time,
    /// Requests since the last progress.
    unanswered_fetches: u32,
}

/// A configuration that is being received.
#[derive(Debug)]
struct Incoming {
    version: Version,
    /// Size of the whole compressed configuration in bytes.
    size: usize,
    bytes: Vec<u8>,
    progress_at: Time,
}

impl Transfers {
    /// Returns whether parts of a configuration are arriving from another instance.
    pub(crate) fn is_receiving(&self, now: Time) -> bool {
        let incoming = self.incoming.as_ref();
        incoming.is_some_and(|incoming| is_recent(now, incoming.progress_at))
    }

    /// Returns whether the shell is receiving a configuration that it reads itself.
    fn is_reading(&self, now: Time) -> bool {
        self.read_progress_at.is_some_and(|at| is_recent(now, at))
    }

    /// Ends the transfer of a version that is not newer than the one in force.
    pub(crate) fn on_config_in_force(&mut self, version: Version) {
        self.unanswered_fetches = 0;
        self.incoming
            .take_if(|incoming| incoming.version <= version);
    }
}

fn is_recent(now: Time, progress_at: Time) -> bool {
    now.saturating_sub(progress_at) < STALL_TIMEOUT
}

impl Instance {
    /// Records which version another instance has in force, with the hash of its content or zero,
    /// and requests that version if it is newer.
    pub(crate) fn observe_version(&mut self, from: InstanceId, version: Version, digest: u64) {
        self.config.versions.insert(from, version);
        if self.config.versions.len() > self.members.rumours().count() * 2 + 8 {
            let members = &self.members;
            self.config.versions.retain(|id, _| members.is_running(*id));
        }
        self.config.follower.observe_version(version);
        if version <= self.config.follower.version() {
            return;
        }
        if digest != 0 && digest == self.config.digest() {
            self.on_confirm_config(version, digest);
            return;
        }
        let behind_since = *self.config.behind_since.get_or_insert(self.now);
        let is_external = self.settings.source == Source::External;
        if is_external && self.now.saturating_sub(behind_since) < STALL_TIMEOUT {
            return;
        }
        self.request_config(from);
    }

    /// Requests a newer configuration, unless one is arriving or was requested a short time ago.
    fn request_config(&mut self, informant: InstanceId) {
        let transfers = &mut self.config.transfers;
        if transfers.is_receiving(self.now)
            || transfers.is_reading(self.now)
            || self.now < transfers.next_fetch
        {
            return;
        }
        let doublings = transfers.unanswered_fetches.min(FETCH_DOUBLINGS_MAX);
        let backoff = FETCH_PERIOD_MIN * 2u32.pow(doublings);
        // Jitter spreads the receivers that the same sender has turned away.
        let jitter = backoff.mul_f64(self.rng.f64() * 0.3);
        transfers.next_fetch = self.now + backoff + jitter;
        transfers.unanswered_fetches += 1;
        if transfers.unanswered_fetches > RESUMES_MAX {
            // A release that encodes the configuration differently can't continue it.
            transfers.incoming = None;
        }
        let stalled = transfers.incoming.as_ref();
        let resumed = stalled.map(|incoming| (incoming.version, incoming.bytes.len()));
        let (sender, body) = match resumed {
            Some((version, offset)) => {
                let sender = self.choose_sender(informant, version);
                (sender, Body::FetchConfigPart { version, offset })
            }
            None => {
                let newest = self.config.follower.newest_known_version();
                let after = self.config.follower.version();
                let digest = self.config.digest();
                let sender = self.choose_sender(informant, newest);
                (sender, Body::FetchConfig { after, digest })
            }
        };
        let newest = self.config.follower.newest_known_version();
        let text = format!(
            "Version {newest} is requested from {}, request {} without progress.",
            self.instance_name(sender),
            self.config.transfers.unanswered_fetches
        );
        self.log("config", false, text);
        self.send(sender, body);
    }

    /// Returns a random instance that has a version in force, if possible of the own data centre,
    /// or else the given one.
    fn choose_sender(&mut self, informant: InstanceId, version: Version) -> InstanceId {
        let own = self.own_data_centre();
        let holders: Vec<InstanceId> = self
            .config
            .versions
            .iter()
            .filter(|(id, held)| **held >= version && self.members.is_running(**id))
            .map(|(id, _)| *id)
            .collect();
        let nearby: Vec<InstanceId> = holders
            .iter()
            .filter(|id| {
                let entry = self.members.entry(**id);
                entry.is_some_and(|entry| entry.data_centre == own)
            })
            .copied()
            .collect();
        let candidates = if nearby.is_empty() { holders } else { nearby };
        match candidates.len() {
            0 => informant,
            count => candidates[self.rng.usize(..count)],
        }
    }

    /// Records that bytes of a configuration that the shell reads itself have arrived.
    pub(crate) fn on_config_read_progress(&mut self) {
        self.config.transfers.read_progress_at = Some(self.now);
    }

    /// Answers an instance that has an older version: with the version alone if the digests are
    /// equal, else with the changes after its version, or with the configuration if the changes are
    /// no longer kept.
    pub(crate) fn on_fetch_config(&mut self, from: InstanceId, after: Version, digest: u64) {
        let version = self.config.follower.version();
        if version <= after {
            return;
        }
        if digest != 0 && digest == self.config.digest() {
            self.send(from, Body::ConfirmConfig { version, digest });
            return;
        }
        if let Some(changes) = self.config.follower.changes_after(after) {
            match serde_json::to_vec(&changes) {
                Ok(json) => self.send(from, Body::ConfigChanges { json }),
                Err(error) => {
                    let text = format!("Configuration changes can't be encoded: {error}.");
                    self.log("config", true, text);
                }
            }
            return;
        }
        self.send_config(from, 0);
    }

    /// Answers the request for a part. If the version was replaced meanwhile, the first part of its
    /// successor is sent.
    pub(crate) fn on_fetch_config_part(
        &mut self,
        from: InstanceId,
        version: Version,
        offset: usize,
    ) {
        let in_force = self.config.follower.version();
        if in_force >= version {
            self.send_config(from, if in_force == version { offset } else { 0 });
        }
    }

    /// Sends the part of the configuration in force that begins at an offset.
    fn send_config(&mut self, to: InstanceId, offset: usize) {
        let Some((version, encoded)) = self.encoded_config() else {
            return;
        };
        let Some(rest) = encoded.get(offset..) else {
            return;
        };
        let now = self.now;
        let receivers = &mut self.config.transfers.receivers;
        receivers.retain(|_, last_sent| is_recent(now, *last_sent));
        if receivers.len() >= RECEIVERS_MAX && !receivers.contains_key(&to) {
            return;
        }
        let bytes = rest[..rest.len().min(PART_BYTES)].to_vec();
        if bytes.len() == rest.len() {
            receivers.remove(&to);
        } else {
            receivers.insert(to, now);
        }
        let part = Body::ConfigPart {
            version,
            offset,
            size: encoded.len(),
            bytes,
        };
        self.send(to, part);
    }

    /// Returns the configuration in force as compressed JSON, with its version.
    pub(crate) fn encoded_config(&mut self) -> Option<(Version, Arc<[u8]>)> {
        let version = self.config.follower.version();
        if let Some((encoded_version, encoded)) = &self.config.transfers.encoded
            && *encoded_version == version
        {
            return Some((version, encoded.clone()));
        }
        match compress(self.config()) {
            Ok(bytes) => {
                let encoded: Arc<[u8]> = bytes.into();
                self.config.transfers.encoded = Some((version, encoded.clone()));
                Some((version, encoded))
            }
            Err(error) => {
                let text = format!("The configuration can't be encoded: {error}.");
                self.log("config", true, text);
                None
            }
        }
    }

    /// Appends a part to the configuration that is being received, and requests the next part or
    /// installs the configuration. Parts that do not continue it are ignored.
    pub(crate) fn on_config_part(
        &mut self,
        from: InstanceId,
        version: Version,
        offset: usize,
        size: usize,
        part: &[u8],
    ) {
        let now = self.now;
        if version <= self.config.follower.version() || size > CONFIG_BYTES_MAX {
            return;
        }
        let incoming = &mut self.config.transfers.incoming;
        let is_newer = incoming
            .as_ref()
            .is_none_or(|incoming| incoming.version < version);
        if is_newer && offset == 0 {
            *incoming = Some(Incoming {
                version,
                size,
                bytes: Vec::new(),
                progress_at: now,
            });
        }
        let Some(incoming) = incoming.as_mut().filter(|incoming| {
            let position = (incoming.version, incoming.size, incoming.bytes.len());
            position == (version, size, offset) && !part.is_empty() && part.len() <= size - offset
        }) else {
            return;
        };
        incoming.bytes.extend_from_slice(part);
        incoming.progress_at = now;
        let received = incoming.bytes.len();
        self.config.transfers.unanswered_fetches = 0;
        if received < size {
            let offset = received;
            self.send(from, Body::FetchConfigPart { version, offset });
        } else if let Some(complete) = self.config.transfers.incoming.take() {
            self.on_config_received(from, complete);
        }
    }

    /// Installs a configuration that was received completely.
    fn on_config_received(&mut self, from: InstanceId, received: Incoming) {
        let json = match decompress(&received.bytes) {
            Ok(json) => json,
            Err(error) => {
                let from = self.instance_name(from);
                let text =
                    format!("The configuration sent by {from} can't be decompressed: {error}.");
                self.log("config", true, text);
                return;
            }
        };
        // What this instance forwards is what it has received.
        self.config.transfers.encoded = Some((received.version, received.bytes.into()));
        self.on_config_snapshot(from, &json);
    }
}

fn compress(config: &conf::Config) -> std::io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    serde_json::to_writer(&mut encoder, config)?;
    encoder.finish()
}

/// Returns the JSON of a compressed configuration, at most [`CONFIG_BYTES_MAX`] of it.
fn decompress(bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut json = Vec::new();
    DeflateDecoder::new(bytes)
        .take(CONFIG_BYTES_MAX as u64)
        .read_to_end(&mut json)?;
    Ok(json)
}
