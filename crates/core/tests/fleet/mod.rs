//! A simulated fleet of instances and backend servers whose paths can be cut one by one, and the
//! platform's store.

// Each test file uses only some of the functions.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::WallTime;
use conf::Config;
use conf::Delivery;
use conf::Name;
use conf::Placing;
use conf::Pool;
use conf::Route;
use conf::Service;
use standin::platform::Platform;
use store::Answer;
use store::OutgoingCall;
use wigeon_core::Event;
use wigeon_core::Input;
use wigeon_core::Instance;
use wigeon_core::ListEntry;
use wigeon_core::Outcome;
use wigeon_core::Output;
use wigeon_core::Request;
use wigeon_core::ServerReport;
use wigeon_core::Settings;
use wigeon_core::Source;
use wigeon_core::message::Dispatch;
use wigeon_core::message::Stream;
use wigeon_core::outcome::Reason;
use wire::AttemptId;
use wire::Body;
use wire::Fingerprint;
use wire::Frame;
use wire::InstanceId;
use wire::RequestId;
use wire::gossip::Strike;
use wire::server_list::Server;
use wire::server_list::ServerListUpdate;

pub const DATA_CENTRES: [&str; 3] = ["east", "north", "west"];
/// Label of the model engines.
pub const ENGINES: &str = "engines";
/// Label of the plain servers.
pub const APPS: &str = "apps";
const WALL: Duration = Duration::from_secs(1_700_000_000);
const START: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(5);
/// Ticks of an instance that has no timer due.
const TICK_PERIOD: Duration = Duration::from_millis(20);
const MEMORY_TOKENS: u64 = 34_000;
const LINK_TIME: Duration = Duration::from_millis(1);
/// Time of a call to the store, and of its answer.
const STORE_TIME: Duration = Duration::from_millis(2);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which the kernel gives up a connection whose bytes are not acknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
const FIRST_EVENT_TIME: Duration = Duration::from_millis(60);
const EVENT_TIME: Duration = Duration::from_millis(200);
/// Events of a tag.
const TAG_EVENTS: u32 = 5;
const CALL_TIME: Duration = Duration::from_millis(15);
const LIST_PERIOD: Duration = Duration::from_millis(450);
/// Time after which a server that a request has crashed has restarted.
const RESTART_TIME: Duration = Duration::from_millis(4_500);
/// Time until a server crashes under a request that crashes it.
const CRASH_DELAY: Duration = Duration::from_millis(5);
/// Time until all instances know each other and coordinators grant places.
const WARM_UP: Duration = Duration::from_secs(8);
/// Requests per second and instance for each kind.
const RATE: f64 = 1.0;

/// How the paths of an instance fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// Packets are lost.
    Silence,
    /// Open connections are reset and new ones refused.
    Reset,
    /// Open connections live on and new ones are refused.
    NewOnly,
}

/// A kind of request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A stream of events that must not run twice.
    Letter,
    /// A stream of events that another server may continue at the same software version.
    Tag,
    /// A call that must not run twice.
    Mark,
    /// A call that may run more than once.
    Lookup,
}

impl Kind {
    fn route(self) -> &'static str {
        match self {
            Kind::Letter => "letters",
            Kind::Tag => "tags",
            Kind::Mark => "marks",
            Kind::Lookup => "lookups",
        }
    }
}

/// What a request consists of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Content {
    /// Fingerprint of all that a server is sent.
    pub fingerprint: Fingerprint,
    /// Fingerprint of path, caller and body.
    pub group: Fingerprint,
}

/// What became of one request of a caller.
#[derive(Clone, Debug)]
pub struct Record {
    pub kind: Kind,
    pub content: Content,
    pub instance: usize,
    pub sent_at: Duration,
    /// When each of its runs began.
    pub run_at: Vec<Duration>,
    pub runs: u32,
    pub served_at: Option<Duration>,
    /// Whether the caller was told that the request has not run.
    pub refused: bool,
    /// What a refused caller was told of when to come back.
    pub retry_after: Option<Duration>,
    /// When the caller was told that the request is not served.
    pub ended_at: Option<Duration>,
    pub failed: bool,
    pub is_gone: bool,
}

struct Backend {
    server: Server,
    up: bool,
}

