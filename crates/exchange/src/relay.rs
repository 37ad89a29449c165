//! One request, from its header to the end of its answer.
//!
//! A relay makes the attempts that the decider orders and tells it what became of them. Its parts:
//! `body` reads requests and passes answers on, `source` reads what a server sends, `pump` passes a
//! stream on over several attempts, `copies` keeps a copy of a running generation.

mod body;
mod copies;
mod pump;
mod source;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use clock::Time;
use conf::Config;
use conf::Delivery;
use conf::Route;
use gateway::decider::Decider;
use gateway::decider::HandleInput;
use gateway::decider::RelayCommand;
use gateway::decider::Relays;
use gateway::decider::Status;
use gateway::log_limit::LogLimiter;
use gateway::metrics::Metrics;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;
use wigeon_core::Event;
use wigeon_core::Failure;
use wigeon_core::Handle;
use wigeon_core::Input;
use wigeon_core::Outcome;
use wigeon_core::message::Dispatch;
use wigeon_core::outcome::Reason;
use wire::RequestId;
use xtra::Address;

use crate::codec::Attempt;
use crate::codec::Call;
use crate::codec::Codec;
use crate::codec::Judgement;
use crate::codec::Rejection;
use crate::entry::Busy;
use crate::link;
use crate::link::Fault;
pub use crate::relay::body::Body;
pub use crate::relay::body::Broken;
use crate::relay::body::empty;
use crate::relay::body::read_body;
use crate::relay::copies::Copying;
use crate::relay::source::Head;
use crate::relay::source::Tried;
use crate::relay::source::first_event;
use crate::relay::source::read_whole;

/// What relays share.
pub struct Shared {
    /// The decider.
    pub decider: Address<Decider>,
    /// All relays.
    pub relays: Arc<Relays>,
    /// What the decider shows.
    pub status: watch::Receiver<Status>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// The platform's headers.
    pub codec: Codec,
    /// Bounds the number of log lines.
    pub log_limiter: LogLimiter,
    /// Memory for bodies of requests, in permits of 1 KiB.
    pub memory: Semaphore,
}

/// Answers one request.
pub async fn answer(shared: Arc<Shared>, request: Request<Incoming>, busy: Busy) -> Response<Body> {
    let arrived = shared.clock.now();
    let (parts, body) = request.into_parts();
    let config = shared.status.borrow().config.clone();
    if config.version == 0 {
        // Nobody can tell yet what is allowed.
        let response = empty(StatusCode::SERVICE_UNAVAILABLE, HeaderMap::new());
        busy.end(shared.clock.now());
        return response;
    }
    let found = (shared.codec.read)(&parts, &config)
        .and_then(|call| route_of(&config, &call).map(|route| (call, route)));
    let (call, route) = match found {
        Ok(found) => found,
        Err(rejection) => {
            if shared.log_limiter.allows(arrived, false) {
                log::info!(
                    path = parts.uri.path(),
                    reason = rejection.as_str(),
                    version = config.version;
                    "relay: Turned away by its header."
                );
            }
            busy.end(shared.clock.now());
            return empty(rejection.status(), HeaderMap::new());
        }
    };
    let limits = config.limits;
    let memory = shared.clone();
    let (payload, _room) = match read_body(&memory, body, limits).await {
        Ok(read) => read,
        Err(status) => {
            if shared.log_limiter.allows(arrived, false) {
                log::info!(id = call.label.as_str(), status = status.as_u16(); "relay: Body not taken.");
            }
            let mut response = empty(status, HeaderMap::new());
            let close = HeaderValue::from_static("close");
            response
                .headers_mut()
                .insert(hyper::header::CONNECTION, close);
            return response;
        }
    };
    let relay = Relay::new(shared, parts, call, route, payload, arrived, busy);
    relay.run().await
}

fn route_of(config: &Config, call: &Call) -> Result<Route, Rejection> {
    let route = config.routes.get(&call.route).cloned();
    route.ok_or(Rejection::NoRoute)
}

/// A request's entry among the relays. While it is armed, dropping it means that the caller has gone.
struct Presence {
    shared: Arc<Shared>,
    id: RequestId,
    armed: bool,
}

