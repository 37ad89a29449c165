//! Runs an experiment and prints what came of it.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use load::overhead;
use load::plot;
use load::report;
use load::run;
use load::run::RunResult;
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
    #[argh(option, default = "Policy::Home")]
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
        return print_overhead().await;
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
    match run_experiment(&arguments, &scenario).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("wigeonload: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn print_overhead() -> ExitCode {
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
async fn run_experiment(arguments: &Arguments, scenario: &Scenario) -> anyhow::Result<bool> {
    let tested = run_policy(arguments, scenario, arguments.policy).await?;
    let baseline = match arguments.versus {
        Some(policy) => Some(run_policy(arguments, scenario, policy).await?),
        None => None,
    };
    let mut output = json!(tested.report);
    if let Some(baseline) = &baseline {
        output["versus"] = json!(baseline.report);
        output["ratios"] = json!(report::ratios(&tested.report, &baseline.report));
    }
    if arguments.json {
        println!("{output}");
    } else {
        print_lines(&output, "");
    }
    if let Some(path) = &arguments.plot {
        let runs: Vec<&RunResult> = std::iter::once(&tested).chain(&baseline).collect();
        plot::draw(&runs, path).map_err(|error| anyhow::anyhow!("{error}"))?;
    }
    Ok(tested.report.violations.total() == 0)
}

async fn run_policy(
    arguments: &Arguments,
    scenario: &Scenario,
    policy: Policy,
) -> anyhow::Result<RunResult> {
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
