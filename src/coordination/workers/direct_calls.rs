//! Direct calls: commands that are sent to workers between their heartbeats.

use super::{
    commands::{self, CommandMessage, RESEND_MS},
    heartbeats::{self, HeartbeatContext, Superseded},
};
use crate::{
    coordination::{
        cluster::ClusterState,
        effects::{DirectCallOutcome, Effect, Outbox},
        model::{Assignment, CallId, DirectCall, LaunchId, Machine, MachineIndex, MachineLifecycle, Millis, Slot},
    },
    protocol::workers::{split_task, DirectCommandRequest, WorkerCommand},
};

/// After a direct call, the machine is checked again this long, in ms, after
/// [`RESEND_MS`] has passed: commands that had no effect are then due to be sent again.
const RESEND_SLACK_MS: Millis = 100;
/// Number of heartbeat intervals without contact after which no more commands are sent
/// to a worker.
const CONTACT_LIMIT_INTERVALS: Millis = 3;
/// Pause of direct calls to a machine after a call that could not be sent, in ms.
const NOT_SENT_PAUSE_MS: Millis = 700;
/// Pause of direct calls to a machine after a call without a response, in ms.
const NO_RESPONSE_PAUSE_MS: Millis = 1_000;

/// Makes direct calls to all machines that are due for a check and need commands.
pub fn dispatch(cluster: &mut ClusterState, outbox: &mut Outbox, now: Millis) {
    while let Some(index) = cluster.next_due_dispatch(now) {
        dispatch_to(cluster, outbox, now, index);
    }
}

fn dispatch_to(cluster: &mut ClusterState, outbox: &mut Outbox, now: Millis, index: MachineIndex) {
    let machine = cluster.machine(index);
    if !needs_direct_call(machine) {
        return;
    }
    let paused_until = machine.commands.direct_calls_paused_until();
    if now < paused_until {
        cluster.schedule_dispatch(paused_until, index);
        return;
    }
    let Some(addr) = machine.addr else { return };
    let contact_limit_ms = CONTACT_LIMIT_INTERVALS * cluster.config().heartbeat_interval_ms;
    // A worker gets no direct call before it has acknowledged the required token, which a
    // heartbeat response delivers to it. An unreachable worker gets none either.
    if !machine.is_fenced() || !machine.heartbeats.contacted_within(now, contact_limit_ms) {
        return;
    }
    let commands = commands::select_and_mark_sent(cluster, now, index, CommandMessage::DirectCall);
    if commands.is_empty() {
        return;
    }
    let launches = commands.iter().filter_map(|command| launch_of(cluster, index, command)).collect();
    let call = outbox.next_call();
    let machine = cluster.machine_mut(index);
    let token = machine.token_requirement.token;
    machine.commands.direct_call = Some(DirectCall { id: call, token, launches });
    let request = DirectCommandRequest { token, incarnation: machine.heartbeats.incarnation, commands };
    outbox.send(Effect::DirectCommand { machine: index, call, addr, request });
    cluster.schedule_dispatch(now + RESEND_MS + RESEND_SLACK_MS, index);
}

fn needs_direct_call(machine: &Machine) -> bool {
    !machine.load.assignments.is_empty()
        && machine.commands.direct_call.is_none()
        && machine.lifecycle == MachineLifecycle::Up
}

/// Returns the identity of a launch. `None`: the command is not a launch, or its task is
/// not assigned to this machine.
fn launch_of(cluster: &ClusterState, index: MachineIndex, command: &WorkerCommand) -> Option<LaunchId> {
    let WorkerCommand::Launch { task, attempt } = command else { return None };
    let (_, task) = split_task(task)?;
    let assignments = &cluster.machine(index).load.assignments;
    assignments
        .iter()
        .filter_map(|&assignment_index| cluster.assignment(assignment_index))
        .find(|assignment| assignment.task == task && assignment.attempt == *attempt)
        .map(Assignment::launch_id)
}

/// Processes the outcome of a direct call. Outcomes of calls that are no longer in
/// flight are ignored.
pub fn complete(
    cluster: &mut ClusterState,
    context: &mut HeartbeatContext<'_>,
    index: MachineIndex,
    call: CallId,
    outcome: DirectCallOutcome,
) -> Result<(), Superseded> {
    let now = context.now;
    let Some(completed) = cluster.machine_mut(index).commands.end_direct_call(call) else { return Ok(()) };
    cluster.schedule_dispatch(now, index);
    match outcome {
        DirectCallOutcome::Executed(heartbeat) => {
            for_each_launched(cluster, &completed.launches, |assignment| {
                assignment.executed_launch_token = Some(completed.token);
            });
            heartbeats::apply_call_response(cluster, context, index, &heartbeat)?;
        }
        DirectCallOutcome::Refused(heartbeat) => {
            heartbeats::apply_call_response(cluster, context, index, &heartbeat)?;
            // The call was not executed, so its launches may be sent again at once.
            for_each_launched(cluster, &completed.launches, |assignment| assignment.sent_at = None);
        }
        DirectCallOutcome::NotSent => {
            cluster.machine_mut(index).commands.pause_direct_calls(now + NOT_SENT_PAUSE_MS);
        }
        DirectCallOutcome::Unknown => {
            cluster.machine_mut(index).commands.pause_direct_calls(now + NO_RESPONSE_PAUSE_MS);
            if !completed.launches.is_empty() {
                require_new_token(cluster, now, index);
            }
        }
    }
    Ok(())
}

/// Applies `change` to the assignments to which launches belong, unless they were released.
fn for_each_launched(cluster: &mut ClusterState, launches: &[LaunchId], change: impl Fn(&mut Assignment)) {
    for launch in launches {
        let slot = cluster.job(launch.job).and_then(|job| job.tasks.slots.get(launch.task as usize).copied());
        let Some(Slot::Assigned(assignment_index)) = slot else { continue };
        let assignment = cluster.assignment_mut(assignment_index);
        if let Some(assignment) = assignment.filter(|assignment| assignment.attempt == launch.attempt) {
            change(assignment);
        }
    }
}

/// Raises the token after a call with launches got no response. The launches may arrive
/// at any later time; once the worker has acknowledged the raised token, it rejects them.
fn require_new_token(cluster: &mut ClusterState, now: Millis, index: MachineIndex) {
    let machine = cluster.machine_mut(index);
    machine.token_requirement.raise_and_require_token();
    tracing::debug!(
        machine = &*machine.id,
        token = %machine.token_requirement.token,
        "command outcome unknown, fencing token raised"
    );
    cluster.update_snapshot_host(now, index);
}
