//! Callers' connections, with their limits on time and size.
//!
//! Two timeouts apply to a connection between requests: the idle timeout until the first byte of
//! the next request, and the shorter header timeout from that byte to the end of the request's
//! headers. Hyper's header timeout starts at the end of the previous response and would include the
//! idle time, so this module checks both timeouts itself, once per `CHECK_INTERVAL`.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gateway::connection::detect_dead_peer;
use gateway::observed::ObservedStream;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::relay;
use crate::relay::RelayContext;
use crate::relay::ResponseBody;

/// Time between two checks of a connection's timeouts.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failure to accept a connection. The usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time from the beginning of a shutdown until idle connections are closed, so that a request
/// already in transit on one of them is still served.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(1_500);
/// Buffer space of a connection beyond the maximum size of the headers, in bytes.
const BUFFER_MARGIN_BYTES: usize = 8 * 1_024;
/// Time from the beginning of [`Phase::Answering`] after which a request that the decider has not
/// ended is answered without it.
const ANSWER_DELAY: Duration = Duration::from_millis(150);

/// Phase of the listener's shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// Connections and requests are accepted.
    Open,
    /// Connections and requests are accepted, and each response asks the caller to close its
    /// connection.
    Closing,
    /// No new connections are accepted.
    Closed,
    /// The same, and all open requests are answered, whether or not they have ended.
    Answering,
}

/// Accepts connections until [`Phase::Closed`], then waits until all accepted connections have
/// ended.
pub async fn serve(
    listener: TcpListener,
    context: Arc<RelayContext>,
    mut phase: watch::Receiver<Phase>,
) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase >= Phase::Closed) => break,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(stream, context.clone(), phase.clone()));
            }
            Err(error) => {
                log::warn!("entry: Can't accept a connection: {error}.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Connections that were established before are in the kernel's queue, which would reset them.
    for stream in established(listener) {
        connections.spawn(serve_connection(stream, context.clone(), phase.clone()));
    }
    while connections.join_next().await.is_some() {}
}

/// Closes a listener and returns the connections that were established but not accepted yet.
pub fn established(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    let accepting = || -> io::Result<()> {
        let listener = listener.into_std()?;
        loop {
            let (stream, _) = listener.accept()?;
            stream.set_nonblocking(true)?;
            streams.push(TcpStream::from_std(stream)?);
        }
    };
    match accepting() {
        Err(error) if error.kind() != io::ErrorKind::WouldBlock => {
            log::warn!("entry: Can't accept a connection during the shutdown: {error}.");
        }
        _ => {}
    }
    streams
}

async fn serve_connection(
    stream: TcpStream,
    context: Arc<RelayContext>,
    mut phase: watch::Receiver<Phase>,
) {
    detect_dead_peer(&stream);
    let limits = context.status.borrow().config.limits;
    let state = Arc::new(ConnectionState::default());
    let (read_state, clock) = (state.clone(), context.clock.clone());
    let io = ObservedStream::new(stream, move |_| {
        read_state.record_read(clock.now());
        Ok(())
    });
    let closing_phase = phase.clone();
    let service = {
        let (context, state) = (context.clone(), state.clone());
        service_fn(move |request: Request<Incoming>| {
            let (context, state) = (context.clone(), state.clone());
            let closing_phase = closing_phase.clone();
            async move {
                let guard = state.begin_request();
                let closing_before = *closing_phase.borrow() != Phase::Open;
                let answering = wait_for_answering(closing_phase.clone());
                let serving = relay::serve_request(context, request, guard, answering);
                let mut response = tokio::select! {
                    biased;
                    response = serving => response,
                    () = answer_late(closing_phase.clone()) => relay::unanswered(),
                };
                if closing_before || *closing_phase.borrow() != Phase::Open {
                    let value = hyper::header::HeaderValue::from_static("close");
                    response
                        .headers_mut()
                        .insert(hyper::header::CONNECTION, value);
                }
                Ok::<Response<ResponseBody>, Infallible>(response)
            }
        })
    };
    let connection = http1::Builder::new()
        .max_buf_size(limits.header_bytes + BUFFER_MARGIN_BYTES)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(io), service);
    tokio::pin!(connection);
    let mut checks = tokio::time::interval(CHECK_INTERVAL);
    let mut close_idle_at = None;
    let answering = wait_for_answering(phase.clone());
    tokio::pin!(answering);
    let mut is_answering = false;
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = &mut answering, if !is_answering => {
                is_answering = true;
                connection.as_mut().graceful_shutdown();
            }
            _ = checks.tick() => {
                let now = context.clock.now();
                let limits = context.status.borrow().config.limits;
                match state.check_timeouts(now, limits) {
                    TimeoutCheck::WithinLimits => {}
                    TimeoutCheck::Idle => connection.as_mut().graceful_shutdown(),
                    TimeoutCheck::SlowHeaders => {
                        log::info!(
                            "entry: Connection closed, request headers incomplete after {} ms.",
                            limits.header_ms
                        );
                        return;
                    }
                }
                if close_idle_at.is_some_and(|at| now >= at) {
                    connection.as_mut().graceful_shutdown();
                }
            }
            Ok(_) = phase.wait_for(|phase| *phase != Phase::Open), if close_idle_at.is_none() => {
                close_idle_at = Some(context.clock.now() + IDLE_CLOSE_DELAY);
            }
        }
    }
}

