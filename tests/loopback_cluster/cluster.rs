//! Three controllers, a worker, and all that they need.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
};

use shedhook::protocol::cbor as body;

use super::{
    cloud::serve_cloud,
    controllers::{controllers, this_version, Addresses, Controller, Shared},
    http::call,
    key_value_store::{serve_store, AccessGate, Store},
    users::is_ready,
    wait_for,
    worker::{start_worker, Worker, WorkerHandle},
};

const CONTROLLERS: usize = 3;

pub struct ClusterSettings {
    pub store: Arc<Mutex<Store>>,
    /// Of each controller.
    pub gates: Vec<Arc<AccessGate>>,
    pub worker: Arc<Mutex<Worker>>,
    pub nodes: Vec<Controller>,
    /// Where the worker reports to.
    reports_to: Arc<Mutex<Vec<SocketAddr>>>,
    addresses: Vec<Addresses>,
    cloud: SocketAddr,
    stop: Arc<AtomicBool>,
    dir: PathBuf,
}

impl ClusterSettings {
    /// With controllers of this version, ready.
    pub fn start(name: &str, shared: &Shared) -> ClusterSettings {
        ClusterSettings::start_as(name, shared, this_version())
    }

    /// With controllers that run a program, ready.
    pub fn start_as(name: &str, shared: &Shared, program: &Path) -> ClusterSettings {
        let mut cluster = ClusterSettings::prepare(name, shared);
        for node in &mut cluster.nodes {
            node.start_as(program);
        }
        cluster.receive_heartbeats();
        cluster.wait_until_ready();
        cluster
    }

    /// With controllers that aren't started, and a worker that reports to none.
    pub fn prepare(name: &str, shared: &Shared) -> ClusterSettings {
        let store = Arc::new(Mutex::new(Store::default()));
        let gates: Vec<Arc<AccessGate>> = (0..CONTROLLERS).map(|_| Arc::default()).collect();
        let address = |gate: &Arc<AccessGate>| Addresses::new(serve_store(store.clone(), gate.clone()));
        let addresses: Vec<Addresses> = gates.iter().map(address).collect();
        let reports_to = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let WorkerHandle { addr, state: worker } = start_worker(reports_to.clone(), stop.clone());
        let cloud = serve_cloud(addr);
        let dir = std::env::temp_dir().join(format!("shedhook-{name}-{}", std::process::id()));
        let nodes = controllers(&dir, &addresses, cloud, shared);
        ClusterSettings { store, gates, worker, nodes, reports_to, addresses, cloud, stop, dir }
    }

    /// The worker reports to the controllers from now on.
    pub fn receive_heartbeats(&self) {
        *self.reports_to.lock().unwrap() = self.nodes.iter().map(|node| node.client).collect();
    }

    pub fn wait_until_ready(&self) {
        for node in &self.nodes {
            wait_for("ready", || is_ready(node.client).then_some(()));
        }
    }

    /// Kills all controllers, and gives them other settings.
    pub fn change_settings(&mut self, shared: &Shared) {
        self.nodes.clear();
        self.nodes = controllers(&self.dir, &self.addresses, self.cloud, shared);
    }

    /// Whoever answers the worker's reports.
    pub fn leader(&self) -> usize {
        wait_for("a leader", || {
            let heartbeat = body::encode(&self.worker.lock().unwrap().heartbeat());
            let leads = |node: &Controller| {
                call(node.client, "POST", "/checkin", &heartbeat).is_some_and(|response| response.status == 200)
            };
            self.nodes.iter().position(leads)
        })
    }

    /// Tasks of a job that run now.
    pub fn runs(&self, job: &str) -> usize {
        self.worker.lock().unwrap().running(job)
    }
}

impl Drop for ClusterSettings {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = fs::remove_dir_all(&self.dir);
    }
}
