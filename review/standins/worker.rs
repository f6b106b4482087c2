//! Stand-in of a worker: one machine, its tasks, its reports and its lease.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cbor::{self, int, map, text, Value},
    http::{self, Request, Response},
    world::World,
};

const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
const MIN_REPORT_GAP: Duration = Duration::from_millis(500);
const NEXT_NODE_DELAY: Duration = Duration::from_secs(1);

/// How long the cloud's list shows a machine that died.
const LISTED_AFTER_DEATH: Duration = Duration::from_secs(30);
/// How long a caller of a machine that is gone waits at most.
const SILENCE: Duration = Duration::from_secs(20);
/// Time that a machine takes to fetch an image, in seconds.
const FETCH_S: f64 = 0.5;

/// Fixed properties of a machine.
#[derive(Clone)]
pub struct Machine {
    pub host: String,
    pub breed: String,
    pub yard: String,
    pub cpus: f64,
    pub cards: f64,
    pub memory_gb: f64,
    pub spot: bool,
}

/// Times from the settings, in seconds.
#[derive(Clone, Copy)]
pub struct Times {
    pub report_s: f64,
    pub lease_s: f64,
}

#[derive(Clone)]
struct Piece {
    name: String,
    attempt: u64,
    status: &'static str,
    cause: Option<&'static str>,
    saved: bool,
    /// When the present state ends by itself.
    until: Option<Instant>,
    run_s: f64,
}

struct State {
    shift: u64,
    tick: u64,
    baton: u64,
    pieces: Vec<Piece>,
    lease_from: Instant,
    is_changed: bool,
    last_baton_change: Option<Instant>,
}

struct Shared {
    machine: Machine,
    times: Times,
    world: World,
    state: Mutex<State>,
    /// Labels and addresses of the controllers.
    nodes: Vec<(String, SocketAddr)>,
    is_gone: AtomicBool,
    /// When the machine died by itself.
    died: Mutex<Option<Instant>>,
    address: Mutex<Option<SocketAddr>>,
    /// The last report that listed a running task, as it was sent.
    last_running_report: Mutex<Option<Vec<u8>>>,
    /// Label of the controller that answered 200 last.
    served_by: Mutex<String>,
}

/// A running worker.
#[derive(Clone)]
pub struct Worker(Arc<Shared>);

fn is_over(piece: &Piece) -> bool {
    piece.status == "ended"
}

impl Worker {
    pub fn start(machine: Machine, times: Times, nodes: Vec<(String, SocketAddr)>, world: World) -> Worker {
        let state = State {
            shift: 1,
            tick: 0,
            baton: 0,
            pieces: Vec::new(),
            lease_from: Instant::now(),
            is_changed: false,
            last_baton_change: None,
        };
        let worker = Worker(Arc::new(Shared {
            machine,
            times,
            world,
            state: Mutex::new(state),
            nodes,
            is_gone: AtomicBool::new(false),
            died: Mutex::default(),
            address: Mutex::default(),
            last_running_report: Mutex::default(),
            served_by: Mutex::default(),
        }));
        let server = worker.clone();
        let address = http::serve(http::listen(), Arc::new(move |request: Request| server.handle(&request)));
        *worker.0.address.lock().unwrap() = Some(address);
        let (timer, reporter) = (worker.clone(), worker.clone());
        thread::spawn(move || {
            while !timer.is_gone() {
                timer.advance();
                thread::sleep(Duration::from_millis(20));
            }
        });
        thread::spawn(move || reporter.send_reports());
        worker
    }

    pub fn machine(&self) -> &Machine {
        &self.0.machine
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address.lock().unwrap().expect("set at the start")
    }

    pub fn is_gone(&self) -> bool {
        self.0.is_gone.load(Ordering::SeqCst)
    }

    /// Ends the machine and everything on it, at the cloud's doing.
    pub fn end(&self) {
        let mut state = self.0.state.lock().unwrap();
        self.0.is_gone.store(true, Ordering::SeqCst);
        *self.0.died.lock().unwrap() = None;
        self.kill_all(&mut state, "the machine is gone");
    }

