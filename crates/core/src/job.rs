//! One request.

use std::time::Duration;

use clock::Time;
use conf::Route;
use wire::AttemptId;
use wire::InstanceId;
use wire::Name;
use wire::admission::AVOID_MAX;
use wire::admission::Work;

use crate::message::Replica;
use crate::message::Request;

/// What a request is doing.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// Its idempotency key is being claimed.
    Claiming(Claiming),
    /// Another request with its key runs; it waits for that one's answer.
    Joining {
        /// The instance that runs the other one.
        owner: InstanceId,
        /// Whether that instance was not found alive the last time.
        owner_missing: bool,
        /// Times that the coordinator of the shard was asked without an answer.
        tries: u32,
    },
    /// It asks for a place.
    Placing(Placement),
    /// It waits before it asks again.
    Waiting,
    /// It runs.
    Running(Running),
}

/// A claim under way.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claiming {
    /// Times that the coordinator of the shard was asked.
    pub tries: u32,
}

/// A search for a place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Placement {
    /// The reservation that may wait.
    pub main: Option<PendingReservation>,
    /// A reservation elsewhere for a place at once, while the main one waits.
    pub spill: Option<PendingReservation>,
    /// Data centres that denied a place.
    pub tried: Vec<Name>,
    /// Longest wait that was named with a denial.
    pub retry_after: Duration,
    /// Why a place was last denied.
    pub denial: Option<wire::admission::Denial>,
}

/// A reservation that was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingReservation {
    /// The attempt that would use the place.
    pub attempt: AttemptId,
    /// Data centre of the coordinator.
    pub data_centre: Name,
    /// The coordinator.
    pub coordinator: InstanceId,
    /// When it was last sent.
    pub sent_at: Time,
    /// Times that it was sent without an answer.
    pub tries: u32,
    /// Whether the coordinator answered that it waits.
    pub queued: bool,
}

/// An attempt that was dispatched.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// The attempt.
    pub attempt: AttemptId,
    /// The backend server.
    pub server: Name,
    /// Its life.
    pub boot: u64,
    /// Its data centre.
    pub data_centre: Name,
    /// When it was dispatched.
    pub dispatched_at: Time,
    /// Time from dispatch to the first token.
    pub first_token: Option<Duration>,
    /// Tokens generated.
    pub generated: u32,
    /// Whether it goes on with an earlier attempt's generation.
    pub resumed: bool,
    /// Where a copy of its memory is kept.
    pub replica: Option<Replica>,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Job {
    /// What was asked for.
    pub request: Request,
    /// The route as it stood when the request came.
    pub route: Route,
    /// What it is doing.
    pub phase: Phase,
    /// When it came.
    pub arrived_at: Time,
    /// When it is given up unless it runs.
    pub deadline: Time,
    /// When it is given up even if it runs.
    pub hard_deadline: Option<Time>,
    /// When the phase next does something by itself.
    pub due: Time,
    /// Whether its key is claimed by it.
    pub claimed: bool,
    /// Whether its caller has gone while it must go on.
    pub orphaned: bool,
    /// Backend servers that failed it.
    pub avoid: Vec<Name>,
    /// Retries so far.
    pub retries: u32,
    /// Attempts that did not reach their server.
    pub unreachable_attempts: u32,
    /// Whether the last attempt did not reach its server.
    pub last_unreachable: bool,
    /// Attempts dispatched so far.
    pub attempts: u32,
    /// Where a copy of a lost generation's memory is kept, from which it is to go on.
    pub resume_from: Option<Replica>,
    /// Urgency of what it brings to a backend server, zero first.
    pub class: u8,
    possible_runs: u32,
    delivered: u32,
}

impl Job {
    /// Returns a job that has done nothing yet.
    pub fn new(now: Time, request: Request, route: Route) -> Job {
        let patience = [request.patience, route.timeout()];
        let hard_deadline = patience.into_iter().flatten().min().map(|time| now + time);
        let deadline = now + route.deadline();
        let class = route.rank.unwrap_or(route.class as u8);
        Job {
            deadline: hard_deadline.map_or(deadline, |hard_deadline| hard_deadline.min(deadline)),
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
            attempts: 0,
            resume_from: None,
            class,
            possible_runs: 0,
            delivered: 0,
        }
    }

    /// Returns whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs > 0
    }

    /// Returns how many tokens the caller has.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Returns whether another attempt may be dispatched.
    pub fn may_dispatch(&self) -> bool {
        self.route.idempotent || !self.may_have_run()
    }

    /// Returns whether a copy from which the generation is to go on is kept at a server.
    pub fn has_copy_at(&self, server: &str) -> bool {
        self.resume_from
            .as_ref()
            .is_some_and(|copy| copy.endpoint.server == server)
    }

    /// Takes the copy from which the generation goes on at a server, if there is one. It is used up.
    pub fn take_copy_at(&mut self, server: &str) -> Option<Replica> {
        self.resume_from
            .take_if(|copy| copy.endpoint.server == server)
    }

    /// Notes an attempt that goes on with the same run.
    pub fn record_resumed(&mut self) {
        self.attempts += 1;
    }

    /// Returns whether it may run on one more backend server.
    pub fn may_run_again(&self) -> bool {
        self.may_dispatch()
            && (self.route.attempts == 0 || self.possible_runs < self.route.attempts)
    }

    /// Notes that an attempt is dispatched: from here on it may have run.
    pub fn record_dispatch(&mut self) {
        self.attempts += 1;
        self.possible_runs += 1;
    }

    /// Notes that the last attempt is proved not to have run.
    pub fn record_not_run(&mut self) {
        self.possible_runs = self.possible_runs.saturating_sub(1);
    }

    /// Notes how many tokens the caller has.
    pub fn record_delivered(&mut self, delivered: u32) {
        self.delivered = self.delivered.max(delivered);
    }

    /// Notes a backend server that failed it.
    pub fn avoid(&mut self, server: &Name) {
        if self.avoid.contains(server) {
            return;
        }
        if self.avoid.len() >= AVOID_MAX {
            self.avoid.remove(0);
        }
        self.avoid.push(server.clone());
    }

    /// Returns the attempt that runs.
    pub fn running(&self) -> Option<&Running> {
        match &self.phase {
            Phase::Running(running) => Some(running),
            _ => None,
        }
    }

    /// Returns what the request brings to a backend server.
    pub fn work(&self, hint: u32) -> Work {
        Work {
            organisation: self.request.organisation.clone(),
            route: self.request.route.clone(),
            class: self.class,
            prompt: self.request.prompt,
            delivered: self.delivered,
            hint,
            prefixes: self.request.prefixes.clone(),
        }
    }

    /// Returns the word for tables.
    pub fn phase_name(&self) -> &'static str {
        match self.phase {
            Phase::Claiming(_) => "claiming",
            Phase::Joining { .. } => "joining",
            Phase::Placing(_) => "seeking",
            Phase::Waiting => "waiting",
            Phase::Running(_) => "running",
        }
    }
}
