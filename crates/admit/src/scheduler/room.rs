//! Which server has room for a reservation.

use std::time::Duration;

use clock::Time;
use conf::Service;
use length::Estimator;
use wire::Name;
use wire::admission::Reservation;
use wire::admission::Work;

use super::Scheduler;
use super::crowd::Crowd;
use super::crowd::Crowds;
use crate::memory::Use;
use crate::server::Server;

/// Share of the like generations whose length the prediction covers.
const PREDICTED_SHARE: f64 = 0.75;
/// Difference in utilisation below which a prefix in the cache decides.
const AFFINITY_SLACK: f64 = 0.15;
/// Time between two grants on an engine that is at work.
pub(super) const GRANT_SPACING: Duration = Duration::from_millis(25);

/// Prompt tokens that a server has still to read, below which servers count as equal.
const READING_SLACK: u64 = 400;

/// A server with room.
struct Open {
    reading: u64,
    utilisation: f64,
    matched: usize,
    draw: u64,
    name: Name,
}

impl Scheduler {
    /// Returns the server that runs a reservation best, among those that have room for it.
    pub(super) fn choose(
        &mut self,
        now: Time,
        reservation: &Reservation,
        crowds: &Crowds,
    ) -> Option<Name> {
        let mut open: Vec<Open> = Vec::new();
        let rest = self.rest_of(&reservation.work, 0);
        for (name, crowd) in crowds {
            if reservation.avoid.contains(name) {
                continue;
            }
            if let Some(utilisation) = self.room(now, name, crowd, reservation, rest) {
                let matched = self.prefixes.matched(name, &reservation.work.prefixes);
                open.push(Open {
                    reading: crowd.reading,
                    utilisation,
                    matched,
                    draw: self.rng.u64(..),
                    name: name.clone(),
                });
            }
        }
        // A prompt that is being read delays the first token of the next one, and every token beside it.
        let least = open.iter().map(|one| one.reading).min()?;
        open.retain(|one| one.reading <= least + READING_SLACK);
        let least = open.iter().map(|one| one.utilisation).reduce(f64::min)?;
        open.retain(|one| one.utilisation <= least + AFFINITY_SLACK);
        open.sort_by(|a, b| {
            let matched = b.matched.cmp(&a.matched);
            let used = a.utilisation.total_cmp(&b.utilisation);
            matched.then(used).then(a.draw.cmp(&b.draw))
        });
        open.into_iter().next().map(|one| one.name)
    }

    /// Returns how full a server would be with a reservation, or `None` if it has no room for it.
    fn room(
        &self,
        now: Time,
        name: &Name,
        crowd: &Crowd,
        reservation: &Reservation,
        rest: u32,
    ) -> Option<f64> {
        let server = &self.servers[name];
        if !self.takes_work(now, server) {
            return None;
        }
        if reservation.suspect && server.is_frail(now) && self.has_sound_server(now) {
            return None;
        }
        if reservation.suspect && crowd.is_on_trial {
            return None;
        }
        let count = crowd.count + self.unexplained(server, crowd);
        let limit = server.limit() as usize;
        if count >= limit {
            return None;
        }
        if count > 0 && !self.is_spaced(now, name) {
            return None;
        }
        let slots = (count + 1) as f64 / f64::from(self.pool.batch);
        let memory = self.memory_share(server, crowd, &reservation.work, rest, 1.0)?;
        Some(slots.max(memory))
    }

    /// Returns whether any server may be given work at all just now, whatever is on it.
    pub(super) fn may_place(&self, now: Time) -> bool {
        self.servers
            .iter()
            .any(|(name, server)| self.takes_work(now, server) && self.is_spaced(now, name))
    }

    /// Returns whether a server may be given work just now, as far as that does not depend on what is
    /// on it.
    fn takes_work(&self, now: Time, server: &Server) -> bool {
        server.is_open(now)
            && self.may_judge(now, server)
            && !server.is_at_cold_rate(now, &self.pool)
    }

    /// A server that crashes by itself would add to the suspicion of an innocent request, which waits
    /// for one that has not crashed lately, where there is any.
    fn has_sound_server(&self, now: Time) -> bool {
        let mut servers = self.servers.values();
        servers.any(|server| server.is_open(now) && !server.is_frail(now))
    }

    /// The processing of a prompt delays the next token of all that run on the server, so two prompts
    /// are kept out of one step.
    fn is_spaced(&self, now: Time, name: &Name) -> bool {
        let last = self.last_grants.get(name);
        let engine = self.pool.service == Service::Engine;
        !engine || last.is_none_or(|last| now.saturating_sub(*last) >= GRANT_SPACING)
    }

    /// A coordinator that has just started knows less than the server does, and one that sees only a
    /// minority may not be the only one. Neither grants on a cold server, nor without a fresh
    /// report.
    fn may_judge(&self, now: Time, server: &Server) -> bool {
        let certain = now >= self.learning_until && self.majority;
        certain || (server.is_fresh(now) && !server.is_cold(&self.pool))
    }

    /// Returns how many requests a server reported beyond those that this coordinator knew of by then.
    fn unexplained(&self, server: &Server, crowd: &Crowd) -> usize {
        let Some((_, load)) = server.load else {
            return 0;
        };
        let shown = (load.running + load.waiting) as usize;
        // On a cold server a place is lost for a moment rather than given twice.
        let ended = if server.is_cold(&self.pool) {
            0
        } else {
            server.ends_since_report()
        };
        shown.saturating_sub(crowd.reported + ended)
    }

    /// Returns the share of a server's memory at its predicted peak, or `None` if it is too small.
    ///
    /// Copies kept for other servers count like what runs: they grow as their originals do.
    pub(super) fn memory_share(
        &self,
        server: &Server,
        crowd: &Crowd,
        work: &Work,
        rest: u32,
        most: f64,
    ) -> Option<f64> {
        if self.pool.service == Service::Plain {
            return Some(0.0);
        }
        let Some(capacity) = server.capacity(&self.pool) else {
            return Some(0.0);
        };
        let usable = server.margin.usable(capacity);
        let peak = crowd.peak_with(Use {
            held: u64::from(work.prompt),
            rest: u64::from(rest),
        });
        // A generation that would not fit even alone is still given an empty server.
        let fits = peak as f64 <= usable as f64 * most || crowd.is_empty();
        fits.then(|| peak as f64 / usable.max(1) as f64)
    }

    /// Returns how many more tokens a generation is expected to need.
    pub(super) fn rest_of(&self, work: &Work, generated: u32) -> u32 {
        predicted_rest(&self.lengths, work, generated)
    }

    pub(super) fn cost(&self, work: &Work) -> f64 {
        f64::from(self.rest_of(work, 0)) + f64::from(work.prompt) / 8.0
    }
}

/// Returns how many more tokens a generation is expected to need, by the lengths of earlier ones.
pub(super) fn predicted_rest(lengths: &Estimator, work: &Work, generated: u32) -> u32 {
    lengths.expected_remaining(
        &work.route,
        &work.organisation,
        generated,
        PREDICTED_SHARE,
        work.hint,
    )
}
