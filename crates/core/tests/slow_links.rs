//! Fetching of a large configuration from other instances over slow links, in a data centre of which
//! one instance reaches the store.

mod driver;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use conf::Config;
use conf::Route;
use wigeon_core::Input;
use wigeon_core::Instance;
use wigeon_core::Output;
use wigeon_core::Settings;
use wigeon_core::Source;
use wire::Body;
use wire::Frame;
use wire::server_list::ServerListUpdate;

const WALL: Duration = Duration::from_secs(1_700_000_000);
const START: Duration = Duration::from_secs(1);
const COUNT: usize = 60;
const TICK: Duration = Duration::from_millis(50);
/// Time between two reads of the server list by its reader.
const LIST_PERIOD: Duration = Duration::from_millis(450);
/// A link of 10 Mbit/s, in each direction.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;
/// Time after which the shell gives up a large frame.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which a configuration must be in force at instances that don't reach the store.
const IN_FORCE_MAX: Duration = Duration::from_secs(9);
/// Routes whose configuration has about 1.3 MB.
const ROUTES: usize = 4_000;

/// Instances whose frames share one slow link an instance and direction.
struct Fleet {
    instances: Vec<Instance>,
    now: Duration,
    /// Frames on their way by time of arrival, with a number that keeps equal times in order.
    arrivals: BinaryHeap<Reverse<(Duration, u64)>>,
    frames: BTreeMap<u64, (usize, Frame)>,
    next_frame: u64,
    uplinks_busy_until: Vec<Duration>,
    downlinks_busy_until: Vec<Duration>,
    /// Bytes of configurations that each instance has received.
    config_bytes: Vec<usize>,
    /// Index of an instance that has ended.
    ended: Option<usize>,
}

fn config_size(body: &Body) -> usize {
    match body {
        Body::ConfigSnapshot { json } | Body::ConfigChanges { json } => json.len(),
        Body::ConfigPart { bytes, .. } => bytes.len(),
        _ => 0,
    }
}

fn link_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_S)
}

impl Fleet {
    fn new() -> Fleet {
        let settings = |id| Settings {
            source: Source::External,
            ..Settings::example(&format!("i{id}"), "east", id)
        };
        let ids = 1..=u64::try_from(COUNT).unwrap_or(0);
        let listed = driver::listed_instances(ids.clone().map(settings));
        let mut fleet = Fleet {
            instances: ids.map(|id| Instance::new(settings(id))).collect(),
            now: START,
            arrivals: BinaryHeap::new(),
            frames: BTreeMap::new(),
            next_frame: 0,
            uplinks_busy_until: vec![START; COUNT],
            downlinks_busy_until: vec![START; COUNT],
            config_bytes: vec![0; COUNT],
            ended: None,
        };
        for index in 0..COUNT {
            fleet.input(index, Input::List(listed.clone()));
        }
        fleet.advance(Duration::from_secs(5));
        fleet
    }

    fn input(&mut self, index: usize, input: Input) {
        if self.ended == Some(index) {
            return;
        }
        let outputs = self.instances[index].handle(self.now, WALL + self.now, input);
        for output in outputs {
            if let Output::Send { address, body, .. } = output {
                self.send(index, address, body);
            }
        }
    }

    fn send(&mut self, from: usize, address: std::net::SocketAddr, body: Body) {
        let to = self.instances.iter().position(|instance| {
            instance
                .entry(instance.id())
                .is_some_and(|entry| entry.peers == address)
        });
        let Some(to) = to.filter(|to| *to != from) else {
            return;
        };
        let config_bytes = config_size(&body);
        let time = link_time(config_bytes + wire::DATAGRAM_BYTES / 4);
        let sent_at = self.now.max(self.uplinks_busy_until[from]) + time;
        self.uplinks_busy_until[from] = sent_at;
        let received_at = sent_at.max(self.downlinks_busy_until[to] + time);
        self.downlinks_busy_until[to] = received_at;
        self.config_bytes[to] += config_bytes;
        if received_at.saturating_sub(self.now) > SEND_TIMEOUT {
            return;
        }
        let frame = Frame {
            from: self.instances[from].id(),
            to: self.instances[to].id(),
            seq: 1,
            wall_ms: 0,
            body,
        };
        self.next_frame += 1;
        self.frames.insert(self.next_frame, (to, frame));
        self.arrivals.push(Reverse((received_at, self.next_frame)));
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let tick_at = self.now + TICK;
            while let Some(Reverse((at, number))) = self.arrivals.peek().copied()
                && at <= tick_at
            {
                self.arrivals.pop();
                self.now = self.now.max(at);
                if let Some((to, frame)) = self.frames.remove(&number) {
                    self.input(to, Input::Frame(frame));
                }
            }
            self.now = tick_at;
            let reads_list = self.now.as_millis().is_multiple_of(LIST_PERIOD.as_millis());
            for index in 0..COUNT {
                self.input(index, Input::Tick);
                if reads_list && self.instances[index].should_read_server_list() {
                    let list = ServerListUpdate {
                        revision: u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX),
                        ..ServerListUpdate::default()
                    };
                    self.input(index, Input::ServerList(list));
                }
            }
        }
    }
}

