//! State of one backend server: concurrency limit, cold start and availability.
//!
//! A server starts cold, with the pool's cold limit of concurrent requests. Each complete answer
//! raises the limit by one, up to the pool's batch size. A restart, a failure or a jump of the
//! first-token times resets the limit.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Time;
use conf::Pool;
use wire::BootId;
use wire::Name;
use wire::path::Load;

use crate::memory::Margin;
use crate::pacer::Pacer;

/// Factor above a server's own average first-token time that counts as a jump.
const JUMP_FACTOR: f64 = 4.0;
/// First-token times up to this value never count as a jump.
const JUMP_TIME_MIN: Duration = Duration::from_millis(200);
/// Number of consecutive jumps after which a server counts as cold.
const JUMPS_MAX: u32 = 3;
/// Weight of a new first-token time in the moving average.
const FIRST_TOKEN_WEIGHT: f64 = 0.1;
/// Time for which a server gets no grants after it refused a request.
const REFUSED_BACKOFF: Duration = Duration::from_millis(500);
/// Time for which a server gets no grants after it was unreachable.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1_500);
/// Time after a crash during which a server gets suspect requests only if no other server is
/// stable.
const RECENT_CRASH_WINDOW: Duration = Duration::from_secs(60);
/// Assumed delay between a server's state and the arrival of the report that shows it.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Window in which grants to a cold server are counted against the pool's cold rate.
const COLD_RATE_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of request end times kept.
const END_TIMES_MAX: usize = 256;
/// Least number of intervals at a server's own rate limit between two probes of the server.
const PROBE_INTERVALS: f64 = 4.0;
/// Number of intervals by which a generation may resume ahead of a server's own rate limit. It can
/// resume at no other server.
const RESUME_INTERVALS: f64 = 2.0;
/// Age below which a load report counts as fresh.
pub const LOAD_REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Entry for a backend server in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// Name of the server.
    pub name: Name,
    /// Address of the server.
    pub address: SocketAddr,
    /// Boot id, or zero if the platform does not report it.
    pub boot: BootId,
    /// Version of the server's software; empty if it is not known.
    pub software: Name,
    /// Time for which the server stays cold, counted from when it is listed.
    pub cold_time: Duration,
    /// Whether the server is about to shut down.
    pub leaving: bool,
    /// Whether operators have drained the server, or its whole data centre.
    pub drained: bool,
}

/// A coordinator's state of one server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Newest entry in the platform's list.
    pub listing: Listing,
    /// Newest load report and its time of arrival.
    pub load: Option<(Time, Load)>,
    /// Memory kept free on the server.
    pub margin: Margin,
    boot: BootId,
    limit: f64,
    average_first_token_s: f64,
    consecutive_jumps: u32,
    closed_until: Time,
    leaving: bool,
    is_doubted: bool,
    was_unreachable: bool,
    crashed_at: Option<Time>,
    cold_since: Time,
    cold_until: Time,
    grant_times: VecDeque<Time>,
    end_times: VecDeque<Time>,
    /// Spaces the requests to the server, if the server limits their rate.
    pacer: Option<Pacer>,
    next_probe: Time,
}

impl Server {
    /// Returns the state of a cold server without a load report.
    pub fn new(now: Time, listing: Listing, pool: &Pool) -> Server {
        Server {
            boot: listing.boot,
            cold_until: now + listing.cold_time,
            grant_times: VecDeque::new(),
            listing,
            load: None,
            margin: Margin::new(now),
            limit: f64::from(pool.cold_limit),
            average_first_token_s: 0.0,
            consecutive_jumps: 0,
            closed_until: Time::ZERO,
            leaving: false,
            is_doubted: false,
            was_unreachable: false,
            crashed_at: None,
            cold_since: Time::ZERO,
            end_times: VecDeque::new(),
            pacer: None,
            next_probe: Time::ZERO,
        }
    }

    /// Applies the platform's current list entry. A new boot id resets all other state.
    pub fn update_listing(&mut self, now: Time, listing: &Listing, pool: &Pool) {
        if listing.boot != 0 && listing.boot != self.boot {
            *self = Server::new(now, listing.clone(), pool);
            return;
        }
        if listing.cold_time != self.listing.cold_time {
            self.cold_until = now + listing.cold_time;
        }
        self.listing = listing.clone();
    }

