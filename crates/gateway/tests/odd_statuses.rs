//! Responses of servers in trouble whose status is none that a response may have.

use std::net::SocketAddr;

use bytes::Bytes;
use gateway::backend;
use gateway::backend::BackendError;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Status lines that are no final response: not defined, not a number, or an upgrade that was not asked
/// for (RFC 9110, sections 15 and 15.2.2).
const ODD: [&str; 12] = [
    "000 x", "001 x", "099 x", "101 x", "199 x", "20 x", "2000 x", "600 x", "700 x", "999 x",
    "abc x", "",
];
const BODY: &str = "{\"boot\":1}";

/// Starts a server that answers each request with the same status line.
async fn start(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            let length = BODY.len();
            let response = format!(
                "HTTP/1.1 {status}\r\nx-run: none\r\ncontent-length: {length}\r\n\r\n{BODY}"
            );
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

/// Guards against a status that reaches callers as an answer, or is believed to say that a call was not
/// run.
#[tokio::test]
async fn odd_status_of_a_plain_service_is_a_broken_response() {
    for status in ODD {
        let address = start(status).await;
        let answer = backend::call(address, "/x".into(), String::new(), Bytes::new()).await;
        assert_eq!(answer, Err(BackendError::Broken), "{status:?}");
    }
}

#[tokio::test]
async fn odd_status_of_an_engine_is_a_broken_response() {
    for status in ODD {
        let address = start(status).await;
        let error = backend::generate(address, Vec::new()).await.err();
        assert_eq!(error, Some(BackendError::Broken), "{status:?}");
    }
}

#[tokio::test]
async fn report_with_an_odd_status_is_none() {
    for status in ODD {
        let address = start(status).await;
        assert_eq!(backend::report(address).await, None, "{status:?}");
    }
    let address = start("200 x").await;
    assert!(backend::report(address).await.is_some());
}
