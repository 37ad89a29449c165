//! Which work a backend server is given, and when.
//!
//! # Overview
//!
//! All backend servers of one pool in one data centre form a [`Cell`]. One instance, the cell's
//! home, decides for it: others ask the home for a place, are queued or denied, are granted a
//! server, and report what became of it. A home keeps nothing that it can't learn again: whoever
//! holds running work reports it in full to a new home.
//!
//! A grant is given only if, by all that is known,
//!
//! - the server takes work at all ([`server`]): not leaving, not drained, not just refused,
//! - the number of requests on it stays within its limit, which starts cold at every new life of
//!   the server and grows with proof ([`server`]),
//! - the predicted peak of its cache memory stays within its capacity less a margin ([`memory`]),
//! - the organisation stays within its own limit, and it is its turn ([`queue`]).
//!
//! The load reports of a server lag. What the home knows itself is used at once; a report corrects
//! it upwards where it shows more than the home granted, which is how two homes that do not know of
//! each other add up to one limit and not to two.
//!
//! # Modules
//!
//! - [`cell`]: the state machine of a home.
//! - [`server`]: limits of one server: cold start and proof.
//! - [`memory`]: predicted peak of cache memory, and its margin.
//! - [`queue`]: waiting work, by class and fair between organisations.

pub mod cell;
pub mod memory;
pub mod queue;
pub mod server;

pub use crate::cell::Cell;
pub use crate::cell::Reply;
pub use crate::cell::Verdict;
pub use crate::server::Listing;
pub use crate::server::Load;
