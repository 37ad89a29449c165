//! The parts that every shell of an instance has: the decider, its frames and its clock.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context as _;
use clock::Clock;
use conf::Config;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use wigeon_core::Instance;
use wire::InstanceId;
use wire::gossip::Entry;
use wire::seal;
use xtra::Address;
use xtra::Mailbox;

use crate::decider;
use crate::decider::Decider;
use crate::decider::Effects;
use crate::decider::Relays;
use crate::decider::Status;
use crate::decider::Wiring;
use crate::metrics::Metrics;
use crate::partition::Partition;
use crate::peers;
use crate::peers::Peers;
use crate::peers::Receiver;
use crate::supervisor::Supervisor;

/// The running parts of one instance.
pub struct Runtime {
    /// The decider.
    pub decider: Address<Decider>,
    /// What the decider shows.
    pub status: watch::Receiver<Status>,
    /// The relays of all requests.
    pub relays: Arc<Relays>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Links that are cut.
    pub partition: Arc<Partition>,
    /// Runs the parts.
    pub supervisor: Supervisor,
}

/// Sockets for frames: datagrams, and connections for great ones, on the same port.
#[derive(Debug)]
pub struct Sockets {
    datagrams: Arc<UdpSocket>,
    connections: TcpListener,
}

impl Sockets {
    /// Listens at an address. A port of zero is chosen by the system.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub async fn bind(address: SocketAddr) -> anyhow::Result<Sockets> {
        /// Times that another port is tried where the system chooses it.
        const TRIES: u32 = 20;
        let mut tries = 0;
        loop {
            let connections = listen(address, "peers").await?;
            let bound = connections.local_addr()?;
            tries += 1;
            match UdpSocket::bind(bound).await {
                Ok(socket) => {
                    return Ok(Sockets {
                        datagrams: Arc::new(socket),
                        connections,
                    });
                }
                Err(_) if address.port() == 0 && tries < TRIES => {}
                Err(error) => {
                    return Err(error).with_context(|| format!("peers: can't listen on {bound}"));
                }
            }
        }
    }

    /// Returns the address.
    ///
    /// # Errors
    ///
    /// If the system does not tell.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.connections.local_addr()
    }
}

/// Listens at an address.
///
/// # Errors
///
/// If that can't be done.
pub async fn listen(address: SocketAddr, what: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("{what}: can't listen on {address}"))
}

/// Returns a new life's number.
pub fn new_id() -> InstanceId {
    fastrand::u64(1..)
}

impl Runtime {
    /// Starts the parts of an instance. What the decider has done outside is made with its address.
    pub fn start(
        core: wigeon_core::Settings,
        peers_key: &str,
        sockets: Sockets,
        clock: Arc<dyn Clock>,
        effects: impl FnOnce(&Address<Decider>, &Arc<Partition>) -> Effects,
    ) -> Runtime {
        let entry: &Entry = &core.own;
        let id = entry.id;
        let metrics = Arc::new(Metrics::new());
        let partition = Arc::new(Partition::default());
        let mut supervisor = Supervisor::new();
        let (decider, decider_mailbox) = Mailbox::unbounded();
        let (peers, peers_mailbox) = Mailbox::unbounded();
        let (status_sender, status) = watch::channel(Status {
            config: Arc::new(Config::default()),
            ready: false,
            idle: true,
            reads_list: false,
            id,
        });
        let (wake, wake_receiver) = watch::channel(None);
        let relays = Arc::new(Relays::default());
        let wiring = Arc::new(Wiring {
            clock: clock.clone(),
            peers,
            effects: effects(&decider, &partition),
            relays: relays.clone(),
            status: status_sender,
            wake,
            metrics: metrics.clone(),
        });
        let secret = seal::key_from_text(peers_key);
        let receiver = Receiver::new(secret, id, clock.clone(), metrics.clone(), decider.clone());
        supervisor.add("decider", decider_mailbox, move |restarts| {
            let mut core = core.clone();
            core.seed = core.seed.wrapping_add(u64::from(restarts));
            Decider::new(Instance::new(core), wiring.clone(), restarts > 0)
        });
        let (peer_socket, peer_clock) = (sockets.datagrams.clone(), clock.clone());
        let (peer_metrics, peer_partition) = (metrics.clone(), partition.clone());
        supervisor.add("peers", peers_mailbox, move |restarts| {
            // The numbers of a new sealer must not repeat those of the one before.
            let sealer = seal::Sealer::new(secret, id).with_start(u64::from(restarts) << 40);
            Peers::new(
                peer_socket.clone(),
                sealer,
                peer_clock.clone(),
                peer_partition.clone(),
                peer_metrics.clone(),
            )
        });
        supervisor.add_task(peers::receive_datagrams(
            sockets.datagrams,
            receiver.clone(),
        ));
        supervisor.add_task(peers::receive_connections(sockets.connections, receiver));
        supervisor.add_task(decider::keep_time(clock, wake_receiver, decider.clone()));
        Runtime {
            decider,
            status,
            relays,
            metrics,
            partition,
            supervisor,
        }
    }
}
