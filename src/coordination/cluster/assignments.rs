//! The life of an assignment: it is made, launched once its record is written,
//! and released on proof that its task is gone.

use super::ClusterState;
use crate::{
    coordination::model::{
        Assignment, AssignmentIndex, AssignmentState, MachineIndex, MachineLoad, Millis, Resources, Slot,
        EFFECTIVE_START_MS,
    },
    protocol::{
        ids::{Attempt, Incarnation},
        jobs::JobKind,
        names::ZoneIndex,
    },
    storage::{job_cache::JobIndex, records::JobStatus},
};

/// An assignment to be made.
#[derive(Debug, Clone, Copy)]
pub struct NewAssignment {
    /// The task's job.
    pub job: JobIndex,
    /// Number of the task within its job.
    pub task: u32,
    /// The machine that it is assigned to.
    pub machine: MachineIndex,
    /// The worker's incarnation that the assignment is made for.
    pub incarnation: Incarnation,
    /// Number of the attempt to run the task.
    pub attempt: Attempt,
    /// Zone of the machine.
    pub zone: ZoneIndex,
}

impl NewAssignment {
    fn into_assignment(self, now: Millis, chunk_version: u64) -> Assignment {
        Assignment {
            job: self.job,
            task: self.task,
            machine: self.machine,
            zone: self.zone,
            incarnation: self.incarnation,
            attempt: self.attempt,
            chunk_version,
            state: AssignmentState::Wanted,
            sent: None,
            running_since: None,
            halt: None,
            assigned_at: now,
            recovered: false,
        }
    }
}

/// What became of a task whose assignment is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseReason {
    /// It completed.
    Done,
    /// It has to run again, or for the first time, unless its job is over.
    Unfinished,
}

impl ClusterState {
    /// Assigns a pending task to a machine. `None`: the task is not pending, or
    /// its job is being resharded.
    pub fn add_assignment(&mut self, now: Millis, new: NewAssignment) -> Option<AssignmentIndex> {
        let job = self.jobs.get_mut(new.job)?;
        // Guard: its chunks are being resharded on the assumption that no task
        // is assigned meanwhile.
        if job.records.resharding {
            return None;
        }
        if job.tasks.slots.get(new.task as usize) != Some(&Slot::Pending) {
            return None;
        }
        let chunk_version = job.record_assignment(now, new.task, new.zone);
        self.team_used.add(job.spec.team, Resources::of(&job.spec));
        self.snapshot.add_task(new.machine.as_usize(), &job.spec);
        let index = self.assignments.insert(new.into_assignment(now, chunk_version));
        job.tasks.slots[new.task as usize] = Slot::Assigned(index);
        add_to_load(&mut self.machines[new.machine.as_usize()].load, index, job.spec.gpus > 0.0);
        Some(index)
    }

    /// Releases an assignment: its task is provably not on the machine, or no longer.
    pub fn release_assignment(&mut self, index: AssignmentIndex, reason: ReleaseReason) -> Option<Assignment> {
        let assignment = self.assignments.remove(index)?;
        self.machines[assignment.machine.as_usize()].load.assignments.retain(|&other| other != index);
        self.cycle_requested = true;
        if self.job(assignment.job).is_some() {
            self.release_from_job(&assignment, reason);
            self.progress_feed.mark_changed(assignment.job);
            if reason == ReleaseReason::Unfinished {
                self.stop_rest_of_gang(&assignment);
            }
            self.remove_if_finished(assignment.job);
        }
        Some(assignment)
    }

    /// Takes an assignment out of the counts of its job, its team and its machine.
    fn release_from_job(&mut self, assignment: &Assignment, reason: ReleaseReason) {
        let Some(job) = self.jobs.get_mut(assignment.job) else { return };
        let machine = assignment.machine.as_usize();
        let ran_long_enough =
            assignment.running_since.is_some_and(|since| self.last_event_at >= since + EFFECTIVE_START_MS);
        job.wait.has_effective_start |= reason == ReleaseReason::Done || ran_long_enough;
        job.record_release(assignment);
        self.team_used.subtract(job.spec.team, Resources::of(&job.spec));
        self.snapshot.remove_task(machine, &job.spec, assignment.halt.is_some());
        if job.spec.gpus > 0.0 {
            self.machines[machine].load.gpu_assignments -= 1;
        }
        match reason {
            ReleaseReason::Done => {
                job.tasks.mark_done(assignment.task);
                job.failures.job_is_healthy = true;
            }
            ReleaseReason::Unfinished => job.tasks.mark_pending(assignment.task),
        }
    }

