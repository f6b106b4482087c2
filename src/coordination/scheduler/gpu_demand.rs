//! GPU demand: the shapes of the GPU jobs seen in the last minutes.

use std::rc::Rc;

use crate::{
    coordination::{
        model::{Job, Millis, Resources},
        snapshot::Pool,
    },
    protocol::jobs::JobSpec,
};

/// More GPU jobs of a shape are expected for this long after one was last seen.
const RETENTION_MS: Millis = 900_000;
/// Maximum number of shapes kept, so that unusual jobs can't grow the list
/// without bound.
const SHAPE_LIMIT: usize = 32;

/// GPU jobs that request the same resources and machine types.
#[derive(Debug)]
pub struct GpuShape {
    /// One job of this shape.
    pub spec: Rc<JobSpec>,
    /// When an unfinished job of this shape last existed.
    last_seen: Millis,
    /// When the latest job of this shape became ready, in milliseconds on the
    /// monotonic clock; negative if that was before the clock's start.
    pub latest_arrival: i64,
}

/// The shapes of the GPU jobs seen recently.
#[derive(Debug, Default)]
pub struct GpuDemand {
    shapes: Vec<GpuShape>,
}

impl GpuDemand {
    /// Returns the shapes seen recently, each once.
    pub fn shapes(&self) -> &[GpuShape] {
        &self.shapes
    }

    /// Adds the shapes of the unfinished jobs, and drops shapes last seen longer
    /// than the retention time ago.
    pub fn observe<'a>(&mut self, now: Millis, jobs: impl Iterator<Item = &'a Job>) {
        self.shapes.retain(|shape| now < shape.last_seen + RETENTION_MS);
        for job in jobs.filter(|job| job.spec.gpus > 0.0) {
            self.observe_job(now, job);
        }
    }

    /// Sets on each pool of GPU machines how much of a machine's capacity the
    /// GPU jobs seen recently may need.
    pub fn reserve_gpu_capacity(&self, pools: &mut [Pool]) {
        for pool in pools {
            pool.reserved_for_gpu_tasks = if pool.capacity.gpus <= 0.0 { None } else { self.largest_need_in(pool) };
        }
    }

    /// Returns, for each resource, the largest amount that a task of the GPU jobs that
    /// can run in the pool requests; `None` if there are no such jobs.
    fn largest_need_in(&self, pool: &Pool) -> Option<Resources> {
        let may_use_pool = |shape: &&GpuShape| {
            shape.spec.allows_type(pool.machine_type)
                && (shape.spec.spot || !pool.spot)
                && Resources::of(&shape.spec).fits_in(&pool.capacity)
        };
        self.shapes.iter().filter(may_use_pool).map(|shape| Resources::of(&shape.spec)).reduce(Resources::max)
    }

    fn observe_job(&mut self, now: Millis, job: &Job) {
        let has_same_shape = |shape: &&mut GpuShape| {
            Resources::of(&shape.spec) == Resources::of(&job.spec) && shape.spec.types == job.spec.types
        };
        if let Some(shape) = self.shapes.iter_mut().find(has_same_shape) {
            shape.last_seen = now;
            shape.latest_arrival = shape.latest_arrival.max(job.wait.ready_since);
        } else if self.shapes.len() < SHAPE_LIMIT {
            self.shapes.push(GpuShape { spec: job.spec.clone(), last_seen: now, latest_arrival: job.wait.ready_since });
        }
    }
}
