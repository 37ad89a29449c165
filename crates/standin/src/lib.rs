//! Small stand-ins for what surrounds the system: model engines, plain services, the platform's
//! key-value service and its list.
//!
//! # Overview
//!
//! Each stand-in is a plain state machine over a clock that is passed in ([`engine::Engine`],
//! [`plain::Plain`], [`platform::Platform`]) and records what it saw, so that a check need not
//! trust the system's own word. Seeded runs drive them directly; [`http`] puts them on loopback
//! sockets for daemons. Nothing here is linked into the daemon.
//!
//! What a generation contains is a function of its prompt, its index and, where it is sampled, its
//! generation ([`token::text`]), so whoever receives tokens can tell whose they are and whether one is
//! missing. How long it will be stands in the prompt ([`token::Marker`]), which the system does not
//! read.
//!
//! # Modules
//!
//! - [`engine`]: a model engine with continuous batching, bounded cache memory and cold starts.
//! - [`plain`]: a plain service.
//! - [`platform`]: the key-value service with faults, and the list.
//! - [`token`]: what generations contain.
//! - [`http`]: all of them on sockets.

pub mod engine;
pub mod http;
pub mod plain;
pub mod platform;
pub mod token;
