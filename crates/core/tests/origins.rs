//! Streams of events that may only go on at the software version that began them, on a simulated
//! fleet of instances and backend servers.

mod driver;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use conf::Config;
use conf::Delivery;
use conf::Name;
use conf::Pool;
use conf::Route;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config as RunnerConfig;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRunner;
use wigeon_core::Event;
use wigeon_core::Handle;
use wigeon_core::Input;
use wigeon_core::Instance;
use wigeon_core::Outcome;
use wigeon_core::Output;
use wigeon_core::Replica;
use wigeon_core::Request;
use wigeon_core::ServerReport;
use wigeon_core::Settings;
use wigeon_core::Source;
use wigeon_core::message::Dispatch;
use wigeon_core::message::Stream;
use wigeon_core::outcome::Reason;
use wire::AttemptId;
use wire::Body;
use wire::Frame;
use wire::RequestId;
use wire::admission::Endpoint;
use wire::ledger::ClaimStatus;
use wire::server_list::Server;
use wire::server_list::ServerListUpdate;

const WALL: Duration = Duration::from_secs(1_700_000_000);
const START: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(5);
const DATA_CENTRES: [&str; 3] = ["east", "north", "west"];
const MEMORY_TOKENS: u64 = 34_000;
/// Longest time from an event at one instance to its effect at another, without losses.
const SETTLING_TIME: Duration = Duration::from_millis(20);
/// Time from an attempt's arrival at a server until its first event.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(10);
/// Time from an attempt's first event until its answer is complete.
const ANSWER_TIME: Duration = Duration::from_millis(60);
/// Time between two reads of the list.
const LIST_PERIOD: Duration = Duration::from_millis(450);
/// Time from the start until coordinators grant places.
const WARM_UP: Duration = Duration::from_secs(4);
/// Longest time from the arrival of a request until the origin of its stream is found or the
/// request is refused.
const TRACE_TIME_MAX: Duration = Duration::from_millis(300);
/// Timeout of the route in milliseconds.
const TIMEOUT_MS: u64 = 39_000;
const PLACEMENT_DEADLINE: Duration = Duration::from_millis(1_500);

struct Engine {
    server: Server,
    up: bool,
}

struct Run {
    instance: usize,
    engine: usize,
    request: RequestId,
}

enum Step {
    Frame(usize, Frame),
    Arrival(usize, Dispatch),
    FirstEvent(AttemptId),
    Complete(AttemptId),
}

/// What became of one request.
#[derive(Clone, Debug, Default)]
struct Record {
    arrived_at: Duration,
    /// The instance that has the request.
    instance: usize,
    /// The pool and the version that began the stream, once it has begun.
    origin: Option<(Name, Name)>,
    dispatches: Vec<Dispatch>,
    /// The time of the first dispatch.
    dispatched_at: Option<Duration>,
    began: bool,
    outcome: Option<(Duration, Outcome)>,
}

impl Record {
    /// Returns the time from the arrival until the first dispatch or the outcome.
    fn decision_time(&self) -> Option<Duration> {
        let ended_at = self.outcome.as_ref().map(|(at, _)| *at);
        let at = self.dispatched_at.or(ended_at)?;
        Some(at - self.arrived_at)
    }

    fn refused_because(&self) -> Option<Reason> {
        match &self.outcome {
            Some((_, Outcome::Refused(refusal))) => Some(refusal.reason()),
            _ => None,
        }
    }
}

struct Fleet {
    instances: Vec<Instance>,
    /// Whether each instance runs.
    alive: Vec<bool>,
    engines: Vec<Engine>,
    /// The servers as the platform lists them.
    listed: Vec<Server>,
    now: Duration,
    steps: BTreeMap<(Duration, u64), Step>,
    next_step: u64,
    next_request: RequestId,
    runs: BTreeMap<AttemptId, Run>,
    requests: BTreeMap<RequestId, Request>,
    /// The sender and its attempt of each request that was handed over, by receiver.
    handed_over: BTreeMap<(usize, RequestId), (usize, AttemptId)>,
    records: BTreeMap<RequestId, Record>,
    /// Attempts that ran at another version, or for another pool, than the one that began their
    /// stream.
    strays: Vec<String>,
    /// Whether attempts send events only when the test makes them do so.
    is_held: bool,
    /// Whether the list is renewed.
    is_list_read: bool,
    /// Share of frames that are lost.
    loss: f64,
    /// The data centre that is cut off from the others.
    cut_off: Option<&'static str>,
    rng: fastrand::Rng,
    config: Config,
}

fn settings(index: usize) -> Settings {
    let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
    let id = u64::try_from(index + 1).unwrap_or(0);
    Settings {
        source: Source::External,
        strict: true,
        ..Settings::example(&format!("i{id}"), data_centre, id)
    }
}

fn pool() -> Pool {
    Pool {
        batch: 24,
        cold_limit: 24,
        memory_tokens: MEMORY_TOKENS,
        copies: true,
        stride: 4,
        ..Pool::default()
    }
}

fn config() -> Config {
    let route = Route {
        pool: "engines".into(),
        delivery: Delivery::Stream,
        idempotent: true,
        rerun: true,
        deadline_ms: u64::try_from(PLACEMENT_DEADLINE.as_millis()).unwrap_or(0),
        timeout_ms: TIMEOUT_MS,
        attempts: 4,
        ..Route::default()
    };
    let mut config = Config {
        version: 5,
        ..Config::default()
    };
    config.pools.insert("engines".into(), pool());
    config.pools.insert("others".into(), pool());
    config.routes.insert("letters".into(), route);
    config
}

/// Returns a configuration in which a lost stream can't be resumed from a copy, only run again.
fn config_without_copies() -> Config {
    let mut config = config();
    for pool in config.pools.values_mut() {
        pool.copies = false;
    }
    config
}

/// Returns servers of a label, as many per data centre as there are versions.
fn engines(label: &str, versions: &[&str]) -> Vec<Engine> {
    let mut engines = Vec::new();
    for (number, version) in versions.iter().enumerate() {
        for (place, data_centre) in DATA_CENTRES.iter().enumerate() {
            let index = u16::try_from(number * DATA_CENTRES.len() + place).unwrap_or(0);
            let server = Server {
                name: Name::from(format!("{label}-{index}")),
                data_centre: (*data_centre).into(),
                label: label.into(),
                address: (
                    [127, 0, 0, u8::try_from(label.len()).unwrap_or(0)],
                    8_000 + index,
                )
                    .into(),
                boot: 1,
                software: (*version).into(),
                leaving: false,
                reclaimed: false,
                cold_left_ms: 0,
            };
            engines.push(Engine { server, up: true });
        }
    }
    engines
}

impl Fleet {
    fn new(instances: usize, engines: Vec<Engine>, seed: u64) -> Fleet {
        Fleet::with_config(instances, engines, seed, config())
    }

    fn with_config(instances: usize, engines: Vec<Engine>, seed: u64, config: Config) -> Fleet {
        let mut fleet = Fleet {
            instances: (0..instances).map(settings).map(Instance::new).collect(),
            alive: vec![true; instances],
            engines,
            listed: Vec::new(),
            now: START,
            steps: BTreeMap::new(),
            next_step: 0,
            next_request: 1,
            runs: BTreeMap::new(),
            requests: BTreeMap::new(),
            handed_over: BTreeMap::new(),
            records: BTreeMap::new(),
            strays: Vec::new(),
            is_held: false,
            is_list_read: true,
            loss: 0.0,
            cut_off: None,
            rng: fastrand::Rng::with_seed(seed),
            config: config.clone(),
        };
        let listed = driver::listed_instances((0..instances).map(settings));
        for index in 0..instances {
            fleet.input(index, Input::List(listed.clone()));
            fleet.input(index, Input::AdoptConfig(Arc::new(config.clone())));
        }
        fleet.publish();
        fleet.send_lists(true);
        fleet.advance(WARM_UP);
        fleet
    }

