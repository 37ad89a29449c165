//! What an instance is told at its start.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use wire::Name;
use wire::gossip::Entry;

/// Distinct crashed servers that bar a request.
pub const STRIKES_DEFAULT: usize = suspect::LIMIT_DEFAULT;

/// How a backend server is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// By the pool's coordinator, which knows what runs.
    #[default]
    Coordinator,
    /// Each instance takes the servers in turn.
    RoundRobin,
    /// Each instance takes the server with the least reported load.
    LeastLoaded,
    /// Each instance has an equal share of each server of its data centre.
    StaticShare,
}

impl Policy {
    /// All policies with their names.
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

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How others find it. Its id is this life's incarnation.
    pub own: Entry,
    /// Seed of all its random choices.
    pub seed: u64,
    /// How backend servers are chosen.
    pub policy: Policy,
    /// Shards of the ledger. All instances must have the same number.
    pub shards: u32,
    /// Its share of the store's rates.
    pub store: store::Limits,
    /// Distinct crashed servers that bar a request.
    pub strikes: usize,
    /// Whether a violated invariant panics, as in tests, or is counted.
    pub strict: bool,
    /// Where the configuration comes from.
    pub source: Source,
    /// Time between two probes of a server by its coordinator.
    pub probe_period: Duration,
    /// Time from being told to leave until running work is cut, or nothing where it never is.
    pub grace: Option<Duration>,
}

/// Time between two probes of a server by its coordinator. Engines report with a lag of some 100
/// ms, so more probes tell nothing new.
pub const PROBE_PERIOD_DEFAULT: Duration = Duration::from_millis(250);

/// Where the configuration comes from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Source {
    /// The instances keep it in the platform's store, as changes that operators send to them. The
    /// ledger and the lease for orders lie there too.
    #[default]
    Store,
    /// The operators keep it themselves, and the shell hands it in. The instance makes no calls to the
    /// store.
    Shell,
}

impl Settings {
    /// Returns settings for examples and tests.
    pub fn example(name: &str, data_centre: &str, id: u64) -> Settings {
        let port = 10_000 + (id % 20_000) as u16;
        let address = ([127, 0, 0, 1], port).into();
        Settings {
            own: Entry {
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
            strikes: suspect::LIMIT_DEFAULT,
            strict: true,
            source: Source::Store,
            probe_period: PROBE_PERIOD_DEFAULT,
            grace: None,
        }
    }
}
