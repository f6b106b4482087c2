//! Commands to workers: launch, halt and reap.

use crate::{
    coordination::{
        cluster::ClusterState,
        model::{Assignment, AssignmentIndex, AssignmentState, ExitRecord, Machine, MachineIndex, Millis, PendingReap},
    },
    protocol::workers::{split_task, Heartbeat, TaskState, TaskStatus, WorkerCommand},
    storage::{job_cache::JobCache, records::JobStatus},
};

/// Maximum number of commands in one message, which must stay well below the 64 KiB that
/// workers accept.
const COMMANDS_PER_MESSAGE: usize = 400;
/// Maximum number of unassigned attempts in one message, so that commands for assigned
/// tasks fit too.
const UNASSIGNED_ATTEMPTS_PER_MESSAGE: usize = COMMANDS_PER_MESSAGE / 4;
/// Time without effect after which a command is sent again, in ms.
pub const RESEND_MS: Millis = 2_500;

/// Kind of message that carries commands to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandMessage {
    /// The response to a heartbeat. It carries all commands that haven't taken effect yet.
    HeartbeatResponse,
    /// A direct call. It carries only commands that were not sent in the last
    /// [`RESEND_MS`] ms.
    DirectCall,
}

/// Returns halts for the listed tasks whose jobs are known to be cancelled.
///
/// Every response with status 200 to a heartbeat renews the worker's lease, and so every
/// 200 carries these halts: whichever controller responds, and even if the heartbeat is
/// not new or the records are not read yet. Otherwise a cancelled task could keep running
/// under a renewed lease.
pub fn stop_commands_for_cancelled(heartbeat: &Heartbeat, job_cache: &JobCache) -> Vec<WorkerCommand> {
    let is_cancelled = |task: &&TaskStatus| {
        let job = split_task(&task.task).and_then(|(id, _)| job_cache.find(id));
        task.state != TaskState::Exited && job.is_some_and(|index| job_cache.get(index).status == JobStatus::Cancelled)
    };
    let halt = |task: &TaskStatus| WorkerCommand::Halt { task: task.task.clone(), attempt: task.attempt, grace_s: 0.0 };
    heartbeat.tasks.iter().filter(is_cancelled).map(halt).take(COMMANDS_PER_MESSAGE).collect()
}

/// Selects the commands of one message to a worker and marks them as sent.
pub fn select_and_mark_sent(
    cluster: &mut ClusterState,
    now: Millis,
    index: MachineIndex,
    message: CommandMessage,
) -> Vec<WorkerCommand> {
    let selector = CommandSelector { cluster, machine: cluster.machine(index), now, message };
    let mut commands = match message {
        CommandMessage::HeartbeatResponse => selector.unassigned_task_commands(),
        // Commands for orphaned and exited tasks are sent with the next heartbeat response.
        CommandMessage::DirectCall => Vec::new(),
    };
    let limit = COMMANDS_PER_MESSAGE.saturating_sub(commands.len());
    let selected = selector.assignment_commands(limit);
    for SelectedCommand { command, assignment } in selected {
        commands.push(command);
        mark_sent(cluster, now, assignment);
    }
    commands
}

/// A command for an assigned task.
struct SelectedCommand {
    command: WorkerCommand,
    assignment: AssignmentIndex,
}

/// The inputs to the selection of the commands of one message.
struct CommandSelector<'a> {
    cluster: &'a ClusterState,
    machine: &'a Machine,
    now: Millis,
    message: CommandMessage,
}

impl CommandSelector<'_> {
    /// Returns commands for tasks that the worker lists without an assignment.
    fn unassigned_task_commands(&self) -> Vec<WorkerCommand> {
        if !self.machine.is_fenced() {
            return Vec::new();
        }
        let pending_reaps = self.machine.commands.pending_reaps.iter().take(UNASSIGNED_ATTEMPTS_PER_MESSAGE);
        pending_reaps.flat_map(|pending_reap| self.commands_for_pending_reap(pending_reap)).collect()
    }

    fn commands_for_pending_reap(&self, pending_reap: &PendingReap) -> Vec<WorkerCommand> {
        let (task, attempt) = (&pending_reap.task, pending_reap.attempt);
        let reap = WorkerCommand::Reap { task: task.clone(), attempt };
        if pending_reap.record == ExitRecord::Orphaned {
            // Sent together: the halt takes effect if the task runs, the reap if it exited.
            vec![WorkerCommand::Halt { task: task.clone(), attempt, grace_s: 0.0 }, reap]
        } else if self.cluster.is_exit_recorded(pending_reap) {
            vec![reap]
        } else {
            Vec::new()
        }
    }

    /// Returns at most `limit` commands for assigned tasks; the others are selected for
    /// the next message.
    fn assignment_commands(&self, limit: usize) -> Vec<SelectedCommand> {
        let select = |&index: &AssignmentIndex| {
            let command = self.assignment_command(self.cluster.assignment(index)?)?;
            Some(SelectedCommand { command, assignment: index })
        };
        self.machine.load.assignments.iter().filter_map(select).take(limit).collect()
    }

    fn assignment_command(&self, assignment: &Assignment) -> Option<WorkerCommand> {
        let job = self.cluster.job(assignment.job)?;
        let is_current = assignment.incarnation == self.machine.heartbeats.incarnation;
        if !is_current || matches!(assignment.state, AssignmentState::Exited(_)) {
            return None;
        }
        let task = || format!("{}/{}", job.id, assignment.task);
        let attempt = assignment.attempt;
        if let Some(halt) = assignment.halt {
            let is_due = self.is_due_to_be_sent(halt.sent_at);
            return is_due.then(|| WorkerCommand::Halt { task: task(), attempt, grace_s: halt.grace_s });
        }
        let is_launch_due = assignment.state == AssignmentState::Wanted && self.is_due_to_be_sent(assignment.sent_at);
        let may_launch = is_launch_due && self.cluster.may_launch(assignment);
        may_launch.then(|| WorkerCommand::Launch { task: task(), attempt })
    }

    fn is_due_to_be_sent(&self, last_sent: Option<Millis>) -> bool {
        self.message == CommandMessage::HeartbeatResponse || last_sent.is_none_or(|sent| self.now >= sent + RESEND_MS)
    }
}

fn mark_sent(cluster: &mut ClusterState, now: Millis, index: AssignmentIndex) {
    let Some(assignment) = cluster.assignment_mut(index) else { return };
    match &mut assignment.halt {
        Some(halt) => halt.sent_at = Some(now),
        None => assignment.sent_at = Some(now),
    }
}
