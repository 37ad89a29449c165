//! The state machine of a coordinator.

mod copies;
mod crowd;
mod placed;
mod room;
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

use self::copies::COPY_SHARE_MAX;
use self::crowd::Crowds;
use self::placed::GIVEN_UP_TIME;
use self::placed::Placed;
use self::room::GRANT_SPACING;
use crate::queue::Queue;
use crate::queue::Waiting;
use crate::server::Listing;
use crate::server::Load;
use crate::server::Server;

/// Time for which a grant that nobody has reported as used is kept.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(1_500);
/// Time after which the holder of a grant is asked what became of it.
const UNSURE_TIME: Duration = Duration::from_millis(350);
/// Time after which a queued reservation is forgotten unless it is repeated.
pub const RESERVATION_SILENCE: Duration = Duration::from_millis(2_500);
/// Time over which the rate of service is measured.
const RATE_TIME: Duration = Duration::from_secs(5);
/// Least and greatest time that a denied holder is told to wait.
const RETRY_MIN: Duration = Duration::from_millis(200);
/// Greatest time that a denied holder is told to wait.
const RETRY_MAX: Duration = Duration::from_secs(10);
/// Denied reservations that are remembered, so that a repeated one gets the same answer.
const DENIED_MAX: usize = 1_024;

/// The coordinator's answer to a reservation.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A place.
    Grant(Grant),
    /// It waits.
    Queued {
        /// Expected wait.
        wait: Duration,
    },
    /// No place.
    Deny {
        /// Why.
        denial: Denial,
        /// When asking again makes sense.
        retry: Duration,
    },
}

/// An answer to be sent to a holder.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The holder.
    pub holder: InstanceId,
    /// Its attempt.
    pub attempt: AttemptId,
    /// The answer.
    pub decision: Decision,
}

/// What an organisation may have of a scheduler's places.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Its weight against the others.
    pub weight: f64,
    /// Most requests running at once. Zero means no limit.
    pub limit: u32,
}

/// One pool in one data centre, as its coordinator sees it.
#[derive(Debug)]
pub struct Scheduler {
    pool: Pool,
    servers: BTreeMap<Name, Server>,
    placed: BTreeMap<AttemptId, Placed>,
    queue: Queue,
    lengths: Estimator,
    prefixes: prefix::Index,
    shares: BTreeMap<Name, Share>,
    learning_until: Time,
    majority: bool,
    gone: BTreeMap<InstanceId, Time>,
    last_grants: BTreeMap<Name, Time>,
    served_rate: f64,
    rate_at: Time,
    denied: BTreeSet<AttemptId>,
    next_renewal: Time,
    no_room: BTreeMap<Name, Time>,
    rng: fastrand::Rng,
}

