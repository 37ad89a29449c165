//! Handing requests over to other instances.
//!
//! An instance that has no paths to the servers that a request needs passes the request to another
//! instance, as its caller sent it, unless it may have run. The other instance does not hand it on:
//! if it can't serve the request either, it refuses it, and the next one is tried.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use wire::InstanceId;
use wire::Name;
use wire::RequestId;
use wire::gossip::Entry;
use wire::gossip::State;

use crate::instance::Instance;
use crate::job::Phase;
use crate::job::Running;
use crate::lifecycle::NO_BUDGET_RETRY_AFTER;
use crate::lifecycle::UNREACHABLE_RETRY_AFTER;
use crate::message::Dispatch;
use crate::message::Event;
use crate::message::Output;
use crate::outcome::Reason;
use crate::settings::Source;

/// Number of servers of a service that are not reached from which on a request whose server is not
/// reached either is handed over.
const FAILING_FOR_HAND_OVER: usize = 2;
/// Number of attempts that do not reach their server after which a request is handed over.
const UNREACHABLE_BEFORE_HAND_OVER: u32 = 2;
/// Time for which nothing is handed over to an instance that did not serve a request.
const PEER_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of instances to which one request is handed over in turn.
const HAND_OVERS_MAX: u32 = 4;

/// What is known of the instances to which requests were handed over.
#[derive(Debug, Default)]
pub(crate) struct HandOvers {
    /// Instances that did not serve a request, with the end of their backoff.
    closed_peers: BTreeMap<InstanceId, Time>,
}

impl Instance {
    /// Returns the label of the servers that a job needs.
    fn label_for(&self, id: RequestId) -> Option<Name> {
        let job = self.jobs.get(&id)?;
        let pool = self.config().pools.get(&job.route.pool)?;
        Some(pool.label(&job.route.pool).into())
    }

    /// Returns whether a request whose server is not reached is handed over rather than tried again
    /// here.
    fn should_hand_over(&self, id: RequestId) -> bool {
        let job = &self.jobs[&id];
        let Some(label) = self.label_for(id) else {
            return false;
        };
        if self.reach.is_lost(&label) {
            return true;
        }
        // What was handed over can't be handed on, and the instance that did so may find no other one
        // that serves it. It is tried again here while these paths are sound.
        !job.request.handed_over
            && (self.failing_count(&label) >= FAILING_FOR_HAND_OVER
                || job.unreachable_attempts >= UNREACHABLE_BEFORE_HAND_OVER)
    }

    /// Hands a request over whose server was not reached, if the paths of this instance may be the
    /// reason. Returns false if it is to be tried again here.
    pub(crate) fn hand_over_unreachable(&mut self, id: RequestId) -> bool {
        self.should_hand_over(id) && self.hand_over(id)
    }

    /// Hands a request over to another instance if this one has no paths to the servers that the
    /// request needs. Returns false if the request is to be placed here.
    pub(crate) fn hand_over_if_cut_off(&mut self, id: RequestId) -> bool {
        let label = self.label_for(id);
        label.is_some_and(|label| self.reach.is_lost(&label)) && self.hand_over(id)
    }

    /// Hands a request that has not run over to another instance, or refuses it if there is none left
    /// to try. Returns false if there was none from the start.
    pub(crate) fn hand_over(&mut self, id: RequestId) -> bool {
        let job = &self.jobs[&id];
        if job.may_have_run() || self.settings.source != Source::External {
            return false;
        }
        if self.end_if_leaving(id) {
            return true;
        }
        let job = &self.jobs[&id];
        let is_exhausted = job.request.handed_over || job.hand_overs >= HAND_OVERS_MAX;
        let is_first = !job.request.handed_over && job.hand_overs == 0;
        let Some(peer) = self.choose_peer(id).filter(|_| !is_exhausted) else {
            if !is_first {
                self.end(id, Reason::NoServer, Some(UNREACHABLE_RETRY_AFTER));
            }
            return !is_first;
        };
        if !self.pay_for_retry(id, self.retry_weight(id)) {
            self.end(id, Reason::RetriesSpent, Some(NO_BUDGET_RETRY_AFTER));
            return true;
        }
        self.withdraw_all(id);
        let attempt = self.rng.u64(1..);
        let list = self.list_position();
        let Some(job) = self.jobs.get_mut(&id) else {
            return true;
        };
        job.hand_overs += 1;
        let text = format!(
            "Request {id} is handed over to {} in {} (hand-over {}, {} unreachable attempts).",
            peer.name, peer.data_centre, job.hand_overs, job.unreachable_attempts
        );
        job.record_arrival();
        job.record_dispatch();
        job.phase = Phase::Running(Running {
            attempt,
            server: peer.name.clone(),
            boot: 0,
            data_centre: peer.data_centre.clone(),
            software: Name::default(),
            dispatched_at: self.now,
            first_token: None,
            generated: job.delivered(),
            resumed: false,
            replica: None,
            peer: Some(peer.id),
        });
        let hard_deadline = job.hard_deadline;
        self.clear_timer(id);
        if let Some(hard_deadline) = hard_deadline {
            self.set_timer(id, hard_deadline);
        }
        self.attempt_requests.insert(attempt, id);
        self.log("hand_over", false, text);
        self.out.push(Output::Dispatch(Dispatch {
            request: id,
            attempt,
            server: peer.name,
            address: peer.callers,
            boot: 0,
            software: Name::default(),
            priority: 0,
            rerun: false,
            copy: None,
            resume_from: None,
            silence: None,
            list,
            hands_over: true,
            ends_at: self.attempts_end_at(),
        }));
        true
    }

