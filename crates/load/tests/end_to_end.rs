//! End-to-end tests with instances and stand-ins over loopback: shutdowns, crashes, disconnected
//! callers and invalid requests, as callers and operators see them.
//!
//! The tests wait for conditions instead of fixed times, so that they pass on slow machines too.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gateway::http;
use gateway::http::HttpClient;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use load::caller;
use load::caller::CallStatus;
use load::caller::RequestSpec;
use load::fleet::Backend;
use load::fleet::DataCentre;
use load::fleet::Fleet;
use load::fleet::FleetConfig;
use load::fleet::Server;
use serde_json::Value;
use serde_json::json;
use standin::token;
use standin::token::Marker;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wigeon_core::Policy;

const TOKEN: &str = "org-token";

fn fleet_config(instances: usize) -> FleetConfig {
    let hash = conf::hash_token(TOKEN);
    FleetConfig {
        data_centres: vec![
            DataCentre {
                name: "a".into(),
                instances,
                engines: 1,
                plains: 1,
            },
            DataCentre {
                name: "b".into(),
                instances: 1,
                engines: 1,
                plains: 0,
            },
        ],
        engine: standin::engine::Settings {
            step: Duration::from_millis(10),
            ..standin::engine::Settings::default()
        },
        plain: standin::plain::Settings::default(),
        policy: Policy::Coordinator,
        warm: true,
        shutdown_delay: Duration::from_millis(2_000),
        config: [
            "put data-centre a {}",
            "put data-centre b {}",
            &format!(r#"put organisation org {{"token_hash": "{hash}"}}"#),
            r#"put pool engines {}"#,
            r#"put pool plains {"service": "plain"}"#,
            r#"put route letter {"pool": "engines"}"#,
            r#"put route bulletin {"pool": "engines", "delivery": "whole"}"#,
            r#"put route mark {"pool": "plains", "idempotent": false, "rerun": false}"#,
        ]
        .map(String::from)
        .to_vec(),
        seed: 1,
    }
}

fn request_spec(request: u64, length: u32, route: &str) -> RequestSpec {
    RequestSpec {
        marker: Marker {
            request,
            length,
            ..Marker::default()
        },
        route: route.into(),
        token: TOKEN.into(),
        organisation: "org".into(),
        plain: route == "mark",
        stream: route == "letter",
        key: (route == "mark").then(|| format!("key-{request}")),
        preamble: String::new(),
        filler: String::new(),
    }
}

/// Returns the text of the first `count` tokens of the output.
fn expected_text(marker: &Marker, count: u32) -> String {
    (0..count)
        .map(|index| token::text(marker, 0, index))
        .collect()
}

async fn post(client: &HttpClient, address: SocketAddr, body: &str) -> (StatusCode, Value) {
    let mut request = http::request("POST", address, "/v1/completions", body.to_string());
    let value = format!("Bearer {TOKEN}")
        .parse()
        .expect("the header value is valid");
    request.headers_mut().insert("authorization", value);
    let response = client.request(request).await.expect("a response arrives");
    let status = response.status();
    let bytes = response
        .into_body()
        .collect()
        .await
        .expect("the body arrives whole")
        .to_bytes();
    (status, serde_json::from_slice(&bytes).unwrap_or_default())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn oversized_body_gets_a_complete_response_that_closes_the_connection() {
    let fleet = Fleet::start(&fleet_config(1))
        .await
        .expect("the fleet starts");
    let address = fleet.caller_addresses()[0];
    let body = "x".repeat(2 << 20);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {TOKEN}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the instance accepts connections");
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the header is sent");
    stream
        .write_all(body.as_bytes())
        .await
        .expect("the whole body is read, so the connection is not reset");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("the connection ends without a reset");
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    assert!(
        response.to_lowercase().contains("\r\nconnection: close"),
        "{response}"
    );
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invalid_requests_are_refused_with_reason_and_without_a_run() {
    let fleet = Fleet::start(&fleet_config(1))
        .await
        .expect("the fleet starts");
    let client = http::client(true);
    let address = fleet.caller_addresses()[0];
    let large = format!(
        r#"{{"model": "letter", "prompt": "{}"}}"#,
        "x".repeat(2 << 20)
    );
    let cases = [
        (r#"{"model": "#, StatusCode::BAD_REQUEST, "body"),
        (r#"{"model": "letter"}"#, StatusCode::BAD_REQUEST, "prompt"),
        (
            r#"{"model": "none", "prompt": "p"}"#,
            StatusCode::NOT_FOUND,
            "no-route",
        ),
        (
            r#"{"model": "mark", "prompt": "p"}"#,
            StatusCode::NOT_FOUND,
            "no-route",
        ),
        (
            large.as_str(),
            StatusCode::PAYLOAD_TOO_LARGE,
            "body-too-large",
        ),
    ];
    for (body, status, code) in cases {
        let (found, value) = post(&client, address, body).await;
        assert_eq!(
            (found, value["error"]["code"].as_str()),
            (status, Some(code))
        );
        assert_eq!(value["error"]["run"], "none");
    }
    let mut unauthorised = request_spec(1, 5, "letter");
    unauthorised.token = "nobody".into();
    let record = caller::call(&client, address, unauthorised).await;
    assert_eq!(
        (record.status, record.reason.as_str()),
        (CallStatus::Refused, "organisation")
    );
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn graceful_shutdown_completes_open_streams_and_serves_requests_during_its_delay() {
    let mut fleet = Fleet::start(&fleet_config(2))
        .await
        .expect("the fleet starts");
    let address = fleet.caller_addresses()[0];
    let streams: Vec<_> = (0..6)
        .map(|number| {
            let client = http::client(false);
            let spec = request_spec(100 + number, 120, "letter");
            tokio::spawn(async move { caller::call(&client, address, spec).await })
        })
        .collect();
    wait_for_starts(&fleet, 6).await;
    let http2_call = tokio::spawn(http2_stream(
        address,
        request_spec(200, 120, "letter").marker,
    ));
    wait_for_starts(&fleet, 7).await;
    let late_call = tokio::spawn(async move {
        // Sent after the start of the shutdown, like a request of a balancer with outdated
        // readiness.
        tokio::time::sleep(Duration::from_millis(50)).await;
        caller::call(
            &http::client(false),
            address,
            request_spec(300, 10, "letter"),
        )
        .await
    });
    fleet
        .replace_node(0, true)
        .await
        .expect("a new instance starts");
    for call in streams {
        let record = call.await.expect("the call ends");
        assert_eq!(
            (record.status, record.tokens.len()),
            (CallStatus::Answered, 120)
        );
    }
    assert!(
        http2_call
            .await
            .expect("the stream ends")
            .ends_with("data: [DONE]\n\n")
    );
    assert_eq!(
        late_call.await.expect("the call ends").status,
        CallStatus::Answered
    );
    fleet.stop().await;
}

fn is_plain(server: &Server) -> bool {
    matches!(server.backend, Backend::Plain(_))
}

/// Waits until the engines have started this number of requests.
async fn wait_for_starts(fleet: &Fleet, count: usize) {
    let started_requests = || -> usize {
        let engines = fleet.servers.iter().filter(|server| !is_plain(server));
        engines
            .map(|server| server.backend.started_requests().len())
            .sum()
    };
    while started_requests() < count {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn http2_stream(address: SocketAddr, marker: Marker) -> String {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new())
        .http2_only(true)
        .build_http();
    let body = json!({"model": "letter", "prompt": marker.to_text(), "stream": true});
    let request = Request::post(format!("http://{address}/v1/completions"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("the request is valid");
    let response = client.request(request).await.expect("a response arrives");
    let bytes = response
        .into_body()
        .collect()
        .await
        .expect("the body arrives whole")
        .to_bytes();
    String::from_utf8_lossy(&bytes).into_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn interrupted_stream_resumes_through_another_instance() {
    let fleet = Fleet::start(&fleet_config(2))
        .await
        .expect("the fleet starts");
    let client = http::client(true);
    let marker = request_spec(7, 60, "letter").marker;
    let body = json!({"model": "letter", "prompt": marker.to_text(), "stream": true});
    let mut request = http::request(
        "POST",
        fleet.caller_addresses()[0],
        "/v1/completions",
        body.to_string(),
    );
    authorise(&mut request);
    let response = client.request(request).await.expect("a response arrives");
    let name = response.headers()["x-wigeon-answer"]
        .to_str()
        .expect("the header value is text")
        .to_string();
    let mut first = response.into_body();
    let _ = first.frame().await;
    drop(first);

    let path = format!("/v1/answers/{name}");
    let mut request = http::request("GET", fleet.caller_addresses()[1], &path, "");
    authorise(&mut request);
    let last = "9".parse().expect("the header value is valid");
    request.headers_mut().insert("last-event-id", last);
    let response = client.request(request).await.expect("a response arrives");
    let text = body_text(response).await;
    let ids: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    assert_eq!(ids.first(), Some(&"10"));
    assert_eq!(ids.len(), 51, "50 tokens and the final event");
    assert!(text.ends_with("data: [DONE]\n\n"));
    fleet.stop().await;
}

fn authorise(request: &mut Request<Full<Bytes>>) {
    let value = format!("Bearer {TOKEN}")
        .parse()
        .expect("the header value is valid");
    request.headers_mut().insert("authorization", value);
}

async fn body_text(response: Response<Incoming>) -> String {
    let bytes = response
        .into_body()
        .collect()
        .await
        .expect("the body arrives whole")
        .to_bytes();
    String::from_utf8_lossy(&bytes).into_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn generation_is_cancelled_when_its_caller_disconnects() {
    let fleet = Fleet::start(&fleet_config(1))
        .await
        .expect("the fleet starts");
    let client = http::client(false);
    let address = fleet.caller_addresses()[0];
    let call = tokio::spawn(async move {
        caller::call(&client, address, request_spec(8, 100_000, "letter")).await
    });
    wait_for_starts(&fleet, 1).await;
    call.abort();
    let busy = |fleet: &Fleet| {
        fleet.servers.iter().any(|server| match &server.backend {
            Backend::Engine(engine) => engine.with(|engine| !engine.requests().is_empty()),
            Backend::Plain(_) => false,
        })
    };
    while busy(&fleet) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unstreamed_answer_is_complete_after_a_crash_of_its_engine() {
    let fleet = Fleet::start(&fleet_config(1))
        .await
        .expect("the fleet starts");
    let address = fleet.caller_addresses()[0];
    let spec = request_spec(9, 150, "bulletin");
    let expected = expected_text(&spec.marker, 150);
    let call = tokio::spawn(async move { caller::call(&http::client(false), address, spec).await });
    wait_for_starts(&fleet, 1).await;
    crash_busy_engine(&fleet).await;
    let record = call.await.expect("the call ends");
    let text: String = record
        .tokens
        .iter()
        .map(|(_, text)| text.as_str())
        .collect();
    assert_eq!((record.status, text), (CallStatus::Answered, expected));
    fleet.stop().await;
}

async fn crash_busy_engine(fleet: &Fleet) {
    for server in &fleet.servers {
        if let Backend::Engine(engine) = &server.backend
            && engine.with(|engine| !engine.requests().is_empty())
        {
            engine.crash().await;
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_continue_while_the_decider_is_replaced() {
    let fleet = Fleet::start(&fleet_config(1))
        .await
        .expect("the fleet starts");
    let address = fleet.caller_addresses()[0];
    let call = tokio::spawn(async move {
        caller::call(
            &http::client(false),
            address,
            request_spec(10, 150, "letter"),
        )
        .await
    });
    wait_for_starts(&fleet, 1).await;
    if let Some(node) = &fleet.nodes[0].1 {
        node.panic_decider().await;
    }
    let record = call.await.expect("the call ends");
    assert_eq!(
        (record.status, record.tokens.len()),
        (CallStatus::Answered, 150)
    );
    let retried = loop {
        // The new decider refuses requests until it has read the configuration.
        let record = caller::call(
            &http::client(false),
            address,
            request_spec(11, 10, "letter"),
        )
        .await;
        if record.status == CallStatus::Answered {
            break record;
        }
        assert_eq!(record.status, CallStatus::Refused);
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert_eq!(retried.tokens.len(), 10);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keyed_request_on_a_silent_server_runs_once_and_is_reported_as_unknown() {
    let fleet = Fleet::start(&fleet_config(1))
        .await
        .expect("the fleet starts");
    let address = fleet.caller_addresses()[0];
    set_silent(&fleet, true);
    let first = caller::call(&http::client(false), address, request_spec(12, 1, "mark")).await;
    assert_eq!(
        (first.status, first.reason.as_str()),
        (CallStatus::Failed, "lost")
    );
    set_silent(&fleet, false);
    let second = caller::call(&http::client(false), address, request_spec(12, 1, "mark")).await;
    assert_eq!(
        (second.status, second.reason.as_str()),
        (CallStatus::Failed, "key-unknown")
    );
    let plain_servers = fleet.servers.iter().filter(|server| is_plain(server));
    let runs: usize = plain_servers
        .map(|server| server.backend.started_requests().len())
        .sum();
    assert_eq!(runs, 1);
    fleet.stop().await;
}

fn set_silent(fleet: &Fleet, silent: bool) {
    for server in &fleet.servers {
        if let Backend::Plain(plain) = &server.backend {
            plain.set_silent(silent);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn operator_commands_require_a_token_and_report_findings() {
    let fleet = Fleet::start(&fleet_config(1))
        .await
        .expect("the fleet starts");
    let client = http::client(true);
    let operators = fleet.nodes[0].0.operators;
    let request = http::request("POST", operators, "/v1/command", "{}");
    let response = client.request(request).await.expect("a response arrives");
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    let error = fleet.command(0, "take out east").await.unwrap_err();
    assert!(format!("{error:#}").contains("column 10"), "{error:#}");
    let error = fleet
        .command(0, "set pool engines batch 0")
        .await
        .unwrap_err();
    assert!(
        format!("{error:#}").contains("pools.engines.batch"),
        "{error:#}"
    );
    fleet
        .command(0, "take out data-centre a")
        .await
        .expect("the command is accepted");
    let error = fleet
        .command(1, "take out data-centre b")
        .await
        .unwrap_err();
    assert!(
        format!("{error:#}").contains("last one in service"),
        "{error:#}"
    );
    let shown = fleet
        .command(1, "show servers by data-centre")
        .await
        .expect("the query succeeds");
    assert_eq!(shown["table"]["columns"], json!(["data-centre", "count"]));
    fleet.stop().await;
}
