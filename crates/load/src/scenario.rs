//! What is run, with its checks.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use anyhow::Context;
use compact_str::CompactString;
use conf::Finding;
use serde::Deserialize;
use standin::engine;

/// Longest time of load, in seconds.
const DURATION_S_MAX: f64 = 25.0;
/// Longest time after the load in which requests may still end, in seconds.
const DRAIN_S_MAX: f64 = 12.0;

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: CompactString,
    /// What it is for.
    #[serde(default)]
    pub about: String,
    /// Data centres.
    pub data_centres: Vec<DataCentre>,
    /// Organisations with their shares of the requests.
    pub organisations: BTreeMap<CompactString, f64>,
    /// Time of load, in seconds.
    pub duration_s: f64,
    /// Time after it in which requests may still end, in seconds.
    pub drain_s: f64,
    /// Load of the engines, as a multiple of what they can carry.
    pub load: f64,
    /// Calls of plain services a second.
    pub plain_rate: f64,
    /// Share of those that must not run twice.
    #[serde(default)]
    pub marks: f64,
    /// Share of the marks that are sent twice at once.
    #[serde(default)]
    pub duplicates: f64,
    /// Whether the servers are warm from the start.
    #[serde(default = "yes")]
    pub warm: bool,
    /// How engines behave.
    #[serde(default)]
    pub engine: EngineSettings,
    /// Configuration of the engines' pool, as JSON.
    #[serde(default)]
    pub pool: serde_json::Map<String, serde_json::Value>,
    /// What engines are asked for.
    pub routes: Vec<Route>,
    /// A change of the output lengths.
    #[serde(default)]
    pub shift: Option<Shift>,
    /// What happens when.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// One data centre.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Its name.
    pub name: CompactString,
    /// Instances in it.
    pub instances: usize,
    /// Engines in it.
    pub engines: usize,
    /// Plain services in it.
    #[serde(default)]
    pub plains: usize,
}

/// How engines behave.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Time of a step with an empty batch, in milliseconds.
    pub step_ms: f64,
    /// Time that each generation adds to a step, in milliseconds.
    pub step_each_ms: f64,
    /// Generations in one batch.
    pub batch: usize,
    /// Cache tokens.
    pub capacity: u64,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            step_ms: 16.0,
            step_each_ms: 0.5,
            batch: 48,
            capacity: 4_000,
        }
    }
}

impl EngineSettings {
    /// Returns the settings of the stand-in.
    pub fn to_standin(self) -> engine::Settings {
        engine::Settings {
            step: Duration::from_secs_f64(self.step_ms / 1_000.0),
            step_each: Duration::from_secs_f64(self.step_each_ms / 1_000.0),
            batch: self.batch,
            capacity: self.capacity,
            ..engine::Settings::default()
        }
    }
}

/// What engines are asked for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name.
    pub name: CompactString,
    /// Share of the engines' requests.
    pub share: f64,
    /// Half of the outputs are shorter, in tokens.
    pub median: f64,
    /// Standard deviation of the logarithm of the length: the greater, the heavier the tail.
    pub spread: f64,
    /// Longest output, in tokens.
    pub max: u32,
    /// Characters of the prompt.
    pub prompt_chars: usize,
    /// Whether outputs are sampled, so that two runs differ.
    #[serde(default)]
    pub sampled: bool,
    /// Its configuration.
    #[serde(default)]
    pub settings: serde_json::Map<String, serde_json::Value>,
}

/// A change of the output lengths.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shift {
    /// When, in seconds.
    pub at_s: f64,
    /// Factor on the lengths from then on.
    pub factor: f64,
}

/// Something that happens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// When, in seconds.
    pub at_s: f64,
    /// What.
    #[serde(rename = "do")]
    pub action: Action,
    /// A data centre, a server or an instance, where the event needs one.
    #[serde(default)]
    pub target: CompactString,
    /// How long it lasts, in seconds, where that matters.
    #[serde(default = "one")]
    pub for_s: f64,
}

/// What can happen.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Operators take a data centre out.
    TakeOut,
    /// Operators bring a data centre back.
    BringBack,
    /// A server crashes and starts anew after a time.
    Crash,
    /// A server is reclaimed after a notice.
    Reclaim,
    /// The open streams of a server go silent.
    Silence,
    /// A server turns cold without warning.
    Chill,
    /// A data centre is cut off from the others and from the platform.
    Partition,
    /// The store is down.
    StoreDown,
    /// A share of the store's answers is lost.
    StoreLossy,
    /// The store is slow.
    StoreSlow,
    /// An instance stands still.
    Pause,
    /// Two operators give conflicting commands at once.
    Race,
    /// A request that crashes its servers is sent, and sent again.
    Poison,
    /// All instances are replaced one after the other.
    RollingRestart,
    /// An instance is killed and started anew.
    Kill,
    /// The model of the engines' pool is changed.
    NewModel,
}

fn yes() -> bool {
    true
}

fn one() -> f64 {
    1.0
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    ///
    /// If the file can't be read or is no scenario: all findings.
    pub fn read(path: &Path) -> anyhow::Result<Scenario> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("can't read {}", path.display()))?;
        let scenario: Scenario =
            serde_json::from_str(&text).with_context(|| path.display().to_string())?;
        let findings = scenario.check();
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        anyhow::ensure!(
            findings.is_empty(),
            "{}: {}",
            path.display(),
            lines.join("; ")
        );
        Ok(scenario)
    }

    /// Returns what is wrong with it.
    pub fn check(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut report_if = |path: &str, invalid: bool, text: &str| {
            if invalid {
                findings.push(Finding::new(path, text));
            }
        };
        report_if(
            "data_centres",
            self.data_centres.is_empty(),
            "must not be empty",
        );
        report_if(
            "organisations",
            self.organisations.is_empty(),
            "must not be empty",
        );
        report_if("routes", self.routes.is_empty(), "must not be empty");
        let duration = self.duration_s;
        report_if(
            "duration_s",
            !(1.0..=DURATION_S_MAX).contains(&duration),
            "must lie between 1 and 25",
        );
        let drain = self.drain_s;
        report_if(
            "drain_s",
            !(0.0..=DRAIN_S_MAX).contains(&drain),
            "must lie between 0 and 12",
        );
        report_if("load", self.load < 0.0, "must not be negative");
        for (index, event) in self.events.iter().enumerate() {
            let path = format!("events.{index}");
            report_if(
                &path,
                event.at_s > duration,
                "happens after the load has ended",
            );
            let exists = self.target_exists(event);
            report_if(&path, !exists, "names a target that there is not");
        }
        findings
    }

    fn target_exists(&self, event: &Event) -> bool {
        let target = event.target.as_str();
        let is_data_centre = self
            .data_centres
            .iter()
            .any(|data_centre| data_centre.name == target);
        match event.action {
            Action::TakeOut | Action::BringBack | Action::Partition => is_data_centre,
            Action::Crash | Action::Reclaim | Action::Silence | Action::Chill => {
                self.data_centres.iter().any(|data_centre| {
                    let rest = target.strip_prefix(data_centre.name.as_str());
                    rest.is_some_and(|rest| {
                        rest.starts_with("-engine-") || rest.starts_with("-plain-")
                    })
                })
            }
            _ => true,
        }
    }
}