/// Waits until all open requests are to be answered.
async fn wait_for_answering(mut phase: watch::Receiver<Phase>) {
    if phase
        .wait_for(|phase| *phase == Phase::Answering)
        .await
        .is_err()
    {
        // The process ends without a shutdown.
        std::future::pending::<()>().await;
    }
}

/// Waits until a request that is still open must be answered without the decider.
async fn answer_late(phase: watch::Receiver<Phase>) {
    wait_for_answering(phase).await;
    tokio::time::sleep(ANSWER_DELAY).await;
    log::warn!("entry: Request answered without its outcome at the end of the shutdown.");
}

/// The state of a connection that its timeouts depend on.
#[derive(Debug, Default)]
pub struct ConnectionState {
    busy: AtomicBool,
    /// Time when the last request ended, in milliseconds of the clock; 0 until the first check.
    idle_since_ms: AtomicU64,
    /// Time when the first byte of the next request arrived, in milliseconds of the clock; 0 if
    /// none has.
    header_since_ms: AtomicU64,
}

enum TimeoutCheck {
    WithinLimits,
    Idle,
    SlowHeaders,
}

/// Marks a connection as busy with a request until dropped, so that no timeout applies.
#[derive(Debug)]
pub struct BusyGuard {
    state: Arc<ConnectionState>,
}

impl BusyGuard {
    /// Ends the request. The idle timeout starts at `now`.
    pub fn finish(self, now: clock::Time) {
        self.state
            .idle_since_ms
            .store(millis(now), Ordering::Relaxed);
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.state.header_since_ms.store(0, Ordering::Relaxed);
        self.state.busy.store(false, Ordering::Relaxed);
    }
}

impl ConnectionState {
    fn begin_request(self: &Arc<ConnectionState>) -> BusyGuard {
        self.busy.store(true, Ordering::Relaxed);
        BusyGuard {
            state: self.clone(),
        }
    }

    fn record_read(&self, now: clock::Time) {
        if self.busy.load(Ordering::Relaxed) {
            return;
        }
        let at = millis(now).max(1);
        let _ = self
            .header_since_ms
            .compare_exchange(0, at, Ordering::Relaxed, Ordering::Relaxed);
    }

    fn check_timeouts(&self, now: clock::Time, limits: conf::Limits) -> TimeoutCheck {
        if self.busy.load(Ordering::Relaxed) {
            return TimeoutCheck::WithinLimits;
        }
        let now = millis(now);
        let header_since = self.header_since_ms.load(Ordering::Relaxed);
        if header_since > 0 {
            let slow = now.saturating_sub(header_since) > limits.header_ms;
            return if slow {
                TimeoutCheck::SlowHeaders
            } else {
                TimeoutCheck::WithinLimits
            };
        }
        let idle_since = self.idle_since_ms.load(Ordering::Relaxed);
        if idle_since == 0 {
            self.idle_since_ms.store(now.max(1), Ordering::Relaxed);
            return TimeoutCheck::WithinLimits;
        }
        if now.saturating_sub(idle_since) > limits.idle_ms {
            return TimeoutCheck::Idle;
        }
        TimeoutCheck::WithinLimits
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
