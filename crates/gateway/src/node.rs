//! Starting and stopping.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use clock::Clock;
use conf::Config;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use wigeon_core::Input;
use wigeon_core::Instance;
use wire::InstanceId;
use wire::gossip::Entry;
use wire::seal;
use xtra::Address;
use xtra::Mailbox;

use crate::answer::Registry;
use crate::barrier::Barrier;
use crate::callers;
use crate::callers::Callers;
use crate::decider;
use crate::decider::Break;
use crate::decider::Decider;
use crate::decider::Hold;
use crate::decider::Links;
use crate::decider::Relays;
use crate::decider::Status;
use crate::decider::Take;
use crate::http;
use crate::metrics::Metrics;
use crate::operators;
use crate::operators::Operators;
use crate::peers;
use crate::peers::Peers;
use crate::peers::Receiver;
use crate::platform;
use crate::platform::Platform;
use crate::relay::Shared;
use crate::settings::Settings;
use crate::supervisor::Supervisor;

/// Time that last frames have to leave the process.
const FAREWELL_TIME: Duration = Duration::from_millis(50);

/// One instance that runs.
pub struct Node {
    settings: Settings,
    /// How it is found, with the ports that the system chose.
    pub entry: Entry,
    decider: Address<Decider>,
    status: watch::Receiver<Status>,
    accepting: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    supervisor: Supervisor,
    servers: Vec<tokio::task::JoinHandle<()>>,
    metrics: Arc<Metrics>,
    barrier: Arc<Barrier>,
}

impl Node {
    /// Starts an instance. A port of zero in its settings is chosen by the system.
    ///
    /// # Errors
    ///
    /// If an address can't be listened on.
    pub async fn start(settings: Settings, clock: Arc<dyn Clock>) -> anyhow::Result<Node> {
        let callers = listen(settings.callers, "callers").await?;
        let operators = listen(settings.operators, "operators").await?;
        let (socket, great) = listen_for_peers(&settings).await?;
        let id = new_id();
        let entry = Entry {
            id,
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            peers: great.local_addr()?,
            callers: callers.local_addr()?,
            operators: operators.local_addr()?,
        };
        let metrics = Arc::new(Metrics::new());
        let barrier = Arc::new(Barrier::default());
        let mut supervisor = Supervisor::new();
        let (decider, decider_mailbox) = Mailbox::unbounded();
        let (peers, peers_mailbox) = Mailbox::unbounded();
        let (platform, platform_mailbox) = Mailbox::unbounded();
        let (status_sender, status) = watch::channel(Status {
            config: Arc::new(Config::default()),
            ready: false,
            idle: true,
            id,
        });
        let (wake, wake_receiver) = watch::channel(None);
        let relays = Arc::new(Relays::default());
        let client = http::client(true);
        let links = Arc::new(Links {
            clock: clock.clone(),
            peers,
            platform,
            client: client.clone(),
            barrier: barrier.clone(),
            relays: relays.clone(),
            status: status_sender,
            wake,
            metrics: metrics.clone(),
            own: decider.clone(),
        });
        let secret = seal::key_from_text(&settings.peers_key);
        let receiver = Receiver::new(secret, id, clock.clone(), metrics.clone(), decider.clone());

        let core = core_settings(&settings, &entry);
        supervisor.add("decider", decider_mailbox, move |restarts| {
            let mut core = core.clone();
            core.seed = core.seed.wrapping_add(u64::from(restarts));
            Decider::new(Instance::new(core), links.clone(), restarts > 0)
        });
        let (peer_socket, peer_clock, peer_metrics) =
            (socket.clone(), clock.clone(), metrics.clone());
        let peer_barrier = barrier.clone();
        supervisor.add("peers", peers_mailbox, move |restarts| {
            // The numbers of a new sealer must not repeat those of the one before.
            let sealer = seal::Sealer::new(secret, id).with_start(u64::from(restarts) << 40);
            Peers::new(
                peer_socket.clone(),
                sealer,
                peer_clock.clone(),
                peer_barrier.clone(),
                peer_metrics.clone(),
            )
        });
        let (address, told) = (settings.platform, decider.clone());
        let platform_barrier = barrier.clone();
        supervisor.add("platform", platform_mailbox, move |_| {
            Platform::new(address, platform_barrier.clone(), told.clone())
        });
        supervisor.add_task(peers::receive_datagrams(socket, receiver.clone()));
        supervisor.add_task(peers::receive_connections(great, receiver));
        supervisor.add_task(platform::read_list(
            settings.platform,
            barrier.clone(),
            decider.clone(),
        ));
        supervisor.add_task(decider::keep_time(
            clock.clone(),
            wake_receiver,
            decider.clone(),
        ));

        let shared = Arc::new(Shared {
            decider: decider.clone(),
            relays,
            client,
            call_client: http::client(false),
            clock,
            barrier: barrier.clone(),
            metrics: metrics.clone(),
        });
        let accepting = watch::Sender::new(true);
        let stop = watch::Sender::new(false);
        let caller_side = Arc::new(Callers {
            shared,
            answers: Arc::new(Registry::default()),
            status: status.clone(),
            accepting: accepting.subscribe(),
            proxy: http::client(true),
        });
        let operator_side = Arc::new(Operators {
            decider: decider.clone(),
            status: status.clone(),
            token: settings.operators_token.clone(),
            client: http::client(true),
            name: settings.name.clone(),
        });
        let servers = vec![
            tokio::spawn(http::serve(callers, stop.subscribe(), move |request| {
                callers::handle(caller_side.clone(), request)
            })),
            tokio::spawn(http::serve(operators, stop.subscribe(), move |request| {
                operators::handle(operator_side.clone(), request)
            })),
        ];
        log::info!(
            "node: Instance {} serves callers at {}.",
            entry.name,
            entry.callers
        );
        Ok(Node {
            settings,
            entry,
            decider,
            status,
            accepting,
            stop,
            supervisor,
            servers,
            metrics,
            barrier,
        })
    }

