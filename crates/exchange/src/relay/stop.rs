//! The call that stops a run at its server, and what its result proves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::Time;
use compact_str::CompactString;
use gateway::partition::Partition;
use hyper::StatusCode;
use tokio::sync::watch;
use tokio::time::Instant;
use wigeon_core::Handle;
use wire::BootId;

use super::Relay;
use super::RelayContext;
use super::millis;
use super::notice::NoticeReporter;
use crate::codec::ReplicateCall;
use crate::connection;
use crate::connection::ConnectionError;

/// Longest time for which a server is asked to stop a run. Its response comes when the run's memory
/// has been copied, and copies are queued.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before a server that has not confirmed the end of a run is asked again for the first time.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(50);
/// Longest pause before it is asked again. Pauses double up to this one.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(400);
/// Time for which a server that is not reached is asked further, since it may be reached again while
/// it still runs the request.
const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before it is asked again.
const BACKGROUND_PAUSE: Duration = Duration::from_millis(200);
/// Number of connections that can't be established after which a server counts as unreachable.
const UNREACHABLE_CONNECTIONS: u32 = 3;

/// What is known of the end of a run.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RunEnd {
    /// The server has stopped the run and copied its memory to the next server.
    Moved(Handle),
    /// The server has stopped the run and keeps its memory, which it could not copy.
    Kept(Handle),
    /// The server knows no such run.
    Absent,
    /// The connection of the attempt has ended, and no process listens at the server's address.
    Gone,
    /// No connection to the server can be established.
    Unreachable,
    /// The server is reached and has not confirmed the end of the run.
    Unknown,
}

/// A stop of a run. It goes on until it has ended, whether or not the attempt that waits for it does.
/// The memory that the server has kept is released when the stop is dropped, unless it was claimed.
pub(super) struct Stop {
    /// Address of the server to which the run's memory is copied.
    to: SocketAddr,
    end: watch::Receiver<Option<RunEnd>>,
    is_claimed: Arc<AtomicBool>,
}

/// The run that is stopped.
pub(super) struct Target<'a> {
    /// Name of its server.
    pub(super) server: &'a wire::Name,
    /// Boot of its server.
    pub(super) boot: BootId,
    /// Address of its server.
    pub(super) address: SocketAddr,
    /// Whether the attempt's own connection is open.
    pub(super) has_connection: bool,
    /// When the run was given up.
    pub(super) given_up_at: Time,
    /// Time until the server is asked.
    pub(super) delay: Duration,
}

impl RunEnd {
    /// Returns the name of the proof in metrics and logs.
    pub(super) fn as_str(&self) -> &'static str {
        match self {
            RunEnd::Moved(_) => "moved",
            RunEnd::Kept(_) => "kept",
            RunEnd::Absent => "absent",
            RunEnd::Gone => "gone",
            RunEnd::Unreachable => "unreachable",
            RunEnd::Unknown => "unknown",
        }
    }

    /// Returns the handle of the run's memory, if the server has stopped the run.
    pub(super) fn handle(&self) -> Option<&Handle> {
        match self {
            RunEnd::Moved(handle) | RunEnd::Kept(handle) => Some(handle),
            RunEnd::Absent | RunEnd::Gone | RunEnd::Unreachable | RunEnd::Unknown => None,
        }
    }
}

impl Stop {
    /// Returns what is known of the end of the run, or `None` while the server is being asked.
    pub(super) fn end(&self) -> Option<RunEnd> {
        self.end.borrow().clone()
    }

    /// Returns a receiver of the end of the run.
    pub(super) fn subscribe(&self) -> watch::Receiver<Option<RunEnd>> {
        self.end.clone()
    }

    pub(super) fn is_unreachable(&self) -> bool {
        *self.end.borrow() == Some(RunEnd::Unreachable)
    }

    /// Returns the handle of the run's memory if it was copied to a server.
    pub(super) fn moved_to(&self, server: SocketAddr) -> Option<Handle> {
        match self.end() {
            Some(RunEnd::Moved(handle)) if self.to == server => Some(handle),
            _ => None,
        }
    }

    /// Keeps the memory of the run from being released.
    pub(super) fn claim(&self) {
        self.is_claimed.store(true, Ordering::Relaxed);
    }
}

