//! Rates to which backend servers limit the requests of all instances together.
//!
//! A limit is learnt from a server's responses and told to all instances at once. Pools with a
//! coordinator keep it in their scheduler. For the others see [`permits`](crate::permits).

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use wire::Body;
use wire::BootId;
use wire::InstanceId;
use wire::Name;
use wire::limit::LIMITS_MAX;
use wire::limit::Limit;
use wire::limit::Rate;
use wire::limit::hertz;

use crate::coordinator::millis;
use crate::instance::Instance;
use crate::message::RateLimit;

/// Maximum number of servers whose limit is kept.
const SERVERS_MAX: usize = 4_096;
/// Time for which the end of a limit is kept, so that it overrides older statements.
const END_LIFETIME: Duration = Duration::from_secs(10);
/// Relative change of a limit from which it is reported to all instances at once.
const REPORTED_CHANGE: f64 = 0.05;

/// What servers have stated about their limits.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    statements: BTreeMap<Name, Statement>,
}

/// The newest statement of a server.
#[derive(Clone, Copy, Debug)]
struct Statement {
    boot: BootId,
    /// The limit, or `None` if the server has none any more.
    rate: Option<Rate>,
    /// A time at which the statement was true: for a limit when its response arrived, for its absence
    /// when the request was sent. A response that overtakes another one is not taken for newer.
    true_at: Time,
}

impl Statement {
    /// Returns whether the limit differs from an earlier one by so much that all instances have to
    /// know at once.
    fn is_news(&self, before: Option<Rate>) -> bool {
        match (before, self.rate) {
            (Some(before), Some(rate)) => {
                f64::from(before.abs_diff(rate)) > f64::from(before) * REPORTED_CHANGE
            }
            (before, rate) => before != rate,
        }
    }

    fn applies_to(&self, boot: BootId) -> bool {
        self.boot == boot || self.boot == 0 || boot == 0
    }
}

impl Instance {
    /// Returns whether any server has stated a limit that is in force.
    pub fn has_limited_servers(&self) -> bool {
        let mut statements = self.limits.statements.values();
        statements.any(|statement| statement.rate.is_some())
    }

    /// Returns the limit that the listed boot of a server has stated, if it has one.
    pub(crate) fn rate_limit(&self, server: &str) -> Option<Rate> {
        let statement = self.limits.statements.get(server)?;
        let listed = self.servers.get(server)?;
        statement.rate.filter(|_| statement.applies_to(listed.boot))
    }

    /// Handles what a response to a request sent at a given time states about its server's limit.
    pub(crate) fn on_limit_notice(
        &mut self,
        server: &Name,
        boot: BootId,
        sent_at: Time,
        limit: RateLimit,
    ) {
        let statement = match limit {
            RateLimit::Unknown => return,
            RateLimit::Absent => Statement {
                boot,
                rate: None,
                true_at: sent_at,
            },
            RateLimit::Stated(rate) => Statement {
                boot,
                rate: Some(rate),
                true_at: self.now,
            },
        };
        let before = self.rate_limit(server);
        if self.record_limit(server, statement) && statement.is_news(before) {
            self.broadcast_limit(server);
        }
    }

    /// Handles what servers have stated to another instance.
    pub(crate) fn on_limits(&mut self, limits: &[Limit]) {
        for limit in limits {
            let age = Duration::from_millis(u64::from(limit.age_ms));
            let statement = Statement {
                boot: limit.boot,
                rate: limit.rate,
                true_at: self.now.saturating_sub(age),
            };
            self.record_limit(&limit.server, statement);
        }
    }

    /// Records a statement unless a newer one is known. Returns whether it was recorded.
    fn record_limit(&mut self, server: &Name, statement: Statement) -> bool {
        let is_listed = self
            .servers
            .get(server)
            .is_some_and(|listed| statement.applies_to(listed.boot));
        let known = self.limits.statements.get(server).copied();
        let is_older =
            |known: Statement| known.boot == statement.boot && known.true_at > statement.true_at;
        let is_full = known.is_none() && self.limits.statements.len() >= SERVERS_MAX;
        if !is_listed || is_full || known.is_some_and(is_older) {
            return false;
        }
        let before = self.rate_limit(server);
        if before.is_none() && statement.rate.is_none() && known.is_none() {
            return false;
        }
        self.limits.statements.insert(server.clone(), statement);
        if before != statement.rate {
            self.log_limit(server, statement);
            self.apply_limit(server);
        }
        true
    }

