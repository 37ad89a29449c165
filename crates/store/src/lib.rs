//! The client of the platform's key-value service.
//!
//! # Overview
//!
//! All calls of one instance pass one [`Client`], which decides when each may go: within the
//! instance's share of the service's rates, the most important first, none while the service is
//! known to be down, none past its deadline. The client does no I/O. It hands out [`Sent`] calls and
//! is told their [`Answer`]s.
//!
//! A write has three outcomes, not two: done, not done, and [`Answer::Unknown`]. The client never
//! repeats a write by itself, since only its owner can tell by reading back whether it took effect.
//! It does repeat reads.
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
//! let sent = client.ready(now);
//! let answer = Answer::Value { revision: 0, value: Vec::new() };
//! let done = client.answer(now, sent[0].id, answer).unwrap();
//! assert_eq!(done.ticket, 7);
//! ```
//!
//! # Modules
//!
//! - [`client`]: budget, priorities, deadlines and breaker.
//! - [`lease`]: a lease whose holder judges by its own clock.

use serde::Deserialize;
use serde::Serialize;

pub mod client;
pub mod lease;

pub use crate::client::Client;
pub use crate::client::Done;
pub use crate::client::Limits;
pub use crate::client::Sent;
pub use crate::lease::Lease;

/// A key of the service.
pub type Key = compact_str::CompactString;
/// The service's count of writes when a value was written. Zero stands for no value.
pub type Revision = u64;
/// Chosen by the owner of a call to recognise its outcome.
pub type Ticket = u64;

/// What is asked of the service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Call {
    /// Reads a value.
    Get {
        /// The key.
        key: Key,
    },
    /// Writes a value if the key still stands at a revision.
    Swap {
        /// The key.
        key: Key,
        /// The revision that the writer read. Zero expects no value.
        expect: Revision,
        /// The new value.
        value: Vec<u8>,
        /// Time after which the service drops the value, in milliseconds. Zero keeps it.
        ttl_ms: u64,
    },
    /// Removes a value if the key still stands at a revision.
    Delete {
        /// The key.
        key: Key,
        /// The revision that the writer read.
        expect: Revision,
    },
    /// Waits until a key stands past a revision, or until the service ends the wait.
    Watch {
        /// The key.
        key: Key,
        /// The last revision seen.
        after: Revision,
    },
}

impl Call {
    /// Returns whether the call changes nothing.
    pub fn is_read(&self) -> bool {
        matches!(self, Call::Get { .. } | Call::Watch { .. })
    }
}

/// What became of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Answer {
    /// The value that a read found. Revision zero means that there is none.
    Value {
        /// Its revision.
        revision: Revision,
        /// The value.
        value: Vec<u8>,
    },
    /// The write is done.
    Swapped {
        /// The new revision.
        revision: Revision,
    },
    /// The write is not done: the key stands elsewhere.
    Conflict {
        /// Where it stands.
        revision: Revision,
        /// What stands there.
        value: Vec<u8>,
    },
    /// A wait ended without news.
    Nothing,
    /// The call did not reach the service, or was turned away.
    Unreachable,
    /// The call may have taken effect.
    Unknown,
}

/// How important a call is, the most important first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Claims on idempotency keys, for which callers wait.
    Claim,
    /// The operators' configuration.
    Config,
    /// Leases.
    Lease,
    /// All else.
    Other,
}
