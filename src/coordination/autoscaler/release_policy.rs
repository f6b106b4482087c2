//! Decides which machines are released, and why.

use std::fmt;

use super::{
    boot_delays::BootDelays, failure_detector::FailureDetector, idle_timeout::has_idle_timed_out, inventory::Inventory,
    zone_health::ZoneHealth,
};
use crate::coordination::{
    cluster::ClusterState,
    model::{Machine, MachineIndex, MachineLifecycle, Millis},
    scheduler::gpu_demand::GpuDemand,
};

/// Most machines released in one call.
const MACHINES_RELEASED_PER_CALL: usize = 50;

/// Why a machine is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseReason {
    /// Its release was requested before, and is not confirmed.
    Unconfirmed,
    /// It sends no heartbeats any more.
    Failed,
    /// It did not come up in time.
    BootTimeout,
    /// It sends heartbeats, but our answers don't reach it.
    Unreachable,
    /// It takes no new tasks, and the last of its tasks is gone.
    Cordoned,
    /// Nothing has run on it for long.
    Idle,
}

impl fmt::Display for ReleaseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReleaseReason::Unconfirmed => "unconfirmed",
            ReleaseReason::Failed => "failed",
            ReleaseReason::BootTimeout => "boot_timeout",
            ReleaseReason::Unreachable => "unreachable",
            ReleaseReason::Cordoned => "cordoned",
            ReleaseReason::Idle => "idle",
        })
    }
}

/// A machine to be released.
pub struct Release {
    /// The machine.
    pub machine: MachineIndex,
    /// Why it is released.
    pub reason: ReleaseReason,
}

/// Decides at one moment which machines are released.
pub struct ReleasePolicy<'a> {
    now: Millis,
    cluster: &'a ClusterState,
    failure_detector: FailureDetector<'a>,
    boot_delays: &'a BootDelays,
    gpu_demand: &'a GpuDemand,
}

impl<'a> ReleasePolicy<'a> {
    /// The policy in view of what is known at present.
    pub fn new(
        now: Millis,
        cluster: &'a ClusterState,
        inventory: &Inventory,
        zone_health: &'a ZoneHealth,
        boot_delays: &'a BootDelays,
        gpu_demand: &'a GpuDemand,
    ) -> ReleasePolicy<'a> {
        let is_cloud_reachable = inventory.is_cloud_reachable(now);
        let failure_detector = FailureDetector::new(now, cluster, zone_health, is_cloud_reachable);
        ReleasePolicy { now, cluster, failure_detector, boot_delays, gpu_demand }
    }

    /// The machines to be released now, at most as many as one call may release.
    pub fn machines_to_release(&self) -> Vec<Release> {
        let indices = (0..self.cluster.machines.len() as u32).map(MachineIndex);
        let releases = indices.filter_map(|machine| {
            let reason = self.reason_to_release(machine)?;
            Some(Release { machine, reason })
        });
        releases.take(MACHINES_RELEASED_PER_CALL).collect()
    }

    fn reason_to_release(&self, index: MachineIndex) -> Option<ReleaseReason> {
        let machine = self.cluster.machine(index);
        if self.now < machine.return_after {
            return None;
        }
        match machine.lifecycle {
            MachineLifecycle::Gone => None,
            MachineLifecycle::Returning => Some(ReleaseReason::Unconfirmed),
            MachineLifecycle::Booting if machine.is_inherited_unheard() => {
                self.failure_detector.has_failed(machine).then_some(ReleaseReason::Failed)
            }
            MachineLifecycle::Booting => {
                let has_timed_out = self.boot_delays.has_boot_timed_out(self.now, self.cluster, index);
                has_timed_out.then_some(ReleaseReason::BootTimeout)
            }
            MachineLifecycle::Up => self.reason_to_release_running(machine),
        }
    }

    fn reason_to_release_running(&self, machine: &Machine) -> Option<ReleaseReason> {
        if self.failure_detector.has_failed(machine) {
            Some(ReleaseReason::Failed)
        } else if self.failure_detector.is_unreachable(machine) {
            Some(ReleaseReason::Unreachable)
        } else if !machine.load.assignments.is_empty() {
            None
        } else if machine.cordoned {
            Some(ReleaseReason::Cordoned)
        } else {
            let has_timed_out = has_idle_timed_out(self.now, self.cluster, self.gpu_demand, machine);
            has_timed_out.then_some(ReleaseReason::Idle)
        }
    }
}
