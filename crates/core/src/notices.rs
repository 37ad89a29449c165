//! What backend servers state about themselves in the headers of their responses: that they leave,
//! that they want no requests of this instance for a while, and that they crash if they have to reject
//! many. For the rate that they take see [`limits`](crate::limits).
//!
//! All take effect from the response on, before any list or report shows them. An instance that is
//! cut off from the store and from its peers has no other source for them.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use wire::Body;
use wire::BootId;
use wire::InstanceId;
use wire::Name;
use wire::admission::AVOID_MAX;
use wire::gossip::Leaving;

use crate::coordinator::millis;
use crate::instance::Instance;
use crate::message::ServerNotice;

/// Generations that may resume at a server during its backoff. A generation can resume at no other
/// server than the one that holds its copy.
const RESUMES_DURING_BACKOFF: u32 = 1;
/// Number of requests that a brittle server is assumed to reject before all instances leave it alone:
/// those that were under way together.
const REJECTIONS_PER_ROUND: f64 = 2.0;
/// Shortest time for which such a server is left alone.
const STRAINED_BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest time for which such a server is left alone.
const STRAINED_BACKOFF_MAX: Duration = Duration::from_millis(2_000);
/// Maximum number of servers whose backoff is kept.
const BACKOFFS_MAX: usize = 4_096;

/// The servers that currently want no requests of this instance.
#[derive(Debug, Default)]
pub(crate) struct Backoffs {
    servers: BTreeMap<Name, Backoff>,
}

#[derive(Debug)]
struct Backoff {
    until: Time,
    /// Generations that have resumed at the server since the backoff began.
    resumes: u32,
}

impl Backoffs {
    /// Starts the backoff of a server or extends it.
    fn record(&mut self, now: Time, server: &Name, until: Time) {
        self.servers.retain(|_, backoff| backoff.until > now);
        if self.servers.len() >= BACKOFFS_MAX && !self.servers.contains_key(server) {
            return;
        }
        let backoff = self
            .servers
            .entry(server.clone())
            .or_insert(Backoff { until, resumes: 0 });
        backoff.until = backoff.until.max(until);
    }

    /// Returns when a server accepts requests of this instance again, or `None` if it does now.
    pub(crate) fn until(&self, now: Time, server: &str) -> Option<Time> {
        let backoff = self.servers.get(server)?;
        (backoff.until > now).then_some(backoff.until)
    }

    /// Returns whether a generation may resume at a server now, and counts it if it does so during a
    /// backoff.
    pub(crate) fn take_resume(&mut self, now: Time, server: &str) -> bool {
        let Some(backoff) = self.servers.get_mut(server) else {
            return true;
        };
        if backoff.until <= now {
            return true;
        }
        backoff.resumes += 1;
        backoff.resumes <= RESUMES_DURING_BACKOFF
    }

    /// Returns the servers in backoff.
    pub(crate) fn servers(&self, now: Time) -> impl Iterator<Item = &Name> {
        self.servers
            .iter()
            .filter(move |(_, backoff)| backoff.until > now)
            .map(|(server, _)| server)
    }
}

impl Instance {
    /// Handles what a given boot of a server stated in the headers of a response.
    pub(crate) fn on_server_notice(
        &mut self,
        server: &Name,
        boot: BootId,
        sent_at: Time,
        notice: &ServerNotice,
    ) {
        self.on_limit_notice(server, boot, sent_at, notice.limit);
        if let Some(rejections_max) = notice.strain {
            self.on_strained(server, boot, rejections_max);
        }
        let is_known = self.coordinator.is_leaving_boot(server, boot);
        if notice.leaving && !is_known {
            let text =
                format!("Server {server} (boot {boot}) states in a response that it leaves.");
            self.log("list", false, text);
            self.record_leaving(server, boot, self.now);
            self.report_leaving(server, boot);
        }
        if notice.leaving {
            self.coordinator.record_stated_leaving(server, self.now);
        }
        if let Some(retry_after) = notice.retry_after {
            let text = format!(
                "Server {server} (boot {boot}) wants no requests of this instance for {} ms.",
                retry_after.as_millis()
            );
            self.log("place", true, text);
            let until = self.now + retry_after;
            self.backoffs.record(self.now, server, until);
        }
    }

