//! Reconciles the tasks that a worker lists with the assignments to its machine.

use std::collections::HashSet;

use super::task_progress;
use crate::{
    coordination::{
        cluster::{ClusterState, NewAssignment, ReleaseReason},
        model::{Assignment, AssignmentIndex, ExitRecord, Job, MachineIndex, Millis, PendingReap, Slot},
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

/// One attempt to run a task, identified by the task's name in worker messages.
#[derive(Debug, PartialEq, Eq, Hash)]
struct TaskAttempt<'a> {
    task: &'a str,
    attempt: Attempt,
}

impl<'a> From<&'a TaskStatus> for TaskAttempt<'a> {
    fn from(status: &'a TaskStatus) -> TaskAttempt<'a> {
        TaskAttempt { task: &status.task, attempt: status.attempt }
    }
}

impl<'a> From<&'a PendingReap> for TaskAttempt<'a> {
    fn from(pending_reap: &'a PendingReap) -> TaskAttempt<'a> {
        TaskAttempt { task: &pending_reap.task, attempt: pending_reap.attempt }
    }
}

/// A task that a heartbeat lists.
struct ListedTask<'a> {
    status: &'a TaskStatus,
    job: JobIndex,
    number: u32,
    slot: Option<Slot>,
}

/// Reconciles the tasks listed by one heartbeat.
pub struct Reconciliation<'a> {
    cluster: &'a mut ClusterState,
    now: Millis,
    machine: MachineIndex,
    listed_assignments: Vec<AssignmentIndex>,
    /// Listed attempts without an assignment, which the worker has not reaped yet.
    listed_unassigned: HashSet<TaskAttempt<'a>>,
}

