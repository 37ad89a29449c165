//! The connection of an attempt, and what happens on it.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use super::Attempt;
use super::CALL_TIMEOUT;
use super::RESUME_BACKOFF;
use super::RelayContext;
use crate::backend::BackendError;
use crate::backend::LineReader;
use crate::backend::PlainAnswer;
use crate::backend::StreamLine;

/// State of the connection of an attempt.
pub(super) enum Link {
    /// An engine's stream is being opened, for a new generation or to resume one.
    Opening(Pin<Box<dyn Future<Output = Result<LineReader, BackendError>> + Send>>),
    /// The engine streams the lines of the generation.
    Open(LineReader),
    /// A plain service is being called.
    Calling(Pin<Box<dyn Future<Output = Result<PlainAnswer, BackendError>> + Send>>),
}

/// An event on an attempt's link.
pub(super) enum LinkEvent {
    /// The stream of an engine is open.
    Opened(LineReader),
    /// A line of the generation.
    Line(StreamLine),
    /// The response of a plain service.
    Answer(PlainAnswer),
    /// The connection was closed before the end of the generation.
    Closed,
    /// The link failed.
    Failed(BackendError),
    /// The link was idle for too long.
    TimedOut,
}

/// Waits for the next event on the attempt's link, or for its timeout.
pub(super) async fn next_link_event(
    attempt: &mut Option<Attempt>,
    context: Arc<RelayContext>,
) -> LinkEvent {
    let Some(attempt) = attempt else {
        return std::future::pending().await;
    };
    let limit = match attempt.link {
        Link::Calling(_) => CALL_TIMEOUT,
        _ => attempt.stall_detector.timeout(),
    };
    let remaining = (attempt.last_activity + limit).saturating_sub(context.clock.now());
    let is_cut = context.partition.cuts(attempt.address);
    let event = async {
        if is_cut {
            let is_opening = matches!(attempt.link, Link::Opening(_));
            return cut_link_event(is_opening).await;
        }
        match &mut attempt.link {
            Link::Opening(opening) => match opening.await {
                Ok(reader) => LinkEvent::Opened(reader),
                Err(error) => LinkEvent::Failed(error),
            },
            Link::Open(reader) => match reader.next().await {
                Ok(Some(line)) => LinkEvent::Line(line),
                Ok(None) => LinkEvent::Closed,
                Err(error) => LinkEvent::Failed(error),
            },
            Link::Calling(calling) => match calling.await {
                Ok(answer) => LinkEvent::Answer(answer),
                Err(error) => LinkEvent::Failed(error),
            },
        }
    };
    match tokio::time::timeout(remaining, event).await {
        Ok(event) => event,
        Err(_) => LinkEvent::TimedOut,
    }
}

/// Returns the event of a link that an experiment has cut: opening a connection fails, and an open
/// one never yields anything.
async fn cut_link_event(is_opening: bool) -> LinkEvent {
    if is_opening {
        tokio::time::sleep(RESUME_BACKOFF).await;
        return LinkEvent::Failed(BackendError::Unreachable);
    }
    std::future::pending().await
}
