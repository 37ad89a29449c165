//! Runs simulations with consecutive seeds and prints the first seed that fails.

use std::panic;
use std::process::ExitCode;

use argh::FromArgs;

/// Runs seeded simulations of several instances with faults.
#[derive(FromArgs)]
struct Arguments {
    /// first seed
    #[argh(option, default = "0")]
    from: u64,
    /// measure the cost of an instance as the fleet grows, instead of running simulations
    #[argh(switch)]
    capacity: bool,
    /// number of runs
    #[argh(option, default = "200")]
    count: u64,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.capacity {
        soak::capacity::print_table();
        return ExitCode::SUCCESS;
    }
    let mut answered = 0;
    let mut requests = 0;
    for seed in arguments.from..arguments.from + arguments.count {
        let Ok(outcome) = panic::catch_unwind(|| soak::run(seed)) else {
            println!("seed {seed}: an instance panicked because an invariant does not hold");
            return ExitCode::FAILURE;
        };
        if !outcome.violations.is_empty() {
            println!("seed {seed}: {}", outcome.violations.join("; "));
            println!("{}", outcome.trace.join("\n"));
            return ExitCode::FAILURE;
        }
        answered += outcome.answered;
        requests += outcome.requests;
    }
    println!(
        "{} runs, {requests} requests, {answered} answered, no violations",
        arguments.count
    );
    ExitCode::SUCCESS
}
