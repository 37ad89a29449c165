//! Demonstration of the whole system in one process. Starts instances in two data centres, with
//! simulated engines, a plain service and the platform, sends a few requests, then takes a data
//! centre out of service and brings it back.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use compact_str::CompactString;
use gateway::http;
use gateway::http::HttpClient;
use http_body_util::BodyExt;
use load::fleet::DataCentre;
use load::fleet::Fleet;
use load::fleet::FleetConfig;
use load::fleet::OPERATORS_TOKEN;
use serde_json::Value;
use serde_json::json;
use standin::token::Marker;
use wigeon_core::Policy;

/// Access token of the organisation that sends the requests.
const CALLER_TOKEN: &str = "sign-shop-token";

/// Demonstrates the whole system in one process.
#[derive(FromArgs)]
struct Arguments {
    /// keep serving after the demonstration
    #[argh(switch)]
    stay: bool,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    println!(
        "Starting three instances in two data centres, four engines, a plain service and a store."
    );
    let fleet = Fleet::start(&fleet_config()).await?;
    let client = http::client(true);
    let callers = fleet.caller_addresses();

    println!(
        "\nA letter, streamed token by token, through {}:",
        callers[0]
    );
    stream_completion(&client, callers[0], "letter", marker(1, 24)).await?;
    println!("\nA bulletin, not streamed, through {}:", callers[1]);
    fetch_completion(&client, callers[1], "bulletin", marker(2, 40)).await?;
    println!("\nA status lookup through {}:", callers[2]);
    call(&client, callers[2], "status", marker(3, 1), None).await?;
    println!("\nA mark, sent twice with the same idempotency key, through two instances:");
    for address in &callers[..2] {
        call(&client, *address, "mark", marker(4, 1), Some("quote-17")).await?;
    }

    println!("\nTaking data centre east out of service:");
    println!("  {}", fleet.command(2, "take out data-centre east").await?);
    println!("A letter through an instance in east, which sends it to a server in west:");
    stream_completion(&client, callers[0], "letter", marker(5, 12)).await?;
    println!("\nBringing data centre east back:");
    println!(
        "  {}",
        fleet.command(0, "bring back data-centre east").await?
    );
    let reply = fleet.command(1, "show data-centres").await?;
    println!("  {}", reply["table"]["rows"]);
    print_received_requests(&fleet);

    if arguments.stay {
        keep_serving(&fleet, &callers).await;
    }
    fleet.stop().await;
    println!("\nDone.");
    Ok(())
}

fn fleet_config() -> FleetConfig {
    let data_centre = |name: &str, instances, plains| DataCentre {
        name: name.into(),
        instances,
        engines: 2,
        plains,
    };
    let token_hash = conf::hash_token(CALLER_TOKEN);
    FleetConfig {
        data_centres: vec![data_centre("east", 2, 1), data_centre("west", 1, 0)],
        engine: standin::engine::Settings {
            step: Duration::from_millis(40),
            ..standin::engine::Settings::default()
        },
        plain: standin::plain::Settings::default(),
        policy: Policy::Coordinator,
        warm: false,
        shutdown_delay: Duration::from_millis(500),
        config: [
            "put data-centre east {}",
            "put data-centre west {}",
            &format!(r#"put organisation sign-shop {{"token_hash": "{token_hash}"}}"#),
            r#"put pool engines {"cold_limit": 2, "batch": 16}"#,
            r#"put pool plains {"service": "plain", "cold_limit": 2, "batch": 16}"#,
            r#"put route letter {"pool": "engines"}"#,
            r#"put route bulletin {"pool": "engines", "delivery": "whole"}"#,
            r#"put route status {"pool": "plains", "class": "interactive"}"#,
            r#"put route mark {"pool": "plains", "idempotent": false, "rerun": false}"#,
        ]
        .map(String::from)
        .to_vec(),
        seed: 1,
    }
}

fn marker(request: u64, length: u32) -> Marker {
    Marker {
        request,
        length,
        ..Marker::default()
    }
}

/// Adds the organisation's access token to a request.
fn authorised(
    mut request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
) -> anyhow::Result<hyper::Request<http_body_util::Full<bytes::Bytes>>> {
    let value = format!("Bearer {CALLER_TOKEN}").parse()?;
    request.headers_mut().insert("authorization", value);
    Ok(request)
}

/// Returns a completion request, not yet authorised.
fn completion_request(
    address: SocketAddr,
    route: &str,
    marker: Marker,
    stream: bool,
) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
    let prompt = format!("{} Please write.", marker.to_text());
    let body = json!({"model": route, "prompt": prompt, "stream": stream});
    http::request("POST", address, "/v1/completions", body.to_string())
}

