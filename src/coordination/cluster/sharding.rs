//! Splits the tasks of a job into chunks, each with its own record. Resharding
//! changes the number of tasks per chunk.

use super::ClusterState;
use crate::{
    coordination::model::{Chunk, ExitRecord, Job, Slot},
    protocol::{ids::Revision, workers::split_task},
    storage::job_cache::JobIndex,
};

/// State of a job that is being resharded, at the time when the transaction was
/// built.
#[derive(Debug)]
pub(in crate::coordination) struct ReshardPlan {
    pub job: JobIndex,
    /// State of each task, by task number.
    pub slots: Vec<Slot>,
    /// Versions of the old chunks.
    pub versions: Vec<u64>,
    /// Numbers of the new chunks for which a record is written.
    pub written_chunks: Vec<usize>,
}

/// A resharding that was applied, and the revision of the new records.
pub(in crate::coordination) struct AppliedPlan<'a> {
    pub plan: &'a ReshardPlan,
    pub revision: Revision,
}

impl ClusterState {
    /// Reshards a job if the chunk size in its record differs from the one in use here,
    /// as happens if a resharding transaction was applied but its response was not
    /// received. All chunks are written again with the recorded size.
    pub(in crate::coordination) fn adopt_recorded_sharding(&mut self, index: JobIndex) {
        let Some(job) = self.job(index) else { return };
        if job.records.recorded_chunk_size != job.records.chunk_size && !job.records.resharding {
            self.apply_sharding(index, job.records.recorded_chunk_size, None);
        }
    }

    /// Splits a job's tasks into chunks of `size` tasks. `applied`: the resharding
    /// that wrote the new chunks; `None`: all of them are considered unwritten.
    pub(in crate::coordination) fn apply_sharding(
        &mut self,
        index: JobIndex,
        size: u32,
        applied: Option<AppliedPlan<'_>>,
    ) {
        let Some(job) = self.jobs.get_mut(index) else { return };
        replace_chunks(job, size, applied.as_ref());
        match &applied {
            Some(applied) => mark_changed_since(job, applied.plan),
            None => mark_all_unwritten(job),
        }
        for assignment_index in job.assignments() {
            if let Some(assignment) = self.assignments.get_mut(assignment_index) {
                assignment.chunk_version = 1;
            }
        }
        self.renumber_unreaped_exits(index, applied.as_ref());
    }

    /// Updates the chunk and version that each unreaped exit of a job waits for.
    /// Otherwise, after resharding, an exit could be reaped before it is written.
    fn renumber_unreaped_exits(&mut self, index: JobIndex, applied: Option<&AppliedPlan<'_>>) {
        let Some(job) = self.jobs.get(index) else { return };
        let exits = self.machines.iter_mut().flat_map(|machine| &mut machine.commands.pending_reaps);
        for exit in exits.filter(|exit| exit.job == index) {
            let ExitRecord::WrittenWith { chunk: old_chunk, version: old_version } = exit.record else { continue };
            let Some((_, task)) = split_task(&exit.task) else { continue };
            let is_written =
                applied.is_some_and(|applied| applied.plan.versions.get(old_chunk).is_some_and(|v| old_version <= *v));
            let chunk = job.chunk_of(task);
            let current = job.records.chunks.get(chunk).map_or(0, |chunk| chunk.version);
            let version = if is_written { current.min(1) } else { current };
            exit.record = ExitRecord::WrittenWith { chunk, version };
        }
    }
}

/// Replaces a job's chunks by new ones of `size` tasks. `applied`: the
/// resharding that wrote the new chunks.
fn replace_chunks(job: &mut Job, size: u32, applied: Option<&AppliedPlan<'_>>) {
    job.records.oversized_record = None;
    job.records.resharding = false;
    job.records.chunk_size = size.max(1);
    let chunk_count = job.spec.tasks.div_ceil(job.records.chunk_size) as usize;
    let version = u64::from(applied.is_some());
    job.records.chunks = vec![Chunk { version, committed_version: version, ..Chunk::default() }; chunk_count];
    if let Some(AppliedPlan { plan, revision }) = applied {
        for &chunk in &plan.written_chunks {
            job.records.chunks[chunk].revision = *revision;
        }
    }
}

/// Marks the chunks of the tasks that changed while the transaction was in flight as
/// changed, because it did not write those changes.
fn mark_changed_since(job: &mut Job, plan: &ReshardPlan) {
    for task in 0..job.spec.tasks {
        if plan.slots[task as usize] != job.tasks.slots[task as usize] {
            job.mark_task_changed(task);
        }
    }
}

/// Marks every chunk with an assigned or completed task as unwritten.
fn mark_all_unwritten(job: &mut Job) {
    for task in 0..job.spec.tasks {
        if job.tasks.slots[task as usize] != Slot::Pending {
            let chunk = job.chunk_of(task);
            job.records.chunks[chunk].version = 1;
            job.records.chunks[chunk].placement_version = 1;
        }
    }
}
