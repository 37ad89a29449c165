//! The actor that owns the decisions.

use std::collections::HashMap;
use std::net::SocketAddr;
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

/// What the decider tells the relay of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayCommand {
    /// Make an attempt.
    Dispatch(Dispatch),
    /// Stop an attempt.
    Cancel(AttemptId),
    /// Have the server of an attempt copy the generation's memory.
    Copy(AttemptId, Endpoint),
    /// The request has ended.
    Finish(Outcome),
    /// The decider has been replaced and knows nothing of what runs.
    Orphan,
}

/// The relays of all requests, by which a new decider finds them.
#[derive(Debug, Default)]
pub struct Relays {
    inner: Mutex<HashMap<RequestId, Registration>>,
}

#[derive(Debug)]
struct Registration {
    request: Request,
    orders: mpsc::UnboundedSender<RelayCommand>,
    dispatched: bool,
}

impl Relays {
    /// Enters a request, and returns the orders for its relay.
    pub fn enter(&self, request: Request) -> mpsc::UnboundedReceiver<RelayCommand> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let registration = Registration {
            orders: sender,
            dispatched: false,
            request: request.clone(),
        };
        self.lock().insert(request.id, registration);
        receiver
    }

    /// Removes a request.
    pub fn leave(&self, id: RequestId) {
        self.lock().remove(&id);
    }

    fn order(&self, id: RequestId, order: RelayCommand) {
        if let Some(registration) = self.lock().get_mut(&id) {
            registration.dispatched |= matches!(order, RelayCommand::Dispatch(_));
            let _ = registration.orders.send(order);
        }
    }

    /// Tells the relays that run something that they are on their own, and returns the requests that
    /// were never dispatched, which can be asked for again.
    fn orphan(&self) -> Vec<Request> {
        let mut again = Vec::new();
        for registration in self.lock().values() {
            if registration.dispatched {
                let _ = registration.orders.send(RelayCommand::Orphan);
            } else {
                again.push(registration.request.clone());
            }
        }
        again
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<RequestId, Registration>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the decider shows to the other parts.
#[derive(Clone, Debug)]
pub struct Status {
    /// The configuration in force.
    pub config: Arc<Config>,
    /// Whether callers may be sent here.
    pub ready: bool,
    /// Whether no request is left.
    pub idle: bool,
    /// Whether this instance should read the list of servers in the store.
    pub reads_list: bool,
    /// The incarnation.
    pub id: InstanceId,
}

/// What a decider has done outside the instance, other than by frames and relays.
pub struct Effects {
    /// Calls the platform's store.
    pub store: Box<dyn Fn(store::Sent) + Send + Sync>,
    /// Asks a backend server for its report and hands that to the decider. The time is given back.
    pub probe: Box<dyn Fn(Name, SocketAddr, Time) + Send + Sync>,
    /// Sends an order to an engine.
    pub order: Box<dyn Fn(SocketAddr, reconcile::Order) + Send + Sync>,
}

/// What a decider is made with.
pub struct Wiring {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Sends frames.
    pub peers: Address<Peers>,
    /// What else is done outside.
    pub effects: Effects,
    /// The relays of all requests.
    pub relays: Arc<Relays>,
    /// Where the status is shown.
    pub status: watch::Sender<Status>,
    /// When the next wake is due.
    pub wake: watch::Sender<Option<Time>>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

/// The actor that owns the decisions.
pub struct Decider {
    instance: Instance,
    wiring: Arc<Wiring>,
    replies: HashMap<u64, oneshot::Sender<CommandReply>>,
    restarted: bool,
    log_limiter: LogLimiter,
}

impl Decider {
    /// Returns the first decider of a process, or a later one that takes over its relays.
    pub fn new(instance: Instance, wiring: Arc<Wiring>, restarted: bool) -> Decider {
        Decider {
            instance,
            wiring,
            replies: HashMap::new(),
            restarted,
            log_limiter: LogLimiter::default(),
        }
    }

    async fn take(&mut self, input: Input) {
        let clock = self.wiring.clock.clone();
        let outputs = self.instance.handle(clock.now(), clock.wall(), input);
        for output in outputs {
            self.carry_out(output).await;
        }
        self.show();
    }

    async fn carry_out(&mut self, output: Output) {
        let wiring = self.wiring.clone();
        match output {
            Output::Dispatch(dispatch) => {
                wiring.metrics.attempt();
                let request = dispatch.request;
                wiring
                    .relays
                    .order(request, RelayCommand::Dispatch(dispatch));
            }
            Output::Cancel { request, attempt } => {
                wiring.relays.order(request, RelayCommand::Cancel(attempt));
            }
            Output::Copy {
                request,
                attempt,
                endpoint,
            } => wiring
                .relays
                .order(request, RelayCommand::Copy(attempt, endpoint)),
            Output::Finish { request, outcome } => {
                wiring.relays.order(request, RelayCommand::Finish(outcome));
            }
            Output::Send { address, to, body } => {
                let frame = SendFrame { address, to, body };
                let _ = wiring.peers.send(frame).detach().await;
            }
            Output::Store(sent) => {
                wiring.metrics.store_call();
                (wiring.effects.store)(sent);
            }
            Output::Probe {
                server,
                address,
                asked,
            } => (wiring.effects.probe)(server, address, asked),
            Output::Order { address, order } => {
                // Asked once more, right before the sending.
                if self.instance.may_send(wiring.clock.now(), &order) {
                    (wiring.effects.order)(address, order);
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
            Output::Log { part, warn, text } => {
                if !self.log_limiter.allows(wiring.clock.now(), !warn) {
                    return;
                }
                if warn {
                    log::warn!("{part}: {text}");
                } else {
                    log::info!("{part}: {text}");
                }
            }
        }
    }

    fn show(&mut self) {
        let (ready, idle) = (self.instance.is_ready(), self.instance.is_idle());
        let reads_list = self.instance.reads_list();
        self.wiring.status.send_if_modified(|status| {
            let changed =
                status.ready != ready || status.idle != idle || status.reads_list != reads_list;
            status.reads_list = reads_list;
            status.ready = ready;
            status.idle = idle;
            changed
        });
        let wake = self.instance.next_wake();
        self.wiring.wake.send_replace(wake);
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
            for request in self.wiring.relays.orphan() {
                self.take(Input::Request(request)).await;
            }
        }
        self.take(Input::Tick).await;
        Ok(())
    }

    async fn stopped(self) {}
}

/// An input.
#[derive(Debug)]
pub struct HandleInput(pub Input);

impl Handler<HandleInput> for Decider {
    type Return = ();

    async fn handle(&mut self, HandleInput(input): HandleInput, _: &mut Context<Decider>) {
        self.take(input).await;
    }
}

/// A command of an operator, with the way to its answer.
#[derive(Debug)]
pub struct RunCommand {
    /// The command.
    pub command: CommandLine,
    /// Where its answer goes.
    pub reply: oneshot::Sender<CommandReply>,
}

impl Handler<RunCommand> for Decider {
    type Return = ();

    async fn handle(&mut self, run: RunCommand, _: &mut Context<Decider>) {
        self.replies.retain(|_, reply| !reply.is_closed());
        self.replies.insert(run.command.id, run.reply);
        self.take(Input::Command(run.command)).await;
    }
}

/// Asks how an instance is found.
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

/// Asks how all other instances that run are found.
#[derive(Debug)]
pub struct ListOthers;

impl Handler<ListOthers> for Decider {
    type Return = Vec<Entry>;

    async fn handle(&mut self, _: ListOthers, _: &mut Context<Decider>) -> Vec<Entry> {
        self.instance.others()
    }
}

/// Asks for the counts of the service-level objectives.
#[derive(Debug)]
pub struct ReadObjectives;

impl Handler<ReadObjectives> for Decider {
    type Return = slo::Snapshot;

    async fn handle(&mut self, _: ReadObjectives, _: &mut Context<Decider>) -> slo::Snapshot {
        self.instance.objectives()
    }
}

/// Holds the decider still, as a paused process would be. Only experiments send it.
#[derive(Debug)]
pub struct Pause(pub std::time::Duration);

impl Handler<Pause> for Decider {
    type Return = ();

    async fn handle(&mut self, Pause(time): Pause, _: &mut Context<Decider>) {
        tokio::time::sleep(time).await;
    }
}

/// Makes the decider panic, to show that its supervisor replaces it. Only tests send it.
#[derive(Debug)]
pub struct Panic;

impl Handler<Panic> for Decider {
    type Return = ();

    async fn handle(&mut self, _: Panic, _: &mut Context<Decider>) {
        panic!("broken on purpose");
    }
}

/// Wakes the decider when something is due, for as long as the instance lives.
pub async fn keep_time(
    clock: Arc<dyn Clock>,
    mut wake: watch::Receiver<Option<Time>>,
    decider: Address<Decider>,
) {
    /// Least time between two wakes.
    const STEP: std::time::Duration = std::time::Duration::from_millis(1);
    loop {
        let due = *wake.borrow_and_update();
        let pause = due.map(|due| due.saturating_sub(clock.now()).max(STEP));
        let sleep = async {
            match pause {
                Some(pause) => tokio::time::sleep(pause).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = sleep => {
                // Awaited, so that a decider that is behind is not woken again and again.
                let _ = decider.send(HandleInput(Input::Tick)).await;
            }
            changed = wake.changed() => if changed.is_err() { return },
        }
    }
}
