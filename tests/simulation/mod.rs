//! Stand-ins written from PROTOCOL, in virtual time: a state service, workers,
//! a cloud, and a judge that watches every start. One leader's mind drives
//! them; whoever writes a case decides what is held, lost or killed.

#![allow(dead_code)] // each file of tests uses its own part of it

use std::collections::HashMap;

use ciborium::Value;
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use shedhook::{
    bookkeeping::{
        budget::{share, Budget, BudgetRole, Urgency},
        job_cache::JobCache,
        records::{self, ChunkRecord, JobRecord, Status},
    },
    coordination::{
        fleet::RentOutcome,
        leader::{Answer, CommitOutcome, Config, DirectCallOutcome, Effect, Leader},
        lease_renewal::TimeSpan,
        model::{MachineIx, Ms, Res, TeamLimits, TypeInfo},
    },
    protocol::{
        cloud::{HostList, HostState, ListedHost, RentRequest},
        jobs::Submission,
        names::Tables,
        store::{Change, Changes, Op, Page, Pair, Txn},
        workers::{split_task, DirectCommandRequest, ExitReason, Order, Report, TaskReport, TaskState},
    },
};

pub const LEASE: Ms = 30_000;
pub const CANCEL: Ms = 50_000;
const REPORT: Ms = 3_000;
const STEP: Ms = 100;
const FETCH: Ms = 1_000;
const GANG_WAIT: Ms = 60_000;
const GANG_PEER: Ms = 8_000;

// ---- state service -----------------------------------------------------

#[derive(Default)]
pub struct Store {
    pub keys: std::collections::BTreeMap<String, (Value, u64)>,
    pub epoch: u64,
    log: Vec<Change>,
}

impl Store {
    pub fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<String>> {
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |k| k.1) != c.stamp)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        self.epoch += 1;
        let stamp = self.epoch;
        for w in &txn.writes {
            match w {
                Op::Put { key, v, .. } => {
                    self.keys.insert(key.clone(), (v.clone(), stamp));
                    self.log.push(Change { write: Some(key.clone()), drop: None, v: Some(v.clone()), stamp });
                }
                Op::Delete { key } => {
                    self.keys.remove(key);
                    self.log.push(Change { write: None, drop: Some(key.clone()), v: None, stamp });
                }
            }
        }
        Ok(stamp)
    }

    fn page(&self, prefix: &str) -> Page {
        let pairs = self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(prefix))
            .map(|(k, (v, stamp))| Pair { key: k.clone(), v: v.clone(), stamp: *stamp, permit: None })
            .collect();
        Page { pairs, truncated: false, epoch: self.epoch }
    }

    fn changes(&self, prefix: &str, from: u64) -> Changes {
        let events = self
            .log
            .iter()
            .filter(|c| c.stamp > from && c.write.as_deref().is_some_and(|k| k.starts_with(prefix)))
            .cloned()
            .collect();
        Changes { epoch: self.epoch, events }
    }
}

// ---- workers -----------------------------------------------------------

#[derive(Debug, Clone)]
pub struct WorkerTask {
    pub name: String,
    pub attempt: u64,
    pub state: TaskState,
    pub why: Option<ExitReason>,
    since: Ms,
}

impl WorkerTask {
    /// On its machine, as the rules count it.
    fn is_there(&self) -> bool {
        matches!(self.state, TaskState::Running | TaskState::Waiting)
    }
}

pub struct Worker {
    pub id: String,
    pub zone: String,
    pub spot: bool,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub tasks: Vec<WorkerTask>,
    /// When the last answered report was sent, or the session began.
    leased: Ms,
    next_report: Ms,
    changed: bool,
    /// Its packets go nowhere; it goes on working.
    pub cut: bool,
    /// It doesn't execute, nor answer, but may resume.
    pub hung: bool,
    pub dead: bool,
    /// Behind the cut, another controller keeps its lease.
    pub kept: bool,
    /// Hears no answers to its reports.
    pub deaf: bool,
    /// Its reports go nowhere, commands and probes reach it.
    pub mute: bool,
    /// Its reports come through, but nothing reaches it.
    pub stone: bool,
    /// A higher token counts as a change once in half a lease.
    token_told: Option<Ms>,
}

impl Worker {
    /// Can commands and probes reach it?
    fn is_reached(&self) -> bool {
        !(self.dead || self.cut || self.hung || self.stone)
    }

    /// It comes back at once, with a new session and nothing on it.
    pub fn restart(&mut self, now: Ms) {
        self.tasks.clear();
        self.session += 1;
        self.leased = now;
        self.changed = true;
    }

    fn report(&mut self) -> Report {
        self.seq += 1;
        Report {
            machine: self.id.clone(),
            addr: "127.0.0.1:9".into(),
            machine_type: "m".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|t| TaskReport {
                    task: t.name.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    why: t.why,
                    saved: (t.why == Some(ExitReason::Stopped)).then_some(true),
                })
                .collect(),
        }
    }
}

pub struct JobFacts {
    pub sub: Submission,
    pub cancelled_at: Option<Ms>,
    pub run_ms: Ms,
}

/// A command or report that arrives later than it was sent.
pub enum Held {
    Do {
        worker: usize,
        req: DirectCommandRequest,
    },
    SlowDo {
        worker: usize,
        req: DirectCommandRequest,
        machine: MachineIx,
        call: u64,
        stamp: u64,
    },
    Report(Report),
    Txn(Txn),
    /// Carried out when it comes, and answered later still.
    SlowTxn {
        txn: Txn,
        stamp: u64,
    },
    TxnAnswer {
        outcome: CommitOutcome,
        stamp: u64,
    },
    /// The command was carried out; this is what the leader hears of it.
    DoAnswer {
        out: DirectCallOutcome,
        machine: MachineIx,
        call: u64,
        stamp: u64,
    },
}

/// What happens to messages, decided anew for each.
#[derive(Clone, Copy, Default)]
pub struct FaultRates {
    /// In a hundred: the answer to a command is lost; the command is executed later.
    pub late_do: u32,
    /// A command never arrives.
    pub lost_do: u32,
    /// A command is executed and answered, and a copy of it comes again later.
    pub repeat_do: u32,
    /// A command takes a second or two to be executed and answered.
    pub slow_do: u32,
    /// The answer to a transaction is lost; half of those are applied at once,
    /// half later.
    pub lost_txn: u32,
    /// The answer to a report is lost.
    pub lost_answer: u32,
    /// A report also arrives a second time, late.
    pub late_report: u32,
    /// A rental's answer is lost.
    pub lost_rent: u32,
    /// A command is executed at once, its answer takes a second or two.
    pub slow_answer: u32,
    /// A transaction gets no answer and is carried out 2 to 12 s later.
    pub late_txn: u32,
    /// A report arrives again from within a lease to four of them later.
    pub old_report: u32,
    /// A report does not arrive now, but some seconds later, unanswered.
    pub held_report: u32,
}

