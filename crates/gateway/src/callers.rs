//! The HTTP API for callers.
//!
//! Two response headers state how the request ended: `x-wigeon-outcome` is `answered`, `refused` or
//! `failed`, and `x-wigeon-run` is `none` if the request certainly did not run, `complete` if it
//! ran to its end, and `unknown` otherwise. Error responses repeat both in their JSON body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use conf::Config;
use conf::Route;
use conf::Service;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde_json::json;
use tokio::sync::watch;
use wigeon_core::Input;
use wigeon_core::Outcome;
use wigeon_core::Request;
use wigeon_core::outcome::Reason;
use wire::RequestId;

use crate::answer::Answer;
use crate::answer::Ending;
use crate::answer::ReadResult;
use crate::answer::Registry;
use crate::completion::ResponseFormat;
use crate::completion::parse_completion;
use crate::completion::prefixes;
use crate::decider::FindInstance;
use crate::decider::HandleInput;
use crate::decider::Status;
use crate::events::Events;
use crate::events::ProxiedBody;
use crate::http;
use crate::http::Body;
use crate::http::BodyError;
use crate::http::HttpClient;
use crate::relay::Payload;
use crate::relay::Relay;
use crate::relay::RelayContext;
use crate::relay::outcome_labels;

/// Characters per token, for the estimate of a prompt's number of tokens.
const CHARS_PER_TOKEN: usize = 4;
/// Time for which an answer without readers is continued, so that a caller can reconnect before the
/// generation is cancelled.
const RECONNECT_GRACE: Duration = Duration::from_secs(3);
/// Longest idempotency key, in bytes.
const IDEMPOTENCY_KEY_BYTES_MAX: usize = 256;

/// Dependencies of the callers' API.
pub struct Callers {
    /// Dependencies of the relays.
    pub relay_context: Arc<RelayContext>,
    /// The answers that this instance holds.
    pub answers: Arc<Registry>,
    /// The status of the decider.
    pub status: watch::Receiver<Status>,
    /// Whether the instance accepts callers; false once a shutdown has begun.
    pub accepting: watch::Receiver<bool>,
    /// HTTP client that fetches answers from the instances that hold them.
    pub proxy: HttpClient,
}

/// Handles one HTTP request of a caller.
pub async fn handle(callers: Arc<Callers>, request: hyper::Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_string();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => http::text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => handle_ready(&callers),
        (&Method::GET, "/metrics") => {
            http::text(StatusCode::OK, callers.relay_context.metrics.to_text())
        }
        (&Method::POST, "/v1/completions") => handle_completion(callers, request, false).await,
        (&Method::POST, "/v1/chat/completions") => handle_completion(callers, request, true).await,
        (&Method::POST, path) if path.starts_with("/v1/call/") => {
            handle_call(callers, request).await
        }
        (&Method::GET, path) if path.starts_with("/v1/answers/") => {
            handle_fetch(callers, request).await
        }
        (_, "/v1/completions" | "/v1/chat/completions") => {
            error_response(StatusCode::METHOD_NOT_ALLOWED, "method", "use POST")
        }
        _ => error_response(StatusCode::NOT_FOUND, "path", "no such path"),
    }
}

fn handle_ready(callers: &Callers) -> Response<Body> {
    let accepting = *callers.accepting.borrow();
    let status = callers.status.borrow().clone();
    if accepting && status.ready {
        return http::text(StatusCode::OK, "ready\n");
    }
    let text = if accepting {
        "no configuration or no list of servers yet\n"
    } else {
        "shutting down\n"
    };
    http::text(StatusCode::SERVICE_UNAVAILABLE, text)
}

/// Returns the response for a request that is rejected before it is started.
fn error_response(status: StatusCode, code: &str, text: &str) -> Response<Body> {
    let body =
        json!({"error": {"code": code, "message": text, "outcome": "refused", "run": "none"}});
    with_outcome_headers(http::json(status, body.to_string()), "refused", "none")
}

