//! The retry budgets of many instances together: a pool's servers reject much of what they get, and the
//! arrivals beyond the first of each request are counted over all instances.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use conf::Config;
use conf::Placing;
use conf::Pool;
use conf::Route;
use conf::Service;
use route::retry::Limits;
use wigeon_core::Event;
use wigeon_core::Input;
use wigeon_core::Instance;
use wigeon_core::ListEntry;
use wigeon_core::Output;
use wigeon_core::Request;
use wigeon_core::Settings;
use wigeon_core::Source;
use wire::Body;
use wire::Frame;
use wire::server_list::Server;
use wire::server_list::ServerListUpdate;

const WALL: Duration = Duration::from_secs(1_700_000_000);
const STEP: Duration = Duration::from_millis(20);
/// Time in which a server runs or rejects a call.
const CALL_TIME: Duration = Duration::from_millis(20);
/// When traffic starts.
const TRAFFIC_AT: Duration = Duration::from_secs(12);
/// How long servers reject calls, from the start of traffic on.
const SHEDDING_TIME: Duration = Duration::from_secs(13);
/// Share of the calls that they reject.
const SHED_SHARE: f64 = 0.45;

/// What happens beside the rejections.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Trouble {
    /// Part of the instances that get all requests.
    busy_share: f64,
    /// Part of the instances that are killed and started again in the middle.
    killed_share: f64,
    /// Part of the instances that are cut off from the rest from the start of traffic on, and learn that
    /// only they run. The others learn the same.
    cut_share: f64,
    /// Part of the instances that join in the middle.
    joining_share: f64,
}

struct Fleet {
    limits: Limits,
    instances: Vec<Instance>,
    /// When each instance's process started.
    started_at: Vec<Duration>,
    now: Duration,
    rng: fastrand::Rng,
    next_id: u64,
    /// Responses that are due: the instance, its process, the attempt and the event.
    due: VecDeque<(Duration, usize, u64, u64, Event)>,
    /// Frames on their way: the sender, the address of the receiver and the message.
    frames: VecDeque<(usize, SocketAddr, Body)>,
    /// Number of instances, from the first on, that exchange no frames with the rest.
    cut: usize,
    arrivals: BTreeMap<u64, u32>,
    /// When each request was sent and when each arrival beyond the first of a request was.
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
}

fn settings(index: usize, limits: Limits, is_first_start: bool, id: u64) -> Settings {
    let mut settings = Settings {
        source: Source::External,
        retries: limits,
        is_first_start,
        ..Settings::example(&format!("i{index}"), "east", id)
    };
    settings.entry.peers = peers(index);
    settings
}

/// Returns the address of an instance for frames.
fn peers(index: usize) -> SocketAddr {
    ([127, 0, 1, 1], index as u16 + 1).into()
}

fn config() -> Config {
    let pool = Pool {
        service: Service::Plain,
        placing: Placing::Local,
        ..Pool::default()
    };
    let route = Route {
        pool: "app".into(),
        idempotent: true,
        rerun: true,
        deadline_ms: 1_000,
        timeout_ms: 1_000,
        attempts: 3,
        ..Route::default()
    };
    let mut config = Config {
        version: 5,
        ..Config::default()
    };
    config.pools.insert("app".into(), pool);
    config.routes.insert("lookups".into(), route);
    config
}

fn servers() -> ServerListUpdate {
    let server = |number: u8| Server {
        name: format!("app-{number}").into(),
        data_centre: "east".into(),
        label: "app".into(),
        address: ([127, 0, 0, number], 80).into(),
        boot: 1,
        software: Default::default(),
        leaving: false,
        reclaimed: false,
        cold_left_ms: 0,
    };
    ServerListUpdate {
        era: 0,
        base_revision: 0,
        revision: 10,
        servers: (1..=3).map(server).collect(),
        removed: Vec::new(),
        kept: Vec::new(),
        grace_ms: 0,
        config_version: 0,
        config_digest: 0,
    }
}

