//! Trial placement of one job on a snapshot of the machines.
//!
//! A job is a tree, as in the paper on gang scheduling: the root is the job, its
//! children are zones or tasks. Children are visited greedily in a fixed order,
//! without backtracking; the node's status is derived from four counts (PAPER,
//! "`GangScheduling` Plugin Changes" and "Recursive Scheduling Cycle Execution"). The
//! placements assumed by a failed subtree are removed in reverse order.

mod score;
mod tree;

pub use self::score::{IDLE_GPU_PENALTY_S, SLOWEST_FETCH_GB_PER_S};
use crate::{
    coordination::{model::MachineIndex, snapshot::CapacityKind},
    protocol::jobs::JobSpec,
};

/// Result of a node of the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementStatus {
    /// Enough children of the node are placed.
    Success,
    /// The node may still succeed with children that have not been tried yet.
    Wait,
    /// The node would succeed if tasks were preempted.
    Unschedulable,
    /// The node can't succeed even if tasks were preempted.
    Unresolvable,
}

impl PlacementStatus {
    /// Returns the result of a node that needs `needed` placed children. The other counts
    /// are those of its children that are placed, that have not been tried yet, and that
    /// would fit only if other tasks were preempted. Children that can't fit at all are
    /// in none of these counts.
    pub fn from_counts(needed: usize, placed: usize, untried: usize, need_preemption: usize) -> PlacementStatus {
        if placed >= needed {
            PlacementStatus::Success
        } else if placed + untried >= needed {
            PlacementStatus::Wait
        } else if placed + untried + need_preemption >= needed {
            PlacementStatus::Unschedulable
        } else {
            PlacementStatus::Unresolvable
        }
    }
}

/// A machine found for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskPlacement {
    /// Number of the task within its job.
    pub task: u32,
    /// Index of the machine in the snapshot.
    pub host: usize,
}

/// Which machines a trial may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostFilter {
    /// All machines that take new tasks.
    Any,
    /// Only machines that have assignments, except for those reserved for GPU tasks,
    /// which are meant to become empty.
    BusyOnly,
}

/// The parameters of a trial of one job.
#[derive(Debug, Clone)]
pub struct TrialRequest<'a> {
    /// Specification of the job whose tasks are placed.
    pub spec: &'a JobSpec,
    /// Tasks to place, in order.
    pub tasks: &'a [u32],
    /// Minimum number of tasks that must be placed for the trial to succeed.
    pub min: usize,
    /// Number of the job's assigned tasks in each zone.
    pub zone_used: &'a [u32],
    /// Machines that must not be used, because the job's tasks failed on them.
    pub avoid: &'a [MachineIndex],
    /// Which capacity of a machine is available to the trial.
    pub capacity: CapacityKind,
    /// Which machines may be used.
    pub hosts: HostFilter,
}

impl<'a> TrialRequest<'a> {
    /// Creates a request to place as many tasks as fit after the tasks being stopped
    /// have exited, at least `min`.
    pub fn with_stopping_capacity(
        spec: &'a JobSpec,
        tasks: &'a [u32],
        min: usize,
        zone_used: &'a [u32],
    ) -> TrialRequest<'a> {
        TrialRequest {
            spec,
            tasks,
            min,
            zone_used,
            avoid: &[],
            capacity: CapacityKind::FreeOrStopping,
            hosts: HostFilter::Any,
        }
    }
}

/// The outcome of a trial.
#[derive(Debug, Clone, PartialEq)]
pub struct TrialResult {
    /// Result of the root.
    pub status: PlacementStatus,
    /// The placements found, one per task; empty unless the root succeeds.
    pub placements: Vec<TaskPlacement>,
}

#[cfg(test)]
#[path = "../../tests/trial.rs"]
mod tests;
