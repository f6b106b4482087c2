//! Unmet demand: tasks without free capacity, and when there last were any.

use std::collections::HashMap;

use crate::{coordination::model::Millis, protocol::names::MachineTypeIndex, storage::job_cache::JobIndex};

/// Unmet demand counts as recent for this long. Machines are only drained, or
/// reserved for GPU work, without recent unmet demand.
pub(in crate::coordination) const RECENT_UNMET_DEMAND_MS: Millis = 12_000;

/// Tasks of a job that found no free capacity in the last scheduling cycle.
#[derive(Debug, Clone, Copy)]
pub struct UnmetDemand {
    /// The job.
    pub job: JobIndex,
    /// How many of its tasks found no free capacity.
    pub tasks: u32,
}

/// Unmet demand of the last scheduling cycle, and when there last was any.
#[derive(Debug)]
pub(super) struct UnmetDemandTracker {
    /// When the leadership began.
    leader_since: Millis,
    /// The unmet demand, in the order of the last scheduling cycle.
    pub unmet: Vec<UnmetDemand>,
    /// When there last was demand that some machine type could have met.
    last_unmet: Millis,
    /// The same for each machine type that could have met it.
    last_unmet_by_type: HashMap<MachineTypeIndex, Millis>,
}

impl UnmetDemandTracker {
    /// The backlog of a leadership that begins now. Since it doesn't know of
    /// earlier demand, it assumes that there was some for all types.
    pub fn new(now: Millis) -> UnmetDemandTracker {
        UnmetDemandTracker { leader_since: now, unmet: Vec::new(), last_unmet: now, last_unmet_by_type: HashMap::new() }
    }

    /// There is unmet demand that machines of these types could meet.
    pub fn record_unmet_for(&mut self, now: Millis, types: Vec<MachineTypeIndex>) {
        if !types.is_empty() {
            self.last_unmet = now;
        }
        for machine_type in types {
            self.last_unmet_by_type.insert(machine_type, now);
        }
    }

    /// Whether there was unmet demand lately that some machine type could meet.
    pub fn has_recent_unmet_demand(&self, now: Millis) -> bool {
        now < self.last_unmet + RECENT_UNMET_DEMAND_MS
    }

    /// Whether there was unmet demand lately that machines of this type could meet.
    pub fn has_recent_unmet_demand_for(&self, now: Millis, machine_type: MachineTypeIndex) -> bool {
        let last_unmet = self.last_unmet_by_type.get(&machine_type).copied().unwrap_or(self.leader_since);
        now < last_unmet + RECENT_UNMET_DEMAND_MS
    }
}
