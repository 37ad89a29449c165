//! Relaying of one request, from its headers to the end of its response.
//!
//! A relay makes the attempts that the decider orders and reports their results. Its modules:
//! `attempt` sends a request and classifies its response, `body` holds the bodies of requests and
//! responses, `response` reads a server's response, `streaming` forwards a response to the caller over
//! several attempts, `progress` holds how far that has come, `replication` keeps a replica of a running
//! generation, `earlier_run` holds runs that were given up, `abandoned` stops runs whose request ends
//! without its answer, `stop` stops a run at its server, `notice` reports what servers state about
//! themselves.

mod abandoned;
mod attempt;
mod body;
mod deadline;
mod earlier_run;
mod notice;
mod progress;
mod replication;
mod response;
mod stop;
mod streaming;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use clock::Time;
use conf::Config;
use conf::Route;
use conf::Service;
use gateway::decider::Decider;
use gateway::decider::HandleInput;
use gateway::decider::RelayCommand;
use gateway::decider::Relays;
use gateway::decider::Status;
use gateway::log_limit::LogLimiter;
use gateway::metrics::Metrics;
use gateway::partition::Partition;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
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
use wire::AttemptId;
use wire::Fingerprint;
use wire::RequestId;
use xtra::Address;

use crate::codec::Codec;
use crate::codec::Rejection;
use crate::codec::RequestMeta;
use crate::listener::BusyGuard;
use crate::relay::abandoned::RunInFlight;
pub use crate::relay::body::ResponseBody;
pub use crate::relay::body::Truncated;
use crate::relay::body::empty_response;
use crate::relay::body::read_body;
use crate::relay::earlier_run::EarlierRun;
use crate::relay::earlier_run::Endings;
use crate::relay::earlier_run::claim_used;
use crate::relay::progress::Progress;
use crate::relay::replication::Replication;
use crate::relay::response::AttemptResult;
use crate::relay::response::ResponseHead;
use crate::relay::stop::InUse;

/// Retry-after, in seconds, of a request that was not read to its end before the instance stops. The
/// load balancer sends the caller's next connection to another instance.
const UNREAD_RETRY_AFTER: &str = "0.02";

/// The state that all relays share.
pub struct RelayContext {
    /// The decider, which orders attempts and receives their results.
    pub decider: Address<Decider>,
    /// The registry of running relays, through which the decider sends commands.
    pub relays: Arc<Relays>,
    /// The decider's published status, with the configuration in force.
    pub status: watch::Receiver<Status>,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// The instance's metrics.
    pub metrics: Arc<Metrics>,
    /// Reads and writes the platform's headers.
    pub codec: Codec,
    /// The servers that the instance can't reach, for experiments.
    pub partition: Arc<Partition>,
    /// Limits the rate of log lines.
    pub log_limiter: LogLimiter,
    /// Memory budget for the bodies of requests, in permits of 1 KiB.
    pub memory: Semaphore,
}

/// Returns the response to a request whose outcome is not known when its connection must close. It
/// may have run.
pub fn unanswered() -> Response<ResponseBody> {
    empty_response(StatusCode::BAD_GATEWAY, HeaderMap::new())
}

/// Returns the response to a request that was not read to its end.
fn unread_response() -> Response<ResponseBody> {
    let mut headers = HeaderMap::new();
    headers.insert(RETRY_AFTER, HeaderValue::from_static(UNREAD_RETRY_AFTER));
    empty_response(StatusCode::SERVICE_UNAVAILABLE, headers)
}

