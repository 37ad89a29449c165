//! Inputs and outputs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Time;
use conf::Config;
use wire::AttemptId;
use wire::BootId;
use wire::Fingerprint;
use wire::Frame;
use wire::InstanceId;
use wire::Key;
use wire::Name;
use wire::RequestId;
use wire::admission::Endpoint;
use wire::roster::Roster;
pub use wire::roster::Server as ListedServer;

use crate::outcome::Outcome;

/// A caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Chosen by the shell, unique.
    pub id: RequestId,
    /// The organisation, found by its token.
    pub organisation: Name,
    /// The route.
    pub route: Name,
    /// Hash of the idempotency key, if the caller sent one.
    pub key: Option<Key>,
    /// Hash of what is asked for, the same when it is sent again.
    pub fingerprint: Fingerprint,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Hashes of the prompt's prefixes, longest last.
    pub prefixes: Vec<u64>,
    /// Greatest number of tokens that the caller allows, if it said so.
    pub limit: Option<u32>,
    /// Expected number of tokens, if the caller has an estimate.
    pub expected: Option<u32>,
    /// Time from now after which the caller has no use for an answer, if it said so.
    pub patience: Option<Duration>,
}

/// News of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The first token has come.
    Started,
    /// More tokens have come.
    Progress {
        /// All that came so far.
        generated: u32,
        /// Those that the caller may see.
        delivered: u32,
    },
    /// The answer is whole.
    Complete {
        /// Tokens in all.
        generated: u32,
        /// Greatest time between two tokens.
        gap: Duration,
        /// The answer to be recorded with an idempotency key.
        answer: wire::ledger::Answer,
    },
    /// The server refused it without running it.
    Refused,
    /// The server could not be reached; nothing was sent.
    Unreachable,
    /// The server ran it and answered that it failed.
    Failed,
    /// A copy of its memory has been made.
    Copied(Replica),
    /// The copy that was ordered could not be made.
    NotCopied,
    /// The server lost it while it ran.
    Lost {
        /// Whether the server crashed, as far as can be told.
        crashed: bool,
        /// Tokens that the caller has.
        delivered: u32,
    },
    /// The relay can't go on: a second generation differs from what was delivered, or may not run.
    Broken {
        /// Tokens that the caller has.
        delivered: u32,
    },
}

/// What the platform lists.
#[derive(Clone, Debug, PartialEq)]
pub enum ListEntry {
    /// An instance of the system.
    Instance(member::Listed),
    /// A backend server.
    Server(ListedServer),
}

/// What a backend server reports of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerReport {
    /// Its load.
    pub load: admit::Load,
    /// What it serves.
    pub setup: reconcile::Setup,
    /// Whether it takes work.
    pub ready: bool,
    /// Number of the first of its newest cache events.
    pub first_event: u64,
    /// Its newest cache events.
    pub events: Vec<route::prefix::Event>,
}

/// A line of the operators' language.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandLine {
    /// Chosen by the shell, given back with the reply.
    pub id: u64,
    /// Who sent it.
    pub who: Name,
    /// The line, or several lines that are one change.
    pub lines: Vec<String>,
    /// Chosen by the sender, so that a line sent again is done once.
    pub change_id: u64,
    /// Whether to say only what would change.
    pub dry_run: bool,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandReply {
    /// Rows.
    Table(query::table::Table),
    /// A JSON text.
    Json(String),
    /// A change is in force.
    Accepted {
        /// The version that it led to.
        version: conf::Version,
        /// Instances known to have it in force.
        in_force: usize,
        /// Instances that have not said so.
        missing: Vec<Name>,
    },
    /// What a change would do.
    Preview(Vec<String>),
    /// The command is wrong, or may not be done now.
    Refused(Vec<String>),
    /// Whether the command was done is not known, or the store is out of reach.
    Failed(String),
}

/// What happens to an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A caller asks for something.
    Request(Request),
    /// A caller has gone.
    CallerGone(RequestId),
    /// Another instance says something.
    Frame(Frame),
    /// An attempt proceeds.
    Attempt(AttemptId, Event),
    /// A backend server has answered a probe, or has not. The time is that of the probe: after a pause
    /// of this process an answer may be old.
    Report(Name, Time, Option<ServerReport>),
    /// The store has answered a call.
    Store(u64, store::Answer),
    /// The platform's list has come.
    List(Vec<ListEntry>),
    /// The whole list of backend servers has been read in the platform's store.
    Roster(Roster),
    /// A whole configuration has come, from whoever keeps it.
    AdoptConfig(Arc<Config>),
    /// An operator sends a command.
    Command(CommandLine),
    /// The process is to end when its work is done.
    Leave,
    /// The process ends now.
    Stop,
    /// Nothing but the passing of time.
    Tick,
}

/// What an instance wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Run a request on a backend server.
    Dispatch(Dispatch),
    /// Stop an attempt and tell the server.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Have the server of an attempt copy the generation's memory to another one.
    Copy {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Where to.
        endpoint: Endpoint,
    },
    /// Tell a caller how its request ended.
    Finish {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// Send a frame.
    Send {
        /// Where to.
        address: SocketAddr,
        /// The receiver.
        to: InstanceId,
        /// What it says.
        body: wire::Body,
    },
    /// Call the store.
    Store(store::Sent),
    /// Ask a backend server for its report.
    Probe {
        /// The server.
        server: Name,
        /// Its address.
        address: SocketAddr,
        /// The time, to be given back with the report.
        asked: Time,
    },
    /// Send an order to an engine, if it may still go.
    Order {
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: reconcile::Order,
    },
    /// Answer an operator.
    Reply {
        /// The command.
        id: u64,
        /// The answer.
        reply: CommandReply,
    },
    /// A newer configuration is in force.
    Config(Arc<Config>),
    /// Say something in the log.
    Log {
        /// The part that speaks.
        part: &'static str,
        /// Whether somebody should look.
        warn: bool,
        /// What it says.
        text: String,
    },
}

/// An attempt to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The backend server.
    pub server: Name,
    /// Its address.
    pub address: SocketAddr,
    /// The life that is expected there, or zero.
    pub boot: BootId,
    /// Priority for the engine's scheduler.
    pub priority: u8,
    /// Whether an earlier attempt ran.
    pub rerun: bool,
    /// Where the server is to keep a copy of the generation's memory.
    pub copy: Option<Endpoint>,
    /// The copy on this server from which the generation goes on.
    pub resume_from: Option<Replica>,
}

/// A copy of a generation's memory.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// The server that keeps it.
    pub endpoint: Endpoint,
    /// How it is named, where it does not grow with the generation by itself.
    pub handle: Option<Handle>,
}

/// The name of a copy that was ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct Handle {
    /// The server that it was copied from.
    pub source: SocketAddr,
    /// Its name there.
    pub name: Name,
}
