//! The admission state machine that a coordinator runs for one pool of one data centre.

mod assignments;
mod limits;
mod occupancy;
mod replicas;
mod selection;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use clock::Time;
use conf::Pool;
use length::Estimator;
use route::prefix;
use wire::AttemptId;
use wire::BootId;
use wire::InstanceId;
use wire::Name;
use wire::admission::Denial;
use wire::admission::Endpoint;
use wire::admission::Grant;
use wire::admission::Report;
use wire::admission::Reservation;
use wire::admission::Work;
use wire::path::Load;

use self::assignments::Assignment;
use self::assignments::CANCELLED_RETENTION;
use self::occupancy::KeptOccupancies;
use self::occupancy::Occupancies;
use self::replicas::Original;
use self::replicas::REPLICA_MEMORY_SHARE_MAX;
use self::selection::GRANT_SPACING;
use crate::queue::Queue;
use crate::queue::QueuedReservation;
use crate::server::Listing;
use crate::server::Server;

/// Time after which a grant expires unless its holder has reported that the attempt runs.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(1_500);
/// Time after which the holder of an unconfirmed grant is asked for a report.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(350);
/// Time after which a queued reservation expires unless its holder repeats it.
pub const RESERVATION_LIFETIME: Duration = Duration::from_millis(2_500);
/// Time constant of the exponentially decayed service rate.
const SERVICE_RATE_WINDOW: Duration = Duration::from_secs(5);
/// Shortest delay that a denial asks the holder to wait before it retries.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(200);
/// Longest delay that a denial asks the holder to wait before it retries.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(10);
/// Maximum number of denied attempts kept, so that a repeated reservation is denied again.
const DENIED_MAX: usize = 1_024;

/// The coordinator's decision on a reservation.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The attempt may run on the server that the grant names.
    Grant(Grant),
    /// The reservation waits in the queue.
    Queued {
        /// Expected wait.
        wait: Duration,
    },
    /// The reservation is rejected.
    Deny {
        /// Reason for the rejection.
        denial: Denial,
        /// Delay after which the holder may try again.
        retry: Duration,
    },
}

/// Decision on one reservation, to be sent to its holder.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Instance that holds the attempt and receives the reply.
    pub holder: InstanceId,
    /// Attempt that the reply is about.
    pub attempt: AttemptId,
    /// Decision on the attempt's reservation.
    pub decision: Decision,
}

/// Weight and limit of one organisation within a scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Weight in fair queueing, relative to other organisations.
    pub weight: f64,
    /// Maximum number of attempts assigned at once. Zero means no limit.
    pub limit: u32,
}

/// Admission scheduler for one pool of one data centre.
#[derive(Debug)]
pub struct Scheduler {
    pool: Pool,
    servers: BTreeMap<Name, Server>,
    assignments: BTreeMap<AttemptId, Assignment>,
    queue: Queue,
    lengths: Estimator,
    prefixes: prefix::Index,
    quotas: BTreeMap<Name, Quota>,
    /// End of the time in which holders report the attempts that they already run.
    learning_until: Time,
    /// Whether this coordinator sees a majority of its data centre's instances.
    majority: bool,
    /// Holders thought dead, with the time at which each was first thought dead.
    dead_holders: BTreeMap<InstanceId, Time>,
    last_grant_at: BTreeMap<Name, Time>,
    /// Decayed rate of grants from the queue, per second, as of `service_rate_at`.
    service_rate: f64,
    service_rate_at: Time,
    denied: BTreeSet<AttemptId>,
    next_replica_check: Time,
    /// Servers that refused a replica, with the time until which they get none.
    replica_refused_until: BTreeMap<Name, Time>,
    /// The occupancies of the last grants, in a large pool.
    kept_occupancies: Option<KeptOccupancies>,
    rng: fastrand::Rng,
}

