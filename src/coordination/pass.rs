//! A pass: every waiting job's tree is tried on the snapshot, in order of
//! priority; what succeeds becomes part of the wanted state.

use std::{collections::HashMap, rc::Rc};

use super::{
    leader::Leader,
    model::*,
    trial::{TrialRequest, Verdict},
};
use crate::{
    bookkeeping::{job_cache::JobIx, records::Status},
    protocol::{
        jobs::{JobSpec, Kind, Priority},
        names::{ClassIx, TeamIx},
    },
};

/// Most tasks of one job placed in one pass, so that a large one doesn't stall the rest.
const TASKS_A_PASS: usize = 256;
/// How long work of normal priority waits before others' work is stopped for it.
const PATIENCE_MS: i64 = 10_000;

/// Users are promised a beginning within four minutes: what has waited this
/// long goes before all but services.
const BEGIN_S: f64 = 150.0;
/// Among those that are due, the largest of a class go as if they had waited
/// this much longer.
const LARGEST_S: f64 = 60.0;
/// The part of an array's tasks with which it begins then.
const DUE_PART: u32 = 16;

/// Replicas are expected at the rate of this long before.
const HEADROOM_WINDOW_S: f64 = 120.0;
/// Room is kept for as many as arrive in this time.
const HEADROOM_S: f64 = 30.0;
const HEADROOM_MOST: usize = 4;
/// The share of its estimate that a run may hope to need.
const HOPE: f64 = 0.4;
/// GPU work is expected again for this long after it was last there.
const GPU_SHAPE_MS: Ms = 900_000;

impl Leader {
    pub fn team_limits(&self, team: TeamIx) -> TeamLimits {
        self.cfg.teams.get(team.at()).copied().unwrap_or_default()
    }

    /// What GPU work of the last minutes asked for, each shape once.
    fn note_gpu_shapes(&mut self, now: Ms) {
        let mut shapes = std::mem::take(&mut self.gpu_shapes);
        shapes.retain(|(_, seen, _)| now < seen + GPU_SHAPE_MS);
        for job in self.active.iter().filter_map(|&j| self.job(j)).filter(|j| j.spec.gpus > 0.0) {
            let same =
                |(s, _, _): &(Rc<JobSpec>, Ms, i64)| Res::of(s) == Res::of(&job.spec) && s.types == job.spec.types;
            match shapes.iter().position(same) {
                Some(n) => (shapes[n].1, shapes[n].2) = (now, shapes[n].2.max(job.since)),
                None if shapes.len() < 32 => shapes.push((job.spec.clone(), now, job.since)),
                None => {}
            }
        }
        self.gpu_shapes = shapes;
    }

    /// What GPU work lately asked for, of each pool's machines.
    fn note_guards(&mut self) {
        for p in &mut self.snapshot.pools {
            p.guard = None;
            for (s, _, _) in self.gpu_shapes.iter().filter(|_| p.cap.gpus > 0.0) {
                if s.allows_type(p.ty) && (s.spot || !p.spot) && Res::of(s).fits_in(&p.cap) {
                    let (g, s) = (p.guard.get_or_insert(Res::of(s)), Res::of(s));
                    *g = g.max(s);
                }
            }
        }
    }

    /// Marks the jobs that are within their team's guarantee: those that fit
    /// into it together with their team's earlier unfinished jobs. Where no
    /// amount is set for CPUs, only work that asks for GPUs can be within it.
    fn note_guarantees(&mut self) {
        let mut jobs: Vec<(i64, JobIx)> = self
            .active
            .iter()
            .filter_map(|&j| self.job(j))
            .filter(|j| j.status == Status::Pending)
            .map(|j| (j.since, j.ix))
            .collect();
        jobs.sort_unstable();
        let mut sums: Vec<Res> = vec![Res::default(); self.cfg.teams.len()];
        for (_, ix) in jobs {
            let Some(j) = self.jobs[ix.at()].as_mut() else { continue };
            let Some(sum) = sums.get_mut(j.spec.team.at()) else { continue };
            let limits = self.cfg.teams.get(j.spec.team.at()).copied().unwrap_or_default();
            let n = f64::from(j.spec.tasks - j.done.min(j.spec.tasks));
            *sum += Res::of(&j.spec) * n;
            let within = |have: Option<f64>, sum: f64, need: f64| match have {
                Some(g) => sum <= g + EPS,
                None => need <= EPS,
            };
            let cpus_fit = limits.cpus.is_none_or(|g| sum.cpus <= g + EPS);
            j.within =
                cpus_fit && within(limits.gpus, sum.gpus, j.spec.gpus) && (j.spec.gpus > 0.0 || limits.cpus.is_some());
        }
    }

