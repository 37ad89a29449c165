//! A request that an instance has accepted, and its state.

use std::time::Duration;

use clock::Time;
use conf::Route;
use wire::AttemptId;
use wire::InstanceId;
use wire::Name;
use wire::admission::AVOID_MAX;
use wire::admission::Work;
use wire::origin::Origin;
use wire::server_list::Era;
use wire::server_list::Revision;

use crate::message::Replica;
use crate::message::Request;

/// The phase of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// The job waits for the record of evidence, which may bar it.
    Held,
    /// The job's idempotency key is being claimed.
    Claiming(Claiming),
    /// Another request with the same key is running, and the job waits for its answer.
    Joining {
        /// The instance that runs the other request.
        owner: InstanceId,
        /// Whether the owner was not running at the last check.
        owner_missing: bool,
        /// Claims sent to the shard's coordinator since its last answer.
        tries: u32,
    },
    /// The job continues a stream and waits for the stream's origin.
    Tracing(Tracing),
    /// The job is looking for a place on a server.
    Placing(Placement),
    /// The job waits before its next attempt.
    Waiting,
    /// An attempt has been dispatched.
    Running(Running),
}

/// A claim of an idempotency key that is not answered yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claiming {
    /// Times that the claim was sent.
    pub tries: u32,
}

/// The search for the origin of a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Tracing {
    /// Instances that were asked and have not answered.
    pub asked: Vec<InstanceId>,
    /// When the search began.
    pub started_at: Time,
    /// Era and revision of the list of backend servers as another instance has read it since the
    /// request arrived.
    pub list: Option<(Era, Revision)>,
}

/// The search for a place on a server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Placement {
    /// The reservation that the coordinator may queue.
    pub main: Option<PendingReservation>,
    /// A reservation in another data centre that is granted at once or denied. Made while the main
    /// reservation is queued.
    pub spill: Option<PendingReservation>,
    /// Data centres that denied the main reservation.
    pub tried: Vec<Name>,
    /// Longest retry time that came with a denial; zero if there was none.
    pub retry_after: Duration,
    /// The permit to send the attempt to a server that limits its requests.
    pub permit: Option<PendingPermit>,
    /// The denial to report to the caller: of those received, the first in the order of the enum.
    pub denial: Option<wire::admission::Denial>,
}

/// A reservation that was sent and is not granted or denied yet.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingReservation {
    /// The attempt that would use the place.
    pub attempt: AttemptId,
    /// The data centre of the coordinator.
    pub data_centre: Name,
    /// The instance to which the reservation was sent.
    pub coordinator: InstanceId,
    /// When the reservation was last sent.
    pub sent_at: Time,
    /// Times that the reservation was sent since the last answer.
    pub tries: u32,
    /// Whether the coordinator has queued the reservation.
    pub queued: bool,
}

/// A permit that was asked for and is not used yet.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingPermit {
    /// The attempt that would use the permit.
    pub attempt: AttemptId,
    /// Name of the server.
    pub server: Name,
    /// When the permit was asked for.
    pub asked_at: Time,
    /// When the permit may be used, or `None` until it is given.
    pub use_at: Option<Time>,
}

/// An attempt that was dispatched.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Name of the backend server.
    pub server: Name,
    /// Expected boot id of the server, or zero if not known.
    pub boot: u64,
    /// Data centre of the server.
    pub data_centre: Name,
    /// Version of the server's software; empty if it is not known.
    pub software: Name,
    /// When the attempt was dispatched.
    pub dispatched_at: Time,
    /// Time from dispatch to the first token, or `None` until that token arrives.
    pub first_token: Option<Duration>,
    /// Output tokens generated so far, including those of a resumed earlier attempt.
    pub generated: u32,
    /// Whether the attempt resumes the generation of an earlier one.
    pub resumed: bool,
    /// The copy of the generation's KV memory on another server, if there is one.
    pub replica: Option<Replica>,
    /// The instance to which the request was handed over, which is then named as the server. `None`
    /// if the attempt was sent to a server.
    pub peer: Option<InstanceId>,
}

