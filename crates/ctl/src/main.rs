//! `wigeonctl`, the operators' command-line client.

mod explain;

use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use gateway::http;
use gateway::operators::CommandRequest;
use http_body_util::BodyExt;
use query::table::Table;
use serde_json::Value;

/// Exit code of a command that was refused or failed, and of `explain` if no log line has the id.
const EXIT_REFUSED: u8 = 1;
/// Exit code for invalid arguments or unreadable files.
const EXIT_MISUSE: u8 = 2;
/// Exit code if no instance could be reached.
const EXIT_UNREACHABLE: u8 = 3;
/// Timeout of one attempt to send a command and receive the reply.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of times that a command is sent to each address in turn. The command's change id ensures
/// that it is applied only once.
const SEND_ROUNDS: u32 = 3;

/// Shows the state of the instances and changes their configuration.
///
/// `explain ID FILE...` reports from logs alone how a request ended and why; FILE may be - for
/// standard input.
///
/// Exit codes: 0 done, 1 refused, failed or not found, 2 misuse, 3 no instance reachable.
#[derive(FromArgs)]
struct Arguments {
    /// address of an instance's operators' interface; may be given more than once, the next one is
    /// tried if one can't be reached
    #[argh(option)]
    to: Vec<SocketAddr>,
    /// the operators' token; default: the environment variable WIGEON_TOKEN
    #[argh(option)]
    token: Option<String>,
    /// name of the operator, recorded in the history
    #[argh(option, default = "String::from(\"operator\")")]
    who: String,
    /// print the reply as JSON
    #[argh(switch)]
    json: bool,
    /// preview a change without applying it
    #[argh(switch)]
    dry_run: bool,
    /// file to write the chart of a burn report to, as SVG
    #[argh(option)]
    svg: Option<PathBuf>,
    /// a line of the command language, 'apply FILE' or 'explain ID FILE...'; without it, lines are
    /// read from standard input
    #[argh(positional, greedy)]
    line: Vec<String>,
}

/// An instance's reply to a command.
struct Reply {
    success: bool,
    value: Value,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if let [command, id, files @ ..] = arguments.line.as_slice()
        && command == "explain"
    {
        return explain_from_logs(id, files);
    }
    let commands = match commands(&arguments) {
        Ok(commands) if !commands.is_empty() => commands,
        Ok(_) => return misuse("no command given"),
        Err(error) => return misuse(&format!("{error:#}")),
    };
    if arguments.to.is_empty() {
        return misuse("--to ADDRESS is missing");
    }
    let token = arguments.token.clone();
    let Some(token) = token.or_else(|| std::env::var("WIGEON_TOKEN").ok()) else {
        return misuse("--token is missing and WIGEON_TOKEN is not set");
    };
    for lines in commands {
        let code = run(&arguments, &token, lines);
        if code != 0 {
            return ExitCode::from(code);
        }
    }
    ExitCode::SUCCESS
}

