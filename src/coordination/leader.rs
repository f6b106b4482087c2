//! The leader's mind: reports and records in, a wanted state kept, and loops
//! that work out the difference: transactions, commands, rentals.
//!
//! Safety rests on four habits, each guarded where it is marked below:
//! a place is recorded before its launch is sent; it counts as occupied until
//! something proves that the task is gone; a command that may still be under
//! way is fenced by a raised token; reaping follows the written end.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
};

use ciborium::Value;

use super::{fleet::Fleet, model::*};
use crate::{
    bookkeeping::{
        mirror::{JobIx, Mirror},
        records::{self, ChunkRecord, JobRecord, PlaceRecord, Status},
    },
    protocol::{
        cloud::RentRequest,
        jobs::{JobSpec, Kind, Priority, Submission},
        names::{ClassIx, Tables, ZoneIx},
        peers::Count,
        store::{Condition, Op, Txn},
        workers::{split_task, DoRequest, Order, Report, ReportAnswer, TaskReport, TaskState, Why},
    },
};

#[derive(Debug, Clone)]
pub struct Config {
    pub lease_ms: Ms,
    pub report_ms: Ms,
    pub gang_peer_s: f64,
    pub txn_ops: usize,
    pub list_lag_ms: Ms,
    pub teams: Vec<TeamLimits>,
    /// What users want of a class: starts or ends within some seconds.
    pub aims: Vec<Aim>,
    pub idle_keep_ms: Ms,
    pub silent_ms: Ms,
    pub max_machines: usize,
    pub use_spot: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Aim {
    pub class: ClassIx,
    /// The first tasks run; otherwise: all are done.
    pub start: bool,
    pub within_s: f64,
}

#[derive(Debug, Clone)]
pub enum Effect {
    Do {
        machine: MachineIx,
        call: u64,
        addr: SocketAddr,
        req: DoRequest,
    },
    Rent {
        call: u64,
        req: RentRequest,
    },
    Return {
        call: u64,
        ids: Vec<String>,
    },
    List {
        call: u64,
        from: Option<String>,
    },
    /// GET /status, of a worker whose report is overdue.
    Probe {
        machine: MachineIx,
        addr: SocketAddr,
    },
}

#[derive(Debug)]
pub enum Answer {
    Ok(ReportAnswer),
    /// Too old to mean anything, or from a machine that is gone.
    Stale,
    /// The worker has seen a higher token than any of ours.
    Superseded,
}

#[derive(Debug)]
pub enum DoOutcome {
    Executed(Report),
    Refused(Report),
    NotSent,
    Unknown,
}

#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    Done(u64),
    Conflict(Vec<String>),
    /// Certainly not executed.
    Refused,
    /// May have been executed, or may yet be.
    Unknown,
}

/// A transaction under way, and what of the wanted state it carries.
#[derive(Debug)]
struct Flying {
    txn: Txn,
    chunks: Vec<(JobIx, usize, u64)>,
    dones: Vec<JobIx>,
    drops: Vec<String>,
    tag: u64,
    sent: bool,
    /// Keys to read before anything else, to learn whether it was applied.
    resync: Vec<String>,
}

pub struct Leader {
    pub cfg: Config,
    pub stamp: u64,
    pub started: Ms,
    pub loaded: bool,
    pub jobs: Vec<Option<Job>>,
    pub active: Vec<JobIx>,
    pub machines: Vec<Machine>,
    pub machine_ix: HashMap<String, MachineIx>,
    pub places: Vec<Option<Place>>,
    free_places: Vec<u32>,
    pub types: Vec<TypeInfo>,
    pub dirty: bool,
    pub last_pass: Ms,
    attempt: u64,
    next_call: u64,
    tag: u64,
    flying: Option<Flying>,
    drops: VecDeque<(String, u64)>,
    drop_after: Ms,
    pub commit_after: Ms,
    pub fleet: Fleet,
    pub effects: Vec<Effect>,
    counts: HashSet<JobIx>,
    pub heard_any: Ms,
    /// Shapes of GPU work seen lately, when, and when such a job last came.
    pub gpu_shapes: Vec<(Rc<JobSpec>, Ms, i64)>,
    /// Observed run time against the owner's estimate, by class, smoothed.
    pub class_bias: HashMap<ClassIx, (f64, f64)>,
}

/// Tokens are the leader's stamp and a count, so that a later leader's are
/// always higher and one worker's can be raised alone.
pub fn base_token(stamp: u64) -> u64 {
    stamp << 16
}

impl Leader {
    pub fn new(cfg: Config, stamp: u64, nonce: u64, now: Ms, types: Vec<TypeInfo>) -> Leader {
        Leader {
            fleet: Fleet::new(nonce, now),
            cfg,
            stamp,
            started: now,
            loaded: false,
            jobs: Vec::new(),
            active: Vec::new(),
            machines: Vec::new(),
            machine_ix: HashMap::new(),
            places: Vec::new(),
            free_places: Vec::new(),
            types,
            dirty: true,
            last_pass: 0,
            attempt: stamp << 20,
            next_call: 1,
            tag: stamp << 20,
            flying: None,
            drops: VecDeque::new(),
            drop_after: 0,
            commit_after: 0,
            effects: Vec::new(),
            counts: HashSet::new(),
            heard_any: now,
            gpu_shapes: Vec::new(),
            class_bias: HashMap::new(),
        }
    }

    pub fn job(&self, ix: JobIx) -> Option<&Job> {
        self.jobs.get(ix.at()).and_then(Option::as_ref)
    }

    pub fn job_mut(&mut self, ix: JobIx) -> Option<&mut Job> {
        self.jobs.get_mut(ix.at()).and_then(Option::as_mut)
    }

    pub fn place(&self, ix: PlaceIx) -> Option<&Place> {
        self.places.get(ix.at()).and_then(Option::as_ref)
    }

    pub fn machine(&self, ix: MachineIx) -> &Machine {
        &self.machines[ix.at()]
    }

    pub fn type_of(&self, m: &Machine) -> Option<&TypeInfo> {
        let ty = m.ty?;
        self.types.iter().find(|t| t.ix == ty)
    }

    pub fn call_id(&mut self) -> u64 {
        self.next_call += 1;
        self.next_call
    }

