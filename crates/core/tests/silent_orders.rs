//! Random orders of the events of a stream whose servers fall silent, with a model of its relay.

mod driver;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use conf::Config;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::prop_oneof;
use proptest::proptest;
use wigeon_core::Event;
use wigeon_core::Input;
use wigeon_core::Output;
use wigeon_core::message::Dispatch;
use wire::AttemptId;

use crate::driver::Driver;
use crate::driver::server;
use crate::driver::streaming_route;

const REQUEST: u64 = 1;
const SERVERS: [&str; 4] = ["a", "b", "c", "d"];
const DELIVERED: u32 = 100;
/// Time after which every request has reached its timeout.
const TIMEOUT: Duration = Duration::from_secs(45);

/// A step of the world around the instance.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The instance handles the oldest event of the relay.
    Handle,
    /// The relay handles the oldest command of the instance.
    Obey,
    /// The current attempt sends a token.
    Speak,
    /// The current attempt is silent for the relay's timeout.
    Silence,
    /// The connection of the current attempt ends.
    Break,
    /// The current attempt completes the stream.
    Complete,
    /// The server of the attempt in place of the current one begins to answer.
    Succeed,
    /// That attempt fails.
    Fail(Failure),
    /// Time passes.
    Wait(u16),
    /// A configuration without the route and the pool comes into force, or one with them.
    Configure(bool),
    /// The list of servers loses or regains a server.
    List(usize, bool),
}

#[derive(Clone, Copy, Debug)]
enum Failure {
    Refused,
    Unreachable,
    Lost,
}

/// The relay of a request that streams, with its two channels.
#[derive(Default)]
struct Relay {
    current: AttemptId,
    /// Whether the connection of the current attempt is open.
    is_open: bool,
    /// Number of silences reported so far.
    silences: u32,
    silence: Option<u32>,
    successor: Option<AttemptId>,
    ended: bool,
    events: VecDeque<(AttemptId, Event)>,
    commands: VecDeque<Output>,
}

impl Relay {
    fn report(&mut self, attempt: AttemptId, event: Event) {
        self.events.push_back((attempt, event));
    }

    fn lost() -> Event {
        Event::Lost {
            crashed: true,
            delivered: DELIVERED,
        }
    }

    fn awaits(&self, dispatch: &Dispatch) -> bool {
        match dispatch.silence {
            Some(silence) => self.silence == Some(silence),
            None => !self.is_open,
        }
    }

    fn obey(&mut self) {
        let Some(command) = self.commands.pop_front() else {
            return;
        };
        match command {
            Output::Dispatch(dispatch) if self.awaits(&dispatch) => {
                self.successor = Some(dispatch.attempt);
            }
            Output::Cancel { attempt, .. } if self.successor == Some(attempt) => {
                self.successor = None;
            }
            Output::Cancel { attempt, .. } if self.current == attempt => self.close(),
            Output::Finish { .. } => {
                assert!(!self.ended, "the request ends once");
                self.ended = true;
            }
            _ => {}
        }
    }

    fn close(&mut self) {
        self.is_open = false;
    }

    fn speak(&mut self) {
        if !self.is_open {
            return;
        }
        self.successor = None;
        if self.silence.take().is_some() {
            self.report(self.current, Event::Recovered);
        }
        let progress = Event::Progress {
            generated: DELIVERED,
            delivered: DELIVERED,
        };
        self.report(self.current, progress);
    }

    fn fall_silent(&mut self) {
        if self.is_open && self.successor.is_none() {
            if self.silence.is_none() {
                self.silences += 1;
            }
            self.silence = Some(self.silences);
            let event = Event::Silent {
                silence: self.silences,
                delivered: DELIVERED,
            };
            self.report(self.current, event);
        }
    }

    fn break_off(&mut self) {
        if self.is_open {
            self.close();
            self.report(self.current, Relay::lost());
        }
    }

    fn complete(&mut self) {
        if !self.is_open {
            return;
        }
        let answer = wire::ledger::Answer {
            status: 200,
            media: String::new(),
            body: None,
        };
        let event = Event::Complete {
            generated: DELIVERED,
            gap: Duration::ZERO,
            answer,
        };
        self.report(self.current, event);
        self.ended = true;
    }

    fn succeed(&mut self) {
        if let Some(attempt) = self.successor.take() {
            self.report(attempt, Event::Accepted);
            self.current = attempt;
            self.is_open = true;
            self.silence = None;
        }
    }

    fn fail(&mut self, failure: Failure) {
        if let Some(attempt) = self.successor.take() {
            let event = match failure {
                Failure::Refused => Event::Refused,
                Failure::Unreachable => Event::Unreachable,
                Failure::Lost => Relay::lost(),
            };
            self.report(attempt, event);
        }
    }
}

struct World {
    /// Whether all events and commands arrive before the server of a new attempt can answer and
    /// before a stream can be silent once more.
    is_prompt: bool,
    driver: Driver,
    relay: Relay,
    version: conf::Version,
    config: Config,
}

