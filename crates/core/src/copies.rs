//! Copies of running generations' KV memory: ordering them, and resuming from them.

use std::time::Duration;

use conf::Name;
use route::retry::Weight;
use wire::AttemptId;
use wire::Body;
use wire::InstanceId;
use wire::RequestId;
use wire::admission::Endpoint;

use crate::instance::Instance;
use crate::job::Job;
use crate::job::Phase;
use crate::message::Output;
use crate::message::Replica;
use crate::outcome::Reason;
use crate::retries::Payment;

impl Instance {
    /// Passes the copies that a scheduler has chosen to the instances that run the attempts.
    pub(crate) fn order_copies(&mut self, copies: Vec<(InstanceId, AttemptId, Endpoint)>) {
        for (instance, attempt, endpoint) in copies {
            if instance == self.id() {
                self.on_keep_copy(attempt, endpoint);
            } else {
                self.send(instance, Body::KeepCopy { attempt, endpoint });
            }
        }
    }

    /// Orders a copy of a running attempt's memory to the endpoint that its coordinator has chosen.
    pub(crate) fn on_keep_copy(&mut self, attempt: AttemptId, endpoint: Endpoint) {
        let running = self.attempt_requests.get(&attempt).copied().filter(|id| {
            let running = self.jobs.get(id).and_then(Job::running);
            running.is_some_and(|running| running.attempt == attempt)
        });
        if let Some(request) = running {
            self.out.push(Output::Copy {
                request,
                attempt,
                endpoint,
            });
        }
    }

    /// Records that a copy of a running generation is complete.
    pub(crate) fn on_copied(&mut self, id: RequestId, replica: Replica) {
        if let Some(Phase::Running(running)) = self.jobs.get_mut(&id).map(|job| &mut job.phase) {
            running.replica = Some(replica);
        }
    }

    /// Reports to the coordinator that a copy could not be made.
    pub(crate) fn on_not_copied(&mut self, id: RequestId, attempt: AttemptId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let pool = job.route.pool.clone();
        let data_centre = job.running().map(|running| running.data_centre.clone());
        let coordinator =
            data_centre.and_then(|data_centre| self.members.coordinator(&data_centre, &pool));
        match coordinator {
            Some(coordinator) if coordinator == self.id() => self.on_copy_failed(attempt, &pool),
            Some(coordinator) => self.send(coordinator, Body::CopyFailed { attempt, pool }),
            None => {}
        }
    }

    /// Removes a copy that could not be made from the scheduler, as coordinator of its pool.
    pub(crate) fn on_copy_failed(&mut self, attempt: AttemptId, pool: &Name) {
        if let Some(scheduler) = self.coordinator.schedulers.get_mut(pool) {
            scheduler.record_replica_refused(self.now, attempt);
        }
    }

    /// Starts to resume a generation at the server that holds a copy of its memory. Returns whether
    /// there is such a server.
    pub(crate) fn resume_from_copy(&mut self, id: RequestId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        let Some(copy) = job.running().and_then(|running| running.replica.clone()) else {
            return false;
        };
        if !self.servers.contains_key(&copy.endpoint.server) {
            return false;
        }
        // A silent attempt goes on if the copy can't be used.
        let ended = job.running().filter(|_| job.silent.is_none());
        if let Some(attempt) = ended.map(|running| running.attempt) {
            self.attempt_requests.remove(&attempt);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        job.resume_from = Some(copy);
        // The placement deadline of the first attempt has usually passed by now.
        job.deadline = job.hard_deadline.unwrap_or(self.now + job.route.deadline());
        job.loans_asked = 0;
        self.resume(id);
        true
    }

    /// Reserves a place for a generation at the server of its copy, once the retry is paid for.
    pub(crate) fn resume(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = Phase::Waiting;
        job.trial_since = None;
        let server = job.resume_from.as_ref().map(|copy| &copy.endpoint.server);
        let listed = server.and_then(|server| self.servers.get(server));
        let data_centre = listed.map(|listed| listed.data_centre.clone());
        match (self.pay_or_borrow(id, Weight::Heavy), data_centre) {
            (Payment::Asked, _) => {}
            (Payment::Paid, Some(data_centre)) => self.reserve_at_copy(id, &data_centre),
            (Payment::Paid, None) | (Payment::Refused, _) => self.on_copy_unusable(id),
        }
    }

    /// Handles a generation that can't be resumed from its copy. If its own attempt is only silent,
    /// that one goes on. Otherwise the generation is run again where that is allowed, or ends.
    pub(crate) fn on_copy_unusable(&mut self, id: RequestId) {
        if self.restore_silent(id) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.resume_from = None;
        let may_rerun = job.route.rerun || job.delivered() == 0;
        if may_rerun && job.may_run_again() {
            self.wait_for_retry(id, Duration::ZERO);
        } else {
            self.end(id, Reason::Lost, None);
        }
    }
}
