//! The headers of a platform: the fields that the relay needs, and the functions that a platform
//! supplies.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use conf::Config;
use conf::Name;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::http::request;
use hyper::http::response;
use wigeon_core::Handle;
use wigeon_core::Outcome;
use wigeon_core::ServerNotice;
use wigeon_core::Stream;
use wigeon_core::message::Dispatch;
use wire::PartId;

/// The fields of a request's headers that routing and forwarding need.
#[derive(Clone, Debug)]
pub struct RequestMeta {
    /// The request's id, given by the caller, as logged. It differs from the internal request id.
    pub caller_request_id: CompactString,
    /// The organisation; empty for a route that allows anonymous callers.
    pub organisation: Name,
    /// The name of the matching route.
    pub route: Name,
    /// How long the caller waits for the response; `None` if the caller sets no limit.
    pub caller_timeout: Option<Duration>,
    /// Number of tokens in the prompt; 0 if unknown.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate; `None` if the caller sets none.
    pub max_tokens: Option<u32>,
    /// The caller's estimate of the number of generated tokens, if present.
    pub expected_tokens: Option<u32>,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefix_hashes: Vec<u64>,
    /// Hash of what the head says of a generation, or zero if that is nothing.
    pub generation_hash: u64,
    /// The parts of the prompt that other requests may share.
    pub shared_parts: Vec<PartId>,
    /// Id of the last event that the caller has received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// The stream of events that the request asks for, or `None` on a route without streams.
    pub stream: Option<Stream>,
    /// Whether another instance has handed the request over.
    pub handed_over: bool,
    /// The caller's header fields that are forwarded to a backend server unchanged.
    pub forwarded_headers: HeaderMap,
}

/// Reason for rejecting a request by its headers, before it is routed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Rejection {
    /// A required header field is missing or invalid.
    Malformed,
    /// No route matches the host and path.
    NoRoute,
    /// The token is missing or belongs to no organisation.
    Unauthorised,
}

impl Rejection {
    /// Returns the HTTP status of the response to the caller.
    pub fn status(self) -> StatusCode {
        match self {
            Rejection::Malformed => StatusCode::BAD_REQUEST,
            Rejection::NoRoute => StatusCode::NOT_FOUND,
            Rejection::Unauthorised => StatusCode::UNAUTHORIZED,
        }
    }

    /// Returns the reason text for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Rejection::Malformed => "malformed",
            Rejection::NoRoute => "no-route",
            Rejection::Unauthorised => "unauthorised",
        }
    }
}

/// Classification of a server's response by its status and headers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// The server states that it did not execute the request.
    NotExecuted,
    /// The instance to which the request was handed over refused it, as no server has room for it. The
    /// caller may try again after this time.
    NoRoom(Duration),
    /// The instance to which the request was handed over seems to refuse it, but nothing shows that the
    /// response comes from an instance.
    UnprovenRefusal,
    /// The request reached another server than the intended one, which did not execute it.
    Misdirected,
    /// The response to this request.
    Response,
    /// The server executed the request and reports an error of its own (5xx).
    ServerError,
    /// The server may have executed the request, but its status tells callers that it was not.
    CalledUnexecuted,
    /// The server states that it did not execute the request, but the response bears what only that to an
    /// executed request does.
    Contradictory,
    /// The response belongs to another request, or its origin can't be verified.
    Unrelated,
}

impl ResponseKind {
    /// Returns whether the response states, or seems to state, that the request was not run.
    pub fn is_rejection(self) -> bool {
        !matches!(
            self,
            ResponseKind::Response | ResponseKind::ServerError | ResponseKind::Unrelated
        )
    }

    /// Returns the name of the kind in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ResponseKind::NotExecuted => "not-executed",
            ResponseKind::NoRoom(_) => "no-room",
            ResponseKind::UnprovenRefusal => "unproven-refusal",
            ResponseKind::Misdirected => "misdirected",
            ResponseKind::Response => "response",
            ResponseKind::ServerError => "server-error",
            ResponseKind::CalledUnexecuted => "called-unexecuted",
            ResponseKind::Contradictory => "contradictory",
            ResponseKind::Unrelated => "unrelated",
        }
    }
}

/// The values of one attempt that are written into the headers for the server.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext<'a> {
    /// The decider's order for this attempt: the server, and the replica to resume from.
    pub dispatch: &'a Dispatch,
    /// Time until the request's deadline; `None` if the request has none.
    pub time_left: Option<Duration>,
    /// Id of the last event that the caller has received, if a stream is resumed.
    pub last_event_id: Option<u64>,
}

/// A call that makes a server replicate a generation's KV memory.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicateCall {
    /// Path of the call. The method is POST.
    pub path: CompactString,
    /// Body of the call, in JSON.
    pub body: String,
}

/// The functions that read and write the headers of one platform.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Decodes a request's headers and finds its route and organisation.
    pub decode_request: fn(&request::Parts, &Config) -> Result<RequestMeta, Rejection>,
    /// Returns the header fields that the server of an attempt receives.
    pub attempt_headers: fn(&RequestMeta, &AttemptContext<'_>) -> HeaderMap,
    /// Returns the header fields with which a request is handed over to another instance, given those
    /// of the caller.
    pub hand_over_headers: fn(&HeaderMap, &AttemptContext<'_>) -> HeaderMap,
    /// Classifies the response of an instance to which a request was handed over.
    pub classify_hand_over: fn(&RequestMeta, &response::Parts) -> ResponseKind,
    /// Classifies a server's response by its status and headers.
    pub classify: fn(&RequestMeta, &response::Parts) -> ResponseKind,
    /// Returns what a server states about itself in the head of any response.
    pub server_notice: fn(&response::Parts) -> ServerNotice,
    /// The header fields by which servers state this, in lower case. They are meant for the instance
    /// that sent the request to the server, and are not passed on to one that handed it over.
    pub notice_fields: &'static [&'static str],
    /// Returns the call that makes a server replicate a generation's KV memory to the server at an
    /// address, and stop the generation before if the flag is set.
    pub replicate_call: fn(&RequestMeta, SocketAddr, bool) -> ReplicateCall,
    /// Returns the replica's name from the body of the response to that call.
    pub replica_name: fn(&[u8]) -> Option<Name>,
    /// Returns the path for releasing a replica. The method is DELETE.
    pub release_path: fn(&Handle) -> CompactString,
    /// Returns the header fields of the response to a request that is rejected before it is routed,
    /// given those of the request.
    pub rejection_headers: fn(&HeaderMap) -> HeaderMap,
    /// Returns the status and header fields of the response to a refused or failed request, given the
    /// header fields of the request.
    pub error_response: fn(&HeaderMap, &Outcome) -> (StatusCode, HeaderMap),
}

/// Returns the end-to-end header fields.
///
/// Drops the hop-by-hop fields of HTTP/1.1 and the fields that a `Connection` field names (RFC
/// 9110, section 7.6.1).
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    const HOP_BY_HOP: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let field = name.as_str();
        if !HOP_BY_HOP.contains(&field) && !named.iter().any(|listed| listed == field) {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}
