//! The interface of the cloud: machine types, and renting and returning hosts.

use serde::{Deserialize, Serialize};

use super::cbor::number;

/// The list of machine types.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineTypeList {
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// A machine type as the cloud describes it.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct MachineType {
    pub name: String,
    #[serde(deserialize_with = "number")]
    pub cpus: f64,
    #[serde(rename = "cards", default)]
    #[serde(deserialize_with = "number")]
    pub gpus: f64,
    #[serde(deserialize_with = "number")]
    pub memory_gb: f64,
    #[serde(rename = "localGb", default)]
    #[serde(deserialize_with = "number")]
    pub cache_gb: f64,
    #[serde(rename = "pullGbPerS", default)]
    #[serde(deserialize_with = "number")]
    pub fetch_gb_per_s: f64,
    #[serde(default)]
    #[serde(deserialize_with = "number")]
    pub price: f64,
    #[serde(default)]
    #[serde(deserialize_with = "number")]
    pub spot_price: f64,
    #[serde(rename = "readyS", default)]
    #[serde(deserialize_with = "number")]
    pub boot_s: f64,
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Asks for hosts of one type in one zone.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct RentRequest {
    /// Makes the request idempotent: the same name rents only once.
    #[serde(rename = "ask")]
    pub request: String,
    #[serde(rename = "breed")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

/// Hosts by name: those that were rented, or are to be returned.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostNames {
    pub hosts: Vec<String>,
}

/// A part of the list of rented hosts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostList {
    pub hosts: Vec<ListedHost>,
    #[serde(default)]
    pub truncated: bool,
}

/// A rented host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedHost {
    #[serde(rename = "nameId")]
    pub id: String,
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    #[serde(rename = "breed")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    #[serde(rename = "status")]
    pub state: HostState,
    #[serde(rename = "heldS", default)]
    #[serde(deserialize_with = "number")]
    pub age_s: f64,
}

/// The state of a rented host.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
pub enum HostState {
    #[serde(rename = "booting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
    /// A state that a later version added.
    #[serde(other, rename = "other")]
    Other,
}
