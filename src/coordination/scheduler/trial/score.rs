//! Scores of machines and zones for a job's tasks.

use crate::{
    coordination::{
        model::Resources,
        snapshot::{Host, Pool},
    },
    protocol::jobs::{JobKind, JobSpec},
};

/// Longest image fetch, in seconds, that is taken into account: beyond it, how
/// long the fetch takes makes no difference.
const LONGEST_FETCH_S: f64 = 60.0;
/// Slowest fetch rate assumed, in GB per second, so that a type without one
/// doesn't lead to a division by zero.
pub const SLOWEST_FETCH_GB_PER_S: f64 = 0.01;
/// Bonus, in seconds, for a machine with a cached image, in addition to the fetch
/// time saved.
const CACHED_IMAGE_BONUS_S: f64 = 1.0;
/// Penalty, in seconds, for a CPU task on a machine with GPUs, which would stand idle.
pub const IDLE_GPU_PENALTY_S: f64 = 90.0;
/// Bonus, in seconds, for a machine on which the task leaves no CPU free; it falls in
/// proportion to the share of the machine's CPUs that stay free.
const BEST_FIT_BONUS_S: f64 = 3.0;
/// Penalty, in seconds, for a service replica per replica already on the machine.
const SHARED_MACHINE_PENALTY_S: f64 = 2.0;
/// Penalty, in seconds, for a task without checkpoints on a spot machine.
const SPOT_LOSS_PENALTY_S: f64 = 2.0;
/// Weight of one more placed task; outweighs any [`host_score`].
const TASK_WEIGHT: f64 = 1e6;

/// Returns the score of a machine for one task, in seconds. The machine with the highest
/// score is preferred; the difference between two scores says by how much.
pub fn host_score(pool: &Pool, host: &Host, spec: &JobSpec) -> f64 {
    let need = Resources::of(spec);
    let mut score = 0.0;
    let fetch_s = (spec.image_gb / pool.fetch_gb_per_s.max(SLOWEST_FETCH_GB_PER_S)).min(LONGEST_FETCH_S);
    score += if host.has_image(spec.image) { fetch_s + CACHED_IMAGE_BONUS_S } else { -fetch_s };
    if need.gpus <= 0.0 && pool.capacity.gpus > 0.0 {
        score -= IDLE_GPU_PENALTY_S;
    }
    // Best fit: keeps whole machines free.
    if pool.capacity.cpus > 0.0 {
        score += BEST_FIT_BONUS_S * (1.0 - (host.free.cpus - need.cpus).max(0.0) / pool.capacity.cpus);
    }
    if spec.kind == JobKind::Service {
        score -= SHARED_MACHINE_PENALTY_S * f64::from(host.services);
    }
    if pool.spot && spec.checkpoint_s <= 0.0 {
        score -= SPOT_LOSS_PENALTY_S;
    }
    score
}

/// Returns the score of a zone from the scores of the machines found there for the
/// tasks. The zone with more placed tasks has the higher score; for equal numbers of
/// tasks, the zone with the higher average score of the machines.
pub fn zone_score(host_scores: impl ExactSizeIterator<Item = f64>) -> f64 {
    let tasks = host_scores.len();
    let sum: f64 = host_scores.sum();
    tasks as f64 * TASK_WEIGHT + sum / tasks.max(1) as f64
}
