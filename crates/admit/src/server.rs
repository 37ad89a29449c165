//! Limits of one server: cold start and proof.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Time;
use conf::Pool;
use wire::BootId;
use wire::Name;

use crate::memory::Margin;

/// Factor above a server's own usual first-token time that counts as a jump.
const JUMP_FACTOR: f64 = 4.0;
/// First-token times below this are never a jump.
const JUMP_FLOOR: Duration = Duration::from_millis(200);
/// Jumps in a row that make a server cold.
const JUMPS: u32 = 3;
/// Weight of a new first-token time in the usual one.
const USUAL_WEIGHT: f64 = 0.1;
/// Time for which a server that refused work gets none.
const REFUSED_TIME: Duration = Duration::from_millis(500);
/// Time for which a server that could not be reached gets none.
const UNREACHABLE_TIME: Duration = Duration::from_millis(1_500);
/// Time after a crash in which a server is not trusted with requests under suspicion.
const FRAIL_TIME: Duration = Duration::from_secs(60);
/// Lag of a report behind the state that it shows.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Time over which the rate of grants to a cold server is counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Ends of requests that are remembered.
const ENDS_MAX: usize = 256;
/// Age up to which a load report is fresh.
pub const FRESH: Duration = Duration::from_millis(1_500);

/// A backend server as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// Its name.
    pub name: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its life, or zero where the platform does not tell.
    pub boot: BootId,
    /// Time for which it stays cold.
    pub cold: Duration,
    /// Whether it is about to go.
    pub leaving: bool,
    /// Whether operators have drained it.
    pub drained: bool,
}

/// What a server reports of itself, with a lag.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Its life.
    pub boot: BootId,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// Cache tokens in use.
    pub used: u64,
    /// Cache tokens in all.
    pub capacity: u64,
    /// Preemptions since it started.
    pub preemptions: u64,
    /// Requests completed since it became warm the last time it was cold.
    pub served: u64,
    /// Whether it is about to go.
    pub leaving: bool,
    /// Whether it says that it is cold.
    pub cold: bool,
}

/// What the coordinator knows of one server.
#[derive(Clone, Debug)]
pub struct Server {
    /// As the platform lists it.
    pub listing: Listing,
    /// Its newest report, with the time at which it came.
    pub load: Option<(Time, Load)>,
    /// Its margin of memory.
    pub margin: Margin,
    boot: BootId,
    limit: f64,
    usual_s: f64,
    jumps: u32,
    closed_until: Time,
    leaving: bool,
    lost_sight: bool,
    crashed_at: Option<Time>,
    cold_since: Time,
    cold_until: Time,
    grants: VecDeque<Time>,
    ends: VecDeque<Time>,
}

impl Server {
    /// Returns a cold server.
    pub fn new(now: Time, listing: Listing, pool: &Pool) -> Server {
        Server {
            boot: listing.boot,
            cold_until: now + listing.cold,
            grants: VecDeque::new(),
            listing,
            load: None,
            margin: Margin::new(now),
            limit: f64::from(pool.cold_limit),
            usual_s: 0.0,
            jumps: 0,
            closed_until: Time::ZERO,
            leaving: false,
            lost_sight: false,
            crashed_at: None,
            cold_since: Time::ZERO,
            ends: VecDeque::new(),
        }
    }

    /// Takes the server as the platform lists it now. A new life starts from nothing.
    pub fn list(&mut self, now: Time, listing: &Listing, pool: &Pool) {
        if listing.boot != 0 && listing.boot != self.boot {
            *self = Server::new(now, listing.clone(), pool);
            return;
        }
        if listing.cold != self.listing.cold {
            self.cold_until = now + listing.cold;
        }
        self.listing = listing.clone();
    }

    /// Notes that a place was granted here.
    pub fn record_grant(&mut self, now: Time) {
        while self
            .grants
            .front()
            .is_some_and(|at| now.saturating_sub(*at) >= RATE_WINDOW)
        {
            self.grants.pop_front();
        }
        self.grants.push_back(now);
    }

