//! The callers' HTTP interface.
//!
//! Every response says how the request ended: `x-wigeon-outcome` is `answered`, `refused` or
//! `failed`, and `x-wigeon-run` is `none` where it certainly did not run, `complete` where it ran to
//! its end, and `unknown` otherwise. Errors repeat both in their JSON body.

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
use crate::answer::Look;
use crate::answer::Registry;
use crate::completion::Style;
use crate::completion::parse_completion;
use crate::completion::prefixes;
use crate::decider::FindInstance;
use crate::decider::HandleInput;
use crate::decider::Status;
use crate::events::Events;
use crate::events::Passed;
use crate::http;
use crate::http::Body;
use crate::http::BodyError;
use crate::http::HttpClient;
use crate::relay::Payload;
use crate::relay::Relay;
use crate::relay::Shared;
use crate::relay::outcome_words;

/// Characters of a token, for an estimate of a prompt's tokens.
const TOKEN_CHARS: usize = 4;
/// Time that a caller has to come back before its generation is cancelled.
const GRACE: Duration = Duration::from_secs(3);
/// Longest idempotency key, in bytes.
const KEY_BYTES: usize = 256;

/// What the callers' side needs.
pub struct Callers {
    /// What relays share.
    pub shared: Arc<Shared>,
    /// The answers held here.
    pub answers: Arc<Registry>,
    /// What the decider shows.
    pub status: watch::Receiver<Status>,
    /// Whether the balancer should send callers here.
    pub accepting: watch::Receiver<bool>,
    /// Fetches answers that other instances hold.
    pub proxy: HttpClient,
}

/// Answers one HTTP request.
pub async fn handle(callers: Arc<Callers>, request: hyper::Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_string();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => http::text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => ready(&callers),
        (&Method::GET, "/metrics") => http::text(StatusCode::OK, callers.shared.metrics.to_text()),
        (&Method::POST, "/v1/completions") => complete(callers, request, false).await,
        (&Method::POST, "/v1/chat/completions") => complete(callers, request, true).await,
        (&Method::POST, path) if path.starts_with("/v1/call/") => call(callers, request).await,
        (&Method::GET, path) if path.starts_with("/v1/answers/") => fetch(callers, request).await,
        (_, "/v1/completions" | "/v1/chat/completions") => {
            problem(StatusCode::METHOD_NOT_ALLOWED, "method", "use POST")
        }
        _ => problem(
            StatusCode::NOT_FOUND,
            "path",
            "there is nothing at this path",
        ),
    }
}

fn ready(callers: &Callers) -> Response<Body> {
    let accepting = *callers.accepting.borrow();
    let status = callers.status.borrow().clone();
    if accepting && status.ready {
        return http::text(StatusCode::OK, "ready\n");
    }
    let why = if accepting {
        "no configuration or no list of servers yet\n"
    } else {
        "shutting down\n"
    };
    http::text(StatusCode::SERVICE_UNAVAILABLE, why)
}

/// A request that was turned away before anything was done with it.
fn problem(status: StatusCode, code: &str, text: &str) -> Response<Body> {
    let body =
        json!({"error": {"code": code, "message": text, "outcome": "refused", "run": "none"}});
    with_words(http::json(status, body.to_string()), "refused", "none")
}

fn body_problem(error: BodyError) -> Response<Body> {
    match error {
        BodyError::TooLarge => {
            let text = format!("the body is longer than {} bytes", http::BODY_BYTES);
            problem(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", &text)
        }
        BodyError::TooSlow => problem(
            StatusCode::REQUEST_TIMEOUT,
            "body-too-slow",
            "the body did not come in time",
        ),
        BodyError::Broken => problem(StatusCode::BAD_REQUEST, "body-broken", "the body was cut"),
    }
}

fn with_words(
    mut response: Response<Body>,
    outcome: &'static str,
    run: &'static str,
) -> Response<Body> {
    let headers = response.headers_mut();
    headers.insert("x-wigeon-outcome", HeaderValue::from_static(outcome));
    headers.insert("x-wigeon-run", HeaderValue::from_static(run));
    response
}

/// Returns the organisation of a request's token.
fn organisation(config: &Config, request: &hyper::Request<Incoming>) -> Option<CompactString> {
    let hash = conf::hash_token(http::bearer(request)?);
    config.organisation_of(&hash).cloned()
}

fn unknown_organisation() -> Response<Body> {
    let text = "the bearer token belongs to no organisation";
    problem(StatusCode::UNAUTHORIZED, "organisation", text)
}

/// Returns the idempotency key of a request.
fn idempotency_key(
    request: &hyper::Request<Incoming>,
) -> Result<Option<String>, Box<Response<Body>>> {
    let Some(value) = request.headers().get("idempotency-key") else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= KEY_BYTES => Ok(Some(text.to_string())),
        _ => {
            let text = format!("Idempotency-Key has 1 to {KEY_BYTES} visible characters");
            let response = problem(StatusCode::BAD_REQUEST, "idempotency-key", &text);
            Err(Box::new(response))
        }
    }
}

