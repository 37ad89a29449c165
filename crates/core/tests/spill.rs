//! Spill reservations: a request that is queued in its own data centre tries to reserve a place in
//! another one.

mod driver;

use std::sync::Arc;
use std::time::Duration;

use conf::Config;
use conf::Delivery;
use conf::Name;
use conf::Pool;
use conf::Route;
use wigeon_core::Input;
use wigeon_core::Instance;
use wigeon_core::Output;
use wigeon_core::Request;
use wigeon_core::ServerReport;
use wigeon_core::Settings;
use wigeon_core::Source;
use wire::Body;
use wire::Frame;
use wire::server_list::Server;
use wire::server_list::ServerListUpdate;

const WALL: Duration = Duration::from_secs(1_700_000_000);
const STEP: Duration = Duration::from_millis(10);

/// One instance in each of two data centres. The server `far` of the second data centre does not
/// answer probes, so its coordinator grants nothing.
struct Pair {
    instances: Vec<Instance>,
    now: Duration,
    /// Reservations that the first instance sent to the second one.
    reservations: u32,
}

fn settings(id: u64) -> Settings {
    let data_centre = if id == 1 { "east" } else { "west" };
    Settings {
        source: Source::External,
        ..Settings::example(&format!("i{id}"), data_centre, id)
    }
}

fn server(name: &str, data_centre: &str, port: u16) -> Server {
    Server {
        name: name.into(),
        data_centre: data_centre.into(),
        label: "engines".into(),
        address: ([127, 0, 0, 1], port).into(),
        boot: 1,
        software: Name::default(),
        leaving: false,
        reclaimed: false,
        cold_left_ms: 0,
    }
}

fn config() -> Config {
    let pool = Pool {
        batch: 4,
        cold_limit: 4,
        memory_tokens: 30_000,
        ..Pool::default()
    };
    let route = Route {
        pool: "engines".into(),
        delivery: Delivery::Stream,
        deadline_ms: 5_000,
        timeout_ms: 39_000,
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

impl Pair {
    fn new() -> Pair {
        let mut pair = Pair {
            instances: vec![Instance::new(settings(1)), Instance::new(settings(2))],
            now: Duration::from_secs(20),
            reservations: 0,
        };
        let listed = driver::listed_instances([1, 2].into_iter().map(settings));
        let list = ServerListUpdate {
            era: 0,
            base_revision: 0,
            revision: 3,
            servers: vec![server("near", "east", 81), server("far", "west", 82)],
            removed: Vec::new(),
            kept: Vec::new(),
            grace_ms: 0,
            config_version: 0,
            config_digest: 0,
        };
        for index in 0..2 {
            pair.input(index, Input::List(listed.clone()));
            pair.input(index, Input::AdoptConfig(Arc::new(config())));
            pair.input(index, Input::ServerList(list.clone()));
        }
        pair.advance(Duration::from_secs(3));
        pair
    }

    fn input(&mut self, index: usize, input: Input) {
        let outputs = self.instances[index].handle(self.now, WALL + self.now, input);
        for output in outputs {
            match output {
                Output::Send { body, .. } => {
                    self.reservations += u32::from(index == 0 && matches!(body, Body::Reserve(_)));
                    let frame = Frame {
                        from: self.instances[index].id(),
                        to: self.instances[1 - index].id(),
                        seq: 1,
                        wall_ms: 0,
                        body,
                    };
                    self.input(1 - index, Input::Frame(frame));
                }
                Output::Probe {
                    server, sent_at, ..
                } => {
                    let load = admit::Load {
                        boot: 1,
                        capacity_tokens: 30_000,
                        ..admit::Load::default()
                    };
                    let report = (server == "near").then_some(ServerReport {
                        load,
                        ready: true,
                        ..ServerReport::default()
                    });
                    self.input(index, Input::Report(server, sent_at, report));
                }
                _ => {}
            }
        }
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for index in 0..2 {
                self.input(index, Input::Tick);
            }
        }
    }

    fn request(&mut self, id: u64) {
        let request = Request {
            id,
            organisation: "shop".into(),
            route: "letters".into(),
            key: None,
            fingerprint: id,
            group: id,
            prompt_tokens: 500,
            prefixes: Vec::new(),
            parts: Vec::new(),
            max_tokens: None,
            expected_tokens: Some(100),
            timeout: Some(Duration::from_secs(39)),
            stream: None,
            handed_over: false,
        };
        self.input(0, Input::Request(request));
    }
}

#[test]
fn queued_request_does_not_flood_a_data_centre_that_grants_nothing() {
    let mut pair = Pair::new();
    for id in 1..=4 {
        pair.request(id);
        pair.advance(Duration::from_millis(60));
    }
    pair.reservations = 0;
    // The server `near` is at its limit. The next request is queued, and sends spill reservations
    // meanwhile. Each denial must be followed by a pause before the next one.
    pair.request(5);
    pair.advance(Duration::from_secs(2));
    assert!(
        pair.reservations >= 1,
        "the queued request sends spill reservations"
    );
    assert!(
        pair.reservations <= 6,
        "{} spill reservations in two seconds",
        pair.reservations
    );
}