    /// Handles a server that has rejected a request and crashes if it has to reject more than a number
    /// of them in a second: no instance sends it requests for a while.
    fn on_strained(&mut self, server: &Name, boot: BootId, rejections_max: u32) {
        let rounds_per_s = f64::from(rejections_max.max(1)) / REJECTIONS_PER_ROUND;
        let backoff = Duration::from_secs_f64(rounds_per_s.recip());
        let backoff = backoff.clamp(STRAINED_BACKOFF_MIN, STRAINED_BACKOFF_MAX);
        let text = format!(
            "Server {server} (boot {boot}) rejects requests and bears {rejections_max} rejections per \
             second: it is left alone for {} ms.",
            backoff.as_millis()
        );
        self.log("place", true, text);
        self.leave_alone(server, boot, backoff);
        self.broadcast(&Body::Strained {
            server: server.clone(),
            boot,
            backoff_ms: millis(backoff),
        });
    }

    /// Sends a server no requests for a time.
    pub(crate) fn leave_alone(&mut self, server: &Name, boot: BootId, time: Duration) {
        let until = self.now + time.min(STRAINED_BACKOFF_MAX);
        self.permits.close(server, until);
        for scheduler in self.coordinator.schedulers.values_mut() {
            scheduler.close_until(server, boot, until);
        }
    }

    /// Sends a server's announcement that it leaves to the coordinators of its pools, which would
    /// otherwise learn of it only with the next report or gossip.
    fn report_leaving(&mut self, server: &Name, boot: BootId) {
        let Some(listed) = self.servers.get(server) else {
            return;
        };
        let (label, data_centre) = (listed.label.clone(), listed.data_centre.clone());
        let pools: Vec<Name> = self
            .config()
            .pools
            .iter()
            .filter(|(name, pool)| pool.label(name) == label)
            .map(|(name, _)| name.clone())
            .collect();
        let own = self.id();
        let coordinators: Vec<InstanceId> = pools
            .iter()
            .filter_map(|pool| self.members.coordinator(&data_centre, pool))
            .filter(|coordinator| *coordinator != own)
            .collect();
        for to in coordinators {
            let servers = vec![Leaving {
                server: server.clone(),
                boot,
                age_ms: 0,
            }];
            self.send(to, Body::Leaving { servers });
        }
    }

    /// Records the servers that another instance reports as leaving.
    pub(crate) fn on_leaving_servers(&mut self, servers: &[Leaving]) {
        for server in servers {
            let age = Duration::from_millis(u64::from(server.age_ms));
            let announced_at = self.now.saturating_sub(age);
            self.record_leaving(&server.server, server.boot, announced_at);
        }
    }

    /// Returns the servers on which a coordinator must not place a request: those that the request
    /// avoids, and those that want no requests of this instance.
    pub(crate) fn excluded_servers(&self, avoided: &[Name]) -> Vec<Name> {
        let mut excluded = avoided.to_vec();
        for server in self.backoffs.servers(self.now) {
            if excluded.len() >= AVOID_MAX {
                break;
            }
            if !excluded.contains(server) {
                excluded.push(server.clone());
            }
        }
        excluded
    }

    /// Returns when the first server of a pool accepts requests of this instance again, or `None`
    /// unless all servers that could take work are in backoff.
    pub(crate) fn pool_backoff(&self, pool_name: &str) -> Option<Time> {
        let pool = self.config().pools.get(pool_name)?;
        let label = pool.label(pool_name);
        let mut first = None;
        for server in self.servers.values().filter(|server| server.label == label) {
            if !self.would_take_work(&server.data_centre, &server.name) {
                continue;
            }
            let until = self.backoffs.until(self.now, &server.name)?;
            first = Some(first.map_or(until, |earlier: Time| earlier.min(until)));
        }
        first
    }
}
