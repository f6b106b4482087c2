//! Stand-in for a worker and its machine.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering::Relaxed},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cbor::{decode, encode, V},
    http::{call, serve, Request, Response},
    map, rng,
    world::World,
};

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Fetching,
    Waiting,
    Running,
    Flushing,
    Ended(&'static str, Option<bool>),
}

#[derive(Debug, Clone)]
struct Task {
    name: String,
    attempt: u64,
    phase: Phase,
    since: Instant,
    /// It started while the machine was sick.
    fails: bool,
}

struct State {
    shift: u64,
    tick: u64,
    baton: u64,
    tasks: Vec<Task>,
    /// When the last answered report was sent, or when the session began.
    lease_from: Instant,
    changed: bool,
    baton_change_at: Option<Instant>,
    gone: bool,
}

/// The machine, and faults that the platform may show.
pub struct Spec {
    pub host: String,
    pub breed: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub cards: f64,
    pub memory: f64,
}

#[derive(Default)]
pub struct Faults {
    /// Reports get lost; direct commands arrive.
    pub mute: AtomicBool,
    /// Reports arrive; answers and direct commands are lost.
    pub deaf: AtomicBool,
    /// Neither runs tasks nor answers; may go on.
    pub hung: AtomicBool,
    /// Every task that starts here fails.
    pub sick: AtomicBool,
    /// Percentage of direct commands that are held up, unanswered, and carried out 2 to 16 s later.
    pub late_commands: AtomicU32,
    /// Percentage of reports of which a copy arrives again 2 s to `late_report_max_ms` later, at all nodes.
    pub late_reports: AtomicU32,
}

pub struct Config {
    pub report: Duration,
    pub lease: Duration,
    pub gang_wait: Duration,
    pub fetch: Duration,
}

pub struct Worker {
    pub spec: Spec,
    pub faults: Faults,
    pub endpoint: Mutex<SocketAddr>,
    /// Every report that was sent, with its time.
    pub reports: Mutex<Vec<(Instant, Vec<u8>)>>,
    /// When a controller last answered a report with 200, and which.
    pub answered: Mutex<Option<(Instant, usize)>>,
    state: Mutex<State>,
    world: Arc<World>,
    config: Arc<Config>,
    /// Addresses and labels of the controllers.
    nodes: Arc<Vec<(String, SocketAddr)>>,
    /// Controllers that this machine can't reach.
    pub cut_from: Mutex<Vec<usize>>,
}

impl Worker {
    pub fn start(
        spec: Spec,
        config: Arc<Config>,
        world: Arc<World>,
        nodes: Arc<Vec<(String, SocketAddr)>>,
    ) -> Arc<Worker> {
        let state = State {
            shift: 1,
            tick: 0,
            baton: 0,
            tasks: vec![],
            lease_from: Instant::now(),
            changed: true,
            baton_change_at: None,
            gone: false,
        };
        let worker = Arc::new(Worker {
            spec,
            faults: Faults::default(),
            endpoint: Mutex::new("127.0.0.1:1".parse().unwrap()),
            reports: Mutex::default(),
            answered: Mutex::default(),
            state: Mutex::new(state),
            world,
            config,
            nodes,
            cut_from: Mutex::default(),
        });
        let served = worker.clone();
        *worker.endpoint.lock().unwrap() = serve(move |request| served.handle(request));
        let stepping = worker.clone();
        thread::spawn(move || {
            while !stepping.is_gone() {
                thread::sleep(Duration::from_millis(50));
                if !stepping.faults.hung.load(Relaxed) {
                    stepping.step();
                }
            }
        });
        let reporting = worker.clone();
        thread::spawn(move || reporting.report_loop());
        worker
    }

    pub fn is_gone(&self) -> bool {
        self.state.lock().unwrap().gone
    }

    /// The machine is gone with everything on it.
    pub fn remove(&self, why: &str) {
        let mut state = self.state.lock().unwrap();
        state.gone = true;
        self.kill_all(&mut state, why);
        self.world.note(format!("machine {} gone: {why}", self.spec.host));
    }

    fn kill_all(&self, state: &mut State, why: &str) {
        for task in state.tasks.drain(..) {
            self.world.gone(&task.name, task.attempt, &self.spec.host, why);
        }
    }