    /// Returns whether it has had as many grants in the last second as a cold server of the pool
    /// bears.
    pub fn is_at_cold_rate(&self, now: Time, pool: &Pool) -> bool {
        if pool.cold_rate <= 0.0 || now >= self.cold_until {
            return false;
        }
        let recent = self
            .grants
            .iter()
            .filter(|at| now.saturating_sub(**at) < RATE_WINDOW)
            .count();
        recent as f64 + 1.0 > pool.cold_rate
    }

    /// Notes that a request that the coordinator knew of has ended here.
    pub fn record_end(&mut self, now: Time) {
        self.ends.push_back(now);
        if self.ends.len() > ENDS_MAX {
            self.ends.pop_front();
        }
    }

    /// Returns how many known requests have ended that the newest report may still show.
    pub fn ends_since_report(&self) -> usize {
        let Some((at, _)) = self.load else {
            return 0;
        };
        let since = at.saturating_sub(REPORT_LAG);
        self.ends.iter().filter(|end| **end >= since).count()
    }

    /// Returns the life of the server, or zero if it is not known yet.
    pub fn boot(&self) -> BootId {
        self.boot
    }

    /// Returns the most requests that it is given at once.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns whether it has not yet proved that it bears full load.
    pub fn is_cold(&self, pool: &Pool) -> bool {
        self.limit() < pool.batch
    }

    /// Returns whether it takes new work at all.
    pub fn is_open(&self, now: Time) -> bool {
        let listing = &self.listing;
        !listing.leaving && !listing.drained && !self.leaving && now >= self.closed_until
    }

    /// Returns whether it is not about to go, whether it takes new work at this moment or not.
    pub fn stays(&self) -> bool {
        !self.listing.leaving && !self.listing.drained && !self.leaving
    }

