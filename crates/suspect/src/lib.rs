//! Requests that crash the backend servers that run them.
//!
//! # Overview
//!
//! When a backend server crashes, every request that it ran gets a strike. One strike means little:
//! most of them only shared the engine with the one to blame. A request with a strike is therefore
//! run again only where no other request with a strike runs, so that the next crash names it. At
//! [`LIMIT_DEFAULT`] distinct servers it is [`Status::Barred`] for a time, at every instance:
//! strikes travel on the instances' probes. An innocent request is cleared when it completes.
//!
//! A strike is a pair of fingerprint and server life, so hearing of one twice, or from two sides,
//! counts it once. [`Table`] keeps them exactly; [`sketch`] holds the alternative that was weighed.
//!
//! ```
//! use std::time::Duration;
//!
//! use suspect::Status;
//! use suspect::Table;
//!
//! let mut table = Table::new(2);
//! let now = Duration::from_secs(1);
//! table.strike(now, 77, suspect::server_hash("engine-1", 1));
//! assert_eq!(table.status(now, 77), Status::Suspect);
//! table.strike(now, 77, suspect::server_hash("engine-2", 9));
//! assert_eq!(table.status(now, 77), Status::Barred);
//! ```

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use wire::BootId;
use wire::Fingerprint;
use wire::gossip::STRIKES_MAX;
use wire::gossip::Strike;

pub mod sketch;

/// Distinct servers whose crash bars a request, unless configured otherwise.
pub const LIMIT_DEFAULT: usize = 2;
/// Time for which strikes are remembered, and so for which a request is barred.
pub const MEMORY: Duration = Duration::from_secs(600);
/// Requests with strikes that are remembered.
const FINGERPRINTS_MAX: usize = 8_192;
/// Times that a strike is sent on.
const REPEATS: u32 = 24;

/// What is known of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Status {
    /// It ran on no server that crashed.
    Clear,
    /// It may have crashed a server.
    Suspect,
    /// It is not run any more.
    Barred,
}

/// The strikes that one instance knows of.
#[derive(Debug)]
pub struct Table {
    limit: usize,
    strikes: BTreeMap<Fingerprint, BTreeMap<u64, Time>>,
    spread: BTreeMap<(Fingerprint, u64), u32>,
}

/// Returns the hash that stands for one life of a backend server.
pub fn server_hash(name: &str, boot: BootId) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), boot)
}

impl Table {
    /// Returns a table that bars a request at a number of distinct servers.
    pub fn new(limit: usize) -> Table {
        Table {
            limit: limit.max(1),
            strikes: BTreeMap::new(),
            spread: BTreeMap::new(),
        }
    }

    /// Notes that a request was running on a server when it crashed.
    pub fn strike(&mut self, now: Time, fingerprint: Fingerprint, server: u64) {
        self.insert(fingerprint, server, now);
    }

    /// Takes a strike from another instance.
    pub fn merge_strike(&mut self, now: Time, strike: &Strike) {
        let age = Duration::from_secs(u64::from(strike.age_s));
        if age < MEMORY {
            self.insert(strike.fingerprint, strike.server, now.saturating_sub(age));
        }
    }

    /// Returns what is known of a request.
    pub fn status(&self, now: Time, fingerprint: Fingerprint) -> Status {
        let Some(servers) = self.strikes.get(&fingerprint) else {
            return Status::Clear;
        };
        let recent = servers
            .values()
            .filter(|at| now.saturating_sub(**at) < MEMORY)
            .count();
        match recent {
            0 => Status::Clear,
            count if count >= self.limit => Status::Barred,
            _ => Status::Suspect,
        }
    }

    /// Forgets the strikes of a request that completed, unless it is barred already.
    pub fn clear(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.status(now, fingerprint) == Status::Suspect {
            self.strikes.remove(&fingerprint);
            self.spread.retain(|(known, _), _| *known != fingerprint);
        }
    }

    /// Returns the strikes to be sent on next, and counts them as sent once more.
    pub fn gossip(&mut self, now: Time) -> Vec<Strike> {
        let mut freshest: Vec<(u32, Fingerprint, u64)> = self
            .spread
            .iter()
            .map(|((fingerprint, server), left)| (*left, *fingerprint, *server))
            .collect();
        freshest.sort_unstable_by(|a, b| b.cmp(a));
        freshest.truncate(STRIKES_MAX);
        let mut strikes = Vec::new();
        for (left, fingerprint, server) in freshest {
            if left <= 1 {
                self.spread.remove(&(fingerprint, server));
            } else {
                self.spread.insert((fingerprint, server), left - 1);
            }
            let at = self.strikes.get(&fingerprint).and_then(|s| s.get(&server));
            let Some(at) = at else { continue };
            let age = now.saturating_sub(*at).as_secs();
            strikes.push(Strike {
                fingerprint,
                server,
                age_s: u32::try_from(age).unwrap_or(u32::MAX),
            });
        }
        strikes
    }

    /// Returns how many requests have strikes.
    pub fn len(&self) -> usize {
        self.strikes.len()
    }

    /// Returns whether no request has a strike.
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty()
    }

    fn insert(&mut self, fingerprint: Fingerprint, server: u64, at: Time) {
        if self.strikes.len() >= FINGERPRINTS_MAX && !self.strikes.contains_key(&fingerprint) {
            self.forget_oldest();
        }
        let servers = self.strikes.entry(fingerprint).or_default();
        if servers.insert(server, at).is_none() {
            self.spread.insert((fingerprint, server), REPEATS);
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .strikes
            .iter()
            .min_by_key(|(_, servers)| servers.values().max().copied())
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.strikes.remove(&fingerprint);
            self.spread.retain(|(known, _), _| *known != fingerprint);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Time = Duration::from_secs(1_000);

    #[test]
    fn one_crash_heard_twice_counts_once() {
        let mut table = Table::new(2);
        table.strike(NOW, 1, 10);
        let strike = Strike {
            fingerprint: 1,
            server: 10,
            age_s: 3,
        };
        table.merge_strike(NOW, &strike);
        assert_eq!(table.status(NOW, 1), Status::Suspect);
    }

    #[test]
    fn strikes_travel_and_bar_elsewhere() {
        let mut here = Table::new(2);
        let mut there = Table::new(2);
        here.strike(NOW, 5, 1);
        here.strike(NOW, 5, 2);
        for strike in here.gossip(NOW) {
            there.merge_strike(NOW, &strike);
        }
        assert_eq!(there.status(NOW, 5), Status::Barred);
        assert_eq!(there.status(NOW + MEMORY, 5), Status::Clear);
    }

    #[test]
    fn completion_clears_a_suspect_but_not_a_barred_request() {
        let mut table = Table::new(2);
        table.strike(NOW, 1, 1);
        table.clear(NOW, 1);
        assert_eq!(table.status(NOW, 1), Status::Clear);
        table.strike(NOW, 2, 1);
        table.strike(NOW, 2, 2);
        table.clear(NOW, 2);
        assert_eq!(table.status(NOW, 2), Status::Barred);
    }
}
