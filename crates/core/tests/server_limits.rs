//! Keeping a server's limit by several instances that place requests without a coordinator, across
//! lost frames, partitions, restarts and answers that overtake each other.

mod driver;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use conf::Config;
use conf::Delivery;
use conf::Placing;
use conf::Pool;
use conf::Route;
use conf::Service;
use wigeon_core::Event;
use wigeon_core::Input;
use wigeon_core::Instance;
use wigeon_core::Outcome;
use wigeon_core::Output;
use wigeon_core::RateLimit;
use wigeon_core::Request;
use wigeon_core::ServerNotice;
use wigeon_core::Settings;
use wigeon_core::Source;
use wire::Frame;
use wire::server_list::Server;
use wire::server_list::ServerListUpdate;

const WALL: Duration = Duration::from_secs(1_700_000_000);
const STEP: Duration = Duration::from_millis(5);
/// Time that a frame takes.
const FRAME_TIME: Duration = Duration::from_millis(5);
/// Time that a server takes for a call.
const CALL_TIME: Duration = Duration::from_millis(15);
/// Window in which requests are counted against a limit.
const WINDOW: Duration = Duration::from_secs(4);

/// Instances of one data centre before plain servers.
struct Fleet {
    instances: Vec<Instance>,
    /// Number of starts of each instance.
    starts: Vec<u64>,
    servers: Vec<Server>,
    /// The limit that each server states, in requests per second.
    limits: BTreeMap<String, f64>,
    now: Duration,
    frames: Vec<(Duration, usize, Frame)>,
    calls: Vec<Call>,
    /// When each call reached its server.
    arrivals: Vec<(Duration, String)>,
    /// Instances that exchange no frames with the others.
    cut: BTreeSet<usize>,
    /// Every how many frames one is lost. Zero means never.
    loses_every: usize,
    sent: usize,
    requests: u64,
    outcomes: Vec<Outcome>,
}

/// A call at a server.
struct Call {
    ends_at: Duration,
    instance: usize,
    start: u64,
    attempt: u64,
    server: String,
    boot: u64,
    sent_at: Duration,
    limit: RateLimit,
}

fn settings(index: usize, start: u64) -> Settings {
    let id = index as u64 + 1;
    let mut settings = Settings {
        source: Source::External,
        ..Settings::example(&format!("i{id}"), "east", id)
    };
    settings.entry.id = id + 100 * start;
    settings
}

impl Fleet {
    fn new(instances: usize, servers: &[&str]) -> Fleet {
        let servers = servers.iter().map(|name| Server {
            label: "calls".into(),
            ..driver::server(name, 1)
        });
        let mut fleet = Fleet {
            instances: Vec::new(),
            starts: vec![0; instances],
            servers: servers.collect(),
            limits: BTreeMap::new(),
            now: Duration::from_secs(20),
            frames: Vec::new(),
            calls: Vec::new(),
            arrivals: Vec::new(),
            cut: BTreeSet::new(),
            loses_every: 0,
            sent: 0,
            requests: 0,
            outcomes: Vec::new(),
        };
        fleet.instances = (0..instances)
            .map(|index| Instance::new(settings(index, 0)))
            .collect();
        for index in 0..instances {
            fleet.introduce(index);
        }
        fleet.advance(Duration::from_secs(3), 0);
        fleet
    }

    /// Gives an instance its configuration and lists.
    fn introduce(&mut self, index: usize) {
        let count = self.instances.len();
        let listed = driver::listed_instances((0..count).map(|index| settings(index, 0)));
        let pool = Pool {
            service: Service::Plain,
            placing: Placing::Local,
            ..Pool::default()
        };
        let route = Route {
            pool: "calls".into(),
            delivery: Delivery::Whole,
            deadline_ms: 1_000,
            ..Route::default()
        };
        let mut config = Config {
            version: 5,
            ..Config::default()
        };
        config.pools.insert("calls".into(), pool);
        config.routes.insert("lookups".into(), route);
        let list = ServerListUpdate {
            era: 0,
            base_revision: 0,
            revision: 3,
            servers: self.servers.clone(),
            removed: Vec::new(),
            kept: Vec::new(),
            grace_ms: 0,
            config_version: 0,
            config_digest: 0,
        };
        self.input(index, Input::List(listed));
        self.input(index, Input::AdoptConfig(Arc::new(config)));
        self.input(index, Input::ServerList(list));
    }

    /// Replaces an instance by a new one that knows nothing.
    fn restart(&mut self, index: usize) {
        self.starts[index] += 1;
        self.instances[index] = Instance::new(settings(index, self.starts[index]));
        self.introduce(index);
    }