impl<'a> Reconciliation<'a> {
    /// Prepares to reconcile a heartbeat of this machine.
    pub fn new(cluster: &'a mut ClusterState, now: Millis, machine: MachineIndex) -> Reconciliation<'a> {
        Reconciliation { cluster, now, machine, listed_assignments: Vec::new(), listed_unassigned: HashSet::new() }
    }

    /// Reconciles all listed tasks, then the assignments that are not listed.
    pub fn run(mut self, statuses: &'a [TaskStatus], job_cache: &JobCache) {
        for status in statuses {
            self.reconcile_task(status, job_cache);
        }
        self.remove_completed_reaps();
        self.reconcile_missing_tasks();
    }

    fn reconcile_task(&mut self, status: &'a TaskStatus, job_cache: &JobCache) {
        let Some((id, number)) = split_task(&status.task) else { return };
        let Some(job) = job_cache.find(id) else { return };
        let slot = self.cluster.job(job).and_then(|job| job.tasks.slots.get(number as usize).copied());
        let task = ListedTask { status, job, number, slot };
        if let Some(assignment_index) = self.assignment_of(&task) {
            self.reconcile_assigned_task(&task, assignment_index);
        } else if status.state == TaskState::Exited {
            self.reconcile_unassigned_exit(&task);
        } else if self.may_keep_running(&task) {
            self.assign_unrecorded_task(&task);
        } else {
            self.stop_orphaned_task(&task);
        }
    }

    /// Returns the assignment to which the listed attempt belongs, if the machine, the
    /// attempt and the worker's incarnation all match.
    fn assignment_of(&self, task: &ListedTask<'_>) -> Option<AssignmentIndex> {
        let Some(Slot::Assigned(assignment_index)) = task.slot else { return None };
        let assignment = self.cluster.assignment(assignment_index)?;
        let is_same = assignment.machine == self.machine
            && assignment.attempt == task.status.attempt
            && assignment.incarnation == self.cluster.machine(self.machine).heartbeats.incarnation;
        is_same.then_some(assignment_index)
    }

    fn reconcile_assigned_task(&mut self, task: &ListedTask<'a>, assignment_index: AssignmentIndex) {
        self.listed_assignments.push(assignment_index);
        task_progress::apply(self.cluster, self.now, assignment_index, task.status);
        let is_still_assigned = self
            .cluster
            .assignment(assignment_index)
            .is_some_and(|assignment| assignment.job == task.job && assignment.attempt == task.status.attempt);
        if !is_still_assigned {
            // The assignment was released by this update; the exit is to be reaped.
            self.listed_unassigned.insert(task.status.into());
        }
    }

    /// Reconciles an exited task without an assignment. If the task completed, it is
    /// recorded as done nevertheless.
    fn reconcile_unassigned_exit(&mut self, task: &ListedTask<'a>) {
        self.listed_unassigned.insert(task.status.into());
        if self.is_pending_reap(task) {
            return;
        }
        let is_exit_final = self.cluster.machine(self.machine).has_no_launch_in_flight();
        let mut record = ExitRecord::WrittenWith { chunk: 0, version: 0 };
        if task.slot == Some(Slot::Pending) && task.status.exit_reason == Some(ExitReason::Done) {
            if let Some(job) = self.cluster.job_mut(task.job) {
                record = complete_pending_task(job, task.number);
            }
            self.cluster.record_progress(task.job);
            self.cluster.request_scheduling_cycle();
        }
        if is_exit_final {
            self.add_pending_reap(task, record);
        }
    }

    /// Reports whether a running task without an assignment may keep running.
    fn may_keep_running(&self, task: &ListedTask<'_>) -> bool {
        task.slot == Some(Slot::Pending)
            && self.cluster.job(task.job).is_some_and(|job| job.status == JobStatus::Pending)
    }

    /// Assigns a wanted task to the machine on which it runs without a record of it.
    fn assign_unrecorded_task(&mut self, task: &ListedTask<'_>) {
        let machine = self.cluster.machine(self.machine);
        let new = NewAssignment {
            job: task.job,
            task: task.number,
            machine: self.machine,
            incarnation: machine.heartbeats.incarnation,
            attempt: task.status.attempt,
            zone: machine.zone,
        };
        if let Some(assignment_index) = self.cluster.add_assignment(self.now, new) {
            tracing::warn!(
                task = &*task.status.task,
                machine = &*self.cluster.machine(self.machine).id,
                "running task without a record assigned to its machine"
            );
            self.listed_assignments.push(assignment_index);
            task_progress::apply(self.cluster, self.now, assignment_index, task.status);
        }
    }

    /// Stops a running task that is not wanted: halts are sent until it exits, then it is
    /// reaped.
    fn stop_orphaned_task(&mut self, task: &ListedTask<'a>) {
        tracing::warn!(
            task = &*task.status.task,
            attempt = %task.status.attempt,
            machine = &*self.cluster.machine(self.machine).id,
            "stopping orphaned task"
        );
        if !self.is_pending_reap(task) {
            self.add_pending_reap(task, ExitRecord::Orphaned);
        }
        self.listed_unassigned.insert(task.status.into());
    }

    fn is_pending_reap(&self, task: &ListedTask<'_>) -> bool {
        self.cluster.machine(self.machine).commands.is_pending_reap(&task.status.task, task.status.attempt)
    }

    fn add_pending_reap(&mut self, task: &ListedTask<'_>, record: ExitRecord) {
        let commands = &mut self.cluster.machine_mut(self.machine).commands;
        commands.add_pending_reap(task.status, task.job, record);
    }

    /// Removes the pending reaps of attempts that are no longer listed, since the worker has
    /// reaped them.
    fn remove_completed_reaps(&mut self) {
        let listed = &self.listed_unassigned;
        let pending_reaps = &mut self.cluster.machine_mut(self.machine).commands.pending_reaps;
        pending_reaps.retain(|pending_reap| listed.contains(&TaskAttempt::from(pending_reap)));
    }

    /// Handles tasks that are assigned to the machine but aren't listed.
    fn reconcile_missing_tasks(&mut self) {
        // A task that isn't listed is not proven to be gone while a command sent earlier may
        // still arrive. Only the acknowledgement of a raised token proves that no such
        // command can arrive. Launches in a heartbeat response are in flight until the next
        // periodic heartbeat is received: a heartbeat in the response to a direct call may
        // have been sent before the worker received the heartbeat response.
        if !self.cluster.machine(self.machine).has_no_launch_in_flight() {
            return;
        }
        let (fenced, unfenced): (Vec<_>, Vec<_>) =
            self.missing_halted_assignments().into_iter().partition(|&index| self.is_launch_fenced(index));
        for assignment_index in fenced {
            self.cluster.release_assignment(assignment_index, ReleaseReason::Unfinished);
        }
        self.relaunch_missing_tasks();
        if !unfenced.is_empty() {
            // They are released once the worker has acknowledged the raised token.
            self.cluster.machine_mut(self.machine).token_requirement.raise_and_require_token();
            self.cluster.update_snapshot_host(self.now, self.machine);
        }
    }

    /// Reports whether no copy of a command that the worker executed can launch the task. The
    /// worker no longer lists it: its machine has lost its tasks, so that it would execute the
    /// copy like a first launch.
    fn is_launch_fenced(&self, index: AssignmentIndex) -> bool {
        let requirement = &self.cluster.machine(self.machine).token_requirement;
        let token = self.cluster.assignment(index).and_then(|assignment| assignment.executed_launch_token);
        token.is_none_or(|token| requirement.refuses(token))
    }

    /// Returns the assignments that have a halt and whose tasks the worker no longer lists.
    fn missing_halted_assignments(&self) -> Vec<AssignmentIndex> {
        let machine = self.cluster.machine(self.machine);
        let is_halted = |assignment: &Assignment| {
            assignment.incarnation == machine.heartbeats.incarnation && assignment.halt.is_some()
        };
        let missing = machine.load.assignments.iter().copied().filter(|index| !self.listed_assignments.contains(index));
        missing.filter(|&index| self.cluster.assignment(index).is_some_and(is_halted)).collect()
    }

    /// Marks for another launch, as the same attempt, the tasks that the worker listed
    /// before and no longer lists, if they are still wanted: halted ones were released.
    fn relaunch_missing_tasks(&mut self) {
        let listed = &self.listed_assignments;
        self.cluster.relaunch_missing_tasks(self.machine, |index| !listed.contains(&index));
    }
}

/// Marks a task without an assignment as done. Returns the chunk version with which that
/// is written.
fn complete_pending_task(job: &mut Job, task: u32) -> ExitRecord {
    job.tasks.slots[task as usize] = Slot::Done;
    job.tasks.pending.retain(|&pending| pending != task);
    job.tasks.done += 1;
    ExitRecord::WrittenWith { chunk: job.chunk_of(task), version: job.mark_task_changed(task) }
}