impl Drop for Presence {
    fn drop(&mut self) {
        self.shared.relays.leave(self.id);
        if !self.armed {
            return;
        }
        let (decider, id) = (self.shared.decider.clone(), self.id);
        tokio::spawn(async move {
            let _ = decider
                .send(HandleInput(Input::CallerGone(id)))
                .detach()
                .await;
        });
    }
}

/// One request.
struct Relay {
    shared: Arc<Shared>,
    presence: Presence,
    busy: Option<Busy>,
    parts: request::Parts,
    call: Call,
    route: Route,
    payload: Bytes,
    arrived: Time,
    ends: Option<Time>,
    commands: mpsc::UnboundedReceiver<RelayCommand>,
    pending: VecDeque<RelayCommand>,
    held: Option<(Head, Bytes)>,
    server: wire::Name,
    attempts: u32,
    progress: Progress,
    copying: Option<Copying>,
    handle: Option<Handle>,
}

/// How far a stream has come.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// Id of the last event that was passed on.
    last_id: Option<u64>,
    events: u32,
    first: Option<Duration>,
    last_at: Option<Time>,
    gap: Duration,
}

impl Relay {
    fn new(
        shared: Arc<Shared>,
        parts: request::Parts,
        call: Call,
        route: Route,
        payload: Bytes,
        arrived: Time,
        busy: Busy,
    ) -> Relay {
        let request = wigeon_core::Request {
            id: fastrand::u64(1..),
            organisation: call.organisation.clone(),
            route: call.route.clone(),
            key: None,
            fingerprint: fingerprint(&call, &parts, &payload),
            prompt: call.prompt,
            prefixes: call.prefixes.clone(),
            limit: call.limit,
            expected: call.expected,
            patience: call.patience,
        };
        let bounds = [call.patience, route.timeout()];
        let ends = bounds
            .into_iter()
            .flatten()
            .min()
            .map(|time| arrived + time);
        shared.metrics.request_begun();
        if shared.log_limiter.allows(arrived, true) {
            log::info!(
                id = call.label.as_str(),
                request = request.id,
                route = call.route.as_str(),
                organisation = call.organisation.as_str(),
                version = shared.status.borrow().config.version,
                patience_ms = call.patience.map_or(0, millis),
                prompt = call.prompt,
                expected = call.expected.unwrap_or(0),
                bytes = payload.len();
                "relay: Accepted."
            );
        }
        let commands = shared.relays.enter(request.clone());
        let presence = Presence {
            shared: shared.clone(),
            id: request.id,
            armed: true,
        };
        let decider = shared.decider.clone();
        tokio::spawn(async move {
            let _ = decider
                .send(HandleInput(Input::Request(request)))
                .detach()
                .await;
        });
        let progress = Progress {
            last_id: call.last_event,
            ..Progress::default()
        };
        Relay {
            shared,
            presence,
            busy: Some(busy),
            parts,
            call,
            route,
            payload,
            arrived,
            ends,
            commands,
            pending: VecDeque::new(),
            held: None,
            server: wire::Name::default(),
            attempts: 0,
            progress,
            copying: None,
            handle: None,
        }
    }

    async fn run(mut self) -> Response<Body> {
        loop {
            match self.next_command().await {
                RelayCommand::Dispatch(dispatch) => {
                    let Some(tried) = self.try_unless_ordered(&dispatch).await else {
                        continue;
                    };
                    match tried {
                        Tried::Whole(head, bytes) => return self.whole(&dispatch, head, bytes),
                        Tried::Long(head, begun, source) => {
                            return self.stream(dispatch, head, Some(begun), source);
                        }
                        Tried::Events(head, source) => {
                            return self.stream(dispatch, head, None, source);
                        }
                        other => self.report(&dispatch, other).await,
                    }
                }
                RelayCommand::Finish(outcome) => return self.refuse(&outcome),
                RelayCommand::Cancel(_) | RelayCommand::Copy(..) | RelayCommand::Orphan => {}
            }
        }
    }

    async fn next_command(&mut self) -> RelayCommand {
        if let Some(command) = self.pending.pop_front() {
            return command;
        }
        match self.commands.recv().await {
            Some(command) => command,
            // The decider and its relays are gone: the process ends.
            None => RelayCommand::Finish(Outcome::Failed(Failure {
                reason: Reason::Lost,
                delivered: 0,
                retry: None,
            })),
        }
    }

