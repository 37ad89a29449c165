//! What a process is told, and its findings.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use conf::Finding;
use serde_json::Map;
use serde_json::Value;
use wigeon_core::Policy;

/// Shortest key of the peers, in characters.
const KEY_CHARS: usize = 16;
/// Longest delay of a shutdown, in milliseconds.
const DELAY_MS_MAX: u64 = 600_000;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogForm {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// What one process is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique.
    pub name: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for frames.
    pub peers: SocketAddr,
    /// Where it listens for operators.
    pub operators: SocketAddr,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The key that all instances share.
    pub peers_key: String,
    /// The token that operators show.
    pub operators_token: String,
    /// Level of the log: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: CompactString,
    /// Form of the log.
    pub log_form: LogForm,
    /// Time for which callers are still accepted after a shutdown has begun.
    pub shutdown_delay: Duration,
    /// Longest time that a shutdown waits for running work. Nothing is cut where there is none.
    pub shutdown_limit: Option<Duration>,
    /// Calls a second that this instance may make to the store.
    pub store_rate: f64,
    /// Shards of the ledger, the same in all instances.
    pub shards: u32,
    /// How backend servers are chosen.
    pub policy: Policy,
}

impl Settings {
    /// Reads settings from JSON.
    ///
    /// # Errors
    ///
    /// All findings, each with its place.
    pub fn from_json(text: &str) -> Result<Settings, Vec<Finding>> {
        let value: Value = serde_json::from_str(text).map_err(|error| {
            let place = format!("line {} column {}", error.line(), error.column());
            vec![Finding::new(place, format!("not JSON: {error}"))]
        })?;
        let Value::Object(fields) = value else {
            return Err(vec![Finding::new("settings", "must be an object")]);
        };
        let mut reader = Reader {
            fields,
            findings: Vec::new(),
        };
        let settings = reader.settings();
        reader.finish(settings)
    }
}

/// Takes fields out of an object one by one and collects what is wrong with them.
struct Reader {
    fields: Map<String, Value>,
    findings: Vec<Finding>,
}

impl Reader {
    fn settings(&mut self) -> Settings {
        let policy = self.text("policy", Some("home"));
        let form = self.text("log_form", Some("text"));
        Settings {
            name: self.name("name"),
            data_centre: self.name("data_centre"),
            callers: self.address("callers"),
            peers: self.address("peers"),
            operators: self.address("operators"),
            platform: self.address("platform"),
            peers_key: self.secret("peers_key"),
            operators_token: self.secret("operators_token"),
            log_level: self.level(),
            log_form: self.log_form(&form),
            shutdown_delay: Duration::from_millis(self.number(
                "shutdown_delay_ms",
                5_000,
                DELAY_MS_MAX,
            )),
            shutdown_limit: self.shutdown_limit(),
            store_rate: self.number("store_rate", 40, 10_000) as f64,
            shards: u32::try_from(self.number("shards", 16, 4_096))
                .unwrap_or(16)
                .max(1),
            policy: self.policy(&policy),
        }
    }

    fn finish(mut self, settings: Settings) -> Result<Settings, Vec<Finding>> {
        for field in self.fields.keys() {
            self.findings.push(Finding::new(field, "is not known"));
        }
        if self.findings.is_empty() {
            Ok(settings)
        } else {
            Err(self.findings)
        }
    }

    fn find(&mut self, place: &str, text: impl Into<String>) {
        self.findings.push(Finding::new(place, text));
    }

    fn text(&mut self, place: &str, default: Option<&str>) -> String {
        match (self.fields.remove(place), default) {
            (Some(Value::String(text)), _) => text,
            (Some(_), _) => {
                self.find(place, "must be a text");
                String::new()
            }
            (None, Some(default)) => default.to_string(),
            (None, None) => {
                self.find(place, "is missing");
                String::new()
            }
        }
    }

    /// Takes a text that was found to be missing or wrong already as empty.
    fn name(&mut self, place: &str) -> CompactString {
        let before = self.findings.len();
        let text = self.text(place, None);
        if self.findings.len() == before && !conf::check::is_name(&text) {
            self.find(place, "has 1 to 64 letters, digits, '-', '_' or '.'");
        }
        text.into()
    }

    fn address(&mut self, place: &str) -> SocketAddr {
        let none = SocketAddr::from(([0, 0, 0, 0], 0));
        let before = self.findings.len();
        let text = self.text(place, None);
        if self.findings.len() > before {
            return none;
        }
        text.parse().unwrap_or_else(|_| {
            self.find(place, format!("'{text}' is not an IP address with a port"));
            none
        })
    }

    fn secret(&mut self, place: &str) -> String {
        let before = self.findings.len();
        let text = self.text(place, None);
        if self.findings.len() == before && text.chars().count() < KEY_CHARS {
            self.find(place, format!("must have at least {KEY_CHARS} characters"));
        }
        text
    }

    fn level(&mut self) -> CompactString {
        let text = self.text("log_level", Some("info"));
        let known = ["error", "warn", "info", "debug", "trace"];
        if !known.contains(&text.as_str()) {
            self.find("log_level", format!("must be one of {}", known.join(", ")));
        }
        text.into()
    }

    fn log_form(&mut self, text: &str) -> LogForm {
        match text {
            "text" => LogForm::Text,
            "json" => LogForm::Json,
            _ => {
                self.find("log_form", "must be one of text, json");
                LogForm::Text
            }
        }
    }

    fn policy(&mut self, text: &str) -> Policy {
        text.parse().unwrap_or_else(|error: String| {
            self.find("policy", error);
            Policy::Coordinator
        })
    }

    fn number(&mut self, place: &str, default: u64, most: u64) -> u64 {
        let Some(value) = self.fields.remove(place) else {
            return default;
        };
        match value.as_u64().filter(|number| *number <= most) {
            Some(number) => number,
            None => {
                self.find(place, format!("must be a whole number up to {most}"));
                default
            }
        }
    }

    fn shutdown_limit(&mut self) -> Option<Duration> {
        let set = self.fields.contains_key("shutdown_limit_ms");
        let limit = self.number("shutdown_limit_ms", 0, u64::MAX);
        set.then(|| Duration::from_millis(limit))
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn all_findings_come_together() {
        let text = r#"{"name": "a b", "data_centre": 3, "callers": "localhost:1", "peers": "127.0.0.1:2",
            "operators": "127.0.0.1:3", "peers_key": "short", "operators_token": "0123456789abcdef",
            "log_level": "loud", "shards": -1, "colour": "red"}"#;
        let findings = Settings::from_json(text).unwrap_err();
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        insta::assert_snapshot!(lines.join("\n"), @r"
        name: has 1 to 64 letters, digits, '-', '_' or '.'
        data_centre: must be a text
        callers: 'localhost:1' is not an IP address with a port
        platform: is missing
        peers_key: must have at least 16 characters
        log_level: must be one of error, warn, info, debug, trace
        shards: must be a whole number up to 4096
        colour: is not known
        ");
    }

    #[test]
    fn example_settings_are_good() {
        let text = include_str!("../../../examples/wigeond.json");
        assert!(Settings::from_json(text).is_ok());
    }

    proptest! {
        #[test]
        fn no_text_panics(text in "\\PC{0,200}") {
            let _ = Settings::from_json(&text);
        }
    }
}
