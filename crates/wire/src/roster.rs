//! The list of backend servers, as instances pass it on to each other.
//!
//! Few instances read the list in the platform's store; the others are told. A [`Roster`] holds what
//! has changed between two revisions of the store, so that a frame stays small, and one that begins at
//! revision zero is the whole list.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::BootId;
use crate::Name;
use crate::Version;

/// Revision of the platform's store.
pub type Revision = u64;

/// What has changed in the list between two revisions.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Roster {
    /// Revision that the changes are counted from. Zero means that the list is whole.
    pub after: Revision,
    /// Revision as of which the list holds with the changes.
    pub revision: Revision,
    /// Servers that are new or have changed.
    pub servers: Vec<Server>,
    /// Servers that are no longer listed.
    pub gone: Vec<Name>,
    /// Version of the configuration in force at the sender, so that those who do not read the store hear
    /// of a newer one as soon as of a server.
    pub config: Version,
}

/// A backend server as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Server {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Its label, by which pools select servers.
    pub label: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its life, or zero where the platform does not tell.
    pub boot: BootId,
    /// Whether it is about to go.
    pub leaving: bool,
    /// Whether it goes so soon that long answers won't end on it.
    pub reclaimed: bool,
    /// Time for which it stays cold, in milliseconds, as of the revision.
    pub cold_ms: u32,
}