impl World {
    fn new(rerun: bool, is_prompt: bool) -> World {
        let route = conf::Route {
            rerun,
            idempotent: rerun,
            attempts: if rerun { 3 } else { 1 },
            ..streaming_route()
        };
        let mut driver = Driver::new(route, &SERVERS);
        driver.request(REQUEST);
        let dispatch = driver.dispatch(REQUEST).expect("the request is dispatched");
        driver.deliver_tokens(&dispatch, DELIVERED);
        driver.outputs.clear();
        let relay = Relay {
            current: dispatch.attempt,
            is_open: true,
            ..Relay::default()
        };
        let config = driver.instance.config().clone();
        World {
            is_prompt,
            driver,
            relay,
            version: config.version,
            config,
        }
    }

    fn collect(&mut self) {
        for output in self.driver.outputs.drain(..) {
            if let Output::Dispatch(_) | Output::Cancel { .. } | Output::Finish { .. } = &output {
                self.relay.commands.push_back(output);
            }
        }
    }

    fn take(&mut self, step: Step) {
        if self.is_prompt && matches!(step, Step::Silence | Step::Succeed) {
            self.settle();
        }
        let relay = &mut self.relay;
        match step {
            Step::Handle => {
                if let Some((attempt, event)) = relay.events.pop_front() {
                    self.driver.input(Input::Attempt(attempt, event));
                }
            }
            _ if relay.ended => {}
            Step::Obey => relay.obey(),
            Step::Speak => relay.speak(),
            Step::Silence => relay.fall_silent(),
            Step::Break => relay.break_off(),
            Step::Complete => relay.complete(),
            Step::Succeed => relay.succeed(),
            Step::Fail(failure) => relay.fail(failure),
            Step::Wait(millis) => {
                self.driver.advance(Duration::from_millis(millis.into()));
            }
            Step::Configure(with_route) => self.configure(with_route),
            Step::List(index, listed) => {
                let name = SERVERS[index % SERVERS.len()];
                let servers = &mut self.driver.servers;
                servers.retain(|server| server.name != name);
                if listed {
                    servers.push(server(name, 1));
                }
                self.driver.send_server_list();
            }
        }
        self.collect();
    }

    fn configure(&mut self, with_route: bool) {
        self.version += 1;
        let mut config = Config {
            version: self.version,
            ..self.config.clone()
        };
        if !with_route {
            config.routes.clear();
            config.pools.clear();
        }
        self.driver.input(Input::AdoptConfig(Arc::new(config)));
    }

    /// Exchanges all events and commands that are under way.
    fn settle(&mut self) {
        self.collect();
        while !self.relay.events.is_empty()
            || (!self.relay.ended && !self.relay.commands.is_empty())
        {
            self.take(Step::Handle);
            self.take(Step::Obey);
        }
    }

    /// Asserts that the instance and the relay agree on the attempts that run.
    fn assert_agreement(&self) {
        let job = self.driver.instance.jobs().next();
        let Some(job) = job else {
            assert!(self.relay.ended, "a request without a job has ended");
            return;
        };
        assert!(!self.relay.ended, "a request that has ended has no job");
        let Some(running) = job.running() else {
            return;
        };
        let relay = &self.relay;
        let is_current = relay.is_open && relay.current == running.attempt;
        let is_successor = relay.successor == Some(running.attempt);
        assert!(is_current || is_successor, "the relay runs the attempt");
        if let Some(silent) = &job.silent {
            assert!(relay.is_open && relay.current == silent.running.attempt);
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let failure = prop_oneof![
        Just(Failure::Refused),
        Just(Failure::Unreachable),
        Just(Failure::Lost)
    ];
    prop_oneof![
        6 => Just(Step::Handle),
        6 => Just(Step::Obey),
        2 => Just(Step::Speak),
        4 => Just(Step::Silence),
        1 => Just(Step::Break),
        1 => Just(Step::Complete),
        2 => Just(Step::Succeed),
        2 => failure.prop_map(Step::Fail),
        1 => (1u16..400).prop_map(Step::Wait),
        1 => any::<bool>().prop_map(Step::Configure),
        1 => (0..SERVERS.len(), any::<bool>()).prop_map(|(index, listed)| Step::List(index, listed)),
    ]
}

fn assert_sound(rerun: bool, is_prompt: bool, steps: Vec<Step>) {
    let mut world = World::new(rerun, is_prompt);
    for step in steps {
        world.take(step);
        let is_finish = |command: &Output| matches!(command, Output::Finish { .. });
        let failed = world.relay.commands.iter().any(is_finish);
        let is_open = world.relay.is_open && !world.relay.ended;
        assert!(!failed || !is_open, "an open stream is not given up");
    }
    world.settle();
    world.assert_agreement();
    world.driver.advance(TIMEOUT);
    world.settle();
    world.assert_agreement();
    assert!(world.driver.instance.is_idle());
}

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn stream_is_neither_given_up_nor_left_without_an_attempt(
        rerun in any::<bool>(),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        assert_sound(rerun, true, steps);
    }

    #[test]
    fn stream_is_not_left_without_an_attempt_if_the_decider_is_late(
        rerun in any::<bool>(),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        assert_sound(rerun, false, steps);
    }
}
