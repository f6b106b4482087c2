//! A pass: every waiting job's tree is tried on the picture, in order of
//! priority; what succeeds becomes part of the wanted state.

use std::{collections::HashMap, rc::Rc};

use super::{
    leader::Leader,
    model::*,
    trial::{Ask, Host, Picture, Verdict},
};
use crate::{
    bookkeeping::{mirror::JobIx, records::Status},
    protocol::{
        jobs::{JobSpec, Kind, Priority},
        names::TeamIx,
    },
};

/// Most tasks of one job placed in one pass, so that a large one doesn't stall the rest.
const TASKS_A_PASS: usize = 256;
/// How long work of normal priority waits before others' work is stopped for it.
const PATIENCE_MS: i64 = 10_000;

/// Replicas are expected at the rate of this long before.
const HEADROOM_WINDOW_S: f64 = 120.0;
/// Room is kept for as many as arrive in this time.
const HEADROOM_S: f64 = 30.0;
const HEADROOM_MOST: usize = 4;
/// The share of its estimate that a run may hope to need.
const HOPE: f64 = 0.4;
/// GPU work is expected again for this long after it was last there.
const GPU_SHAPE_MS: Ms = 900_000;

/// What a pass knows beside the picture.
pub struct Ledger {
    /// In use by team.
    pub used: Vec<Res>,
    /// Tasks somewhere by zone, of jobs that restrict zones.
    pub zones: HashMap<JobIx, Vec<u32>>,
    /// Jobs within their team's guarantee, by job index.
    pub guaranteed: Vec<JobIx>,
}

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

    fn guard_of(&self, t: &TypeInfo, spot: bool) -> Option<Res> {
        let mut guard: Option<Res> = None;
        for (s, _, _) in &self.gpu_shapes {
            if t.cap.gpus > 0.0 && s.allows_type(t.ix) && (s.spot || !spot) && Res::of(s).fits_in(&t.cap) {
                let g = guard.get_or_insert(Res::of(s));
                let s = Res::of(s);
                *g =
                    Res { cpus: g.cpus.max(s.cpus), gpus: g.gpus.max(s.gpus), memory_gb: g.memory_gb.max(s.memory_gb) };
            }
        }
        guard
    }

    pub fn picture(&self, now: Ms) -> Picture {
        let mut hosts = Vec::with_capacity(self.machines.len());
        for (n, m) in self.machines.iter().enumerate() {
            if matches!(m.life, Life::Gone | Life::Booting) || m.session == 0 {
                continue;
            }
            let Some(t) = self.type_of(m) else { continue };
            let mut host = Host {
                ix: MachineIx(n as u32),
                ty: t.ix,
                zone: m.zone,
                spot: m.spot,
                cap: t.cap,
                free: t.cap,
                soon: Res::default(),
                images: m.images.iter().map(|(i, _)| *i).collect::<Vec<_>>().into(),
                fetch_gb_per_s: t.fetch_gb_per_s,
                price: t.price_of(m.spot),
                services: 0,
                slowness: m.slowness,
                open: m.life == Life::Up
                    && m.heard.is_some_and(|h| now < h + 2 * self.cfg.report_ms + 500)
                    && m.notice_until.is_none()
                    && !m.retire
                    && now >= m.avoid_until,
                guard: self.guard_of(t, m.spot),
                gpu_only: self.runs_empty(now, m, t),
                fixed: Res::default(),
            };
            for &p in &m.places {
                let Some(p) = self.place(p) else { continue };
                let Some(job) = self.job(p.job) else { continue };
                let need = Res::of(&job.spec);
                host.free -= need;
                if p.halt.is_some() {
                    host.soon += need;
                }
                if job.spec.kind == Kind::Service {
                    host.services += 1;
                }
                if Picture::is_fixed(&job.spec) && job.spec.gpus <= 0.0 {
                    host.fixed += need;
                }
            }
            hosts.push(host);
        }
        Picture { hosts }
    }

    pub fn ledger(&self) -> Ledger {
        let mut used = vec![Res::default(); self.cfg.teams.len()];
        let mut zones: HashMap<JobIx, Vec<u32>> = HashMap::new();
        for p in self.places.iter().flatten() {
            let Some(job) = self.job(p.job) else { continue };
            if let Some(u) = used.get_mut(job.spec.team.at()) {
                *u += Res::of(&job.spec);
            }
            if job.spec.one_zone || job.spec.spread {
                let z = zones.entry(p.job).or_default();
                if z.len() <= p.zone.at() {
                    z.resize(p.zone.at() + 1, 0);
                }
                z[p.zone.at()] += 1;
            }
        }
        // A job is within the guarantee when it fits into it together with its
        // team's earlier unfinished jobs. Where no amount is set for CPUs, only
        // work that asks for GPUs can be within it.
        let mut jobs: Vec<&Job> =
            self.active.iter().filter_map(|&j| self.job(j)).filter(|j| j.status == Status::Pending).collect();
        jobs.sort_by_key(|j| j.since);
        let mut sums: Vec<Res> = vec![Res::default(); self.cfg.teams.len()];
        let mut guaranteed = Vec::new();
        for j in jobs {
            let Some(sum) = sums.get_mut(j.spec.team.at()) else { continue };
            let limits = self.team_limits(j.spec.team);
            let n = f64::from(j.spec.tasks - j.done.min(j.spec.tasks));
            sum.cpus += n * j.spec.cpus;
            sum.gpus += n * j.spec.gpus;
            let within = |have: Option<f64>, sum: f64, need: f64| match have {
                Some(g) => sum <= g + EPS,
                None => need <= EPS,
            };
            let cpus_fit = limits.cpus.is_none_or(|g| sum.cpus <= g + EPS);
            if cpus_fit && within(limits.gpus, sum.gpus, j.spec.gpus) && (j.spec.gpus > 0.0 || limits.cpus.is_some()) {
                guaranteed.push(j.ix);
            }
        }
        Ledger { used, zones, guaranteed }
    }

    fn pass_order(&self, now: Ms, ledger: &Ledger) -> Vec<JobIx> {
        let mut order: Vec<(Priority, bool, (u32, f64), JobIx)> = self
            .active
            .iter()
            .filter_map(|&ix| self.job(ix))
            .filter(|j| j.status == Status::Pending && !j.pending.is_empty() && now >= j.not_before && !j.stale)
            // A gang starts anew only once all of its old attempt is gone.
            .filter(|j| j.spec.kind != Kind::Gang || j.placed == 0)
            .map(|j| (j.spec.priority, ledger.guaranteed.contains(&j.ix), self.turn(now, j), j.ix))
            .collect();
        order.sort_by(|a, b| {
            let turn = a.2 .0.cmp(&b.2 .0).then(a.2 .1.total_cmp(&b.2 .1));
            b.0.cmp(&a.0).then(b.1.cmp(&a.1)).then(turn).then(a.3.cmp(&b.3))
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
        let due = job.spec.deadline_s.map(|d| [(false, d), (false, d * 1.5)]);
        let aims = self.cfg.aims.iter().filter(|a| a.class == job.spec.class).map(|a| (a.start, a.within_s));
        let work = job.pending.len() as f64 * run * (job.spec.cpus + 8.0 * job.spec.gpus).max(0.1);
        for (n, (start, within)) in due.into_iter().flatten().chain(aims).enumerate() {
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
        self.dirty = false;
        self.last_pass = now;
        let mut ledger = self.ledger();
        let order = self.pass_order(now, &ledger);
        let mut unmet: Vec<(JobIx, u32)> = Vec::new();
        if order.is_empty() {
            self.fleet.unmet = unmet;
            return;
        }
        self.note_gpu_shapes(now);
        let mut picture = self.picture(now);
        let mut headroom = Some(self.headroom(now));
        // Shapes that found no room at all: room only shrinks within a pass.
        let mut failed: Vec<Rc<JobSpec>> = Vec::new();
        for ix in order {
            let Some(job) = self.job(ix) else { continue };
            let spec = job.spec.clone();
            if spec.kind != Kind::Service {
                // Services come first in the order; what follows leaves room
                // for the replicas that are expected next.
                for (spec, n) in headroom.take().into_iter().flatten() {
                    self.keep_headroom(&spec, n, &mut picture);
                }
            }
            let room = self
                .team_limits(spec.team)
                .room_for(&spec, &ledger.used.get(spec.team.at()).copied().unwrap_or_default());
            let n = job.pending.len().min(room as usize).min(TASKS_A_PASS.max(gang_size(job)));
            let gang = spec.kind == Kind::Gang;
            if n == 0 || (gang && n < job.pending.len()) {
                continue; // its team's limit
            }
            let tasks: Vec<u32> = job.pending.iter().rev().take(n).copied().collect();
            let min = if gang { n } else { 1 };
            let zone_used = ledger.zones.get(&ix).cloned().unwrap_or_default();
            let avoid = self.avoided(job);
            let ask = Ask { spec: &spec, tasks: &tasks, min, zone_used: &zone_used, avoid: &avoid };
            let hopeless = failed.iter().any(|f| at_least_as_hard(&spec, f));
            let out = if hopeless { None } else { Some(picture.trial(&ask)).filter(|o| o.verdict == Verdict::Success) };
            let placed = out.as_ref().map_or(0, |o| o.picks.len());
            if let Some(out) = out {
                let attempt = self.next_attempt();
                for pick in &out.picks {
                    let h = &picture.hosts[pick.host];
                    let session = self.machine(h.ix).session;
                    self.add_place(now, ix, pick.task, h.ix, session, attempt, h.zone);
                    if let Some(u) = ledger.used.get_mut(spec.team.at()) {
                        *u += Res::of(&spec);
                    }
                }
                tracing::debug!(job = ix.0, placed, of = n, "placed");
            } else if !hopeless && avoid.is_empty() && zone_used.is_empty() {
                failed.push(spec.clone());
            }
            if placed < n {
                let rest: Vec<u32> = tasks[placed..].to_vec();
                unmet.push((ix, rest.len() as u32));
                self.make_room(now, ix, &rest, &mut picture, &ledger);
            } else if let Some(j) = self.job_mut(ix) {
                j.waiting_since = now;
            }
        }
        self.fleet.unmet = unmet;
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

    fn keep_headroom(&self, spec: &JobSpec, n: usize, picture: &mut Picture) {
        let tasks: Vec<u32> = (0..n as u32).collect();
        let ask = Ask { spec, tasks: &tasks, min: 1, zone_used: &[], avoid: &[] };
        let out = picture.later().trial(&ask);
        if out.verdict == Verdict::Success {
            picture.reserve(spec, &out.picks);
        }
    }

    /// The picture less the room kept for the next replicas.
    pub fn picture_with_headroom(&self, now: Ms) -> Picture {
        let mut picture = self.picture(now);
        for (spec, n) in self.headroom(now) {
            self.keep_headroom(&spec, n, &mut picture);
        }
        picture
    }

    fn avoided(&self, job: &Job) -> Vec<MachineIx> {
        let up = self.machines.iter().filter(|m| m.life == Life::Up).count();
        // Once it failed nearly everywhere, the machines aren't the reason.
        if job.error_on.len() >= 4 || job.error_on.len() * 2 >= up {
            return Vec::new();
        }
        job.error_on.clone()
    }

    /// No room now: wait for what is being stopped, or stop other work.
    fn make_room(&mut self, now: Ms, ix: JobIx, tasks: &[u32], picture: &mut Picture, ledger: &Ledger) {
        let Some(job) = self.job(ix) else { return };
        let spec = job.spec.clone();
        let gang = spec.kind == Kind::Gang;
        let zone_used = ledger.zones.get(&ix).cloned().unwrap_or_default();
        let within = ledger.guaranteed.contains(&ix);
        let patient = spec.priority <= Priority::Normal && !within;
        if spec.priority == Priority::Low && !within {
            return;
        }
        if patient && (now as i64 - job.waiting_since as i64) < PATIENCE_MS {
            return;
        }
        let min = if gang { tasks.len() } else { 1 };
        let ask = Ask { spec: &spec, tasks, min, zone_used: &zone_used, avoid: &[] };
        let mut need = tasks;
        if picture.hosts.iter().any(|h| h.soon.cpus > 0.0 || h.soon.gpus > 0.0) {
            let out = picture.later().trial(&ask);
            if out.verdict == Verdict::Success {
                picture.reserve(&spec, &out.picks);
                need = &tasks[out.picks.len()..];
            }
        }
        if need.is_empty() || now < job.evict_at {
            return;
        }
        let made = self.evict(now, ix, need, picture, ledger);
        if let Some(j) = self.job_mut(ix) {
            j.evict_at = now + if made { 1_000 } else { 2_000 };
        }
    }
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
