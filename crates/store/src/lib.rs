//! The client of the platform's key-value service.
//!
//! # Overview
//!
//! Each instance sends all its calls through one [`Client`], which decides when to send each call.
//! It keeps to the instance's share of the service's rate limit, sends the most important calls
//! first, backs off while the service is down and drops calls whose deadline has passed. The client
//! does no I/O: it returns [`OutgoingCall`]s for the shell to send, and the shell passes back their
//! [`Answer`]s.
//!
//! A write has three outcomes: applied, not applied, and [`Answer::Unknown`]. The client never
//! retries a write, because only the owner of the call can read the key back and tell whether the
//! write took effect. It does retry reads.
//!
//! ```
//! use std::time::Duration;
//!
//! use store::Answer;
//! use store::Call;
//! use store::Client;
//! use store::Limits;
//! use store::Priority;
//!
//! let mut client = Client::new(Limits::default(), 1);
//! let now = Duration::from_secs(1);
//! let call = Call::Get { key: "config/head".into() };
//! client.submit(now, 7, Priority::Config, call, Duration::from_secs(2));
//! let sent = client.calls_to_send(now);
//! let answer = Answer::Value { revision: 0, value: Vec::new() };
//! let done = client.on_answer(now, sent[0].id, answer).unwrap();
//! assert_eq!(done.ticket, 7);
//! ```
//!
//! # Modules
//!
//! - [`client`]: rate limit, priorities, deadlines and circuit breaker.
//! - [`lease`]: a lease whose holder checks expiry against its own clock.

use serde::Deserialize;
use serde::Serialize;

pub mod client;
pub mod lease;

pub use crate::client::Client;
pub use crate::client::Completion;
pub use crate::client::Limits;
pub use crate::client::OutgoingCall;
pub use crate::lease::Lease;

/// A key of the service.
pub type Key = compact_str::CompactString;
/// The service's count of writes at the time a value was written. Zero means that the key has no
/// value.
pub type Revision = u64;
/// Correlation id that the owner of a call chooses, returned with the outcome.
pub type Ticket = u64;

/// A call to the service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Call {
    /// Reads a value.
    Get {
        /// The key.
        key: Key,
    },
    /// Writes a value if the key is still at the expected revision (compare and swap).
    CompareAndSwap {
        /// The key.
        key: Key,
        /// The expected revision, which the writer has read. Zero expects the key to have no value.
        expect: Revision,
        /// The new value.
        value: Vec<u8>,
        /// Time to live of the value, in milliseconds. Zero keeps it until it is deleted.
        ttl_ms: u64,
    },
    /// Deletes a value if the key is still at the expected revision.
    Delete {
        /// The key.
        key: Key,
        /// The expected revision, which the writer has read.
        expect: Revision,
    },
    /// Waits until the key's revision exceeds `after`, or until the service ends the wait (long
    /// poll).
    Watch {
        /// The key.
        key: Key,
        /// The last revision that the caller has read.
        after: Revision,
    },
}

impl Call {
    /// Returns whether the call is a read, which is safe to retry.
    pub fn is_read(&self) -> bool {
        matches!(self, Call::Get { .. } | Call::Watch { .. })
    }
}

/// The outcome of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Answer {
    /// The value that a read returned. Revision zero means that the key has no value.
    Value {
        /// Revision of the value.
        revision: Revision,
        /// The value.
        value: Vec<u8>,
    },
    /// The write was applied.
    Swapped {
        /// The new revision.
        revision: Revision,
    },
    /// The write was not applied: the key is at another revision than expected.
    Conflict {
        /// Current revision of the key. Zero means that it has no value.
        revision: Revision,
        /// Current value of the key.
        value: Vec<u8>,
    },
    /// A watch ended without a change.
    Unchanged,
    /// The call did not reach the service, was refused by it, or was never sent. It had no effect.
    Unreachable,
    /// No answer arrived: the call may have taken effect.
    Unknown,
}

/// Priority of a call, the highest first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Claims on idempotency keys. Callers wait for them.
    Claim,
    /// The operators' configuration.
    Config,
    /// Acquisition and renewal of leases.
    Lease,
    /// All other calls.
    Other,
}
