//! Which work a backend server is given, and when.
//!
//! # Overview
//!
//! One [`Scheduler`] admits work to all backend servers of one pool in one data centre. The
//! instance that runs it, the coordinator, decides: others ask the coordinator for a place, are
//! queued or denied, are granted a server, and report what became of it. A coordinator keeps
//! nothing that it can't learn again: whoever holds running work reports it in full to a new
//! coordinator.
//!
//! A grant is given only if, by all that is known,
//!
//! - the server takes work at all ([`server`]): not leaving, not drained, not just refused,
//! - the number of requests on it stays within its limit, which starts cold at every new life of
//!   the server and grows with proof ([`server`]),
//! - the predicted peak of its cache memory stays within its capacity less a margin ([`memory`]),
//! - the organisation stays within its own limit, and it is its turn ([`queue`]).
//!
//! The load reports of a server lag. What the coordinator knows itself is used at once; a report
//! corrects it upwards where it shows more than the coordinator granted, which is how two
//! coordinators that do not know of each other add up to one limit and not to two.
//!
//! # Modules
//!
//! - [`scheduler`]: the state machine of a coordinator.
//! - [`server`]: limits of one server: cold start and proof.
//! - [`memory`]: predicted peak of cache memory, and its margin.
//! - [`queue`]: waiting work, by class and fair between organisations.

pub mod memory;
pub mod queue;
pub mod scheduler;
pub mod server;

pub use crate::scheduler::Decision;
pub use crate::scheduler::Reply;
pub use crate::scheduler::Scheduler;
pub use crate::server::Listing;
pub use crate::server::Load;
