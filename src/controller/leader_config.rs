//! The leader's configuration, from the settings.

use super::wiring::Controller;
use crate::{
    coordination::{
        cluster::{Config, ServiceObjective},
        model::{Millis, TeamLimits},
    },
    protocol::settings::{Objective, ObjectiveKind, Team},
    storage::records,
};

const BYTES_PER_KB: f64 = 1024.0;
const MS_PER_S: f64 = 1000.0;
/// Length that a zone's name is assumed to have when none is configured.
const DEFAULT_ZONE_NAME_LENGTH: usize = 16;
/// Report intervals, and ms besides, after which a silent machine is returned
/// to the cloud unless operators set another time.
const SILENT_HEARTBEAT_INTERVALS: Millis = 2;
const SILENT_GRACE_MS: Millis = 2_500;

fn ms(seconds: f64) -> Millis {
    (seconds * MS_PER_S) as Millis
}

fn team_limits(team: &Team) -> TeamLimits {
    let amount = |amount: f64| (amount > 0.0).then_some(amount);
    TeamLimits {
        cpus: amount(team.cpus),
        gpus: amount(team.gpus),
        cpus_max: amount(team.cpus_max),
        gpus_max: amount(team.gpus_max),
    }
}

impl Controller {
    /// Tasks per chunk of a job that is recorded now.
    pub(super) fn chunk_size(&self) -> u32 {
        let cluster = &self.settings.cluster;
        let zone_len = cluster.zones.iter().map(String::len).max().unwrap_or(DEFAULT_ZONE_NAME_LENGTH);
        records::chunk_size(cluster.state.fitting_value_kb(), zone_len)
    }

    /// The configuration of a leader that starts now.
    pub(super) fn leader_config(&mut self) -> Config {
        let objectives = self.objectives();
        let cluster = &self.settings.cluster;
        let operator = &self.operator;
        let heartbeat_interval_ms = ms(cluster.workers.report_s);
        let default_silent_ms = heartbeat_interval_ms * SILENT_HEARTBEAT_INTERVALS + SILENT_GRACE_MS;
        Config {
            lease_ms: ms(cluster.workers.lease_s),
            heartbeat_interval_ms,
            gang_peer_s: cluster.workers.gang_peer_s,
            txn_ops: cluster.state.fitting_txn_ops(),
            value_max: (cluster.state.value_kb * BYTES_PER_KB) as usize,
            value_fit: (cluster.state.fitting_value_kb() * BYTES_PER_KB) as usize,
            chunk_fit: self.chunk_size(),
            list_lag_ms: ms(cluster.cloud.list_lag_s),
            teams: cluster.teams.iter().map(team_limits).collect(),
            objectives,
            idle_keep_ms: ms(operator.idle_keep_s),
            silent_ms: operator.silent_return_s.map_or(default_silent_ms, ms),
            max_machines: operator.max_machines.unwrap_or(usize::MAX),
            use_spot: operator.use_spot,
        }
    }

    /// The objectives that scheduling can serve, the most urgent first.
    fn objectives(&mut self) -> Vec<ServiceObjective> {
        let mut objectives = Vec::new();
        for Objective { kind, class, within_s, .. } in &self.settings.cluster.objectives {
            let start = match kind {
                ObjectiveKind::Wait => true,
                ObjectiveKind::Finished => false,
                ObjectiveKind::Other => continue,
            };
            let Some(class) = class else { continue };
            let class = self.tables.classes.intern(class);
            let Some(within_s) = *within_s else { continue };
            objectives.push(ServiceObjective { class, start, within_s });
        }
        objectives.sort_by(|one, other| one.within_s.total_cmp(&other.within_s));
        objectives
    }
}
