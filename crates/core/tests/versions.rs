//! A whole configuration, handed in at some instances and fetched by the others.

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
use wire::roster::Roster;

const WALL: Duration = Duration::from_secs(1_700_000_000);

/// Two instances that know each other, and the bodies of the frames between them.
struct Pair {
    instances: [Instance; 2],
    now: Duration,
    sent: Vec<Body>,
    lossy: bool,
}

fn config(version: u64, pool: &str) -> Arc<Config> {
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
            source: Source::Shell,
            ..Settings::example(&format!("i{id}"), "east", id)
        };
        let listed: Vec<wigeon_core::ListEntry> = (1..=2)
            .map(|id| {
                let own = settings(id).own;
                wigeon_core::ListEntry::Instance(member::Listed {
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
        pair.pass(Duration::from_secs(2));
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
            // The answer to a question for the configuration is what gets lost.
            if self.lossy && matches!(body, Body::ConfigSnapshot { .. }) {
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

    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_millis(50);
            self.input(0, Input::Tick);
            self.input(1, Input::Tick);
        }
    }

    /// Has the first instance tell the other one that it reads the list, which names its version.
    fn tell(&mut self, revision: u64) {
        let roster = Roster {
            revision,
            ..Roster::default()
        };
        self.input(0, Input::Roster(roster));
    }

    fn count(&self, is_it: fn(&Body) -> bool) -> usize {
        self.sent.iter().filter(|body| is_it(body)).count()
    }
}

fn is_whole(body: &Body) -> bool {
    matches!(body, Body::ConfigSnapshot { .. })
}

fn is_fetch(body: &Body) -> bool {
    matches!(body, Body::FetchConfig { .. })
}

#[test]
fn newer_configuration_is_fetched_where_it_can_not_be_read() {
    let mut pair = Pair::new();
    pair.input(0, Input::AdoptConfig(config(20, "engines")));
    pair.tell(21);
    assert_eq!(pair.count(is_fetch), 0, "it has time to read it");
    pair.pass(Duration::from_millis(800));
    pair.tell(22);
    assert_eq!(pair.instances[1].config().version, 20);
    assert!(pair.instances[1].config().pools.contains_key("engines"));
}

#[test]
fn same_configuration_under_another_version_is_confirmed_and_not_sent() {
    let mut pair = Pair::new();
    pair.input(0, Input::AdoptConfig(config(30, "engines")));
    pair.input(1, Input::AdoptConfig(config(20, "engines")));
    pair.tell(31);
    pair.pass(Duration::from_secs(3));
    assert_eq!(pair.count(is_whole), 0);
    assert!(pair.count(is_fetch) <= 1, "{}", pair.count(is_fetch));
    assert_eq!(pair.instances[1].config().version, 30);
}

#[test]
fn other_configuration_is_not_taken_for_the_same() {
    let mut pair = Pair::new();
    pair.input(0, Input::AdoptConfig(config(30, "engines")));
    pair.input(1, Input::AdoptConfig(config(20, "others")));
    pair.tell(31);
    pair.pass(Duration::from_millis(800));
    pair.tell(32);
    assert!(pair.instances[1].config().pools.contains_key("engines"));
}

#[test]
fn configuration_never_goes_back() {
    let mut pair = Pair::new();
    pair.input(0, Input::AdoptConfig(config(30, "engines")));
    pair.input(0, Input::AdoptConfig(config(29, "others")));
    assert!(pair.instances[0].config().pools.contains_key("engines"));
    assert!(pair.instances[0].violations().is_empty());
}

#[test]
fn configuration_that_does_not_come_is_asked_for_more_and_more_seldom() {
    let mut pair = Pair::new();
    pair.lossy = true;
    pair.input(0, Input::AdoptConfig(config(20, "engines")));
    pair.tell(21);
    for step in 0..60 {
        pair.pass(Duration::from_millis(100));
        pair.tell(22 + step);
    }
    // Each 150 ms would make 40 of them in six seconds.
    let asked = pair.count(is_fetch);
    assert!((4..=8).contains(&asked), "{asked}");
    pair.lossy = false;
    pair.pass(Duration::from_secs(3));
    assert_eq!(pair.instances[1].config().version, 20);
}
