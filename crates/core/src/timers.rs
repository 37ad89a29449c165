//! The timers of jobs.
//!
//! Each job has one timer, unless an attempt is running that nothing limits. A job without one would
//! never be looked at again.

use std::time::Duration;

use clock::Time;
use wire::RequestId;

use crate::instance::Instance;
use crate::instance::Violation;
use crate::job::Job;
use crate::job::Phase;

/// Time between two searches for jobs without a timer in service.
const SEARCH_PERIOD: Duration = Duration::from_secs(1);

impl Instance {
    /// Sets a job's timer, no later than its placement deadline while it has no running attempt.
    pub(crate) fn set_timer(&mut self, id: RequestId, due: Time) {
        if let Some(job) = self.jobs.get_mut(&id) {
            self.timers.remove(&(job.due, id));
            let end = match job.phase {
                Phase::Running(_) => due,
                _ => job.deadline,
            };
            job.due = due.min(end.max(self.now));
            self.timers.insert((job.due, id));
        }
    }

    /// Removes a job's timer.
    pub(crate) fn clear_timer(&mut self, id: RequestId) {
        if let Some(job) = self.jobs.get(&id) {
            self.timers.remove(&(job.due, id));
        }
    }

    /// Handles all job timers that are due.
    pub(crate) fn tick_jobs(&mut self) {
        while let Some((due, id)) = self.timers.first().copied() {
            if due > self.now {
                break;
            }
            self.timers.pop_first();
            self.on_timer(id);
        }
    }

    /// Checks that no job lacks its timer: after each input if the settings are strict, or else now and
    /// then. A job that lacks it is given one.
    pub(crate) fn check_timers(&mut self) {
        if !self.settings.strict && self.now < self.next_timer_search {
            return;
        }
        self.next_timer_search = self.now + SEARCH_PERIOD;
        let lacking: Vec<RequestId> = self
            .jobs
            .values()
            .filter(|job| !self.has_timer(job))
            .map(|job| job.request.id)
            .collect();
        for id in lacking {
            let job = &self.jobs[&id];
            let due = match job.phase {
                Phase::Running(_) => job.hard_deadline.unwrap_or(self.now),
                _ => self.now,
            };
            let text = format!("Request {id} ({}) has no timer.", job.phase_name());
            self.log("core", true, text);
            self.check_invariant(false, Violation::MissingTimer);
            self.set_timer(id, due);
        }
    }

    /// Returns whether a job has a timer or needs none.
    fn has_timer(&self, job: &Job) -> bool {
        let is_unlimited = job.running().is_some() && job.hard_deadline.is_none();
        is_unlimited || self.timers.contains(&(job.due, job.request.id))
    }
}
