//! Origins of streams: the pool and the software version at which each stream of events began.
//!
//! # Overview
//!
//! Backend servers of several software versions may serve side by side. What two versions generate
//! does not fit together, and a backend server does not check what it continues, so a stream may
//! go on only at a server of the version that began it. An instance knows that version while it
//! relays the stream. A caller whose connection broke may however continue the stream at another
//! instance, which has to learn the version first.
//!
//! The instance that begins a stream therefore records the stream's origin in its [`Table`] and
//! sends it to a few other instances. An instance that is to continue a stream without a record of
//! it asks the instances that should have one according to its own view of the fleet. If none
//! answers, its own [`History`] of the server list may still show that the service had only one
//! version since the stream began. Otherwise the version is unknown and the stream must not go on.
//!
//! Records are soft state: they are kept in memory, in bounded number and for a limited time.
//!
//! ```
//! use std::time::Duration;
//!
//! use origin::table::Table;
//! use wire::origin::Origin;
//!
//! let mut table = Table::new();
//! let now = Duration::from_secs(1);
//! let origin = Origin { pool: "engines".into(), software: "v1".into() };
//! table.record(now, 77, &origin);
//! assert_eq!(table.find(now, 77), Some(&origin));
//! ```
//!
//! # Modules
//!
//! - [`table`]: the records of an instance.
//! - [`history`]: the software versions that the server list showed lately.
//!
//! [`Table`]: table::Table
//! [`History`]: history::History

pub mod history;
pub mod table;
