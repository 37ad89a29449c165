//! Parts of prompts that crash each backend server that begins to write an answer on them, among
//! requests that share the other parts.

mod driver;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use conf::Config;
use conf::Delivery;
use conf::Name;
use conf::Pool;
use conf::Route;
use wigeon_core::Event;
use wigeon_core::Input;
use wigeon_core::Instance;
use wigeon_core::Outcome;
use wigeon_core::Output;
use wigeon_core::Request;
use wigeon_core::ServerReport;
use wigeon_core::Settings;
use wigeon_core::Source;
use wigeon_core::message::Dispatch;
use wire::Frame;
use wire::PartId;
use wire::server_list::Server;
use wire::server_list::ServerListUpdate;

const WALL: Duration = Duration::from_secs(1_700_000_000);
const START: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(10);
const DATA_CENTRES: [&str; 3] = ["east", "north", "west"];
const INSTANCES: usize = 7;
const SERVERS: usize = 18;
const MEMORY_TOKENS: u64 = 34_000;
/// Time from an attempt's arrival at a server until the server begins to write.
const PREFILL_TIME: Duration = Duration::from_millis(400);
/// Time from then until a server crashes under a part that crashes it.
const CRASH_DELAY: Duration = Duration::from_millis(100);
/// Time from then until 32 tokens are written.
const OPENING_TIME: Duration = Duration::from_millis(250);
/// Time after which a crashed server has restarted.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time between two reads of the list.
const LIST_PERIOD: Duration = Duration::from_millis(450);
/// Number of distinct first parts, and of second parts, of sound requests.
const FIRST_PARTS: u64 = 8;
const SECOND_PARTS: u64 = 200;
/// Sound requests that arrive per second.
const SOUND_RATE: f64 = 16.0;
/// Time in which a request that is served begins.
const BEGIN_TIME_MAX: Duration = Duration::from_secs(1);
/// Number of crashes after which a part must be known at all instances, and the time in which it
/// must be known.
const CRASHES_MAX: usize = 5;
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests with such a part that may reach servers after that.
const LATE_RUNS_MAX: usize = 3;

struct Engine {
    server: Server,
    up: bool,
}

struct Run {
    instance: usize,
    engine: usize,
    attempt: u64,
    request: u64,
    generated: u32,
}

enum Step {
    Frame(usize, Frame),
    Arrival(usize, Dispatch),
    Write(u64),
    Crash(usize, BTreeSet<PartId>),
    Opening(u64),
    Complete(u64),
    Restart(usize),
}

/// What became of one request.
#[derive(Clone, Default)]
struct Record {
    parts: Vec<PartId>,
    arrived_at: Duration,
    /// When each of its attempts was dispatched.
    dispatches: Vec<Duration>,
    began: bool,
    completed: bool,
    refused: bool,
}

struct Fleet {
    instances: Vec<Instance>,
    engines: Vec<Engine>,
    now: Duration,
    steps: BTreeMap<(Duration, u64), Step>,
    next_step: u64,
    runs: BTreeMap<u64, Run>,
    /// Requests that were handed over, by receiver and id, with their sender and its attempt.
    handed_over: BTreeMap<(usize, u64), (usize, u64)>,
    /// The request as its caller sent it, by id.
    requests: BTreeMap<u64, Request>,
    records: BTreeMap<u64, Record>,
    /// Parts that crash servers.
    bad: BTreeSet<PartId>,
    /// When each crash under such a part happened.
    crashes: BTreeMap<PartId, Vec<Duration>>,
    /// Whether the first data centre is cut off from the others.
    is_cut: bool,
    rng: fastrand::Rng,
    sound_due: f64,
    bad_due: f64,
    /// Requests with a bad part that arrive per second.
    bad_rate: f64,
    boot: u64,
}

fn settings(id: u64) -> Settings {
    let data_centre = DATA_CENTRES[usize::try_from(id).unwrap_or(0) % DATA_CENTRES.len()];
    Settings {
        source: Source::External,
        strict: true,
        ..Settings::example(&format!("i{id}"), data_centre, id)
    }
}

fn config() -> Config {
    let pool = Pool {
        batch: 24,
        cold_limit: 24,
        memory_tokens: MEMORY_TOKENS,
        stride: 4,
        ..Pool::default()
    };
    let route = Route {
        pool: "engines".into(),
        delivery: Delivery::Stream,
        idempotent: true,
        rerun: true,
        deadline_ms: 1_500,
        timeout_ms: 39_000,
        attempts: 2,
        ..Route::default()
    };
    let mut config = Config {
        version: 5,
        ..Config::default()
    };
    config.pools.insert("engines".into(), pool);
    config.routes.insert("letters".into(), route);
    config
}