/// Returns the response for a request whose body was not read. The rest of the body may still
/// arrive, so the response asks the caller not to reuse the connection.
fn body_error_response(error: BodyError) -> Response<Body> {
    let mut response = match error {
        BodyError::TooLarge => {
            let text = format!("the body is longer than {} bytes", http::BODY_BYTES);
            error_response(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", &text)
        }
        BodyError::TooSlow => error_response(
            StatusCode::REQUEST_TIMEOUT,
            "body-too-slow",
            "the body did not arrive in time",
        ),
        BodyError::Broken => error_response(
            StatusCode::BAD_REQUEST,
            "body-broken",
            "the connection broke before the end of the body",
        ),
    };
    let close = HeaderValue::from_static("close");
    response
        .headers_mut()
        .insert(hyper::header::CONNECTION, close);
    response
}

fn with_outcome_headers(
    mut response: Response<Body>,
    outcome: &'static str,
    run: &'static str,
) -> Response<Body> {
    let headers = response.headers_mut();
    headers.insert("x-wigeon-outcome", HeaderValue::from_static(outcome));
    headers.insert("x-wigeon-run", HeaderValue::from_static(run));
    response
}

/// Returns the organisation that a request's bearer token belongs to.
fn organisation(config: &Config, request: &hyper::Request<Incoming>) -> Option<CompactString> {
    let hash = conf::hash_token(http::bearer(request)?);
    config.organisation_of(&hash).cloned()
}

fn unknown_organisation_response() -> Response<Body> {
    let text = "the bearer token belongs to no organisation";
    error_response(StatusCode::UNAUTHORIZED, "organisation", text)
}

/// Returns the idempotency key of a request, if it has one.
fn idempotency_key(
    request: &hyper::Request<Incoming>,
) -> Result<Option<String>, Box<Response<Body>>> {
    let Some(value) = request.headers().get("idempotency-key") else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= IDEMPOTENCY_KEY_BYTES_MAX => {
            Ok(Some(text.to_string()))
        }
        _ => {
            let text = format!(
                "Idempotency-Key must have 1 to {IDEMPOTENCY_KEY_BYTES_MAX} visible ASCII characters"
            );
            let response = error_response(StatusCode::BAD_REQUEST, "idempotency-key", &text);
            Err(Box::new(response))
        }
    }
}

/// A caller's identity and idempotency key, and the configuration to serve the request with.
struct CallerContext {
    config: Arc<Config>,
    organisation: CompactString,
    key: Option<String>,
}

fn read_caller_context(
    callers: &Callers,
    request: &hyper::Request<Incoming>,
) -> Result<CallerContext, Box<Response<Body>>> {
    let config = callers.status.borrow().config.clone();
    let Some(organisation) = organisation(&config, request) else {
        return Err(Box::new(unknown_organisation_response()));
    };
    let key = idempotency_key(request)?;
    Ok(CallerContext {
        config,
        organisation,
        key,
    })
}

async fn handle_completion(
    callers: Arc<Callers>,
    request: hyper::Request<Incoming>,
    chat: bool,
) -> Response<Body> {
    let context = match read_caller_context(&callers, &request) {
        Ok(context) => context,
        Err(response) => return *response,
    };
    let organisation = &context.organisation;
    let body = match http::read_body(request.into_body()).await {
        Ok(body) => body,
        Err(error) => return body_error_response(error),
    };
    let completion = match parse_completion(&body, chat) {
        Ok(completion) => completion,
        Err((field, text)) => return error_response(StatusCode::BAD_REQUEST, field, &text),
    };
    let Some(route) = find_allowed_route(
        &context.config,
        &completion.route,
        organisation,
        Service::Engine,
    ) else {
        return unknown_route_response(&completion.route);
    };
    let mut request = new_request(
        organisation,
        &completion.route,
        context.key.as_deref(),
        &completion.prompt,
    );
    request.max_tokens = completion.limit;
    let payload = Payload::Prompt {
        text: completion.prompt.as_str().into(),
    };
    let id = request.id;
    let answer = start_relay(&callers, request, payload, route);
    let reader = Reader::new(&callers, id, answer);
    let answer_id = format_answer_id(&callers, id);
    let format = ResponseFormat {
        answer_id,
        model: completion.route,
        chat: completion.chat,
    };
    if completion.stream {
        stream_answer(reader, 0, format).await
    } else {
        collect_answer(reader, &format).await
    }
}

fn unknown_route_response(route: &str) -> Response<Body> {
    let text = format!("there is no route '{route}' for this organisation");
    error_response(StatusCode::NOT_FOUND, Reason::NoRoute.as_str(), &text)
}

/// Returns a route if it exists, the organisation may use it and its pool has the kind of service.
fn find_allowed_route(
    config: &Config,
    name: &str,
    organisation: &CompactString,
    service: Service,
) -> Option<Route> {
    let route = config.routes.get(name)?;
    let pool = config.pools.get(&route.pool)?;
    let allowed = route.organisations.is_empty() || route.organisations.contains(organisation);
    (allowed && pool.service == service).then(|| route.clone())
}

