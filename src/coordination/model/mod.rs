//! The leader's in-memory model of the cluster: jobs, machines, and the
//! assignments of tasks to machines.

mod assignment;
mod failures;
mod ids;
mod index;
mod job;
mod machine;
mod machine_type;
mod resources;
mod team;

pub use self::{
    assignment::{Assignment, AssignmentState, DirectCall, ExitRecord, Halt, LaunchId, PendingReap},
    failures::JobFailures,
    ids::{CallId, Term},
    index::{AssignmentIndex, MachineIndex},
    job::{Chunk, Job, JobRecords, JobStatistics, Slot, TaskTable, WaitState},
    machine::{CommandState, HeartbeatState, Machine, MachineLifecycle, MachineLoad, TaskFailure, TokenRequirement},
    machine_type::{fits_some_type, MachineTypeSpec},
    resources::{Resources, RESOURCE_TOLERANCE},
    team::TeamLimits,
};

/// Milliseconds on this process's monotonic clock, or a duration in milliseconds.
pub type Millis = u64;

/// A job's start is effective once one of its tasks has run this long (PROTOCOL, "How
/// aims are counted").
pub const EFFECTIVE_START_MS: Millis = 30_000;

/// Added to a task's saving time to give its grace period, in seconds.
pub const SAVE_MARGIN_S: f64 = 2.0;

/// Converts a duration in milliseconds to seconds.
pub fn ms_to_seconds(duration_ms: Millis) -> f64 {
    duration_ms as f64 / 1000.0
}

/// Tests of the model, and a job spec that other tests use.
#[cfg(test)]
#[path = "../tests/model.rs"]
pub mod tests;
