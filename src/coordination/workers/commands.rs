//! What workers are told to launch, halt and reap.

use crate::{
    coordination::{
        leader::Leader,
        model::{Assignment, AssignmentIndex, AssignmentState, ExitRecord, Job, Machine, MachineIndex, Millis},
    },
    protocol::workers::{split_task, Heartbeat, TaskState, TaskStatus, WorkerCommand},
    storage::{job_cache::JobCache, records::JobStatus},
};

/// Orders in one message: it must stay well below the 64 KiB that workers take.
const COMMANDS_PER_MESSAGE: usize = 400;
/// Unreaped exits handled in one message, so that launches and halts fit too.
const EXITS_PER_MESSAGE: usize = COMMANDS_PER_MESSAGE / 4;
/// An order is sent again after this long without effect.
pub const RESEND_MS: Millis = 2_500;

/// Which orders a message carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandScope {
    /// Everything that isn't in effect yet: in the answer to a heartbeat.
    All,
    /// Only what was not sent lately: in a direct call.
    Unsent,
}

/// What an assignment's worker has to be told.
enum AssignmentCommand {
    Launch,
    Halt { grace_s: f64 },
}

/// Halts for tasks that run though their jobs are known as cancelled.
///
/// Guard: every 200 to a heartbeat renews a lease, so each carries these halts,
/// whoever answers, and whether the heartbeat is new or the records are read yet.
/// Otherwise a cancelled task could run on under a renewed lease.
pub fn halts_of_cancelled(heartbeat: &Heartbeat, job_cache: &JobCache) -> Vec<WorkerCommand> {
    let is_cancelled = |task: &&TaskStatus| {
        let job = split_task(&task.task).and_then(|(id, _)| job_cache.find(id));
        task.state != TaskState::Exited && job.is_some_and(|index| job_cache.get(index).status == JobStatus::Cancelled)
    };
    let halt = |task: &TaskStatus| WorkerCommand::Halt { task: task.task.clone(), attempt: task.attempt, grace_s: 0.0 };
    heartbeat.tasks.iter().filter(is_cancelled).map(halt).take(COMMANDS_PER_MESSAGE).collect()
}

impl Leader {
    /// Whether a task may be on the machine, or on its way there: listed by its
    /// report, assigned by a record, or launched by a command that is under way.
    pub fn may_hold_tasks(&self, heartbeat: &Heartbeat) -> bool {
        let is_listed = heartbeat.tasks.iter().any(|task| task.state != TaskState::Exited);
        if is_listed || !self.cluster.loaded {
            return true;
        }
        let Some(index) = self.cluster.machines.find(&heartbeat.machine) else { return false };
        let machine = self.cluster.machine(index);
        !machine.load.assignments.is_empty() || !machine.has_no_command_in_flight()
    }

    /// What the worker should be told; what is returned counts as sent.
    pub fn commands(&mut self, now: Millis, index: MachineIndex, scope: CommandScope) -> Vec<WorkerCommand> {
        let machine = &self.cluster.machines[index.at()];
        let mut commands = match scope {
            CommandScope::All => self.exit_commands(machine),
            // Strays and exits wait for the heartbeat's answer.
            CommandScope::Unsent => Vec::new(),
        };
        let mut sent: Vec<AssignmentIndex> = Vec::new();
        for &assignment_index in &machine.load.assignments {
            let Some(assignment) = self.cluster.assignment(assignment_index) else { continue };
            let Some(job) = self.cluster.job(assignment.job) else { continue };
            if assignment.incarnation != machine.heartbeats.incarnation
                || matches!(assignment.state, AssignmentState::Ended(_))
            {
                continue;
            }
            if commands.len() >= COMMANDS_PER_MESSAGE {
                break; // the rest comes with the next answer
            }
            if let Some(order) = self.assignment_command(now, assignment, scope) {
                commands.push(command_for(job, assignment, &order));
                sent.push(assignment_index);
            }
        }
        for assignment_index in sent {
            self.note_sent(now, assignment_index);
        }
        commands
    }

    /// Orders for tasks that the worker lists without an assignment.
    fn exit_commands(&self, machine: &Machine) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        if !machine.fenced() {
            return commands;
        }
        for exit in machine.commands.unreaped_exits.iter().take(EXITS_PER_MESSAGE) {
            let (task, attempt) = (&exit.task, exit.attempt);
            if exit.record == ExitRecord::Stray {
                // Halt and reap together: whichever applies takes effect.
                commands.push(WorkerCommand::Halt { task: task.clone(), attempt, grace_s: 0.0 });
                commands.push(WorkerCommand::Reap { task: task.clone(), attempt });
            } else if self.cluster.is_exit_recorded(exit) {
                commands.push(WorkerCommand::Reap { task: task.clone(), attempt });
            }
        }
        commands
    }

    fn assignment_command(
        &self,
        now: Millis,
        assignment: &Assignment,
        scope: CommandScope,
    ) -> Option<AssignmentCommand> {
        let is_due =
            |sent: Option<Millis>| scope == CommandScope::All || sent.is_none_or(|sent| now >= sent + RESEND_MS);
        if let Some(halt) = assignment.halt {
            return is_due(halt.sent).then_some(AssignmentCommand::Halt { grace_s: halt.grace_s });
        }
        let is_launch_due = assignment.state == AssignmentState::Wanted && is_due(assignment.sent);
        (is_launch_due && self.cluster.may_launch(assignment)).then_some(AssignmentCommand::Launch)
    }

    fn note_sent(&mut self, now: Millis, index: AssignmentIndex) {
        let Some(assignment) = self.cluster.assignments.get_mut(index) else { return };
        match &mut assignment.halt {
            Some(halt) => halt.sent = Some(now),
            None => assignment.sent = Some(now),
        }
    }
}

fn command_for(job: &Job, assignment: &Assignment, order: &AssignmentCommand) -> WorkerCommand {
    let task = format!("{}/{}", job.id, assignment.task);
    let attempt = assignment.attempt;
    match order {
        AssignmentCommand::Launch => WorkerCommand::Launch { task, attempt },
        AssignmentCommand::Halt { grace_s } => WorkerCommand::Halt { task, attempt, grace_s: *grace_s },
    }
}
