//! Errors of loading settings.

use std::io;

use super::InvalidValue;

/// Error of loading a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the read.
        source: io::Error,
    },
    /// The file is not TOML of the expected form.
    #[error("{path}: {message}")]
    Parse {
        /// Path of the file.
        path: String,
        /// The parser's message, on one line.
        message: String,
    },
    /// A setting has a value that is not allowed.
    #[error("{path}: {source}")]
    Value {
        /// Path of the file.
        path: String,
        /// The setting, its value and the requirement that it violates.
        source: InvalidValue,
    },
}

/// Returns a message without line breaks, for logs and terminals.
pub(in crate::protocol) fn single_line(message: &str) -> String {
    message.split_whitespace().collect::<Vec<_>>().join(" ")
}
