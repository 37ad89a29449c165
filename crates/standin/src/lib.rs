//! Simulated dependencies of the system, for tests and load runs: model engines, plain services,
//! the platform's key-value service and its list of instances and servers.
//!
//! # Overview
//!
//! Each stand-in is a state machine over a clock that the caller passes in ([`engine::Engine`],
//! [`plain::PlainService`], [`platform::Platform`]). It records the requests that it received, so
//! that checks do not depend on what the system under test reports. Seeded simulations call the
//! state machines directly; [`http`] serves them on loopback sockets for daemons. Nothing here is
//! linked into the daemon.
//!
//! The text of a token is a function of the request number, the token's index and, for sampled
//! requests, the generation id ([`token::text`]). A receiver can therefore tell which request a
//! token belongs to and whether one is missing. The prompt contains the length of the output
//! ([`token::Marker`]), which the system does not read.
//!
//! # Modules
//!
//! - [`engine`]: a model engine with continuous batching, limited KV cache memory and cold starts.
//! - [`plain`]: a plain service.
//! - [`platform`]: the key-value service, with fault injection, and the list.
//! - [`token`]: the instructions in a prompt and the tokens generated from it.
//! - [`http`]: HTTP servers for all stand-ins.

pub mod engine;
pub mod http;
pub mod plain;
pub mod platform;
pub mod token;
