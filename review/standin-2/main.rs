//! Stand-ins for the platform's store, runners and clients, and the scripts of the cases of the second
//! review. Standard library only, so that it is built by the compiler alone.
//!
//! Usage: standin CASE PROGRAM RECORD, with CASE one of `hang` and `poison`. The variable TROUBLE=0
//! leaves the disruption out. Exit code 0: the rule held, 1: it was broken, 2: the case could not run.

mod client;
mod daemon;
mod engine;
mod hang;
mod http;
mod poison;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case needs to run.
pub struct Case {
    /// The program under test.
    pub program: PathBuf,
    /// Where what was sent, answered and run is written.
    pub record: record::Record,
    /// Whether the disruption happens.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.len() < 4 {
        eprintln!("usage: standin CASE PROGRAM RECORD");
        return ExitCode::from(2);
    }
    let program = match std::fs::canonicalize(&arguments[2]) {
        Ok(program) => program,
        Err(error) => {
            eprintln!("{}: {error}", arguments[2]);
            return ExitCode::from(2);
        }
    };
    let case = Case {
        program,
        record: record::Record::new(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let result = match arguments[1].as_str() {
        "poison" => poison::run(&case),
        "hang" => hang::run(&case),
        other => Err(format!("no case {other}")),
    };
    let code = match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(reason) => {
            case.record.add(format!("the case could not run: {reason}"));
            2
        }
    };
    case.record.add(format!("exit code {code}"));
    if let Err(error) = case.record.write(&arguments[3]) {
        eprintln!("{}: {error}", arguments[3]);
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
