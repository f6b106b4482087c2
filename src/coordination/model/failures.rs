//! Failures of a job's tasks, and whether the job itself causes them.

use super::{MachineIndex, Millis};
use crate::protocol::ids::Attempt;

/// A job that failed on this many machines, and succeeded on none, is considered
/// faulty.
const MIN_FAILED_MACHINES: usize = 2;

/// The failures of one job's tasks.
#[derive(Debug, Default)]
pub struct JobFailures {
    /// Machines on which tasks of the job failed, without duplicates.
    pub machines: Vec<MachineIndex>,
    /// Number of rounds of failed attempts. A failure begins a new round only if its
    /// attempt was assigned after the current round was counted; otherwise it belongs to
    /// the current round.
    pub rounds: u32,
    /// Longest run time of a task before it failed, in ms.
    pub longest_run_ms: Millis,
    /// Whether a task of the job completed, or ran for longer than those that failed.
    pub job_is_healthy: bool,
    /// The latest attempt of any job when the current round was counted.
    round_attempt: Attempt,
}

impl JobFailures {
    /// Records that a task failed on `machine` after it ran for `ran_ms`. `attempt`
    /// is the attempt that failed, `last_attempt` the latest one of any job.
    pub fn record(&mut self, machine: MachineIndex, ran_ms: Millis, attempt: Attempt, last_attempt: Attempt) {
        if !self.machines.contains(&machine) {
            self.machines.push(machine);
        }
        self.longest_run_ms = self.longest_run_ms.max(ran_ms);
        if attempt > self.round_attempt {
            self.rounds += 1;
            self.round_attempt = last_attempt;
        }
    }

    /// Reports whether the job is faulty: as far as is known, it fails on every machine.
    pub fn is_job_faulty(&self) -> bool {
        !self.job_is_healthy && self.machines.len() >= MIN_FAILED_MACHINES
    }

    /// Reports whether tasks failed and it is unknown whether the job or the machines
    /// cause the failures.
    pub fn has_unknown_cause(&self) -> bool {
        !self.job_is_healthy && !self.machines.is_empty()
    }
}
