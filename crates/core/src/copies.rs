//! Copies of running generations' memory: ordering them, and going on from them.

use conf::Name;
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

impl Instance {
    /// Has copies made, as a coordinator.
    pub(crate) fn order_copies(&mut self, copies: Vec<(InstanceId, AttemptId, Endpoint)>) {
        for (holder, attempt, endpoint) in copies {
            if holder == self.id() {
                self.on_copy_to(attempt, endpoint);
            } else {
                self.send(holder, Body::CopyTo { attempt, endpoint });
            }
        }
    }

    /// Has a running attempt's memory copied to the endpoint that its coordinator has chosen.
    pub(crate) fn on_copy_to(&mut self, attempt: AttemptId, endpoint: Endpoint) {
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

    pub(crate) fn on_copied(&mut self, id: RequestId, replica: Replica) {
        if let Some(Phase::Running(running)) = self.jobs.get_mut(&id).map(|job| &mut job.phase) {
            running.replica = Some(replica);
        }
    }

    pub(crate) fn on_not_copied(&mut self, id: RequestId, attempt: AttemptId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let pool = job.route.pool.clone();
        let data_centre = job.running().map(|running| running.data_centre.clone());
        let coordinator =
            data_centre.and_then(|data_centre| self.members.coordinator(&data_centre, &pool));
        match coordinator {
            Some(coordinator) if coordinator == self.id() => self.on_no_copy(attempt, &pool),
            Some(coordinator) => self.send(coordinator, Body::NoCopy { attempt, pool }),
            None => {}
        }
    }

    pub(crate) fn on_no_copy(&mut self, attempt: AttemptId, pool: &Name) {
        if let Some(scheduler) = self.coordinator.schedulers.get_mut(pool) {
            scheduler.forget_copy(self.now, attempt);
        }
    }

    /// Goes on with a generation at the server that keeps a copy of its memory. Returns whether there
    /// is one.
    pub(crate) fn resume_from_copy(&mut self, id: RequestId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        let Some(copy) = job.running().and_then(|running| running.replica.clone()) else {
            return false;
        };
        let data_centre = self
            .servers
            .get(&copy.endpoint.server)
            .map(|s| s.data_centre.clone());
        let Some(data_centre) = data_centre else {
            return false;
        };
        if let Some(attempt) = job.running().map(|running| running.attempt) {
            self.attempt_requests.remove(&attempt);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        job.resume_from = Some(copy);
        // The time in which it had to find its first place is long over.
        job.deadline = job.hard_deadline.unwrap_or(self.now + job.route.deadline());
        self.reserve_at_copy(id, &data_centre);
        true
    }
}
