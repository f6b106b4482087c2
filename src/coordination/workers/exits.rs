//! Ends of tasks: settled once no earlier command can start the task again.

use crate::{
    coordination::{
        cluster::TaskFate,
        leader::Leader,
        model::{Assignment, AssignmentIndex, ExitRecord, Millis, UnreapedExit},
    },
    protocol::workers::{ExitReason, TaskStatus},
};

/// How long a machine that refused a start gets no new tasks, and a job whose
/// task its worker did not know.
const REFUSED_START_PAUSE_MS: Millis = 3_000;

impl Leader {
    /// A task has ended. Its assignment is released unless a command sent
    /// earlier could still start it again.
    pub fn settle_exit(&mut self, now: Millis, index: AssignmentIndex, status: &TaskStatus) {
        let Some(assignment) = self.cluster.assignment(index) else { return };
        let machine = self.cluster.machine(assignment.machine);
        // Guard: a launch still under way could arrive after the reap and start
        // the task a second time.
        if !machine.fenced() || self.cluster.in_flight_launch(assignment) || machine.commands.launch_in_answer {
            return;
        }
        let reason = status.why.unwrap_or(ExitReason::Other);
        let fate = if reason == ExitReason::Done { TaskFate::Done } else { TaskFate::Unfinished };
        let Some(assignment) = self.cluster.release_assignment(index, fate) else { return };
        let record = self.record_of_exit(&assignment);
        let machine = &mut self.cluster.machines[assignment.machine.at()];
        machine.commands.unreaped_exits.push(UnreapedExit {
            task: status.task.clone(),
            attempt: status.attempt,
            job: assignment.job,
            record,
        });
        if fate == TaskFate::Done {
            self.observe_run_time(now, &assignment);
        } else {
            tracing::debug!(
                task = &*status.task,
                machine = &*machine.id,
                why = ?reason,
                saved = ?status.saved,
                "ended"
            );
            self.handle_early_end(now, &assignment, reason, &status.task);
        }
    }

    /// The chunk version with which a released assignment's end is written.
    fn record_of_exit(&self, assignment: &Assignment) -> ExitRecord {
        match self.cluster.job(assignment.job) {
            Some(job) => {
                let chunk = job.chunk_of(assignment.task);
                ExitRecord::WrittenWith { chunk, version: job.records.chunks[chunk].version }
            }
            None => ExitRecord::WrittenWith { chunk: 0, version: 0 },
        }
    }

    /// A task ended before it was done.
    fn handle_early_end(&mut self, now: Millis, assignment: &Assignment, reason: ExitReason, task: &str) {
        let (machine_index, job_index) = (assignment.machine, assignment.job);
        match reason {
            ExitReason::NoRoom | ExitReason::Busy => {
                let machine = &mut self.cluster.machines[machine_index.at()];
                tracing::info!(task, machine = &*machine.id, why = ?reason, "start refused");
                machine.avoid_until = now + REFUSED_START_PAUSE_MS;
                self.cluster.refresh(now, machine_index);
            }
            ExitReason::Unknown => {
                if let Some(job) = self.cluster.job_mut(job_index) {
                    job.wait.not_before = now + REFUSED_START_PAUSE_MS;
                }
            }
            ExitReason::Stopped => {
                if let Some(job) = self.cluster.job_mut(job_index) {
                    job.statistics.stop_count += 1;
                }
            }
            ExitReason::Error => self.task_failed(now, assignment, task),
            _ => {}
        }
    }

    /// The run time of a task that was not stopped corrects its class's estimates.
    fn observe_run_time(&mut self, now: Millis, assignment: &Assignment) {
        let Some(running_since) = assignment.running_since else { return };
        if assignment.halt.is_some() {
            return;
        }
        let ran_s = (now - running_since) as f64 / 1000.0;
        if let Some(job) = self.cluster.jobs.get(assignment.job) {
            self.cluster.run_times.observe(&job.spec, ran_s);
        }
    }
}
