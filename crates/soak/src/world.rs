//! Instances, stand-ins, events.

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
use wigeon_core::Event;
use wigeon_core::Input;
use wigeon_core::Instance;
use wigeon_core::Listed;
use wigeon_core::Outcome;
use wigeon_core::Output;
use wigeon_core::Request;
use wigeon_core::ServerReport;
use wigeon_core::Settings;
use wigeon_core::message::CommandLine;
use wigeon_core::message::Dispatch;
use wigeon_core::message::ListedServer;
use wire::AttemptId;
use wire::Frame;
use wire::Name;
use wire::RequestId;

use crate::relay::Look;
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
    /// Frames sent.
    pub frames: u64,
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
    fn note(&mut self, frame: &Frame) {
        /// Bytes of the hash at the end of a frame.
        const TAG_BYTES: usize = 16;
        let coded = postcard::to_stdvec(frame).map_or(0, |bytes| bytes.len());
        let bytes = (coded + TAG_BYTES) as u64;
        let purpose = match frame.body {
            wire::Body::Ping { .. } | wire::Body::Ack { .. } | wire::Body::PingFor { .. } => 0,
            wire::Body::Claim(_)
            | wire::Body::Claimed { .. }
            | wire::Body::Settle(_)
            | wire::Body::Settled { .. } => 2,
            wire::Body::Fetch { .. } | wire::Body::Changes { .. } | wire::Body::Whole { .. } => 3,
            _ => 1,
        };
        self.frames += 1;
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

    fn add_node(&mut self, index: usize, data_centre: Name) {
        let name = Name::from(format!("i{index}"));
        let instance = new_instance(&mut self.rng, index, &name, &data_centre);
        self.nodes.push(Node {
            instance,
            life: 1,
            data_centre,
            paused_until: Time::ZERO,
            streams: BTreeMap::new(),
            name,
            skew: Duration::from_millis(self.rng.u64(0..400)),
            sent: 0,
            wake: Time::MAX,
        });
        self.schedule(
            Duration::ZERO,
            Action::Wake {
                node: index,
                life: 1,
            },
        );
    }

    fn add_server(&mut self, centre: usize, index: usize, is_engine: bool) {
        let kind = if is_engine { "engine" } else { "plain" };
        let name = Name::from(format!("{kind}{centre}-{index}"));
        let boot = self.rng.u64(1..1_000_000) << 8;
        let backend = if is_engine {
            let settings = standin::engine::Settings {
                step: Duration::from_millis(20),
                capacity: 900,
                ..standin::engine::Settings::default()
            };
            Backend::Engine(Box::new(Engine::new(settings, boot)))
        } else {
            Backend::Plain(Plain::new(standin::plain::Settings::default(), boot))
        };
        let data_centre = Name::from(format!("dc{centre}"));
        let port = 20_000 + (centre * 1_000 + index) as u16;
        let listed = ListedServer {
            name: name.clone(),
            data_centre: data_centre.clone(),
            label: if is_engine { "letters" } else { "marks" }.into(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            leaving: false,
            reclaimed: false,
        };
        let server = Server {
            backend,
            data_centre,
            listed,
            readers: BTreeMap::new(),
        };
        self.servers.insert(name, server);
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
        self.note("all is healed");
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
    pub fn note(&mut self, text: impl AsRef<str>) {
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
            Action::Wake { node, life } => self.handle(node, life, Input::Wake),
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

    /// Gives an instance an input, now or when it wakes from a pause.
    fn handle(&mut self, index: usize, life: u64, input: Input) {
        let node = &mut self.nodes[index];
        if node.life != life {
            return;
        }
        if node.paused_until > self.now {
            let delay = node.paused_until - self.now;
            let input = Box::new(input);
            self.schedule(
                delay,
                Action::Handle {
                    node: index,
                    life,
                    input,
                },
            );
            return;
        }
        let wall = WALL + self.now + node.skew;
        let started = std::time::Instant::now();
        let outputs = node.instance.handle(self.now, wall, input);
        self.cost.time += started.elapsed();
        for output in outputs {
            self.carry_out(index, output);
        }
        let node = &mut self.nodes[index];
        let wake = node.instance.next_wake().unwrap_or(Time::MAX).max(self.now);
        if wake < node.wake || node.wake <= self.now {
            node.wake = wake;
            let delay = (wake - self.now).max(Duration::from_millis(1));
            self.schedule(delay, Action::Wake { node: index, life });
        }
    }

    fn carry_out(&mut self, index: usize, output: Output) {
        let life = self.nodes[index].life;
        match output {
            Output::Dispatch(dispatch) => {
                let delay = self.delay();
                self.schedule(
                    delay,
                    Action::Reach {
                        node: index,
                        life,
                        dispatch,
                    },
                );
            }
            Output::Cancel { request, .. } => {
                if let Some(stream) = self.nodes[index].streams.get(&request) {
                    let (server, generation) = (stream.server.clone(), stream.generation);
                    if let (Some(server), Some(generation)) =
                        (self.servers.get_mut(&server), generation)
                        && let Backend::Engine(engine) = &mut server.backend
                    {
                        engine.cancel(generation);
                    }
                }
            }
            Output::Finish { request, outcome } => self.finish(index, request, &outcome),
            Output::Send { address, to, body } => self.send(index, address, to, body),
            Output::Store(sent) => {
                self.cost.store_calls += 1;
                let delay = self.delay();
                let until = self.now + sent.timeout;
                let (id, call) = (sent.id, sent.call);
                self.schedule(
                    delay,
                    Action::Store {
                        node: index,
                        life,
                        id,
                        call,
                        until,
                    },
                );
            }
            Output::Probe { server, asked, .. } => {
                let report = self.report(index, &server);
                self.input(index, Input::Report(server, asked, report));
            }
            Output::Order { order, .. } => {
                if let Some(Server {
                    backend: Backend::Engine(engine),
                    ..
                }) = self.servers.get_mut(&order.server)
                {
                    let setup =
                        BTreeMap::from([("model".to_string(), order.setup.model.to_string())]);
                    engine.order(self.now, order.fence, setup);
                }
            }
            Output::Reply { id, reply } => {
                let line = self.commands.get(&id).cloned().unwrap_or_default();
                self.note(format!("i{index} replies to '{line}': {reply:?}"));
            }
            Output::Log { part, text, .. } => self.note(format!("i{index} {part}: {text}")),
            Output::Config(config) => self.note_config(&config),
        }
    }

    /// Notes from when on a data centre must get no work, by the first instance that knows.
    fn note_config(&mut self, config: &conf::Config) {
        if config.version <= self.newest {
            return;
        }
        self.newest = config.version;
        for (name, centre) in &config.data_centres {
            if centre.out {
                self.out_since.entry(name.clone()).or_insert(self.now);
            } else {
                self.out_since.remove(name);
            }
        }
    }

    fn input(&mut self, node: usize, input: Input) {
        let delay = self.delay();
        let life = self.nodes[node].life;
        let input = Box::new(input);
        self.schedule(delay, Action::Handle { node, life, input });
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.u64(200..1_500))
    }

    /// Returns whether one data centre reaches another.
    fn reaches(&self, from: &Name, to: &Name) -> bool {
        !self.cuts.iter().any(|(a, b)| a == from && b == to)
    }

    fn send(&mut self, from: usize, address: SocketAddr, to: u64, body: wire::Body) {
        let target = self.nodes.iter().position(|node| {
            node.instance.id() == to || (to == wire::ANY && peers_address(&node.name) == address)
        });
        let Some(target) = target else {
            return;
        };
        if let wire::Body::Grant(grant) = &body {
            let text = format!("i{from} grants {} to i{target}", grant.server);
            self.note(text);
        }
        let (a, b) = (
            &self.nodes[from].data_centre,
            &self.nodes[target].data_centre,
        );
        if !self.reaches(a, b) || self.rng.f64() < self.loss {
            return;
        }
        let node = &mut self.nodes[from];
        node.sent += 1;
        let wall = WALL + self.now + node.skew;
        let frame = Frame {
            from: node.instance.id(),
            to,
            seq: node.sent,
            wall_ms: wall.as_millis() as u64,
            body,
        };
        self.cost.note(&frame);
        // Now and then a frame is late enough to be overtaken. Doubled ones are dropped by the
        // shell's window and not modelled.
        let late = if self.rng.f64() < self.loss {
            Duration::from_millis(self.rng.u64(1..800))
        } else {
            Duration::ZERO
        };
        let delay = self.delay() + late;
        let life = self.nodes[target].life;
        let input = Box::new(Input::Frame(frame));
        self.schedule(
            delay,
            Action::Handle {
                node: target,
                life,
                input,
            },
        );
    }

    fn serve_store(&mut self, node: usize, life: u64, id: u64, call: store::Call, until: Time) {
        let faults = self.platform.faults;
        let cut = self.cut_off.contains(&self.nodes[node].data_centre);
        let answer = if faults.down || cut {
            store::Answer::Unreachable
        } else {
            self.platform.call(self.now, &call)
        };
        if answer == store::Answer::Nothing && self.now < until {
            let delay = Duration::from_millis(20);
            self.schedule(
                delay,
                Action::Store {
                    node,
                    life,
                    id,
                    call,
                    until,
                },
            );
            return;
        }
        let lost = !call.is_read() && self.rng.f64() < faults.lost_answers;
        let answer = if lost { store::Answer::Unknown } else { answer };
        let delay = self.delay() + faults.slow;
        let input = Box::new(Input::Store(id, answer));
        self.schedule(delay, Action::Handle { node, life, input });
    }

    fn report(&mut self, node: usize, server: &Name) -> Option<ServerReport> {
        let from = self.nodes[node].data_centre.clone();
        let now = self.now;
        let there = self.servers.get(server)?.data_centre.clone();
        if !self.reaches(&from, &there) || !self.reaches(&there, &from) {
            return None;
        }
        let (load, ready) = match &mut self.servers.get_mut(server)?.backend {
            Backend::Engine(engine) => (engine.load(now)?, engine.is_ready(now)),
            Backend::Plain(plain) => (plain.load()?, true),
        };
        Some(ServerReport {
            load: admit::Load {
                boot: load.boot,
                running: load.running,
                waiting: load.waiting,
                used: load.used,
                capacity: load.capacity,
                preemptions: load.preemptions,
                served: load.served,
                leaving: load.leaving,
                cold: load.cold,
            },
            ready,
            ..ServerReport::default()
        })
    }

    /// A dispatch reaches its server, or does not.
    fn reach(&mut self, index: usize, life: u64, dispatch: &Dispatch) {
        if self.nodes[index].life != life {
            return;
        }
        let (request, attempt) = (dispatch.request, dispatch.attempt);
        let caller = self.callers[&(request & 0xffff_ffff)].clone();
        let whole = caller.route == "bulletin";
        let server = dispatch.server.clone();
        let node = &mut self.nodes[index];
        let allowed = match node.streams.get_mut(&request) {
            Some(stream) => stream.rebind(self.now, attempt, server.clone()),
            None => {
                let stream = Stream::new(self.now, whole, true, attempt, server.clone());
                node.streams.insert(request, stream);
                true
            }
        };
        let from = node.data_centre.clone();
        if !allowed {
            let delivered = self.nodes[index].streams[&request].relay.delivered();
            self.input(index, Input::Attempt(attempt, Event::Broken { delivered }));
            return;
        }
        let there = self.servers[&server].data_centre.clone();
        if !self.reaches(&from, &there) {
            self.input(index, Input::Attempt(attempt, Event::Unreachable));
            return;
        }
        self.note(format!(
            "i{index} starts request {:x} on {server}",
            caller.marker.request
        ));
        crate::verdict::check_start(self, &there, index);
        crate::verdict::check_poison(self, &caller.marker);
        let reader = Reader {
            node: index,
            life,
            request,
            attempt,
            arrival: self.now,
        };
        self.start(&server, &caller.marker, reader);
    }

    fn start(&mut self, name: &Name, marker: &Marker, reader: Reader) {
        let now = self.now;
        let server = self.servers.get_mut(name).expect("the server is known");
        let over_cold = server.over_cold();
        let failure = match &mut server.backend {
            Backend::Engine(engine) => {
                let ask = standin::engine::Ask {
                    attempt: reader.attempt,
                    marker: *marker,
                    prompt: 20,
                    limit: u32::MAX,
                    priority: 1,
                    prefixes: Vec::new(),
                };
                match engine.submit(now, ask) {
                    Ok(generation) => {
                        server.readers.insert(generation, reader);
                        let stream = self.nodes[reader.node].streams.get_mut(&reader.request);
                        if let Some(stream) = stream {
                            stream.generation = Some(generation);
                        }
                        None
                    }
                    Err(standin::engine::Refusal::Down) => Some(Event::Unreachable),
                    Err(_) => Some(Event::Refused),
                }
            }
            Backend::Plain(plain) if !plain.is_up() => Some(Event::Unreachable),
            Backend::Plain(plain) => match plain.start(now, marker) {
                Some((call, end)) => {
                    server.readers.insert(call, reader);
                    let server = name.clone();
                    self.schedule(end - now, Action::End { server, call });
                    None
                }
                None => Some(Event::Refused),
            },
        };
        if self.servers[name].over_cold() > over_cold {
            let views: Vec<String> = self
                .nodes
                .iter()
                .enumerate()
                .filter_map(|(index, node)| Some((index, node.instance.view_of(name)?)))
                .map(|(index, view)| format!("i{index} sees {view:?}"))
                .collect();
            let has = match &self.servers[name].backend {
                Backend::Engine(engine) => engine.requests(),
                Backend::Plain(_) => Vec::new(),
            };
            let text = format!("{name} is cold and got more than it bears: {has:x?}, {views:?}");
            self.broken.push(text);
        }
        match failure {
            Some(event) => self.input(reader.node, Input::Attempt(reader.attempt, event)),
            None => self.schedule_step(name),
        }
    }

    fn schedule_step(&mut self, name: &Name) {
        let next = match &self.servers[name].backend {
            Backend::Engine(engine) => engine.next_step(),
            Backend::Plain(_) => None,
        };
        if let Some(at) = next {
            let delay = at.saturating_sub(self.now);
            self.schedule(
                delay,
                Action::Step {
                    server: name.clone(),
                },
            );
        }
    }

    fn step(&mut self, name: &Name) {
        let now = self.now;
        let server = self.servers.get_mut(name).expect("the server is known");
        let Backend::Engine(engine) = &mut server.backend else {
            return;
        };
        let emissions = engine.step(now);
        if emissions.is_empty() {
            return;
        }
        if emissions.contains(&Emission::Crash) {
            self.lose_all(name);
            return;
        }
        for emission in emissions {
            let generation = match &emission {
                Emission::Token { generation, .. } | Emission::End { generation, .. } => {
                    *generation
                }
                Emission::Crash => continue,
            };
            self.emit(name, generation, emission);
        }
        self.schedule_step(name);
    }

    /// Sends something to whoever reads a generation, in order, unless the link is cut.
    fn emit(&mut self, name: &Name, generation: u64, emission: Emission) {
        let delay = self.delay();
        let now = self.now;
        let server = self.servers.get_mut(name).expect("the server is known");
        let there = server.data_centre.clone();
        let Some(reader) = server.readers.get_mut(&generation) else {
            return;
        };
        reader.arrival = reader.arrival.max(now + delay);
        let reader = *reader;
        let here = self.nodes[reader.node].data_centre.clone();
        if self.nodes[reader.node].life != reader.life || !self.reaches(&there, &here) {
            return;
        }
        let action = Action::Arrive {
            node: reader.node,
            life: reader.life,
            request: reader.request,
            attempt: reader.attempt,
            emission,
        };
        self.schedule(reader.arrival - now, action);
    }

    fn end_call(&mut self, name: &Name, call: u64) {
        let server = self.servers.get_mut(name).expect("the server is known");
        let Backend::Plain(plain) = &mut server.backend else {
            return;
        };
        if !plain.end(call) {
            return;
        }
        let token = Emission::Token {
            generation: call,
            index: 0,
            text: "done".into(),
        };
        self.emit(name, call, token);
        self.emit(
            name,
            call,
            Emission::End {
                generation: call,
                total: 1,
            },
        );
    }

    /// Tells all readers of a server that crashed.
    pub fn lose_all(&mut self, name: &Name) {
        let server = self.servers.get_mut(name).expect("the server is known");
        let generations: Vec<u64> = server.readers.keys().copied().collect();
        for generation in generations {
            self.emit(name, generation, Emission::Crash);
        }
        self.servers
            .get_mut(name)
            .expect("the server is known")
            .readers
            .clear();
        self.note(format!("{name} is down"));
        let delay = Duration::from_millis(self.rng.u64(500..2_000));
        self.schedule(
            delay,
            Action::Restart {
                server: name.clone(),
            },
        );
    }

    fn restart_server(&mut self, name: &Name) {
        let server = self.servers.get_mut(name).expect("the server is known");
        match &mut server.backend {
            Backend::Engine(engine) if !engine.is_up() => engine.restart(),
            Backend::Plain(plain) if !plain.is_up() => plain.restart(),
            _ => return,
        }
        server.listed.leaving = false;
        server.listed.reclaimed = false;
        self.note(format!("{name} starts anew"));
    }

    fn arrive(
        &mut self,
        index: usize,
        life: u64,
        request: RequestId,
        attempt: AttemptId,
        emission: Emission,
    ) {
        let node = &mut self.nodes[index];
        if node.life != life {
            return;
        }
        if node.paused_until > self.now {
            let delay = node.paused_until - self.now;
            self.schedule(
                delay,
                Action::Arrive {
                    node: index,
                    life,
                    request,
                    attempt,
                    emission,
                },
            );
            return;
        }
        let Some(stream) = node.streams.get_mut(&request) else {
            return;
        };
        let Some(event) = stream.take(self.now, attempt, emission) else {
            return;
        };
        if let Event::Complete { .. } = event {
            let stream = self.nodes[index]
                .streams
                .remove(&request)
                .expect("the stream is there");
            crate::verdict::check_answer(self, request & 0xffff_ffff, &stream.relay);
        }
        self.handle(index, life, Input::Attempt(attempt, event));
    }

    fn look(&mut self, index: usize) {
        self.schedule(LOOK_PERIOD, Action::Look { node: index });
        if self.nodes[index].paused_until > self.now {
            return;
        }
        let requests: Vec<RequestId> = self.nodes[index].streams.keys().copied().collect();
        for request in requests {
            let stream = self.nodes[index]
                .streams
                .get_mut(&request)
                .expect("it was listed");
            match stream.look(self.now) {
                Look::Fine => {}
                Look::Resume { generation, from } => self.resume(index, request, generation, from),
                Look::GiveUp => {
                    let attempt = stream.attempt;
                    let event = stream.lost(attempt, false).expect("the attempt is current");
                    self.input(index, Input::Attempt(attempt, event));
                }
            }
        }
    }

    /// Reads a generation on over a new connection.
    fn resume(&mut self, index: usize, request: RequestId, generation: u64, from: u32) {
        let stream = &self.nodes[index].streams[&request];
        let (name, attempt) = (stream.server.clone(), stream.attempt);
        let (here, there) = (
            &self.nodes[index].data_centre,
            &self.servers[&name].data_centre,
        );
        let reached = self.reaches(here, there) && self.reaches(there, here);
        let server = self.servers.get_mut(&name).expect("the server is known");
        let missed = match &mut server.backend {
            Backend::Engine(engine) if reached && engine.is_up() => engine.resume(generation, from),
            _ => None,
        };
        let stream = self.nodes[index]
            .streams
            .get_mut(&request)
            .expect("it was listed");
        if !reached && !stream.note_unreached(self.now) {
            return;
        }
        stream.note_reached();
        match missed {
            Some(missed) => {
                let reader = server.readers.get_mut(&generation);
                if let Some(reader) = reader {
                    reader.attempt = attempt;
                }
                for emission in missed {
                    self.emit(&name, generation, emission);
                }
            }
            None => {
                let event = stream.lost(attempt, reached);
                self.input(
                    index,
                    Input::Attempt(attempt, event.expect("the attempt is current")),
                );
            }
        }
    }

    fn give_list(&mut self, node: usize) {
        let jitter = Duration::from_millis(self.rng.u64(0..400));
        self.schedule(LIST_PERIOD + jitter, Action::List { node });
        if self.cut_off.contains(&self.nodes[node].data_centre) {
            return;
        }
        // The list lags and has gaps.
        let gap = self.troubled && self.rng.f64() < 0.1;
        let skipped = self.rng.usize(0..self.servers.len());
        let servers = self.servers.values().enumerate();
        let mut list: Vec<Listed> = servers
            .filter(|(index, _)| !gap || *index != skipped)
            .map(|(_, server)| Listed::Server(server.listed.clone()))
            .collect();
        list.extend(self.nodes.iter().map(|node| {
            Listed::Instance(member::Listed {
                name: node.name.clone(),
                data_centre: node.data_centre.clone(),
                peers: peers_address(&node.name),
                leaving: false,
            })
        }));
        self.input(node, Input::List(list));
    }

    fn add_load(&mut self) {
        if !self.troubled {
            return;
        }
        let number = self.callers.len() as u64 + 1;
        let route = self.draw_route();
        let plain = matches!(route, "status" | "mark");
        let usual = self.plan.length;
        let tail = if self.rng.f64() < 0.1 {
            usual * 8
        } else {
            usual
        };
        let marker = Marker {
            request: number,
            length: if plain { 1 } else { self.rng.u32(1..tail) },
            sampled: self.rng.f64() < 0.3,
            poison: self.plan.trouble && !plain && self.rng.f64() < 0.004,
        };
        let caller = Caller {
            marker,
            route,
            once: route == "mark",
            node: (0, 0),
            sends: 0,
            told: Vec::new(),
            answered: false,
            only_refusals: true,
        };
        self.callers.insert(number, caller);
        self.send_request(number);
        if self.plan.trouble && self.rng.f64() < 0.05 {
            // The same key through two instances at once.
            self.send_request(number);
        }
        let wait = self.plan.pause.mul_f64(0.2 + 1.6 * self.rng.f64());
        self.schedule(wait, Action::Load);
    }

    fn draw_route(&mut self) -> &'static str {
        if let Some(marks) = self.plan.marks {
            return if self.rng.f64() < marks {
                "mark"
            } else {
                "letter"
            };
        }
        let routes = ["letter", "bulletin", "status", "mark", "mark"];
        routes[self.rng.usize(0..routes.len())]
    }

    fn send_request(&mut self, number: u64) {
        let organisation = number as usize % self.plan.organisations;
        let index = self.rng.usize(0..self.nodes.len());
        let life = self.nodes[index].life;
        let caller = self.callers.get_mut(&number).expect("the caller is known");
        caller.sends += 1;
        caller.node = (index, life);
        let id = number | u64::from(caller.sends) << 32;
        let key = caller
            .once
            .then(|| once::hash_key("org", "mark", &number.to_string()));
        let request = Request {
            id,
            organisation: format!("org{organisation}").as_str().into(),
            route: caller.route.into(),
            key,
            fingerprint: number,
            prompt: 20,
            prefixes: Vec::new(),
            limit: None,
        };
        self.input(index, Input::Request(request));
    }

    fn finish(&mut self, index: usize, request: RequestId, outcome: &Outcome) {
        let number = request & 0xffff_ffff;
        self.nodes[index].streams.remove(&request);
        let caller = self.callers.get_mut(&number).expect("the caller is known");
        match outcome {
            Outcome::Recorded(_) => caller.answered = true,
            Outcome::Failed(_) => caller.only_refusals = false,
            Outcome::Refused(_) => {}
        }
        caller.told.push(format!("{outcome:?}"));
        let again = !caller.answered && caller.sends < 4 && !caller.marker.poison;
        self.note(format!("request {number:x} is told {outcome:?}"));
        if let Outcome::Refused(refusal) = outcome {
            crate::verdict::check_refusal(self, number, request, refusal);
        }
        if again {
            self.send_request(number);
        }
    }

    /// Sends an operator's command to an instance.
    pub fn command(&mut self, index: usize, line: String) {
        let id = self.rng.u64(..);
        self.commands.insert(id, line.clone());
        self.note(format!("an operator tells i{index}: {line}"));
        let command = CommandLine {
            id,
            who: "soak".into(),
            lines: line.split('\n').map(String::from).collect(),
            change_id: id,
            dry_run: false,
        };
        self.input(index, Input::Command(command));
    }

    /// Replaces an instance by a new process.
    pub fn restart_node(&mut self, index: usize) {
        let name = self.nodes[index].name.clone();
        let data_centre = self.nodes[index].data_centre.clone();
        let instance = new_instance(&mut self.rng, index, &name, &data_centre);
        let node = &mut self.nodes[index];
        node.instance = instance;
        node.life += 1;
        node.streams.clear();
        node.sent = 0;
        node.wake = Time::MAX;
        node.paused_until = Time::ZERO;
        let life = node.life;
        self.schedule(Duration::from_millis(1), Action::Wake { node: index, life });
        // Callers whose connection broke send again.
        let lost: Vec<u64> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.node == (index, life - 1) && !caller.answered)
            .filter(|(_, caller)| !caller.marker.poison)
            .map(|(number, _)| *number)
            .collect();
        for caller in self.callers.values_mut() {
            if caller.node == (index, life - 1) && caller.marker.poison {
                caller.told.push("connection lost".into());
            }
        }
        for number in lost {
            self.callers
                .get_mut(&number)
                .expect("it was listed")
                .only_refusals = false;
            self.send_request(number);
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