/// A controller's shares of the state service's writes; the first one leads.
pub struct Controller {
    pub users: Budget,
    pub commits: Budget,
}

/// The state service's own count of writes, and how many controllers share it.
pub struct Writes {
    pub limit: f64,
    pub controllers: Vec<Controller>,
    service: Budget,
    pub written: usize,
    pub refused: usize,
}

pub struct Simulation {
    pub now: Ms,
    pub rng: SmallRng,
    pub store: Store,
    pub workers: Vec<Worker>,
    pub jobs: HashMap<String, JobFacts>,
    pub leader: Option<Leader>,
    pub job_cache: JobCache,
    pub tables: Tables,
    pub held: Vec<(Ms, Held)>,
    pub faults: FaultRates,
    /// Tasks that completed; started again, they end at once.
    pub completed: std::collections::HashSet<String>,
    pub asks: HashMap<String, Vec<String>>,
    pub asked_in: Vec<(u64, String)>,
    /// Machines the cloud still has to give.
    pub capacity: u32,
    /// There is a cloud: it had machines to give at some time.
    cloud: bool,
    pub broken: Vec<String>,
    pub starts: usize,
    pub team_gpus_max: f64,
    /// The leader dies just before, or just after, its next transaction.
    pub die_before_txn: bool,
    pub die_after_txn: bool,
    pub txns: usize,
    /// The state service takes so many transactions more, then it is away.
    pub txns_left: Option<u32>,
    pub halts_seen: Vec<(Ms, String, f64)>,
    /// This case threw records away.
    pub records_lost: bool,
    pub silent_ms: Ms,
    /// Tasks in one record; few, so that small jobs have several.
    pub chunk: u32,
    /// How much longer each task runs than the one before, up to sixteen.
    pub vary: Ms,
    /// Tasks that a worker takes at once.
    pub slots: usize,
    /// How long an image takes.
    pub fetch: Ms,
    /// Most orders seen in one message.
    pub most_orders: usize,
    /// When a lease was last kept, and since when the controllers behind the
    /// cut have not been heard.
    pub last_kept: Ms,
    pub unspoken: Option<Ms>,
    /// The leader writes records as the version before did: no time in the end
    /// of a job.
    pub writes_old_form: bool,
    /// The controller reads no changes.
    pub blind: bool,
    /// Values that the state service takes now, in bytes, those that fit
    /// later too, and tasks per chunk that do; no limit at first.
    pub value_now: usize,
    pub value_max: usize,
    pub value_fit: usize,
    pub chunk_fit: u32,
    /// Most writes of a transaction that it takes.
    pub ops_now: usize,
    pub too_large: usize,
    pub may_reshard: bool,
    /// Where writes are counted; elsewhere they are free.
    pub writes: Option<Writes>,
    /// The state service refuses the leader: its reads and transactions get
    /// 503. A read that was open waits.
    pub refuse_leader: bool,
    /// The longest that a read of the changes, or a transaction, takes.
    pub changes_ms: Ms,
    pub txn_ms: Ms,
    /// The read under way: when it is answered, whose it is, what it says.
    reading: Option<(Ms, u64, Changes)>,
    /// Launches of tasks that had completed and were reaped.
    pub done_again: usize,
    /// Tasks of a gang wait for one another, and end when one of them is gone.
    pub gangs: bool,
    /// Since when a gang's task misses another one.
    missing: HashMap<(String, u64), Ms>,
    /// Starts of jobs whose cancellation was confirmed before.
    pub starts_cancelled: usize,
    /// Since when a job's tasks wait though there is room.
    waits: HashMap<String, Ms>,
}

