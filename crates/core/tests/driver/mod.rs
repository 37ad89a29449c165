//! A driver that feeds inputs to one instance and collects its outputs. The configuration and the
//! server list are passed in.

// Each test file uses only some of the functions.
#![allow(dead_code)]

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
use wigeon_core::ListEntry;
use wigeon_core::Outcome;
use wigeon_core::Output;
use wigeon_core::Policy;
use wigeon_core::Request;
use wigeon_core::ServerReport;
use wigeon_core::Settings;
use wigeon_core::Source;
use wigeon_core::message::Dispatch;
use wire::admission::Endpoint;
use wire::server_list::Server;
use wire::server_list::ServerListUpdate;

pub const START: Duration = Duration::from_secs(20);
pub const WALL: Duration = Duration::from_secs(1_700_000_000);
const MEMORY_TOKENS: u64 = 30_000;

/// An instance with simulated time and servers. Every probe is answered at once with an idle, ready
/// server's report.
pub struct Driver {
    pub instance: Instance,
    pub now: Duration,
    pub servers: Vec<Server>,
    /// Outputs of the instance, oldest first, without the dispatches that a test has taken.
    pub outputs: Vec<Output>,
    /// Grace period of a shutdown.
    pub grace: Option<Duration>,
    /// Whether probes are not answered.
    pub is_cut: bool,
    /// Revision of the last server list that was sent.
    revision: u64,
}

/// Returns the platform's list of instances with the given settings.
pub fn listed_instances(settings: impl Iterator<Item = Settings>) -> Vec<ListEntry> {
    settings
        .map(|settings| {
            let own = settings.entry;
            ListEntry::Instance(member::ListedInstance {
                name: own.name,
                data_centre: own.data_centre,
                peers: own.peers,
                leaving: false,
            })
        })
        .collect()
}

/// Returns a streaming route whose requests must not run twice.
pub fn streaming_route() -> Route {
    Route {
        pool: "engines".into(),
        delivery: Delivery::Stream,
        idempotent: false,
        rerun: false,
        deadline_ms: 1_200,
        timeout_ms: 39_000,
        attempts: 1,
        ..Route::default()
    }
}

pub fn server(name: &str, boot: u64) -> Server {
    let last_byte: u8 = name.bytes().last().unwrap_or_default();
    Server {
        name: name.into(),
        data_centre: "east".into(),
        label: "engines".into(),
        address: ([127, 0, 0, last_byte], 80).into(),
        boot,
        software: Name::default(),
        leaving: false,
        reclaimed: false,
        cold_left_ms: 0,
    }
}

impl Driver {
    pub fn new(route: Route, servers: &[&str]) -> Driver {
        Driver::start(route, servers, None, true)
    }

    /// Returns an instance that counts broken invariants and does not panic.
    pub fn counting_violations(route: Route, servers: &[&str]) -> Driver {
        Driver::start(route, servers, None, false)
    }

    pub fn with_grace(route: Route, servers: &[&str], grace: Duration) -> Driver {
        Driver::start(route, servers, Some(grace), true)
    }

    /// Returns an instance that chooses servers by a policy of its own.
    pub fn with_policy(route: Route, servers: &[&str], policy: Policy) -> Driver {
        let settings = Settings {
            policy,
            ..Settings::example("i1", "east", 1)
        };
        Driver::start_with(settings, route, servers, None)
    }

    fn start(route: Route, servers: &[&str], grace: Option<Duration>, strict: bool) -> Driver {
        let settings = Settings {
            strict,
            ..Settings::example("i1", "east", 1)
        };
        Driver::start_with(settings, route, servers, grace)
    }

    fn start_with(
        settings: Settings,
        route: Route,
        servers: &[&str],
        grace: Option<Duration>,
    ) -> Driver {
        let settings = Settings {
            source: Source::External,
            ..settings
        };
        let mut driver = Driver {
            instance: Instance::new(settings),
            now: START,
            servers: servers.iter().map(|name| server(name, 1)).collect(),
            outputs: Vec::new(),
            grace,
            is_cut: false,
            revision: 10,
        };
        let pool = Pool {
            batch: 24,
            cold_limit: 24,
            memory_tokens: MEMORY_TOKENS,
            copies: true,
            stride: 4,
            ..Pool::default()
        };
        let mut config = Config {
            version: 5,
            ..Config::default()
        };
        config.pools.insert("engines".into(), pool);
        config.routes.insert("letters".into(), route);
        driver.input(Input::AdoptConfig(Arc::new(config)));
        driver.send_server_list();
        // A new coordinator collects reports of running attempts before it grants anything.
        driver.advance(Duration::from_secs(2));
        driver.outputs.clear();
        driver
    }