/// Serves one request and returns its response. A request whose body is still being read once
/// `answering` completes is refused.
pub async fn serve_request(
    context: Arc<RelayContext>,
    request: Request<Incoming>,
    busy_guard: BusyGuard,
    answering: impl Future<Output = ()>,
) -> Response<ResponseBody> {
    let arrived_at = context.clock.now();
    let (parts, body) = request.into_parts();
    let config = context.status.borrow().config.clone();
    if config.version == 0 {
        // No configuration has been read yet, so no route or organisation is known.
        let headers = (context.codec.rejection_headers)(&parts.headers);
        let response = empty_response(StatusCode::SERVICE_UNAVAILABLE, headers);
        busy_guard.finish(context.clock.now());
        return response;
    }
    let decoded = (context.codec.decode_request)(&parts, &config)
        .and_then(|meta| find_route(&config, &meta).map(|route| (meta, route)));
    let (meta, route) = match decoded {
        Ok(decoded) => decoded,
        Err(rejection) => {
            if context.log_limiter.allows(arrived_at, false) {
                log::info!(
                    path = parts.uri.path(),
                    reason = rejection.as_str(),
                    version = config.version;
                    "relay: Request rejected by its headers."
                );
            }
            busy_guard.finish(context.clock.now());
            let headers = (context.codec.rejection_headers)(&parts.headers);
            return empty_response(rejection.status(), headers);
        }
    };
    let limits = config.limits;
    let permit_owner = context.clone();
    let read = tokio::select! {
        read = read_body(&permit_owner, body, limits) => read,
        () = answering => {
            if context.log_limiter.allows(arrived_at, false) {
                log::info!(
                    id = meta.caller_request_id.as_str();
                    "relay: Request refused, its body was not complete at the end of the shutdown."
                );
            }
            return unread_response();
        }
    };
    let (payload, _permits) = match read {
        Ok(read) => read,
        Err(status) => {
            if context.log_limiter.allows(arrived_at, false) {
                log::info!(
                    id = meta.caller_request_id.as_str(),
                    status = status.as_u16();
                    "relay: Request body rejected."
                );
            }
            let headers = (context.codec.rejection_headers)(&parts.headers);
            let mut response = empty_response(status, headers);
            let close = HeaderValue::from_static("close");
            response
                .headers_mut()
                .insert(hyper::header::CONNECTION, close);
            return response;
        }
    };
    let relay = Relay::new(context, parts, meta, route, payload, arrived_at, busy_guard);
    relay.run().await
}

fn find_route(config: &Config, meta: &RequestMeta) -> Result<Route, Rejection> {
    let route = config.routes.get(&meta.route).cloned();
    route.ok_or(Rejection::NoRoute)
}

/// Removes a request from the relay registry when dropped. While armed, it also informs the decider
/// that the caller has disconnected.
struct CancelGuard {
    context: Arc<RelayContext>,
    id: RequestId,
    armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        self.context.relays.deregister(self.id);
        if !self.armed {
            return;
        }
        let (decider, id) = (self.context.decider.clone(), self.id);
        tokio::spawn(async move {
            let _ = decider
                .send(HandleInput(Input::CallerGone(id)))
                .detach()
                .await;
        });
    }
}

/// The state of one request.
struct Relay {
    context: Arc<RelayContext>,
    cancel_guard: CancelGuard,
    busy_guard: Option<BusyGuard>,
    parts: request::Parts,
    meta: RequestMeta,
    route: Route,
    payload: Bytes,
    arrived_at: Time,
    deadline: Option<Time>,
    commands: mpsc::UnboundedReceiver<RelayCommand>,
    /// Commands that ended an attempt and have not been handled yet.
    pending_commands: VecDeque<RelayCommand>,
    /// The last complete error response of a server.
    server_error: Option<(ResponseHead, Bytes)>,
    last_server: wire::Name,
    /// Runs that were given up without proof that they have ended.
    earlier_runs: Vec<EarlierRun>,
    /// Attempts of a generation that were sent and have not ended.
    runs_in_flight: Vec<RunInFlight>,
    /// Whether engines serve the request.
    is_generation: bool,
    attempts: u32,
    /// Whether the decider has been replaced since it ordered an attempt. The new one orders no other.
    is_orphaned: bool,
    /// The server whose run may serve the caller.
    in_use: watch::Sender<InUse>,
    progress: Progress,
    replication: Option<Replication>,
    /// The replica that the generation can be resumed from, if the server of an attempt has made
    /// one.
    replica_handle: Option<Handle>,
    /// The server that made this replica, and its boot.
    replica_source: Option<(wire::Name, wire::BootId)>,
}

