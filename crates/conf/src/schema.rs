//! The types of the configuration.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::Version;

/// All that operators decide, at one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Number of changes since the empty configuration.
    #[serde(default)]
    pub version: Version,
    /// The firms' customers, by name.
    #[serde(default)]
    pub organisations: BTreeMap<Name, Organisation>,
    /// The data centres, by name.
    #[serde(default)]
    pub data_centres: BTreeMap<Name, DataCentre>,
    /// Groups of like backend servers, by name.
    #[serde(default)]
    pub pools: BTreeMap<Name, Pool>,
    /// What callers ask for, by name.
    #[serde(default)]
    pub routes: BTreeMap<Name, Route>,
    /// Backend servers that get no new work until they are undrained.
    #[serde(default)]
    pub drained: BTreeSet<Name>,
}

/// One customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Hash of the bearer token, from [`crate::hash_token`].
    pub token_hash: Name,
    /// Share of a crowded pool relative to the other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Most requests running at once in one pool of one data centre. Zero means no limit.
    #[serde(default)]
    pub limit: u32,
}

/// One data centre.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Whether operators have taken it out of service.
    #[serde(default)]
    pub out: bool,
    /// Wall time of its return to service, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub back_at_ms: u64,
    /// The region it stands in.
    #[serde(default)]
    pub region: Name,
}

/// Whether a pool holds model engines or plain services.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// Model engines, which stream tokens.
    #[default]
    Engine,
    /// Plain services, which answer a call whole.
    Plain,
}

/// A group of like backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pool {
    /// What the servers are.
    pub service: Service,
    /// Label that the platform's list gives to the pool's servers. Empty means the pool's name.
    pub selector: Name,
    /// Most requests that a cold server is given at once.
    pub cold_limit: u32,
    /// Most requests that a warm server is given at once.
    pub batch: u32,
    /// Cache tokens of one server. Zero means that its own report is believed.
    pub memory_tokens: u64,
    /// Whether the engines refuse an order with an old fencing number.
    pub fenced: bool,
    /// Model that the engines must serve.
    pub model: Name,
    /// Adapter that the engines must load.
    pub adapter: Name,
    /// Version of the model.
    pub model_version: Name,
    /// Role of the engines.
    pub role: Name,
}

impl Default for Pool {
    fn default() -> Pool {
        Pool {
            service: Service::Engine,
            selector: Name::default(),
            cold_limit: 2,
            batch: 16,
            memory_tokens: 0,
            fenced: true,
            model: Name::default(),
            adapter: Name::default(),
            model_version: Name::default(),
            role: Name::default(),
        }
    }
}

impl Pool {
    /// Returns the label that the platform's list gives to the servers of this pool, which has a name.
    pub fn label<'a>(&'a self, name: &'a str) -> &'a str {
        if self.selector.is_empty() {
            name
        } else {
            &self.selector
        }
    }
}

/// How an answer reaches its caller.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Delivery {
    /// Token by token.
    #[default]
    Stream,
    /// In one piece, when the generation has ended.
    Whole,
}

/// How urgent the requests of a route are. A class never waits behind a later one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person waits for the answer.
    Interactive,
    /// The usual class.
    #[default]
    Standard,
    /// Work that may wait.
    Batch,
}

/// What a route promises about its service level.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Objective {
    /// Bound on the time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Bound on the time between tokens, in milliseconds.
    pub token_gap_ms: u64,
    /// Share of requests that must keep each bound, between 0 and 1.
    pub share: f64,
}

impl Default for Objective {
    fn default() -> Objective {
        Objective {
            first_token_ms: 1_000,
            token_gap_ms: 47,
            share: 0.95,
        }
    }
}

/// What callers ask for, and what they are promised.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Route {
    /// The pool that serves it.
    pub pool: Name,
    /// Organisations that may use it. Empty means all of them.
    pub organisations: BTreeSet<Name>,
    /// How answers are delivered.
    pub delivery: Delivery,
    /// Whether a lost generation may be run again.
    pub rerun: bool,
    /// Whether a call may be run more than once.
    pub idempotent: bool,
    /// Time for which an idempotency key is remembered, in seconds.
    pub retention_s: u64,
    /// Longest wait for a place on a backend server, in milliseconds.
    pub deadline_ms: u64,
    /// Urgency.
    pub class: Class,
    /// Time for which an ended answer can be fetched again, in seconds.
    pub keep_s: u64,
    /// Whether a generation goes on when its caller has gone.
    pub keep_running: bool,
    /// Service-level objective.
    pub objective: Objective,
}

impl Default for Route {
    fn default() -> Route {
        Route {
            pool: Name::default(),
            organisations: BTreeSet::new(),
            delivery: Delivery::Stream,
            rerun: true,
            idempotent: true,
            retention_s: 86_400,
            deadline_ms: 10_000,
            class: Class::Standard,
            keep_s: 60,
            keep_running: false,
            objective: Objective::default(),
        }
    }
}

impl Route {
    /// Returns the longest wait for a place on a backend server.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

fn default_weight() -> u32 {
    1
}

/// The kinds of named things in a configuration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An [`Organisation`].
    Organisation,
    /// A [`DataCentre`].
    DataCentre,
    /// A [`Pool`].
    Pool,
    /// A [`Route`].
    Route,
}

impl Kind {
    /// All kinds, in the order in which they are listed.
    pub const ALL: [Kind; 4] = [
        Kind::Organisation,
        Kind::DataCentre,
        Kind::Pool,
        Kind::Route,
    ];

    /// Returns the word of the operators' language.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Organisation => "organisation",
            Kind::DataCentre => "data-centre",
            Kind::Pool => "pool",
            Kind::Route => "route",
        }
    }

    /// Returns the field of [`Config`] that holds things of this kind.
    pub fn section(self) -> &'static str {
        match self {
            Kind::Organisation => "organisations",
            Kind::DataCentre => "data_centres",
            Kind::Pool => "pools",
            Kind::Route => "routes",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = ();

    fn from_str(text: &str) -> Result<Kind, ()> {
        Kind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or(())
    }
}
