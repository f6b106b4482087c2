//! The controllers: settings, processes, and the links between them.

use std::{
    fs::{self, File},
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, Ordering::Relaxed},
        Arc,
    },
    thread,
    time::Duration,
};

use crate::store::{Access, Store};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// A port that is free now, below those that the system assigns by itself.
fn free_port() -> SocketAddr {
    use std::sync::atomic::AtomicU32;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let offset = (std::process::id().wrapping_mul(97) + NEXT.fetch_add(1, Relaxed)) % 12_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], 18_000 + offset as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// A forwarder for the connections of one controller to another, which can refuse them.
pub struct Link {
    pub refused: Arc<AtomicBool>,
    addr: SocketAddr,
}

impl Link {
    fn start(to: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let refused = Arc::new(AtomicBool::new(false));
        let flag = refused.clone();
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                thread::sleep(Duration::from_millis(5));
                if flag.load(Relaxed) {
                    // Without a listener the system refuses the connections.
                    listener = None;
                    continue;
                }
                if listener.is_none() {
                    listener = TcpListener::bind(addr).ok();
                }
                let Some(listener) = &listener else { continue };
                let _ = listener.set_nonblocking(true);
                while let Ok((inbound, _)) = listener.accept() {
                    let flag = flag.clone();
                    thread::spawn(move || forward(inbound, to, &flag));
                }
            }
        });
        Link { refused, addr }
    }
}

/// Forwards what one controller sends to another. Controllers send nothing back on these connections.
fn forward(mut inbound: TcpStream, to: SocketAddr, refused: &AtomicBool) {
    let _ = inbound.set_nonblocking(false);
    let _ = inbound.set_read_timeout(Some(Duration::from_millis(20)));
    let mut buffer = [0; 16384];
    let Ok(mut outbound) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { return };
    let _ = outbound.set_nodelay(true);
    while !refused.load(Relaxed) {
        match inbound.read(&mut buffer) {
            Ok(n) if n > 0 && outbound.write_all(&buffer[..n]).is_ok() => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => break,
        }
    }
    let _ = inbound.shutdown(Shutdown::Both);
    let _ = outbound.shutdown(Shutdown::Both);
}

pub struct Node {
    pub label: String,
    pub zone: String,
    pub client: SocketAddr,
    pub access: Arc<Access>,
    /// Links to the other controllers, by their index.
    pub links: Vec<(usize, Link)>,
    config: String,
    child: Option<Child>,
    program: Vec<String>,
    log: String,
}

/// What the settings of a case differ in.
pub struct Settings {
    pub zones: Vec<&'static str>,
    /// Zone of each controller.
    pub nodes: Vec<&'static str>,
    /// Name, guaranteed cards, most CPUs, most cards.
    pub teams: Vec<(&'static str, f64, f64, f64)>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

/// The command with which the deploy file starts a controller.
pub fn run_command() -> Option<Vec<String>> {
    let text = fs::read_to_string("deploy/service.toml").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""))?;
    Some(line.trim_end_matches('"').split_whitespace().map(str::to_owned).collect())
}

pub struct Ports {
    client: SocketAddr,
    cluster: SocketAddr,
}

pub fn choose_ports(settings: &Settings) -> Vec<Ports> {
    settings.nodes.iter().map(|_| Ports { client: free_port(), cluster: free_port() }).collect()
}

pub fn addresses(ports: &[Ports]) -> Vec<(String, SocketAddr)> {
    ports.iter().enumerate().map(|(n, ports)| (format!("boma-{n}"), ports.client)).collect()
}

/// Writes the settings files; the controllers aren't started.
pub fn create(
    dir: &str,
    log_dir: &str,
    settings: &Settings,
    ports: &[Ports],
    store: &Arc<Store>,
    cloud: SocketAddr,
    program: &[String],
) -> Vec<Node> {
    let mut nodes = Vec::new();
    for (n, zone) in settings.nodes.iter().enumerate() {
        let access: Arc<Access> = Arc::default();
        let state = store.serve(access.clone());
        let mut text = format!(
            "label = \"boma-{n}\"\ndomain = \"{zone}\"\nclient_listen = \"{}\"\ncluster_listen = \"{}\"\n",
            ports[n].client, ports[n].cluster
        );
        let mut links = Vec::new();
        for (m, other) in settings.nodes.iter().enumerate().filter(|(m, _)| *m != n) {
            let link = Link::start(ports[m].cluster);
            text += &format!("[[seeds]]\nlabel = \"boma-{m}\"\ndomain = \"{other}\"\nendpoint = \"{}\"\n", link.addr);
            links.push((m, link));
        }
        let zones: Vec<String> = settings.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
        text += &format!("[outside]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n[cluster]\nnodes = {}\nzones = [{}]\nskew_ms = 25.0\n", settings.nodes.len(), zones.join(", "));
        for (name, cards, cpus_max, cards_max) in &settings.teams {
            text += &format!("[[cluster.teams]]\nname = \"{name}\"\ncpus = 0.0\ncpus_max = {cpus_max:?}\ngpus = {cards:?}\ngpus_max = {cards_max:?}\n");
        }
        text += &format!(
            "[cluster.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 40.0\ngang_peer_s = 8.0\ncancel_s = {:?}\n\
            [cluster.state]\nrps = 100.0\nwrite_rps = 30.0\nvalue_kb = 16.0\ntxn_ops = 24\n\
            [cluster.cloud]\nrps = 4.0\nlist_lag_s = 6.0\n[cluster.limits]\ncpu = 0.12\nram_mb = 200.0\nsockets = 3500\n",
            settings.report_s, settings.lease_s, settings.cancel_s
        );
        let config = format!("{dir}/boma-{n}.toml");
        fs::write(&config, text).unwrap();
        nodes.push(Node {
            label: format!("boma-{n}"),
            zone: (*zone).to_owned(),
            client: ports[n].client,
            access,
            links,
            config,
            child: None,
            program: program.to_vec(),
            log: format!("{log_dir}/boma-{n}.log"),
        });
    }
    nodes
}

impl Node {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let level = std::env::var("CASE_LOG").unwrap_or("info".into());
        let mut command = Command::new(&self.program[0]);
        command.args(&self.program[1..]).arg(&self.config).env("LOG_LEVEL", level).stdout(Stdio::null()).stderr(log);
        // A stopped process of an orphaned process group would get SIGHUP.
        command.process_group(0);
        // The controller ends with this process, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        self.child = command.spawn().ok();
    }

    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    pub fn freeze(&self) {
        self.signal(SIGSTOP);
    }

    pub fn thaw(&self) {
        self.signal(SIGCONT);
    }

    /// Reports whether the process ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
