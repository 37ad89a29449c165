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

/// The operators' configuration at one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version: the number of changes since the empty configuration.
    #[serde(default)]
    pub version: Version,
    /// The organisations, by name.
    #[serde(default)]
    pub organisations: BTreeMap<Name, Organisation>,
    /// The data centres, by name.
    #[serde(default)]
    pub data_centres: BTreeMap<Name, DataCentre>,
    /// Pools of interchangeable backend servers, by name.
    #[serde(default)]
    pub pools: BTreeMap<Name, Pool>,
    /// Routes that callers can request, by name.
    #[serde(default)]
    pub routes: BTreeMap<Name, Route>,
    /// Names of the drained backend servers, which get no new requests.
    #[serde(default)]
    pub drained: BTreeSet<Name>,
    /// Limits on requests of callers of an opaque exchange.
    #[serde(default, skip_serializing_if = "Limits::is_default")]
    pub limits: Limits,
    /// Version of the operators' configuration document, if the configuration was read from one.
    /// Zero if it results from changes.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub document: u64,
}

/// Limits on requests of callers of an opaque exchange.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request header, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a header to its end, in milliseconds.
    pub header_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
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

/// A customer, whose requests are authorised by bearer tokens.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Hash of the bearer token, from [`crate::hash_token`].
    pub token_hash: Name,
    /// Hashes of further valid tokens.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub more_hashes: BTreeSet<Name>,
    /// Priority of the organisation's requests, zero the highest. Overrides the rank of the route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
    /// Weight of the organisation's share of an overloaded pool, relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of concurrent requests in one pool of one data centre. Zero means no limit.
    #[serde(default)]
    pub limit: u32,
}

/// A data centre.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Whether operators have taken the data centre out of service.
    #[serde(default)]
    pub out: bool,
    /// Wall time of the last return to service, in milliseconds since the Unix epoch. Zero if the
    /// data centre has never been brought back.
    #[serde(default)]
    pub back_at_ms: u64,
    /// Region of the data centre. May be empty.
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
    /// Plain services, which return the answer to a call in one piece.
    Plain,
}

/// Which instance chooses the server for a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Placing {
    /// The pool's coordinator, which knows the load of each server.
    #[default]
    #[serde(rename = "home")]
    Coordinator,
    /// Each instance independently, for servers with spare capacity.
    Local,
}

impl Placing {
    fn is_coordinator(&self) -> bool {
        *self == Placing::Coordinator
    }
}

/// A pool of interchangeable backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pool {
    /// Kind of the servers.
    pub service: Service,
    /// Label of the pool's servers in the platform's server list. Empty means the pool's name.
    pub selector: Name,
    /// Maximum number of concurrent requests on a cold server.
    pub cold_limit: u32,
    /// Maximum number of concurrent requests on a warm server.
    pub batch: u32,
    /// KV memory of one server, in tokens. Zero means that the server's own report is used.
    pub memory_tokens: u64,
    /// Whether the engines reject orders with a stale fencing number.
    pub fenced: bool,
    /// Model that the engines must serve. May be empty.
    pub model: Name,
    /// Adapter that the engines must load. May be empty.
    pub adapter: Name,
    /// Version of the model. May be empty.
    pub model_version: Name,
    /// Role that the engines must have. May be empty.
    pub role: Name,
    /// Maximum number of requests per second to a cold server. Zero means that only `cold_limit`
    /// applies.
    #[serde(skip_serializing_if = "is_zero_rate")]
    pub cold_rate: f64,
    /// Whether the engines copy the KV memory of a generation to another engine as it grows.
    #[serde(skip_serializing_if = "is_false")]
    pub copies: bool,
    /// Which instance chooses the server for a request.
    #[serde(skip_serializing_if = "Placing::is_coordinator")]
    pub placing: Placing,
    /// Number of tokens in one event of a stream. Zero means one.
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
    /// Returns the label of the pool's servers in the platform's server list. `name` is the name of
    /// the pool.
    pub fn label<'a>(&'a self, name: &'a str) -> &'a str {
        if self.selector.is_empty() {
            name
        } else {
            &self.selector
        }
    }
}

/// How an answer is delivered to the caller.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Delivery {
    /// Token by token.
    #[default]
    Stream,
    /// In one piece, after the generation has ended.
    Whole,
}