/// Reads log files and prints the report on a request. Returns the exit code.
fn explain_from_logs(id: &str, files: &[String]) -> ExitCode {
    if files.is_empty() {
        return misuse("explain needs an id and at least one log file");
    }
    let mut log = String::new();
    for file in files {
        let content = match file.as_str() {
            "-" => std::io::read_to_string(std::io::stdin()),
            file => std::fs::read_to_string(file),
        };
        match content {
            Ok(text) => log.push_str(&text),
            Err(error) => return misuse(&format!("{file}: {error}")),
        }
    }
    match explain::explain(id, &log) {
        Some(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        None => {
            eprintln!(
                "no log line has the id {id}; log lines of successful requests are rate-limited, see \
                 docs/OPERATIONS.md"
            );
            ExitCode::from(EXIT_REFUSED)
        }
    }
}

/// Prints an error message. Returns the exit code for misuse.
fn misuse(message: &str) -> ExitCode {
    eprintln!("wigeonctl: {message}");
    ExitCode::from(EXIT_MISUSE)
}

/// Returns the commands to send. The lines of one command are applied as one change.
fn commands(arguments: &Arguments) -> anyhow::Result<Vec<Vec<String>>> {
    let line = arguments.line.join(" ");
    if let Some(file) = query::parse::strip_keyword(&line, "apply") {
        let text = std::fs::read_to_string(file.trim())
            .map_err(|error| anyhow::anyhow!("{}: {error}", file.trim()))?;
        return Ok(vec![command_lines(&text)]);
    }
    if !line.trim().is_empty() {
        return Ok(vec![vec![line]]);
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text)?;
    Ok(command_lines(&text)
        .into_iter()
        .map(|line| vec![line])
        .collect())
}

/// Returns the lines of a text that contain commands.
fn command_lines(text: &str) -> Vec<String> {
    query::parse::command_lines(text)
        .map(|(_, line)| line.to_string())
        .collect()
}

/// Sends a command to the first instance that can be reached and prints the reply. Returns the exit
/// code.
#[tokio::main(flavor = "current_thread")]
async fn run(arguments: &Arguments, token: &str, lines: Vec<String>) -> u8 {
    let command = CommandRequest {
        lines,
        change_id: fastrand::u64(1..),
        who: arguments.who.as_str().into(),
        dry_run: arguments.dry_run,
        local: false,
    };
    let body = serde_json::to_string(&command).unwrap_or_default();
    for _ in 0..SEND_ROUNDS {
        for address in &arguments.to {
            if let Some(reply) = send(*address, token, &body).await {
                return print_reply(arguments, &reply);
            }
        }
    }
    eprintln!("wigeonctl: no instance could be reached");
    EXIT_UNREACHABLE
}

/// Sends a command to an instance. Returns `None` if the instance can't be reached or doesn't
/// respond in time.
async fn send(address: SocketAddr, token: &str, body: &str) -> Option<Reply> {
    let client = http::client(false);
    let mut request = http::request("POST", address, "/v1/command", body.to_string());
    let header = format!("Bearer {token}").parse().ok()?;
    request.headers_mut().insert("authorization", header);
    let exchange = async {
        let response = client.request(request).await.ok()?;
        let success = response.status().is_success();
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        let value = serde_json::from_slice(&bytes).ok()?;
        Some(Reply { success, value })
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, exchange)
        .await
        .ok()
        .flatten()
}

/// Prints a reply. Returns the exit code.
fn print_reply(arguments: &Arguments, reply: &Reply) -> u8 {
    if arguments.json {
        println!("{}", reply.value);
    } else if reply.success {
        print_value(&reply.value);
    } else {
        for finding in strings(&reply.value["findings"]) {
            eprintln!("{finding}");
        }
    }
    if let (Some(path), Some(svg)) = (&arguments.svg, reply.value["svg"].as_str())
        && let Err(error) = std::fs::write(path, svg)
    {
        eprintln!("{}: {error}", path.display());
        return EXIT_REFUSED;
    }
    if reply.success { 0 } else { EXIT_REFUSED }
}

fn print_value(value: &Value) {
    if let Ok(table) = serde_json::from_value::<Table>(value["table"].clone()) {
        print!("{}", table.to_text());
    } else if let Some(version) = value["version"].as_u64() {
        let in_force = value["in_force"].as_u64().unwrap_or(0);
        println!("version {version} is in force on {in_force} instances");
        for name in strings(&value["not_in_force"]) {
            println!("not yet on {name}");
        }
    } else if value["preview"].is_array() {
        for line in strings(&value["preview"]) {
            println!("{line}");
        }
    } else {
        let text = serde_json::to_string_pretty(&value["value"]);
        println!("{}", text.unwrap_or_default());
    }
}

/// Returns the strings of a JSON array.
fn strings(value: &Value) -> Vec<&str> {
    let items = value.as_array().map(Vec::as_slice).unwrap_or_default();
    items.iter().filter_map(Value::as_str).collect()
}
