//! Inputs and outputs of an instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Time;
use conf::Config;
use route::retry::Limits;
use wire::AttemptId;
use wire::BootId;
use wire::Fingerprint;
use wire::Frame;
use wire::InstanceId;
use wire::Key;
use wire::Name;
use wire::PartId;
use wire::RequestId;
use wire::StreamId;
use wire::admission::Endpoint;
use wire::limit::Rate;
pub use wire::server_list::Server as ListedServer;
use wire::server_list::ServerListUpdate;

use crate::outcome::Outcome;

/// A caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Unique id, chosen by the shell.
    pub id: RequestId,
    /// The organisation to which the caller's token belongs.
    pub organisation: Name,
    /// Name of the requested route.
    pub route: Name,
    /// Hash of the idempotency key, or `None` if the caller sent none.
    pub key: Option<Key>,
    /// Hash of the request's content. A request that is sent again has the same one.
    pub fingerprint: Fingerprint,
    /// Fingerprint of what the request shares with others of its path, caller and body. Equal to
    /// [`Request::fingerprint`] if that covers no more.
    pub group: Fingerprint,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefixes, longest last.
    pub prefixes: Vec<u64>,
    /// The parts of the prompt that other requests may share, in any order and whatever precedes
    /// them.
    pub parts: Vec<PartId>,
    /// Greatest number of output tokens that the caller allows, if it set a limit.
    pub max_tokens: Option<u32>,
    /// Expected number of output tokens, if the caller sent an estimate.
    pub expected_tokens: Option<u32>,
    /// Time from arrival after which the caller has no use for an answer, if it set a deadline.
    pub timeout: Option<Duration>,
    /// The stream of events that the request asks for, on a platform whose streams are bound to the
    /// software version that began them.
    pub stream: Option<Stream>,
    /// Whether another instance that is cut off from the servers has handed the request over.
    pub handed_over: bool,
}

/// The stream of events that a request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stream {
    /// A new stream, named after this request.
    New(StreamId),
    /// The rest of a stream that an earlier request of the caller began, which is `None` if the
    /// caller does not name it.
    Rest(Option<StreamId>),
}

/// An event in the course of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The server has begun to answer an attempt that resumes a generation.
    Accepted,
    /// The first token has arrived.
    FirstToken,
    /// More tokens have arrived.
    Progress {
        /// Tokens generated so far.
        generated: u32,
        /// Tokens passed on to the caller so far.
        delivered: u32,
    },
    /// The answer is complete.
    Complete {
        /// Tokens generated in all.
        generated: u32,
        /// Greatest time between two tokens.
        gap: Duration,
        /// The answer to record under the request's idempotency key.
        answer: wire::ledger::Answer,
    },
    /// The server refused the attempt without running it.
    Refused,
    /// The instance to which the request was handed over refused it without running it, as no server has
    /// room for it.
    NoRoom {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// The server could not be reached; nothing was sent.
    Unreachable,
    /// Nothing was sent, since the server of an earlier attempt has not confirmed that its run has ended.
    Postponed {
        /// The copy from which the attempt may be made again.
        replica: Option<Replica>,
    },
    /// The server ran the attempt and answered with an error.
    Failed,
    /// A copy of the generation's KV memory has been made.
    Copied(Replica),
    /// The copy that was ordered could not be made.
    NotCopied,
    /// The server lost the attempt while it ran.
    Lost {
        /// Whether the server appears to have crashed.
        crashed: bool,
        /// Tokens that the caller has received.
        delivered: u32,
    },
    /// No token has arrived for some time, but the connection is open.
    Silent {
        /// Number of this silence among those of the request.
        silence: u32,
        /// Tokens that the caller has received.
        delivered: u32,
    },
    /// A token has arrived after [`Event::Silent`].
    Recovered,
    /// The relay can't continue: the output of a new attempt differs from what was delivered, or no
    /// new attempt may run.
    Diverged {
        /// Tokens that the caller has received.
        delivered: u32,
    },
}

/// An entry of the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListEntry {
    /// An instance of wigeonjunction.
    Instance(member::ListedInstance),
    /// A backend server.
    Server(ListedServer),
}