/// Returns a configuration whose routes have names of some random bytes in hexadecimal digits.
fn large_config(version: conf::Version, routes: usize, random_bytes: usize) -> Config {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut config = Config {
        version,
        ..Config::default()
    };
    for number in 0..routes {
        let mut name = format!("route-{number}-");
        for _ in 0..random_bytes {
            name.push_str(&format!("{:02x}", rng.u8(..)));
        }
        config.routes.insert(name.as_str().into(), Route::default());
    }
    config
}

impl Fleet {
    fn adopt_at_reader(&mut self, config: Config) {
        let reader = self
            .instances
            .iter()
            .position(Instance::should_read_server_list)
            .expect("one instance reads the list");
        self.input(reader, Input::AdoptConfig(Arc::new(config)));
    }

    fn in_force(&self, version: conf::Version) -> usize {
        self.instances
            .iter()
            .filter(|instance| instance.config().version == version)
            .count()
    }
}

#[test]
fn requests_for_a_large_configuration_do_not_displace_each_other() {
    let mut fleet = Fleet::new();
    let config = large_config(20, ROUTES, 0);
    let size = serde_json::to_vec(&config).map_or(0, |json| json.len());
    assert!(size > 1_000_000, "{size}");
    fleet.adopt_at_reader(config);
    fleet.advance(IN_FORCE_MAX);
    let most = fleet.config_bytes.iter().max();
    assert_eq!(
        fleet.in_force(20),
        COUNT,
        "received {most:?} of {size} bytes at most"
    );
    assert!(most < Some(&(size * 2)), "{most:?} of {size} bytes");
}

#[test]
fn configuration_in_many_parts_is_received_once() {
    let mut fleet = Fleet::new();
    // Some 0.25 MB that can't be compressed.
    fleet.adopt_at_reader(large_config(20, ROUTES, 64));
    fleet.advance(IN_FORCE_MAX);
    let most = fleet.config_bytes.iter().max();
    assert_eq!(fleet.in_force(20), COUNT, "received {most:?} bytes at most");
    let least = fleet.config_bytes.iter().filter(|bytes| **bytes > 0).min();
    assert!(
        most < least.map(|least| least * 2).as_ref(),
        "{most:?} against {least:?} bytes"
    );
}

#[test]
fn configuration_replaced_while_it_is_received_is_followed_to_its_successor() {
    let mut fleet = Fleet::new();
    fleet.adopt_at_reader(large_config(20, ROUTES, 64));
    fleet.advance(Duration::from_millis(1_200));
    assert!(fleet.in_force(20) < COUNT);
    fleet.adopt_at_reader(large_config(30, ROUTES, 64));
    fleet.advance(IN_FORCE_MAX);
    assert_eq!(fleet.in_force(30), COUNT);
}

#[test]
fn receiver_whose_sender_ends_continues_with_another_sender() {
    let mut fleet = Fleet::new();
    let config = large_config(20, ROUTES, 64);
    let reader = fleet
        .instances
        .iter()
        .position(Instance::should_read_server_list)
        .expect("one instance reads the list");
    let second = (reader + 1) % COUNT;
    fleet.input(reader, Input::AdoptConfig(Arc::new(config.clone())));
    fleet.input(second, Input::AdoptConfig(Arc::new(config)));
    fleet.advance(Duration::from_millis(1_200));
    fleet.ended = Some(reader);
    fleet.advance(IN_FORCE_MAX);
    assert_eq!(fleet.in_force(20), COUNT);
}
