//! Choosing a server without a coordinator, for lightly loaded plain services.
//!
//! Plain services with spare capacity don't need a coordinator that knows the requests of all
//! instances: the few requests of each instance, spread evenly, leave every server far below its
//! limit, and a reservation would take longer than the imbalance costs. The expected load is many
//! short calls, with each server a few per cent busy, and some servers failing although their own
//! health checks succeed.

use conf::Placing;
use wire::RequestId;

use crate::instance::Instance;
use crate::lifecycle::Dispatched;
use crate::lifecycle::UNREACHABLE_RETRY_AFTER;
use crate::message::ListedServer;
use crate::outcome::Reason;

/// Pause before placement is repeated when no server may take work.
const NO_SERVER_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);
/// Cost of a server in another data centre, in requests that run on it. The round trip takes about
/// a tenth of the time of a call.
const REMOTE_COST: f64 = 0.5;
/// Cost of a server whose requests all fail, in requests that run on it.
const FAILING_COST: f64 = 8.0;
/// Least retry-after of a request that no server takes in time.
const CLOSED_RETRY_AFTER_MIN: std::time::Duration = std::time::Duration::from_millis(200);

impl Instance {
    /// Returns whether a request's server is chosen without a coordinator.
    pub(crate) fn is_placed_locally(&self, id: RequestId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let pool = self.config().pools.get(&job.route.pool);
        pool.is_some_and(|pool| pool.placing == Placing::Local)
    }

    /// Dispatches a request to the server with the lowest cost, or tries again after a pause.
    /// A request for a server that limits its requests waits for a permit first.
    pub(crate) fn place_locally(&mut self, id: RequestId) {
        if self.awaits_permit(id) {
            return;
        }
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (pool_name, avoid) = (job.route.pool.clone(), job.avoid.clone());
        let Some(pool) = self.config().pools.get(&pool_name) else {
            return;
        };
        let mut available = self.available_servers(job, pool);
        let opens_at = |server: &ListedServer| self.permits.closed_until(self.now, &server.name);
        let first_opening = available.iter().filter_map(opens_at).min();
        available.retain(|server| opens_at(server).is_none());
        if let Some(first_opening) = first_opening.filter(|_| available.is_empty()) {
            let retry_after = first_opening
                .saturating_sub(self.now)
                .max(CLOSED_RETRY_AFTER_MIN);
            let text = format!(
                "Request {id}: no server of pool {pool_name} takes it in time, retry in \
                 {} ms.",
                retry_after.as_millis()
            );
            self.log("place", false, text);
            self.end(id, Reason::Overloaded, Some(retry_after));
            return;
        }
        // Servers that this request avoids, or that any request recently failed to reach, come
        // last.
        let is_avoided = |server: &ListedServer| {
            avoid.contains(&server.name) || self.health.is_unreachable(self.now, &server.name)
        };
        let preferred: Vec<&ListedServer> = available
            .iter()
            .filter(|server| !is_avoided(server))
            .collect();
        let untried: Vec<&ListedServer> = available
            .iter()
            .filter(|s| !avoid.contains(&s.name))
            .collect();
        let candidates = if !preferred.is_empty() {
            preferred
        } else if !untried.is_empty() {
            untried
        } else if self.jobs[&id].unreachable_attempts > 0 {
            if self.hand_over(id) {
                return;
            }
            // No server can be reached, and that is unlikely to change soon.
            self.end(id, Reason::NoServer, Some(UNREACHABLE_RETRY_AFTER));
            return;
        } else {
            available.iter().collect()
        };
        let all_limited = available
            .iter()
            .all(|server| self.rate_limit(&server.name).is_some());
        let mut best: Option<(f64, &ListedServer)> = None;
        for server in candidates {
            let cost = self.local_cost(server) + self.rng.f64() * 0.1;
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, server));
            }
        }
        match best.map(|(_, server)| server.clone()) {
            Some(server) => match self.rate_limit(&server.name) {
                Some(rate) => self.request_permit(id, &server.name, rate, all_limited),
                None if self.dispatch_to(id, &server) != Dispatched::Refused => {}
                None => self.set_timer(id, self.now + NO_SERVER_PAUSE),
            },
            None if self.end_if_pool_is_closed(id) => {}
            None => self.set_timer(id, self.now + NO_SERVER_PAUSE),
        }
    }

    /// Returns the cost of a server: the attempts that this instance runs on it, plus the costs of
    /// distance and of failures above the average.
    fn local_cost(&self, server: &ListedServer) -> f64 {
        let running = self.running_on(&server.name) as f64;
        let remote = if server.data_centre == self.settings.entry.data_centre {
            0.0
        } else {
            REMOTE_COST
        };
        running + remote + FAILING_COST * self.health.excess_failure_rate(self.now, &server.name)
    }
}
