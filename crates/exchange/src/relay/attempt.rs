//! One attempt: the request to a server or another instance, and the kind of its response.

use bytes::Bytes;
use conf::Delivery;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderName;
use hyper::http::response;
use wigeon_core::message::Dispatch;

use super::Relay;
use super::RelayContext;
use super::notice::NoticeReporter;
use super::response::AttemptResult;
use super::response::ResponseHead;
use super::response::ResponseStream;
use super::response::await_first_event;
use super::response::read_response;
use crate::codec::AttemptContext;
use crate::codec::ResponseKind;
use crate::connection;
use crate::connection::ConnectionError;

/// Most names of header fields of a rejection that are logged.
const LOGGED_FIELDS_MAX: usize = 16;

impl Relay {
    /// Returns the future of an attempt. The future doesn't borrow the relay, so that the relay can
    /// handle commands meanwhile.
    pub(super) fn run_attempt(
        &self,
        dispatch: &Dispatch,
    ) -> impl Future<Output = AttemptResult> + Send + 'static {
        let request = self.build_request(dispatch);
        let meta = self.meta.clone();
        let method = self.parts.method.clone();
        let classify = match dispatch.hands_over {
            true => self.context.codec.classify_hand_over,
            false => self.context.codec.classify,
        };
        let is_from_server = !dispatch.hands_over;
        let notice_fields = self.context.codec.notice_fields;
        let expects_events = self.route.delivery == Delivery::Stream;
        let is_resumed = self.progress.events > 0;
        let is_idempotent = self.route.idempotent;
        let address = dispatch.address;
        let is_cut = self.context.partition.cuts(address);
        let notices = NoticeReporter::new(&self.context, dispatch.server.clone(), dispatch.boot);
        let context = self.context.clone();
        let server = dispatch.server.clone();
        async move {
            let request = match request.filter(|_| !is_cut) {
                Some(request) => request,
                None => return AttemptResult::Unreachable,
            };
            let (guard, response) = match connection::send_request(address, request).await {
                Ok(exchange) => exchange,
                Err(ConnectionError::Unreachable | ConnectionError::Refused) => {
                    return AttemptResult::Unreachable;
                }
                Err(ConnectionError::OddStatus) => return AttemptResult::OddStatus,
                Err(ConnectionError::Lost | ConnectionError::TooLong) => {
                    return AttemptResult::Lost;
                }
            };
            let (parts, body) = response.into_parts();
            let kind = classify(&meta, &parts);
            if is_from_server {
                notices.report_response(&parts, kind).await;
            }
            if kind.is_rejection() {
                log_rejection(&context, &meta.caller_request_id, &server, &parts, kind);
            }
            let mut head = ResponseHead::of(&method, &parts);
            if !is_from_server {
                for field in notice_fields {
                    head.headers.remove(*field);
                }
            }
            let kind = match kind {
                // Once the caller has the beginning of a stream, no status reaches it.
                ResponseKind::CalledUnexecuted if !is_idempotent && !is_resumed => kind,
                ResponseKind::CalledUnexecuted if parts.status.is_server_error() => {
                    ResponseKind::ServerError
                }
                ResponseKind::CalledUnexecuted => ResponseKind::Response,
                kind => kind,
            };
            match kind {
                ResponseKind::NotExecuted | ResponseKind::Misdirected => AttemptResult::NotExecuted,
                ResponseKind::UnprovenRefusal | ResponseKind::Contradictory if is_idempotent => {
                    AttemptResult::NotExecuted
                }
                ResponseKind::UnprovenRefusal => AttemptResult::Lost,
                ResponseKind::NoRoom(retry_after) => AttemptResult::NoRoom(retry_after),
                ResponseKind::Unrelated => AttemptResult::Lost,
                ResponseKind::Contradictory if is_resumed => AttemptResult::NoStream,
                // The caller would send the request again, and it would run twice.
                ResponseKind::CalledUnexecuted | ResponseKind::Contradictory => {
                    AttemptResult::Withheld
                }
                ResponseKind::ServerError => read_response(head, body, guard, true).await,
                ResponseKind::Response if expects_events && head.may_hold_events() => {
                    if is_resumed {
                        let stream = ResponseStream::new(&head, body, guard, true);
                        return AttemptResult::EventStream(head, stream);
                    }
                    await_first_event(head, body, guard).await
                }
                ResponseKind::Response if is_resumed => AttemptResult::NoStream,
                ResponseKind::Response => read_response(head, body, guard, false).await,
            }
        }
    }

    fn build_request(&self, dispatch: &Dispatch) -> Option<Request<Full<Bytes>>> {
        let attempt = AttemptContext {
            dispatch,
            time_left: self.time_left(dispatch.ends_at),
            last_event_id: self.progress.last_event_id,
        };
        let path = self.parts.uri.path_and_query()?.as_str();
        let mut request = Request::builder()
            .method(self.parts.method.clone())
            .uri(path)
            .body(Full::new(self.payload.clone()))
            .ok()?;
        let codec = &self.context.codec;
        *request.headers_mut() = match dispatch.hands_over {
            true => (codec.hand_over_headers)(&self.parts.headers, &attempt),
            false => (codec.attempt_headers)(&self.meta, &attempt),
        };
        Some(request)
    }
}

/// Logs on what the verdict rests that a server has not run a request.
fn log_rejection(
    context: &RelayContext,
    id: &str,
    server: &str,
    parts: &response::Parts,
    kind: ResponseKind,
) {
    if !context.log_limiter.allows(context.clock.now(), false) {
        return;
    }
    let names = parts.headers.keys().map(HeaderName::as_str);
    let mut fields: Vec<&str> = names.take(LOGGED_FIELDS_MAX).collect();
    fields.sort_unstable();
    log::info!(
        id = id,
        server = server,
        status = parts.status.as_u16(),
        verdict = kind.as_str(),
        fields = fields.join(" ").as_str();
        "relay: Rejected by its server."
    );
}