/// Returns a request with a random id. Its fingerprint is a hash of the organisation, the route and
/// either the idempotency key or, without one, the text.
fn new_request(organisation: &str, route: &str, key: Option<&str>, text: &str) -> Request {
    let fingerprint = match key {
        Some(key) => idempotency::hash_key(organisation, route, key) as u64,
        None => xxhash_rust::xxh3::xxh3_64(format!("{organisation}\0{route}\0{text}").as_bytes()),
    };
    let tokens = text.chars().count().div_ceil(CHARS_PER_TOKEN);
    Request {
        id: fastrand::u64(1..),
        organisation: organisation.into(),
        route: route.into(),
        key: key.map(|key| idempotency::hash_key(organisation, route, key)),
        fingerprint,
        group: fingerprint,
        prompt_tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        prefixes: prefixes(text),
        parts: Vec::new(),
        max_tokens: None,
        expected_tokens: None,
        timeout: None,
        stream: None,
        handed_over: false,
    }
}

/// Starts the relay of a request and returns the answer that it fills.
fn start_relay(
    callers: &Arc<Callers>,
    request: Request,
    payload: Payload,
    route: Route,
) -> Arc<Answer> {
    let answer = Arc::new(Answer::default());
    let id = request.id;
    let retention = Duration::from_secs(route.keep_s);
    callers.answers.insert(id, answer.clone());
    callers.relay_context.metrics.count_request_begun();
    let commands = callers.relay_context.relays.register(request.clone());
    let context = callers.relay_context.clone();
    let relay = Relay::new(context, request, payload, route, answer.clone());
    let answers = callers.answers.clone();
    tokio::spawn(async move {
        relay.run(commands).await;
        answers.end(id, retention);
    });
    answer
}

async fn handle_call(callers: Arc<Callers>, request: hyper::Request<Incoming>) -> Response<Body> {
    let context = match read_caller_context(&callers, &request) {
        Ok(context) => context,
        Err(response) => return *response,
    };
    let organisation = &context.organisation;
    let route_and_path = request.uri().path().trim_start_matches("/v1/call/");
    let (name, rest) = route_and_path
        .split_once('/')
        .unwrap_or((route_and_path, ""));
    let (name, path) = (CompactString::from(name), format!("/{rest}"));
    let Some(route) = find_allowed_route(&context.config, &name, organisation, Service::Plain)
    else {
        return unknown_route_response(&name);
    };
    let media = request
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_string();
    let body = match http::read_body(request.into_body()).await {
        Ok(body) => body,
        Err(error) => return body_error_response(error),
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    let request = new_request(organisation, &name, context.key.as_deref(), &text);
    let payload = Payload::Call { path, media, body };
    let id = request.id;
    let answer = start_relay(&callers, request, payload, route);
    let reader = Reader::new(&callers, id, answer);
    let format = ResponseFormat {
        answer_id: format_answer_id(&callers, id),
        model: name,
        chat: false,
    };
    collect_answer(reader, &format).await
}

fn format_answer_id(callers: &Callers, id: RequestId) -> String {
    let instance = callers.status.borrow().id;
    format!("{instance:016x}-{id:016x}")
}

/// A reader of an answer. When the last reader of an answer that has not ended is dropped, and no
/// other one comes within [`RECONNECT_GRACE`], the decider is informed that the caller is gone.
pub(crate) struct Reader {
    callers: Arc<Callers>,
    id: RequestId,
    pub(crate) answer: Arc<Answer>,
}

impl Reader {
    fn new(callers: &Arc<Callers>, id: RequestId, answer: Arc<Answer>) -> Reader {
        answer.adjust_readers(1);
        Reader {
            callers: callers.clone(),
            id,
            answer,
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let remaining = self.answer.adjust_readers(-1);
        if remaining > 0 || self.answer.has_ended() {
            return;
        }
        let (answer, id) = (self.answer.clone(), self.id);
        let decider = self.callers.relay_context.decider.clone();
        tokio::spawn(async move {
            tokio::time::sleep(RECONNECT_GRACE).await;
            if answer.adjust_readers(0) == 0 && !answer.has_ended() {
                let _ = decider
                    .send(HandleInput(Input::CallerGone(id)))
                    .detach()
                    .await;
            }
        });
    }
}

/// Waits for the end of an answer and returns it in one response.
async fn collect_answer(reader: Reader, format: &ResponseFormat) -> Response<Body> {
    let mut tokens = Vec::new();
    loop {
        match reader.answer.next(tokens.len()).await {
            ReadResult::Tokens(_, new) => tokens.extend(new),
            ReadResult::Pending => {}
            ReadResult::End(ending) => return final_response(&ending, &tokens, format),
        }
    }
}

fn final_response(
    ending: &Ending,
    tokens: &[CompactString],
    format: &ResponseFormat,
) -> Response<Body> {
    let response = match ending {
        Ending::Whole => with_outcome_headers(
            http::json(StatusCode::OK, format.whole_body(tokens)),
            "answered",
            "complete",
        ),
        Ending::Plain {
            status,
            media,
            body,
        } => plain_response(*status, media, body.clone()),
        Ending::Other(outcome) => outcome_response(outcome),
    };
    with_answer_id(response, &format.answer_id)
}

fn with_answer_id(mut response: Response<Body>, answer_id: &str) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(answer_id) {
        response.headers_mut().insert("x-wigeon-answer", value);
    }
    response
}

fn plain_response(status: u16, media: &str, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(body).boxed());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = HeaderValue::from_str(media) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    with_outcome_headers(response, "answered", "complete")
}

