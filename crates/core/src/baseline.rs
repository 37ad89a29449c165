//! The simpler ways of choosing a server, kept to be measured against, and the fallback share that
//! an instance uses of a server whose coordinator it can't reach.

use std::collections::BTreeMap;
use std::time::Duration;

use admit::Load;
use clock::Time;
use conf::Name;
use conf::Pool;
use wire::RequestId;
use wire::admission::Grant;

use crate::instance::Instance;
use crate::job::Phase;
use crate::message::ListedServer;
use crate::message::Output;
use crate::settings::Policy;

/// Age up to which a report is used for a fallback share.
const FRESH: Duration = Duration::from_millis(1_000);
/// Pause before an instance looks again for room in its share.
const SHARE_PAUSE: Duration = Duration::from_millis(25);
/// Servers that are asked for their report when a coordinator is silent.
const FALLBACK_PROBES: usize = 4;

/// What an instance knows of servers by itself.
#[derive(Debug, Default)]
pub(crate) struct Baseline {
    pub(crate) loads: BTreeMap<Name, (Time, Load)>,
    turn: usize,
}

impl Instance {
    /// Chooses a server by the policy that is measured against.
    pub(crate) fn place_by_baseline(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let pool_name = job.route.pool.clone();
        let avoid = job.avoid.clone();
        let Some(pool) = self.config().pools.get(&pool_name).cloned() else {
            return;
        };
        let mut servers = self.eligible_servers(&pool_name, &pool);
        if servers.iter().any(|server| !avoid.contains(&server.name)) {
            servers.retain(|server| !avoid.contains(&server.name));
        }
        let chosen = match self.settings.policy {
            Policy::LeastLoaded => self.least_loaded(&servers),
            Policy::StaticShare => self.with_share(&servers, &pool),
            Policy::RoundRobin | Policy::Coordinator => self.in_turn(&servers),
        };
        match chosen {
            Some(server) => self.dispatch_to(id, &server),
            None => self.set_timer(id, self.now + SHARE_PAUSE),
        }
    }

    /// Uses a small share of a warm server whose coordinator can't be reached. Returns whether
    /// there was one.
    pub(crate) fn place_by_fallback(&mut self, id: RequestId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let (pool_name, avoid) = (job.route.pool.clone(), job.avoid.clone());
        let Some(pool) = self.config().pools.get(&pool_name).cloned() else {
            return false;
        };
        let own = self.own_data_centre();
        let mut servers = self.eligible_servers(&pool_name, &pool);
        servers.retain(|server| server.data_centre == own && !avoid.contains(&server.name));
        let live = self.members.live(&own).count().max(1);
        let share = pool.batch as usize / 2 / live;
        let found = servers.iter().find(|server| {
            self.is_proved(&server.name, &pool) && self.running_on(&server.name) < share
        });
        if let Some(server) = found.cloned() {
            self.dispatch_to(id, &server);
            return true;
        }
        self.rng.shuffle(&mut servers);
        for server in servers.into_iter().take(FALLBACK_PROBES) {
            self.out.push(Output::Probe {
                server: server.name,
                address: server.address,
                asked: self.now,
            });
        }
        false
    }

    /// Returns whether a server has just reported that it is warm and has room.
    fn is_proved(&self, server: &str, pool: &Pool) -> bool {
        let Some((at, load)) = self.baseline.loads.get(server) else {
            return false;
        };
        let fresh = self.now.saturating_sub(*at) < FRESH;
        let warm = !load.cold && load.served + u64::from(pool.cold_limit) >= u64::from(pool.batch);
        fresh && warm && load.running + load.waiting < pool.batch
    }

    /// Returns the servers of a pool that may take work, those of the own data centre if it has any.
    fn eligible_servers(&self, pool_name: &Name, pool: &Pool) -> Vec<ListedServer> {
        let all = self.available_servers(pool_name, pool);
        let own = self.own_data_centre();
        let here: Vec<ListedServer> = all
            .iter()
            .filter(|s| s.data_centre == own)
            .cloned()
            .collect();
        let spread = self.settings.policy == Policy::LeastLoaded;
        if here.is_empty() || spread { all } else { here }
    }

    fn in_turn(&mut self, servers: &[ListedServer]) -> Option<ListedServer> {
        self.baseline.turn += 1;
        let index = self.baseline.turn.checked_rem(servers.len())?;
        servers.get(index).cloned()
    }

    fn least_loaded(&mut self, servers: &[ListedServer]) -> Option<ListedServer> {
        let mut order = servers.to_vec();
        self.rng.shuffle(&mut order);
        order
            .into_iter()
            .min_by_key(|server| self.estimated_load(&server.name))
    }

    /// Returns the reported load and what this instance has dispatched since the report.
    fn estimated_load(&self, server: &str) -> usize {
        let (at, reported) = match self.baseline.loads.get(server) {
            Some((at, load)) => (*at, load.running + load.waiting),
            None => (Time::ZERO, 0),
        };
        let since = self
            .jobs
            .values()
            .filter_map(|job| job.running())
            .filter(|running| running.server == server && running.dispatched_at > at)
            .count();
        reported as usize + since
    }

    fn with_share(&mut self, servers: &[ListedServer], pool: &Pool) -> Option<ListedServer> {
        let own = self.own_data_centre();
        let live = self.members.live(&own).count().max(1);
        let share = (pool.batch as usize / live).max(1);
        let mut open: Vec<(usize, ListedServer)> = servers
            .iter()
            .map(|server| (self.running_on(&server.name), server.clone()))
            .filter(|(running, _)| *running < share)
            .collect();
        self.rng.shuffle(&mut open);
        open.into_iter()
            .min_by_key(|(running, _)| *running)
            .map(|(_, server)| server)
    }

    pub(crate) fn running_on(&self, server: &str) -> usize {
        self.jobs
            .values()
            .filter_map(|job| job.running())
            .filter(|running| running.server == server)
            .count()
    }

    pub(crate) fn dispatch_to(&mut self, id: RequestId, server: &ListedServer) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = Phase::Waiting;
        let work = job.work(0);
        let reported = self.baseline.loads.get(&server.name).map(|l| l.1.boot);
        let boot = reported.unwrap_or(server.boot);
        let grant = Grant {
            attempt: self.rng.u64(1..),
            server: server.name.clone(),
            address: server.address,
            boot,
            priority: admit::scheduler::priority(&work),
            age_ms: 0,
            copy: None,
        };
        self.dispatch(id, &server.data_centre, &grant);
    }
}