    /// Ends the session if its lease is over.
    fn check_lease(&self, state: &mut State) {
        if state.lease_from.elapsed() > self.config.lease {
            self.world.note(format!("{}: lease of session {} expired", self.spec.host, state.shift));
            self.kill_all(state, "lease expired");
            state.shift += 1;
            state.lease_from = Instant::now();
            state.changed = true;
        }
    }

    /// Lets the tasks advance.
    fn step(&self) {
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        if state.gone {
            return;
        }
        self.check_lease(state);
        let host = &self.spec.host;
        for index in 0..state.tasks.len() {
            let task = state.tasks[index].clone();
            let id = task.name.split('/').next().unwrap_or("");
            let Some(job) = self.world.job(id) else { continue };
            let elapsed = task.since.elapsed();
            let next = match task.phase {
                Phase::Fetching if elapsed >= self.config.fetch => {
                    self.world.started(&task.name, task.attempt, host, &self.spec.zone, self.spec.spot);
                    if self.world.is_done(&task.name) {
                        Phase::Ended("done", None)
                    } else if job.gang && job.pieces > 1 {
                        Phase::Waiting
                    } else {
                        Phase::Running
                    }
                }
                Phase::Waiting if self.gang_is_complete(&task, &job) => Phase::Running,
                Phase::Waiting if elapsed >= self.config.gang_wait => Phase::Ended("alone", None),
                Phase::Running if task.fails && elapsed >= Duration::from_millis(500) => Phase::Ended("error", None),
                Phase::Running if job.fails.is_some_and(|after| elapsed >= after) => Phase::Ended("error", None),
                Phase::Running if job.run.is_some_and(|run| elapsed >= run) => Phase::Ended("done", None),
                Phase::Running
                    if job.gang
                        && job.pieces > 1
                        && elapsed > Duration::from_secs(1)
                        && !self.gang_is_complete(&task, &job) =>
                {
                    Phase::Ended("peers", None)
                }
                Phase::Flushing if elapsed >= Duration::from_secs(1) => Phase::Ended("halted", Some(true)),
                _ => continue,
            };
            if task.phase == Phase::Fetching {
                state.tasks[index].fails = self.faults.sick.load(Relaxed);
            }
            if let Phase::Ended(why, _) = next {
                self.world.gone(&task.name, task.attempt, host, why);
            }
            state.tasks[index].phase = next;
            state.tasks[index].since = Instant::now();
            state.changed = true;
        }
    }

    fn gang_is_complete(&self, task: &Task, job: &crate::world::Job) -> bool {
        let id = task.name.split('/').next().unwrap_or("");
        let shared = self.world.shared.lock().unwrap();
        (0..job.pieces).all(|n| {
            let name = format!("{id}/{n}");
            shared.done.contains_key(&name)
                || shared
                    .on_machine
                    .get(&name)
                    .is_some_and(|places| places.iter().any(|place| place.attempt == task.attempt))
        })
    }

    /// The next report.
    fn report(&self, state: &mut State) -> V {
        state.tick += 1;
        let pieces: Vec<V> = state
            .tasks
            .iter()
            .map(|task| {
                let (status, cause) = match &task.phase {
                    Phase::Fetching => ("fetching", None),
                    Phase::Waiting => ("waiting", None),
                    Phase::Running => ("running", None),
                    Phase::Flushing => ("flushing", None),
                    Phase::Ended(why, saved) => ("ended", Some((*why, *saved))),
                };
                let mut fields = vec![
                    ("piece".to_owned(), V::from(task.name.clone())),
                    ("try".to_owned(), V::from(task.attempt)),
                    ("status".to_owned(), V::from(status)),
                ];
                if let Some((why, saved)) = cause {
                    fields.push(("cause".into(), V::from(why)));
                    if let Some(saved) = saved {
                        fields.push(("saved".into(), V::from(saved)));
                    }
                }
                V::M(fields)
            })
            .collect();
        map! {
            "host" => self.spec.host.clone(), "endpoint" => self.endpoint.lock().unwrap().to_string(),
            "breed" => self.spec.breed.clone(), "yard" => self.spec.zone.clone(), "loaners" => self.spec.spot,
            "shift" => state.shift, "tick" => state.tick, "baton" => state.baton, "warningS" => V::Null,
            "pieces" => pieces,
        }
    }

