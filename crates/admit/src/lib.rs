//! Admission control: decides which backend server runs a request, and when.
//!
//! # Overview
//!
//! One [`Scheduler`] admits requests to all backend servers of one pool in one data centre. The
//! instance that runs it is the pool's coordinator. Other instances, the holders, send it
//! reservations. The coordinator grants, queues or denies each one, and the holder of a grant
//! reports how the attempt goes. All state of a coordinator can be rebuilt: holders report their
//! running attempts in full to a new coordinator.
//!
//! The coordinator grants a reservation only if, as far as it knows,
//!
//! - the server accepts requests ([`server`]): it is not shutting down, not drained and has not
//!   just refused a request,
//! - the server has the software version that the reservation requires, if it requires one,
//! - the number of requests on the server stays within its limit, which starts at the cold limit
//!   after every restart and grows with completed requests ([`server`]),
//! - the server's own limit on the rate of its requests allows one more ([`pacer`]),
//! - the predicted peak of the server's KV cache stays within its capacity less a margin
//!   ([`memory`]),
//! - the organisation stays within its own limit, and fair queueing selects it ([`queue`]).
//!
//! A server's load reports lag. The coordinator counts its own grants at once. If a report shows
//! more requests than the coordinator granted, the higher number counts, so that two coordinators
//! that do not know of each other share one limit instead of each using it in full.
//!
//! # Modules
//!
//! - [`scheduler`]: the admission state machine of a coordinator.
//! - [`server`]: state of one server: concurrency limit, cold start and availability.
//! - [`memory`]: predicted peak of KV cache memory, and the safety margin.
//! - [`pacer`]: spacing of requests to a server that limits their rate.
//! - [`queue`]: queued reservations, by class and fair between organisations.

pub mod memory;
pub mod pacer;
pub mod queue;
pub mod scheduler;
pub mod server;

pub use wire::path::Load;

pub use crate::scheduler::Decision;
pub use crate::scheduler::Reply;
pub use crate::scheduler::Scheduler;
pub use crate::server::Listing;
