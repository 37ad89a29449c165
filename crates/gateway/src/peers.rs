//! Sends and receives the frames between instances.
//!
//! A frame that fits into a datagram is sent over UDP, a larger one over a TCP connection of its
//! own. Delivery is not acknowledged here: a sender that needs a reply and gets none repeats the
//! frame.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use clock::Clock;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use wigeon_core::Input;
use wire::DATAGRAM_BYTES;
use wire::FRAME_BYTES;
use wire::InstanceId;
use wire::seal::Opener;
use wire::seal::Sealer;
use wire::seal::SharedKey;
use xtra::Actor;
use xtra::Address;
use xtra::Context;
use xtra::Handler;

use crate::decider::Decider;
use crate::decider::HandleInput;
use crate::metrics::Metrics;
use crate::partition::Partition;

/// Longest time to send or receive a large frame over TCP.
const TCP_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the buffer for a received datagram, in bytes.
const DATAGRAM_BUFFER_BYTES: usize = 2_048;
/// Greatest number of large frames that are received concurrently.
const TCP_FRAMES_MAX: usize = 32;

/// The actor that sends frames.
pub struct Peers {
    socket: Arc<UdpSocket>,
    sealer: Sealer,
    clock: Arc<dyn Clock>,
    partition: Arc<Partition>,
    metrics: Arc<Metrics>,
}

impl Peers {
    /// Returns an actor that sends the frames of one incarnation.
    pub fn new(
        socket: Arc<UdpSocket>,
        sealer: Sealer,
        clock: Arc<dyn Clock>,
        partition: Arc<Partition>,
        metrics: Arc<Metrics>,
    ) -> Peers {
        Peers {
            socket,
            sealer,
            clock,
            partition,
            metrics,
        }
    }
}

impl Actor for Peers {
    type Stop = ();

    async fn stopped(self) {}
}

/// Seals and sends a frame to another instance.
#[derive(Debug)]
pub struct SendFrame {
    /// Address of the receiving instance.
    pub address: SocketAddr,
    /// Id of the receiving instance.
    pub to: InstanceId,
    /// Content of the frame.
    pub body: wire::Body,
}

impl Handler<SendFrame> for Peers {
    type Return = ();

    async fn handle(&mut self, frame: SendFrame, _: &mut Context<Peers>) {
        let bytes = self.sealer.seal(frame.to, self.clock.wall(), frame.body);
        self.metrics.count_frame_sent(bytes.len());
        if self.partition.cuts(frame.address) {
            return;
        }
        if bytes.len() <= DATAGRAM_BYTES {
            // If the send buffer is full, the frame is dropped. The network may also drop frames.
            let _ = self.socket.try_send_to(&bytes, frame.address);
            return;
        }
        tokio::spawn(async move {
            let _ = tokio::time::timeout(TCP_TIMEOUT, send_over_tcp(frame.address, bytes)).await;
        });
    }
}

async fn send_over_tcp(address: SocketAddr, bytes: Vec<u8>) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&bytes).await?;
    stream.shutdown().await
}

/// Opens received frames, which verifies them, and passes them to the decider.
pub struct Receiver {
    opener: Mutex<Opener>,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    decider: Address<Decider>,
}

impl Receiver {
    /// Returns a receiver for the frames to one incarnation.
    pub fn new(
        secret: SharedKey,
        own: InstanceId,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
        decider: Address<Decider>,
    ) -> Arc<Receiver> {
        Arc::new(Receiver {
            opener: Mutex::new(Opener::new(secret, own)),
            clock,
            metrics,
            decider,
        })
    }

    async fn receive(&self, bytes: &[u8]) {
        let opened = {
            let mut opener = self.opener.lock().unwrap_or_else(PoisonError::into_inner);
            opener.open(bytes, self.clock.wall())
        };
        match opened {
            Ok(frame) => {
                self.metrics.count_frame_received(bytes.len());
                let _ = self
                    .decider
                    .send(HandleInput(Input::Frame(frame)))
                    .detach()
                    .await;
            }
            Err(error) => self.metrics.count_frame_dropped(error.kind()),
        }
    }
}

/// Receives frames over UDP until the task is stopped.
pub async fn receive_datagrams(socket: Arc<UdpSocket>, receiver: Arc<Receiver>) {
    let mut buffer = [0; DATAGRAM_BUFFER_BYTES];
    loop {
        // The system may report the error of an earlier send here, so errors are ignored.
        if let Ok((length, _)) = socket.recv_from(&mut buffer).await {
            receiver.receive(&buffer[..length]).await;
        }
    }
}

/// Receives large frames over TCP until the task is stopped.
pub async fn receive_connections(listener: TcpListener, receiver: Arc<Receiver>) {
    let permits = Arc::new(tokio::sync::Semaphore::new(TCP_FRAMES_MAX));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        // Above the limit the connection is closed; the sender repeats the frame if it needs a
        // reply.
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let receiver = receiver.clone();
        tokio::spawn(async move {
            if let Ok(Ok(bytes)) = tokio::time::timeout(TCP_TIMEOUT, read_from_tcp(stream)).await {
                receiver.receive(&bytes).await;
            }
            drop(permit);
        });
    }
}

async fn read_from_tcp(mut stream: TcpStream) -> std::io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    if length > FRAME_BYTES {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut bytes = Vec::new();
    stream.take(length as u64).read_to_end(&mut bytes).await?;
    Ok(bytes)
}