    /// Records a grant on the server.
    pub fn record_grant(&mut self, now: Time) {
        while self
            .grant_times
            .front()
            .is_some_and(|at| now.saturating_sub(*at) >= COLD_RATE_WINDOW)
        {
            self.grant_times.pop_front();
        }
        self.grant_times.push_back(now);
        if let Some(pacer) = &mut self.pacer {
            pacer.take(now);
        }
    }

    /// Sets the rate of requests per second to which the server limits its requests, or `None` if it
    /// has no limit.
    pub fn set_rate_limit(&mut self, now: Time, rate: Option<f64>) {
        match (&mut self.pacer, rate) {
            (Some(pacer), Some(rate)) => pacer.set_rate(now, rate),
            (pacer, rate) => *pacer = rate.map(|rate| Pacer::new(now, rate)),
        }
    }

    /// Returns the spacing of the server's requests, if the server limits their rate.
    pub fn pacer(&self) -> Option<&Pacer> {
        self.pacer.as_ref()
    }

    /// Returns whether the server's own rate limit allows no request now.
    pub fn is_at_rate_limit(&self, now: Time) -> bool {
        self.pacer.is_some_and(|pacer| !pacer.wait(now).is_zero())
    }

    /// Returns whether the server's own rate limit allows a generation to resume there now.
    pub fn may_resume(&self, now: Time) -> bool {
        let ahead = |pacer: Pacer| pacer.wait(now).as_secs_f64() * pacer.rate();
        self.pacer
            .is_none_or(|pacer| ahead(pacer) <= RESUME_INTERVALS)
    }

    /// Returns whether the server may be probed now, and counts the probe against its own rate limit
    /// if it has one.
    pub fn take_probe(&mut self, now: Time) -> bool {
        let Some(pacer) = &mut self.pacer else {
            return true;
        };
        if now < self.next_probe || !pacer.wait(now).is_zero() {
            return false;
        }
        pacer.take(now);
        self.next_probe = now + Duration::from_secs_f64(PROBE_INTERVALS / pacer.rate());
        true
    }

    /// Returns whether the server is cold and another grant would exceed the pool's cold rate.
    pub fn is_at_cold_rate(&self, now: Time, pool: &Pool) -> bool {
        if pool.cold_rate <= 0.0 || now >= self.cold_until {
            return false;
        }
        let recent = self
            .grant_times
            .iter()
            .filter(|at| now.saturating_sub(**at) < COLD_RATE_WINDOW)
            .count();
        recent as f64 + 1.0 > pool.cold_rate
    }

    /// Records the end of a request that this coordinator had granted.
    pub fn record_end(&mut self, now: Time) {
        self.end_times.push_back(now);
        if self.end_times.len() > END_TIMES_MAX {
            self.end_times.pop_front();
        }
    }

    /// Returns the number of known requests that have ended but may still be counted in the newest
    /// load report.
    pub fn ends_since_report(&self) -> usize {
        let Some((at, _)) = self.load else {
            return 0;
        };
        let since = at.saturating_sub(REPORT_LAG);
        self.end_times.iter().filter(|end| **end >= since).count()
    }

    /// Returns the boot id of the server, or zero if it is not known yet.
    pub fn boot(&self) -> BootId {
        self.boot
    }

    /// Returns the version of the server's software, empty if the platform does not list it. `None`
    /// if the listed version is that of another boot.
    pub fn software(&self) -> Option<&Name> {
        let Listing { boot, software, .. } = &self.listing;
        let is_listed_boot = *boot == 0 || self.boot == 0 || *boot == self.boot;
        (is_listed_boot || software.is_empty()).then_some(software)
    }

    /// Returns whether the server has the software version that a reservation requires, if it
    /// requires one. A version that is not known fits no requirement.
    pub fn has_software(&self, required: Option<&Name>) -> bool {
        required.is_none_or(|required| !required.is_empty() && self.software() == Some(required))
    }

