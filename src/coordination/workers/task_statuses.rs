//! What a heartbeat says of single tasks.

use std::collections::HashSet;

use crate::{
    coordination::{
        cluster::NewAssignment,
        leader::Leader,
        model::{AssignmentIndex, AssignmentState, ExitRecord, Job, MachineIndex, Millis, Slot, UnreapedExit},
    },
    protocol::{
        ids::Attempt,
        workers::{split_task, ExitReason, TaskState, TaskStatus},
    },
    storage::{
        job_cache::{JobCache, JobIndex},
        records::JobStatus,
    },
};

/// One attempt to run a task, by the name that workers know.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct TaskAttempt {
    pub task: String,
    pub attempt: Attempt,
}

impl TaskAttempt {
    fn of(status: &TaskStatus) -> TaskAttempt {
        TaskAttempt { task: status.task.clone(), attempt: status.attempt }
    }
}

/// What a heartbeat listed.
#[derive(Debug, Default)]
pub struct ListedTasks {
    pub assignments: Vec<AssignmentIndex>,
    /// Tasks without an assignment: their unreaped exits stay.
    pub exits: HashSet<TaskAttempt>,
}

/// A task that a heartbeat listed.
struct ListedTask<'a> {
    status: &'a TaskStatus,
    machine: MachineIndex,
    job: JobIndex,
    number: u32,
    slot: Option<Slot>,
}

impl Leader {
    /// Takes in what a machine's report says of one task.
    pub fn reconcile_task(
        &mut self,
        now: Millis,
        machine: MachineIndex,
        status: &TaskStatus,
        job_cache: &JobCache,
        listed: &mut ListedTasks,
    ) {
        let Some((id, number)) = split_task(&status.task) else { return };
        let Some(job) = job_cache.find(id) else { return };
        let slot = self.cluster.job(job).and_then(|job| job.tasks.slots.get(number as usize).copied());
        let task = ListedTask { status, machine, job, number, slot };
        if let Some(assignment_index) = self.assignment_of(&task) {
            self.reconcile_assigned_task(now, &task, assignment_index, listed);
        } else if status.state == TaskState::Exited {
            self.reconcile_unassigned_exit(&task, listed);
        } else if !self.adopt(now, &task, listed) {
            self.note_stray(&task, listed);
        }
    }

    /// The assignment that this very attempt belongs to.
    fn assignment_of(&self, task: &ListedTask<'_>) -> Option<AssignmentIndex> {
        let Some(Slot::At(assignment_index)) = task.slot else { return None };
        let assignment = self.cluster.assignment(assignment_index)?;
        let is_same = assignment.machine == task.machine
            && assignment.attempt == task.status.attempt
            && assignment.incarnation == self.cluster.machine(task.machine).heartbeats.incarnation;
        is_same.then_some(assignment_index)
    }

    fn reconcile_assigned_task(
        &mut self,
        now: Millis,
        task: &ListedTask<'_>,
        assignment_index: AssignmentIndex,
        listed: &mut ListedTasks,
    ) {
        listed.assignments.push(assignment_index);
        self.apply_task_state(now, assignment_index, task.status);
        let is_still_assigned = self
            .cluster
            .assignment(assignment_index)
            .is_some_and(|assignment| assignment.job == task.job && assignment.attempt == task.status.attempt);
        if !is_still_assigned {
            // Settled just now: it has an unreaped exit.
            listed.exits.insert(TaskAttempt::of(task.status));
        }
    }

    /// An end that no assignment waits for. A task that completed is done all
    /// the same.
    fn reconcile_unassigned_exit(&mut self, task: &ListedTask<'_>, listed: &mut ListedTasks) {
        listed.exits.insert(TaskAttempt::of(task.status));
        if self.has_unreaped_exit(task) {
            return;
        }
        let is_settled = self.cluster.machine(task.machine).has_no_command_in_flight();
        let mut record = ExitRecord::WrittenWith { chunk: 0, version: 0 };
        if task.slot == Some(Slot::Pending) && task.status.why == Some(ExitReason::Done) {
            if let Some(job) = self.cluster.job_mut(task.job) {
                record = complete_pending_task(job, task.number);
            }
            self.cluster.progress_feed.mark_changed(task.job);
            self.cluster.cycle_needed = true;
        }
        if is_settled {
            self.add_unreaped_exit(task, record);
        }
    }

