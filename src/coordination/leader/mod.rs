//! The leader's mind: reports and records in, a wanted state kept, and loops
//! that work out the difference: transactions, commands, rentals.
//!
//! Safety rests on four habits, each guarded where it is marked below:
//! a place is recorded before its launch is sent; it counts as occupied until
//! something proves that the task is gone; a command that may still be under
//! way is fenced by a raised token; reaping follows the written end.

mod assignments;
mod commands;
mod commits;
mod leases;
mod loading;
mod reports;
mod resharding;

pub use commands::halts_of_cancelled;

use std::{
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
};

use ciborium::Value;

use self::resharding::Reshard;
use super::{fleet::Fleet, model::*, snapshot::ClusterSnapshot};
use crate::{
    bookkeeping::{
        job_cache::{JobCache, JobIx},
        records::{self, AssignmentRecord, ChunkRecord, JobRecord, Status},
    },
    protocol::{
        cloud::RentRequest,
        jobs::{JobSpec, Kind, Priority, Submission},
        names::{ClassIx, Tables, ZoneIx},
        peers::Count,
        store::{Condition, Op, Txn},
        workers::{split_task, DirectCommandRequest, ExitReason, Order, Report, ReportAnswer, TaskReport, TaskState},
    },
};

#[derive(Debug, Clone)]
pub struct Config {
    pub lease_ms: Ms,
    pub report_ms: Ms,
    pub gang_peer_s: f64,
    pub txn_ops: usize,
    /// Bytes of a value: the limit as it is, what fits later as well, and tasks
    /// per chunk that do.
    pub value_max: usize,
    pub value_fit: usize,
    pub chunk_fit: u32,
    pub list_lag_ms: Ms,
    pub teams: Vec<TeamLimits>,
    /// What users want of a class: starts or ends within some seconds.
    pub aims: Vec<ServiceObjective>,
    pub idle_keep_ms: Ms,
    pub silent_ms: Ms,
    pub max_machines: usize,
    pub use_spot: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceObjective {
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
        req: DirectCommandRequest,
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
pub enum DirectCallOutcome {
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
    /// Not executed, and as it is it never will be.
    TooLarge,
    /// May have been executed, or may yet be.
    Unknown,
}

/// A transaction under way, and what of the wanted state it carries.
#[derive(Debug)]
struct InFlightTxn {
    txn: Txn,
    chunks: Vec<(JobIx, usize, u64)>,
    dones: Vec<JobIx>,
    drops: Vec<String>,
    /// A job whose tasks it divides anew.
    reshard: Option<Reshard>,
    tag: u64,
    sent: bool,
    /// Keys to read before anything else, to learn whether it was applied.
    resync: Vec<String>,
}

/// For the logs: records written since the last summary, by what for, and how
/// long places waited for theirs in all.
#[derive(Debug, Default)]
struct Written {
    txns: u32,
    assignments: u32,
    ends: u32,
    dones: u32,
    drops: u32,
    waited_ms: u64,
}

pub struct Leader {
    pub cfg: Config,
    pub stamp: u64,
    /// The latest moment heard of.
    pub clock: Ms,
    /// Largest value that the state service is known to take, and most writes
    /// of a transaction.
    pub value_limit: usize,
    ops_cap: usize,
    /// All controllers follow a job whose tasks are divided anew.
    pub may_reshard: bool,
    reshard_after: Ms,
    /// The time of day is so far ahead of the steady clock.
    day_ms: i64,
    pub started: Ms,
    pub loaded: bool,
    pub jobs: Vec<Option<Job>>,
    pub active: Vec<JobIx>,
    pub machines: Vec<Machine>,
    pub machine_ix: HashMap<String, MachineIx>,
    pub assignments: Vec<Option<Assignment>>,
    release_assignments: Vec<u32>,
    pub types: Vec<TypeInfo>,
    pub pass_needed: bool,
    pub last_pass: Ms,
    attempt: u64,
    next_call: u64,
    tag: u64,
    in_flight_txn: Option<InFlightTxn>,
    drops: VecDeque<(String, u64)>,
    drop_after: Ms,
    pub commit_after: Ms,
    pub fleet: Fleet,
    pub effects: Vec<Effect>,
    counts: HashSet<JobIx>,
    pub heard_any: Ms,
    /// Shapes of GPU work seen lately, when, and when such a job last came.
    pub snapshot: ClusterSnapshot,
    /// In use by team, places that may still be taken included.
    pub team_used: Vec<Res>,
    /// Where the next sample of machines begins.
    pub cursor: u32,
    /// Machines that something may have to be told, and when to look.
    wake: BTreeSet<(Ms, MachineIx)>,
    next_sweep: Ms,
    /// From when to when no other controller kept any lease.
    pub no_peer_renewals: (i64, i64),
    next_summary: Ms,
    written_since: Written,
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
            snapshot: ClusterSnapshot::default(),
            team_used: vec![Res::default(); cfg.teams.len()],
            cursor: 0,
            wake: BTreeSet::new(),
            next_sweep: now,
            no_peer_renewals: (i64::MIN / 2, i64::MAX / 2),
            next_summary: now + 10_000,
            written_since: Written::default(),
            stamp,
            clock: now,
            value_limit: cfg.value_max,
            ops_cap: usize::MAX,
            may_reshard: false,
            reshard_after: 0,
            day_ms: 0,
            started: now,
            loaded: false,
            jobs: Vec::new(),
            cfg,
            active: Vec::new(),
            machines: Vec::new(),
            machine_ix: HashMap::new(),
            assignments: Vec::new(),
            release_assignments: Vec::new(),
            types,
            pass_needed: true,
            last_pass: 0,
            attempt: stamp << 20,
            next_call: 1,
            tag: stamp << 20,
            in_flight_txn: None,
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

    pub fn assignment(&self, ix: AssignmentIx) -> Option<&Assignment> {
        self.assignments.get(ix.at()).and_then(Option::as_ref)
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

    /// The job cache shows a job's record, new or changed.
    pub fn job_update(&mut self, now: Ms, wall_ms: u64, ix: JobIx, job_cache: &JobCache) {
        let e = job_cache.get(ix);
        self.day_ms = wall_ms as i64 - now as i64;
        if self.jobs.len() <= ix.at() {
            self.jobs.resize_with(ix.at() + 1, || None);
        }
        match (&mut self.jobs[ix.at()], e.status) {
            // Guard: until the ends of all that it needs are written, a job is
            // in no trial, and holds no part of any limit or guarantee.
            (None, Status::Pending) if job_cache.waits(ix) => return,
            (None, Status::Pending) => {
                let Some(spec) = job_cache.effective_spec(ix) else { return };
                self.add_job(now, wall_ms, ix, spec, job_cache);
            }
            (Some(job), Status::Pending) => {
                job.stamp = e.stamp;
                job.stale = false;
                job.recorded_chunk = e.chunk;
                self.adopt_recorded_sharding(ix);
                if let Some(spec) = job_cache.effective_spec(ix) {
                    self.change_spec(ix, spec);
                }
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
        self.pass_needed = true;
    }

    /// What others ask of a job changed its priority or its deadline.
    fn change_spec(&mut self, ix: JobIx, spec: Rc<JobSpec>) {
        let Some(job) = self.jobs[ix.at()].as_mut() else { return };
        if *job.spec == *spec {
            return;
        }
        let old = std::mem::replace(&mut job.spec, spec.clone());
        let slots = job.slots.iter();
        let at: Vec<AssignmentIx> = slots.filter_map(|s| if let Slot::At(p) = s { Some(*p) } else { None }).collect();
        for p in at {
            let Some(p) = self.assignments.get(p.at()).and_then(Option::as_ref) else { continue };
            // The snapshot counts by priority what may be stopped.
            self.snapshot.give(p.machine.at(), &old, p.halt.is_some());
            self.snapshot.take(p.machine.at(), &spec);
            if p.halt.is_some() {
                self.snapshot.stop(p.machine.at(), &spec);
            }
        }
    }

    pub(super) fn add_job(&mut self, now: Ms, wall_ms: u64, ix: JobIx, spec: Rc<JobSpec>, job_cache: &JobCache) {
        let e = job_cache.get(ix);
        let n = spec.tasks;
        let is_outsized = e.chunk > self.cfg.chunk_fit && n > self.cfg.chunk_fit;
        let age = wall_ms.saturating_sub(job_cache.ready_ms(ix)).min(1 << 40) as i64;
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
            oversized_record: e.record.clone().filter(|_| is_outsized),
            resharding: false,
            recorded_chunk: e.chunk,
            unwritten_since: None,
            started: false,
            begun: false,
            errors: 0,
            error_on: Vec::new(),
            shown: (0, 0),
            evict_at: 0,
            zone_used: Vec::new(),
            within: false,
            stops: 0,
            losses: 0,
            last_assigned: now,
            waiting_since: now,
        });
        self.active.push(ix);
    }

    /// Stops all of a job's tasks; what was only planned is simply dropped.
    pub fn stop_job(&mut self, now: Ms, ix: JobIx, grace_s: f64) {
        let Some(job) = self.job(ix) else { return };
        let assignments: Vec<AssignmentIx> = job
            .slots
            .iter()
            .filter_map(|s| match s {
                Slot::At(p) => Some(*p),
                _ => None,
            })
            .collect();
        for p in assignments {
            self.halt(now, p, grace_s);
        }
        self.retire_over(ix);
    }

    /// Wants a task stopped. A place whose launch was never sent is given up at once.
    pub fn halt(&mut self, now: Ms, ix: AssignmentIx, grace_s: f64) {
        let Some(p) = self.assignments[ix.at()].as_mut() else { return };
        let never_sent = p.state == AssignmentState::Wanted && p.sent.is_none() && !p.inherited;
        if never_sent {
            self.release_assignment(ix, false);
            return;
        }
        let (job, machine) = (p.job, p.machine);
        match &mut p.halt {
            Some(h) if grace_s < h.grace_s => {
                h.grace_s = grace_s;
                h.sent = None;
            }
            Some(_) => return,
            None => {
                p.halt = Some(Halt { grace_s, since: now, sent: None });
                if let Some(job) = self.jobs.get(job.at()).and_then(Option::as_ref) {
                    self.snapshot.stop(machine.at(), &job.spec);
                }
            }
        }
        self.wake.insert((now, machine));
    }

    /// A job that is over and has no places leaves the snapshot; its records go.
    pub(super) fn retire_over(&mut self, ix: JobIx) {
        let Some(job) = self.job(ix) else { return };
        if job.status != Status::Pending && job.placed == 0 && !job.is_in_txn(&self.in_flight_txn) {
            self.forget(ix);
        }
    }

    pub(super) fn finish(&mut self, ix: JobIx) {
        if let Some(job) = self.job_mut(ix) {
            job.status = Status::Done;
        }
        self.retire_over(ix);
    }

    pub(super) fn forget(&mut self, ix: JobIx) {
        let Some(job) = self.jobs[ix.at()].take() else { return };
        self.active.retain(|&j| j != ix);
        for (n, c) in job.chunks.iter().enumerate() {
            if c.stamp != 0 {
                self.drops.push_back((records::chunk_key(&job.id, n as u32), c.stamp));
            }
        }
    }

    /// The job is over as far as records go: its unreaped exits may be reaped.
    pub(super) fn is_exit_recorded(&self, t: &UnreapedExit) -> bool {
        match self.job(t.job) {
            None => true,
            Some(job) => job.chunks.get(t.chunk).is_none_or(|c| c.committed >= t.ver),
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

/// Marks, in a in_flight_txn transaction's tag, that one copy went unanswered.
const UNSURE: u64 = 1 << 63;

impl Job {
    fn is_in_txn(&self, f: &Option<InFlightTxn>) -> bool {
        f.as_ref().is_some_and(|f| {
            f.chunks.iter().any(|c| c.0 == self.ix) || f.reshard.as_ref().is_some_and(|r| r.job == self.ix)
        })
    }
}
