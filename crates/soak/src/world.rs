//! Instances, stand-ins, events.

mod backend;
mod load;
mod node;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Time;
use standin::engine::Emission;
use standin::engine::Engine;
use standin::plain::Plain;
use standin::platform::Platform;
use standin::token::Marker;
use wigeon_core::Input;
use wigeon_core::Instance;
use wigeon_core::Settings;
use wigeon_core::message::Dispatch;
use wigeon_core::message::ListedServer;
use wire::AttemptId;
use wire::Frame;
use wire::Name;
use wire::RequestId;

use crate::relay::Stream;

/// Wall time at the start.
const WALL: Duration = Duration::from_secs(1_800_000_000);
/// Events kept for a trace.
const TRACE_MAX: usize = 400;
/// Time between two looks at the streams of an instance.
const LOOK_PERIOD: Duration = Duration::from_millis(250);
/// Time between two readings of the list.
const LIST_PERIOD: Duration = Duration::from_millis(400);

/// How large a world is and how busy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Data centres.
    pub centres: usize,
    /// Instances in all.
    pub instances: usize,
    /// Model engines in each data centre.
    pub engines: usize,
    /// Plain services in each data centre.
    pub plains: usize,
    /// Organisations.
    pub organisations: usize,
    /// Mean time between two requests.
    pub pause: Duration,
    /// Longest usual output, in tokens.
    pub length: u32,
    /// Share of the requests that carry an idempotency key, where it is set.
    pub marks: Option<f64>,
    /// Whether things go wrong.
    pub trouble: bool,
}

/// What the instances have cost, together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Processor time.
    pub time: Duration,
    /// Bytes of frames sent, with their hashes.
    pub bytes: u64,
    /// Bytes of frames by their purpose: membership, admission, ledger, configuration.
    pub by_purpose: [u64; 4],
    /// Calls of the store.
    pub store_calls: u64,
}

/// One instance with its shell.
#[derive(Debug)]
pub struct Node {
    /// The decisions.
    pub instance: Instance,
    /// Life number of the process; events of an earlier life are dropped.
    pub life: u64,
    /// Its data centre.
    pub data_centre: Name,
    /// Until when it is paused.
    pub paused_until: Time,
    /// Its streams.
    pub streams: BTreeMap<RequestId, Stream>,
    name: Name,
    skew: Duration,
    sent: u64,
    wake: Time,
}

/// A backend server.
#[derive(Debug)]
pub enum Backend {
    /// A model engine.
    Engine(Box<Engine>),
    /// A plain service.
    Plain(Plain),
}

/// A backend server with its place.
#[derive(Debug)]
pub struct Server {
    /// The stand-in.
    pub backend: Backend,
    /// Its data centre.
    pub data_centre: Name,
    /// As it is listed.
    pub listed: ListedServer,
    readers: BTreeMap<u64, Reader>,
}

impl Cost {
    fn record(&mut self, frame: &Frame) {
        /// Bytes of the hash at the end of a frame.
        const TAG_BYTES: usize = 16;
        let coded = postcard::to_stdvec(frame).map_or(0, |bytes| bytes.len());
        let bytes = (coded + TAG_BYTES) as u64;
        let purpose = match frame.body {
            wire::Body::Ping { .. } | wire::Body::Ack { .. } | wire::Body::PingRequest { .. } => 0,
            wire::Body::Claim(_)
            | wire::Body::Claimed { .. }
            | wire::Body::Settle(_)
            | wire::Body::Settled { .. } => 2,
            wire::Body::FetchConfig { .. }
            | wire::Body::ConfigChanges { .. }
            | wire::Body::ConfigSnapshot { .. } => 3,
            _ => 1,
        };
        self.bytes += bytes;
        self.by_purpose[purpose] += bytes;
    }
}

impl Server {
    /// Returns how often it got more than a cold server bears.
    pub fn over_cold(&self) -> u64 {
        match &self.backend {
            Backend::Engine(engine) => engine.record.over_cold,
            Backend::Plain(plain) => plain.record.over_cold,
        }
    }
}

/// Who reads a generation or waits for a call.
#[derive(Clone, Copy, Debug)]
struct Reader {
    node: usize,
    life: u64,
    request: RequestId,
    attempt: AttemptId,
    arrival: Time,
}

