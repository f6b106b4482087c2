//! Trial placement of one job's tree on a snapshot of the machines.
//!
//! Children are walked greedily in a fixed order, without backtracking; after
//! each child the node is judged by the four counts (PAPER, "GangScheduling
//! Plugin Changes" and "Recursive Scheduling Cycle Execution"). What a failed
//! subtree assumed is taken back in reverse order.

use std::cmp::Reverse;

use crate::{
    coordination::{
        model::{MachineIndex, Resources},
        snapshot::{ClusterSnapshot, Host, Pool, RoomKind},
    },
    protocol::{
        jobs::{JobSpec, Kind},
        names::ZoneIndex,
    },
};

/// Longest image fetch, in seconds, that counts against a machine: beyond it,
/// how long the fetch takes makes no difference.
const LONGEST_FETCH_S: f64 = 60.0;
/// Slowest fetch rate assumed, so that a type without one divides by no zero.
pub const SLOWEST_FETCH_GB_PER_S: f64 = 0.01;
/// Seconds that a machine whose image is there gains beyond the fetch it saves.
const IMAGE_BONUS_S: f64 = 1.0;
/// Seconds held against CPU work on a machine with GPUs: they would stand idle.
pub const IDLE_GPU_PENALTY_S: f64 = 90.0;
/// Seconds that an exact fit gains over an empty machine.
const BEST_FIT_BONUS_S: f64 = 3.0;
/// Seconds held against a replica per replica that is on the machine already.
const SHARED_MACHINE_PENALTY_S: f64 = 2.0;
/// Seconds held against a task that can't save on a spot machine.
const SPOT_LOSS_PENALTY_S: f64 = 2.0;
/// Weight of one more task placed against all that [`score`] counts.
const TASK_WEIGHT: f64 = 1e6;
/// Tasks of one shape that a pool's room is counted up to.
const ROOM_COUNT_LIMIT: u32 = 1_000_000;

/// Result of a node of the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It has room for all that it needs.
    Success,
    /// Children that were not tried yet may still make it succeed.
    Wait,
    /// It would succeed if tasks were preempted.
    Unschedulable,
    /// It can't succeed even then.
    Unresolvable,
}

/// The four results, from the counts of a node's children. Those that can't
/// fit at all are in none of the counts.
pub fn judge(needed: usize, placed: usize, untried: usize, freeable: usize) -> Verdict {
    if placed >= needed {
        Verdict::Success
    } else if placed + untried >= needed {
        Verdict::Wait
    } else if placed + untried + freeable >= needed {
        Verdict::Unschedulable
    } else {
        Verdict::Unresolvable
    }
}

/// A machine found for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// Number of the task within its job.
    pub task: u32,
    /// Index of the machine in the snapshot.
    pub host: usize,
}

/// Which machines a trial may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostFilter {
    /// All machines that take new tasks.
    Any,
    /// Only machines that hold something, and that are not to become empty.
    BusyOnly,
}

/// What a job asks of a trial.
#[derive(Debug, Clone)]
pub struct TrialRequest<'a> {
    /// The job.
    pub spec: &'a JobSpec,
    /// Tasks to place, in order.
    pub tasks: &'a [u32],
    /// How many of them must be placed.
    pub min: usize,
    /// The job's tasks that are somewhere, by zone.
    pub zone_used: &'a [u32],
    /// Machines on which its tasks failed.
    pub avoid: &'a [MachineIndex],
    /// Which room of a machine counts.
    pub room: RoomKind,
    /// Which machines may be used.
    pub hosts: HostFilter,
}

impl<'a> TrialRequest<'a> {
    /// Room for as many tasks as possible once what is being stopped is gone.
    pub fn later(spec: &'a JobSpec, tasks: &'a [u32], min: usize, zone_used: &'a [u32]) -> TrialRequest<'a> {
        TrialRequest { spec, tasks, min, zone_used, avoid: &[], room: RoomKind::FreeOrStopping, hosts: HostFilter::Any }
    }
}

/// What a trial found.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Result of the root.
    pub verdict: Verdict,
    /// The machines found, one per task; empty unless the root has room.
    pub picks: Vec<Pick>,
}

