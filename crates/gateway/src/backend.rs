//! The adapter to model engines and plain services.
//!
//! The wire form of the users' engines is not published to this project yet. All that depends on it
//! stands in this module; the stand-ins speak the same form.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use route::prefix;
use serde::Deserialize;
use serde::Serialize;
use stream::Frame;
use wigeon_core::ServerReport;

use crate::http;
use crate::http::HttpClient;

/// Longest wait for a report.
const REPORT_TIME: Duration = Duration::from_millis(700);
/// Longest wait for the answer to an order.
const ORDER_TIME: Duration = Duration::from_millis(1_500);
/// Longest wait for the answer to a cancellation.
const CANCEL_TIME: Duration = Duration::from_millis(1_000);
/// Longest line of a generation, in bytes.
const LINE_BYTES: usize = 64 * 1_024;

/// A generation to be started.
#[derive(Clone, Debug, Serialize)]
pub struct Generate<'a> {
    /// The attempt.
    pub attempt: u64,
    /// The prompt.
    pub prompt: &'a str,
    /// Its tokens.
    pub prompt_tokens: u32,
    /// Greatest number of tokens.
    pub limit: Option<u32>,
    /// Priority.
    pub priority: u8,
    /// Hashes of its prefixes.
    pub prefixes: &'a [u64],
}

/// Why there is no stream or answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The server was not reached; nothing was sent.
    Unreachable,
    /// The server says that it did not run the request.
    Refused,
    /// The generation is gone; the server's life is this one.
    Gone {
        /// The life.
        boot: u64,
    },
    /// The connection broke; the request may have run.
    Broken,
}

/// A line of a generation.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// A token.
    Token(Frame),
    /// The end.
    End {
        /// The generation.
        generation: u64,
        /// Tokens in all.
        total: u32,
    },
}

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
struct WireGone {
    boot: u64,
}

/// The lines of a generation, read from one connection.
#[derive(Debug)]
pub struct Lines {
    body: Incoming,
    buffer: BytesMut,
}

impl Lines {
    /// Returns the next line, or nothing when the connection has ended.
    ///
    /// # Errors
    ///
    /// If the connection breaks or sends what is no line.
    pub async fn next(&mut self) -> Result<Option<Line>, Fault> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return parse_line(&line).map(Some);
            }
            if self.buffer.len() > LINE_BYTES {
                return Err(Fault::Broken);
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(_)) => return Err(Fault::Broken),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}

fn parse_line(line: &[u8]) -> Result<Line, Fault> {
    let line: WireLine = serde_json::from_slice(line).map_err(|_| Fault::Broken)?;
    match (line.i, line.t, line.n) {
        (Some(index), Some(token), None) => Ok(Line::Token(Frame {
            generation: line.g,
            index,
            token,
        })),
        (None, None, Some(total)) => Ok(Line::End {
            generation: line.g,
            total,
        }),
        _ => Err(Fault::Broken),
    }
}

/// Starts a generation.
///
/// # Errors
///
/// If the server is not reached, refuses, or breaks the connection.
pub async fn generate(
    client: HttpClient,
    address: SocketAddr,
    body: Vec<u8>,
) -> Result<Lines, Fault> {
    open(client, address, "/generate", body).await
}

/// Reads an attempt's generation on from an index.
///
/// # Errors
///
/// If the server is not reached, has lost the generation, or breaks the connection.
pub async fn resume(
    client: HttpClient,
    address: SocketAddr,
    attempt: u64,
    from: u32,
) -> Result<Lines, Fault> {
    let body = format!(r#"{{"attempt":{attempt},"from":{from}}}"#);
    open(client, address, "/resume", body.into_bytes()).await
}

async fn open(
    client: HttpClient,
    address: SocketAddr,
    path: &'static str,
    body: Vec<u8>,
) -> Result<Lines, Fault> {
    let response = send(&client, http::request("POST", address, path, body)).await?;
    if response.status() == StatusCode::GONE {
        let bytes = response
            .into_body()
            .collect()
            .await
            .map_err(|_| Fault::Broken)?;
        let gone: WireGone =
            serde_json::from_slice(&bytes.to_bytes()).map_err(|_| Fault::Broken)?;
        return Err(Fault::Gone { boot: gone.boot });
    }
    if response.status() != StatusCode::OK {
        return Err(refused_or_broken(&response));
    }
    Ok(Lines {
        body: response.into_body(),
        buffer: BytesMut::new(),
    })
}

async fn send(
    client: &HttpClient,
    request: hyper::Request<http_body_util::Full<Bytes>>,
) -> Result<Response<Incoming>, Fault> {
    client.request(request).await.map_err(|error| {
        if error.is_connect() {
            Fault::Unreachable
        } else {
            Fault::Broken
        }
    })
}

/// A server that says that it did not run the request is believed; any other failure may hide a run.
fn refused_or_broken(response: &Response<Incoming>) -> Fault {
    let says_none = response
        .headers()
        .get("x-run")
        .is_some_and(|value| value == "none");
    if says_none {
        Fault::Refused
    } else {
        Fault::Broken
    }
}

/// An answer of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub media: String,
    /// Body.
    pub body: Bytes,
}

