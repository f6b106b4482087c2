//! Whether the failures of a job's tasks are the fault of the job itself.

use super::{MachineIndex, Millis};
use crate::protocol::ids::Attempt;

/// A job that failed on this many machines, and succeeded on none, is taken to be
/// at fault itself.
const MIN_FAILED_MACHINES: usize = 2;

/// The failures of one job's tasks.
#[derive(Debug, Default)]
pub struct JobFailures {
    /// Machines on which its tasks failed.
    pub machines: Vec<MachineIndex>,
    /// Rounds of attempts that ended in failures.
    pub rounds: u32,
    /// The longest that a task ran before it failed, in ms.
    pub longest_run_ms: Millis,
    /// A task of the job completed, or outlasted those that failed.
    pub job_is_healthy: bool,
    /// The latest attempt when the current round was counted.
    round_attempt: Attempt,
}

impl JobFailures {
    /// A task that ran for `ran_ms` failed. `attempt`: its attempt;
    /// `last_attempt`: the latest one of any job.
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

    /// Whether the job is at fault itself: it fails on every machine, as far as is known.
    pub fn is_job_faulty(&self) -> bool {
        !self.job_is_healthy && self.machines.len() >= MIN_FAILED_MACHINES
    }

    /// Whether tasks failed and the cause is open: the job or the machines.
    pub fn have_unknown_cause(&self) -> bool {
        !self.job_is_healthy && !self.machines.is_empty()
    }
}