/// Score of a machine for one task: the seconds that a start there is worth
/// against a start elsewhere.
pub fn score(pool: &Pool, host: &Host, spec: &JobSpec, need: &Resources) -> f64 {
    let mut score = 0.0;
    let fetch_s = (spec.image_gb / pool.fetch_gb_per_s.max(SLOWEST_FETCH_GB_PER_S)).min(LONGEST_FETCH_S);
    score += if host.has_image(spec.image) { fetch_s + IMAGE_BONUS_S } else { -fetch_s };
    if need.gpus <= 0.0 && pool.capacity.gpus > 0.0 {
        score -= IDLE_GPU_PENALTY_S;
    }
    // Best fit: leave whole machines whole.
    if pool.capacity.cpus > 0.0 {
        score += BEST_FIT_BONUS_S * (1.0 - (host.free.cpus - need.cpus).max(0.0) / pool.capacity.cpus);
    }
    if spec.kind == Kind::Service {
        score -= SHARED_MACHINE_PENALTY_S * f64::from(host.services);
    }
    if pool.spot && spec.checkpoint_s <= 0.0 {
        score -= SPOT_LOSS_PENALTY_S;
    }
    score
}

/// The best machine found so far.
#[derive(Clone, Copy)]
struct ScoredHost {
    score: f64,
    host: usize,
}

/// The best zone found so far.
struct ScoredOutcome {
    score: f64,
    outcome: Outcome,
}

/// A zone and how many tasks of one shape it has room for.
struct ZoneRoom {
    zone: ZoneIndex,
    tasks: u32,
}

impl ClusterSnapshot {
    fn best_host(&mut self, request: &TrialRequest<'_>, zone: Option<ZoneIndex>) -> Option<usize> {
        let need = Resources::of(request.spec);
        let mut best: Option<ScoredHost> = None;
        let looked = self.candidates(request.spec, zone, request.room, |host_index, host, pool| {
            let is_avoided = request.avoid.contains(&MachineIndex(host_index as u32));
            let is_empty = host.assignments == 0 || host.gpu_only;
            if is_avoided || (request.hosts == HostFilter::BusyOnly && is_empty) {
                return;
            }
            let score = score(pool, host, request.spec, &need);
            if best.is_none_or(|best| score > best.score) {
                best = Some(ScoredHost { score, host: host_index });
            }
        });
        self.looked += looked;
        best.map(|best| best.host)
    }

    /// Whether the machine that the job's last task took takes one more of them.
    fn takes_another(&self, request: &TrialRequest<'_>, host_index: usize) -> bool {
        let host = &self.hosts[host_index];
        request.spec.kind != Kind::Service
            && Resources::of(request.spec).fits_in(&host.room(request.room))
            && host.pool.is_some_and(|pool| self.pools[pool].host_allows(host, request.spec))
    }

    fn revert_all(&mut self, spec: &JobSpec, picks: &[Pick]) {
        for pick in picks.iter().rev() {
            self.revert(pick.host, spec);
        }
    }

    /// A leaf: its children are tasks, alike, so that the first that finds no
    /// room speaks for the rest, and a machine that was best for one takes as
    /// many as fit. None of its children is beyond hope: evictions may make
    /// room for each. On success the picks stay assumed.
    fn try_leaf(&mut self, request: &TrialRequest<'_>, tasks: &[u32], min: usize, zone: Option<ZoneIndex>) -> Outcome {
        let mut picks: Vec<Pick> = Vec::new();
        let mut freeable = 0;
        for (position, &task) in tasks.iter().enumerate() {
            let same = picks.last().map(|pick| pick.host).filter(|&host| self.takes_another(request, host));
            match same.or_else(|| self.best_host(request, zone)) {
                Some(host) => {
                    self.assume(host, request.spec);
                    picks.push(Pick { task, host });
                }
                None => {
                    freeable = tasks.len() - position;
                    break;
                }
            }
        }
        self.judge_picks(request.spec, picks, min, freeable)
    }

    /// Judges a node by what was placed; what a failed one assumed is taken back.
    fn judge_picks(&mut self, spec: &JobSpec, mut picks: Vec<Pick>, min: usize, freeable: usize) -> Outcome {
        let verdict = judge(min, picks.len(), 0, freeable);
        if verdict != Verdict::Success {
            self.revert_all(spec, &picks);
            picks.clear();
        }
        Outcome { verdict, picks }
    }