    /// Makes the platform list the servers as they are.
    fn publish(&mut self) {
        self.listed = self
            .engines
            .iter()
            .map(|engine| engine.server.clone())
            .collect();
    }

    fn adopt(&mut self, change: impl FnOnce(&mut Config)) {
        change(&mut self.config);
        self.config.version += 1;
        let config = Arc::new(self.config.clone());
        for index in 0..self.instances.len() {
            self.input(index, Input::AdoptConfig(config.clone()));
        }
    }

    fn schedule(&mut self, after: Duration, step: Step) {
        self.next_step += 1;
        self.steps.insert((self.now + after, self.next_step), step);
    }

    fn input(&mut self, index: usize, input: Input) {
        if !self.alive[index] {
            return;
        }
        let outputs = self.instances[index].handle(self.now, WALL + self.now, input);
        for output in outputs {
            self.on_output(index, output);
        }
    }

    fn data_centre(&self, index: usize) -> &'static str {
        DATA_CENTRES[index % DATA_CENTRES.len()]
    }

    /// Returns whether a cut separates two data centres.
    fn is_separated(&self, one: &str, other: &str) -> bool {
        self.cut_off
            .is_some_and(|cut_off| (one == cut_off) != (other == cut_off))
    }

    fn on_output(&mut self, index: usize, output: Output) {
        match output {
            Output::Send { address, body, .. } => self.send(index, address, body),
            Output::Probe {
                server, sent_at, ..
            } => self.on_probe(index, server, sent_at),
            Output::TestPath {
                server, started_at, ..
            } => {
                let reached = self.is_reached(index, &server);
                self.input(index, Input::PathTested(server, started_at, reached));
            }
            Output::Dispatch(dispatch) if dispatch.hands_over => self.hand_over(index, &dispatch),
            Output::Dispatch(dispatch) => {
                let now = self.now;
                if let Some(record) = self.records.get_mut(&dispatch.request) {
                    record.dispatched_at.get_or_insert(now);
                    record.dispatches.push(dispatch.clone());
                }
                self.schedule(Duration::from_millis(1), Step::Arrival(index, dispatch));
            }
            Output::Cancel { attempt, .. } => {
                self.runs.remove(&attempt);
                let mut handed_over = self.handed_over.iter();
                let found = handed_over.find(|(_, sent)| **sent == (index, attempt));
                if let Some((&(receiver, request), _)) = found {
                    self.handed_over.remove(&(receiver, request));
                    self.input(receiver, Input::CallerGone(request));
                }
            }
            Output::Finish { request, outcome } => {
                if let Some((sender, attempt)) = self.handed_over.remove(&(index, request)) {
                    let event = match outcome {
                        Outcome::Refused(_) => Event::Refused,
                        _ => Event::Lost {
                            crashed: true,
                            delivered: 0,
                        },
                    };
                    self.input(sender, Input::Attempt(attempt, event));
                    return;
                }
                let now = self.now;
                if let Some(record) = self.records.get_mut(&request) {
                    record.outcome = Some((now, outcome));
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, address: SocketAddr, body: Body) {
        let is_receiver = |index: &usize| settings(*index).entry.peers == address;
        let found = (0..self.instances.len()).find(is_receiver);
        let Some(to) = found.filter(|to| *to != from) else {
            return;
        };
        let is_separated = self.is_separated(self.data_centre(from), self.data_centre(to));
        if is_separated || self.rng.f64() < self.loss {
            return;
        }
        let frame = Frame {
            from: self.instances[from].id(),
            to: self.instances[to].id(),
            seq: 1,
            wall_ms: u64::try_from((WALL + self.now).as_millis()).unwrap_or(u64::MAX),
            body,
        };
        let delay = Duration::from_micros(self.rng.u64(1_000..3_000));
        self.schedule(delay, Step::Frame(to, frame));
    }

    /// Returns whether an instance reaches a server.
    fn is_reached(&self, index: usize, server: &str) -> bool {
        let mut engines = self.engines.iter();
        engines.any(|engine| {
            engine.up
                && engine.server.name == server
                && !self.is_separated(self.data_centre(index), &engine.server.data_centre)
        })
    }

    /// Passes a request that an instance hands over to the receiver.
    fn hand_over(&mut self, sender: usize, dispatch: &Dispatch) {
        let is_named = |index: &usize| settings(*index).entry.name == dispatch.server;
        let receiver = (0..self.instances.len()).find(is_named);
        let receiver = receiver.expect("the instance exists");
        let is_separated = self.is_separated(self.data_centre(sender), self.data_centre(receiver));
        if !self.alive[receiver] || is_separated {
            let event = Input::Attempt(dispatch.attempt, Event::Unreachable);
            self.input(sender, event);
            return;
        }
        let request = Request {
            handed_over: true,
            ..self.requests[&dispatch.request].clone()
        };
        let sent = (sender, dispatch.attempt);
        self.handed_over.insert((receiver, dispatch.request), sent);
        self.input(receiver, Input::Request(request));
    }

    /// Passes an event to the instance that made the attempt, and on to the one that handed the
    /// request over.
    fn deliver(&mut self, instance: usize, request: RequestId, attempt: AttemptId, event: &Event) {
        let sent = self.handed_over.get(&(instance, request)).copied();
        self.input(instance, Input::Attempt(attempt, event.clone()));
        if let Some((sender, attempt)) = sent {
            if matches!(event, Event::Complete { .. }) {
                self.handed_over.remove(&(instance, request));
            }
            self.input(sender, Input::Attempt(attempt, event.clone()));
        }
    }

    fn on_probe(&mut self, index: usize, server: Name, sent_at: Duration) {
        let engine = self
            .engines
            .iter()
            .find(|engine| engine.server.name == server && engine.up)
            .filter(|engine| {
                !self.is_separated(self.data_centre(index), &engine.server.data_centre)
            });
        let report = engine.map(|engine| ServerReport {
            load: admit::Load {
                boot: engine.server.boot,
                capacity_tokens: MEMORY_TOKENS,
                ..admit::Load::default()
            },
            ready: true,
            ..ServerReport::default()
        });
        self.input(index, Input::Report(server, sent_at, report));
    }

    fn on_step(&mut self, step: Step) {
        match step {
            Step::Frame(to, frame) => self.input(to, Input::Frame(frame)),
            Step::Arrival(instance, dispatch) => self.on_arrival(instance, &dispatch),
            Step::FirstEvent(attempt) => self.on_first_event(attempt),
            Step::Complete(attempt) => self.complete(attempt),
        }
    }

    fn on_arrival(&mut self, instance: usize, dispatch: &Dispatch) {
        if !self.alive[instance] {
            return;
        }
        let engine = self
            .engines
            .iter()
            .position(|engine| engine.server.name == dispatch.server)
            .expect("the server exists");
        let Engine { server, up } = &self.engines[engine];
        let is_reached = *up
            && server.boot == dispatch.boot
            && !self.is_separated(self.data_centre(instance), &server.data_centre);
        if !is_reached {
            let event = Event::Unreachable;
            self.input(instance, Input::Attempt(dispatch.attempt, event));
            return;
        }
        self.check_origin(engine, dispatch);
        let run = Run {
            instance,
            engine,
            request: dispatch.request,
        };
        self.runs.insert(dispatch.attempt, run);
        if !self.is_held {
            self.schedule(FIRST_EVENT_TIME, Step::FirstEvent(dispatch.attempt));
        }
    }

    /// Checks that an attempt of a stream that has begun has reached a server of the version that
    /// began it.
    fn check_origin(&mut self, engine: usize, dispatch: &Dispatch) {
        let server = &self.engines[engine].server;
        let reached = (server.label.clone(), server.software.clone());
        let origin = &self.records[&dispatch.request].origin;
        if let Some(origin) = origin.as_ref().filter(|origin| **origin != reached) {
            let (at, request) = (self.now, dispatch.request);
            self.strays.push(format!(
                "Request {request}, whose stream began at {origin:?}, reached {reached:?} at {at:?}."
            ));
        }
    }

    fn on_first_event(&mut self, attempt: AttemptId) {
        let Some(run) = self.runs.get(&attempt) else {
            return;
        };
        let (instance, request) = (run.instance, run.request);
        let server = &self.engines[run.engine].server;
        let origin = (server.label.clone(), server.software.clone());
        if let Some(record) = self.records.get_mut(&request) {
            record.began = true;
            record.origin.get_or_insert(origin);
        }
        self.deliver(instance, request, attempt, &Event::FirstToken);
        let progress = Event::Progress {
            generated: 4,
            delivered: 4,
        };
        self.deliver(instance, request, attempt, &progress);
        if !self.is_held {
            self.schedule(ANSWER_TIME, Step::Complete(attempt));
        }
    }

    fn complete(&mut self, attempt: AttemptId) {
        let Some(run) = self.runs.remove(&attempt) else {
            return;
        };
        let complete = Event::Complete {
            generated: 120,
            gap: Duration::from_millis(20),
            answer: wire::ledger::Answer::default(),
        };
        self.deliver(run.instance, run.request, attempt, &complete);
    }

    /// Makes all held attempts send their first event now.
    fn send_first_events(&mut self) {
        let attempts: Vec<AttemptId> = self.runs.keys().copied().collect();
        for attempt in attempts {
            self.on_first_event(attempt);
        }
    }

    /// Loses the running attempt of a request. Returns whether there was one.
    fn lose(&mut self, request: RequestId, crashed: bool) -> bool {
        let mut runs = self.runs.iter();
        let Some(attempt) = runs.find_map(|(id, run)| (run.request == request).then_some(*id))
        else {
            return false;
        };
        let run = self.runs.remove(&attempt).expect("it was found");
        let delivered = if self.records[&request].began { 4 } else { 0 };
        let event = Event::Lost { crashed, delivered };
        self.input(run.instance, Input::Attempt(attempt, event));
        true
    }

    /// Stops a server's boot, and all its runs with it.
    fn stop_engine(&mut self, engine: usize) {
        self.engines[engine].up = false;
        let lost: Vec<RequestId> = self
            .runs
            .values()
            .filter(|run| run.engine == engine)
            .map(|run| run.request)
            .collect();
        for request in lost {
            self.lose(request, false);
        }
    }

    /// Starts a new boot of a server at a version. The list does not show it yet.
    fn start_engine(&mut self, engine: usize, version: &str) {
        let engine = &mut self.engines[engine];
        engine.up = true;
        engine.server.boot += 1;
        engine.server.software = version.into();
    }

    fn engine_of(&self, name: &str) -> usize {
        self.engines
            .iter()
            .position(|engine| engine.server.name == name)
            .expect("the server exists")
    }

    fn send_lists(&mut self, to_all: bool) {
        for index in 0..self.instances.len() {
            if to_all || self.instances[index].should_read_server_list() {
                let list = self.current_list();
                self.input(index, Input::ServerList(list));
            }
        }
    }

    /// Returns the platform's list as it is now.
    fn current_list(&self) -> ServerListUpdate {
        ServerListUpdate {
            revision: u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX),
            servers: self.listed.clone(),
            ..ServerListUpdate::default()
        }
    }

    fn advance(&mut self, time: Duration) {
        self.advance_by(STEP, time);
    }

    fn advance_by(&mut self, step: Duration, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let next = self.now + step;
            while let Some((&(at, number), _)) = self.steps.first_key_value()
                && at <= next
            {
                self.now = self.now.max(at);
                if let Some(step) = self.steps.remove(&(at, number)) {
                    self.on_step(step);
                }
            }
            self.now = next;
            for index in 0..self.instances.len() {
                self.input(index, Input::Tick);
            }
            let is_due = self.now.as_millis().is_multiple_of(LIST_PERIOD.as_millis());
            if is_due && self.is_list_read {
                self.send_lists(false);
            }
        }
    }

    /// Starts an instance anew at the address of one that was killed.
    fn restart(&mut self, index: usize) {
        let mut settings = settings(index);
        settings.entry.id = self.rng.u64(1_000..);
        settings.seed = settings.entry.id;
        self.instances[index] = Instance::new(settings);
        self.alive[index] = true;
        let count = self.instances.len();
        let listed = driver::listed_instances((0..count).map(crate::settings));
        self.input(index, Input::List(listed));
        let config = Arc::new(self.config.clone());
        self.input(index, Input::AdoptConfig(config));
    }

    fn kill(&mut self, index: usize) {
        self.alive[index] = false;
        self.runs.retain(|_, run| run.instance != index);
        let handed_over = std::mem::take(&mut self.handed_over);
        for ((receiver, request), (sender, attempt)) in handed_over {
            if receiver == index {
                let lost = Event::Lost {
                    crashed: true,
                    delivered: 0,
                };
                self.input(sender, Input::Attempt(attempt, lost));
            } else if sender == index {
                self.input(receiver, Input::CallerGone(request));
            } else {
                let sent = (sender, attempt);
                self.handed_over.insert((receiver, request), sent);
            }
        }
    }

    fn request(&mut self, index: usize, origin: Option<(Name, Name)>, stream: Stream) -> RequestId {
        let id = self.next_request;
        let request = self.new_request(id, Some(stream));
        self.send_request(index, origin, request)
    }

    fn new_request(&self, id: RequestId, stream: Option<Stream>) -> Request {
        Request {
            handed_over: false,
            id,
            organisation: "shop".into(),
            route: "letters".into(),
            key: None,
            fingerprint: id,
            group: id,
            prompt_tokens: 200,
            prefixes: Vec::new(),
            parts: Vec::new(),
            max_tokens: None,
            expected_tokens: Some(120),
            timeout: Some(Duration::from_millis(TIMEOUT_MS)),
            stream,
        }
    }

    fn send_request(
        &mut self,
        index: usize,
        origin: Option<(Name, Name)>,
        request: Request,
    ) -> RequestId {
        let id = request.id;
        self.next_request += 1;
        let record = Record {
            arrived_at: self.now,
            instance: index,
            origin,
            ..Record::default()
        };
        self.records.insert(id, record);
        self.requests.insert(id, request.clone());
        self.input(index, Input::Request(request));
        id
    }

    fn begin(&mut self, index: usize) -> RequestId {
        let id = self.next_request;
        self.request(index, None, Stream::New(id))
    }

    /// Begins streams through an instance and advances until they have begun.
    fn begin_many(&mut self, index: usize, count: usize) -> Vec<RequestId> {
        let begun: Vec<RequestId> = (0..count)
            .map(|_| {
                let id = self.begin(index);
                self.advance(STEP * 2);
                id
            })
            .collect();
        self.advance(Duration::from_millis(50));
        let all_began = begun
            .iter()
            .all(|id| self.records[id].began || self.is_held);
        assert!(all_began, "a stream did not begin");
        begun
    }

    fn take_up(&mut self, index: usize, begun: RequestId) -> RequestId {
        let origin = self.records[&begun].origin.clone();
        self.request(index, origin, Stream::Rest(Some(begun)))
    }

    fn take_up_unnamed(&mut self, index: usize, begun: RequestId) -> RequestId {
        let origin = self.records[&begun].origin.clone();
        self.request(index, origin, Stream::Rest(None))
    }

    fn others(&self, index: usize) -> Vec<usize> {
        (0..self.instances.len())
            .filter(|other| *other != index && self.alive[*other])
            .collect()
    }

    /// Returns how many of the requests were dispatched within a time from their arrival.
    fn dispatched_within(&self, ids: &[RequestId], time: Duration) -> usize {
        ids.iter()
            .filter(|id| {
                let record = &self.records[id];
                record
                    .dispatched_at
                    .is_some_and(|at| at - record.arrived_at <= time)
            })
            .count()
    }

    /// Returns the instances that coordinate a pool.
    fn coordinators(&self) -> Vec<usize> {
        let coordinates = |index: &usize| {
            let mut engines = self.engines.iter();
            engines.any(|engine| {
                self.instances[*index]
                    .server_load(&engine.server.name)
                    .is_some()
            })
        };
        (0..self.instances.len()).filter(coordinates).collect()
    }

    /// Describes what became of requests, for messages of failed checks.
    fn summary(&self, ids: &[RequestId]) -> String {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for id in ids {
            let record = &self.records[id];
            let time = record.decision_time();
            let slot = time.map(|time| time.as_millis() / 100 * 100);
            let fate = match &record.outcome {
                Some((_, Outcome::Refused(refusal))) => refusal.reason().as_str(),
                Some((_, Outcome::Failed(failure))) => failure.reason.as_str(),
                Some((_, Outcome::Recorded(_))) => "recorded",
                None if record.dispatches.is_empty() => "open",
                None => "dispatched",
            };
            *counts
                .entry(format!("{fate} after {slot:?} ms"))
                .or_default() += 1;
        }
        format!("{counts:?}")
    }

    fn assert_no_strays(&self) {
        assert!(self.strays.is_empty(), "{:#?}", self.strays);
    }

    fn assert_refused(&self, id: RequestId, time: Duration) {
        let record = &self.records[&id];
        assert_eq!(record.dispatches.len(), 0, "{:?}", record.dispatches);
        assert_eq!(record.refused_because(), Some(Reason::UnknownOrigin));
        let refused_after = record.decision_time().expect("it is refused");
        assert!(refused_after <= time, "refused after {refused_after:?}");
    }
}

