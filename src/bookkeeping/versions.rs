//! Which controllers run this version: what they may only do once all do.
//!
//! A controller of this version writes a key under no grant, `version/LABEL`,
//! when it starts. Versions before it know no such key. Only an operator who
//! goes back removes it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::protocol::store::Page;

pub const VERSIONS: &str = "version/";
/// The first that takes prerequisites is 2; those before it write nothing.
pub const VERSION: u64 = 2;

pub fn version_key(label: &str) -> String {
    format!("{VERSIONS}{label}")
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    #[serde(rename = "v")]
    pub version: u64,
    #[serde(rename = "n")]
    pub nonce: u64,
}

/// Evidence that no older version is left: a label whose key was read has had
/// its old process replaced, and doesn't get it back while the key stands.
#[derive(Debug, Default)]
pub struct Evidence {
    labels: BTreeSet<String>,
    missing: BTreeSet<String>,
}

impl Evidence {
    pub fn new<'a>(labels: impl Iterator<Item = &'a str>) -> Evidence {
        let labels: BTreeSet<String> = labels.map(str::to_owned).collect();
        Evidence { missing: labels.clone(), labels }
    }

    /// Guard: only what was read counts; nothing is concluded from silence.
    pub fn saw(&mut self, page: &Page) {
        self.missing = self.labels.clone();
        for p in &page.pairs {
            let Some(label) = p.key.strip_prefix(VERSIONS) else { continue };
            if p.v.deserialized::<VersionRecord>().is_ok_and(|r| r.version >= VERSION) {
                self.missing.remove(label);
            }
        }
    }

    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }

    pub fn missing(&self) -> usize {
        self.missing.len()
    }
}

#[cfg(test)]
#[path = "tests/versions.rs"]
mod tests;
