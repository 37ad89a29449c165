//! Origins of streams: the software version at which each stream of events began.
//!
//! # Overview
//!
//! Backend servers of several software versions may serve side by side. What two versions generate
//! does not fit together, and a backend server does not check what it continues, so a stream may
//! go on only at a server of the version that began it. An instance knows that version while it
//! relays the stream. A caller whose connection broke may however continue the stream at another
//! instance, which has to learn the version first.
//!
//! The instance that begins a stream therefore records the stream's version in its [`Table`] and
//! sends the record to the stream's [`holders()`], a few other instances. An instance that is to
//! continue a stream without a record of it asks the holders according to its own view of the
//! fleet. Views that differ by an instance have almost the same holders. If no holder answers, the
//! instance's own [`History`] of the server list may still show that the service had only one
//! version since the stream began. Otherwise the version is unknown and the stream must not go on.
//!
//! Records are soft state: they are kept in memory, in bounded number and for a limited time.
//!
//! ```
//! use std::time::Duration;
//!
//! use origin::table::Table;
//! use wire::Name;
//!
//! let data_centres = [Name::new("east"), Name::new("west")];
//! let others = [(11, &data_centres[0]), (12, &data_centres[0]), (13, &data_centres[1])];
//! let holders = origin::holders::holders(77, others.into_iter());
//! assert_eq!(holders.len(), 3);
//!
//! let mut table = Table::new();
//! let now = Duration::from_secs(1);
//! table.record(now, 77, &Name::new("v1"));
//! assert_eq!(table.find(now, 77), Some(&Name::new("v1")));
//! ```
//!
//! # Modules
//!
//! - [`table`]: the records of an instance.
//! - [`holders`](mod@holders): the choice of the instances that hold the record of a stream.
//! - [`history`]: the software versions that the server list showed lately.
//!
//! [`Table`]: table::Table
//! [`holders()`]: holders::holders()
//! [`History`]: history::History

pub mod history;
pub mod holders;
pub mod table;