#[derive(Clone)]
struct Run {
    instance: usize,
    backend: usize,
    request: RequestId,
    caller: RequestId,
    kind: Kind,
    /// Events that are left to be sent.
    left: u32,
    generated: u32,
    /// Events that the instance has not received because its path is silent.
    is_held: bool,
}

enum Step {
    Frame(usize, Frame),
    Input(usize, Input),
    StoreCall(usize, InstanceId, OutgoingCall),
    Arrival(usize, Dispatch),
    HandOver(usize, Dispatch),
    Emit(AttemptId),
    GiveUp(AttemptId),
    CrashUnder(usize, Fingerprint),
    Restart(usize),
}

pub struct Fleet {
    pub instances: Vec<Instance>,
    pub now: Duration,
    /// When the clocks of the instances began.
    started_at: Duration,
    pub records: BTreeMap<RequestId, Record>,
    /// Log lines with the instance that wrote them.
    pub lines: Vec<(Duration, usize, String)>,
    backends: Vec<Backend>,
    cuts: BTreeMap<(usize, usize), Cut>,
    addresses: BTreeMap<SocketAddr, usize>,
    steps: BTreeMap<(Duration, u64), Step>,
    next_step: u64,
    runs: BTreeMap<AttemptId, Run>,
    /// The caller's request of each request at an instance.
    callers: BTreeMap<(usize, RequestId), RequestId>,
    /// The sender and its attempt of each request that was handed over.
    origins: BTreeMap<(usize, RequestId), (usize, AttemptId)>,
    receivers: BTreeMap<AttemptId, (usize, RequestId)>,
    next_request: RequestId,
    next_boot: u64,
    last_list: Duration,
    due: f64,
    pub rng: fastrand::Rng,
    /// Whether callers send requests.
    pub is_loaded: bool,
    /// Whether the list of servers stays as it is, as their records in the store are not written.
    pub is_list_stale: bool,
    /// Instances that neither send nor read the kinds of frames that build dd701e6 does not know.
    pub earlier: BTreeSet<usize>,
    /// Requests that crash each server that begins to run them, by all that a server is sent.
    pub crashing: BTreeSet<Fingerprint>,
    /// When each server crashed under such a request.
    pub crashes: Vec<(Duration, Fingerprint)>,
    /// Share of runs whose answers are lost.
    pub lost_answers: f64,
    /// Instances that are cut off from the others, not from the servers.
    pub separated: BTreeSet<usize>,
    /// Strikes that instances have sent, by the group.
    pub strikes: BTreeMap<Fingerprint, BTreeSet<u64>>,
    pub store: Platform,
    /// Instances of a build that makes no calls to the store.
    pub storeless: BTreeSet<usize>,
    /// Instances that the store turns away.
    pub refused: BTreeSet<usize>,
    /// Era of the store.
    pub era: u64,
    /// Difference of the instances' wall clocks from the time of the simulation, from their last start
    /// on.
    pub wall_step: Duration,
    /// Number of times that all instances were restarted.
    restarts: u64,
}

fn settings(index: usize, data_centres: &[&str]) -> Settings {
    let id = u64::try_from(index + 1).unwrap_or(0);
    Settings {
        source: Source::External,
        strict: true,
        probe_period: Duration::from_millis(500),
        ..Settings::example(
            &format!("i{id}"),
            data_centres[index % data_centres.len()],
            id,
        )
    }
}

fn config() -> Config {
    let mut config = Config {
        version: 5,
        ..Config::default()
    };
    let engines = Pool {
        batch: 24,
        cold_limit: 24,
        memory_tokens: MEMORY_TOKENS,
        stride: 4,
        ..Pool::default()
    };
    let apps = Pool {
        service: Service::Plain,
        placing: Placing::Local,
        ..Pool::default()
    };
    config.pools.insert(ENGINES.into(), engines);
    config.pools.insert(APPS.into(), apps);
    let letters = Route {
        pool: ENGINES.into(),
        delivery: Delivery::Stream,
        idempotent: false,
        rerun: false,
        deadline_ms: 1_200,
        timeout_ms: 30_000,
        attempts: 2,
        ..Route::default()
    };
    let marks = Route {
        pool: APPS.into(),
        delivery: Delivery::Whole,
        deadline_ms: 1_000,
        timeout_ms: 1_000,
        attempts: 2,
        ..Route::default()
    };
    let lookups = Route {
        idempotent: true,
        rerun: true,
        ..marks.clone()
    };
    let tags = Route {
        idempotent: true,
        rerun: true,
        deadline_ms: 2_100,
        timeout_ms: 4_000,
        ..letters.clone()
    };
    config.routes.insert("letters".into(), letters);
    config.routes.insert("tags".into(), tags);
    config.routes.insert("marks".into(), marks);
    config.routes.insert("lookups".into(), lookups);
    config
}