impl Relay {
    fn new(
        context: Arc<RelayContext>,
        parts: request::Parts,
        meta: RequestMeta,
        route: Route,
        payload: Bytes,
        arrived_at: Time,
        busy_guard: BusyGuard,
    ) -> Relay {
        let group = group_fingerprint(&meta, &parts, &payload);
        let request = wigeon_core::Request {
            id: fastrand::u64(1..),
            organisation: meta.organisation.clone(),
            route: meta.route.clone(),
            key: None,
            fingerprint: fingerprint(&meta, &parts, group),
            group,
            prompt_tokens: meta.prompt_tokens,
            prefixes: meta.prefix_hashes.clone(),
            parts: meta.shared_parts.clone(),
            max_tokens: meta.max_tokens,
            expected_tokens: meta.expected_tokens,
            timeout: meta.caller_timeout,
            stream: meta.stream,
            handed_over: meta.handed_over,
        };
        let timeouts = [meta.caller_timeout, route.timeout()];
        let deadline = timeouts
            .into_iter()
            .flatten()
            .min()
            .map(|timeout| arrived_at + timeout);
        context.metrics.count_request_begun();
        if context.log_limiter.allows(arrived_at, true) {
            log::info!(
                id = meta.caller_request_id.as_str(),
                request = request.id,
                route = meta.route.as_str(),
                organisation = meta.organisation.as_str(),
                version = context.status.borrow().config.version,
                patience_ms = meta.caller_timeout.map_or(0, millis),
                prompt = meta.prompt_tokens,
                expected = meta.expected_tokens.unwrap_or(0),
                handed_over = meta.handed_over,
                bytes = payload.len();
                "relay: Accepted."
            );
        }
        let commands = context.relays.register(request.clone());
        let cancel_guard = CancelGuard {
            context: context.clone(),
            id: request.id,
            armed: true,
        };
        let decider = context.decider.clone();
        tokio::spawn(async move {
            let _ = decider
                .send(HandleInput(Input::Request(request)))
                .detach()
                .await;
        });
        let progress = Progress::after(meta.last_event_id);
        let is_generation = {
            let status = context.status.borrow();
            let pools = &status.config.pools;
            let is_engine = |pool| {
                pools
                    .get(pool)
                    .is_some_and(|found| found.service == Service::Engine)
            };
            is_engine(&route.pool) || route.split.keys().any(is_engine)
        };
        Relay {
            context,
            cancel_guard,
            busy_guard: Some(busy_guard),
            parts,
            meta,
            route,
            payload,
            arrived_at,
            deadline,
            commands,
            pending_commands: VecDeque::new(),
            server_error: None,
            last_server: wire::Name::default(),
            earlier_runs: Vec::new(),
            runs_in_flight: Vec::new(),
            is_generation,
            attempts: 0,
            is_orphaned: false,
            in_use: watch::Sender::default(),
            progress,
            replication: None,
            replica_handle: None,
            replica_source: None,
        }
    }

    async fn run(mut self) -> Response<ResponseBody> {
        loop {
            match self.next_command().await {
                RelayCommand::Dispatch(mut dispatch) => {
                    let Some(result) = self.attempt_until_command(&mut dispatch).await else {
                        continue;
                    };
                    match result {
                        AttemptResult::Complete(head, bytes) => {
                            return self.respond_complete(&dispatch, head, bytes);
                        }
                        AttemptResult::Partial(head, prefix, response) => {
                            return self.start_streaming(*dispatch, head, Some(prefix), response);
                        }
                        AttemptResult::EventStream(head, response) => {
                            return self.start_streaming(*dispatch, head, None, response);
                        }
                        other => self.report_attempt(&dispatch, other).await,
                    }
                }
                RelayCommand::Finish(outcome) => return self.respond_unserved(&outcome),
                RelayCommand::Orphan => self.is_orphaned = true,
                RelayCommand::Cancel(_) | RelayCommand::Copy(..) => {}
            }
        }
    }

