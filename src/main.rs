//! The daemon's entry point: command line, settings and logging. Everything else is in the
//! library.

use std::{io, path::PathBuf, process::ExitCode};

use clap::Parser;
use shedhook::{
    controller,
    protocol::{
        operator::{OperatorSettings, OperatorSettingsError},
        settings::{Settings, SettingsError},
    },
};
use tracing::level_filters::LevelFilter;

/// A cluster scheduler's controller.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Settings file of the platform (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Settings file of the operators (protobuf text format, see deploy/operator.proto).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

/// Exit status if the settings are invalid or can't be read.
const EXIT_USAGE: u8 = 2;

/// Returns the log level set by the environment variable `LOG_LEVEL`; `info` by default.
fn log_level() -> LevelFilter {
    match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::ERROR,
        Ok("warn") => LevelFilter::WARN,
        Ok("debug") => LevelFilter::DEBUG,
        Ok("trace") => LevelFilter::TRACE,
        _ => LevelFilter::INFO,
    }
}

/// Why the settings can't be loaded.
#[derive(Debug, thiserror::Error)]
enum ConfigError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    OperatorSettings(#[from] OperatorSettingsError),
}

fn load_settings(args: &Args) -> Result<(Settings, OperatorSettings), ConfigError> {
    let settings = Settings::load(&args.config)?;
    let operator = args.operator.as_deref().map(OperatorSettings::load).transpose()?;
    Ok((settings, operator.unwrap_or_default()))
}

fn init_logs() {
    tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(log_level())
        .init();
}

fn main() -> ExitCode {
    let args = Args::parse();
    init_logs();
    let (settings, operator) = match load_settings(&args) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("shedhook: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if args.check {
        println!("settings of {} are valid", settings.label);
        return ExitCode::SUCCESS;
    }
    match controller::run(&settings, operator) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "controller failed");
            ExitCode::FAILURE
        }
    }
}
