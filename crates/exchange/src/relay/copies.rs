//! Copies of a running generation, ordered from its server.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use tokio::task::JoinHandle;
use wigeon_core::Event;
use wigeon_core::Handle;
use wigeon_core::Replica;
use wigeon_core::message::Dispatch;
use wire::AttemptId;
use wire::admission::Endpoint;

use super::Relay;
use crate::link;

/// Longest time for one copy of a generation's memory. Some 70 MB take 200 ms on a link of their own.
const COPY_TIME: Duration = Duration::from_millis(2_500);
/// Time between two copies of what is new of a generation. What a copy lacks is read again before the
/// stream goes on: 14 tokens take a millisecond, and a second brings some 60.
const COPY_PERIOD: Duration = Duration::from_millis(800);

/// A copy of a generation's memory that is kept at a server by calls from time to time.
pub(super) struct Copying {
    attempt: AttemptId,
    endpoint: Endpoint,
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
    pub(super) async fn next(copying: &mut Option<Copying>) -> Copied {
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

pub(super) enum Copied {
    Ended(Option<wire::Name>),
    Due,
}

impl Relay {
    /// Begins to keep a copy at a place, instead of any other.
    pub(super) fn copy_to(&mut self, dispatch: &Dispatch, endpoint: Endpoint) {
        let call = self.copy_call(dispatch.address, &endpoint);
        self.copying = Some(Copying {
            attempt: dispatch.attempt,
            endpoint,
            stage: Stage::Calling(call),
        });
    }

    /// Has the servers free the memory of a copy that was ordered. It would take up room for seconds.
    pub(super) fn release_copy(&mut self) {
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

    fn copy_call(&self, source: SocketAddr, endpoint: &Endpoint) -> CopyCall {
        let call = (self.shared.codec.copy)(&self.call, endpoint);
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
    pub(super) async fn take_copied(&mut self, dispatch: &Dispatch, copied: Copied) {
        let Some(mut copying) = self.copying.take() else {
            return;
        };
        if copying.attempt != dispatch.attempt {
            return;
        }
        match copied {
            Copied::Due => {
                let call = self.copy_call(dispatch.address, &copying.endpoint);
                copying.stage = Stage::Calling(call);
                self.copying = Some(copying);
            }
            Copied::Ended(Some(name)) => {
                self.log_copy(dispatch, &copying.endpoint, true);
                let handle = Handle {
                    source: dispatch.address,
                    name,
                };
                if self.handle.as_ref() != Some(&handle) {
                    self.release_copy();
                }
                self.handle = Some(handle.clone());
                let replica = Replica {
                    endpoint: copying.endpoint.clone(),
                    handle: Some(handle),
                };
                self.tell(dispatch, Event::Copied(replica)).await;
                copying.stage = Stage::Waiting(Box::pin(tokio::time::sleep(COPY_PERIOD)));
                self.copying = Some(copying);
            }
            Copied::Ended(None) => {
                self.log_copy(dispatch, &copying.endpoint, false);
                self.tell(dispatch, Event::NotCopied).await;
            }
        }
    }

    fn log_copy(&self, dispatch: &Dispatch, endpoint: &Endpoint, made: bool) {
        let now = self.shared.clock.now();
        if self.shared.log_limiter.allows(now, made) {
            log::info!(
                id = self.call.label.as_str(),
                server = dispatch.server.as_str(),
                copy = endpoint.server.as_str(),
                made = made,
                events = self.progress.events;
                "relay: Copied."
            );
        }
    }
}