    /// Returns whether its newest report is recent.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.load
            .is_some_and(|(at, _)| now.saturating_sub(at) < FRESH)
    }

    /// Returns its memory in cache tokens, if it is known.
    pub fn capacity(&self, pool: &Pool) -> Option<u64> {
        if pool.memory_tokens > 0 {
            return Some(pool.memory_tokens);
        }
        let (_, load) = self.load?;
        (load.capacity > 0).then_some(load.capacity)
    }

    /// Takes a report. Returns whether the server has begun a new life.
    pub fn report(&mut self, now: Time, load: Load, pool: &Pool) -> bool {
        let reborn = self.boot != load.boot;
        if reborn {
            self.start_cold(pool);
            self.cold_since = now;
            self.boot = load.boot;
            self.closed_until = Time::ZERO;
            self.leaving = false;
            self.adopt_proof(&load, pool);
        } else if std::mem::take(&mut self.lost_sight) && !load.cold {
            // The link was down, not the server.
            self.adopt_proof(&load, pool);
        } else if load.cold {
            self.adopt_proof(&load, pool);
        }
        let before = self
            .load
            .map_or(load.preemptions, |(_, old)| old.preemptions);
        let preemptions = if reborn {
            load.preemptions
        } else {
            load.preemptions.saturating_sub(before)
        };
        self.margin.observe(now, preemptions);
        self.leaving |= load.leaving;
        self.load = Some((now, load));
        reborn
    }

    /// Takes an answer that came whole, with its first-token time and the time at which it was
    /// placed. One that was placed before the server last became cold proves nothing, and a server
    /// that itself reports how far it has come is believed instead.
    pub fn prove(&mut self, now: Time, placed: Time, first_token: Duration, pool: &Pool) {
        if placed < self.cold_since {
            return;
        }
        if self.record_first_token(first_token) {
            self.start_cold(pool);
            self.cold_since = now;
            return;
        }
        let reports_itself = self.load.is_some_and(|(_, load)| load.cold);
        if self.jumps == 0 && !reports_itself {
            self.limit = (self.limit + 1.0).min(f64::from(pool.batch));
        }
    }

    /// Notes that it refused work, or could not be reached.
    pub fn fail(&mut self, now: Time, unreachable: bool, pool: &Pool) {
        let time = if unreachable {
            UNREACHABLE_TIME
        } else {
            REFUSED_TIME
        };
        self.closed_until = self.closed_until.max(now + time);
        self.lost_sight |= unreachable;
        self.cold_since = now;
        self.start_cold(pool);
    }

    /// Notes that it lost what it ran.
    pub fn record_crash(&mut self, now: Time) {
        self.crashed_at = Some(now);
    }

    /// Returns whether it lost what it ran not long ago.
    pub fn is_frail(&self, now: Time) -> bool {
        self.crashed_at
            .is_some_and(|at| now.saturating_sub(at) < FRAIL_TIME)
    }

    /// Notes that it is about to go.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    fn start_cold(&mut self, pool: &Pool) {
        self.limit = f64::from(pool.cold_limit);
        self.usual_s = 0.0;
        self.jumps = 0;
    }

    /// A server that reports completed requests has proved itself to an earlier coordinator.
    fn adopt_proof(&mut self, load: &Load, pool: &Pool) {
        let proved = f64::from(pool.cold_limit) + load.served as f64;
        self.limit = proved.min(f64::from(pool.batch));
    }

    /// Returns whether first-token times have jumped.
    fn record_first_token(&mut self, first_token: Duration) -> bool {
        let seconds = first_token.as_secs_f64();
        if self.usual_s == 0.0 {
            self.usual_s = seconds;
        }
        let jumped = first_token > JUMP_FLOOR && seconds > self.usual_s * JUMP_FACTOR;
        if jumped {
            self.jumps += 1;
        } else {
            self.jumps = 0;
            self.usual_s += (seconds - self.usual_s) * USUAL_WEIGHT;
        }
        self.jumps >= JUMPS
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Time = Duration::from_secs(5);

    fn warm() -> (Pool, Server) {
        let pool = Pool::default();
        let listing = Listing {
            name: "e".into(),
            address: ([127, 0, 0, 1], 1).into(),
            boot: 0,
            cold: Duration::ZERO,
            leaving: false,
            drained: false,
        };
        let mut server = Server::new(NOW, listing, &pool);
        server.report(NOW, load(1), &pool);
        for _ in 0..30 {
            server.prove(NOW, NOW, Duration::from_millis(50), &pool);
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
    fn limit_falls_to_cold_on_new_boot_report_refusal_and_jump() {
        let (pool, mut server) = warm();
        server.report(NOW, load(2), &pool);
        assert_eq!(server.limit(), pool.cold_limit, "new boot");

        let (pool, mut server) = warm();
        let cold = Load {
            cold: true,
            ..load(1)
        };
        server.report(NOW, cold, &pool);
        assert_eq!(server.limit(), pool.cold_limit, "its own report");
        server.prove(NOW, NOW, Duration::from_millis(50), &pool);
        assert_eq!(
            server.limit(),
            pool.cold_limit,
            "late news of earlier work is no proof"
        );

        let (pool, mut server) = warm();
        server.fail(NOW, false, &pool);
        assert_eq!(server.limit(), pool.cold_limit, "a refusal");
        assert!(!server.is_open(NOW) && server.is_open(NOW + REFUSED_TIME));

        let (pool, mut server) = warm();
        for _ in 0..JUMPS {
            server.prove(NOW, NOW, Duration::from_secs(1), &pool);
        }
        assert_eq!(server.limit(), pool.cold_limit, "first-token times jumped");
    }

    #[test]
    fn proof_given_to_an_earlier_coordinator_counts() {
        let (pool, mut server) = warm();
        let proved = Load {
            served: 5,
            ..load(3)
        };
        server.report(NOW, proved, &pool);
        assert_eq!(server.limit(), pool.cold_limit + 5);
    }
}
