//! Which server has room for an ask.

use std::time::Duration;

use clock::Time;
use conf::Service;
use wire::Name;
use wire::admission::Ask;
use wire::admission::Work;

use super::Cell;
use super::Placed;
use crate::memory;
use crate::memory::Use;
use crate::server::Server;

/// Share of the like generations whose length the prediction covers.
const PREDICTED_SHARE: f64 = 0.75;
/// Difference in utilisation below which a prefix in the cache decides.
const AFFINITY_SLACK: f64 = 0.15;
/// Time between two grants on an engine that is at work.
pub(super) const GRANT_SPACING: Duration = Duration::from_millis(25);

/// Tokens after which a request under suspicion no longer keeps others off its server: one that crashes
/// servers has mostly done so by then.
const TRIAL_TOKENS: u32 = 32;

/// Prompt tokens that a server has still to read, below which servers count as equal.
const READING_SLACK: u64 = 400;
/// Time after which a prompt counts as read though no token of its answer was reported.
const READING_TIME: Duration = Duration::from_secs(3);

/// A server with room.
struct Open {
    reading: u64,
    utilisation: f64,
    matched: usize,
    draw: u64,
    name: Name,
}

fn is_on_trial(placed: &Placed) -> bool {
    placed.suspect && placed.generated < TRIAL_TOKENS
}

impl Cell {
    /// Returns the server that runs an ask best, among those that have room for it.
    pub(super) fn choose(&mut self, now: Time, ask: &Ask) -> Option<Name> {
        let mut open: Vec<Open> = Vec::new();
        for name in self.servers.keys() {
            if ask.avoid.contains(name) {
                continue;
            }
            if let Some(utilisation) = self.room(now, name, ask) {
                let matched = self.prefixes.matched(name, &ask.work.prefixes);
                open.push(Open {
                    reading: self.reading(now, name),
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

    /// Returns the tokens of the prompts that a server has still to read.
    fn reading(&self, now: Time, name: &Name) -> u64 {
        self.placed
            .values()
            .filter(|p| p.server == *name && p.generated == 0 && p.given_up.is_none())
            .filter(|p| now.saturating_sub(p.since) < READING_TIME)
            .map(|p| u64::from(p.work.prompt))
            .sum()
    }

    /// Returns how full a server would be with an ask, or `None` if it has no room for it.
    fn room(&self, now: Time, name: &Name, ask: &Ask) -> Option<f64> {
        let server = &self.servers[name];
        if !server.is_open(now) || !self.may_judge(now, server) {
            return None;
        }
        if ask.suspect && server.is_frail(now) && self.has_sound_server(now) {
            return None;
        }
        let here: Vec<&Placed> = self.placed.values().filter(|p| p.server == *name).collect();
        if ask.suspect && here.iter().any(|placed| is_on_trial(placed)) {
            return None;
        }
        let count = here.len() + self.unexplained(server, &here);
        let limit = server.limit() as usize;
        if count >= limit {
            return None;
        }
        if count > 0 && !self.is_spaced(now, name) {
            return None;
        }
        if server.is_at_cold_rate(now, &self.pool) {
            return None;
        }
        let slots = (count + 1) as f64 / f64::from(self.pool.batch);
        let memory = self.memory_share(server, &here, &ask.work, 1.0)?;
        Some(slots.max(memory))
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

    /// A home that has just started knows less than the server does, and one that sees only a
    /// minority may not be the only one. Neither grants on a cold server, nor without a fresh
    /// report.
    fn may_judge(&self, now: Time, server: &Server) -> bool {
        let certain = now >= self.learning_until && self.majority;
        certain || (server.is_fresh(now) && !server.is_cold(&self.pool))
    }

    /// Returns how many requests a server reported beyond those that this home knew of by then.
    fn unexplained(&self, server: &Server, here: &[&Placed]) -> usize {
        let Some((at, load)) = server.load else {
            return 0;
        };
        let known = here.iter().filter(|placed| placed.since <= at).count();
        let shown = (load.running + load.waiting) as usize;
        // On a cold server a place is lost for a moment rather than given twice.
        let ended = if server.is_cold(&self.pool) {
            0
        } else {
            server.ends_since_report()
        };
        shown.saturating_sub(known + ended)
    }

    /// Returns the share of a server's memory at its predicted peak, or `None` if it is too small.
    ///
    /// Copies kept for other servers count like what runs: they grow as their originals do.
    pub(super) fn memory_share(
        &self,
        server: &Server,
        here: &[&Placed],
        work: &Work,
        most: f64,
    ) -> Option<f64> {
        if self.pool.service == Service::Plain {
            return Some(0.0);
        }
        let Some(capacity) = server.capacity(&self.pool) else {
            return Some(0.0);
        };
        let name = &server.listing.name;
        let copies = self
            .placed
            .values()
            .filter(|p| p.copy.as_ref() == Some(name));
        let mut uses: Vec<Use> = here
            .iter()
            .copied()
            .chain(copies)
            .map(|p| self.use_of(&p.work, p.generated))
            .collect();
        uses.push(self.use_of(work, 0));
        let usable = server.margin.usable(capacity);
        let peak = memory::peak(&mut uses);
        // A generation that would not fit even alone is still given an empty server.
        let alone = uses.len() == 1;
        let fits = peak as f64 <= usable as f64 * most || alone;
        fits.then(|| peak as f64 / usable.max(1) as f64)
    }

    fn use_of(&self, work: &Work, generated: u32) -> Use {
        let rest = self.rest(work, generated);
        Use {
            held: u64::from(work.prompt) + u64::from(generated),
            rest: u64::from(rest),
        }
    }

    fn rest(&self, work: &Work, generated: u32) -> u32 {
        let organisation = &work.organisation;
        self.lengths.rest(
            &work.route,
            organisation,
            generated,
            PREDICTED_SHARE,
            work.hint,
        )
    }

    pub(super) fn cost(&self, work: &Work) -> f64 {
        f64::from(self.rest(work, 0)) + f64::from(work.prompt) / 8.0
    }
}
