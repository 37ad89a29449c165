//! Helpers for the instance's HTTP servers and clients.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Body of a response, of any kind.
pub type Body = BoxBody<Bytes, Infallible>;
/// An HTTP client with a connection pool.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Greatest size of a request's body, in bytes.
pub const BODY_BYTES: usize = 1_024 * 1_024;
/// Longest wait for a request's header, and again for its body.
const READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Greatest part of an oversized body that is read and discarded, in bytes.
const DISCARDED_BYTES_MAX: usize = 8 * 1_024 * 1_024;
/// Longest time for which an oversized body is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Greatest size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES_MAX: usize = 16 * 1_024;

/// Why a request's body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The body is longer than [`BODY_BYTES`].
    TooLarge,
    /// The body did not arrive within the time limit.
    TooSlow,
    /// The connection broke before the end of the body.
    Broken,
}

/// Returns a client. With `keep_alive` its connections are reused for later requests.
pub fn client(keep_alive: bool) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    let mut builder = Client::builder(TokioExecutor::new());
    if !keep_alive {
        builder.pool_max_idle_per_host(0);
    }
    builder.http1_max_buf_size(READ_BUFFER_BYTES_MAX);
    builder.build(connector)
}

/// Returns a request for a path at an address.
///
/// # Panics
///
/// Panics if the method or the path is invalid.
pub fn request(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(body.into()))
        .expect("the method and the path are valid")
}

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() = status;
    let media = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, media);
    response
}

/// Returns a response with a plain text body.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = json(status, body);
    let media = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, media);
    response
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns an error if the body is too large or arrives too slowly, or if the connection breaks.
pub async fn read_body(mut body: Incoming) -> Result<Bytes, BodyError> {
    let limited = Limited::new(&mut body, BODY_BYTES).collect();
    match tokio::time::timeout(READ_TIMEOUT, limited).await {
        Err(_) => Err(BodyError::TooSlow),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            discard_body(body).await;
            Err(BodyError::TooLarge)
        }
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}

/// Reads the rest of a rejected body and discards it, within a limit of bytes and time.
///
/// Closing a connection with unread bytes resets it, and the sender may then lose the response that
/// was sent before.
pub async fn discard_body(mut body: Incoming) {
    let discarding = async {
        let mut discarded = 0;
        while discarded < DISCARDED_BYTES_MAX {
            let Some(Ok(frame)) = body.frame().await else {
                return;
            };
            discarded += frame.data_ref().map_or(0, Bytes::len);
        }
    };
    if tokio::time::timeout(DISCARD_TIMEOUT, discarding)
        .await
        .is_err()
    {
        log::debug!("entry: Rest of a rejected body not discarded in time.");
    }
}

/// Returns the bearer token of a request's `Authorization` header, if it has one.
pub fn bearer<T>(request: &Request<T>) -> Option<&str> {
    let value = request.headers().get("authorization")?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

/// Accepts and serves connections until `stop` becomes true, then shuts down gracefully: returns
/// when the last open connection has ended.
pub async fn serve<H, F>(listener: TcpListener, mut stop: watch::Receiver<bool>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = Arc::new(handler);
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _)) = accepted else {
            // Most likely the process is out of file descriptors. Retries after a pause, in which
            // some may be freed.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let response = handler(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(READ_TIMEOUT)
            .max_buf_size(READ_BUFFER_BYTES_MAX);
        builder.http2().timer(TokioTimer::new());
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            let _ = watched.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
