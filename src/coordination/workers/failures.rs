//! Failed tasks: whether the machine is at fault, or the job itself.
//!
//! A job that was submitted with a mistake fails wherever it runs; a faulty
//! machine fails whatever runs there. Neither can be told from one failure
//! alone, so each machine is judged by how its jobs fare on other machines.

use crate::{
    coordination::{
        leader::Leader,
        model::{Assignment, Job, JobFailures, MachineIndex, Millis, TaskFailure},
    },
    storage::job_cache::JobIndex,
};

/// How long a machine on which a task failed gets no new tasks; doubled with
/// each further job that failed there lately.
const MACHINE_PAUSE_MS: Millis = 5_000;
/// Longest pause of such a machine.
const MACHINE_PAUSE_MAX_MS: Millis = 60_000;
/// How long a failure is remembered at its machine.
const FAILURE_MEMORY_MS: Millis = 120_000;
/// Sound jobs that failed on one machine lately after which it counts as faulty.
const FAULTY_MACHINE_JOBS: usize = 2;
/// Pause of a job after a failure that is not taken for its own.
const RETRY_PAUSE_MS: Millis = 300;
/// First pause of a job that is at fault itself; doubled with each round...
const BACKOFF_MS: Millis = 2_000;
/// ...up to this many times: it is tried again for as long as it is wanted.
const BACKOFF_DOUBLINGS: u32 = 5;
/// Interval at which failures are judged.
const JUDGE_INTERVAL_MS: Millis = 2_000;

impl Leader {
    /// A task failed: its job tries again, elsewhere at first.
    pub fn task_failed(&mut self, now: Millis, assignment: &Assignment, task: &str) {
        let (machine_index, job_index) = (assignment.machine, assignment.job);
        tracing::info!(task, machine = &*self.cluster.machine(machine_index).id, "failed");
        let last_attempt = self.cluster.last_attempt();
        let Some(job) = self.cluster.job_mut(job_index) else { return };
        let ran_ms = assignment.running_since.map_or(0, |since| now.saturating_sub(since));
        job.failures.record(machine_index, ran_ms, assignment.attempt, last_attempt);
        job.wait.not_before = now + retry_pause_ms(&job.failures);
        // Guard: a job that fails everywhere would keep healthy machines from
        // taking any work.
        if !job.failures.job_is_at_fault() {
            self.pause_machine(now, machine_index, job_index);
        }
        self.cluster.refresh(now, machine_index);
    }

    fn pause_machine(&mut self, now: Millis, machine_index: MachineIndex, job: JobIndex) {
        let machine = &mut self.cluster.machines[machine_index.at()];
        machine.recent_failures.retain(|failure| failure.job != job);
        machine.recent_failures.push(TaskFailure { job, at: now, job_is_sound: false });
        let doublings = machine.recent_failures.len() as u32 - 1;
        let pause_ms = MACHINE_PAUSE_MS.checked_shl(doublings).unwrap_or(MACHINE_PAUSE_MAX_MS);
        machine.avoid_until = machine.avoid_until.max(now + pause_ms.min(MACHINE_PAUSE_MAX_MS));
    }

    /// Retires machines on which several jobs failed that run well elsewhere.
    pub fn judge_failures(&mut self, now: Millis) {
        if now < self.workers.next_judgement {
            return;
        }
        self.workers.next_judgement = now + JUDGE_INTERVAL_MS;
        self.clear_jobs_that_run_well(now);
        for n in 0..self.cluster.machines.len() {
            if !self.cluster.machines[n].recent_failures.is_empty() {
                self.judge_machine(now, n);
            }
        }
    }

    /// Clears the jobs of which a task has run for longer than any that failed.
    fn clear_jobs_that_run_well(&mut self, now: Millis) {
        let slack_ms = 2 * self.cluster.config.heartbeat_interval_ms;
        let outlasts = |job: &Job| {
            let limit_ms = job.failures.longest_run_ms + slack_ms;
            let assignments = job.assignments().into_iter().filter_map(|index| self.cluster.assignment(index));
            assignments.filter_map(|assignment| assignment.running_since).any(|since| now > since + limit_ms)
        };
        let suspects = self.cluster.active_jobs().filter(|job| job.failures.are_unexplained());
        let sound: Vec<JobIndex> = suspects.filter(|job| outlasts(job)).map(|job| job.index).collect();
        for index in sound {
            if let Some(job) = self.cluster.job_mut(index) {
                job.failures.job_is_sound = true;
            }
        }
    }

    fn judge_machine(&mut self, now: Millis, n: usize) {
        let (jobs, machine) = (&self.cluster.jobs, &mut self.cluster.machines[n]);
        machine.recent_failures.retain(|failure| now < failure.at + FAILURE_MEMORY_MS);
        for failure in &mut machine.recent_failures {
            let job = jobs.get(failure.job);
            failure.job_is_sound |= job.is_some_and(|job| job.failures.job_is_sound);
        }
        let sound_jobs = machine.recent_failures.iter().filter(|failure| failure.job_is_sound).count();
        if sound_jobs >= FAULTY_MACHINE_JOBS && !machine.cordoned {
            machine.cordoned = true;
            tracing::warn!(machine = &*machine.id, "jobs failed here that run elsewhere: retired");
        }
    }
}

/// How long a job waits after one of its tasks failed.
fn retry_pause_ms(failures: &JobFailures) -> Millis {
    if !failures.job_is_at_fault() {
        return RETRY_PAUSE_MS;
    }
    BACKOFF_MS << failures.rounds.saturating_sub(1).min(BACKOFF_DOUBLINGS)
}
