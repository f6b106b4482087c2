//! Chunks that are too large to be written.

use super::transaction_builder::OversizedChunk;
use crate::coordination::{
    cluster::{ClusterState, ReleaseReason},
    model::Millis,
};

/// Time, in ms, for which a chunk that is too large to be written is left out.
const OVERSIZED_RETRY_MS: Millis = 2_000;

/// Shrinks a chunk that is too large to be written, by releasing its assignments that are
/// not written yet. Tasks that don't fit into the chunk's record wait until some of the
/// chunk's other tasks have exited.
pub fn shrink_chunk(cluster: &mut ClusterState, now: Millis, oversized: OversizedChunk) {
    let Some(job) = cluster.job_mut(oversized.job) else { return };
    let retry_at = now + OVERSIZED_RETRY_MS;
    job.records.chunks[oversized.chunk].retry_at = retry_at;
    job.wait.not_before = job.wait.not_before.max(retry_at);
    let committed_version = job.records.chunks[oversized.chunk].committed_version;
    for assignment_index in job.assignments_of_chunk(oversized.chunk) {
        let is_unwritten = cluster
            .assignment(assignment_index)
            .is_some_and(|assignment| assignment.chunk_version > committed_version && assignment.never_launched());
        if is_unwritten {
            cluster.release_assignment(assignment_index, ReleaseReason::Unfinished);
        }
    }
}
