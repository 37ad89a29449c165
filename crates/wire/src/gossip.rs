//! Gossip: the states of instances, and small facts that are sent along with them on probes.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::BootId;
use crate::Fingerprint;
use crate::InstanceId;
use crate::Name;
use crate::PartId;
use crate::Version;

/// Maximum number of rumours in one frame.
pub const RUMOURS_MAX: usize = 6;
/// Maximum number of strikes in one frame.
pub const STRIKES_MAX: usize = 6;
/// Maximum number of findings about parts of prompts in one frame of gossip, which then fits into a
/// datagram.
pub const PART_FINDINGS_MAX: usize = 32;

/// Facts that are piggybacked on probes and their acknowledgements.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Gossip {
    /// Rumours about instances. The first one is about the sender itself.
    pub rumours: Vec<Rumour>,
    /// Version of the configuration in force at the sender.
    pub config: Version,
    /// Hash of that configuration's content, or zero if it is not known.
    pub config_digest: u64,
    /// Requests that were running on a backend server when it crashed.
    pub strikes: Vec<Strike>,
    /// Backend servers known to shut down soon.
    pub leaving: Vec<Leaving>,
}

/// The address and state of one instance, as spread between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rumour {
    /// The instance.
    pub entry: Entry,
    /// State of the instance.
    pub state: State,
    /// Version of the rumour; the higher one is newer. Only the instance itself increases it, to
    /// override older rumours about itself, as with the incarnation number of SWIM.
    pub version: u32,
}

/// Identity and addresses of an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Incarnation of the instance.
    pub id: InstanceId,
    /// Name of the instance in its settings.
    pub name: Name,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// Address at which the instance receives frames.
    pub peers: SocketAddr,
    /// Address at which the instance accepts callers.
    pub callers: SocketAddr,
    /// Address at which the instance accepts operators.
    pub operators: SocketAddr,
}

/// State of an instance. In rumours of the same version, a state overrides those listed before it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// The instance answers probes.
    Alive,
    /// The instance finishes its running work and accepts no new work from other instances.
    Leaving,
    /// The instance did not answer a probe.
    Suspect,
    /// The instance did not refute a suspicion in time, or announced that it stops.
    Dead,
}

/// A request that was running on a backend server when it crashed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Strike {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Hash of the backend server's name and boot id.
    pub server: u64,
    /// Time since the crash, in seconds.
    pub age_s: u32,
}

/// What an instance has found about a part of prompts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartFinding {
    /// The part.
    pub part: PartId,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
    /// What was found.
    pub evidence: Evidence,
}

/// What an instance has found about a request, or about those with one path, caller and body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestFinding {
    /// Fingerprint of the request, or of what those requests have in common.
    pub request: Fingerprint,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
    /// What was found.
    pub evidence: Evidence,
}

/// Evidence on whether a request or a part of prompts crashes backend servers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Evidence {
    /// A server crashed while such a request was running there in its opening.
    Crash {
        /// Hash of the server's name and boot id.
        server: u64,
        /// Fingerprint of the request.
        request: Fingerprint,
    },
    /// A run of such a request got past its opening.
    Sound,
}

/// A backend server that announced its shutdown.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Leaving {
    /// Name of the server.
    pub server: Name,
    /// Boot id of the server.
    pub boot: BootId,
    /// Time since the announcement, in milliseconds.
    pub age_ms: u32,
}
