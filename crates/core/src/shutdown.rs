//! The end of an instance: which requests may still start, and when running work is answered.
//!
//! The decision is asked for each time an attempt is sent, since a request that could have ended in
//! time when it arrived may not do so after a wait or a retry.

use std::time::Duration;

use clock::Time;
use wire::RequestId;
use wire::admission::End;

use crate::durations::Estimate;
use crate::instance::Instance;
use crate::job::Job;
use crate::job::Phase;
use crate::outcome::Reason;

/// Time before the end of the grace period at which all requests are answered, so that the answers
/// reach their callers before the connections are closed.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Time before that at which servers are to end their own answers.
const SERVER_MARGIN: Duration = Duration::from_millis(100);
/// Time after [`Input::Leave`](crate::Input::Leave) from which no generation is started. By then the load balancer should
/// send all callers to other instances.
const LAST_GENERATION_START: Duration = Duration::from_millis(2_800);
/// Multiple of its estimated time that a call without a deadline must have.
const CALL_TIME_FACTOR: u32 = 2;
/// Retry-after of a request that is refused because this instance is about to stop. The load
/// balancer sends the caller's next connection to another instance.
const OTHER_INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(20);

/// A shutdown that has begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
    began_at: Time,
    /// When running work is cut off, or `None` if it never is.
    ends_at: Option<Time>,
}

/// What is known of an attempt that is to be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    /// A call of a plain service.
    Call {
        /// Its estimated time.
        time: Duration,
        /// When it ends at the latest, if there is a limit.
        deadline: Option<Time>,
    },
    /// A generation.
    Generation {
        /// Its estimated time.
        time: Duration,
    },
    /// The rest of a generation whose first part has been delivered. Nothing is gained by refusing it.
    Resumption,
}

impl Shutdown {
    /// Returns a shutdown that begins now. `grace` is the time until running work is cut off.
    pub fn new(now: Time, grace: Option<Duration>) -> Shutdown {
        Shutdown {
            began_at: now,
            ends_at: grace.map(|grace| now + grace),
        }
    }

    /// Returns when all requests are answered, whether or not they have ended, or `None` if running
    /// work is never cut off.
    pub fn answers_at(&self) -> Option<Time> {
        self.ends_at.map(|at| at.saturating_sub(ANSWER_MARGIN))
    }

    /// Returns the deadline of attempts that start during the shutdown.
    pub fn attempts_end_at(&self) -> Option<Time> {
        self.answers_at().map(|at| at.saturating_sub(SERVER_MARGIN))
    }

    /// Returns whether an attempt that starts now is expected to end in time.
    pub fn may_start(&self, now: Time, start: Start) -> bool {
        let Some(answers_at) = self.answers_at() else {
            return true;
        };
        if now >= answers_at {
            return false;
        }
        match start {
            Start::Call {
                deadline: Some(deadline),
                ..
            } => deadline <= answers_at,
            Start::Call { time, .. } => now + time * CALL_TIME_FACTOR <= answers_at,
            // Estimates are often wrong, and a late start leaves less time to absorb the error.
            Start::Generation { time } => {
                now <= self.began_at + LAST_GENERATION_START && now + time <= answers_at
            }
            Start::Resumption => true,
        }
    }
}

impl Instance {
    /// Begins the shutdown. Requests that wait and would not end in time are refused at once.
    pub(crate) fn on_leave(&mut self, grace: Option<Duration>) {
        if self.shutdown.is_some() {
            self.log("core", true, "Shutdown already in progress.".into());
            return;
        }
        self.shutdown = Some(Shutdown::new(self.now, grace));
        self.members.leave();
        let text = match grace {
            Some(grace) => format!(
                "Shutdown started: no new work for other instances, running work is answered in \
                 {} ms.",
                grace.saturating_sub(ANSWER_MARGIN).as_millis()
            ),
            None => "Shutdown started: no new work for other instances.".into(),
        };
        self.log("core", false, text);
        self.refresh_coordinators();
        for id in self.waiting_jobs() {
            self.end_if_leaving(id);
        }
    }

    /// Returns the ids of the jobs that have no running attempt and have not run.
    fn waiting_jobs(&self) -> Vec<RequestId> {
        let waits = |job: &&Job| job.running().is_none() && !job.may_have_run();
        let jobs = self.jobs.values().filter(waits);
        jobs.map(|job| job.request.id).collect()
    }

    /// Returns whether an attempt of a job that starts now is expected to end before this instance
    /// stops.
    pub(crate) fn may_start(&self, id: RequestId) -> bool {
        let (Some(shutdown), Some(job)) = (&self.shutdown, self.jobs.get(&id)) else {
            return true;
        };
        // Another instance chose this one before it knew of the shutdown, and can choose again.
        if job.request.handed_over && !job.may_have_run() {
            return false;
        }
        shutdown.may_start(self.now, self.start_of(job))
    }

    fn start_of(&self, job: &Job) -> Start {
        if job.resume_from.is_some() {
            return Start::Resumption;
        }
        match self.estimated_time(job) {
            Estimate::Call(time) => Start::Call {
                time,
                deadline: job.hard_deadline,
            },
            Estimate::Generation(time) => Start::Generation { time },
        }
    }

    /// Ends a job without a running attempt if one that starts now is not expected to end before this
    /// instance stops: another instance can answer the request whole. Returns whether the job needs
    /// no attempt.
    pub(crate) fn end_if_leaving(&mut self, id: RequestId) -> bool {
        // The request that a joining job waits for may have run.
        let joins = |job: &Job| matches!(job.phase, Phase::Joining { .. });
        if self.jobs.get(&id).is_none_or(joins) || self.may_start(id) {
            return false;
        }
        if !self.restore_silent(id) {
            self.end(id, Reason::Leaving, Some(OTHER_INSTANCE_RETRY_AFTER));
        }
        true
    }

    /// Returns when attempts that are dispatched now are to end, or `None` if nothing but the
    /// request's own deadline limits them.
    pub(crate) fn attempts_end_at(&self) -> Option<Time> {
        self.shutdown
            .and_then(|shutdown| shutdown.attempts_end_at())
    }

    /// Returns when all requests are answered, until that has been done.
    pub(crate) fn next_answers(&self) -> Option<Time> {
        let shutdown = self.shutdown.filter(|_| !self.jobs.is_empty())?;
        shutdown.answers_at()
    }

    /// Answers all requests once the time for it has come, also those that still run.
    pub(crate) fn tick_shutdown(&mut self) {
        if self.next_answers().is_none_or(|at| self.now < at) {
            return;
        }
        let ids: Vec<RequestId> = self.jobs.keys().copied().collect();
        self.log(
            "core",
            true,
            format!("Shutdown ends: {} open requests are answered.", ids.len()),
        );
        for id in ids {
            let reason = match self.jobs[&id].phase {
                Phase::Joining { .. } => Reason::KeyInUse,
                _ => Reason::Leaving,
            };
            self.stop_running(id, End::Cancelled);
            self.end(id, reason, Some(OTHER_INSTANCE_RETRY_AFTER));
        }
    }
}
