//! One request and what its caller saw.

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

/// Longest wait of a caller for its answer.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// What is asked for.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// What the prompt or body says.
    pub marker: Marker,
    /// The route.
    pub route: CompactString,
    /// The organisation's token.
    pub token: CompactString,
    /// The organisation.
    pub organisation: CompactString,
    /// Whether it goes to a plain service.
    pub plain: bool,
    /// Whether tokens are wanted as they come.
    pub stream: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// The prompt before its marker, which other prompts share.
    pub preamble: String,
    /// The prompt after its marker.
    pub filler: String,
}

/// How a request ended, as its caller was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallStatus {
    /// The answer is whole.
    Answered,
    /// It was not run.
    Refused,
    /// It may have run.
    Failed,
    /// Nothing that can be understood came.
    Cut,
}

/// What a caller saw.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// What was asked for.
    pub request: RequestSpec,
    /// When it was sent.
    pub sent_at: Instant,
    /// How it ended.
    pub status: CallStatus,
    /// Why, where it was refused or failed.
    pub reason: CompactString,
    /// Its tokens with the times at which they came.
    pub tokens: Vec<(Duration, CompactString)>,
    /// Time until the end.
    pub duration: Duration,
}

impl CallRecord {
    /// Returns the time to the first token or to the answer of a plain service.
    pub fn time_to_first_output(&self) -> Option<Duration> {
        if self.request.plain {
            return (self.status == CallStatus::Answered).then_some(self.duration);
        }
        self.tokens.first().map(|(at, _)| *at)
    }

    /// Returns the times between tokens.
    pub fn token_gaps(&self) -> Vec<Duration> {
        self.tokens
            .windows(2)
            .map(|pair| pair[1].0.saturating_sub(pair[0].0))
            .collect()
    }
}

/// Sends a request and reads its answer to the end.
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
    let reading = send_and_read(client, address, &mut record);
    if tokio::time::timeout(CALL_TIMEOUT, reading).await.is_err() {
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
    let is_events = response
        .headers()
        .get("content-type")
        .is_some_and(|value| value == "text/event-stream");
    if is_events {
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

fn find_event_end(buffer: &[u8]) -> Option<usize> {
    let start = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    Some(start + 2)
}

/// Takes one event. Returns whether it is the last one.
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