const THREE: [&str; 6] = ["v1", "v2", "v3", "v1", "v2", "v3"];

#[test]
fn stream_goes_on_at_its_version_through_each_other_instance() {
    let mut fleet = Fleet::new(7, engines("engines", &THREE), 1);
    let mut taken_up = Vec::new();
    for round in 0..100 {
        let beginner = round % 7;
        let begun = fleet.begin_many(beginner, 1);
        for other in fleet.others(beginner) {
            taken_up.push(fleet.take_up(other, begun[0]));
        }
        fleet.advance(Duration::from_millis(150));
    }
    let versions: BTreeSet<&Name> = fleet
        .records
        .values()
        .filter_map(|record| Some(&record.origin.as_ref()?.1))
        .collect();
    assert_eq!(versions.len(), 3, "{versions:?}");
    fleet.assert_no_strays();
    assert_eq!(fleet.dispatched_within(&taken_up, TRACE_TIME_MAX), 600);
}

/// Begins streams through one instance, kills it with their first events, and takes them up at the
/// others after a delay. Returns how many were taken up, and how many of these were dispatched in
/// time.
fn kill_beginner(seed: u64, beginner: usize, count: usize, delay: Duration) -> (usize, usize) {
    let mut fleet = Fleet::new(15, engines("engines", &THREE), seed);
    let is_coordinator = fleet.coordinators().contains(&beginner);
    fleet.is_held = true;
    let begun = fleet.begin_many(beginner, count);
    fleet.advance(Duration::from_millis(50));
    fleet.send_first_events();
    fleet.kill(beginner);
    fleet.is_held = false;
    fleet.advance(delay);
    let others = fleet.others(beginner);
    let mut taken_up = Vec::new();
    for (number, id) in begun.iter().enumerate() {
        assert!(fleet.records[id].began, "stream {id} began");
        taken_up.push(fleet.take_up(others[number % others.len()], *id));
        fleet.advance(STEP * 4);
    }
    fleet.advance(Duration::from_secs(3));
    fleet.assert_no_strays();
    println!("Taken up: {}.", fleet.summary(&taken_up));
    // A reservation waits for a coordinator that was killed before it is sent to another one.
    let time = match is_coordinator {
        true => Duration::from_secs(2),
        false => TRACE_TIME_MAX,
    };
    (taken_up.len(), fleet.dispatched_within(&taken_up, time))
}