    /// Stops the machine with all that is on it. The cloud learns of it later.
    pub fn die(&self) {
        self.0.world.record(&format!("{}: the machine dies", self.0.machine.host));
        self.end();
        *self.0.died.lock().unwrap() = Some(Instant::now());
    }

    /// Reports whether the cloud's list shows the machine as running.
    pub fn is_listed(&self) -> bool {
        let died = *self.0.died.lock().unwrap();
        !self.is_gone() || died.is_some_and(|died| died.elapsed() < LISTED_AFTER_DEATH)
    }

    /// Returns the last report that listed a running task, as it was sent.
    pub fn last_running_report(&self) -> Option<Vec<u8>> {
        self.0.last_running_report.lock().unwrap().clone()
    }

    /// Returns the label of the controller that answered 200 last.
    pub fn served_by(&self) -> String {
        self.0.served_by.lock().unwrap().clone()
    }

    fn kill_all(&self, state: &mut State, why: &str) {
        for piece in std::mem::take(&mut state.pieces) {
            if !is_over(&piece) && piece.status != "fetching" {
                self.0.world.task_ends(&self.0.machine.host, &piece.name, piece.attempt, why);
            }
        }
    }

    fn end_piece(&self, piece: &mut Piece, cause: &'static str, saved: bool) {
        if piece.status != "fetching" {
            self.0.world.task_ends(&self.0.machine.host, &piece.name, piece.attempt, cause);
        }
        (piece.status, piece.cause, piece.saved, piece.until) = ("ended", Some(cause), saved, None);
    }

    /// Lets time pass: image fetches, completions, the lease.
    fn advance(&self) {
        let mut state = self.0.state.lock().unwrap();
        if self.is_gone() {
            return;
        }
        let now = Instant::now();
        if now > state.lease_from + Duration::from_secs_f64(self.0.times.lease_s) {
            self.kill_all(&mut state, "the lease ran out");
            state.shift += 1;
            state.lease_from = now;
            state.is_changed = true;
            self.0.world.record(&format!("{}: lease ran out, session {}", self.0.machine.host, state.shift));
        }
        let mut pieces = std::mem::take(&mut state.pieces);
        for piece in &mut pieces {
            if piece.until.is_none_or(|until| now < until) {
                continue;
            }
            state.is_changed = true;
            match piece.status {
                "fetching" => {
                    piece.status = "running";
                    piece.until = (piece.run_s > 0.0).then(|| now + Duration::from_secs_f64(piece.run_s));
                    self.0.world.task_begins(&self.0.machine.host, &piece.name, piece.attempt);
                }
                "running" => self.end_piece(piece, "done", false),
                "flushing" => self.end_piece(piece, "halted", true),
                _ => {}
            }
        }
        state.pieces = pieces;
    }

    fn report(&self, state: &mut State) -> Value {
        state.tick += 1;
        let piece = |piece: &Piece| {
            let mut entry = vec![
                ("piece".to_owned(), text(&piece.name)),
                ("try".to_owned(), int(piece.attempt)),
                ("status".to_owned(), text(piece.status)),
            ];
            entry.extend(piece.cause.map(|cause| ("cause".to_owned(), text(cause))));
            if piece.saved {
                entry.push(("saved".to_owned(), Value::Bool(true)));
            }
            Value::Map(entry)
        };
        let machine = &self.0.machine;
        map([
            ("host", text(&machine.host)),
            ("endpoint", text(&self.address().to_string())),
            ("breed", text(&machine.breed)),
            ("yard", text(&machine.yard)),
            ("loaners", Value::Bool(machine.spot)),
            ("shift", int(state.shift)),
            ("tick", int(state.tick)),
            ("baton", int(state.baton)),
            ("warningS", Value::Null),
            ("pieces", Value::List(state.pieces.iter().map(piece).collect())),
        ])
    }

