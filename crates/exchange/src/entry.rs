//! Callers' connections, with their limits on time and size.
//!
//! A connection that waits for its next request may stay idle for the configured time; from the first
//! byte of a header to its end there is a shorter one. The library's own bound on the header's time
//! begins at the end of the last answer, so both are kept here instead, by a look at the connection
//! from time to time.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::link;
use crate::relay;
use crate::relay::Body;
use crate::relay::Shared;

/// Time between two looks at a connection.
const LOOK: Duration = Duration::from_secs(1);
/// Pause after a connection could not be accepted: out of descriptors, most likely.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time that idle connections are left open when the process is to end. A request that is on its way
/// on one of them is still served.
const FAREWELL: Duration = Duration::from_millis(1_500);
/// What a buffer holds beside the greatest header, in bytes.
const BUFFER_SPARE: usize = 8 * 1_024;

/// Whether callers are still taken, and when to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Callers are served.
    Open,
    /// Callers are served, and asked to use another connection next time.
    Closing,
    /// No more callers are taken.
    Closed,
}

/// Serves callers until there are to be no more, and then until the last one has its answer.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, mut phase: watch::Receiver<Phase>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closed) => break,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve_one(stream, shared.clone(), phase.clone()));
            }
            Err(error) => {
                log::warn!("entry: Can't accept a connection: {error}.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_one(stream: TcpStream, shared: Arc<Shared>, mut phase: watch::Receiver<Phase>) {
    link::watch_for_silence(&stream);
    let limits = shared.status.borrow().config.limits;
    let traffic = Arc::new(Traffic::default());
    let io = Watched {
        stream,
        traffic: traffic.clone(),
        shared: shared.clone(),
    };
    let closing = phase.clone();
    let service = {
        let (shared, traffic) = (shared.clone(), traffic.clone());
        service_fn(move |request: Request<Incoming>| {
            let (shared, traffic) = (shared.clone(), traffic.clone());
            let closing = closing.clone();
            async move {
                let busy = traffic.begin();
                let closes = *closing.borrow() != Phase::Open;
                let mut response = relay::answer(shared, request, busy).await;
                if closes || *closing.borrow() != Phase::Open {
                    let value = hyper::header::HeaderValue::from_static("close");
                    response
                        .headers_mut()
                        .insert(hyper::header::CONNECTION, value);
                }
                Ok::<Response<Body>, Infallible>(response)
            }
        })
    };
    let connection = http1::Builder::new()
        .max_buf_size(limits.header_bytes + BUFFER_SPARE)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(io), service);
    tokio::pin!(connection);
    let mut look = tokio::time::interval(LOOK);
    let mut farewell = None;
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = look.tick() => {
                let now = shared.clock.now();
                let limits = shared.status.borrow().config.limits;
                match traffic.look(now, limits) {
                    Look::Fine => {}
                    Look::Idle => connection.as_mut().graceful_shutdown(),
                    Look::Slow => {
                        log::info!("entry: A header did not come within {} ms.", limits.header_ms);
                        return;
                    }
                }
                if farewell.is_some_and(|at| now >= at) {
                    connection.as_mut().graceful_shutdown();
                }
            }
            Ok(_) = phase.wait_for(|phase| *phase != Phase::Open), if farewell.is_none() => {
                farewell = Some(shared.clock.now() + FAREWELL);
            }
        }
    }
}

/// What a connection does, as far as its limits ask.
#[derive(Debug, Default)]
pub struct Traffic {
    busy: AtomicBool,
    /// Time of the end of the last answer, in milliseconds of the clock.
    quiet_ms: AtomicU64,
    /// Time of the first byte after it, or zero.
    begun_ms: AtomicU64,
}

enum Look {
    Fine,
    Idle,
    Slow,
}

/// Marks a connection as busy for as long as it lives.
#[derive(Debug)]
pub struct Busy {
    traffic: Arc<Traffic>,
}

impl Busy {
    /// Ends it at a time.
    pub fn end(self, now: clock::Time) {
        self.traffic.quiet_ms.store(millis(now), Ordering::Relaxed);
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.traffic.begun_ms.store(0, Ordering::Relaxed);
        self.traffic.busy.store(false, Ordering::Relaxed);
    }
}

impl Traffic {
    fn begin(self: &Arc<Traffic>) -> Busy {
        self.busy.store(true, Ordering::Relaxed);
        Busy {
            traffic: self.clone(),
        }
    }

    fn record_read(&self, now: clock::Time) {
        if self.busy.load(Ordering::Relaxed) {
            return;
        }
        let at = millis(now).max(1);
        let _ = self
            .begun_ms
            .compare_exchange(0, at, Ordering::Relaxed, Ordering::Relaxed);
    }

    fn look(&self, now: clock::Time, limits: conf::Limits) -> Look {
        if self.busy.load(Ordering::Relaxed) {
            return Look::Fine;
        }
        let now = millis(now);
        let begun = self.begun_ms.load(Ordering::Relaxed);
        if begun > 0 {
            let slow = now.saturating_sub(begun) > limits.header_ms;
            return if slow { Look::Slow } else { Look::Fine };
        }
        let quiet = self.quiet_ms.load(Ordering::Relaxed);
        if quiet == 0 {
            self.quiet_ms.store(now.max(1), Ordering::Relaxed);
            return Look::Fine;
        }
        if now.saturating_sub(quiet) > limits.idle_ms {
            return Look::Idle;
        }
        Look::Fine
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// A stream that notes when bytes come.
struct Watched {
    stream: TcpStream,
    traffic: Arc<Traffic>,
    shared: Arc<Shared>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > before {
            self.traffic.record_read(self.shared.clock.now());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