impl Scheduler {
    /// Returns a scheduler that knows nothing yet and learns for one grant's lifetime.
    pub fn new(now: Time, pool: Pool, seed: u64) -> Scheduler {
        Scheduler {
            pool,
            servers: BTreeMap::new(),
            placed: BTreeMap::new(),
            queue: Queue::default(),
            lengths: Estimator::default(),
            prefixes: prefix::Index::default(),
            shares: BTreeMap::new(),
            learning_until: now + GRANT_LIFETIME,
            majority: true,
            gone: BTreeMap::new(),
            last_grants: BTreeMap::new(),
            served_rate: 0.0,
            rate_at: now,
            denied: BTreeSet::new(),
            next_renewal: Time::ZERO,
            no_room: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Takes the pool's configuration and its servers as the platform lists them.
    pub fn configure(&mut self, now: Time, pool: &Pool, listings: &[Listing]) {
        self.pool = pool.clone();
        for listing in listings {
            let server = self
                .servers
                .entry(listing.name.clone())
                .or_insert_with(|| Server::new(now, listing.clone(), pool));
            server.list(now, listing, pool);
        }
        let listed = |name: &Name| listings.iter().any(|listing| listing.name == *name);
        let gone: Vec<Name> = self
            .servers
            .keys()
            .filter(|n| !listed(n))
            .cloned()
            .collect();
        for name in gone {
            self.servers.remove(&name);
            self.last_grants.remove(&name);
            self.no_room.remove(&name);
            self.prefixes.forget(&name);
        }
    }

    /// Says whether this coordinator sees most of its data centre's instances.
    pub fn set_majority(&mut self, majority: bool) {
        self.majority = majority;
    }

    /// Returns the servers, for reports.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns whether a server belongs to the pool.
    pub fn has(&self, server: &str) -> bool {
        self.servers.contains_key(server)
    }

    /// Returns how many attempts have a place on a server.
    pub fn count(&self, server: &str) -> usize {
        self.placed.values().filter(|p| p.server == server).count()
    }

    /// Returns how many reservations wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes a reservation, or a repetition of one.
    pub fn reserve(
        &mut self,
        now: Time,
        holder: InstanceId,
        reservation: Reservation,
        share: Share,
    ) -> Vec<Reply> {
        let attempt = reservation.attempt;
        let organisation = reservation.work.organisation.clone();
        self.shares.insert(organisation.clone(), share);
        let answer = |decision| {
            vec![Reply {
                holder,
                attempt,
                decision,
            }]
        };
        if let Some(grant) = self.repeat_grant(now, attempt) {
            return answer(Decision::Grant(grant));
        }
        if self.denied.contains(&attempt) {
            return answer(self.denial(Denial::Full, RETRY_MIN));
        }
        let expected = self.expected_wait(&reservation);
        if self.queue.contains(attempt) {
            self.queue.refresh(attempt, now + RESERVATION_SILENCE);
            return answer(Decision::Queued { wait: expected });
        }
        if !self.servers.values().any(|server| server.is_open(now)) {
            let retry = RETRY_MIN;
            return answer(self.deny(attempt, Denial::NoServer, retry));
        }
        let patience = Duration::from_millis(u64::from(reservation.wait_ms));
        let waiting = Waiting {
            holder,
            cost: self.cost(&reservation.work),
            weight: share.weight,
            deadline: now + patience,
            silent_until: now + RESERVATION_SILENCE,
            reservation,
        };
        if let Some(server) = waiting.reservation.at.clone() {
            let decision = match self.place_at(now, &server, &waiting) {
                Some(grant) => Decision::Grant(grant),
                None => self.deny(attempt, Denial::NoServer, RETRY_MIN),
            };
            return answer(decision);
        }
        let at_once = self.queue.is_empty() || patience.is_zero();
        if at_once && let Some(grant) = self.place(now, &waiting, &mut self.crowds(now)) {
            return answer(Decision::Grant(grant));
        }
        if patience.is_zero() {
            return answer(self.deny(attempt, self.reason(now, &organisation), expected));
        }
        if expected > patience || !self.queue.push(waiting) {
            return answer(self.deny(attempt, self.reason(now, &organisation), expected));
        }
        let replies = self.serve(now);
        if replies.iter().any(|reply| reply.attempt == attempt) {
            return replies;
        }
        let mut all = answer(Decision::Queued { wait: expected });
        all.extend(replies);
        all
    }

    /// Takes a reservation back, or a grant that was not used.
    pub fn withdraw(&mut self, now: Time, attempt: AttemptId) -> Vec<Reply> {
        self.queue.remove(attempt);
        if self
            .placed
            .get(&attempt)
            .is_some_and(|placed| !placed.confirmed)
        {
            self.placed.remove(&attempt);
        }
        self.serve(now)
    }

    /// Takes out all reservations that wait, for another coordinator.
    pub fn take_waiting(&mut self) -> Vec<(InstanceId, AttemptId)> {
        let waiting = self.queue.drain();
        waiting
            .into_iter()
            .map(|one| (one.holder, one.reservation.attempt))
            .collect()
    }

    /// Takes a holder's report. Returns whether all attempts in it are known.
    pub fn report(&mut self, now: Time, holder: InstanceId, report: &Report) -> bool {
        let mut known = true;
        for item in &report.items {
            known &= self.take_item(now, holder, item);
        }
        if report.full {
            self.drop_unlisted(now, holder, report);
        }
        known
    }

    /// Takes a server's report.
    pub fn load(&mut self, now: Time, name: &str, load: Load) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let reborn = server.report(now, load, &self.pool);
        if reborn {
            // What was placed stays counted until its holders say that it ended: some of it may
            // have been dispatched to the new life already.
            self.prefixes.forget(name);
        }
    }

    /// Notes that a server did not answer when it was asked for its report.
    pub fn unreachable(&mut self, now: Time, name: &str) {
        if let Some(server) = self.servers.get_mut(name) {
            server.fail(now, true, &self.pool);
        }
    }

    /// Takes a server's cache events.
    pub fn cache(&mut self, name: &Name, boot: u64, first: u64, events: &[prefix::Event]) {
        self.prefixes.events(name, boot, first, events);
    }

    /// Notes that one life of a server is about to go.
    pub fn leaving(&mut self, name: &str, boot: BootId) {
        let is_it = |server: &&mut Server| server.boot() == boot || server.boot() == 0;
        if let Some(server) = self.servers.get_mut(name).filter(is_it) {
            server.leave();
        }
    }

    /// Takes all holders that are thought dead now. One that is no longer among them was alive.
    pub fn set_dead(&mut self, now: Time, dead: &BTreeSet<InstanceId>) {
        self.gone.retain(|holder, _| dead.contains(holder));
        for holder in dead {
            self.gone.entry(*holder).or_insert(now);
        }
    }

    /// Lets grants and reservations expire and serves who waits.
    pub fn tick(&mut self, now: Time) -> Vec<Reply> {
        self.expire_grants(now);
        let mut replies: Vec<Reply> = Vec::new();
        if !self.servers.values().any(|server| server.is_open(now)) {
            replies.extend(self.turn_away());
        }
        let late = self.queue.expire(now);
        for waiting in late {
            let retry = self.expected_wait(&waiting.reservation);
            replies.push(Reply {
                holder: waiting.holder,
                attempt: waiting.reservation.attempt,
                decision: self.deny(waiting.reservation.attempt, Denial::Full, retry),
            });
        }
        replies.extend(self.serve(now));
        replies
    }

    /// Returns the holders that have not said what became of a grant, and should be asked. A report
    /// may have been lost, and a place must not be given away while it is in use.
    pub fn silent_holders(&mut self, now: Time) -> BTreeSet<InstanceId> {
        let mut silent = BTreeSet::new();
        for placed in self.placed.values_mut() {
            let waited = now.saturating_sub(placed.asked_after);
            if !placed.confirmed && waited >= UNSURE_TIME {
                placed.asked_after = now;
                silent.insert(placed.holder);
            }
        }
        silent
    }

    /// Returns when [`Scheduler::tick`] is next due.
    pub fn next_wake(&self) -> Option<Time> {
        let grants = self
            .placed
            .values()
            .filter(|placed| !placed.confirmed)
            .map(|placed| (placed.asked_after + UNSURE_TIME).min(placed.since + GRANT_LIFETIME))
            .min();
        let given_up = self
            .placed
            .values()
            .filter_map(|placed| placed.given_up)
            .min()
            .map(|at| at + GIVEN_UP_TIME);
        let spaced = (!self.queue.is_empty())
            .then(|| self.last_grants.values().min())
            .flatten()
            .map(|last| *last + GRANT_SPACING);
        [grants, self.queue.next_expiry(), spaced, given_up]
            .into_iter()
            .flatten()
            .min()
    }

    /// Grants places to who waits, in turn, until nobody who waits can be placed.
    pub fn serve(&mut self, now: Time) -> Vec<Reply> {
        let mut replies = Vec::new();
        if self.queue.is_empty() || !self.may_place(now) {
            return replies;
        }
        let mut crowds = self.crowds(now);
        while !self.queue.is_empty() {
            let mut queue = std::mem::take(&mut self.queue);
            let mut grant = None;
            let served = queue.take_first(|waiting| {
                grant = self.place(now, waiting, &mut crowds);
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
        replies
    }

    /// Denies all who wait: there is no server left that may take work.
    fn turn_away(&mut self) -> Vec<Reply> {
        let waiting = self.queue.drain();
        waiting
            .into_iter()
            .map(|one| Reply {
                holder: one.holder,
                attempt: one.reservation.attempt,
                decision: self.deny(one.reservation.attempt, Denial::NoServer, RETRY_MIN),
            })
            .collect()
    }

    /// Gives a reservation a place, if there is one.
    fn place(&mut self, now: Time, waiting: &Waiting, crowds: &mut Crowds) -> Option<Grant> {
        let reservation = &waiting.reservation;
        if self.is_limited(&reservation.work.organisation) {
            return None;
        }
        let name = self.choose(now, reservation, crowds)?;
        Some(self.put(now, &name, waiting, crowds))
    }

    /// Gives a generation the place where a copy of its memory is kept: the room is taken already.
    fn place_at(&mut self, now: Time, name: &Name, waiting: &Waiting) -> Option<Grant> {
        let server = self.servers.get(name)?;
        if server.listing.drained {
            return None;
        }
        Some(self.put(now, name, waiting, &mut self.crowds(now)))
    }

    fn put(&mut self, now: Time, name: &Name, waiting: &Waiting, crowds: &mut Crowds) -> Grant {
        let reservation = &waiting.reservation;
        let rest = self.rest_of(&reservation.work, 0);
        let original = (name, &reservation.work, rest);
        let copy = self.choose_copy(now, original, &reservation.avoid, COPY_SHARE_MAX, crowds);
        let server = &self.servers[name];
        let grant = Grant {
            attempt: reservation.attempt,
            server: name.clone(),
            address: server.listing.address,
            boot: server.boot(),
            priority: priority(&reservation.work),
            age_ms: 0,
            copy: copy.as_ref().map(|copy| self.endpoint_of(copy)),
        };
        let placed = Placed {
            server: name.clone(),
            holder: waiting.holder,
            work: reservation.work.clone(),
            copy,
            suspect: reservation.suspect,
            generated: 0,
            rest,
            since: now,
            confirmed: false,
            asked_after: now,
            heard: now,
            given_up: None,
        };
        self.last_grants.insert(name.clone(), now);
        self.prefixes.add(name, &reservation.work.prefixes);
        self.join(now, crowds, &placed);
        self.placed.insert(reservation.attempt, placed);
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

    fn is_limited(&self, organisation: &Name) -> bool {
        let limit = self.shares.get(organisation).map_or(0, |share| share.limit);
        let count = || {
            self.placed
                .values()
                .filter(|p| p.work.organisation == *organisation)
                .count()
        };
        limit > 0 && count() >= limit as usize
    }

    fn reason(&self, now: Time, organisation: &Name) -> Denial {
        if self.is_limited(organisation) {
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
        self.denial(denial, retry)
    }

    fn denial(&self, denial: Denial, retry: Duration) -> Decision {
        Decision::Deny {
            denial,
            retry: retry.clamp(RETRY_MIN, RETRY_MAX),
        }
    }

    /// Returns the expected wait of a reservation, by the rate at which others were served lately.
    fn expected_wait(&self, reservation: &Reservation) -> Duration {
        let organisation = &reservation.work.organisation;
        let weight = self
            .shares
            .get(organisation)
            .map_or(1.0, |share| share.weight);
        let ahead = self
            .queue
            .ahead(reservation.work.class, organisation, weight);
        if self.served_rate <= 0.0 || ahead == 0.0 {
            return Duration::ZERO;
        }
        let seconds = (ahead / self.served_rate).min(RETRY_MAX.as_secs_f64() * 10.0);
        Duration::from_secs_f64(seconds)
    }

    fn record_served(&mut self, now: Time) {
        self.decay_rate(now);
        self.served_rate += 1.0 / RATE_TIME.as_secs_f64();
    }

    fn decay_rate(&mut self, now: Time) {
        let passed = now.saturating_sub(self.rate_at).as_secs_f64();
        self.served_rate *= (-passed / RATE_TIME.as_secs_f64()).exp();
        self.rate_at = now;
    }

    fn repeat_grant(&self, now: Time, attempt: AttemptId) -> Option<Grant> {
        let placed = self
            .placed
            .get(&attempt)
            .filter(|placed| !placed.confirmed)?;
        let server = self.servers.get(&placed.server)?;
        let age = now.saturating_sub(placed.since).as_millis();
        Some(Grant {
            attempt,
            server: placed.server.clone(),
            address: server.listing.address,
            boot: server.boot(),
            priority: priority(&placed.work),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            copy: placed
                .copy
                .as_ref()
                .filter(|copy| self.servers.contains_key(*copy))
                .map(|copy| self.endpoint_of(copy)),
        })
    }
}

/// Returns the engine priority of a piece of work: by class, and within a class the greater the
/// more tokens its caller already has, so that an engine under pressure preempts what hurts least.
pub fn priority(work: &Work) -> u8 {
    const STEP: u8 = 64;
    let class = STEP * 3 - STEP.saturating_mul(work.class.min(3));
    let doublings = u32::BITS - work.delivered.leading_zeros();
    class + (doublings as u8).min(STEP - 1)
}
