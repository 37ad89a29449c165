//! The `explain` command: collects the log lines of one request and states why the request ended.

use std::collections::BTreeSet;
use std::fmt::Write;

use serde_json::Map;
use serde_json::Value;

/// Time before and after a request in which log lines about its servers are shown, in seconds. An
/// engine announces its shutdown about 2 s in advance.
const CONTEXT_S: f64 = 5.0;
/// Fields left out of the printed lines: they only identify the request.
const OMITTED_FIELDS: [&str; 2] = ["id", "request"];

/// Parsed line of a JSON log.
struct LogLine {
    /// Last word before the JSON object: the name of the process in a joined log of several
    /// processes; empty if the line begins with the object.
    source: String,
    /// Time of day in seconds, or zero without a valid timestamp.
    at: f64,
    message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a JSON object that may have text before it. Returns `None` for any other line.
    fn parse(text: &str) -> Option<LogLine> {
        let start = text.find('{')?;
        let object: Value = serde_json::from_str(&text[start..]).ok()?;
        let empty = Map::new();
        Some(LogLine {
            source: text[..start].split_whitespace().last().unwrap_or("").into(),
            at: seconds_of_day(object["timestamp"].as_str().unwrap_or_default()),
            message: object["message"].as_str()?.into(),
            fields: object["kvs"].as_object().unwrap_or(&empty).clone(),
        })
    }

    fn field(&self, name: &str) -> String {
        match self.fields.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }

    /// Returns whether the line belongs to a request, by the request's id or its number.
    fn belongs_to(&self, id: &str, number: Option<&str>) -> bool {
        let has_id = self.field("id") == id;
        let has_number =
            number.is_some_and(|n| self.field("request") == n || self.message.contains(n));
        has_id || has_number
    }
}

/// Returns a report on a request: its log lines, lines about its servers from the same process
/// around that time, and a sentence on why it ended. Returns `None` if no line has the request's
/// id.
pub fn explain(id: &str, log: &str) -> Option<String> {
    let lines: Vec<LogLine> = log.lines().filter_map(LogLine::parse).collect();
    let number = lines
        .iter()
        .find(|line| line.field("id") == id && line.fields.contains_key("request"))
        .map(|line| line.field("request"));
    let request_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.belongs_to(id, number.as_deref()))
        .collect();
    let (first, last) = (request_lines.first()?.at, request_lines.last()?.at);
    let servers: BTreeSet<String> = request_lines
        .iter()
        .map(|line| line.field("server"))
        .filter(|server| !server.is_empty())
        .collect();
    let process = request_lines.first().map(|line| line.source.clone())?;
    let mut shown: Vec<&LogLine> = lines
        .iter()
        .filter(|line| {
            let names_server = servers
                .iter()
                .any(|server| line.message.contains(server.as_str()));
            let is_near = line.at >= first - CONTEXT_S && line.at <= last + CONTEXT_S;
            let same_process = line.source == process;
            line.belongs_to(id, number.as_deref()) || (names_server && is_near && same_process)
        })
        .collect();
    shown.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut text = String::new();
    for line in shown {
        let fields = line
            .fields
            .iter()
            .filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()))
            .map(|(name, _)| format!("{name}={}", line.field(name)))
            .collect::<Vec<_>>()
            .join(" ");
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{:+9.3} s  {} {} {fields}",
            line.at - first,
            line.source,
            line.message
        );
    }
    let end = request_lines
        .iter()
        .rfind(|line| line.message.contains("Ended"));
    let _ = writeln!(
        text,
        "{}",
        end.map_or_else(end_not_logged, |end| end_reason(end))
    );
    Some(text)
}

fn end_not_logged() -> String {
    "No line logs the end of the request: the log stops before it, or the process was killed while \
     the request ran."
        .into()
}

/// Returns a sentence on why a request ended, from the outcome and reason on its last line.
fn end_reason(end: &LogLine) -> String {
    let (outcome, reason) = (end.field("outcome"), end.field("reason"));
    let explanation = match reason.as_str() {
        "complete" | "recorded" => "The request was answered.",
        "overloaded" => {
            "No server of the pool could take the request within the time that the route \
             allows for admission."
        }
        "no-server" => {
            "No server of the pool accepted work: all were leaving, withdrawn or unreachable."
        }
        "organisation-limit" => "The organisation had reached its limit of running requests.",
        "no-route" => {
            "No route of the configuration in force matched, or the organisation may not use it."
        }
        "ledger-unavailable" => {
            "The idempotency key could not be claimed in the platform's store, so nothing was run."
        }
        "key-in-use" => "Another request with the same idempotency key was still running.",
        "key-unknown" => {
            "An earlier request with the same idempotency key may have run; its outcome is not known."
        }
        "retries-spent" => {
            "The first attempt failed, and the pool's budget for retries was used up or no server \
             took the next attempt in time."
        }
        "diverged" => {
            "The output of a new attempt differed from what the caller had already received."
        }
        "leaving" => "The instance was about to stop and would have cut the answer off.",
        "lost" => {
            "The server that ran the request was lost. The request must not be run again, and no \
             other server had a replica to resume it from."
        }
        "server-error" => {
            "The backend server answered with an error, which was passed on to the caller."
        }
        "timed-out" => "The deadline of the caller or the time limit of the route was exceeded.",
        "barred" => {
            "Several servers crashed while they ran the request, so it is not sent to another one."
        }
        "part-barred" => {
            "Several servers crashed when they began to answer prompts with a part of this one's, \
             so it is not sent to another one for now."
        }
        "unknown-origin" => {
            "The request continues a stream, and no instance in reach knew the software version \
             that began it, or the route no longer leads to the pool that did. It was not run."
        }
        "cancelled" => "The caller closed the connection.",
        _ => "See docs/OPERATIONS.md for this reason.",
    };
    format!("{outcome}, {reason}: {explanation}")
}

/// Returns the time of day, in seconds, of a timestamp like `2026-01-02T03:04:05.678+00:00`.
fn seconds_of_day(timestamp: &str) -> f64 {
    let clock = timestamp.split('T').nth(1).unwrap_or_default();
    let mut parts = clock.split(':');
    let mut next_number = || -> f64 {
        let is_numeric = |c: char| c.is_ascii_digit() || c == '.';
        let part = parts.next().unwrap_or_default();
        let end = part.find(|c| !is_numeric(c)).unwrap_or(part.len());
        part[..end].parse().unwrap_or(0.0)
    };
    let (hours, minutes, seconds) = (next_number(), next_number(), next_number());
    hours * 3_600.0 + minutes * 60.0 + seconds
}

#[cfg(test)]
mod tests;
