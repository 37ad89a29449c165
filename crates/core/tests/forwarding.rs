//! Forwarding of an external configuration from the instance that reads it to a large data centre.

mod driver;

use std::sync::Arc;
use std::time::Duration;

use conf::Config;
use conf::Pool;
use wigeon_core::Input;
use wigeon_core::Instance;
use wigeon_core::Output;
use wigeon_core::Settings;
use wigeon_core::Source;
use wire::Body;
use wire::Frame;
use wire::server_list::ServerListUpdate;

const WALL: Duration = Duration::from_secs(1_700_000_000);
const STEP: Duration = Duration::from_millis(50);
const COUNT: u64 = 60;

/// Instances of one data centre. Frames arrive one step after they were sent.
struct Fleet {
    instances: Vec<Instance>,
    now: Duration,
    in_transit: Vec<(usize, Frame)>,
    /// Number of whole configurations that each instance has sent.
    snapshots_sent: Vec<usize>,
    /// Index of an instance that sends no frames.
    mute: Option<usize>,
}

impl Fleet {
    fn new() -> Fleet {
        let settings = |id| Settings {
            source: Source::External,
            ..Settings::example(&format!("i{id}"), "east", id)
        };
        let listed = driver::listed_instances((1..=COUNT).map(settings));
        let instances: Vec<Instance> = (1..=COUNT).map(|id| Instance::new(settings(id))).collect();
        let mut fleet = Fleet {
            snapshots_sent: vec![0; instances.len()],
            instances,
            now: Duration::from_secs(1),
            in_transit: Vec::new(),
            mute: None,
        };
        for index in 0..fleet.instances.len() {
            fleet.input(index, Input::List(listed.clone()));
        }
        fleet.advance(Duration::from_secs(5), true);
        fleet
    }

    fn input(&mut self, index: usize, input: Input) {
        let outputs = self.instances[index].handle(self.now, WALL + self.now, input);
        let from = self.instances[index].id();
        for output in outputs {
            let Output::Send { address, body, .. } = output else {
                continue;
            };
            self.snapshots_sent[index] += usize::from(matches!(body, Body::ConfigPart { .. }));
            let to = self.instances.iter().position(|instance| {
                instance
                    .entry(instance.id())
                    .is_some_and(|entry| entry.peers == address)
            });
            let Some(to) = to.filter(|to| *to != index && self.mute != Some(index)) else {
                continue;
            };
            let frame = Frame {
                from,
                to: self.instances[to].id(),
                seq: 1,
                wall_ms: 0,
                body,
            };
            self.in_transit.push((to, frame));
        }
    }

    /// Advances the time. With `reads`, the instance that should read the list reads it every 400 ms.
    fn advance(&mut self, time: Duration, reads: bool) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for (to, frame) in std::mem::take(&mut self.in_transit) {
                self.input(to, Input::Frame(frame));
            }
            for index in 0..self.instances.len() {
                self.input(index, Input::Tick);
                let is_turn = self.now.as_millis().is_multiple_of(400);
                if reads && is_turn && self.instances[index].should_read_server_list() {
                    let list = ServerListUpdate {
                        revision: u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX),
                        ..ServerListUpdate::default()
                    };
                    self.input(index, Input::ServerList(list));
                }
            }
        }
    }

    fn reader(&self) -> usize {
        self.instances
            .iter()
            .position(Instance::should_read_server_list)
            .expect("one instance reads the list")
    }

    fn adopted(&self, version: conf::Version) -> usize {
        let has_version = |instance: &&Instance| instance.config().version == version;
        self.instances.iter().filter(has_version).count()
    }
}

fn config(version: conf::Version, pools: usize) -> Arc<Config> {
    let mut config = Config {
        version,
        ..Config::default()
    };
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..pools {
        // Random names keep the size of the compressed configuration in proportion.
        let name = format!("pool-{:032x}{:032x}", rng.u128(..), rng.u128(..));
        config.pools.insert(name.as_str().into(), Pool::default());
    }
    Arc::new(config)
}

#[test]
fn configuration_reaches_a_large_data_centre_through_a_tree() {
    let mut fleet = Fleet::new();
    let reader = fleet.reader();
    fleet.input(reader, Input::AdoptConfig(config(20, 3)));
    fleet.advance(Duration::from_millis(300), true);
    assert_eq!(fleet.adopted(20), fleet.instances.len());
    let most = fleet.snapshots_sent.iter().max();
    assert!(most <= Some(&8), "{most:?}");
    assert!(!fleet.instances.iter().any(Instance::should_read_config));
}

#[test]
fn large_configuration_is_announced_and_read_by_each_instance() {
    let mut fleet = Fleet::new();
    let reader = fleet.reader();
    fleet.input(reader, Input::AdoptConfig(config(20, 4_000)));
    fleet.advance(Duration::from_millis(650), true);
    assert_eq!(fleet.adopted(20), 1);
    let reading = fleet
        .instances
        .iter()
        .filter(|instance| instance.should_read_config())
        .count();
    assert_eq!(reading, fleet.instances.len() - 1);
}

#[test]
fn instance_that_the_tree_does_not_reach_reads_the_configuration_itself() {
    let mut fleet = Fleet::new();
    let reader = fleet.reader();
    // The reader is followed by instances that it can't forward to, but its list frames arrive.
    fleet.mute = Some(reader);
    fleet.input(reader, Input::AdoptConfig(config(20, 3)));
    fleet.mute = None;
    fleet.advance(Duration::from_millis(1_000), true);
    let waiting = |instance: &Instance| instance.config().version < 20;
    assert!(
        fleet
            .instances
            .iter()
            .all(|instance| !waiting(instance) || instance.should_read_config())
    );
}

#[test]
fn isolated_instance_reads_the_store_itself() {
    let mut fleet = Fleet::new();
    let reader = fleet.reader();
    let isolated = (reader + 1) % fleet.instances.len();
    assert!(!fleet.instances[isolated].should_read_server_list());
    let end = fleet.now + Duration::from_millis(1_500);
    while fleet.now < end {
        fleet.now += STEP;
        fleet.input(isolated, Input::Tick);
    }
    assert!(fleet.instances[isolated].should_read_server_list());
}