fn first_part(number: u64) -> PartId {
    1_000 + number
}

fn second_part(number: u64) -> PartId {
    10_000 + number
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let ids = 1..=u64::try_from(INSTANCES).unwrap_or(0);
        let listed = driver::listed_instances(ids.clone().map(settings));
        let engine = |index: usize| Engine {
            server: Server {
                name: Name::from(format!("engine-{index}")),
                data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].into(),
                label: "engines".into(),
                address: (
                    [127, 0, 0, 1],
                    8_000 + u16::try_from(index).unwrap_or_default(),
                )
                    .into(),
                boot: 1,
                software: Name::default(),
                leaving: false,
                reclaimed: false,
                cold_left_ms: 0,
            },
            up: true,
        };
        let mut fleet = Fleet {
            instances: ids.map(|id| Instance::new(settings(id))).collect(),
            engines: (0..SERVERS).map(engine).collect(),
            now: START,
            steps: BTreeMap::new(),
            next_step: 0,
            runs: BTreeMap::new(),
            handed_over: BTreeMap::new(),
            requests: BTreeMap::new(),
            records: BTreeMap::new(),
            bad: BTreeSet::new(),
            crashes: BTreeMap::new(),
            is_cut: false,
            rng: fastrand::Rng::with_seed(seed),
            sound_due: 0.0,
            bad_due: 0.0,
            bad_rate: 0.0,
            boot: 1,
        };
        for index in 0..INSTANCES {
            fleet.input(index, Input::List(listed.clone()));
            fleet.input(index, Input::AdoptConfig(Arc::new(config())));
        }
        fleet.send_lists(true);
        fleet.advance_without_load(Duration::from_secs(4));
        fleet
    }

    fn schedule(&mut self, after: Duration, step: Step) {
        self.next_step += 1;
        self.steps.insert((self.now + after, self.next_step), step);
    }

    fn input(&mut self, index: usize, input: Input) {
        let outputs = self.instances[index].handle(self.now, WALL + self.now, input);
        for output in outputs {
            self.on_output(index, output);
        }
    }

    fn on_output(&mut self, index: usize, output: Output) {
        match output {
            Output::Send { address, body, .. } => {
                let to = self.instances.iter().position(|instance| {
                    let own = instance.entry(instance.id());
                    own.is_some_and(|own| own.peers == address)
                });
                let Some(to) = to.filter(|to| *to != index) else {
                    return;
                };
                let side = |index: usize| {
                    let own = self.instances[index].entry(self.instances[index].id());
                    own.is_some_and(|own| own.data_centre == DATA_CENTRES[0])
                };
                if self.is_cut && side(index) != side(to) {
                    return;
                }
                let frame = Frame {
                    from: self.instances[index].id(),
                    to: self.instances[to].id(),
                    seq: 1,
                    wall_ms: u64::try_from((WALL + self.now).as_millis()).unwrap_or(u64::MAX),
                    body,
                };
                self.schedule(Duration::from_millis(1), Step::Frame(to, frame));
            }
            Output::Probe {
                server, sent_at, ..
            } => {
                let engine = self
                    .engines
                    .iter()
                    .find(|engine| engine.server.name == server && engine.up);
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
            Output::TestPath {
                server, started_at, ..
            } => {
                let mut engines = self.engines.iter();
                let reached = engines.any(|engine| engine.server.name == server && engine.up);
                self.input(index, Input::PathTested(server, started_at, reached));
            }
            Output::Dispatch(dispatch) if dispatch.hands_over => self.hand_over(index, &dispatch),
            Output::Dispatch(dispatch) => {
                let now = self.now;
                if let Some(record) = self.records.get_mut(&dispatch.request) {
                    record.dispatches.push(now);
                }
                self.schedule(Duration::from_millis(1), Step::Arrival(index, dispatch));
            }
            Output::Cancel { attempt, .. } => {
                self.runs.remove(&attempt);
            }
            Output::Finish { request, outcome } => {
                let is_refused = matches!(outcome, Outcome::Refused(_));
                if let Some((sender, attempt)) = self.handed_over.remove(&(index, request)) {
                    let event = match is_refused {
                        true => Event::Refused,
                        false => Event::Lost {
                            crashed: true,
                            delivered: 0,
                        },
                    };
                    self.input(sender, Input::Attempt(attempt, event));
                    return;
                }
                if let Some(record) = self.records.get_mut(&request) {
                    record.refused |= is_refused;
                }
            }
            _ => {}
        }
    }

    fn on_step(&mut self, step: Step) {
        match step {
            Step::Frame(to, frame) => self.input(to, Input::Frame(frame)),
            Step::Arrival(instance, dispatch) => self.on_arrival(instance, &dispatch),
            Step::Write(attempt) => self.on_write(attempt),
            Step::Crash(engine, parts) => self.crash(engine, &parts),
            Step::Opening(attempt) => {
                if let Some(run) = self.runs.get_mut(&attempt) {
                    run.generated = 32;
                    let instance = run.instance;
                    let progress = Event::Progress {
                        generated: 32,
                        delivered: 32,
                    };
                    self.input(instance, Input::Attempt(attempt, progress));
                }
            }
            Step::Complete(attempt) => {
                if let Some(run) = self.runs.remove(&attempt) {
                    if let Some(record) = self.records.get_mut(&run.request) {
                        record.completed = true;
                    }
                    let complete = Event::Complete {
                        generated: 120,
                        gap: Duration::from_millis(20),
                        answer: wire::ledger::Answer::default(),
                    };
                    self.input(run.instance, Input::Attempt(attempt, complete.clone()));
                    let handed_over = self.handed_over.remove(&(run.instance, run.request));
                    if let Some((sender, attempt)) = handed_over {
                        self.input(sender, Input::Attempt(attempt, complete));
                    }
                }
            }
            Step::Restart(engine) => {
                self.boot += 1;
                self.engines[engine].server.boot = self.boot;
                self.engines[engine].up = true;
            }
        }
    }

    /// Passes a request that an instance hands over to the receiver.
    fn hand_over(&mut self, sender: usize, dispatch: &Dispatch) {
        let receiver = self.instances.iter().position(|instance| {
            let entry = instance.entry(instance.id());
            entry.is_some_and(|entry| entry.name == dispatch.server)
        });
        let receiver = receiver.expect("the instance exists");
        let request = Request {
            handed_over: true,
            ..self.requests[&dispatch.request].clone()
        };
        let key = (receiver, dispatch.request);
        self.handed_over.insert(key, (sender, dispatch.attempt));
        self.input(receiver, Input::Request(request));
    }

    fn on_arrival(&mut self, instance: usize, dispatch: &Dispatch) {
        let engine = self
            .engines
            .iter()
            .position(|engine| engine.server.name == dispatch.server)
            .expect("the server exists");
        if !self.engines[engine].up || self.engines[engine].server.boot != dispatch.boot {
            self.input(
                instance,
                Input::Attempt(dispatch.attempt, Event::Unreachable),
            );
            return;
        }
        let run = Run {
            instance,
            engine,
            attempt: dispatch.attempt,
            request: dispatch.request,
            generated: 0,
        };
        self.runs.insert(dispatch.attempt, run);
        self.schedule(PREFILL_TIME, Step::Write(dispatch.attempt));
    }

    fn on_write(&mut self, attempt: u64) {
        let Some(run) = self.runs.get(&attempt) else {
            return;
        };
        let (instance, engine) = (run.instance, run.engine);
        let record = self.records.get_mut(&run.request).expect("it is recorded");
        record.began = true;
        let crashing: BTreeSet<PartId> = record
            .parts
            .iter()
            .filter(|part| self.bad.contains(part))
            .copied()
            .collect();
        if !crashing.is_empty() {
            self.schedule(CRASH_DELAY, Step::Crash(engine, crashing));
            return;
        }
        self.input(instance, Input::Attempt(attempt, Event::FirstToken));
        self.schedule(OPENING_TIME, Step::Opening(attempt));
        let time = Duration::from_millis(self.rng.u64(400..4_000));
        self.schedule(time, Step::Complete(attempt));
    }

    fn crash(&mut self, engine: usize, parts: &BTreeSet<PartId>) {
        if !self.engines[engine].up {
            return;
        }
        self.engines[engine].up = false;
        for part in parts {
            self.crashes.entry(*part).or_default().push(self.now);
        }
        let lost: Vec<u64> = self
            .runs
            .values()
            .filter(|run| run.engine == engine)
            .map(|run| run.attempt)
            .collect();
        for attempt in lost {
            // A run that was lost may be cancelled by what its loss tells of another one.
            let Some(run) = self.runs.remove(&attempt) else {
                continue;
            };
            let event = Event::Lost {
                crashed: true,
                delivered: run.generated,
            };
            self.input(run.instance, Input::Attempt(attempt, event));
        }
        self.schedule(RESTART_TIME, Step::Restart(engine));
    }

    fn send_lists(&mut self, to_all: bool) {
        for index in 0..INSTANCES {
            if to_all || self.instances[index].should_read_server_list() {
                let list = ServerListUpdate {
                    revision: u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX),
                    servers: self
                        .engines
                        .iter()
                        .map(|engine| engine.server.clone())
                        .collect(),
                    ..ServerListUpdate::default()
                };
                self.input(index, Input::ServerList(list));
            }
        }
    }

    fn advance_without_load(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let next = self.now + STEP;
            while let Some((&(at, number), _)) = self.steps.first_key_value()
                && at <= next
            {
                self.now = self.now.max(at);
                if let Some(step) = self.steps.remove(&(at, number)) {
                    self.on_step(step);
                }
            }
            self.now = next;
            for index in 0..INSTANCES {
                self.input(index, Input::Tick);
            }
            if self.now.as_millis().is_multiple_of(LIST_PERIOD.as_millis()) {
                self.send_lists(false);
            }
        }
    }

    /// Advances the time under load.
    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.sound_due += SOUND_RATE * STEP.as_secs_f64();
            self.bad_due += self.bad_rate * STEP.as_secs_f64();
            while self.sound_due >= 1.0 {
                self.sound_due -= 1.0;
                let parts = self.sound_parts();
                self.request(parts);
            }
            while self.bad_due >= 1.0 {
                self.bad_due -= 1.0;
                let mut parts = self.sound_parts();
                let bad: Vec<PartId> = self.bad.iter().copied().collect();
                let part = bad[self.rng.usize(..bad.len())];
                // A bad part stands in the place that parts of its kind have.
                let place = usize::from(part >= second_part(0));
                parts[place] = part;
                self.request(parts);
            }
            self.advance_without_load(STEP);
        }
    }

    fn sound_parts(&mut self) -> Vec<PartId> {
        vec![
            first_part(self.rng.u64(..FIRST_PARTS)),
            second_part(self.rng.u64(..SECOND_PARTS)),
        ]
    }

    fn request(&mut self, parts: Vec<PartId>) {
        let id = self.rng.u64(1..);
        let record = Record {
            parts: parts.clone(),
            arrived_at: self.now,
            ..Record::default()
        };
        self.records.insert(id, record);
        let request = Request {
            id,
            organisation: "shop".into(),
            route: "letters".into(),
            key: None,
            fingerprint: id,
            group: id,
            prompt_tokens: 1_500,
            prefixes: Vec::new(),
            parts,
            max_tokens: None,
            expected_tokens: Some(120),
            timeout: Some(Duration::from_secs(39)),
            stream: None,
            handed_over: false,
        };
        let index = self.rng.usize(..INSTANCES);
        self.requests.insert(id, request.clone());
        self.input(index, Input::Request(request));
    }

    /// Returns how many requests with a part reached servers later than [`CONTACT_TIME`] after its
    /// fifth crash.
    fn late_runs(&self, part: PartId) -> usize {
        let Some(fifth) = self
            .crashes
            .get(&part)
            .and_then(|times| times.get(CRASHES_MAX - 1))
        else {
            return 0;
        };
        let limit = *fifth + CONTACT_TIME;
        self.records
            .values()
            .filter(|record| record.parts.contains(&part))
            .flat_map(|record| &record.dispatches)
            .filter(|at| **at > limit)
            .count()
    }

    /// Returns the share of sound requests that began, of those that arrived in a time and have a
    /// given first part. Those that have just arrived don't count.
    fn begun_share(&self, from: Duration, to: Duration, first: Option<PartId>) -> f64 {
        let to = to.min(self.now - BEGIN_TIME_MAX);
        let sound: Vec<&Record> = self
            .records
            .values()
            .filter(|record| (from..to).contains(&record.arrived_at))
            .filter(|record| !record.parts.iter().any(|part| self.bad.contains(part)))
            .filter(|record| first.is_none_or(|first| record.parts[0] == first))
            .collect();
        let begun = sound.iter().filter(|record| record.began).count();
        begun as f64 / sound.len().max(1) as f64
    }

    fn assert_bad_parts_are_barred(&self) {
        for part in &self.bad {
            let crashes = self.crashes.get(part).map_or(0, Vec::len);
            let late = self.late_runs(*part);
            assert!(
                late <= LATE_RUNS_MAX,
                "part {part}: {late} late runs, {crashes} crashes"
            );
        }
    }
}

