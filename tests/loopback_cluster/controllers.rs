//! The controllers' processes and their settings.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
};

use super::key_value_store::{Limits, LIMITS};

/// Ports that controllers may listen on: below those of outgoing connections.
const FIRST_PORT: u16 = 20_000;
const PORTS: u32 = 12_000;

/// A port below those that the system gives to outgoing connections: one of
/// theirs could be taken again before the controller listens on it.
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

/// The program of this version.
pub fn this_version() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_shedhook"))
}

/// One controller, which may be down; killed when dropped.
pub struct Controller {
    pub client: SocketAddr,
    pub config_file: PathBuf,
    pub child: Option<Child>,
}

impl Controller {
    pub fn start(&mut self) {
        self.start_with_program(this_version());
    }

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

/// What the settings of a cluster's controllers share.
#[derive(Debug, Clone, Copy)]
pub struct SharedSettings {
    pub lease_s: u32,
    pub cancel_s: u32,
    /// Limits that the settings announce for later (`state.next`).
    pub next: Option<Limits>,
}

/// Where a controller listens, and where it finds the key-value store.
pub struct Addresses {
    client: SocketAddr,
    cluster: SocketAddr,
    store: SocketAddr,
}

impl Addresses {
    pub fn new(store: SocketAddr) -> Addresses {
        Addresses { client: free_port(), cluster: free_port(), store }
    }
}

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

/// Controllers with their settings, not started yet.
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
        Controller { client: all[n].client, config_file, child: None }
    };
    (0..all.len()).map(controller).collect()
}