#[test]
fn stream_goes_on_after_the_instance_that_began_it_is_killed() {
    let (mut all, mut in_time) = (0, 0);
    for seed in 0..4 {
        let beginner = usize::try_from(seed).unwrap_or(0) * 4;
        let (taken_up, dispatched) = kill_beginner(seed, beginner, 50, SETTLING_TIME);
        all += taken_up;
        in_time += dispatched;
    }
    assert!(in_time * 100 >= all * 97, "{in_time} of {all}");
}

#[test]
fn most_streams_go_on_after_most_instances_are_killed() {
    let (mut all, mut served) = (0, 0);
    for seed in 0..4 {
        let mut fleet = Fleet::new(15, engines("engines", &THREE), seed);
        fleet.is_held = true;
        let mut begun = Vec::new();
        for index in 0..15 {
            begun.extend(fleet.begin_many(index, 6));
        }
        fleet.send_first_events();
        fleet.is_held = false;
        fleet.advance(SETTLING_TIME);
        let mut order: Vec<usize> = (0..15).collect();
        fleet.rng.shuffle(&mut order);
        for index in &order[..9] {
            fleet.kill(*index);
        }
        let mut taken_up = Vec::new();
        for (number, id) in begun.iter().enumerate() {
            // The streams of the killed instances are taken up at those that are left.
            let left = &order[9..];
            let began_at = fleet.records[id].instance;
            let to = left[number % left.len()];
            if !fleet.alive[began_at] {
                taken_up.push(fleet.take_up(to, *id));
                fleet.advance(STEP * 4);
            }
        }
        fleet.advance(Duration::from_secs(4));
        fleet.assert_no_strays();
        println!("Taken up: {}.", fleet.summary(&taken_up));
        all += taken_up.len();
        served += fleet.dispatched_within(&taken_up, Duration::from_secs(3));
    }
    assert!(served * 2 >= all, "{served} of {all}");
}

#[test]
fn stream_goes_on_inside_a_data_centre_that_is_cut_off() {
    let mut fleet = Fleet::new(15, engines("engines", &THREE), 7);
    let inside: Vec<usize> = (0..15).filter(|index| index % 3 == 0).collect();
    let mut begun = Vec::new();
    for index in &inside {
        begun.extend(fleet.begin_many(*index, 20));
    }
    fleet.cut_off = Some(DATA_CENTRES[0]);
    let mut taken_up = Vec::new();
    for (number, id) in begun.iter().enumerate() {
        let began_at = fleet.records[id].instance;
        let others: Vec<usize> = inside
            .iter()
            .copied()
            .filter(|at| *at != began_at)
            .collect();
        taken_up.push(fleet.take_up(others[number % others.len()], *id));
        fleet.advance(STEP * 4);
    }
    fleet.advance(Duration::from_secs(4));
    fleet.assert_no_strays();
    let served = fleet.dispatched_within(&taken_up, PLACEMENT_DEADLINE);
    assert!(
        served * 2 >= taken_up.len(),
        "{served} of {}",
        taken_up.len()
    );
}

#[test]
fn nearly_all_streams_go_on_while_frames_are_lost() {
    let mut fleet = Fleet::new(9, engines("engines", &THREE), 3);
    fleet.loss = 0.05;
    let mut taken_up = Vec::new();
    for round in 0..100 {
        let beginner = round % 9;
        let id = fleet.begin(beginner);
        fleet.advance(Duration::from_millis(200));
        if !fleet.records[&id].began {
            continue;
        }
        for other in fleet.others(beginner).into_iter().take(4) {
            taken_up.push(fleet.take_up(other, id));
        }
    }
    fleet.advance(Duration::from_secs(3));
    fleet.assert_no_strays();
    let all = taken_up.len();
    assert!(all > 300, "{all} streams were taken up");
    let served = fleet.dispatched_within(&taken_up, PLACEMENT_DEADLINE);
    assert!(served * 100 >= all * 97, "{served} of {all}");
}

