//! Control of the workers: heartbeats are answered and reconciled with the
//! cluster state, commands are sent, and expired leases are detected.
//!
//! Each component takes the [`ClusterState`] that it changes, and the outbox if
//! it makes calls. What must be kept between events is kept by [`WorkerControl`]
//! or, for each machine, in the cluster state.

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

/// The components that keep state of their own between events.
#[derive(Debug)]
pub struct WorkerControl {
    reachability: Reachability,
    lease_expiry: LeaseExpiry,
    failure_attribution: FailureAttribution,
}

impl WorkerControl {
    /// The control of a leadership that begins now.
    pub fn new(now: Millis) -> WorkerControl {
        WorkerControl {
            reachability: Reachability::new(now),
            lease_expiry: LeaseExpiry::default(),
            failure_attribution: FailureAttribution::new(now),
        }
    }

    /// Processes a periodic heartbeat and makes the response.
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

    /// Whether hardly any of the workers that should send heartbeats have reached
    /// this controller in the last `for_ms`.
    pub fn is_isolated_from_workers(&self, cluster: &ClusterState, now: Millis, for_ms: Millis) -> bool {
        self.reachability.is_isolated_from_workers(cluster, now, for_ms)
    }

    /// Sets the time in which no other controller renewed any lease.
    pub fn set_no_peer_renewals(&mut self, span: TimeSpan) {
        self.lease_expiry.set_no_peer_renewals(span);
    }

    /// Frees a machine if the lease of its worker has expired.
    pub fn expire_lease(&self, cluster: &mut ClusterState, now: Millis, index: MachineIndex) {
        self.lease_expiry.expire(cluster, now, index);
    }

    /// Cordons machines that recent task failures show to be faulty.
    pub fn attribute_failures(&mut self, cluster: &mut ClusterState, now: Millis) {
        self.failure_attribution.evaluate(cluster, now);
    }
}
