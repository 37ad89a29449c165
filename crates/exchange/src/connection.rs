//! Connections to servers, and calls that concern replicas of a generation's KV memory.

use std::net::SocketAddr;

use bytes::Bytes;
pub use gateway::connection::ConnectionError;
pub use gateway::connection::ConnectionGuard;
pub use gateway::connection::ServerBody;
use gateway::connection::fetch;
use gateway::connection::request;
pub use gateway::connection::send_request;
use hyper::Method;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;

use crate::codec::ReplicateCall;

/// Maximum size of a response to a call, in bytes.
const RESPONSE_BYTES_MAX: usize = 16 * 1_024;

/// Makes a server replicate a generation's KV memory. Returns the response.
///
/// # Errors
///
/// Returns an error if the server is unreachable or its response is not complete.
pub async fn replicate(
    server: SocketAddr,
    call: ReplicateCall,
) -> Result<Response<Bytes>, ConnectionError> {
    let mut request = request(Method::POST, server, &call.path, call.body)
        .map_err(|_| ConnectionError::Unreachable)?;
    let media = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, media);
    fetch(server, request, RESPONSE_BYTES_MAX).await
}

/// Releases a replica at the server that made it. Returns the response.
///
/// # Errors
///
/// Returns an error if the server is unreachable or its response is not complete.
pub async fn release_replica(
    server: SocketAddr,
    path: &str,
) -> Result<Response<Bytes>, ConnectionError> {
    let request =
        request(Method::DELETE, server, path, "").map_err(|_| ConnectionError::Unreachable)?;
    fetch(server, request, RESPONSE_BYTES_MAX).await
}
