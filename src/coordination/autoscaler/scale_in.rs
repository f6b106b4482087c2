//! Scale-in: requests the release of machines.

use std::collections::HashMap;

use super::scale_in_policy::ScaleInDecision;
use crate::coordination::{
    cluster::ClusterState,
    effects::{Effect, Outbox},
    model::{CallId, MachineIndex, MachineLifecycle, Millis},
};

/// Delay before a release without a confirmation is requested again.
const UNCONFIRMED_RETRY_DELAY_MS: Millis = 2_500;
/// Delay before a release whose request failed is requested again.
const FAILED_RETRY_DELAY_MS: Millis = 1_000;

/// Component that requests the release of machines and tracks the requests.
#[derive(Debug, Default)]
pub struct ScaleIn {
    /// Machines of the requests whose response has not been received yet.
    in_flight: HashMap<CallId, Vec<MachineIndex>>,
}

impl ScaleIn {
    /// Requests the release of the machines in `decisions`, in one call.
    pub fn release(
        &mut self,
        now: Millis,
        decisions: Vec<ScaleInDecision>,
        cluster: &mut ClusterState,
        outbox: &mut Outbox,
    ) {
        if decisions.is_empty() {
            return;
        }
        for decision in &decisions {
            mark_releasing(now, decision, cluster);
        }
        let call = outbox.next_call();
        let machines: Vec<MachineIndex> = decisions.into_iter().map(|decision| decision.machine).collect();
        let ids = machines.iter().map(|&index| cluster.machine(index).id.clone()).collect();
        self.in_flight.insert(call, machines);
        outbox.send(Effect::ScaleIn { call, ids });
    }

    /// Handles the outcome of a request. `is_released`: the cloud confirmed the release.
    pub fn finished(&mut self, now: Millis, call: CallId, is_released: bool, cluster: &mut ClusterState) {
        let Some(machines) = self.in_flight.remove(&call) else { return };
        for index in machines {
            if is_released {
                mark_gone(now, index, cluster);
            } else {
                cluster.machine_mut(index).release_retry_at = now + FAILED_RETRY_DELAY_MS;
            }
        }
        cluster.request_scheduling_cycle();
    }
}

fn mark_releasing(now: Millis, decision: &ScaleInDecision, cluster: &mut ClusterState) {
    let machine = cluster.machine_mut(decision.machine);
    if machine.lifecycle != MachineLifecycle::Releasing {
        tracing::info!(
            machine = &*machine.id,
            reason = %decision.reason,
            tasks = machine.load.assignments.len(),
            "scale-in requested"
        );
    }
    machine.lifecycle = MachineLifecycle::Releasing;
    machine.release_retry_at = now + UNCONFIRMED_RETRY_DELAY_MS;
    cluster.update_snapshot_host(now, decision.machine);
}

/// Records that a released machine and everything on it no longer exist.
fn mark_gone(now: Millis, index: MachineIndex, cluster: &mut ClusterState) {
    cluster.release_machine_assignments(index, None);
    let machine = cluster.machine_mut(index);
    machine.lifecycle = MachineLifecycle::Gone;
    machine.commands.direct_call = None;
    cluster.update_snapshot_host(now, index);
}
