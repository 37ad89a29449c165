//! Header fields that go on, and those that stay.

use exchange::codec::end_to_end;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

fn headers(fields: &[(&str, &str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in fields {
        let name: HeaderName = name.parse().expect("it is a name");
        map.append(name, HeaderValue::from_str(value).expect("it is a value"));
    }
    map
}

#[test]
fn fields_of_one_connection_are_dropped_with_those_they_name() {
    let sent = headers(&[
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
    let kept = end_to_end(&sent);
    assert_eq!(
        kept,
        headers(&[("x-kept", "a"), ("x-kept", "b"), ("accept", "*/*")])
    );
}