/// Calls a plain service.
///
/// # Errors
///
/// If the service is not reached, refuses, or breaks the connection.
pub async fn call(
    client: HttpClient,
    address: SocketAddr,
    path: String,
    media: String,
    body: Bytes,
) -> Result<PlainAnswer, Fault> {
    let mut request = http::request("POST", address, &path, body);
    if let Ok(value) = HeaderValue::from_str(&media) {
        request.headers_mut().insert(CONTENT_TYPE, value);
    }
    let response = send(&client, request).await?;
    if response.status() == StatusCode::SERVICE_UNAVAILABLE
        && refused_or_broken(&response) == Fault::Refused
    {
        return Err(Fault::Refused);
    }
    let status = response.status().as_u16();
    let media = response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/json")
        .to_string();
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|_| Fault::Broken)?
        .to_bytes();
    Ok(PlainAnswer {
        status,
        media,
        body,
    })
}

/// Tells a server that nobody wants an attempt any more.
pub async fn cancel(client: HttpClient, address: SocketAddr, attempt: u64) {
    let body = format!(r#"{{"attempt":{attempt}}}"#);
    let request = http::request("POST", address, "/cancel", body);
    let _ = tokio::time::timeout(CANCEL_TIME, send(&client, request)).await;
}

/// Asks a server for its report.
pub async fn report(client: HttpClient, address: SocketAddr) -> Option<ServerReport> {
    let asking = async {
        let request = http::request("GET", address, "/load", "");
        let response = send(&client, request).await.ok()?;
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        let report: WireReport = serde_json::from_slice(&bytes).ok()?;
        Some(report)
    };
    let wire = tokio::time::timeout(REPORT_TIME, asking).await.ok()??;
    Some(to_report(wire))
}

fn to_report(wire: WireReport) -> ServerReport {
    let part = |name: &str| {
        let text = wire.setup.get(name).map_or("", String::as_str);
        CompactString::from(text)
    };
    ServerReport {
        load: admit::Load {
            boot: wire.boot,
            running: wire.running,
            waiting: wire.waiting,
            used: wire.used,
            capacity: wire.capacity,
            preemptions: wire.preemptions,
            served: wire.served,
            leaving: wire.leaving,
            cold: wire.cold,
        },
        setup: reconcile::Setup {
            model: part("model"),
            adapter: part("adapter"),
            version: part("version"),
            role: part("role"),
        },
        ready: wire.ready,
        first_event: wire.first_event,
        events: wire
            .events
            .into_iter()
            .map(|(stored, prefix)| match stored {
                true => prefix::Event::Stored(prefix),
                false => prefix::Event::Dropped(prefix),
            })
            .collect(),
    }
}

/// Sends an order. What became of it shows in the server's next reports.
pub async fn order(client: HttpClient, address: SocketAddr, order: reconcile::Order) {
    let body = serde_json::json!({ "fence": order.fence, "setup": order.setup });
    let request = http::request("POST", address, "/order", body.to_string());
    let sent = tokio::time::timeout(ORDER_TIME, send(&client, request)).await;
    if let Ok(Ok(response)) = sent
        && response.status() == StatusCode::CONFLICT
    {
        let (server, fence) = (order.server, order.fence);
        log::warn!("place: {server} refused the order with fencing number {fence}.");
    }
}
