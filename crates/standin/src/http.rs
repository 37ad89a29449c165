//! HTTP servers for the stand-ins, which can crash, restart and go silent.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::server::conn::auto;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::engine;
use crate::engine::Emission;
use crate::engine::Engine;
use crate::plain::PlainService;
use crate::platform::Platform;
use crate::token::Marker;

/// A response body, whole or streamed.
type Body = BoxBody<Bytes, Infallible>;
/// A handler's response, or `None` to close the connection without one.
type ResponseFuture = Pin<Box<dyn Future<Output = Option<Response<Body>>> + Send>>;
type Handler = Arc<dyn Fn(Request<Incoming>) -> ResponseFuture + Send + Sync>;

/// Time after which a watch of an unchanged key is answered.
const WATCH_TIMEOUT: Duration = Duration::from_secs(8);
/// Time between two checks of a watched key.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A listening socket and its connections, which can be closed and opened again at the same
/// address.
#[derive(Debug)]
struct Listener {
    address: SocketAddr,
    /// Sender that closes the connections, and the task that accepts them; `None` once closed.
    running: Option<(watch::Sender<bool>, JoinHandle<()>)>,
}

impl Listener {
    async fn open(address: SocketAddr, handler: Handler) -> anyhow::Result<Listener> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (close, closed) = watch::channel(false);
        let task = tokio::spawn(accept(listener, handler, closed));
        Ok(Listener {
            address,
            running: Some((close, task)),
        })
    }

    /// Closes all connections and stops listening.
    fn close(&mut self) {
        if let Some((close, task)) = self.running.take() {
            let _ = close.send(true);
            task.abort();
        }
    }
}