/// Sends a completion request and prints its tokens as they arrive.
async fn stream_completion(
    client: &HttpClient,
    address: SocketAddr,
    route: &str,
    marker: Marker,
) -> anyhow::Result<()> {
    let request = authorised(completion_request(address, route, marker, true))?;
    let response = client.request(request).await?;
    print!("  ");
    let mut body = response.into_body();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        text.push_str(&String::from_utf8_lossy(&data));
        while let Some((event, rest)) = text.split_once("\n\n") {
            print_event(event);
            text = rest.to_string();
        }
    }
    println!();
    anyhow::ensure!(
        text.is_empty(),
        "the stream ended in the middle of an event"
    );
    Ok(())
}

/// Prints the token of a server-sent event.
fn print_event(event: &str) {
    let data = event.lines().find_map(|line| line.strip_prefix("data: "));
    let value: Value = serde_json::from_str(data.unwrap_or("")).unwrap_or_default();
    let token = value["choices"][0]["text"].as_str().unwrap_or("");
    print!("{token}");
    let _ = std::io::stdout().flush();
}

/// Sends a completion request without streaming and prints the start of the text.
async fn fetch_completion(
    client: &HttpClient,
    address: SocketAddr,
    route: &str,
    marker: Marker,
) -> anyhow::Result<()> {
    let request = authorised(completion_request(address, route, marker, false))?;
    let response = client.request(request).await?;
    let bytes = response.into_body().collect().await?.to_bytes();
    let value: Value = serde_json::from_slice(&bytes)?;
    let text = value["choices"][0]["text"].as_str().unwrap_or("");
    anyhow::ensure!(
        !text.is_empty(),
        "no completion text in the response: {value}"
    );
    let tokens = text.split_whitespace().count();
    println!(
        "  {tokens} tokens: {}...",
        text.chars().take(40).collect::<String>()
    );
    Ok(())
}

/// Calls a plain service and prints the response.
async fn call(
    client: &HttpClient,
    address: SocketAddr,
    route: &str,
    marker: Marker,
    key: Option<&str>,
) -> anyhow::Result<()> {
    let path = format!("/v1/call/{route}/run");
    let mut request = authorised(http::request("POST", address, &path, marker.to_text()))?;
    if let Some(key) = key {
        request
            .headers_mut()
            .insert("idempotency-key", key.parse()?);
    }
    let response = client.request(request).await?;
    let status = response.status();
    let bytes = response.into_body().collect().await?.to_bytes();
    println!("  {status} {}", String::from_utf8_lossy(&bytes));
    anyhow::ensure!(
        status.is_success(),
        "the service call failed, see the status and body above"
    );
    Ok(())
}

/// Prints the requests that each backend server received.
fn print_received_requests(fleet: &Fleet) {
    println!("\nRequests received by the backend servers:");
    for server in &fleet.servers {
        let requests = server.backend.started_requests();
        println!("  {:<16} requests {requests:?}", server.name);
    }
}

/// Prints commands to try, then waits until the process is killed.
async fn keep_serving(fleet: &Fleet, callers: &[SocketAddr]) {
    let operators: CompactString = fleet.nodes[0].0.operators.to_string().into();
    println!("\nStill serving. Try:");
    println!(
        "  curl -N http://{}/v1/completions -H 'Authorization: Bearer {CALLER_TOKEN}' \\\n    -d '{{\"model\": \"letter\", \"prompt\": \"[request=9 length=50] Dear\", \"stream\": true}}'",
        callers[0]
    );
    println!(
        "  cargo run --release --bin wigeonctl -- --to {operators} --token {OPERATORS_TOKEN} show servers"
    );
    std::future::pending::<()>().await;
}
