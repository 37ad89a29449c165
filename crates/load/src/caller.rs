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
pub const PATIENCE: Duration = Duration::from_secs(30);

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Ask {
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
pub enum End {
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
pub struct Seen {
    /// What was asked for.
    pub ask: Ask,
    /// When it was sent.
    pub sent: Instant,
    /// How it ended.
    pub end: End,
    /// Why, where it was refused or failed.
    pub reason: CompactString,
    /// Its tokens with the times at which they came.
    pub tokens: Vec<(Duration, CompactString)>,
    /// Time until the end.
    pub took: Duration,
}

impl Seen {
    /// Returns the time to the first token or to the answer of a plain service.
    pub fn first(&self) -> Option<Duration> {
        if self.ask.plain {
            return (self.end == End::Answered).then_some(self.took);
        }
        self.tokens.first().map(|(at, _)| *at)
    }

    /// Returns the times between tokens.
    pub fn gaps(&self) -> Vec<Duration> {
        self.tokens
            .windows(2)
            .map(|pair| pair[1].0.saturating_sub(pair[0].0))
            .collect()
    }
}

/// Sends a request and reads its answer to the end.
pub async fn call(client: &HttpClient, address: SocketAddr, ask: Ask) -> Seen {
    let sent = Instant::now();
    let mut seen = Seen {
        ask,
        sent,
        end: End::Cut,
        reason: CompactString::default(),
        tokens: Vec::new(),
        took: Duration::ZERO,
    };
    let reading = read(client, address, &mut seen);
    if tokio::time::timeout(PATIENCE, reading).await.is_err() {
        seen.end = End::Cut;
        seen.reason = "no answer in time".into();
    }
    seen.took = sent.elapsed();
    seen
}

async fn read(client: &HttpClient, address: SocketAddr, seen: &mut Seen) {
    let request = build(address, &seen.ask);
    let response = match client.request(request).await {
        Ok(response) => response,
        Err(error) => {
            seen.end = if error.is_connect() {
                End::Refused
            } else {
                End::Cut
            };
            seen.reason = CompactString::from(error.to_string());
            return;
        }
    };
    let is_events = response
        .headers()
        .get("content-type")
        .is_some_and(|value| value == "text/event-stream");
    if is_events {
        read_events(response, seen).await;
    } else {
        read_whole(response, seen).await;
    }
}

fn build(address: SocketAddr, ask: &Ask) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
    let text = format!("{}{} {}", ask.preamble, ask.marker.to_text(), ask.filler);
    let mut request = if ask.plain {
        http::request(
            "POST",
            address,
            &format!("/v1/call/{}/run", ask.route),
            text,
        )
    } else {
        let body = json!({"model": ask.route, "prompt": text, "stream": ask.stream});
        http::request("POST", address, "/v1/completions", body.to_string())
    };
    let headers = request.headers_mut();
    if let Ok(value) = format!("Bearer {}", ask.token).parse() {
        headers.insert("authorization", value);
    }
    if let Some(value) = ask.key.as_ref().and_then(|key| key.parse().ok()) {
        headers.insert("idempotency-key", value);
    }
    request
}

async fn read_whole(response: Response<Incoming>, seen: &mut Seen) {
    let word = |name: &str| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_string()
    };
    let outcome = word("x-wigeon-outcome");
    let Ok(collected) = response.into_body().collect().await else {
        seen.reason = "cut".into();
        return;
    };
    let bytes = collected.to_bytes();
    match outcome.as_str() {
        "answered" => {
            seen.end = End::Answered;
            if !seen.ask.plain {
                let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
                let text = value["choices"][0]["text"].as_str().unwrap_or("");
                let at = seen.sent.elapsed();
                let tokens = text.split_inclusive(' ');
                seen.tokens = tokens.map(|token| (at, token.into())).collect();
            }
        }
        "refused" | "failed" => {
            let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
            seen.reason = value["error"]["code"].as_str().unwrap_or("").into();
            seen.end = if outcome == "refused" {
                End::Refused
            } else {
                End::Failed
            };
        }
        _ => seen.reason = "no outcome".into(),
    }
}

async fn read_events(response: Response<Incoming>, seen: &mut Seen) {
    let mut body = response.into_body();
    let mut buffer = BytesMut::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = find_end(&buffer) {
            let event = buffer.split_to(end);
            if read_event(&String::from_utf8_lossy(&event), seen) {
                return;
            }
        }
    }
    seen.reason = "the stream was cut".into();
}

fn find_end(buffer: &[u8]) -> Option<usize> {
    let start = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    Some(start + 2)
}

/// Takes one event. Returns whether it is the last one.
fn read_event(event: &str, seen: &mut Seen) -> bool {
    let data = event.lines().find_map(|line| line.strip_prefix("data: "));
    let Some(data) = data else { return false };
    if data == "[DONE]" {
        seen.end = End::Answered;
        return true;
    }
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    if event.starts_with("event: error") {
        seen.end = End::Failed;
        seen.reason = value["error"]["code"].as_str().unwrap_or("").into();
        return true;
    }
    let choice = &value["choices"][0];
    if choice["finish_reason"].is_null() {
        let token = choice["text"].as_str().unwrap_or("").into();
        seen.tokens.push((seen.sent.elapsed(), token));
    }
    false
}