#[test]
fn unknown_stream_is_refused_while_there_are_two_versions() {
    let mut fleet = Fleet::new(7, engines("engines", &["v1", "v2"]), 1);
    let unknown = fleet.request(0, None, Stream::Rest(Some(0xdead)));
    let unnamed = fleet.request(1, None, Stream::Rest(None));
    fleet.advance(Duration::from_secs(1));
    fleet.assert_refused(unknown, SETTLING_TIME);
    fleet.assert_refused(unnamed, SETTLING_TIME);
}

#[test]
fn unknown_stream_is_refused_in_time_while_asked_instances_are_gone() {
    let mut fleet = Fleet::new(7, engines("engines", &["v1", "v2"]), 1);
    for index in 1..7 {
        fleet.kill(index);
    }
    let unknown = fleet.request(0, None, Stream::Rest(Some(0xdead)));
    fleet.advance(Duration::from_secs(1));
    fleet.assert_refused(unknown, TRACE_TIME_MAX);
}

/// A request whose idempotency key must be claimed before it is placed.
#[test]
fn unknown_stream_of_a_request_with_a_key_is_refused() {
    let mut config = config();
    if let Some(route) = config.routes.get_mut("letters") {
        route.idempotent = false;
    }
    let mut fleet = Fleet::with_config(3, engines("engines", &["v1", "v2"]), 1, config);
    let request = Request {
        key: Some(1),
        ..fleet.new_request(fleet.next_request, Some(Stream::Rest(None)))
    };
    let id = fleet.send_request(0, None, request);
    let claimed = Body::Claimed {
        claim: id,
        status: ClaimStatus::Fresh,
    };
    fleet.send(1, settings(0).entry.peers, claimed);
    fleet.advance(Duration::from_secs(1));
    fleet.assert_refused(id, TRACE_TIME_MAX);
}

/// Time for which an instance that is cut off is assumed to begin streams by an old list.
const LIST_AGE: Duration = Duration::from_secs(30);

/// Returns a fleet whose list has shown the same versions for longer than twice the timeout of the
/// route and the age of an old list.
fn long_listed_fleet(versions: &[&str]) -> Fleet {
    long_listed_fleet_of(3, versions)
}

fn long_listed_fleet_of(instances: usize, versions: &[&str]) -> Fleet {
    let mut fleet = Fleet::new(instances, engines("engines", versions), 1);
    let time = Duration::from_millis(TIMEOUT_MS) * 2 + LIST_AGE + Duration::from_secs(1);
    fleet.advance_by(Duration::from_millis(50), time);
    fleet
}

#[test]
fn unknown_stream_goes_on_while_there_has_been_one_version() {
    let mut fleet = long_listed_fleet(&["v1", "v1"]);
    let ids = [
        fleet.request(0, None, Stream::Rest(Some(0xdead))),
        fleet.request(1, None, Stream::Rest(None)),
    ];
    fleet.advance(Duration::from_secs(2));
    assert_eq!(fleet.dispatched_within(&ids, Duration::from_secs(1)), 2);
}

#[test]
fn unknown_stream_is_refused_if_the_list_is_not_renewed() {
    let mut fleet = long_listed_fleet(&["v1", "v1"]);
    let begun = fleet.begin_many(0, 1)[0];
    fleet.is_list_read = false;
    fleet.advance(Duration::from_secs(1));
    let unknown = fleet.request(0, None, Stream::Rest(Some(0xdead)));
    let unnamed = fleet.request(1, None, Stream::Rest(None));
    let known = fleet.take_up(2, begun);
    fleet.advance(Duration::from_secs(2));
    fleet.assert_refused(unknown, Duration::from_secs(1));
    fleet.assert_refused(unnamed, Duration::from_secs(1));
    assert_eq!(fleet.dispatched_within(&[known], TRACE_TIME_MAX), 1);
}

#[test]
fn unknown_stream_is_refused_after_another_version_vanished() {
    let mut fleet = long_listed_fleet(&["v1", "v2"]);
    for engine in 3..6 {
        fleet.stop_engine(engine);
    }
    fleet.engines.truncate(3);
    fleet.publish();
    fleet.advance_by(
        Duration::from_millis(50),
        Duration::from_secs(70) + LIST_AGE,
    );
    let unnamed = fleet.request(0, None, Stream::Rest(None));
    fleet.advance(Duration::from_secs(1));
    fleet.assert_refused(unnamed, Duration::from_secs(1));
    fleet.advance_by(Duration::from_millis(50), Duration::from_secs(10));
    let later = fleet.request(0, None, Stream::Rest(None));
    fleet.advance(Duration::from_secs(1));
    assert_eq!(fleet.dispatched_within(&[later], Duration::from_secs(1)), 1);
}

#[test]
fn lost_stream_is_rerun_only_at_its_version() {
    let config = config_without_copies();
    let mut fleet = Fleet::with_config(3, engines("engines", &THREE), 1, config);
    fleet.is_held = true;
    let begun = fleet.begin_many(0, 20);
    fleet.send_first_events();
    for id in &begun {
        assert!(fleet.lose(*id, false), "stream {id} is running");
    }
    fleet.advance(Duration::from_secs(1));
    fleet.assert_no_strays();
    let rerun = |id: &RequestId| fleet.records[id].dispatches.len() >= 2;
    let count = begun.iter().filter(|id| rerun(id)).count();
    // The retry budget limits how many attempts are repeated at once.
    assert!(count >= 5, "{count}");
    for id in &begun {
        let record = &fleet.records[id];
        let ended = record.outcome.is_some();
        assert!(rerun(id) || ended, "{id} neither runs again nor has ended");
    }
}

/// A stream at the only server of its version, which is lost when that server leaves.
#[test]
fn lost_stream_ends_at_once_if_no_server_of_its_version_is_left() {
    let mut fleet = Fleet::new(3, engines("engines", &["v1", "v2"]), 1);
    fleet.is_held = true;
    let id = fleet.begin_many(0, 1)[0];
    fleet.send_first_events();
    let version = fleet.records[&id].origin.clone().expect("it began").1;
    for engine in 0..fleet.engines.len() {
        if fleet.engines[engine].server.software == version {
            fleet.engines[engine].server.leaving = true;
        }
    }
    fleet.publish();
    fleet.advance(Duration::from_secs(1));
    let lost_at = fleet.now;
    assert!(fleet.lose(id, false), "the stream is running");
    fleet.advance(Duration::from_secs(3));
    fleet.assert_no_strays();
    let record = &fleet.records[&id];
    assert_eq!(record.dispatches.len(), 1);
    let (at, outcome) = record.outcome.clone().expect("it has ended");
    assert!(matches!(outcome, Outcome::Failed(_)), "{outcome:?}");
    assert!(
        at - lost_at <= Duration::from_millis(100),
        "{:?}",
        at - lost_at
    );
}

/// The same while the request waits in the queue of a coordinator.
#[test]
fn waiting_stream_ends_soon_after_the_servers_of_its_version_leave() {
    let mut config = config();
    for pool in config.pools.values_mut() {
        pool.batch = 1;
        pool.cold_limit = 1;
    }
    if let Some(route) = config.routes.get_mut("letters") {
        route.deadline_ms = 10_000;
    }
    let mut fleet = Fleet::with_config(3, engines("engines", &["v1", "v2"]), 1, config);
    fleet.is_held = true;
    let begun = fleet.begin_many(0, 6);
    fleet.send_first_events();
    let version = fleet.records[&begun[0]].origin.clone().expect("it began").1;
    let waiting = fleet.take_up(1, begun[0]);
    fleet.advance(Duration::from_millis(100));
    let record = &fleet.records[&waiting];
    assert!(record.dispatches.is_empty() && record.outcome.is_none());
    for engine in 0..fleet.engines.len() {
        if fleet.engines[engine].server.software == version {
            fleet.engines[engine].server.leaving = true;
        }
    }
    fleet.publish();
    let left_at = fleet.now;
    fleet.advance(Duration::from_secs(10));
    fleet.assert_no_strays();
    let (at, _) = fleet.records[&waiting]
        .outcome
        .clone()
        .expect("it has ended");
    assert!(at - left_at <= Duration::from_secs(2), "{:?}", at - left_at);
}

