//! Forwarding of end-to-end header fields only.

use exchange::codec::end_to_end_headers;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

fn headers(fields: &[(&str, &str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in fields {
        let name: HeaderName = name.parse().expect("a valid header name");
        map.append(
            name,
            HeaderValue::from_str(value).expect("a valid header value"),
        );
    }
    map
}

#[test]
fn hop_by_hop_fields_and_fields_named_by_connection_are_dropped() {
    let received = headers(&[
        ("connection", "close, X-Private"),
        ("x-private", "1"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("te", "trailers"),
        ("upgrade", "h2c"),
        ("x-kept", "a"),
        ("x-kept", "b"),
        ("accept", "*/*"),
    ]);
    let forwarded = end_to_end_headers(&received);
    assert_eq!(
        forwarded,
        headers(&[("x-kept", "a"), ("x-kept", "b"), ("accept", "*/*")])
    );
}
