//! Trial placement of one job on a snapshot of the machines.
//!
//! A job is a tree, as in the paper on gang scheduling: the root is the job, its
//! children are zones or tasks. Children are walked greedily in a fixed order,
//! without backtracking; after each child the node is judged by four counts
//! (PAPER, "`GangScheduling` Plugin Changes" and "Recursive Scheduling Cycle
//! Execution"). What a failed subtree assumed is forgotten in reverse order.

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
    /// There is capacity for all that it needs.
    Success,
    /// Children that were not tried yet may still make it succeed.
    Wait,
    /// It would succeed if tasks were preempted.
    Unschedulable,
    /// It can't succeed even then.
    Unresolvable,
}

impl PlacementStatus {
    /// The result of a node from the counts of its children: `needed` must be
    /// placed; `placed` are, `untried` may be, and `preemptable` would be if
    /// other tasks were preempted. Children that can't fit at all are in none
    /// of the counts.
    pub fn from_counts(needed: usize, placed: usize, untried: usize, preemptable: usize) -> PlacementStatus {
        if placed >= needed {
            PlacementStatus::Success
        } else if placed + untried >= needed {
            PlacementStatus::Wait
        } else if placed + untried + preemptable >= needed {
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
    /// Only machines that hold something, and that are not to become empty.
    BusyOnly,
}

/// What a job asks of a trial.
#[derive(Debug, Clone)]
pub struct TrialRequest<'a> {
    /// The job.
    pub spec: &'a JobSpec,
    /// Tasks to place, in order.
    pub tasks: &'a [u32],
    /// How many of them must be placed.
    pub min: usize,
    /// The job's assigned tasks, by zone.
    pub zone_used: &'a [u32],
    /// Machines on which its tasks failed.
    pub avoid: &'a [MachineIndex],
    /// Which capacity of a machine counts.
    pub capacity: CapacityKind,
    /// Which machines may be used.
    pub hosts: HostFilter,
}

impl<'a> TrialRequest<'a> {
    /// Asks for as many tasks as fit once the tasks being stopped are gone.
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

/// What a trial found.
#[derive(Debug, Clone, PartialEq)]
pub struct TrialResult {
    /// Result of the root.
    pub status: PlacementStatus,
    /// The machines found, one per task; empty unless the root succeeds.
    pub placements: Vec<TaskPlacement>,
}

#[cfg(test)]
#[path = "../../tests/trial.rs"]
mod tests;
