//! Settings of the operators, in protobuf text format. The schema is
//! `deploy/operator.proto`; every field has a default, so the file is optional.

use std::{fs, io, ops::RangeInclusive, path::Path};

use prost_reflect::{DescriptorPool, DynamicMessage, Value};

use super::settings::single_line;

/// Allowed times to live, in ms, of the leader's store lease. With a shorter one, a
/// few slow renewals would let it expire; a longer one would delay every failover.
const LEADER_TTL_RANGE_MS: RangeInclusive<u32> = 1_000..=60_000;

/// Settings that operators may change.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorSettings {
    /// Time to live of the leader's store lease, in ms.
    pub leader_ttl_ms: u64,
    /// Time for which a machine without tasks is kept, in seconds.
    pub idle_keep_s: f64,
    /// Time without a heartbeat, in seconds, after which a machine is released to
    /// the cloud; `None`: the controller chooses the time.
    pub silent_return_s: Option<f64>,
    /// Maximum number of machines provisioned at once; `None`: no limit.
    pub max_machines: Option<usize>,
    /// Whether spot machines may be provisioned.
    pub use_spot: bool,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings {
            leader_ttl_ms: 2_500,
            idle_keep_s: 45.0,
            silent_return_s: None,
            max_machines: None,
            use_spot: true,
        }
    }
}

/// Error of loading a file of operators' settings.
#[derive(Debug, thiserror::Error)]
pub enum OperatorSettingsError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the read.
        source: io::Error,
    },
    /// The text of the file is invalid.
    #[error("{path}: {source}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// Error in the text.
        source: InvalidOperatorSettings,
    },
}

/// Error in the text of operators' settings.
#[derive(Debug, thiserror::Error)]
pub enum InvalidOperatorSettings {
    /// The built-in schema can't be decoded.
    #[error(transparent)]
    Schema(#[from] prost_reflect::DescriptorError),
    /// The built-in schema lacks the message of the operators' settings.
    #[error("built-in schema has no message `Operator`")]
    SchemaWithoutOperator,
    /// The text doesn't follow the schema; contains the parser's message.
    #[error("{0}")]
    Syntax(String),
    /// `leader_ttl_ms` lies outside the allowed range; contains its value.
    #[error(
        "leader_ttl_ms = {0}: must lie between {least} and {most}",
        least = LEADER_TTL_RANGE_MS.start(),
        most = LEADER_TTL_RANGE_MS.end()
    )]
    LeaderTtl(u32),
}

impl OperatorSettings {
    /// Reads a file of operators' settings.
    pub fn load(path: &Path) -> Result<OperatorSettings, OperatorSettingsError> {
        let path_text = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|source| OperatorSettingsError::Read { path: path_text.clone(), source })?;
        OperatorSettings::parse(&text).map_err(|source| OperatorSettingsError::Invalid { path: path_text, source })
    }

    /// Parses operators' settings; a field that is not set has its default.
    pub fn parse(text: &str) -> Result<OperatorSettings, InvalidOperatorSettings> {
        let message = parse_message(text)?;
        let number = |name: &str| {
            let field = message.has_field_by_name(name).then(|| message.get_field_by_name(name)).flatten();
            field.and_then(|value| value.as_u32())
        };
        let mut operator = OperatorSettings::default();
        if let Some(ttl_ms) = number("leader_ttl_ms") {
            if !LEADER_TTL_RANGE_MS.contains(&ttl_ms) {
                return Err(InvalidOperatorSettings::LeaderTtl(ttl_ms));
            }
            operator.leader_ttl_ms = u64::from(ttl_ms);
        }
        if let Some(seconds) = number("idle_keep_s") {
            operator.idle_keep_s = f64::from(seconds);
        }
        if let Some(seconds) = number("silent_return_s") {
            operator.silent_return_s = Some(f64::from(seconds));
        }
        operator.max_machines = number("max_machines").filter(|&count| count > 0).map(|count| count as usize);
        if message.has_field_by_name("use_spot") {
            if let Some(Value::Bool(use_spot)) = message.get_field_by_name("use_spot").as_deref() {
                operator.use_spot = *use_spot;
            }
        }
        Ok(operator)
    }
}

fn parse_message(text: &str) -> Result<DynamicMessage, InvalidOperatorSettings> {
    let schema = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));
    let pool = DescriptorPool::decode(&schema[..])?;
    let descriptor =
        pool.get_message_by_name("shedhook.Operator").ok_or(InvalidOperatorSettings::SchemaWithoutOperator)?;
    DynamicMessage::parse_text_format(descriptor, text)
        .map_err(|error| InvalidOperatorSettings::Syntax(single_line(&error.to_string())))
}

#[cfg(test)]
#[path = "tests/operator.rs"]
mod tests;