/// One request of a caller, sent again until it is settled.
#[derive(Clone, Debug)]
pub struct Caller {
    /// What its prompt says.
    pub marker: Marker,
    /// The route.
    pub route: &'static str,
    /// Whether it may run only once.
    pub once: bool,
    /// Where it was sent last, and the life of that instance.
    pub node: (usize, u64),
    /// Times that it was sent.
    pub sends: u32,
    /// What it was told in the end, if anything.
    pub told: Vec<String>,
    /// Whether it has its whole answer.
    pub answered: bool,
    /// Whether it has gone away.
    pub gone: bool,
    /// Whether it was told by a refusal, each time, that it was not run.
    pub only_refusals: bool,
}

/// Something that happens.
#[derive(Debug)]
enum Action {
    Handle {
        node: usize,
        life: u64,
        input: Box<Input>,
    },
    Wake {
        node: usize,
        life: u64,
    },
    Reach {
        node: usize,
        life: u64,
        dispatch: Dispatch,
    },
    Arrive {
        node: usize,
        life: u64,
        request: RequestId,
        attempt: AttemptId,
        emission: Emission,
    },
    Step {
        server: Name,
    },
    End {
        server: Name,
        call: u64,
    },
    Store {
        node: usize,
        life: u64,
        id: u64,
        call: store::Call,
        until: Time,
    },
    Look {
        node: usize,
    },
    List {
        node: usize,
    },
    Load,
    Restart {
        server: Name,
    },
    Trouble,
}

/// Everything.
pub struct World {
    /// The time.
    pub now: Time,
    /// All that is random.
    pub rng: fastrand::Rng,
    /// The instances.
    pub nodes: Vec<Node>,
    /// The backend servers.
    pub servers: BTreeMap<Name, Server>,
    /// The platform.
    pub platform: Platform,
    /// The callers' requests.
    pub callers: BTreeMap<u64, Caller>,
    /// Pairs of data centres that do not reach each other, one way.
    pub cuts: Vec<(Name, Name)>,
    /// Data centres that do not reach the platform.
    pub cut_off: Vec<Name>,
    /// Share of frames that are lost.
    pub loss: f64,
    /// Data centres that are out by the newest configuration in force anywhere, and since when.
    pub out_since: BTreeMap<Name, Time>,
    /// When links or the store were last mended.
    pub mended_at: Time,
    newest: u64,
    /// What did not hold on the way.
    pub broken: Vec<String>,
    /// The newest events.
    pub trace: VecDeque<String>,
    /// Whether there is load and trouble.
    pub troubled: bool,
    /// What the instances have cost so far.
    pub cost: Cost,
    plan: Plan,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    actions: BTreeMap<u64, Action>,
    next: u64,
    commands: BTreeMap<u64, String>,
}

impl World {
    /// Returns whether some request is held whose engine is up and still runs it.
    pub fn is_generating(&self) -> bool {
        let runs = |server: &Name, request: RequestId| match &self.servers[server].backend {
            Backend::Engine(engine) => {
                engine.is_up() && engine.requests().contains(&(request & 0xffff_ffff))
            }
            Backend::Plain(_) => false,
        };
        self.nodes
            .iter()
            .flat_map(|node| node.instance.jobs())
            .filter_map(|job| Some((job.running()?, job.request.id)))
            .any(|(running, id)| runs(&running.server, id))
    }

    /// Returns a world of a few data centres, with its configuration and its load.
    pub fn new(seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let plan = Plan {
            centres: rng.usize(2..=3),
            instances: rng.usize(3..=9),
            engines: 2,
            plains: 1,
            organisations: 1,
            pause: Duration::from_millis(37),
            length: 40,
            marks: None,
            trouble: true,
        };
        World::with_plan(plan, rng)
    }

    /// Returns a world of a given size.
    pub fn with_plan(plan: Plan, rng: fastrand::Rng) -> World {
        let mut world = World {
            now: Time::ZERO,
            rng,
            cost: Cost::default(),
            plan,
            nodes: Vec::new(),
            servers: BTreeMap::new(),
            platform: Platform::default(),
            callers: BTreeMap::new(),
            cuts: Vec::new(),
            cut_off: Vec::new(),
            loss: 0.01,
            out_since: BTreeMap::new(),
            mended_at: Time::ZERO,
            newest: 0,
            broken: Vec::new(),
            trace: VecDeque::new(),
            troubled: true,
            queue: BinaryHeap::new(),
            actions: BTreeMap::new(),
            next: 0,
            commands: BTreeMap::new(),
        };
        world.build();
        world
    }

