//! Settings with which an instance is started.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use route::retry::Limits;
use wire::Name;
use wire::gossip::Entry;

/// Default of [`Settings::strikes`].
pub const STRIKES_DEFAULT: usize = suspect::REQUESTS.servers_min;

/// The policy by which a backend server is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// The pool's coordinator chooses, knowing all running attempts.
    #[default]
    Coordinator,
    /// Each instance uses the servers in turn.
    RoundRobin,
    /// Each instance uses the server with the least reported load.
    LeastLoaded,
    /// Each instance has an equal share of each server of its data centre.
    StaticShare,
}

impl Policy {
    /// All policies with their names in settings.
    pub const ALL: [(&'static str, Policy); 4] = [
        ("home", Policy::Coordinator),
        ("round-robin", Policy::RoundRobin),
        ("least-loaded", Policy::LeastLoaded),
        ("static-share", Policy::StaticShare),
    ];
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = Policy::ALL.iter().find(|(_, policy)| policy == self);
        f.write_str(found.map_or("home", |(name, _)| name))
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Policy, String> {
        let found = Policy::ALL.iter().find(|(name, _)| *name == text);
        found.map(|(_, policy)| *policy).ok_or_else(|| {
            let names: Vec<&str> = Policy::ALL.iter().map(|(name, _)| *name).collect();
            format!("unknown policy '{text}'; known are {}", names.join(", "))
        })
    }
}

/// Settings with which an instance is started.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The membership entry of this instance: names, addresses and an id that is new with each
    /// start.
    pub entry: Entry,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Policy by which backend servers are chosen.
    pub policy: Policy,
    /// Number of shards of the idempotency ledger. All instances must have the same number.
    pub shards: u32,
    /// This instance's share of the store's rate limits.
    pub store: store::Limits,
    /// Number of distinct crashed servers at which a request is barred.
    pub strikes: usize,
    /// Whether a broken invariant panics, as in tests, or is only counted and logged.
    pub strict: bool,
    /// Where the configuration is kept.
    pub source: Source,
    /// Time between two load probes of a server by its coordinator.
    pub probe_period: Duration,
    /// Limits of the retry budgets, over all instances.
    pub retries: Limits,
    /// Whether no process has run before in this deployment.
    pub is_first_start: bool,
}

/// Default of [`Settings::probe_period`]. Engine reports lag by some 100 ms, so probing more often
/// brings no new information.
pub const PROBE_PERIOD_DEFAULT: Duration = Duration::from_millis(250);

/// Where the configuration is kept.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Source {
    /// In the platform's store, where the instances write the changes that operators send them. The
    /// idempotency ledger and the lease for orders are kept there too.
    #[default]
    Store,
    /// Outside the system, by the operators; the shell passes it in. The instance keeps only the record
    /// of evidence in the store.
    External,
}

impl Settings {
    /// Returns settings for examples and tests, on loopback addresses.
    pub fn example(name: &str, data_centre: &str, id: u64) -> Settings {
        let port = 10_000 + (id % 20_000) as u16;
        let address = ([127, 0, 0, 1], port).into();
        Settings {
            entry: Entry {
                id,
                name: Name::from(name),
                data_centre: Name::from(data_centre),
                peers: address,
                callers: address,
                operators: address,
            },
            seed: id,
            policy: Policy::Coordinator,
            shards: 16,
            store: store::Limits::default(),
            strikes: suspect::REQUESTS.servers_min,
            strict: true,
            source: Source::Store,
            probe_period: PROBE_PERIOD_DEFAULT,
            retries: Limits::default(),
            is_first_start: true,
        }
    }
}
