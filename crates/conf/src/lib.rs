//! The operators' configuration: schema, validation and versioned changes.
//!
//! # Overview
//!
//! A [`Config`] is a plain value at one version. Operators don't write it as a whole: a command
//! becomes a list of [`change::Op`]s, and [`change::apply`] produces the next version from them or
//! returns all [`Finding`]s, each with the path of the faulty value. The same function runs on the
//! instance that accepts a command and on the instances that replicate the change, so all instances
//! derive the same configuration from the same changes.
//!
//! The platform's store holds a [`head::Head`]: the version, the newest changes and the key of the
//! last full snapshot. A [`follower::Follower`] accepts snapshots and changes in any order and only
//! moves to a greater version.
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
//! - [`check`]: validation of a whole configuration.
//! - [`change`]: operations, and the function that applies them.
//! - [`head`]: the head record in the platform's store.
//! - [`follower`]: replication of the configuration to an instance.
//! - [`withdrawals`]: withdrawals of data centres that outlive a restore of the store.

pub mod change;
pub mod check;
pub mod follower;
pub mod head;
pub mod schema;
pub mod withdrawals;

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

/// A name that operators give to an object of the configuration.
pub type Name = compact_str::CompactString;

/// A version of the configuration, counted in changes. Zero is the empty configuration.
pub type Version = u128;

/// Returns the hash by which the configuration stores an organisation's bearer token.
pub fn hash_token(token: &str) -> Name {
    Name::from(blake3::hash(token.as_bytes()).to_hex().as_str())
}
