//! Which instances are alive, and which of them decides what.
//!
//! # Overview
//!
//! [`Membership`] probes a few instances a second and spreads what it learns on the probes
//! themselves, after SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
//! Process Group Membership Protocol", 2002): direct probe, indirect probes through others,
//! suspicion that the suspect can deny, death. The cost of one instance does not grow with the
//! fleet. The platform's list is only a source of first contacts and of the word "leaving".
//!
//! From its view an instance computes *coordinators* by rendezvous hashing (Thaler and Ravishankar,
//! 1998): [`Membership::coordinator`] names the instance of a data centre that decides for a key.
//! Two instances may see different coordinators for a while. Nothing here prevents that; whoever
//! relies on a coordinator must stay correct with two of them.
//!
//! An instance that was paused finds out by its own clock ([`Membership::tick`] returns
//! [`Tick::woke`]), and treats all that it believed as old.
//!
//! # Modules
//!
//! - [`membership`]: the state machine.
//! - [`rendezvous`]: coordinators by hashing.
//! - [`skew`]: the age of a frame, from wall clocks that disagree.

pub mod membership;
pub mod rendezvous;
pub mod skew;

pub use crate::membership::Listed;
pub use crate::membership::Membership;
pub use crate::membership::Send;
pub use crate::membership::Tick;