#[test]
fn requests_with_a_part_that_crashes_servers_are_no_longer_run() {
    for seed in 1..=4 {
        let mut fleet = Fleet::new(seed);
        fleet.advance(Duration::from_secs(8));
        let begun_before = fleet.begun_share(START, fleet.now, None);
        assert!(begun_before > 0.95, "{begun_before}");
        fleet.bad.insert(second_part(SECOND_PARTS));
        fleet.bad_rate = 2.0;
        fleet.advance(Duration::from_secs(20));
        let from = fleet.now;
        fleet.advance(Duration::from_secs(40));
        fleet.assert_bad_parts_are_barred();
        for number in 0..FIRST_PARTS {
            let begun = fleet.begun_share(from, fleet.now, Some(first_part(number)));
            assert!(begun > begun_before / 2.0, "first part {number}: {begun}");
        }
    }
}

#[test]
fn many_parts_that_crash_servers_at_once_are_told_from_sound_ones() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed);
        fleet.advance(Duration::from_secs(8));
        let first = fleet.now;
        for number in 0..4 {
            fleet.bad.insert(first_part(FIRST_PARTS + number));
            fleet.bad.insert(second_part(SECOND_PARTS + number));
        }
        fleet.bad_rate = 8.0;
        fleet.advance(Duration::from_secs(30));
        let from = fleet.now;
        fleet.advance(Duration::from_secs(40));
        fleet.assert_bad_parts_are_barred();
        let begun_before = fleet.begun_share(START, first, None);
        for number in 0..FIRST_PARTS {
            let begun = fleet.begun_share(from, fleet.now, Some(first_part(number)));
            assert!(begun > begun_before / 2.0, "first part {number}: {begun}");
        }
    }
}

