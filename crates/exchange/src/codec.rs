//! What a platform's headers mean.

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
use wigeon_core::message::Dispatch;
use wire::admission::Endpoint;

/// What a request's header says.
#[derive(Clone, Debug)]
pub struct Call {
    /// The name that the caller gave to the request.
    pub label: CompactString,
    /// The organisation, or nothing for a route that needs none.
    pub organisation: Name,
    /// The route.
    pub route: Name,
    /// Time that the caller waits, if it said so.
    pub patience: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Greatest number of tokens that the caller allows, if it said so.
    pub limit: Option<u32>,
    /// The caller's estimate of the number of tokens, if it gave one.
    pub expected: Option<u32>,
    /// Hashes of the prompt's prefixes, longest last.
    pub prefixes: Vec<u64>,
    /// Last event that the caller has already, where it resumes a stream.
    pub last_event: Option<u64>,
    /// The header fields that go to a backend server as the caller sent them.
    pub headers: HeaderMap,
}

/// Why a request is turned away by its header alone.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Rejection {
    /// The header is not one of a request.
    Malformed,
    /// No route takes the path.
    NoRoute,
    /// The token belongs to nobody.
    Unauthorised,
}

impl Rejection {
    /// Returns the status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Rejection::Malformed => StatusCode::BAD_REQUEST,
            Rejection::NoRoute => StatusCode::NOT_FOUND,
            Rejection::Unauthorised => StatusCode::UNAUTHORIZED,
        }
    }

    /// Returns the word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Rejection::Malformed => "malformed",
            Rejection::NoRoute => "no-route",
            Rejection::Unauthorised => "unauthorised",
        }
    }
}

/// What a server's answer is, by its header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Judgement {
    /// The server says that it did not run the request.
    NotRun,
    /// The server is another one than was meant, and did not run the request.
    Misdirected,
    /// The answer to the request.
    Answer,
    /// The server ran the request and failed.
    Failure,
    /// No answer to this request.
    Foreign,
}

/// What an attempt adds to the header that a server gets.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// The attempt.
    pub dispatch: &'a Dispatch,
    /// Time that is left.
    pub left: Option<Duration>,
    /// Last event that the caller has, where a stream goes on.
    pub last_event: Option<u64>,
}

/// A call by which a server copies a generation's memory.
#[derive(Clone, Debug, PartialEq)]
pub struct Copying {
    /// Its path. The method is POST.
    pub path: CompactString,
    /// Its body, in JSON.
    pub body: String,
}

/// Reads and writes the headers of one platform.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Reads a request's header.
    pub read: fn(&request::Parts, &Config) -> Result<Call, Rejection>,
    /// Returns the header fields of an attempt.
    pub forward: fn(&Call, &Attempt<'_>) -> HeaderMap,
    /// Judges a server's answer.
    pub judge: fn(&Call, &response::Parts) -> Judgement,
    /// Returns the call by which a server copies a generation's memory to another one.
    pub copy: fn(&Call, &Endpoint) -> Copying,
    /// Returns the name of the copy, from the answer to that call.
    pub copied: fn(&[u8]) -> Option<Name>,
    /// Returns the path by which a server is told, with DELETE, that a copy is not needed any more.
    pub release: fn(&Handle) -> CompactString,
    /// Returns the status and header fields for a request that is not served.
    pub refuse: fn(&Call, &Outcome) -> (StatusCode, HeaderMap),
}

/// Returns the header fields that concern more than one connection.
///
/// The fields that a connection field names are dropped with those that HTTP/1.1 lists (RFC 9110,
/// section 7.6.1).
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
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
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let word = name.as_str();
        if !HOP_BY_HOP.contains(&word) && !named.iter().any(|one| one == word) {
            kept.append(name, value.clone());
        }
    }
    kept
}