#[test]
fn stream_is_not_resumed_from_a_copy_at_another_version() {
    let mut fleet = Fleet::new(3, engines("engines", &["v1", "v2"]), 1);
    fleet.is_held = true;
    let id = fleet.begin_many(0, 1)[0];
    fleet.send_first_events();
    let version = fleet.records[&id].origin.clone().expect("it began").1;
    let mut servers = fleet.engines.iter().map(|engine| &engine.server);
    let other = servers
        .find(|server| server.software != version)
        .expect("there is another version")
        .clone();
    let dispatch = fleet.records[&id].dispatches[0].clone();
    let replica = Replica {
        endpoint: Endpoint {
            server: other.name.clone(),
            address: other.address,
            boot: other.boot,
        },
        handle: Some(Handle {
            source: dispatch.address,
            name: "h1".into(),
        }),
    };
    fleet.input(0, Input::Attempt(dispatch.attempt, Event::Copied(replica)));
    assert!(fleet.lose(id, false), "the stream is running");
    fleet.advance(Duration::from_secs(2));
    fleet.assert_no_strays();
    let dispatches = &fleet.records[&id].dispatches;
    assert_eq!(dispatches.len(), 2, "it runs again at its own version");
    assert_eq!(dispatches[1].resume_from, None);
}

#[test]
fn replicas_are_ordered_at_the_version_of_the_original() {
    let mut fleet = Fleet::new(3, engines("engines", &THREE), 1);
    let begun = fleet.begin_many(0, 30);
    let mut ordered = 0;
    for dispatch in begun.iter().flat_map(|id| &fleet.records[id].dispatches) {
        if let Some(copy) = &dispatch.copy {
            let engine = fleet.engine_of(&copy.server);
            assert_eq!(fleet.engines[engine].server.software, dispatch.software);
            ordered += 1;
        }
    }
    assert!(ordered > 0, "no copy was ordered");
}

#[test]
fn restarted_server_of_another_version_is_not_used_for_a_rerun() {
    for is_listed in [false, true] {
        // One server of each version in each data centre; that of the stream restarts.
        let mut fleet = Fleet::new(3, engines("engines", &["v1", "v2"]), 1);
        fleet.is_held = true;
        let id = fleet.begin_many(0, 1)[0];
        fleet.send_first_events();
        let (_, version) = fleet.records[&id].origin.clone().expect("it began");
        for engine in 0..fleet.engines.len() {
            if fleet.engines[engine].server.software == version {
                fleet.start_engine(engine, "v3");
            }
        }
        if is_listed {
            fleet.publish();
            fleet.advance(Duration::from_secs(1));
        }
        assert!(fleet.lose(id, true), "the stream is running");
        fleet.advance(Duration::from_secs(3));
        fleet.assert_no_strays();
        let record = &fleet.records[&id];
        assert_eq!(fleet.runs.len(), 0, "no server runs it");
        // While the list still shows the version, the request waits for a server that has it.
        let has_failed = matches!(&record.outcome, Some((_, Outcome::Failed(_))));
        assert_eq!(has_failed, is_listed, "{:?}", record.outcome);
    }
}

#[test]
fn stream_is_refused_after_its_route_moved_to_another_pool() {
    let mut servers = engines("engines", &["v1", "v1"]);
    servers.extend(engines("others", &["v2", "v2"]));
    let mut fleet = Fleet::new(3, servers, 1);
    let begun = fleet.begin_many(0, 1)[0];
    fleet.adopt(|config| {
        let route = config.routes.get_mut("letters").expect("the route exists");
        route.pool = "others".into();
    });
    let taken_up = fleet.take_up(1, begun);
    fleet.advance(Duration::from_secs(1));
    fleet.assert_refused(taken_up, TRACE_TIME_MAX);
    fleet.assert_no_strays();
}

/// Each pool has had one version all along, but the stream began in the pool that the route led to
/// before.
#[test]
fn unnamed_stream_is_refused_after_its_route_moved_to_another_pool() {
    let mut servers = engines("engines", &["v1", "v1"]);
    servers.extend(engines("others", &["v2", "v2"]));
    let mut fleet = Fleet::new(3, servers, 1);
    let time = Duration::from_millis(TIMEOUT_MS) * 2;
    fleet.advance_by(Duration::from_millis(50), time);
    let begun = fleet.begin_many(0, 1)[0];
    fleet.adopt(|config| {
        let route = config.routes.get_mut("letters").expect("the route exists");
        route.pool = "others".into();
    });
    let unnamed = fleet.take_up_unnamed(1, begun);
    fleet.advance(Duration::from_secs(1));
    fleet.assert_no_strays();
    fleet.assert_refused(unnamed, Duration::from_secs(1));
}

#[test]
fn stream_of_a_split_route_goes_on_at_the_pool_that_began_it() {
    let mut servers = engines("engines", &["v1", "v1"]);
    servers.extend(engines("others", &["v1", "v1"]));
    let mut config = config();
    if let Some(route) = config.routes.get_mut("letters") {
        route.split = BTreeMap::from([("engines".into(), 1), ("others".into(), 1)]);
    }
    let mut fleet = Fleet::with_config(3, servers, 1, config);
    let mut taken_up = Vec::new();
    for begun in fleet.begin_many(0, 20) {
        taken_up.push(fleet.take_up(1, begun));
        taken_up.push(fleet.take_up(2, begun));
        fleet.advance(Duration::from_millis(50));
    }
    let unnamed = fleet.request(1, None, Stream::Rest(None));
    fleet.advance(Duration::from_secs(1));
    fleet.assert_no_strays();
    assert_eq!(fleet.dispatched_within(&taken_up, TRACE_TIME_MAX), 40);
    fleet.assert_refused(unnamed, TRACE_TIME_MAX);
}

/// A step of a random schedule. Numbers choose among what there is.
#[derive(Clone, Copy, Debug)]
enum Action {
    Begin(usize),
    /// Loses the attempt of a request.
    Lose(usize, bool),
    TakeUp(usize, usize),
    TakeUpUnnamed(usize, usize),
    Kill(usize),
    /// Restarts a server at a version.
    Restart(usize, usize),
    Publish,
    Advance(u64),
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let action = prop_oneof![
        4 => any::<usize>().prop_map(Action::Begin),
        4 => any::<(usize, bool)>().prop_map(|(at, crashed)| Action::Lose(at, crashed)),
        4 => any::<(usize, usize)>().prop_map(|(at, id)| Action::TakeUp(at, id)),
        1 => any::<(usize, usize)>().prop_map(|(at, id)| Action::TakeUpUnnamed(at, id)),
        1 => any::<usize>().prop_map(Action::Kill),
        2 => any::<(usize, usize)>().prop_map(|(at, version)| Action::Restart(at, version)),
        2 => proptest::strategy::Just(Action::Publish),
        6 => (5_u64..150).prop_map(Action::Advance),
    ];
    proptest::collection::vec(action, 20..60)
}