    /// The task runs where no record says so. If it is wanted, it is adopted;
    /// otherwise it has to go. Either way it is accounted for meanwhile.
    fn adopt(&mut self, now: Millis, task: &ListedTask<'_>, listed: &mut ListedTasks) -> bool {
        let is_wanted = task.slot == Some(Slot::Pending)
            && self.cluster.job(task.job).is_some_and(|job| job.status == JobStatus::Pending);
        if !is_wanted {
            return false;
        }
        let machine = self.cluster.machine(task.machine);
        let new = NewAssignment {
            job: task.job,
            task: task.number,
            machine: task.machine,
            incarnation: machine.heartbeats.incarnation,
            attempt: task.status.attempt,
            zone: machine.zone,
        };
        if let Some(assignment_index) = self.cluster.add_assignment(now, new) {
            tracing::warn!(task = &*task.status.task, machine = &*self.cluster.machine(task.machine).id, "adopted");
            listed.assignments.push(assignment_index);
            self.apply_task_state(now, assignment_index, task.status);
        }
        true
    }

    /// A live task that is not wanted: halted until it ends, then reaped.
    fn note_stray(&mut self, task: &ListedTask<'_>, listed: &mut ListedTasks) {
        tracing::warn!(
            task = &*task.status.task,
            attempt = %task.status.attempt,
            machine = &*self.cluster.machine(task.machine).id,
            "stray task, stopping it"
        );
        if !self.has_unreaped_exit(task) {
            self.add_unreaped_exit(task, ExitRecord::Stray);
        }
        listed.exits.insert(TaskAttempt::of(task.status));
    }

    fn has_unreaped_exit(&self, task: &ListedTask<'_>) -> bool {
        let exits = &self.cluster.machine(task.machine).commands.unreaped_exits;
        exits.iter().any(|exit| exit.task == task.status.task && exit.attempt == task.status.attempt)
    }

    fn add_unreaped_exit(&mut self, task: &ListedTask<'_>, record: ExitRecord) {
        self.cluster.machines[task.machine.at()].commands.unreaped_exits.push(UnreapedExit {
            task: task.status.task.clone(),
            attempt: task.status.attempt,
            job: task.job,
            record,
        });
    }

    fn apply_task_state(&mut self, now: Millis, index: AssignmentIndex, status: &TaskStatus) {
        if status.state == TaskState::Exited {
            self.apply_task_exit(now, index, status);
            return;
        }
        let Some(assignment) = self.cluster.assignments.get_mut(index) else { return };
        let previous = std::mem::replace(&mut assignment.state, AssignmentState::Seen(status.state));
        if previous == assignment.state {
            return;
        }
        let is_running = status.state == TaskState::Running;
        if is_running && assignment.running_since.is_none() {
            assignment.running_since = Some(now);
        }
        let was_running = previous == AssignmentState::Seen(TaskState::Running);
        let (job_index, machine) = (assignment.job, assignment.machine);
        let (made, inherited) = (assignment.made, assignment.inherited);
        let Some(job) = self.cluster.jobs.get_mut(job_index) else { return };
        match (was_running, is_running) {
            (false, true) => {
                job.tasks.running += 1;
                if job.tasks.running + job.tasks.done == 1 && !inherited {
                    log_first_start(now, job, made);
                }
            }
            (true, false) => job.tasks.running = job.tasks.running.saturating_sub(1),
            _ => {}
        }
        self.cluster.progress_feed.mark_changed(job_index);
        if let Some(host) = self.cluster.snapshot.hosts.get_mut(machine.at()) {
            let cache_gb = host.pool.map_or(0.0, |pool| self.cluster.snapshot.pools[pool].cache_gb);
            host.note_image(job.spec.image, job.spec.image_gb, cache_gb);
        }
    }

    fn apply_task_exit(&mut self, now: Millis, index: AssignmentIndex, status: &TaskStatus) {
        let Some(assignment) = self.cluster.assignments.get_mut(index) else { return };
        if matches!(assignment.state, AssignmentState::Seen(TaskState::Running)) {
            if let Some(job) = self.cluster.jobs.get_mut(assignment.job) {
                job.tasks.running = job.tasks.running.saturating_sub(1);
            }
        }
        assignment.state = AssignmentState::Ended(status.why.unwrap_or(ExitReason::Other));
        self.settle_exit(now, index, status);
    }
}

/// Marks a task as done that has no assignment.
fn complete_pending_task(job: &mut Job, task: u32) -> ExitRecord {
    job.tasks.slots[task as usize] = Slot::Done;
    job.tasks.pending.retain(|&pending| pending != task);
    job.tasks.done += 1;
    ExitRecord::WrittenWith { chunk: job.chunk_of(task), version: job.touch(task) }
}

fn log_first_start(now: Millis, job: &Job, assigned_at: Millis) {
    tracing::info!(
        job = &*job.id,
        kind = ?job.spec.kind,
        rank = ?job.spec.priority,
        wait_s = job.age_s(now),
        fetched_s = (now - assigned_at) as f64 / 1000.0,
        gb = job.spec.image_gb,
        tasks = job.spec.tasks,
        "first task runs"
    );
}
