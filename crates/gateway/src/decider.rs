//! The actor that runs the decision state machine of an instance.
//!
//! [`Decider`] feeds inputs to [`wigeon_core::Instance`] one at a time and executes the outputs: it
//! sends frames, calls the store, probes servers and passes commands to the requests' relays.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use clock::Clock;
use clock::Time;
use conf::Config;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use wigeon_core::Input;
use wigeon_core::Instance;
use wigeon_core::Outcome;
use wigeon_core::Output;
use wigeon_core::Request;
use wigeon_core::message::CommandLine;
use wigeon_core::message::CommandReply;
use wigeon_core::message::Dispatch;
use wire::AttemptId;
use wire::BootId;
use wire::InstanceId;
use wire::Name;
use wire::RequestId;
use wire::admission::Endpoint;
use wire::gossip::Entry;
use xtra::Actor;
use xtra::Address;
use xtra::Context;
use xtra::Handler;

use crate::log_limit::LogLimiter;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::peers::SendFrame;

/// A command from the decider to the relay of one request.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayCommand {
    /// Starts an attempt.
    Dispatch(Box<Dispatch>),
    /// Cancels an attempt.
    Cancel(AttemptId),
    /// Orders the server that runs an attempt to copy the generation's KV memory to the endpoint.
    Copy(AttemptId, Endpoint),
    /// Ends the request with an outcome.
    Finish(Outcome),
    /// Tells the relay that a restarted decider has no record of its running attempt.
    Orphan,
}

/// Registry of the relays of all open requests. It outlives a decider, so that a restarted decider
/// can reach the relays that the previous one started.
#[derive(Debug, Default)]
pub struct Relays {
    inner: Mutex<HashMap<RequestId, Registration>>,
}

#[derive(Debug)]
struct Registration {
    request: Request,
    commands: mpsc::UnboundedSender<RelayCommand>,
    dispatched: bool,
}