/// Returns the response for a request that was refused or failed, or whose recorded answer is
/// returned.
fn outcome_response(outcome: &Outcome) -> Response<Body> {
    let (label, code) = outcome_labels(outcome);
    let (reason, retry, run, delivered) = match outcome {
        Outcome::Recorded(answer) => {
            let body = answer.body.clone().unwrap_or_else(|| {
                let text = "the request has run, but its answer was too large to record";
                json!({"outcome": "answered", "run": "complete", "message": text})
                    .to_string()
                    .into_bytes()
            });
            return plain_response(answer.status, &answer.media, body.into());
        }
        Outcome::Refused(refusal) => (refusal.reason(), refusal.retry_after(), "none", 0),
        Outcome::Failed(failure) => (
            failure.reason,
            failure.retry_after,
            "unknown",
            failure.delivered,
        ),
    };
    let status = status_for_reason(reason);
    let body = json!({"error": {
        "code": code,
        "message": message_for_reason(reason),
        "outcome": label,
        "run": run,
        "delivered": delivered,
        "retry_after_ms": retry.map(|retry| u64::try_from(retry.as_millis()).unwrap_or(u64::MAX)),
    }});
    let mut response = with_outcome_headers(http::json(status, body.to_string()), label, run);
    if let Some(retry) = retry {
        let seconds = retry.as_secs_f64().ceil().max(1.0) as u64;
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn status_for_reason(reason: Reason) -> StatusCode {
    match reason {
        Reason::NoRoute => StatusCode::NOT_FOUND,
        Reason::Limited => StatusCode::TOO_MANY_REQUESTS,
        Reason::Overloaded
        | Reason::NoServer
        | Reason::NoLedger
        | Reason::RetriesSpent
        | Reason::PartBarred
        | Reason::UnknownOrigin
        | Reason::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        Reason::KeyInUse | Reason::KeyUnknown => StatusCode::CONFLICT,
        Reason::Barred => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::Lost | Reason::Diverged | Reason::ServerError => StatusCode::BAD_GATEWAY,
        Reason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        Reason::Cancelled => StatusCode::GONE,
    }
}

fn message_for_reason(reason: Reason) -> &'static str {
    match reason {
        Reason::NoRoute => "no such route for this organisation",
        Reason::Overloaded => "no backend server had capacity within the deadline",
        Reason::Limited => "the organisation has reached its capacity limit",
        Reason::NoServer => "no backend server accepts requests",
        Reason::NoLedger => {
            "the idempotency key can't be claimed, because the store can't be reached"
        }
        Reason::KeyInUse => "a request with the same idempotency key is still running",
        Reason::KeyUnknown => "a request with the same idempotency key may have run",
        Reason::Lost => "the backend server lost the request while it ran",
        Reason::RetriesSpent => "the request has used up its allowed attempts",
        Reason::Barred => "the request crashed the backend servers that ran it",
        Reason::PartBarred => "a part of the prompt crashes the backend servers that run it",
        Reason::UnknownOrigin => "the software version that began the stream is not known",
        Reason::Diverged => "no further attempt could continue the answer with the same tokens",
        Reason::Cancelled => "the caller disconnected",
        Reason::ServerError => "the backend server reported an error",
        Reason::Leaving => "this instance shuts down before the answer would be complete",
        Reason::TimedOut => "the request exceeded its time limit",
    }
}

/// Returns the answer as server-sent events from an index on. An answer that ends before the first
/// token is sent is returned as a plain response with the status of its outcome.
async fn stream_answer(reader: Reader, from: usize, format: ResponseFormat) -> Response<Body> {
    if let ReadResult::End(ending) = reader.answer.next(from).await
        && (ending != Ending::Whole || from == 0)
    {
        return final_response(&ending, &[], &format);
    }
    let answer_id = format.answer_id.clone();
    let events = Events::new(reader, from, format);
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(events)));
    let media = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, media);
    with_answer_id(response, &answer_id)
}

