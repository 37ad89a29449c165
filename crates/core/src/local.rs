//! Choosing a server without a coordinator.
//!
//! Plain services with room to spare need nobody who knows what all instances send to each server:
//! the few requests of one instance, spread evenly, leave every server far below its limit, and
//! asking a coordinator would take longer than the imbalance does. Load pattern: many short calls,
//! each server a few per cent busy, some servers sick while their own health check is good.

use conf::Placing;
use wire::RequestId;

use crate::instance::Instance;
use crate::lifecycle::UNREACHABLE_RETRY_AFTER;
use crate::message::ListedServer;
use crate::outcome::Reason;

/// Pause before an instance looks again for a server that may take work.
const NOBODY_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);
/// Cost of a server in another data centre, in requests that wait on it: the way there and back takes
/// about as long as a tenth of a call.
const FAR_COST: f64 = 0.5;
/// Cost of a server all of whose requests fail, in requests that wait on it.
const SICK_COST: f64 = 8.0;

impl Instance {
    /// Returns whether a request's server is chosen without a coordinator.
    pub(crate) fn is_placed_locally(&self, id: RequestId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let pool = self.config().pools.get(&job.route.pool);
        pool.is_some_and(|pool| pool.placing == Placing::Local)
    }

    /// Sends a request to the server with the least cost, or looks again after a pause.
    pub(crate) fn place_locally(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (pool_name, avoid) = (job.route.pool.clone(), job.avoid.clone());
        let Some(pool) = self.config().pools.get(&pool_name) else {
            return;
        };
        let open = self.available_servers(&pool_name, pool);
        // Those that were just not reached come last, whoever tried.
        let shunned = |server: &ListedServer| {
            avoid.contains(&server.name) || self.health.is_unreachable(self.now, &server.name)
        };
        let fresh: Vec<&ListedServer> = open.iter().filter(|server| !shunned(server)).collect();
        let untried: Vec<&ListedServer> =
            open.iter().filter(|s| !avoid.contains(&s.name)).collect();
        let candidates = if !fresh.is_empty() {
            fresh
        } else if !untried.is_empty() {
            untried
        } else if self.jobs[&id].unreachable_attempts > 0 {
            // None of them can be reached, and waiting does not change that soon.
            self.end(id, Reason::NoServer, Some(UNREACHABLE_RETRY_AFTER));
            return;
        } else {
            open.iter().collect()
        };
        let mut best: Option<(f64, &ListedServer)> = None;
        for server in candidates {
            let cost = self.local_cost(server) + self.rng.f64() * 0.1;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, server));
            }
        }
        match best.map(|(_, server)| server.clone()) {
            Some(server) => self.dispatch_to(id, &server),
            None => self.set_timer(id, self.now + NOBODY_PAUSE),
        }
    }

    fn local_cost(&self, server: &ListedServer) -> f64 {
        let running = self.running_on(&server.name) as f64;
        let far = if server.data_centre == self.settings.own.data_centre {
            0.0
        } else {
            FAR_COST
        };
        running + far + SICK_COST * self.health.excess(self.now, &server.name)
    }
}
