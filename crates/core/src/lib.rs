//! All decisions of one instance, without I/O.
//!
//! # Overview
//!
//! An [`Instance`] is a state machine. It is given the time and an [`Input`] (a caller's request, a
//! frame of another instance, news of a backend server, an answer of the platform's store) and
//! returns [`Output`]s (dispatch this, send that, refuse the caller). It reads no clock, opens no
//! socket and draws its random numbers from a seed, so a test drives several of them through
//! minutes of trouble in milliseconds, and a run with the same seed is the same run. The daemon is a
//! thin shell that turns sockets into inputs and outputs into sockets.
//!
//! A request is a [`job::Job`] with one phase at a time: claiming its idempotency key, joining
//! another run of the same key, asking for a place, waiting before a retry, running. Tokens do not
//! pass through here; the shell's relay tells when an attempt starts, proceeds and ends.
//!
//! ```
//! use std::time::Duration;
//!
//! use wigeon_core::Input;
//! use wigeon_core::Instance;
//! use wigeon_core::Settings;
//!
//! let mut instance = Instance::new(Settings::example("i1", "east", 1));
//! let wall = Duration::from_secs(1_700_000_000);
//! let outputs = instance.handle(Duration::ZERO, wall, Input::Tick);
//! assert!(!outputs.is_empty(), "it reads the configuration and the list");
//! assert!(instance.next_wake().is_some());
//! ```
//!
//! # Modules
//!
//! - [`settings`]: what an instance is told at its start.
//! - [`message`]: inputs and outputs.
//! - [`outcome`]: how a request ends, and why a refusal is true.
//! - [`job`]: one request.
//! - `instance`: the state, and the way of each input.
//! - `serve`: a request from its arrival to its end.
//! - `seek`: asking for a place, here or in another data centre.
//! - `baseline`: the simpler ways of choosing a server, kept to be measured against.
//! - `coordinator`: deciding for a pool, and reporting to whoever does.
//! - `claims`: idempotency keys.
//! - `copies`: copies of running generations, and going on from them.
//! - `local`: choosing a server without a coordinator, for plain services that have room to spare.
//! - `listing`: the list of backend servers, and passing it on.
//! - `config`: accepting and following configurations.
//! - `gossip`: frames of other instances.
//! - `orders`: orders to engines.
//! - `rows`: answers to operators.

mod baseline;
mod claims;
mod config;
mod coordinator;
mod copies;
mod gossip;
mod instance;
pub mod job;
mod lifecycle;
mod listing;
mod local;
pub mod message;
mod orders;
pub mod outcome;
mod placement;
mod rows;
pub mod settings;

pub use crate::instance::Instance;
pub use crate::instance::Violation;
pub use crate::message::Event;
pub use crate::message::Handle;
pub use crate::message::Input;
pub use crate::message::ListEntry;
pub use crate::message::Output;
pub use crate::message::Replica;
pub use crate::message::Request;
pub use crate::message::ServerReport;
pub use crate::outcome::Failure;
pub use crate::outcome::Outcome;
pub use crate::outcome::Refusal;
pub use crate::settings::Policy;
pub use crate::settings::Settings;
pub use crate::settings::Source;
