//! The state of an instance, and the dispatch of inputs to their handlers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;

use admit::Decision;
use clock::Time;
use clock::WallTime;
use idempotency::Ledger;
use length::Estimator;
use member::Membership;
use member::skew::Skew;
use reconcile::Reconciler;
use route::health::Health;
use slo::Meter;
use store::Ticket;
use wire::AttemptId;
use wire::BootId;
use wire::InstanceId;
use wire::Name;
use wire::RequestId;
use wire::gossip::Entry;

use crate::baseline::Baseline;
use crate::claims::Settlements;
use crate::config::ConfigState;
use crate::coordinator::Coordinator;
use crate::durations::Durations;
use crate::evidence;
use crate::evidence::EvidenceCall;
use crate::evidence::EvidenceRecord;
use crate::hand_over::HandOvers;
use crate::inquiry::Inquiries;
use crate::job::Job;
use crate::limits::Limits;
use crate::listing::ListState;
use crate::message::Input;
use crate::message::ListedServer;
use crate::message::Output;
use crate::notices::Backoffs;
use crate::origins::Origins;
use crate::parts::SuspectParts;
use crate::permits::Permits;
use crate::placement::ServerCounts;
use crate::reach::Reach;
use crate::retries::RetryBudgets;
use crate::settings::Settings;
use crate::shutdown::Shutdown;
use crate::suspects::SuspectRequests;

/// An invariant that was broken. Where a broken invariant does not panic, it is counted.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Violation {
    /// Work was dispatched to a server that is withdrawn or leaving, or to a withdrawn data centre.
    WorkAfterWithdrawal,
    /// A request that must not run twice was dispatched a second time.
    RepeatedRun,
    /// A request ended twice.
    EndedTwice,
    /// An older version of the configuration replaced a newer one.
    ConfigReverted,
    /// A request that has not ended was left without a timer.
    MissingTimer,
    /// An attempt was sent without the retry budget's consent.
    UnpaidRetry,
}

impl Violation {
    /// Returns the label value of the violation in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Violation::WorkAfterWithdrawal => "work-after-withdrawal",
            Violation::RepeatedRun => "repeated-run",
            Violation::EndedTwice => "ended-twice",
            Violation::ConfigReverted => "config-reverted",
            Violation::MissingTimer => "missing-timer",
            Violation::UnpaidRetry => "unpaid-retry",
        }
    }
}

/// The part of the instance that made a store call and receives its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallOrigin {
    /// The idempotency ledger, with its own ticket for the call.
    Ledger(Ticket),
    /// The configuration, with the call that it made.
    Config(crate::config::ConfigCall),
    /// The lease for sending orders to engines.
    Lease,
    /// The record of evidence, with the call that it made.
    Evidence(EvidenceCall),
}

/// The state machine that makes all decisions of one instance.
#[derive(Debug)]
pub struct Instance {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Time,
    pub(crate) wall: WallTime,
    pub(crate) members: Membership,
    /// Computes the age of frames despite clock skew between instances.
    pub(crate) skew: Skew,
    pub(crate) next_membership_tick: Time,
    /// The current list of backend servers, by name.
    pub(crate) listed: BTreeMap<Name, ListedServer>,
    /// The listed servers whose service is configured, by name. Another entry may be that of another
    /// writer, and states nothing about the server that it names.
    pub(crate) servers: BTreeMap<Name, ListedServer>,
    /// Whether a list of backend servers has been received.
    pub(crate) has_server_list: bool,
    pub(crate) list_state: ListState,
    /// Number of changes of the server list and the configuration so far.
    pub(crate) list_changes: u64,
    /// The last counts of servers, by pool and required software version.
    pub(crate) server_counts: BTreeMap<(Name, Option<Name>), ServerCounts>,
    pub(crate) origins: Origins,
    pub(crate) health: Health,
    pub(crate) backoffs: Backoffs,
    pub(crate) limits: Limits,
    pub(crate) permits: Permits,
    pub(crate) reach: Reach,
    pub(crate) hand_overs: HandOvers,
    pub(crate) inquiries: Inquiries,
    pub(crate) jobs: BTreeMap<RequestId, Job>,
    /// The request of each running attempt and of each reservation's attempt.
    pub(crate) attempt_requests: BTreeMap<AttemptId, RequestId>,
    /// The due times of the jobs' timers, in order.
    pub(crate) timers: BTreeSet<(Time, RequestId)>,
    /// When jobs without a timer are searched for next.
    pub(crate) next_timer_search: Time,
    pub(crate) coordinator: Coordinator,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) length_estimator: Estimator,
    pub(crate) ledger: Ledger,
    pub(crate) settlements: Settlements,
    pub(crate) store: store::Client,
    /// Origins of the store calls that are not answered yet.
    pub(crate) call_origins: BTreeMap<Ticket, CallOrigin>,
    pub(crate) next_ticket: Ticket,
    pub(crate) config: ConfigState,
    pub(crate) suspects: SuspectRequests,
    pub(crate) suspect_parts: SuspectParts,
    pub(crate) evidence: EvidenceRecord,
    pub(crate) reconciler: Reconciler,
    /// When orders to engines are considered next.
    pub(crate) next_orders: Time,
    pub(crate) meter: Meter,
    pub(crate) baseline: Baseline,
    /// The shutdown, once it has begun.
    pub(crate) shutdown: Option<Shutdown>,
    pub(crate) durations: Durations,
    /// Decisions of the own schedulers that are not processed yet.
    pub(crate) own_decisions: VecDeque<(AttemptId, Decision)>,
    /// Outputs to return from the current [`Instance::handle`] call.
    pub(crate) out: Vec<Output>,
    violations: BTreeMap<Violation, u64>,
}

