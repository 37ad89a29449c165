//! The bodies of requests, which are read completely, and of responses.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use gateway::http::discard_body;
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

use crate::relay::RelayContext;

/// Bytes per permit of the memory budget for bodies.
const PERMIT_BYTES: usize = 1_024;

/// The response is incomplete. As an error of the body, it makes hyper abort the caller's
/// connection.
#[derive(Clone, Copy, Debug)]
pub struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response is incomplete")
    }
}

impl std::error::Error for Truncated {}

/// The body of a response to the caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body.
    Whole(Full<Bytes>),
    /// Parts of the body as they arrive from the server, or an error if the rest is missing.
    Stream(mpsc::Receiver<Result<Bytes, Truncated>>),
}

impl hyper::body::Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            ResponseBody::Whole(full) => Pin::new(full)
                .poll_frame(context)
                .map_err(|never| match never {}),
            ResponseBody::Stream(receiver) => receiver
                .poll_recv(context)
                .map(|part| part.map(|part| part.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Whole(full) => full.is_end_stream(),
            ResponseBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(full) => full.size_hint(),
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}

/// Reads a request's body completely. Returns the body and the permits for its memory, which are
/// released when they are dropped.
///
/// # Errors
///
/// Returns the status of the response to the caller if the body is too large, arrives too slowly,
/// is truncated, or exceeds the free memory budget.
pub(super) async fn read_body(
    context: &RelayContext,
    mut body: Incoming,
    limits: conf::Limits,
) -> Result<(Bytes, Vec<SemaphorePermit<'_>>), StatusCode> {
    let idle = Duration::from_millis(limits.idle_ms);
    let max_bytes = limits.body_bytes;
    if body.size_hint().lower() > max_bytes as u64 {
        discard_body(body).await;
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let mut permits = Vec::new();
    let mut buffer = bytes::BytesMut::new();
    let mut permit_count = 0;
    loop {
        let frame = match tokio::time::timeout(idle, body.frame()).await {
            Err(_) => return Err(StatusCode::REQUEST_TIMEOUT),
            Ok(None) => return Ok((buffer.freeze(), permits)),
            Ok(Some(Err(_))) => return Err(StatusCode::BAD_REQUEST),
            Ok(Some(Ok(frame))) => frame,
        };
        // Trailers are not part of the body and are not forwarded.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > max_bytes {
            drop(buffer);
            discard_body(body).await;
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        buffer.extend_from_slice(&data);
        let permits_needed = buffer.len().div_ceil(PERMIT_BYTES);
        if permits_needed > permit_count {
            let missing = u32::try_from(permits_needed - permit_count).unwrap_or(u32::MAX);
            match context.memory.try_acquire_many(missing) {
                Ok(permit) => permits.push(permit),
                Err(_) => return Err(StatusCode::SERVICE_UNAVAILABLE),
            }
            permit_count = permits_needed;
        }
    }
}

pub(super) fn empty_response(status: StatusCode, headers: HeaderMap) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Whole(Full::default()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
