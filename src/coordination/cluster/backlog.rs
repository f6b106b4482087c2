//! Work that found no free capacity, and since when there has been none.

use std::collections::HashMap;

use crate::{coordination::model::Millis, protocol::names::MachineTypeIndex, storage::job_cache::JobIndex};

/// Machines are only vacated once no work has waited for capacity for this long.
pub(in crate::coordination) const UNCROWDED_MS: Millis = 12_000;

/// Tasks of a job that found no free capacity in the last scheduling cycle.
#[derive(Debug, Clone, Copy)]
pub struct UnmetDemand {
    /// The job.
    pub job: JobIndex,
    /// How many of its tasks found no free capacity.
    pub tasks: u32,
}

/// Work that waits for capacity.
#[derive(Debug)]
pub(in crate::coordination) struct Backlog {
    /// When the leadership began.
    began: Millis,
    /// What found no free capacity in the last scheduling cycle, in the order of the cycle.
    pub unmet: Vec<UnmetDemand>,
    /// When work last waited for capacity.
    last_waiting: Millis,
    /// The same of work that could run on machines of a type.
    last_waiting_by_type: HashMap<MachineTypeIndex, Millis>,
}

impl Backlog {
    /// Nothing has waited yet; a new leader has not seen what waits.
    pub fn new(now: Millis) -> Backlog {
        Backlog { began: now, unmet: Vec::new(), last_waiting: now, last_waiting_by_type: HashMap::new() }
    }

    /// Work waits that could run on machines of these types.
    pub fn record_waiting(&mut self, now: Millis, types: Vec<MachineTypeIndex>) {
        if !types.is_empty() {
            self.last_waiting = now;
        }
        for machine_type in types {
            self.last_waiting_by_type.insert(machine_type, now);
        }
    }

    /// Whether any work waited for capacity lately.
    pub fn is_recent(&self, now: Millis) -> bool {
        now < self.last_waiting + UNCROWDED_MS
    }

    /// Whether work that could run on machines of this type waited for capacity lately.
    pub fn is_recent_for(&self, now: Millis, machine_type: MachineTypeIndex) -> bool {
        let last_waiting = self.last_waiting_by_type.get(&machine_type).copied().unwrap_or(self.began);
        now < last_waiting + UNCROWDED_MS
    }
}