    fn input(&mut self, index: usize, input: Input) {
        let outputs = self.instances[index].handle(self.now, WALL + self.now, input);
        for output in outputs {
            match output {
                Output::Send { address, body, .. } => self.send(index, address, body),
                Output::Dispatch(dispatch) => {
                    let server = dispatch.server.to_string();
                    let limit = match self.limits.get(&server) {
                        Some(rate) => RateLimit::Stated(wire::limit::rate_from_hertz(*rate)),
                        None => RateLimit::Absent,
                    };
                    self.arrivals.push((self.now, server.clone()));
                    self.calls.push(Call {
                        ends_at: self.now + CALL_TIME,
                        instance: index,
                        start: self.starts[index],
                        attempt: dispatch.attempt,
                        server,
                        boot: dispatch.boot,
                        sent_at: self.now,
                        limit,
                    });
                }
                Output::Finish { outcome, .. } => self.outcomes.push(outcome),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, address: std::net::SocketAddr, body: wire::Body) {
        let to = self.instances.iter().position(|instance| {
            let entry = instance.entry(instance.id());
            entry.is_some_and(|entry| entry.peers == address)
        });
        self.sent += 1;
        let is_lost = self.loses_every > 0 && self.sent.is_multiple_of(self.loses_every);
        let Some(to) = to.filter(|to| *to != from && !is_lost) else {
            return;
        };
        if self.cut.contains(&from) != self.cut.contains(&to) {
            return;
        }
        let frame = Frame {
            from: self.instances[from].id(),
            to: self.instances[to].id(),
            seq: 1,
            wall_ms: (WALL + self.now).as_millis() as u64,
            body,
        };
        self.frames.push((self.now + FRAME_TIME, to, frame));
    }

    /// Advances the time with a given number of requests per second, spread over all instances.
    fn advance(&mut self, time: Duration, per_s: u64) {
        let end = self.now + time;
        let mut owed = 0.0;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            let (due, later) = std::mem::take(&mut self.frames)
                .into_iter()
                .partition(|(at, _, _)| *at <= now);
            self.frames = later;
            let due: Vec<(Duration, usize, Frame)> = due;
            for (_, to, frame) in due {
                self.input(to, Input::Frame(frame));
            }
            self.end_calls();
            owed += per_s as f64 * STEP.as_secs_f64();
            while owed >= 1.0 {
                owed -= 1.0;
                self.request();
            }
            for index in 0..self.instances.len() {
                self.input(index, Input::Tick);
            }
        }
    }

    fn end_calls(&mut self) {
        let now = self.now;
        let (ended, running) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|call: &Call| call.ends_at <= now);
        self.calls = running;
        let ended: Vec<Call> = ended;
        for call in ended {
            if call.start != self.starts[call.instance] {
                continue;
            }
            let notice = ServerNotice {
                limit: call.limit,
                ..ServerNotice::default()
            };
            let server = call.server.as_str().into();
            let notice = Input::ServerNotice(server, call.boot, call.sent_at, notice);
            self.input(call.instance, notice);
            let complete = Event::Complete {
                generated: 0,
                gap: Duration::ZERO,
                answer: wire::ledger::Answer {
                    status: 200,
                    media: String::new(),
                    body: None,
                },
            };
            self.input(call.instance, Input::Attempt(call.attempt, complete));
        }
    }

    fn request(&mut self) {
        self.requests += 1;
        let request = Request {
            id: self.requests,
            organisation: "shop".into(),
            route: "lookups".into(),
            key: None,
            fingerprint: self.requests,
            group: self.requests,
            prompt_tokens: 0,
            prefixes: Vec::new(),
            parts: Vec::new(),
            max_tokens: None,
            expected_tokens: None,
            timeout: Some(Duration::from_secs(1)),
            stream: None,
            handed_over: false,
        };
        let index = self.requests as usize % self.instances.len();
        self.input(index, Input::Request(request));
    }

    /// Returns the greatest number of requests to a server within a window, from a given time on.
    fn most_in_window(&self, server: &str, since: Duration) -> usize {
        let times: Vec<Duration> = self
            .arrivals
            .iter()
            .filter(|(at, to)| to == server && *at >= since)
            .map(|(at, _)| *at)
            .collect();
        let count = |first: &Duration| {
            let is_in_window = |at: &&Duration| **at >= *first && **at - *first < WINDOW;
            times.iter().filter(is_in_window).count()
        };
        times.iter().map(count).max().unwrap_or(0)
    }
}

fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

#[test]
fn limit_holds_for_all_instances_and_is_used() {
    let mut fleet = Fleet::new(7, &["s1", "s2", "s3"]);
    fleet.advance(Duration::from_secs(2), 40);
    fleet.limits.insert("s1".into(), 3.5);
    fleet.advance(Duration::from_millis(500), 40);
    let (since, before) = (fleet.now, fleet.arrivals.len());
    fleet.advance(Duration::from_secs(20), 40);
    assert!(fleet.most_in_window("s1", since) <= allowed(3.5));
    let used = fleet.arrivals[before..].iter().filter(|(_, to)| to == "s1");
    let used = used.count();
    assert!((55..=75).contains(&used), "{used} of 70 used");
    assert!(fleet.outcomes.is_empty(), "{:?}", fleet.outcomes);
}

