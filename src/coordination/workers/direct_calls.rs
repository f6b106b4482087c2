//! Commands sent directly to workers, between their heartbeats.

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

/// Added to [`RESEND_MS`] before a machine is checked again, so that what is to be
/// sent again is due by then.
const RESEND_SLACK_MS: Millis = 100;
/// Heartbeat intervals after which a worker without contact is sent no more commands.
const CONTACT_LIMIT_INTERVALS: Millis = 3;
/// Pause after a call that could not be sent.
const NOT_SENT_PAUSE_MS: Millis = 700;
/// Pause after a call that went unanswered.
const UNANSWERED_PAUSE_MS: Millis = 1_000;

/// Sends new commands directly to the workers that may need some.
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
    let paused_until = machine.commands.direct_call_after();
    if now < paused_until {
        cluster.schedule_dispatch(paused_until, index);
        return;
    }
    let Some(addr) = machine.addr else { return };
    let contact_limit_ms = CONTACT_LIMIT_INTERVALS * cluster.config().heartbeat_interval_ms;
    // A token that the worker has not acknowledged yet is delivered by the response
    // to its heartbeat first; a worker without contact is sent nothing.
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
    machine.commands.direct_call = Some(DirectCall { id: call, launches });
    let request =
        DirectCommandRequest { token: machine.fence.token, incarnation: machine.heartbeats.incarnation, commands };
    outbox.send(Effect::DirectCommand { machine: index, call, addr, request });
    cluster.schedule_dispatch(now + RESEND_MS + RESEND_SLACK_MS, index);
}

fn needs_direct_call(machine: &Machine) -> bool {
    !machine.load.assignments.is_empty()
        && machine.commands.direct_call.is_none()
        && machine.lifecycle == MachineLifecycle::Up
}

/// The launch that a command to this machine carries, if it is one.
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

/// Processes the outcome of a direct call. Calls that are no longer in flight are
/// ignored.
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
            heartbeats::apply_call_response(cluster, context, index, &heartbeat)?;
        }
        DirectCallOutcome::Refused(heartbeat) => {
            heartbeats::apply_call_response(cluster, context, index, &heartbeat)?;
            // Not executed: its launches may be sent again at once.
            mark_unsent(cluster, &completed.launches);
        }
        DirectCallOutcome::NotSent => {
            cluster.machine_mut(index).commands.pause_direct_calls(now + NOT_SENT_PAUSE_MS);
        }
        DirectCallOutcome::Unknown => {
            cluster.machine_mut(index).commands.pause_direct_calls(now + UNANSWERED_PAUSE_MS);
            if !completed.launches.is_empty() {
                raise_fence(cluster, now, index);
            }
        }
    }
    Ok(())
}

fn mark_unsent(cluster: &mut ClusterState, launches: &[LaunchId]) {
    for launch in launches {
        let slot = cluster.job(launch.job).and_then(|job| job.tasks.slots.get(launch.task as usize).copied());
        let Some(Slot::Assigned(assignment_index)) = slot else { continue };
        let assignment = cluster.assignment_mut(assignment_index);
        if let Some(assignment) = assignment.filter(|assignment| assignment.attempt == launch.attempt) {
            assignment.sent = None;
        }
    }
}

/// Guard: launches that went unanswered may arrive at any later time. The raised
/// token fences them, once the worker has acknowledged it.
fn raise_fence(cluster: &mut ClusterState, now: Millis, index: MachineIndex) {
    let machine = cluster.machine_mut(index);
    machine.fence.raise();
    tracing::debug!(
        machine = &*machine.id,
        token = %machine.fence.token,
        "command outcome unknown, fencing token raised"
    );
    cluster.refresh(now, index);
}