impl Instance {
    /// Returns a new instance that has received no inputs yet.
    pub fn new(settings: Settings) -> Instance {
        let own = settings.entry.clone();
        let mut rng = fastrand::Rng::with_seed(settings.seed);
        Instance {
            members: Membership::new(own.clone(), rng.u64(..)),
            skew: Skew::default(),
            next_membership_tick: Time::ZERO,
            listed: BTreeMap::new(),
            servers: BTreeMap::new(),
            has_server_list: false,
            list_state: ListState::default(),
            list_changes: 0,
            server_counts: BTreeMap::new(),
            origins: Origins::default(),
            health: Health::default(),
            backoffs: Backoffs::default(),
            limits: Limits::default(),
            permits: Permits::default(),
            reach: Reach::default(),
            hand_overs: HandOvers::default(),
            inquiries: Inquiries::default(),
            jobs: BTreeMap::new(),
            attempt_requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            next_timer_search: Time::ZERO,
            coordinator: Coordinator::default(),
            retry_budgets: RetryBudgets::new(settings.retries, settings.is_first_start),
            length_estimator: Estimator::default(),
            ledger: Ledger::new(settings.shards),
            settlements: Settlements::default(),
            store: store::Client::new(settings.store, rng.u64(..)),
            call_origins: BTreeMap::new(),
            next_ticket: 0,
            config: ConfigState::new(settings.source),
            suspects: SuspectRequests::new(settings.strikes),
            suspect_parts: SuspectParts::default(),
            evidence: EvidenceRecord::new(),
            reconciler: Reconciler::new(&own.data_centre, own.id),
            next_orders: Time::ZERO,
            meter: Meter::default(),
            baseline: Baseline::default(),
            shutdown: None,
            durations: Durations::default(),
            own_decisions: VecDeque::new(),
            out: Vec::new(),
            violations: BTreeMap::new(),
            now: Time::ZERO,
            wall: WallTime::ZERO,
            rng,
            settings,
        }
    }