#[test]
fn limit_holds_on_both_sides_of_a_partition() {
    for size in [1, 3] {
        let mut fleet = Fleet::new(7, &["s1"]);
        fleet.limits.insert("s1".into(), 6.0);
        fleet.advance(Duration::from_secs(2), 40);
        let since = fleet.now;
        fleet.cut = (0..size).collect();
        fleet.advance(Duration::from_secs(12), 40);
        fleet.cut.clear();
        fleet.advance(Duration::from_secs(8), 40);
        let most = fleet.most_in_window("s1", since);
        assert!(most <= allowed(6.0), "{most} with {size} cut off");
    }
}

#[test]
fn limit_holds_while_instances_restart_in_turn() {
    let mut fleet = Fleet::new(7, &["s1"]);
    fleet.limits.insert("s1".into(), 3.0);
    fleet.advance(Duration::from_secs(2), 40);
    let since = fleet.now;
    for index in 0..7 {
        fleet.restart(index);
        fleet.advance(Duration::from_secs(2), 40);
    }
    // An instance may send until it has been told, which its restart excuses.
    let most = fleet.most_in_window("s1", since);
    assert!(most <= allowed(3.0) + 2, "{most} requests");
}

#[test]
fn limit_holds_while_frames_are_lost() {
    let mut fleet = Fleet::new(7, &["s1", "s2"]);
    fleet.loses_every = 5;
    fleet.limits.insert("s1".into(), 3.0);
    fleet.advance(Duration::from_secs(1), 40);
    let since = fleet.now;
    fleet.advance(Duration::from_secs(30), 40);
    let most = fleet.most_in_window("s1", since);
    assert!(most <= allowed(3.0), "{most} requests");
}

#[test]
fn limit_ends_everywhere_with_the_first_response_without_it() {
    let mut fleet = Fleet::new(7, &["s1", "s2"]);
    fleet.limits.insert("s1".into(), 2.0);
    fleet.advance(Duration::from_secs(5), 40);
    fleet.limits.clear();
    fleet.advance(Duration::from_secs(2), 40);
    let limited = fleet
        .instances
        .iter()
        .filter(|instance| instance.has_limited_servers());
    assert_eq!(limited.count(), 0);
    let since = fleet.now;
    fleet.advance(Duration::from_secs(4), 40);
    assert!(fleet.most_in_window("s1", since) > 60);
}

#[test]
fn response_to_a_request_sent_before_the_limit_does_not_end_it() {
    let mut fleet = Fleet::new(1, &["s1"]);
    let notice = |limit| ServerNotice {
        limit,
        ..ServerNotice::default()
    };
    let sent_at = fleet.now;
    fleet.advance(Duration::from_millis(100), 0);
    let stated = Input::ServerNotice("s1".into(), 1, fleet.now, notice(RateLimit::Stated(2_000)));
    fleet.input(0, stated);
    fleet.advance(Duration::from_millis(100), 0);
    let late = Input::ServerNotice("s1".into(), 1, sent_at, notice(RateLimit::Absent));
    fleet.input(0, late);
    assert!(fleet.instances[0].has_limited_servers());
    let newer = Input::ServerNotice("s1".into(), 1, fleet.now, notice(RateLimit::Absent));
    fleet.input(0, newer);
    assert!(!fleet.instances[0].has_limited_servers());
}

#[test]
fn requests_that_no_limited_server_takes_in_time_are_refused_at_once() {
    let mut fleet = Fleet::new(7, &["s1", "s2"]);
    fleet.limits.insert("s1".into(), 2.0);
    fleet.limits.insert("s2".into(), 2.0);
    fleet.advance(Duration::from_secs(2), 40);
    fleet.outcomes.clear();
    let before = fleet.arrivals.len();
    fleet.advance(Duration::from_secs(10), 40);
    let served = fleet.arrivals.len() - before;
    assert!((36..=44).contains(&served), "{served} of 40 places used");
    let refused = fleet.outcomes.len();
    assert!((350..=364).contains(&refused), "{refused} refused");
    for outcome in &fleet.outcomes {
        let Outcome::Refused(refusal) = outcome else {
            panic!("{outcome:?}");
        };
        let retry_after = refusal.retry_after().unwrap_or_default();
        let range = Duration::from_millis(200)..=Duration::from_secs(1);
        assert!(range.contains(&retry_after), "{retry_after:?}");
    }
}
