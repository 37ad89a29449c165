//! Choice of the data centre that serves a request, and of the server by prefix.
//!
//! # Overview
//!
//! An instance sends a request to its own data centre where it can, and elsewhere when that one is
//! out of service, has no server for the pool, is returning, or has just said that it is full.
//! [`choice::choose`] makes that decision from the configuration and from what other data centres
//! lately answered. Which server of the data centre runs the request is decided by the pool's
//! coordinator, for which [`prefix::Index`] keeps what each engine may have in its prefix cache.
//!
//! Retries are counted against a [`retry::Budget`], so that a sick pool is not drowned by them.
//!
//! # Modules
//!
//! - [`choice`]: eligibility and choice of data centres.
//! - [`health`]: health of servers by what their requests see.
//! - [`prefix`]: hints about prefix caches.
//! - [`retry`]: the retry budget and backoff.

pub mod choice;
pub mod health;
pub mod prefix;
pub mod retry;
