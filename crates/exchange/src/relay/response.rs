//! Reading of a server's response to an attempt.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response;
use std::time::Duration;
use wigeon_core::Replica;

use crate::codec::end_to_end_headers;
use crate::connection::ConnectionGuard;
use crate::connection::ServerBody;
use crate::relay::ResponseBody;
use crate::sse;
use crate::sse::Parser;

/// Maximum size of a response that is buffered completely before it is forwarded, in bytes. A
/// longer response is forwarded as it arrives and can't be replaced by another attempt when it is
/// truncated.
const BUFFERED_BYTES_MAX: usize = 64 * 1_024;

/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// The status and end-to-end header fields of a server's response.
pub(super) struct ResponseHead {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    /// Whether the response has neither a length nor chunks, and ends with its connection. If it has
    /// no content, it can't be told from that of a server that crashed before it wrote any.
    is_close_delimited: bool,
    /// Whether the response has no content whatever its fields say (RFC 9110, section 6.4.1).
    is_bodiless: bool,
}

impl ResponseHead {
    /// Returns the head of a response to a request with the given method.
    pub(super) fn of(method: &Method, parts: &response::Parts) -> ResponseHead {
        let is_empty = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&parts.status);
        let is_bodiless = *method == Method::HEAD || is_empty;
        let is_framed = parts.headers.contains_key(TRANSFER_ENCODING)
            || parts.headers.contains_key(CONTENT_LENGTH);
        ResponseHead {
            status: parts.status,
            headers: end_to_end_headers(&parts.headers),
            is_close_delimited: !is_framed && !is_bodiless,
            is_bodiless,
        }
    }

    /// Returns whether the response may be a stream of events: it succeeds, and it does not name another
    /// media type.
    pub(super) fn may_hold_events(&self) -> bool {
        let media = self.headers.get(CONTENT_TYPE);
        let is_event_stream = media.is_none_or(|media| {
            let essence = media.as_bytes().split(|byte| *byte == b';').next();
            essence.is_some_and(|essence| essence.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM))
        });
        self.status == StatusCode::OK && is_event_stream
    }

    pub(super) fn into_response(mut self, body: ResponseBody) -> Response<ResponseBody> {
        // Hyper writes the length of the body that is sent. Without one the length is that of the
        // content which the server would have sent.
        if !self.is_bodiless {
            self.headers.remove(CONTENT_LENGTH);
        }
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// The result of an attempt, up to the first bytes for the caller.
pub(super) enum AttemptResult {
    /// No connection was established.
    Unreachable,
    /// The server did not execute the request.
    NotExecuted,
    /// The attempt was not sent, since a run before it may still go on. It may be made again from this
    /// copy.
    NotSent(Option<Replica>),
    /// The instance to which the request was handed over refused it, as no server has room for it.
    NoRoom(Duration),
    /// The connection was lost before a response, or the response belongs to another request. The
    /// request may have run, and may still be on its way to the server.
    Lost,
    /// The status of the response is none that a response may have. The server may have executed the
    /// request, and has not crashed.
    OddStatus,
    /// The server has begun to respond, and its response is not complete.
    Incomplete,
    /// A response that can't continue the stream that the caller has received the beginning of.
    NoStream,
    /// An error response of the server that must not reach the caller.
    Withheld,
    /// A complete error response of the server.
    ServerError(ResponseHead, Bytes),
    /// A complete response.
    Complete(ResponseHead, Bytes),
    /// The beginning of a response that is too long to be buffered.
    Partial(ResponseHead, Bytes, ResponseStream),
    /// A stream of events: of a new stream the first event has arrived, of a resumed one the head.
    EventStream(ResponseHead, ResponseStream),
}

/// The rest of a response, with the connection that it arrives on.
pub(super) struct ResponseStream {
    pub(super) body: ServerBody,
    parser: Parser,
    first: Option<sse::Event>,
    /// Whether an event must come before the end of the stream.
    awaits_event: bool,
    /// Whether the stream ends with its connection.
    pub(super) is_close_delimited: bool,
    _guard: ConnectionGuard,
}

/// The next part of a stream of events.
pub(super) enum StreamItem {
    /// A complete event.
    Event(sse::Event),
    /// The regular end of the stream.
    End,
    /// The connection was lost, the stream ended within an event, or an event is too long.
    Truncated,
    /// No new event has arrived for some time.
    Silent,
}

impl ResponseStream {
    /// Returns the rest of a response with the given head.
    pub(super) fn new(
        head: &ResponseHead,
        body: ServerBody,
        guard: ConnectionGuard,
        awaits_event: bool,
    ) -> ResponseStream {
        ResponseStream {
            body,
            parser: Parser::default(),
            first: None,
            awaits_event,
            is_close_delimited: head.is_close_delimited,
            _guard: guard,
        }
    }

    /// Waits for the next event, or for the end of the stream.
    pub(super) async fn next(&mut self) -> StreamItem {
        loop {
            if let Some(first) = self.first.take() {
                return StreamItem::Event(first);
            }
            match self.parser.next_event() {
                Ok(Some(event)) => {
                    self.awaits_event = false;
                    return StreamItem::Event(event);
                }
                Ok(None) => {}
                Err(_) => return StreamItem::Truncated,
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.parser.push(&data);
                    }
                }
                Some(Err(_)) => return StreamItem::Truncated,
                None if self.awaits_event || self.parser.has_partial_event() => {
                    return StreamItem::Truncated;
                }
                None => return StreamItem::End,
            }
        }
    }
}

/// Waits for the first event of a stream, so that an attempt without any event can be replaced.
pub(super) async fn await_first_event(
    head: ResponseHead,
    body: ServerBody,
    guard: ConnectionGuard,
) -> AttemptResult {
    let mut stream = ResponseStream::new(&head, body, guard, false);
    match stream.next().await {
        StreamItem::Event(event) => {
            stream.first = Some(event);
            AttemptResult::EventStream(head, stream)
        }
        StreamItem::End if head.is_close_delimited => AttemptResult::Incomplete,
        StreamItem::End => AttemptResult::Complete(head, Bytes::new()),
        StreamItem::Truncated | StreamItem::Silent => AttemptResult::Incomplete,
    }
}

/// Reads a response completely, or up to [`BUFFERED_BYTES_MAX`]. `is_error` tells whether it is an
/// error response of the server.
pub(super) async fn read_response(
    head: ResponseHead,
    mut body: ServerBody,
    guard: ConnectionGuard,
    is_error: bool,
) -> AttemptResult {
    let mut buffer = bytes::BytesMut::new();
    loop {
        match body.frame().await {
            None => break,
            Some(Err(_)) => return AttemptResult::Incomplete,
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    buffer.extend_from_slice(&data);
                }
            }
        }
        if buffer.len() > BUFFERED_BYTES_MAX && is_error {
            // Another attempt may replace an error, so it is not forwarded as it arrives.
            return AttemptResult::Incomplete;
        }
        if buffer.len() > BUFFERED_BYTES_MAX {
            let stream = ResponseStream::new(&head, body, guard, false);
            return AttemptResult::Partial(head, buffer.freeze(), stream);
        }
    }
    let bytes = buffer.freeze();
    if is_error {
        AttemptResult::ServerError(head, bytes)
    } else if bytes.is_empty() && head.is_close_delimited {
        AttemptResult::Incomplete
    } else {
        AttemptResult::Complete(head, bytes)
    }
}
