//! Selection of the server that gets a reservation.

use std::time::Duration;

use clock::Time;
use conf::Service;
use length::Estimator;
use wire::Name;
use wire::admission::Reservation;
use wire::admission::Work;

use super::Scheduler;
use super::occupancy::Occupancies;
use super::occupancy::Occupancy;
use crate::memory::Footprint;
use crate::server::Server;

/// Quantile of earlier generations' remaining lengths that is used as the prediction.
const PREDICTION_QUANTILE: f64 = 0.75;
/// Difference in utilisation within which cached prefixes decide between servers.
const AFFINITY_SLACK: f64 = 0.15;
/// Minimum time between two grants on an engine that is not idle.
pub(super) const GRANT_SPACING: Duration = Duration::from_millis(25);
/// Difference in unprocessed prompt tokens within which servers count as equal.
const PREFILL_SLACK_TOKENS: u64 = 400;

/// A server with capacity for the reservation.
struct Candidate {
    prefill_tokens: u64,
    utilisation: f64,
    matched: usize,
    tie_break: u64,
    name: Name,
}

impl Scheduler {
    /// Returns the best server for a reservation among those that have capacity for it. Unprocessed
    /// prompt tokens are compared first, then utilisation, then cached prefixes.
    pub(super) fn choose_server(
        &mut self,
        now: Time,
        reservation: &Reservation,
        occupancies: &Occupancies,
    ) -> Option<Name> {
        let mut candidates: Vec<Candidate> = Vec::new();
        let remaining = self.expected_remaining(&reservation.work, 0);
        for (name, occupancy) in occupancies {
            if reservation.avoid.contains(name) {
                continue;
            }
            if let Some(utilisation) =
                self.utilisation_with(now, name, occupancy, reservation, remaining)
            {
                let matched = self.prefixes.matched(name, &reservation.work.prefixes);
                candidates.push(Candidate {
                    prefill_tokens: occupancy.prefill_tokens,
                    utilisation,
                    matched,
                    tie_break: self.rng.u64(..),
                    name: name.clone(),
                });
            }
        }
        // Processing a prompt delays the first token of the next prompt and every token that the
        // server generates meanwhile.
        let lowest = candidates
            .iter()
            .map(|candidate| candidate.prefill_tokens)
            .min()?;
        candidates.retain(|candidate| candidate.prefill_tokens <= lowest + PREFILL_SLACK_TOKENS);
        let lowest = candidates
            .iter()
            .map(|candidate| candidate.utilisation)
            .reduce(f64::min)?;
        candidates.retain(|candidate| candidate.utilisation <= lowest + AFFINITY_SLACK);
        candidates.sort_by(|a, b| {
            let matched = b.matched.cmp(&a.matched);
            let utilisation = a.utilisation.total_cmp(&b.utilisation);
            matched
                .then(utilisation)
                .then(a.tie_break.cmp(&b.tie_break))
        });
        candidates
            .into_iter()
            .next()
            .map(|candidate| candidate.name)
    }

    /// Returns the utilisation of a server with the reservation added, or `None` if the server
    /// can't take it now.
    fn utilisation_with(
        &self,
        now: Time,
        name: &Name,
        occupancy: &Occupancy,
        reservation: &Reservation,
        remaining: u32,
    ) -> Option<f64> {
        let server = &self.servers[name];
        if !server.has_software(reservation.software.as_ref()) {
            return None;
        }
        if !self.accepts_grants(now, server) {
            return None;
        }
        if reservation.suspect
            && server.has_crashed_recently(now)
            && self.has_stable_server(now, reservation)
        {
            return None;
        }
        // A request that crashes its servers does so before its first event, so a stream that has
        // begun waits for no other suspect. Few servers may have its version.
        let has_begun = reservation.software.is_some();
        if reservation.suspect && occupancy.has_suspect_on_probation && !has_begun {
            return None;
        }
        let count = occupancy.count + self.untracked_requests(server, occupancy);
        let limit = server.limit() as usize;
        if count >= limit {
            return None;
        }
        if count > 0 && !self.is_past_grant_spacing(now, name) {
            return None;
        }
        let slot_share = (count + 1) as f64 / f64::from(self.pool.batch);
        let memory_share =
            self.memory_share(server, occupancy, &reservation.work, remaining, 1.0)?;
        Some(slot_share.max(memory_share))
    }

    /// Returns whether any server accepts grants at this moment and is past its grant spacing. Its
    /// occupancy is not checked.
    pub(super) fn has_grantable_server(&self, now: Time) -> bool {
        self.servers.iter().any(|(name, server)| {
            self.accepts_grants(now, server) && self.is_past_grant_spacing(now, name)
        })
    }