    async fn next_command(&mut self) -> RelayCommand {
        if let Some(command) = self.pending_commands.pop_front() {
            return command;
        }
        if self.is_orphaned {
            return finish_failed(Reason::Lost);
        }
        let deadline = self.final_deadline();
        tokio::select! {
            biased;
            // Without a decider the process is shutting down.
            command = self.commands.recv() => {
                command.unwrap_or_else(|| finish_failed(Reason::Lost))
            }
            () = deadline => {
                self.report_overdue();
                finish_failed(Reason::TimedOut)
            }
        }
    }

    /// Makes an attempt after the runs before have ended. Returns `None` if a command of the decider
    /// ended the attempt; the command is then pending.
    async fn attempt_until_command(&mut self, dispatch: &mut Dispatch) -> Option<AttemptResult> {
        let mut ended = Vec::new();
        if let Some(stopping) = self.stop_earlier_runs(dispatch) {
            let replica = dispatch.resume_from.clone();
            self.run_until_command(dispatch.attempt, stopping).await?;
            match self.take_endings(dispatch) {
                Endings::Ended(runs) => ended = runs,
                endings => {
                    let kept = replica.filter(|_| endings.is_pending());
                    return Some(AttemptResult::NotSent(kept));
                }
            }
        }
        self.record_attempt(dispatch);
        let attempting = self.run_attempt(dispatch);
        let result = self.run_until_command(dispatch.attempt, attempting).await;
        match &result {
            None => self.give_up_run(dispatch, false),
            Some(
                AttemptResult::EventStream(..)
                | AttemptResult::Complete(..)
                | AttemptResult::Partial(..),
            ) => claim_used(dispatch, &ended),
            Some(_) => {}
        }
        result
    }

    /// Runs a part of an attempt. Returns `None` if a command of the decider ended the attempt; the
    /// command is then pending.
    async fn run_until_command<T>(
        &mut self,
        attempt: AttemptId,
        part: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::pin!(part);
        loop {
            let deadline = self.final_deadline();
            tokio::select! {
                result = &mut part => return Some(result),
                () = deadline => {
                    self.report_overdue();
                    let command = finish_failed(Reason::TimedOut);
                    self.pending_commands.push_back(command);
                    return None;
                }
                command = self.commands.recv() => match command? {
                    RelayCommand::Orphan => self.is_orphaned = true,
                    RelayCommand::Copy(..) => {}
                    RelayCommand::Cancel(cancelled) if cancelled != attempt => {}
                    command => {
                        self.pending_commands.push_back(command);
                        return None;
                    }
                }
            }
        }
    }

    fn record_attempt(&mut self, dispatch: &Dispatch) {
        self.attempts += 1;
        self.use_run_at(dispatch.address);
        self.last_server = dispatch.server.clone();
        self.record_in_flight(dispatch);
        self.log_dispatch(dispatch);
    }

    /// Reports to the decider that an attempt produced no response for the caller.
    async fn report_attempt(&mut self, dispatch: &Dispatch, result: AttemptResult) {
        let (event, result) = match result {
            AttemptResult::Unreachable => (Event::Unreachable, "unreachable"),
            AttemptResult::NotExecuted => (Event::Refused, "not-run"),
            AttemptResult::NotSent(replica) => (Event::Postponed { replica }, "postponed"),
            AttemptResult::NoRoom(retry_after) => (Event::NoRoom { retry_after }, "no-room"),
            AttemptResult::ServerError(head, bytes) => {
                self.server_error = Some((head, bytes));
                (Event::Failed, "failed")
            }
            AttemptResult::Withheld => (Event::Failed, "withheld"),
            AttemptResult::NoStream => (self.lost_event(false), "no-stream"),
            AttemptResult::OddStatus => (self.lost_event(false), "odd-status"),
            AttemptResult::Lost => (self.lost_event(true), "unanswered"),
            _ => (self.lost_event(true), "broken"),
        };
        if matches!(event, Event::Lost { .. }) {
            self.give_up_run(dispatch, false);
        }
        self.forget_in_flight(dispatch.attempt);
        let is_postponed = matches!(event, Event::Postponed { .. });
        // An attempt that waits for proof is postponed twice a second, and its wait was logged.
        if !is_postponed || !self.awaits_proof() {
            self.log_failed_attempt(dispatch, result);
        }
        self.send_event(dispatch, event).await;
    }