impl Fleet {
    fn new(count: usize, limits: Limits, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            limits,
            instances: Vec::new(),
            started_at: Vec::new(),
            now: Duration::ZERO,
            rng: fastrand::Rng::with_seed(seed),
            next_id: 1,
            due: VecDeque::new(),
            frames: VecDeque::new(),
            cut: 0,
            arrivals: BTreeMap::new(),
            requests: Vec::new(),
            repeats: Vec::new(),
        };
        for index in 0..count {
            fleet.start(index, true);
        }
        fleet.list(0..count, 0..count);
        fleet
    }

    /// Starts the process of an instance, in place of the one before if there is one.
    fn start(&mut self, index: usize, is_first_start: bool) {
        let id = 1 + index as u64 + self.now.as_millis() as u64 * 1_000;
        let instance = Instance::new(settings(index, self.limits, is_first_start, id));
        if index < self.instances.len() {
            self.instances[index] = instance;
            self.started_at[index] = self.now;
        } else {
            self.instances.push(instance);
            self.started_at.push(self.now);
        }
        self.input(index, Input::AdoptConfig(Arc::new(config())));
        self.input(index, Input::ServerList(servers()));
    }

    /// Tells some instances that others run.
    fn list(&mut self, to: std::ops::Range<usize>, running: std::ops::Range<usize>) {
        let listed: Vec<ListEntry> = running
            .map(|index| {
                ListEntry::Instance(member::ListedInstance {
                    name: format!("i{index}").into(),
                    data_centre: "east".into(),
                    peers: peers(index),
                    leaving: false,
                })
            })
            .collect();
        for index in to {
            self.input(index, Input::List(listed.clone()));
        }
    }

    fn input(&mut self, index: usize, input: Input) {
        let now = self.now - self.started_at[index];
        let outputs = self.instances[index].handle(now, WALL + self.now, input);
        for output in outputs {
            let dispatch = match output {
                Output::Dispatch(dispatch) => dispatch,
                Output::Send { address, body, .. } => {
                    self.frames.push_back((index, address, body));
                    continue;
                }
                _ => continue,
            };
            let arrivals = self.arrivals.entry(dispatch.request).or_default();
            *arrivals += 1;
            if *arrivals > 1 {
                self.repeats.push(self.now);
            }
            let is_shedding = self.now < TRAFFIC_AT + SHEDDING_TIME;
            let event = match is_shedding && self.rng.f64() < SHED_SHARE {
                true => Event::Refused,
                false => Event::Complete {
                    generated: 0,
                    gap: Duration::ZERO,
                    answer: wire::ledger::Answer::default(),
                },
            };
            let process = self.instances[index].id();
            let at = self.now + CALL_TIME;
            self.due
                .push_back((at, index, process, dispatch.attempt, event));
        }
    }

    fn request(&mut self, index: usize) {
        let id = self.next_id;
        self.next_id += 1;
        self.requests.push(self.now);
        let request = Request {
            id,
            organisation: "shop".into(),
            route: "lookups".into(),
            key: None,
            fingerprint: id,
            group: id,
            prompt_tokens: 0,
            prefixes: Vec::new(),
            parts: Vec::new(),
            max_tokens: None,
            expected_tokens: None,
            timeout: None,
            stream: None,
            handed_over: false,
        };
        self.input(index, Input::Request(request));
    }

    /// Delivers the frames that were sent in the last step.
    fn deliver_frames(&mut self) {
        for (sender, address, body) in std::mem::take(&mut self.frames) {
            let receiver = usize::from(address.port()) - 1;
            let is_cut = (sender < self.cut) != (receiver < self.cut);
            if is_cut || receiver >= self.instances.len() {
                continue;
            }
            let frame = Frame {
                from: self.instances[sender].id(),
                to: self.instances[receiver].id(),
                seq: 0,
                wall_ms: (WALL + self.now).as_millis() as u64,
                body,
            };
            self.input(receiver, Input::Frame(frame));
        }
    }

    /// Advances the time by a step, in which a number of requests arrive at random instances.
    fn step(&mut self, requests: usize, receivers: usize) {
        self.now += STEP;
        self.deliver_frames();
        while self.due.front().is_some_and(|due| due.0 <= self.now) {
            let Some((_, index, process, attempt, event)) = self.due.pop_front() else {
                return;
            };
            if self.instances[index].id() == process {
                self.input(index, Input::Attempt(attempt, event));
            }
        }
        for index in 0..self.instances.len() {
            self.input(index, Input::Tick);
        }
        for _ in 0..requests {
            let index = self.rng.usize(..receivers);
            self.request(index);
        }
    }

    /// Asserts that no window has more repeats than the page allows: a part of the requests of that window,
    /// the one before or the one half a window before, and the slack.
    fn assert_within_budget(&self) {
        let window = self.limits.window;
        let count = |times: &[Duration], from: Duration| {
            let until = from + window;
            times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from)
        };
        for first in &self.repeats {
            let repeats = count(&self.repeats, *first);
            let starts = [
                *first,
                first.saturating_sub(window / 2),
                first.saturating_sub(window),
            ];
            let requests = starts.map(|from| count(&self.requests, from));
            let requests = requests.into_iter().max().unwrap_or_default();
            let allowed = self.limits.ratio * requests as f64 + self.limits.slack;
            assert!(
                repeats as f64 <= allowed,
                "{repeats} of {allowed:.0} repeats from {first:?} on"
            );
        }
    }
}

