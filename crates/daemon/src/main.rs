//! `wigeond`, the daemon: runs one instance.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use argh::FromArgs;
use gateway::Node;
use gateway::Settings;
use gateway::settings::LogFormat;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Exit code if the settings file can't be read or has findings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Runs one instance, which routes callers' requests to backend servers.
#[derive(FromArgs)]
struct Arguments {
    /// settings file, in JSON
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let text = match std::fs::read_to_string(&arguments.settings) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{}: {error}", arguments.settings.display());
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    let settings = match Settings::from_json(&text) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in findings {
                eprintln!("{}: {finding}", arguments.settings.display());
            }
            return ExitCode::from(EXIT_BAD_SETTINGS);
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
            log::error!("daemon: Stopped by an error: {error:#}.");
            eprintln!("wigeond: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start_log(settings: &Settings) {
    let level = settings.log_level.as_str();
    let builder = logforth::starter_log::builder().dispatch(|dispatch| {
        let filter = logforth::filter::rustlog::RustLogFilter::from(level);
        let stderr = match settings.log_format {
            LogFormat::Text => logforth::append::Stderr::default(),
            LogFormat::Json => logforth::append::Stderr::default()
                .with_layout(logforth::layout::JsonLayout::default()),
        };
        dispatch.filter(filter).append(stderr)
    });
    builder.apply();
}

#[tokio::main]
async fn run(settings: Settings) -> anyhow::Result<()> {
    let clock = Arc::new(clock::System::new());
    let mut sigterm =
        signal(SignalKind::terminate()).context("can't install the SIGTERM handler")?;
    let mut sigint = signal(SignalKind::interrupt()).context("can't install the SIGINT handler")?;
    let node = Node::start(settings, clock).await?;
    tokio::select! {
        _ = sigterm.recv() => {}
        _ = sigint.recv() => {}
    }
    log::info!("daemon: Shutting down.");
    let shutdown = tokio::spawn(node.shut_down());
    tokio::pin!(shutdown);
    loop {
        tokio::select! {
            result = &mut shutdown => return result.context("the shutdown task failed"),
            _ = sigterm.recv() => log::warn!("daemon: SIGTERM ignored: already shutting down."),
            _ = sigint.recv() => log::warn!("daemon: SIGINT ignored: already shutting down."),
        }
    }
}
