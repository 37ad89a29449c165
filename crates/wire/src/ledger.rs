//! Claims on idempotency keys.

use serde::Deserialize;
use serde::Serialize;

use crate::InstanceId;
use crate::Key;
use crate::RequestId;

/// Greatest answer that is recorded with a key, in bytes.
pub const ANSWER_BYTES: usize = 512;

/// Asks for the right to run a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// The key.
    pub key: Key,
    /// The request that would run.
    pub claim: RequestId,
    /// The instance that would run it.
    pub owner: InstanceId,
    /// Time for which the key is remembered, in seconds.
    pub retention_s: u32,
}

/// What became of a claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimStatus {
    /// The request may run. Nobody else may run one with this key.
    Fresh,
    /// Another request with this key has ended, with this answer.
    Done(Answer),
    /// Another request with this key runs, unless its instance has died.
    Taken {
        /// The instance that runs it.
        owner: InstanceId,
    },
    /// Another request with this key ran and nobody knows how it ended.
    Unknown,
    /// The store can't be reached; nothing was run.
    Unavailable,
}

/// A recorded answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub media: String,
    /// Body, or nothing where it was too large to record.
    pub body: Option<Vec<u8>>,
}

/// How a claimed request ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Settle {
    /// The key.
    pub key: Key,
    /// The request that claimed it.
    pub claim: RequestId,
    /// The outcome.
    pub outcome: Outcome,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// It ran and this is its answer.
    Done(Answer),
    /// It did not run; the key is free again.
    Released,
    /// It may have run.
    Unknown,
}
