//! The operators' command-line client.

mod explain;

use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use gateway::http;
use gateway::operators::WireCommand;
use http_body_util::BodyExt;
use query::table::Table;
use serde_json::Value;

/// Exit code for a command that was refused or failed.
const REFUSED: u8 = 1;
/// Exit code for misuse.
const MISUSE: u8 = 2;
/// Exit code where no instance could be reached.
const UNREACHED: u8 = 3;
/// Longest wait for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(20);
/// Times that a command is sent. It carries an id, so that it is done once.
const TRIES: u32 = 3;

/// Asks instances what runs where, and changes the configuration.
///
/// `explain ID FILE...` says from logs alone what became of a request and why; FILE may be - for standard
/// input.
///
/// Exit codes: 0 done, 1 refused, failed or not found, 2 misuse, 3 not reachable.
#[derive(FromArgs)]
struct Arguments {
    /// address of an instance's operators' interface; given more than once, the next one is tried
    /// where one can't be reached
    #[argh(option)]
    to: Vec<SocketAddr>,
    /// the operators' token, or the environment's WIGEON_TOKEN
    #[argh(option)]
    token: Option<String>,
    /// who gives the command, for the history
    #[argh(option, default = "String::from(\"operator\")")]
    who: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// say what a change would do, and do nothing
    #[argh(switch)]
    dry_run: bool,
    /// file for the picture of a burn report, as SVG
    #[argh(option)]
    svg: Option<PathBuf>,
    /// a line of the language, 'apply FILE' or 'explain ID FILE...'; without it, lines are read from standard input
    #[argh(positional, greedy)]
    line: Vec<String>,
}

/// What became of a command.
struct Reply {
    success: bool,
    value: Value,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if let [word, id, files @ ..] = arguments.line.as_slice()
        && word == "explain"
    {
        return explain_from(id, files);
    }
    let commands = match commands(&arguments) {
        Ok(commands) if !commands.is_empty() => commands,
        Ok(_) => return misuse("there is no command"),
        Err(error) => return misuse(&format!("{error:#}")),
    };
    if arguments.to.is_empty() {
        return misuse("--to ADDRESS is missing");
    }
    let token = arguments.token.clone();
    let Some(token) = token.or_else(|| std::env::var("WIGEON_TOKEN").ok()) else {
        return misuse("--token is missing, and so is WIGEON_TOKEN");
    };
    for lines in commands {
        let code = run(&arguments, &token, lines);
        if code != 0 {
            return ExitCode::from(code);
        }
    }
    ExitCode::SUCCESS
}

/// Prints what logs say of a request.
fn explain_from(id: &str, files: &[String]) -> ExitCode {
    if files.is_empty() {
        return misuse("explain needs an id and at least one log file");
    }
    let mut log = String::new();
    for file in files {
        let read = match file.as_str() {
            "-" => std::io::read_to_string(std::io::stdin()),
            file => std::fs::read_to_string(file),
        };
        match read {
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
                "no line names {id}; the volume of good requests is bounded, see docs/OPERATIONS.md"
            );
            ExitCode::from(REFUSED)
        }
    }
}

fn misuse(text: &str) -> ExitCode {
    eprintln!("wigeonctl: {text}");
    ExitCode::from(MISUSE)
}

/// Returns the commands: each a list of lines that are one change.
fn commands(arguments: &Arguments) -> anyhow::Result<Vec<Vec<String>>> {
    let line = arguments.line.join(" ");
    if let Some(file) = query::parse::after(&line, "apply") {
        let text = std::fs::read_to_string(file.trim())
            .map_err(|error| anyhow::anyhow!("{}: {error}", file.trim()))?;
        return Ok(vec![own_lines(&text)]);
    }
    if !line.trim().is_empty() {
        return Ok(vec![vec![line]]);
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text)?;
    Ok(own_lines(&text)
        .into_iter()
        .map(|line| vec![line])
        .collect())
}

fn own_lines(text: &str) -> Vec<String> {
    query::parse::lines(text)
        .map(|(_, line)| line.to_string())
        .collect()
}

#[tokio::main(flavor = "current_thread")]
async fn run(arguments: &Arguments, token: &str, lines: Vec<String>) -> u8 {
    let command = WireCommand {
        lines,
        change_id: fastrand::u64(1..),
        who: arguments.who.as_str().into(),
        dry_run: arguments.dry_run,
        local: false,
    };
    let body = serde_json::to_string(&command).unwrap_or_default();
    for _ in 0..TRIES {
        for address in &arguments.to {
            if let Some(reply) = send(*address, token, &body).await {
                return show(arguments, &reply);
            }
        }
    }
    eprintln!("wigeonctl: no instance could be reached");
    UNREACHED
}

async fn send(address: SocketAddr, token: &str, body: &str) -> Option<Reply> {
    let client = http::client(false);
    let mut request = http::request("POST", address, "/v1/command", body.to_string());
    let header = format!("Bearer {token}").parse().ok()?;
    request.headers_mut().insert("authorization", header);
    let asking = async {
        let response = client.request(request).await.ok()?;
        let success = response.status().is_success();
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        let value = serde_json::from_slice(&bytes).ok()?;
        Some(Reply { success, value })
    };
    tokio::time::timeout(ANSWER_TIME, asking)
        .await
        .ok()
        .flatten()
}

/// Prints a reply. Returns the exit code.
fn show(arguments: &Arguments, reply: &Reply) -> u8 {
    if arguments.json {
        println!("{}", reply.value);
    } else if reply.success {
        print_value(&reply.value);
    } else {
        for finding in texts(&reply.value["findings"]) {
            eprintln!("{finding}");
        }
    }
    if let (Some(path), Some(svg)) = (&arguments.svg, reply.value["svg"].as_str())
        && let Err(error) = std::fs::write(path, svg)
    {
        eprintln!("{}: {error}", path.display());
        return REFUSED;
    }
    if reply.success { 0 } else { REFUSED }
}

fn print_value(value: &Value) {
    if let Ok(table) = serde_json::from_value::<Table>(value["table"].clone()) {
        print!("{}", table.to_text());
    } else if let Some(version) = value["version"].as_u64() {
        let in_force = value["in_force"].as_u64().unwrap_or(0);
        println!("version {version} is in force on {in_force} instances");
        for name in texts(&value["not_in_force"]) {
            println!("not yet on {name}");
        }
    } else if value["preview"].is_array() {
        for line in texts(&value["preview"]) {
            println!("{line}");
        }
    } else {
        let text = serde_json::to_string_pretty(&value["value"]);
        println!("{}", text.unwrap_or_default());
    }
}

fn texts(value: &Value) -> Vec<&str> {
    let items = value.as_array().map(Vec::as_slice).unwrap_or_default();
    items.iter().filter_map(Value::as_str).collect()
}
