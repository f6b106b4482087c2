//! Shapes of tasks that a scheduling cycle found infeasible.

use std::rc::Rc;

use crate::protocol::jobs::{JobKind, JobSpec};

/// Shapes for which a scheduling cycle found no capacity at all. Free capacity
/// only shrinks within a cycle, so tasks that are at least as hard to place are
/// not tried again.
#[derive(Default)]
pub struct InfeasibleShapes {
    /// Shapes that don't fit now.
    now: Vec<Rc<JobSpec>>,
    /// Shapes that don't fit even after the tasks being stopped have exited.
    after_stops: Vec<Rc<JobSpec>>,
}

impl InfeasibleShapes {
    /// Reports whether tasks of this shape can't fit now.
    pub fn is_infeasible_now(&self, spec: &JobSpec) -> bool {
        self.now.iter().any(|failed| is_at_least_as_hard(spec, failed))
    }

    /// Reports whether tasks of this shape can't fit even after the tasks being
    /// stopped have exited.
    pub fn is_infeasible_after_stops(&self, spec: &JobSpec) -> bool {
        self.after_stops.iter().any(|failed| is_at_least_as_hard(spec, failed))
    }

    /// Records a shape that doesn't fit now.
    pub fn add_infeasible_now(&mut self, spec: Rc<JobSpec>) {
        self.now.push(spec);
    }

    /// Records a shape that doesn't fit even after the tasks being stopped have
    /// exited.
    pub fn add_infeasible_after_stops(&mut self, spec: Rc<JobSpec>) {
        self.after_stops.push(spec);
    }
}

/// Reports whether `spec` can't fit where `failed` didn't.
fn is_at_least_as_hard(spec: &JobSpec, failed: &JobSpec) -> bool {
    let needs_as_many_at_once =
        failed.kind != JobKind::Gang || (spec.kind == JobKind::Gang && spec.tasks >= failed.tasks);
    needs_as_many_at_once
        && spec.cpus >= failed.cpus
        && spec.gpus >= failed.gpus
        && spec.memory_gb >= failed.memory_gb
        && spec.types == failed.types
        && spec.zone == failed.zone
        && (failed.spot || !spec.spot)
        && spec.one_zone >= failed.one_zone
        && spec.spread == failed.spread
}
