//! A small deployment: three controllers, the stand-ins around them, and the users' requests.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    cbor::{self, map, text, Value},
    http::{self, Request, Response},
    store::{Limits, Store},
    worker::{Machine, Times, Worker},
    world::{Job, World},
};

const CONTROLLERS: usize = 3;
const ZONES: [&str; CONTROLLERS] = ["padova", "brescia", "padova"];
/// The settings of the site vetrete-coop, but for addresses and teams.
pub const TIMES: Times = Times { report_s: 3.0, lease_s: 30.0 };
pub const CANCEL_S: f64 = 50.0;
const LIMITS: Limits = Limits { rps: 100.0, write_rps: 30.0, value_kb: 16.0, txn_ops: 24 };

extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

/// A team's name, guaranteed GPUs and largest number of GPUs.
pub type Team = (&'static str, f64, f64);

/// One controller.
pub struct Controller {
    pub label: String,
    pub address: SocketAddr,
    config: std::path::PathBuf,
    child: Mutex<Option<Child>>,
}

/// The whole deployment; its processes end with it.
pub struct Deployment {
    pub world: World,
    pub store: Store,
    pub controllers: Vec<Controller>,
    pub workers: Arc<Mutex<Vec<Worker>>>,
}

/// Breeds: name, CPUs, GPUs, memory in GB, price, spot price, boot time in seconds.
const BREEDS: [(&str, f64, f64, f64, f64, f64, f64); 3] = [
    ("merlo", 8.0, 0.0, 16.0, 0.33, 0.1, 30.0),
    ("airone", 64.0, 0.0, 512.0, 3.06, 0.98, 15.0),
    ("falco", 24.0, 4.0, 192.0, 9.97, 3.53, 60.0),
];

fn free_port() -> u16 {
    // Below the ports that the system assigns to outgoing connections.
    static NEXT: Mutex<u32> = Mutex::new(0);
    loop {
        let mut next = NEXT.lock().unwrap();
        *next += 1;
        let port = 20_000 + ((std::process::id() * 64 + *next) % 12_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

fn run_command() -> Result<Vec<String>, String> {
    let file = fs::read_to_string("deploy/service.toml").map_err(|error| format!("deploy/service.toml: {error}"))?;
    let line = file.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    Ok(line.ok_or("deploy/service.toml: no run command")?.split_whitespace().map(str::to_owned).collect())
}

impl Deployment {
    /// Starts stand-ins and controllers, and waits until all controllers are ready.
    pub fn start(world: World, teams: &[Team], machines: Vec<Machine>) -> Result<Deployment, String> {
        let command = run_command()?;
        let store = Store::new(LIMITS);
        let workers: Arc<Mutex<Vec<Worker>>> = Arc::default();
        let cloud = serve_cloud(Arc::clone(&workers), world.clone());
        let accesses: Vec<SocketAddr> = (0..CONTROLLERS).map(|index| store.serve(index)).collect();
        let ports: Vec<(u16, u16)> = (0..CONTROLLERS).map(|_| (free_port(), free_port())).collect();
        let mut controllers = Vec::new();
        for (index, access) in accesses.into_iter().enumerate() {
            let settings = settings(index, &ports, cloud, access, teams);
            let config = world.folder().join(format!("boma-{index}.toml"));
            fs::write(&config, settings).map_err(|error| error.to_string())?;
            controllers.push(Controller {
                label: format!("boma-{index}"),
                address: SocketAddr::from(([127, 0, 0, 1], ports[index].0)),
                config,
                child: Mutex::default(),
            });
        }
        let deployment = Deployment { world, store, controllers, workers };
        for index in 0..CONTROLLERS {
            deployment.start_controller(index, &command)?;
        }
        let nodes: Vec<(String, SocketAddr)> =
            deployment.controllers.iter().map(|controller| (controller.label.clone(), controller.address)).collect();
        for machine in machines {
            let worker = Worker::start(machine, TIMES, nodes.clone(), deployment.world.clone());
            deployment.workers.lock().unwrap().push(worker);
        }
        let are_ready = || deployment.controllers.iter().all(|controller| is_ready(controller.address));
        if wait_for(Duration::from_secs(20), are_ready) {
            Ok(deployment)
        } else {
            Err("the controllers did not become ready".into())
        }
    }

    fn start_controller(&self, index: usize, command: &[String]) -> Result<(), String> {
        let controller = &self.controllers[index];
        let mut start = Command::new(&command[0]);
        start.args(&command[1..]).arg(&controller.config).stdin(Stdio::null()).stdout(Stdio::null());
        start.stderr(Stdio::piped()).env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()));
        // The controller ends with this process, however that ends.
        unsafe {
            start.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let mut child = start.spawn().map_err(|error| format!("{}: {error}", command[0]))?;
        self.world.record(&format!("{}: started", controller.label));
        if let Some(stderr) = child.stderr.take() {
            let (world, label) = (self.world.clone(), controller.label.clone());
            thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    let line = line.split_once(' ').map_or(line.as_str(), |(_, rest)| rest.trim_start());
                    world.record(&format!("{label} log: {line}"));
                }
            });
        }
        *controller.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Starts a controller again that was killed.
    pub fn restart(&self, index: usize) -> Result<(), String> {
        self.start_controller(index, &run_command()?)
    }

    /// Kills a controller without notice.
    pub fn kill(&self, index: usize) {
        self.world.record(&format!("{}: killed", self.controllers[index].label));
        if let Some(mut child) = self.controllers[index].child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn index_of(&self, label: &str) -> Option<usize> {
        self.controllers.iter().position(|controller| controller.label == label)
    }

    pub fn worker(&self, host: &str) -> Option<Worker> {
        self.workers.lock().unwrap().iter().find(|worker| worker.machine().host == host).cloned()
    }

    /// Sends one user's request to a controller. `None`: no response in time.
    pub fn request(&self, index: usize, method: &str, path: &str, body: &Value) -> Option<(u16, Value)> {
        let controller = &self.controllers[index];
        let timeout = Duration::from_secs(if method == "GET" { 2 } else { 5 });
        let bytes = if method == "GET" { Vec::new() } else { cbor::encode(body) };
        let result = http::call(controller.address, method, path, &bytes, timeout);
        let answer = match &result {
            Ok((status, answer)) => format!("{status} {}", answer.as_ref().map_or(String::new(), Value::json)),
            Err(error) => format!("no answer ({error})"),
        };
        self.world.record(&format!("user: {method} {path} to {}: {answer}", controller.label));
        result.ok().map(|(status, answer)| (status, answer.unwrap_or(Value::Null)))
    }

    /// Submits a job as a user does, at one controller after another; returns whether it was
    /// accepted within 60 s.
    pub fn submit(&self, job: &Job) -> bool {
        self.world.upload(job);
        let begin = Instant::now();
        for index in (0..CONTROLLERS).cycle() {
            match self.request(index, "POST", "/api/jobs", &job.submission()) {
                Some((200 | 201, _)) => return true,
                Some((400 | 422, _)) => return false,
                _ if begin.elapsed() > Duration::from_secs(60) => return false,
                _ => thread::sleep(Duration::from_secs(1)),
            }
        }
        false
    }

    /// Waits until a condition holds; an error if it does not in time.
    pub fn expect(&self, what: &str, timeout_s: f64, condition: impl Fn() -> bool) -> Result<(), String> {
        self.world.record(&format!("waiting: {what}"));
        if wait_for(Duration::from_secs_f64(timeout_s), condition) {
            self.world.record(&format!("seen: {what}"));
            Ok(())
        } else {
            Err(format!("not seen within {timeout_s} s: {what}"))
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for index in 0..CONTROLLERS {
            self.kill(index);
        }
    }
}

pub fn wait_for(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let begin = Instant::now();
    while begin.elapsed() < timeout {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    condition()
}

fn is_ready(address: SocketAddr) -> bool {
    http::call(address, "GET", "/ready", b"", Duration::from_secs(1)).is_ok_and(|(status, _)| status == 200)
}

fn settings(index: usize, ports: &[(u16, u16)], cloud: SocketAddr, store: SocketAddr, teams: &[Team]) -> String {
    let mut text = format!(
        "label = \"boma-{index}\"\ndomain = \"{}\"\nclient_listen = \"127.0.0.1:{}\"\ncluster_listen = \"127.0.0.1:{}\"\n",
        ZONES[index], ports[index].0, ports[index].1
    );
    for peer in (0..ports.len()).filter(|peer| *peer != index) {
        text += &format!(
            "[[seeds]]\nlabel = \"boma-{peer}\"\ndomain = \"{}\"\nendpoint = \"127.0.0.1:{}\"\n",
            ZONES[peer], ports[peer].1
        );
    }
    text += &format!("[outside]\ncloud = \"{cloud}\"\nstate = \"{store}\"\n");
    text += "[cluster]\nnodes = 3\nzones = [\"padova\", \"brescia\"]\nskew_ms = 25.0\n";
    for (name, gpus, gpus_max) in teams {
        text += &format!(
            "[[cluster.teams]]\nname = \"{name}\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = {gpus:?}\ngpus_max = {gpus_max:?}\n"
        );
    }
    let Times { report_s, lease_s } = TIMES;
    text += &format!(
        "[cluster.workers]\nreport_s = {report_s:?}\nlease_s = {lease_s:?}\ngang_wait_s = 40.0\ngang_peer_s = 8.0\n\
         cancel_s = {CANCEL_S:?}\n"
    );
    let Limits { rps, write_rps, value_kb, txn_ops } = LIMITS;
    text += &format!(
        "[cluster.state]\nrps = {rps:?}\nwrite_rps = {write_rps:?}\nvalue_kb = {value_kb:?}\ntxn_ops = {txn_ops}\n\
         [cluster.cloud]\nrps = 4.0\nlist_lag_s = 6.0\n[cluster.limits]\ncpu = 0.12\nram_mb = 200.0\nsockets = 3500\n"
    );
    text
}

/// Serves the cloud: it has no more machines to give.
fn serve_cloud(workers: Arc<Mutex<Vec<Worker>>>, world: World) -> SocketAddr {
    let begin = Instant::now();
    let handler = move |request: Request| {
        let body = cbor::decode(&request.body).unwrap_or(Value::Null);
        Some(match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => Response::new(200, &map([("breeds", Value::List(BREEDS.map(breed).to_vec()))])),
            ("GET", "/hosts") => list_hosts(&workers.lock().unwrap(), &request, begin),
            ("POST", "/hosts") => Response::new(503, &map([("error", text("no capacity"))])),
            ("POST", "/hosts/return") => {
                for host in body.get("hosts").map_or(&[][..], Value::list).iter().filter_map(Value::text) {
                    world.record(&format!("cloud: {host} is returned"));
                    let workers = workers.lock().unwrap();
                    workers.iter().filter(|worker| worker.machine().host == host).for_each(Worker::end);
                }
                Response::new(200, &map([]))
            }
            _ => Response::new(404, &map([])),
        })
    };
    http::serve(http::listen(), Arc::new(handler))
}

fn breed((name, cpus, cards, memory_gb, price, spot_price, boot_s): (&str, f64, f64, f64, f64, f64, f64)) -> Value {
    map([
        ("name", text(name)),
        ("cpus", Value::Float(cpus)),
        ("cards", Value::Float(cards)),
        ("memoryGb", Value::Float(memory_gb)),
        ("localGb", Value::Float(120.0)),
        ("pullGbPerS", Value::Float(1.0)),
        ("price", Value::Float(price)),
        ("spotPrice", Value::Float(spot_price)),
        ("readyS", Value::Float(boot_s)),
        ("yards", Value::List(vec![text("padova"), text("brescia")])),
    ])
}

fn list_hosts(workers: &[Worker], request: &Request, begin: Instant) -> Response {
    let from = request.parameter("from").unwrap_or("");
    let host = |worker: &Worker| {
        let machine = worker.machine();
        map([
            ("nameId", text(&machine.host)),
            ("endpoint", text(&worker.address().to_string())),
            ("breed", text(&machine.breed)),
            ("yard", text(&machine.yard)),
            ("loaners", Value::Bool(machine.spot)),
            ("status", text("running")),
            ("heldS", Value::Float(begin.elapsed().as_secs_f64())),
        ])
    };
    let listed = workers.iter().filter(|worker| worker.is_listed() && worker.machine().host.as_str() > from);
    let hosts = listed.take(500).map(host).collect();
    Response::new(200, &map([("hosts", Value::List(hosts)), ("truncated", Value::Bool(false))]))
}

/// A machine of a breed, in a zone.
pub fn machine(host: &str, breed: &str, yard: &str) -> Machine {
    let (_, cpus, cards, memory_gb, ..) = BREEDS.into_iter().find(|(name, ..)| *name == breed).expect("a known breed");
    Machine { host: host.into(), breed: breed.into(), yard: yard.into(), cpus, cards, memory_gb, spot: false }
}
