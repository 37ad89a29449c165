//! Opaque exchanges: requests that are forwarded byte for byte.
//!
//! # Overview
//!
//! Beside the completions that it understands, the system carries requests whose bytes are none of its
//! business: any method, path, query, headers and body go to a backend server, and what that answers
//! goes back. What must be known of a request (its route, its organisation, how long its caller waits,
//! what it brings to an engine) is read from its header by a [`Codec`], and the same codec writes the
//! header that the server gets and judges what it answers. So one relay serves every platform whose
//! headers somebody writes a codec for.
//!
//! ```text
//! caller --entry--> codec.read --> decider (core) --Dispatch--> relay --link--> backend server
//!    ^                                                            |
//!    +--------- whole answer, or events as they come -------------+
//! ```
//!
//! # What holds here
//!
//! - Every attempt has a connection of its own, which is closed when the attempt ends. An answer can
//!   therefore not be taken for that of an earlier request, surplus bytes belong to nobody, and a
//!   connection that broke tells about one request only.
//! - A request body is read whole before anything is sent, so that an attempt which a server turned
//!   away can be repeated with the same bytes, and a server that answers early can't get bytes of one
//!   request where it expects another.
//! - A short answer is read whole before its first byte is passed on, so that a broken one can still be
//!   replaced where the request may run again. A stream of events is passed on event by event: what
//!   comes after the last whole event of a broken connection is dropped.
//! - An answer that is not whole ends in a broken connection, never in a proper end.
//! - A caller that goes away takes its attempt with it: dropping the relay closes the connection to the
//!   server.
//!
//! # Modules
//!
//! - [`codec`]: what a platform's headers mean.
//! - [`entry`]: callers' connections, with their limits on time and size.
//! - [`relay`]: one request, from its header to the end of its answer.
//! - [`link`]: one attempt's connection to a backend server.
//! - [`events`]: the events of a stream.

pub mod codec;
pub mod entry;
pub mod events;
pub mod link;
pub mod relay;

pub use crate::codec::Call;
pub use crate::codec::Codec;
pub use crate::relay::Shared;
