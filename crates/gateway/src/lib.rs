//! Runs one instance as a process: sockets, HTTP and the actors around the decision core.
//!
//! # Overview
//!
//! [`node::Node`] runs one instance: it takes validated [`settings::Settings`], opens three
//! listeners (callers, peers, operators) and starts a few actors under one supervisor.
//! `wigeon_core::Instance`, which the [`decider`] owns, makes all decisions. The other modules do
//! I/O: they turn what arrives on sockets into inputs of the decider, and execute its outputs.
//!
//! ```text
//! callers --HTTP--> callers --Request--> decider --Dispatch--> relay --HTTP--> backend servers
//!    ^                                      |  ^                  |
//!    +------ answer (tokens) <--------------|--|------------------+
//!                                           |  +-- peers (UDP, TCP), platform (store, list)
//! ```
//!
//! Tokens pass directly from the relay to the answer, not through the decider.
//!
//! # Modules
//!
//! - [`settings`]: the settings of a process and their validation.
//! - [`node`]: starts and stops an instance.
//! - [`runtime`]: the components that every process around an instance needs.
//! - [`log_limit`]: limits the rate of log lines.
//! - [`supervisor`]: restarts actors that have panicked.
//! - [`decider`]: the actor that runs the decision state machine.
//! - [`relay`]: runs the attempts of one request.
//! - [`answer`]: buffered answers that any number of readers can follow.
//! - [`callers`]: the HTTP API for callers.
//! - `completion`: parses completion requests and formats the responses.
//! - `events`: streamed response bodies.
//! - [`operators`]: the HTTP API for operators.
//! - [`backend`]: HTTP client for model engines and plain services.
//! - [`platform`]: HTTP client for the platform's key-value store and its list.
//! - [`connection`]: one request's connection to a backend server or the platform.
//! - [`observed`]: a TCP stream whose reads are observed.
//! - [`peers`]: sends and receives frames between instances.
//! - [`partition`]: simulated network partitions, for experiments.
//! - [`path`]: connections to backend servers, and tests whether one can be established.
//! - [`http`]: helpers for HTTP servers and clients.
//! - [`metrics`]: counters and histograms.

pub mod answer;
pub mod backend;
pub mod callers;
mod completion;
pub mod connection;
pub mod decider;
mod events;
pub mod http;
pub mod log_limit;
pub mod metrics;
pub mod node;
pub mod observed;
pub mod operators;
pub mod partition;
pub mod path;
pub mod peers;
pub mod platform;
pub mod relay;
pub mod runtime;
pub mod settings;
pub mod supervisor;

pub use crate::node::Node;
pub use crate::settings::Settings;
