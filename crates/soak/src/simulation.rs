//! The simulation: instances, stand-ins and the event queue.

mod backend;
mod load;
mod node;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Time;
use standin::engine::Emission;
use standin::engine::Engine;
use standin::plain::PlainService;
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

use crate::request_stream::RequestStream;

/// Wall-clock time at the start of a run, since the Unix epoch.
const WALL_CLOCK_START: Duration = Duration::from_secs(1_800_000_000);
/// Maximum number of events in the trace.
const MAX_TRACE_EVENTS: usize = 400;
/// Time between two checks for stalled streams of an instance.
const STALL_CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Time between two readings of the platform's list by an instance, without jitter.
const LIST_READ_PERIOD: Duration = Duration::from_millis(400);

/// Size and load of a simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parameters {
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of instances in all data centres together.
    pub instances: usize,
    /// Number of model engines in each data centre.
    pub engines: usize,
    /// Number of plain services in each data centre.
    pub plain_services: usize,
    /// Number of organisations.
    pub organisations: usize,
    /// Mean interval between two requests of all callers.
    pub mean_interval: Duration,
    /// Upper bound of the usual output length, in tokens. One request in ten may be eight times as
    /// long.
    pub usual_output_tokens: u32,
    /// Share of the requests that carry an idempotency key; the others are generations. `None` to
    /// choose among all routes.
    pub keyed_share: Option<f64>,
    /// Whether faults are injected.
    pub inject_faults: bool,
}

/// Resources used by all instances together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Processor time of the instances' input handling, measured as elapsed time.
    pub cpu_time: Duration,
    /// Bytes of the frames sent, including the hash at the end of each frame.
    pub frame_bytes: u64,
    /// Bytes of the frames sent, by category: membership, admission, ledger, configuration.
    pub bytes_by_category: [u64; 4],
    /// Number of store calls.
    pub store_calls: u64,
}

/// An instance with its simulated shell.
#[derive(Debug)]
pub struct Node {
    /// The decision core of the instance.
    pub instance: Instance,
    /// Incarnation number of the process, which rises with each restart. Events for an earlier
    /// incarnation are dropped.
    pub incarnation: u64,
    /// The data centre of the instance.
    pub data_centre: Name,
    /// Time until which the process is paused. In the past if the process is running.
    pub paused_until: Time,
    /// The streams of running requests, by request.
    pub streams: BTreeMap<RequestId, RequestStream>,
    name: Name,
    clock_skew: Duration,
    frames_sent: u64,
    next_tick: Time,
}

/// A backend server.
#[derive(Debug)]
pub enum Backend {
    /// A model engine.
    Engine(Box<Engine>),
    /// A plain service.
    Plain(PlainService),
}

/// A backend server with its data centre and its entry in the platform's list.
#[derive(Debug)]
pub struct Server {
    /// The stand-in that simulates the server.
    pub backend: Backend,
    /// The data centre of the server.
    pub data_centre: Name,
    /// The server's entry in the platform's list.
    pub list_entry: ListedServer,
    readers: BTreeMap<u64, Reader>,
}

impl Cost {
    fn record(&mut self, frame: &Frame) {
        /// Length of the hash at the end of a frame.
        const TAG_BYTES: usize = 16;
        let encoded = postcard::to_stdvec(frame).map_or(0, |bytes| bytes.len());
        let bytes = (encoded + TAG_BYTES) as u64;
        let category = match frame.body {
            wire::Body::Ping { .. }
            | wire::Body::Ack { .. }
            | wire::Body::PingRequest { .. }
            | wire::Body::SyncOffer { .. }
            | wire::Body::SyncView { .. } => 0,
            wire::Body::Claim(_)
            | wire::Body::Claimed { .. }
            | wire::Body::Settle(_)
            | wire::Body::Settled { .. } => 2,
            wire::Body::FetchConfig { .. }
            | wire::Body::FetchConfigPart { .. }
            | wire::Body::ConfigPart { .. }
            | wire::Body::ConfigChanges { .. }
            | wire::Body::ConfigSnapshot { .. } => 3,
            _ => 1,
        };
        self.frame_bytes += bytes;
        self.bytes_by_category[category] += bytes;
    }
}

impl Server {
    /// Returns how often the server got more work than its cold limit.
    pub fn cold_limit_violations(&self) -> u64 {
        match &self.backend {
            Backend::Engine(engine) => engine.record.cold_overloads,
            Backend::Plain(plain) => plain.record.cold_overloads,
        }
    }
}

/// The instance and attempt that receive the output of a generation or the answer to a call.
#[derive(Clone, Copy, Debug)]
struct Reader {
    node: usize,
    incarnation: u64,
    request: RequestId,
    attempt: AttemptId,
    last_arrival: Time,
}

