//! One instance on its sockets.
//!
//! # Overview
//!
//! [`node::Node`] runs one instance: it reads checked [`settings::Settings`], opens three listeners
//! (callers, peers, operators) and starts a few actors under one supervisor. The decisions are all in
//! `wigeon_core::Instance`, which the [`decider`] owns; every other part turns sockets into its
//! inputs or its outputs into sockets.
//!
//! ```text
//! callers --HTTP--> callers --Request--> decider --Dispatch--> relay --HTTP--> backend servers
//!    ^                                      |  ^                  |
//!    +------ answer (tokens) <--------------|--|------------------+
//!                                           |  +-- peers (UDP, TCP), platform (store, list)
//! ```
//!
//! Tokens go from the relay to the answer and never through the decider.
//!
//! # Modules
//!
//! - [`settings`]: what a process is told, and its findings.
//! - [`node`]: starting and stopping.
//! - [`runtime`]: what every shell of an instance has.
//! - [`log_limit`]: bounding the number of log lines.
//! - [`supervisor`]: restarting a part that has failed.
//! - [`decider`]: the actor that owns the decisions.
//! - [`relay`]: one request's attempts.
//! - [`answer`]: the tokens of one answer, for any number of readers.
//! - [`callers`]: the callers' HTTP interface.
//! - `completion`: completions as callers write and read them.
//! - `events`: bodies that come bit by bit.
//! - [`operators`]: the operators' HTTP interface.
//! - [`backend`]: the adapter to model engines and plain services.
//! - [`platform`]: the adapter to the key-value service and the list.
//! - [`peers`]: frames on sockets.
//! - [`partition`]: links that an experiment has cut.
//! - [`http`]: what all HTTP parts share.
//! - [`metrics`]: counters and histograms.

pub mod answer;
pub mod backend;
pub mod callers;
mod completion;
pub mod decider;
mod events;
pub mod http;
pub mod log_limit;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod partition;
pub mod peers;
pub mod platform;
pub mod relay;
pub mod runtime;
pub mod settings;
pub mod supervisor;

pub use crate::node::Node;
pub use crate::settings::Settings;