/// A backend server's answer to a probe.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerReport {
    /// Current load of the server.
    pub load: admit::Load,
    /// The model setup that the server has loaded.
    pub setup: reconcile::Setup,
    /// Whether the server accepts work.
    pub ready: bool,
    /// Sequence number of the first event in `events`.
    pub first_event: u64,
    /// The newest events of the server's prefix cache.
    pub events: Vec<route::prefix::Event>,
    /// What the answer states about the server's limit.
    pub limit: RateLimit,
}

/// What a backend server states about itself in the headers of a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerNotice {
    /// Whether the server is about to shut down.
    pub leaving: bool,
    /// Time for which the server wants no requests of this instance, if it rejected one.
    pub retry_after: Option<Duration>,
    /// The rate of requests to which the server limits all instances together.
    pub limit: RateLimit,
    /// How many requests per second the server can reject without crashing, if it states so and has
    /// rejected this one.
    pub strain: Option<u32>,
}

/// What a response states about the rate of requests that its server takes from all instances
/// together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RateLimit {
    /// The response says nothing about the server's limit.
    #[default]
    Unknown,
    /// The server takes requests at any rate.
    Absent,
    /// The server takes requests at this rate.
    Stated(Rate),
}

impl RateLimit {
    /// Returns the limit if it is stated. Only responses to requests are known to state every limit,
    /// so its absence in other responses says nothing.
    pub fn if_stated(self) -> RateLimit {
        match self {
            RateLimit::Absent => RateLimit::Unknown,
            stated => stated,
        }
    }
}

/// A command of the operators' command language.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandLine {
    /// Id chosen by the shell, returned with the reply.
    pub id: u64,
    /// Name of the operator who sent the command.
    pub operator: Name,
    /// The command line, or several lines that form one change.
    pub lines: Vec<String>,
    /// Id chosen by the sender, so that a change that is sent again is applied once.
    pub change_id: u64,
    /// Whether to only preview the change.
    pub dry_run: bool,
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandReply {
    /// A table of rows.
    Table(query::table::Table),
    /// A JSON document.
    Json(String),
    /// A change is in force.
    Accepted {
        /// The configuration version that contains the change.
        version: conf::Version,
        /// Number of instances known to have that version in force.
        in_force: usize,
        /// Names of the instances that are not known to have that version in force.
        missing: Vec<Name>,
    },
    /// The lines of the configuration that a change would remove and add.
    Preview(Vec<String>),
    /// The command is invalid or not allowed now. Contains the reasons.
    Refused(Vec<String>),
    /// The store is unreachable, or it is not known whether the command took effect.
    Failed(String),
}

/// An input to an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A caller's request has arrived.
    Request(Request),
    /// The caller of a request has disconnected.
    CallerGone(RequestId),
    /// A frame of another instance has arrived.
    Frame(Frame),
    /// An event of an attempt.
    Attempt(AttemptId, Event),
    /// The result of a probe of a backend server, `None` if it did not answer. The time is that at
    /// which the probe was sent: after a pause of this process an answer may be old.
    Report(Name, Time, Option<ServerReport>),
    /// What the given boot of a backend server stated about itself in a response, and when the
    /// request was sent to it.
    ServerNotice(Name, BootId, Time, ServerNotice),
    /// The result of [`Output::TestPath`]: the server, when the test began, and whether a connection
    /// was established.
    PathTested(Name, Time, bool),
    /// The store's answer to the call with this id.
    Store(u64, store::Answer),
    /// The platform's list of instances, and of backend servers where they are listed with them.
    List(Vec<ListEntry>),
    /// The complete list of backend servers, as read from the platform's store just now.
    ServerList(ServerListUpdate),
    /// The same, and when the call began that read it. An answer may be old: the process may have
    /// stood still, or the answer been held up on the way.
    ServerListRead(ServerListUpdate, Time),
    /// A complete configuration, where it is kept outside the system.
    AdoptConfig(Arc<Config>),
    /// The limits of the retry budgets have changed.
    RetryLimits(Limits),
    /// More bytes of a configuration that the shell reads have arrived.
    ConfigReadProgress,
    /// An operator's command.
    Command(CommandLine),
    /// The process shuts down gracefully: it finishes its work and then ends. Running work is cut off
    /// after the given time, or never.
    Leave(Option<Duration>),
    /// The process ends now.
    Stop,
    /// No event; only time has passed.
    Tick,
}

