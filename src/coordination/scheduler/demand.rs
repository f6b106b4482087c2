//! What a scheduling cycle notes of the demand before it begins: guarantees and GPU work.

use crate::{
    coordination::{
        leader::Leader,
        model::{Job, Millis, Resources, TeamLimits, RESOURCE_TOLERANCE},
    },
    storage::{job_cache::JobIndex, records::JobStatus},
};

impl Leader {
    /// Marks the jobs that are within their team's guarantee: those that fit
    /// into it together with their team's earlier unfinished jobs. Where no
    /// amount is set for CPUs, only work that asks for GPUs can be within it.
    pub fn note_guarantees(&mut self) {
        let mut oldest_first: Vec<JobIndex> =
            self.cluster.active_jobs().filter(|job| job.status == JobStatus::Pending).map(|job| job.index).collect();
        oldest_first.sort_unstable_by_key(|&index| (self.cluster.job(index).map(|job| job.wait.since), index));
        let mut demand_by_team: Vec<Resources> = vec![Resources::default(); self.cluster.config.teams.len()];
        for index in oldest_first {
            let Some(job) = self.cluster.jobs.get_mut(index) else { continue };
            let team = job.spec.team.at();
            let Some(team_demand) = demand_by_team.get_mut(team) else { continue };
            let limits = self.cluster.config.teams.get(team).copied().unwrap_or_default();
            let unfinished = f64::from(job.spec.tasks - job.tasks.done.min(job.spec.tasks));
            *team_demand += Resources::of(&job.spec) * unfinished;
            job.within_guarantee = is_within_guarantee(job, &limits, team_demand);
        }
    }

    /// Notes what GPU work of the last minutes asked for, and what of it each
    /// pool's machines could run.
    pub fn note_gpu_demand(&mut self, now: Millis) {
        let jobs = self.cluster.jobs.iter();
        self.scheduler.gpu_demand.observe(now, jobs);
        for pool in &mut self.cluster.snapshot.pools {
            pool.guard = None;
            if pool.capacity.gpus <= 0.0 {
                continue;
            }
            for shape in self.scheduler.gpu_demand.shapes() {
                let need = Resources::of(&shape.spec);
                let may_use_pool = shape.spec.spot || !pool.spot;
                if shape.spec.allows_type(pool.machine_type) && may_use_pool && need.fits_in(&pool.capacity) {
                    pool.guard = Some(pool.guard.map_or(need, |guard| guard.max(need)));
                }
            }
        }
    }
}

/// Whether a team's demand up to and including this job is within its guarantee.
fn is_within_guarantee(job: &Job, limits: &TeamLimits, team_demand: &Resources) -> bool {
    let cpus_fit = limits.cpus.is_none_or(|guaranteed| team_demand.cpus <= guaranteed + RESOURCE_TOLERANCE);
    let gpus_fit = match limits.gpus {
        Some(guaranteed) => team_demand.gpus <= guaranteed + RESOURCE_TOLERANCE,
        None => job.spec.gpus <= RESOURCE_TOLERANCE,
    };
    cpus_fit && gpus_fit && (job.spec.gpus > 0.0 || limits.cpus.is_some())
}