    /// Handles an input that arrives at a given time, and returns the actions to carry out.
    ///
    /// A time before that of an earlier input is replaced by the latest time seen.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is broken and the settings are strict.
    pub fn handle(&mut self, now: Time, wall: WallTime, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        self.wall = wall;
        self.retry_budgets.record_input(self.now);
        // Runs first, so that a pause of the process is detected before any decision relies on
        // state from before the pause.
        self.tick_members();
        match input {
            Input::Request(request) => self.on_request(request),
            Input::CallerGone(request) => self.on_caller_gone(request),
            Input::Frame(frame) => self.on_frame(frame),
            Input::Attempt(attempt, event) => self.on_attempt_event(attempt, event),
            Input::Report(server, sent, report) => self.on_server_report(&server, sent, report),
            Input::ServerNotice(server, boot, sent_at, notice) => {
                self.on_server_notice(&server, boot, sent_at, &notice);
            }
            Input::PathTested(server, started_at, reached) => {
                self.on_path_tested(&server, started_at, reached);
            }
            Input::Store(id, answer) => self.on_store_answer(id, answer),
            Input::List(listed) => self.on_list(listed),
            Input::ServerList(list) => self.on_server_list_read(list, self.now),
            Input::ServerListRead(list, asked_at) => self.on_server_list_read(list, asked_at),
            Input::AdoptConfig(config) => self.on_adopt_config(&config),
            Input::ConfigReadProgress => self.on_config_read_progress(),
            Input::RetryLimits(limits) => self.on_retry_limits(limits),
            Input::Command(command) => self.on_command(command),
            Input::Leave(grace) => self.on_leave(grace),
            Input::Stop => self.on_stop(),
            Input::Tick => {}
        }
        self.process_own_decisions();
        self.run_timers();
        self.process_own_decisions();
        self.check_timers();
        std::mem::take(&mut self.out)
    }

    /// Returns when the instance next needs an input even if nothing happens, which may be
    /// [`Input::Tick`].
    pub fn next_wake(&self) -> Option<Time> {
        let wakes = [
            Some(self.next_membership_tick),
            self.timers.first().map(|(due, _)| *due),
            self.coordinator.next_wake(),
            self.ledger.next_wake(),
            self.settlements.next_wake(),
            self.store.next_wake(),
            self.config.next_wake(),
            self.evidence.next_wake(self.now),
            self.list_state.next_wake(),
            self.next_path_test(),
            self.inquiries.next_wake(),
            Some(self.next_orders),
            self.next_answers(),
        ];
        wakes.into_iter().flatten().min()
    }

