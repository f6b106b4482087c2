//! Attribution of task failures to a faulty machine or to the job itself.
//!
//! A job that was submitted with an error fails on every machine; on a faulty machine,
//! every job fails. A single failure doesn't show which of the two is the cause, so
//! each machine is evaluated by how its jobs run on other machines.

use crate::{
    coordination::{
        cluster::ClusterState,
        model::{Assignment, Job, JobFailures, MachineIndex, Millis, TaskFailure},
    },
    storage::job_cache::JobIndex,
};

/// Time, in ms, for which a machine on which a task failed gets no new tasks, doubled for
/// each further job that failed there recently.
const MACHINE_PAUSE_MS: Millis = 5_000;
/// Maximum of [`MACHINE_PAUSE_MS`] after doubling, in ms.
const MACHINE_PAUSE_MAX_MS: Millis = 60_000;
/// Time, in ms, for which a failure is included in the recent failures of its machine.
const FAILURE_RETENTION_MS: Millis = 120_000;
/// A machine is considered faulty once this many healthy jobs failed on it recently.
const FAULTY_MACHINE_MIN_JOBS: usize = 2;
/// Delay, in ms, before a job is retried after a failure that is not attributed to it.
const RETRY_PAUSE_MS: Millis = 300;
/// First retry delay of a faulty job, in ms, doubled with each round of failures.
const BACKOFF_MS: Millis = 2_000;
/// Maximum number of doublings of [`BACKOFF_MS`]. The delay is limited because a faulty
/// job is retried for as long as it is wanted.
const BACKOFF_DOUBLINGS: u32 = 5;
/// Interval at which failures are evaluated, in ms.
const EVALUATION_INTERVAL_MS: Millis = 2_000;

/// Records a failed task. Its job is retried, at first on other machines.
pub fn record_failure(cluster: &mut ClusterState, now: Millis, assignment: &Assignment, task: &str) {
    let (machine_index, job_index) = (assignment.machine, assignment.job);
    tracing::info!(task, machine = &*cluster.machine(machine_index).id, "task failed");
    let last_attempt = cluster.last_attempt();
    let Some(job) = cluster.job_mut(job_index) else { return };
    let ran_ms = assignment.running_since.map_or(0, |since| now.saturating_sub(since));
    job.failures.record(machine_index, ran_ms, assignment.attempt, last_attempt);
    job.wait.not_before = now + retry_pause_ms(&job.failures);
    // A faulty job pauses no machine. Otherwise a job that fails on every machine would
    // keep healthy machines from getting any tasks.
    if !job.failures.is_job_faulty() {
        pause_machine(cluster, now, machine_index, job_index);
    }
    cluster.update_snapshot_host(now, machine_index);
}

fn pause_machine(cluster: &mut ClusterState, now: Millis, machine_index: MachineIndex, job: JobIndex) {
    let machine = cluster.machine_mut(machine_index);
    machine.recent_failures.retain(|failure| failure.job != job);
    machine.recent_failures.push(TaskFailure { job, at: now, job_is_healthy: false });
    let doublings = machine.recent_failures.len() as u32 - 1;
    let pause_ms = MACHINE_PAUSE_MS.checked_shl(doublings).unwrap_or(MACHINE_PAUSE_MAX_MS);
    machine.unschedulable_until = machine.unschedulable_until.max(now + pause_ms.min(MACHINE_PAUSE_MAX_MS));
}

/// Evaluates recent failures at regular intervals.
#[derive(Debug)]
pub struct FailureAttribution {
    next_evaluation: Millis,
}

impl FailureAttribution {
    /// Creates the evaluation; it is first due at `now`.
    pub fn new(now: Millis) -> FailureAttribution {
        FailureAttribution { next_evaluation: now }
    }

    /// Cordons machines on which several jobs failed that run successfully on other
    /// machines. Does nothing until the interval has passed.
    pub fn evaluate(&mut self, cluster: &mut ClusterState, now: Millis) {
        if now < self.next_evaluation {
            return;
        }
        self.next_evaluation = now + EVALUATION_INTERVAL_MS;
        mark_healthy_jobs(cluster, now);
        for index in cluster.machine_indices() {
            if !cluster.machine(index).recent_failures.is_empty() {
                cordon_if_faulty(cluster, index, now);
            }
        }
    }
}

/// Marks jobs as healthy if one of their tasks has run for longer than any that failed.
fn mark_healthy_jobs(cluster: &mut ClusterState, now: Millis) {
    let slack_ms = 2 * cluster.config().heartbeat_interval_ms;
    let outlasts = |job: &Job| {
        let limit_ms = job.failures.longest_run_ms + slack_ms;
        let assignments = job.assignments().into_iter().filter_map(|index| cluster.assignment(index));
        assignments.filter_map(|assignment| assignment.running_since).any(|since| now > since + limit_ms)
    };
    let suspects = cluster.active_jobs().filter(|job| job.failures.has_unknown_cause());
    let healthy: Vec<JobIndex> = suspects.filter(|job| outlasts(job)).map(|job| job.index).collect();
    for index in healthy {
        if let Some(job) = cluster.job_mut(index) {
            job.failures.job_is_healthy = true;
        }
    }
}

fn cordon_if_faulty(cluster: &mut ClusterState, index: MachineIndex, now: Millis) {
    let mut recent_failures = std::mem::take(&mut cluster.machine_mut(index).recent_failures);
    recent_failures.retain(|failure| now < failure.at + FAILURE_RETENTION_MS);
    for failure in &mut recent_failures {
        let job = cluster.job(failure.job);
        failure.job_is_healthy |= job.is_some_and(|job| job.failures.job_is_healthy);
    }
    let machine = cluster.machine_mut(index);
    machine.recent_failures = recent_failures;
    let healthy_jobs = machine.recent_failures.iter().filter(|failure| failure.job_is_healthy).count();
    if healthy_jobs >= FAULTY_MACHINE_MIN_JOBS && !machine.cordoned {
        machine.cordoned = true;
        tracing::warn!(machine = &*machine.id, failed_jobs = healthy_jobs, "faulty machine cordoned");
    }
}

/// Returns how long a job waits for its retry after one of its tasks failed.
fn retry_pause_ms(failures: &JobFailures) -> Millis {
    if !failures.is_job_faulty() {
        return RETRY_PAUSE_MS;
    }
    BACKOFF_MS << failures.rounds.saturating_sub(1).min(BACKOFF_DOUBLINGS)
}
