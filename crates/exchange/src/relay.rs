//! One request, from its header to the end of its answer.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use clock::Time;
use conf::Config;
use conf::Delivery;
use conf::Route;
use gateway::decider::Decider;
use gateway::decider::Order;
use gateway::decider::Relays;
use gateway::decider::Status;
use gateway::decider::Take;
use gateway::metrics::Metrics;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderValue;
use hyper::http::request;
use hyper::http::response;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use wigeon_core::Event;
use wigeon_core::Failure;
use wigeon_core::Handle;
use wigeon_core::Input;
use wigeon_core::Kept;
use wigeon_core::Outcome;
use wigeon_core::message::Dispatch;
use wigeon_core::outcome::Reason;
use wire::AttemptId;
use wire::RequestId;
use wire::admission::Place;
use xtra::Address;

use crate::codec::Attempt;
use crate::codec::Call;
use crate::codec::Codec;
use crate::codec::Judgement;
use crate::codec::Rejection;
use crate::codec::end_to_end;
use crate::entry::Busy;
use crate::events;
use crate::events::Scanner;
use crate::link;
use crate::link::Fault;
use crate::link::Link;
use crate::trace::Gate;

/// Greatest answer that is read whole before it is passed on, in bytes. Longer ones are passed on as
/// they come and can't be replaced when they break.
const WHOLE_BYTES: usize = 64 * 1_024;
/// Events that wait for a slow caller before no more are read from the server.
const EVENTS_QUEUED: usize = 16;
/// Events between two reports of progress to the decider.
const PROGRESS_EVENTS: u32 = 8;
/// Silence of a server in the middle of a stream after which the generation goes on from its copy.
/// Engines send an event every 30 to 90 ms; one that is silent for this long is dead or cut off.
const SILENCE: Duration = Duration::from_millis(700);
/// Longest time for one copy of a generation's memory. Some 70 MB take 200 ms on a link of their own.
const COPY_TIME: Duration = Duration::from_millis(2_500);
/// Time between two copies of what is new of a generation. What a copy lacks is read again before the
/// stream goes on: 14 tokens take a millisecond, and a second brings some 60.
const COPY_PERIOD: Duration = Duration::from_millis(800);
/// Bytes of one permit of the memory for bodies.
const PERMIT_BYTES: usize = 1_024;

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
    pub gate: Gate,
    /// Memory for bodies of requests, in permits of 1 KiB.
    pub memory: Semaphore,
}

/// An answer that breaks off: the connection to the caller is broken on purpose.
#[derive(Clone, Copy, Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Whole(Full<Bytes>),
    /// Pieces as they come.
    Pieces(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Body::Whole(full) => Pin::new(full)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Body::Pieces(pieces) => pieces
                .poll_recv(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(full) => full.is_end_stream(),
            Body::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(full) => full.size_hint(),
            Body::Pieces(_) => SizeHint::default(),
        }
    }
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
            if shared.gate.allows(arrived, false) {
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
            if shared.gate.allows(arrived, false) {
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

/// Reads a body whole. The room that it takes is given back when the second value is dropped.
async fn read_body(
    shared: &Shared,
    mut body: Incoming,
    limits: conf::Limits,
) -> Result<(Bytes, Vec<SemaphorePermit<'_>>), StatusCode> {
    let idle = Duration::from_millis(limits.idle_ms);
    let most = limits.body_bytes;
    if body.size_hint().lower() > most as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let mut room = Vec::new();
    let mut read = bytes::BytesMut::new();
    let mut reserved = 0;
    loop {
        let frame = match tokio::time::timeout(idle, body.frame()).await {
            Err(_) => return Err(StatusCode::REQUEST_TIMEOUT),
            Ok(None) => return Ok((read.freeze(), room)),
            Ok(Some(Err(_))) => return Err(StatusCode::BAD_REQUEST),
            Ok(Some(Ok(frame))) => frame,
        };
        // Trailers are no part of the body and are not forwarded.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read.len() + data.len() > most {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        read.extend_from_slice(&data);
        let needed = read.len().div_ceil(PERMIT_BYTES);
        if needed > reserved {
            let more = u32::try_from(needed - reserved).unwrap_or(u32::MAX);
            match shared.memory.try_acquire_many(more) {
                Ok(permit) => room.push(permit),
                Err(_) => return Err(StatusCode::SERVICE_UNAVAILABLE),
            }
            reserved = needed;
        }
    }
}

fn empty(status: StatusCode, headers: HeaderMap) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Full::default()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
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
            let _ = decider.send(Take(Input::Gone(id))).detach().await;
        });
    }
}

