//! Frames between instances.
//!
//! # Overview
//!
//! Instances speak to each other in [`Frame`]s: a sender, a receiver, a sequence number, the wall
//! time of sending, and one [`Body`]. A frame is coded with `postcard` and closed by a keyed hash,
//! so that only holders of the peers' key can make one. [`seal::Sealer`] makes the bytes and
//! [`seal::Opener`] checks them: a frame that is forged, cut, oversized, replayed, meant for another
//! incarnation or too old is an [`Error`], never a frame.
//!
//! ```
//! use std::time::Duration;
//!
//! use wire::Body;
//! use wire::seal::Opener;
//! use wire::seal::Sealer;
//!
//! let key = wire::seal::key_from_text("a shared secret");
//! let now = Duration::from_secs(1_700_000_000);
//! let bytes = Sealer::new(key, 1).seal(2, now, Body::Withdraw { attempt: 7 });
//! let mut opener = Opener::new(key, 2);
//! assert_eq!(opener.open(&bytes, now).unwrap().from, 1);
//! assert!(opener.open(&bytes, now).is_err(), "a replay is no frame");
//! ```
//!
//! # Modules
//!
//! - [`admission`]: asking for a place on a backend server, granting it, reporting its use.
//! - [`gossip`]: who is alive, and the small facts that travel with it.
//! - [`ledger`]: claims on idempotency keys.
//! - [`roster`]: the list of backend servers.
//! - [`seal`]: coding and authentication.

use std::error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

pub mod admission;
pub mod gossip;
pub mod ledger;
pub mod roster;
pub mod seal;

/// A name that operators or the platform give to something.
pub type Name = compact_str::CompactString;
/// One life of one instance: random at its start.
pub type InstanceId = u64;
/// A caller's request.
pub type RequestId = u64;
/// One try at serving a request.
pub type AttemptId = u64;
/// One life of one backend server.
pub type BootId = u64;
/// Hash of what a request asks for.
pub type Fingerprint = u64;
/// Hash of an idempotency key with its organisation and route.
pub type Key = u128;
/// A version of the configuration.
pub type Version = u64;

/// Greatest size of a frame sent as one datagram, in bytes. Greater ones go over TCP.
pub const DATAGRAM_BYTES: usize = 1_200;
/// Greatest size of any frame, in bytes.
pub const FRAME_BYTES: usize = 2 * 1_024 * 1_024;
/// The receiver of a frame sent to an instance whose incarnation is not known yet.
pub const ANY: InstanceId = 0;

/// One message from one instance to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Frame {
    /// The sender's incarnation.
    pub from: InstanceId,
    /// The receiver's incarnation, or [`ANY`].
    pub to: InstanceId,
    /// Number of the frame among all that the sender sent.
    pub seq: u64,
    /// Wall time of sending, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// What it says.
    pub body: Body,
}

/// What a frame says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`].
    Ping {
        /// Number of the probe.
        probe: u64,
        /// Facts to spread.
        gossip: gossip::Gossip,
    },
    /// Answers a [`Body::Ping`] or a [`Body::PingRequest`].
    Ack {
        /// Number of the probe.
        probe: u64,
        /// Facts to spread.
        gossip: gossip::Gossip,
    },
    /// Asks the receiver to probe a third instance.
    PingRequest {
        /// Number of the probe.
        probe: u64,
        /// The third instance.
        target: InstanceId,
    },
    /// Tells of requests that were running on a backend server when it crashed.
    Strikes {
        /// The strikes.
        strikes: Vec<gossip::Strike>,
    },
    /// Asks for a place on a backend server.
    Reserve(admission::Reservation),
    /// Says that a reservation waits.
    Queued {
        /// The attempt that asked.
        attempt: AttemptId,
        /// Expected wait, in milliseconds.
        wait_ms: u32,
    },
    /// Gives a place.
    Grant(admission::Grant),
    /// Gives no place.
    Deny {
        /// The attempt that asked.
        attempt: AttemptId,
        /// Why.
        denial: admission::Denial,
        /// Time after which asking again makes sense, in milliseconds.
        retry_ms: u32,
    },
    /// Says that the receiver of a reservation is not the coordinator.
    Redirect {
        /// The attempt that asked.
        attempt: AttemptId,
        /// The coordinator as the sender sees it.
        coordinator: InstanceId,
    },
    /// Takes a reservation back, or returns a grant unused.
    Withdraw {
        /// The attempt that asked.
        attempt: AttemptId,
    },
    /// Tells a coordinator what runs.
    Report(admission::Report),
    /// Tells a holder which of its reports a coordinator does not know.
    Resync {
        /// The pool.
        pool: Name,
    },
    /// Asks the coordinator of a shard to claim a key.
    Claim(ledger::Claim),
    /// Answers a [`Body::Claim`].
    Claimed {
        /// The request that claimed.
        claim: RequestId,
        /// What became of it.
        status: ledger::ClaimStatus,
    },
    /// Tells the coordinator of a shard how a claimed request ended.
    Settle(ledger::Settle),
    /// Confirms a [`Body::Settle`].
    Settled {
        /// The request that claimed.
        claim: RequestId,
    },
    /// Asks for the configuration after a version.
    FetchConfig {
        /// The version in force at the sender.
        after: Version,
        /// Hash of what it says, or zero.
        digest: u64,
    },
    /// Says that the configuration in force at the receiver is also that of a later version.
    ConfirmConfig {
        /// The version.
        version: Version,
        /// Hash of what it says.
        digest: u64,
    },
    /// Changes of the configuration, as JSON.
    ConfigChanges {
        /// A list of changes, oldest first.
        json: Vec<u8>,
    },
    /// The whole configuration, as JSON.
    ConfigSnapshot {
        /// The configuration.
        json: Vec<u8>,
    },
    /// Tells a holder where a copy of a running attempt's memory is to be kept from now on.
    CopyTo {
        /// The attempt.
        attempt: AttemptId,
        /// Where.
        endpoint: admission::Endpoint,
    },
    /// Tells a coordinator that the copy of a running attempt's memory could not be made.
    NoCopy {
        /// The attempt.
        attempt: AttemptId,
        /// The pool.
        pool: Name,
    },
    /// Asks for the whole list of backend servers.
    FetchRoster,
    /// What has changed in the list of backend servers.
    Roster(roster::Roster),
}

/// Why bytes are no frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: Kind,
}

/// The kinds of [`Error`], for counting.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// Too short to hold a hash, or longer than any frame.
    Size,
    /// The hash is not that of the key.
    Forged,
    /// The coded form is broken.
    Malformed,
    /// Meant for another incarnation.
    Misdirected,
    /// Seen before, or older than all that is remembered of the sender.
    Replayed,
    /// Sent too long ago or too far ahead.
    Stale,
}

impl Kind {
    /// Returns the kind as a metric's label value.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Size => "size",
            Kind::Forged => "forged",
            Kind::Malformed => "malformed",
            Kind::Misdirected => "misdirected",
            Kind::Replayed => "replayed",
            Kind::Stale => "stale",
        }
    }
}

impl Error {
    /// Returns the kind of the error.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    fn new(kind: Kind) -> Error {
        Error { kind }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a frame: {}", self.kind.as_str())
    }
}

impl error::Error for Error {}