    /// Handles an event that ends the attempt of a request which was handed over without an answer.
    /// Returns false for any other event, which is handled like that of a server.
    pub(crate) fn on_peer_event(&mut self, id: RequestId, event: &Event) -> bool {
        let Some(running) = self.jobs[&id].running().cloned() else {
            return false;
        };
        let Some(peer) = running.peer else {
            return false;
        };
        match event {
            Event::Refused | Event::Unreachable => {
                let text = format!(
                    "Request {id} was not run by {} ({event:?}), to which it was handed over.",
                    running.server
                );
                self.log("hand_over", false, text);
                self.attempt_requests.remove(&running.attempt);
                let until = self.now + PEER_BACKOFF;
                self.hand_overs.closed_peers.insert(peer, until);
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.record_not_run();
                    // Nor has it reached a server there.
                    job.record_no_arrival();
                }
                self.hand_over(id);
            }
            // Other instances would ask the same coordinators.
            Event::NoRoom { retry_after } => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.record_not_run();
                }
                self.end(id, Reason::Overloaded, Some(*retry_after));
            }
            // The other instance may have made all attempts that the route allows.
            Event::Lost { .. } => self.end(id, Reason::Lost, None),
            Event::Failed => self.end(id, Reason::ServerError, None),
            _ => return false,
        }
        true
    }

    /// Returns an instance that may serve a request in this one's place: one that is not known to have
    /// lost its paths, first of the own data centre, and of another one if one there did not serve the
    /// request or most of them have lost their paths.
    fn choose_peer(&mut self, id: RequestId) -> Option<Entry> {
        let now = self.now;
        self.hand_overs.closed_peers.retain(|_, until| *until > now);
        let label = self.label_for(id)?;
        let own = self.own_data_centre();
        let config = self.config();
        let region = |data_centre: &Name| {
            let found = config.data_centres.get(data_centre);
            found.map(|found| found.region.clone())
        };
        let own_region = region(&own);
        let alive: Vec<&Entry> = self
            .members
            .rumours()
            .filter(|rumour| rumour.state == State::Alive)
            .map(|rumour| &rumour.entry)
            .filter(|entry| entry.id != self.settings.entry.id)
            .filter(|entry| region(&entry.data_centre) == own_region)
            .collect();
        let is_near = |entry: &&&Entry| entry.data_centre == own;
        let is_sound = |entry: &&&Entry| {
            !self.hand_overs.closed_peers.contains_key(&entry.id)
                && !self.reach.is_lost_at(entry.id, &label)
        };
        let near: Vec<&Entry> = alive.iter().filter(is_near).copied().collect();
        let sound_near: Vec<&Entry> = near.iter().filter(is_sound).copied().collect();
        let far = alive.iter().filter(|entry| !is_near(entry));
        let sound_far: Vec<&Entry> = far.filter(is_sound).copied().collect();
        let is_first = self.jobs[&id].hand_overs == 0;
        let prefers_near = is_first && sound_near.len() * 2 > near.len();
        let preferred = match (sound_near.is_empty(), sound_far.is_empty()) {
            (true, true) => return None,
            (false, true) => sound_near,
            (true, false) => sound_far,
            (false, false) if prefers_near => sound_near,
            (false, false) => sound_far,
        };
        let index = self.rng.usize(..preferred.len());
        preferred.into_iter().nth(index).cloned()
    }
}
