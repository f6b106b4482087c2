//! Where the tasks of a job stand.

use std::ops::Range;

use crate::{coordination::model::AssignmentIndex, protocol::names::ZoneIndex};

/// Where one task of a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slot {
    /// Not assigned to any machine.
    Pending,
    /// Completed.
    Done,
    /// On a machine, or on its way there.
    Assigned(AssignmentIndex),
}

/// Where the tasks of a job stand.
#[derive(Debug)]
pub struct TaskTable {
    /// Where each task stands, by task number.
    pub slots: Vec<Slot>,
    /// Pending task numbers, the next one last.
    pub pending: Vec<u32>,
    /// Tasks that completed.
    pub done: u32,
    /// Tasks that have an assignment.
    pub placed: u32,
    /// Tasks that run now.
    pub running: u32,
    /// Its assignments by zone, if it restricts zones.
    pub zone_used: Vec<u32>,
}

impl TaskTable {
    /// Tasks of which none is assigned yet.
    pub fn new(tasks: u32) -> TaskTable {
        TaskTable {
            slots: vec![Slot::Pending; tasks as usize],
            pending: (0..tasks).rev().collect(),
            done: 0,
            placed: 0,
            running: 0,
            zone_used: Vec::new(),
        }
    }

    /// A task is assigned: it is no longer pending.
    pub(super) fn remove_pending(&mut self, assigned: u32) {
        if self.pending.last() == Some(&assigned) {
            self.pending.pop();
        } else {
            self.pending.retain(|&task| task != assigned);
        }
    }

    /// An assigned task completed.
    pub fn mark_done(&mut self, task: u32) {
        self.slots[task as usize] = Slot::Done;
        self.done += 1;
    }

    /// An assigned task is pending again. The lowest number stays next, so that
    /// replacements come first.
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

    /// All assignments, in the order of their tasks.
    pub fn assignments(&self) -> Vec<AssignmentIndex> {
        self.assignments_of(0..self.slots.len())
    }

    /// The assignments of a range of tasks, which may reach beyond the last one.
    pub fn assignments_of(&self, tasks: Range<usize>) -> Vec<AssignmentIndex> {
        let assigned = |slot: &Slot| match slot {
            Slot::Assigned(assignment) => Some(*assignment),
            Slot::Pending | Slot::Done => None,
        };
        self.slots[tasks.start..tasks.end.min(self.slots.len())].iter().filter_map(assigned).collect()
    }
}