    /// Zones with machines that the job may use, those with the most room first.
    fn zones_by_room(&self, request: &TrialRequest<'_>) -> Vec<ZoneIndex> {
        let need = Resources::of(request.spec);
        let mut zones: Vec<ZoneRoom> = Vec::new();
        for pool in self.pools.iter().filter(|pool| !pool.members.is_empty() && pool.allows(request.spec)) {
            let tasks = need.times_in(&pool.room).min(ROOM_COUNT_LIMIT);
            match zones.iter_mut().find(|known| known.zone == pool.zone) {
                Some(known) => known.tasks += tasks,
                None => zones.push(ZoneRoom { zone: pool.zone, tasks }),
            }
        }
        zones.sort_by_key(|room| (Reverse(room.tasks), room.zone));
        zones.into_iter().map(|room| room.zone).collect()
    }

    /// Tries the whole tree, and leaves the snapshot as it was: the caller turns
    /// what was found into assignments, or reserves it.
    pub fn trial(&mut self, request: &TrialRequest<'_>) -> Outcome {
        let outcome = if request.spec.one_zone {
            self.try_one_zone(request)
        } else if request.spec.spread {
            self.try_spread(request)
        } else {
            self.try_leaf(request, request.tasks, request.min, None)
        };
        self.revert_all(request.spec, &outcome.picks);
        outcome
    }

    /// One composite child per candidate zone; the feasible one with the
    /// highest score wins. Score: tasks placed, then quick starts and the room left.
    fn try_one_zone(&mut self, request: &TrialRequest<'_>) -> Outcome {
        let used_zone = request.zone_used.iter().position(|&tasks| tasks > 0).map(|zone| ZoneIndex(zone as u32));
        let candidates = match used_zone {
            Some(zone) => vec![zone],
            None => self.zones_by_room(request),
        };
        let used = used_zone.map_or(0, |zone| request.zone_used[zone.at()] as usize);
        let limit = (request.spec.zone_cap() as usize).saturating_sub(used);
        let tasks = &request.tasks[..request.tasks.len().min(limit)];
        let mut best: Option<ScoredOutcome> = None;
        let mut verdict = Verdict::Unschedulable;
        for zone in candidates {
            let outcome = self.try_leaf(request, tasks, request.min, Some(zone));
            if outcome.verdict != Verdict::Success {
                verdict = outcome.verdict;
                continue;
            }
            let score = self.score_of_zone(request.spec, &outcome.picks);
            self.revert_all(request.spec, &outcome.picks);
            if best.as_ref().is_none_or(|best| score > best.score) {
                best = Some(ScoredOutcome { score, outcome });
            }
        }
        let Some(ScoredOutcome { outcome, .. }) = best else {
            return Outcome { verdict, picks: Vec::new() };
        };
        for pick in &outcome.picks {
            self.assume(pick.host, request.spec);
        }
        outcome
    }

    fn score_of_zone(&self, spec: &JobSpec, picks: &[Pick]) -> f64 {
        let need = Resources::of(spec);
        let score_of_pick = |pick: &Pick| {
            let host = &self.hosts[pick.host];
            host.pool.map_or(0.0, |pool| score(&self.pools[pool], host, spec, &need))
        };
        let sum: f64 = picks.iter().map(score_of_pick).sum();
        picks.len() as f64 * TASK_WEIGHT + sum / picks.len().max(1) as f64
    }

    /// One child per zone, the one with the most room first; each takes at most
    /// what the spread rule allows in a zone.
    fn try_spread(&mut self, request: &TrialRequest<'_>) -> Outcome {
        let zone_cap = request.spec.zone_cap();
        let zones = self.zones_by_room(request);
        let limits: Vec<usize> = zones
            .iter()
            .map(|zone| zone_cap.saturating_sub(request.zone_used.get(zone.at()).copied().unwrap_or(0)) as usize)
            .collect();
        let all_or_nothing = request.min == request.tasks.len();
        let mut picks: Vec<Pick> = Vec::new();
        let mut rest = request.tasks;
        let mut freeable = 0;
        for (position, zone) in zones.iter().enumerate() {
            let part = &rest[..rest.len().min(limits[position])];
            if part.is_empty() {
                continue;
            }
            // What later zones can't take must be placed here.
            let later: usize = limits[position + 1..].iter().sum();
            let min = if all_or_nothing { rest.len().saturating_sub(later).min(part.len()) } else { 1 };
            let outcome = self.try_leaf(request, part, min, Some(*zone));
            if outcome.verdict != Verdict::Success {
                freeable += part.len();
                continue;
            }
            // What found no room here moves on to the next zone.
            rest = &rest[outcome.picks.len()..];
            picks.extend(outcome.picks);
        }
        self.judge_picks(request.spec, picks, request.min, freeable.max(rest.len()))
    }
}

#[cfg(test)]
#[path = "../tests/trial.rs"]
mod tests;
