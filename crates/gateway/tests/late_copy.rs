//! A server that sends a second copy of a response, late, on a connection that is in use again.

use std::net::SocketAddr;

use gateway::backend;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Starts a server whose generations have one token each. On a connection with a further request,
/// it first sends the response to the earlier one again.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        let mut generation = 0;
        while let Ok((stream, _)) = listener.accept().await {
            generation += 1;
            tokio::spawn(serve(stream, generation));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, generation: u64) {
    let lines =
        format!("{{\"g\":{generation},\"i\":0,\"t\":\"a\"}}\n{{\"g\":{generation},\"n\":1}}\n");
    let response = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{lines}",
        lines.len()
    );
    let mut buffer = [0; 4_096];
    while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

#[tokio::test]
async fn late_copy_of_a_response_is_not_taken_for_the_next_one() {
    let address = start_server().await;
    for expected in 1..=3 {
        let mut lines = backend::generate(address, b"{}".to_vec())
            .await
            .expect("the server responds");
        while let Some(line) = lines.next().await.expect("the response is complete") {
            let generation = match line {
                backend::StreamLine::Token(frame) => frame.generation,
                backend::StreamLine::End { generation, .. } => generation,
            };
            assert_eq!(generation, expected);
        }
    }
}
