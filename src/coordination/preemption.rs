//! Eviction, decided at the root: which tasks are stopped so that a job of
//! higher priority, or one within its team's guarantee, gets room.

use super::{leader::Leader, model::*, pass::is_overdue};
use crate::{
    bookkeeping::{job_cache::JobIx, records::Status},
    protocol::{
        jobs::{Kind, Priority},
        names::ZoneIx,
    },
};

/// Tasks of one array for which room is made in one pass.
const ARRAY_TASKS: usize = 4;
/// Machines of each pool looked at for one task, and those of them whose tasks are.
const SAMPLE: usize = 256;
const SAMPLE_TASKS: usize = 64;

const BORROW_PATIENCE_MS: i64 = 12_000;

/// Machines for so many tasks, and the places to be stopped there.
#[derive(Default)]
struct Plan {
    cost: f64,
    picks: Vec<usize>,
    halts: Vec<AssignmentIx>,
}

struct Victim {
    assignment: AssignmentIx,
    need: Res,
    cost: f64,
}

impl Leader {
    /// What stopping a place costs, or None when the preemptor may not stop it.
    fn victim(&self, now: Ms, p: AssignmentIx, by: &Job) -> Option<Victim> {
        let assignment = self.assignment(p)?;
        if assignment.halt.is_some() || matches!(assignment.state, AssignmentState::Ended(_)) {
            return None;
        }
        let job = self.job(assignment.job)?;
        if job.status != Status::Pending || assignment.job == by.ix {
            return None;
        }
        let lower = job.spec.priority < by.spec.priority;
        // Borrowed room is asked back only once some may have come back by itself.
        let waited = now as i64 - by.waiting_since as i64;
        let borrowed = by.within && waited >= BORROW_PATIENCE_MS && job.spec.team != by.spec.team && {
            let limits = self.team_limits(job.spec.team);
            let used = self.team_used.get(job.spec.team.at()).copied().unwrap_or_default();
            let over = |have: Option<f64>, used: f64| used > have.unwrap_or(0.0) + EPS;
            (by.spec.gpus > 0.0 && job.spec.gpus > 0.0 && over(limits.gpus, used.gpus))
                || (by.spec.cpus > 0.0 && limits.cpus.is_some() && over(limits.cpus, used.cpus))
        };
        if !lower && !borrowed {
            return None;
        }
        let ran = assignment.running_since.map_or(0.0, |s| (now - s) as f64 / 1000.0);
        let lost =
            if job.spec.checkpoint_s > 0.0 { ran.min(job.spec.checkpoint_s).min(job.spec.save_s + 2.0) } else { ran };
        // Guard: what was let begin at last is not stopped before it has.
        if by.spec.priority < Priority::Production && is_overdue(now, job) && ran * 1000.0 < START_COUNTS_MS as f64 {
            return None;
        }
        let rank = match job.spec.priority {
            Priority::Low => 0.0,
            Priority::Normal => 20.0,
            Priority::High => 200.0,
            Priority::Production => 2_000.0,
        };
        // A start that is stopped soon was none: its users waited for nothing.
        let fresh = if ran * 1000.0 < START_COUNTS_MS as f64 && job.spec.priority > Priority::Low { 60.0 } else { 0.0 };
        // A gang is stopped whole.
        let many = if job.spec.kind == Kind::Gang { f64::from(job.placed) } else { 1.0 };
        Some(Victim { assignment: p, need: Res::of(&job.spec), cost: (5.0 + rank + lost + fresh) * many })
    }

