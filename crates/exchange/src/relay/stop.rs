//! The call that stops a run at its server, and what its result proves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::Time;
use compact_str::CompactString;
use gateway::decider::FindSuccessor;
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
use super::replication;
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
/// Time for which a server is asked further in the background if its request has no deadline, and no
/// attempt waits for the answer.
const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a server is asked further in the background after the request has ended. A run that
/// nobody waits for may still begin, or go on.
const ENDED_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time for which one call in the background waits for its response.
const BACKGROUND_CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause before a server is asked again in the background for the first time.
const BACKGROUND_PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause before it is asked again. Pauses double up to this one. Two servers may work on a
/// request for no longer than 400 ms.
const BACKGROUND_PAUSE_MAX: Duration = Duration::from_millis(300);
/// Most by which the times of day of a server and an instance differ. Either may have been set anew.
const CLOCK_SKEW_MAX: Duration = Duration::from_secs(3);
/// Number of connections that can't be established after which a server counts as unreachable.
const UNREACHABLE_CONNECTIONS: u32 = 3;

/// What is known of the end of a run.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RunEnd {
    /// The server has stopped the run and copied its memory to the next server.
    Moved(Handle),
    /// The server has stopped the run and keeps its memory, which it could not copy.
    Kept(Handle),
    /// The server knows no such run. That proves its end only if it had begun and its connection has
    /// ended.
    Absent,
    /// The connection of the attempt has ended, and the server's address refuses connections. The
    /// process has most likely ended, but the run may go on if it has not.
    Refused,
    /// The server's process has ended: another one has taken its name or address, which was started after
    /// the run was given up.
    Replaced,
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

/// The server whose run of a request may serve the caller.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InUse {
    /// Number of times that it was chosen.
    number: u32,
    /// Address of the server, or `None` before the first attempt.
    address: Option<SocketAddr>,
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
    pub(super) is_connected: Arc<AtomicBool>,
    /// Whether an event of the run has arrived, so that its server knows it.
    pub(super) has_begun: bool,
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
            RunEnd::Refused => "refused",
            RunEnd::Replaced => "replaced",
            RunEnd::Unreachable => "unreachable",
            RunEnd::Unknown => "unknown",
        }
    }

    /// Returns whether a run that seems to have ended in this way can neither go on nor begin.
    /// `has_begun` tells whether one of its events has arrived, and `is_connected` whether its
    /// connection is open.
    pub(super) fn is_proof(&self, has_begun: bool, is_connected: bool) -> bool {
        match self {
            RunEnd::Moved(_) | RunEnd::Kept(_) | RunEnd::Replaced => true,
            RunEnd::Absent => has_begun && !is_connected,
            RunEnd::Refused | RunEnd::Unreachable | RunEnd::Unknown => false,
        }
    }

    /// Returns the handle of the run's memory, if the server has stopped the run.
    pub(super) fn handle(&self) -> Option<&Handle> {
        match self {
            RunEnd::Moved(handle) | RunEnd::Kept(handle) => Some(handle),
            RunEnd::Absent
            | RunEnd::Refused
            | RunEnd::Replaced
            | RunEnd::Unreachable
            | RunEnd::Unknown => None,
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
    /// Records that the caller may be served by the run at an address from now on, which ends stops of
    /// earlier runs there.
    pub(super) fn use_run_at(&self, address: SocketAddr) {
        self.in_use.send_modify(|in_use| {
            in_use.number += 1;
            in_use.address = Some(address);
        });
    }

    /// Returns the last boot of a server that may have a run, or zero if none is known. A list that shows
    /// starts late names an earlier one. Boots are the Unix times of starts in milliseconds.
    fn last_boot_before(&self, target: &Target<'_>) -> BootId {
        let clock = &self.context.clock;
        let since = clock.now().saturating_sub(target.given_up_at);
        let until = clock.wall().saturating_sub(since) + CLOCK_SKEW_MAX;
        match target.boot {
            0 => 0,
            boot => boot.max(millis(until)),
        }
    }

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
        let in_use = self.in_use.subscribe();
        let number = in_use.borrow().number;
        let reused = reuse(in_use.clone(), number, target.address);
        let may_wait = !self.route.idempotent && !target.has_begun;
        let time_left = self
            .time_left(None)
            .or((!may_wait).then_some(BACKGROUND_TIMEOUT));
        let call = Call {
            address: target.address,
            call: (codec.replicate_call)(&self.meta, to, true),
            replica_name: codec.replica_name,
            is_connected: target.is_connected.clone(),
            has_begun: target.has_begun,
            in_use,
            ends_at: time_left.map(|left| Instant::now() + left),
            partition: self.context.partition.clone(),
            server: target.server.clone(),
            last_boot: self.last_boot_before(target),
            context: self.context.clone(),
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
            tokio::pin!(reused);
            let stopping = async {
                tokio::time::sleep(delay).await;
                call.run().await
            };
            let end = tokio::select! {
                end = stopping => end,
                () = &mut reused => RunEnd::Unknown,
            };
            sender.send_replace(Some(end.clone()));
            let end = match call.is_proof(&end) || end == RunEnd::Unknown {
                true => end,
                false => {
                    let late_end = tokio::select! {
                        end = call.run_in_background(end) => end,
                        () = reused => RunEnd::Unknown,
                    };
                    late.log(&late_end);
                    if call.is_proof(&late_end) || late_end == RunEnd::Unknown {
                        // An attempt may wait for the proof, or has to have its server asked anew.
                        sender.send_replace(Some(late_end.clone()));
                    }
                    late_end
                }
            };
            sender.closed().await;
            let handle = end.handle().cloned();
            let is_used = is_claimed.load(Ordering::Relaxed) || handle == replica_handle;
            if let Some(handle) = handle.filter(|_| !is_used) {
                let path = (codec.release_path)(&handle);
                replication::release(&handle, &path, Some(&call.notices)).await;
            }
        });
        stop
    }
}

