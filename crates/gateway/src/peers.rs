//! Frames on sockets.
//!
//! A frame that fits into a datagram goes over UDP, a greater one over a TCP connection of its own.
//! Neither is confirmed: whoever needs an answer asks again.

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
use wire::seal::Secret;
use xtra::Actor;
use xtra::Address;
use xtra::Context;
use xtra::Handler;

use crate::decider::Decider;
use crate::decider::HandleInput;
use crate::metrics::Metrics;
use crate::partition::Partition;

/// Longest time for a great frame.
const TCP_TIME: Duration = Duration::from_secs(2);
/// Greatest datagram that is read, in bytes.
const READ_BYTES: usize = 2_048;
/// Great frames that are received at once.
const TCP_MAX: usize = 32;

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

/// A frame to be sent.
#[derive(Debug)]
pub struct SendFrame {
    /// Where to.
    pub address: SocketAddr,
    /// The receiver.
    pub to: InstanceId,
    /// What it says.
    pub body: wire::Body,
}

impl Handler<SendFrame> for Peers {
    type Return = ();

    async fn handle(&mut self, frame: SendFrame, _: &mut Context<Peers>) {
        let bytes = self.sealer.seal(frame.to, self.clock.wall(), frame.body);
        self.metrics.frame_sent(bytes.len());
        if self.partition.cuts(frame.address) {
            return;
        }
        if bytes.len() <= DATAGRAM_BYTES {
            // A full buffer drops the frame, as the network may.
            let _ = self.socket.try_send_to(&bytes, frame.address);
            return;
        }
        tokio::spawn(async move {
            let _ = tokio::time::timeout(TCP_TIME, send_great(frame.address, bytes)).await;
        });
    }
}

async fn send_great(address: SocketAddr, bytes: Vec<u8>) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&bytes).await?;
    stream.shutdown().await
}

/// Checks frames and hands them to the decider.
pub struct Receiver {
    opener: Mutex<Opener>,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    decider: Address<Decider>,
}

impl Receiver {
    /// Returns a receiver for one incarnation.
    pub fn new(
        secret: Secret,
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
                self.metrics.frame_received(bytes.len());
                let _ = self
                    .decider
                    .send(HandleInput(Input::Frame(frame)))
                    .detach()
                    .await;
            }
            Err(error) => self.metrics.frame_dropped(error.kind()),
        }
    }
}

/// Receives datagrams for as long as the instance lives.
pub async fn receive_datagrams(socket: Arc<UdpSocket>, receiver: Arc<Receiver>) {
    let mut buffer = [0; READ_BYTES];
    loop {
        // An error of an earlier sending shows up here and says nothing about receiving.
        if let Ok((length, _)) = socket.recv_from(&mut buffer).await {
            receiver.receive(&buffer[..length]).await;
        }
    }
}

/// Receives great frames for as long as the instance lives.
pub async fn receive_connections(listener: TcpListener, receiver: Arc<Receiver>) {
    let places = Arc::new(tokio::sync::Semaphore::new(TCP_MAX));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        // One that finds no place is closed; its sender asks again.
        let Ok(place) = places.clone().try_acquire_owned() else {
            continue;
        };
        let receiver = receiver.clone();
        tokio::spawn(async move {
            if let Ok(Ok(bytes)) = tokio::time::timeout(TCP_TIME, read_great(stream)).await {
                receiver.receive(&bytes).await;
            }
            drop(place);
        });
    }
}

async fn read_great(mut stream: TcpStream) -> std::io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    if length > FRAME_BYTES {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut bytes = Vec::new();
    stream.take(length as u64).read_to_end(&mut bytes).await?;
    Ok(bytes)
}
