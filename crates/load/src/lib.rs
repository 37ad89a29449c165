//! Load generator and experiments: runs real instances against stand-in backend servers over
//! loopback, all in one process.
//!
//! # Overview
//!
//! A [`scenario::Scenario`] defines the data centres, instances and backend servers, the request
//! mix and the faults to inject. [`run::run`] starts them as a [`fleet::Fleet`], sends the load and
//! checks the guarantees against what the callers and the stand-ins recorded ([`checks`]),
//! independently of what the instances report about themselves. The printed result is a
//! [`result::Report`].
//!
//! # Modules
//!
//! - [`scenario`]: scenario files and their validation.
//! - [`fleet`]: starts and stops instances and stand-ins.
//! - [`caller`]: sends one request and records its answer.
//! - `action`: operator commands and injected faults.
//! - [`run`]: runs the load and the events of a scenario.
//! - [`checks`]: counts violations of the guarantees.
//! - [`result`]: latency, throughput and traffic measurements.
//! - [`overhead`]: cost of a stream through an instance compared with a direct one.
//! - [`plot`]: plots of runs as SVG.

mod action;
pub mod caller;
pub mod checks;
pub mod fleet;
pub mod overhead;
pub mod plot;
pub mod result;
pub mod run;
pub mod scenario;