    /// A gang without one of its tasks can't go on: the others are stopped, and
    /// it starts again once all of them are gone.
    fn stop_rest_of_gang(&mut self, released: &Assignment) {
        let Some(job) = self.job(released.job) else { return };
        if job.spec.kind != JobKind::Gang || job.tasks.placed == 0 || job.status != JobStatus::Pending {
            return;
        }
        for assignment_index in job.assignments() {
            self.halt(released.assigned_at, assignment_index, 0.0);
        }
    }

    /// Releases all assignments of a machine, as their tasks are provably gone;
    /// with `before_incarnation`, only those made for an earlier incarnation.
    pub fn release_machine_assignments(&mut self, index: MachineIndex, before_incarnation: Option<Incarnation>) {
        for assignment_index in self.machines[index.as_usize()].load.assignments.clone() {
            let Some(assignment) = self.assignments.get(assignment_index) else { continue };
            if before_incarnation.is_some_and(|incarnation| assignment.incarnation >= incarnation) {
                continue;
            }
            let job_index = assignment.job;
            if let Some(job) = self.job_mut(job_index) {
                job.statistics.lost_count += 1;
            }
            self.release_assignment(assignment_index, ReleaseReason::Unfinished);
        }
        self.machines[index.as_usize()].commands.pending_reaps.clear();
    }

    /// Has the machines of those of the assignments that are `wanted` looked at,
    /// for commands to be sent.
    pub(in crate::coordination) fn schedule_dispatch_for(
        &mut self,
        now: Millis,
        assignments: Vec<AssignmentIndex>,
        wanted: impl Fn(&Assignment) -> bool,
    ) {
        for index in assignments {
            let Some(assignment) = self.assignments.get(index) else { continue };
            if wanted(assignment) {
                self.dispatch_queue.schedule(now, assignment.machine);
            }
        }
    }

    /// Has those tasks on a machine launched again, as the same attempt, that its
    /// worker had shown and that `is_missing` now.
    pub(in crate::coordination) fn relaunch_missing_tasks(
        &mut self,
        machine: MachineIndex,
        is_missing: impl Fn(AssignmentIndex) -> bool,
    ) {
        for &index in &self.machines[machine.as_usize()].load.assignments {
            let Some(assignment) = self.assignments.get_mut(index) else { continue };
            if is_missing(index) && matches!(assignment.state, AssignmentState::Reported(_)) {
                assignment.state = AssignmentState::Wanted;
            }
        }
    }

    /// Whether a command with the assignment's launch is unanswered.
    pub fn is_launch_in_flight(&self, assignment: &Assignment) -> bool {
        let call = &self.machines[assignment.machine.as_usize()].commands.direct_call;
        call.as_ref().is_some_and(|call| call.launches.contains(&assignment.launch_id()))
    }

    /// Whether the assignment's record is written.
    pub fn written(&self, assignment: &Assignment) -> bool {
        self.job(assignment.job).is_some_and(|job| {
            job.records.chunks[job.chunk_of(assignment.task)].committed_version >= assignment.chunk_version
        })
    }

    /// Guard: a launch is sent only after its record is written, a gang's only
    /// after the records of all its tasks are. A leader that takes over must
    /// find every task that may run.
    pub(in crate::coordination) fn may_launch(&self, assignment: &Assignment) -> bool {
        let Some(job) = self.job(assignment.job) else { return false };
        if assignment.halt.is_some() || job.status != JobStatus::Pending || !self.written(assignment) {
            return false;
        }
        !(job.spec.kind == JobKind::Gang && job.has_unwritten_placement())
    }
}

fn add_to_load(load: &mut MachineLoad, index: AssignmentIndex, uses_gpus: bool) {
    load.assignments.push(index);
    load.idle_since = None;
    if uses_gpus {
        load.gpu_assignments += 1;
        load.gpu_idle_since = None;
    }
}