fn backend(label: &str, index: usize, data_centres: &[&str]) -> Backend {
    let port = 8_000 + u16::try_from(index).unwrap_or(0);
    let server = Server {
        name: Name::from(format!("{label}-{index}")),
        data_centre: data_centres[index % data_centres.len()].into(),
        label: label.into(),
        address: ([127, 0, 1, u8::try_from(label.len()).unwrap_or(0)], port).into(),
        boot: 1,
        software: "1".into(),
        leaving: false,
        reclaimed: false,
        cold_left_ms: 0,
    };
    Backend { server, up: true }
}

impl Fleet {
    /// Starts a fleet in all data centres and waits until it serves.
    pub fn start(instances: usize, engines: usize, apps: usize, seed: u64) -> Fleet {
        Fleet::start_in(&DATA_CENTRES, instances, engines, apps, seed)
    }

    /// Starts a fleet in the given data centres and waits until it serves.
    pub fn start_in(
        data_centres: &[&str],
        instances: usize,
        engines: usize,
        apps: usize,
        seed: u64,
    ) -> Fleet {
        let engines = (0..engines).map(|index| backend(ENGINES, index, data_centres));
        let apps = (0..apps).map(|index| backend(APPS, index, data_centres));
        let settings = |index| settings(index, data_centres);
        let mut fleet = Fleet {
            instances: (0..instances).map(settings).map(Instance::new).collect(),
            now: START,
            started_at: Duration::ZERO,
            records: BTreeMap::new(),
            lines: Vec::new(),
            backends: engines.chain(apps).collect(),
            cuts: BTreeMap::new(),
            addresses: BTreeMap::new(),
            steps: BTreeMap::new(),
            next_step: 0,
            runs: BTreeMap::new(),
            callers: BTreeMap::new(),
            origins: BTreeMap::new(),
            receivers: BTreeMap::new(),
            next_request: 1,
            next_boot: 1,
            last_list: Duration::ZERO,
            due: 0.0,
            rng: fastrand::Rng::with_seed(seed),
            is_loaded: false,
            is_list_stale: false,
            earlier: BTreeSet::new(),
            crashing: BTreeSet::new(),
            crashes: Vec::new(),
            lost_answers: 0.0,
            separated: BTreeSet::new(),
            strikes: BTreeMap::new(),
            store: Platform::default(),
            storeless: BTreeSet::new(),
            refused: BTreeSet::new(),
            era: 0,
            wall_step: Duration::ZERO,
            restarts: 0,
        };
        for index in 0..instances {
            let peers = settings(index).entry.peers;
            fleet.addresses.insert(peers, index);
        }
        fleet.inform_all(data_centres);
        fleet.advance(WARM_UP);
        fleet.is_loaded = true;
        fleet
    }

    /// Kills all instances at once and starts them again, with clocks that begin at zero.
    pub fn restart_all(&mut self) {
        self.restarts += 1;
        self.runs.clear();
        self.origins.clear();
        self.receivers.clear();
        for (index, instance) in self.instances.iter_mut().enumerate() {
            let mut settings = settings(index, &DATA_CENTRES);
            settings.entry.id += 1_000 * self.restarts;
            settings.seed = settings.entry.id;
            *instance = Instance::new(settings);
        }
        self.started_at = self.now;
        self.inform_all(&DATA_CENTRES);
    }

