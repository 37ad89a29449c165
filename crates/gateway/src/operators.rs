//! The HTTP API for operators.
//!
//! `POST /v1/command` takes a command line, or several lines that form one change, and responds
//! with JSON. A table is collected from all instances if each instance knows only some of its rows.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use query::Command;
use query::table::Table;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use slo::Snapshot;
use slo::report;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use wigeon_core::message::CommandLine;
use wigeon_core::message::CommandReply;
use wire::gossip::Entry;
use xtra::Address;

use crate::decider::Decider;
use crate::decider::ListOthers;
use crate::decider::ReadObjectives;
use crate::decider::RunCommand;
use crate::decider::Status;
use crate::http;
use crate::http::Body;
use crate::http::HttpClient;

/// Longest wait for the response of another instance.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest wait for the decider's reply to a command.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Dependencies of the operators' API.
pub struct Operators {
    /// Address of the decider.
    pub decider: Address<Decider>,
    /// The status of the decider.
    pub status: watch::Receiver<Status>,
    /// The bearer token that operators must present.
    pub token: String,
    /// HTTP client for the operators' API of other instances.
    pub client: HttpClient,
    /// Name of this instance.
    pub name: CompactString,
}

/// The JSON body of `POST /v1/command`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CommandRequest {
    /// The command line, or several lines that form one change.
    pub lines: Vec<String>,
    /// Id of the change, chosen by the sender, so that a command sent repeatedly is applied once.
    /// With 0 the instance chooses one.
    #[serde(default)]
    pub change_id: u64,
    /// Name of the operator.
    #[serde(default)]
    pub who: CompactString,
    /// Whether to return only a preview of the change, without applying it.
    #[serde(default)]
    pub dry_run: bool,
    /// Whether to return only the rows of the instance that gets the command.
    #[serde(default)]
    pub local: bool,
}

/// Handles one HTTP request of an operator.
pub async fn handle(
    operators: Arc<Operators>,
    request: hyper::Request<Incoming>,
) -> Response<Body> {
    if !has_operators_token(&operators, &request) {
        return refusal(
            StatusCode::UNAUTHORIZED,
            vec!["the operators' token is wrong".into()],
        );
    }
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/v1/command") => handle_command(&operators, request.into_body()).await,
        (&Method::GET, "/v1/burn") => {
            let snapshot = operators
                .decider
                .send(ReadObjectives)
                .await
                .unwrap_or_default();
            let body = serde_json::to_string(&snapshot).unwrap_or_default();
            http::json(StatusCode::OK, body)
        }
        _ => refusal(StatusCode::NOT_FOUND, vec!["no such path".into()]),
    }
}

/// Returns whether the request has the operators' token. Compares hashes, so that the time of the
/// comparison reveals nothing about the token.
fn has_operators_token(operators: &Operators, request: &hyper::Request<Incoming>) -> bool {
    let presented = http::bearer(request).unwrap_or("");
    blake3::hash(presented.as_bytes()) == blake3::hash(operators.token.as_bytes())
}

fn refusal(status: StatusCode, findings: Vec<String>) -> Response<Body> {
    let body = json!({"status": "refused", "findings": findings});
    http::json(status, body.to_string())
}

async fn handle_command(operators: &Operators, body: Incoming) -> Response<Body> {
    let Ok(bytes) = http::read_body(body).await else {
        return refusal(
            StatusCode::BAD_REQUEST,
            vec!["the body can't be read".into()],
        );
    };
    let command: CommandRequest = match serde_json::from_slice(&bytes) {
        Ok(command) => command,
        Err(error) => return refusal(StatusCode::BAD_REQUEST, vec![error.to_string()]),
    };
    let parsed = match command.lines.as_slice() {
        [line] => query::parse::parse(line).ok(),
        _ => None,
    };
    match parsed {
        Some(Command::ReportBurnRates) => burn_report(operators).await,
        Some(Command::Show(show)) if show.subject.needs_all_instances() && !command.local => {
            collect_table(operators, &command, &show).await
        }
        _ => {
            let reply = run_command(operators, &command).await;
            reply_response(reply)
        }
    }
}

/// Passes a command to the decider and waits for the reply.
async fn run_command(operators: &Operators, command: &CommandRequest) -> CommandReply {
    let (sender, receiver) = oneshot::channel();
    let id = fastrand::u64(..);
    let run = RunCommand {
        command: CommandLine {
            id,
            operator: command.who.clone(),
            lines: command.lines.clone(),
            change_id: if command.change_id == 0 {
                id
            } else {
                command.change_id
            },
            dry_run: command.dry_run,
        },
        reply: sender,
    };
    let failed = |text: &str| CommandReply::Failed(text.to_string());
    if operators.decider.send(run).detach().await.is_err() {
        return failed("the instance is stopping");
    }
    match tokio::time::timeout(REPLY_TIMEOUT, receiver).await {
        Ok(Ok(reply)) => reply,
        _ => failed("no reply in time; whether a change was accepted is not known, send it again"),
    }
}

