// Stand-ins for the platform, runners and clients, and the scenarios of the cases.
//
// standin SCENARIO ROOT RECORD: exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment the disruption is left out.

mod common;
mod cold;
mod engine;
mod grace;
mod odd;
mod proof;
mod runner;
mod successor;
mod store;
mod traffic;

use std::panic::AssertUnwindSafe;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

/// What a scenario has found.
pub enum Finding {
    Held(String),
    Broken(String),
    NotRun(String),
}

/// Where a scenario runs.
pub struct Place {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: PathBuf,
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, root, record] = arguments.as_slice() else {
        eprintln!("standin SCENARIO ROOT RECORD");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("no temporary folder: {error}");
        return ExitCode::from(2);
    }
    let place = Place {
        root: Path::new(root).into(),
        folder: folder.clone(),
        record: Path::new(record).into(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let run = || match scenario.as_str() {
        "cold" => cold::run(&place),
        "grace" => grace::run(&place),
        "odd" => odd::run(&place),
        "proof" => proof::run(&place),
        "successor" => successor::run(&place),
        other => Finding::NotRun(format!("no scenario {other}")),
    };
    let finding = std::panic::catch_unwind(AssertUnwindSafe(run));
    common::kill_all();
    let finding = finding.unwrap_or_else(|_| Finding::NotRun("the stand-in panicked".into()));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let (text, code) = match finding {
        Finding::Held(text) => (format!("held: {text}"), 0),
        Finding::Broken(text) => (format!("BROKEN: {text}"), 1),
        Finding::NotRun(text) => (format!("not run: {text}"), 2),
    };
    println!("{text}");
    ExitCode::from(code)
}
