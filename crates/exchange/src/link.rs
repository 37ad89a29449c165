//! One attempt's connection to a backend server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::codec::Copying;

/// Longest wait for a connection. Data centres are some milliseconds apart; a first packet that was
/// dropped is repeated after a second only, by when another server has long answered.
const CONNECT_TIME: Duration = Duration::from_millis(150);
/// Time without an answer to sent bytes after which a connection counts as dead.
const SILENT_TIME: Duration = Duration::from_millis(3_000);
/// Time between two probes of an idle connection.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Buffer of one connection, in bytes: the least that the library takes.
const BUFFER_BYTES: usize = 16 * 1_024;

/// Why an attempt got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No connection was made, so nothing was sent.
    Unreachable,
    /// The connection broke; the request may have run.
    Broken,
}

/// A connection that lives as long as its attempt.
#[derive(Debug)]
pub struct Link {
    driver: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Makes a connection, sends a request and returns the header of the answer.
///
/// # Errors
///
/// If no connection is made, or it breaks before the header has come.
pub async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Link, Response<Incoming>), Fault> {
    let connecting = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) | Err(_) => return Err(Fault::Unreachable),
    };
    watch_for_silence(&stream);
    let handshake = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.map_err(|_| Fault::Broken)?;
    let driver = tokio::spawn(async move {
        // What ends the connection is seen by whoever reads the answer.
        let _ = connection.await;
    });
    let link = Link { driver };
    let response = sender
        .send_request(request)
        .await
        .map_err(|_| Fault::Broken)?;
    Ok((link, response))
}

/// Has a server copy a generation's memory, and returns the body of its answer if it did.
pub async fn copy(server: SocketAddr, call: Copying) -> Option<Bytes> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(call.path.as_str())
        .header(HOST, server.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::from(call.body))
        .ok()?;
    let (_link, response) = exchange(server, request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = Limited::new(response.into_body(), BUFFER_BYTES);
    Some(body.collect().await.ok()?.to_bytes())
}

/// Tells a server that a copy is not needed any more.
///
/// # Errors
///
/// If it can't be reached or does not answer.
pub async fn release(server: SocketAddr, path: &str) -> Result<(), Fault> {
    let request = Request::builder()
        .method(Method::DELETE)
        .uri(path)
        .header(HOST, server.to_string())
        .body(Full::default())
        .map_err(|_| Fault::Unreachable)?;
    exchange(server, request).await.map(|_| ())
}

/// Has the system close a connection whose other end no longer answers, as after a partition.
pub fn watch_for_silence(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(2);
    let set = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(SILENT_TIME)),
    ];
    for result in set {
        if let Err(error) = result {
            // The connection works without; only a partition is noticed later.
            log::debug!("link: Can't set a socket option: {error}.");
        }
    }
}