    pub fn next_attempt(&mut self) -> u64 {
        self.attempt += 1;
        self.attempt
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    // ---- jobs ----------------------------------------------------------

    /// The mirror shows a job's record, new or changed.
    pub fn job_update(&mut self, now: Ms, wall_ms: u64, ix: JobIx, mirror: &Mirror) {
        let e = mirror.get(ix);
        if self.jobs.len() <= ix.at() {
            self.jobs.resize_with(ix.at() + 1, || None);
        }
        match (&mut self.jobs[ix.at()], e.status) {
            (None, Status::Pending) => {
                let Some(spec) = e.spec.clone() else { return };
                self.add_job(now, wall_ms, ix, spec, mirror);
            }
            (Some(job), Status::Pending) => {
                job.stamp = e.stamp;
                job.stale = false;
            }
            (Some(job), Status::Cancelled) => {
                job.stamp = e.stamp;
                job.stale = false;
                if job.status != Status::Cancelled {
                    job.status = Status::Cancelled;
                    tracing::info!(job = &*job.id, "cancelled by its user");
                    self.counts.insert(ix);
                    self.stop_job(now, ix, 0.0);
                }
            }
            (Some(_), Status::Done) => self.finish(ix),
            (None, _) => {}
        }
        self.dirty = true;
    }

    fn add_job(&mut self, now: Ms, wall_ms: u64, ix: JobIx, spec: Rc<JobSpec>, mirror: &Mirror) {
        let e = mirror.get(ix);
        let n = spec.tasks;
        let age = wall_ms.saturating_sub(e.at_ms).min(1 << 40) as i64;
        self.jobs[ix.at()] = Some(Job {
            ix,
            id: e.id.clone(),
            spec,
            stamp: e.stamp,
            status: e.status,
            since: now as i64 - age,
            chunk_size: e.chunk,
            slots: vec![Slot::Pending; n as usize],
            chunks: vec![Chunk::default(); n.div_ceil(e.chunk) as usize],
            pending: (0..n).rev().collect(),
            done: 0,
            placed: 0,
            running: 0,
            not_before: 0,
            stale: false,
            started: false,
            errors: 0,
            error_on: Vec::new(),
            shown: (0, 0),
            evict_at: 0,
            stops: 0,
            losses: 0,
            last_placed: now,
            waiting_since: now,
        });
        self.active.push(ix);
    }

    /// Stops all of a job's tasks; what was only planned is simply dropped.
    pub fn stop_job(&mut self, now: Ms, ix: JobIx, grace_s: f64) {
        let Some(job) = self.job(ix) else { return };
        let places: Vec<PlaceIx> = job
            .slots
            .iter()
            .filter_map(|s| match s {
                Slot::At(p) => Some(*p),
                _ => None,
            })
            .collect();
        for p in places {
            self.halt(now, p, grace_s);
        }
        self.retire_cancelled(ix);
    }

    /// Wants a task stopped. A place whose launch was never sent is given up at once.
    pub fn halt(&mut self, now: Ms, ix: PlaceIx, grace_s: f64) {
        let Some(p) = self.places[ix.at()].as_mut() else { return };
        let never_sent = p.state == PlaceState::Wanted && p.sent.is_none() && !p.inherited;
        if never_sent {
            self.free_place(ix, false);
            return;
        }
        match &mut p.halt {
            Some(h) if grace_s < h.grace_s => {
                h.grace_s = grace_s;
                h.sent = None;
            }
            Some(_) => {}
            None => p.halt = Some(Halt { grace_s, since: now, sent: None }),
        }
    }

    /// A cancelled job without places leaves the picture; its records go.
    fn retire_cancelled(&mut self, ix: JobIx) {
        let Some(job) = self.job(ix) else { return };
        if job.status == Status::Cancelled && job.placed == 0 && !job.is_flying_in(&self.flying) {
            self.forget(ix);
        }
    }

    fn finish(&mut self, ix: JobIx) {
        if let Some(job) = self.job_mut(ix) {
            job.status = Status::Done;
        }
        let left: Vec<PlaceIx> = match self.job(ix) {
            Some(job) => job.slots.iter().filter_map(|s| if let Slot::At(p) = s { Some(*p) } else { None }).collect(),
            None => return,
        };
        if left.is_empty() {
            self.forget(ix);
        }
    }

    fn forget(&mut self, ix: JobIx) {
        let Some(job) = self.jobs[ix.at()].take() else { return };
        self.active.retain(|&j| j != ix);
        for (n, c) in job.chunks.iter().enumerate() {
            if c.stamp != 0 {
                self.drops.push_back((records::chunk_key(&job.id, n as u32), c.stamp));
            }
        }
    }

    /// The job is over as far as records go: its tombs may be reaped.
    fn tomb_written(&self, t: &Tomb) -> bool {
        match self.job(t.job) {
            None => true,
            Some(job) => job.chunks.get(t.chunk).is_none_or(|c| c.committed >= t.ver),
        }
    }

    // ---- places --------------------------------------------------------

    #[allow(clippy::too_many_arguments)]
    pub fn add_place(
        &mut self,
        now: Ms,
        job_ix: JobIx,
        task: u32,
        machine: MachineIx,
        session: u64,
        attempt: u64,
        zone: ZoneIx,
    ) -> Option<PlaceIx> {
        let job = self.jobs.get_mut(job_ix.at()).and_then(Option::as_mut)?;
        if job.slots.get(task as usize) != Some(&Slot::Pending) {
            return None;
        }
        let ver = job.touch(task);
        job.placed += 1;
        job.started = true;
        job.last_placed = now;
        if job.pending.last() == Some(&task) {
            job.pending.pop();
        } else {
            job.pending.retain(|&t| t != task);
        }
        let place = Place {
            job: job_ix,
            task,
            machine,
            zone,
            session,
            attempt,
            ver,
            state: PlaceState::Wanted,
            sent: None,
            running_since: None,
            halt: None,
            made: now,
            inherited: false,
        };
        let ix = match self.free_places.pop() {
            Some(n) => {
                self.places[n as usize] = Some(place);
                PlaceIx(n)
            }
            None => {
                self.places.push(Some(place));
                PlaceIx(self.places.len() as u32 - 1)
            }
        };
        job.slots[task as usize] = Slot::At(ix);
        let m = &mut self.machines[machine.at()];
        m.places.push(ix);
        m.idle_since = None;
        Some(ix)
    }

    /// The task is provably not there (any more). `done`: it completed.
    pub fn free_place(&mut self, ix: PlaceIx, done: bool) -> Option<Place> {
        let place = self.places.get_mut(ix.at())?.take()?;
        self.free_places.push(ix.0);
        self.machines[place.machine.at()].places.retain(|&p| p != ix);
        self.dirty = true;
        if let Some(job) = self.jobs.get_mut(place.job.at()).and_then(Option::as_mut) {
            job.touch(place.task);
            job.placed -= 1;
            if matches!(place.state, PlaceState::Seen(TaskState::Running)) {
                job.running = job.running.saturating_sub(1);
            }
            if done {
                job.slots[place.task as usize] = Slot::Done;
                job.done += 1;
            } else {
                job.slots[place.task as usize] = Slot::Pending;
                // Keep the lowest number next, so that replacements come first.
                let at = job.pending.partition_point(|&t| t > place.task);
                job.pending.insert(at, place.task);
            }
            self.counts.insert(place.job);
            let gang = job.spec.kind == Kind::Gang;
            if gang && !done && job.placed > 0 && job.status == Status::Pending {
                // A gang without one of its tasks can't go on: its rest is
                // stopped, and it starts anew once all of it is gone.
                let rest: Vec<PlaceIx> =
                    job.slots.iter().filter_map(|s| if let Slot::At(p) = s { Some(*p) } else { None }).collect();
                for p in rest {
                    self.halt(place.made, p, 0.0);
                }
            }
            self.retire_cancelled(place.job);
        }
        Some(place)
    }

    /// Everything on a machine is provably gone.
    pub fn free_machine(&mut self, ix: MachineIx, below_session: Option<u64>) {
        let all: Vec<PlaceIx> = self.machines[ix.at()].places.clone();
        for p in all {
            let old = self.place(p).is_some_and(|p| below_session.is_none_or(|s| p.session < s));
            if old {
                if let Some(j) = self.place(p).map(|p| p.job).and_then(|j| self.job_mut(j)) {
                    j.losses += 1;
                }
                self.free_place(p, false);
            }
        }
        self.machines[ix.at()].tombs.clear();
    }

    pub fn in_flight_launch(&self, p: &Place) -> bool {
        self.machines[p.machine.at()].call.as_ref().is_some_and(|c| c.launches.contains(&(p.job, p.task, p.attempt)))
    }

    /// The record of this place is written.
    pub fn written(&self, p: &Place) -> bool {
        self.job(p.job).is_some_and(|j| j.chunks[j.chunk_of(p.task)].committed >= p.ver)
    }

    /// Guard: a launch is sent only after its record is written, a gang's
    /// only after the records of all its tasks are.
    fn may_launch(&self, p: &Place) -> bool {
        let Some(job) = self.job(p.job) else { return false };
        if p.halt.is_some() || job.status != Status::Pending || !self.written(p) {
            return false;
        }
        if job.spec.kind == Kind::Gang && job.placed > 1 {
            return job.slots.iter().all(|s| match s {
                Slot::At(q) => self.place(*q).is_some_and(|q| self.written(q)),
                _ => true,
            });
        }
        true
    }

    // ---- reports -------------------------------------------------------

    pub fn machine_named(&mut self, now: Ms, id: &str, zone: ZoneIx) -> MachineIx {
        if let Some(&ix) = self.machine_ix.get(id) {
            return ix;
        }
        let ix = MachineIx(self.machines.len() as u32);
        self.machines.push(Machine::new(id, zone, base_token(self.stamp), now));
        self.machine_ix.insert(id.to_owned(), ix);
        ix
    }

    pub fn report(&mut self, now: Ms, r: &Report, mirror: &Mirror, tables: &mut Tables) -> Answer {
        let zone = tables.zones.intern(&r.zone);
        let ix = self.machine_named(now, &r.machine, zone);
        let m = &mut self.machines[ix.at()];
        if r.token > m.token {
            return Answer::Superseded;
        }
        // Guard: a report held up on its way, from a session whose end was
        // counted out already, or from a machine that was handed back.
        if m.life == Life::Gone || r.session <= m.dead_session {
            return Answer::Stale;
        }
        self.heard_any = now;
        if !self.loaded {
            // Answering keeps the worker's lease; what it says is taken up
            // from the next report, when the records are known.
            m.renewed = now;
            return Answer::Ok(ReportAnswer { token: m.token, orders: Vec::new() });
        }
        let newer = (r.session, r.seq) > (m.session, m.seq);
        self.machines[ix.at()].renewed = now;
        if !newer {
            let token = self.machines[ix.at()].token;
            return Answer::Ok(ReportAnswer { token, orders: Vec::new() });
        }
        // The worker took or dropped our last answer before it sent this.
        self.machines[ix.at()].answer_open = false;
        self.take_report(now, ix, r, mirror, tables);
        let orders = self.orders(now, ix, true);
        let m = &mut self.machines[ix.at()];
        m.answer_open = orders.iter().any(|o| matches!(o, Order::Launch { .. }));
        if orders.iter().any(|o| matches!(o, Order::Reap { .. })) {
            // Guard: once reaped, an attempt is unknown to the worker, and a
            // repeat of the command that launched it would start it again. The
            // reap comes with a higher token than any such command.
            m.token += 1;
        }
        Answer::Ok(ReportAnswer { token: self.machines[ix.at()].token, orders })
    }

    /// A newer report, from a worker itself or as the answer to a command.
    fn take_report(&mut self, now: Ms, ix: MachineIx, r: &Report, mirror: &Mirror, tables: &mut Tables) {
        let ty = tables.types.intern(&r.machine_type);
        let m = &mut self.machines[ix.at()];
        if (r.session, r.seq) <= (m.session, m.seq) {
            return;
        }
        m.addr = r.addr.parse().ok().or(m.addr);
        m.ty = Some(ty);
        m.spot = r.spot;
        m.seq = r.seq;
        m.heard = Some(now);
        m.probe_fails = 0;
        m.seen_token = m.seen_token.max(r.token);
        if m.life == Life::Booting {
            m.life = Life::Up;
            m.up_at = Some(now);
            self.dirty = true;
            let boot_s = (now - m.rented) / 1000;
            tracing::info!(machine = &*m.id, machine_type = &*r.machine_type, spot = r.spot, boot_s, "up");
        }
        match r.notice_s {
            Some(s) if m.notice_until.is_none() => {
                tracing::info!(machine = &*m.id, notice_s = s, "spot notice");
                m.notice_until = Some(now + (s.clamp(0.0, 3600.0) * 1000.0) as Ms);
                self.dirty = true;
            }
            _ => {}
        }
        if r.session > m.session {
            // A new session: the worker killed and forgot all of the former.
            let had = m.session;
            m.session = r.session;
            if had != 0 {
                tracing::info!(machine = &*m.id, session = r.session, "new session");
            }
            self.free_machine(ix, Some(r.session));
            self.dirty = true;
        }
        let mut listed: Vec<PlaceIx> = Vec::with_capacity(r.tasks.len());
        let mut tombs_listed: HashSet<(String, u64)> = HashSet::new();
        for t in &r.tasks {
            self.take_task(now, ix, t, mirror, &mut listed, &mut tombs_listed);
        }
        let m = &mut self.machines[ix.at()];
        m.tombs.retain(|t| tombs_listed.contains(&(t.task.clone(), t.attempt)));
        self.take_absences(ix, &listed);
        if self.machines[ix.at()].notice_until.is_some() {
            self.drain(now, ix);
        }
    }

    /// Tasks that have a place here but aren't listed.
    fn take_absences(&mut self, ix: MachineIx, listed: &[PlaceIx]) {
        let m = &self.machines[ix.at()];
        // Guard: absence proves nothing while an earlier command may still
        // arrive; only a raised token that came back rules that out.
        // An answer to a report that carries launches is under way as well,
        // until the next report: the body of a command's answer may be older.
        if !m.fenced() || m.call.is_some() || m.answer_open {
            return;
        }
        let gone: Vec<PlaceIx> = m
            .places
            .iter()
            .copied()
            .filter(|p| !listed.contains(p))
            .filter(|&p| self.place(p).is_some_and(|p| p.session == m.session && p.halt.is_some()))
            .collect();
        for p in gone {
            self.free_place(p, false);
        }
        // Those still wanted are launched again under the same attempt.
        let again: Vec<PlaceIx> =
            self.machines[ix.at()].places.iter().copied().filter(|p| !listed.contains(p)).collect();
        for p in again {
            if let Some(p) = self.places[p.at()].as_mut() {
                if matches!(p.state, PlaceState::Seen(_)) {
                    p.state = PlaceState::Wanted;
                }
            }
        }
    }

    fn take_task(
        &mut self,
        now: Ms,
        ix: MachineIx,
        t: &TaskReport,
        mirror: &Mirror,
        listed: &mut Vec<PlaceIx>,
        tombs_listed: &mut HashSet<(String, u64)>,
    ) {
        let Some((id, task)) = split_task(&t.task) else { return };
        let Some(job_ix) = mirror.find(id) else { return };
        let slot = self.job(job_ix).and_then(|j| j.slots.get(task as usize).copied());
        let mine = match slot {
            Some(Slot::At(p)) => self
                .place(p)
                .filter(|pl| pl.machine == ix && pl.attempt == t.attempt && pl.session == self.machine(ix).session)
                .map(|_| p),
            _ => None,
        };
        if let Some(p) = mine {
            listed.push(p);
            self.take_state(now, p, t);
            if self.place(p).is_some_and(|pl| pl.job == job_ix && pl.attempt == t.attempt) {
                return;
            }
            // Settled just now: it has a tomb.
            tombs_listed.insert((t.task.clone(), t.attempt));
            return;
        }
        if t.state == TaskState::Exited {
            let m = self.machine(ix);
            tombs_listed.insert((t.task.clone(), t.attempt));
            if m.tombs.iter().any(|x| x.task == t.task && x.attempt == t.attempt) {
                return;
            }
            // An end that no place waits for. Completed is completed, though.
            let settled = m.fenced() && m.call.is_none() && !m.answer_open;
            let mut ver = 0;
            let mut chunk = 0;
            if slot == Some(Slot::Pending) && t.why == Some(Why::Done) {
                if let Some(job) = self.job_mut(job_ix) {
                    job.slots[task as usize] = Slot::Done;
                    job.pending.retain(|&x| x != task);
                    job.done += 1;
                    chunk = job.chunk_of(task);
                    ver = job.touch(task);
                }
                self.counts.insert(job_ix);
                self.dirty = true;
            }
            if settled {
                let tomb = Tomb { task: t.task.clone(), attempt: t.attempt, job: job_ix, chunk, ver };
                self.machines[ix.at()].tombs.push(tomb);
            }
            return;
        }
        // It runs where no record says so. If the task is wanted, adopt it;
        // otherwise it has to go. Either way it is counted meanwhile.
        if slot == Some(Slot::Pending) && self.job(job_ix).is_some_and(|j| j.status == Status::Pending) {
            let (session, zone) = (self.machine(ix).session, self.machine(ix).zone);
            if let Some(p) = self.add_place(now, job_ix, task, ix, session, t.attempt, zone) {
                tracing::warn!(task = &*t.task, machine = &*self.machine(ix).id, "adopted");
                listed.push(p);
                self.take_state(now, p, t);
            }
            return;
        }
        tracing::warn!(
            task = &*t.task,
            attempt = t.attempt,
            machine = &*self.machine(ix).id,
            "stray task, stopping it"
        );
        let m = &mut self.machines[ix.at()];
        // A tomb for a live task: halted until it ends, then reaped.
        if !m.tombs.iter().any(|x| x.task == t.task && x.attempt == t.attempt) {
            m.tombs.push(Tomb { task: t.task.clone(), attempt: t.attempt, job: job_ix, chunk: 0, ver: u64::MAX });
        }
        tombs_listed.insert((t.task.clone(), t.attempt));
    }

    fn take_state(&mut self, now: Ms, ix: PlaceIx, t: &TaskReport) {
        let Some(p) = self.places[ix.at()].as_mut() else { return };
        let (job_ix, machine) = (p.job, p.machine);
        if t.state == TaskState::Exited {
            if matches!(p.state, PlaceState::Seen(TaskState::Running)) {
                if let Some(job) = self.jobs[job_ix.at()].as_mut() {
                    job.running = job.running.saturating_sub(1);
                }
            }
            p.state = PlaceState::Ended(t.why.unwrap_or(Why::Other));
            self.settle(now, ix, t);
            return;
        }
        let was = p.state;
        p.state = PlaceState::Seen(t.state);
        let (now_running, made, inherited) = (t.state == TaskState::Running, p.made, p.inherited);
        if was == p.state {
            return;
        }
        if now_running && p.running_since.is_none() {
            p.running_since = Some(now);
        }
        let was_running = was == PlaceState::Seen(TaskState::Running);
        if let Some(job) = self.jobs[job_ix.at()].as_mut() {
            match (was_running, now_running) {
                (false, true) => {
                    job.running += 1;
                    if job.running + job.done == 1 && !inherited {
                        let wait_s = job.age_s(now);
                        let fetched_s = (now - made) as f64 / 1000.0;
                        tracing::info!(job = &*job.id, kind = ?job.spec.kind, rank = ?job.spec.priority, wait_s, fetched_s, gb = job.spec.image_gb, "first task runs");
                    }
                }
                (true, false) => job.running = job.running.saturating_sub(1),
                _ => {}
            }
            let (image, gb) = (job.spec.image, job.spec.image_gb);
            self.counts.insert(job_ix);
            let cache = self.type_of(&self.machines[machine.at()]).map_or(0.0, |t| t.cache_gb);
            self.machines[machine.at()].note_image(image, gb, cache);
        }
    }

    /// A task has ended. Its place is given up unless a command sent earlier
    /// could still start it again.
    fn settle(&mut self, now: Ms, ix: PlaceIx, t: &TaskReport) {
        let Some(p) = self.place(ix) else { return };
        let m = self.machine(p.machine);
        // Guard: a launch still under way could arrive after the reap.
        if !m.fenced() || self.in_flight_launch(p) || m.answer_open {
            return;
        }
        let why = t.why.unwrap_or(Why::Other);
        let (machine, job_ix, task) = (p.machine, p.job, p.task);
        let ran_s = p.running_since.map(|s| (now - s) as f64 / 1000.0);
        let done = why == Why::Done;
        let name = m.id.clone();
        let Some(place) = self.free_place(ix, done) else { return };
        let (chunk, ver) = match self.job(job_ix) {
            Some(j) => (j.chunk_of(task), j.chunks[j.chunk_of(task)].ver),
            None => (0, 0),
        };
        self.machines[machine.at()].tombs.push(Tomb {
            task: t.task.clone(),
            attempt: t.attempt,
            job: job_ix,
            chunk,
            ver,
        });
        if !done {
            tracing::debug!(task = &*t.task, machine = &*name, ?why, saved = ?t.saved, "ended");
        }
        match why {
            Why::Done => self.learn(machine, job_ix, &place, ran_s),
            Why::NoRoom | Why::Busy => {
                tracing::info!(task = &*t.task, machine = &*name, ?why, "start refused");
                self.machines[machine.at()].avoid_until = now + 3_000;
            }
            Why::Unknown => {
                if let Some(j) = self.job_mut(job_ix) {
                    j.not_before = now + 3_000;
                }
            }
            Why::Stopped => {
                if let Some(j) = self.job_mut(job_ix) {
                    j.stops += 1;
                }
            }
            Why::Error => self.failed(now, machine, job_ix, &t.task),
            _ => {}
        }
    }

    /// A failed task speaks against its machine first, then against its job.
    fn failed(&mut self, now: Ms, machine: MachineIx, job_ix: JobIx, task: &str) {
        tracing::info!(task, machine = &*self.machine(machine).id, "failed");
        if let Some(j) = self.job_mut(job_ix) {
            j.errors += 1;
            if !j.error_on.contains(&machine) {
                j.error_on.push(machine);
            }
            let n = j.error_on.len() as u32;
            // Failing on several machines: the job's own fault.
            let wait = if n >= 3 { 2_000u64 << (j.errors.min(9) - 3).min(5) } else { 300 };
            j.not_before = now + wait;
        }
        let m = &mut self.machines[machine.at()];
        m.errors.retain(|(j, at)| *j != job_ix && now - *at < 120_000);
        m.errors.push((job_ix, now));
        m.avoid_until = m.avoid_until.max(now + 5_000);
        // Several jobs failed here, and not elsewhere: the machine is faulty.
        if m.errors.len() >= 2 && !m.retire {
            m.retire = true;
            tracing::warn!(machine = &*m.id, "several jobs failed here: retired");
        }
    }

    /// Run times tell about machines and about owners' estimates.
    fn learn(&mut self, machine: MachineIx, job_ix: JobIx, place: &Place, ran_s: Option<f64>) {
        let (Some(ran_s), Some(job)) = (ran_s, self.job(job_ix)) else { return };
        let est = job.spec.estimate_s;
        if est <= 0.0 || place.halt.is_some() {
            return;
        }
        let class = job.spec.class;
        let ratio = (ran_s / est).clamp(0.05, 20.0);
        let (bias, n) = self.class_bias.get(&class).copied().unwrap_or((1.0, 0.0));
        let w = 1.0 / (n + 1.0).min(20.0);
        self.class_bias.insert(class, (bias + (ratio - bias) * w, n + 1.0));
        let _ = machine;
    }

    /// Empties a machine that will be taken away: what can save, does.
    fn drain(&mut self, now: Ms, ix: MachineIx) {
        let Some(until) = self.machine(ix).notice_until else { return };
        let left = until.saturating_sub(now) as f64 / 1000.0;
        for p in self.machine(ix).places.clone() {
            let Some(place) = self.place(p) else { continue };
            let Some(job) = self.job(place.job) else { continue };
            let save = job.spec.save_s;
            if job.spec.checkpoint_s <= 0.0 || place.halt.is_some() {
                continue;
            }
            // Notices come at half their nominal time too: save while it lasts.
            let (gang, job_ix) = (job.spec.kind == Kind::Gang, place.job);
            if left > save * 0.8 {
                if gang {
                    self.stop_job(now, job_ix, save + 2.0);
                } else {
                    self.halt(now, p, save + 2.0);
                }
            }
        }
    }

    // ---- commands ------------------------------------------------------

    /// What the worker should be told. `all`: everything that isn't in effect
    /// yet (in the answer to a report); otherwise only what was not sent lately.
    pub fn orders(&mut self, now: Ms, ix: MachineIx, all: bool) -> Vec<Order> {
        let mut out = Vec::new();
        let mut stamps: Vec<(PlaceIx, bool)> = Vec::new();
        let m = &self.machines[ix.at()];
        let fresh = |sent: Option<Ms>| sent.is_none_or(|s| now >= s + 2_500);
        if m.fenced() && (all || m.call.is_none()) {
            for t in &m.tombs {
                if t.ver == u64::MAX {
                    // Halt and reap together: whichever applies takes effect.
                    out.push(Order::Halt { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 });
                    out.push(Order::Reap { task: t.task.clone(), attempt: t.attempt });
                } else if all && self.tomb_written(t) {
                    out.push(Order::Reap { task: t.task.clone(), attempt: t.attempt });
                }
            }
        }
        if !all && out.iter().all(|o| matches!(o, Order::Halt { .. } | Order::Reap { .. })) {
            out.clear(); // strays wait for the report's answer
        }
        for &p in &m.places {
            let Some(place) = self.place(p) else { continue };
            let Some(job) = self.job(place.job) else { continue };
            if place.session != m.session || matches!(place.state, PlaceState::Ended(_)) {
                continue;
            }
            let task = || format!("{}/{}", job.id, place.task);
            if let Some(h) = place.halt {
                if all || fresh(h.sent) {
                    out.push(Order::Halt { task: task(), attempt: place.attempt, grace_s: h.grace_s });
                    stamps.push((p, true));
                }
            } else if place.state == PlaceState::Wanted && (all || fresh(place.sent)) && self.may_launch(place) {
                out.push(Order::Launch { task: task(), attempt: place.attempt });
                stamps.push((p, false));
            }
        }
        for (p, halt) in stamps {
            if let Some(place) = self.places[p.at()].as_mut() {
                if halt {
                    if let Some(h) = &mut place.halt {
                        h.sent = Some(now);
                    }
                } else {
                    place.sent = Some(now);
                }
            }
        }
        out
    }

    /// Sends what is new straight to the workers.
    pub fn push_orders(&mut self, now: Ms) {
        for n in 0..self.machines.len() {
            let ix = MachineIx(n as u32);
            let m = &self.machines[n];
            if m.places.is_empty() || m.call.is_some() || now < m.call_after || m.life != Life::Up {
                continue;
            }
            // A token that the worker has not shown yet is told by the answer
            // to its report first; a silent worker is not bothered.
            let Some(addr) = m.addr else { continue };
            if !m.fenced() || m.heard.is_none_or(|h| now > h + 3 * self.cfg.report_ms) {
                continue;
            }
            let orders = self.orders(now, ix, false);
            if orders.is_empty() {
                continue;
            }
            let launches = orders
                .iter()
                .filter_map(|o| match o {
                    Order::Launch { task, attempt } => {
                        let (_, n) = split_task(task)?;
                        let p = self.machines[ix.at()]
                            .places
                            .iter()
                            .find(|&&p| self.place(p).is_some_and(|p| p.task == n && p.attempt == *attempt))?;
                        self.place(*p).map(|p| (p.job, n, *attempt))
                    }
                    _ => None,
                })
                .collect();
            let call = self.call_id();
            let m = &mut self.machines[n];
            m.call = Some(DoCall { id: call, sent: now, launches });
            let req = DoRequest { token: m.token, session: m.session, orders };
            self.effects.push(Effect::Do { machine: ix, call, addr, req });
        }
    }

    /// False: a worker showed a higher token than ours; another one leads.
    pub fn do_result(
        &mut self,
        now: Ms,
        ix: MachineIx,
        call: u64,
        outcome: DoOutcome,
        mirror: &Mirror,
        tables: &mut Tables,
    ) -> bool {
        let m = &mut self.machines[ix.at()];
        if m.call.as_ref().is_none_or(|c| c.id != call) {
            return true;
        }
        let Some(done) = m.call.take() else { return true };
        let refused = matches!(outcome, DoOutcome::Refused(_));
        match outcome {
            DoOutcome::Executed(r) | DoOutcome::Refused(r) => {
                if r.token > m.token {
                    return false;
                }
                if r.session > m.dead_session && m.life != Life::Gone {
                    self.take_report(now, ix, &r, mirror, tables);
                }
                if refused {
                    // Not executed: what it launched may be sent again at once.
                    for (job, task, attempt) in done.launches {
                        let slot = self.job(job).and_then(|j| j.slots.get(task as usize).copied());
                        if let Some(Slot::At(p)) = slot {
                            if let Some(p) = self.places[p.at()].as_mut().filter(|p| p.attempt == attempt) {
                                p.sent = None;
                            }
                        }
                    }
                }
            }
            DoOutcome::NotSent => m.call_after = now + 700,
            DoOutcome::Unknown => {
                m.call_after = now + 1_000;
                if !done.launches.is_empty() {
                    // Guard: those launches may arrive at any later time. The
                    // raised token fences them, once the worker has shown it.
                    m.token += 1;
                    m.fence = m.token;
                    tracing::debug!(machine = &*m.id, token = m.token, "command unanswered, token raised");
                }
            }
        }
        true
    }

    /// Asks workers whose report is overdue. That they don't answer proves
    /// nothing, but lets their machine be handed back sooner, which does.
    pub fn probe(&mut self, now: Ms) {
        let overdue = self.cfg.report_ms * 5 / 4 + 400;
        for n in 0..self.machines.len() {
            let m = &mut self.machines[n];
            let late = m.heard.is_some_and(|h| now > h + overdue);
            if m.life == Life::Up && late && !m.probing && !m.places.is_empty() && m.probe_fails < 3 {
                if let Some(addr) = m.addr {
                    m.probing = true;
                    self.effects.push(Effect::Probe { machine: MachineIx(n as u32), addr });
                }
            }
        }
    }

    pub fn probed(&mut self, now: Ms, ix: MachineIx, report: Option<&Report>, mirror: &Mirror, tables: &mut Tables) {
        let m = &mut self.machines[ix.at()];
        m.probing = false;
        match report {
            Some(r) if r.session > m.dead_session && m.life == Life::Up => {
                self.take_report(now, ix, r, mirror, tables);
            }
            Some(_) => {}
            None => m.probe_fails += 1,
        }
    }

    /// Frees what lease expiry proves gone.
    pub fn expire(&mut self, now: Ms) {
        for n in 0..self.machines.len() {
            let m = &self.machines[n];
            if m.places.is_empty() && m.tombs.is_empty() {
                continue;
            }
            // Guard: counted from the last 200 that any leader could have sent
            // (a new leader counts from its own start), both clocks' drift added.
            let end = m.renewed + self.cfg.lease_ms + self.cfg.lease_ms / 500 + 500;
            if now < end {
                continue;
            }
            let ix = MachineIx(n as u32);
            tracing::warn!(machine = &*m.id, tasks = m.places.len(), "lease ran out");
            let top = m.places.iter().filter_map(|&p| self.place(p)).map(|p| p.session).max().unwrap_or(0);
            let m = &mut self.machines[n];
            m.dead_session = m.dead_session.max(m.session).max(top);
            self.free_machine(ix, None);
        }
    }

    // ---- records -------------------------------------------------------

    /// A chunk record read at the beginning.
    #[allow(clippy::too_many_arguments)]
    pub fn load(
        &mut self,
        now: Ms,
        wall_ms: u64,
        key: &str,
        v: &Value,
        stamp: u64,
        mirror: &Mirror,
        tables: &mut Tables,
    ) {
        let Some((id, chunk)) = records::split_chunk_key(key) else { return };
        let Some(ix) = mirror.find(id) else { return };
        let e = mirror.get(ix);
        if self.jobs.len() <= ix.at() {
            self.jobs.resize_with(ix.at() + 1, || None);
        }
        if e.status == Status::Done {
            self.drops.push_back((key.to_owned(), stamp));
            return;
        }
        if self.jobs[ix.at()].is_none() {
            let Some(spec) = e.spec.clone() else { return };
            self.add_job(now, wall_ms, ix, spec, mirror);
        }
        let Ok(rec) = v.deserialized::<ChunkRecord>() else {
            tracing::error!(key, "a task record can't be read");
            return;
        };
        let Some(job) = self.jobs[ix.at()].as_mut() else { return };
        let Some(c) = job.chunks.get_mut(chunk as usize) else { return };
        c.stamp = stamp;
        let (from, size) = (chunk * job.chunk_size, job.chunk_size);
        let mut newly = 0;
        for n in 0..size.min(job.spec.tasks.saturating_sub(from)) {
            let slot = &mut job.slots[(from + n) as usize];
            if *slot == Slot::Pending && records::is_done(&rec.done, n as usize) {
                *slot = Slot::Done;
                newly += 1;
            }
        }
        job.done += newly;
        job.started |= newly > 0;
        if newly > 0 {
            let slots = &job.slots;
            job.pending.retain(|&t| slots[t as usize] == Slot::Pending);
        }
        for PlaceRecord(task, machine, session, attempt, zone) in rec.places {
            let zone = tables.zones.intern(&zone);
            let m = self.machine_named(now, &machine, zone);
            self.machines[m.at()].renewed = now;
            if let Some(p) = self.add_place(now, ix, task, m, session, attempt, zone) {
                // Its launch may have been sent by the leader before.
                if let Some(p) = self.places[p.at()].as_mut() {
                    p.sent = Some(now);
                    p.inherited = true;
                }
            }
        }
        // What was read is what is written.
        if let Some(job) = self.jobs[ix.at()].as_mut() {
            let c = &mut job.chunks[chunk as usize];
            c.ver = c.ver.max(1);
            c.committed = c.ver;
        }
    }

    /// All records are read.
    pub fn loaded(&mut self, now: Ms, wall_ms: u64, mirror: &Mirror) {
        self.loaded = true;
        for ix in mirror.all() {
            if mirror.get(ix).status == Status::Pending && self.job(ix).is_none() {
                self.job_update(now, wall_ms, ix, mirror);
            }
        }
        for ix in self.active.clone() {
            if mirror.get(ix).status == Status::Cancelled {
                self.stop_job(now, ix, 0.0);
            }
        }
        let placed: u32 = self.active.iter().filter_map(|&j| self.job(j)).map(|j| j.placed).sum();
        tracing::info!(jobs = self.active.len(), placed, "records read, leading");
        self.dirty = true;
    }

    fn chunk_value(&self, job: &Job, chunk: usize, tag: u64, tables: &Tables) -> Value {
        let from = chunk * job.chunk_size as usize;
        let to = (from + job.chunk_size as usize).min(job.slots.len());
        let places = (from..to)
            .filter_map(|n| match job.slots[n] {
                Slot::At(p) => self.place(p),
                _ => None,
            })
            .map(|p| {
                PlaceRecord(
                    p.task,
                    self.machine(p.machine).id.clone(),
                    p.session,
                    p.attempt,
                    tables.zones.name(p.zone.0).to_owned(),
                )
            })
            .collect();
        let done = records::pack_done(job.slots[from..to].iter().map(|s| *s == Slot::Done));
        records::to_value(&ChunkRecord { done, places, tag })
    }

    /// The count inside some worker's token is nearly used up: the next
    /// leadership begins a new one.
    pub fn tokens_spent(&self) -> bool {
        self.machines.iter().any(|m| m.token - base_token(self.stamp) > 60_000)
    }

    pub fn commit_busy(&self) -> bool {
        self.flying.as_ref().is_some_and(|f| f.sent)
    }

    /// A key to read before the next transaction.
    pub fn resync_key(&self) -> Option<&str> {
        self.flying.as_ref().filter(|f| !f.sent).and_then(|f| f.resync.last()).map(String::as_str)
    }

    /// True when something is to be written.
    pub fn has_writes(&self) -> bool {
        self.flying.is_some()
            || !self.drops.is_empty()
            || self.active.iter().any(|&j| self.job(j).is_some_and(|j| !j.stale && (j.is_dirty() || j.all_done())))
    }

    /// The next transaction of at most `max_ops` writes: ends and freed places
    /// first, then placements by priority; a tree that doesn't fit waits for
    /// the next one. An unanswered transaction is sent again as it was.
    pub fn commit(&mut self, now: Ms, max_ops: usize, tables: &Tables) -> Option<Txn> {
        if let Some(f) = &mut self.flying {
            if f.sent || !f.resync.is_empty() {
                return None;
            }
            f.sent = true;
            return Some(f.txn.clone());
        }
        let max_ops = max_ops.min(self.cfg.txn_ops);
        let mut order: Vec<(u8, i64, JobIx)> = self
            .active
            .iter()
            .filter_map(|&ix| self.job(ix))
            .filter(|j| !j.stale && (j.all_done() || j.is_dirty()))
            .map(|j| {
                let class = if j.all_done() || j.status == Status::Cancelled {
                    0
                } else {
                    match j.spec.priority {
                        Priority::Production => 1,
                        Priority::High => 2,
                        Priority::Normal => 3,
                        Priority::Low => 4,
                    }
                };
                (class, j.since, j.ix)
            })
            .collect();
        order.sort_unstable();
        self.tag += 1;
        let tag = self.tag;
        let mut txn = Txn::default();
        let (mut chunks, mut dones, mut drops) = (Vec::new(), Vec::new(), Vec::new());
        let mut size = 0;
        const MAX_BYTES: usize = 48 * 1024;
        for (_, _, ix) in order {
            let left = max_ops.saturating_sub(txn.writes.len());
            if left == 0 || size > MAX_BYTES {
                break;
            }
            let Some(job) = self.job(ix) else { continue };
            let conditions_before = txn.conditions.len();
            if job.all_done() && job.status == Status::Pending {
                let submission = Submission { tasks: Some(f64::from(job.spec.tasks)), ..Submission::default() };
                let at_ms = 0;
                let rec = JobRecord { submission, status: Status::Done, at_ms, chunk: job.chunk_size };
                let v = records::to_value(&rec);
                size += records::json_size(&v) + 64;
                txn.writes.push(Op::Put { key: records::job_key(&job.id), v, permit: None });
                dones.push(ix);
            } else {
                let dirty: Vec<usize> =
                    (0..job.chunks.len()).filter(|&c| job.chunks[c].ver != job.chunks[c].committed).collect();
                // Split between trees, unless one alone is more than a transaction takes.
                if dirty.len() > left && left < max_ops {
                    continue;
                }
                for c in dirty.into_iter().take(left) {
                    if size > MAX_BYTES {
                        break;
                    }
                    let v = self.chunk_value(job, c, tag, tables);
                    let key = records::chunk_key(&job.id, c as u32);
                    size += records::json_size(&v) + 64;
                    txn.conditions.push(Condition { key: key.clone(), stamp: job.chunks[c].stamp });
                    txn.writes.push(Op::Put { key, v, permit: None });
                    chunks.push((ix, c, job.chunks[c].ver));
                }
            }
            if txn.conditions.len() > conditions_before || dones.last() == Some(&ix) {
                txn.conditions.push(Condition { key: records::job_key(&job.id), stamp: job.stamp });
            }
        }
        // Records of jobs that are over go slowly: a large job's must not take
        // the budget from anything that somebody waits for.
        let droppable = if now >= self.drop_after { max_ops.saturating_sub(txn.writes.len()).min(DROPS) } else { 0 };
        for _ in 0..droppable {
            let Some((key, stamp)) = self.drops.pop_front() else { break };
            self.drop_after = now + DROP_GAP_MS;
            txn.conditions.push(Condition { key: key.clone(), stamp });
            txn.writes.push(Op::Delete { key: key.clone() });
            drops.push(key);
        }
        if txn.writes.is_empty() {
            return None;
        }
        // Guard: whoever leads by then, only this leadership's writes count.
        txn.conditions.push(Condition { key: records::LEADER.to_owned(), stamp: self.stamp });
        let out = txn.clone();
        self.flying = Some(Flying { txn, chunks, dones, drops, tag, sent: true, resync: Vec::new() });
        Some(out)
    }

    /// How the transaction under way ended. False: the leadership is lost.
    pub fn committed(&mut self, now: Ms, outcome: CommitOutcome) -> bool {
        let Some(mut f) = self.flying.take() else { return true };
        match outcome {
            CommitOutcome::Done(epoch) => {
                self.applied(now, f, epoch);
            }
            CommitOutcome::Refused => {
                self.commit_after = now + 150;
                // Rebuilt from the wanted state as it is by then. But if an
                // earlier copy went unanswered, this one must be settled first.
                if f.tag & UNSURE != 0 {
                    f.sent = false;
                    self.flying = Some(f);
                } else {
                    self.give_back(f);
                }
            }
            CommitOutcome::Unknown => {
                // Guard: it may yet be applied. The same transaction again, on
                // the same conditions, can be applied only once in all.
                self.commit_after = now + 100;
                f.sent = false;
                f.tag |= UNSURE;
                self.flying = Some(f);
            }
            CommitOutcome::Conflict(failed) => {
                if failed.iter().any(|k| k == records::LEADER) {
                    return false;
                }
                for key in &failed {
                    if let Some(id) = key.strip_prefix(records::JOBS) {
                        let stale: Vec<JobIx> = self
                            .active
                            .iter()
                            .copied()
                            .filter(|&j| self.job(j).is_some_and(|j| &*j.id == id))
                            .collect();
                        for ix in stale {
                            if let Some(j) = self.job_mut(ix) {
                                j.stale = true;
                            }
                        }
                    }
                }
                let tasks: Vec<String> = failed.into_iter().filter(|k| k.starts_with(records::TASKS)).collect();
                // Keys to be dropped that changed or are gone need no second look:
                // whoever leads next drops what is left of a job that is over.
                let (lost, resync): (Vec<String>, Vec<String>) = tasks.into_iter().partition(|k| f.drops.contains(k));
                f.drops.retain(|k| !lost.contains(k));
                if resync.is_empty() {
                    self.give_back(f);
                } else {
                    f.sent = false;
                    f.resync = resync;
                    self.flying = Some(f);
                }
            }
        }
        true
    }

    fn give_back(&mut self, f: Flying) {
        for key in f.drops {
            let stamp = f.txn.conditions.iter().find(|c| c.key == key).map_or(0, |c| c.stamp);
            self.drops.push_back((key, stamp));
        }
        self.after_flight(f.chunks.iter().map(|c| c.0).collect());
    }

    fn after_flight(&mut self, jobs: Vec<JobIx>) {
        for ix in jobs {
            self.retire_cancelled(ix);
        }
        self.dirty = true;
    }

    fn applied(&mut self, now: Ms, f: Flying, epoch: u64) {
        for &(ix, c, ver) in &f.chunks {
            match self.job_mut(ix) {
                Some(job) => {
                    job.chunks[c].committed = job.chunks[c].committed.max(ver);
                    job.chunks[c].stamp = epoch;
                }
                None => tracing::debug!("records of a job that is over were written"),
            }
        }
        for &ix in &f.dones {
            if let Some(job) = self.job_mut(ix) {
                job.stamp = epoch;
                let last_s = (job.last_placed as i64 - job.since) as f64 / 1000.0;
                let (est, tasks) = (job.spec.estimate_s, job.spec.tasks);
                tracing::info!(job = &*job.id, age_s = job.age_s(now), last_s, tasks, est, rank = ?job.spec.priority, stops = job.stops, losses = job.losses, "done");
            }
            self.finish(ix);
        }
        self.after_flight(f.chunks.iter().map(|c| c.0).collect());
    }

    /// A key asked for by `resync_key` was read: who wrote it, and when.
    pub fn resynced(&mut self, now: Ms, key: &str, found: Option<(Value, u64)>) {
        let Some(mut f) = self.flying.take() else { return };
        let mut stamp = 0;
        if let Some((v, at)) = found {
            stamp = at;
            let rec = v.deserialized::<ChunkRecord>().unwrap_or_default();
            if rec.tag == f.tag & !UNSURE {
                // Ours after all: everything in it has this one stamp.
                f.resync.clear();
                self.applied(now, f, at);
                return;
            }
        }
        f.resync.retain(|k| k != key);
        if let Some((id, c)) = records::split_chunk_key(key) {
            for ix in self.active.clone() {
                if let Some(job) = self.job_mut(ix).filter(|j| &*j.id == id) {
                    if let Some(c) = job.chunks.get_mut(c as usize) {
                        c.stamp = stamp;
                    }
                }
            }
        }
        if f.resync.is_empty() {
            self.commit_after = now;
            self.give_back(f);
        } else {
            self.flying = Some(f);
        }
    }

    // ---- display -------------------------------------------------------

    /// Counts of jobs that changed since the last call.
    pub fn take_counts(&mut self, max: usize) -> Vec<Count> {
        let some: Vec<JobIx> = self.counts.iter().copied().take(max).collect();
        let mut out = Vec::with_capacity(some.len());
        for ix in some {
            self.counts.remove(&ix);
            if let Some(j) = self.job_mut(ix) {
                if j.shown != (j.done, j.running) {
                    j.shown = (j.done, j.running);
                    out.push(Count { job: j.id.to_string(), done: j.done, running: j.running });
                }
            }
        }
        out
    }
}

/// Records dropped at a time, and the pause between.
const DROPS: usize = 4;
const DROP_GAP_MS: Ms = 800;

/// Marks, in a flying transaction's tag, that one copy went unanswered.
const UNSURE: u64 = 1 << 63;

impl Job {
    fn is_flying_in(&self, f: &Option<Flying>) -> bool {
        f.as_ref().is_some_and(|f| f.chunks.iter().any(|c| c.0 == self.ix))
    }
}