impl Scheduler {
    /// Returns an empty scheduler. For one [`GRANT_LIFETIME`] it grants on warm servers with a
    /// fresh report only, while holders report the attempts that they already run.
    pub fn new(now: Time, pool: Pool, seed: u64) -> Scheduler {
        Scheduler {
            pool,
            servers: BTreeMap::new(),
            assignments: BTreeMap::new(),
            queue: Queue::default(),
            lengths: Estimator::default(),
            prefixes: prefix::Index::default(),
            quotas: BTreeMap::new(),
            learning_until: now + GRANT_LIFETIME,
            majority: true,
            dead_holders: BTreeMap::new(),
            last_grant_at: BTreeMap::new(),
            service_rate: 0.0,
            service_rate_at: now,
            denied: BTreeSet::new(),
            next_replica_check: Time::ZERO,
            replica_refused_until: BTreeMap::new(),
            kept_occupancies: None,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Applies the pool's configuration and the platform's current list of its servers. Servers
    /// that are no longer listed are removed.
    pub fn configure(&mut self, now: Time, pool: &Pool, listings: &[Listing]) {
        self.pool = pool.clone();
        self.kept_occupancies = None;
        for listing in listings {
            let server = self
                .servers
                .entry(listing.name.clone())
                .or_insert_with(|| Server::new(now, listing.clone(), pool));
            server.update_listing(now, listing, pool);
        }
        let listed: BTreeSet<&Name> = listings.iter().map(|listing| &listing.name).collect();
        let is_listed = |name: &Name| listed.contains(name);
        let unlisted: Vec<Name> = self
            .servers
            .keys()
            .filter(|name| !is_listed(name))
            .cloned()
            .collect();
        for name in unlisted {
            self.servers.remove(&name);
            self.last_grant_at.remove(&name);
            self.replica_refused_until.remove(&name);
            self.prefixes.forget(&name);
        }
    }

    /// Sets whether this coordinator sees a majority of its data centre's instances.
    pub fn set_majority(&mut self, majority: bool) {
        self.majority = majority;
    }

    /// Returns all servers of the pool, for status reports.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns whether the pool contains a server.
    pub fn contains_server(&self, server: &str) -> bool {
        self.servers.contains_key(server)
    }

    /// Returns the number of attempts assigned to a server.
    pub fn assignment_count(&self, server: &str) -> usize {
        self.assignments
            .values()
            .filter(|assignment| assignment.server == server)
            .count()
    }

    /// Returns the server of an assigned attempt.
    pub fn server_of(&self, attempt: AttemptId) -> Option<&Name> {
        self.assignments
            .get(&attempt)
            .map(|assignment| &assignment.server)
    }

    /// Returns the number of queued reservations.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Handles a reservation. A repeated one gets the existing grant or denial again, or stays
    /// queued.
    pub fn reserve(
        &mut self,
        now: Time,
        holder: InstanceId,
        reservation: Reservation,
        quota: Quota,
    ) -> Vec<Reply> {
        let attempt = reservation.attempt;
        let organisation = reservation.work.organisation.clone();
        self.quotas.insert(organisation.clone(), quota);
        let answer = |decision| {
            vec![Reply {
                holder,
                attempt,
                decision,
            }]
        };
        if let Some(grant) = self.existing_grant(now, attempt) {
            return answer(Decision::Grant(grant));
        }
        if self.denied.contains(&attempt) {
            return answer(self.denial_decision(Denial::Full, RETRY_DELAY_MIN));
        }
        let rate_limited_wait = self.rate_limited_wait(now, &reservation);
        let expected = self.expected_wait(&reservation).max(rate_limited_wait);
        if self.queue.contains(attempt) {
            self.queue
                .refresh(attempt, now + RESERVATION_LIFETIME, reservation.suspect);
            return answer(Decision::Queued { wait: expected });
        }
        let max_wait = Duration::from_millis(u64::from(reservation.wait_ms));
        let waiting = QueuedReservation {
            holder,
            cost: self.cost(&reservation.work),
            weight: quota.weight,
            deadline: now + max_wait,
            repeat_by: now + RESERVATION_LIFETIME,
            reservation,
        };
        if let Some(server) = waiting.reservation.resume_server.clone() {
            let decision = match self.grant_on(now, &server, &waiting) {
                Some(grant) => Decision::Grant(grant),
                None => self.deny(attempt, Denial::NoServer, RETRY_DELAY_MIN),
            };
            return answer(decision);
        }
        if !self.has_server_for(now, &waiting.reservation) {
            return answer(self.deny(attempt, Denial::NoServer, RETRY_DELAY_MIN));
        }
        let may_skip_queue = self.queue.is_empty() || max_wait.is_zero();
        if may_skip_queue {
            let mut occupancies = self.take_occupancies(now);
            let grant = self.try_grant(now, &waiting, &mut occupancies.by_server);
            self.keep_occupancies(occupancies);
            if let Some(grant) = grant {
                return answer(Decision::Grant(grant));
            }
        }
        if max_wait.is_zero() {
            return answer(self.deny(attempt, self.denial_reason(now, &organisation), expected));
        }
        let may_wait = expected <= max_wait || self.has_free_place_for(now, &waiting.reservation);
        if !may_wait || !self.queue.push(waiting) {
            return answer(self.deny(attempt, self.denial_reason(now, &organisation), expected));
        }
        let replies = self.serve_queue(now);
        if replies.iter().any(|reply| reply.attempt == attempt) {
            return replies;
        }
        let mut all_replies = answer(Decision::Queued { wait: expected });
        all_replies.extend(replies);
        all_replies
    }

    /// Withdraws a reservation, or a grant that its holder has not confirmed, and serves the queue.
    pub fn withdraw(&mut self, now: Time, attempt: AttemptId) -> Vec<Reply> {
        self.queue.remove(attempt);
        if self
            .assignments
            .get(&attempt)
            .is_some_and(|assignment| !assignment.confirmed)
        {
            self.assignments.remove(&attempt);
        }
        self.serve_queue(now)
    }

    /// Empties the queue, so that the holders can be redirected to another coordinator.
    pub fn drain_queue(&mut self) -> Vec<(InstanceId, AttemptId)> {
        let waiting = self.queue.drain();
        waiting
            .into_iter()
            .map(|waiting| (waiting.holder, waiting.reservation.attempt))
            .collect()
    }

    /// Applies a holder's report. Returns `false` if it contains progress of an unknown attempt.
    pub fn apply_report(&mut self, now: Time, holder: InstanceId, report: &Report) -> bool {
        let mut known = true;
        for item in &report.items {
            known &= self.apply_item(now, holder, item);
        }
        if report.full {
            self.drop_unlisted(now, holder, report);
        }
        known
    }

    /// Applies a server's load report.
    pub fn record_load(&mut self, now: Time, name: &str, load: Load) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let restarted = server.record_load(now, load, &self.pool);
        if restarted {
            // Existing assignments stay counted until their holders report that they ended: some
            // may already have been dispatched to the restarted server.
            self.prefixes.forget(name);
        }
    }

    /// Records that a server did not answer a request for its load report.
    pub fn record_unreachable(&mut self, now: Time, name: &str) {
        if let Some(server) = self.servers.get_mut(name) {
            server.record_failure(now, true, &self.pool);
        }
    }

    /// Records that a server has crashed under a request.
    pub fn record_crash(&mut self, now: Time, name: &str) {
        if let Some(server) = self.servers.get_mut(name) {
            server.record_crash(now);
        }
    }

    /// Sets whether a server may have failed, which is being verified. It gets no grants meanwhile, but
    /// reservations wait for it.
    pub fn set_doubted(&mut self, name: &str, is_doubted: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            server.set_doubted(is_doubted);
        }
    }