    pub fn input(&mut self, input: Input) {
        let outputs = self.instance.handle(self.now, WALL + self.now, input);
        for output in outputs {
            if let Output::Probe {
                server, sent_at, ..
            } = &output
            {
                self.report(server.clone(), *sent_at);
            }
            if let Output::TestPath {
                server, started_at, ..
            } = &output
            {
                let tested = Input::PathTested(server.clone(), *started_at, !self.is_cut);
                self.input(tested);
            }
            self.outputs.push(output);
        }
    }

    /// Begins the shutdown.
    pub fn leave(&mut self) {
        self.input(Input::Leave(self.grace));
    }

    fn report(&mut self, name: Name, sent_at: Duration) {
        if self.is_cut {
            self.input(Input::Report(name, sent_at, None));
            return;
        }
        let Some(server) = self.servers.iter().find(|server| server.name == name) else {
            return;
        };
        let report = ServerReport {
            load: admit::Load {
                boot: server.boot,
                capacity_tokens: MEMORY_TOKENS,
                ..admit::Load::default()
            },
            ready: true,
            ..ServerReport::default()
        };
        self.input(Input::Report(name, sent_at, Some(report)));
    }

    /// Sends the current servers to the instance as a whole list.
    pub fn send_server_list(&mut self) {
        self.revision += 1;
        let list = ServerListUpdate {
            era: 0,
            base_revision: 0,
            revision: self.revision,
            servers: self.servers.clone(),
            removed: Vec::new(),
            kept: Vec::new(),
            grace_ms: 0,
            config_version: 0,
            config_digest: 0,
        };
        self.input(Input::ServerList(list));
    }

    /// Advances the time in steps of 20 ms, with a tick in each.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let step = Duration::from_millis(20);
            self.now = (self.now + step).min(end);
            self.input(Input::Tick);
        }
    }

    pub fn request(&mut self, id: u64) {
        let request = self.new_request(id);
        self.input(Input::Request(request));
    }

    pub fn new_request(&self, id: u64) -> Request {
        Request {
            id,
            organisation: "shop".into(),
            route: "letters".into(),
            key: None,
            fingerprint: id,
            group: id,
            prompt_tokens: 2_000,
            prefixes: Vec::new(),
            parts: Vec::new(),
            max_tokens: None,
            expected_tokens: Some(900),
            timeout: Some(Duration::from_secs(39)),
            stream: None,
            handed_over: false,
        }
    }

    /// Returns the id of the running attempt of a request.
    pub fn running_attempt(&self, id: u64) -> u64 {
        let mut jobs = self.instance.jobs();
        let job = jobs
            .find(|job| job.request.id == id)
            .expect("the request has a job");
        job.running()
            .expect("the request has a running attempt")
            .attempt
    }

    /// Removes and returns the newest dispatch of a request.
    pub fn dispatch(&mut self, id: u64) -> Option<Dispatch> {
        let position = self.outputs.iter().rposition(
            |output| matches!(output, Output::Dispatch(dispatch) if dispatch.request == id),
        )?;
        match self.outputs.remove(position) {
            Output::Dispatch(dispatch) => Some(dispatch),
            _ => None,
        }
    }

    pub fn outcome(&self, id: u64) -> Option<&Outcome> {
        self.outputs.iter().find_map(|output| match output {
            Output::Finish { request, outcome } if *request == id => Some(outcome),
            _ => None,
        })
    }

    /// Returns the endpoint of the newest copy that was ordered for an attempt.
    pub fn ordered_copy(&self, attempt: u64) -> Option<&Endpoint> {
        self.outputs.iter().rev().find_map(|output| match output {
            Output::Copy {
                attempt: ordered_for,
                endpoint,
                ..
            } if *ordered_for == attempt => Some(endpoint),
            _ => None,
        })
    }

    pub fn event(&mut self, dispatch: &Dispatch, event: Event) {
        self.input(Input::Attempt(dispatch.attempt, event));
    }

    /// Reports an attempt's first token and then its progress to a given number of tokens, all
    /// delivered to the caller.
    pub fn deliver_tokens(&mut self, dispatch: &Dispatch, tokens: u32) {
        self.event(dispatch, Event::FirstToken);
        let progress = Event::Progress {
            generated: tokens,
            delivered: tokens,
        };
        self.event(dispatch, progress);
        self.advance(Duration::from_millis(60));
    }
}
