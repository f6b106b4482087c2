//! What GPU work of the last minutes asked for.

use std::rc::Rc;

use crate::{
    coordination::model::{Job, Millis, Resources},
    protocol::jobs::JobSpec,
};

/// GPU work is expected again for this long after it was last there.
const REMEMBERED_MS: Millis = 900_000;
/// Most shapes remembered, so that odd jobs can't grow the list without bound.
const SHAPE_LIMIT: usize = 32;

/// One shape of GPU work.
#[derive(Debug)]
pub struct GpuShape {
    pub spec: Rc<JobSpec>,
    /// When an unfinished job of this shape was last there.
    last_seen: Millis,
    /// When the latest job of this shape became ready.
    pub latest_arrival: i64,
}

/// Each shape of GPU work seen lately, once.
#[derive(Debug, Default)]
pub struct GpuDemand {
    shapes: Vec<GpuShape>,
}

impl GpuDemand {
    /// The shapes seen lately.
    pub fn shapes(&self) -> &[GpuShape] {
        &self.shapes
    }

    /// Takes in the unfinished jobs of this moment.
    pub fn observe<'a>(&mut self, now: Millis, jobs: impl Iterator<Item = &'a Job>) {
        self.shapes.retain(|shape| now < shape.last_seen + REMEMBERED_MS);
        for job in jobs.filter(|job| job.spec.gpus > 0.0) {
            self.observe_job(now, job);
        }
    }

    fn observe_job(&mut self, now: Millis, job: &Job) {
        let is_same = |shape: &&mut GpuShape| {
            Resources::of(&shape.spec) == Resources::of(&job.spec) && shape.spec.types == job.spec.types
        };
        if let Some(shape) = self.shapes.iter_mut().find(is_same) {
            shape.last_seen = now;
            shape.latest_arrival = shape.latest_arrival.max(job.wait.since);
        } else if self.shapes.len() < SHAPE_LIMIT {
            self.shapes.push(GpuShape { spec: job.spec.clone(), last_seen: now, latest_arrival: job.wait.since });
        }
    }
}