/// Returns an answer from an index on, either held here or proxied from the instance that holds it.
async fn handle_fetch(callers: Arc<Callers>, request: hyper::Request<Incoming>) -> Response<Body> {
    let config = callers.status.borrow().config.clone();
    if organisation(&config, &request).is_none() {
        return unknown_organisation_response();
    }
    let answer_id = request.uri().path().trim_start_matches("/v1/answers/");
    let Some((instance, id)) = parse_answer_id(answer_id) else {
        let text = "an answer's id must be two hexadecimal numbers joined by '-'";
        return error_response(StatusCode::BAD_REQUEST, "answer", text);
    };
    let Some(from) = requested_index(&request) else {
        let text = "'from' and Last-Event-ID must be whole numbers";
        return error_response(StatusCode::BAD_REQUEST, "from", text);
    };
    if instance != callers.status.borrow().id {
        return proxy_fetch(&callers, instance, &request).await;
    }
    let Some(answer) = callers.answers.get(id) else {
        let text = "this answer is no longer held";
        return error_response(StatusCode::GONE, "answer", text);
    };
    let format = ResponseFormat {
        answer_id: answer_id.to_string(),
        model: CompactString::default(),
        chat: false,
    };
    stream_answer(Reader::new(&callers, id, answer), from, format).await
}

fn parse_answer_id(answer_id: &str) -> Option<(u64, RequestId)> {
    let (instance, id) = answer_id.split_once('-')?;
    let instance = u64::from_str_radix(instance, 16).ok()?;
    let id = u64::from_str_radix(id, 16).ok()?;
    Some((instance, id))
}

/// Returns the index of the first token to send: the one after `Last-Event-ID`, or else the query's
/// `from`, or else 0. Returns `None` if the value is invalid.
fn requested_index(request: &hyper::Request<Incoming>) -> Option<usize> {
    if let Some(last) = request.headers().get("last-event-id") {
        let last: usize = last.to_str().ok()?.parse().ok()?;
        return last.checked_add(1);
    }
    let query = request.uri().query().unwrap_or("");
    let from = query.split('&').find_map(|pair| pair.strip_prefix("from="));
    from.map_or(Some(0), |from| from.parse().ok())
}

/// Fetches an answer from the instance that holds it.
async fn proxy_fetch(
    callers: &Callers,
    instance: u64,
    request: &hyper::Request<Incoming>,
) -> Response<Body> {
    let entry = callers
        .relay_context
        .decider
        .send(FindInstance(instance))
        .await;
    let Ok(Some(entry)) = entry else {
        let text = "the instance that held this answer is gone";
        return error_response(StatusCode::GONE, "answer", text);
    };
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut forwarded = http::request("GET", entry.callers, path, "");
    for name in ["authorization", "last-event-id"] {
        if let Some(value) = request.headers().get(name) {
            forwarded.headers_mut().insert(name, value.clone());
        }
    }
    match callers.proxy.request(forwarded).await {
        Ok(response) => forward_response(response),
        Err(_) => {
            let text = "the instance that holds this answer can't be reached";
            error_response(StatusCode::BAD_GATEWAY, "answer", text)
        }
    }
}

/// Forwards a response as it arrives. If the connection breaks, the body ends without the `[DONE]`
/// event, so that callers notice that it is incomplete.
fn forward_response(response: Response<Incoming>) -> Response<Body> {
    let (parts, body) = response.into_parts();
    let body = ProxiedBody::new(body);
    Response::from_parts(parts, BodyExt::boxed(body))
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        #[test]
        fn parsing_any_answer_id_does_not_panic(text in ".{0,60}") {
            let _ = parse_answer_id(&text);
        }
    }
}
