//! Replication of a running generation's KV memory from its server to another server.

use std::pin::Pin;
use std::time::Duration;

use hyper::StatusCode;
use tokio::task::JoinHandle;
use wigeon_core::Event;
use wigeon_core::Handle;
use wigeon_core::Replica;
use wigeon_core::message::Dispatch;
use wire::AttemptId;
use wire::admission::Endpoint;

use super::Relay;
use super::notice::NoticeReporter;
use crate::connection;

/// Timeout of one replication call. About 70 MB of KV memory take 200 ms on an otherwise idle link.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time between two calls that bring a replica up to date. Tokens that a replica lacks are
/// recomputed before the stream resumes: 14 tokens take 1 ms, and a generation produces about 60
/// tokens per second.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(800);

/// Keeps a replica of a generation's KV memory up to date at another server by periodic calls.
pub(super) struct Replication {
    attempt: AttemptId,
    endpoint: Endpoint,
    stage: Stage,
}

/// A running replication call. It returns the replica's name, or `None` if the call failed.
type ReplicationCall = JoinHandle<Option<wire::Name>>;

enum Stage {
    /// A call is in flight.
    InFlight(ReplicationCall),
    /// The next call is scheduled.
    Scheduled(Pin<Box<tokio::time::Sleep>>),
}

impl Replication {
    /// Waits until the call in flight has ended or the next call is due. Waits forever if there is
    /// no replication.
    pub(super) async fn next(replication: &mut Option<Replication>) -> ReplicationEvent {
        match replication
            .as_mut()
            .map(|replication| &mut replication.stage)
        {
            // A call that panicked counts as failed: the name of its replica is unknown.
            Some(Stage::InFlight(call)) => ReplicationEvent::Ended(call.await.unwrap_or(None)),
            Some(Stage::Scheduled(sleep)) => {
                sleep.await;
                ReplicationEvent::Due
            }
            None => std::future::pending().await,
        }
    }
}

pub(super) enum ReplicationEvent {
    Ended(Option<wire::Name>),
    Due,
}

/// Releases memory at the server that keeps it. If the call fails, the server releases it later by
/// itself.
pub(super) async fn release(handle: &Handle, path: &str, notices: Option<&NoticeReporter>) {
    let releasing = connection::release_replica(handle.source, path);
    match tokio::time::timeout(REPLICATION_TIMEOUT, releasing).await {
        Ok(Ok(response)) => {
            if let Some(notices) = notices {
                notices.report(&response.into_parts().0).await;
            }
        }
        Ok(Err(error)) => log::debug!("relay: Memory not released: {error:?}."),
        Err(_) => log::debug!("relay: Memory not released in time."),
    }
}

impl Relay {
    /// Starts replication to `endpoint`, in place of a replication that may be running.
    pub(super) fn start_replication(&mut self, dispatch: &Dispatch, endpoint: Endpoint) {
        let call = self.spawn_call(dispatch, &endpoint);
        self.replication = Some(Replication {
            attempt: dispatch.attempt,
            endpoint,
            stage: Stage::InFlight(call),
        });
    }

    /// Releases the replica, if there is one. Its memory would otherwise stay allocated for
    /// seconds.
    pub(super) fn release_replica(&mut self) {
        let Some(handle) = self.replica_handle.take() else {
            return;
        };
        let path = (self.context.codec.release_path)(&handle);
        let notices = self
            .replica_source
            .take()
            .map(|(server, boot)| NoticeReporter::new(&self.context, server, boot));
        tokio::spawn(async move { release(&handle, &path, notices.as_ref()).await });
    }

    fn spawn_call(&self, dispatch: &Dispatch, endpoint: &Endpoint) -> ReplicationCall {
        let source = dispatch.address;
        let notices = NoticeReporter::new(&self.context, dispatch.server.clone(), dispatch.boot);
        let call = (self.context.codec.replicate_call)(&self.meta, endpoint.address, false);
        let replica_name = self.context.codec.replica_name;
        tokio::spawn(async move {
            let replicating = connection::replicate(source, call);
            let response = tokio::time::timeout(REPLICATION_TIMEOUT, replicating)
                .await
                .ok()?
                .ok()?;
            let (parts, body) = response.into_parts();
            notices.report(&parts).await;
            match parts.status {
                StatusCode::OK => replica_name(&body),
                _ => None,
            }
        })
    }

    /// Reports the result of a replication call to the decider, and starts the next call when it is
    /// due.
    pub(super) async fn on_replication_event(
        &mut self,
        dispatch: &Dispatch,
        event: ReplicationEvent,
    ) {
        let Some(mut replication) = self.replication.take() else {
            return;
        };
        if replication.attempt != dispatch.attempt {
            return;
        }
        match event {
            ReplicationEvent::Due => {
                let call = self.spawn_call(dispatch, &replication.endpoint);
                replication.stage = Stage::InFlight(call);
                self.replication = Some(replication);
            }
            ReplicationEvent::Ended(Some(name)) => {
                self.log_replication(dispatch, &replication.endpoint, true);
                let handle = Handle {
                    source: dispatch.address,
                    name,
                };
                if self.replica_handle.as_ref() != Some(&handle) {
                    self.release_replica();
                }
                self.replica_handle = Some(handle.clone());
                self.replica_source = Some((dispatch.server.clone(), dispatch.boot));
                let replica = Replica {
                    endpoint: replication.endpoint.clone(),
                    handle: Some(handle),
                };
                self.send_event(dispatch, Event::Copied(replica)).await;
                replication.stage =
                    Stage::Scheduled(Box::pin(tokio::time::sleep(REPLICATION_INTERVAL)));
                self.replication = Some(replication);
            }
            ReplicationEvent::Ended(None) => {
                self.log_replication(dispatch, &replication.endpoint, false);
                self.send_event(dispatch, Event::NotCopied).await;
            }
        }
    }

    fn log_replication(&self, dispatch: &Dispatch, endpoint: &Endpoint, succeeded: bool) {
        let now = self.context.clock.now();
        if self.context.log_limiter.allows(now, succeeded) {
            log::info!(
                id = self.meta.caller_request_id.as_str(),
                server = dispatch.server.as_str(),
                copy = endpoint.server.as_str(),
                made = succeeded,
                events = self.progress.events;
                "relay: Replication call ended."
            );
        }
    }
}
