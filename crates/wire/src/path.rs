//! What instances tell each other about their paths to backend servers.

use serde::Deserialize;
use serde::Serialize;

use crate::BootId;
use crate::InstanceId;
use crate::Name;

/// Maximum number of statements in one frame of gossip, which then fits into a datagram.
pub const STATEMENTS_MAX: usize = 16;
/// Maximum number of labels in a statement.
pub const LABELS_MAX: usize = 16;

/// What an instance states about its own paths.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Statement {
    /// The instance that has made the statement.
    pub instance: InstanceId,
    /// Number among the instance's statements. The greater one is newer.
    pub number: u64,
    /// Time since the instance last confirmed it, in milliseconds.
    pub age_ms: u32,
    /// The labels of the servers to which the instance has lost its paths.
    pub lost: Vec<Name>,
}

/// Load report of a backend server. It lags behind the server's state.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Boot id of the server.
    pub boot: BootId,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued inside the server.
    pub waiting: u32,
    /// KV cache in use, in tokens.
    pub used_tokens: u64,
    /// KV cache size, in tokens. Zero if unknown.
    pub capacity_tokens: u64,
    /// Number of preemptions since the server started.
    pub preemptions: u64,
    /// Number of requests completed since the server last became cold.
    pub completed_since_cold: u64,
    /// Whether the server is about to shut down.
    pub leaving: bool,
    /// Whether the server reports itself as cold.
    pub cold: bool,
}
