//! Validation of a whole configuration.

use std::fmt;

use crate::Config;
use crate::Name;
use crate::schema::Pool;
use crate::schema::Route;

/// Longest name of an object, in bytes.
const NAME_BYTES_MAX: usize = 64;
/// Largest `batch` of a pool, in requests per server.
const BATCH_MAX: u32 = 4_096;
/// Longest `retention_s` of a route: the retention of an idempotency key, in seconds.
const RETENTION_S_MAX: u64 = 30 * 86_400;
/// Longest `deadline_ms` of a route: the wait for a place on a backend server, in milliseconds.
const DEADLINE_MS_MAX: u64 = 3_600_000;
/// Length of a token's hash, in hexadecimal digits.
const TOKEN_HASH_DIGITS: usize = 64;

/// A validation error and the path of the faulty value.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// Path of the faulty value, its segments separated by dots.
    pub path: Name,
    /// What is wrong with the value.
    pub message: String,
}

impl Finding {
    /// Returns a finding for the value at a path.
    pub fn new(path: impl AsRef<str>, message: impl Into<String>) -> Finding {
        Finding {
            path: Name::from(path.as_ref()),
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Validates a configuration and returns all findings. A configuration without findings is valid.
pub fn check(config: &Config) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_names(config, &mut findings);
    check_organisations(config, &mut findings);
    for (name, pool) in &config.pools {
        check_pool(&format!("pools.{name}"), pool, &mut findings);
    }
    for (name, route) in &config.routes {
        check_route(&format!("routes.{name}"), route, config, &mut findings);
    }
    findings
}

fn check_names(config: &Config, findings: &mut Vec<Finding>) {
    let sections = [
        ("organisations", config.organisations.keys().collect()),
        ("data_centres", config.data_centres.keys().collect()),
        ("pools", config.pools.keys().collect()),
        ("routes", config.routes.keys().collect::<Vec<_>>()),
        ("drained", config.drained.iter().collect()),
    ];
    for (section, names) in sections {
        for name in names {
            if !is_name(name) {
                findings.push(Finding::new(
                    format!("{section}.{name}"),
                    "a name has 1 to 64 letters, digits, '-', '_' or '.'",
                ));
            }
        }
    }
}

/// Returns whether a text is a valid name for an object of the configuration.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= NAME_BYTES_MAX && text.chars().all(allowed)
}

fn check_organisations(config: &Config, findings: &mut Vec<Finding>) {
    for (name, organisation) in &config.organisations {
        let path = format!("organisations.{name}");
        let hash = &organisation.token_hash;
        if hash.len() != TOKEN_HASH_DIGITS || !hash.chars().all(|c| c.is_ascii_hexdigit()) {
            findings.push(Finding::new(
                format!("{path}.token_hash"),
                "must be 64 hexadecimal digits",
            ));
        }
        if organisation.weight == 0 {
            findings.push(Finding::new(format!("{path}.weight"), "must be at least 1"));
        }
        let same_token = config
            .organisations
            .iter()
            .find(|(other, value)| *other < name && value.token_hash == *hash);
        if let Some((other, _)) = same_token {
            findings.push(Finding::new(
                format!("{path}.token_hash"),
                format!("is also the token of organisation '{other}'"),
            ));
        }
    }
}

fn check_pool(path: &str, pool: &Pool, findings: &mut Vec<Finding>) {
    if pool.cold_limit == 0 {
        findings.push(Finding::new(
            format!("{path}.cold_limit"),
            "must be at least 1",
        ));
    }
    if pool.batch == 0 || pool.batch > BATCH_MAX {
        findings.push(Finding::new(
            format!("{path}.batch"),
            format!("must lie between 1 and {BATCH_MAX}"),
        ));
    }
    if pool.cold_limit > pool.batch {
        findings.push(Finding::new(
            format!("{path}.cold_limit"),
            "must not exceed batch",
        ));
    }
}

fn check_route(path: &str, route: &Route, config: &Config, findings: &mut Vec<Finding>) {
    if !config.pools.contains_key(&route.pool) {
        findings.push(Finding::new(
            format!("{path}.pool"),
            format!("there is no pool '{}'", route.pool),
        ));
    }
    for name in &route.organisations {
        if !config.organisations.contains_key(name) {
            findings.push(Finding::new(
                format!("{path}.organisations"),
                format!("there is no organisation '{name}'"),
            ));
        }
    }
    if route.retention_s == 0 || route.retention_s > RETENTION_S_MAX {
        findings.push(Finding::new(
            format!("{path}.retention_s"),
            format!("must lie between 1 and {RETENTION_S_MAX}"),
        ));
    }
    if route.deadline_ms == 0 || route.deadline_ms > DEADLINE_MS_MAX {
        findings.push(Finding::new(
            format!("{path}.deadline_ms"),
            format!("must lie between 1 and {DEADLINE_MS_MAX}"),
        ));
    }
    if !route.idempotent && route.rerun {
        findings.push(Finding::new(
            format!("{path}.rerun"),
            "must be false where idempotent is false",
        ));
    }
    let share = route.objective.share;
    if !(share > 0.0 && share < 1.0) {
        findings.push(Finding::new(
            format!("{path}.objective.share"),
            "must lie between 0 and 1, exclusive",
        ));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_findings_are_returned_with_their_paths() {
        let json = r#"{
            "organisations": {"a b": {"token_hash": "x", "weight": 0}},
            "pools": {"p": {"cold_limit": 9, "batch": 4}},
            "routes": {"r": {"pool": "none", "idempotent": false, "deadline_ms": 0}}
        }"#;
        let config: Config = serde_json::from_str(json).unwrap();
        let lines: Vec<String> = check(&config).iter().map(Finding::to_string).collect();
        insta::assert_snapshot!(lines.join("\n"), @r"
        organisations.a b: a name has 1 to 64 letters, digits, '-', '_' or '.'
        organisations.a b.token_hash: must be 64 hexadecimal digits
        organisations.a b.weight: must be at least 1
        pools.p.cold_limit: must not exceed batch
        routes.r.pool: there is no pool 'none'
        routes.r.deadline_ms: must lie between 1 and 3600000
        routes.r.rerun: must be false where idempotent is false
        ");
    }
}
