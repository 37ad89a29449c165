//! The decision logic of one instance, without I/O.
//!
//! # Overview
//!
//! An [`Instance`] is a state machine. It takes the time and an [`Input`] (a caller's request, a
//! frame of another instance, a backend server's report, an answer of the platform's store) and
//! returns [`Output`]s (dispatch an attempt, send a frame, refuse a request). It reads no clock,
//! opens no socket and draws its random numbers from a seed, so a test can run several instances
//! through minutes of simulated faults in milliseconds, and a run with the same seed is repeated
//! exactly. The daemon is a thin shell that turns socket events into inputs and carries out the
//! outputs.
//!
//! Each accepted request is a [`job::Job`], which is in one phase at a time: claiming its
//! idempotency key, joining another request with the same key, looking for a place on a server,
//! waiting before a retry, or running. Tokens do not pass through the instance; the shell's relay
//! reports when an attempt starts, progresses and ends.
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
//! assert!(!outputs.is_empty(), "requests the configuration");
//! assert!(instance.next_wake().is_some());
//! ```
//!
//! # Modules
//!
//! - [`settings`]: settings with which an instance is started.
//! - [`message`]: inputs and outputs.
//! - [`outcome`]: outcomes of requests; a refused request was not run.
//! - [`job`]: the state of one accepted request.
//! - `instance`: the state of an instance, and the dispatch of inputs to their handlers.
//! - `lifecycle`: a request's arrival, dispatch, retries and end.
//! - [`shutdown`]: which requests may still start while an instance shuts down, and when running work
//!   is answered.
//! - `durations`: how long answers take, as observed.
//! - `placement`: reserving a place on a server, in this data centre or another one.
//! - `baseline`: simpler placement policies for comparison, and the fallback share of a server.
//! - `coordinator`: coordinating pools.
//! - `reports`: reports of running attempts to the coordinators of their pools.
//! - `claims`: claiming and settling idempotency keys.
//! - `copies`: copies of running generations' KV memory, and resuming from them.
//! - `origins`: continuing streams only at the software version that began them.
//! - `evidence`: the record of evidence in the platform's store.
//! - `timers`: the timers of jobs, of which none may be missing.
//! - `silence`: attempts whose server is silent.
//! - `local`: choosing a server without a coordinator, for lightly loaded plain services.
//! - `listing`: the list of backend servers and its distribution within a data centre.
//! - `notices`: what backend servers state about themselves in their responses.
//! - `limits`: rates to which backend servers limit their requests.
//! - `permits`: permits to send a request to a limited server without a coordinator.
//! - `reach`: the instance's own paths to the servers, and what others state about theirs.
//! - `inquiry`: indirect probes of servers through other instances.
//! - `hand_over`: requests that are handed over to other instances.
//! - `config`: following the configuration and accepting changes to it.
//! - `forwarding`: forwarding of an external configuration within a data centre.
//! - `gossip`: frames between instances, and membership.
//! - `orders`: orders that make engines load their configured setup.
//! - `tables`: replies to operators' queries.

mod baseline;
mod claims;
mod config;
mod coordinator;
mod copies;
mod durations;
mod evidence;
mod forwarding;
mod gossip;
mod hand_over;
mod inquiry;
mod instance;
pub mod job;
mod lifecycle;
mod limits;
mod listing;
mod local;
pub mod message;
mod notices;
mod orders;
mod origins;
pub mod outcome;
mod parts;
mod permits;
mod placement;
mod reach;
mod reports;
mod retries;
pub mod settings;
pub mod shutdown;
mod silence;
mod suspects;
mod tables;
mod timers;
mod transfer;

pub use crate::instance::Instance;
pub use crate::instance::Violation;
pub use crate::message::Event;
pub use crate::message::Handle;
pub use crate::message::Input;
pub use crate::message::ListEntry;
pub use crate::message::Output;
pub use crate::message::RateLimit;
pub use crate::message::Replica;
pub use crate::message::Request;
pub use crate::message::ServerNotice;
pub use crate::message::ServerReport;
pub use crate::message::Stream;
pub use crate::outcome::Failure;
pub use crate::outcome::Outcome;
pub use crate::outcome::Refusal;
pub use crate::settings::Policy;
pub use crate::settings::Settings;
pub use crate::settings::Source;