    /// Services first; then what has waited so long without a start that its
    /// beginning is due, the oldest first; then by priority, work within its
    /// team's guarantee before other work.
    fn pass_order(&self, now: Ms) -> Vec<JobIx> {
        let mut largest: HashMap<ClassIx, u32> = HashMap::new();
        for j in self.active.iter().filter_map(|&ix| self.job(ix)) {
            let most = largest.entry(j.spec.class).or_default();
            *most = (*most).max(j.spec.tasks);
        }
        let mut order: Vec<(u8, bool, (u32, f64), JobIx)> = self
            .active
            .iter()
            .filter_map(|&ix| self.job(ix))
            .filter(|j| {
                j.status == Status::Pending && !j.pending.is_empty() && now >= j.not_before && !j.stale && !j.resharding
            })
            // A gang starts anew only once all of its old attempt is gone.
            .filter(|j| j.spec.kind != Kind::Gang || j.placed == 0)
            .map(|j| match j.spec.priority {
                Priority::Production => (0, !j.within, self.turn(now, j), j.ix),
                // Guard: when more is due than there is room for, the largest
                // of a class, hardest to find room for, would come too late.
                _ if is_due(now, j) => {
                    let part = f64::from(j.spec.tasks) / f64::from(largest[&j.spec.class].max(1));
                    (1, false, (0, -j.age_s(now) - LARGEST_S * part), j.ix)
                }
                p => (2 + Priority::High as u8 - p as u8, !j.within, self.turn(now, j), j.ix),
            })
            .collect();
        order.sort_by(|a, b| {
            let turn = a.2 .0.cmp(&b.2 .0).then(a.2 .1.total_cmp(&b.2 .1));
            a.0.cmp(&b.0).then(a.1.cmp(&b.1)).then(turn).then(a.3.cmp(&b.3))
        });
        order.into_iter().map(|o| o.3).collect()
    }

    /// Expected run time of a task, corrected by what its class showed so far.
    pub fn expected_s(&self, spec: &JobSpec) -> f64 {
        spec.estimate_s * self.class_bias.get(&spec.class).map_or(1.0, |b| b.0)
    }

    /// Among equals, jobs whose aim can still be met come before those that
    /// have missed it, and small ones before large ones: so most are in time
    /// when there is too little for all. What missed every aim goes by age.
    fn turn(&self, now: Ms, job: &Job) -> (u32, f64) {
        let age = job.age_s(now);
        let run = self.expected_s(&job.spec);
        let fetch = (job.spec.image_gb / 0.5).min(30.0);
        let due = [job.spec.deadline_s, job.spec.overdue_s].into_iter().flatten().map(|d| (false, d));
        let aims = self.cfg.aims.iter().filter(|a| a.class == job.spec.class).map(|a| (a.start, a.within_s));
        let work = job.pending.len() as f64 * run * (job.spec.cpus + 8.0 * job.spec.gpus).max(0.1);
        for (n, (start, within)) in due.chain(aims).enumerate() {
            if start && job.started {
                continue;
            }
            // Estimates are often twice too high: a job is given up for an aim
            // only when it would miss it even then.
            let ends = if start { age } else { age + HOPE * run + fetch.min(5.0) };
            if ends <= within {
                return (n as u32, work);
            }
        }
        (u32::MAX, -age)
    }