fn apply(fleet: &mut Fleet, action: Action) {
    let alive: Vec<usize> = (0..fleet.instances.len())
        .filter(|index| fleet.alive[*index])
        .collect();
    let at = |index: usize| alive[index % alive.len()];
    let ids: Vec<RequestId> = fleet.records.keys().copied().collect();
    let begun: Vec<RequestId> = ids
        .iter()
        .copied()
        .filter(|id| fleet.records[id].began)
        .collect();
    match action {
        Action::Begin(index) => {
            fleet.begin(at(index));
        }
        Action::Lose(number, crashed) if !ids.is_empty() => {
            fleet.lose(ids[number % ids.len()], crashed);
        }
        Action::TakeUp(index, number) if !begun.is_empty() => {
            fleet.take_up(at(index), begun[number % begun.len()]);
        }
        Action::TakeUpUnnamed(index, number) if !begun.is_empty() => {
            fleet.take_up_unnamed(at(index), begun[number % begun.len()]);
        }
        Action::Kill(index) if alive.len() > 3 => fleet.kill(at(index)),
        Action::Restart(number, version) => {
            let engine = number % fleet.engines.len();
            fleet.stop_engine(engine);
            fleet.start_engine(engine, ["v1", "v2", "v3"][version % 3]);
        }
        Action::Publish => fleet.publish(),
        Action::Advance(time_ms) => fleet.advance(Duration::from_millis(time_ms)),
        _ => {}
    }
}