    /// Tells all instances of each other, of the configuration and of the servers.
    fn inform_all(&mut self, data_centres: &[&str]) {
        let instances = self.instances.len();
        let listed: Vec<ListEntry> = (0..instances)
            .map(|index| settings(index, data_centres))
            .map(|settings| {
                let own = settings.entry;
                ListEntry::Instance(member::ListedInstance {
                    name: own.name,
                    data_centre: own.data_centre,
                    peers: own.peers,
                    leaving: false,
                })
            })
            .collect();
        let config = Arc::new(config());
        for index in 0..instances {
            self.input(index, Input::List(listed.clone()));
            self.input(index, Input::AdoptConfig(config.clone()));
        }
        self.send_lists(true);
    }

    fn wall(&self) -> WallTime {
        WALL + self.now + self.wall_step
    }

    /// Returns the time of the instances' monotonic clocks.
    fn clock_now(&self) -> Duration {
        self.now - self.started_at
    }

    /// Returns the instances of a data centre.
    pub fn of_data_centre(&self, data_centre: usize) -> BTreeSet<usize> {
        (0..self.instances.len())
            .filter(|index| index % DATA_CENTRES.len() == data_centre)
            .collect()
    }

    /// Returns as many instances as given, drawn at random.
    pub fn draw(&mut self, count: usize) -> BTreeSet<usize> {
        let mut all: Vec<usize> = (0..self.instances.len()).collect();
        self.rng.shuffle(&mut all);
        all.into_iter().take(count).collect()
    }

    /// Returns the instances that coordinate the engines of a data centre.
    pub fn coordinators(&self) -> BTreeSet<usize> {
        let coordinates = |index: &usize| {
            let name = |backend: &Backend| backend.server.name.clone();
            self.backends
                .iter()
                .map(name)
                .any(|name| self.instances[*index].server_load(&name).is_some())
        };
        (0..self.instances.len()).filter(coordinates).collect()
    }

    /// Cuts the paths of instances to a share of the servers of a label.
    pub fn cut(&mut self, instances: &BTreeSet<usize>, label: &str, share: f64, cut: Cut) {
        for instance in instances {
            for backend in 0..self.backends.len() {
                if self.backends[backend].server.label == label && self.rng.f64() < share {
                    self.cuts.insert((*instance, backend), cut);
                }
            }
        }
        let is_cut = |cuts: &BTreeMap<(usize, usize), Cut>, run: &Run| {
            cuts.get(&(run.instance, run.backend)) == Some(&cut)
        };
        let affected: Vec<AttemptId> = self
            .runs
            .iter()
            .filter(|(_, run)| is_cut(&self.cuts, run))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in affected {
            match cut {
                Cut::Reset => self.lose(attempt),
                Cut::Silence => {
                    if let Some(run) = self.runs.get_mut(&attempt) {
                        run.is_held = true;
                    }
                    self.schedule(UNACKNOWLEDGED_TIMEOUT, Step::GiveUp(attempt));
                }
                Cut::NewOnly => {}
            }
        }
    }

