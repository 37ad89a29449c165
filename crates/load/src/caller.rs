//! Sends a request as a caller would and records the answer.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use compact_str::CompactString;
use gateway::http;
use gateway::http::HttpClient;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use standin::token::Marker;

/// Maximum time until the end of the answer.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Request to send.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Instructions to the stand-in in the prompt or body: request number, output length and the
    /// like.
    pub marker: Marker,
    /// Name of the route.
    pub route: CompactString,
    /// Token that authenticates the organisation.
    pub token: CompactString,
    /// Name of the organisation.
    pub organisation: CompactString,
    /// Whether the route leads to a plain service instead of an engine.
    pub plain: bool,
    /// Whether to stream the tokens.
    pub stream: bool,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Start of the prompt, before the marker; a prefix that other prompts share.
    pub preamble: String,
    /// Rest of the prompt, after the marker.
    pub filler: String,
}

/// How a request ended, from the point of view of its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallStatus {
    /// The answer is complete.
    Answered,
    /// The request was refused without being run, or the connection could not be opened.
    Refused,
    /// The request failed and may have run.
    Failed,
    /// The answer ended early, timed out or carried no known outcome.
    Cut,
}

/// Request with the answer that its caller received.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Request that was sent.
    pub request: RequestSpec,
    /// Time of sending.
    pub sent_at: Instant,
    /// How the request ended.
    pub status: CallStatus,
    /// Reason if the request was not answered; empty otherwise.
    pub reason: CompactString,
    /// Tokens received, each with its delay since sending. Empty for plain services.
    pub tokens: Vec<(Duration, CompactString)>,
    /// Time from sending to the end of the answer.
    pub duration: Duration,
}

impl CallRecord {
    /// Returns the time to the first token, or for plain services the time to the complete answer.
    /// `None` if there was no token, or no answer of the plain service.
    pub fn time_to_first_output(&self) -> Option<Duration> {
        if self.request.plain {
            return (self.status == CallStatus::Answered).then_some(self.duration);
        }
        self.tokens.first().map(|(at, _)| *at)
    }

    /// Returns the times between consecutive tokens.
    pub fn token_gaps(&self) -> Vec<Duration> {
        self.tokens
            .windows(2)
            .map(|pair| pair[1].0.saturating_sub(pair[0].0))
            .collect()
    }
}

/// Sends a request and reads the answer to its end, for at most [`CALL_TIMEOUT`].
pub async fn call(client: &HttpClient, address: SocketAddr, request: RequestSpec) -> CallRecord {
    let sent_at = Instant::now();
    let mut record = CallRecord {
        request,
        sent_at,
        status: CallStatus::Cut,
        reason: CompactString::default(),
        tokens: Vec::new(),
        duration: Duration::ZERO,
    };
    let answer = send_and_read(client, address, &mut record);
    if tokio::time::timeout(CALL_TIMEOUT, answer).await.is_err() {
        record.status = CallStatus::Cut;
        record.reason = "no answer in time".into();
    }
    record.duration = sent_at.elapsed();
    record
}

async fn send_and_read(client: &HttpClient, address: SocketAddr, record: &mut CallRecord) {
    let request = build_request(address, &record.request);
    let response = match client.request(request).await {
        Ok(response) => response,
        Err(error) => {
            record.status = if error.is_connect() {
                CallStatus::Refused
            } else {
                CallStatus::Cut
            };
            record.reason = CompactString::from(error.to_string());
            return;
        }
    };
    let is_event_stream = response
        .headers()
        .get("content-type")
        .is_some_and(|value| value == "text/event-stream");
    if is_event_stream {
        read_events(response, record).await;
    } else {
        read_body(response, record).await;
    }
}

fn build_request(
    address: SocketAddr,
    spec: &RequestSpec,
) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
    let text = format!("{}{} {}", spec.preamble, spec.marker.to_text(), spec.filler);
    let mut request = if spec.plain {
        http::request(
            "POST",
            address,
            &format!("/v1/call/{}/run", spec.route),
            text,
        )
    } else {
        let body = json!({"model": spec.route, "prompt": text, "stream": spec.stream});
        http::request("POST", address, "/v1/completions", body.to_string())
    };
    let headers = request.headers_mut();
    if let Ok(value) = format!("Bearer {}", spec.token).parse() {
        headers.insert("authorization", value);
    }
    if let Some(value) = spec.key.as_ref().and_then(|key| key.parse().ok()) {
        headers.insert("idempotency-key", value);
    }
    request
}

/// Reads an answer that is not a stream.
async fn read_body(response: Response<Incoming>, record: &mut CallRecord) {
    let header = |name: &str| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_string()
    };
    let outcome = header("x-wigeon-outcome");
    let Ok(collected) = response.into_body().collect().await else {
        record.reason = "cut".into();
        return;
    };
    let bytes = collected.to_bytes();
    match outcome.as_str() {
        "answered" => {
            record.status = CallStatus::Answered;
            if !record.request.plain {
                let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
                let text = value["choices"][0]["text"].as_str().unwrap_or("");
                let at = record.sent_at.elapsed();
                let tokens = text.split_inclusive(' ');
                record.tokens = tokens.map(|token| (at, token.into())).collect();
            }
        }
        "refused" | "failed" => {
            let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
            record.reason = value["error"]["code"].as_str().unwrap_or("").into();
            record.status = if outcome == "refused" {
                CallStatus::Refused
            } else {
                CallStatus::Failed
            };
        }
        _ => record.reason = "no outcome".into(),
    }
}

async fn read_events(response: Response<Incoming>, record: &mut CallRecord) {
    let mut body = response.into_body();
    let mut buffer = BytesMut::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(event_end) = find_event_end(&buffer) {
            let event = buffer.split_to(event_end);
            if apply_event(&String::from_utf8_lossy(&event), record) {
                return;
            }
        }
    }
    record.reason = "the stream was cut".into();
}

/// Returns the length of the first complete event in the buffer, with its blank line.
fn find_event_end(buffer: &[u8]) -> Option<usize> {
    let position = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    Some(position + 2)
}

/// Records one server-sent event. Returns whether it is the last one of the stream.
fn apply_event(event: &str, record: &mut CallRecord) -> bool {
    let data = event.lines().find_map(|line| line.strip_prefix("data: "));
    let Some(data) = data else { return false };
    if data == "[DONE]" {
        record.status = CallStatus::Answered;
        return true;
    }
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    if event.starts_with("event: error") {
        record.status = CallStatus::Failed;
        record.reason = value["error"]["code"].as_str().unwrap_or("").into();
        return true;
    }
    let choice = &value["choices"][0];
    if choice["finish_reason"].is_null() {
        let token = choice["text"].as_str().unwrap_or("").into();
        record.tokens.push((record.sent_at.elapsed(), token));
    }
    false
}
