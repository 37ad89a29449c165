//! The operators' HTTP interface.
//!
//! `POST /v1/command` takes a line, or several lines that are one change, and answers with JSON.
//! Rows that only their own instance knows are collected from all of them.

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

/// Longest wait for another instance's rows.
const COLLECT_TIME: Duration = Duration::from_millis(1_500);
/// Longest wait for the decider.
const REPLY_TIME: Duration = Duration::from_secs(10);

/// What the operators' side needs.
pub struct Operators {
    /// The decider.
    pub decider: Address<Decider>,
    /// What the decider shows.
    pub status: watch::Receiver<Status>,
    /// The token that operators show.
    pub token: String,
    /// Asks other instances.
    pub client: HttpClient,
    /// Name of this instance.
    pub name: CompactString,
}

/// A command as it is sent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WireCommand {
    /// The line, or several lines that are one change.
    pub lines: Vec<String>,
    /// Chosen by the sender, so that a command sent again is done once.
    #[serde(default)]
    pub change_id: u64,
    /// Who sends it.
    #[serde(default)]
    pub who: CompactString,
    /// Whether to say only what would change.
    #[serde(default)]
    pub dry_run: bool,
    /// Whether to answer only for this instance.
    #[serde(default)]
    pub local: bool,
}

/// Answers one HTTP request.
pub async fn handle(
    operators: Arc<Operators>,
    request: hyper::Request<Incoming>,
) -> Response<Body> {
    if !is_operator(&operators, &request) {
        return refused(
            StatusCode::UNAUTHORIZED,
            vec!["the operators' token is wrong".into()],
        );
    }
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/v1/command") => command(&operators, request.into_body()).await,
        (&Method::GET, "/v1/burn") => {
            let snapshot = operators
                .decider
                .send(ReadObjectives)
                .await
                .unwrap_or_default();
            let body = serde_json::to_string(&snapshot).unwrap_or_default();
            http::json(StatusCode::OK, body)
        }
        _ => refused(
            StatusCode::NOT_FOUND,
            vec!["there is nothing at this path".into()],
        ),
    }
}

/// Compares hashes, so that the time of the comparison says nothing about the token.
fn is_operator(operators: &Operators, request: &hyper::Request<Incoming>) -> bool {
    let shown = http::bearer(request).unwrap_or("");
    blake3::hash(shown.as_bytes()) == blake3::hash(operators.token.as_bytes())
}

fn refused(status: StatusCode, findings: Vec<String>) -> Response<Body> {
    let body = json!({"status": "refused", "findings": findings});
    http::json(status, body.to_string())
}

async fn command(operators: &Operators, body: Incoming) -> Response<Body> {
    let Ok(bytes) = http::read_body(body).await else {
        return refused(
            StatusCode::BAD_REQUEST,
            vec!["the body can't be read".into()],
        );
    };
    let command: WireCommand = match serde_json::from_slice(&bytes) {
        Ok(command) => command,
        Err(error) => return refused(StatusCode::BAD_REQUEST, vec![error.to_string()]),
    };
    let parsed = match command.lines.as_slice() {
        [line] => query::parse::parse(line).ok(),
        _ => None,
    };
    match parsed {
        Some(Command::Burn) => burn_report(operators).await,
        Some(Command::Show(show)) if show.subject.is_spread() && !command.local => {
            collect(operators, &command, &show).await
        }
        _ => {
            let reply = tell(operators, &command).await;
            respond(reply)
        }
    }
}

async fn tell(operators: &Operators, command: &WireCommand) -> CommandReply {
    let (sender, receiver) = oneshot::channel();
    let id = fastrand::u64(..);
    let run = RunCommand {
        command: CommandLine {
            id,
            who: command.who.clone(),
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
    match tokio::time::timeout(REPLY_TIME, receiver).await {
        Ok(Ok(reply)) => reply,
        _ => failed("no answer in time; whether a change was accepted is not known, send it again"),
    }
}

fn respond(reply: CommandReply) -> Response<Body> {
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

/// Collects the rows of all instances.
async fn collect(
    operators: &Operators,
    command: &WireCommand,
    show: &query::Show,
) -> Response<Body> {
    let mut table = match tell(operators, command).await {
        CommandReply::Table(table) => table,
        other => return respond(other),
    };
    let local = WireCommand {
        local: true,
        ..command.clone()
    };
    let body = serde_json::to_string(&local).unwrap_or_default();
    for (entry, answer) in ask_others(operators, "POST", "/v1/command", body).await {
        let rows = answer
            .and_then(|value| value.get("table").cloned())
            .and_then(|value| serde_json::from_value::<Table>(value).ok());
        match rows {
            Some(rows) => table.extend(rows),
            None => table.missing.push(entry.name),
        }
    }
    match table.select(show) {
        Ok(table) => respond(CommandReply::Table(table)),
        Err(unknown) => {
            let known: Vec<&str> = unknown.known.iter().map(CompactString::as_str).collect();
            let known = known.join(", ");
            let text = format!("there is no field '{}'; known are {known}", unknown.field);
            respond(CommandReply::Refused(vec![text]))
        }
    }
}

async fn burn_report(operators: &Operators) -> Response<Body> {
    let mut sum: Snapshot = operators
        .decider
        .send(ReadObjectives)
        .await
        .unwrap_or_default();
    for (entry, answer) in ask_others(operators, "GET", "/v1/burn", String::new()).await {
        match answer.and_then(|value| serde_json::from_value::<Snapshot>(value).ok()) {
            Some(snapshot) => sum.merge(snapshot),
            None => sum.missing.push(entry.name),
        }
    }
    let config = operators.status.borrow().config.clone();
    let burn_rates = report::lines(&sum, &config);
    let svg = slo::plot::svg(&burn_rates).unwrap_or_default();
    let mut table = report::to_table(&burn_rates);
    table.missing = sum.missing;
    let body = json!({"status": "done", "table": table, "burns": burn_rates, "svg": svg});
    http::json(StatusCode::OK, body.to_string())
}

/// Asks all other instances the same thing.
async fn ask_others(
    operators: &Operators,
    method: &'static str,
    path: &'static str,
    body: String,
) -> Vec<(Entry, Option<Value>)> {
    let others = operators.decider.send(ListOthers).await.unwrap_or_default();
    let mut asking = JoinSet::new();
    for entry in others {
        let client = operators.client.clone();
        let mut request = http::request(method, entry.operators, path, body.clone());
        let token = format!("Bearer {}", operators.token);
        if let Ok(value) = token.parse() {
            request.headers_mut().insert("authorization", value);
        }
        asking.spawn(async move {
            let answer = async {
                let response = client.request(request).await.ok()?;
                let bytes = response.into_body().collect().await.ok()?.to_bytes();
                serde_json::from_slice(&bytes).ok()
            };
            let answer = tokio::time::timeout(COLLECT_TIME, answer).await;
            (entry, answer.ok().flatten())
        });
    }
    asking.join_all().await
}