/// What the header of a request says.
struct Head {
    config: Arc<Config>,
    organisation: CompactString,
    key: Option<String>,
}

fn read_head(
    callers: &Callers,
    request: &hyper::Request<Incoming>,
) -> Result<Head, Box<Response<Body>>> {
    let config = callers.status.borrow().config.clone();
    let Some(organisation) = organisation(&config, request) else {
        return Err(Box::new(unknown_organisation()));
    };
    let key = idempotency_key(request)?;
    Ok(Head {
        config,
        organisation,
        key,
    })
}

async fn complete(
    callers: Arc<Callers>,
    request: hyper::Request<Incoming>,
    chat: bool,
) -> Response<Body> {
    let head = match read_head(&callers, &request) {
        Ok(head) => head,
        Err(response) => return *response,
    };
    let organisation = &head.organisation;
    let body = match http::read_body(request.into_body()).await {
        Ok(body) => body,
        Err(error) => return body_problem(error),
    };
    let asked = match parse_completion(&body, chat) {
        Ok(asked) => asked,
        Err((place, text)) => return problem(StatusCode::BAD_REQUEST, place, &text),
    };
    let Some(route) = allowed_route(&head.config, &asked.route, organisation, Service::Engine)
    else {
        return unknown_route(&asked.route);
    };
    let mut request = new_request(
        organisation,
        &asked.route,
        head.key.as_deref(),
        &asked.prompt,
    );
    request.limit = asked.limit;
    let payload = Payload::Prompt {
        text: asked.prompt.as_str().into(),
    };
    let id = request.id;
    let answer = begin(&callers, request, payload, route);
    let reader = Reader::new(&callers, id, answer);
    let name = answer_name(&callers, id);
    let style = Style {
        name,
        model: asked.route,
        chat: asked.chat,
    };
    if asked.stream {
        stream_answer(reader, 0, style).await
    } else {
        whole_answer(reader, &style).await
    }
}

fn unknown_route(route: &str) -> Response<Body> {
    let text = format!("there is no route '{route}' for this organisation");
    problem(StatusCode::NOT_FOUND, Reason::NoRoute.as_str(), &text)
}

