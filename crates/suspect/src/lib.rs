//! Detection of requests, and of parts of prompts, that crash the backend servers that run them.
//!
//! # Overview
//!
//! When a backend server crashes, every request that was running on it is suspected, most of them
//! wrongly. A [`Table`] weighs the evidence: crashes that happen together are one episode, a run that
//! gets past its opening refutes the crashes before it, and a [`Rule`] says how many servers must
//! have crashed in how many episodes. What is barred is not run for a time, and then once on trial.
//!
//! Two tables of one kind are kept. One, with the rule [`REQUESTS`], holds requests by two
//! fingerprints: of all that a server is sent, and of path, caller and body alone, for a request that
//! comes again with other fields. The other, with the rule [`PARTS`], holds parts of prompts that
//! requests share. A [`Snapshot`] holds what outlives the processes. [`sketch`] is an approximate alternative, kept for comparison.
//!
//! ```
//! use std::time::Duration;
//!
//! use suspect::Finding;
//! use suspect::REQUESTS;
//! use suspect::Status;
//! use suspect::Table;
//! use wire::gossip::Evidence;
//!
//! let mut table = Table::new(REQUESTS);
//! let mut now = Duration::from_secs(1);
//! for server in ["engine-1", "engine-2", "engine-3"] {
//!     assert_eq!(table.status(now, 77), Status::Clear);
//!     let server = suspect::server_hash(server, 1);
//!     table.merge(now, &Finding::new(77, Evidence::Crash { server, request: 77 }));
//!     now += Duration::from_secs(1);
//! }
//! assert!(matches!(table.status(now, 77), Status::Barred { .. }));
//! table.merge(now, &Finding::new(77, Evidence::Sound));
//! assert_eq!(table.status(now, 77), Status::Clear);
//! ```

use wire::BootId;

pub mod sketch;
mod snapshot;
mod table;

pub use crate::snapshot::Snapshot;
pub use crate::table::Change;
pub use crate::table::Finding;
pub use crate::table::Further;
pub use crate::table::OPENING_TOKENS;
pub use crate::table::PARTS;
pub use crate::table::REQUESTS;
pub use crate::table::Rule;
pub use crate::table::Status;
pub use crate::table::Subject;
pub use crate::table::Table;

/// Returns the hash that identifies one boot of a backend server.
pub fn server_hash(name: &str, boot: BootId) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), boot)
}
