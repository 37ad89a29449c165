//! Passive health of backend servers, from the outcomes of their requests.
//!
//! A server's own health check is a weak signal: it may pass while requests fail, or fail for one
//! caller only. Here each request outcome counts, with exponential decay, and a server's failure
//! rate is compared with that of all servers. Failures caused by the requests themselves (some
//! calls always fail) therefore mark no server as unhealthy, and a pool whose servers all fail
//! keeps all of them in use.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use compact_str::CompactString;

/// Half-life of a request outcome's weight.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Number of outcomes with the average failure rate that every server is assumed to start with.
const PRIOR_WEIGHT: f64 = 4.0;
/// Time for which an unreachable server is avoided while others are available.
const UNREACHABLE_WINDOW: Duration = Duration::from_millis(1_500);
/// Maximum number of servers tracked.
const SERVERS_MAX: usize = 1_024;

/// Decayed outcome counts of each server and of all servers together.
#[derive(Clone, Debug, Default)]
pub struct Health {
    servers: BTreeMap<CompactString, Outcomes>,
    all: Outcomes,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    succeeded: f64,
    failed: f64,
    updated_at: Time,
    unreachable_at: Option<Time>,
}

impl Outcomes {
    fn decayed(self, now: Time) -> Outcomes {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5f64.powf(passed);
        Outcomes {
            succeeded: self.succeeded * factor,
            failed: self.failed * factor,
            updated_at: now,
            unreachable_at: self.unreachable_at,
        }
    }

    fn add(&mut self, now: Time, succeeded: bool) {
        *self = self.decayed(now);
        if succeeded {
            self.succeeded += 1.0;
        } else {
            self.failed += 1.0;
        }
    }

    fn failure_rate(self) -> f64 {
        self.failed / (self.succeeded + self.failed).max(1.0)
    }
}

impl Health {
    /// Records the outcome of a request on a server.
    pub fn record(&mut self, now: Time, server: &str, succeeded: bool) {
        if self.servers.len() >= SERVERS_MAX && !self.servers.contains_key(server) {
            self.servers.pop_first();
        }
        self.servers
            .entry(server.into())
            .or_default()
            .add(now, succeeded);
        self.all.add(now, succeeded);
    }

    /// Records that a server was unreachable, which also counts as a failure.
    pub fn record_unreachable(&mut self, now: Time, server: &str) {
        self.record(now, server, false);
        if let Some(outcomes) = self.servers.get_mut(server) {
            outcomes.unreachable_at = Some(now);
        }
    }

    /// Returns whether a server was unreachable within the last 1.5 seconds.
    pub fn is_unreachable(&self, now: Time, server: &str) -> bool {
        let at = self
            .servers
            .get(server)
            .and_then(|outcomes| outcomes.unreachable_at);
        at.is_some_and(|at| now.saturating_sub(at) < UNREACHABLE_WINDOW)
    }

    /// Returns by how much a server's failure rate exceeds that of all servers, from 0 to 1. The
    /// rate of a server with few outcomes is pulled towards the average.
    pub fn excess_failure_rate(&self, now: Time, server: &str) -> f64 {
        let Some(outcomes) = self.servers.get(server) else {
            return 0.0;
        };
        let average = self.all.decayed(now).failure_rate();
        let outcomes = outcomes.decayed(now);
        let weight = outcomes.succeeded + outcomes.failed;
        let rate = (outcomes.failed + PRIOR_WEIGHT * average) / (weight + PRIOR_WEIGHT);
        (rate - average).max(0.0)
    }
}