impl Relays {
    /// Registers a request and returns the receiver of the commands for its relay.
    pub fn register(&self, request: Request) -> mpsc::UnboundedReceiver<RelayCommand> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let registration = Registration {
            commands: sender,
            dispatched: false,
            request: request.clone(),
        };
        self.lock().insert(request.id, registration);
        receiver
    }

    /// Removes a request when its relay has ended.
    pub fn deregister(&self, id: RequestId) {
        self.lock().remove(&id);
    }

    fn send_command(&self, id: RequestId, command: RelayCommand) {
        if let Some(registration) = self.lock().get_mut(&id) {
            registration.dispatched |= matches!(command, RelayCommand::Dispatch(_));
            let _ = registration.commands.send(command);
        }
    }

    /// Sends [`RelayCommand::Orphan`] to the relays whose request was dispatched, and returns the
    /// requests that were never dispatched, which the new decider can safely start over.
    fn orphan_dispatched(&self) -> Vec<Request> {
        let mut undispatched = Vec::new();
        for registration in self.lock().values() {
            if registration.dispatched {
                let _ = registration.commands.send(RelayCommand::Orphan);
            } else {
                undispatched.push(registration.request.clone());
            }
        }
        undispatched
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<RequestId, Registration>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The state of the decider that other components read.
#[derive(Clone, Debug)]
pub struct Status {
    /// The configuration in force.
    pub config: Arc<Config>,
    /// Whether the instance is ready to take callers.
    pub ready: bool,
    /// Whether the instance has no open request.
    pub idle: bool,
    /// Whether this instance should read the list of servers in the store.
    pub should_read_server_list: bool,
    /// Whether no other instance has been heard of for a while.
    pub is_isolated: bool,
    /// Whether this instance should read the external configuration, although another one reads it
    /// for the data centre.
    pub should_read_config: bool,
    /// The era of the store in which the current list of servers was read.
    pub store_era: wire::server_list::Era,
    /// Whether any server has stated a limit on the rate of its requests, so that a response without
    /// one is news.
    pub has_limited_servers: bool,
    /// The id of this incarnation of the instance.
    pub id: InstanceId,
}

/// Side effects that the decider requests from outside, other than frames and relay commands.
pub struct Effects {
    /// Makes a call to the platform's store.
    pub call_store: Box<dyn Fn(store::OutgoingCall) + Send + Sync>,
    /// Requests a backend server's report and passes it to the decider, together with the given
    /// time at which the probe was requested.
    pub probe_server: Box<dyn Fn(Name, SocketAddr, Time) + Send + Sync>,
    /// Opens a connection to a backend server and passes to the decider whether it was established,
    /// together with the given time at which the test was requested.
    pub test_path: Box<dyn Fn(Name, SocketAddr, Time) + Send + Sync>,
    /// Sends a reconcile order to an engine.
    pub send_order: Box<dyn Fn(SocketAddr, reconcile::Order) + Send + Sync>,
}

/// The dependencies of a decider. They outlive it, so that its replacement gets the same ones.
pub struct Wiring {
    /// The clock for monotonic and wall time.
    pub clock: Arc<dyn Clock>,
    /// The actor that sends frames to other instances.
    pub peers: Address<Peers>,
    /// The other side effects.
    pub effects: Effects,
    /// The relays of all open requests.
    pub relays: Arc<Relays>,
    /// Publishes the status to the other components.
    pub status: watch::Sender<Status>,
    /// Publishes the time of the next tick, or `None` when no timer is set.
    pub next_tick: watch::Sender<Option<Time>>,
    /// The instance's metrics.
    pub metrics: Arc<Metrics>,
}

/// The actor that owns the instance's decision state machine.
pub struct Decider {
    instance: Instance,
    wiring: Arc<Wiring>,
    replies: HashMap<u64, oneshot::Sender<CommandReply>>,
    restarted: bool,
    log_limiter: LogLimiter,
}

impl Decider {
    /// Returns a decider. With `restarted` it replaces one that failed and takes over its relays.
    pub fn new(instance: Instance, wiring: Arc<Wiring>, restarted: bool) -> Decider {
        Decider {
            instance,
            wiring,
            replies: HashMap::new(),
            restarted,
            log_limiter: LogLimiter::default(),
        }
    }

    async fn handle_input(&mut self, input: Input) {
        let clock = self.wiring.clock.clone();
        let outputs = self.instance.handle(clock.now(), clock.wall(), input);
        for output in outputs {
            self.execute(output).await;
        }
        self.publish_status();
    }

    async fn execute(&mut self, output: Output) {
        let wiring = self.wiring.clone();
        match output {
            Output::Dispatch(dispatch) => {
                wiring.metrics.count_attempt();
                let request = dispatch.request;
                wiring
                    .relays
                    .send_command(request, RelayCommand::Dispatch(Box::new(dispatch)));
            }
            Output::Cancel { request, attempt } => {
                wiring
                    .relays
                    .send_command(request, RelayCommand::Cancel(attempt));
            }
            Output::Copy {
                request,
                attempt,
                endpoint,
            } => wiring
                .relays
                .send_command(request, RelayCommand::Copy(attempt, endpoint)),
            Output::Finish { request, outcome } => {
                wiring
                    .relays
                    .send_command(request, RelayCommand::Finish(outcome));
            }
            Output::Send { address, to, body } => {
                let frame = SendFrame { address, to, body };
                let _ = wiring.peers.send(frame).detach().await;
            }
            Output::Store(sent) => {
                wiring.metrics.count_store_call();
                (wiring.effects.call_store)(sent);
            }
            Output::Probe {
                server,
                address,
                sent_at,
            } => (wiring.effects.probe_server)(server, address, sent_at),
            Output::TestPath {
                server,
                address,
                started_at,
            } => (wiring.effects.test_path)(server, address, started_at),
            Output::Order { address, order } => {
                // The process may have been paused since the decision, so checks again right before
                // sending that this instance still holds the lease.
                if self.instance.may_send_order(wiring.clock.now(), &order) {
                    (wiring.effects.send_order)(address, order);
                }
            }
            Output::Reply { id, reply } => {
                if let Some(sender) = self.replies.remove(&id) {
                    let _ = sender.send(reply);
                }
            }
            Output::Config(config) => {
                wiring.metrics.set_config_version(config.version);
                wiring.status.send_modify(|status| status.config = config);
            }
            Output::Log { target, warn, text } => {
                if !self.log_limiter.allows(wiring.clock.now(), !warn) {
                    return;
                }
                if warn {
                    log::warn!("{target}: {text}");
                } else {
                    log::info!("{target}: {text}");
                }
            }
        }
    }

    fn publish_status(&mut self) {
        let running = self.instance.running_count();
        self.wiring.metrics.set_instances_running(running);
        let (ready, idle) = (self.instance.is_ready(), self.instance.is_idle());
        let should_read_server_list = self.instance.should_read_server_list();
        let should_read_config = self.instance.should_read_config();
        let is_isolated = self.instance.is_isolated();
        let store_era = self.instance.store_era();
        let has_limited_servers = self.instance.has_limited_servers();
        self.wiring.status.send_if_modified(|status| {
            let changed = status.ready != ready
                || status.idle != idle
                || status.should_read_server_list != should_read_server_list
                || status.should_read_config != should_read_config
                || status.is_isolated != is_isolated
                || status.store_era != store_era
                || status.has_limited_servers != has_limited_servers;
            status.has_limited_servers = has_limited_servers;
            status.is_isolated = is_isolated;
            status.should_read_config = should_read_config;
            status.store_era = store_era;
            status.should_read_server_list = should_read_server_list;
            status.ready = ready;
            status.idle = idle;
            changed
        });
        let next_tick = self.instance.next_wake();
        self.wiring.next_tick.send_replace(next_tick);
        for (violation, count) in self.instance.violations() {
            self.wiring
                .metrics
                .set_violations(violation.as_str(), *count);
        }
    }
}

impl Actor for Decider {
    type Stop = ();

    async fn started(&mut self, _: &xtra::Mailbox<Decider>) -> Result<(), ()> {
        if self.restarted {
            for request in self.wiring.relays.orphan_dispatched() {
                self.handle_input(Input::Request(request)).await;
            }
        }
        self.handle_input(Input::Tick).await;
        Ok(())
    }

    async fn stopped(self) {}
}

/// Handles one input of the instance.
#[derive(Debug)]
pub struct HandleInput(pub Input);

impl Handler<HandleInput> for Decider {
    type Return = ();

    async fn handle(&mut self, HandleInput(input): HandleInput, _: &mut Context<Decider>) {
        self.handle_input(input).await;
    }
}

/// Runs an operator's command and replies through a channel.
#[derive(Debug)]
pub struct RunCommand {
    /// The command.
    pub command: CommandLine,
    /// Receives the reply to the command.
    pub reply: oneshot::Sender<CommandReply>,
}

impl Handler<RunCommand> for Decider {
    type Return = ();

    async fn handle(&mut self, run: RunCommand, _: &mut Context<Decider>) {
        self.replies.retain(|_, reply| !reply.is_closed());
        self.replies.insert(run.command.id, run.reply);
        self.handle_input(Input::Command(run.command)).await;
    }
}

/// Looks up another instance's entry (its name and addresses) by its id.
#[derive(Debug)]
pub struct FindInstance(pub InstanceId);

impl Handler<FindInstance> for Decider {
    type Return = Option<Entry>;

    async fn handle(
        &mut self,
        FindInstance(id): FindInstance,
        _: &mut Context<Decider>,
    ) -> Option<Entry> {
        self.instance.entry(id)
    }
}

/// Looks up whether the list of backend servers shows that the process has ended which a request had
/// reached.
#[derive(Debug)]
pub struct FindSuccessor {
    /// Name of the server.
    pub server: Name,
    /// Address of the server.
    pub address: SocketAddr,
    /// The boots that a process can have which was started after the request had reached the server.
    pub later_boots: RangeInclusive<BootId>,
}

impl Handler<FindSuccessor> for Decider {
    type Return = bool;

    async fn handle(&mut self, process: FindSuccessor, _: &mut Context<Decider>) -> bool {
        let FindSuccessor {
            server,
            address,
            later_boots,
        } = process;
        self.instance.is_replaced(&server, address, &later_boots)
    }
}

/// Lists the entries of all other running instances.
#[derive(Debug)]
pub struct ListOthers;

impl Handler<ListOthers> for Decider {
    type Return = Vec<Entry>;

    async fn handle(&mut self, _: ListOthers, _: &mut Context<Decider>) -> Vec<Entry> {
        self.instance.others()
    }
}

/// Reads the counts of the service-level objectives.
#[derive(Debug)]
pub struct ReadObjectives;

impl Handler<ReadObjectives> for Decider {
    type Return = slo::Snapshot;

    async fn handle(&mut self, _: ReadObjectives, _: &mut Context<Decider>) -> slo::Snapshot {
        self.instance.objectives()
    }
}

/// Suspends the decider for a time, which simulates a paused process. Only experiments send it.
#[derive(Debug)]
pub struct Pause(pub std::time::Duration);

impl Handler<Pause> for Decider {
    type Return = ();

    async fn handle(&mut self, Pause(time): Pause, _: &mut Context<Decider>) {
        tokio::time::sleep(time).await;
    }
}

/// Makes the decider panic, which tests that its supervisor restarts it. Only tests send it.
#[derive(Debug)]
pub struct Panic;

impl Handler<Panic> for Decider {
    type Return = ();

    async fn handle(&mut self, _: Panic, _: &mut Context<Decider>) {
        panic!("decider panic requested by a test");
    }
}

/// Sends [`Input::Tick`] to the decider whenever a tick is due, until the decider's side of the
/// channel is closed.
pub async fn send_ticks(
    clock: Arc<dyn Clock>,
    mut next_tick: watch::Receiver<Option<Time>>,
    decider: Address<Decider>,
) {
    /// Shortest time between two ticks.
    const TICK_INTERVAL_MIN: std::time::Duration = std::time::Duration::from_millis(1);
    loop {
        let due = *next_tick.borrow_and_update();
        let delay = due.map(|due| due.saturating_sub(clock.now()).max(TICK_INTERVAL_MIN));
        let sleep = async {
            match delay {
                Some(delay) => tokio::time::sleep(delay).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = sleep => {
                // Waits until the tick is handled, so that ticks do not pile up in the mailbox of a
                // decider that is behind.
                let _ = decider.send(HandleInput(Input::Tick)).await;
            }
            changed = next_tick.changed() => if changed.is_err() { return },
        }
    }
}
