//! Frames between instances.
//!
//! # Overview
//!
//! Instances communicate in [`Frame`]s: a sender, a receiver, a sequence number, the wall time of
//! sending, and one [`Body`]. A frame is encoded with `postcard` and authenticated by a keyed hash,
//! so that only holders of the peers' key can create one. [`seal::Sealer`] encodes frames and
//! [`seal::Opener`] decodes and checks them: it rejects frames that are forged, truncated,
//! oversized, replayed, addressed to another incarnation or too old with an [`Error`].
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
//! assert!(opener.open(&bytes, now).is_err(), "a replayed frame is rejected");
//! ```
//!
//! # Modules
//!
//! - [`admission`]: reservations of places on backend servers, grants, and reports of running
//!   attempts.
//! - [`gossip`]: the states of instances, and small facts sent along with them.
//! - [`ledger`]: claims on idempotency keys and their outcomes.
//! - [`origin`]: the origins of streams.
//! - [`path`]: paths to backend servers.
//! - [`server_list`]: the list of backend servers.
//! - [`seal`]: encoding and authentication of frames.

use std::error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

pub mod admission;
pub mod gossip;
pub mod ledger;
pub mod limit;
pub mod origin;
pub mod path;
pub mod seal;
pub mod server_list;

/// A name assigned by the operators or the platform, for example of a pool or a backend server.
pub type Name = compact_str::CompactString;
/// Incarnation of an instance: a random number drawn each time that the instance starts.
pub type InstanceId = u64;
/// Id of a caller's request.
pub type RequestId = u64;
/// Id of one attempt to serve a request.
pub type AttemptId = u64;
/// Id of one boot of a backend server: it changes whenever the server restarts.
pub type BootId = u64;
/// Hash of the content of a request.
pub type Fingerprint = u64;
/// Hash that identifies a part of prompts, for example a template that many requests share.
pub type PartId = u64;
/// Hash of the id of the caller's attempt that began a stream of events.
pub type StreamId = u64;
/// Hash of an idempotency key with its organisation and route.
pub type Key = u128;
/// Version number of the configuration.
pub type Version = u128;

/// Maximum size of a frame that is sent as a UDP datagram, in bytes. Larger frames are sent over
/// TCP.
pub const DATAGRAM_BYTES: usize = 1_200;
/// Maximum size of any frame, in bytes.
pub const FRAME_BYTES: usize = 2 * 1_024 * 1_024;
/// Receiver of a frame that is sent to an address whose instance's incarnation is not known yet.
pub const ANY_INSTANCE: InstanceId = 0;

/// One message from one instance to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Frame {
    /// The sender's incarnation.
    pub from: InstanceId,
    /// The receiver's incarnation, or [`ANY_INSTANCE`].
    pub to: InstanceId,
    /// Sequence number among all frames of the sender.
    pub seq: u64,
    /// Wall time of sending, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The message.
    pub body: Body,
}

