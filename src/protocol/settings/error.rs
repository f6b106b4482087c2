//! Why settings are refused.

use std::io;

use super::InvalidValue;

/// Why a settings file is refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The error of the read.
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
        /// The setting, and what is wrong with it.
        source: InvalidValue,
    },
}

/// A message without line breaks, for logs and terminals.
pub(in crate::protocol) fn single_line(message: &str) -> String {
    message.split_whitespace().collect::<Vec<_>>().join(" ")
}