/// A caller's request, which may be sent several times until it is answered.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The marker in the prompt, which sets the answer's length and faults.
    pub marker: Marker,
    /// Name of the route.
    pub route: &'static str,
    /// Whether the request may run at most once. It then carries an idempotency key.
    pub at_most_once: bool,
    /// Index and incarnation of the instance to which the request was last sent.
    pub node: (usize, u64),
    /// Number of times that the request was sent.
    pub sends: u32,
    /// Outcomes that the caller received, and connections that it lost for good. Empty until the
    /// first send ends.
    pub outcomes: Vec<String>,
    /// Whether the caller received the complete answer.
    pub answered: bool,
    /// Whether the caller has disconnected, or will do so after a delay.
    pub disconnected: bool,
    /// Whether no send has failed or lost its connection. Unless the request was answered, every
    /// outcome is then a refusal, which states that the request did not run.
    pub only_refusals: bool,
}

/// A scheduled event.
#[derive(Debug)]
enum Action {
    Handle {
        node: usize,
        incarnation: u64,
        input: Box<Input>,
    },
    Tick {
        node: usize,
        incarnation: u64,
    },
    DeliverDispatch {
        node: usize,
        incarnation: u64,
        dispatch: Box<Dispatch>,
    },
    DeliverEmission {
        node: usize,
        incarnation: u64,
        request: RequestId,
        attempt: AttemptId,
        emission: Emission,
    },
    StepEngine {
        server: Name,
    },
    EndCall {
        server: Name,
        call: u64,
    },
    StoreCall {
        node: usize,
        incarnation: u64,
        id: u64,
        call: store::Call,
        until: Time,
    },
    CheckStreams {
        node: usize,
    },
    DeliverList {
        node: usize,
    },
    AddRequest,
    RestartServer {
        server: Name,
    },
    InjectFault,
}

/// A simulated fleet with its callers, backend servers and platform.
pub struct Simulation {
    /// Simulated time since the start.
    pub now: Time,
    /// Source of all random choices.
    pub rng: fastrand::Rng,
    /// The instances, by index.
    pub nodes: Vec<Node>,
    /// The backend servers, by name.
    pub servers: BTreeMap<Name, Server>,
    /// The stand-in for the platform, which includes the store.
    pub platform: Platform,
    /// The callers' requests, by number.
    pub callers: BTreeMap<u64, Caller>,
    /// The sends of requests that a server has begun to run.
    pub started_sends: BTreeSet<RequestId>,
    /// Cut links between data centres, as pairs of source and destination.
    pub cut_links: Vec<(Name, Name)>,
    /// Data centres whose instances can't reach the platform.
    pub cut_off_from_platform: Vec<Name>,
    /// Probability that a frame is lost. A frame that is not lost is delayed with the same
    /// probability.
    pub frame_loss: f64,
    /// Data centres that are taken out in the newest configuration of any instance, with the time
    /// of the change.
    pub taken_out_since: BTreeMap<Name, Time>,
    /// Time at which links or the store were last repaired.
    pub repaired_at: Time,
    newest_config_version: conf::Version,
    /// Descriptions of the violated invariants. The first violation stops the run.
    pub violations: Vec<String>,
    /// The newest events, oldest first.
    pub trace: VecDeque<String>,
    /// Whether load is generated and faults may be injected.
    pub load_and_faults_active: bool,
    /// Resources used by the instances so far.
    pub cost: Cost,
    parameters: Parameters,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    actions: BTreeMap<u64, Action>,
    last_action_id: u64,
    commands: BTreeMap<u64, String>,
}

impl Simulation {
    /// Returns whether an instance holds a request that a running engine still generates.
    pub fn is_generating(&self) -> bool {
        let is_running = |server: &Name, request: RequestId| match &self.servers[server].backend {
            Backend::Engine(engine) => {
                engine.is_up() && engine.requests().contains(&(request & 0xffff_ffff))
            }
            Backend::Plain(_) => false,
        };
        self.nodes
            .iter()
            .flat_map(|node| node.instance.jobs())
            .filter_map(|job| Some((job.running()?, job.request.id)))
            .any(|(running, id)| is_running(&running.server, id))
    }

    /// Returns a simulation of two or three data centres with faults. The seed determines its size
    /// and all events.
    pub fn new(seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let parameters = Parameters {
            data_centres: rng.usize(2..=3),
            instances: rng.usize(3..=9),
            engines: 2,
            plain_services: 1,
            organisations: 1,
            mean_interval: Duration::from_millis(37),
            usual_output_tokens: 40,
            keyed_share: None,
            inject_faults: true,
        };
        Simulation::with_parameters(parameters, rng)
    }