fn reply_response(reply: CommandReply) -> Response<Body> {
    let (status, body) = match reply {
        CommandReply::Table(table) => (StatusCode::OK, json!({"status": "done", "table": table})),
        CommandReply::Json(text) => {
            let value: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
            (StatusCode::OK, json!({"status": "done", "value": value}))
        }
        CommandReply::Accepted {
            version,
            in_force,
            missing,
        } => {
            let body = json!({
                "status": "done",
                "version": version,
                "in_force": in_force,
                "not_in_force": missing,
            });
            (StatusCode::OK, body)
        }
        CommandReply::Preview(lines) => {
            (StatusCode::OK, json!({"status": "done", "preview": lines}))
        }
        CommandReply::Refused(findings) => (
            StatusCode::UNPROCESSABLE_ENTITY,
            json!({"status": "refused", "findings": findings}),
        ),
        CommandReply::Failed(text) => (
            StatusCode::SERVICE_UNAVAILABLE,
            json!({"status": "failed", "findings": [text]}),
        ),
    };
    http::json(status, body.to_string())
}

/// Collects a table's rows from all instances, then applies the command's selection. Instances that
/// do not respond are listed in the table's `missing`.
async fn collect_table(
    operators: &Operators,
    command: &CommandRequest,
    show: &query::Show,
) -> Response<Body> {
    let mut table = match run_command(operators, command).await {
        CommandReply::Table(table) => table,
        other => return reply_response(other),
    };
    let local = CommandRequest {
        local: true,
        ..command.clone()
    };
    let body = serde_json::to_string(&local).unwrap_or_default();
    for (entry, response) in query_others(operators, "POST", "/v1/command", body).await {
        let rows = response
            .and_then(|value| value.get("table").cloned())
            .and_then(|value| serde_json::from_value::<Table>(value).ok());
        match rows {
            Some(rows) => table.extend(rows),
            None => table.missing.push(entry.name),
        }
    }
    match table.select(show) {
        Ok(table) => reply_response(CommandReply::Table(table)),
        Err(unknown) => {
            let known: Vec<&str> = unknown.known.iter().map(CompactString::as_str).collect();
            let known = known.join(", ");
            let text = format!(
                "unknown field '{}'; known fields are {known}",
                unknown.field
            );
            reply_response(CommandReply::Refused(vec![text]))
        }
    }
}

/// Returns the burn rate report over the counts of all instances, as a table and a plot.
async fn burn_report(operators: &Operators) -> Response<Body> {
    let mut total: Snapshot = operators
        .decider
        .send(ReadObjectives)
        .await
        .unwrap_or_default();
    for (entry, response) in query_others(operators, "GET", "/v1/burn", String::new()).await {
        match response.and_then(|value| serde_json::from_value::<Snapshot>(value).ok()) {
            Some(snapshot) => total.merge(snapshot),
            None => total.missing.push(entry.name),
        }
    }
    let config = operators.status.borrow().config.clone();
    let burn_rates = report::burn_rates(&total, &config);
    let svg = slo::plot::svg(&burn_rates).unwrap_or_default();
    let mut table = report::to_table(&burn_rates);
    table.missing = total.missing;
    let body = json!({"status": "done", "table": table, "burns": burn_rates, "svg": svg});
    http::json(StatusCode::OK, body.to_string())
}

/// Sends the same request to all other instances. Returns each one's response, or `None` if it
/// fails or does not respond in time.
async fn query_others(
    operators: &Operators,
    method: &'static str,
    path: &'static str,
    body: String,
) -> Vec<(Entry, Option<Value>)> {
    let others = operators.decider.send(ListOthers).await.unwrap_or_default();
    let mut requests = JoinSet::new();
    for entry in others {
        let client = operators.client.clone();
        let mut request = http::request(method, entry.operators, path, body.clone());
        let token = format!("Bearer {}", operators.token);
        if let Ok(value) = token.parse() {
            request.headers_mut().insert("authorization", value);
        }
        requests.spawn(async move {
            let response = async {
                let response = client.request(request).await.ok()?;
                let bytes = response.into_body().collect().await.ok()?.to_bytes();
                serde_json::from_slice(&bytes).ok()
            };
            let value = tokio::time::timeout(PEER_TIMEOUT, response).await;
            (entry, value.ok().flatten())
        });
    }
    requests.join_all().await
}
