//! Claims on idempotency keys and their outcomes.

use serde::Deserialize;
use serde::Serialize;

use crate::InstanceId;
use crate::Key;
use crate::RequestId;

/// Maximum size of an answer's body that is recorded with a key, in bytes.
pub const ANSWER_BYTES: usize = 512;

/// A claim on an idempotency key, which must be granted before its request may run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// The hashed idempotency key.
    pub key: Key,
    /// The request that makes the claim.
    pub claim: RequestId,
    /// The instance that holds the request.
    pub owner: InstanceId,
    /// Time for which the key is kept after the request ends, in seconds.
    pub retention_s: u32,
}

/// Status of a claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimStatus {
    /// The claim is granted: the request may run, and no other request with this key may.
    Fresh,
    /// A request with this key has ended with this answer.
    Done(Answer),
    /// Another request with this key is running, unless its instance has died.
    Taken {
        /// The instance that holds the other request.
        owner: InstanceId,
    },
    /// A request with this key may have run, and its outcome is not known.
    Unknown,
    /// The claim could not be written to the store, so the request must not run.
    Unavailable,
}

/// An answer recorded with a key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub media: String,
    /// Body, or `None` if it was too large to record.
    pub body: Option<Vec<u8>>,
}

/// Reports the outcome of a claimed request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Settle {
    /// The hashed idempotency key.
    pub key: Key,
    /// The request that claimed the key.
    pub claim: RequestId,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// The request ran and returned this answer.
    Done(Answer),
    /// The request did not run. The key is free again.
    Released,
    /// The request may have run; its result is not known.
    Unknown,
}