    fn build(&mut self) {
        let Plan {
            centres,
            instances,
            engines,
            plains,
            ..
        } = self.plan;
        if !self.plan.trouble {
            self.loss = 0.0;
        }
        for index in 0..instances {
            self.add_node(index, Name::from(format!("dc{}", index % centres)));
        }
        for centre in 0..centres {
            for index in 0..engines + plains {
                self.add_server(centre, index, index < engines);
            }
        }
        for line in configuration(&self.plan) {
            self.command(0, line);
        }
        for node in 0..instances {
            self.schedule(Duration::ZERO, Action::List { node });
            self.schedule(LOOK_PERIOD, Action::Look { node });
        }
        self.schedule(Duration::from_millis(1_500), Action::Load);
        if self.plan.trouble {
            self.schedule(Duration::from_millis(2_500), Action::Trouble);
        }
    }

    /// Runs all events up to a time.
    pub fn run_until(&mut self, end: Time) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end || !self.broken.is_empty() {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(action) = self.actions.remove(&id) {
                self.act(action);
            }
        }
    }

    /// Ends all trouble and all load.
    pub fn heal(&mut self) {
        self.troubled = false;
        self.mend_links();
        self.loss = 0.0;
        crate::fault::end_leaving_servers(self);
        self.record("all is healed");
    }

    /// Ends all cuts and the store's faults.
    pub fn mend_links(&mut self) {
        if !self.cuts.is_empty() || !self.cut_off.is_empty() || self.platform.faults.down {
            self.mended_at = self.now;
        }
        self.cuts.clear();
        self.cut_off.clear();
        self.platform.faults = standin::platform::Faults::default();
    }

    /// Notes an event for the trace.
    pub fn record(&mut self, text: impl AsRef<str>) {
        let line = format!("{:>9.3} {}", self.now.as_secs_f64(), text.as_ref());
        self.trace.push_back(line);
        if self.trace.len() > TRACE_MAX {
            self.trace.pop_front();
        }
    }

    fn schedule(&mut self, delay: Duration, action: Action) {
        self.next += 1;
        self.queue.push(Reverse((self.now + delay, self.next)));
        self.actions.insert(self.next, action);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Handle { node, life, input } => self.handle(node, life, *input),
            Action::Wake { node, life } => self.handle(node, life, Input::Tick),
            Action::Reach {
                node,
                life,
                dispatch,
            } => self.reach(node, life, &dispatch),
            Action::Arrive {
                node,
                life,
                request,
                attempt,
                emission,
            } => self.arrive(node, life, request, attempt, emission),
            Action::Step { server } => self.step(&server),
            Action::End { server, call } => self.end_call(&server, call),
            Action::Store {
                node,
                life,
                id,
                call,
                until,
            } => self.serve_store(node, life, id, call, until),
            Action::Look { node } => self.look(node),
            Action::List { node } => self.give_list(node),
            Action::Load => self.add_load(),
            Action::Restart { server } => self.restart_server(&server),
            Action::Trouble => {
                if self.troubled {
                    crate::fault::strike(self);
                    let wait = Duration::from_millis(self.rng.u64(200..1_800));
                    self.schedule(wait, Action::Trouble);
                }
            }
        }
    }
}

fn peers_address(name: &Name) -> SocketAddr {
    let index: u16 = name[1..].parse().unwrap_or(0);
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index))
}

fn new_instance(rng: &mut fastrand::Rng, index: usize, name: &Name, centre: &Name) -> Instance {
    let mut settings = Settings::example(name, centre, rng.u64(1..));
    settings.own.peers = peers_address(name);
    settings.seed = rng.u64(..);
    settings.shards = 4;
    debug_assert_eq!(peers_address(name).port(), 10_000 + index as u16);
    Instance::new(settings)
}

fn configuration(plan: &Plan) -> Vec<String> {
    let mut lines: Vec<String> = (0..plan.centres)
        .map(|centre| format!("put data-centre dc{centre} {{}}"))
        .collect();
    for index in 0..plan.organisations {
        let token = conf::hash_token(&format!("secret{index}"));
        lines.push(format!(
            r#"put organisation org{index} {{"token_hash":"{token}"}}"#
        ));
    }
    lines.extend([
        r#"put pool letters {"cold_limit":2,"batch":8}"#.into(),
        r#"put pool marks {"service":"plain","cold_limit":2,"batch":8}"#.into(),
        r#"put route letter {"pool":"letters","deadline_ms":4000}"#.into(),
        r#"put route bulletin {"pool":"letters","delivery":"whole","deadline_ms":4000}"#.into(),
        r#"put route status {"pool":"marks","deadline_ms":3000,"class":"interactive"}"#.into(),
        r#"put route mark {"pool":"marks","idempotent":false,"rerun":false,"deadline_ms":3000}"#
            .into(),
    ]);
    vec![lines.join("\n")]
}
