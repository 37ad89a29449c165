//! Versions of an external configuration, passed in to one instance and fetched by another.

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

/// Two instances that are members of the same data centre, and the frames between them.
struct Pair {
    instances: [Instance; 2],
    now: Duration,
    /// Bodies of all frames that were sent.
    sent: Vec<Body>,
    /// Whether frames with a whole configuration are lost.
    lossy: bool,
}

fn config(version: conf::Version, pool: &str) -> Arc<Config> {
    let mut config = Config {
        version,
        ..Config::default()
    };
    config.pools.insert(pool.into(), Pool::default());
    Arc::new(config)
}

impl Pair {
    fn new() -> Pair {
        let settings = |id| Settings {
            source: Source::External,
            ..Settings::example(&format!("i{id}"), "east", id)
        };
        let listed: Vec<wigeon_core::ListEntry> = (1..=2)
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
        let mut pair = Pair {
            instances: [1, 2].map(|id| Instance::new(settings(id))),
            now: Duration::from_secs(1),
            sent: Vec::new(),
            lossy: false,
        };
        pair.input(0, Input::List(listed.clone()));
        pair.input(1, Input::List(listed));
        pair.advance(Duration::from_secs(2));
        pair.sent.clear();
        pair
    }

    fn input(&mut self, index: usize, input: Input) {
        let outputs = self.instances[index].handle(self.now, WALL + self.now, input);
        let (from, to) = (self.instances[index].id(), self.instances[1 - index].id());
        for output in outputs {
            let Output::Send { body, .. } = output else {
                continue;
            };
            self.sent.push(body.clone());
            if self.lossy && matches!(body, Body::ConfigPart { .. }) {
                continue;
            }
            let frame = Frame {
                from,
                to,
                seq: 1,
                wall_ms: 0,
                body,
            };
            self.input(1 - index, Input::Frame(frame));
        }
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            self.input(0, Input::Tick);
            self.input(1, Input::Tick);
        }
    }

    /// Makes the first instance read the server list and send a list frame, which carries its
    /// configuration version, to the second one.
    fn announce(&mut self, revision: u64) {
        let list = ServerListUpdate {
            revision,
            ..ServerListUpdate::default()
        };
        self.input(0, Input::ServerList(list));
    }

    fn count(&self, matches_body: fn(&Body) -> bool) -> usize {
        self.sent.iter().filter(|body| matches_body(body)).count()
    }
}

fn is_snapshot(body: &Body) -> bool {
    matches!(body, Body::ConfigPart { .. })
}

fn is_fetch(body: &Body) -> bool {
    matches!(body, Body::FetchConfig { .. })
}

#[test]
fn newer_configuration_is_fetched_by_an_instance_that_does_not_read_it() {
    let mut pair = Pair::new();
    pair.input(0, Input::AdoptConfig(config(20, "engines")));
    pair.announce(21);
    assert_eq!(
        pair.count(is_fetch),
        0,
        "the instance is given time to read the configuration itself"
    );
    pair.advance(Duration::from_millis(800));
    pair.announce(22);
    assert_eq!(pair.instances[1].config().version, 20);
    assert!(pair.instances[1].config().pools.contains_key("engines"));
}

#[test]
fn configuration_with_equal_content_is_confirmed_and_not_sent() {
    let mut pair = Pair::new();
    pair.input(0, Input::AdoptConfig(config(30, "engines")));
    pair.input(1, Input::AdoptConfig(config(20, "engines")));
    // What the reader forwards when it adopts a configuration does not count.
    pair.sent.clear();
    pair.announce(31);
    pair.advance(Duration::from_secs(3));
    assert_eq!(pair.count(is_snapshot), 0);
    assert!(pair.count(is_fetch) <= 1, "{}", pair.count(is_fetch));
    assert_eq!(pair.instances[1].config().version, 30);
}

#[test]
fn configuration_with_other_content_is_sent() {
    let mut pair = Pair::new();
    pair.input(0, Input::AdoptConfig(config(30, "engines")));
    pair.input(1, Input::AdoptConfig(config(20, "others")));
    pair.announce(31);
    pair.advance(Duration::from_millis(800));
    pair.announce(32);
    assert!(pair.instances[1].config().pools.contains_key("engines"));
}

#[test]
fn older_configuration_does_not_replace_a_newer_one() {
    let mut pair = Pair::new();
    pair.input(0, Input::AdoptConfig(config(30, "engines")));
    pair.input(0, Input::AdoptConfig(config(29, "others")));
    assert!(pair.instances[0].config().pools.contains_key("engines"));
    assert!(pair.instances[0].violations().is_empty());
}

#[test]
fn fetches_back_off_while_no_configuration_arrives() {
    let mut pair = Pair::new();
    pair.lossy = true;
    pair.input(0, Input::AdoptConfig(config(20, "engines")));
    pair.announce(21);
    for step in 0..60 {
        pair.advance(Duration::from_millis(100));
        pair.announce(22 + step);
    }
    // Without backoff, a fetch every 150 ms would make 40 in six seconds.
    let fetches = pair.count(is_fetch);
    assert!((4..=8).contains(&fetches), "{fetches}");
    pair.lossy = false;
    pair.advance(Duration::from_secs(3));
    assert_eq!(pair.instances[1].config().version, 20);
}
