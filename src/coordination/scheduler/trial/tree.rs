//! The greedy search over a job's tree of zones and tasks.

use std::cmp::Reverse;

use super::{
    score::{host_score, zone_score},
    HostFilter, PlacementStatus, TaskPlacement, TrialRequest, TrialResult,
};
use crate::{
    coordination::{
        model::{MachineIndex, Resources},
        snapshot::{ClusterSnapshot, Host},
    },
    protocol::{jobs::JobKind, names::ZoneIndex},
};

/// Maximum number of tasks of one shape counted as fitting in one pool.
const TASK_COUNT_LIMIT: u32 = 1_000_000;

impl ClusterSnapshot {
    /// Tries to place a job's whole tree, and leaves the snapshot as it was: the
    /// caller turns the placements found into assignments, or reserves capacity for
    /// them.
    pub fn trial(&mut self, request: &TrialRequest<'_>) -> TrialResult {
        let mut trial = Trial { snapshot: self, request };
        let outcome = trial.try_root();
        trial.remove_assumed(&outcome.placements);
        outcome
    }
}

/// A trial in progress.
struct Trial<'a> {
    snapshot: &'a mut ClusterSnapshot,
    request: &'a TrialRequest<'a>,
}

/// A machine and its score.
#[derive(Clone, Copy)]
struct ScoredHost {
    score: f64,
    host: usize,
}

/// The result of a trial in one zone, and its score.
struct ScoredOutcome {
    score: f64,
    outcome: TrialResult,
}

/// A zone and how many tasks of the job fit there.
struct ZoneCapacity {
    zone: ZoneIndex,
    tasks: u32,
}