/// Priority class of a route's requests. Requests of a class are never queued behind those of a
/// later class.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Interactive use: a person waits for the answer.
    Interactive,
    /// The usual class.
    #[default]
    Standard,
    /// Batch work, which may wait.
    Batch,
}

/// The service-level objective of a route.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Objective {
    /// Latency target for the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Latency target for the gap between tokens, in milliseconds.
    pub token_gap_ms: u64,
    /// Fraction of requests that must meet each target, between 0 and 1, exclusive.
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

/// A route: the pool that serves its requests, and how requests are served.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Route {
    /// Name of the pool that serves the route.
    pub pool: Name,
    /// Organisations that may use the route. Empty means all organisations.
    pub organisations: BTreeSet<Name>,
    /// How answers are delivered.
    pub delivery: Delivery,
    /// Whether a lost generation may be run again.
    pub rerun: bool,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Retention of an idempotency key, in seconds.
    pub retention_s: u64,
    /// Maximum wait for a place on a backend server, in milliseconds.
    pub deadline_ms: u64,
    /// Priority class of the requests.
    pub class: Class,
    /// Time for which a completed answer can be fetched again, in seconds.
    pub keep_s: u64,
    /// Whether a generation continues after its caller has disconnected.
    pub keep_running: bool,
    /// Service-level objective of the route.
    pub objective: Objective,
    /// Host by which callers of an opaque exchange select the route. Empty means that they select
    /// it by its name.
    #[serde(skip_serializing_if = "Name::is_empty")]
    pub host: Name,
    /// Path prefix of the route. Empty means that no path selects the route.
    #[serde(skip_serializing_if = "Name::is_empty")]
    pub prefix: Name,
    /// Pools among which the route's requests are split, with their weights. Empty means that
    /// `pool` serves all requests.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub split: BTreeMap<Name, u32>,
    /// Maximum number of backend servers on which one request may have run. Zero means that only
    /// the retry budget applies.
    #[serde(skip_serializing_if = "is_zero_u32")]
    pub attempts: u32,
    /// Maximum time from a request's arrival to the end of its answer, in milliseconds. Zero means
    /// no limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub timeout_ms: u64,
    /// Priority of the requests, zero the highest. `None` means that the class determines it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
    /// Whether callers may omit the bearer token.
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
    /// Returns the route for a host and a path. If several prefixes match, the longest one wins.
    pub fn route_for(&self, host: &str, path: &str) -> Option<(&Name, &Route)> {
        self.routes
            .iter()
            .filter(|(_, route)| !route.prefix.is_empty())
            .filter(|(_, route)| route.host.eq_ignore_ascii_case(host))
            .filter(|(_, route)| path.starts_with(route.prefix.as_str()))
            .max_by_key(|(_, route)| route.prefix.len())
    }

    /// Returns the name of the organisation whose token has this hash.
    pub fn organisation_of(&self, token_hash: &str) -> Option<&Name> {
        self.organisations
            .iter()
            .find(|(_, organisation)| organisation.accepts_token(token_hash))
            .map(|(name, _)| name)
    }
}

impl Organisation {
    fn accepts_token(&self, token_hash: &str) -> bool {
        self.token_hash == token_hash || self.more_hashes.contains(token_hash)
    }
}

impl Route {
    /// Returns the pool that serves a request. `draw` is a uniform random number from 0 to 1, by
    /// which a pool is selected in proportion to the weights of `split`.
    pub fn pool_for(&self, draw: f64) -> &Name {
        let total: u32 = self.split.values().sum();
        let mut remaining = draw * f64::from(total);
        for (pool, weight) in &self.split {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return pool;
            }
        }
        self.split.keys().next_back().unwrap_or(&self.pool)
    }

    /// Returns the maximum time from a request's arrival to the end of its answer, or `None` if
    /// there is no limit.
    pub fn timeout(&self) -> Option<Duration> {
        (self.timeout_ms > 0).then(|| Duration::from_millis(self.timeout_ms))
    }

    /// Returns the maximum wait for a place on a backend server.
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

/// The kinds of named objects in a configuration.
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

    /// Returns the name of the kind in operators' commands.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Organisation => "organisation",
            Kind::DataCentre => "data-centre",
            Kind::Pool => "pool",
            Kind::Route => "route",
        }
    }

    /// Returns the name of the [`Config`] field that holds the objects of this kind.
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