    /// Returns a simulation with the given parameters.
    pub fn with_parameters(parameters: Parameters, rng: fastrand::Rng) -> Simulation {
        let mut sim = Simulation {
            now: Time::ZERO,
            rng,
            cost: Cost::default(),
            parameters,
            nodes: Vec::new(),
            servers: BTreeMap::new(),
            platform: Platform::default(),
            callers: BTreeMap::new(),
            started_sends: BTreeSet::new(),
            cut_links: Vec::new(),
            cut_off_from_platform: Vec::new(),
            frame_loss: 0.01,
            taken_out_since: BTreeMap::new(),
            repaired_at: Time::ZERO,
            newest_config_version: 0,
            violations: Vec::new(),
            trace: VecDeque::new(),
            load_and_faults_active: true,
            queue: BinaryHeap::new(),
            actions: BTreeMap::new(),
            last_action_id: 0,
            commands: BTreeMap::new(),
        };
        sim.build();
        sim
    }

    fn build(&mut self) {
        let Parameters {
            data_centres,
            instances,
            engines,
            plain_services,
            ..
        } = self.parameters;
        if !self.parameters.inject_faults {
            self.frame_loss = 0.0;
        }
        for index in 0..instances {
            self.add_node(index, Name::from(format!("dc{}", index % data_centres)));
        }
        for centre in 0..data_centres {
            for index in 0..engines + plain_services {
                self.add_server(centre, index, index < engines);
            }
        }
        for line in initial_config(&self.parameters) {
            self.submit_command(0, line);
        }
        for node in 0..instances {
            self.schedule(Duration::ZERO, Action::DeliverList { node });
            self.schedule(STALL_CHECK_PERIOD, Action::CheckStreams { node });
        }
        self.schedule(Duration::from_millis(1_500), Action::AddRequest);
        if self.parameters.inject_faults {
            self.schedule(Duration::from_millis(2_500), Action::InjectFault);
        }
    }

    /// Runs all events up to the given time, or until an invariant is violated.
    pub fn run_until(&mut self, end: Time) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end || !self.violations.is_empty() {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(action) = self.actions.remove(&id) {
                self.run_action(action);
            }
        }
    }

    /// Ends the load and all faults.
    pub fn end_load_and_faults(&mut self) {
        self.load_and_faults_active = false;
        self.repair_links_and_platform();
        self.frame_loss = 0.0;
        crate::fault::crash_leaving_servers(self);
        self.record("load and faults are ended");
    }

    /// Restores all cut links and ends the faults of the platform.
    pub fn repair_links_and_platform(&mut self) {
        if !self.cut_links.is_empty()
            || !self.cut_off_from_platform.is_empty()
            || self.platform.faults.down
        {
            self.repaired_at = self.now;
        }
        self.cut_links.clear();
        self.cut_off_from_platform.clear();
        self.platform.faults = standin::platform::Faults::default();
    }

    /// Appends an event to the trace.
    pub fn record(&mut self, text: impl AsRef<str>) {
        let line = format!("{:>9.3} {}", self.now.as_secs_f64(), text.as_ref());
        self.trace.push_back(line);
        if self.trace.len() > MAX_TRACE_EVENTS {
            self.trace.pop_front();
        }
    }

    fn schedule(&mut self, delay: Duration, action: Action) {
        self.last_action_id += 1;
        self.queue
            .push(Reverse((self.now + delay, self.last_action_id)));
        self.actions.insert(self.last_action_id, action);
    }

    fn run_action(&mut self, action: Action) {
        match action {
            Action::Handle {
                node,
                incarnation,
                input,
            } => self.handle(node, incarnation, *input),
            Action::Tick { node, incarnation } => self.handle(node, incarnation, Input::Tick),
            Action::DeliverDispatch {
                node,
                incarnation,
                dispatch,
            } => self.deliver_dispatch(node, incarnation, &dispatch),
            Action::DeliverEmission {
                node,
                incarnation,
                request,
                attempt,
                emission,
            } => self.deliver_emission(node, incarnation, request, attempt, emission),
            Action::StepEngine { server } => self.step_engine(&server),
            Action::EndCall { server, call } => self.end_call(&server, call),
            Action::StoreCall {
                node,
                incarnation,
                id,
                call,
                until,
            } => self.execute_store_call(node, incarnation, id, call, until),
            Action::CheckStreams { node } => self.check_streams(node),
            Action::DeliverList { node } => self.deliver_list(node),
            Action::AddRequest => self.add_request(),
            Action::RestartServer { server } => self.restart_server(&server),
            Action::InjectFault => {
                if self.load_and_faults_active {
                    crate::fault::inject_random(self);
                    let delay = Duration::from_millis(self.rng.u64(200..1_800));
                    self.schedule(delay, Action::InjectFault);
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
    settings.entry.peers = peers_address(name);
    settings.seed = rng.u64(..);
    settings.shards = 4;
    debug_assert_eq!(peers_address(name).port(), 10_000 + index as u16);
    Instance::new(settings)
}

fn initial_config(parameters: &Parameters) -> Vec<String> {
    let mut lines: Vec<String> = (0..parameters.data_centres)
        .map(|centre| format!("put data-centre dc{centre} {{}}"))
        .collect();
    for index in 0..parameters.organisations {
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
