//! Membership of the fleet, and the choice of coordinators among its live instances.
//!
//! # Overview
//!
//! [`Membership`] implements SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
//! Infection-style Process Group Membership Protocol", 2002). Each instance probes a few others per
//! second and piggybacks its knowledge of the fleet on the probes. An instance that does not answer
//! a direct probe is probed indirectly through other instances, then suspected, and declared dead
//! unless it refutes the suspicion in time. The load on one instance does not grow with the fleet.
//! The platform's list of instances serves only to contact instances that are not known to run, and
//! to tell whether the view holds a majority ([`Membership::has_majority`]).
//!
//! From its view of the fleet an instance computes *coordinators* by rendezvous hashing (Thaler and
//! Ravishankar, 1998): [`Membership::coordinator`] returns the instance of a data centre that
//! coordinates a key. The views of two instances may differ for a while, so there may be two
//! coordinators of one key. This crate does not prevent that: code that relies on a coordinator
//! must be correct with two of them.
//!
//! An instance detects a pause of its own process from its clock ([`Membership::tick`] sets
//! [`Tick::was_paused`]) and then treats its view of the fleet as outdated.
//!
//! # Modules
//!
//! - [`membership`]: the SWIM state machine.
//! - [`rendezvous`]: rendezvous hashing.
//! - [`skew`]: ages of frames despite skewed wall clocks.
//! - `sync`: exchanges of whole views, by which a fleet that starts at once finds itself.

pub mod membership;
pub mod rendezvous;
pub mod skew;
mod sync;

pub use crate::membership::ListedInstance;
pub use crate::membership::Membership;
pub use crate::membership::OutgoingFrame;
pub use crate::membership::Tick;