#[test]
fn no_schedule_continues_a_stream_at_another_version() {
    let config = RunnerConfig {
        cases: 200,
        failure_persistence: None,
        max_shrink_iters: 200,
        ..RunnerConfig::default()
    };
    let seed = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, seed);
    let outcome = runner.run(&(any::<bool>(), actions()), |(has_copies, actions)| {
        let config = match has_copies {
            true => self::config(),
            false => config_without_copies(),
        };
        let versions = ["v1", "v2", "v3"];
        let mut fleet = Fleet::with_config(6, engines("engines", &versions), 1, config);
        for action in actions {
            apply(&mut fleet, action);
        }
        fleet.advance(Duration::from_millis(500));
        match fleet.strays.first() {
            None => Ok(()),
            Some(stray) => Err(TestCaseError::fail(stray.clone())),
        }
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

/// Makes all running attempts generate tokens.
fn generate(fleet: &mut Fleet, tokens: u32) {
    let runs: Vec<(AttemptId, usize)> = fleet
        .runs
        .iter()
        .map(|(attempt, run)| (*attempt, run.instance))
        .collect();
    for (attempt, instance) in runs {
        let progress = Event::Progress {
            generated: tokens,
            delivered: tokens,
        };
        fleet.input(instance, Input::Attempt(attempt, progress));
    }
}

/// Breaks the streams of one of three servers of a version, and takes them up at other instances
/// while new streams begin. Returns how many were taken up, how many of these were dispatched, and
/// how many of as many new streams were.
fn break_streams(crashed: bool, period: Duration) -> (usize, usize, usize) {
    let mut fleet = Fleet::new(7, engines("engines", &["v1", "v2", "v2", "v2"]), 2);
    fleet.is_held = true;
    for number in 0..160 {
        fleet.begin(number % 7);
        fleet.advance(STEP);
    }
    fleet.advance(Duration::from_millis(300));
    fleet.send_first_events();
    generate(&mut fleet, 100);
    fleet.advance(Duration::from_millis(300));
    let (broken, others): (Vec<_>, Vec<_>) = fleet
        .runs
        .iter()
        .map(|(attempt, run)| (*attempt, run.request, run.engine))
        .partition(|(_, _, engine)| *engine == 0);
    for (attempt, ..) in others {
        fleet.complete(attempt);
    }
    fleet.engines[0].up = false;
    fleet.listed.retain(|server| server.name != "engines-0");
    for (_, request, _) in &broken {
        let instance = fleet.records[request].instance;
        fleet.lose(*request, crashed);
        fleet.input(instance, Input::CallerGone(*request));
    }
    fleet.advance(Duration::from_secs(1));
    let (mut taken_up, mut new) = (Vec::new(), Vec::new());
    for (number, (_, begun, _)) in broken.iter().enumerate() {
        let others = fleet.others(fleet.records[begun].instance);
        let to = others[number % others.len()];
        let stream = Some(Stream::Rest(Some(*begun)));
        let request = Request {
            fingerprint: *begun,
            group: *begun,
            ..fleet.new_request(fleet.next_request, stream)
        };
        let origin = fleet.records[begun].origin.clone();
        taken_up.push(fleet.send_request(to, origin, request));
        new.push(fleet.begin(to));
        fleet.advance_by(Duration::from_millis(1), period);
    }
    for _ in 0..8 {
        fleet.send_first_events();
        fleet.advance(Duration::from_millis(500));
        generate(&mut fleet, 40);
    }
    fleet.assert_no_strays();
    println!("Taken up: {}.", fleet.summary(&taken_up));
    println!("New: {}.", fleet.summary(&new));
    let dispatched = fleet.dispatched_within(&taken_up, PLACEMENT_DEADLINE);
    let began = fleet.dispatched_within(&new, PLACEMENT_DEADLINE);
    (taken_up.len(), dispatched, began)
}

#[test]
fn streams_taken_up_in_a_burst_go_on_while_their_version_has_room() {
    let (all, dispatched, began) = break_streams(false, Duration::from_millis(1));
    assert!(all >= 12, "{all} streams broke");
    assert_eq!(dispatched, began, "of {all} streams");
}

#[test]
fn streams_of_a_crashed_server_go_on_at_the_others_of_its_version() {
    let (all, dispatched, began) = break_streams(true, STEP);
    assert!(all >= 12, "{all} streams broke");
    assert!(
        dispatched * 2 >= began,
        "{dispatched} of {all} go on while {began} new ones begin"
    );
}

/// Kills instances after they began streams, and takes these up at the instances that are left.
/// Returns how many were taken up, and how many of these were dispatched.
fn kill_instances(seed: u64, all: usize, killed: usize) -> (usize, usize) {
    let mut fleet = Fleet::new(all, engines("engines", &THREE), seed);
    fleet.is_held = true;
    let mut begun = Vec::new();
    for index in 0..all {
        begun.extend(fleet.begin_many(index, 10));
    }
    fleet.send_first_events();
    fleet.is_held = false;
    fleet.advance(SETTLING_TIME);
    let mut order: Vec<usize> = (0..all).collect();
    fleet.rng.shuffle(&mut order);
    let (gone, left) = order.split_at(killed);
    for index in gone {
        fleet.kill(*index);
    }
    fleet.advance(Duration::from_secs(4));
    let mut taken_up = Vec::new();
    for (number, id) in begun.iter().enumerate() {
        if !fleet.alive[fleet.records[id].instance] {
            taken_up.push(fleet.take_up(left[number % left.len()], *id));
            fleet.advance(STEP * 4);
        }
    }
    fleet.advance(Duration::from_secs(4));
    fleet.assert_no_strays();
    println!("Taken up: {}.", fleet.summary(&taken_up));
    let served = fleet.dispatched_within(&taken_up, Duration::from_secs(3));
    (taken_up.len(), served)
}

#[test]
fn half_of_the_streams_go_on_at_the_last_instances_of_a_small_fleet() {
    for (instances, killed) in [(7, 5), (7, 6), (9, 7), (9, 8)] {
        let (mut all, mut served) = (0, 0);
        for seed in 0..6 {
            let (taken_up, dispatched) = kill_instances(seed, instances, killed);
            all += taken_up;
            served += dispatched;
        }
        assert!(
            served * 2 >= all,
            "{served} of {all} with {killed} of {instances} instances killed"
        );
    }
}

/// The claim of a key takes longer than instances are waited for.
#[test]
fn stream_of_a_request_whose_key_was_claimed_late_goes_on() {
    let mut config = config();
    if let Some(route) = config.routes.get_mut("letters") {
        route.idempotent = false;
    }
    let mut fleet = Fleet::with_config(9, engines("engines", &["v1", "v2"]), 1, config);
    let begun = fleet.begin_many(0, 1)[0];
    let mut served = 0;
    for to in fleet.others(0) {
        let request = Request {
            key: Some(fleet.next_request.into()),
            ..fleet.new_request(fleet.next_request, Some(Stream::Rest(Some(begun))))
        };
        let origin = fleet.records[&begun].origin.clone();
        let id = fleet.send_request(to, origin, request);
        let other = fleet.others(to)[0];
        fleet.advance(Duration::from_millis(260));
        let claimed = Body::Claimed {
            claim: id,
            status: ClaimStatus::Fresh,
        };
        fleet.send(other, settings(to).entry.peers, claimed);
        fleet.advance(Duration::from_millis(300));
        served += fleet.dispatched_within(&[id], Duration::from_secs(1));
    }
    assert_eq!(served, 8);
}

/// The instances outside a data centre that is cut off with the servers of one version have not seen
/// that version listed for longer than a stream may last.
#[test]
fn stream_begun_by_an_instance_with_an_old_list_does_not_go_on_elsewhere() {
    let mut config = config();
    if let Some(route) = config.routes.get_mut("letters") {
        route.timeout_ms = 3_000;
    }
    let mut servers = engines("engines", &["v1", "v2"]);
    servers.retain(|engine| {
        let is_west = engine.server.data_centre == DATA_CENTRES[2];
        is_west == (engine.server.software == "v1")
    });
    let mut fleet = Fleet::with_config(7, servers, 1, config);
    fleet.advance(Duration::from_secs(8));
    fleet.cut_off = Some(DATA_CENTRES[2]);
    fleet
        .listed
        .retain(|server| server.data_centre != DATA_CENTRES[2]);
    // Records of servers that can't renew them lapse. The store is in reach of the others.
    fleet.is_list_read = false;
    for _ in 0..20 {
        fleet.advance(LIST_PERIOD);
        for index in (0..7).filter(|index| index % 3 != 2) {
            let list = ServerListUpdate {
                revision: u64::try_from(fleet.now.as_millis()).unwrap_or(u64::MAX),
                servers: fleet.listed.clone(),
                ..ServerListUpdate::default()
            };
            fleet.input(index, Input::ServerList(list));
        }
    }
    fleet.is_list_read = true;
    let begun: Vec<RequestId> = (0..3).map(|_| fleet.begin(2)).collect();
    fleet.advance(Duration::from_secs(1));
    println!("Begun: {}.", fleet.summary(&begun));
    let began_at = &fleet.records[&begun[0]].origin;
    assert_eq!(
        began_at.as_ref().map(|(_, version)| version.as_str()),
        Some("v1")
    );
    fleet.kill(2);
    let taken_up: Vec<RequestId> = begun.iter().map(|id| fleet.take_up(0, *id)).collect();
    fleet.advance(Duration::from_secs(2));
    println!("Taken up: {}.", fleet.summary(&taken_up));
    fleet.assert_no_strays();
}

/// Takes streams up at instances that have all been started anew, several times and at once, and checks
/// that none of them goes on.
fn check_refused_after_restart(fleet: &mut Fleet, streams: &[RequestId]) {
    let first = fleet.next_request;
    for _ in 0..20 {
        for stream in streams {
            for index in [0, 1, 5] {
                let origin = fleet.records[stream].origin.clone();
                fleet.request(index, origin, Stream::Rest(Some(*stream)));
                fleet.request(index, None, Stream::Rest(None));
            }
        }
        fleet.advance(Duration::from_millis(500));
    }
    fleet.advance(Duration::from_secs(1));
    assert_eq!(fleet.strays, Vec::<String>::new());
    let taken_up = fleet.records.range(first..);
    for (id, record) in taken_up {
        assert!(record.dispatches.is_empty(), "{id} went on by a guess");
        assert_eq!(record.refused_because(), Some(Reason::UnknownOrigin));
    }
}

#[test]
fn streams_are_refused_after_all_instances_were_killed_at_once() {
    // Servers of both versions are there, or those of the old one have just left.
    for is_old_gone in [false, true] {
        let mut fleet = Fleet::new(9, engines("engines", &["1", "2"]), 21);
        let streams: Vec<RequestId> = (0..9).map(|index| fleet.begin(index)).collect();
        fleet.advance(Duration::from_millis(200));
        for index in 0..9 {
            fleet.kill(index);
        }
        if is_old_gone {
            fleet.engines.retain(|engine| engine.server.software == "2");
            fleet.publish();
        }
        for index in 0..9 {
            fleet.restart(index);
        }
        fleet.send_lists(true);
        check_refused_after_restart(&mut fleet, &streams);
    }
}

/// Servers of a second version join while the data centre of instance 0 is cut off from the others and
/// its list is held up, and streams begin on them elsewhere. Returns the instance of that data centre
/// that reads the list, and the streams, which have been lost.
fn begin_beyond_a_held_up_list(fleet: &mut Fleet) -> Vec<RequestId> {
    let mut joined = engines("joined", &["v2"]);
    for engine in &mut joined {
        engine.server.label = "engines".into();
    }
    fleet.engines.extend(joined);
    fleet.publish();
    fleet.cut_off = Some(DATA_CENTRES[0]);
    let count = fleet.instances.len();
    for index in (0..count).filter(|index| index % 3 != 0) {
        let list = fleet.current_list();
        fleet.input(index, Input::ServerList(list));
    }
    fleet.is_held = true;
    let streams: Vec<RequestId> = (0..12).map(|number| fleet.begin(1 + number % 2)).collect();
    fleet.advance(Duration::from_millis(150));
    fleet.send_first_events();
    for stream in &streams {
        fleet.lose(*stream, false);
    }
    fleet.is_held = false;
    let is_of_second = |id: &RequestId| {
        let origin = &fleet.records[id].origin;
        origin.as_ref().is_some_and(|(_, version)| version == "v2")
    };
    let streams: Vec<RequestId> = streams.into_iter().filter(is_of_second).collect();
    assert!(!streams.is_empty(), "streams began at the second version");
    streams
}

/// Guards against a list that was read before a stream began and is handled after its request came,
/// since the process or its connection to the store stood still: one version was listed all along.
#[test]
fn list_that_was_held_up_does_not_tell_the_origin_of_a_stream() {
    for held_up_ms in [500, 1_000, 2_000, 2_900, 3_500] {
        for instances in [3, 6] {
            let mut fleet = long_listed_fleet_of(instances, &["v1", "v1"]);
            fleet.is_list_read = false;
            let asked_at = fleet.now;
            let held_up = fleet.current_list();
            let readers: Vec<usize> = (0..instances)
                .filter(|index| index % 3 == 0)
                .filter(|index| fleet.instances[*index].should_read_server_list())
                .collect();
            let streams = begin_beyond_a_held_up_list(&mut fleet);
            fleet.advance((asked_at + Duration::from_millis(held_up_ms)).saturating_sub(fleet.now));
            let first = fleet.next_request;
            for stream in &streams {
                for index in (0..instances).filter(|index| index % 3 == 0) {
                    fleet.take_up(index, *stream);
                    fleet.take_up_unnamed(index, *stream);
                }
            }
            for reader in readers {
                let list = Input::ServerListRead(held_up.clone(), asked_at);
                fleet.input(reader, list);
            }
            fleet.advance(Duration::from_secs(2));
            fleet.assert_no_strays();
            for record in fleet.records.range(first..).map(|(_, record)| record) {
                assert_eq!(record.refused_because(), Some(Reason::UnknownOrigin));
            }
        }
    }
}

/// An instance that does not read the list itself asks the one that does.
#[test]
fn unknown_stream_goes_on_at_a_follower_once_the_list_is_read_anew() {
    let mut fleet = long_listed_fleet_of(6, &["v1", "v1"]);
    let ids: Vec<RequestId> = (0..6)
        .map(|index| fleet.request(index, None, Stream::Rest(None)))
        .collect();
    fleet.advance(Duration::from_secs(2));
    let served = fleet.dispatched_within(&ids, Duration::from_secs(1));
    assert_eq!(served, 6, "{}", fleet.summary(&ids));
}
