//! Operators' own settings, in protobuf text format. The schema is
//! `deploy/operator.proto`; each field has a default that needs no file.

use std::{fs, path::Path};

use prost_reflect::{DescriptorPool, DynamicMessage, Value};

#[derive(Debug, Clone, PartialEq)]
pub struct Operator {
    pub leader_ttl_ms: u64,
    pub idle_keep_s: f64,
    pub silent_return_s: Option<f64>,
    pub max_machines: Option<usize>,
    pub use_spot: bool,
}

impl Default for Operator {
    fn default() -> Self {
        Operator { leader_ttl_ms: 2_500, idle_keep_s: 45.0, silent_return_s: None, max_machines: None, use_spot: true }
    }
}

#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    #[error("{path}: {source}")]
    Read { path: String, source: std::io::Error },
    #[error("{path}: {message}")]
    Form { path: String, message: String },
}

impl Operator {
    pub fn load(path: &Path) -> Result<Operator, OperatorError> {
        let shown = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|source| OperatorError::Read { path: shown.clone(), source })?;
        Operator::parse(&text).map_err(|message| OperatorError::Form { path: shown, message })
    }

    pub fn parse(text: &str) -> Result<Operator, String> {
        let schema = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));
        let pool = DescriptorPool::decode(&schema[..]).map_err(|e| e.to_string())?;
        let desc = pool.get_message_by_name("shedhook.Operator").ok_or("schema without Operator")?;
        let msg = DynamicMessage::parse_text_format(desc, text)
            .map_err(|e| e.to_string().split_whitespace().collect::<Vec<_>>().join(" "))?;
        let number = |name: &str| {
            msg.has_field_by_name(name).then(|| msg.get_field_by_name(name).and_then(|v| v.as_u32())).flatten()
        };
        let mut out = Operator::default();
        if let Some(ms) = number("leader_ttl_ms") {
            if !(1_000..=60_000).contains(&ms) {
                return Err("leader_ttl_ms: must lie between 1000 and 60000".into());
            }
            out.leader_ttl_ms = u64::from(ms);
        }
        if let Some(s) = number("idle_keep_s") {
            out.idle_keep_s = f64::from(s);
        }
        if let Some(s) = number("silent_return_s") {
            out.silent_return_s = Some(f64::from(s));
        }
        out.max_machines = number("max_machines").filter(|&n| n > 0).map(|n| n as usize);
        if msg.has_field_by_name("use_spot") {
            if let Some(Value::Bool(b)) = msg.get_field_by_name("use_spot").as_deref() {
                out.use_spot = *b;
            }
        }
        Ok(out)
    }
}

#[cfg(test)]
#[path = "tests/operator.rs"]
mod tests;