/// Waits until the server of a run may serve the caller again. It knows all runs of a request by the
/// same id. `number` is that of the last choice of a server before the run was given up.
async fn reuse(mut in_use: watch::Receiver<InUse>, number: u32, address: SocketAddr) {
    let is_reused = |in_use: &InUse| in_use.number > number && in_use.address == Some(address);
    if in_use.wait_for(is_reused).await.is_err() {
        // The request has ended.
        std::future::pending::<()>().await;
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
    is_connected: Arc<AtomicBool>,
    /// Whether an event of the run has arrived.
    has_begun: bool,
    /// Closed when the request has ended.
    in_use: watch::Receiver<InUse>,
    /// When the request counts as ended, or `None` if it has no deadline and an attempt may wait.
    ends_at: Option<Instant>,
    partition: Arc<Partition>,
    /// Name of the server that runs the request.
    server: wire::Name,
    /// The last boot of that server that may run it, or zero if none is known.
    last_boot: BootId,
    context: Arc<RelayContext>,
    notices: NoticeReporter,
}

impl Call {
    /// Returns whether a run that seems to have ended in this way can neither go on nor begin.
    fn is_proof(&self, end: &RunEnd) -> bool {
        end.is_proof(self.has_begun, self.is_connected())
    }

    /// Asks the server until it states that the run has ended, or until [`STOP_TIMEOUT`] has passed.
    async fn run(&self) -> RunEnd {
        let deadline = Instant::now() + STOP_TIMEOUT;
        let mut unreachable = 0;
        let mut pause = RETRY_PAUSE_MIN;
        loop {
            match tokio::time::timeout_at(deadline, self.ask()).await {
                Err(_) => return RunEnd::Unknown,
                // A server may not know a run that it has set aside.
                Ok(Ok(Some(RunEnd::Absent))) if self.is_connected() => {
                    pause = self.wait(pause).await;
                }
                Ok(Ok(Some(end))) => return end,
                // A process that has ended has closed its connections.
                Ok(Err(ConnectionError::Refused)) if !self.is_connected() => {
                    return RunEnd::Refused;
                }
                Ok(Err(ConnectionError::Unreachable)) => {
                    unreachable += 1;
                    if unreachable == UNREACHABLE_CONNECTIONS {
                        return RunEnd::Unreachable;
                    }
                }
                Ok(Ok(None) | Err(_)) => {
                    pause = self.wait(pause).await;
                }
            }
        }
    }

    /// Waits before the server is asked again. Returns the next pause.
    async fn wait(&self, pause: Duration) -> Duration {
        tokio::time::sleep(pause).await;
        (pause * 2).min(RETRY_PAUSE_MAX)
    }

    fn is_connected(&self) -> bool {
        self.is_connected.load(Ordering::Relaxed)
    }

    /// Asks the server further after an end that proves nothing, while the next attempt is under way.
    /// Returns the last end that the server stated.
    async fn run_in_background(&self, mut end: RunEnd) -> RunEnd {
        let mut pause = BACKGROUND_PAUSE_MIN;
        let mut ends_at = None;
        loop {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(BACKGROUND_PAUSE_MAX);
            let now = Instant::now();
            if self.has_request_ended() {
                ends_at.get_or_insert(now + ENDED_REQUEST_TIMEOUT);
            }
            let is_last = ends_at.is_some_and(|ends_at| now >= ends_at);
            match tokio::time::timeout(BACKGROUND_CALL_TIMEOUT, self.ask()).await {
                Ok(Ok(Some(stated))) if self.is_proof(&stated) => return stated,
                Ok(Ok(Some(stated))) => end = stated,
                Ok(Err(ConnectionError::Refused)) => end = RunEnd::Refused,
                Ok(Err(ConnectionError::Unreachable)) => end = RunEnd::Unreachable,
                _ => {}
            }
            if self.is_replaced().await {
                return RunEnd::Replaced;
            }
            if is_last {
                return end;
            }
        }
    }

    /// Returns whether another process has taken the place of the server's.
    async fn is_replaced(&self) -> bool {
        if self.last_boot == 0 {
            return false;
        }
        // An entry that names a start in the future is not that of a process.
        let last_start = millis(self.context.clock.wall() + CLOCK_SKEW_MAX);
        let process = FindSuccessor {
            server: self.server.clone(),
            address: self.address,
            later_boots: self.last_boot.saturating_add(1)..=last_start,
        };
        // A decider that has stopped, or stands still, knows nothing.
        let decider = &self.context.decider;
        let asking = tokio::time::timeout(BACKGROUND_PAUSE_MAX, decider.send(process));
        matches!(asking.await, Ok(Ok(true)))
    }

    fn has_request_ended(&self) -> bool {
        let is_over = |ends_at| Instant::now() >= ends_at;
        self.in_use.has_changed().is_err() || self.ends_at.is_some_and(is_over)
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
