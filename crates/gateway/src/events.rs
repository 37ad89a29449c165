//! Bodies that come bit by bit: server-sent events, and what another instance sends.

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
use crate::answer::Look;
use crate::callers::Reader;
use crate::completion::Style;
use crate::relay::outcome_words;

type Change = Pin<Box<dyn Future<Output = watch::Receiver<u64>> + Send + Sync>>;

async fn wait_for_change(mut receiver: watch::Receiver<u64>) -> watch::Receiver<u64> {
    let _ = receiver.changed().await;
    receiver
}

/// The events of one answer for one reader.
pub(crate) struct Events {
    reader: Reader,
    changes: Change,
    next: usize,
    style: Style,
    over: bool,
}

impl Events {
    /// Returns the events from an index on.
    pub(crate) fn new(reader: Reader, from: usize, style: Style) -> Events {
        Events {
            changes: Box::pin(wait_for_change(reader.answer.watch())),
            reader,
            next: from,
            style,
            over: false,
        }
    }

    fn last(&self, ending: &Ending) -> String {
        match ending {
            Ending::Whole => {
                let end = self.style.last(self.next);
                format!("{end}data: [DONE]\n\n")
            }
            Ending::Plain { .. } => "data: [DONE]\n\n".into(),
            Ending::Other(outcome) => {
                let (word, reason) = outcome_words(outcome);
                let body = json!({"error": {
                    "code": reason,
                    "outcome": word,
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
        if self.over {
            return Poll::Ready(None);
        }
        loop {
            let text = match self.reader.answer.look(self.next) {
                Look::Tokens(first, tokens) => {
                    let events = self.style.events(first, &tokens);
                    self.next = first + tokens.len();
                    events
                }
                Look::End(ending) => {
                    self.over = true;
                    self.last(&ending)
                }
                Look::Nothing => match self.changes.as_mut().poll(context) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(receiver) => {
                        self.changes = Box::pin(wait_for_change(receiver));
                        continue;
                    }
                },
            };
            return Poll::Ready(Some(Ok(Frame::data(Bytes::from(text)))));
        }
    }
}

/// The body of another instance's response. A broken connection ends it without its end mark.
pub(crate) struct Passed {
    body: Incoming,
    broken: bool,
}

impl Passed {
    /// Returns the body of a response.
    pub(crate) fn new(body: Incoming) -> Passed {
        Passed {
            body,
            broken: false,
        }
    }
}

impl hyper::body::Body for Passed {
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
