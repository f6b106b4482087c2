//! Lifecycle of an assignment: it is created, launched once its record is
//! written, and released on proof that its task is gone.

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

/// An assignment to be created.
#[derive(Debug, Clone, Copy)]
pub struct NewAssignment {
    /// The task's job.
    pub job: JobIndex,
    /// Number of the task within its job.
    pub task: u32,
    /// Machine to which the task is assigned.
    pub machine: MachineIndex,
    /// Incarnation of the worker for which the assignment is created.
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
            sent_at: None,
            executed_launch_token: None,
            running_since: None,
            halt: None,
            assigned_at: now,
            recovered: false,
            unconfirmed: false,
        }
    }
}

/// The state of a task when its assignment is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseReason {
    /// The task completed.
    Done,
    /// The task did not complete: it is assigned again unless its job is finished.
    Unfinished,
}

impl ClusterState {
    /// Assigns a pending task to a machine. Returns `None` if the job is not
    /// active, the job is being resharded, or the task is not pending.
    pub fn add_assignment(&mut self, now: Millis, new: NewAssignment) -> Option<AssignmentIndex> {
        let job = self.jobs.get_mut(new.job)?;
        // The resharding transaction assumes that no task of the job is assigned
        // while it is in flight.
        if job.records.resharding {
            return None;
        }
        if job.tasks.slots.get(new.task as usize) != Some(&Slot::Pending) {
            return None;
        }
        let chunk_version = job.record_assignment(now, new.task, new.zone);
        self.team_usage.add(job.spec.team, Resources::of(&job.spec));
        self.snapshot.add_task(new.machine.as_usize(), &job.spec);
        let index = self.assignments.insert(new.into_assignment(now, chunk_version));
        job.tasks.slots[new.task as usize] = Slot::Assigned(index);
        add_to_load(&mut self.machines[new.machine.as_usize()].load, index, job.spec.gpus > 0.0);
        Some(index)
    }

    /// Releases an assignment. The caller must have proof that its task never reached
    /// the machine or is gone from it. Returns `None` if the assignment was released
    /// before.
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

