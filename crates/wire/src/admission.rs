//! Asking for a place on a backend server, granting it, reporting its use.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;
use crate::BootId;
use crate::Name;

/// Most prefix hashes in a reservation.
pub const PREFIXES_MAX: usize = 8;
/// Most backend servers that a reservation avoids.
pub const AVOID_MAX: usize = 4;

/// Asks the coordinator of a pool for a place on one of its backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reservation {
    /// The attempt that would run there.
    pub attempt: AttemptId,
    /// The pool.
    pub pool: Name,
    /// Data centre of the coordinator that is asked.
    pub data_centre: Name,
    /// What is to run.
    pub work: Work,
    /// Backend servers that already failed this request.
    pub avoid: Vec<Name>,
    /// Whether the request ran on a backend server when it crashed.
    pub suspect: bool,
    /// Longest wait, in milliseconds. Zero asks for a place at once or not at all.
    pub wait_ms: u32,
    /// The backend server that holds a copy of the generation's memory, where it is to go on. The
    /// place is there or nowhere, and does not wait.
    pub at: Option<Name>,
}

/// A backend server and its life.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Endpoint {
    /// The backend server.
    pub server: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its life, as far as the coordinator knows it.
    pub boot: BootId,
}

/// What one attempt brings to a backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Work {
    /// The organisation it is for.
    pub organisation: Name,
    /// The route, under which output lengths are learnt.
    pub route: Name,
    /// Urgency, zero first.
    pub class: u8,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens already delivered to the caller by earlier attempts.
    pub delivered: u32,
    /// Expected tokens of output, from the sender's own history.
    pub hint: u32,
    /// Hashes of the prompt's prefixes, longest last.
    pub prefixes: Vec<u64>,
}

/// Gives an attempt a place.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// The attempt that asked.
    pub attempt: AttemptId,
    /// The backend server.
    pub server: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its life, as far as the coordinator knows it.
    pub boot: BootId,
    /// Priority for the engine's own scheduler: the greater, the later it is preempted.
    pub priority: u8,
    /// Age of the grant when this frame was sent, in milliseconds.
    pub age_ms: u32,
    /// Where a copy of the generation's memory is to be kept, if anywhere.
    pub copy: Option<Endpoint>,
}

/// Why no place is given.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Denial {
    /// The wait would be longer than the reservation allows.
    Full,
    /// The organisation has all the places that it may have.
    Limited,
    /// No backend server may take work.
    NoServer,
    /// The coordinator has just started and does not know what runs.
    Learning,
}

/// Tells a coordinator what a holder runs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The pool.
    pub pool: Name,
    /// Number of the report among all of this holder for this pool.
    pub seq: u64,
    /// Whether all that runs is listed. What is not, does not run.
    pub full: bool,
    /// What runs, or what has changed.
    pub items: Vec<Item>,
}

/// One attempt in a report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Item {
    /// It was dispatched, or still runs.
    Running {
        /// The attempt.
        attempt: AttemptId,
        /// The backend server.
        server: Name,
        /// What it brings.
        work: Work,
        /// Tokens generated so far.
        generated: u32,
        /// The backend server that keeps a copy of its memory.
        copy: Option<Name>,
    },
    /// It has generated more tokens.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens generated so far.
        generated: u32,
    },
    /// It has ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: End,
        /// Tokens generated in all.
        generated: u32,
        /// Time from dispatch to the first token, in milliseconds. Zero if there was none.
        first_token_ms: u32,
    },
}

impl Item {
    /// Returns the attempt.
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
    /// The answer is whole.
    Complete,
    /// The caller went away or the holder gave it up.
    Cancelled,
    /// The backend server refused it without running it.
    Refused,
    /// The backend server could not be reached at all.
    Unreachable,
    /// The backend server lost it while it ran.
    Crashed,
    /// The grant was not used.
    Unused,
    /// The backend server answered that it failed.
    Failed,
}
