//! State of a job's tasks.

use std::ops::Range;

use crate::{coordination::model::AssignmentIndex, protocol::names::ZoneIndex};

/// State of one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slot {
    /// Not assigned to any machine.
    Pending,
    /// Completed.
    Done,
    /// Assigned to a machine, whether or not it was launched there yet.
    Assigned(AssignmentIndex),
}

/// State of a job's tasks, and their counts.
#[derive(Debug)]
pub struct TaskTable {
    /// State of each task, by task number.
    pub slots: Vec<Slot>,
    /// Numbers of pending tasks in descending order: the next task to assign is the
    /// last one.
    pub pending: Vec<u32>,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of assigned tasks.
    pub placed: u32,
    /// Number of tasks that run now.
    pub running: u32,
    /// Number of assigned tasks of which it is not known whether they run: an earlier leader
    /// assigned them, and this leader has received no heartbeat of their workers yet.
    pub unconfirmed: u32,
    /// Number of assignments by zone index, if the job restricts zones.
    pub zone_used: Vec<u32>,
}

impl TaskTable {
    /// Creates the table of a job with `tasks` tasks, all of them pending.
    pub fn new(tasks: u32) -> TaskTable {
        TaskTable {
            slots: vec![Slot::Pending; tasks as usize],
            pending: (0..tasks).rev().collect(),
            done: 0,
            placed: 0,
            running: 0,
            unconfirmed: 0,
            zone_used: Vec::new(),
        }
    }

    /// Removes a newly assigned task from the pending ones.
    pub(super) fn remove_pending(&mut self, assigned: u32) {
        if self.pending.last() == Some(&assigned) {
            self.pending.pop();
        } else {
            self.pending.retain(|&task| task != assigned);
        }
    }

    /// Records that an assigned task completed.
    pub fn mark_done(&mut self, task: u32) {
        self.slots[task as usize] = Slot::Done;
        self.done += 1;
    }

    /// Makes an assigned task pending again. The pending task with the lowest number is
    /// still assigned next, so that tasks to be replaced are assigned first.
    pub fn mark_pending(&mut self, task: u32) {
        self.slots[task as usize] = Slot::Pending;
        let position = self.pending.partition_point(|&pending| pending > task);
        self.pending.insert(position, task);
    }

    /// Counts an assignment in its zone.
    pub(super) fn count_in_zone(&mut self, zone: ZoneIndex) {
        if self.zone_used.len() <= zone.as_usize() {
            self.zone_used.resize(zone.as_usize() + 1, 0);
        }
        self.zone_used[zone.as_usize()] += 1;
    }

    /// Returns all assignments, ordered by task number.
    pub fn assignments(&self) -> Vec<AssignmentIndex> {
        self.assignments_of(0..self.slots.len())
    }

    /// Returns the assignments of a range of tasks. The range may extend beyond the last
    /// task.
    pub fn assignments_of(&self, tasks: Range<usize>) -> Vec<AssignmentIndex> {
        let assigned = |slot: &Slot| match slot {
            Slot::Assigned(assignment) => Some(*assignment),
            Slot::Pending | Slot::Done => None,
        };
        self.slots[tasks.start..tasks.end.min(self.slots.len())].iter().filter_map(assigned).collect()
    }
}
