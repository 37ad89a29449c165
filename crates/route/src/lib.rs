//! Routing: selection of the data centre that serves a request, and hints for selecting the server.
//!
//! # Overview
//!
//! An instance prefers its own data centre. It sends a request elsewhere if its own data centre is
//! out of service, has no server for the pool, is ramping up after its return or was recently full.
//! [`choice::choose`] decides from the configuration and from recent answers of the data centres'
//! coordinators. The pool's coordinator then selects the server; [`prefix::Index`] tells it which
//! prompt prefixes each engine may have cached.
//!
//! Retries are limited by a [`retry::Budget`], so that they do not overload a failing pool.
//!
//! # Modules
//!
//! - [`choice`]: selection of data centres.
//! - [`health`]: passive health of servers, from the outcomes of their requests.
//! - [`path`]: an instance's belief about its own paths to servers.
//! - [`prefix`]: approximate index of the engines' prefix caches.
//! - [`retry`]: the retry budget and backoff.

pub mod choice;
pub mod health;
pub mod path;
pub mod prefix;
pub mod retry;
