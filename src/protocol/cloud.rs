//! Interface of the cloud: machine types, and scaling out and in (provisioning and releasing hosts).

use serde::{Deserialize, Serialize};

use super::cbor::number;

/// List of machine types.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineTypeList {
    /// All types that may be provisioned. On the wire: `breeds`.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// A machine type as the cloud describes it.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct MachineType {
    /// Name of the type, unique in the list.
    pub name: String,
    /// CPUs of one machine.
    #[serde(deserialize_with = "number")]
    pub cpus: f64,
    /// GPUs of one machine; 0 if the cloud gives no number. On the wire: `cards`.
    #[serde(rename = "cards", default)]
    #[serde(deserialize_with = "number")]
    pub gpus: f64,
    /// Memory of one machine, in GB.
    #[serde(deserialize_with = "number")]
    pub memory_gb: f64,
    /// Size of one machine's image cache, in GB. On the wire: `localGb`.
    #[serde(rename = "localGb", default)]
    #[serde(deserialize_with = "number")]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second. On the wire: `pullGbPerS`.
    #[serde(rename = "pullGbPerS", default)]
    #[serde(deserialize_with = "number")]
    pub fetch_gb_per_s: f64,
    /// Price per hour of an on-demand machine.
    #[serde(default)]
    #[serde(deserialize_with = "number")]
    pub price: f64,
    /// Current price per hour of a spot machine; 0 if the cloud gives no price.
    #[serde(default)]
    #[serde(deserialize_with = "number")]
    pub spot_price: f64,
    /// Nominal boot time, in seconds. On the wire: `readyS`.
    #[serde(rename = "readyS", default)]
    #[serde(deserialize_with = "number")]
    pub boot_s: f64,
    /// Names of the zones in which the type is offered. On the wire: `yards`.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Request to provision hosts of one type in one zone.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ProvisionRequest {
    /// Name of the request, which makes it idempotent: hosts are provisioned only
    /// once for the same name.
    #[serde(rename = "ask")]
    pub request: String,
    /// Name of the machine type. On the wire: `breed`.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Name of the zone. On the wire: `yard`.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are requested. On the wire: `loaners`.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Maximum number of hosts to provision; the cloud may provision fewer. On the wire: `number`.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of hosts: in the response to a [`ProvisionRequest`], the hosts that were provisioned;
/// in a request to release hosts, the hosts to be released.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostNames {
    /// Names of the hosts.
    pub hosts: Vec<String>,
}

/// One page of the list of provisioned hosts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostList {
    /// The hosts, in the order of their names.
    pub hosts: Vec<ListedHost>,
    /// Whether the list continues after the last host of this page.
    #[serde(default)]
    pub truncated: bool,
}

/// A provisioned host, as the cloud lists it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host. On the wire: `nameId`.
    #[serde(rename = "nameId")]
    pub id: String,
    /// Address of the host's worker; None if the cloud gives no address. On the wire: `endpoint`.
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    /// Name of the machine type. On the wire: `breed`.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Name of the zone. On the wire: `yard`.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine. On the wire: `loaners`.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// State of the host. On the wire: `status`.
    #[serde(rename = "status")]
    pub state: HostState,
    /// Seconds since the host was requested. On the wire: `heldS`.
    #[serde(rename = "heldS", default)]
    #[serde(deserialize_with = "number")]
    pub age_s: f64,
}

/// State of a provisioned host.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
pub enum HostState {
    /// Provisioned, but not up yet.
    #[serde(rename = "booting")]
    Booting,
    /// Up.
    #[serde(rename = "running")]
    Running,
    /// Stopped by itself, without having been released.
    #[serde(rename = "failed")]
    Failed,
    /// Any state added by a later version.
    #[serde(other, rename = "other")]
    Other,
}
