//! Links that an experiment has cut.
//!
//! A daemon's partition cuts nothing. An experiment that runs several instances in one process puts
//! addresses behind it, and the instance then reaches them no more than it would over a cut link:
//! frames are lost, new connections fail and open ones go silent.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::RwLock;

/// Addresses that can't be reached.
#[derive(Debug, Default)]
pub struct Partition {
    cut: RwLock<BTreeSet<SocketAddr>>,
}

impl Partition {
    /// Replaces the addresses that can't be reached.
    pub fn set(&self, addresses: BTreeSet<SocketAddr>) {
        if let Ok(mut cut) = self.cut.write() {
            *cut = addresses;
        }
    }

    /// Returns whether an address can't be reached.
    pub fn cuts(&self, address: SocketAddr) -> bool {
        self.cut.read().is_ok_and(|cut| cut.contains(&address))
    }
}