impl Relay {
    /// Starts to stop a run of the request. Its memory is copied to the server at `to`.
    pub(super) fn spawn_stop(&self, target: &Target<'_>, to: SocketAddr) -> Stop {
        let (sender, end) = watch::channel(None);
        let is_claimed = Arc::new(AtomicBool::new(false));
        let stop = Stop {
            to,
            end,
            is_claimed: is_claimed.clone(),
        };
        let codec = self.context.codec;
        let call = Call {
            address: target.address,
            call: (codec.replicate_call)(&self.meta, to, true),
            replica_name: codec.replica_name,
            has_connection: target.has_connection,
            partition: self.context.partition.clone(),
            notices: NoticeReporter::new(&self.context, target.server.clone(), target.boot),
        };
        let late = LateEnd {
            context: self.context.clone(),
            id: self.meta.caller_request_id.clone(),
            server: target.server.clone(),
            boot: target.boot,
            given_up_at: target.given_up_at,
        };
        // The copy that is to be used may be known under the same handle.
        let replica_handle = self.replica_handle.clone();
        let delay = target.delay;
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let end = call.run().await;
            let handle = match &end {
                RunEnd::Unreachable => {
                    sender.send_replace(Some(end));
                    let late_end = call.run_in_background().await;
                    late.log(&late_end);
                    late_end.handle().cloned()
                }
                _ => {
                    let handle = end.handle().cloned();
                    sender.send_replace(Some(end));
                    sender.closed().await;
                    handle
                }
            };
            let is_used = is_claimed.load(Ordering::Relaxed) || handle == replica_handle;
            if let Some(handle) = handle.filter(|_| !is_used) {
                let path = (codec.release_path)(&handle);
                let releasing = connection::release_replica(handle.source, path.as_str());
                if let Ok(Err(error)) = tokio::time::timeout(STOP_TIMEOUT, releasing).await {
                    // The server releases the memory later by itself.
                    log::debug!("relay: Memory of a stopped run not released: {error:?}.");
                }
            }
        });
        stop
    }
}

/// Reports what became of a run after the next attempt was sent without proof of its end.
struct LateEnd {
    context: Arc<RelayContext>,
    id: CompactString,
    server: wire::Name,
    boot: BootId,
    given_up_at: Time,
}

impl LateEnd {
    fn log(&self, end: &RunEnd) {
        let now = self.context.clock.now();
        let metrics = &self.context.metrics;
        if end.handle().is_some() {
            metrics.count_earlier_run("late");
        }
        if self.context.log_limiter.allows(now, false) {
            log::info!(
                id = self.id.as_str(),
                server = self.server.as_str(),
                life = self.boot,
                proof = end.as_str(),
                given_up_ms = millis(now.saturating_sub(self.given_up_at));
                "relay: Run asked after in the background."
            );
        }
    }
}

/// A call that stops a run.
struct Call {
    address: SocketAddr,
    call: ReplicateCall,
    replica_name: fn(&[u8]) -> Option<wire::Name>,
    /// Whether the attempt's own connection is open.
    has_connection: bool,
    partition: Arc<Partition>,
    notices: NoticeReporter,
}

impl Call {
    /// Asks the server until it confirms that the run has ended, or until [`STOP_TIMEOUT`] has passed.
    async fn run(&self) -> RunEnd {
        let deadline = Instant::now() + STOP_TIMEOUT;
        let mut unreachable = 0;
        let mut pause = RETRY_PAUSE_MIN;
        loop {
            match tokio::time::timeout_at(deadline, self.ask()).await {
                Err(_) => return RunEnd::Unknown,
                Ok(Ok(Some(end))) => return end,
                Ok(Err(ConnectionError::Refused)) if !self.has_connection => return RunEnd::Gone,
                Ok(Err(ConnectionError::Unreachable | ConnectionError::Refused)) => {
                    unreachable += 1;
                    if unreachable == UNREACHABLE_CONNECTIONS {
                        return RunEnd::Unreachable;
                    }
                }
                Ok(Ok(None) | Err(ConnectionError::Lost)) => {
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(RETRY_PAUSE_MAX);
                }
            }
        }
    }

    /// Asks a server that was not reached for [`BACKGROUND_TIMEOUT`] more.
    async fn run_in_background(&self) -> RunEnd {
        let deadline = Instant::now() + BACKGROUND_TIMEOUT;
        while Instant::now() < deadline {
            tokio::time::sleep(BACKGROUND_PAUSE).await;
            match tokio::time::timeout_at(deadline, self.ask()).await {
                Ok(Ok(Some(end))) => return end,
                Ok(Err(ConnectionError::Refused)) => return RunEnd::Gone,
                _ => {}
            }
        }
        RunEnd::Unreachable
    }

    /// Asks the server once. Returns the end of the run if the response states it.
    async fn ask(&self) -> Result<Option<RunEnd>, ConnectionError> {
        if self.partition.cuts(self.address) {
            return Err(ConnectionError::Unreachable);
        }
        let response = connection::replicate(self.address, self.call.clone()).await?;
        let (parts, body) = response.into_parts();
        self.notices.report(&parts).await;
        Ok(self.end_stated_by(parts.status, &body))
    }

    /// Returns the end of the run that a response states, or `None` if it states none: another call for
    /// the run may be in progress, or the response is not that of an engine.
    fn end_stated_by(&self, status: StatusCode, body: &[u8]) -> Option<RunEnd> {
        let handle = (self.replica_name)(body).map(|name| Handle {
            source: self.address,
            name,
        });
        match (status, handle) {
            (StatusCode::NOT_FOUND, _) => Some(RunEnd::Absent),
            (StatusCode::OK, Some(handle)) => Some(RunEnd::Moved(handle)),
            (StatusCode::SERVICE_UNAVAILABLE, Some(handle)) => Some(RunEnd::Kept(handle)),
            _ => None,
        }
    }
}
