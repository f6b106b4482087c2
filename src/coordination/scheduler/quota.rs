//! Determines which waiting jobs are within their team's guaranteed quota.

use crate::{
    coordination::{
        cluster::ClusterState,
        model::{Job, Resources, TeamLimits, RESOURCE_TOLERANCE},
    },
    storage::{job_cache::JobIndex, records::JobStatus},
};

/// Marks the jobs that are within their team's guarantee: those that fit into
/// it together with their team's earlier unfinished jobs. If the guarantee sets no
/// amount of CPUs, only jobs that request GPUs can be within it.
pub fn mark_jobs_within_guarantee(cluster: &mut ClusterState) {
    let mut demand_by_team: Vec<Resources> = vec![Resources::default(); cluster.config().teams.len()];
    for index in pending_jobs_oldest_first(cluster) {
        let Some(team) = cluster.job(index).map(|job| job.spec.team) else { continue };
        let Some(team_demand) = demand_by_team.get_mut(team.as_usize()) else { continue };
        let limits = cluster.team_limits(team);
        let Some(job) = cluster.job_mut(index) else { continue };
        let unfinished = f64::from(job.spec.tasks - job.tasks.done.min(job.spec.tasks));
        *team_demand += Resources::of(&job.spec) * unfinished;
        job.within_guarantee = is_within_guarantee(job, &limits, team_demand);
    }
}

fn pending_jobs_oldest_first(cluster: &ClusterState) -> Vec<JobIndex> {
    let pending = cluster.active_jobs().filter(|job| job.status == JobStatus::Pending);
    let mut jobs: Vec<JobIndex> = pending.map(|job| job.index).collect();
    jobs.sort_unstable_by_key(|&index| (cluster.job(index).map(|job| job.wait.ready_since), index));
    jobs
}

/// Reports whether a team's demand up to and including this job is within its
/// guarantee.
fn is_within_guarantee(job: &Job, limits: &TeamLimits, team_demand: &Resources) -> bool {
    let cpus_fit = limits.cpus.is_none_or(|guaranteed| team_demand.cpus <= guaranteed + RESOURCE_TOLERANCE);
    let gpus_fit = match limits.gpus {
        Some(guaranteed) => team_demand.gpus <= guaranteed + RESOURCE_TOLERANCE,
        None => job.spec.gpus <= RESOURCE_TOLERANCE,
    };
    cpus_fit && gpus_fit && (job.spec.gpus > 0.0 || limits.cpus.is_some())
}
