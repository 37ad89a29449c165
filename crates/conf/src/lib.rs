//! The operators' configuration: its schema, its checks and its versioned changes.
//!
//! # Overview
//!
//! A [`Config`] is a value. An operator never writes one whole: a command becomes a list of
//! [`change::Op`]s, and [`change::apply`] turns one version into the next or returns every
//! [`Finding`] at once, each with its place. The same function runs when a command is accepted and
//! when an instance follows a change that another one accepted, so that all of them reach the same
//! value from the same changes.
//!
//! What is kept in the platform's store is a [`head::Head`]: the version, the newest changes and the
//! name of the last full snapshot. [`follower::Follower`] takes heads, snapshots and changes from
//! peers in any order and only ever moves to a greater version.
//!
//! ```
//! use conf::Config;
//! use conf::change;
//! use conf::change::Op;
//!
//! let empty = Config::default();
//! let op = Op::Put {
//!     kind: conf::Kind::DataCentre,
//!     name: "east".into(),
//!     value: "{}".into(),
//! };
//! let config = change::apply(&empty, &[op]).unwrap();
//! assert!(config.data_centres.contains_key("east"));
//! ```
//!
//! # Modules
//!
//! - [`schema`]: the types of the configuration.
//! - [`check`]: the findings of a whole configuration.
//! - [`change`]: operations and how they are applied.
//! - [`head`]: the records in the platform's store.
//! - [`follower`]: how an instance moves from version to version.

pub mod change;
pub mod check;
pub mod follower;
pub mod head;
pub mod schema;

pub use crate::check::Finding;
pub use crate::schema::Class;
pub use crate::schema::Config;
pub use crate::schema::DataCentre;
pub use crate::schema::Delivery;
pub use crate::schema::Kind;
pub use crate::schema::Limits;
pub use crate::schema::Objective;
pub use crate::schema::Organisation;
pub use crate::schema::Placing;
pub use crate::schema::Pool;
pub use crate::schema::Route;
pub use crate::schema::Service;

/// A name that operators give to something.
pub type Name = compact_str::CompactString;

/// A version of the configuration. Zero is the empty configuration before the first change.
pub type Version = u64;

/// Returns the hash under which an organisation's bearer token is kept.
pub fn hash_token(token: &str) -> Name {
    Name::from(blake3::hash(token.as_bytes()).to_hex().as_str())
}