async fn accept(listener: TcpListener, handler: Handler, closed: watch::Receiver<bool>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let mut closed = closed.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { response.await.ok_or("the handler closed the connection") }
            });
            let builder = auto::Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => {}
                _ = closed.wait_for(|closed| *closed) => {}
            }
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn respond(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Returns an error response which states that the request was not executed.
fn not_executed(status: u16) -> Response<Body> {
    let mut response = respond(status, r#"{"run":"none"}"#);
    let none = hyper::header::HeaderValue::from_static("none");
    response.headers_mut().insert("x-run", none);
    response
}

async fn read_json<T: for<'a> Deserialize<'a>>(request: Request<Incoming>) -> Option<T> {
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

/// HTTP server of a simulated model engine.
pub struct EngineServer {
    shared: Arc<EngineShared>,
    listener: tokio::sync::Mutex<Listener>,
    address: SocketAddr,
}

struct EngineShared {
    engine: Mutex<Engine>,
    /// Channel to the open stream of each generation id.
    readers: Mutex<HashMap<u64, mpsc::UnboundedSender<Emission>>>,
    /// Senders of silenced streams, kept so that the streams stay open.
    silenced: Mutex<Vec<mpsc::UnboundedSender<Emission>>>,
    /// Wakes the step loop when a request was submitted.
    submitted: Notify,
    /// Notified when the engine crashed in a step.
    crashed: Notify,
    /// Zero of the engine's clock.
    origin: Instant,
}

#[derive(Deserialize)]
struct GenerateRequest {
    attempt: u64,
    prompt: String,
    prompt_tokens: u32,
    limit: Option<u32>,
    priority: u8,
    prefixes: Vec<u64>,
}

#[derive(Deserialize)]
struct ResumeRequest {
    attempt: u64,
    from: u32,
}

#[derive(Deserialize)]
struct CancelRequest {
    attempt: u64,
}

#[derive(Deserialize)]
struct OrderRequest {
    fence: u64,
    setup: BTreeMap<String, String>,
}

impl EngineServer {
    /// Starts a server for an engine. The engine's clock counts from `origin`.
    ///
    /// # Errors
    ///
    /// Returns an error if listening on the address fails.
    pub async fn start(
        address: SocketAddr,
        engine: Engine,
        origin: Instant,
    ) -> anyhow::Result<Arc<EngineServer>> {
        let shared = Arc::new(EngineShared {
            engine: Mutex::new(engine),
            readers: Mutex::new(HashMap::new()),
            silenced: Mutex::new(Vec::new()),
            submitted: Notify::new(),
            crashed: Notify::new(),
            origin,
        });
        let listener = Listener::open(address, engine_handler(&shared)).await?;
        let server = Arc::new(EngineServer {
            address: listener.address,
            listener: tokio::sync::Mutex::new(listener),
            shared: shared.clone(),
        });
        tokio::spawn(step_engine(shared));
        let watched = server.clone();
        tokio::spawn(async move {
            loop {
                watched.shared.crashed.notified().await;
                watched.crash().await;
            }
        });
        Ok(server)
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls a function on the engine, under its lock.
    pub fn with<T>(&self, f: impl FnOnce(&mut Engine) -> T) -> T {
        f(&mut lock(&self.shared.engine))
    }

    /// Crashes the simulated server and closes all connections.
    pub async fn crash(&self) {
        lock(&self.shared.engine).crash();
        lock(&self.shared.readers).clear();
        lock(&self.shared.silenced).clear();
        self.listener.lock().await.close();
    }

    /// Closes all connections and restarts the simulated server, with the next boot id, at the same
    /// address.
    ///
    /// # Errors
    ///
    /// Returns an error if listening on the address fails.
    pub async fn restart(&self) -> anyhow::Result<()> {
        let mut listener = self.listener.lock().await;
        listener.close();
        lock(&self.shared.engine).restart();
        *listener = reopen(self.address, engine_handler(&self.shared)).await?;
        Ok(())
    }

    /// Stops sending on all open streams without closing them, as if a proxy on the way had dropped
    /// the connection's state.
    pub fn silence(&self) {
        let readers = std::mem::take(&mut *lock(&self.shared.readers));
        lock(&self.shared.silenced).extend(readers.into_values());
    }
}

/// Listens again on an address that was just closed. Retries for about a second, since the address
/// may still be in use.
async fn reopen(address: SocketAddr, handler: Handler) -> anyhow::Result<Listener> {
    let mut retries = 0;
    loop {
        match Listener::open(address, handler.clone()).await {
            Ok(listener) => return Ok(listener),
            Err(error) if retries >= 50 => return Err(error),
            Err(_) => retries += 1,
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn step_engine(shared: Arc<EngineShared>) {
    loop {
        let next = lock(&shared.engine).next_step();
        let Some(next) = next else {
            shared.submitted.notified().await;
            continue;
        };
        tokio::time::sleep_until((shared.origin + next).into()).await;
        let emissions = lock(&shared.engine).step(shared.origin.elapsed());
        let readers = lock(&shared.readers);
        for emission in emissions {
            match &emission {
                Emission::Token { generation, .. } | Emission::End { generation, .. } => {
                    if let Some(reader) = readers.get(generation) {
                        let _ = reader.send(emission);
                    }
                }
                Emission::Crash => shared.crashed.notify_one(),
            }
        }
    }
}

fn engine_handler(shared: &Arc<EngineShared>) -> Handler {
    let shared = shared.clone();
    Arc::new(move |request| Box::pin(serve_engine(shared.clone(), request)))
}

async fn serve_engine(
    shared: Arc<EngineShared>,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let now = shared.origin.elapsed();
    match request.uri().path() {
        "/generate" => {
            let body: GenerateRequest = read_json(request).await?;
            Some(generate(&shared, body))
        }
        "/resume" => {
            let body: ResumeRequest = read_json(request).await?;
            Some(resume(&shared, &body))
        }
        "/cancel" => {
            let body: CancelRequest = read_json(request).await?;
            let mut engine = lock(&shared.engine);
            if let Some(generation) = engine.find_by_attempt(body.attempt) {
                engine.cancel(generation);
                lock(&shared.readers).remove(&generation);
            }
            Some(respond(200, "{}"))
        }
        "/load" => Some(engine_load(&shared, now)),
        "/order" => {
            let body: OrderRequest = read_json(request).await?;
            let accepted = lock(&shared.engine).apply_order(now, body.fence, body.setup);
            Some(respond(if accepted { 200 } else { 409 }, "{}"))
        }
        _ => Some(respond(404, "{}")),
    }
}

fn generate(shared: &Arc<EngineShared>, body: GenerateRequest) -> Response<Body> {
    let marker = Marker::from_text(&body.prompt);
    let request = engine::GenerationRequest {
        attempt: body.attempt,
        marker,
        prompt_tokens: body.prompt_tokens,
        max_tokens: body.limit.unwrap_or(u32::MAX),
        priority: body.priority,
        prefixes: body.prefixes,
    };
    let mut engine = lock(&shared.engine);
    let Ok(generation) = engine.submit(shared.origin.elapsed(), request) else {
        return not_executed(503);
    };
    let (sender, receiver) = mpsc::unbounded_channel();
    lock(&shared.readers).insert(generation, sender);
    drop(engine);
    shared.submitted.notify_one();
    stream(shared.clone(), generation, receiver)
}

fn resume(shared: &Arc<EngineShared>, body: &ResumeRequest) -> Response<Body> {
    let mut engine = lock(&shared.engine);
    let boot = engine.boot();
    let id = engine.find_by_attempt(body.attempt);
    let resumed = id.and_then(|id| Some((id, engine.resume(id, body.from)?)));
    let Some((generation, missed)) = resumed else {
        return respond(410, json!({ "boot": boot }).to_string());
    };
    let (sender, receiver) = mpsc::unbounded_channel();
    for emission in missed {
        let _ = sender.send(emission);
    }
    lock(&shared.readers).insert(generation, sender);
    drop(engine);
    stream(shared.clone(), generation, receiver)
}

/// Returns a response that streams a generation: a line of JSON for each token and one for the end.
/// The generation loses its reader when the response body is dropped.
fn stream(
    shared: Arc<EngineShared>,
    generation: u64,
    receiver: mpsc::UnboundedReceiver<Emission>,
) -> Response<Body> {
    struct GenerationReader(Arc<EngineShared>, u64, mpsc::UnboundedReceiver<Emission>);
    impl Drop for GenerationReader {
        fn drop(&mut self) {
            let now = self.0.origin.elapsed();
            lock(&self.0.engine).detach_reader(now, self.1);
        }
    }
    let mut reader = GenerationReader(shared, generation, receiver);
    let mut ended = false;
    let frames = poll_fn_stream(move |context| {
        if ended {
            return std::task::Poll::Ready(None);
        }
        reader.2.poll_recv(context).map(|emission| {
            let line = match emission? {
                Emission::Token {
                    generation,
                    index,
                    text,
                } => format!("{{\"g\":{generation},\"i\":{index},\"t\":\"{text}\"}}\n"),
                Emission::End { generation, total } => {
                    ended = true;
                    format!("{{\"g\":{generation},\"n\":{total}}}\n")
                }
                Emission::Crash => return None,
            };
            Some(Ok(Frame::data(Bytes::from(line))))
        })
    });
    Response::new(StreamBody::new(frames).boxed())
}

type FrameResult = Result<Frame<Bytes>, Infallible>;

/// A stream of body frames that calls a polling function.
struct FrameStream(PollFrame);

type PollFrame = Box<
    dyn FnMut(&mut std::task::Context<'_>) -> std::task::Poll<Option<FrameResult>> + Send + Sync,
>;

impl futures_core::Stream for FrameStream {
    type Item = FrameResult;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<FrameResult>> {
        (self.0)(context)
    }
}

fn poll_fn_stream(
    poll: impl FnMut(&mut std::task::Context<'_>) -> std::task::Poll<Option<FrameResult>>
    + Send
    + Sync
    + 'static,
) -> FrameStream {
    FrameStream(Box::new(poll))
}

fn engine_load(shared: &EngineShared, now: Duration) -> Response<Body> {
    let mut engine = lock(&shared.engine);
    let Some(load) = engine.load(now) else {
        return respond(503, "{}");
    };
    let (first_event, events) = engine.events();
    let body = json!({
        "boot": load.boot,
        "running": load.running,
        "waiting": load.waiting,
        "used": load.used,
        "capacity": load.capacity,
        "preemptions": load.preemptions,
        "served": load.served,
        "leaving": load.leaving,
        "cold": load.cold,
        "ready": engine.is_ready(now),
        "setup": engine.setup(),
        "first_event": first_event,
        "events": events,
    });
    respond(200, body.to_string())
}

/// HTTP server of a simulated plain service.
pub struct PlainServer {
    shared: Arc<PlainShared>,
    listener: tokio::sync::Mutex<Listener>,
    address: SocketAddr,
}

struct PlainShared {
    plain: Mutex<PlainService>,
    /// Whether calls are started but never answered.
    silent: Mutex<bool>,
    /// Zero of the service's clock.
    origin: Instant,
}

impl PlainServer {
    /// Starts a server for a plain service. The service's clock counts from `origin`.
    ///
    /// # Errors
    ///
    /// Returns an error if listening on the address fails.
    pub async fn start(
        address: SocketAddr,
        plain: PlainService,
        origin: Instant,
    ) -> anyhow::Result<Arc<PlainServer>> {
        let shared = Arc::new(PlainShared {
            plain: Mutex::new(plain),
            silent: Mutex::new(false),
            origin,
        });
        let listener = Listener::open(address, plain_handler(&shared)).await?;
        Ok(Arc::new(PlainServer {
            address: listener.address,
            listener: tokio::sync::Mutex::new(listener),
            shared,
        }))
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls a function on the service, under its lock.
    pub fn with<T>(&self, f: impl FnOnce(&mut PlainService) -> T) -> T {
        f(&mut lock(&self.shared.plain))
    }

    /// Crashes the simulated server and closes all connections.
    pub async fn crash(&self) {
        lock(&self.shared.plain).crash();
        self.listener.lock().await.close();
    }

    /// Closes all connections and restarts the simulated server, with the next boot id, at the same
    /// address.
    ///
    /// # Errors
    ///
    /// Returns an error if listening on the address fails.
    pub async fn restart(&self) -> anyhow::Result<()> {
        let mut listener = self.listener.lock().await;
        listener.close();
        lock(&self.shared.plain).restart();
        *listener = reopen(self.address, plain_handler(&self.shared)).await?;
        Ok(())
    }

    /// Sets whether new calls are started but never answered.
    pub fn set_silent(&self, silent: bool) {
        *lock(&self.shared.silent) = silent;
    }
}

fn plain_handler(shared: &Arc<PlainShared>) -> Handler {
    let shared = shared.clone();
    Arc::new(move |request| Box::pin(serve_plain(shared.clone(), request)))
}

async fn serve_plain(
    shared: Arc<PlainShared>,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    if request.uri().path() == "/load" {
        let load = lock(&shared.plain).load()?;
        let body = json!({
            "boot": load.boot,
            "running": load.running,
            "served": load.served,
            "leaving": load.leaving,
            "cold": load.cold,
            "ready": true,
        });
        return Some(respond(200, body.to_string()));
    }
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    let marker = Marker::from_text(&String::from_utf8_lossy(&bytes));
    let now = shared.origin.elapsed();
    let started = lock(&shared.plain).start(now, &marker);
    let Some((call, end)) = started else {
        return Some(not_executed(503));
    };
    if *lock(&shared.silent) {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep_until((shared.origin + end).into()).await;
    let completed = lock(&shared.plain).end(call);
    completed.then(|| respond(200, format!("{{\"done\":\"{:x}\"}}", marker.request)))
}

/// HTTP server of the simulated platform.
pub struct PlatformServer {
    shared: Arc<PlatformShared>,
    address: SocketAddr,
    _listener: Listener,
}

struct PlatformShared {
    platform: Mutex<Platform>,
    rng: Mutex<fastrand::Rng>,
    origin: Instant,
}

impl PlatformServer {
    /// Starts an empty platform. The seed determines which write answers are lost by a fault.
    ///
    /// # Errors
    ///
    /// Returns an error if listening on the address fails.
    pub async fn start(address: SocketAddr, seed: u64) -> anyhow::Result<Arc<PlatformServer>> {
        let shared = Arc::new(PlatformShared {
            platform: Mutex::new(Platform::default()),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            origin: Instant::now(),
        });
        let handler_shared = shared.clone();
        let handler: Handler =
            Arc::new(move |request| Box::pin(serve_platform(handler_shared.clone(), request)));
        let listener = Listener::open(address, handler).await?;
        Ok(Arc::new(PlatformServer {
            address: listener.address,
            shared,
            _listener: listener,
        }))
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls a function on the platform, under its lock.
    pub fn with<T>(&self, f: impl FnOnce(&mut Platform) -> T) -> T {
        f(&mut lock(&self.shared.platform))
    }
}

async fn serve_platform(
    shared: Arc<PlatformShared>,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let faults = lock(&shared.platform).faults;
    if faults.down {
        return Some(not_executed(503));
    }
    if request.uri().path() == "/list" {
        let list = serde_json::to_string(lock(&shared.platform).list()).ok()?;
        return Some(respond(200, list));
    }
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    let call: store::Call = postcard::from_bytes(&bytes).ok()?;
    let started = Instant::now();
    let mut answer = lock(&shared.platform).call(shared.origin.elapsed(), &call);
    while answer == store::Answer::Unchanged && started.elapsed() < WATCH_TIMEOUT {
        tokio::time::sleep(WATCH_CHECK_INTERVAL).await;
        let mut platform = lock(&shared.platform);
        if platform.faults.down {
            return None;
        }
        answer = platform.call(shared.origin.elapsed(), &call);
        // A watch counts as one read, however often this loop checks the key.
        platform.counts.reads -= u64::from(answer == store::Answer::Unchanged);
    }
    tokio::time::sleep(faults.answer_delay).await;
    let lost = lock(&shared.rng).f64() < faults.lost_answers;
    if lost && !call.is_read() {
        return None;
    }
    Some(respond(200, postcard::to_stdvec(&answer).ok()?))
}
