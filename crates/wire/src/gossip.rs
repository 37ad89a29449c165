//! Who is alive, and the small facts that travel with it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::BootId;
use crate::Fingerprint;
use crate::InstanceId;
use crate::Name;
use crate::Version;

/// Most rumours in one frame.
pub const RUMOURS_MAX: usize = 6;
/// Most strikes in one frame.
pub const STRIKES_MAX: usize = 6;

/// Facts that travel on probes and their answers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Gossip {
    /// What is known of instances. The first one is the sender's own.
    pub rumours: Vec<Rumour>,
    /// Greatest version of the configuration that the sender has in force.
    pub config: Version,
    /// Requests that were running on a backend server when it crashed.
    pub strikes: Vec<Strike>,
    /// Backend servers known to be leaving.
    pub leaving: Vec<Leaving>,
}

/// What is known of one instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rumour {
    /// The instance.
    pub entry: Entry,
    /// Its state.
    pub state: State,
    /// Count of its own denials of its death. The greater one is newer.
    pub beat: u32,
}

/// How an instance is found.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Its incarnation.
    pub id: InstanceId,
    /// Its name in its settings.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Where it listens for frames.
    pub peers: SocketAddr,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for operators.
    pub operators: SocketAddr,
}

/// State of an instance. A later one overrides an earlier one of the same beat.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// It answers probes.
    Alive,
    /// It finishes its work and takes on nothing new for others.
    Leaving,
    /// It did not answer a probe.
    Suspect,
    /// It did not deny the suspicion in time, or said that it stops.
    Dead,
}

/// A request that was running on a backend server when it crashed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Strike {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Hash of the backend server and its life.
    pub server: u64,
    /// Time since the crash, in seconds.
    pub age_s: u32,
}

/// A backend server that said that it is about to go.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Leaving {
    /// The server.
    pub server: Name,
    /// Its life.
    pub boot: BootId,
    /// Time since it said so, in milliseconds.
    pub age_ms: u32,
}
