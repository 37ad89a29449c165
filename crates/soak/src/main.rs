//! Makes any number of seeded runs and prints the first seed that fails.

use std::panic;
use std::process::ExitCode;

use argh::FromArgs;

/// Makes seeded runs of several instances with faults.
#[derive(FromArgs)]
struct Arguments {
    /// first seed
    #[argh(option, default = "0")]
    from: u64,
    /// measure what instances cost as the fleet grows, instead of making runs
    #[argh(switch)]
    capacity: bool,
    /// number of runs
    #[argh(option, default = "200")]
    count: u64,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.capacity {
        soak::capacity::print();
        return ExitCode::SUCCESS;
    }
    let mut answered = 0;
    let mut requests = 0;
    for seed in arguments.from..arguments.from + arguments.count {
        let Ok(outcome) = panic::catch_unwind(|| soak::run(seed)) else {
            println!("seed {seed}: an invariant inside an instance is broken");
            return ExitCode::FAILURE;
        };
        if !outcome.broken.is_empty() {
            println!("seed {seed}: {}", outcome.broken.join("; "));
            println!("{}", outcome.trace.join("\n"));
            return ExitCode::FAILURE;
        }
        answered += outcome.answered;
        requests += outcome.requests;
    }
    println!(
        "{} runs, {requests} requests, {answered} answered, nothing broken",
        arguments.count
    );
    ExitCode::SUCCESS
}
