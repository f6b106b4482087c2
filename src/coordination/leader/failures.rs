//! Failed tasks: whether the machine is at fault, or the job itself.
//!
//! A job that was submitted with a mistake fails wherever it runs; a faulty
//! machine fails whatever runs there. Neither can be told from one failure
//! alone, so each machine is judged by how its jobs fare on other machines.

use super::Leader;
use crate::{
    bookkeeping::job_cache::JobIx,
    coordination::model::{Assignment, Job, JobFailures, MachineIx, Ms, TaskFailure},
};

/// How long a machine on which a task failed gets no new tasks; doubled with
/// each further job that failed there lately.
const MACHINE_PAUSE_MS: Ms = 5_000;
/// Longest pause of such a machine.
const MACHINE_PAUSE_MAX_MS: Ms = 60_000;
/// How long a failure is remembered at its machine.
const FAILURE_MEMORY_MS: Ms = 120_000;
/// Sound jobs that failed on one machine lately after which it counts as faulty.
const FAULTY_MACHINE_JOBS: usize = 2;
/// Pause of a job after a failure that is not taken for its own.
const RETRY_PAUSE_MS: Ms = 300;
/// First pause of a job that is at fault itself; doubled with each round...
const BACKOFF_MS: Ms = 2_000;
/// ...up to this many times: it is tried again for as long as it is wanted.
const BACKOFF_DOUBLINGS: u32 = 5;
/// Interval at which failures are judged.
const JUDGE_INTERVAL_MS: Ms = 2_000;

impl Leader {
    /// A task failed: its job tries again, elsewhere at first.
    pub(super) fn task_failed(&mut self, now: Ms, assignment: &Assignment, task: &str) {
        let (machine_ix, job_ix) = (assignment.machine, assignment.job);
        tracing::info!(task, machine = &*self.machine(machine_ix).id, "failed");
        let last_attempt = self.last_attempt;
        let Some(job) = self.job_mut(job_ix) else { return };
        let ran_ms = assignment.running_since.map_or(0, |since| now.saturating_sub(since));
        job.failures.record(machine_ix, ran_ms, assignment.attempt, last_attempt);
        job.not_before = now + retry_pause_ms(&job.failures);
        // Guard: a job that fails everywhere would keep healthy machines from
        // taking any work.
        if !job.failures.job_is_at_fault() {
            self.pause_machine(now, machine_ix, job_ix);
        }
        self.refresh(now, machine_ix);
    }

    fn pause_machine(&mut self, now: Ms, machine_ix: MachineIx, job: JobIx) {
        let machine = &mut self.machines[machine_ix.at()];
        machine.recent_failures.retain(|failure| failure.job != job);
        machine.recent_failures.push(TaskFailure { job, at: now, job_is_sound: false });
        let doublings = machine.recent_failures.len() as u32 - 1;
        let pause_ms = MACHINE_PAUSE_MS.checked_shl(doublings).unwrap_or(MACHINE_PAUSE_MAX_MS);
        machine.avoid_until = machine.avoid_until.max(now + pause_ms.min(MACHINE_PAUSE_MAX_MS));
    }

    /// Retires machines on which several jobs failed that run well elsewhere.
    pub(super) fn judge_failures(&mut self, now: Ms) {
        if now < self.next_judgement {
            return;
        }
        self.next_judgement = now + JUDGE_INTERVAL_MS;
        self.clear_jobs_that_run_well(now);
        for n in 0..self.machines.len() {
            if !self.machines[n].recent_failures.is_empty() {
                self.judge_machine(now, n);
            }
        }
    }

    /// Clears the jobs of which a task has run for longer than any that failed.
    fn clear_jobs_that_run_well(&mut self, now: Ms) {
        let slack_ms = 2 * self.cfg.report_ms;
        let outlasts = |job: &Job| {
            let limit_ms = job.failures.longest_run_ms + slack_ms;
            let assignments = job.assignments().into_iter().filter_map(|ix| self.assignment(ix));
            assignments.filter_map(|assignment| assignment.running_since).any(|since| now > since + limit_ms)
        };
        let suspects = self.active_jobs().filter(|job| job.failures.are_unexplained());
        let sound: Vec<JobIx> = suspects.filter(|job| outlasts(job)).map(|job| job.ix).collect();
        for ix in sound {
            if let Some(job) = self.job_mut(ix) {
                job.failures.job_is_sound = true;
            }
        }
    }

    fn judge_machine(&mut self, now: Ms, n: usize) {
        let (jobs, machine) = (&self.jobs, &mut self.machines[n]);
        machine.recent_failures.retain(|failure| now < failure.at + FAILURE_MEMORY_MS);
        for failure in &mut machine.recent_failures {
            let job = jobs.get(failure.job.at()).and_then(Option::as_ref);
            failure.job_is_sound |= job.is_some_and(|job| job.failures.job_is_sound);
        }
        let sound_jobs = machine.recent_failures.iter().filter(|failure| failure.job_is_sound).count();
        if sound_jobs >= FAULTY_MACHINE_JOBS && !machine.retiring {
            machine.retiring = true;
            tracing::warn!(machine = &*machine.id, "jobs failed here that run elsewhere: retired");
        }
    }

    /// A job that failed somewhere has completed: its machines were at fault.
    pub(super) fn blame_machines_of(&mut self, ix: JobIx) {
        let Some(job) = self.job(ix) else { return };
        for machine in job.failures.machines.clone() {
            let failures = &mut self.machines[machine.at()].recent_failures;
            failures.iter_mut().filter(|failure| failure.job == ix).for_each(|failure| failure.job_is_sound = true);
        }
    }
}

/// How long a job waits after one of its tasks failed.
fn retry_pause_ms(failures: &JobFailures) -> Ms {
    if !failures.job_is_at_fault() {
        return RETRY_PAUSE_MS;
    }
    BACKOFF_MS << failures.rounds.saturating_sub(1).min(BACKOFF_DOUBLINGS)
}
