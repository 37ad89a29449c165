//! A connection to a backend server or the platform for one request.
//!
//! What the other side sends is limited, so that bytes without end exhaust neither memory nor time:
//! a part of the response that never completes, whatever it is, ends the connection.

use std::error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::http;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::observed::ObservedStream;
use crate::path;

/// Time without an acknowledgement of sent bytes after which the kernel closes a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time between two TCP keepalive probes on an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of bytes that a server may send without completing a part of its response: the
/// head, with interim responses included, or more of the body.
const PART_BYTES_MAX: usize = 64 * 1_024;
/// Buffer size of a connection in bytes, near the minimum that hyper accepts. It must be below the
/// limit of a part.
pub const CONNECTION_BUFFER_BYTES: usize = 16 * 1_024;

/// Reason why a request received no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionError {
    /// No connection was established, so no bytes were sent.
    Unreachable,
    /// The same, since no process listens at the address.
    Refused,
    /// The connection was lost; the server may have executed the request.
    Lost,
    /// The status of the response is none that a response may have; the server may have executed the
    /// request.
    OddStatus,
    /// The response is longer than the limit; the server may have executed the request.
    TooLong,
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ConnectionError::Unreachable => "no connection was established",
            ConnectionError::Refused => "the connection was refused",
            ConnectionError::Lost => "the connection was lost or the response is invalid",
            ConnectionError::OddStatus => "the response has an odd status",
            ConnectionError::TooLong => "the response is too long",
        })
    }
}

impl error::Error for ConnectionError {}

/// Closes the connection of a request when dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    driver: JoinHandle<()>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Limits the bytes that the other side of a connection sends without completing a part of a
/// response.
///
/// Hyper limits the size of one head, but not the number of interim responses or the size of what
/// frames the body.
#[derive(Clone, Debug, Default)]
pub struct PartLimit {
    /// Bytes that were received since the last part.
    received: Arc<AtomicUsize>,
}

impl PartLimit {
    /// Returns a stream whose reads fail beyond the limit.
    pub fn observe(&self, stream: TcpStream) -> ObservedStream {
        let received = self.received.clone();
        ObservedStream::new(stream, move |read| {
            let before = received.fetch_add(read, Ordering::Relaxed);
            if before + read > PART_BYTES_MAX {
                return Err(io::ErrorKind::InvalidData.into());
            }
            Ok(())
        })
    }

    /// Records that a part of a response is complete: its head, or more of its body.
    pub fn record_part(&self) {
        self.received.store(0, Ordering::Relaxed);
    }
}

/// The body of a server's response.
#[derive(Debug)]
pub struct ServerBody {
    incoming: Incoming,
    limit: PartLimit,
}

impl Body for ServerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        if matches!(&frame, Some(Ok(frame)) if frame.is_data()) {
            self.limit.record_part();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Returns a request for a path at an address.
///
/// # Errors
///
/// Returns an error if the path is invalid.
pub fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> http::Result<Request<Full<Bytes>>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::new(body.into()))
}

/// Opens a connection, sends a request and returns the head of the response. The connection is
/// closed when the returned guard is dropped.
///
/// # Errors
///
/// Returns an error if no connection is established, if it is lost before the response's head has
/// arrived, or if the status is not that of a final response.
pub async fn send_request(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(ConnectionGuard, Response<ServerBody>), ConnectionError> {
    let stream = path::connect(address).await;
    let stream = stream.map_err(|error| match error.kind() {
        io::ErrorKind::ConnectionRefused => ConnectionError::Refused,
        _ => ConnectionError::Unreachable,
    })?;
    detect_dead_peer(&stream);
    let limit = PartLimit::default();
    let stream = limit.observe(stream);
    let handshake = http1::Builder::new()
        .max_buf_size(CONNECTION_BUFFER_BYTES)
        .handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.map_err(|_| ConnectionError::Lost)?;
    let driver = tokio::spawn(async move {
        // An error of the connection is reported to the task that reads the response.
        let _ = connection.await;
    });
    let guard = ConnectionGuard { driver };
    let response = sender
        .send_request(request)
        .await
        .map_err(|_| ConnectionError::Lost)?;
    limit.record_part();
    if !is_final(response.status()) {
        log::info!(server:% = address, status = response.status().as_u16(); "link: Odd status.");
        return Err(ConnectionError::OddStatus);
    }
    let response = response.map(|incoming| ServerBody { incoming, limit });
    Ok((guard, response))
}

/// Returns whether a status is that of a final response. Statuses of three digits beyond 599 can be parsed
/// and are not defined (RFC 9110, section 15), and requests ask for no upgrade, to which alone 101 is
/// the response (section 15.2.2). They come from servers in trouble, whose fields prove nothing then.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Sends a request and reads the whole response, whose body has at most `body_bytes_max` bytes.
///
/// # Errors
///
/// Returns an error if the server is unreachable, or if its response is not complete or too long.
pub async fn fetch(
    server: SocketAddr,
    request: Request<Full<Bytes>>,
    body_bytes_max: usize,
) -> Result<Response<Bytes>, ConnectionError> {
    let (_guard, response) = send_request(server, request).await?;
    let (parts, body) = response.into_parts();
    let bytes = read_body(body, body_bytes_max).await?;
    Ok(Response::from_parts(parts, bytes))
}

/// Reads the whole body of a response, which has at most `bytes_max` bytes.
///
/// # Errors
///
/// Returns an error if the body is not complete or too long.
pub async fn read_body(mut body: ServerBody, bytes_max: usize) -> Result<Bytes, ConnectionError> {
    if body.size_hint().lower() > bytes_max as u64 {
        return Err(ConnectionError::TooLong);
    }
    // Copied, because a frame of a few bytes keeps the whole buffer that it was read into.
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ConnectionError::Lost)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if bytes.len() + data.len() > bytes_max {
            return Err(ConnectionError::TooLong);
        }
        bytes.extend_from_slice(data);
    }
    Ok(bytes.freeze())
}

/// Sets TCP options so that the kernel closes a connection whose peer does not respond, for example
/// during a network partition. Also disables Nagle's algorithm.
pub fn detect_dead_peer(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)),
    ];
    for result in results {
        if let Err(error) = result {
            // The connection still works, but a network partition is detected later.
            log::debug!("link: Can't set a socket option: {error}.");
        }
    }
}