    /// Restores all paths of instances.
    pub fn heal(&mut self, instances: &BTreeSet<usize>) {
        self.cuts
            .retain(|(instance, _), _| !instances.contains(instance));
        let held: Vec<AttemptId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.is_held && instances.contains(&run.instance))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in held {
            if let Some(run) = self.runs.get_mut(&attempt) {
                run.is_held = false;
            }
            self.schedule(LINK_TIME, Step::Emit(attempt));
        }
    }

    /// Crashes servers, given by their number among all, engines first. All their runs are lost.
    pub fn crash(&mut self, backends: &[usize]) {
        for backend in backends {
            self.backends[*backend].up = false;
            let lost: Vec<AttemptId> = self
                .runs
                .iter()
                .filter(|(_, run)| run.backend == *backend)
                .map(|(attempt, _)| *attempt)
                .collect();
            for attempt in lost {
                self.lose(attempt);
            }
        }
    }

    pub fn restart(&mut self, backends: &[usize]) {
        for backend in backends {
            self.next_boot += 1;
            self.backends[*backend].up = true;
            self.backends[*backend].server.boot = self.next_boot;
        }
    }

    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let next = (self.now + STEP).min(end);
            while let Some((&(at, number), _)) = self.steps.first_key_value()
                && at <= next
            {
                self.now = self.now.max(at);
                if let Some(step) = self.steps.remove(&(at, number)) {
                    self.on_step(step);
                }
            }
            self.now = next;
            if self.now.saturating_sub(self.last_list) >= LIST_PERIOD {
                self.last_list = self.now;
                if !self.is_list_stale {
                    self.send_lists(false);
                }
            }
            let is_tick = self.now.as_millis().is_multiple_of(TICK_PERIOD.as_millis());
            for index in 0..self.instances.len() {
                let is_due = self.instances[index].next_wake();
                if is_tick || is_due.is_some_and(|due| due <= self.clock_now()) {
                    self.input(index, Input::Tick);
                }
            }
            if self.is_loaded {
                self.send_load();
            }
        }
    }

    fn send_load(&mut self) {
        let kinds = [Kind::Letter, Kind::Mark, Kind::Lookup];
        self.due += STEP.as_secs_f64() * RATE * (self.instances.len() * kinds.len()) as f64;
        while self.due >= 1.0 {
            self.due -= 1.0;
            let instance = self.rng.usize(..self.instances.len());
            let kind = kinds[self.rng.usize(..kinds.len())];
            self.send(instance, kind);
        }
    }

    /// Sends a caller's request to an instance.
    pub fn send(&mut self, instance: usize, kind: Kind) -> RequestId {
        let content = Content {
            fingerprint: self.next_request,
            group: self.next_request,
        };
        self.send_content(instance, kind, content)
    }

    /// Sends a caller's request with the given content to an instance.
    pub fn send_content(&mut self, instance: usize, kind: Kind, content: Content) -> RequestId {
        let id = self.next_request;
        self.next_request += 1;
        let record = Record {
            kind,
            content,
            instance,
            sent_at: self.now,
            run_at: Vec::new(),
            runs: 0,
            served_at: None,
            refused: false,
            retry_after: None,
            ended_at: None,
            failed: false,
            is_gone: false,
        };
        self.records.insert(id, record);
        self.callers.insert((instance, id), id);
        let request = new_request(id, kind, content, false);
        self.input(instance, Input::Request(request));
        id
    }

    /// Sends a strike of an instance of an earlier build to all instances.
    pub fn strike(&mut self, group: Fingerprint, server: u64) {
        let strikes = vec![Strike {
            fingerprint: group,
            server,
            age_s: 0,
        }];
        for to in 0..self.instances.len() {
            let frame = Frame {
                from: self.instances[0].id(),
                to: self.instances[to].id(),
                seq: 1,
                wall_ms: u64::try_from(self.wall().as_millis()).unwrap_or(u64::MAX),
                body: Body::Strikes {
                    strikes: strikes.clone(),
                },
            };
            self.schedule(LINK_TIME, Step::Frame(to, frame));
        }
    }

    /// Makes the caller of a request leave.
    pub fn leave(&mut self, request: RequestId) {
        if let Some(record) = self.records.get_mut(&request) {
            record.is_gone = true;
            let instance = record.instance;
            self.input(instance, Input::CallerGone(request));
        }
    }

    /// Returns the number of runs at servers.
    pub fn run_count(&self, request: RequestId) -> usize {
        let runs = self.runs.values();
        runs.filter(|run| run.caller == request).count()
    }

    fn schedule(&mut self, after: Duration, step: Step) {
        self.next_step += 1;
        self.steps.insert((self.now + after, self.next_step), step);
    }

    fn input(&mut self, index: usize, input: Input) {
        let (now, wall) = (self.clock_now(), self.wall());
        let outputs = self.instances[index].handle(now, wall, input);
        for output in outputs {
            self.on_output(index, output);
        }
    }

    fn backend_of(&self, name: &str) -> Option<usize> {
        let is_named = |backend: &Backend| backend.server.name == name;
        self.backends.iter().position(is_named)
    }

    /// Returns the time after which an instance knows that it has no path to a server, if it has
    /// none.
    fn connect_failure(&self, index: usize, backend: usize) -> Option<Duration> {
        let is_up = self.backends[backend].up;
        match self.cuts.get(&(index, backend)) {
            Some(Cut::Silence) => Some(CONNECT_TIMEOUT),
            Some(Cut::Reset | Cut::NewOnly) => Some(2 * LINK_TIME),
            None => (!is_up).then_some(2 * LINK_TIME),
        }
    }

    fn on_output(&mut self, index: usize, output: Output) {
        match output {
            Output::Send { address, body, .. } => self.on_frame_sent(index, address, body),
            Output::Probe {
                server, sent_at, ..
            } => self.on_probe(index, server, sent_at),
            Output::TestPath {
                server, started_at, ..
            } => {
                if let Some(backend) = self.backend_of(&server) {
                    let failure = self.connect_failure(index, backend);
                    let input = Input::PathTested(server, started_at, failure.is_none());
                    let after = failure.unwrap_or(2 * LINK_TIME);
                    self.schedule(after, Step::Input(index, input));
                }
            }
            Output::Dispatch(dispatch) if dispatch.hands_over => {
                self.schedule(2 * LINK_TIME, Step::HandOver(index, dispatch));
            }
            Output::Dispatch(dispatch) => self.on_dispatch(index, dispatch),
            Output::Cancel { attempt, .. } => {
                self.runs.remove(&attempt);
                if let Some((receiver, request)) = self.receivers.remove(&attempt) {
                    self.origins.remove(&(receiver, request));
                    self.input(receiver, Input::CallerGone(request));
                }
            }
            Output::Finish { request, outcome } => self.on_finish(index, request, &outcome),
            Output::Store(sent) => {
                let step = Step::StoreCall(index, self.instances[index].id(), sent);
                self.schedule(STORE_TIME, step);
            }
            Output::Log { text, .. } => self.lines.push((self.now, index, text)),
            _ => {}
        }
    }

    fn on_frame_sent(&mut self, index: usize, address: SocketAddr, body: Body) {
        let Some(to) = self.addresses.get(&address).copied() else {
            return;
        };
        if self.separated.contains(&index) != self.separated.contains(&to) {
            return;
        }
        if let Body::Strikes { strikes } = &body {
            for strike in strikes {
                let servers = self.strikes.entry(strike.fingerprint).or_default();
                servers.insert(strike.server);
            }
        }
        let is_new = matches!(
            body,
            Body::Paths { .. }
                | Body::ProbeServer { .. }
                | Body::ServerProbed { .. }
                | Body::RequestFindings { .. }
                | Body::RequestTrial { .. }
                | Body::AwaitServerList { .. }
                | Body::ServerListRead { .. }
        );
        if is_new && (self.earlier.contains(&index) || self.earlier.contains(&to)) {
            return;
        }
        let frame = Frame {
            from: self.instances[index].id(),
            to: self.instances[to].id(),
            seq: 1,
            wall_ms: u64::try_from(self.wall().as_millis()).unwrap_or(u64::MAX),
            body,
        };
        self.schedule(LINK_TIME, Step::Frame(to, frame));
    }

    fn on_probe(&mut self, index: usize, server: Name, sent_at: Duration) {
        let Some(backend) = self.backend_of(&server) else {
            return;
        };
        let failure = self.connect_failure(index, backend);
        let report = failure.is_none().then(|| ServerReport {
            load: admit::Load {
                boot: self.backends[backend].server.boot,
                capacity_tokens: MEMORY_TOKENS,
                ..admit::Load::default()
            },
            ready: true,
            ..ServerReport::default()
        });
        let after = failure.unwrap_or(2 * LINK_TIME).min(REPORT_TIMEOUT);
        let input = Input::Report(server, sent_at, report);
        self.schedule(after, Step::Input(index, input));
    }

    fn on_dispatch(&mut self, index: usize, dispatch: Dispatch) {
        let Some(backend) = self.backend_of(&dispatch.server) else {
            return;
        };
        match self.connect_failure(index, backend) {
            Some(after) => {
                let input = Input::Attempt(dispatch.attempt, Event::Unreachable);
                self.schedule(after, Step::Input(index, input));
            }
            None => self.schedule(LINK_TIME, Step::Arrival(index, dispatch)),
        }
    }

    fn on_finish(&mut self, index: usize, request: RequestId, outcome: &Outcome) {
        let is_refused = matches!(outcome, Outcome::Refused(_));
        if let Some((sender, attempt)) = self.origins.remove(&(index, request)) {
            self.receivers.remove(&attempt);
            let event = match outcome {
                Outcome::Refused(refusal) if refusal.reason() == Reason::Overloaded => {
                    let retry_after = refusal.retry_after().unwrap_or_default();
                    Event::NoRoom { retry_after }
                }
                Outcome::Refused(_) => Event::Refused,
                _ => Event::Lost {
                    crashed: true,
                    delivered: 0,
                },
            };
            self.schedule(
                LINK_TIME,
                Step::Input(sender, Input::Attempt(attempt, event)),
            );
            return;
        }
        if let Some(record) = self.records.get_mut(&request) {
            record.refused |= is_refused;
            record.failed |= !is_refused;
            record.ended_at = Some(self.now);
            record.retry_after = match outcome {
                Outcome::Refused(refusal) => refusal.retry_after(),
                _ => None,
            };
        }
    }

    fn on_step(&mut self, step: Step) {
        match step {
            Step::Frame(to, frame) => self.input(to, Input::Frame(frame)),
            Step::Input(to, input) => self.input(to, input),
            Step::Arrival(index, dispatch) => self.on_arrival(index, &dispatch),
            Step::StoreCall(index, caller, sent) => self.on_store_call(index, caller, &sent),
            Step::HandOver(index, dispatch) => self.on_hand_over(index, &dispatch),
            Step::Emit(attempt) => self.on_emit(attempt),
            Step::CrashUnder(backend, request) => {
                self.crashes.push((self.now, request));
                self.crash(&[backend]);
                self.schedule(RESTART_TIME, Step::Restart(backend));
            }
            Step::Restart(backend) => self.restart(&[backend]),
            Step::GiveUp(attempt) => {
                if self.runs.get(&attempt).is_some_and(|run| run.is_held) {
                    self.lose(attempt);
                }
            }
        }
    }

    /// Carries out a call to the store, unless its caller was replaced.
    fn on_store_call(&mut self, index: usize, caller: InstanceId, sent: &OutgoingCall) {
        if self.storeless.contains(&index) || self.instances[index].id() != caller {
            return;
        }
        let answer = match self.refused.contains(&index) {
            true => Answer::Unreachable,
            false => self.store.call(self.now, &sent.call),
        };
        self.schedule(
            STORE_TIME,
            Step::Input(index, Input::Store(sent.id, answer)),
        );
    }

    fn on_hand_over(&mut self, sender: usize, dispatch: &Dispatch) {
        let is_named = |instance: &Instance| {
            let own = instance.entry(instance.id());
            own.is_some_and(|own| own.name == dispatch.server)
        };
        let receiver = self.instances.iter().position(is_named);
        let receiver = receiver.expect("the instance exists");
        let Some(caller) = self.callers.get(&(sender, dispatch.request)).copied() else {
            return;
        };
        let id = self.next_request;
        self.next_request += 1;
        self.callers.insert((receiver, id), caller);
        self.origins
            .insert((receiver, id), (sender, dispatch.attempt));
        self.receivers.insert(dispatch.attempt, (receiver, id));
        let Record { kind, content, .. } = self.records[&caller];
        let request = new_request(id, kind, content, true);
        self.input(receiver, Input::Request(request));
    }

    fn on_arrival(&mut self, instance: usize, dispatch: &Dispatch) {
        let Some(backend) = self.backend_of(&dispatch.server) else {
            return;
        };
        let Some(caller) = self.callers.get(&(instance, dispatch.request)).copied() else {
            return;
        };
        let server = &self.backends[backend].server;
        if !self.backends[backend].up || (dispatch.boot != 0 && server.boot != dispatch.boot) {
            let input = Input::Attempt(dispatch.attempt, Event::Unreachable);
            self.schedule(LINK_TIME, Step::Input(instance, input));
            return;
        }
        let record = self.records.get_mut(&caller).expect("it is recorded");
        record.runs += 1;
        record.run_at.push(self.now);
        let kind = record.kind;
        let fingerprint = record.content.fingerprint;
        if self.crashing.contains(&fingerprint) {
            self.schedule(CRASH_DELAY, Step::CrashUnder(backend, fingerprint));
        }
        let events = match kind {
            Kind::Letter => self.rng.u32(2..12),
            Kind::Tag => TAG_EVENTS,
            Kind::Mark | Kind::Lookup => 1,
        };
        let run = Run {
            instance,
            backend,
            request: dispatch.request,
            caller,
            kind,
            left: events,
            generated: 0,
            is_held: false,
        };
        self.runs.insert(dispatch.attempt, run);
        let time = match kind {
            Kind::Letter | Kind::Tag => FIRST_EVENT_TIME,
            Kind::Mark | Kind::Lookup => CALL_TIME,
        };
        self.schedule(time, Step::Emit(dispatch.attempt));
    }

    /// Sends the next event of a run, the last one with the end of the response.
    fn on_emit(&mut self, attempt: AttemptId) {
        let Some(run) = self.runs.get_mut(&attempt) else {
            return;
        };
        if run.is_held {
            return;
        }
        if self.lost_answers > 0.0 && self.rng.f64() < self.lost_answers {
            self.lose(attempt);
            return;
        }
        run.left -= 1;
        run.generated += 16;
        let run = run.clone();
        let is_first = run.generated == 16;
        if run.left > 0 {
            let event = match is_first {
                true => Event::FirstToken,
                false => Event::Progress {
                    generated: run.generated,
                    delivered: run.generated,
                },
            };
            self.deliver(attempt, &run, &event);
            self.schedule(EVENT_TIME, Step::Emit(attempt));
            return;
        }
        let complete = Event::Complete {
            generated: run.generated,
            gap: EVENT_TIME,
            answer: wire::ledger::Answer::default(),
        };
        self.deliver(attempt, &run, &complete);
        self.runs.remove(&attempt);
        if let Some(record) = self.records.get_mut(&run.caller) {
            record.served_at = Some(self.now);
        }
    }

    /// Passes an event to the instance that made the attempt, and on to the one that handed the
    /// request over.
    fn deliver(&mut self, attempt: AttemptId, run: &Run, event: &Event) {
        let origin = self.origins.get(&(run.instance, run.request)).copied();
        self.input(run.instance, Input::Attempt(attempt, event.clone()));
        if let Some((sender, sent)) = origin {
            if matches!(event, Event::Complete { .. }) {
                self.origins.remove(&(run.instance, run.request));
                self.receivers.remove(&sent);
            }
            self.schedule(
                LINK_TIME,
                Step::Input(sender, Input::Attempt(sent, event.clone())),
            );
        }
    }

    fn lose(&mut self, attempt: AttemptId) {
        if let Some(run) = self.runs.remove(&attempt) {
            let event = Event::Lost {
                crashed: true,
                delivered: run.generated,
            };
            let input = Input::Attempt(attempt, event);
            self.schedule(LINK_TIME, Step::Input(run.instance, input));
        }
    }

    fn send_lists(&mut self, to_all: bool) {
        for index in 0..self.instances.len() {
            if to_all || self.instances[index].should_read_server_list() {
                let servers = self.backends.iter();
                let list = ServerListUpdate {
                    era: self.era,
                    revision: u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX),
                    servers: servers.map(|backend| backend.server.clone()).collect(),
                    ..ServerListUpdate::default()
                };
                self.input(index, Input::ServerList(list));
            }
        }
    }
}

fn new_request(id: RequestId, kind: Kind, content: Content, handed_over: bool) -> Request {
    Request {
        id,
        organisation: "shop".into(),
        route: kind.route().into(),
        key: None,
        fingerprint: content.fingerprint,
        group: content.group,
        prompt_tokens: match kind {
            Kind::Letter | Kind::Tag => 2_000,
            Kind::Mark | Kind::Lookup => 0,
        },
        prefixes: Vec::new(),
        // Half of the letters share a template.
        parts: if kind == Kind::Letter {
            vec![content.fingerprint % 2 + 7]
        } else {
            Vec::new()
        },
        max_tokens: None,
        expected_tokens: Some(120),
        timeout: Some(Duration::from_millis(match kind {
            Kind::Letter => 30_000,
            Kind::Tag => 6_000,
            Kind::Mark | Kind::Lookup => 1_000,
        })),
        stream: (kind == Kind::Tag).then_some(Stream::New(content.fingerprint)),
        handed_over,
    }
}
