//! Versions of an external configuration, passed in to one instance and fetched by another.

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
        let listed = driver::listed_instances((1..=2).map(settings));
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

    /// Delivers a frame of the first instance to the second one.
    fn frame_to_second(&mut self, body: Body) {
        let frame = Frame {
            from: self.instances[0].id(),
            to: self.instances[1].id(),
            seq: 1,
            wall_ms: 0,
            body,
        };
        self.input(1, Input::Frame(frame));
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

/// Announces a version to the second instance, which asks for it again and again. Returns what it
/// sends in the time.
fn requests_while_announced(pair: &mut Pair, version: conf::Version, time: Duration) -> Vec<Body> {
    pair.sent.clear();
    let end = pair.now + time;
    while pair.now < end {
        let announced = Body::ConfigVersion { version, digest: 1 };
        pair.frame_to_second(announced);
        pair.advance(Duration::from_millis(100));
    }
    let is_request = |body: &Body| {
        matches!(
            body,
            Body::FetchConfig { .. } | Body::FetchConfigPart { .. }
        )
    };
    pair.sent
        .iter()
        .filter(|body| is_request(body))
        .cloned()
        .collect()
}

#[test]
fn transfer_that_stops_is_continued_and_at_last_begun_anew() {
    let mut pair = Pair::new();
    let version = 40;
    pair.frame_to_second(Body::ConfigPart {
        version,
        offset: 0,
        size: 100,
        bytes: vec![0; 60],
    });
    let requests = requests_while_announced(&mut pair, version, Duration::from_secs(30));
    let continued = Body::FetchConfigPart {
        version,
        offset: 60,
    };
    assert!(requests.contains(&continued));
    assert!(
        matches!(requests.last(), Some(Body::FetchConfig { .. })),
        "{requests:?}"
    );
}

#[test]
fn nothing_is_requested_while_parts_arrive() {
    let mut pair = Pair::new();
    let version = 40;
    for number in 0..20 {
        pair.frame_to_second(Body::ConfigPart {
            version,
            offset: number * 5,
            size: 1_000,
            bytes: vec![0; 5],
        });
        let requests = requests_while_announced(&mut pair, version, Duration::from_millis(500));
        assert_eq!(requests, [], "part {number}");
    }
}
