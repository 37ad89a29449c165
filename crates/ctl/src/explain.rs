//! What a log says of one request, and why it ended as it did.

use std::collections::BTreeSet;
use std::fmt::Write;

use serde_json::Map;
use serde_json::Value;

/// Time around a request in which changes of belief about its servers are shown, in seconds: an engine
/// says that it leaves some two seconds before it goes.
const AROUND_S: f64 = 5.0;
/// Fields of a line that are shown in front, or say nothing new.
const SHOWN: [&str; 2] = ["id", "request"];

/// One line of a log.
struct Line {
    /// What stood in front of the JSON object: the process, where logs of several were joined.
    source: String,
    /// Seconds of the day, or zero.
    at: f64,
    message: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads one JSON object, with any text before it.
    fn read(text: &str) -> Option<Line> {
        let start = text.find('{')?;
        let object: Value = serde_json::from_str(&text[start..]).ok()?;
        let empty = Map::new();
        Some(Line {
            source: text[..start].split_whitespace().last().unwrap_or("").into(),
            at: seconds(object["timestamp"].as_str().unwrap_or_default()),
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

    fn is_of(&self, id: &str, number: Option<&str>) -> bool {
        let named = self.field("id") == id;
        let numbered =
            number.is_some_and(|n| self.field("request") == n || self.message.contains(n));
        named || numbered
    }
}

/// Returns what a log says of a request, line by line and with the cause at the end, or nothing if the
/// log does not name it.
pub fn explain(id: &str, log: &str) -> Option<String> {
    let lines: Vec<Line> = log.lines().filter_map(Line::read).collect();
    let number = lines
        .iter()
        .find(|line| line.field("id") == id && line.fields.contains_key("request"))
        .map(|line| line.field("request"));
    let own: Vec<&Line> = lines
        .iter()
        .filter(|line| line.is_of(id, number.as_deref()))
        .collect();
    let (first, last) = (own.first()?.at, own.last()?.at);
    let servers: BTreeSet<String> = own
        .iter()
        .map(|line| line.field("server"))
        .filter(|server| !server.is_empty())
        .collect();
    let holder = own.first().map(|line| line.source.clone())?;
    let mut shown: Vec<&Line> = lines
        .iter()
        .filter(|line| {
            let about = servers
                .iter()
                .any(|server| line.message.contains(server.as_str()));
            let near = line.at >= first - AROUND_S && line.at <= last + AROUND_S;
            let here = line.source == holder;
            line.is_of(id, number.as_deref()) || (about && near && here)
        })
        .collect();
    shown.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut text = String::new();
    for line in shown {
        let fields = line
            .fields
            .iter()
            .filter(|(name, _)| !SHOWN.contains(&name.as_str()))
            .map(|(name, _)| format!("{name}={}", line.field(name)))
            .collect::<Vec<_>>()
            .join(" ");
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{:+9.3} s  {} {} {fields}",
            line.at - first,
            line.source,
            line.message
        );
    }
    let end = own.iter().rfind(|line| line.message.contains("Ended"));
    let _ = writeln!(text, "{}", end.map_or_else(unfinished, |end| cause(end)));
    Some(text)
}

fn unfinished() -> String {
    "The log ends before the request does, or its process was killed over it.".into()
}

/// Says in a sentence why a request ended as it did.
fn cause(end: &Line) -> String {
    let (outcome, reason) = (end.field("outcome"), end.field("reason"));
    let why = match reason.as_str() {
        "complete" | "recorded" => "It was served.",
        "overloaded" => "No server had room in the time that its route allows for a first place.",
        "no-server" => {
            "No server of its pool took work: all were leaving, withdrawn or unreachable."
        }
        "limited" => "Its organisation had as much running as it may.",
        "leaving" => "The instance was about to end, and would have cut it.",
        "lost" => "Its server was lost, and it may not run again; there was no copy to go on from.",
        "server-error" => "The server itself answered with a failure, which was passed on.",
        "timed-out" => "Its time was over: the caller's, or that of its route.",
        "barred" => "It crashed several servers and is not given to any more.",
        "cancelled" => "Its caller left.",
        _ => "The reason is on docs/OPERATIONS.md.",
    };
    format!("{outcome}, {reason}: {why}")
}

/// Returns the seconds of the day of a time of the form `2026-01-02T03:04:05.678+00:00`.
fn seconds(timestamp: &str) -> f64 {
    let clock = timestamp.split('T').nth(1).unwrap_or_default();
    let mut parts = clock.split(':');
    let mut next = || -> f64 {
        let digits = |c: char| c.is_ascii_digit() || c == '.';
        let part = parts.next().unwrap_or_default();
        let end = part.find(|c| !digits(c)).unwrap_or(part.len());
        part[..end].parse().unwrap_or(0.0)
    };
    let (hours, minutes, seconds) = (next(), next(), next());
    hours * 3_600.0 + minutes * 60.0 + seconds
}

#[cfg(test)]
mod tests;
