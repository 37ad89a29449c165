//! Fetching of a large configuration from other instances over slow links, in a data centre of which
//! one instance reaches the store.

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
}

fn config_size(body: &Body) -> usize {
    match body {
        Body::ConfigSnapshot { json } | Body::ConfigChanges { json } => json.len(),
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
        let listed: Vec<wigeon_core::ListEntry> = ids
            .clone()
            .map(|id| {
                let own = settings(id).entry;
                wigeon_core::ListEntry::Instance(member::ListedInstance {
                    name: own.name,
                    data_centre: own.data_centre,
                    peers: own.peers,
                    leaving: false,
                })
            })
            .collect();
        let mut fleet = Fleet {
            instances: ids.map(|id| Instance::new(settings(id))).collect(),
            now: START,
            arrivals: BinaryHeap::new(),
            frames: BTreeMap::new(),
            next_frame: 0,
            uplinks_busy_until: vec![START; COUNT],
            downlinks_busy_until: vec![START; COUNT],
            config_bytes: vec![0; COUNT],
        };
        for index in 0..COUNT {
            fleet.input(index, Input::List(listed.clone()));
        }
        fleet.advance(Duration::from_secs(5));
        fleet
    }

    fn input(&mut self, index: usize, input: Input) {
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
            let reads_list = self.now.as_millis() % LIST_PERIOD.as_millis() == 0;
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

fn large_config() -> Config {
    let mut config = Config {
        version: 20,
        ..Config::default()
    };
    for number in 0..ROUTES {
        let name = format!("route-{number}");
        config.routes.insert(name.as_str().into(), Route::default());
    }
    config
}

#[test]
fn requests_for_a_large_configuration_do_not_displace_each_other() {
    let mut fleet = Fleet::new();
    let config = large_config();
    let size = serde_json::to_vec(&config).map_or(0, |json| json.len());
    assert!(size > 1_000_000, "{size}");
    let reader = fleet
        .instances
        .iter()
        .position(Instance::should_read_server_list)
        .expect("one instance reads the list");
    fleet.input(reader, Input::AdoptConfig(Arc::new(config)));
    fleet.advance(IN_FORCE_MAX);
    let in_force = fleet
        .instances
        .iter()
        .filter(|instance| instance.config().version == 20)
        .count();
    let most = fleet.config_bytes.iter().max();
    assert_eq!(in_force, COUNT, "received {most:?} of {size} bytes at most");
    assert!(most < Some(&(size * 2)), "{most:?} of {size} bytes");
}
