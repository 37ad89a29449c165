//! Command `wigeonload`: runs a scenario or measures the overhead of an instance and prints the
//! result.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use load::overhead;
use load::plot;
use load::result;
use load::run;
use load::run::RunResult;
use load::scenario::Scenario;
use serde_json::Value;
use serde_json::json;
use wigeon_core::Policy;

/// Runs real instances against stand-in backend servers over loopback, in one process.
///
/// Exit codes: 0 no violations, 1 violations or a failed run, 2 invalid arguments or scenario.
#[derive(FromArgs)]
struct Arguments {
    /// scenario file to run
    #[argh(option)]
    scenario: Option<PathBuf>,
    /// measure the overhead of an instance on streams instead of running a scenario
    #[argh(switch)]
    overhead: bool,
    /// seed of the random arrivals
    #[argh(option, default = "1")]
    seed: u64,
    /// policy that chooses backend servers: home, round-robin, least-loaded or static-share
    #[argh(option, default = "Policy::Coordinator")]
    policy: Policy,
    /// second policy to run with the same arrivals and compare with
    #[argh(option)]
    versus: Option<Policy>,
    /// print only one JSON object
    #[argh(switch)]
    json: bool,
    /// SVG file to write a plot to
    #[argh(option)]
    plot: Option<PathBuf>,
    /// print the logs of the instances to stderr
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
        eprintln!("wigeonload: missing argument: --scenario FILE or --overhead");
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

/// Runs the scenario and prints the report. Returns whether there were no violations; those of the
/// policy given with `--versus` don't count.
async fn run_experiment(arguments: &Arguments, scenario: &Scenario) -> anyhow::Result<bool> {
    let tested = run_policy(arguments, scenario, arguments.policy).await?;
    let baseline = match arguments.versus {
        Some(policy) => Some(run_policy(arguments, scenario, policy).await?),
        None => None,
    };
    let mut output = json!(tested.report);
    if let Some(baseline) = &baseline {
        output["versus"] = json!(baseline.report);
        output["ratios"] = json!(result::ratios(&tested.report, &baseline.report));
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

/// Runs the scenario with one policy and announces the run unless the output is JSON.
async fn run_policy(
    arguments: &Arguments,
    scenario: &Scenario,
    policy: Policy,
) -> anyhow::Result<RunResult> {
    if !arguments.json {
        let seconds = scenario.duration_s + scenario.drain_s;
        eprintln!("{} with {policy}, at most {seconds:.0} s...", scenario.name);
    }
    run::run(scenario, arguments.seed, policy).await
}

/// Prints an object as indented lines, one field each.
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
