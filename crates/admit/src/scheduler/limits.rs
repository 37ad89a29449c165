//! Servers that limit the rate of their requests.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use clock::Time;
use wire::AttemptId;
use wire::BootId;
use wire::Name;
use wire::admission::Denial;
use wire::admission::Reservation;

use super::Reply;
use super::Scheduler;
use crate::pacer::Pacer;

/// Time by which a grant may be later than a server's limit allows it, since queues are served in
/// ticks.
const TICK_SLACK: Duration = Duration::from_millis(25);

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
        let turns = self.rate_limited_turns(now, reservation, self.queue.len() + 1);
        turns
            .last()
            .map_or(Duration::ZERO, |wait| match wait.is_zero() {
                true => Duration::ZERO,
                false => *wait + TICK_SLACK,
            })
    }

    /// Denies the queued reservations that the servers' rate limits leave no place for before their
    /// deadline.
    pub(super) fn deny_beyond_rate_limits(&mut self, now: Time) -> Vec<Reply> {
        let count = self.queue.len();
        let mut turns: BTreeMap<Option<&Name>, Vec<Duration>> = BTreeMap::new();
        let mut beyond: Vec<(AttemptId, Duration)> = Vec::new();
        for (ahead, waiting) in self.queue.iter().enumerate() {
            let reservation = &waiting.reservation;
            let turns = turns
                .entry(reservation.software.as_ref())
                .or_insert_with(|| self.rate_limited_turns(now, reservation, count));
            let Some(wait) = turns.get(ahead).copied() else {
                continue;
            };
            // The last tick before the deadline may serve one whose turn is then.
            if now + wait > waiting.deadline + TICK_SLACK {
                beyond.push((reservation.attempt, wait));
            }
        }
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

    /// Returns after what times the servers that may run a reservation take the next requests, in
    /// order. Empty if one of them has no limit or there is none.
    fn rate_limited_turns(
        &self,
        now: Time,
        reservation: &Reservation,
        count: usize,
    ) -> Vec<Duration> {
        let servers = self.open_servers_for(now, reservation);
        let pacers: Option<Vec<Pacer>> = servers.map(|server| server.pacer().copied()).collect();
        let mut pacers = pacers.unwrap_or_default();
        let mut next: BinaryHeap<Reverse<(Duration, usize)>> = pacers
            .iter()
            .enumerate()
            .map(|(index, pacer)| Reverse((pacer.wait(now), index)))
            .collect();
        let mut turns = Vec::new();
        while turns.len() < count
            && let Some(Reverse((wait, index))) = next.pop()
        {
            turns.push(wait);
            pacers[index].take(now);
            next.push(Reverse((pacers[index].wait(now), index)));
        }
        turns
    }
}