    fn log_limit(&mut self, server: &Name, statement: Statement) {
        let boot = statement.boot;
        let text = match statement.rate {
            Some(rate) => format!(
                "Server {server} (boot {boot}) takes {:.2} requests per second.",
                hertz(rate)
            ),
            None => format!("Server {server} (boot {boot}) has no limit any more."),
        };
        self.log("limit", false, text);
    }

    /// Sets a server's limit in the own schedulers of its pools.
    fn apply_limit(&mut self, server: &Name) {
        let boot = self.servers.get(server).map_or(0, |listed| listed.boot);
        let rate = self.coordinated_rate(server);
        for scheduler in self.coordinator.schedulers.values_mut() {
            scheduler.set_rate_limit(self.now, server, boot, rate);
        }
    }

    /// Sets the limits of all servers of the own scheduler of a pool.
    pub(crate) fn apply_limits(&mut self, pool: &Name) {
        let Some(scheduler) = self.coordinator.schedulers.get(pool) else {
            return;
        };
        let rates: Vec<(Name, BootId, Option<f64>)> = scheduler
            .servers()
            .map(|server| &server.listing)
            .map(|listing| {
                let rate = self.coordinated_rate(&listing.name);
                (listing.name.clone(), listing.boot, rate)
            })
            .collect();
        let now = self.now;
        let Some(scheduler) = self.coordinator.schedulers.get_mut(pool) else {
            return;
        };
        for (server, boot, rate) in rates {
            scheduler.set_rate_limit(now, &server, boot, rate);
        }
    }

    /// Returns the part of a server's limit that the coordinator of its data centre uses, in requests
    /// per second. Other parts are left to coordinators on the other sides of a partition.
    fn coordinated_rate(&self, server: &str) -> Option<f64> {
        let own = &self.settings.entry.data_centre;
        let rate = hertz(self.rate_limit(server)?);
        Some(rate * self.members.live_part(Some(own)))
    }

    /// Drops what servers have stated that are no longer listed with that boot.
    pub(crate) fn drop_outdated_limits(&mut self) {
        let servers = &self.servers;
        self.limits.statements.retain(|name, statement| {
            let listed = servers.get(name);
            listed.is_some_and(|listed| statement.applies_to(listed.boot))
        });
        self.permits.retain(|server| servers.contains_key(server));
    }

    /// Sends a server's limit to all instances.
    fn broadcast_limit(&mut self, server: &Name) {
        let Some(limit) = self.limit_message(server) else {
            return;
        };
        let limits = vec![limit];
        self.broadcast(&Body::Limits { limits });
    }

    /// Sends limits to a random instance, for those that have missed the broadcast or have just
    /// started.
    pub(crate) fn gossip_limits(&mut self) {
        let now = self.now;
        self.limits.statements.retain(|_, statement| {
            statement.rate.is_some() || now.saturating_sub(statement.true_at) < END_LIFETIME
        });
        if self.limits.statements.is_empty() {
            return;
        }
        let others: Vec<InstanceId> = self.members.running_others().collect();
        let mut servers: Vec<Name> = self.limits.statements.keys().cloned().collect();
        if others.is_empty() {
            return;
        }
        self.rng.shuffle(&mut servers);
        servers.truncate(LIMITS_MAX);
        let limits = servers
            .iter()
            .filter_map(|server| self.limit_message(server))
            .collect();
        let to = others[self.rng.usize(..others.len())];
        self.send(to, Body::Limits { limits });
    }

    fn limit_message(&self, server: &Name) -> Option<Limit> {
        let statement = self.limits.statements.get(server)?;
        Some(Limit {
            server: server.clone(),
            boot: statement.boot,
            rate: statement.rate,
            age_ms: millis(self.now.saturating_sub(statement.true_at)),
        })
    }
}
