//! Unmet demand: tasks that found no free capacity, and the time of the latest unmet
//! demand.

use std::collections::HashMap;

use crate::{coordination::model::Millis, protocol::names::MachineTypeIndex, storage::job_cache::JobIndex};

/// How long unmet demand is considered recent, in ms. Machines are drained, or
/// reserved for GPU tasks, only if there is no recent unmet demand.
pub(in crate::coordination) const RECENT_UNMET_DEMAND_MS: Millis = 12_000;

/// Tasks of a job that found no free capacity in the last scheduling cycle.
#[derive(Debug, Clone, Copy)]
pub struct UnmetDemand {
    /// Job to which the tasks belong.
    pub job: JobIndex,
    /// Number of its tasks that found no free capacity.
    pub tasks: u32,
}

/// Unmet demand of the last scheduling cycle, and the time of the latest unmet demand,
/// also by machine type.
#[derive(Debug)]
pub(super) struct UnmetDemandTracker {
    /// When the leadership began.
    leader_since: Millis,
    /// Unmet demand in the order of the last scheduling cycle.
    pub unmet: Vec<UnmetDemand>,
    /// When there last was unmet demand that some machine type could have met.
    last_unmet: Millis,
    /// For each machine type, when there last was unmet demand that it could have met;
    /// no entry: `leader_since` is used.
    last_unmet_by_type: HashMap<MachineTypeIndex, Millis>,
}

impl UnmetDemandTracker {
    /// Creates the tracker of a leadership that begins now. As earlier demand is
    /// unknown, it assumes that there was unmet demand for all types.
    pub fn new(now: Millis) -> UnmetDemandTracker {
        UnmetDemandTracker { leader_since: now, unmet: Vec::new(), last_unmet: now, last_unmet_by_type: HashMap::new() }
    }

    /// Records that there is unmet demand that machines of these types could meet.
    pub fn record_unmet_for(&mut self, now: Millis, types: Vec<MachineTypeIndex>) {
        if !types.is_empty() {
            self.last_unmet = now;
        }
        for machine_type in types {
            self.last_unmet_by_type.insert(machine_type, now);
        }
    }

    /// Reports whether there was recent unmet demand that some machine type could
    /// meet.
    pub fn has_recent_unmet_demand(&self, now: Millis) -> bool {
        now < self.last_unmet + RECENT_UNMET_DEMAND_MS
    }

    /// Reports whether there was recent unmet demand that machines of this type
    /// could meet.
    pub fn has_recent_unmet_demand_for(&self, now: Millis, machine_type: MachineTypeIndex) -> bool {
        let last_unmet = self.last_unmet_by_type.get(&machine_type).copied().unwrap_or(self.leader_since);
        now < last_unmet + RECENT_UNMET_DEMAND_MS
    }
}
