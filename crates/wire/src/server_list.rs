//! The list of backend servers, as sent between instances.
//!
//! A few instances read the list from the platform's store and forward it to the others. A
//! [`ServerListUpdate`] holds only the changes between two revisions of the store, which keeps
//! frames small. An update with changes since revision zero is the whole list.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::BootId;
use crate::Name;
use crate::Version;

/// Revision of the platform's store.
pub type Revision = u64;

/// Number of times that the platform's store was restored from an older copy. A restore sets the
/// revision back, so revisions are ordered only within an era.
pub type Era = u64;

/// The changes of the list between two revisions.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServerListUpdate {
    /// Era of the store in which the list was read.
    pub era: Era,
    /// Revision to which the changes apply. Zero if `servers` is the whole list.
    pub base_revision: Revision,
    /// Revision of the list after the changes.
    pub revision: Revision,
    /// Servers that were added or have changed.
    pub servers: Vec<Server>,
    /// Names of the servers that were removed.
    pub removed: Vec<Name>,
    /// Names of the servers that the store does not list but that may have lapsed while it was away.
    /// The whole list contains them as well.
    pub kept: Vec<Name>,
    /// Time for which servers may still register again whose records lapsed while the store was
    /// away, in milliseconds. Zero if the sender knows of no such time.
    pub grace_ms: u32,
    /// Version of the configuration in force at the sender. Instances that do not read the store
    /// learn of a newer version from this field as soon as they learn of a server.
    pub config_version: Version,
    /// Hash of that configuration's content, or zero if it is not known.
    pub config_digest: u64,
}

/// A backend server as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Server {
    /// Name of the server.
    pub name: Name,
    /// Data centre of the server.
    pub data_centre: Name,
    /// Label by which pools select the server.
    pub label: Name,
    /// Address of the server.
    pub address: SocketAddr,
    /// Boot id of the server, or zero if the platform does not provide it.
    pub boot: BootId,
    /// Version of the server's software; empty if it is not known.
    pub software: Name,
    /// Whether the server will shut down soon.
    pub leaving: bool,
    /// Whether the server will shut down before a long answer could complete on it.
    pub reclaimed: bool,
    /// Remaining time for which the server counts as cold after its start, in milliseconds, as of
    /// the revision.
    pub cold_left_ms: u32,
}