    /// What is stopped, and where, so that `tasks` get room; in `zone` only, if
    /// one is given. None: not enough may be stopped.
    fn plan(&mut self, now: Ms, ix: JobIx, tasks: &[u32], zone: Option<ZoneIx>) -> Option<Plan> {
        let spec = self.job(ix)?.spec.clone();
        let need = Res::of(&spec);
        let gang = spec.kind == Kind::Gang;
        let mut in_zone = self.job(ix)?.zone_used.clone();
        let mut plan = Plan::default();
        let kept = self.snapshot.reservations();
        let sample = self.snapshot.sample(&spec, zone, self.cursor, SAMPLE);
        let mut looked = 0;
        for _ in tasks {
            let job = self.job(ix)?;
            let mut best: Option<(f64, usize, Vec<AssignmentIx>, Res)> = None;
            let mut seen = 0;
            for &n in &sample {
                looked += 1;
                let h = &self.snapshot.hosts[n];
                let Some(pool) = h.pool.map(|p| &self.snapshot.pools[p]) else { continue };
                let here = in_zone.get(pool.zone.at()).copied().unwrap_or(0);
                let elsewhere: u32 = in_zone.iter().sum::<u32>() - here;
                if (spec.one_zone && elsewhere > 0) || (spec.spread && here >= spec.zone_cap()) {
                    continue;
                }
                let mut have = h.free + h.soon;
                let lower = if job.within { 4 } else { spec.priority as usize };
                let most = h.low[..lower].iter().fold(have, |sum, r| sum + *r);
                if !need.fits_in(&most) || seen >= SAMPLE_TASKS {
                    continue;
                }
                seen += 1;
                let mut victims: Vec<Victim> = self
                    .machine(MachineIx(n as u32))
                    .assignments
                    .iter()
                    .filter(|p| !plan.halts.contains(p))
                    .filter_map(|&p| self.victim(now, p, job))
                    .collect();
                victims.sort_by(|a, b| a.cost.total_cmp(&b.cost));
                let (mut cost, mut list, mut freed) = (0.0, Vec::new(), Res::default());
                for v in victims {
                    if need.fits_in(&have) {
                        break;
                    }
                    // Stop only what gives something that is missing.
                    let helps = (v.need.gpus > 0.0 && have.gpus < need.gpus)
                        || (v.need.cpus > 0.0 && have.cpus + EPS < need.cpus)
                        || (v.need.memory_gb > 0.0 && have.memory_gb + EPS < need.memory_gb);
                    if !helps {
                        continue;
                    }
                    have += v.need;
                    freed += v.need;
                    cost += v.cost;
                    list.push(v.assignment);
                }
                if !need.fits_in(&have) {
                    continue;
                }
                if !h.has_image(spec.image) {
                    cost += spec.image_gb / pool.fetch_gb_per_s.max(0.01) * 2.0;
                }
                if need.gpus <= 0.0 && pool.cap.gpus > 0.0 {
                    cost += 90.0;
                }
                if best.as_ref().is_none_or(|b| cost < b.0) {
                    best = Some((cost, n, list, freed));
                }
            }
            let Some((cost, n, list, freed)) = best else {
                if gang {
                    self.snapshot.looked += looked;
                    self.snapshot.release(kept);
                    return None;
                }
                break;
            };
            let zone = self.machine(MachineIx(n as u32)).zone;
            if in_zone.len() <= zone.at() {
                in_zone.resize(zone.at() + 1, 0);
            }
            in_zone[zone.at()] += 1;
            self.snapshot.reserve(n, need, freed);
            plan.cost += cost;
            plan.halts.extend(list);
            plan.picks.push(n);
        }
        self.snapshot.looked += looked;
        // What is stopped counts as such by itself; the room is kept again after.
        self.snapshot.release(kept);
        (!plan.picks.is_empty()).then_some(plan)
    }

    /// Stops other work so that `tasks` get room. True if something was stopped.
    ///
    /// Guard: a gang that must be in one zone went to that of its first task's
    /// cheapest machine, and waited when that had too few. Each zone is a child
    /// of its own; the feasible one that costs least wins.
    pub fn evict(&mut self, now: Ms, ix: JobIx, tasks: &[u32]) -> bool {
        let Some(job) = self.job(ix) else { return false };
        let spec = job.spec.clone();
        let need = Res::of(&spec);
        let held = job.zone_used.iter().any(|&n| n > 0);
        let tasks = if spec.kind == Kind::Array { &tasks[..tasks.len().min(ARRAY_TASKS)] } else { tasks };
        self.cursor = self.cursor.wrapping_mul(5).wrapping_add(101) % (self.machines.len().max(1) as u32);
        let zones: Vec<Option<ZoneIx>> = if spec.one_zone && !held && tasks.len() > 1 {
            let mut zones: Vec<ZoneIx> = self.snapshot.pools.iter().map(|p| p.zone).collect();
            zones.sort_unstable();
            zones.dedup();
            zones.into_iter().map(Some).collect()
        } else {
            vec![None]
        };
        let plans = zones.into_iter().filter_map(|z| self.plan(now, ix, tasks, z)).collect::<Vec<_>>();
        let best = plans.into_iter().min_by(|a, b| b.picks.len().cmp(&a.picks.len()).then(a.cost.total_cmp(&b.cost)));
        let Some(Plan { halts, picks, .. }) = best else { return false };
        let urgent = spec.priority == Priority::Production;
        let mut stopped = 0;
        for p in halts {
            let Some(assignment) = self.assignment(p) else { continue };
            let (vjob, gang) = match self.job(assignment.job) {
                Some(j) => (assignment.job, j.spec.kind == Kind::Gang),
                None => continue,
            };
            let save =
                self.job(vjob).map_or(0.0, |j| if j.spec.checkpoint_s > 0.0 { j.spec.save_s + 2.0 } else { 0.0 });
            let grace = if urgent { 0.0 } else { save };
            stopped += 1;
            if gang {
                self.stop_job(now, vjob, save);
            } else {
                self.halt(now, p, grace);
            }
        }
        for &n in &picks {
            self.snapshot.reserve(n, need, Res::default());
        }
        if stopped > 0 {
            tracing::info!(job = ix.0, stopped, tasks = picks.len(), "made room");
        }
        stopped > 0
    }
}