    /// Makes an attempt, unless the decider ends it first.
    async fn try_unless_ordered(&mut self, dispatch: &Dispatch) -> Option<Tried> {
        self.attempts += 1;
        self.server = dispatch.server.clone();
        self.log_sent(dispatch);
        let trying = self.attempt(dispatch);
        tokio::pin!(trying);
        loop {
            tokio::select! {
                tried = &mut trying => return Some(tried),
                command = self.commands.recv() => match command {
                    Some(RelayCommand::Orphan | RelayCommand::Copy(..)) => {}
                    Some(RelayCommand::Cancel(attempt)) if attempt != dispatch.attempt => {}
                    Some(command) => {
                        self.pending.push_back(command);
                        return None;
                    }
                    None => return Some(Tried::Broken),
                }
            }
        }
    }

    /// Returns one attempt, which borrows nothing of the relay.
    fn attempt(&self, dispatch: &Dispatch) -> impl Future<Output = Tried> + Send + 'static {
        let request = self.request(dispatch);
        let call = self.call.clone();
        let judge = self.shared.codec.judge;
        let events = self.route.delivery == Delivery::Stream;
        let address = dispatch.address;
        async move {
            let request = match request {
                Some(request) => request,
                None => return Tried::Unreachable,
            };
            let (link, response) = match link::exchange(address, request).await {
                Ok(found) => found,
                Err(Fault::Unreachable) => return Tried::Unreachable,
                Err(Fault::Broken) => return Tried::Broken,
            };
            let (parts, body) = response.into_parts();
            let head = Head::of(&parts);
            match judge(&call, &parts) {
                Judgement::NotRun | Judgement::Misdirected => Tried::NotRun,
                Judgement::Foreign => Tried::Broken,
                Judgement::Failure => read_whole(head, body, link, true).await,
                Judgement::Answer if events && parts.status == StatusCode::OK => {
                    first_event(head, body, link).await
                }
                Judgement::Answer => read_whole(head, body, link, false).await,
            }
        }
    }

    fn request(&self, dispatch: &Dispatch) -> Option<Request<Full<Bytes>>> {
        let attempt = Attempt {
            dispatch,
            left: self.left(),
            last_event: self.progress.last_id,
        };
        let path = self.parts.uri.path_and_query()?.as_str();
        let mut request = Request::builder()
            .method(self.parts.method.clone())
            .uri(path)
            .body(Full::new(self.payload.clone()))
            .ok()?;
        *request.headers_mut() = (self.shared.codec.forward)(&self.call, &attempt);
        Some(request)
    }

    fn left(&self) -> Option<Duration> {
        let now = self.shared.clock.now();
        self.ends.map(|ends| ends.saturating_sub(now))
    }

    /// Tells the decider of an attempt that brought nothing for the caller.
    async fn report(&mut self, dispatch: &Dispatch, tried: Tried) {
        let (event, word) = match tried {
            Tried::Unreachable => (Event::Unreachable, "unreachable"),
            Tried::NotRun => (Event::Refused, "not-run"),
            Tried::Failed(head, bytes) => {
                self.held = Some((head, bytes));
                (Event::Failed, "failed")
            }
            _ => (self.lost(), "broken"),
        };
        self.log_attempt(dispatch, word);
        self.tell(dispatch, event).await;
    }

    fn lost(&self) -> Event {
        Event::Lost {
            crashed: true,
            delivered: self.tokens(),
        }
    }

    async fn tell(&self, dispatch: &Dispatch, event: Event) {
        let input = Input::Attempt(dispatch.attempt, event);
        let _ = self.shared.decider.send(HandleInput(input)).detach().await;
    }

    fn complete(&self) -> Event {
        Event::Complete {
            generated: self.tokens(),
            gap: self.progress.gap,
            answer: wire::ledger::Answer {
                status: StatusCode::OK.as_u16(),
                media: String::new(),
                body: None,
            },
        }
    }

    fn tokens(&self) -> u32 {
        let stride = self.stride();
        self.progress.events.saturating_mul(stride)
    }

    fn stride(&self) -> u32 {
        let status = self.shared.status.borrow();
        let pool = status.config.pools.get(&self.route.pool);
        pool.map_or(1, |pool| pool.stride.max(1))
    }

    fn whole(mut self, dispatch: &Dispatch, head: Head, bytes: Bytes) -> Response<Body> {
        let event = self.complete();
        let (decider, attempt) = (self.shared.decider.clone(), dispatch.attempt);
        tokio::spawn(async move {
            let input = Input::Attempt(attempt, event);
            let _ = decider.send(HandleInput(input)).detach().await;
        });
        self.end("answered", "complete", head.status);
        let body = Body::Whole(Full::new(bytes));
        head.into_response(body)
    }

    /// Answers a request that is not served, by the server's own failure where there is one.
    fn refuse(mut self, outcome: &Outcome) -> Response<Body> {
        if matches!(outcome, Outcome::Failed(_))
            && let Some((head, bytes)) = self.held.take()
        {
            self.end("failed", "server-error", head.status);
            return head.into_response(Body::Whole(Full::new(bytes)));
        }
        let (status, headers) = (self.shared.codec.refuse)(&self.call, outcome);
        let (word, reason) = words(outcome);
        self.end(word, reason, status);
        empty(status, headers)
    }

    /// Notes how the request ended, once.
    fn end(&mut self, outcome: &'static str, reason: &'static str, status: StatusCode) {
        self.presence.armed = false;
        self.record_end(outcome, reason, status);
    }

    fn record_end(&mut self, outcome: &'static str, reason: &'static str, status: StatusCode) {
        let now = self.shared.clock.now();
        self.release_copy();
        if let Some(busy) = self.busy.take() {
            busy.end(now);
        }
        let metrics = &self.shared.metrics;
        metrics.request_ended(&self.call.route, outcome, reason);
        if outcome == "answered" {
            let first = self.progress.first.unwrap_or(now - self.arrived);
            metrics.answer_times(&self.call.route, first, self.progress.gap);
        }
        if self.shared.log_limiter.allows(now, outcome == "answered") {
            log::info!(
                id = self.call.label.as_str(),
                route = self.call.route.as_str(),
                outcome = outcome,
                reason = reason,
                status = status.as_u16(),
                server = self.server.as_str(),
                attempts = self.attempts,
                events = self.progress.events,
                first_ms = self.progress.first.map_or(0, millis),
                gap_ms = millis(self.progress.gap),
                took_ms = millis(now - self.arrived);
                "relay: Ended."
            );
        }
    }

    fn log_sent(&self, dispatch: &Dispatch) {
        let now = self.shared.clock.now();
        if !self.shared.log_limiter.allows(now, true) {
            return;
        }
        let copy = dispatch
            .copy
            .as_ref()
            .map_or("", |copy| copy.server.as_str());
        log::info!(
            id = self.call.label.as_str(),
            server = dispatch.server.as_str(),
            life = dispatch.boot,
            attempt = self.attempts,
            copy = copy,
            resumes = dispatch.resume_from.is_some(),
            after = self.progress.last_id.unwrap_or(0),
            waited_ms = millis(now - self.arrived);
            "relay: Sent."
        );
    }

    fn log_attempt(&self, dispatch: &Dispatch, word: &'static str) {
        let now = self.shared.clock.now();
        if self.shared.log_limiter.allows(now, false) {
            log::info!(
                id = self.call.label.as_str(),
                server = dispatch.server.as_str(),
                life = dispatch.boot,
                attempt = self.attempts,
                result = word,
                events = self.progress.events,
                after_ms = millis(now - self.arrived);
                "relay: Attempt without an answer."
            );
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.presence.armed {
            self.record_end("failed", "cancelled", StatusCode::OK);
        }
    }
}

fn fingerprint(call: &Call, parts: &request::Parts, payload: &Bytes) -> wire::Fingerprint {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(call.organisation.as_bytes());
    hasher.update(b"\0");
    hasher.update(parts.method.as_str().as_bytes());
    hasher.update(parts.uri.path().as_bytes());
    hasher.update(b"\0");
    hasher.update(payload);
    hasher.digest()
}

fn words(outcome: &Outcome) -> (&'static str, &'static str) {
    match outcome {
        Outcome::Recorded(_) => ("answered", "recorded"),
        Outcome::Refused(refusal) => ("refused", refusal.reason().as_str()),
        Outcome::Failed(failure) => ("failed", failure.reason.as_str()),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