/// The message of a frame.
///
/// The encoding has no version, so that a kind that a released build knows never changes, and new
/// kinds are added at the end. A build rejects a frame of a kind that it does not know.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// Probes the receiver, which answers with a [`Body::Ack`].
    Ping {
        /// Number of the probe, chosen by its sender.
        probe: u64,
        /// The gossip sent along with the probe.
        gossip: gossip::Gossip,
    },
    /// Answers a [`Body::Ping`] or a [`Body::PingRequest`].
    Ack {
        /// Number of the probe, chosen by its sender.
        probe: u64,
        /// The gossip sent along with the probe.
        gossip: gossip::Gossip,
    },
    /// Asks the receiver to probe a third instance (SWIM's indirect probe).
    PingRequest {
        /// Number of the probe, chosen by its sender.
        probe: u64,
        /// The instance to be probed.
        target: InstanceId,
    },
    /// Offers to synchronise the views of the fleet.
    SyncOffer {
        /// Hash of the running instances in the sender's view.
        digest: u64,
    },
    /// Sends the sender's view of the fleet, or in reply to a view what that view lacks.
    SyncView {
        /// The rumours.
        rumours: Vec<gossip::Rumour>,
        /// Whether this is the reply to a view.
        is_reply: bool,
    },
    /// Reports requests that were running on a backend server when it crashed.
    Strikes {
        /// The strikes.
        strikes: Vec<gossip::Strike>,
    },
    /// Reports backend servers that announced their shutdown.
    Leaving {
        /// The servers.
        servers: Vec<gossip::Leaving>,
    },
    /// Requests a place on a backend server from the coordinator.
    Reserve(admission::Reservation),
    /// Reports that the coordinator has queued a reservation.
    Queued {
        /// The attempt of the reservation.
        attempt: AttemptId,
        /// Expected time in the queue, in milliseconds.
        wait_ms: u32,
    },
    /// Grants a reservation.
    Grant(admission::Grant),
    /// Denies a reservation.
    Deny {
        /// The attempt of the reservation.
        attempt: AttemptId,
        /// The reason of the denial.
        denial: admission::Denial,
        /// Time after which a new reservation may succeed, in milliseconds.
        retry_ms: u32,
    },
    /// Rejects a reservation that was sent to an instance other than the coordinator.
    Redirect {
        /// The attempt of the reservation.
        attempt: AttemptId,
        /// The coordinator according to the sender's membership view.
        coordinator: InstanceId,
    },
    /// Withdraws a reservation, or returns an unused grant.
    Withdraw {
        /// The attempt of the reservation.
        attempt: AttemptId,
    },
    /// Reports to a coordinator which attempts the sender runs.
    Report(admission::Report),
    /// Asks for a full report of a pool, because the coordinator misses earlier reports of it.
    Resync {
        /// The pool.
        pool: Name,
    },
    /// Asks the coordinator of a shard to claim an idempotency key.
    Claim(ledger::Claim),
    /// Answers a [`Body::Claim`].
    Claimed {
        /// The request that made the claim.
        claim: RequestId,
        /// The status of the claim.
        status: ledger::ClaimStatus,
    },
    /// Reports the outcome of a claimed request to the coordinator of the key's shard.
    Settle(ledger::Settle),
    /// Confirms a [`Body::Settle`].
    Settled {
        /// The request that made the claim.
        claim: RequestId,
    },
    /// Requests the configuration changes after a version.
    FetchConfig {
        /// The version in force at the sender.
        after: Version,
        /// Hash of the configuration's content, or zero if it is not known.
        digest: u64,
    },
    /// Confirms that the content of a later version equals the configuration in force at the
    /// receiver.
    ConfirmConfig {
        /// The later version.
        version: Version,
        /// Hash of its content.
        digest: u64,
    },
    /// Sends changes of the configuration.
    ConfigChanges {
        /// The changes as a JSON array, oldest first.
        json: Vec<u8>,
    },
    /// Announces a new configuration that is too large to be sent unasked.
    ConfigVersion {
        /// The version.
        version: Version,
        /// Hash of its content.
        digest: u64,
    },
    /// Sends the whole configuration.
    ConfigSnapshot {
        /// The configuration as JSON.
        json: Vec<u8>,
    },
    /// Asks the instance that runs an attempt to keep a copy of the attempt's KV memory on a
    /// backend server from now on.
    KeepCopy {
        /// The attempt.
        attempt: AttemptId,
        /// The backend server that is to hold the copy.
        endpoint: admission::Endpoint,
    },
    /// Reports to a coordinator that the KV memory of a running attempt could not be copied.
    CopyFailed {
        /// The attempt.
        attempt: AttemptId,
        /// The attempt's pool.
        pool: Name,
    },
    /// Requests the whole list of backend servers.
    FetchServerList,
    /// Sends changes of the list of backend servers, or the whole list.
    ServerList(server_list::ServerListUpdate),
    /// Requests the next part of a large configuration.
    FetchConfigPart {
        /// The version of the configuration.
        version: Version,
        /// Number of bytes that the sender has received.
        offset: usize,
    },
    /// Sends a compressed configuration, or one part of a large one.
    ConfigPart {
        /// The version of the configuration.
        version: Version,
        /// Position of the part in the compressed configuration, in bytes.
        offset: usize,
        /// Size of the whole compressed configuration in bytes.
        size: usize,
        /// The part of the configuration's JSON, compressed by DEFLATE (RFC 1951).
        bytes: Vec<u8>,
    },
    /// Reports findings about parts of prompts.
    PartFindings {
        /// The findings.
        findings: Vec<gossip::PartFinding>,
    },
    /// Sends the origin of a stream that the sender has begun.
    StreamBegun {
        /// The stream.
        stream: StreamId,
        /// The stream's origin.
        origin: origin::Origin,
    },
    /// Asks for the origin of a stream.
    FindOrigin {
        /// The stream.
        stream: StreamId,
    },
    /// Answers a [`Body::FindOrigin`].
    OriginFound {
        /// The stream.
        stream: StreamId,
        /// The stream's origin, or `None` if the sender does not know it.
        origin: Option<origin::Origin>,
    },
    /// Sends what backend servers have stated about the rate of requests that they take.
    Limits {
        /// The statements.
        limits: Vec<limit::Limit>,
    },
    /// Asks for a permit to send a request to a limited server.
    RequestPermit(limit::PermitRequest),
    /// Answers a [`Body::RequestPermit`].
    Permit(limit::Permit),
    /// Reports a brittle backend server that has rejected a request.
    Strained {
        /// Name of the server.
        server: Name,
        /// Boot id of the server.
        boot: BootId,
        /// Time for which the server is left alone, in milliseconds.
        backoff_ms: u32,
    },
    /// Sends what instances have stated about their paths to backend servers.
    Paths {
        /// The statements.
        statements: Vec<path::Statement>,
    },
    /// Asks the receiver to probe a backend server that the sender did not reach.
    ProbeServer {
        /// Name of the server.
        server: Name,
    },
    /// Answers a [`Body::ProbeServer`].
    ServerProbed {
        /// Name of the server.
        server: Name,
        /// The load that the server reported, or `None` if it did not answer.
        load: Option<path::Load>,
    },
    /// Reports findings about requests.
    RequestFindings {
        /// The findings.
        findings: Vec<gossip::RequestFinding>,
    },
    /// Announces that a suspected request runs on trial.
    RequestTrial {
        /// Fingerprint of the request.
        request: Fingerprint,
    },
    /// Asks the receiver, which reads the list of backend servers, to answer as soon as it has read
    /// the list by a call that began after it received this frame.
    AwaitServerList {
        /// The sender's request that waits.
        request: RequestId,
    },
    /// Answers a [`Body::AwaitServerList`].
    ServerListRead {
        /// The receiver's request that waits.
        request: RequestId,
        /// Era of the store in which the list was read.
        era: server_list::Era,
        /// Revision of the list.
        revision: server_list::Revision,
    },
    /// Asks for a retry from the receiver's part of a retry budget.
    BorrowRetry {
        /// The request that is to be tried again.
        request: RequestId,
        /// Name of the pool.
        pool: Name,
        /// Whether the caller would lose what it has received.
        is_heavy: bool,
    },
    /// Answers a [`Body::BorrowRetry`].
    RetryLent {
        /// The request that is to be tried again.
        request: RequestId,
        /// Whether the sender's part has one retry less now.
        is_lent: bool,
    },
}

/// Error of decoding or checking a frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: Kind,
}

/// The kinds of [`Error`], by which rejected frames are counted.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// Too short to hold a frame and its keyed hash, or longer than [`FRAME_BYTES`].
    Size,
    /// The keyed hash does not match.
    Forged,
    /// The encoding is invalid.
    Malformed,
    /// Addressed to another incarnation.
    Misdirected,
    /// Its sequence number was already seen, or is below the sender's replay window.
    Replayed,
    /// Its wall time is too far in the past or in the future.
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
        write!(f, "invalid frame: {}", self.kind.as_str())
    }
}

impl error::Error for Error {}