/// A server's answer, or the beginning of one.
struct Head {
    status: StatusCode,
    headers: HeaderMap,
}

impl Head {
    fn of(parts: &response::Parts) -> Head {
        Head {
            status: parts.status,
            headers: end_to_end(&parts.headers),
        }
    }

    fn into_response(mut self, body: Body) -> Response<Body> {
        // The length of the body that is sent is written by the library.
        self.headers.remove(CONTENT_LENGTH);
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// What an attempt led to, up to where the caller gets something.
enum Tried {
    Unreachable,
    NotRun,
    Broken,
    Failed(Head, Bytes),
    Whole(Head, Bytes),
    Long(Head, Bytes, Source),
    Events(Head, Source),
}

/// What is still to come of an answer.
struct Source {
    body: Incoming,
    scanner: Scanner,
    first: Option<events::Event>,
    _link: Link,
}

enum Piece {
    Event(events::Event),
    End,
    Broken,
}

impl Source {
    /// Returns the next event.
    async fn next(&mut self) -> Piece {
        loop {
            if let Some(first) = self.first.take() {
                return Piece::Event(first);
            }
            match self.scanner.next_event() {
                Ok(Some(event)) => return Piece::Event(event),
                Ok(None) => {}
                Err(_) => return Piece::Broken,
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.scanner.push(&data);
                    }
                }
                Some(Err(_)) => return Piece::Broken,
                None if self.scanner.has_rest() => return Piece::Broken,
                None => return Piece::End,
            }
        }
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
    orders: mpsc::UnboundedReceiver<Order>,
    pending: VecDeque<Order>,
    held: Option<(Head, Bytes)>,
    server: wire::Name,
    attempts: u32,
    progress: Progress,
    copying: Option<Copying>,
    handle: Option<Handle>,
}

/// A copy of a generation's memory that is kept at a server by calls from time to time.
struct Copying {
    attempt: AttemptId,
    place: Place,
    stage: Stage,
}

/// A call that makes a copy, and what it returns: the copy's name, or nothing.
type CopyCall = JoinHandle<Option<wire::Name>>;

enum Stage {
    /// A call is under way.
    Calling(CopyCall),
    /// The next call waits for its time.
    Waiting(Pin<Box<tokio::time::Sleep>>),
}

impl Copying {
    /// Waits until a call has ended, or the next one is due.
    async fn next(copying: &mut Option<Copying>) -> Copied {
        match copying.as_mut().map(|copying| &mut copying.stage) {
            // A call that panicked made no copy that anybody could name.
            Some(Stage::Calling(call)) => Copied::Ended(call.await.unwrap_or(None)),
            Some(Stage::Waiting(sleep)) => {
                sleep.await;
                Copied::Due
            }
            None => std::future::pending().await,
        }
    }
}

enum Copied {
    Ended(Option<wire::Name>),
    Due,
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
        if shared.gate.allows(arrived, true) {
            log::info!(
                id = call.label.as_str(),
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
        let orders = shared.relays.enter(request.clone());
        let presence = Presence {
            shared: shared.clone(),
            id: request.id,
            armed: true,
        };
        let decider = shared.decider.clone();
        tokio::spawn(async move {
            let _ = decider.send(Take(Input::Request(request))).detach().await;
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
            orders,
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
            match self.next_order().await {
                Order::Dispatch(dispatch) => {
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
                Order::Finish(outcome) => return self.refuse(&outcome),
                Order::Cancel(_) | Order::Copy(..) | Order::Orphan => {}
            }
        }
    }

    async fn next_order(&mut self) -> Order {
        if let Some(order) = self.pending.pop_front() {
            return order;
        }
        match self.orders.recv().await {
            Some(order) => order,
            // The decider and its relays are gone: the process ends.
            None => Order::Finish(Outcome::Failed(Failure {
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
                order = self.orders.recv() => match order {
                    Some(Order::Orphan | Order::Copy(..)) => {}
                    Some(Order::Cancel(attempt)) if attempt != dispatch.attempt => {}
                    Some(order) => {
                        self.pending.push_back(order);
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
        let _ = self.shared.decider.send(Take(input)).detach().await;
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
            let _ = decider.send(Take(input)).detach().await;
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

    /// Passes an answer on as it comes, in a task of its own.
    fn stream(
        self,
        dispatch: Dispatch,
        head: Head,
        begun: Option<Bytes>,
        source: Source,
    ) -> Response<Body> {
        let (out, pieces) = mpsc::channel(1);
        let response = head.into_response(Body::Pieces(pieces));
        match begun {
            Some(begun) => tokio::spawn(self.pass_on(dispatch, begun, source, out)),
            None => tokio::spawn(self.pump(dispatch, source, out)),
        };
        response
    }

    /// Passes on a long answer that is no stream of events.
    async fn pass_on(
        mut self,
        dispatch: Dispatch,
        begun: Bytes,
        mut source: Source,
        out: mpsc::Sender<Result<Bytes, Broken>>,
    ) {
        if out.send(Ok(begun)).await.is_err() {
            return;
        }
        loop {
            let frame = tokio::select! {
                frame = source.body.frame() => frame,
                () = out.closed() => return,
                order = self.orders.recv() => {
                    if let Some(Order::Orphan | Order::Copy(..)) = order {
                        continue;
                    }
                    let _ = out.send(Err(Broken)).await;
                    self.end("failed", "timed-out", StatusCode::OK);
                    return;
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if out.send(Ok(data)).await.is_err() {
                        return;
                    }
                }
                Some(Err(_)) => {
                    let event = self.lost();
                    self.tell(&dispatch, event).await;
                    let _ = out.send(Err(Broken)).await;
                    self.end("failed", "lost", StatusCode::OK);
                    return;
                }
                None => {
                    let event = self.complete();
                    self.tell(&dispatch, event).await;
                    self.end("answered", "complete", StatusCode::OK);
                    return;
                }
            }
        }
    }

    /// Passes events on, over as many attempts as the decider orders.
    async fn pump(
        mut self,
        mut dispatch: Dispatch,
        source: Source,
        out: mpsc::Sender<Result<Bytes, Broken>>,
    ) {
        self.tell(&dispatch, Event::Started).await;
        let mut source = Some(source);
        let mut queue: VecDeque<Bytes> = VecDeque::new();
        loop {
            let silence = match (&source, &dispatch.copy) {
                (Some(_), Some(_)) if queue.is_empty() => Some(SILENCE),
                _ => None,
            };
            tokio::select! {
                biased;
                permit = out.reserve(), if !queue.is_empty() => match permit {
                    Ok(permit) => if let Some(bytes) = queue.pop_front() {
                        permit.send(Ok(bytes));
                    },
                    Err(_) => return,
                },
                () = out.closed() => return,
                order = next_of(&mut self.pending, &mut self.orders) => match order {
                    Order::Dispatch(next) => {
                        self.copying = None;
                        if next.resumes.as_ref().is_some_and(|kept| kept.handle == self.handle) {
                            // It is used up by going on from it.
                            self.handle = None;
                        }
                        source = self.go_on(&next, &out).await;
                        dispatch = next;
                    }
                    Order::Copy(attempt, place) if attempt == dispatch.attempt => {
                        self.copy_to(&dispatch, place);
                    }
                    Order::Cancel(attempt) if attempt == dispatch.attempt => source = None,
                    Order::Cancel(_) | Order::Copy(..) | Order::Orphan => {}
                    Order::Finish(outcome) => {
                        let (_, reason) = words(&outcome);
                        self.end("failed", reason, StatusCode::OK);
                        let _ = out.send(Err(Broken)).await;
                        return;
                    }
                },
                copied = Copying::next(&mut self.copying) => {
                    self.take_copied(&dispatch, copied).await;
                }
                piece = next_piece(&mut source, silence), if queue.len() < EVENTS_QUEUED => {
                    match piece {
                        Piece::Event(event) => {
                            if let Some(bytes) = self.take(event) {
                                queue.push_back(bytes);
                            }
                            self.tell_progress(&dispatch).await;
                        }
                        Piece::End => {
                            let event = self.complete();
                            self.tell(&dispatch, event).await;
                            for bytes in queue {
                                if out.send(Ok(bytes)).await.is_err() {
                                    break;
                                }
                            }
                            self.end("answered", "complete", StatusCode::OK);
                            return;
                        }
                        Piece::Broken => {
                            // Closed before the decider knows of it, so that nothing more of it runs.
                            source = None;
                            self.log_attempt(&dispatch, "broken");
                            let event = self.lost();
                            self.tell(&dispatch, event).await;
                        }
                    }
                }
            }
        }
    }

    /// Begins to keep a copy at a place, instead of any other.
    fn copy_to(&mut self, dispatch: &Dispatch, place: Place) {
        let call = self.copy_call(dispatch.address, &place);
        self.copying = Some(Copying {
            attempt: dispatch.attempt,
            place,
            stage: Stage::Calling(call),
        });
    }

    /// Has the servers free the memory of a copy that was ordered. It would take up room for seconds.
    fn release_copy(&mut self) {
        let Some(handle) = self.handle.take() else {
            return;
        };
        let path = (self.shared.codec.release)(&handle);
        tokio::spawn(async move {
            let releasing = link::release(handle.source, path.as_str());
            // Where this fails the server frees the copy by itself, later.
            let _ = tokio::time::timeout(COPY_TIME, releasing).await;
        });
    }

    fn copy_call(&self, source: SocketAddr, place: &Place) -> CopyCall {
        let call = (self.shared.codec.copy)(&self.call, place);
        let copied = self.shared.codec.copied;
        tokio::spawn(async move {
            let copying = link::copy(source, call);
            let body = tokio::time::timeout(COPY_TIME, copying)
                .await
                .ok()
                .flatten()?;
            copied(&body)
        })
    }

    /// Tells the decider of a copy, and has it brought up to date when its time has come.
    async fn take_copied(&mut self, dispatch: &Dispatch, copied: Copied) {
        let Some(mut copying) = self.copying.take() else {
            return;
        };
        if copying.attempt != dispatch.attempt {
            return;
        }
        match copied {
            Copied::Due => {
                let call = self.copy_call(dispatch.address, &copying.place);
                copying.stage = Stage::Calling(call);
                self.copying = Some(copying);
            }
            Copied::Ended(Some(name)) => {
                self.log_copy(dispatch, &copying.place, true);
                let handle = Handle {
                    source: dispatch.address,
                    name,
                };
                if self.handle.as_ref() != Some(&handle) {
                    self.release_copy();
                }
                self.handle = Some(handle.clone());
                let kept = Kept {
                    place: copying.place.clone(),
                    handle: Some(handle),
                };
                self.tell(dispatch, Event::Copied(kept)).await;
                copying.stage = Stage::Waiting(Box::pin(tokio::time::sleep(COPY_PERIOD)));
                self.copying = Some(copying);
            }
            Copied::Ended(None) => {
                self.log_copy(dispatch, &copying.place, false);
                self.tell(dispatch, Event::NotCopied).await;
            }
        }
    }

    fn log_copy(&self, dispatch: &Dispatch, place: &Place, made: bool) {
        let now = self.shared.clock.now();
        if self.shared.gate.allows(now, made) {
            log::info!(
                id = self.call.label.as_str(),
                server = dispatch.server.as_str(),
                copy = place.server.as_str(),
                made = made,
                events = self.progress.events;
                "relay: Copied."
            );
        }
    }

    /// Makes the attempt by which a stream goes on. Returns its source, or tells the decider that there
    /// is none.
    async fn go_on(
        &mut self,
        dispatch: &Dispatch,
        out: &mpsc::Sender<Result<Bytes, Broken>>,
    ) -> Option<Source> {
        let tried = tokio::select! {
            tried = self.try_unless_ordered(dispatch) => tried?,
            () = out.closed() => return None,
        };
        match tried {
            Tried::Events(_, source) => {
                self.tell(dispatch, Event::Started).await;
                Some(source)
            }
            // A stream that has begun can't end with another kind of answer.
            Tried::Whole(..) | Tried::Long(..) | Tried::Failed(..) => {
                self.log_attempt(dispatch, "no-stream");
                let event = self.lost();
                self.tell(dispatch, event).await;
                None
            }
            other => {
                self.report(dispatch, other).await;
                None
            }
        }
    }

    /// Returns the bytes of an event that is to be passed on, or nothing for one that the caller has.
    fn take(&mut self, event: events::Event) -> Option<Bytes> {
        let now = self.shared.clock.now();
        let seen = |last: u64| event.id.is_some_and(|id| id <= last);
        if self.progress.last_id.is_some_and(seen) {
            return None;
        }
        self.progress.last_id = event.id.or(self.progress.last_id);
        self.progress.events += 1;
        self.progress.first.get_or_insert(now - self.arrived);
        if let Some(last) = self.progress.last_at {
            self.progress.gap = self.progress.gap.max(now.saturating_sub(last));
        }
        self.progress.last_at = Some(now);
        Some(event.bytes)
    }

    async fn tell_progress(&self, dispatch: &Dispatch) {
        if !self.progress.events.is_multiple_of(PROGRESS_EVENTS) {
            return;
        }
        let tokens = self.tokens();
        let event = Event::Progress {
            generated: tokens,
            delivered: tokens,
        };
        self.tell(dispatch, event).await;
    }

    /// Notes how the request ended, once.
    fn end(&mut self, outcome: &'static str, reason: &'static str, status: StatusCode) {
        self.presence.armed = false;
        self.note_end(outcome, reason, status);
    }

    fn note_end(&mut self, outcome: &'static str, reason: &'static str, status: StatusCode) {
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
        if self.shared.gate.allows(now, outcome == "answered") {
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
        if !self.shared.gate.allows(now, true) {
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
            resumes = dispatch.resumes.is_some(),
            after = self.progress.last_id.unwrap_or(0),
            waited_ms = millis(now - self.arrived);
            "relay: Sent."
        );
    }

    fn log_attempt(&self, dispatch: &Dispatch, word: &'static str) {
        let now = self.shared.clock.now();
        if self.shared.gate.allows(now, false) {
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
            self.note_end("failed", "cancelled", StatusCode::OK);
        }
    }
}

async fn next_of(
    pending: &mut VecDeque<Order>,
    orders: &mut mpsc::UnboundedReceiver<Order>,
) -> Order {
    if let Some(order) = pending.pop_front() {
        return order;
    }
    match orders.recv().await {
        Some(order) => order,
        None => std::future::pending().await,
    }
}

async fn next_piece(source: &mut Option<Source>, silence: Option<Duration>) -> Piece {
    let Some(source) = source else {
        return std::future::pending().await;
    };
    match silence {
        Some(silence) => match tokio::time::timeout(silence, source.next()).await {
            Ok(piece) => piece,
            Err(_) => Piece::Broken,
        },
        None => source.next().await,
    }
}

async fn first_event(head: Head, body: Incoming, link: Link) -> Tried {
    let mut source = Source {
        body,
        scanner: Scanner::default(),
        first: None,
        _link: link,
    };
    match source.next().await {
        Piece::Event(event) => {
            source.first = Some(event);
            Tried::Events(head, source)
        }
        Piece::End => Tried::Whole(head, Bytes::new()),
        Piece::Broken => Tried::Broken,
    }
}

async fn read_whole(head: Head, mut body: Incoming, link: Link, failed: bool) -> Tried {
    let mut read = bytes::BytesMut::new();
    loop {
        match body.frame().await {
            None => break,
            Some(Err(_)) => return Tried::Broken,
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    read.extend_from_slice(&data);
                }
            }
        }
        if read.len() > WHOLE_BYTES {
            let source = Source {
                body,
                scanner: Scanner::default(),
                first: None,
                _link: link,
            };
            return Tried::Long(head, read.freeze(), source);
        }
    }
    let bytes = read.freeze();
    if failed {
        Tried::Failed(head, bytes)
    } else {
        Tried::Whole(head, bytes)
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
