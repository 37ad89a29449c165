//! Connections that are established when the listener closes.

use exchange::listener;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

#[tokio::test]
async fn connections_that_wait_to_be_accepted_are_not_reset() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let mut callers = Vec::new();
    for _ in 0..20 {
        callers.push(TcpStream::connect(address).await.expect("the port listens"));
    }
    let accepted = listener::established(listener);
    let addresses = |streams: &[TcpStream], own: bool| {
        let mut found: Vec<_> = streams
            .iter()
            .filter_map(|stream| {
                if own {
                    stream.local_addr()
                } else {
                    stream.peer_addr()
                }
                .ok()
            })
            .collect();
        found.sort();
        found
    };
    assert_eq!(addresses(&accepted, false), addresses(&callers, true));
    assert!(
        TcpStream::connect(address).await.is_err(),
        "the port is closed"
    );
}