    /// Returns the event for an attempt whose connection or stream was lost. `crashed` tells whether
    /// its server may have crashed. One that has sent what can't be used goes on.
    fn lost_event(&self, crashed: bool) -> Event {
        Event::Lost {
            crashed,
            delivered: self.tokens_sent(),
        }
    }

    async fn send_event(&self, dispatch: &Dispatch, event: Event) {
        let input = Input::Attempt(dispatch.attempt, event);
        let _ = self.context.decider.send(HandleInput(input)).detach().await;
    }

    fn completion_event(&self) -> Event {
        Event::Complete {
            generated: self.tokens_sent(),
            gap: self.progress.longest_gap,
            answer: wire::ledger::Answer {
                status: StatusCode::OK.as_u16(),
                media: String::new(),
                body: None,
            },
        }
    }

    /// Returns the approximate number of tokens sent to the caller.
    fn tokens_sent(&self) -> u32 {
        let tokens_per_event = self.tokens_per_event();
        self.progress.events.saturating_mul(tokens_per_event)
    }

    fn tokens_per_event(&self) -> u32 {
        let status = self.context.status.borrow();
        let pool = status.config.pools.get(&self.route.pool);
        pool.map_or(1, |pool| pool.stride.max(1))
    }

    fn respond_complete(
        mut self,
        dispatch: &Dispatch,
        head: ResponseHead,
        bytes: Bytes,
    ) -> Response<ResponseBody> {
        let event = self.completion_event();
        let (decider, attempt) = (self.context.decider.clone(), dispatch.attempt);
        tokio::spawn(async move {
            let input = Input::Attempt(attempt, event);
            let _ = decider.send(HandleInput(input)).detach().await;
        });
        self.finish("answered", "complete", head.status);
        let body = ResponseBody::Whole(Full::new(bytes));
        head.into_response(body)
    }

    /// Returns the response to a refused or failed request: the last server's error response if
    /// there is one, or else an empty response.
    fn respond_unserved(mut self, outcome: &Outcome) -> Response<ResponseBody> {
        if matches!(outcome, Outcome::Failed(_))
            && let Some((head, bytes)) = self.server_error.take()
        {
            self.finish("failed", "server-error", head.status);
            return head.into_response(ResponseBody::Whole(Full::new(bytes)));
        }
        let (status, headers) = (self.context.codec.error_response)(&self.parts.headers, outcome);
        let (result, reason) = outcome_labels(outcome);
        self.finish(result, reason, status);
        empty_response(status, headers)
    }

    /// Records the outcome of the request and disarms the cancellation guard.
    fn finish(&mut self, outcome: &'static str, reason: &'static str, status: StatusCode) {
        self.cancel_guard.armed = false;
        self.record_end(outcome, reason, status);
    }