fn allowed_route(
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

fn new_request(organisation: &str, route: &str, key: Option<&str>, text: &str) -> Request {
    let fingerprint = match key {
        Some(key) => idempotency::hash_key(organisation, route, key) as u64,
        None => xxhash_rust::xxh3::xxh3_64(format!("{organisation}\0{route}\0{text}").as_bytes()),
    };
    let tokens = text.chars().count().div_ceil(TOKEN_CHARS);
    Request {
        id: fastrand::u64(1..),
        organisation: organisation.into(),
        route: route.into(),
        key: key.map(|key| idempotency::hash_key(organisation, route, key)),
        fingerprint,
        prompt: u32::try_from(tokens).unwrap_or(u32::MAX),
        prefixes: prefixes(text),
        limit: None,
        expected: None,
        patience: None,
    }
}

/// Starts the relay of a request.
fn begin(callers: &Arc<Callers>, request: Request, payload: Payload, route: Route) -> Arc<Answer> {
    let answer = Arc::new(Answer::default());
    let id = request.id;
    let keep = Duration::from_secs(route.keep_s);
    callers.answers.insert(id, answer.clone());
    callers.shared.metrics.request_begun();
    let orders = callers.shared.relays.enter(request.clone());
    let shared = callers.shared.clone();
    let relay = Relay::new(shared, request, payload, route, answer.clone());
    let answers = callers.answers.clone();
    tokio::spawn(async move {
        relay.run(orders).await;
        answers.end(id, keep);
    });
    answer
}

async fn call(callers: Arc<Callers>, request: hyper::Request<Incoming>) -> Response<Body> {
    let head = match read_head(&callers, &request) {
        Ok(head) => head,
        Err(response) => return *response,
    };
    let organisation = &head.organisation;
    let after = request.uri().path().trim_start_matches("/v1/call/");
    let (name, rest) = after.split_once('/').unwrap_or((after, ""));
    let (name, path) = (CompactString::from(name), format!("/{rest}"));
    let Some(route) = allowed_route(&head.config, &name, organisation, Service::Plain) else {
        return unknown_route(&name);
    };
    let media = request
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_string();
    let body = match http::read_body(request.into_body()).await {
        Ok(body) => body,
        Err(error) => return body_problem(error),
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    let request = new_request(organisation, &name, head.key.as_deref(), &text);
    let payload = Payload::Call { path, media, body };
    let id = request.id;
    let answer = begin(&callers, request, payload, route);
    let reader = Reader::new(&callers, id, answer);
    let style = Style {
        name: answer_name(&callers, id),
        model: name,
        chat: false,
    };
    whole_answer(reader, &style).await
}

fn answer_name(callers: &Callers, id: RequestId) -> String {
    let instance = callers.status.borrow().id;
    format!("{instance:016x}-{id:016x}")
}

/// One reader of an answer. When the last one has gone for a while, the decider is told.
pub(crate) struct Reader {
    callers: Arc<Callers>,
    id: RequestId,
    pub(crate) answer: Arc<Answer>,
}

impl Reader {
    fn new(callers: &Arc<Callers>, id: RequestId, answer: Arc<Answer>) -> Reader {
        answer.count_readers(1);
        Reader {
            callers: callers.clone(),
            id,
            answer,
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let left = self.answer.count_readers(-1);
        if left > 0 || self.answer.has_ended() {
            return;
        }
        let (answer, id) = (self.answer.clone(), self.id);
        let decider = self.callers.shared.decider.clone();
        tokio::spawn(async move {
            tokio::time::sleep(GRACE).await;
            if answer.count_readers(0) == 0 && !answer.has_ended() {
                let _ = decider
                    .send(HandleInput(Input::CallerGone(id)))
                    .detach()
                    .await;
            }
        });
    }
}

/// Waits for the end of an answer and returns it in one piece.
async fn whole_answer(reader: Reader, style: &Style) -> Response<Body> {
    let mut tokens = Vec::new();
    loop {
        match reader.answer.next(tokens.len()).await {
            Look::Tokens(_, more) => tokens.extend(more),
            Look::Nothing => {}
            Look::End(ending) => return ended(&ending, &tokens, style),
        }
    }
}

fn ended(ending: &Ending, tokens: &[CompactString], style: &Style) -> Response<Body> {
    let response = match ending {
        Ending::Whole => with_words(
            http::json(StatusCode::OK, style.whole(tokens)),
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
    named(response, &style.name)
}

fn named(mut response: Response<Body>, name: &str) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(name) {
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
    with_words(response, "answered", "complete")
}

/// Returns the response for a request that has no whole answer of its own.
fn outcome_response(outcome: &Outcome) -> Response<Body> {
    let (word, reason) = outcome_words(outcome);
    let (reason_kind, retry, run, delivered) = match outcome {
        Outcome::Recorded(answer) => {
            let body = answer.body.clone().unwrap_or_else(|| {
                let text = "the request has run; its answer was too large to be recorded";
                json!({"outcome": "answered", "run": "complete", "message": text})
                    .to_string()
                    .into_bytes()
            });
            return plain_response(answer.status, &answer.media, body.into());
        }
        Outcome::Refused(refusal) => (refusal.reason(), refusal.retry(), "none", 0),
        Outcome::Failed(failure) => (failure.reason, failure.retry, "unknown", failure.delivered),
    };
    let status = status_of(reason_kind);
    let body = json!({"error": {
        "code": reason,
        "message": message_of(reason_kind),
        "outcome": word,
        "run": run,
        "delivered": delivered,
        "retry_after_ms": retry.map(|retry| u64::try_from(retry.as_millis()).unwrap_or(u64::MAX)),
    }});
    let mut response = with_words(http::json(status, body.to_string()), word, run);
    if let Some(retry) = retry {
        let seconds = retry.as_secs_f64().ceil().max(1.0) as u64;
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn status_of(reason: Reason) -> StatusCode {
    match reason {
        Reason::NoRoute => StatusCode::NOT_FOUND,
        Reason::Limited => StatusCode::TOO_MANY_REQUESTS,
        Reason::Overloaded
        | Reason::NoServer
        | Reason::NoLedger
        | Reason::RetriesSpent
        | Reason::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        Reason::KeyInUse | Reason::KeyUnknown => StatusCode::CONFLICT,
        Reason::Barred => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::Lost | Reason::Diverged | Reason::ServerError => StatusCode::BAD_GATEWAY,
        Reason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        Reason::Cancelled => StatusCode::GONE,
    }
}

fn message_of(reason: Reason) -> &'static str {
    match reason {
        Reason::NoRoute => "there is no such route for this organisation",
        Reason::Overloaded => "no place was found in time",
        Reason::Limited => "the organisation has all the places that it may have",
        Reason::NoServer => "no backend server takes work",
        Reason::NoLedger => "the idempotency key can't be claimed, since the store is out of reach",
        Reason::KeyInUse => "a request with the same idempotency key is still running",
        Reason::KeyUnknown => "a request with the same idempotency key may have run",
        Reason::Lost => "the backend server lost the request while it ran",
        Reason::RetriesSpent => "the request was tried as often as is allowed",
        Reason::Barred => "the request crashed the backend servers that ran it",
        Reason::Diverged => "the answer could not be continued by the same tokens",
        Reason::Cancelled => "the caller went away",
        Reason::ServerError => "the backend server answered that it failed",
        Reason::Leaving => "this instance stops before the answer would end",
        Reason::TimedOut => "the time allowed for the request is over",
    }
}

/// Returns the answer as server-sent events from an index on. An answer that ends before its first
/// token gets the status of its outcome.
async fn stream_answer(reader: Reader, from: usize, style: Style) -> Response<Body> {
    if let Look::End(ending) = reader.answer.next(from).await
        && (ending != Ending::Whole || from == 0)
    {
        return ended(&ending, &[], &style);
    }
    let name = style.name.clone();
    let events = Events::new(reader, from, style);
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(events)));
    let media = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, media);
    named(response, &name)
}

/// Returns an answer from an index on, from here or from the instance that holds it.
async fn fetch(callers: Arc<Callers>, request: hyper::Request<Incoming>) -> Response<Body> {
    let config = callers.status.borrow().config.clone();
    if organisation(&config, &request).is_none() {
        return unknown_organisation();
    }
    let name = request.uri().path().trim_start_matches("/v1/answers/");
    let Some((instance, id)) = parse_name(name) else {
        let text = "an answer's id is two hexadecimal numbers with '-' between them";
        return problem(StatusCode::BAD_REQUEST, "answer", text);
    };
    let Some(from) = first_index(&request) else {
        let text = "'from' and Last-Event-ID must be whole numbers";
        return problem(StatusCode::BAD_REQUEST, "from", text);
    };
    if instance != callers.status.borrow().id {
        return fetch_elsewhere(&callers, instance, &request).await;
    }
    let Some(answer) = callers.answers.get(id) else {
        let text = "this answer is not held any more";
        return problem(StatusCode::GONE, "answer", text);
    };
    let style = Style {
        name: name.to_string(),
        model: CompactString::default(),
        chat: false,
    };
    stream_answer(Reader::new(&callers, id, answer), from, style).await
}

fn parse_name(name: &str) -> Option<(u64, RequestId)> {
    let (instance, id) = name.split_once('-')?;
    let instance = u64::from_str_radix(instance, 16).ok()?;
    let id = u64::from_str_radix(id, 16).ok()?;
    Some((instance, id))
}

/// Returns the first token that a caller wants: after its last event, or from the query.
fn first_index(request: &hyper::Request<Incoming>) -> Option<usize> {
    if let Some(last) = request.headers().get("last-event-id") {
        let last: usize = last.to_str().ok()?.parse().ok()?;
        return last.checked_add(1);
    }
    let query = request.uri().query().unwrap_or("");
    let from = query.split('&').find_map(|pair| pair.strip_prefix("from="));
    from.map_or(Some(0), |from| from.parse().ok())
}

async fn fetch_elsewhere(
    callers: &Callers,
    instance: u64,
    request: &hyper::Request<Incoming>,
) -> Response<Body> {
    let found = callers.shared.decider.send(FindInstance(instance)).await;
    let Ok(Some(entry)) = found else {
        let text = "the instance that held this answer is gone";
        return problem(StatusCode::GONE, "answer", text);
    };
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut passed = http::request("GET", entry.callers, path, "");
    for name in ["authorization", "last-event-id"] {
        if let Some(value) = request.headers().get(name) {
            passed.headers_mut().insert(name, value.clone());
        }
    }
    match callers.proxy.request(passed).await {
        Ok(response) => pass_on(response),
        Err(_) => {
            let text = "the instance that holds this answer can't be reached";
            problem(StatusCode::BAD_GATEWAY, "answer", text)
        }
    }
}

/// Passes a response on as it comes. A broken connection ends the body without its end mark, which
/// callers notice.
fn pass_on(response: Response<Incoming>) -> Response<Body> {
    let (parts, body) = response.into_parts();
    let body = Passed::new(body);
    Response::from_parts(parts, BodyExt::boxed(body))
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        #[test]
        fn no_name_panics(name in ".{0,60}") {
            let _ = parse_name(&name);
        }
    }
}
