//! Health of backend servers by what their requests see.
//!
//! A server's own health check says little: it may be good while requests fail, and bad for one caller
//! only. Here each end of a request counts, with exponential decay, and a server is judged against the
//! others, so that failures which belong to the requests (a share of some calls always fails) make
//! nobody sick, and a pool that fails as a whole is still used as a whole.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use compact_str::CompactString;

/// Time after which an end counts half.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Weight of the ends that are believed of a server of which nothing is known.
const PRIOR: f64 = 4.0;
/// Time for which a server that could not be reached is left alone while there are others.
const UNREACHABLE_TIME: Duration = Duration::from_millis(1_500);
/// Most servers that are remembered.
const SERVERS_MAX: usize = 1_024;

/// Shares of failed requests, by server.
#[derive(Clone, Debug, Default)]
pub struct Health {
    servers: BTreeMap<CompactString, Ends>,
    all: Ends,
}

#[derive(Clone, Copy, Debug, Default)]
struct Ends {
    good: f64,
    bad: f64,
    at: Time,
    unreachable_at: Option<Time>,
}

impl Ends {
    fn decayed(self, now: Time) -> Ends {
        let passed = now.saturating_sub(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let left = 0.5f64.powf(passed);
        Ends {
            good: self.good * left,
            bad: self.bad * left,
            at: now,
            unreachable_at: self.unreachable_at,
        }
    }

    fn add(&mut self, now: Time, good: bool) {
        *self = self.decayed(now);
        if good {
            self.good += 1.0;
        } else {
            self.bad += 1.0;
        }
    }

    fn share(self) -> f64 {
        self.bad / (self.good + self.bad).max(1.0)
    }
}

impl Health {
    /// Notes how a request ended at a server.
    pub fn record(&mut self, now: Time, server: &str, good: bool) {
        if self.servers.len() >= SERVERS_MAX && !self.servers.contains_key(server) {
            self.servers.pop_first();
        }
        self.servers
            .entry(server.into())
            .or_default()
            .add(now, good);
        self.all.add(now, good);
    }

    /// Notes that a server could not be reached.
    pub fn record_unreachable(&mut self, now: Time, server: &str) {
        self.record(now, server, false);
        if let Some(ends) = self.servers.get_mut(server) {
            ends.unreachable_at = Some(now);
        }
    }

    /// Returns whether a server could not be reached a moment ago.
    pub fn is_unreachable(&self, now: Time, server: &str) -> bool {
        let at = self
            .servers
            .get(server)
            .and_then(|ends| ends.unreachable_at);
        at.is_some_and(|at| now.saturating_sub(at) < UNREACHABLE_TIME)
    }

    /// Returns by how much a server's share of failures is above that of all, from 0 to 1. One of which
    /// little is known is taken to be like the others.
    pub fn excess(&self, now: Time, server: &str) -> f64 {
        let Some(ends) = self.servers.get(server) else {
            return 0.0;
        };
        let usual = self.all.decayed(now).share();
        let ends = ends.decayed(now);
        let weight = ends.good + ends.bad;
        let share = (ends.bad + PRIOR * usual) / (weight + PRIOR);
        (share - usual).max(0.0)
    }
}