/// Plays rejections at a fleet, and asserts that the budget holds. Returns the repeats that were sent.
fn play(count: usize, rate: usize, slack: f64, trouble: Trouble, seed: u64) -> usize {
    let limits = Limits {
        ratio: 0.2,
        slack,
        window: Duration::from_secs(10),
    };
    let part = |share: f64| (count as f64 * share) as usize;
    let mut fleet = Fleet::new(count, limits, seed);
    while fleet.now < TRAFFIC_AT {
        fleet.step(0, 1);
    }
    let cut = part(trouble.cut_share);
    if cut > 0 {
        fleet.cut = cut;
        fleet.list(0..cut, 0..cut);
        fleet.list(cut..count, cut..count);
    }
    let receivers = match part(trouble.busy_share) {
        0 => count,
        busy => busy,
    };
    let middle = TRAFFIC_AT + SHEDDING_TIME / 2;
    let mut is_disturbed = false;
    while fleet.now < TRAFFIC_AT + SHEDDING_TIME + Duration::from_secs(5) {
        if fleet.now >= middle && !is_disturbed {
            is_disturbed = true;
            for index in 0..part(trouble.killed_share) {
                fleet.start(index, false);
            }
            let joined = part(trouble.joining_share);
            for index in count..count + joined {
                fleet.start(index, false);
            }
            fleet.list(0..count + joined, 0..count + joined);
        }
        let receivers = receivers.max(match is_disturbed {
            true => fleet
                .instances
                .len()
                .min(receivers + part(trouble.joining_share)),
            false => 0,
        });
        fleet.step(rate * 20 / 1_000, receivers);
    }
    fleet.assert_within_budget();
    fleet.repeats.len()
}

/// Guards against a budget that each instance keeps for itself, which lets many instances send several
/// times what all may send together.
#[test]
fn all_instances_together_stay_within_the_budget() {
    let troubles = [
        Trouble::default(),
        Trouble {
            busy_share: 0.1,
            ..Trouble::default()
        },
        Trouble {
            killed_share: 1.0,
            ..Trouble::default()
        },
        Trouble {
            killed_share: 0.5,
            cut_share: 0.34,
            ..Trouble::default()
        },
        Trouble {
            joining_share: 0.5,
            ..Trouble::default()
        },
    ];
    for (count, rate, slack) in [(7, 50, 54.0), (78, 200, 196.0), (295, 400, 630.0)] {
        for (index, trouble) in troubles.into_iter().enumerate() {
            let repeats = play(count, rate, slack, trouble, index as u64);
            assert!(
                repeats > 0,
                "{count} instances, {trouble:?}: nothing is tried again"
            );
        }
    }
}

/// Guards against callers of a busy instance that are refused beside an unused budget.
#[test]
fn busy_instance_borrows_what_the_others_do_not_need() {
    let trouble = Trouble {
        busy_share: 0.15,
        ..Trouble::default()
    };
    let (slack, ratio, requests) = (400.0, 0.2, 13.0 * 50.0);
    let repeats = play(7, 50, slack, trouble, 1);
    let own_part = slack / 7.0 + ratio * requests;
    assert!(repeats as f64 > own_part + 30.0, "{repeats} repeats");
}
