//! Simulated network partitions, for experiments.
//!
//! In a daemon the set of unreachable addresses is always empty. An experiment that runs several
//! instances in one process fills it, and the instance then treats these addresses as behind a
//! broken link: frames are lost, new connections fail and open ones go silent.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::RwLock;

/// The addresses that an instance can't reach.
#[derive(Debug, Default)]
pub struct Partition {
    unreachable: RwLock<BTreeSet<SocketAddr>>,
}

impl Partition {
    /// Replaces the set of unreachable addresses.
    pub fn set(&self, addresses: BTreeSet<SocketAddr>) {
        if let Ok(mut unreachable) = self.unreachable.write() {
            *unreachable = addresses;
        }
    }

    /// Returns whether the link to an address is cut.
    pub fn cuts(&self, address: SocketAddr) -> bool {
        self.unreachable
            .read()
            .is_ok_and(|unreachable| unreachable.contains(&address))
    }
}
