//! HTTP client for model engines and plain services.
//!
//! The engines' own wire format is not published to this project yet. Everything that depends on
//! the format is in this module; the stand-in servers implement the same format.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use route::prefix;
use serde::Deserialize;
use serde::Serialize;
use stream::Frame;
use wigeon_core::RateLimit;
use wigeon_core::ServerReport;

use crate::connection;
use crate::connection::ConnectionError;
use crate::connection::ConnectionGuard;
use crate::connection::ServerBody;

/// Longest wait for a server's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest wait for the response to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest wait for the response to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest line of a generation, in bytes.
const LINE_BYTES_MAX: usize = 64 * 1_024;
/// Maximum size of an answer, in bytes: the body of a plain service's response, or the tokens of a
/// generation with what keeps them. It is kept whole, so a longer one fails the request.
pub const ANSWER_BYTES_MAX: usize = 4 * 1_024 * 1_024;
/// Maximum size of a server's report, in bytes.
const REPORT_BYTES_MAX: usize = 256 * 1_024;
/// Maximum size of any other response that is no answer, in bytes.
const REPLY_BYTES_MAX: usize = 16 * 1_024;

/// Body of the request that starts a generation.
#[derive(Clone, Debug, Serialize)]
pub struct GenerateRequest<'a> {
    /// Id of the attempt, by which the generation is resumed or cancelled.
    pub attempt: u64,
    /// Text of the prompt.
    pub prompt: &'a str,
    /// Estimated number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Greatest number of tokens to generate, or `None` for no limit.
    pub limit: Option<u32>,
    /// Priority for the engine's scheduler.
    pub priority: u8,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: &'a [u64],
}

/// Why a call to a backend server failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackendError {
    /// No connection to the server could be opened, so the request was not sent.
    Unreachable,
    /// The server responded that it did not run the request.
    Refused,
    /// The server has no such generation, for example because it has restarted.
    Gone {
        /// Boot id of the server, which differs from the expected one after a restart.
        boot: u64,
    },
    /// The connection broke or the response was invalid; the request may have run.
    Broken,
    /// The response is longer than [`ANSWER_BYTES_MAX`]; the request may have run.
    TooLong,
}

impl From<ConnectionError> for BackendError {
    fn from(error: ConnectionError) -> BackendError {
        match error {
            ConnectionError::Unreachable | ConnectionError::Refused => BackendError::Unreachable,
            ConnectionError::Lost | ConnectionError::OddStatus => BackendError::Broken,
            ConnectionError::TooLong => BackendError::TooLong,
        }
    }
}

/// One line of a generation's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamLine {
    /// A token of the generation.
    Token(Frame),
    /// The end of the generation.
    End {
        /// Id of the generation.
        generation: u64,
        /// Number of tokens that the generation has in all.
        total: u32,
    },
}

/// A line as the server sends it: the generation `g` with a token's index `i` and text `t`, or with
/// the total number of tokens `n` at the end.
#[derive(Deserialize)]
struct WireLine {
    g: u64,
    i: Option<u32>,
    t: Option<CompactString>,
    n: Option<u32>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WireReport {
    boot: u64,
    running: u32,
    waiting: u32,
    used: u64,
    capacity: u64,
    preemptions: u64,
    served: u64,
    leaving: bool,
    cold: bool,
    ready: bool,
    setup: BTreeMap<String, String>,
    first_event: u64,
    events: Vec<(bool, u64)>,
}

#[derive(Deserialize)]
struct WireLost {
    boot: u64,
}

/// Reads the lines of a generation from one connection.
#[derive(Debug)]
pub struct LineReader {
    body: ServerBody,
    buffer: BytesMut,
    _guard: ConnectionGuard,
}

impl LineReader {
    /// Returns the next line, or `None` when the response body has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks, or a line is too long or invalid.
    pub async fn next(&mut self) -> Result<Option<StreamLine>, BackendError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return parse_line(&line).map(Some);
            }
            if self.buffer.len() > LINE_BYTES_MAX {
                return Err(BackendError::Broken);
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(_)) => return Err(BackendError::Broken),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}

fn parse_line(line: &[u8]) -> Result<StreamLine, BackendError> {
    let line: WireLine = serde_json::from_slice(line).map_err(|_| BackendError::Broken)?;
    match (line.i, line.t, line.n) {
        (Some(index), Some(token), None) => Ok(StreamLine::Token(Frame {
            generation: line.g,
            index,
            token,
        })),
        (None, None, Some(total)) => Ok(StreamLine::End {
            generation: line.g,
            total,
        }),
        _ => Err(BackendError::Broken),
    }
}

/// Starts a generation and returns a reader of its lines.
///
/// # Errors
///
/// Returns an error if the server can't be reached, refuses the request or breaks the connection.
pub async fn generate(address: SocketAddr, body: Vec<u8>) -> Result<LineReader, BackendError> {
    open_stream(address, "/generate", body).await
}