pub type Case = (&'static str, fn(&mut Simulation));

/// Plays each case in a simulation of its own.
pub fn run_table(cases: &[Case]) {
    for (n, (name, case)) in cases.iter().enumerate() {
        eprintln!("case: {name}");
        let mut w = Simulation::new(n as u64, 4);
        w.elect();
        case(&mut w);
        w.check(name);
    }
}

pub fn sub(id: &str, kind: &str, tasks: u32) -> Submission {
    Submission {
        name_id: Some(id.into()),
        class: Some("c".into()),
        team: Some("red".into()),
        kind: Some(kind.into()),
        priority: Some("normal".into()),
        tasks: Some(f64::from(tasks)),
        cpus: Some(2.0),
        gpus: Some(0.0),
        memory_gb: Some(1.0),
        image: Some("img".into()),
        image_gb: Some(1.0),
        one_zone: Some(false),
        spread: Some(false),
        spot: Some(true),
        estimate_s: Some(10.0),
        checkpoint_s: Some(0.0),
        save_s: Some(0.0),
        ..Submission::default()
    }
}

impl Simulation {
    pub fn new(seed: u64, workers: usize) -> Simulation {
        let mut w = Simulation {
            now: 1_000,
            rng: SmallRng::seed_from_u64(seed),
            store: Store::default(),
            workers: Vec::new(),
            jobs: HashMap::new(),
            leader: None,
            job_cache: JobCache::default(),
            tables: Tables::default(),
            held: Vec::new(),
            faults: FaultRates::default(),
            completed: Default::default(),
            asks: HashMap::new(),
            asked_in: Vec::new(),
            capacity: 0,
            cloud: false,
            broken: Vec::new(),
            starts: 0,
            team_gpus_max: 0.0,
            die_before_txn: false,
            die_after_txn: false,
            txns: 0,
            txns_left: None,
            halts_seen: Vec::new(),
            records_lost: false,
            silent_ms: 1 << 40,
            chunk: 4,
            vary: 0,
            slots: 4,
            fetch: FETCH,
            most_orders: 0,
            last_kept: 0,
            unspoken: None,
            writes_old_form: false,
            blind: false,
            value_now: usize::MAX,
            value_max: usize::MAX,
            value_fit: usize::MAX,
            chunk_fit: u32::MAX,
            ops_now: usize::MAX,
            too_large: 0,
            may_reshard: false,
            writes: None,
            refuse_leader: false,
            changes_ms: 0,
            txn_ms: 0,
            reading: None,
            gangs: false,
            done_again: 0,
            missing: HashMap::new(),
            starts_cancelled: 0,
            waits: HashMap::new(),
        };
        w.tables.teams.intern("red");
        w.tables.types.intern("m");
        for z in ["a", "b"] {
            w.tables.zones.intern(z);
        }
        for n in 0..workers {
            w.add_worker(if n % 2 == 0 { "a" } else { "b" });
        }
        w
    }

    pub fn add_worker(&mut self, zone: &str) -> String {
        let id = format!("i-{:06}", self.workers.len());
        self.workers.push(Worker {
            id: id.clone(),
            zone: zone.into(),
            spot: false,
            session: 1,
            seq: 0,
            token: 0,
            tasks: Vec::new(),
            leased: self.now,
            next_report: self.now + 100 * (self.workers.len() as Ms % 30),
            changed: false,
            cut: false,
            hung: false,
            dead: false,
            kept: false,
            deaf: false,
            mute: false,
            stone: false,
            token_told: None,
        });
        id
    }

    fn types(&self) -> Vec<TypeInfo> {
        vec![TypeInfo {
            ix: self.tables.types.find("m").unwrap(),
            cap: Res { cpus: 8.0, gpus: 4.0, memory_gb: 64.0 },
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.5,
            boot_s: 5.0,
            zones: vec![self.tables.zones.find("a").unwrap(), self.tables.zones.find("b").unwrap()],
        }]
    }

    /// A new leader: the key changes hands, whatever the old one had under way.
    pub fn elect(&mut self) {
        self.leader = None;
        self.store.epoch += 1;
        let stamp = self.store.epoch;
        self.store.keys.insert(records::LEADER.into(), (Value::Null, stamp));
        let cfg = Config {
            lease_ms: LEASE,
            report_ms: REPORT,
            gang_peer_s: 8.0,
            txn_ops: 8,
            value_max: self.value_max,
            value_fit: self.value_fit,
            chunk_fit: self.chunk_fit,
            list_lag_ms: 1_000,
            teams: vec![TeamLimits {
                gpus_max: (self.team_gpus_max > 0.0).then_some(self.team_gpus_max),
                ..TeamLimits::default()
            }],
            aims: Vec::new(),
            idle_keep_ms: 1 << 40,
            silent_ms: self.silent_ms,
            max_machines: usize::MAX,
            use_spot: true,
        };
        let nonce = self.rng.random();
        let mut leader = Leader::new(cfg, stamp, nonce, self.now, self.types());
        self.job_cache = JobCache::default();
        self.job_cache.page(&self.store.page(records::JOBS), true, &mut self.tables);
        self.job_cache.take_changed();
        for p in self.store.page(records::TASKS).pairs {
            leader.load(self.now, self.now, &p.key, &p.v, p.stamp, &self.job_cache, &mut self.tables);
        }
        leader.loaded(self.now, self.now, &self.job_cache);
        self.leader = Some(leader);
    }

    /// From now on writes are limited, and shared by so many controllers.
    pub fn limit_writes(&mut self, limit: f64, controllers: usize) {
        let of = |part| Budget::new(limit * part, limit * part);
        let controllers = (0..controllers).map(|_| Controller { users: of(0.2), commits: of(0.5) }).collect();
        let service = Budget::new(limit, limit);
        self.writes = Some(Writes { limit, controllers, service, written: 0, refused: 0 });
    }

    /// Controllers tell one another what they use.
    fn share_writes(&mut self) {
        let now = self.now;
        let Some(w) = &mut self.writes else { return };
        let used: Vec<(f64, f64)> =
            w.controllers.iter_mut().map(|c| (c.users.used(now), c.commits.used(now))).collect();
        let n = w.controllers.len();
        for (i, c) in w.controllers.iter_mut().enumerate() {
            let others = |of: fn(&(f64, f64)) -> f64| -> Vec<Option<f64>> {
                used.iter().enumerate().filter(|(j, _)| *j != i).map(|(_, u)| Some(of(u))).collect()
            };
            let mut all = others(|u| u.0 + u.1);
            all.push(Some(used[i].1));
            c.users.set(share(w.limit, BudgetRole::Users(n), &all), w.limit * 0.2);
            let mut users = others(|u| u.0);
            users.push(Some(used[i].0));
            c.commits.set(share(w.limit, BudgetRole::Leader, &users), w.limit * 0.5);
        }
    }

    fn count_writes(&mut self, n: usize) {
        let now = self.now;
        if let Some(w) = &mut self.writes {
            w.written += n;
            w.refused += usize::from(w.service.take(now, n as f64, Urgency::Cancel).is_err());
        }
    }

    /// A submission at one of the controllers: false when it is over its budget.
    pub fn submit_at(&mut self, controller: usize, sub: Submission, run_ms: Ms) -> bool {
        let now = self.now;
        let w = self.writes.as_mut().expect("writes are limited");
        if w.controllers[controller].users.take(now, 1.0, Urgency::Submit).is_err() {
            return false;
        }
        self.count_writes(1);
        self.submit(sub, run_ms);
        true
    }

    pub fn submit(&mut self, sub: Submission, run_ms: Ms) {
        let id = sub.name_id.clone().unwrap();
        let rec = JobRecord {
            submission: sub.clone(),
            status: Status::Pending,
            at_ms: self.now,
            chunk: self.chunk_size(&sub),
        };
        let txn = Txn {
            conditions: vec![],
            writes: vec![Op::Put { key: records::job_key(&id), v: records::to_value(&rec), permit: None }],
        };
        self.store.apply(&txn).unwrap();
        self.jobs.insert(id, JobFacts { sub, cancelled_at: None, run_ms });
    }

    /// A user's abort, answered: true when cancelled, false when done before.
    pub fn cancel(&mut self, id: &str) -> bool {
        let key = records::job_key(id);
        let mut rec: JobRecord = self.store.keys[&key].0.deserialized().unwrap();
        if rec.status == Status::Done {
            return false;
        }
        rec.status = Status::Cancelled;
        let txn = Txn { conditions: vec![], writes: vec![Op::Put { key, v: records::to_value(&rec), permit: None }] };
        self.store.apply(&txn).unwrap();
        self.jobs.get_mut(id).unwrap().cancelled_at = Some(self.now);
        true
    }

    pub fn status(&self, id: &str) -> Status {
        let rec: JobRecord = self.store.keys[&records::job_key(id)].0.deserialized().unwrap();
        rec.status
    }

    pub fn run(&mut self, ms: Ms) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `f`, or fails the case.
    pub fn until(&mut self, what: &str, max: Ms, f: impl Fn(&Simulation) -> bool) {
        let end = self.now + max;
        while !f(self) {
            assert!(self.now < end, "never came: {what}");
            self.step();
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    pub fn step(&mut self) {
        self.now += STEP;
        if self.now.is_multiple_of(400) {
            self.share_writes();
        }
        self.deliver_held();
        for n in 0..self.workers.len() {
            self.advance(n);
        }
        self.judge();
        self.lead();
    }

    fn deliver_held(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.held).into_iter().partition(|(at, _)| *at <= now);
        self.held = later;
        for (_, h) in due {
            match h {
                Held::Do { worker, req } => {
                    if self.workers[worker].hung {
                        self.held.push((now + 1_000, Held::Do { worker, req }));
                    } else {
                        self.execute_do(worker, &req);
                    }
                }
                Held::SlowDo { worker, req, machine, call, stamp } => {
                    let out = self.execute_do(worker, &req);
                    if let Some(l) = self.leader.as_mut().filter(|l| l.stamp == stamp) {
                        l.direct_call_result(now, machine, call, out, &self.job_cache, &mut self.tables);
                    }
                }
                Held::Report(r) => {
                    if let Some(l) = &mut self.leader {
                        // Whatever is answered, nobody listens any more.
                        l.report(now, &r, &self.job_cache, &mut self.tables);
                    }
                }
                Held::Txn(txn) => {
                    let _ = self.store.apply(&txn);
                }
                Held::SlowTxn { txn, stamp } => {
                    let outcome = match self.store.apply(&txn) {
                        Ok(epoch) => CommitOutcome::Done(epoch),
                        Err(failed) => CommitOutcome::Conflict(failed),
                    };
                    let at = now + self.rng.random_range(0..self.txn_ms.max(1));
                    self.held.push((at, Held::TxnAnswer { outcome, stamp }));
                }
                Held::TxnAnswer { outcome, stamp } => {
                    if self.leader.as_mut().is_some_and(|l| l.stamp == stamp && !l.committed(now, outcome)) {
                        self.leader = None;
                    }
                }
                Held::DoAnswer { out, machine, call, stamp } => {
                    if let Some(l) = self.leader.as_mut().filter(|l| l.stamp == stamp) {
                        l.direct_call_result(now, machine, call, out, &self.job_cache, &mut self.tables);
                    }
                }
            }
        }
    }

    // ---- workers' side -------------------------------------------------

    fn facts(&self, task: &str) -> Option<&JobFacts> {
        self.jobs.get(split_task(task)?.0)
    }

    fn advance(&mut self, n: usize) {
        let now = self.now;
        if self.workers[n].dead || self.workers[n].hung {
            if self.workers[n].hung {
                self.expire(n);
            }
            return;
        }
        self.expire(n);
        for t in 0..self.workers[n].tasks.len() {
            let task = self.workers[n].tasks[t].clone();
            let Some(run) = self.facts(&task.name).map(|f| f.run_ms) else { continue };
            let gang = self.facts(&task.name).is_some_and(|f| f.sub.kind.as_deref() == Some("ensemble"));
            let waits = self.gangs && gang && !self.completed.contains(&task.name);
            let longer = split_task(&task.name).map_or(0, |(_, n)| Ms::from(n % 16) * self.vary);
            let (state, why) = match task.state {
                TaskState::Fetching if now >= task.since + self.fetch && !waits => {
                    if self.completed.contains(&task.name) {
                        (TaskState::Exited, Some(ExitReason::Done))
                    } else {
                        (TaskState::Running, None)
                    }
                }
                TaskState::Fetching if now >= task.since + self.fetch && waits => (TaskState::Waiting, None),
                TaskState::Waiting if self.is_complete(&task) => (TaskState::Running, None),
                TaskState::Waiting if now >= task.since + GANG_WAIT => (TaskState::Exited, Some(ExitReason::Alone)),
                TaskState::Running if waits && self.misses_one(&task) => (TaskState::Exited, Some(ExitReason::Peers)),
                TaskState::Running if run > 0 && now >= task.since + run + longer => {
                    self.completed.insert(task.name.clone());
                    (TaskState::Exited, Some(ExitReason::Done))
                }
                _ => continue,
            };
            if task.state == TaskState::Fetching && state != TaskState::Exited {
                self.judge_start(n, &task.name);
            }
            let w = &mut self.workers[n];
            w.tasks[t] = WorkerTask { state, why, since: now, ..task };
            w.changed = true;
        }
        let w = &mut self.workers[n];
        if now >= w.next_report || (w.changed && now + REPORT >= w.next_report + 500) {
            w.next_report = now + REPORT;
            w.changed = false;
            self.send_report(n);
        }
    }

    /// Is every task of this one's gang done, or there with its attempt?
    fn is_complete(&self, task: &WorkerTask) -> bool {
        let Some((job, _)) = split_task(&task.name) else { return false };
        let there = |name: &str| {
            let same = |t: &WorkerTask| t.name == name && t.attempt == task.attempt && t.is_there();
            self.workers.iter().any(|w| !w.dead && !w.hung && w.tasks.iter().any(same))
        };
        let names = (0..self.jobs[job].sub.tasks.unwrap() as u32).map(|n| format!("{job}/{n}"));
        names.into_iter().all(|name| self.completed.contains(&name) || there(&name))
    }

    fn misses_one(&mut self, task: &WorkerTask) -> bool {
        let key = (task.name.clone(), task.attempt);
        if self.is_complete(task) {
            self.missing.remove(&key);
            return false;
        }
        let since = *self.missing.entry(key).or_insert(self.now);
        self.now >= since + GANG_PEER
    }

    fn expire(&mut self, n: usize) {
        let w = &mut self.workers[n];
        if self.now > w.leased + LEASE {
            w.restart(self.now);
        }
    }

    fn send_report(&mut self, n: usize) {
        let sent = self.now;
        let r = self.workers[n].report();
        if (self.workers[n].cut || self.workers[n].mute) && self.workers[n].kept && r.token > 0 {
            self.workers[n].leased = sent;
            self.last_kept = sent;
        }
        if self.workers[n].cut || self.workers[n].mute {
            return;
        }
        if self.chance(self.faults.late_report) {
            let at = sent + self.rng.random_range(1_000..120_000);
            self.held.push((at, Held::Report(r.clone())));
        }
        if self.chance(self.faults.old_report) {
            let at = sent + self.rng.random_range(LEASE / 2..4 * LEASE);
            self.held.push((at, Held::Report(r.clone())));
        }
        if self.chance(self.faults.held_report) {
            let at = sent + self.rng.random_range(500..LEASE / 2);
            self.held.push((at, Held::Report(r)));
            return;
        }
        let Some(l) = &mut self.leader else { return };
        let Answer::Ok(a) = l.report(sent, &r, &self.job_cache, &mut self.tables) else { return };
        let id = self.workers[n].id.clone();
        self.judge_orders(&id, &a.orders);
        if self.workers[n].deaf || self.workers[n].stone || self.chance(self.faults.lost_answer) {
            return;
        }
        let w = &mut self.workers[n];
        if a.token < w.token {
            return;
        }
        if a.token > w.token && w.token_told.is_none_or(|t| sent >= t + LEASE / 2) {
            (w.changed, w.token_told) = (true, Some(sent));
        }
        w.token = a.token;
        w.leased = sent;
        self.obey(n, &a.orders);
    }

    fn execute_do(&mut self, n: usize, req: &DirectCommandRequest) -> DirectCallOutcome {
        let w = &mut self.workers[n];
        if req.token < w.token || req.session != w.session {
            return DirectCallOutcome::Refused(w.report());
        }
        w.token = req.token;
        self.obey(n, &req.orders);
        DirectCallOutcome::Executed(self.workers[n].report())
    }

    fn obey(&mut self, n: usize, orders: &[Order]) {
        for o in orders {
            let w = &mut self.workers[n];
            match o {
                Order::Launch { task, attempt } => {
                    if w.tasks.iter().any(|t| t.name == *task && t.attempt == *attempt) {
                        continue;
                    }
                    let live = |t: &&WorkerTask| t.state != TaskState::Exited;
                    let busy = w.tasks.iter().filter(live).any(|t| t.name == *task);
                    let full = w.tasks.iter().filter(live).count() >= self.slots;
                    let (state, why) = match (busy, full) {
                        (true, _) => (TaskState::Exited, Some(ExitReason::Busy)),
                        (_, true) => (TaskState::Exited, Some(ExitReason::NoRoom)),
                        _ => (TaskState::Fetching, None),
                    };
                    self.done_again += usize::from(self.completed.contains(task));
                    w.tasks.push(WorkerTask { name: task.clone(), attempt: *attempt, state, why, since: self.now });
                    w.changed = true;
                }
                Order::Halt { task, attempt, grace_s } => {
                    let hit = w
                        .tasks
                        .iter_mut()
                        .find(|t| t.name == *task && t.attempt == *attempt && t.state != TaskState::Exited);
                    if let Some(t) = hit {
                        t.state = TaskState::Exited;
                        t.why = Some(ExitReason::Stopped);
                        w.changed = true;
                        self.halts_seen.push((self.now, task.clone(), *grace_s));
                    }
                }
                Order::Reap { task, attempt } => {
                    w.tasks.retain(|t| !(t.name == *task && t.attempt == *attempt && t.state == TaskState::Exited));
                }
            }
        }
    }

    // ---- the judge -----------------------------------------------------

    fn chunk_size(&self, sub: &Submission) -> u32 {
        if sub.tasks.unwrap_or(1.0) > 1_000.0 {
            128
        } else {
            self.chunk
        }
    }

    fn is_written(&self, task: &str, worker: &str, attempt: u64) -> bool {
        let Some((job, n)) = split_task(task) else { return false };
        // As its record says, which may have been written anew.
        let rec = self.store.keys.get(&records::job_key(job));
        let rec = rec.and_then(|(v, _)| v.deserialized::<JobRecord>().ok());
        let size = rec.map_or(self.chunk, |r| r.chunk);
        let rec = self.store.keys.get(&records::chunk_key(job, n / size));
        let rec = rec.and_then(|(v, _)| v.deserialized::<ChunkRecord>().ok());
        rec.is_some_and(|r| r.assignments.iter().any(|p| p.0 == n && p.1 == worker && p.3 == attempt))
    }

    /// A later leader would know that the task is done, or doesn't care.
    fn is_end_written(&self, task: &str) -> bool {
        let Some((job, n)) = split_task(task) else { return false };
        let rec = self.store.keys.get(&records::job_key(job));
        let Some(rec) = rec.and_then(|(v, _)| v.deserialized::<JobRecord>().ok()) else { return false };
        let part = self.store.keys.get(&records::chunk_key(job, n / rec.chunk));
        let part = part.and_then(|(v, _)| v.deserialized::<ChunkRecord>().ok());
        rec.status != Status::Pending || part.is_some_and(|r| records::is_done(&r.done, (n % rec.chunk) as usize))
    }

    /// Our own rules: an end is written before the task is reaped, and no
    /// launch is sent before its place is.
    fn judge_orders(&mut self, worker: &str, orders: &[Order]) {
        self.most_orders = self.most_orders.max(orders.len());
        for o in orders {
            if let Order::Reap { task, attempt } = o {
                // A stopped attempt of a task that was done elsewhere says nothing.
                let of = |w: &&Worker| w.id == worker;
                let listed = self.workers.iter().find(of).and_then(|w| {
                    let same = |t: &&WorkerTask| t.name == *task && t.attempt == *attempt;
                    w.tasks.iter().find(same)
                });
                let is_done = listed.is_none_or(|t| t.why == Some(ExitReason::Done)) && self.completed.contains(task);
                if is_done && !self.records_lost && !self.is_end_written(task) {
                    self.broken.push(format!("reaped: {task} on {worker} before its end is written at {}", self.now));
                }
            }
            let Order::Launch { task, attempt } = o else { continue };
            if !self.is_written(task, worker, *attempt) {
                self.broken.push(format!("unwritten: {task} launched on {worker} at {}", self.now));
            }
        }
    }

    fn holds(w: &Worker, task: &str) -> bool {
        !w.dead && w.tasks.iter().any(|t| t.name == task && t.is_there())
    }

    fn judge_start(&mut self, n: usize, task: &str) {
        self.starts += 1;
        let Some((job, _)) = split_task(task) else { return };
        for (m, w) in self.workers.iter().enumerate() {
            if m != n && Simulation::holds(w, task) {
                self.broken.push(format!("ran_twice: {task} on {} and {} at {}", w.id, self.workers[n].id, self.now));
            }
        }
        let f = &self.jobs[job];
        // Stricter than the rule: their ends must be written, too.
        for p in f.sub.prereqs() {
            let all = (0..self.jobs[p].sub.tasks.unwrap() as u32).all(|n| self.completed.contains(&format!("{p}/{n}")));
            if !all || self.status(p) != Status::Done {
                self.broken.push(format!("too_early: {task} before {p} at {}", self.now));
            }
        }
        self.starts_cancelled += usize::from(f.cancelled_at.is_some());
        let here = &self.workers[n].zone;
        let mut zones: HashMap<&str, u32> = HashMap::new();
        for w in self.workers.iter().filter(|w| !w.dead) {
            for t in &w.tasks {
                if t.name != task && t.is_there() && split_task(&t.name).is_some_and(|s| s.0 == job) {
                    *zones.entry(&w.zone).or_default() += 1;
                }
            }
        }
        let cap = (f.sub.tasks.unwrap() as u32).div_ceil(2);
        if f.sub.one_zone == Some(true) && zones.keys().any(|z| z != here) {
            self.broken.push(format!("wrong_place: {task} starts in {here} at {}", self.now));
        }
        if f.sub.spread == Some(true) && zones.get(here.as_str()).copied().unwrap_or(0) >= cap {
            self.broken.push(format!("wrong_place: {task} is one too many in {here} at {}", self.now));
        }
        if f.sub.zone.as_ref().is_some_and(|z| z != here) {
            self.broken.push(format!("wrong_place: {task} in {here}"));
        }
    }

    fn judge(&mut self) {
        if self.workers.len() > 100 && !self.now.is_multiple_of(5_000) {
            return; // starts are judged at once; the rest takes its time
        }
        let mut gpus = 0.0;
        let mut broken = Vec::new();
        for w in self.workers.iter().filter(|w| !w.dead) {
            for t in w.tasks.iter().filter(|t| t.state == TaskState::Running) {
                // Our own rule: wherever a task runs, a record says so, lest
                // the next leader start it elsewhere.
                if !self.records_lost && !self.is_written(&t.name, &w.id, t.attempt) {
                    broken.push(format!("unrecorded: {} runs on {} at {}", t.name, w.id, self.now));
                }
                let Some(f) = split_task(&t.name).and_then(|s| self.jobs.get(s.0)) else { continue };
                gpus += f.sub.gpus.unwrap_or(0.0);
                if f.cancelled_at.is_some_and(|c| self.now > c + CANCEL) {
                    broken.push(format!("ran_cancelled: {} on {} at {}", t.name, w.id, self.now));
                }
            }
        }
        if self.team_gpus_max > 0.0 && gpus > self.team_gpus_max {
            broken.push(format!("quota: {gpus} GPUs at {}", self.now));
        }
        self.broken.extend(broken);
        // not_done: a record may say done only once all its tasks completed.
        for (id, f) in &self.jobs {
            // went_back: what was called cancelled stays so.
            if f.cancelled_at.is_some() && self.status(id) != Status::Cancelled {
                self.broken.push(format!("went_back: {id} at {}", self.now));
            }
            if self.status(id) == Status::Done {
                let all = (0..f.sub.tasks.unwrap() as u32).all(|n| self.completed.contains(&format!("{id}/{n}")));
                if !all {
                    self.broken.push(format!("not_done: {id} at {}", self.now));
                }
            }
        }
    }

    /// Stricter than the rule: whoever has read the cancellation calls all that
    /// need the job cancelled, at once.
    fn judge_orphans(&mut self) {
        for (id, f) in &self.jobs {
            let mut above: Vec<&String> = f.sub.prereqs().iter().collect();
            let mut seen = std::collections::HashSet::new();
            let mut is_doomed = false;
            while let Some(p) = above.pop() {
                if seen.insert(p) {
                    is_doomed |= self.jobs[p].cancelled_at.is_some();
                    above.extend(self.jobs[p].sub.prereqs());
                }
            }
            if is_doomed && self.user_responses(id) != Some(Status::Cancelled) {
                self.broken.push(format!("orphaned: {id} is {:?} at {}", self.user_responses(id), self.now));
            }
        }
    }

    /// What the controller tells users of a job.
    pub fn user_responses(&self, id: &str) -> Option<Status> {
        self.job_cache.find(id).map(|ix| self.job_cache.get(ix).status)
    }

    pub fn check(&self, name: &str) {
        assert!(self.broken.is_empty(), "{name}: {:#?}", &self.broken[..self.broken.len().min(5)]);
        assert!(self.starts > 0, "{name}: nothing ran");
    }

    // ---- the leader's side ---------------------------------------------

    fn lead(&mut self) {
        if self.leader.is_none() {
            return;
        }
        let now = self.now;
        self.read_changes();
        let changed = self.job_cache.take_changed();
        let Some(l) = &mut self.leader else { return };
        for ix in changed {
            l.job_update(now, now, ix, &self.job_cache);
        }
        // Once heard again, those behind the cut say when they last kept a lease.
        l.no_peer_renewals = TimeSpan { from: self.last_kept as i64, to: self.unspoken.unwrap_or(now) as i64 };
        if let Some(since) = self.unspoken {
            l.no_peer_renewals.from = l.no_peer_renewals.from.min(since as i64);
        }
        l.may_reshard = self.may_reshard;
        l.sweep(now);
        self.cloud |= self.capacity > 0;
        if self.cloud {
            l.fleet_step(now, &self.tables);
        }
        l.pass(now);
        self.commit();
        let Some(l) = &mut self.leader else { return };
        l.push_orders(now);
        for e in l.take_effects() {
            self.carry_out(e);
        }
    }

    fn read_changes(&mut self) {
        let (now, stamp) = (self.now, self.leader.as_ref().map_or(0, |l| l.stamp));
        if self.refuse_leader || self.blind {
            return;
        }
        if self.changes_ms == 0 {
            self.reading = None;
            let changes = self.store.changes(records::JOBS, self.job_cache.epoch());
            self.job_cache.apply(&changes, &mut self.tables);
            self.judge_orphans();
            return;
        }
        if let Some((_, _, changes)) = self.reading.take_if(|r| r.1 == stamp && r.0 <= now) {
            self.job_cache.apply(&changes, &mut self.tables);
        }
        if self.reading.as_ref().is_none_or(|r| r.1 != stamp) {
            let at = now + self.rng.random_range(0..self.changes_ms);
            self.reading = Some((at, stamp, self.store.changes(records::JOBS, self.job_cache.epoch())));
        }
    }

    fn commit(&mut self) {
        let now = self.now;
        let Some(l) = &mut self.leader else { return };
        if let Some(key) = l.resync_key().filter(|_| !self.refuse_leader).map(str::to_owned) {
            let found = self.store.keys.get(&key).cloned();
            l.resynced(now, &key, found);
        }
        if l.commit_busy() || now < l.commit_after {
            return;
        }
        // Now and then there is budget to spare.
        let (mut spare, mut max_ops) = ((now / 1_000).is_multiple_of(4), 8);
        if let Some(w) = &mut self.writes {
            let allowed = w.controllers[0].commits.available(now, Urgency::Commit);
            (spare, max_ops) = (allowed > 0.6 * w.controllers[0].commits.burst(), max_ops.min(allowed as usize));
            if max_ops == 0 {
                return;
            }
        }
        if !l.has_writes(now, spare) {
            return;
        }
        let Some(mut txn) = l.commit(now, max_ops, spare, &self.tables) else { return };
        if self.writes_old_form {
            for w in &mut txn.writes {
                let Op::Put { key, v, .. } = w else { continue };
                if let Some(rec) = key.starts_with(records::JOBS).then(|| v.deserialized::<JobRecord>().unwrap()) {
                    let at_ms = if rec.status == Status::Done { 0 } else { rec.at_ms };
                    *v = records::to_value(&JobRecord { at_ms, ..rec });
                }
            }
        }
        if let Some(w) = &mut self.writes {
            let _ = w.controllers[0].commits.take(now, txn.writes.len() as f64, Urgency::Lease);
        }
        self.count_writes(txn.writes.len());
        self.txns += 1;
        if txn.writes.len() > 8 || txn.conditions.len() > 32 {
            self.broken.push(format!("a transaction of {} writes", txn.writes.len()));
        }
        let stamp = self.store.keys[records::LEADER].1;
        if !txn.conditions.iter().any(|c| c.key == records::LEADER && c.stamp == stamp) {
            self.broken.push(format!("a transaction that any later leader would let through, at {now}"));
        }
        if std::mem::take(&mut self.die_before_txn) {
            self.leader = None;
            return;
        }
        if self.txns_left == Some(0) || self.refuse_leader {
            if let Some(l) = &mut self.leader {
                l.committed(now, CommitOutcome::Refused);
            }
            return;
        }
        self.txns_left = self.txns_left.map(|n| n - 1);
        let too_large = |w: &Op| matches!(w, Op::Put { v, .. } if records::json_size(v) > self.value_now);
        if txn.writes.len() > self.ops_now || txn.writes.iter().any(too_large) {
            self.too_large += 1;
            if let Some(l) = &mut self.leader {
                l.committed(now, CommitOutcome::TooLarge);
            }
            return;
        }
        if self.chance(self.faults.lost_txn) {
            if self.rng.random_range(0..2) == 0 {
                let _ = self.store.apply(&txn);
            } else {
                let at = now + self.rng.random_range(100..40_000);
                self.held.push((at, Held::Txn(txn)));
            }
            if let Some(l) = &mut self.leader {
                l.committed(now, CommitOutcome::Unknown);
            }
            return;
        }
        if self.chance(self.faults.late_txn) {
            let at = now + self.rng.random_range(2_000..12_000);
            self.held.push((at, Held::Txn(txn)));
            if let Some(l) = &mut self.leader {
                l.committed(now, CommitOutcome::Unknown);
            }
            return;
        }
        if self.txn_ms > 0 {
            let at = now + self.rng.random_range(0..self.txn_ms);
            self.held.push((at, Held::SlowTxn { txn, stamp }));
            return;
        }
        let outcome = match self.store.apply(&txn) {
            Ok(epoch) => CommitOutcome::Done(epoch),
            Err(failed) => CommitOutcome::Conflict(failed),
        };
        if std::mem::take(&mut self.die_after_txn) {
            self.leader = None;
            return;
        }
        if self.leader.as_mut().is_some_and(|l| !l.committed(now, outcome)) {
            self.leader = None;
        }
    }

    fn carry_out(&mut self, e: Effect) {
        let now = self.now;
        match e {
            Effect::Do { machine, call, req, .. } => {
                let id = self.leader.as_ref().map(|l| l.machine(machine).id.clone()).unwrap_or_default();
                let Some(n) = self.workers.iter().position(|w| w.id == id) else { return };
                self.judge_orders(&id, &req.orders);
                let reached = self.workers[n].is_reached();
                if reached && self.chance(self.faults.slow_do) {
                    let stamp = self.leader.as_ref().map_or(0, |l| l.stamp);
                    let at = now + self.rng.random_range(300..1_900);
                    self.held.push((at, Held::SlowDo { worker: n, req, machine, call, stamp }));
                    return;
                }
                let out = if !reached {
                    if self.workers[n].hung {
                        self.held.push((now + 1_000, Held::Do { worker: n, req }));
                    }
                    DirectCallOutcome::Unknown
                } else if self.chance(self.faults.late_do) {
                    let at = now + self.rng.random_range(200..90_000);
                    self.held.push((at, Held::Do { worker: n, req }));
                    DirectCallOutcome::Unknown
                } else if self.chance(self.faults.lost_do) {
                    DirectCallOutcome::Unknown
                } else {
                    if self.chance(self.faults.repeat_do) {
                        let at = now + self.rng.random_range(200..40_000);
                        self.held.push((at, Held::Do { worker: n, req: req.clone() }));
                    }
                    let out = self.execute_do(n, &req);
                    if self.chance(self.faults.slow_answer) {
                        let stamp = self.leader.as_ref().map_or(0, |l| l.stamp);
                        let at = now + self.rng.random_range(300..1_900);
                        self.held.push((at, Held::DoAnswer { out, machine, call, stamp }));
                        return;
                    }
                    out
                };
                if let Some(l) = &mut self.leader {
                    l.direct_call_result(now, machine, call, out, &self.job_cache, &mut self.tables);
                }
            }
            Effect::Rent { call, req } => {
                let names = self.rent(&req);
                let lost = self.chance(self.faults.lost_rent);
                if let Some(l) = &mut self.leader {
                    let out = match names {
                        _ if lost => RentOutcome::Again,
                        Some(n) => RentOutcome::Rented(n),
                        None => RentOutcome::NoCapacity,
                    };
                    l.rented(now, call, out);
                }
            }
            Effect::Return { call, ids } => {
                for w in &mut self.workers {
                    if ids.contains(&w.id) {
                        w.dead = true;
                        w.tasks.clear();
                    }
                }
                if let Some(l) = &mut self.leader {
                    l.returned(now, call, true);
                }
            }
            Effect::Probe { machine, .. } => {
                let id = self.leader.as_ref().map(|l| l.machine(machine).id.clone()).unwrap_or_default();
                let w = self.workers.iter_mut().find(|w| w.id == id && w.is_reached());
                let report = w.map(Worker::report);
                if let Some(l) = &mut self.leader {
                    l.probed(now, machine, report.as_ref(), &self.job_cache, &mut self.tables);
                }
            }
            Effect::List { call, .. } => {
                let hosts = self
                    .workers
                    .iter()
                    .filter(|w| !w.dead)
                    .map(|w| ListedHost {
                        id: w.id.clone(),
                        addr: None,
                        machine_type: "m".into(),
                        zone: w.zone.clone(),
                        spot: w.spot,
                        state: HostState::Running,
                        age_s: 1.0,
                    })
                    .collect();
                let list = HostList { hosts, truncated: false };
                if let Some(l) = &mut self.leader {
                    l.listed(now, call, Some(&list), &mut self.tables);
                }
            }
        }
    }

    fn rent(&mut self, req: &RentRequest) -> Option<Vec<String>> {
        let stamp = self.leader.as_ref().map_or(0, |l| l.stamp);
        self.asked_in.push((stamp, req.request.clone()));
        if let Some(same) = self.asks.get(&req.request) {
            return Some(same.clone());
        }
        let n = req.count.min(self.capacity);
        if n == 0 {
            return None;
        }
        self.capacity -= n;
        let ids: Vec<String> = (0..n).map(|_| self.add_worker(&req.zone)).collect();
        for w in self.workers.iter_mut().filter(|w| ids.contains(&w.id)) {
            w.spot = req.spot;
        }
        self.asks.insert(req.request.clone(), ids.clone());
        Some(ids)
    }

    /// What a worker last could have reported.
    pub fn report_of(&mut self, n: usize) -> Report {
        let seq = self.workers[n].seq;
        let report = self.workers[n].report();
        self.workers[n].seq = seq;
        Report { seq, ..report }
    }

    /// All troubles are over. Whatever is still on its way arrives all the same.
    pub fn clear_up(&mut self) {
        self.faults = FaultRates::default();
        (self.refuse_leader, self.changes_ms, self.txn_ms, self.unspoken) = (false, 0, 0, None);
        for x in &mut self.workers {
            (x.cut, x.hung, x.stone, x.deaf, x.mute, x.kept) = (false, false, false, false, false, false);
        }
        self.waits.clear();
        if self.leader.is_none() {
            self.elect();
        }
    }

    /// Runs for so long; no job is left waiting for 90 s while there is room.
    pub fn calm(&mut self, name: &str, ids: &[String], ms: Ms) {
        let end = self.now + ms;
        while self.now < end {
            for id in ids {
                if !self.is_served(id) && self.has_room(id) {
                    let since = *self.waits.entry(id.clone()).or_insert(self.now);
                    assert!(self.now <= since + 90_000, "{name}: {id} is left waiting, with room");
                } else {
                    self.waits.remove(id);
                }
            }
            self.run(1_000);
        }
    }

    /// Runs until every job that was not cancelled is done, or runs if it is a
    /// service; meanwhile none is left waiting.
    pub fn settles(&mut self, name: &str, max: Ms) {
        let end = self.now + max;
        let mut ids: Vec<String> = self.jobs.keys().cloned().collect();
        ids.sort();
        loop {
            let waiting: Vec<String> = ids.iter().filter(|id| !self.is_served(id)).cloned().collect();
            if waiting.is_empty() {
                return;
            }
            assert!(self.now < end, "{name}: never came: {waiting:?}, {:?}", self.broken);
            self.calm(name, &ids, 1_000);
        }
    }

    fn is_served(&self, id: &str) -> bool {
        let f = &self.jobs[id];
        let service = f.sub.kind.as_deref() == Some("service");
        let there = |n: u32| self.where_is(&format!("{id}/{n}")).is_some();
        match self.status(id) {
            Status::Pending => service && (0..f.sub.tasks.unwrap() as u32).all(there),
            Status::Done | Status::Cancelled => true,
        }
    }

    /// Does some machine fit a task of this job that is nowhere, or, for a
    /// gang, do machines fit all of them?
    fn has_room(&self, id: &str) -> bool {
        let s = &self.jobs[id].sub;
        let (tasks, gang) = (s.tasks.unwrap() as u32, s.kind.as_deref() == Some("ensemble"));
        let name = |n: u32| format!("{id}/{n}");
        let at = |n: u32| {
            let there = |t: &WorkerTask| t.name == name(n) && t.state != TaskState::Exited;
            self.workers.iter().position(|x| !x.dead && x.tasks.iter().any(there))
        };
        let nowhere: Vec<u32> = (0..tasks).filter(|&n| !self.completed.contains(&name(n)) && at(n).is_none()).collect();
        if nowhere.is_empty() || (gang && nowhere.len() < tasks as usize) {
            return false; // it is on its way, or its rest has to end first
        }
        let (cpus, gpus) = (s.cpus.unwrap(), s.gpus.unwrap());
        let needed = if gang { nowhere.len() } else { 1 };
        let (mut used, mut free) = (0.0, Vec::new());
        for x in self.workers.iter().filter(|x| !x.dead) {
            let live = x.tasks.iter().filter(|t| t.state != TaskState::Exited);
            let (mut n, mut cpus_left, mut gpus_left) = (0, 8.0, 4.0);
            for sub in live.filter_map(|t| Some(&self.facts(&t.name)?.sub)) {
                (n, cpus_left, gpus_left) = (n + 1, cpus_left - sub.cpus.unwrap(), gpus_left - sub.gpus.unwrap());
                used += sub.gpus.unwrap();
            }
            let by_gpus = if gpus > 0.0 { (gpus_left / gpus) as usize } else { usize::MAX };
            let fits = ((cpus_left / cpus) as usize).min(by_gpus).min(self.slots.saturating_sub(n));
            if s.zone.as_ref().is_none_or(|z| *z == x.zone) && (s.spot == Some(true) || !x.spot) {
                free.push((x.zone.as_str(), fits));
            }
        }
        if self.team_gpus_max > 0.0 && used + gpus * needed as f64 > self.team_gpus_max {
            return false;
        }
        let in_zone = |z: &str| free.iter().filter(|f| f.0 == z).map(|f| f.1).sum::<usize>();
        let taken = |z: &str| (0..tasks).filter_map(at).filter(|&n| self.workers[n].zone == z).count();
        let (a, b) = (in_zone("a"), in_zone("b"));
        if s.one_zone == Some(true) {
            let (in_a, in_b) = (taken("a") > 0, taken("b") > 0);
            return (a >= needed && !in_b) || (b >= needed && !in_a);
        }
        if s.spread == Some(true) {
            let cap = tasks.div_ceil(2) as usize;
            return a.min(cap.saturating_sub(taken("a"))) + b.min(cap.saturating_sub(taken("b"))) >= needed;
        }
        a + b >= needed
    }

    /// Where a task is, by worker number.
    pub fn where_is(&self, task: &str) -> Option<usize> {
        self.workers.iter().position(|w| Simulation::holds(w, task))
    }

    pub fn any(&mut self, n: usize) -> usize {
        self.rng.random_range(0..n)
    }
}
