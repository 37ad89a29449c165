//! Connections to backend servers, and tests whether one can be established.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Time;
use tokio::net::TcpStream;
use wigeon_core::Input;
use wire::Name;
use xtra::Address;

use crate::decider::Decider;
use crate::decider::HandleInput;
use crate::partition::Partition;

/// Timeout for establishing a connection. The latency between data centres is some milliseconds. A
/// lost SYN is retransmitted only after 1 s; an attempt at another server is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Establishes a connection to a server.
///
/// # Errors
///
/// Returns an error if the connection is refused or not established in time.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await?
}

/// Returns the side effect that tests the path to a server.
pub fn tester(
    decider: Address<Decider>,
    partition: Arc<Partition>,
) -> Box<dyn Fn(Name, SocketAddr, Time) + Send + Sync> {
    Box::new(move |server, address, started_at| {
        let (decider, is_cut) = (decider.clone(), partition.cuts(address));
        tokio::spawn(async move {
            let reached = !is_cut && connect(address).await.is_ok();
            let input = Input::PathTested(server, started_at, reached);
            let _ = decider.send(HandleInput(input)).detach().await;
        });
    })
}
