//! Attempts whose server is silent.
//!
//! Silence does not tell a crash from a pause: a sound server may send nothing for a second or
//! longer and then go on, and an engine that preempts a generation does the same. An attempt that
//! is silent is therefore not given up. The instance tries to go on from the copy of the
//! generation's memory, and the silent attempt stays open until the server of the copy has begun to
//! answer. If its own server speaks first, or the other attempt is refused, it goes on as if nothing
//! had happened. Silence never counts as a crash of the server under the request.
//!
//! The silent server is asked to stop its run before the other one gets the request, and if the
//! copy is refused after that, the rest of the stream has to be sent back to it. An attempt is
//! therefore only replaced while its own server may be given work. Otherwise, above all if the
//! server is leaving, it stays there, and the copy is used when its connection ends.

use wire::RequestId;
use wire::admission::End;

use crate::instance::Instance;
use crate::job::Job;
use crate::job::Phase;
use crate::job::Running;
use crate::job::Silent;
use crate::message::Event;
use crate::message::Output;

impl Instance {
    /// Starts to go on from the copy of a silent attempt's memory, if there is one.
    pub(crate) fn on_silent(&mut self, id: RequestId, silence: u32) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(running) = job.running().cloned() else {
            return;
        };
        if job.silent.is_some() || running.replica.is_none() {
            return;
        }
        if !self.may_take_back(&running) {
            let text = format!(
                "Request {id} stays at its silent server {}, which may not be given work again.",
                running.server
            );
            self.log("silence", false, text);
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let text = format!(
            "Request {id}: server {} is silent, trying its copy.",
            running.server
        );
        job.silent = Some(Silent { running, silence });
        self.log("silence", false, text);
        if !self.resume_from_copy(id) {
            self.restore_silent(id);
        }
    }

    /// Returns whether the rest of an attempt may be sent to its own server after the run has been
    /// stopped there.
    fn may_take_back(&self, running: &Running) -> bool {
        self.boot_may_take_work(&running.data_centre, &running.server, running.boot)
    }

    /// Handles an event of a silent attempt while another attempt is tried in its place. Returns
    /// whether the event is to be handled like that of any running attempt.
    pub(crate) fn on_event_of_silent(&mut self, id: RequestId, event: &Event) -> bool {
        match event {
            Event::Recovered | Event::Complete { .. } => {
                self.resume_silent(id);
                true
            }
            Event::Progress { delivered, .. } => {
                self.record_delivered(id, *delivered);
                false
            }
            Event::Copied(replica) => {
                let silent = self.jobs.get_mut(&id).and_then(|job| job.silent.as_mut());
                if let Some(silent) = silent {
                    silent.running.replica = Some(replica.clone());
                }
                false
            }
            Event::Accepted
            | Event::FirstToken
            | Event::NotCopied
            | Event::Postponed { .. }
            | Event::Silent { .. } => false,
            Event::Lost { crashed, delivered } => {
                self.record_delivered(id, *delivered);
                self.on_silent_lost(id, *crashed);
                false
            }
            Event::Refused
            | Event::NoRoom { .. }
            | Event::Unreachable
            | Event::Failed
            | Event::Diverged { .. } => {
                self.drop_silent(id, End::Failed);
                false
            }
        }
    }

    /// Gives up a silent attempt, since the server of the attempt in its place has begun to answer.
    /// From here on both would run the request.
    pub(crate) fn replace_silent(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(silent) = job.silent.as_ref().map(|silent| silent.running.clone()) else {
            return;
        };
        job.avoid(&silent.server);
        let successor = job.running().map(|running| running.server.clone());
        let text = format!(
            "Request {id} goes on at server {} in place of {}, which was silent.",
            successor.unwrap_or_default(),
            silent.server
        );
        self.log("silence", true, text);
        self.health.record(self.now, &silent.server, false);
        self.drop_silent(id, End::Cancelled);
    }

    /// Lets a silent attempt go on, since the attempt in its place has failed or was not possible.
    /// Returns whether there is a silent attempt.
    pub(crate) fn restore_silent(&mut self, id: RequestId) -> bool {
        if self.jobs.get(&id).is_none_or(|job| job.silent.is_none()) {
            return false;
        }
        self.withdraw_all(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        let Some(Silent {
            running: silent, ..
        }) = job.silent.take()
        else {
            return false;
        };
        let replaced = job.running().map(|running| running.attempt);
        let attempt = silent.attempt;
        let was_tried = replaced.is_some_and(|replaced| replaced != attempt);
        // A copy is used up, or known to be missing, once an attempt has been sent there.
        let replica = silent.replica.clone().filter(|_| !was_tried);
        job.resume_from = None;
        job.phase = Phase::Running(Running { replica, ..silent });
        let hard_deadline = job.hard_deadline;
        self.log(
            "silence",
            false,
            format!("Request {id} stays at its silent server."),
        );
        self.clear_timer(id);
        if let Some(hard_deadline) = hard_deadline {
            self.set_timer(id, hard_deadline);
        }
        if let Some(replaced) = replaced.filter(|_| was_tried) {
            self.attempt_requests.remove(&replaced);
            self.on_not_copied(id, attempt);
        }
        true
    }

    /// Handles a silent attempt whose connection has ended. The attempt in its place goes on alone.
    fn on_silent_lost(&mut self, id: RequestId, crashed: bool) {
        let silent = self.jobs.get(&id).and_then(|job| job.silent.clone());
        let Some(Silent { running, .. }) = silent else {
            return;
        };
        self.health.record(self.now, &running.server, false);
        let end = if crashed {
            End::Crashed
        } else {
            End::Cancelled
        };
        self.drop_silent(id, end);
        self.record_lost_attempt(id, &running, crashed);
    }

    /// Cancels the attempt that is tried in place of a silent one, which has spoken again.
    fn resume_silent(&mut self, id: RequestId) {
        let running = self.jobs.get(&id).and_then(Job::running);
        if let Some(attempt) = running.map(|running| running.attempt) {
            self.out.push(Output::Cancel {
                request: id,
                attempt,
            });
            self.record_ended(id, End::Cancelled);
        }
        self.restore_silent(id);
    }

    /// Forgets a silent attempt and reports its end to the coordinator.
    pub(crate) fn drop_silent(&mut self, id: RequestId, end: End) {
        let silent = self.jobs.get_mut(&id).and_then(|job| job.silent.take());
        if let Some(Silent { running, .. }) = silent {
            self.attempt_requests.remove(&running.attempt);
            self.record_attempt_ended(id, &running, end);
        }
    }
}