    pub fn pass(&mut self, now: Ms) {
        self.pass_needed = false;
        self.last_pass = now;
        self.note_guarantees();
        let order = self.pass_order(now);
        let mut unmet: Vec<(JobIx, u32)> = Vec::new();
        if order.is_empty() {
            self.fleet.unmet = unmet;
            return;
        }
        self.note_gpu_shapes(now);
        self.note_guards();
        let mut headroom = Some(self.headroom(now));
        // Shapes that found no room at all, now or once what is being stopped
        // is gone: room only shrinks within a pass.
        let mut failed = Failed::default();
        // One gang in each zone at a time collects its machines.
        let mut gathering = 0;
        let zones = self.snapshot.zone_count();
        for ix in order {
            let Some(job) = self.job(ix) else { continue };
            let spec = job.spec.clone();
            if spec.kind != Kind::Service {
                // Services come first in the order; what follows leaves room
                // for the replicas that are expected next.
                for (spec, n) in headroom.take().into_iter().flatten() {
                    self.keep_headroom(&spec, n);
                }
            }
            let Some(job) = self.job(ix) else { continue };
            let used = self.team_used.get(spec.team.at()).copied().unwrap_or_default();
            let room = self.team_limits(spec.team).room_for(&spec, &used);
            let gang = spec.kind == Kind::Gang;
            let due = is_due(now, job);
            let mut n = job.pending.len().min(room as usize).min(TASKS_A_PASS.max(gang_size(job)));
            if due && spec.kind == Kind::Array {
                // It is to begin, not to go before all others whole.
                n = n.min((spec.tasks / DUE_PART).max(1) as usize);
            }
            if n == 0 || (gang && n < job.pending.len()) {
                tracing::debug!(job = &*job.id, room, "at its team's limit");
                continue;
            }
            let tasks: Vec<u32> = match self.chunk_room(job) {
                None => job.pending.iter().rev().take(n).copied().collect(),
                Some(mut room) => {
                    let mut fits = |&&t: &&u32| {
                        let left = &mut room[job.chunk_of(t)];
                        *left = left.saturating_sub(1);
                        *left > 0
                    };
                    job.pending.iter().rev().filter(|t| fits(t)).take(n).copied().collect()
                }
            };
            let n = tasks.len();
            if n == 0 {
                continue;
            }
            let min = if gang { n } else { 1 };
            let zone_used = job.zone_used.clone();
            let fresh = zone_used.iter().all(|&n| n == 0);
            let avoid = self.avoided(job);
            let ask = TrialRequest {
                spec: &spec,
                tasks: &tasks,
                min,
                zone_used: &zone_used,
                avoid: &avoid,
                later: false,
                busy_only: false,
            };
            let hopeless = failed.now.iter().any(|f| at_least_as_hard(&spec, f));
            let out =
                if hopeless { None } else { Some(self.snapshot.trial(&ask)).filter(|o| o.verdict == Verdict::Success) };
            let placed = out.as_ref().map_or(0, |o| o.picks.len());
            if let Some(out) = out {
                let attempt = self.next_attempt();
                for pick in &out.picks {
                    let m = MachineIx(pick.host as u32);
                    let (session, zone) = (self.machine(m).session, self.machine(m).zone);
                    self.add_assignment(now, ix, pick.task, m, session, attempt, zone);
                }
                tracing::debug!(job = ix.0, placed, of = n, "placed");
            } else if !hopeless && avoid.is_empty() && fresh {
                failed.now.push(spec.clone());
            }
            if placed < n {
                unmet.push((ix, (n - placed) as u32));
                let kept = self.snapshot.reservations();
                self.make_room(now, ix, &tasks[placed..], &mut failed);
                if gang && due && gathering < zones && self.snapshot.reservations() == kept {
                    gathering += usize::from(self.gather(&spec, &tasks, &zone_used));
                }
            } else if let Some(j) = self.job_mut(ix) {
                j.waiting_since = now;
            }
        }
        self.snapshot.release(0);
        self.fleet.unmet = unmet;
    }

    /// Guard: a record that was divided under a larger limit takes only as many
    /// places at a time as can be written. By chunk, how many more, and one.
    fn chunk_room(&self, job: &Job) -> Option<Vec<u32>> {
        if self.value_limit > self.cfg.value_fit || job.chunk_size <= self.cfg.chunk_fit {
            return None;
        }
        if job.spec.kind == Kind::Gang {
            return None;
        }
        let mut room = vec![self.cfg.chunk_fit + 1; job.chunks.len()];
        for (n, s) in job.slots.iter().enumerate() {
            if matches!(s, Slot::At(_)) {
                let left = &mut room[job.chunk_of(n as u32)];
                *left = left.saturating_sub(1);
            }
        }
        Some(room)
    }

    /// Guard: smaller work takes every machine that a large gang could begin to
    /// collect. What there is of room for one that is due is kept from all
    /// after it, pass by pass, until there is enough. True if something was kept.
    fn gather(&mut self, spec: &JobSpec, tasks: &[u32], zone_used: &[u32]) -> bool {
        let ask = TrialRequest { spec, tasks, min: 1, zone_used, avoid: &[], later: true, busy_only: false };
        let out = self.snapshot.trial(&ask);
        for p in &out.picks {
            self.snapshot.reserve(p.host, Res::of(spec), Res::default());
        }
        !out.picks.is_empty()
    }

    /// Shapes of the production services that arrived lately, and how many
    /// replicas of each may be expected within the time a machine takes to come.
    fn headroom(&self, now: Ms) -> Vec<(Rc<JobSpec>, usize)> {
        let mut seen: Vec<(Rc<JobSpec>, f64)> = Vec::new();
        for job in self.active.iter().filter_map(|&j| self.job(j)) {
            let spec = &job.spec;
            if spec.kind != Kind::Service || spec.priority != Priority::Production || job.status != Status::Pending {
                continue;
            }
            let recent = if job.age_s(now) < HEADROOM_WINDOW_S { f64::from(spec.tasks) } else { 0.0 };
            match seen.iter_mut().find(|(s, _)| s.class == spec.class) {
                Some((_, n)) => *n += recent,
                None => seen.push((spec.clone(), recent)),
            }
        }
        seen.into_iter()
            .map(|(s, n)| (s, ((n / HEADROOM_WINDOW_S * HEADROOM_S).ceil() as usize).clamp(1, HEADROOM_MOST)))
            .collect()
    }