/// Resumes reading an attempt's generation at the token with index `from`.
///
/// # Errors
///
/// Returns an error if the server can't be reached, no longer has the generation or breaks the
/// connection.
pub async fn resume(
    address: SocketAddr,
    attempt: u64,
    from: u32,
) -> Result<LineReader, BackendError> {
    let body = format!(r#"{{"attempt":{attempt},"from":{from}}}"#);
    open_stream(address, "/resume", body.into_bytes()).await
}

async fn open_stream(
    address: SocketAddr,
    path: &'static str,
    body: Vec<u8>,
) -> Result<LineReader, BackendError> {
    let (guard, response) = send(address, Method::POST, path, body).await?;
    if response.status() == StatusCode::GONE {
        let bytes = connection::read_body(response.into_body(), REPLY_BYTES_MAX).await?;
        let lost: WireLost = serde_json::from_slice(&bytes).map_err(|_| BackendError::Broken)?;
        return Err(BackendError::Gone { boot: lost.boot });
    }
    if response.status() != StatusCode::OK {
        return Err(response_error(&response));
    }
    Ok(LineReader {
        body: response.into_body(),
        buffer: BytesMut::new(),
        _guard: guard,
    })
}

/// Sends a request over a connection of its own.
///
/// A server may send a second copy of a response late. On a connection that is in use again, it
/// would be taken for the response to the next request. After a failure on a reused connection, it
/// is also unknown whether the request has run.
async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<(ConnectionGuard, Response<ServerBody>), BackendError> {
    let request = request(address, method, path, body)?;
    Ok(connection::send_request(address, request).await?)
}

fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, BackendError> {
    connection::request(method, address, path, body).map_err(|_| BackendError::Unreachable)
}

/// Returns the error of a failed response. Only an `x-run: none` header proves that the request did
/// not run; after any other failure it may have run.
fn response_error(response: &Response<ServerBody>) -> BackendError {
    let did_not_run = response
        .headers()
        .get("x-run")
        .is_some_and(|value| value == "none");
    if did_not_run {
        BackendError::Refused
    } else {
        BackendError::Broken
    }
}

/// The response of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body.
    pub media: String,
    /// Body of the response.
    pub body: Bytes,
}

/// Calls a plain service and returns its response. An HTTP error status is a response too, unless
/// the service refused the call with 503 and `x-run: none`.
///
/// # Errors
///
/// Returns an error if the service can't be reached, refuses the call or breaks the connection.
pub async fn call(
    address: SocketAddr,
    path: String,
    media: String,
    body: Bytes,
) -> Result<PlainAnswer, BackendError> {
    let mut request = request(address, Method::POST, &path, body)?;
    if let Ok(value) = HeaderValue::from_str(&media) {
        request.headers_mut().insert(CONTENT_TYPE, value);
    }
    let (_guard, response) = connection::send_request(address, request).await?;
    if response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response_error(&response) == BackendError::Refused
    {
        return Err(BackendError::Refused);
    }
    let status = response.status().as_u16();
    let media = response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/json")
        .to_string();
    let body = connection::read_body(response.into_body(), ANSWER_BYTES_MAX).await?;
    Ok(PlainAnswer {
        status,
        media,
        body,
    })
}

/// Tells a server to cancel an attempt. A failure is ignored.
pub async fn cancel(address: SocketAddr, attempt: u64) {
    let body = format!(r#"{{"attempt":{attempt}}}"#);
    let sending = send(address, Method::POST, "/cancel", body);
    let _ = tokio::time::timeout(CANCEL_TIMEOUT, sending).await;
}

/// Fetches a server's report, or returns `None` if the server fails or does not respond in time.
pub async fn report(address: SocketAddr) -> Option<ServerReport> {
    let fetch = async {
        let request = request(address, Method::GET, "/load", "").ok()?;
        let response = connection::fetch(address, request, REPORT_BYTES_MAX).await;
        let report: WireReport = serde_json::from_slice(response.ok()?.body()).ok()?;
        Some(report)
    };
    let wire = tokio::time::timeout(REPORT_TIMEOUT, fetch).await.ok()??;
    Some(to_server_report(wire))
}

fn to_server_report(wire: WireReport) -> ServerReport {
    let setup_field = |name: &str| {
        let text = wire.setup.get(name).map_or("", String::as_str);
        CompactString::from(text)
    };
    ServerReport {
        load: admit::Load {
            boot: wire.boot,
            running: wire.running,
            waiting: wire.waiting,
            used_tokens: wire.used,
            capacity_tokens: wire.capacity,
            preemptions: wire.preemptions,
            completed_since_cold: wire.served,
            leaving: wire.leaving,
            cold: wire.cold,
        },
        setup: reconcile::Setup {
            model: setup_field("model"),
            adapter: setup_field("adapter"),
            version: setup_field("version"),
            role: setup_field("role"),
        },
        ready: wire.ready,
        first_event: wire.first_event,
        events: wire
            .events
            .into_iter()
            .map(|(is_stored, prefix)| match is_stored {
                true => prefix::Event::Stored(prefix),
                false => prefix::Event::Evicted(prefix),
            })
            .collect(),
        limit: RateLimit::Unknown,
    }
}

/// Sends an order to an engine. The server's next reports show whether it was carried out.
pub async fn order(address: SocketAddr, order: reconcile::Order) {
    let body = serde_json::json!({ "fence": order.fence, "setup": order.setup });
    let sending = send(address, Method::POST, "/order", body.to_string());
    let result = tokio::time::timeout(ORDER_TIMEOUT, sending).await;
    if let Ok(Ok((_guard, response))) = result
        && response.status() == StatusCode::CONFLICT
    {
        let (server, fence) = (order.server, order.fence);
        log::warn!("place: {server} refused the order with fencing number {fence}.");
    }
}
