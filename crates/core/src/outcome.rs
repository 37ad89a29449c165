//! Outcomes of requests, and the guarantee that a refused request was not run.

use std::time::Duration;

use wire::ledger::Answer;

use crate::job::Job;

/// The reason why a request was not served.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// The route does not exist, or the organisation may not use it.
    NoRoute,
    /// No place on a server was granted within the route's deadline.
    Overloaded,
    /// The organisation has reached its limit of concurrent requests.
    Limited,
    /// No backend server of the pool takes work.
    NoServer,
    /// The idempotency key can't be claimed because the store is unreachable.
    NoLedger,
    /// Another request with the same key is still running.
    KeyInUse,
    /// Another request with the same key ran, and its outcome is not known.
    KeyUnknown,
    /// The backend server lost the request, which may not be run again.
    Lost,
    /// The pool's retry budget is exhausted.
    RetriesSpent,
    /// The request was running on too many backend servers when they crashed.
    Barred,
    /// A part of the request's prompt crashes backend servers.
    PartBarred,
    /// The request continues a stream, and the software version that began it is not known.
    UnknownOrigin,
    /// The output of a new attempt differed from what was already delivered.
    Diverged,
    /// The caller disconnected.
    Cancelled,
    /// The backend server answered with an error.
    ServerError,
    /// The hard deadline that the caller or the route sets has passed.
    TimedOut,
    /// The instance stops before the answer is expected to end.
    Leaving,
}

impl Reason {
    /// Returns the reason as written in responses, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::NoRoute => "no-route",
            Reason::Overloaded => "overloaded",
            Reason::Limited => "organisation-limit",
            Reason::NoServer => "no-server",
            Reason::NoLedger => "ledger-unavailable",
            Reason::KeyInUse => "key-in-use",
            Reason::KeyUnknown => "key-unknown",
            Reason::Lost => "lost",
            Reason::RetriesSpent => "retries-spent",
            Reason::Barred => "barred",
            Reason::PartBarred => "part-barred",
            Reason::UnknownOrigin => "unknown-origin",
            Reason::Diverged => "diverged",
            Reason::Cancelled => "cancelled",
            Reason::ServerError => "server-error",
            Reason::TimedOut => "timed-out",
            Reason::Leaving => "leaving",
        }
    }
}

/// The refusal of a request that was not run.
///
/// The refusal of a job is only created by [`Outcome::of_unserved`], which checks the job's
/// attempts: if any of them may have run, the outcome is a failure instead.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    reason: Reason,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns why the request was refused.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns the time after which the caller should retry, if a retry makes sense.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Returns the refusal of a request for which no job was created.
    pub(crate) fn without_job(reason: Reason) -> Refusal {
        Refusal {
            reason,
            retry_after: None,
        }
    }
}

/// The failure of a request that may have run and whose answer is incomplete.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    /// Reason for the failure.
    pub reason: Reason,
    /// Output tokens that the caller has received.
    pub delivered: u32,
    /// Time after which the caller should retry, if a retry makes sense.
    pub retry_after: Option<Duration>,
}

/// The outcome of a request that did not end with its own complete answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The request was not run.
    Refused(Refusal),
    /// The request may have run.
    Failed(Failure),
    /// The recorded answer of an earlier request with the same idempotency key.
    Recorded(Answer),
}

impl Outcome {
    /// Returns the outcome of a job that is not served: a refusal if none of its attempts can have
    /// run, or else a failure.
    pub fn of_unserved(job: &Job, reason: Reason, retry_after: Option<Duration>) -> Outcome {
        if job.may_have_run() {
            Outcome::Failed(Failure {
                reason,
                delivered: job.delivered(),
                retry_after,
            })
        } else {
            Outcome::Refused(Refusal {
                reason,
                retry_after,
            })
        }
    }
}