    fn keep_headroom(&mut self, spec: &JobSpec, n: usize) {
        let tasks: Vec<u32> = (0..n as u32).collect();
        let ask =
            TrialRequest { spec, tasks: &tasks, min: 1, zone_used: &[], avoid: &[], later: true, busy_only: false };
        let out = self.snapshot.trial(&ask);
        for p in &out.picks {
            self.snapshot.reserve(p.host, Res::of(spec), Res::default());
        }
    }

    /// Takes the room kept for the next replicas off the snapshot, until it is released.
    pub fn keep_all_headroom(&mut self, now: Ms) {
        for (spec, n) in self.headroom(now) {
            self.keep_headroom(&spec, n);
        }
    }

    fn avoided(&self, job: &Job) -> Vec<MachineIx> {
        let up = self.machines.iter().filter(|m| m.life == MachineLifecycle::Up).count();
        // Once it failed nearly everywhere, the machines aren't the reason.
        if job.error_on.len() >= 4 || job.error_on.len() * 2 >= up {
            return Vec::new();
        }
        job.error_on.clone()
    }

    /// No room now: wait for what is being stopped, or stop other work.
    fn make_room(&mut self, now: Ms, ix: JobIx, tasks: &[u32], failed: &mut Failed) {
        let Some(job) = self.job(ix) else { return };
        let spec = job.spec.clone();
        let spec_id = job.id.clone();
        let gang = spec.kind == Kind::Gang;
        let within = job.within;
        let patient = spec.priority <= Priority::Normal && !within;
        if spec.priority == Priority::Low && !within {
            return;
        }
        if patient && (now as i64 - job.waiting_since as i64) < PATIENCE_MS {
            return;
        }
        let evict_at = job.evict_at;
        let min = if gang { tasks.len() } else { 1 };
        let zone_used = job.zone_used.clone();
        let fresh = zone_used.iter().all(|&n| n == 0);
        let mut need = tasks;
        if self.snapshot.anything_stops() && !failed.later.iter().any(|f| at_least_as_hard(&spec, f)) {
            let ask = TrialRequest {
                spec: &spec,
                tasks,
                min,
                zone_used: &zone_used,
                avoid: &[],
                later: true,
                busy_only: false,
            };
            let out = self.snapshot.trial(&ask);
            for p in &out.picks {
                self.snapshot.reserve(p.host, Res::of(&spec), Res::default());
            }
            need = &tasks[out.picks.len()..];
            if out.verdict != Verdict::Success && fresh {
                failed.later.push(spec.clone());
            }
        }
        if need.is_empty() || now < evict_at {
            return;
        }
        let made = self.evict(now, ix, need);
        tracing::debug!(job = &*spec_id, need = need.len(), tasks = tasks.len(), made, "room asked for");
        if let Some(j) = self.job_mut(ix) {
            j.evict_at = now + if made { 1_000 } else { 2_000 };
        }
    }
}

/// Nothing of it has begun for good, and by now it should.
pub fn is_overdue(now: Ms, job: &Job) -> bool {
    !job.begun && job.age_s(now) >= BEGIN_S
}

fn is_due(now: Ms, job: &Job) -> bool {
    job.placed == 0 && is_overdue(now, job)
}

/// Shapes that a pass found no room for.
#[derive(Default)]
struct Failed {
    now: Vec<Rc<JobSpec>>,
    later: Vec<Rc<JobSpec>>,
}

fn gang_size(job: &Job) -> usize {
    if job.spec.kind == Kind::Gang {
        job.pending.len()
    } else {
        0
    }
}

/// If `b` found no room anywhere, neither does `a`.
fn at_least_as_hard(a: &JobSpec, b: &JobSpec) -> bool {
    let as_gang = a.kind == Kind::Gang || b.kind != Kind::Gang;
    let gang_tasks = b.kind != Kind::Gang || a.tasks >= b.tasks;
    as_gang
        && gang_tasks
        && a.cpus >= b.cpus
        && a.gpus >= b.gpus
        && a.memory_gb >= b.memory_gb
        && a.types == b.types
        && a.zone == b.zone
        && (b.spot || !a.spot)
        && a.one_zone >= b.one_zone
        && a.spread == b.spread
}
