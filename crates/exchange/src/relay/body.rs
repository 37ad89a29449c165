//! Bodies of requests, read whole, and of answers, passed on.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::sync::SemaphorePermit;
use tokio::sync::mpsc;

use crate::relay::Shared;

/// Bytes of one permit of the memory for bodies.
const PERMIT_BYTES: usize = 1_024;

/// An answer that breaks off: the connection to the caller is broken on purpose.
#[derive(Clone, Copy, Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Whole(Full<Bytes>),
    /// Pieces as they come.
    Pieces(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Body::Whole(full) => Pin::new(full)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Body::Pieces(pieces) => pieces
                .poll_recv(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(full) => full.is_end_stream(),
            Body::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(full) => full.size_hint(),
            Body::Pieces(_) => SizeHint::default(),
        }
    }
}

/// Reads a body whole. The room that it takes is given back when the second value is dropped.
pub(super) async fn read_body(
    shared: &Shared,
    mut body: Incoming,
    limits: conf::Limits,
) -> Result<(Bytes, Vec<SemaphorePermit<'_>>), StatusCode> {
    let idle = Duration::from_millis(limits.idle_ms);
    let most = limits.body_bytes;
    if body.size_hint().lower() > most as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let mut room = Vec::new();
    let mut read = bytes::BytesMut::new();
    let mut reserved = 0;
    loop {
        let frame = match tokio::time::timeout(idle, body.frame()).await {
            Err(_) => return Err(StatusCode::REQUEST_TIMEOUT),
            Ok(None) => return Ok((read.freeze(), room)),
            Ok(Some(Err(_))) => return Err(StatusCode::BAD_REQUEST),
            Ok(Some(Ok(frame))) => frame,
        };
        // Trailers are no part of the body and are not forwarded.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read.len() + data.len() > most {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        read.extend_from_slice(&data);
        let needed = read.len().div_ceil(PERMIT_BYTES);
        if needed > reserved {
            let more = u32::try_from(needed - reserved).unwrap_or(u32::MAX);
            match shared.memory.try_acquire_many(more) {
                Ok(permit) => room.push(permit),
                Err(_) => return Err(StatusCode::SERVICE_UNAVAILABLE),
            }
            reserved = needed;
        }
    }
}

pub(super) fn empty(status: StatusCode, headers: HeaderMap) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Full::default()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
