//! Updates the cluster state with the records of an applied transaction.

use super::{in_flight::WrittenChunk, statistics::WriteStatistics};
use crate::{
    coordination::{
        cluster::ClusterState,
        model::{AssignmentState, Job, Millis},
    },
    protocol::{ids::Revision, jobs::JobKind},
    storage::job_cache::JobIndex,
};

/// Updates a chunk after its record was written; `revision` is the record's new revision.
pub fn chunk_applied(
    cluster: &mut ClusterState,
    statistics: &mut WriteStatistics,
    now: Millis,
    written: &WrittenChunk,
    revision: Revision,
) {
    let Some(job) = cluster.job_mut(written.job) else {
        tracing::debug!(job = written.job.0, "chunk record written for a job that has been removed");
        return;
    };
    let chunk = &mut job.records.chunks[written.chunk];
    if chunk.has_unwritten_placement() {
        statistics.placements += 1;
        statistics.placement_wait_ms += now.saturating_sub(job.statistics.last_assigned);
    } else {
        statistics.exits += 1;
    }
    chunk.committed_version = chunk.committed_version.max(written.version);
    chunk.revision = revision;
    job.records.unwritten_since = None;
    // No task of a gang is launched before the last of the gang's records is written, so
    // this write may allow the launch of all of them.
    let launchable =
        if job.spec.kind == JobKind::Gang { job.assignments() } else { job.assignments_of_chunk(written.chunk) };
    cluster.schedule_dispatch_for(now, launchable, |assignment| assignment.state == AssignmentState::Wanted);
}

/// Marks a job as completed; its record has `revision` now.
pub fn completion_applied(cluster: &mut ClusterState, now: Millis, index: JobIndex, revision: Revision) {
    if let Some(job) = cluster.job_mut(index) {
        job.records.revision = revision;
        log_completion(now, job);
    }
    cluster.complete_job(index);
}

fn log_completion(now: Millis, job: &Job) {
    let last_assigned_after_ms = job.statistics.last_assigned as i64 - job.wait.ready_since;
    tracing::info!(
        job = &*job.id,
        age_s = job.age_s(now),
        last_assigned_after_s = last_assigned_after_ms as f64 / 1000.0,
        tasks = job.spec.tasks,
        estimate_s = job.spec.estimate_s,
        priority = ?job.spec.priority,
        stopped_tasks = job.statistics.stop_count,
        lost_tasks = job.statistics.lost_count,
        "job completed"
    );
}