/// An attempt whose server is silent, but whose connection is open.
#[derive(Clone, Debug, PartialEq)]
pub struct Silent {
    /// The attempt.
    pub running: Running,
    /// Number of the silence among those of the request.
    pub silence: u32,
}

/// A request that an instance has accepted, from its arrival to its end.
#[derive(Clone, Debug)]
pub struct Job {
    /// The caller's request.
    pub request: Request,
    /// The route as configured when the request arrived, with the pool that was chosen for it.
    pub route: Route,
    /// The current phase.
    pub phase: Phase,
    /// When the request arrived.
    pub arrived_at: Time,
    /// When the job ends unless an attempt is running. Set anew for each retry.
    pub deadline: Time,
    /// When the job ends even if an attempt is running, if the caller or the route set a limit.
    pub hard_deadline: Option<Time>,
    /// When the job's timer is due.
    pub due: Time,
    /// Whether the job has claimed its idempotency key.
    pub claimed: bool,
    /// Whether the caller has disconnected from a job that must run to its end.
    pub orphaned: bool,
    /// Backend servers that failed this request, oldest first; at most [`AVOID_MAX`].
    pub avoid: Vec<Name>,
    /// Retries so far that spent retry budget.
    pub retries: u32,
    /// Attempts whose server could not be reached.
    pub unreachable_attempts: u32,
    /// Whether the server of the last attempt could not be reached.
    pub last_unreachable: bool,
    /// Attempts that may have reached a server, including resumed ones.
    pub arrivals: u32,
    /// Whether the next attempt has been paid for from the retry budget.
    pub retry_paid: bool,
    /// Number of other instances that were asked to lend a retry for the next attempt.
    pub loans_asked: u32,
    /// When the last of them was asked, until it answers.
    pub loan_asked_at: Option<Time>,
    /// Number of other instances to which the request was handed over.
    pub hand_overs: u32,
    /// Attempts dispatched so far, including resumed ones.
    pub attempts: u32,
    /// When the request began to wait for the trial of a request like it.
    pub trial_since: Option<Time>,
    /// When the search for a place began.
    pub placing_since: Time,
    /// The copy of a lost generation's KV memory from which the next attempt resumes.
    pub resume_from: Option<Replica>,
    /// Where the job's stream began, or `None` before its first event.
    pub origin: Option<Origin>,
    /// The attempt whose server is silent, while another one is tried in its place.
    pub silent: Option<Silent>,
    /// Priority class for admission; zero is the most urgent.
    pub class: u8,
    /// Attempts that may have run, resumed ones not counted.
    possible_runs: u32,
    /// Output tokens that the caller has received.
    delivered: u32,
}

impl Job {
    /// Returns a new job that has not started anything yet.
    pub fn new(now: Time, request: Request, route: Route) -> Job {
        let timeouts = [request.timeout, route.timeout()];
        let hard_deadline = timeouts.into_iter().flatten().min().map(|time| now + time);
        let deadline = now + route.deadline();
        let class = route.rank.unwrap_or(route.class as u8);
        Job {
            deadline: hard_deadline.map_or(deadline, |at| at.min(deadline)),
            hard_deadline,
            request,
            route,
            phase: Phase::Waiting,
            arrived_at: now,
            due: now,
            claimed: false,
            orphaned: false,
            avoid: Vec::new(),
            retries: 0,
            unreachable_attempts: 0,
            last_unreachable: false,
            arrivals: 0,
            retry_paid: false,
            loans_asked: 0,
            loan_asked_at: None,
            hand_overs: 0,
            attempts: 0,
            trial_since: None,
            placing_since: now,
            resume_from: None,
            origin: None,
            silent: None,
            class,
            possible_runs: 0,
            delivered: 0,
        }
    }

