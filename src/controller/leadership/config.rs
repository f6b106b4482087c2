//! The leader's configuration, derived from the settings.

use crate::{
    controller::cluster_limits::{chunk_size, team_limits},
    coordination::{
        cluster::{Config, ServiceObjective},
        model::Millis,
    },
    protocol::{
        names::Interners,
        operator::OperatorSettings,
        settings::{ClusterSettings, Objective, ObjectiveKind},
    },
};

const BYTES_PER_KB: f64 = 1024.0;
const MS_PER_S: f64 = 1000.0;
/// Number of heartbeat intervals in the default heartbeat timeout, which applies unless
/// operators set another one. A machine whose heartbeats are missing for longer than the
/// timeout is released to the cloud.
const HEARTBEAT_TIMEOUT_INTERVALS: Millis = 2;
/// Grace period, in ms, that the default heartbeat timeout adds to its heartbeat
/// intervals.
const HEARTBEAT_TIMEOUT_GRACE_MS: Millis = 2_500;

fn to_ms(seconds: f64) -> Millis {
    (seconds * MS_PER_S) as Millis
}

/// Returns the configuration of a leader that starts with these settings.
pub fn leader_config(cluster: &ClusterSettings, operator: &OperatorSettings, names: &mut Interners) -> Config {
    let heartbeat_interval_ms = to_ms(cluster.workers.heartbeat_interval_s);
    let default_heartbeat_timeout_ms = heartbeat_interval_ms * HEARTBEAT_TIMEOUT_INTERVALS + HEARTBEAT_TIMEOUT_GRACE_MS;
    Config {
        worker_lease_ms: to_ms(cluster.workers.lease_s),
        heartbeat_interval_ms,
        gang_peer_s: cluster.workers.gang_peer_s,
        max_transaction_writes: cluster.store.fitting_txn_ops(),
        max_value_bytes: (cluster.store.value_kb * BYTES_PER_KB) as usize,
        reduced_max_value_bytes: (cluster.store.fitting_value_kb() * BYTES_PER_KB) as usize,
        reduced_chunk_size: chunk_size(cluster),
        host_list_delay_ms: to_ms(cluster.cloud.list_lag_s),
        teams: cluster.teams.iter().map(team_limits).collect(),
        objectives: service_objectives(cluster, names),
        min_idle_ms: to_ms(operator.idle_keep_s),
        heartbeat_timeout_ms: operator.silent_return_s.map_or(default_heartbeat_timeout_ms, to_ms),
        max_machines: operator.max_machines.unwrap_or(usize::MAX),
        use_spot: operator.use_spot,
    }
}

/// Returns the objectives that scheduling can serve, the most urgent first.
fn service_objectives(cluster: &ClusterSettings, names: &mut Interners) -> Vec<ServiceObjective> {
    let mut objectives: Vec<ServiceObjective> =
        cluster.objectives.iter().filter_map(|objective| service_objective(objective, names)).collect();
    objectives.sort_by(|one, other| one.within_s.total_cmp(&other.within_s));
    objectives
}

fn service_objective(objective: &Objective, names: &mut Interners) -> Option<ServiceObjective> {
    let applies_to_start = match objective.kind {
        ObjectiveKind::Wait => true,
        ObjectiveKind::Finished => false,
        ObjectiveKind::Other => return None,
    };
    let class = names.classes.intern(objective.class.as_ref()?);
    Some(ServiceObjective { class, applies_to_start, within_s: objective.within_s? })
}
