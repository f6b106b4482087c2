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
pub enum ScaleInReason {
    /// Its release was requested before and has not been confirmed.
    Unconfirmed,
    /// It failed and no longer sends heartbeats.
    Failed,
    /// It did not come up in time.
    BootTimeout,
    /// It sends heartbeats, but the responses don't reach it.
    Unreachable,
    /// It is cordoned, and the last of its tasks has been removed.
    Cordoned,
    /// It has held no tasks for longer than its idle timeout.
    Idle,
}

impl fmt::Display for ScaleInReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ScaleInReason::Unconfirmed => "unconfirmed",
            ScaleInReason::Failed => "failed",
            ScaleInReason::BootTimeout => "boot_timeout",
            ScaleInReason::Unreachable => "unreachable",
            ScaleInReason::Cordoned => "cordoned",
            ScaleInReason::Idle => "idle",
        })
    }
}

/// Decision to release a machine.
pub struct ScaleInDecision {
    /// Machine to release.
    pub machine: MachineIndex,
    /// Why it is released.
    pub reason: ScaleInReason,
}

/// Policy that decides which machines are released at one moment.
pub struct ScaleInPolicy<'a> {
    now: Millis,
    cluster: &'a ClusterState,
    failure_detector: FailureDetector<'a>,
    boot_delays: &'a BootDelays,
    gpu_demand: &'a GpuDemand,
}

impl<'a> ScaleInPolicy<'a> {
    /// Creates the policy from the current state.
    pub fn new(
        now: Millis,
        cluster: &'a ClusterState,
        inventory: &Inventory,
        zone_health: &'a ZoneHealth,
        boot_delays: &'a BootDelays,
        gpu_demand: &'a GpuDemand,
    ) -> ScaleInPolicy<'a> {
        let is_cloud_reachable = inventory.is_cloud_reachable(now);
        let failure_detector = FailureDetector::new(now, cluster, zone_health, is_cloud_reachable);
        ScaleInPolicy { now, cluster, failure_detector, boot_delays, gpu_demand }
    }

    /// Returns the machines to release now, at most as many as one call may release.
    pub fn machines_to_release(&self) -> Vec<ScaleInDecision> {
        let indices = self.cluster.machine_indices();
        let decisions = indices.filter_map(|machine| {
            let reason = self.reason_to_release(machine)?;
            Some(ScaleInDecision { machine, reason })
        });
        decisions.take(MACHINES_RELEASED_PER_CALL).collect()
    }

    fn reason_to_release(&self, index: MachineIndex) -> Option<ScaleInReason> {
        let machine = self.cluster.machine(index);
        if self.now < machine.release_retry_at {
            return None;
        }
        match machine.lifecycle {
            MachineLifecycle::Gone => None,
            MachineLifecycle::Releasing => Some(ScaleInReason::Unconfirmed),
            MachineLifecycle::Booting if machine.is_recovered_without_heartbeat() => {
                self.failure_detector.has_failed(machine).then_some(ScaleInReason::Failed)
            }
            MachineLifecycle::Booting => {
                let has_timed_out = self.boot_delays.has_boot_timed_out(self.now, self.cluster, index);
                has_timed_out.then_some(ScaleInReason::BootTimeout)
            }
            MachineLifecycle::Up => self.reason_to_release_running(machine),
        }
    }

    fn reason_to_release_running(&self, machine: &Machine) -> Option<ScaleInReason> {
        if self.failure_detector.has_failed(machine) {
            Some(ScaleInReason::Failed)
        } else if self.failure_detector.is_unreachable(machine) {
            Some(ScaleInReason::Unreachable)
        } else if !machine.load.assignments.is_empty() {
            None
        } else if machine.cordoned {
            Some(ScaleInReason::Cordoned)
        } else {
            let has_timed_out = has_idle_timed_out(self.now, self.cluster, self.gpu_demand, machine);
            has_timed_out.then_some(ScaleInReason::Idle)
        }
    }
}