    fn launch(&self, state: &mut State, name: &str, attempt: u64) {
        if state.pieces.iter().any(|piece| piece.name == name && piece.attempt == attempt) {
            return;
        }
        state.is_changed = true;
        let mut piece = Piece {
            name: name.to_owned(),
            attempt,
            status: "ended",
            cause: None,
            saved: false,
            until: None,
            run_s: 0.0,
        };
        let (id, number) = name.rsplit_once('/').unwrap_or((name, ""));
        let job = self.0.world.job(id).filter(|job| number.parse().is_ok_and(|number: u64| number < job.pieces));
        let is_busy = state.pieces.iter().any(|other| other.name == name && !is_over(other));
        let used = |amount: fn(&crate::world::Job) -> f64| -> f64 {
            let jobs = state.pieces.iter().filter(|piece| !is_over(piece));
            jobs.filter_map(|piece| self.0.world.job(piece.name.split('/').next()?)).map(|job| amount(&job)).sum()
        };
        let machine = &self.0.machine;
        match job {
            None => piece.cause = Some("no_such"),
            Some(_) if is_busy => piece.cause = Some("busy"),
            Some(job)
                if used(|job| job.cpus) + job.cpus > machine.cpus + 1e-6
                    || used(|job| job.cards) + job.cards > machine.cards + 1e-6
                    || used(|job| job.memory_gb) + job.memory_gb > machine.memory_gb + 1e-6 =>
            {
                piece.cause = Some("full");
            }
            Some(job) => {
                piece.status = "fetching";
                piece.until = Some(Instant::now() + Duration::from_secs_f64(FETCH_S));
                piece.run_s = job.run_s;
            }
        }
        if let Some(cause) = piece.cause {
            self.0.world.record(&format!("{}: start of {name} refused: {cause}", machine.host));
        }
        state.pieces.push(piece);
    }

    fn halt(&self, state: &mut State, name: &str, attempt: u64, leeway_s: f64) {
        let mut pieces = std::mem::take(&mut state.pieces);
        let is_it = |piece: &&mut Piece| piece.name == name && piece.attempt == attempt && !is_over(piece);
        if let Some(piece) = pieces.iter_mut().find(is_it) {
            let job = self.0.world.job(name.split('/').next().unwrap_or(""));
            let (can_save, save_s) = job.map_or((false, 0.0), |job| (job.checkpoint_s > 0.0, job.save_s));
            let may_save = can_save && leeway_s >= save_s;
            if piece.status == "running" && may_save {
                (piece.status, piece.until) = ("flushing", Some(Instant::now() + Duration::from_secs_f64(save_s)));
            } else if piece.status != "flushing" || leeway_s == 0.0 {
                self.end_piece(piece, "halted", false);
            }
            state.is_changed = true;
        }
        state.pieces = pieces;
    }

    fn execute(&self, state: &mut State, orders: &Value) {
        for order in orders.list() {
            let (Some(verb), Some(name), Some(attempt)) =
                (order.text_at("verb"), order.text_at("piece"), order.int_at("try"))
            else {
                continue;
            };
            self.0.world.record(&format!("{}: ordered {}", self.0.machine.host, order.json()));
            match verb {
                "launch" => self.launch(state, name, attempt),
                "halt" => self.halt(state, name, attempt, order.number_at("leewayS").unwrap_or(0.0)),
                "reap" => {
                    let before = state.pieces.len();
                    let is_reaped = |piece: &Piece| piece.name == name && piece.attempt == attempt && is_over(piece);
                    state.pieces.retain(|piece| !is_reaped(piece));
                    state.is_changed |= state.pieces.len() != before;
                }
                _ => {}
            }
        }
    }

