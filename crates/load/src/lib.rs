//! Load and experiments against real daemons and stand-ins over loopback, in one process.
//!
//! # Overview
//!
//! A [`scenario::Scenario`] says how many data centres, instances and backend servers there are, who
//! asks for what and what goes wrong when. [`run::run`] starts all of it as a [`fleet::Fleet`], sends
//! the load, and judges what happened by what the callers and the stand-ins recorded
//! ([`judge`]), not by the daemons' word. [`result::Outcome`] is what is printed.
//!
//! # Modules
//!
//! - [`scenario`]: what is run, with its checks.
//! - [`fleet`]: instances and stand-ins.
//! - [`caller`]: one request and what its caller saw.
//! - `deed`: what happens to a fleet under load.
//! - [`run`]: load and events on one clock.
//! - [`judge`]: what must not have happened.
//! - [`result`]: what was measured.
//! - [`overhead`]: what a daemon adds to a stream.
//! - [`plot`]: pictures of runs.

mod action;
pub mod caller;
pub mod checks;
pub mod fleet;
pub mod overhead;
pub mod plot;
pub mod report;
pub mod run;
pub mod scenario;
