//! The daemon: command line, settings, logs. All else is in the library.

use std::{io, path::PathBuf, process::ExitCode};

use clap::Parser;
use shedhook::{
    node,
    protocol::{operator::Operator, settings::Settings},
};
use tracing::level_filters::LevelFilter;

/// A cluster scheduler's controller.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Operators' own settings (protobuf text format, see deploy/operator.proto).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn log_level() -> LevelFilter {
    match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::ERROR,
        Ok("warn") => LevelFilter::WARN,
        Ok("debug") => LevelFilter::DEBUG,
        Ok("trace") => LevelFilter::TRACE,
        _ => LevelFilter::INFO,
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(log_level())
        .init();
    let settings = match Settings::load(&args.config) {
        Ok(s) => s,
        Err(e) => {
            eprintln!("shedhook: {e}");
            return ExitCode::from(2);
        }
    };
    let operator = match args.operator.as_deref().map(Operator::load).transpose() {
        Ok(o) => o.unwrap_or_default(),
        Err(e) => {
            eprintln!("shedhook: {e}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("settings of {} are fine", settings.label);
        return ExitCode::SUCCESS;
    }
    match node::run(settings, operator) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
