//! Permits to send requests to servers that limit their rate, in pools without a coordinator.
//!
//! The keeper of a server gives the permits. It is the same instance in equal views of the fleet, and
//! spaces the requests of all instances to the server.

use std::collections::BTreeMap;
use std::time::Duration;

use admit::pacer::Pacer;
use clock::Time;
use wire::Body;
use wire::BootId;
use wire::InstanceId;
use wire::Name;
use wire::RequestId;
use wire::limit::Permit;
use wire::limit::PermitRequest;
use wire::limit::Rate;
use wire::limit::hertz;

use crate::coordinator::millis;
use crate::instance::Instance;
use crate::job::PendingPermit;
use crate::job::Phase;
use crate::lifecycle::Dispatched;

/// Time that a keeper has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which no permit is asked for after a keeper has not answered.
const SILENT_KEEPER_BACKOFF: Duration = Duration::from_millis(500);
/// Time after which a permit is no longer used.
const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// Part of a route's objective that a request may wait for its turn at a limited server. Longer waits
/// serve no more requests, only all of them late.
const WAIT_SHARE: f64 = 0.5;
/// Shortest time for which no permit is asked for after one was denied.
const DENIED_BACKOFF_MIN: Duration = Duration::from_millis(10);
/// Longest time for which no permit is asked for after one was denied. The limit may end meanwhile.
const DENIED_BACKOFF_MAX: Duration = Duration::from_millis(1_000);

/// The permits that this instance gives as keeper, and when it may ask other keepers.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    /// The schedules of the servers that this instance keeps.
    pacers: BTreeMap<Name, (BootId, Pacer)>,
    /// When a permit may be asked for again, by server, or a request sent to one that is brittle.
    closed_until: BTreeMap<Name, Time>,
}

impl Permits {
    /// Returns when a permit for a server may be asked for again, or a request sent to it, or `None` if
    /// that is now.
    pub(crate) fn closed_until(&self, now: Time, server: &str) -> Option<Time> {
        let until = self.closed_until.get(server).copied();
        until.filter(|until| *until > now)
    }

    /// Closes a server for requests that need no coordinator.
    pub(crate) fn close(&mut self, server: &Name, until: Time) {
        let closed_until = self.closed_until.entry(server.clone()).or_default();
        *closed_until = until.max(*closed_until);
    }

    /// Forgets servers that are no longer listed.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&Name) -> bool) {
        self.closed_until.retain(|server, _| is_listed(server));
        self.pacers.retain(|server, _| is_listed(server));
    }
}

impl Instance {
    /// Asks for a permit for a job's attempt on a limited server, which may be one for a later time
    /// if the job may wait. The job is placed again when the answer arrives.
    pub(crate) fn request_permit(
        &mut self,
        id: RequestId,
        server: &Name,
        rate: Rate,
        may_wait: bool,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let objective = Duration::from_millis(job.route.objective.first_token_ms);
        let wait = match may_wait {
            true => objective
                .mul_f64(WAIT_SHARE)
                .min(job.deadline.saturating_sub(self.now)),
            false => Duration::ZERO,
        };
        let request = PermitRequest {
            attempt: self.rng.u64(1..),
            server: server.clone(),
            boot: self.servers.get(server).map_or(0, |listed| listed.boot),
            rate,
            wait_ms: millis(wait),
        };
        let pending = PendingPermit {
            attempt: request.attempt,
            server: server.clone(),
            asked_at: self.now,
            use_at: None,
        };
        if let Some(Phase::Placing(placement)) = self.jobs.get_mut(&id).map(|job| &mut job.phase) {
            placement.permit = Some(pending);
        }
        self.attempt_requests.insert(request.attempt, id);
        self.set_timer(id, self.now + ANSWER_TIMEOUT);
        match self.members.global_coordinator(server) {
            Some(keeper) if keeper == self.id() => {
                let permit = self.decide_permit(&request);
                self.on_permit(permit);
            }
            Some(keeper) => self.send(keeper, Body::RequestPermit(request)),
            None => {}
        }
    }

