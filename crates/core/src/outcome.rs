//! How a request ends, and why a refusal is true.

use std::time::Duration;

use wire::ledger::Answer;

use crate::job::Job;

/// Why a request was not served.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// There is no such route, or the organisation may not use it.
    NoRoute,
    /// No place was found within the route's deadline.
    Overloaded,
    /// The organisation has all the places that it may have.
    Limited,
    /// No backend server may take work.
    NoServer,
    /// The store is out of reach, so the idempotency key can't be claimed.
    NoLedger,
    /// Another request with the same key is still running.
    KeyInUse,
    /// Another request with the same key ran, and nobody knows how it ended.
    KeyUnknown,
    /// The backend server lost it, and it may not be run again.
    Lost,
    /// It was tried as often as the retry budget allows.
    RetriesSpent,
    /// It crashed its backend servers.
    Barred,
    /// A second generation differed from what was delivered.
    Diverged,
    /// Its caller went away.
    Cancelled,
    /// The backend server answered that it failed.
    ServerError,
    /// The time that its caller or its route allows is over.
    TimedOut,
    /// The instance is about to stop, before its answer would end.
    Leaving,
}

impl Reason {
    /// Returns the word for machines.
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
            Reason::Diverged => "diverged",
            Reason::Cancelled => "cancelled",
            Reason::ServerError => "server-error",
            Reason::TimedOut => "timed-out",
            Reason::Leaving => "leaving",
        }
    }
}

/// A request that was not run.
///
/// There is one way to make a refusal, [`Outcome::of_unserved`], which looks at what the job has
/// done. A job of which any attempt may have run can't be refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    reason: Reason,
    retry: Option<Duration>,
}

impl Refusal {
    /// Returns why it was refused.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns when sending it again makes sense.
    pub fn retry(&self) -> Option<Duration> {
        self.retry
    }

    /// Returns a refusal of a request for which no job was made.
    pub(crate) fn without_job(reason: Reason) -> Refusal {
        Refusal {
            reason,
            retry: None,
        }
    }
}

/// A request that may have run, and whose answer is not whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    /// Why.
    pub reason: Reason,
    /// Tokens that the caller has.
    pub delivered: u32,
    /// When sending it again makes sense.
    pub retry: Option<Duration>,
}

/// How a request ended, other than by its own whole answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It was not run.
    Refused(Refusal),
    /// It may have run.
    Failed(Failure),
    /// An earlier request with the same key ran; this is its answer.
    Recorded(Answer),
}

impl Outcome {
    /// Returns the outcome of a job that is not served: a refusal if none of its attempts can have
    /// run, and a failure if one may have.
    pub fn of_unserved(job: &Job, reason: Reason, retry: Option<Duration>) -> Outcome {
        if job.may_have_run() {
            Outcome::Failed(Failure {
                reason,
                delivered: job.delivered(),
                retry,
            })
        } else {
            Outcome::Refused(Refusal { reason, retry })
        }
    }
}