    /// Applies prefix-cache events of a server, the first of which has number `first`.
    pub fn apply_cache_events(
        &mut self,
        name: &Name,
        boot: u64,
        first: u64,
        events: &[prefix::Event],
    ) {
        self.prefixes.events(name, boot, first, events);
    }

    /// Records that a server is about to shut down. Ignored if the server is known to have another
    /// boot id.
    pub fn record_leaving(&mut self, name: &str, boot: BootId) {
        let is_same_boot = |server: &&mut Server| server.boot() == boot || server.boot() == 0;
        if let Some(server) = self.servers.get_mut(name).filter(is_same_boot) {
            server.record_leaving();
        }
    }

    /// Sets the holders that are currently thought dead. A holder missing from the set counts as
    /// alive again.
    pub fn set_dead_holders(&mut self, now: Time, dead: &BTreeSet<InstanceId>) {
        self.dead_holders.retain(|holder, _| dead.contains(holder));
        for holder in dead {
            self.dead_holders.entry(*holder).or_insert(now);
        }
    }

    /// Expires grants and reservations, then serves the queue. Queued reservations that no open
    /// server may run are denied.
    pub fn tick(&mut self, now: Time) -> Vec<Reply> {
        self.expire_assignments(now);
        let mut replies = self.deny_unservable(now);
        replies.extend(self.deny_beyond_rate_limits(now));
        let expired = self.queue.expire(now);
        for waiting in expired {
            let retry = self.expected_wait(&waiting.reservation);
            replies.push(Reply {
                holder: waiting.holder,
                attempt: waiting.reservation.attempt,
                decision: self.deny(waiting.reservation.attempt, Denial::Full, retry),
            });
        }
        replies.extend(self.serve_queue(now));
        replies
    }

