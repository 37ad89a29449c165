//! Placement policies without a coordinator, for comparison with it in measurements, and the
//! fallback share: the part of a server that an instance may use while it can't reach the server's
//! coordinator.

use std::collections::BTreeMap;
use std::time::Duration;

use admit::Load;
use clock::Time;
use conf::Name;
use conf::Pool;
use wire::RequestId;
use wire::admission::Grant;

use crate::instance::Instance;
use crate::job::Job;
use crate::lifecycle::Dispatched;
use crate::message::ListedServer;
use crate::message::Output;
use crate::settings::Policy;

/// Age up to which a server's report is used for the fallback share.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_000);
/// Pause before placement is repeated when no server can be chosen.
const NO_SERVER_PAUSE: Duration = Duration::from_millis(25);
/// Number of servers that are probed for their report when a coordinator is silent.
const FALLBACK_PROBES: usize = 4;

/// State of the placement policies without a coordinator.
#[derive(Debug, Default)]
pub(crate) struct Baseline {
    /// The last reported load of each server, with the time of the report.
    pub(crate) loads: BTreeMap<Name, (Time, Load)>,
    /// Number of round-robin choices made so far.
    rotation: usize,
}

impl Instance {
    /// Dispatches a request by the configured policy, or sets a timer to try again.
    pub(crate) fn place_by_baseline(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let pool_name = job.route.pool.clone();
        let avoid = job.avoid.clone();
        let Some(pool) = self.config().pools.get(&pool_name).cloned() else {
            // The configuration may bring the pool back before the deadline.
            self.set_timer(id, self.now + NO_SERVER_PAUSE);
            return;
        };
        let mut servers = self.eligible_servers(job, &pool);
        if servers.iter().any(|server| !avoid.contains(&server.name)) {
            servers.retain(|server| !avoid.contains(&server.name));
        }
        let chosen = match self.settings.policy {
            Policy::LeastLoaded => self.least_loaded(&servers),
            Policy::StaticShare => self.least_used_within_share(&servers, &pool),
            Policy::RoundRobin | Policy::Coordinator => self.next_round_robin(&servers),
        };
        match chosen {
            Some(server) if self.dispatch_to(id, &server) != Dispatched::Refused => {}
            _ => self.set_timer(id, self.now + NO_SERVER_PAUSE),
        }
    }

    /// Dispatches a request to a warm server of which this instance uses less than its fallback
    /// share. The shares of all instances together are half of the server's batch. Returns whether
    /// nothing more is to be done for the request now; if not, some servers are probed for the next try.
    pub(crate) fn place_by_fallback(&mut self, id: RequestId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let (pool_name, avoid) = (job.route.pool.clone(), job.avoid.clone());
        let Some(pool) = self.config().pools.get(&pool_name).cloned() else {
            return false;
        };
        let own = self.own_data_centre();
        let mut servers = self.eligible_servers(job, &pool);
        servers.retain(|server| server.data_centre == own && !avoid.contains(&server.name));
        // The requests to a limited server are counted by its coordinator only.
        servers.retain(|server| self.rate_limit(&server.name).is_none());
        let live = self.members.live(&own).count().max(1);
        let share = pool.batch as usize / 2 / live;
        let found = servers.iter().find(|server| {
            self.is_warm_with_capacity(&server.name, &pool) && self.running_on(&server.name) < share
        });
        if let Some(server) = found.cloned()
            && self.dispatch_to(id, &server) != Dispatched::Refused
        {
            return true;
        }
        self.rng.shuffle(&mut servers);
        for server in servers.into_iter().take(FALLBACK_PROBES) {
            self.out.push(Output::Probe {
                server: server.name,
                address: server.address,
                sent_at: self.now,
            });
        }
        false
    }

    /// Returns whether a server has recently reported that it is warm and below its batch limit.
    fn is_warm_with_capacity(&self, server: &str, pool: &Pool) -> bool {
        let Some((at, load)) = self.baseline.loads.get(server) else {
            return false;
        };
        let is_recent = self.now.saturating_sub(*at) < REPORT_AGE_MAX;
        let is_warm = !load.cold
            && load.completed_since_cold + u64::from(pool.cold_limit) >= u64::from(pool.batch);
        is_recent && is_warm && load.running + load.waiting < pool.batch
    }

    /// Returns the servers that may take a job of a pool: those of the own data centre if there are
    /// any and the policy is not [`Policy::LeastLoaded`], else those of all data centres.
    fn eligible_servers(&self, job: &Job, pool: &Pool) -> Vec<ListedServer> {
        let available = self.available_servers(job, pool);
        let own = self.own_data_centre();
        let local: Vec<ListedServer> = available
            .iter()
            .filter(|s| s.data_centre == own)
            .cloned()
            .collect();
        let all_data_centres = self.settings.policy == Policy::LeastLoaded;
        if local.is_empty() || all_data_centres {
            available
        } else {
            local
        }
    }

    fn next_round_robin(&mut self, servers: &[ListedServer]) -> Option<ListedServer> {
        self.baseline.rotation += 1;
        let index = self.baseline.rotation.checked_rem(servers.len())?;
        servers.get(index).cloned()
    }

    fn least_loaded(&mut self, servers: &[ListedServer]) -> Option<ListedServer> {
        let mut shuffled = servers.to_vec();
        self.rng.shuffle(&mut shuffled);
        shuffled
            .into_iter()
            .min_by_key(|server| self.estimated_load(&server.name))
    }

    /// Returns the reported number of requests on a server, plus the attempts that this instance
    /// has dispatched to it since the report.
    fn estimated_load(&self, server: &str) -> usize {
        let (at, reported) = match self.baseline.loads.get(server) {
            Some((at, load)) => (*at, load.running + load.waiting),
            None => (Time::ZERO, 0),
        };
        let dispatched_since = self
            .jobs
            .values()
            .filter_map(|job| job.running())
            .filter(|running| running.server == server && running.dispatched_at > at)
            .count();
        reported as usize + dispatched_since
    }

    /// Returns the server with the fewest attempts of this instance, among those of which it uses
    /// less than its equal share.
    fn least_used_within_share(
        &mut self,
        servers: &[ListedServer],
        pool: &Pool,
    ) -> Option<ListedServer> {
        let own = self.own_data_centre();
        let live = self.members.live(&own).count().max(1);
        let share = (pool.batch as usize / live).max(1);
        let mut within_share: Vec<(usize, ListedServer)> = servers
            .iter()
            .map(|server| (self.running_on(&server.name), server.clone()))
            .filter(|(running, _)| *running < share)
            .collect();
        self.rng.shuffle(&mut within_share);
        within_share
            .into_iter()
            .min_by_key(|(running, _)| *running)
            .map(|(_, server)| server)
    }

    /// Returns the number of attempts of this instance that run on a server.
    pub(crate) fn running_on(&self, server: &str) -> usize {
        self.jobs
            .values()
            .filter_map(|job| job.running())
            .filter(|running| running.server == server)
            .count()
    }

    /// Dispatches a request to a server without a coordinator's grant.
    pub(crate) fn dispatch_to(&mut self, id: RequestId, server: &ListedServer) -> Dispatched {
        let Some(job) = self.jobs.get(&id) else {
            return Dispatched::Settled;
        };
        let work = job.work(0);
        let boot = self.newest_boot(server);
        let grant = Grant {
            attempt: self.rng.u64(1..),
            server: server.name.clone(),
            address: server.address,
            boot,
            priority: admit::scheduler::engine_priority(&work),
            age_ms: 0,
            replica: None,
        };
        self.dispatch(id, &server.data_centre, &grant)
    }
}
