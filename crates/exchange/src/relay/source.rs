//! What a server sends in answer to an attempt.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response;

use crate::codec::end_to_end;
use crate::events;
use crate::events::Scanner;
use crate::link::Link;
use crate::relay::Body;

/// Greatest answer that is read whole before it is passed on, in bytes. Longer ones are passed on as
/// they come and can't be replaced when they break.
const WHOLE_BYTES: usize = 64 * 1_024;

/// A server's answer, or the beginning of one.
pub(super) struct Head {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
}

impl Head {
    pub(super) fn of(parts: &response::Parts) -> Head {
        Head {
            status: parts.status,
            headers: end_to_end(&parts.headers),
        }
    }

    pub(super) fn into_response(mut self, body: Body) -> Response<Body> {
        // The length of the body that is sent is written by the library.
        self.headers.remove(CONTENT_LENGTH);
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// What an attempt led to, up to where the caller gets something.
pub(super) enum Tried {
    Unreachable,
    NotRun,
    Broken,
    Failed(Head, Bytes),
    Whole(Head, Bytes),
    Long(Head, Bytes, Source),
    Events(Head, Source),
}

/// What is still to come of an answer.
pub(super) struct Source {
    pub(super) body: Incoming,
    scanner: Scanner,
    first: Option<events::Event>,
    _link: Link,
}

pub(super) enum Piece {
    Event(events::Event),
    End,
    Broken,
}

impl Source {
    /// Returns the next event.
    pub(super) async fn next(&mut self) -> Piece {
        loop {
            if let Some(first) = self.first.take() {
                return Piece::Event(first);
            }
            match self.scanner.next_event() {
                Ok(Some(event)) => return Piece::Event(event),
                Ok(None) => {}
                Err(_) => return Piece::Broken,
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.scanner.push(&data);
                    }
                }
                Some(Err(_)) => return Piece::Broken,
                None if self.scanner.has_rest() => return Piece::Broken,
                None => return Piece::End,
            }
        }
    }
}

pub(super) async fn first_event(head: Head, body: Incoming, link: Link) -> Tried {
    let mut source = Source {
        body,
        scanner: Scanner::default(),
        first: None,
        _link: link,
    };
    match source.next().await {
        Piece::Event(event) => {
            source.first = Some(event);
            Tried::Events(head, source)
        }
        Piece::End => Tried::Whole(head, Bytes::new()),
        Piece::Broken => Tried::Broken,
    }
}

pub(super) async fn read_whole(head: Head, mut body: Incoming, link: Link, failed: bool) -> Tried {
    let mut read = bytes::BytesMut::new();
    loop {
        match body.frame().await {
            None => break,
            Some(Err(_)) => return Tried::Broken,
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    read.extend_from_slice(&data);
                }
            }
        }
        if read.len() > WHOLE_BYTES {
            let source = Source {
                body,
                scanner: Scanner::default(),
                first: None,
                _link: link,
            };
            return Tried::Long(head, read.freeze(), source);
        }
    }
    let bytes = read.freeze();
    if failed {
        Tried::Failed(head, bytes)
    } else {
        Tried::Whole(head, bytes)
    }
}