    fn report_loop(self: Arc<Worker>) {
        thread::sleep(Duration::from_millis(u64::from(rng::below(500))));
        let mut node = rng::below(self.nodes.len() as u32) as usize;
        let mut next = Instant::now();
        let mut last_sent = Instant::now() - Duration::from_secs(10);
        loop {
            thread::sleep(Duration::from_millis(20));
            if self.faults.hung.load(Relaxed) {
                continue;
            }
            let (bytes, shift) = {
                let mut state = self.state.lock().unwrap();
                if state.gone {
                    return;
                }
                let now = Instant::now();
                let early = state.changed && now >= last_sent + Duration::from_millis(500);
                if now < next && !early {
                    continue;
                }
                self.check_lease(&mut state);
                state.changed = false;
                (encode(&self.report(&mut state)), state.shift)
            };
            let sent = Instant::now();
            last_sent = sent;
            let vary = f64::from(75 + rng::below(50)) / 100.0;
            next = sent + self.config.report.mul_f64(vary);
            self.reports.lock().unwrap().push((sent, bytes.clone()));
            if rng::percent(self.faults.late_reports.load(Relaxed)) {
                let (copy, nodes, longest) =
                    (bytes.clone(), self.nodes.clone(), self.config.lease.as_millis() as u32 * 3 / 2);
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(u64::from(2_000 + rng::below(longest))));
                    for (_, addr) in nodes.iter() {
                        let _ = call(*addr, "POST", "/checkin", &copy, Duration::from_secs(4));
                    }
                });
            }
            let unreachable = self.faults.mute.load(Relaxed) || self.cut_from.lock().unwrap().contains(&node);
            let answer = if unreachable {
                thread::sleep(Duration::from_secs(4));
                None
            } else {
                call(self.nodes[node].1, "POST", "/checkin", &bytes, Duration::from_secs(4))
            };
            let answer = answer.filter(|_| {
                !self.faults.deaf.load(Relaxed)
                    && !self.faults.hung.load(Relaxed)
                    && sent.elapsed() < Duration::from_secs(4)
            });
            let (to, status) =
                (&self.nodes[node].0, answer.as_ref().map_or("no answer".into(), |answer| answer.status.to_string()));
            let listed = decode(&bytes)
                .map(|report| (report.u64("tick"), report.u64("baton"), report.get("pieces").map(V::json)));
            self.world.note(format!("report {} to {to}: {listed:?}: {status}", self.spec.host));
            let wait_s = match answer {
                Some(Response { status: 200, body }) => {
                    *self.answered.lock().unwrap() = Some((Instant::now(), node));
                    self.answered_with(sent, shift, &body);
                    None
                }
                Some(Response { status: 421, body }) => {
                    let boss = decode(&body).and_then(|body| body.str("boss").map(str::to_owned));
                    let named = boss.and_then(|boss| self.nodes.iter().position(|(label, _)| *label == boss));
                    match named.filter(|named| *named != node) {
                        Some(named) => {
                            node = named;
                            Some(0.0)
                        }
                        None => {
                            node = (node + 1) % self.nodes.len();
                            Some(1.0)
                        }
                    }
                }
                _ => {
                    node = (node + 1) % self.nodes.len();
                    Some(1.0)
                }
            };
            if let Some(wait_s) = wait_s {
                next = Instant::now() + Duration::from_secs_f64(wait_s);
                self.state.lock().unwrap().changed = false;
            }
        }
    }

    fn answered_with(&self, sent: Instant, shift: u64, body: &[u8]) {
        let Some(body) = decode(body) else { return };
        let Some(baton) = body.u64("baton") else { return };
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        if state.gone || state.shift != shift || baton < state.baton {
            return;
        }
        if baton > state.baton && state.baton_change_at.is_none_or(|at| at.elapsed() >= self.config.lease / 2) {
            state.changed = true;
            state.baton_change_at = Some(Instant::now());
        }
        state.baton = baton;
        state.lease_from = state.lease_from.max(sent);
        self.execute(state, body.list("orders"));
    }

    fn execute(&self, state: &mut State, orders: &[V]) {
        let host = &self.spec.host;
        for order in orders {
            let (Some(verb), Some(piece), Some(attempt)) = (order.str("verb"), order.str("piece"), order.u64("try"))
            else {
                continue;
            };
            let known = state.tasks.iter().position(|task| task.name == piece && task.attempt == attempt);
            match verb {
                "launch" if known.is_none() => {
                    let phase = self.admission(state, piece);
                    self.world.note(format!("{host}: launch {piece} try {attempt}: {phase:?}"));
                    state.tasks.push(Task { name: piece.into(), attempt, phase, since: Instant::now(), fails: false });
                    state.changed = true;
                }
                "halt" => {
                    let Some(index) = known else { continue };
                    let id = piece.split('/').next().unwrap_or("");
                    let body = self.world.job(id).map(|job| job.body);
                    let number = |name: &str| body.as_ref().and_then(|body| body.f64(name)).unwrap_or(0.0);
                    let leeway = order.f64("leewayS").unwrap_or(0.0);
                    let task = &mut state.tasks[index];
                    let saves = number("bookmarkS") > 0.0 && leeway >= number("stashS") && leeway > 0.0;
                    match task.phase {
                        Phase::Ended(..) => continue,
                        Phase::Running if saves => task.phase = Phase::Flushing,
                        Phase::Flushing if saves => continue,
                        _ => {
                            task.phase = Phase::Ended("halted", None);
                            self.world.gone(piece, attempt, host, "halted");
                        }
                    }
                    task.since = Instant::now();
                    state.changed = true;
                }
                "reap" => {
                    if known.is_some_and(|index| matches!(state.tasks[index].phase, Phase::Ended(..))) {
                        self.world.note(format!("{host}: reap {piece} try {attempt}"));
                        state.tasks.remove(known.unwrap());
                        state.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    /// The phase in which a launched task begins.
    fn admission(&self, state: &State, piece: &str) -> Phase {
        let Some((id, number)) = piece.split_once('/') else { return Phase::Ended("no_such", None) };
        let Some(job) = self.world.job(id) else { return Phase::Ended("no_such", None) };
        if number.parse::<u32>().map_or(true, |number| number >= job.pieces) {
            return Phase::Ended("no_such", None);
        }
        let live = || state.tasks.iter().filter(|task| !matches!(task.phase, Phase::Ended(..)));
        if live().any(|task| task.name == piece) {
            return Phase::Ended("busy", None);
        }
        let jobs: Vec<_> =
            live().filter_map(|task| self.world.job(task.name.split('/').next().unwrap_or(""))).collect();
        let used = |of: fn(&crate::world::Job) -> f64| jobs.iter().map(of).sum::<f64>();
        let fits = used(|job| job.cpus) + job.cpus <= self.spec.cpus + 1e-6
            && used(|job| job.cards) + job.cards <= self.spec.cards + 1e-6
            && used(|job| job.memory) + job.memory <= self.spec.memory + 1e-6;
        if fits {
            Phase::Fetching
        } else {
            Phase::Ended("full", None)
        }
    }

    fn handle(self: &Arc<Worker>, request: &Request) -> Option<Response> {
        let lost = || self.faults.hung.load(Relaxed) || self.faults.deaf.load(Relaxed) || self.is_gone();
        if lost() {
            return None;
        }
        match (&*request.method, request.resource()) {
            ("POST", "/do") => {
                let body = decode(&request.body)?;
                if rng::percent(self.faults.late_commands.load(Relaxed)) {
                    let (worker, wait) = (self.clone(), 2_000 + rng::below(14_000));
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(u64::from(wait)));
                        worker.direct(&body);
                    });
                    return None;
                }
                Some(self.direct(&body))
            }
            ("GET", "/status") => {
                let mut state = self.state.lock().unwrap();
                self.check_lease(&mut state);
                Some(Response { status: 200, body: encode(&self.report(&mut state)) })
            }
            _ => Some(Response { status: 404, body: vec![] }),
        }
    }

    /// A direct command.
    fn direct(&self, body: &V) -> Response {
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        let (Some(baton), Some(shift)) = (body.u64("baton"), body.u64("shift")) else {
            return Response { status: 400, body: vec![] };
        };
        self.check_lease(state);
        let refused = state.gone || baton < state.baton || shift != state.shift;
        if !refused {
            if baton > state.baton && state.baton_change_at.is_none_or(|at| at.elapsed() >= self.config.lease / 2) {
                state.changed = true;
                state.baton_change_at = Some(Instant::now());
            }
            state.baton = baton;
            self.execute(state, body.list("orders"));
        }
        let report = self.report(state);
        let orders = body.get("orders").map(V::json).unwrap_or_default();
        self.world
            .note(format!("command to {}: baton {baton} shift {shift} {orders}: refused {refused}", self.spec.host));
        Response { status: if refused { 409 } else { 200 }, body: encode(&report) }
    }
}