    /// Returns whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs > 0
    }

    /// Returns whether the next attempt is the first to reach a server, or has been paid for.
    pub fn is_next_attempt_paid(&self) -> bool {
        self.arrivals == 0 || self.retry_paid
    }

    /// Records that an attempt is sent.
    pub fn record_arrival(&mut self) {
        self.arrivals += 1;
        self.retry_paid = false;
        self.loans_asked = 0;
    }

    /// Records that the last attempt was not sent. If it was a retry, the next one is paid for.
    pub fn record_no_arrival(&mut self) {
        self.arrivals = self.arrivals.saturating_sub(1);
        self.retry_paid = self.arrivals > 0;
    }

    /// Returns the number of output tokens that the caller has received.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Returns whether a new run may be dispatched: the route is idempotent, or no attempt can have
    /// run.
    pub fn may_dispatch(&self) -> bool {
        self.route.idempotent || !self.may_have_run()
    }

    /// Returns the software version that a server must have to run the job, if the job's stream has
    /// begun.
    pub fn required_software(&self) -> Option<&Name> {
        self.origin.as_ref().map(|origin| &origin.software)
    }

    /// Returns whether a server holds the copy from which the generation is to resume.
    pub fn has_copy_at(&self, server: &str) -> bool {
        self.resume_from
            .as_ref()
            .is_some_and(|copy| copy.endpoint.server == server)
    }

    /// Takes the copy from which the generation resumes, if the server holds it.
    pub fn take_copy_at(&mut self, server: &str) -> Option<Replica> {
        self.resume_from
            .take_if(|copy| copy.endpoint.server == server)
    }

    /// Records the dispatch of an attempt that resumes a run.
    pub fn record_resumed(&mut self) {
        self.attempts += 1;
    }

    /// Returns whether the request may run once more, within the route's limit on attempts.
    pub fn may_run_again(&self) -> bool {
        self.may_dispatch()
            && (self.route.attempts == 0 || self.possible_runs < self.route.attempts)
    }

    /// Records the dispatch of an attempt, which from now on may have run.
    pub fn record_dispatch(&mut self) {
        self.attempts += 1;
        self.possible_runs += 1;
    }

    /// Records proof that the last attempt did not run.
    pub fn record_not_run(&mut self) {
        self.possible_runs = self.possible_runs.saturating_sub(1);
    }

    /// Records how many output tokens the caller has received.
    pub fn record_delivered(&mut self, delivered: u32) {
        self.delivered = self.delivered.max(delivered);
    }

    /// Adds a backend server to those that the request avoids. The oldest is dropped from a full
    /// list.
    pub fn avoid(&mut self, server: &Name) {
        if self.avoid.contains(server) {
            return;
        }
        if self.avoid.len() >= AVOID_MAX {
            self.avoid.remove(0);
        }
        self.avoid.push(server.clone());
    }

    /// Returns the running attempt, if there is one.
    pub fn running(&self) -> Option<&Running> {
        match &self.phase {
            Phase::Running(running) => Some(running),
            _ => None,
        }
    }

    /// Returns the description of the request for its coordinator. `expected_tokens` is the
    /// expected length of the output.
    pub fn work(&self, expected_tokens: u32) -> Work {
        Work {
            organisation: self.request.organisation.clone(),
            route: self.request.route.clone(),
            class: self.class,
            prompt_tokens: self.request.prompt_tokens,
            delivered_tokens: self.delivered,
            expected_tokens,
            prefixes: self.request.prefixes.clone(),
        }
    }

    /// Returns the name of the phase, as shown to operators.
    pub fn phase_name(&self) -> &'static str {
        match self.phase {
            Phase::Held => "held",
            Phase::Claiming(_) => "claiming",
            Phase::Joining { .. } => "joining",
            Phase::Tracing(_) => "tracing",
            Phase::Placing(_) => "seeking",
            Phase::Waiting => "waiting",
            Phase::Running(_) => "running",
        }
    }
}
