//! Settings of a process, and the findings of their validation.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use conf::Finding;
use serde_json::Map;
use serde_json::Value;
use wigeon_core::Policy;

/// Shortest allowed `peers_key` and `operators_token`, in characters.
const SECRET_CHARS_MIN: usize = 16;
/// Greatest allowed `shutdown_delay_ms`.
const SHUTDOWN_DELAY_MS_MAX: u64 = 600_000;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// Text for human readers.
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Unique name of the instance.
    pub name: CompactString,
    /// Name of the instance's data centre.
    pub data_centre: CompactString,
    /// Address of the callers' API.
    pub callers: SocketAddr,
    /// Address for frames from other instances, over UDP and TCP.
    pub peers: SocketAddr,
    /// Address of the operators' API.
    pub operators: SocketAddr,
    /// Address of the platform's key-value store and list.
    pub platform: SocketAddr,
    /// Secret that all instances share, with which frames are sealed.
    pub peers_key: String,
    /// Bearer token that operators must present.
    pub operators_token: String,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: CompactString,
    /// Log format.
    pub log_format: LogFormat,
    /// Time for which callers are still accepted after the start of a shutdown.
    pub shutdown_delay: Duration,
    /// Longest time that a shutdown waits for running requests. With `None` it waits until all have
    /// ended.
    pub shutdown_limit: Option<Duration>,
    /// Greatest rate of this instance's calls to the store, per second.
    pub store_rate: f64,
    /// Number of shards of the idempotency ledger, which must be the same in all instances.
    pub shards: u32,
    /// Policy by which backend servers are chosen.
    pub policy: Policy,
}

impl Settings {
    /// Parses and validates settings in JSON.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with the field or the position that it concerns.
    pub fn from_json(text: &str) -> Result<Settings, Vec<Finding>> {
        let value: Value = serde_json::from_str(text).map_err(|error| {
            let position = format!("line {} column {}", error.line(), error.column());
            vec![Finding::new(position, format!("not JSON: {error}"))]
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

/// Takes known fields out of a JSON object and collects findings about invalid ones. Fields that
/// are left at the end are unknown.
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
            log_format: self.log_format(&form),
            shutdown_delay: Duration::from_millis(self.number(
                "shutdown_delay_ms",
                5_000,
                SHUTDOWN_DELAY_MS_MAX,
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

    fn report(&mut self, field: &str, text: impl Into<String>) {
        self.findings.push(Finding::new(field, text));
    }

    fn text(&mut self, field: &str, default: Option<&str>) -> String {
        match (self.fields.remove(field), default) {
            (Some(Value::String(text)), _) => text,
            (Some(_), _) => {
                self.report(field, "must be a string");
                String::new()
            }
            (None, Some(default)) => default.to_string(),
            (None, None) => {
                self.report(field, "is missing");
                String::new()
            }
        }
    }

    /// Returns a name. Reports an invalid one, unless [`Self::text`] has already reported the
    /// field.
    fn name(&mut self, field: &str) -> CompactString {
        let findings_before = self.findings.len();
        let text = self.text(field, None);
        if self.findings.len() == findings_before && !conf::check::is_name(&text) {
            self.report(field, "must have 1 to 64 letters, digits, '-', '_' or '.'");
        }
        text.into()
    }

    fn address(&mut self, field: &str) -> SocketAddr {
        let placeholder = SocketAddr::from(([0, 0, 0, 0], 0));
        let findings_before = self.findings.len();
        let text = self.text(field, None);
        if self.findings.len() > findings_before {
            return placeholder;
        }
        text.parse().unwrap_or_else(|_| {
            self.report(field, format!("'{text}' is not an IP address with a port"));
            placeholder
        })
    }

    fn secret(&mut self, field: &str) -> String {
        let findings_before = self.findings.len();
        let text = self.text(field, None);
        if self.findings.len() == findings_before && text.chars().count() < SECRET_CHARS_MIN {
            self.report(
                field,
                format!("must have at least {SECRET_CHARS_MIN} characters"),
            );
        }
        text
    }

    fn level(&mut self) -> CompactString {
        let text = self.text("log_level", Some("info"));
        let known = ["error", "warn", "info", "debug", "trace"];
        if !known.contains(&text.as_str()) {
            self.report("log_level", format!("must be one of {}", known.join(", ")));
        }
        text.into()
    }

    fn log_format(&mut self, text: &str) -> LogFormat {
        match text {
            "text" => LogFormat::Text,
            "json" => LogFormat::Json,
            _ => {
                self.report("log_form", "must be one of text, json");
                LogFormat::Text
            }
        }
    }

    fn policy(&mut self, text: &str) -> Policy {
        text.parse().unwrap_or_else(|error: String| {
            self.report("policy", error);
            Policy::Coordinator
        })
    }

    fn number(&mut self, field: &str, default: u64, max: u64) -> u64 {
        let Some(value) = self.fields.remove(field) else {
            return default;
        };
        match value.as_u64().filter(|number| *number <= max) {
            Some(number) => number,
            None => {
                self.report(field, format!("must be a whole number up to {max}"));
                default
            }
        }
    }

    fn shutdown_limit(&mut self) -> Option<Duration> {
        let is_set = self.fields.contains_key("shutdown_limit_ms");
        let limit = self.number("shutdown_limit_ms", 0, u64::MAX);
        is_set.then(|| Duration::from_millis(limit))
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn all_findings_are_returned_together() {
        let text = r#"{"name": "a b", "data_centre": 3, "callers": "localhost:1", "peers": "127.0.0.1:2",
            "operators": "127.0.0.1:3", "peers_key": "short", "operators_token": "0123456789abcdef",
            "log_level": "loud", "shards": -1, "colour": "red"}"#;
        let findings = Settings::from_json(text).unwrap_err();
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        insta::assert_snapshot!(lines.join("\n"), @r"
        name: must have 1 to 64 letters, digits, '-', '_' or '.'
        data_centre: must be a string
        callers: 'localhost:1' is not an IP address with a port
        platform: is missing
        peers_key: must have at least 16 characters
        log_level: must be one of error, warn, info, debug, trace
        shards: must be a whole number up to 4096
        colour: is not known
        ");
    }

    #[test]
    fn example_settings_are_valid() {
        let text = include_str!("../../../examples/wigeond.json");
        assert!(Settings::from_json(text).is_ok());
    }

    proptest! {
        #[test]
        fn parsing_any_text_does_not_panic(text in "\\PC{0,200}") {
            let _ = Settings::from_json(&text);
        }
    }
}
