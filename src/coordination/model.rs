//! The leader's snapshot: jobs, machines, and the places where tasks may be.

use std::{net::SocketAddr, ops, rc::Rc};

use crate::{
    bookkeeping::{
        job_cache::JobIx,
        records::{JobRecord, Status},
    },
    protocol::{
        jobs::JobSpec,
        names::{TypeIx, ZoneIx},
        workers::{ExitReason, TaskState},
    },
};

pub type Ms = u64;

/// What runs this long has started for good (PROTOCOL, "How aims are counted").
pub const START_COUNTS_MS: Ms = 30_000;

macro_rules! index {
    ($name:ident) => {
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub u32);

        impl $name {
            pub fn at(self) -> usize {
                self.0 as usize
            }
        }
    };
}

index!(AssignmentIx);
index!(MachineIx);

#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Res {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

/// Sums of decimals are compared with this much slack.
pub const EPS: f64 = 1e-6;

impl Res {
    pub fn of(spec: &JobSpec) -> Res {
        Res { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    pub fn fits_in(&self, room: &Res) -> bool {
        self.cpus <= room.cpus + EPS && self.gpus <= room.gpus + EPS && self.memory_gb <= room.memory_gb + EPS
    }

    /// How many times `self` fits into `room`.
    pub fn times_in(&self, room: &Res) -> u32 {
        let one = |need: f64, have: f64| {
            if need <= EPS {
                f64::from(u32::MAX)
            } else {
                ((have + EPS) / need).floor().max(0.0)
            }
        };
        one(self.cpus, room.cpus).min(one(self.gpus, room.gpus)).min(one(self.memory_gb, room.memory_gb)) as u32
    }

    pub fn any(&self) -> bool {
        self.cpus.abs() > EPS || self.gpus.abs() > EPS || self.memory_gb.abs() > EPS
    }

    pub fn max0(self) -> Res {
        Res { cpus: self.cpus.max(0.0), gpus: self.gpus.max(0.0), memory_gb: self.memory_gb.max(0.0) }
    }

    pub fn max(self, o: Res) -> Res {
        Res { cpus: self.cpus.max(o.cpus), gpus: self.gpus.max(o.gpus), memory_gb: self.memory_gb.max(o.memory_gb) }
    }

    pub fn min(self, o: Res) -> Res {
        Res { cpus: self.cpus.min(o.cpus), gpus: self.gpus.min(o.gpus), memory_gb: self.memory_gb.min(o.memory_gb) }
    }
}

impl ops::Add for Res {
    type Output = Res;
    fn add(self, o: Res) -> Res {
        Res { cpus: self.cpus + o.cpus, gpus: self.gpus + o.gpus, memory_gb: self.memory_gb + o.memory_gb }
    }
}

impl ops::Sub for Res {
    type Output = Res;
    fn sub(self, o: Res) -> Res {
        Res { cpus: self.cpus - o.cpus, gpus: self.gpus - o.gpus, memory_gb: self.memory_gb - o.memory_gb }
    }
}

impl ops::Mul<f64> for Res {
    type Output = Res;
    fn mul(self, x: f64) -> Res {
        Res { cpus: self.cpus * x, gpus: self.gpus * x, memory_gb: self.memory_gb * x }
    }
}

impl ops::AddAssign for Res {
    fn add_assign(&mut self, o: Res) {
        *self = *self + o;
    }
}

impl ops::SubAssign for Res {
    fn sub_assign(&mut self, o: Res) {
        *self = *self - o;
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slot {
    Pending,
    Done,
    At(AssignmentIx),
}

/// One `t/` record: the wanted state has version `ver`, the written one `committed`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Chunk {
    pub ver: u64,
    pub committed: u64,
    /// The version that last gained a place: its launch waits for the write.
    pub urgent: u64,
    pub stamp: u64,
    /// Its value is larger than may be written; not to be tried before.
    pub held_until: Ms,
}

#[derive(Debug)]
pub struct Job {
    pub ix: JobIx,
    pub id: Rc<str>,
    pub spec: Rc<JobSpec>,
    pub stamp: u64,
    pub status: Status,
    /// On the leader's steady clock; may lie before its start.
    pub since: i64,
    pub chunk_size: u32,
    pub slots: Vec<Slot>,
    pub chunks: Vec<Chunk>,
    /// Pending task numbers, the next one last.
    pub pending: Vec<u32>,
    pub done: u32,
    pub placed: u32,
    pub running: u32,
    /// Not to be tried before.
    pub not_before: Ms,
    /// A transaction found the record changed; wait until the job cache shows it.
    pub stale: bool,
    /// Its record, while that divides its tasks into larger chunks than fit.
    pub oversized_record: Option<Rc<JobRecord>>,
    /// Its tasks are being divided anew: nothing more of it may be placed.
    pub resharding: bool,
    /// The size of its chunks as its record says.
    pub recorded_chunk: u32,
    /// Since when ends wait to be written.
    pub unwritten_since: Option<Ms>,
    /// A task ended done, or ran long enough to count as a start.
    pub begun: bool,
    /// Something ran before: later tasks may trigger eviction on their own.
    pub started: bool,
    pub errors: u32,
    pub error_on: Vec<MachineIx>,
    pub shown: (u32, u32),
    pub evict_at: Ms,
    /// Its places by zone, if it restricts zones.
    pub zone_used: Vec<u32>,
    /// Within its team's guarantee, as of the last pass.
    pub within: bool,
    /// For the logs: tasks stopped by command, tasks lost with their machine,
    /// and when a task was last given a place.
    pub stops: u32,
    pub losses: u32,
    pub last_assigned: Ms,
    /// First seen waiting without room, for the logs and the fleet.
    pub waiting_since: Ms,
}

impl Job {
    pub fn all_done(&self) -> bool {
        self.done as usize == self.slots.len()
    }

    pub fn chunk_of(&self, task: u32) -> usize {
        (task / self.chunk_size) as usize
    }

    pub fn touch(&mut self, task: u32) -> u64 {
        let c = self.chunk_of(task);
        self.chunks[c].ver += 1;
        self.chunks[c].ver
    }

    pub fn has_unwritten_changes(&self) -> bool {
        self.chunks.iter().any(|c| c.ver != c.committed)
    }

    /// A place waits to be written.
    pub fn is_urgent(&self) -> bool {
        self.chunks.iter().any(|c| c.urgent > c.committed)
    }

    pub fn age_s(&self, now: Ms) -> f64 {
        (now as i64 - self.since) as f64 / 1000.0
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AssignmentState {
    /// In the wanted state; launched once its record is written.
    Wanted,
    Seen(TaskState),
    /// Has ended, but that isn't settled while an old command may still be under way.
    Ended(ExitReason),
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Halt {
    pub grace_s: f64,
    pub since: Ms,
    /// When it was last sent.
    pub sent: Option<Ms>,
}

#[derive(Debug)]
pub struct Assignment {
    pub job: JobIx,
    pub task: u32,
    pub machine: MachineIx,
    pub zone: ZoneIx,
    pub session: u64,
    pub attempt: u64,
    /// Version of its chunk that first held it.
    pub ver: u64,
    pub state: AssignmentState,
    /// When its launch was last sent.
    pub sent: Option<Ms>,
    pub running_since: Option<Ms>,
    pub halt: Option<Halt>,
    pub made: Ms,
    /// Read from a record: a leader before may have sent its launch.
    pub inherited: bool,
}

/// An ended task that the worker still lists: reaped once its end is written.
#[derive(Debug, Clone)]
pub struct UnreapedExit {
    pub task: String,
    pub attempt: u64,
    pub job: JobIx,
    pub chunk: usize,
    pub ver: u64,
}

#[derive(Debug, Clone)]
pub struct DirectCall {
    pub id: u64,
    pub sent: Ms,
    /// Places whose launch it carries.
    pub launches: Vec<(JobIx, u32, u64)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineLifecycle {
    /// Rented or listed; its worker has not reported yet.
    Booting,
    Up,
    /// Being handed back.
    Returning,
    /// The cloud said that it is gone.
    Gone,
}

/// Reports in a row, without a sign of our answers, that make a machine deaf.
const DEAF: u32 = 3;

#[derive(Debug)]
pub struct Machine {
    pub id: String,
    pub addr: Option<SocketAddr>,
    pub ty: Option<TypeIx>,
    pub zone: ZoneIx,
    pub spot: bool,
    pub life: MachineLifecycle,
    pub session: u64,
    pub seq: u64,
    /// Reports of sessions up to this one are too old to mean anything.
    pub dead_session: u64,
    /// The token that commands to it carry now.
    pub token: u64,
    /// Absence and ends prove something once it has shown at least this token.
    pub fence: u64,
    pub seen_token: u64,
    /// A report of it was answered since the fence was last raised; reports
    /// since that show no sign of an answer, and when the last of them came.
    pub answered: bool,
    pub unheeded: u32,
    pub unheeded_at: Ms,
    /// When its last report came, by itself or as the answer to a call.
    pub heard: Option<Ms>,
    /// When its last report came by itself.
    pub reported: Option<Ms>,
    /// When the last 200 went to one of its reports, by us or anyone before.
    pub renewed: Ms,
    /// A probe is under way; probes in a row that went unanswered.
    pub probing: bool,
    pub probe_fails: u32,
    pub notice_until: Option<Ms>,
    pub assignments: Vec<AssignmentIx>,
    /// Of those, places of GPU work.
    pub gpu_assignments: u32,
    pub unreaped_exits: Vec<UnreapedExit>,
    pub call: Option<DirectCall>,
    pub call_after: Ms,
    /// The answer to its last report carried launches, and no report came since.
    pub answer_open: bool,
    pub rented: Ms,
    pub up_at: Option<Ms>,
    pub idle_since: Option<Ms>,
    /// Since when none of its GPUs is in use.
    pub gpu_idle_since: Option<Ms>,
    pub avoid_until: Ms,
    /// Jobs whose tasks failed here, and when.
    pub errors: Vec<(JobIx, Ms)>,
    /// To be emptied and handed back.
    pub retire: bool,
    pub return_after: Ms,
    pub listed: bool,
}

impl Machine {
    pub fn new(id: &str, zone: ZoneIx, token: u64, now: Ms) -> Machine {
        Machine {
            id: id.to_owned(),
            addr: None,
            ty: None,
            zone,
            spot: false,
            life: MachineLifecycle::Booting,
            session: 0,
            seq: 0,
            dead_session: 0,
            token,
            fence: token,
            seen_token: 0,
            answered: false,
            unheeded: 0,
            unheeded_at: 0,
            heard: None,
            reported: None,
            renewed: now,
            probing: false,
            probe_fails: 0,
            notice_until: None,
            assignments: Vec::new(),
            gpu_assignments: 0,
            unreaped_exits: Vec::new(),
            call: None,
            call_after: 0,
            answer_open: false,
            rented: now,
            up_at: None,
            idle_since: None,
            gpu_idle_since: None,
            avoid_until: 0,
            errors: Vec::new(),
            retire: false,
            return_after: 0,
            listed: false,
        }
    }

    /// Its reports come, but what it is told doesn't reach it.
    pub fn is_deaf(&self) -> bool {
        self.unheeded >= DEAF
    }

    /// No command sent earlier can still take effect behind our back.
    pub fn fenced(&self) -> bool {
        self.seen_token >= self.fence
    }
}

/// A machine type as the cloud describes it.
#[derive(Debug, Clone)]
pub struct TypeInfo {
    pub ix: TypeIx,
    pub cap: Res,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    pub zones: Vec<ZoneIx>,
}

impl TypeInfo {
    pub fn price_of(&self, spot: bool) -> f64 {
        if spot && self.spot_price > 0.0 {
            self.spot_price
        } else {
            self.price
        }
    }
}

/// Can one task of this job ever run on some machine that may be rented?
pub fn fits_some_type(spec: &JobSpec, types: &[TypeInfo]) -> bool {
    types.iter().any(|t| {
        spec.allows_type(t.ix) && Res::of(spec).fits_in(&t.cap) && spec.zone.is_none_or(|z| t.zones.contains(&z))
    })
}

/// A team's guarantee and limit; None: none is set.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamLimits {
    pub cpus: Option<f64>,
    pub gpus: Option<f64>,
    pub cpus_max: Option<f64>,
    pub gpus_max: Option<f64>,
}

impl TeamLimits {
    /// How many more tasks of this kind the limit allows on top of `used`.
    pub fn room_for(&self, spec: &JobSpec, used: &Res) -> u32 {
        let one = |max: Option<f64>, used: f64, need: f64| match max {
            Some(max) if need > 0.0 => ((max - used + EPS) / need).floor().max(0.0) as u32,
            _ => u32::MAX,
        };
        one(self.cpus_max, used.cpus, spec.cpus).min(one(self.gpus_max, used.gpus, spec.gpus))
    }

    /// 422: the job as a whole needs more than the limit ever allows.
    pub fn ever_allows(&self, spec: &JobSpec) -> bool {
        let tasks = match spec.kind {
            crate::protocol::jobs::Kind::Array => 1,
            _ => spec.tasks,
        };
        self.room_for(spec, &Res::default()) >= tasks
    }
}

#[cfg(test)]
#[path = "tests/model.rs"]
pub mod tests;
