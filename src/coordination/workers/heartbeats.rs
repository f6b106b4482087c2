//! Processing of workers' heartbeats, and the responses to them.

use super::{
    commands::{self, stop_commands_for_cancelled, CommandMessage},
    machine_status,
    reconciliation::Reconciliation,
    spot_interruption,
};
use crate::{
    coordination::{
        cluster::ClusterState,
        effects::HeartbeatOutcome,
        model::{Machine, MachineIndex, MachineLifecycle, Millis},
    },
    protocol::{
        ids::FencingToken,
        names::Interners,
        workers::{Heartbeat, HeartbeatResponse, TaskState, WorkerCommand},
    },
    storage::job_cache::JobCache,
};

/// Inputs for processing a heartbeat, besides the cluster state.
pub struct HeartbeatContext<'a> {
    /// Current time on the monotonic clock, in ms.
    pub now: Millis,
    /// All jobs, including finished ones.
    pub job_cache: &'a JobCache,
    /// Interned names of zones and machine types.
    pub interners: &'a mut Interners,
}

/// Indicates that a worker has received a higher fencing token than this leader's, so
/// another controller leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Superseded;

/// Processes a periodic heartbeat and returns the response.
pub fn process(
    cluster: &mut ClusterState,
    context: &mut HeartbeatContext<'_>,
    heartbeat: &Heartbeat,
) -> HeartbeatOutcome {
    let now = context.now;
    let zone = context.interners.zones.intern(&heartbeat.zone);
    let index = cluster.find_or_add_machine(now, &heartbeat.machine, zone);
    let machine = cluster.machine_mut(index);
    if heartbeat.token > machine.token_requirement.token {
        return HeartbeatOutcome::Superseded;
    }
    if is_stale(machine, heartbeat) {
        return HeartbeatOutcome::Stale;
    }
    machine.heartbeats.lease_renewed_at = now;
    let is_newer = machine.heartbeats.precedes(heartbeat.incarnation, heartbeat.sequence);
    cluster.record_event_at(now);
    let commands = if cluster.is_loaded() && is_newer {
        record_acknowledgement(cluster, now, index, heartbeat.token);
        apply(cluster, context, index, heartbeat);
        response_commands(cluster, context, index, heartbeat)
    } else {
        // The reported state is not applied if it isn't newer than the latest one, or if the
        // records are not read yet; in the latter case, the next heartbeat reports it again.
        // In both cases, the response renews the worker's lease.
        stop_commands_for_cancelled(heartbeat, context.job_cache)
    };
    HeartbeatOutcome::Accepted(HeartbeatResponse { token: cluster.machine(index).token_requirement.token, commands })
}

/// Applies the heartbeat that a worker sent in response to a direct call.
pub fn apply_call_response(
    cluster: &mut ClusterState,
    context: &mut HeartbeatContext<'_>,
    index: MachineIndex,
    heartbeat: &Heartbeat,
) -> Result<(), Superseded> {
    let machine = cluster.machine(index);
    if heartbeat.token > machine.token_requirement.token {
        return Err(Superseded);
    }
    if !is_stale(machine, heartbeat) {
        apply(cluster, context, index, heartbeat);
    }
    Ok(())
}

/// Applies a heartbeat, periodic or in response to a call, if it is newer than the
/// latest one.
pub fn apply(
    cluster: &mut ClusterState,
    context: &mut HeartbeatContext<'_>,
    index: MachineIndex,
    heartbeat: &Heartbeat,
) {
    let now = context.now;
    if !cluster.machine(index).heartbeats.precedes(heartbeat.incarnation, heartbeat.sequence) {
        return;
    }
    machine_status::update(cluster, now, index, heartbeat, context.interners);
    if heartbeat.incarnation > cluster.machine(index).heartbeats.incarnation {
        machine_status::begin_incarnation(cluster, now, index, heartbeat.incarnation);
    }
    cluster.confirm_recovered_assignments(index);
    Reconciliation::new(cluster, now, index).run(&heartbeat.tasks, context.job_cache);
    let machine = cluster.machine_mut(index);
    if machine.commands.take_reap_added() {
        // A worker doesn't know an attempt any more once it is reaped or its machine has
        // rebooted, so a copy of the command that launched it would start it again. From now
        // on, all commands, and first the response to this heartbeat, have a higher token than
        // that command, so the worker refuses the copy.
        machine.token_requirement.raise_token();
    }
    if cluster.machine(index).spot_interruption_at.is_some() {
        spot_interruption::drain(cluster, now, index);
    }
    cluster.update_snapshot_host(now, index);
}

/// Records that the response to a machine's latest heartbeat, already prepared, is not
/// sent.
pub fn response_not_sent(cluster: &mut ClusterState, machine: &str) {
    if let Some(index) = cluster.find_machine(machine) {
        cluster.machine_mut(index).token_requirement.response_not_sent();
    }
}

/// Reports whether a task may be on the machine that sent the heartbeat, or may be started
/// there: a task is listed by the heartbeat, assigned by a record, or launched by a command
/// in flight. Until the records are read, every machine may hold tasks.
pub fn may_hold_tasks(cluster: &ClusterState, heartbeat: &Heartbeat) -> bool {
    let is_listed = heartbeat.tasks.iter().any(|task| task.state != TaskState::Exited);
    if is_listed || !cluster.is_loaded() {
        return true;
    }
    let Some(index) = cluster.find_machine(&heartbeat.machine) else { return false };
    let machine = cluster.machine(index);
    !machine.load.assignments.is_empty() || !machine.has_no_launch_in_flight()
}

/// Reports whether a heartbeat is stale: a delayed one from an incarnation whose lease is
/// known to have expired, or one from a machine that was released. A stale heartbeat
/// doesn't show which tasks run now.
fn is_stale(machine: &Machine, heartbeat: &Heartbeat) -> bool {
    machine.lifecycle == MachineLifecycle::Gone || machine.heartbeats.is_expired(heartbeat.incarnation)
}

/// Records that a periodic heartbeat was received, and whether it acknowledges this
/// leader's earlier responses.
fn record_acknowledgement(cluster: &mut ClusterState, now: Millis, index: MachineIndex, token: FencingToken) {
    let min_gap_ms = cluster.config().heartbeat_interval_ms / 2;
    let machine = cluster.machine_mut(index);
    machine.heartbeats.last_heartbeat = Some(now);
    // Launches in the last response are no longer in flight: the worker received that
    // response before it sent this heartbeat, or the response was lost.
    machine.commands.set_launch_in_response(false);
    machine.token_requirement.count_acknowledgement(now, token, min_gap_ms);
}

/// Returns the commands in the response to a heartbeat that was applied.
fn response_commands(
    cluster: &mut ClusterState,
    context: &HeartbeatContext<'_>,
    index: MachineIndex,
    heartbeat: &Heartbeat,
) -> Vec<WorkerCommand> {
    let mut response = stop_commands_for_cancelled(heartbeat, context.job_cache);
    let mut others = commands::select_and_mark_sent(cluster, context.now, index, CommandMessage::HeartbeatResponse);
    others.retain(|command| !response.iter().any(|halt| halt.stops_same_attempt(command)));
    response.append(&mut others);

    let machine = cluster.machine_mut(index);
    let has_launch = response.iter().any(|command| matches!(command, WorkerCommand::Launch { .. }));
    machine.commands.set_launch_in_response(has_launch);
    response
}