    /// Subtracts a released assignment from the counts of its job, its team and
    /// its machine, and marks its task as done or pending.
    fn release_from_job(&mut self, assignment: &Assignment, reason: ReleaseReason) {
        let Some(job) = self.jobs.get_mut(assignment.job) else { return };
        let machine = assignment.machine.as_usize();
        let ran_long_enough =
            assignment.running_since.is_some_and(|since| self.last_event_at >= since + EFFECTIVE_START_MS);
        job.wait.has_effective_start |= reason == ReleaseReason::Done || ran_long_enough;
        job.record_release(assignment);
        self.team_usage.subtract(job.spec.team, Resources::of(&job.spec));
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

    /// Stops the other tasks of a gang after one of its assignments was released: a
    /// gang can't continue with a task missing. It starts again as a whole once all
    /// its tasks are gone.
    fn stop_rest_of_gang(&mut self, released: &Assignment) {
        let Some(job) = self.job(released.job) else { return };
        if job.spec.kind != JobKind::Gang || job.tasks.placed == 0 || job.status != JobStatus::Pending {
            return;
        }
        for assignment_index in job.assignments() {
            self.halt(released.assigned_at, assignment_index, 0.0);
        }
    }

    /// Releases the assignments of a machine and clears its pending reaps. The caller
    /// must have proof that the tasks are gone. `before_incarnation`: only the
    /// assignments created for earlier incarnations are released; `None`: all are.
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

    /// For each assignment for which `needs_dispatch` returns true, schedules a check
    /// of its machine at `now` for commands to be sent.
    pub(in crate::coordination) fn schedule_dispatch_for(
        &mut self,
        now: Millis,
        assignments: Vec<AssignmentIndex>,
        needs_dispatch: impl Fn(&Assignment) -> bool,
    ) {
        for index in assignments {
            let Some(assignment) = self.assignments.get(index) else { continue };
            if needs_dispatch(assignment) {
                self.dispatch_queue.schedule(now, assignment.machine);
            }
        }
    }

    /// Resets the state of those tasks on a machine that its worker reported before, also
    /// as exited, and for which `is_missing` returns true. They are launched again as the
    /// same attempt.
    pub(in crate::coordination) fn relaunch_missing_tasks(
        &mut self,
        machine: MachineIndex,
        is_missing: impl Fn(AssignmentIndex) -> bool,
    ) {
        for index in self.machines[machine.as_usize()].load.assignments.clone() {
            let Some(assignment) = self.assignments.get(index) else { continue };
            if is_missing(index) && assignment.state != AssignmentState::Wanted {
                self.set_assignment_state(index, AssignmentState::Wanted);
            }
        }
    }

    /// Marks an assignment as recovered from a record: an earlier leader may have sent its
    /// launch.
    pub(in crate::coordination) fn mark_recovered(&mut self, now: Millis, index: AssignmentIndex) {
        let Some(assignment) = self.assignments.get_mut(index) else { return };
        assignment.sent_at = Some(now);
        assignment.recovered = true;
        assignment.unconfirmed = true;
        if let Some(job) = self.jobs.get_mut(assignment.job) {
            job.tasks.unconfirmed += 1;
        }
    }

    /// Records that a heartbeat of a machine was received, which shows which of its
    /// recovered tasks run.
    pub(in crate::coordination) fn confirm_recovered_assignments(&mut self, machine: MachineIndex) {
        for &index in &self.machines[machine.as_usize()].load.assignments {
            let Some(assignment) = self.assignments.get_mut(index) else { continue };
            if !std::mem::take(&mut assignment.unconfirmed) {
                continue;
            }
            if let Some(job) = self.jobs.get_mut(assignment.job) {
                job.tasks.unconfirmed -= 1;
            }
            self.progress_feed.mark_changed(assignment.job);
        }
    }

    /// Sets the progress of a task on its machine, and counts the running tasks of its job.
    /// Returns the previous state; `None`: the assignment was released.
    pub(in crate::coordination) fn set_assignment_state(
        &mut self,
        index: AssignmentIndex,
        state: AssignmentState,
    ) -> Option<AssignmentState> {
        let assignment = self.assignments.get_mut(index)?;
        let previous = std::mem::replace(&mut assignment.state, state);
        if previous == state {
            return Some(previous);
        }
        let job_index = assignment.job;
        if let Some(job) = self.jobs.get_mut(job_index) {
            match (previous.is_running(), state.is_running()) {
                (false, true) => job.tasks.running += 1,
                (true, false) => job.tasks.running = job.tasks.running.saturating_sub(1),
                _ => {}
            }
            self.progress_feed.mark_changed(job_index);
        }
        Some(previous)
    }

    /// Reports whether a direct call that carries the assignment's launch has received
    /// no response yet.
    pub fn is_launch_in_flight(&self, assignment: &Assignment) -> bool {
        let call = &self.machines[assignment.machine.as_usize()].commands.direct_call;
        call.as_ref().is_some_and(|call| call.launches.contains(&assignment.launch_id()))
    }

    /// Reports whether the chunk record that contains the assignment is written.
    pub fn is_record_written(&self, assignment: &Assignment) -> bool {
        self.job(assignment.job).is_some_and(|job| {
            job.records.chunks[job.chunk_of(assignment.task)].committed_version >= assignment.chunk_version
        })
    }

    /// Reports whether the assignment's launch may be sent. Its task must not be
    /// halted, its job must be unfinished, and its record must be written; for a gang,
    /// the records of all its tasks must be written. Otherwise a leader that takes over
    /// could miss a task that may run.
    pub(in crate::coordination) fn may_launch(&self, assignment: &Assignment) -> bool {
        let Some(job) = self.job(assignment.job) else { return false };
        if assignment.halt.is_some() || job.status != JobStatus::Pending || !self.is_record_written(assignment) {
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