impl Trial<'_> {
    fn try_root(&mut self) -> TrialResult {
        if self.request.spec.one_zone {
            self.try_one_zone()
        } else if self.request.spec.spread {
            self.try_spread()
        } else {
            self.try_tasks(self.request.tasks, self.request.min, None)
        }
    }

    /// Tries a node whose children are tasks. The tasks are alike: if one doesn't fit,
    /// the remaining ones don't fit either, and the best machine for one is used for as
    /// many as fit there, except for service replicas. None of the tasks is
    /// unresolvable: preemption may let each of them fit. On success the placements stay
    /// assumed.
    fn try_tasks(&mut self, tasks: &[u32], min: usize, zone: Option<ZoneIndex>) -> TrialResult {
        let mut placements: Vec<TaskPlacement> = Vec::new();
        let mut need_preemption = 0;
        for (position, &task) in tasks.iter().enumerate() {
            let same_host = placements.last().map(|placement| placement.host).filter(|&host| self.fits_another(host));
            match same_host.or_else(|| self.best_host(zone)) {
                Some(host) => {
                    self.snapshot.add_assumed(host, self.request.spec);
                    placements.push(TaskPlacement { task, host });
                }
                None => {
                    need_preemption = tasks.len() - position;
                    break;
                }
            }
        }
        self.evaluate(placements, min, need_preemption)
    }

    /// Tries a node with one child per candidate zone; the feasible zone with the
    /// highest score wins.
    fn try_one_zone(&mut self) -> TrialResult {
        let zone_used = self.request.zone_used;
        let used_zone = zone_used.iter().position(|&tasks| tasks > 0).map(|zone| ZoneIndex(zone as u32));
        let candidates = match used_zone {
            Some(zone) => vec![zone],
            None => self.zones_by_capacity(),
        };
        let used = used_zone.map_or(0, |zone| zone_used[zone.as_usize()] as usize);
        let limit = (self.request.spec.zone_cap() as usize).saturating_sub(used);
        let tasks = &self.request.tasks[..self.request.tasks.len().min(limit)];
        let mut best: Option<ScoredOutcome> = None;
        let mut status = PlacementStatus::Unschedulable;
        for zone in candidates {
            let outcome = self.try_tasks(tasks, self.request.min, Some(zone));
            if outcome.status != PlacementStatus::Success {
                status = outcome.status;
                continue;
            }
            let score = self.placements_score(&outcome.placements);
            self.remove_assumed(&outcome.placements);
            if best.as_ref().is_none_or(|best| score > best.score) {
                best = Some(ScoredOutcome { score, outcome });
            }
        }
        let Some(ScoredOutcome { outcome, .. }) = best else {
            return TrialResult { status, placements: Vec::new() };
        };
        for placement in &outcome.placements {
            self.snapshot.add_assumed(placement.host, self.request.spec);
        }
        outcome
    }

    /// Tries a node with one child per zone, those with the most free capacity first;
    /// each zone takes at most as many tasks as the spread rule allows.
    fn try_spread(&mut self) -> TrialResult {
        let request = self.request;
        let zones = self.zones_by_capacity();
        let limits: Vec<usize> = zones.iter().map(|&zone| spread_limit(request, zone)).collect();
        let all_or_nothing = request.min == request.tasks.len();
        let mut placements: Vec<TaskPlacement> = Vec::new();
        let mut remaining = request.tasks;
        let mut need_preemption = 0;
        for (position, zone) in zones.iter().enumerate() {
            let zone_tasks = &remaining[..remaining.len().min(limits[position])];
            if zone_tasks.is_empty() {
                continue;
            }
            // Tasks that later zones can't take must be placed in this one.
            let later_limit: usize = limits[position + 1..].iter().sum();
            let min =
                if all_or_nothing { remaining.len().saturating_sub(later_limit).min(zone_tasks.len()) } else { 1 };
            let outcome = self.try_tasks(zone_tasks, min, Some(*zone));
            if outcome.status != PlacementStatus::Success {
                need_preemption += zone_tasks.len();
                continue;
            }
            // Tasks that don't fit in this zone are tried in the next one.
            remaining = &remaining[outcome.placements.len()..];
            placements.extend(outcome.placements);
        }
        self.evaluate(placements, request.min, need_preemption.max(remaining.len()))
    }

    /// Derives the result of a node from its placements, and removes those assumed
    /// by a failed node.
    fn evaluate(&mut self, mut placements: Vec<TaskPlacement>, min: usize, need_preemption: usize) -> TrialResult {
        let status = PlacementStatus::from_counts(min, placements.len(), 0, need_preemption);
        if status != PlacementStatus::Success {
            self.remove_assumed(&placements);
            placements.clear();
        }
        TrialResult { status, placements }
    }

    /// Removes assumed placements from the snapshot, the last one first.
    fn remove_assumed(&mut self, placements: &[TaskPlacement]) {
        for placement in placements.iter().rev() {
            self.snapshot.remove_assumed(placement.host, self.request.spec);
        }
    }

    /// Returns the feasible machine with the highest score; `None` if there is none.
    fn best_host(&mut self, zone: Option<ZoneIndex>) -> Option<usize> {
        let request = self.request;
        let mut best: Option<ScoredHost> = None;
        let examined =
            self.snapshot.visit_candidates(request.spec, zone, request.capacity, |host_index, host, pool| {
                if !is_eligible(request, host_index, host) {
                    return;
                }
                let score = host_score(pool, host, request.spec);
                if best.is_none_or(|best| score > best.score) {
                    best = Some(ScoredHost { score, host: host_index });
                }
            });
        self.snapshot.hosts_examined += examined;
        best.map(|best| best.host)
    }

    /// Reports whether one more task of the job fits on the machine on which its
    /// last task was placed. Always false for service replicas.
    fn fits_another(&self, host_index: usize) -> bool {
        let spec = self.request.spec;
        let host = &self.snapshot.hosts[host_index];
        spec.kind != JobKind::Service
            && Resources::of(spec).fits_in(&host.capacity(self.request.capacity))
            && host.pool.is_some_and(|pool| self.snapshot.pools[pool].host_allows(host, spec))
    }

    /// Returns the zones with machines that the job may use, those with the most
    /// free capacity first.
    fn zones_by_capacity(&self) -> Vec<ZoneIndex> {
        let spec = self.request.spec;
        let need = Resources::of(spec);
        let mut zones: Vec<ZoneCapacity> = Vec::new();
        for pool in self.snapshot.pools.iter().filter(|pool| !pool.members.is_empty() && pool.allows(spec)) {
            let tasks = need.count_fitting_in(&pool.free).min(TASK_COUNT_LIMIT);
            match zones.iter_mut().find(|known| known.zone == pool.zone) {
                Some(known) => known.tasks += tasks,
                None => zones.push(ZoneCapacity { zone: pool.zone, tasks }),
            }
        }
        zones.sort_by_key(|capacity| (Reverse(capacity.tasks), capacity.zone));
        zones.into_iter().map(|capacity| capacity.zone).collect()
    }

    /// Returns the score of the zone in which these placements are assumed.
    fn placements_score(&self, placements: &[TaskPlacement]) -> f64 {
        let host_score_of = |placement: &TaskPlacement| {
            let host = &self.snapshot.hosts[placement.host];
            host.pool.map_or(0.0, |pool| host_score(&self.snapshot.pools[pool], host, self.request.spec))
        };
        zone_score(placements.iter().map(host_score_of))
    }
}

/// Reports whether the request allows a machine, regardless of its capacity.
fn is_eligible(request: &TrialRequest<'_>, host_index: usize, host: &Host) -> bool {
    let is_avoided = request.avoid.contains(&MachineIndex(host_index as u32));
    let passes_filter = match request.hosts {
        HostFilter::Any => true,
        HostFilter::BusyOnly => host.assignments > 0 && !host.gpu_only,
    };
    passes_filter && !is_avoided
}

/// Returns how many more of the job's tasks the spread rule allows in a zone.
fn spread_limit(request: &TrialRequest<'_>, zone: ZoneIndex) -> usize {
    let used = request.zone_used.get(zone.as_usize()).copied().unwrap_or(0);
    request.spec.zone_cap().saturating_sub(used) as usize
}
