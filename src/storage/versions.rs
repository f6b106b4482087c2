//! Evidence that all controllers run this version. A feature that older versions can't
//! handle is used only once there is such evidence.
//!
//! A controller of this version writes the key `version/LABEL`, attached to no
//! store lease, when it starts. Older versions write no such key. It is removed only
//! by an operator who rolls a controller back.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::protocol::store::Page;

/// Prefix of the keys of version records.
pub const VERSION_KEY_PREFIX: &str = "version/";
/// This version. 2 is the first version with job dependencies; older ones write no key.
pub const VERSION: u64 = 2;

/// Returns the key of a controller's version record.
pub fn version_key(label: &str) -> String {
    format!("{VERSION_KEY_PREFIX}{label}")
}

/// Record of the version that a controller runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Version that the controller runs. Recorded as `v`.
    #[serde(rename = "v")]
    pub version: u64,
    /// Identifies the start of the process that wrote the record.
    #[serde(rename = "n")]
    pub nonce: u64,
}

/// Evidence that no controller runs an older version: a controller whose key was
/// read has been upgraded, and is not rolled back while the key exists.
#[derive(Debug, Default)]
pub struct VersionEvidence {
    /// Labels of all controllers.
    labels: BTreeSet<String>,
    /// Labels of the controllers not known to run this version.
    missing: BTreeSet<String>,
}

impl VersionEvidence {
    /// Creates a tracker without evidence about the controllers with these labels.
    pub fn new<'a>(labels: impl Iterator<Item = &'a str>) -> VersionEvidence {
        let labels: BTreeSet<String> = labels.map(str::to_owned).collect();
        VersionEvidence { missing: labels.clone(), labels }
    }

    /// Records a complete listing of the version keys.
    ///
    /// Only keys that were read are evidence: a controller that is unreachable might
    /// run an older version, which can't handle the new feature.
    pub fn record_listing(&mut self, page: &Page) {
        self.missing = self.labels.clone();
        for pair in &page.pairs {
            let Some(label) = pair.key.strip_prefix(VERSION_KEY_PREFIX) else { continue };
            if pair.value.deserialized::<VersionRecord>().is_ok_and(|record| record.version >= VERSION) {
                self.missing.remove(label);
            }
        }
    }

    /// Reports whether all controllers are known to run this version.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }

    /// Returns the number of controllers not known to run this version.
    pub fn missing_count(&self) -> usize {
        self.missing.len()
    }
}

#[cfg(test)]
#[path = "tests/versions.rs"]
mod tests;
