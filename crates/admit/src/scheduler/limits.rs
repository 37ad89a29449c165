//! Servers that limit the rate of their requests.

use std::time::Duration;

use clock::Time;
use wire::AttemptId;
use wire::BootId;
use wire::admission::Denial;
use wire::admission::Reservation;

use super::Reply;
use super::Scheduler;

/// The limits of the servers that may run a reservation, if all of them have one.
#[derive(Clone, Copy, Debug)]
struct CommonLimit {
    /// Time until the first of the servers takes a request.
    wait: Duration,
    /// Requests per second of all of them together.
    rate: f64,
}

impl CommonLimit {
    /// Returns the time until a request is taken that has others ahead of it.
    fn wait_behind(&self, ahead: usize) -> Duration {
        self.wait + Duration::from_secs_f64(ahead as f64 / self.rate)
    }
}

impl Scheduler {
    /// Sets the rate of requests per second to which a boot of a server limits its requests, or
    /// `None` if it has no limit.
    pub fn set_rate_limit(&mut self, now: Time, name: &str, boot: BootId, rate: Option<f64>) {
        if let Some(server) = self.servers.get_mut(name)
            && (server.boot() == boot || server.boot() == 0 || boot == 0)
        {
            server.set_rate_limit(now, rate);
        }
    }

    /// Grants nothing on a boot of a server until a given time.
    pub fn close_until(&mut self, name: &str, boot: BootId, until: Time) {
        if let Some(server) = self.servers.get_mut(name)
            && (server.boot() == boot || server.boot() == 0 || boot == 0)
        {
            server.close_until(until);
        }
    }

    /// Returns whether a server may be probed now. A probe of a server with a rate limit counts
    /// against it.
    pub fn take_probe(&mut self, now: Time, name: &str) -> bool {
        self.servers
            .get_mut(name)
            .is_none_or(|server| server.take_probe(now))
    }

    /// Returns for how long a reservation has to wait at least, since all servers that may run it
    /// limit the rate of their requests. Zero if one of them does not.
    pub(super) fn rate_limited_wait(&self, now: Time, reservation: &Reservation) -> Duration {
        let limit = self.common_limit(now, reservation);
        limit.map_or(Duration::ZERO, |limit| limit.wait_behind(self.queue.len()))
    }

    /// Denies the queued reservations that the servers' rate limits leave no place for before their
    /// deadline.
    pub(super) fn deny_beyond_rate_limits(&mut self, now: Time) -> Vec<Reply> {
        let beyond: Vec<(AttemptId, Duration)> = self
            .queue
            .iter()
            .enumerate()
            .filter_map(|(ahead, waiting)| {
                let limit = self.common_limit(now, &waiting.reservation)?;
                let wait = limit.wait_behind(ahead);
                let attempt = waiting.reservation.attempt;
                (now + wait > waiting.deadline).then_some((attempt, wait))
            })
            .collect();
        let mut replies = Vec::new();
        for (attempt, wait) in beyond {
            if let Some(waiting) = self.queue.remove(attempt) {
                replies.push(Reply {
                    holder: waiting.holder,
                    attempt,
                    decision: self.deny(attempt, Denial::Full, wait),
                });
            }
        }
        replies
    }

    /// Returns the limits of the open servers for a reservation together, or `None` if one of them
    /// has no limit or there is none.
    fn common_limit(&self, now: Time, reservation: &Reservation) -> Option<CommonLimit> {
        let mut common: Option<CommonLimit> = None;
        for server in self.open_servers_for(now, reservation) {
            let pacer = server.pacer()?;
            let wait = pacer.wait(now);
            common = Some(match common {
                Some(limit) => CommonLimit {
                    wait: limit.wait.min(wait),
                    rate: limit.rate + pacer.rate(),
                },
                None => CommonLimit {
                    wait,
                    rate: pacer.rate(),
                },
            });
        }
        common
    }
}