    fn record_end(&mut self, outcome: &'static str, reason: &'static str, status: StatusCode) {
        let now = self.context.clock.now();
        self.release_replica();
        if outcome != "answered" {
            self.stop_abandoned_runs();
        }
        if let Some(busy_guard) = self.busy_guard.take() {
            busy_guard.finish(now);
        }
        let metrics = &self.context.metrics;
        metrics.count_request_ended(&self.meta.route, outcome, reason);
        if outcome == "answered" {
            let first = self
                .progress
                .first_event_after
                .unwrap_or(now - self.arrived_at);
            metrics.observe_answer(&self.meta.route, first, self.progress.longest_gap);
        }
        if self.context.log_limiter.allows(now, outcome == "answered") {
            log::info!(
                id = self.meta.caller_request_id.as_str(),
                route = self.meta.route.as_str(),
                outcome = outcome,
                reason = reason,
                status = status.as_u16(),
                server = self.last_server.as_str(),
                attempts = self.attempts,
                events = self.progress.events,
                first_ms = self.progress.first_event_after.map_or(0, millis),
                gap_ms = millis(self.progress.longest_gap),
                took_ms = millis(now - self.arrived_at);
                "relay: Ended."
            );
        }
    }

    fn log_dispatch(&self, dispatch: &Dispatch) {
        let now = self.context.clock.now();
        if !self.context.log_limiter.allows(now, true) {
            return;
        }
        let copy = dispatch
            .copy
            .as_ref()
            .map_or("", |copy| copy.server.as_str());
        log::info!(
            id = self.meta.caller_request_id.as_str(),
            server = dispatch.server.as_str(),
            life = dispatch.boot,
            software = dispatch.software.as_str(),
            attempt = self.attempts,
            hands_over = dispatch.hands_over,
            copy = copy,
            resumes = dispatch.resume_from.is_some(),
            repeats = self.route.idempotent,
            after = self.progress.last_event_id.unwrap_or(0),
            waited_ms = millis(now - self.arrived_at),
            list = dispatch.list.revision,
            list_ms = millis(dispatch.list.age),
            list_from = dispatch.list.reader.as_str();
            "relay: Sent."
        );
    }

    fn log_failed_attempt(&self, dispatch: &Dispatch, result: &'static str) {
        let now = self.context.clock.now();
        if self.context.log_limiter.allows(now, false) {
            log::info!(
                id = self.meta.caller_request_id.as_str(),
                server = dispatch.server.as_str(),
                life = dispatch.boot,
                attempt = self.attempts,
                result = result,
                events = self.progress.events,
                after_ms = millis(now - self.arrived_at);
                "relay: Attempt failed."
            );
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.cancel_guard.armed {
            self.record_end("failed", "cancelled", StatusCode::OK);
        }
    }
}

/// Returns the fingerprint of all that a server is sent, from that of the path, caller and body.
fn fingerprint(meta: &RequestMeta, parts: &request::Parts, group: Fingerprint) -> Fingerprint {
    match (parts.uri.query(), meta.generation_hash) {
        (None, 0) => group,
        (query, generation_hash) => {
            let mut hasher = xxhash_rust::xxh3::Xxh3::with_seed(group);
            hasher.update(&generation_hash.to_le_bytes());
            hasher.update(query.unwrap_or_default().as_bytes());
            hasher.digest()
        }
    }
}

/// Returns the fingerprint of a request's path, caller and body. Instances of earlier builds know no
/// other.
fn group_fingerprint(meta: &RequestMeta, parts: &request::Parts, payload: &Bytes) -> Fingerprint {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(meta.organisation.as_bytes());
    hasher.update(b"\0");
    hasher.update(parts.method.as_str().as_bytes());
    hasher.update(parts.uri.path().as_bytes());
    hasher.update(b"\0");
    hasher.update(payload);
    hasher.digest()
}

/// Returns the command that ends a request which may have run.
fn finish_failed(reason: Reason) -> RelayCommand {
    RelayCommand::Finish(Outcome::Failed(Failure {
        reason,
        delivered: 0,
        retry_after: None,
    }))
}

/// Returns the outcome and reason texts for metrics and logs.
fn outcome_labels(outcome: &Outcome) -> (&'static str, &'static str) {
    match outcome {
        Outcome::Recorded(_) => ("answered", "recorded"),
        Outcome::Refused(refusal) => ("refused", refusal.reason().as_str()),
        Outcome::Failed(failure) => ("failed", failure.reason.as_str()),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
