//! The daemon: one entry instance.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use argh::FromArgs;
use gateway::Node;
use gateway::Settings;
use gateway::settings::LogForm;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Exit code for settings that can't be used.
const BAD_SETTINGS: u8 = 2;

/// Serves callers as one entry instance.
#[derive(FromArgs)]
struct Arguments {
    /// file with the settings, in JSON
    #[argh(option)]
    settings: PathBuf,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let text = match std::fs::read_to_string(&arguments.settings) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{}: {error}", arguments.settings.display());
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    let settings = match Settings::from_json(&text) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in findings {
                eprintln!("{}: {finding}", arguments.settings.display());
            }
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: no findings", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    start_log(&settings);
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("daemon: {error:#}.");
            eprintln!("wigeond: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start_log(settings: &Settings) {
    let level = settings.log_level.as_str();
    let builder = logforth::starter_log::builder().dispatch(|dispatch| {
        let filter = logforth::filter::rustlog::RustLogFilter::from(level);
        let stderr = match settings.log_form {
            LogForm::Text => logforth::append::Stderr::default(),
            LogForm::Json => logforth::append::Stderr::default()
                .with_layout(logforth::layout::JsonLayout::default()),
        };
        dispatch.filter(filter).append(stderr)
    });
    builder.apply();
}

#[tokio::main]
async fn run(settings: Settings) -> anyhow::Result<()> {
    let clock = Arc::new(clock::System::new());
    let mut term = signal(SignalKind::terminate()).context("can't listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("can't listen for SIGINT")?;
    let node = Node::start(settings, clock).await?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("daemon: Shutting down.");
    let stopping = tokio::spawn(node.shut_down());
    tokio::pin!(stopping);
    loop {
        tokio::select! {
            done = &mut stopping => return done.context("the shutdown failed"),
            _ = term.recv() => log::warn!("daemon: Already shutting down."),
            _ = interrupt.recv() => log::warn!("daemon: Already shutting down."),
        }
    }
}
