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
    /// Bounds on what callers may send.
    #[serde(default, skip_serializing_if = "Limits::is_default")]
    pub limits: Limits,
    /// Version of the operators' own document, where the whole configuration is one. Zero where it is
    /// made of changes.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub document: u64,
}

/// Bounds on what callers of an opaque exchange may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Greatest header, in bytes.
    pub header_bytes: usize,
    /// Greatest body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a header to its end, in milliseconds.
    pub header_ms: u64,
    /// Longest time that a connection stays idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16 * 1_024,
            body_bytes: 1_024 * 1_024,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

impl Limits {
    fn is_default(&self) -> bool {
        *self == Limits::default()
    }
}

/// One customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Hash of the bearer token, from [`crate::hash_token`].
    pub token_hash: Name,
    /// Hashes of further tokens.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub more_hashes: BTreeSet<Name>,
    /// Rank of its requests, zero first. It goes before that of the route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
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

/// Who chooses a server of a pool for a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Placing {
    /// The pool's coordinator, which knows what runs on each.
    #[default]
    #[serde(rename = "home")]
    Coordinator,
    /// Each instance by itself, for servers with room to spare.
    Local,
}

impl Placing {
    fn is_coordinator(&self) -> bool {
        *self == Placing::Coordinator
    }
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
    /// Most requests that a cold server is given in a second. Zero means that only `cold_limit` binds.
    #[serde(skip_serializing_if = "is_zero_rate")]
    pub cold_rate: f64,
    /// Whether the engines send copies of a generation's memory to another engine as it grows.
    #[serde(skip_serializing_if = "is_false")]
    pub copies: bool,
    /// Who chooses a server.
    #[serde(skip_serializing_if = "Placing::is_coordinator")]
    pub placing: Placing,
    /// Tokens in one event of a stream. Zero means one.
    #[serde(skip_serializing_if = "is_zero_u32")]
    pub stride: u32,
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
            cold_rate: 0.0,
            copies: false,
            placing: Placing::Coordinator,
            stride: 0,
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
    /// Host by which callers of an opaque exchange name the route. Empty means that they name it by
    /// its own name.
    #[serde(skip_serializing_if = "Name::is_empty")]
    pub host: Name,
    /// Beginning of the paths that belong to the route.
    #[serde(skip_serializing_if = "Name::is_empty")]
    pub prefix: Name,
    /// Pools that share the route's requests by weight. Empty means that `pool` has them all.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub split: BTreeMap<Name, u32>,
    /// Most backend servers that one request is sent to. Zero means that the retry budget alone binds.
    #[serde(skip_serializing_if = "is_zero_u32")]
    pub attempts: u32,
    /// Longest time from a request's arrival to the end of its answer, in milliseconds. Zero means
    /// that there is no bound.
    #[serde(skip_serializing_if = "is_zero")]
    pub timeout_ms: u64,
    /// Rank of its requests, zero first. Without one the class stands for it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
    /// Whether callers need no token.
    #[serde(skip_serializing_if = "is_false")]
    pub anonymous: bool,
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
            host: Name::default(),
            prefix: Name::default(),
            split: BTreeMap::new(),
            attempts: 0,
            timeout_ms: 0,
            rank: None,
            anonymous: false,
        }
    }
}

impl Config {
    /// Returns the route of a host and a path: the one with the longest prefix of the path.
    pub fn route_at(&self, host: &str, path: &str) -> Option<(&Name, &Route)> {
        self.routes
            .iter()
            .filter(|(_, route)| !route.prefix.is_empty())
            .filter(|(_, route)| route.host.eq_ignore_ascii_case(host))
            .filter(|(_, route)| path.starts_with(route.prefix.as_str()))
            .max_by_key(|(_, route)| route.prefix.len())
    }

    /// Returns the organisation that a token belongs to, by the token's hash.
    pub fn organisation_of(&self, token_hash: &str) -> Option<&Name> {
        self.organisations
            .iter()
            .find(|(_, organisation)| organisation.has(token_hash))
            .map(|(name, _)| name)
    }
}

impl Organisation {
    fn has(&self, token_hash: &str) -> bool {
        self.token_hash == token_hash || self.more_hashes.contains(token_hash)
    }
}

impl Route {
    /// Returns the pool that serves a request, by a number drawn from 0 to 1.
    pub fn pool_for(&self, draw: f64) -> &Name {
        let total: u32 = self.split.values().sum();
        let mut left = draw * f64::from(total);
        for (pool, weight) in &self.split {
            left -= f64::from(*weight);
            if left < 0.0 {
                return pool;
            }
        }
        self.split.keys().next_back().unwrap_or(&self.pool)
    }

    /// Returns the longest time from a request's arrival to the end of its answer.
    pub fn timeout(&self) -> Option<Duration> {
        (self.timeout_ms > 0).then(|| Duration::from_millis(self.timeout_ms))
    }

    /// Returns the longest wait for a place on a backend server.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

fn default_weight() -> u32 {
    1
}

fn is_false(value: &bool) -> bool {
    !*value
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

fn is_zero_u32(value: &u32) -> bool {
    *value == 0
}

fn is_zero_rate(value: &f64) -> bool {
    *value == 0.0
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
