//! Streamed response bodies: server-sent events, and responses proxied from another instance.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_core::Stream;
use hyper::body::Frame;
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::watch;

use crate::answer::Ending;
use crate::answer::ReadResult;
use crate::callers::Reader;
use crate::completion::ResponseFormat;
use crate::relay::outcome_labels;

type ChangeFuture = Pin<Box<dyn Future<Output = watch::Receiver<u64>> + Send + Sync>>;

async fn wait_for_change(mut receiver: watch::Receiver<u64>) -> watch::Receiver<u64> {
    let _ = receiver.changed().await;
    receiver
}

/// The body of a streamed answer for one reader, as server-sent events.
pub(crate) struct Events {
    reader: Reader,
    /// Completes at the next visible change of the answer.
    next_change: ChangeFuture,
    /// Index of the next token to send.
    next: usize,
    format: ResponseFormat,
    ended: bool,
}

impl Events {
    /// Returns the events of an answer from an index on.
    pub(crate) fn new(reader: Reader, from: usize, format: ResponseFormat) -> Events {
        Events {
            next_change: Box::pin(wait_for_change(reader.answer.watch())),
            reader,
            next: from,
            format,
            ended: false,
        }
    }

    fn end_events(&self, ending: &Ending) -> String {
        match ending {
            Ending::Whole => {
                let end = self.format.end_event(self.next);
                format!("{end}data: [DONE]\n\n")
            }
            Ending::Plain { .. } => "data: [DONE]\n\n".into(),
            Ending::Other(outcome) => {
                let (label, reason) = outcome_labels(outcome);
                let body = json!({"error": {
                    "code": reason,
                    "outcome": label,
                    "run": "unknown",
                    "delivered": self.next,
                }});
                format!("event: error\ndata: {body}\n\n")
            }
        }
    }
}

impl Stream for Events {
    type Item = Result<Frame<Bytes>, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        loop {
            let text = match self.reader.answer.read(self.next) {
                ReadResult::Tokens(first, tokens) => {
                    let events = self.format.token_events(first, &tokens);
                    self.next = first + tokens.len();
                    events
                }
                ReadResult::End(ending) => {
                    self.ended = true;
                    self.end_events(&ending)
                }
                ReadResult::Pending => match self.next_change.as_mut().poll(context) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(receiver) => {
                        self.next_change = Box::pin(wait_for_change(receiver));
                        continue;
                    }
                },
            };
            return Poll::Ready(Some(Ok(Frame::data(Bytes::from(text)))));
        }
    }
}

/// The body of another instance's response. When the connection to that instance breaks, the body
/// ends without the `[DONE]` event, so that callers notice that it is incomplete.
pub(crate) struct ProxiedBody {
    body: Incoming,
    broken: bool,
}

impl ProxiedBody {
    /// Returns a body that forwards another one.
    pub(crate) fn new(body: Incoming) -> ProxiedBody {
        ProxiedBody {
            body,
            broken: false,
        }
    }
}

impl hyper::body::Body for ProxiedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.broken {
            return Poll::Ready(None);
        }
        Pin::new(&mut self.body)
            .poll_frame(context)
            .map(|frame| match frame {
                Some(Ok(frame)) => Some(Ok(frame)),
                Some(Err(_)) => {
                    self.broken = true;
                    None
                }
                None => None,
            })
    }
}