    /// Returns whether a server accepts grants at this moment. Its occupancy and grant spacing are
    /// not checked.
    fn accepts_grants(&self, now: Time, server: &Server) -> bool {
        server.is_open(now)
            && !server.is_doubted()
            && self.is_view_reliable(now, server)
            && !server.is_at_cold_rate(now, &self.pool)
            && !server.is_at_rate_limit(now)
    }

    /// Returns the open servers that a reservation may wait for. One that requires a software
    /// version waits only for servers that have it and that it does not avoid.
    pub(super) fn open_servers_for(
        &self,
        now: Time,
        reservation: &Reservation,
    ) -> impl Iterator<Item = &Server> {
        let software = reservation.software.as_ref();
        let is_excluded = move |name: &Name| software.is_some() && reservation.avoid.contains(name);
        self.servers
            .iter()
            .filter(move |(name, server)| {
                server.is_open(now) && server.has_software(software) && !is_excluded(name)
            })
            .map(|(_, server)| server)
    }

    /// Returns whether any open server for a reservation has not crashed recently. A suspect request
    /// waits for such a server, since a crash that it did not cause would add to the suspicion.
    fn has_stable_server(&self, now: Time, reservation: &Reservation) -> bool {
        self.open_servers_for(now, reservation)
            .any(|server| !server.has_crashed_recently(now))
    }

    /// Returns whether [`GRANT_SPACING`] has passed since the last grant on an engine. Processing a
    /// prompt delays the next token of every generation on the engine, so the spacing keeps two
    /// prompts out of one step.
    fn is_past_grant_spacing(&self, now: Time, name: &Name) -> bool {
        let last = self.last_grant_at.get(name);
        let is_engine = self.pool.service == Service::Engine;
        !is_engine || last.is_none_or(|last| now.saturating_sub(*last) >= GRANT_SPACING)
    }

    /// Returns whether the coordinator's view of a server is good enough for a grant. A coordinator
    /// that has just started has incomplete state, and one that sees only a minority of the
    /// instances may not be the only coordinator. Both grant only on warm servers with a fresh
    /// report.
    fn is_view_reliable(&self, now: Time, server: &Server) -> bool {
        let is_state_complete = now >= self.learning_until && self.majority;
        is_state_complete || (server.is_fresh(now) && !server.is_cold(&self.pool))
    }

    /// Returns the number of requests in the server's report that this coordinator did not know of
    /// when the report arrived.
    pub(super) fn untracked_requests(&self, server: &Server, occupancy: &Occupancy) -> usize {
        let Some((_, load)) = server.load else {
            return 0;
        };
        let reported = (load.running + load.waiting) as usize;
        // On a cold server, leave a slot unused for a moment rather than grant it twice.
        let ended = if server.is_cold(&self.pool) {
            0
        } else {
            server.ends_since_report()
        };
        reported.saturating_sub(occupancy.reported + ended)
    }

    /// Returns the share of a server's memory in use at the predicted peak, or `None` if that
    /// exceeds `share_max`.
    ///
    /// Replicas for other servers count like running generations, because they grow with their
    /// originals.
    pub(super) fn memory_share(
        &self,
        server: &Server,
        occupancy: &Occupancy,
        work: &Work,
        remaining: u32,
        share_max: f64,
    ) -> Option<f64> {
        if self.pool.service == Service::Plain {
            return Some(0.0);
        }
        let Some(capacity) = server.capacity(&self.pool) else {
            return Some(0.0);
        };
        let usable = server.margin.usable(capacity);
        let peak = occupancy.peak_after_adding(Footprint {
            held: u64::from(work.prompt_tokens),
            remaining: u64::from(remaining),
        });
        // A generation that would not fit even alone is still granted an empty server.
        let fits = peak as f64 <= usable as f64 * share_max || occupancy.is_empty();
        fits.then(|| peak as f64 / usable.max(1) as f64)
    }

    /// Returns the number of tokens that a generation is expected to add.
    pub(super) fn expected_remaining(&self, work: &Work, generated: u32) -> u32 {
        estimate_remaining(&self.lengths, work, generated)
    }

    /// Returns the cost of a request in fair queueing, in generated tokens. A prompt token costs an
    /// eighth of a generated one.
    pub(super) fn cost(&self, work: &Work) -> f64 {
        f64::from(self.expected_remaining(work, 0)) + f64::from(work.prompt_tokens) / 8.0
    }
}

/// Returns the number of tokens that a generation is expected to add, from the lengths of earlier
/// generations.
pub(super) fn estimate_remaining(lengths: &Estimator, work: &Work, generated: u32) -> u32 {
    lengths.expected_remaining(
        &work.route,
        &work.organisation,
        generated,
        PREDICTION_QUANTILE,
        work.expected_tokens,
    )
}