    /// Answers another instance's request for a permit, as keeper of the server.
    pub(crate) fn on_permit_request(&mut self, from: InstanceId, request: &PermitRequest) {
        let permit = self.decide_permit(request);
        self.send(from, Body::Permit(permit));
    }

    fn decide_permit(&mut self, request: &PermitRequest) -> Permit {
        let stated = self.rate_limit(&request.server);
        let rate = hertz(stated.map_or(request.rate, |rate| rate.min(request.rate)))
            * self.members.live_part(None);
        let now = self.now;
        let (boot, pacer) = self
            .permits
            .pacers
            .entry(request.server.clone())
            .or_insert_with(|| (request.boot, Pacer::new(now, rate)));
        if *boot != request.boot {
            (*boot, *pacer) = (request.boot, Pacer::new(now, rate));
        }
        pacer.set_rate(now, rate);
        let wait = pacer.wait(now);
        let wait_max = Duration::from_millis(u64::from(request.wait_ms));
        let is_given = wait <= wait_max;
        if is_given {
            pacer.take(now);
        }
        Permit {
            attempt: request.attempt,
            is_given,
            wait_ms: millis(wait.saturating_sub(if is_given { Duration::ZERO } else { wait_max })),
        }
    }

    /// Handles a keeper's answer: places the job again, now or when the permit may be used.
    pub(crate) fn on_permit(&mut self, permit: Permit) {
        let Some(id) = self.attempt_requests.remove(&permit.attempt) else {
            return;
        };
        let Some(Phase::Placing(placement)) = self.jobs.get_mut(&id).map(|job| &mut job.phase)
        else {
            return;
        };
        let is_asked = |pending: &&mut PendingPermit| pending.attempt == permit.attempt;
        let Some(pending) = placement.permit.as_mut().filter(is_asked) else {
            return;
        };
        let wait = Duration::from_millis(u64::from(permit.wait_ms));
        let due = self.now + wait;
        if permit.is_given {
            pending.use_at = Some(due);
            self.set_timer(id, due);
            return;
        }
        let server = pending.server.clone();
        placement.permit = None;
        let backoff = wait.clamp(DENIED_BACKOFF_MIN, DENIED_BACKOFF_MAX);
        let closed_until = self.now + backoff;
        self.permits.close(&server, closed_until);
        self.set_timer(id, self.now);
    }

    /// Returns whether a job waits for a permit, or for the time from which it may use one. A permit
    /// that may be used now is used.
    pub(crate) fn awaits_permit(&mut self, id: RequestId) -> bool {
        let Some(Phase::Placing(placement)) = self.jobs.get_mut(&id).map(|job| &mut job.phase)
        else {
            return false;
        };
        let Some(pending) = placement.permit.clone() else {
            return false;
        };
        match pending.use_at {
            Some(use_at) if self.now < use_at => {
                self.set_timer(id, use_at);
                true
            }
            Some(use_at) => {
                placement.permit = None;
                let is_usable = self.now < use_at + PERMIT_LIFETIME;
                self.use_permit(id, &pending.server, is_usable)
            }
            None if self.now < pending.asked_at + ANSWER_TIMEOUT => {
                self.set_timer(id, pending.asked_at + ANSWER_TIMEOUT);
                true
            }
            None => {
                placement.permit = None;
                self.attempt_requests.remove(&pending.attempt);
                let closed_until = self.now + SILENT_KEEPER_BACKOFF;
                let text = format!(
                    "The keeper of server {} did not answer request {id}.",
                    pending.server
                );
                self.log("limit", true, text);
                self.permits.close(&pending.server, closed_until);
                false
            }
        }
    }

    /// Dispatches a job to the server that its permit is for. Returns whether nothing more is to be done
    /// for it now.
    fn use_permit(&mut self, id: RequestId, server: &Name, is_usable: bool) -> bool {
        let listed = self.servers.get(server).cloned().filter(|_| is_usable);
        let Some(listed) = listed else {
            return false;
        };
        if !self.may_take_work(&listed.data_centre, server) {
            return false;
        }
        self.dispatch_to(id, &listed) != Dispatched::Refused
    }
}