    /// Returns whether the instance has no requests and no unconfirmed settlements.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.settlements.is_empty()
    }

    /// Returns whether the instance can serve callers: it has a configuration and a server list, does
    /// not wait for the record of evidence, and is not shutting down.
    pub fn is_ready(&self) -> bool {
        let is_configured = self.has_server_list && self.config.follower.version() > 0;
        let awaits_evidence = self.evidence.awaited_until(self.now).is_some();
        self.shutdown.is_none() && is_configured && !awaits_evidence
    }

    /// Returns the id of the instance, which is new with each start.
    pub fn id(&self) -> InstanceId {
        self.settings.entry.id
    }

    /// Returns whether the list of backend servers shows that the earlier processes of a server have ended:
    /// a process of a configured service with one of the later boots has its name or its address. A process
    /// that is not listed may run all the same, for example without a path to the store.
    pub fn is_replaced(
        &self,
        server: &str,
        address: SocketAddr,
        later_boots: &RangeInclusive<BootId>,
    ) -> bool {
        // A store that was restored may list processes that had ended before.
        let is_later = |other: &&ListedServer| later_boots.contains(&other.boot);
        let mut servers = self.servers.values().filter(is_later);
        servers.any(|other| other.name == server || other.address == address)
    }

    /// Returns the membership entry of an instance, if it is known.
    pub fn entry(&self, id: InstanceId) -> Option<Entry> {
        self.members.entry(id).cloned()
    }

    /// Returns the membership entries of all other running instances.
    pub fn others(&self) -> Vec<Entry> {
        self.members
            .running_others()
            .filter_map(|id| self.entry(id))
            .collect()
    }

    /// Returns the number of instances that are believed to be running, with this one.
    pub fn running_count(&self) -> usize {
        self.members.running_others().count() + 1
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &conf::Config {
        self.config.follower.config()
    }

    /// Returns the number of times that each invariant was broken.
    pub fn violations(&self) -> &BTreeMap<Violation, u64> {
        &self.violations
    }

    /// Returns the jobs of all requests that have not ended.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the number of calls sent to the store.
    pub fn store_calls(&self) -> u64 {
        self.store.calls_sent()
    }

    /// Returns a snapshot of the service-level objectives' counts.
    pub fn objectives(&self) -> slo::Snapshot {
        self.meter.snapshot(self.now)
    }

    /// Returns whether an order may still be sent at the given time.
    pub fn may_send_order(&self, now: Time, order: &reconcile::Order) -> bool {
        self.reconciler.may_send(now.max(self.now), order)
    }

    pub(crate) fn own_data_centre(&self) -> Name {
        self.settings.entry.data_centre.clone()
    }

    /// Panics or counts a violation if an invariant does not hold.
    pub(crate) fn check_invariant(&mut self, holds: bool, violation: Violation) {
        if holds {
            return;
        }
        assert!(!self.settings.strict, "violation: {}", violation.as_str());
        *self.violations.entry(violation).or_default() += 1;
        let text = format!("Invariant broken: {}.", violation.as_str());
        self.log("core", true, text);
    }

    pub(crate) fn log(&mut self, target: &'static str, warn: bool, text: String) {
        self.out.push(Output::Log { target, warn, text });
    }

    /// Submits a call to the store.
    pub(crate) fn call_store(&mut self, origin: CallOrigin, call: store::Call) {
        self.next_ticket += 1;
        self.call_origins.insert(self.next_ticket, origin);
        let (priority, queue_timeout) = match origin {
            CallOrigin::Ledger(_) => (store::Priority::Claim, crate::claims::LEDGER_QUEUE_TIMEOUT),
            CallOrigin::Config(config_call) => {
                (store::Priority::Config, config_call.queue_timeout())
            }
            CallOrigin::Lease => (store::Priority::Lease, crate::orders::LEASE_QUEUE_TIMEOUT),
            CallOrigin::Evidence(_) => (store::Priority::Other, evidence::CALL_QUEUE_TIMEOUT),
        };
        self.store
            .submit(self.now, self.next_ticket, priority, call, queue_timeout);
    }

    /// Acts on the configuration that the follower holds, if its version is newer than the one
    /// before.
    pub(crate) fn activate_config(&mut self, before: conf::Version) {
        let version = self.config.follower.version();
        self.check_invariant(version >= before, Violation::ConfigReverted);
        if version == before {
            return;
        }
        self.config.on_version_in_force();
        self.evidence.on_config_in_force(self.now);
        self.list_changes += 1;
        self.server_counts.clear();
        self.update_digest();
        let config = Arc::new(self.config().clone());
        let withdrawn: Vec<&str> = config
            .data_centres
            .iter()
            .filter(|(_, data_centre)| data_centre.out)
            .map(|(name, _)| name.as_str())
            .collect();
        let text = format!(
            "Configuration {version} in force (was {before}, document {}, withdrawn {withdrawn:?}).",
            config.document
        );
        self.log("config", false, text);
        self.record_route_labels(&config);
        self.out.push(Output::Config(config));
        self.select_servers();
        self.push_changes(before);
    }

    fn on_store_answer(&mut self, id: u64, answer: store::Answer) {
        if let Some(done) = self.store.on_answer(self.now, id, answer) {
            self.on_store_call_done(done);
        }
    }

    fn on_store_call_done(&mut self, done: store::Completion) {
        let Some(origin) = self.call_origins.remove(&done.ticket) else {
            return;
        };
        match origin {
            CallOrigin::Ledger(ticket) => {
                let effects = self.ledger.answer(self.now, ticket, done.answer);
                self.apply_ledger_effects(effects);
            }
            CallOrigin::Config(config_call) => self.on_config_answer(config_call, done.answer),
            CallOrigin::Lease => self.reconciler.handle_lease_answer(self.now, done.answer),
            CallOrigin::Evidence(kind) => self.on_evidence_answer(kind, done.answer),
        }
    }

    fn on_stop(&mut self) {
        let sends = self.members.announce_stop();
        self.send_all(sends);
    }

    /// Runs all periodic work that is due, and sends the store calls that may be sent.
    fn run_timers(&mut self) {
        self.expire_kept_servers();
        self.tick_reach();
        self.tick_inquiries();
        self.tick_shutdown();
        self.tick_jobs();
        self.tick_coordinator();
        self.tick_settlements();
        let effects = self.ledger.tick(self.now, self.wall);
        self.apply_ledger_effects(effects);
        self.tick_config();
        self.tick_orders();
        self.tick_evidence();
        for done in self.store.take_failed(self.now) {
            self.on_store_call_done(done);
        }
        for sent in self.store.calls_to_send(self.now) {
            self.out.push(Output::Store(sent));
        }
    }
}
