//! Detection of requests that crash the backend servers that run them.
//!
//! # Overview
//!
//! When a backend server crashes, every request that was running on it gets a strike. One strike is
//! weak evidence, since most of these requests only shared the server with the one that crashed it.
//! A request with a strike is therefore [`Status::Suspect`] and runs again only on a server without
//! other suspects, so that a second crash identifies it. A request with strikes from
//! [`STRIKE_LIMIT_DEFAULT`] distinct servers is [`Status::Barred`] for a time at every instance,
//! because instances exchange strikes on their probes. A suspect request that completes is cleared.
//!
//! A strike is a pair of a request's fingerprint and a server's boot, so a strike that is received
//! twice, or from two instances, counts once. [`Table`] stores strikes exactly; [`sketch`] is an
//! approximate alternative, kept for comparison.
//!
//! ```
//! use std::time::Duration;
//!
//! use suspect::Status;
//! use suspect::Table;
//!
//! let mut table = Table::new(2);
//! let now = Duration::from_secs(1);
//! table.record_strike(now, 77, suspect::server_hash("engine-1", 1));
//! assert_eq!(table.status(now, 77), Status::Suspect);
//! table.record_strike(now, 77, suspect::server_hash("engine-2", 9));
//! assert_eq!(table.status(now, 77), Status::Barred);
//! ```

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use wire::BootId;
use wire::Fingerprint;
use wire::gossip::STRIKES_MAX;
use wire::gossip::Strike;

pub mod parts;
pub mod sketch;

/// Default number of distinct servers whose crashes bar a request.
pub const STRIKE_LIMIT_DEFAULT: usize = 2;
/// Lifetime of a strike, which limits how long a request stays barred.
pub const STRIKE_TTL: Duration = Duration::from_secs(600);
/// Maximum number of requests with strikes that a table keeps.
const FINGERPRINTS_MAX: usize = 8_192;
/// Number of times that an instance gossips each strike.
const GOSSIP_REPEATS: u32 = 24;

/// Status of a request, by its strikes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Status {
    /// The request has no strikes.
    Clear,
    /// The request has strikes, but fewer than the limit. It may have crashed a server.
    Suspect,
    /// The request has reached the limit of strikes and is not run again.
    Barred,
}

/// Strikes known to one instance.
#[derive(Debug)]
pub struct Table {
    limit: usize,
    strikes: BTreeMap<Fingerprint, BTreeMap<u64, Time>>,
    gossip_remaining: BTreeMap<(Fingerprint, u64), u32>,
}

/// Returns the hash that identifies one boot of a backend server.
pub fn server_hash(name: &str, boot: BootId) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), boot)
}

impl Table {
    /// Returns an empty table that bars a request after strikes from `limit` distinct servers. A
    /// limit of zero counts as one.
    pub fn new(limit: usize) -> Table {
        Table {
            limit: limit.max(1),
            strikes: BTreeMap::new(),
            gossip_remaining: BTreeMap::new(),
        }
    }

    /// Records that a request was running on a server when the server crashed.
    pub fn record_strike(&mut self, now: Time, fingerprint: Fingerprint, server: u64) {
        self.insert(fingerprint, server, now);
    }

    /// Adds a strike received from another instance. Expired strikes are ignored.
    pub fn merge_strike(&mut self, now: Time, strike: &Strike) {
        let age = Duration::from_secs(u64::from(strike.age_s));
        if age < STRIKE_TTL {
            self.insert(strike.fingerprint, strike.server, now.saturating_sub(age));
        }
    }

    /// Returns the status of a request, by its unexpired strikes.
    pub fn status(&self, now: Time, fingerprint: Fingerprint) -> Status {
        let Some(servers) = self.strikes.get(&fingerprint) else {
            return Status::Clear;
        };
        let recent = servers
            .values()
            .filter(|at| now.saturating_sub(**at) < STRIKE_TTL)
            .count();
        match recent {
            0 => Status::Clear,
            count if count >= self.limit => Status::Barred,
            _ => Status::Suspect,
        }
    }

    /// Removes the strikes of a request that completed, unless the request is already barred.
    pub fn clear(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.status(now, fingerprint) == Status::Suspect {
            self.strikes.remove(&fingerprint);
            self.gossip_remaining
                .retain(|(known, _), _| *known != fingerprint);
        }
    }

    /// Returns the strikes to gossip next and counts them as sent. Strikes sent least often come
    /// first.
    pub fn take_gossip(&mut self, now: Time) -> Vec<Strike> {
        let mut least_sent: Vec<(u32, Fingerprint, u64)> = self
            .gossip_remaining
            .iter()
            .map(|((fingerprint, server), remaining)| (*remaining, *fingerprint, *server))
            .collect();
        least_sent.sort_unstable_by(|a, b| b.cmp(a));
        least_sent.truncate(STRIKES_MAX);
        let mut strikes = Vec::new();
        for (remaining, fingerprint, server) in least_sent {
            if remaining <= 1 {
                self.gossip_remaining.remove(&(fingerprint, server));
            } else {
                self.gossip_remaining
                    .insert((fingerprint, server), remaining - 1);
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

    /// Returns the number of requests with strikes.
    pub fn len(&self) -> usize {
        self.strikes.len()
    }

    /// Returns whether no request has a strike.
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty()
    }

    fn insert(&mut self, fingerprint: Fingerprint, server: u64, at: Time) {
        if self.strikes.len() >= FINGERPRINTS_MAX && !self.strikes.contains_key(&fingerprint) {
            self.evict_oldest();
        }
        let servers = self.strikes.entry(fingerprint).or_default();
        if servers.insert(server, at).is_none() {
            self.gossip_remaining
                .insert((fingerprint, server), GOSSIP_REPEATS);
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .strikes
            .iter()
            .min_by_key(|(_, servers)| servers.values().max().copied())
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.strikes.remove(&fingerprint);
            self.gossip_remaining
                .retain(|(known, _), _| *known != fingerprint);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Time = Duration::from_secs(1_000);

    #[test]
    fn repeated_strike_counts_once() {
        let mut table = Table::new(2);
        table.record_strike(NOW, 1, 10);
        let strike = Strike {
            fingerprint: 1,
            server: 10,
            age_s: 3,
        };
        table.merge_strike(NOW, &strike);
        assert_eq!(table.status(NOW, 1), Status::Suspect);
    }

    #[test]
    fn gossiped_strikes_bar_request_at_another_instance() {
        let mut sender = Table::new(2);
        let mut receiver = Table::new(2);
        sender.record_strike(NOW, 5, 1);
        sender.record_strike(NOW, 5, 2);
        for strike in sender.take_gossip(NOW) {
            receiver.merge_strike(NOW, &strike);
        }
        assert_eq!(receiver.status(NOW, 5), Status::Barred);
        assert_eq!(receiver.status(NOW + STRIKE_TTL, 5), Status::Clear);
    }

    #[test]
    fn completion_clears_a_suspect_but_not_a_barred_request() {
        let mut table = Table::new(2);
        table.record_strike(NOW, 1, 1);
        table.clear(NOW, 1);
        assert_eq!(table.status(NOW, 1), Status::Clear);
        table.record_strike(NOW, 2, 1);
        table.record_strike(NOW, 2, 2);
        table.clear(NOW, 2);
        assert_eq!(table.status(NOW, 2), Status::Barred);
    }
}
