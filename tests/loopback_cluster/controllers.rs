//! Controller processes and their settings files.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
};

use super::key_value_store::{Limits, LIMITS};

/// First port that controllers may listen on. The range lies below the ports that the
/// system assigns to outgoing connections.
const FIRST_PORT: u16 = 20_000;
/// Number of ports in the range.
const PORTS: u32 = 12_000;

/// Finds a free port below those that the system assigns to outgoing connections: one
/// of those could be assigned to a connection before the controller listens on it.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let offset = (std::process::id() * 64 + NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let addr = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Returns the program of this version.
pub fn this_version() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_shedhook"))
}

/// A controller process, which may be down; killed when dropped.
pub struct Controller {
    /// Address for requests of users and workers.
    pub client_addr: SocketAddr,
    /// The settings file.
    pub config_file: PathBuf,
    /// The process; None while the controller is down.
    pub child: Option<Child>,
}

impl Controller {
    /// Starts the controller with the program of this version.
    pub fn start(&mut self) {
        self.start_with_program(this_version());
    }

    /// Starts the controller with `program`.
    pub fn start_with_program(&mut self, program: &Path) {
        let child = Command::new(program)
            .arg("--config")
            .arg(&self.config_file)
            .env("LOG_LEVEL", "error")
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Kills the process, if there is one, and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Settings that all controllers of a cluster share.
#[derive(Debug, Clone, Copy)]
pub struct SharedSettings {
    /// `workers.lease_s`: duration of a worker lease, in seconds.
    pub lease_s: u32,
    /// `workers.cancel_s`: bound within which the tasks of a cancelled job must stop, in
    /// seconds.
    pub cancel_s: u32,
    /// Limits of the store that will apply later (`state.next`); None: no change announced.
    pub next: Option<Limits>,
}

/// Addresses that a controller listens on, and the address at which the key-value store
/// serves it.
pub struct Addresses {
    client: SocketAddr,
    cluster: SocketAddr,
    store: SocketAddr,
}

impl Addresses {
    /// Chooses free ports for a controller that uses the store at `store`.
    pub fn new(store: SocketAddr) -> Addresses {
        Addresses { client: free_port(), cluster: free_port(), store }
    }
}

/// Returns the settings file of the controller with index `n`.
fn settings(n: usize, all: &[Addresses], cloud: SocketAddr, shared: &SharedSettings) -> String {
    let own = &all[n];
    let mut text = format!(
        "label = \"n-{n}\"\ndomain = \"a\"\nclient_listen = \"{}\"\ncluster_listen = \"{}\"\n",
        own.client, own.cluster
    );
    for peer in (0..all.len()).filter(|peer| *peer != n) {
        text += &format!("[[seeds]]\nlabel = \"n-{peer}\"\ndomain = \"a\"\nendpoint = \"{}\"\n", all[peer].cluster);
    }
    text += &format!("[outside]\ncloud = \"{cloud}\"\nstate = \"{}\"\n", own.store);
    let SharedSettings { lease_s, cancel_s, next } = shared;
    let Limits { value_kb, txn_ops } = LIMITS;
    text += &format!(
        "[cluster]\nzones = [\"a\"]\n[[cluster.teams]]\nname = \"red\"\n\
        [cluster.workers]\nreport_s = 0.3\nlease_s = {lease_s}\ngang_wait_s = 40\ngang_peer_s = 8\n\
        cancel_s = {cancel_s}\n[cluster.state]\nrps = 1000\nwrite_rps = 500\nvalue_kb = {value_kb}\n\
        txn_ops = {txn_ops}\n[cluster.cloud]\nrps = 50\nlist_lag_s = 1\n[cluster.limits]\nsockets = 500\n"
    );
    if let Some(Limits { value_kb, txn_ops }) = next {
        text += &format!("[cluster.state.next]\nvalue_kb = {value_kb}\ntxn_ops = {txn_ops}\n");
    }
    text
}

/// Writes the settings files into `dir`, and returns the controllers, not started yet.
pub fn create_controllers(
    dir: &Path,
    all: &[Addresses],
    cloud: SocketAddr,
    shared: &SharedSettings,
) -> Vec<Controller> {
    fs::create_dir_all(dir).unwrap();
    let controller = |n: usize| {
        let config_file = dir.join(format!("n-{n}.toml"));
        fs::write(&config_file, settings(n, all, cloud, shared)).unwrap();
        Controller { client_addr: all[n].client, config_file, child: None }
    };
    (0..all.len()).map(controller).collect()
}
