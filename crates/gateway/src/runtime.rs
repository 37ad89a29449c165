//! The components that every process around an instance needs: the decider, frame I/O and the
//! timer.

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

/// The running components of one instance.
pub struct Runtime {
    /// Address of the decider.
    pub decider: Address<Decider>,
    /// The status of the decider.
    pub status: watch::Receiver<Status>,
    /// The relays of all open requests.
    pub relays: Arc<Relays>,
    /// The instance's metrics.
    pub metrics: Arc<Metrics>,
    /// Links that an experiment has cut.
    pub partition: Arc<Partition>,
    /// Runs the components and restarts the actors that panic.
    pub supervisor: Supervisor,
}

/// The sockets for frames on one port: UDP for frames that fit into a datagram, TCP for larger
/// ones.
#[derive(Debug)]
pub struct Sockets {
    datagrams: Arc<UdpSocket>,
    connections: TcpListener,
}

impl Sockets {
    /// Binds both sockets to an address. With port 0 the system chooses the port.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket can't be bound to the address.
    pub async fn bind(address: SocketAddr) -> anyhow::Result<Sockets> {
        /// Greatest number of attempts with port 0: the TCP port that the system chose may be in
        /// use for UDP.
        const PORT_ATTEMPTS_MAX: u32 = 20;
        let mut attempts = 0;
        loop {
            let connections = listen(address, "peers").await?;
            let bound = connections.local_addr()?;
            attempts += 1;
            match UdpSocket::bind(bound).await {
                Ok(socket) => {
                    return Ok(Sockets {
                        datagrams: Arc::new(socket),
                        connections,
                    });
                }
                Err(_) if address.port() == 0 && attempts < PORT_ATTEMPTS_MAX => {}
                Err(error) => {
                    return Err(error).with_context(|| format!("peers: can't listen on {bound}"));
                }
            }
        }
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not return the socket's address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.connections.local_addr()
    }
}

/// Binds a TCP listener. The listener's name appears in the error message.
///
/// # Errors
///
/// Returns an error if the listener can't be bound to the address.
pub async fn listen(address: SocketAddr, name: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("{name}: can't listen on {address}"))
}

/// Returns a random id for a new incarnation of an instance.
pub fn new_incarnation_id() -> InstanceId {
    fastrand::u64(1..)
}

impl Runtime {
    /// Starts the components of an instance. `effects` makes the decider's side effects, given the
    /// decider's address and the partition.
    pub fn start(
        core: wigeon_core::Settings,
        peers_key: &str,
        sockets: Sockets,
        clock: Arc<dyn Clock>,
        effects: impl FnOnce(&Address<Decider>, &Arc<Partition>) -> Effects,
    ) -> Runtime {
        let entry: &Entry = &core.entry;
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
            should_read_server_list: false,
            should_read_config: false,
            is_isolated: false,
            has_limited_servers: false,
            store_era: 0,
            id,
        });
        let (next_tick, next_tick_receiver) = watch::channel(None);
        let relays = Arc::new(Relays::default());
        let wiring = Arc::new(Wiring {
            clock: clock.clone(),
            peers,
            effects: effects(&decider, &partition),
            relays: relays.clone(),
            status: status_sender,
            next_tick,
            metrics: metrics.clone(),
        });
        let secret = seal::key_from_text(peers_key);
        let receiver = Receiver::new(secret, id, clock.clone(), metrics.clone(), decider.clone());
        supervisor.add("decider", decider_mailbox, move |restarts| {
            let mut core = core.clone();
            core.seed = core.seed.wrapping_add(u64::from(restarts));
            core.is_first_start &= restarts == 0;
            Decider::new(Instance::new(core), wiring.clone(), restarts > 0)
        });
        let (peer_socket, peer_clock) = (sockets.datagrams.clone(), clock.clone());
        let (peer_metrics, peer_partition) = (metrics.clone(), partition.clone());
        supervisor.add("peers", peers_mailbox, move |restarts| {
            // The frame numbers of a new sealer must not repeat those of the previous one.
            let sealer = seal::Sealer::new(secret, id).with_last_seq(u64::from(restarts) << 40);
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
        supervisor.add_task(decider::send_ticks(
            clock,
            next_tick_receiver,
            decider.clone(),
        ));
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