    /// Returns whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.status.borrow().ready
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.status.borrow().config.clone()
    }

    /// Returns its counters.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Returns the links that are cut.
    pub fn barrier(&self) -> &Arc<Barrier> {
        &self.barrier
    }

    /// Holds the decisions still, as a paused process would be.
    pub async fn hold(&self, time: Duration) {
        let _ = self.decider.send(Hold(time)).detach().await;
    }

    /// Makes the decider fail, to show that it is replaced.
    pub async fn break_decider(&self) {
        let _ = self.decider.send(Break).detach().await;
    }

    /// Ends the instance without cutting anyone off: it is no longer ready but still accepts for the
    /// set delay, finishes all that runs and waits, and stops.
    pub async fn shut_down(mut self) {
        let _ = self.accepting.send(false);
        let _ = self.decider.send(Take(Input::Leave)).await;
        tokio::time::sleep(self.settings.shutdown_delay).await;
        let _ = self.stop.send(true);
        let limit = self.settings.shutdown_limit;
        let finishing = async {
            for server in &mut self.servers {
                let _ = server.await;
            }
            let _ = self.status.wait_for(|status| status.idle).await;
        };
        match limit {
            Some(limit) => {
                if tokio::time::timeout(limit, finishing).await.is_err() {
                    log::warn!("node: Running work is cut by the set limit.");
                }
            }
            None => finishing.await,
        }
        let _ = self.decider.send(Take(Input::Stop)).await;
        tokio::time::sleep(FAREWELL_TIME).await;
        self.supervisor.stop().await;
        log::info!("node: Instance {} has stopped.", self.entry.name);
    }

    /// Ends the instance at once, as a crash would.
    pub async fn kill(mut self) {
        for server in &self.servers {
            server.abort();
        }
        self.supervisor.stop().await;
    }
}

fn new_id() -> InstanceId {
    fastrand::u64(1..)
}

async fn listen(address: std::net::SocketAddr, what: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("{what}: can't listen on {address}"))
}

/// Listens for datagrams and connections on the same port.
async fn listen_for_peers(settings: &Settings) -> anyhow::Result<(Arc<UdpSocket>, TcpListener)> {
    /// Times that another port is tried where the system chooses it.
    const TRIES: u32 = 20;
    let mut tries = 0;
    loop {
        let great = listen(settings.peers, "peers").await?;
        let address = great.local_addr()?;
        tries += 1;
        match UdpSocket::bind(address).await {
            Ok(socket) => return Ok((Arc::new(socket), great)),
            Err(_) if settings.peers.port() == 0 && tries < TRIES => {}
            Err(error) => {
                return Err(error).with_context(|| format!("peers: can't listen on {address}"));
            }
        }
    }
}

fn core_settings(settings: &Settings, entry: &Entry) -> wigeon_core::Settings {
    wigeon_core::Settings {
        own: entry.clone(),
        seed: entry.id,
        policy: settings.policy,
        shards: settings.shards,
        store: store::Limits {
            rate: settings.store_rate,
            burst: settings.store_rate,
            ..store::Limits::default()
        },
        strikes: wigeon_core::settings::STRIKES_DEFAULT,
        strict: false,
    }
}
