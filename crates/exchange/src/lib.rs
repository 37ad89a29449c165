//! Opaque exchanges: HTTP requests that are forwarded without interpreting their bodies.
//!
//! # Overview
//!
//! Besides the completions that it parses, the system forwards opaque requests: any method, path,
//! query, headers and body are sent to a backend server, and its response is sent back to the
//! caller. The [`Codec`] of a platform reads from the request's headers what routing needs (the
//! route, the organisation, the caller's timeout, the token counts), writes the headers that the
//! server receives, and classifies the server's response. The relay itself is independent of the
//! platform; supporting another platform means writing another codec.
//!
//! ```text
//! caller --listener--> codec --> decider (core) --Dispatch--> relay --connection--> server
//!    ^                                                          |
//!    +---- whole response, or server-sent events as they come --+
//! ```
//!
//! # Guarantees
//!
//! - Each attempt uses a connection of its own, which is closed when the attempt ends. A response
//!   can therefore not be mistaken for the response to an earlier request, surplus bytes are
//!   discarded with the connection, and a lost connection affects one request only.
//! - A request's body is read completely before the first attempt. An attempt that a server refused
//!   can be repeated with the same bytes, and a server that responds early never receives the rest
//!   of one request's body as the beginning of another request.
//! - A short response is buffered completely before its first byte is sent to the caller, so that a
//!   truncated response can be replaced by another attempt where the request may run again. A
//!   stream of events is forwarded event by event: an incomplete event at the end of a lost
//!   connection is dropped.
//! - An incomplete response ends by aborting the caller's connection, never with a regular end of
//!   the body.
//! - When the caller disconnects, the attempt is cancelled: dropping the relay closes the
//!   connection to the server.
//!
//! # Modules
//!
//! - [`codec`]: the headers of a platform.
//! - [`listener`]: callers' connections, with their limits on time and size.
//! - [`relay`]: one request, from its headers to the end of its response.
//! - [`connection`]: connections to servers, and calls that concern replicas.
//! - [`sse`]: parsing of server-sent events.

pub mod codec;
pub mod connection;
pub mod listener;
pub mod relay;
pub mod sse;

pub use crate::codec::Codec;
pub use crate::codec::RequestMeta;
pub use crate::relay::RelayContext;
