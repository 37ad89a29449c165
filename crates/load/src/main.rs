//! Runs an experiment and prints what came of it.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use load::overhead;
use load::plot;
use load::result;
use load::run;
use load::run::Run;
use load::scenario::Scenario;
use serde_json::Value;
use serde_json::json;
use wigeon_core::Policy;

/// Runs an experiment: real daemons and stand-ins over loopback, in one process.
///
/// Exit codes: 0 no violation, 1 a violation or a run that failed, 2 misuse.
#[derive(FromArgs)]
struct Arguments {
    /// file with the scenario
    #[argh(option)]
    scenario: Option<PathBuf>,
    /// measure what a daemon adds to a stream, instead of a scenario
    #[argh(switch)]
    overhead: bool,
    /// seed of the arrivals
    #[argh(option, default = "1")]
    seed: u64,
    /// how backend servers are chosen: home, round-robin, least-loaded or static-share
    #[argh(option, default = "Policy::Coordinator")]
    policy: Policy,
    /// another policy, run with the same arrivals and compared
    #[argh(option)]
    versus: Option<Policy>,
    /// print one JSON object and nothing else
    #[argh(switch)]
    json: bool,
    /// file for a picture, as SVG
    #[argh(option)]
    plot: Option<PathBuf>,
    /// show the daemons' logs
    #[argh(switch)]
    logs: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.logs {
        logforth::starter_log::stderr().apply();
    }
    if arguments.overhead {
        return show_overhead().await;
    }
    let Some(path) = &arguments.scenario else {
        eprintln!("wigeonload: --scenario FILE is missing");
        return ExitCode::from(2);
    };
    let scenario = match Scenario::read(path) {
        Ok(scenario) => scenario,
        Err(error) => {
            eprintln!("wigeonload: {error:#}");
            return ExitCode::from(2);
        }
    };
    match experiment(&arguments, &scenario).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("wigeonload: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn show_overhead() -> ExitCode {
    match overhead::measure().await {
        Ok(overhead) => {
            println!("{}", json!(overhead));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("wigeonload: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Returns whether nothing was violated. Only the policy under test is judged, not the one it is
/// compared with.
async fn experiment(arguments: &Arguments, scenario: &Scenario) -> anyhow::Result<bool> {
    let own = one(arguments, scenario, arguments.policy).await?;
    let other = match arguments.versus {
        Some(policy) => Some(one(arguments, scenario, policy).await?),
        None => None,
    };
    let mut printed = json!(own.outcome);
    if let Some(other) = &other {
        printed["versus"] = json!(other.outcome);
        printed["ratios"] = json!(result::ratios(&own.outcome, &other.outcome));
    }
    if arguments.json {
        println!("{printed}");
    } else {
        print_lines(&printed, "");
    }
    if let Some(path) = &arguments.plot {
        let runs: Vec<&Run> = std::iter::once(&own).chain(&other).collect();
        plot::draw(&runs, path).map_err(|error| anyhow::anyhow!("{error}"))?;
    }
    Ok(own.outcome.violations.total() == 0)
}

async fn one(arguments: &Arguments, scenario: &Scenario, policy: Policy) -> anyhow::Result<Run> {
    if !arguments.json {
        let time = scenario.duration_s + scenario.drain_s;
        eprintln!("{} with {policy}, at most {time:.0} s...", scenario.name);
    }
    run::run(scenario, arguments.seed, policy).await
}

fn print_lines(value: &Value, indent: &str) {
    let Value::Object(fields) = value else {
        return;
    };
    for (name, value) in fields {
        if value.is_object() {
            println!("{indent}{name}:");
            print_lines(value, &format!("{indent}  "));
        } else {
            println!("{indent}{name}: {value}");
        }
    }
}
