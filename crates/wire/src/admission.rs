//! Reservations of places on backend servers, grants, and reports of running attempts.
//!
//! A *holder* is the instance that holds the caller's request and runs its attempts.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;
use crate::BootId;
use crate::Name;

/// Maximum number of prefix hashes in a reservation.
pub const PREFIXES_MAX: usize = 8;
/// Maximum number of backend servers that a reservation excludes.
pub const AVOID_MAX: usize = 4;

/// Requests a place on one of a pool's backend servers from the pool's coordinator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reservation {
    /// The attempt that needs the place.
    pub attempt: AttemptId,
    /// The pool.
    pub pool: Name,
    /// Data centre of the coordinator.
    pub data_centre: Name,
    /// The load that the attempt puts on a backend server.
    pub work: Work,
    /// Backend servers on which this request has already failed.
    pub avoid: Vec<Name>,
    /// Whether a backend server has crashed while it ran this request.
    pub suspect: bool,
    /// Maximum time in the queue, in milliseconds. With zero the reservation is granted at once or
    /// denied.
    pub wait_ms: u32,
    /// The backend server that holds a copy of the generation's KV memory, on which the generation
    /// is to resume. The reservation is granted there at once or denied. `None` if any server will
    /// do.
    pub resume_server: Option<Name>,
    /// The software version that the server must have, since the attempt continues a stream that
    /// this version began. `None` if any will do.
    pub software: Option<Name>,
}

/// Address and boot of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Endpoint {
    /// Name of the server.
    pub server: Name,
    /// Address of the server.
    pub address: SocketAddr,
    /// Boot id of the server that the coordinator last learnt.
    pub boot: BootId,
}

/// The load that one attempt puts on a backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Work {
    /// The caller's organisation.
    pub organisation: Name,
    /// The route, for which output lengths are estimated.
    pub route: Name,
    /// Urgency class. Class zero is the most urgent.
    pub class: u8,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Number of tokens that earlier attempts have delivered to the caller.
    pub delivered_tokens: u32,
    /// Expected length of the output in tokens, estimated from the sender's own history.
    pub expected_tokens: u32,
    /// Hashes of the prompt's prefixes, longest last.
    pub prefixes: Vec<u64>,
}

/// Grants a reservation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// The attempt of the reservation.
    pub attempt: AttemptId,
    /// The backend server.
    pub server: Name,
    /// Address of the server.
    pub address: SocketAddr,
    /// Boot id of the server that the coordinator last learnt.
    pub boot: BootId,
    /// Priority in the engine's own scheduler. Attempts of higher priority are preempted later.
    pub priority: u8,
    /// Age of the grant when this frame was sent, in milliseconds.
    pub age_ms: u32,
    /// The backend server that is to hold a copy of the generation's KV memory, or `None` if no
    /// copy is to be kept.
    pub replica: Option<Endpoint>,
}

/// Reason for denying a reservation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Denial {
    /// The time in the queue would exceed the reservation's limit.
    Full,
    /// The organisation has reached its limit of places.
    Limited,
    /// No backend server accepts new work.
    NoServer,
    /// The coordinator has just started and does not know yet which attempts are running.
    Learning,
}

/// A holder's report to a coordinator on its attempts in one pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The pool.
    pub pool: Name,
    /// Sequence number among this holder's reports for this pool.
    pub seq: u64,
    /// Whether `items` lists all running attempts of the holder. Attempts that a full report does
    /// not list have ended.
    pub full: bool,
    /// All running attempts in a full report, otherwise the changes since the last report.
    pub items: Vec<Item>,
}

/// One attempt in a report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Item {
    /// The attempt was dispatched, or is still running.
    Running {
        /// The attempt.
        attempt: AttemptId,
        /// The backend server that runs the attempt.
        server: Name,
        /// The load that the attempt puts on the server.
        work: Work,
        /// Number of tokens generated so far.
        generated: u32,
        /// The backend server that holds a copy of the attempt's KV memory, if any.
        replica: Option<Name>,
    },
    /// The attempt has generated more tokens.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Number of tokens generated so far.
        generated: u32,
    },
    /// The attempt has ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How the attempt ended.
        end: End,
        /// Total number of tokens generated.
        generated: u32,
        /// Time from dispatch to the first token, in milliseconds. Zero if no token was generated.
        first_token_ms: u32,
    },
}

impl Item {
    /// Returns the attempt that the item is about.
    pub fn attempt(&self) -> AttemptId {
        match self {
            Item::Running { attempt, .. }
            | Item::Progress { attempt, .. }
            | Item::Ended { attempt, .. } => *attempt,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum End {
    /// The answer is complete.
    Complete,
    /// The caller disconnected or the holder cancelled the attempt.
    Cancelled,
    /// The backend server refused the attempt without running it.
    Refused,
    /// The backend server could not be reached.
    Unreachable,
    /// The backend server lost the attempt while running it.
    Crashed,
    /// The grant was not used.
    Unused,
    /// The backend server reported that the attempt failed.
    Failed,
}