/// An action that the shell carries out for an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send an attempt to a backend server.
    Dispatch(Dispatch),
    /// Cancel an attempt, also at its server.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt to cancel.
        attempt: AttemptId,
    },
    /// Order the server of an attempt to copy the generation's KV memory to another server.
    Copy {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The running attempt.
        attempt: AttemptId,
        /// The server that receives the copy.
        endpoint: Endpoint,
    },
    /// Send a caller the outcome of its request.
    Finish {
        /// The request that has ended.
        request: RequestId,
        /// Outcome of the request.
        outcome: Outcome,
    },
    /// Send a frame to another instance.
    Send {
        /// The receiver's address.
        address: SocketAddr,
        /// The receiver's id.
        to: InstanceId,
        /// Content of the frame.
        body: wire::Body,
    },
    /// Send a call to the store.
    Store(store::OutgoingCall),
    /// Probe a backend server for its report.
    Probe {
        /// Name of the server.
        server: Name,
        /// Address of the server.
        address: SocketAddr,
        /// When the probe is sent, to be returned with the report.
        sent_at: Time,
    },
    /// Open a connection to a backend server, send nothing, and close it.
    TestPath {
        /// Name of the server.
        server: Name,
        /// Address of the server.
        address: SocketAddr,
        /// When the test begins, to be returned with its result.
        started_at: Time,
    },
    /// Send an order to an engine, if [`Instance::may_send_order`](crate::Instance::may_send_order)
    /// still allows it.
    Order {
        /// The engine's address.
        address: SocketAddr,
        /// The setup that the engine is to load.
        order: reconcile::Order,
    },
    /// Reply to an operator's command.
    Reply {
        /// Id of the command.
        id: u64,
        /// Result of the command.
        reply: CommandReply,
    },
    /// A newer configuration is in force.
    Config(Arc<Config>),
    /// Write a log line.
    Log {
        /// The part of the instance that logs, such as `config`.
        target: &'static str,
        /// Whether to log at level warn.
        warn: bool,
        /// The message.
        text: String,
    },
}

/// The dispatch of an attempt to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Unique id of the attempt.
    pub attempt: AttemptId,
    /// Name of the backend server.
    pub server: Name,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Expected boot id of the server, or zero if not known.
    pub boot: BootId,
    /// Version of the server's software, for the log; empty if it is not known.
    pub software: Name,
    /// Priority for the engine's scheduler.
    pub priority: u8,
    /// Whether this attempt runs the request again: an earlier attempt was dispatched and is not
    /// resumed.
    pub rerun: bool,
    /// The server to which the generation's KV memory is to be copied, if any.
    pub copy: Option<Endpoint>,
    /// The copy on this server from which the generation resumes, if any.
    pub resume_from: Option<Replica>,
    /// Number of the silence that led to this attempt, if the attempt before it is still open. Once
    /// that silence is over the attempt must not be made.
    pub silence: Option<u32>,
    /// The list of servers by which the server was chosen, for the log.
    pub list: ListPosition,
    /// Whether the request is handed over to another instance, which is named as the server. It is
    /// sent to the instance's address for callers.
    pub hands_over: bool,
    /// When the answer is to end at the latest, besides the request's own deadline, because this
    /// instance stops soon after.
    pub ends_at: Option<Time>,
}

/// How current the list of servers is at an instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListPosition {
    /// Revision of the store as of which the list is current.
    pub revision: u64,
    /// Time since the list was read here, or since another instance confirmed it.
    pub age: Duration,
    /// Name of the instance that read it.
    pub reader: Name,
}

/// A copy of a generation's KV memory on another server.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// The server that holds the copy.
    pub endpoint: Endpoint,
    /// Handle of a copy that was ordered. `None` for a copy that grows with the generation by
    /// itself.
    pub handle: Option<Handle>,
}

/// The handle of a copy that was ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct Handle {
    /// Address of the server that the memory was copied from.
    pub source: SocketAddr,
    /// Name of the copy at that server.
    pub name: Name,
}