#[test]
fn part_that_crashes_servers_on_both_sides_of_a_partition_is_barred() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed);
        fleet.advance(Duration::from_secs(6));
        fleet.is_cut = true;
        fleet.advance(Duration::from_secs(2));
        fleet.bad.insert(second_part(SECOND_PARTS));
        fleet.bad_rate = 2.0;
        fleet.advance(Duration::from_secs(15));
        fleet.is_cut = false;
        fleet.advance(Duration::from_secs(30));
        fleet.assert_bad_parts_are_barred();
    }
}

#[test]
fn parts_are_not_barred_by_crashes_that_they_do_not_cause() {
    for seed in 1..=4 {
        let mut fleet = Fleet::new(seed);
        fleet.advance(Duration::from_secs(5));
        for _ in 0..40 {
            let engine = fleet.rng.usize(..SERVERS);
            fleet.crash(engine, &BTreeSet::new());
            fleet.advance(Duration::from_millis(700));
        }
        let from = fleet.now;
        fleet.advance(Duration::from_secs(20));
        let begun = fleet.begun_share(from, fleet.now, None);
        assert!(begun > 0.97, "{begun}");
    }
}

#[test]
fn parts_are_not_barred_when_a_data_centre_fails() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed);
        fleet.advance(Duration::from_secs(6));
        for engine in (0..SERVERS).step_by(DATA_CENTRES.len()) {
            fleet.crash(engine, &BTreeSet::new());
        }
        let from = fleet.now + Duration::from_secs(2);
        fleet.advance(Duration::from_secs(12));
        let begun = fleet.begun_share(from, fleet.now, None);
        assert!(begun > 0.95, "{begun}");
    }
}

#[test]
fn part_that_no_longer_crashes_servers_is_served_again() {
    let mut fleet = Fleet::new(1);
    fleet.advance(Duration::from_secs(5));
    let part = second_part(7);
    fleet.bad.insert(part);
    fleet.bad_rate = 2.0;
    fleet.advance(Duration::from_secs(15));
    fleet.bad.clear();
    fleet.bad_rate = 0.0;
    fleet.advance(Duration::from_secs(120));
    let from = fleet.now;
    fleet.advance(Duration::from_secs(60));
    let served = fleet
        .records
        .values()
        .filter(|record| record.arrived_at >= from && record.parts.contains(&part))
        .all(|record| record.completed || record.arrived_at + Duration::from_secs(6) > fleet.now);
    assert!(served);
}
