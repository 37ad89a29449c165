//! All of them on sockets.

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
use crate::plain::Plain;
use crate::platform::Platform;
use crate::token::Marker;

/// A body of any kind.
type Body = BoxBody<Bytes, Infallible>;
/// What a handler returns: a response, or nothing where the connection is cut.
type Reply = Pin<Box<dyn Future<Output = Option<Response<Body>>> + Send>>;
type Handler = Arc<dyn Fn(Request<Incoming>) -> Reply + Send + Sync>;

/// Longest wait of a watch.
const WATCH_TIME: Duration = Duration::from_secs(8);
/// Time between two looks of a watch.
const WATCH_PERIOD: Duration = Duration::from_millis(10);

/// A listener that can be stopped and started anew at the same address.
#[derive(Debug)]
struct Door {
    address: SocketAddr,
    open: Option<(watch::Sender<bool>, JoinHandle<()>)>,
}

impl Door {
    async fn open(address: SocketAddr, handler: Handler) -> anyhow::Result<Door> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (close, closed) = watch::channel(false);
        let task = tokio::spawn(accept(listener, handler, closed));
        Ok(Door {
            address,
            open: Some((close, task)),
        })
    }

    /// Cuts all connections and refuses new ones.
    fn close(&mut self) {
        if let Some((close, task)) = self.open.take() {
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
                let reply = handler(request);
                async move { reply.await.ok_or("cut") }
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

fn full(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// The answer that says that nothing was run.
fn not_run(status: u16) -> Response<Body> {
    let mut response = full(status, r#"{"run":"none"}"#);
    let none = hyper::header::HeaderValue::from_static("none");
    response.headers_mut().insert("x-run", none);
    response
}

async fn read<T: for<'a> Deserialize<'a>>(request: Request<Incoming>) -> Option<T> {
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

/// A model engine on a socket.
pub struct EngineServer {
    shared: Arc<EngineShared>,
    door: tokio::sync::Mutex<Door>,
    address: SocketAddr,
}

struct EngineShared {
    engine: Mutex<Engine>,
    readers: Mutex<HashMap<u64, mpsc::UnboundedSender<Emission>>>,
    silent: Mutex<Vec<mpsc::UnboundedSender<Emission>>>,
    kick: Notify,
    crashed: Notify,
    origin: Instant,
}

#[derive(Deserialize)]
struct Generate {
    attempt: u64,
    prompt: String,
    prompt_tokens: u32,
    limit: Option<u32>,
    priority: u8,
    prefixes: Vec<u64>,
}

#[derive(Deserialize)]
struct Resume {
    attempt: u64,
    from: u32,
}

#[derive(Deserialize)]
struct Cancel {
    attempt: u64,
}

#[derive(Deserialize)]
struct Order {
    fence: u64,
    setup: BTreeMap<String, String>,
}

impl EngineServer {
    /// Starts an engine. Times in its record count from the origin.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub async fn start(
        address: SocketAddr,
        engine: Engine,
        origin: Instant,
    ) -> anyhow::Result<Arc<EngineServer>> {
        let shared = Arc::new(EngineShared {
            engine: Mutex::new(engine),
            readers: Mutex::new(HashMap::new()),
            silent: Mutex::new(Vec::new()),
            kick: Notify::new(),
            crashed: Notify::new(),
            origin,
        });
        let door = Door::open(address, engine_handler(&shared)).await?;
        let server = Arc::new(EngineServer {
            address: door.address,
            door: tokio::sync::Mutex::new(door),
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

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Looks at the engine, or changes it.
    pub fn with<T>(&self, f: impl FnOnce(&mut Engine) -> T) -> T {
        f(&mut lock(&self.shared.engine))
    }

    /// Loses all that it holds and cuts all connections.
    pub async fn crash(&self) {
        lock(&self.shared.engine).crash();
        lock(&self.shared.readers).clear();
        lock(&self.shared.silent).clear();
        self.door.lock().await.close();
    }

    /// Starts a new life at the same address.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub async fn restart(&self) -> anyhow::Result<()> {
        let mut door = self.door.lock().await;
        door.close();
        lock(&self.shared.engine).restart();
        *door = open_again(self.address, engine_handler(&self.shared)).await?;
        Ok(())
    }

    /// Lets all open streams go silent, as if something between had lost track of them.
    pub fn silence(&self) {
        let readers = std::mem::take(&mut *lock(&self.shared.readers));
        lock(&self.shared.silent).extend(readers.into_values());
    }
}

/// Listens on an address that was in use a moment ago.
async fn open_again(address: SocketAddr, handler: Handler) -> anyhow::Result<Door> {
    let mut tries = 0;
    loop {
        match Door::open(address, handler.clone()).await {
            Ok(door) => return Ok(door),
            Err(error) if tries >= 50 => return Err(error),
            Err(_) => tries += 1,
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn step_engine(shared: Arc<EngineShared>) {
    loop {
        let next = lock(&shared.engine).next_step();
        let Some(next) = next else {
            shared.kick.notified().await;
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
            let asked: Generate = read(request).await?;
            Some(generate(&shared, asked))
        }
        "/resume" => {
            let asked: Resume = read(request).await?;
            Some(resume(&shared, &asked))
        }
        "/cancel" => {
            let asked: Cancel = read(request).await?;
            let mut engine = lock(&shared.engine);
            if let Some(generation) = engine.find(asked.attempt) {
                engine.cancel(generation);
                lock(&shared.readers).remove(&generation);
            }
            Some(full(200, "{}"))
        }
        "/load" => Some(engine_load(&shared, now)),
        "/order" => {
            let order: Order = read(request).await?;
            let obeyed = lock(&shared.engine).order(now, order.fence, order.setup);
            Some(full(if obeyed { 200 } else { 409 }, "{}"))
        }
        _ => Some(full(404, "{}")),
    }
}

fn generate(shared: &Arc<EngineShared>, asked: Generate) -> Response<Body> {
    let marker = Marker::from_text(&asked.prompt);
    let ask = engine::Ask {
        attempt: asked.attempt,
        marker,
        prompt: asked.prompt_tokens,
        limit: asked.limit.unwrap_or(u32::MAX),
        priority: asked.priority,
        prefixes: asked.prefixes,
    };
    let mut engine = lock(&shared.engine);
    let Ok(generation) = engine.submit(shared.origin.elapsed(), ask) else {
        return not_run(503);
    };
    let (sender, receiver) = mpsc::unbounded_channel();
    lock(&shared.readers).insert(generation, sender);
    drop(engine);
    shared.kick.notify_one();
    stream(shared.clone(), generation, receiver)
}

fn resume(shared: &Arc<EngineShared>, asked: &Resume) -> Response<Body> {
    let mut engine = lock(&shared.engine);
    let boot = engine.boot();
    let found = engine.find(asked.attempt);
    let missed = found.and_then(|id| Some((id, engine.resume(id, asked.from)?)));
    let Some((generation, missed)) = missed else {
        return full(410, json!({ "boot": boot }).to_string());
    };
    let (sender, receiver) = mpsc::unbounded_channel();
    for emission in missed {
        let _ = sender.send(emission);
    }
    lock(&shared.readers).insert(generation, sender);
    drop(engine);
    stream(shared.clone(), generation, receiver)
}

/// The body of a generation: one line of JSON for each token and one for the end.
fn stream(
    shared: Arc<EngineShared>,
    generation: u64,
    receiver: mpsc::UnboundedReceiver<Emission>,
) -> Response<Body> {
    struct Reading(Arc<EngineShared>, u64, mpsc::UnboundedReceiver<Emission>);
    impl Drop for Reading {
        fn drop(&mut self) {
            let now = self.0.origin.elapsed();
            lock(&self.0.engine).unread(now, self.1);
        }
    }
    let mut reading = Reading(shared, generation, receiver);
    let mut ended = false;
    let frames = futures_stream(move |context| {
        if ended {
            return std::task::Poll::Ready(None);
        }
        reading.2.poll_recv(context).map(|emission| {
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

/// A stream of frames from a polling function.
struct Frames(FramesFn);

type FramesFn = Box<
    dyn FnMut(&mut std::task::Context<'_>) -> std::task::Poll<Option<FrameResult>> + Send + Sync,
>;

impl futures_core::Stream for Frames {
    type Item = FrameResult;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<FrameResult>> {
        (self.0)(context)
    }
}

fn futures_stream(
    poll: impl FnMut(&mut std::task::Context<'_>) -> std::task::Poll<Option<FrameResult>>
    + Send
    + Sync
    + 'static,
) -> Frames {
    Frames(Box::new(poll))
}

fn engine_load(shared: &EngineShared, now: Duration) -> Response<Body> {
    let mut engine = lock(&shared.engine);
    let Some(load) = engine.load(now) else {
        return full(503, "{}");
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
    full(200, body.to_string())
}

/// A plain service on a socket.
pub struct PlainServer {
    shared: Arc<PlainShared>,
    door: tokio::sync::Mutex<Door>,
    address: SocketAddr,
}

struct PlainShared {
    plain: Mutex<Plain>,
    silent: Mutex<bool>,
    origin: Instant,
}

impl PlainServer {
    /// Starts a plain service. Times in its record count from the origin.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub async fn start(
        address: SocketAddr,
        plain: Plain,
        origin: Instant,
    ) -> anyhow::Result<Arc<PlainServer>> {
        let shared = Arc::new(PlainShared {
            plain: Mutex::new(plain),
            silent: Mutex::new(false),
            origin,
        });
        let door = Door::open(address, plain_handler(&shared)).await?;
        Ok(Arc::new(PlainServer {
            address: door.address,
            door: tokio::sync::Mutex::new(door),
            shared,
        }))
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Looks at the service, or changes it.
    pub fn with<T>(&self, f: impl FnOnce(&mut Plain) -> T) -> T {
        f(&mut lock(&self.shared.plain))
    }

    /// Loses all that it holds and cuts all connections.
    pub async fn crash(&self) {
        lock(&self.shared.plain).crash();
        self.door.lock().await.close();
    }

    /// Starts a new life at the same address.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub async fn restart(&self) -> anyhow::Result<()> {
        let mut door = self.door.lock().await;
        door.close();
        lock(&self.shared.plain).restart();
        *door = open_again(self.address, plain_handler(&self.shared)).await?;
        Ok(())
    }

    /// Makes calls run without ever being answered, or ends that.
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
        return Some(full(200, body.to_string()));
    }
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    let marker = Marker::from_text(&String::from_utf8_lossy(&bytes));
    let now = shared.origin.elapsed();
    let started = lock(&shared.plain).start(now, &marker);
    let Some((call, end)) = started else {
        return Some(not_run(503));
    };
    if *lock(&shared.silent) {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep_until((shared.origin + end).into()).await;
    let whole = lock(&shared.plain).end(call);
    whole.then(|| full(200, format!("{{\"done\":\"{:x}\"}}", marker.request)))
}

/// The platform on a socket.
pub struct PlatformServer {
    shared: Arc<PlatformShared>,
    address: SocketAddr,
    _door: Door,
}

struct PlatformShared {
    platform: Mutex<Platform>,
    rng: Mutex<fastrand::Rng>,
    origin: Instant,
}

impl PlatformServer {
    /// Starts a platform.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub async fn start(address: SocketAddr, seed: u64) -> anyhow::Result<Arc<PlatformServer>> {
        let shared = Arc::new(PlatformShared {
            platform: Mutex::new(Platform::default()),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            origin: Instant::now(),
        });
        let held = shared.clone();
        let handler: Handler =
            Arc::new(move |request| Box::pin(serve_platform(held.clone(), request)));
        let door = Door::open(address, handler).await?;
        Ok(Arc::new(PlatformServer {
            address: door.address,
            shared,
            _door: door,
        }))
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Looks at the platform, or changes it.
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
        return Some(not_run(503));
    }
    if request.uri().path() == "/list" {
        let list = serde_json::to_string(lock(&shared.platform).list()).ok()?;
        return Some(full(200, list));
    }
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    let call: store::Call = postcard::from_bytes(&bytes).ok()?;
    let started = Instant::now();
    let mut answer = lock(&shared.platform).call(shared.origin.elapsed(), &call);
    while answer == store::Answer::Nothing && started.elapsed() < WATCH_TIME {
        tokio::time::sleep(WATCH_PERIOD).await;
        let mut platform = lock(&shared.platform);
        if platform.faults.down {
            return None;
        }
        answer = platform.call(shared.origin.elapsed(), &call);
        // A waiting watch is one call, however often this stand-in looks.
        platform.counts.reads -= u64::from(answer == store::Answer::Nothing);
    }
    tokio::time::sleep(faults.slow).await;
    let lost = lock(&shared.rng).f64() < faults.lost_answers;
    if lost && !call.is_read() {
        return None;
    }
    Some(full(200, postcard::to_stdvec(&answer).ok()?))
}