    /// Returns the maximum number of concurrent requests on the server.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns whether the server's limit is still below the pool's batch size.
    pub fn is_cold(&self, pool: &Pool) -> bool {
        self.limit() < pool.batch
    }

    /// Returns whether the server may get new requests: it is not shutting down, not drained and
    /// has not just failed.
    pub fn is_open(&self, now: Time) -> bool {
        let listing = &self.listing;
        !listing.leaving && !listing.drained && !self.leaving && now >= self.closed_until
    }

    /// Returns whether the server is neither shutting down nor drained, even if it gets no grants
    /// at this moment.
    pub fn is_staying(&self) -> bool {
        !self.listing.leaving && !self.listing.drained && !self.leaving
    }

    /// Returns whether the newest load report is fresh.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.load
            .is_some_and(|(at, _)| now.saturating_sub(at) < LOAD_REPORT_LIFETIME)
    }

    /// Returns the KV cache size in tokens: the pool's setting, or else the reported size.
    pub fn capacity(&self, pool: &Pool) -> Option<u64> {
        if pool.memory_tokens > 0 {
            return Some(pool.memory_tokens);
        }
        let (_, load) = self.load?;
        (load.capacity_tokens > 0).then_some(load.capacity_tokens)
    }

    /// Applies a load report. Returns whether the server has restarted.
    pub fn record_load(&mut self, now: Time, load: Load, pool: &Pool) -> bool {
        let restarted = self.boot != load.boot;
        if restarted {
            self.reset_limit(pool);
            self.cold_since = now;
            self.boot = load.boot;
            self.closed_until = Time::ZERO;
            self.leaving = false;
            self.pacer = None;
            self.set_limit_from_report(&load, pool);
        } else if std::mem::take(&mut self.was_unreachable) && !load.cold {
            // The server was unreachable but did not restart, so its limit is restored.
            self.set_limit_from_report(&load, pool);
        } else if load.cold {
            self.set_limit_from_report(&load, pool);
        }
        let previous = self
            .load
            .map_or(load.preemptions, |(_, old)| old.preemptions);
        let preemptions = if restarted {
            load.preemptions
        } else {
            load.preemptions.saturating_sub(previous)
        };
        self.margin.observe(now, preemptions);
        self.leaving |= load.leaving;
        self.load = Some((now, load));
        restarted
    }

    /// Records a complete answer with its first-token time and raises the limit by one. Answers
    /// granted before the server last became cold are ignored. A server that reports itself as cold
    /// has its limit set from its reports instead.
    pub fn record_success(
        &mut self,
        now: Time,
        granted_at: Time,
        first_token: Duration,
        pool: &Pool,
    ) {
        if granted_at < self.cold_since {
            return;
        }
        if self.record_first_token(first_token) {
            self.reset_limit(pool);
            self.cold_since = now;
            return;
        }
        let reports_cold = self.load.is_some_and(|(_, load)| load.cold);
        if self.consecutive_jumps == 0 && !reports_cold {
            self.limit = (self.limit + 1.0).min(f64::from(pool.batch));
        }
    }

    /// Records that the server refused a request or was unreachable. Closes it for a time and
    /// resets the limit.
    pub fn record_failure(&mut self, now: Time, unreachable: bool, pool: &Pool) {
        let backoff = if unreachable {
            UNREACHABLE_BACKOFF
        } else {
            REFUSED_BACKOFF
        };
        self.closed_until = self.closed_until.max(now + backoff);
        self.was_unreachable |= unreachable;
        self.cold_since = now;
        self.reset_limit(pool);
    }

    /// Closes the server until a given time at least.
    pub fn close_until(&mut self, until: Time) {
        self.closed_until = self.closed_until.max(until);
    }

    /// Sets whether the server may have failed, which is being verified.
    pub fn set_doubted(&mut self, is_doubted: bool) {
        self.is_doubted = is_doubted;
    }

    /// Returns whether the server may have failed, which is being verified.
    pub fn is_doubted(&self) -> bool {
        self.is_doubted
    }

    /// Records that the server crashed and lost its running requests.
    pub fn record_crash(&mut self, now: Time) {
        self.crashed_at = Some(now);
    }

    /// Returns whether the server crashed within the last minute.
    pub fn has_crashed_recently(&self, now: Time) -> bool {
        self.crashed_at
            .is_some_and(|at| now.saturating_sub(at) < RECENT_CRASH_WINDOW)
    }

    /// Records that the server is about to shut down.
    pub fn record_leaving(&mut self) {
        self.leaving = true;
    }

    fn reset_limit(&mut self, pool: &Pool) {
        self.limit = f64::from(pool.cold_limit);
        self.average_first_token_s = 0.0;
        self.consecutive_jumps = 0;
    }

    /// Sets the limit from the completed requests that the server reports, so that progress made
    /// under an earlier coordinator counts.
    fn set_limit_from_report(&mut self, load: &Load, pool: &Pool) {
        let limit = f64::from(pool.cold_limit) + load.completed_since_cold as f64;
        self.limit = limit.min(f64::from(pool.batch));
    }

    /// Records a first-token time. Returns whether the last [`JUMPS_MAX`] times were all jumps.
    fn record_first_token(&mut self, first_token: Duration) -> bool {
        let seconds = first_token.as_secs_f64();
        if self.average_first_token_s == 0.0 {
            self.average_first_token_s = seconds;
        }
        let jumped =
            first_token > JUMP_TIME_MIN && seconds > self.average_first_token_s * JUMP_FACTOR;
        if jumped {
            self.consecutive_jumps += 1;
        } else {
            self.consecutive_jumps = 0;
            self.average_first_token_s +=
                (seconds - self.average_first_token_s) * FIRST_TOKEN_WEIGHT;
        }
        self.consecutive_jumps >= JUMPS_MAX
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Time = Duration::from_secs(5);

    fn warm_server() -> (Pool, Server) {
        let pool = Pool::default();
        let listing = Listing {
            name: "e".into(),
            address: ([127, 0, 0, 1], 1).into(),
            boot: 0,
            software: Name::default(),
            cold_time: Duration::ZERO,
            leaving: false,
            drained: false,
        };
        let mut server = Server::new(NOW, listing, &pool);
        server.record_load(NOW, load(1), &pool);
        for _ in 0..30 {
            server.record_success(NOW, NOW, Duration::from_millis(50), &pool);
        }
        assert_eq!(server.limit(), pool.batch);
        (pool, server)
    }

    fn load(boot: BootId) -> Load {
        Load {
            boot,
            ..Load::default()
        }
    }

    #[test]
    fn limit_resets_on_new_boot_cold_report_refusal_and_first_token_jump() {
        let (pool, mut server) = warm_server();
        server.record_load(NOW, load(2), &pool);
        assert_eq!(server.limit(), pool.cold_limit, "new boot");

        let (pool, mut server) = warm_server();
        let cold = Load {
            cold: true,
            ..load(1)
        };
        server.record_load(NOW, cold, &pool);
        assert_eq!(server.limit(), pool.cold_limit, "report of being cold");
        server.record_success(NOW, NOW, Duration::from_millis(50), &pool);
        assert_eq!(
            server.limit(),
            pool.cold_limit,
            "an answer does not raise the limit of a server that reports itself as cold"
        );

        let (pool, mut server) = warm_server();
        server.record_failure(NOW, false, &pool);
        assert_eq!(server.limit(), pool.cold_limit, "refusal");
        assert!(!server.is_open(NOW) && server.is_open(NOW + REFUSED_BACKOFF));

        let (pool, mut server) = warm_server();
        for _ in 0..JUMPS_MAX {
            server.record_success(NOW, NOW, Duration::from_secs(1), &pool);
        }
        assert_eq!(server.limit(), pool.cold_limit, "first-token times jumped");
    }

    #[test]
    fn limit_counts_requests_completed_under_an_earlier_coordinator() {
        let (pool, mut server) = warm_server();
        let report = Load {
            completed_since_cold: 5,
            ..load(3)
        };
        server.record_load(NOW, report, &pool);
        assert_eq!(server.limit(), pool.cold_limit + 5);
    }
}