    fn see_baton(&self, state: &mut State, baton: u64) {
        if baton > state.baton {
            state.baton = baton;
            let half_lease = Duration::from_secs_f64(self.0.times.lease_s / 2.0);
            if state.last_baton_change.is_none_or(|last| last.elapsed() >= half_lease) {
                state.last_baton_change = Some(Instant::now());
                state.is_changed = true;
            }
        }
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        if self.is_gone() {
            // A machine without power stays silent.
            thread::sleep(SILENCE);
            return None;
        }
        let mut state = self.0.state.lock().unwrap();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/status") => Some(Response::new(200, &self.report(&mut state))),
            ("POST", "/do") => {
                let body = cbor::decode(&request.body)?;
                let (Some(baton), Some(shift)) = (body.int_at("baton"), body.int_at("shift")) else {
                    return Some(Response::new(400, &map([])));
                };
                if baton < state.baton || shift != state.shift {
                    return Some(Response::new(409, &self.report(&mut state)));
                }
                self.see_baton(&mut state, baton);
                self.execute(&mut state, body.get("orders").unwrap_or(&Value::Null));
                Some(Response::new(200, &self.report(&mut state)))
            }
            _ => Some(Response::new(404, &map([]))),
        }
    }

    fn send_reports(&self) {
        let mut random = Instant::now().elapsed().subsec_nanos() as u64 ^ self.address().port() as u64 * 0x9e37_79b9;
        let mut node = 0;
        loop {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let share = 0.75 + 0.5 * ((random >> 33) as f64 / (1u64 << 31) as f64);
            let sent = Instant::now();
            let next = self.send_report(node, sent);
            let regular = sent + Duration::from_secs_f64(self.0.times.report_s * share);
            match next {
                Next::Stay => {
                    while Instant::now() < regular && !self.is_gone() {
                        let is_changed = self.0.state.lock().unwrap().is_changed;
                        if is_changed && sent.elapsed() >= MIN_REPORT_GAP {
                            break;
                        }
                        thread::sleep(Duration::from_millis(10));
                    }
                }
                Next::At(boss) => {
                    node = boss;
                    thread::sleep(MIN_REPORT_GAP.saturating_sub(sent.elapsed()));
                }
                Next::Other => {
                    node = (node + 1) % self.0.nodes.len();
                    thread::sleep(NEXT_NODE_DELAY);
                }
            }
            if self.is_gone() {
                return;
            }
        }
    }

    fn send_report(&self, node: usize, sent: Instant) -> Next {
        let (label, address) = &self.0.nodes[node];
        let (body, shift) = {
            let mut state = self.0.state.lock().unwrap();
            state.is_changed = false;
            (self.report(&mut state), state.shift)
        };
        let bytes = cbor::encode(&body);
        let is_running = |piece: &Value| piece.text_at("status") == Some("running");
        if body.get("pieces").is_some_and(|pieces| pieces.list().iter().any(is_running)) {
            *self.0.last_running_report.lock().unwrap() = Some(bytes.clone());
        }
        let host = &self.0.machine.host;
        let result = http::call(*address, "POST", "/checkin", &bytes, REPORT_TIMEOUT);
        let pieces = body.get("pieces").map_or(String::new(), Value::json);
        let (baton, tick) = (body.int_at("baton").unwrap_or(0), body.int_at("tick").unwrap_or(0));
        let answer = match &result {
            Ok((status, answer)) => format!("{status} {}", answer.as_ref().map_or(String::new(), Value::json)),
            Err(error) => format!("no answer ({error})"),
        };
        self.0.world.record(&format!("{host}: report {shift}.{tick} baton {baton} {pieces} to {label}: {answer}"));
        match result {
            Ok((200, answer)) => {
                let mut state = self.0.state.lock().unwrap();
                let baton = answer.as_ref().and_then(|answer| answer.int_at("baton"));
                let is_valid = baton.is_some_and(|baton| baton >= state.baton) && state.shift == shift;
                if is_valid && !self.is_gone() && sent.elapsed() < REPORT_TIMEOUT {
                    state.lease_from = state.lease_from.max(sent);
                    self.see_baton(&mut state, baton.unwrap_or(0));
                    *self.0.served_by.lock().unwrap() = label.clone();
                    if let Some(orders) = answer.as_ref().and_then(|answer| answer.get("orders")) {
                        self.execute(&mut state, orders);
                    }
                }
                Next::Stay
            }
            Ok((421, answer)) => {
                let boss = answer.as_ref().and_then(|answer| answer.text_at("boss").map(str::to_owned));
                let index = boss.and_then(|boss| self.0.nodes.iter().position(|(label, _)| *label == boss));
                index.filter(|index| *index != node).map_or(Next::Other, Next::At)
            }
            _ => Next::Other,
        }
    }
}

enum Next {
    Stay,
    At(usize),
    Other,
}
