//! Control of the workers: reconciles heartbeats with the cluster state and responds to
//! them, sends commands, and detects expired leases.
//!
//! Each component is passed the [`ClusterState`] that it changes, and the outbox if it
//! makes calls. State that lasts between events is held by [`WorkerControl`] or, for
//! each machine, in the cluster state.

mod commands;
pub(in crate::coordination) mod direct_calls;
mod exited_tasks;
mod failure_attribution;
pub(in crate::coordination) mod heartbeats;
mod lease_expiry;
mod machine_status;
pub(in crate::coordination) mod probes;
mod reachability;
mod reconciliation;
mod spot_interruption;
mod task_progress;

pub use self::commands::stop_commands_for_cancelled;
use self::{
    failure_attribution::FailureAttribution, heartbeats::HeartbeatContext, lease_expiry::LeaseExpiry,
    reachability::Reachability,
};
use super::{
    cluster::ClusterState,
    effects::HeartbeatOutcome,
    lease_renewal::TimeSpan,
    model::{MachineIndex, Millis},
};
use crate::protocol::workers::Heartbeat;

/// The components of worker control that keep state between events.
#[derive(Debug)]
pub struct WorkerControl {
    reachability: Reachability,
    lease_expiry: LeaseExpiry,
    failure_attribution: FailureAttribution,
}

impl WorkerControl {
    /// Creates the worker control of a leader whose term begins at `now`.
    pub fn new(now: Millis) -> WorkerControl {
        WorkerControl {
            reachability: Reachability::new(now),
            lease_expiry: LeaseExpiry::default(),
            failure_attribution: FailureAttribution::new(now),
        }
    }

    /// Processes a periodic heartbeat and returns the response.
    pub fn heartbeat(
        &mut self,
        cluster: &mut ClusterState,
        context: &mut HeartbeatContext<'_>,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        let outcome = heartbeats::process(cluster, context, heartbeat);
        if matches!(outcome, HeartbeatOutcome::Accepted(_)) {
            self.reachability.record_heartbeat(context.now);
        }
        outcome
    }

    /// Reports whether, in the last `for_ms` ms, this controller received heartbeats from
    /// hardly any of the workers that should send them.
    pub fn is_isolated_from_workers(&self, cluster: &ClusterState, now: Millis, for_ms: Millis) -> bool {
        self.reachability.is_isolated_from_workers(cluster, now, for_ms)
    }

    /// Sets the time span in which no worker lease was renewed by another controller, or by
    /// this one while it did not lead.
    pub fn set_no_peer_renewals(&mut self, span: TimeSpan) {
        self.lease_expiry.set_no_peer_renewals(span);
    }

    /// Releases all assignments of a machine if its worker's lease has expired.
    pub fn expire_lease(&self, cluster: &mut ClusterState, now: Millis, index: MachineIndex) {
        self.lease_expiry.expire(cluster, now, index);
    }

    /// Cordons machines that are faulty according to recent task failures.
    pub fn attribute_failures(&mut self, cluster: &mut ClusterState, now: Millis) {
        self.failure_attribution.evaluate(cluster, now);
    }
}