    /// Returns the holders of unconfirmed grants that should be asked for a report. The earlier
    /// report may have been lost, and a slot must not be granted again while it is in use.
    pub fn take_holders_to_query(&mut self, now: Time) -> BTreeSet<InstanceId> {
        let mut silent = BTreeSet::new();
        for assignment in self.assignments.values_mut() {
            let waited = now.saturating_sub(assignment.last_query_at);
            if !assignment.confirmed && waited >= CONFIRMATION_TIMEOUT {
                assignment.last_query_at = now;
                silent.insert(assignment.holder);
            }
        }
        silent
    }

    /// Returns when [`Scheduler::tick`] is next due.
    pub fn next_wake(&self) -> Option<Time> {
        let next_grant_deadline = self
            .assignments
            .values()
            .filter(|assignment| !assignment.confirmed)
            .map(|assignment| {
                (assignment.last_query_at + CONFIRMATION_TIMEOUT)
                    .min(assignment.granted_at + GRANT_LIFETIME)
            })
            .min();
        let next_cancelled_removal = self
            .assignments
            .values()
            .filter_map(|assignment| assignment.cancelled_at)
            .min()
            .map(|at| at + CANCELLED_RETENTION);
        let next_spacing_end = (!self.queue.is_empty())
            .then(|| self.last_grant_at.values().min())
            .flatten()
            .map(|last| *last + GRANT_SPACING);
        [
            next_grant_deadline,
            self.queue.next_expiry(),
            next_spacing_end,
            next_cancelled_removal,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Grants queued reservations in fair order until none of them fits on a server.
    pub fn serve_queue(&mut self, now: Time) -> Vec<Reply> {
        let mut replies = Vec::new();
        if self.queue.is_empty() || !self.has_grantable_server(now) {
            return replies;
        }
        let mut occupancies = self.take_occupancies(now);
        while !self.queue.is_empty() {
            let mut queue = std::mem::take(&mut self.queue);
            let mut grant = None;
            let served = queue.take_first(|waiting| {
                grant = self.try_grant(now, waiting, &mut occupancies.by_server);
                grant.is_some()
            });
            self.queue = queue;
            let (Some(waiting), Some(grant)) = (served, grant) else {
                break;
            };
            self.record_served(now);
            replies.push(Reply {
                holder: waiting.holder,
                attempt: waiting.reservation.attempt,
                decision: Decision::Grant(grant),
            });
        }
        self.keep_occupancies(occupancies);
        replies
    }

    /// Returns whether any open server may run a reservation.
    fn has_server_for(&self, now: Time, reservation: &Reservation) -> bool {
        self.open_servers_for(now, reservation).next().is_some()
    }

    /// Denies the queued reservations that no open server may run.
    fn deny_unservable(&mut self, now: Time) -> Vec<Reply> {
        let mut queue = std::mem::take(&mut self.queue);
        let unservable =
            queue.remove_where(|waiting| !self.has_server_for(now, &waiting.reservation));
        self.queue = queue;
        unservable
            .into_iter()
            .map(|waiting| Reply {
                holder: waiting.holder,
                attempt: waiting.reservation.attempt,
                decision: self.deny(
                    waiting.reservation.attempt,
                    Denial::NoServer,
                    RETRY_DELAY_MIN,
                ),
            })
            .collect()
    }

    /// Grants a reservation on the best server that has capacity, if any.
    fn try_grant(
        &mut self,
        now: Time,
        waiting: &QueuedReservation,
        occupancies: &mut Occupancies,
    ) -> Option<Grant> {
        let reservation = &waiting.reservation;
        if self.is_at_limit(&reservation.work.organisation) {
            return None;
        }
        let name = self.choose_server(now, reservation, occupancies)?;
        Some(self.assign(now, &name, waiting, occupancies))
    }

    /// Grants a reservation on the server that holds the generation's replica, if that server has the
    /// required software. Capacity is not checked, since the replica already occupies the memory.
    fn grant_on(&mut self, now: Time, name: &Name, waiting: &QueuedReservation) -> Option<Grant> {
        let server = self.servers.get(name)?;
        if server.listing.drained || !server.has_software(waiting.reservation.software.as_ref()) {
            return None;
        }
        if !server.may_resume(now) {
            return None;
        }
        let mut occupancies = self.take_occupancies(now);
        let grant = self.assign(now, name, waiting, &mut occupancies.by_server);
        self.keep_occupancies(occupancies);
        Some(grant)
    }

    /// Assigns an attempt to a server and returns the grant. The grant also names a replica server
    /// if [`Scheduler::choose_replica_server`] finds one.
    fn assign(
        &mut self,
        now: Time,
        name: &Name,
        waiting: &QueuedReservation,
        occupancies: &mut Occupancies,
    ) -> Grant {
        let reservation = &waiting.reservation;
        let remaining = self.expected_remaining(&reservation.work, 0);
        let server = &self.servers[name];
        let original = Original {
            server: name,
            software: server.software(),
            work: &reservation.work,
            length: remaining,
        };
        let replica = self.choose_replica_server(
            now,
            &original,
            &reservation.avoid,
            REPLICA_MEMORY_SHARE_MAX,
            occupancies,
        );
        let grant = Grant {
            attempt: reservation.attempt,
            server: name.clone(),
            address: server.listing.address,
            boot: server.boot(),
            priority: engine_priority(&reservation.work),
            age_ms: 0,
            replica: replica.as_ref().map(|replica| self.endpoint_of(replica)),
        };
        let assignment = Assignment {
            server: name.clone(),
            software: server.software().cloned(),
            holder: waiting.holder,
            work: reservation.work.clone(),
            replica,
            suspect: reservation.suspect,
            generated: 0,
            remaining,
            granted_at: now,
            confirmed: false,
            last_query_at: now,
            last_report_at: now,
            cancelled_at: None,
        };
        self.last_grant_at.insert(name.clone(), now);
        self.prefixes.add(name, &reservation.work.prefixes);
        self.add_assignment(now, occupancies, &assignment);
        self.assignments.insert(reservation.attempt, assignment);
        if let Some(server) = self.servers.get_mut(name) {
            server.record_grant(now);
        }
        grant
    }

    fn endpoint_of(&self, name: &Name) -> Endpoint {
        let server = &self.servers[name];
        Endpoint {
            server: name.clone(),
            address: server.listing.address,
            boot: server.boot(),
        }
    }

    fn is_at_limit(&self, organisation: &Name) -> bool {
        let limit = self.quotas.get(organisation).map_or(0, |quota| quota.limit);
        let count = || {
            self.assignments
                .values()
                .filter(|assignment| assignment.work.organisation == *organisation)
                .count()
        };
        limit > 0 && count() >= limit as usize
    }

    fn denial_reason(&self, now: Time, organisation: &Name) -> Denial {
        if self.is_at_limit(organisation) {
            Denial::Limited
        } else if now < self.learning_until {
            Denial::Learning
        } else {
            Denial::Full
        }
    }

    fn deny(&mut self, attempt: AttemptId, denial: Denial, retry: Duration) -> Decision {
        if self.denied.len() >= DENIED_MAX {
            self.denied.pop_first();
        }
        self.denied.insert(attempt);
        self.denial_decision(denial, retry)
    }

    fn denial_decision(&self, denial: Denial, retry: Duration) -> Decision {
        Decision::Deny {
            denial,
            retry: retry.clamp(RETRY_DELAY_MIN, RETRY_DELAY_MAX),
        }
    }

    /// Returns the expected wait of a reservation, from its queue position and the recent service
    /// rate.
    fn expected_wait(&self, reservation: &Reservation) -> Duration {
        let organisation = &reservation.work.organisation;
        let weight = self
            .quotas
            .get(organisation)
            .map_or(1.0, |quota| quota.weight);
        let software = reservation.software.as_ref();
        let ahead = self
            .queue
            .ahead(reservation.work.class, organisation, weight, software);
        if self.service_rate <= 0.0 || ahead == 0.0 {
            return Duration::ZERO;
        }
        let seconds = (ahead / self.service_rate).min(RETRY_DELAY_MAX.as_secs_f64() * 10.0);
        Duration::from_secs_f64(seconds)
    }

    /// Returns whether the servers of the software version that a reservation requires have places
    /// for it and for those queued before it. It then waits for [`selection::GRANT_SPACING`] only,
    /// which the rate of the whole queue does not show.
    fn has_free_place_for(&mut self, now: Time, reservation: &Reservation) -> bool {
        if reservation.software.is_none() {
            return false;
        }
        let occupancies = self.take_occupancies(now);
        let free: usize = self
            .open_servers_for(now, reservation)
            .map(|server| {
                let occupancy = &occupancies.by_server[&server.listing.name];
                let running = occupancy.count + self.untracked_requests(server, occupancy);
                (server.limit() as usize).saturating_sub(running)
            })
            .sum();
        self.keep_occupancies(occupancies);
        let requires_same =
            |waiting: &&QueuedReservation| waiting.reservation.software == reservation.software;
        self.queue.iter().filter(requires_same).count() < free
    }

    fn record_served(&mut self, now: Time) {
        self.decay_service_rate(now);
        self.service_rate += 1.0 / SERVICE_RATE_WINDOW.as_secs_f64();
    }

    fn decay_service_rate(&mut self, now: Time) {
        let passed = now.saturating_sub(self.service_rate_at).as_secs_f64();
        self.service_rate *= (-passed / SERVICE_RATE_WINDOW.as_secs_f64()).exp();
        self.service_rate_at = now;
    }

    fn existing_grant(&self, now: Time, attempt: AttemptId) -> Option<Grant> {
        let assignment = self
            .assignments
            .get(&attempt)
            .filter(|assignment| !assignment.confirmed)?;
        let server = self.servers.get(&assignment.server)?;
        let age = now.saturating_sub(assignment.granted_at).as_millis();
        Some(Grant {
            attempt,
            server: assignment.server.clone(),
            address: server.listing.address,
            boot: server.boot(),
            priority: engine_priority(&assignment.work),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            replica: assignment
                .replica
                .as_ref()
                .filter(|replica| self.servers.contains_key(*replica))
                .map(|replica| self.endpoint_of(replica)),
        })
    }
}

/// Returns the engine priority of a request; a greater value is preempted later. Earlier classes
/// have a higher priority. Within a class the priority rises with the tokens already delivered, so
/// that an engine short of memory preempts the generations whose callers have received least.
pub fn engine_priority(work: &Work) -> u8 {
    const STEP: u8 = 64;
    let class = STEP * 3 - STEP.saturating_mul(work.class.min(3));
    let doublings = u32::BITS - work.delivered_tokens.leading_zeros();
    class + (doublings as u8).min(STEP - 1)
}
