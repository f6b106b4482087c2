//! Cloud's interface.

use serde::{Deserialize, Serialize};

use super::cbor::number;

#[derive(Debug, Clone, Deserialize)]
pub struct Flavors {
    #[serde(rename = "breeds")]
    pub types: Vec<Flavor>,
}

#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct Flavor {
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

#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct RentRequest {
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

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostNames {
    pub hosts: Vec<String>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostList {
    pub hosts: Vec<ListedHost>,
    #[serde(default)]
    pub truncated: bool,
}

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

#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
pub enum HostState {
    #[serde(rename = "booting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
    #[serde(other, rename = "other")]
    Other,
}
