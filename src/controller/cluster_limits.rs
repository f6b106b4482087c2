//! Limits that are derived from the settings of the cluster.

use crate::{
    coordination::model::TeamLimits,
    protocol::settings::{ClusterSettings, Team},
    storage::records,
};

/// Length, in bytes, of a zone's name that is assumed if no zone is configured.
const DEFAULT_ZONE_NAME_LENGTH: usize = 16;

/// Returns the number of tasks per chunk for a job that is recorded now.
pub fn chunk_size(cluster: &ClusterSettings) -> u32 {
    let zone_len = cluster.zones.iter().map(String::len).max().unwrap_or(DEFAULT_ZONE_NAME_LENGTH);
    records::chunk_size(cluster.store.fitting_value_kb(), zone_len)
}

/// Returns the quota of a team. An amount of 0 in the settings means that it is not set.
pub fn team_limits(team: &Team) -> TeamLimits {
    let amount = |amount: f64| (amount > 0.0).then_some(amount);
    TeamLimits {
        cpus: amount(team.cpus),
        gpus: amount(team.gpus),
        cpus_max: amount(team.cpus_max),
        gpus_max: amount(team.gpus_max),
    }
}
