//! The scheduler: decides which waiting tasks run on which machines.
//!
//! [`Scheduler`] runs scheduling cycles over the [`ClusterState`]. Each cycle
//! walks the waiting jobs in queue order, tries to place every job on the
//! [`ClusterSnapshot`](super::snapshot::ClusterSnapshot), turns the placements
//! found into assignments, and preempts other tasks where that is allowed.

mod best_effort;
mod cycle;
pub mod gpu_demand;
pub mod headroom;
mod infeasible;
mod preemption;
mod queue;
mod quota;
mod task_selection;
pub mod trial;

use self::{cycle::SchedulingCycle, gpu_demand::GpuDemand, preemption::SampleCursor};
use super::{cluster::ClusterState, model::Millis};

/// The scheduler's state that lasts from one cycle to the next.
#[derive(Debug, Default)]
pub struct Scheduler {
    last_cycle: Millis,
    gpu_demand: GpuDemand,
    preemption_samples: SampleCursor,
}

impl Scheduler {
    /// Returns the GPU demand seen recently.
    pub fn gpu_demand(&self) -> &GpuDemand {
        &self.gpu_demand
    }

    /// Reports whether a scheduling cycle is due: one is needed and the last began
    /// at least `min_gap_ms` ago, or the last began at least `max_gap_ms` ago.
    pub fn is_cycle_due(&self, now: Millis, cycle_needed: bool, min_gap_ms: Millis, max_gap_ms: Millis) -> bool {
        let gap_ms = now.saturating_sub(self.last_cycle);
        (cycle_needed && gap_ms >= min_gap_ms) || gap_ms >= max_gap_ms
    }

    /// Runs one scheduling cycle, which tries to place every waiting job.
    pub fn run_cycle(&mut self, cluster: &mut ClusterState, now: Millis) {
        cluster.clear_cycle_request();
        self.last_cycle = now;
        quota::mark_jobs_within_guarantee(cluster);
        let queue = queue::scheduling_order(cluster, now);
        if queue.is_empty() {
            cluster.set_unmet_demand(Vec::new());
            return;
        }
        self.gpu_demand.observe(now, cluster.active_jobs());
        self.gpu_demand.reserve_gpu_capacity(&mut cluster.snapshot_mut().pools);
        let mut cycle = SchedulingCycle::new(cluster, &mut self.preemption_samples, now);
        for job in queue {
            cycle.schedule_job(job);
        }
        cycle.finish();
    }
}
