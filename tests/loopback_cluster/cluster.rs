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
    controllers::{create_controllers, this_version, Addresses, Controller, SharedSettings},
    http::call,
    key_value_store::{serve_store, Store, StoreAccess},
    users::is_ready,
    wait_for,
    worker::{start_worker, Worker, WorkerHandle},
};

const CONTROLLERS: usize = 3;

/// Controller processes, the stand-ins for the outside services, and one worker.
pub struct LoopbackCluster {
    pub store: Arc<Mutex<Store>>,
    /// Each controller's access to the store.
    pub store_access: Vec<Arc<StoreAccess>>,
    pub worker: Arc<Mutex<Worker>>,
    pub nodes: Vec<Controller>,
    /// The controllers that the worker sends heartbeats to.
    heartbeat_targets: Arc<Mutex<Vec<SocketAddr>>>,
    addresses: Vec<Addresses>,
    cloud: SocketAddr,
    stop: Arc<AtomicBool>,
    dir: PathBuf,
}

impl LoopbackCluster {
    /// With controllers of this version, ready.
    pub fn start(name: &str, shared: &SharedSettings) -> LoopbackCluster {
        LoopbackCluster::start_with_program(name, shared, this_version())
    }

    /// With controllers that run a program, ready.
    pub fn start_with_program(name: &str, shared: &SharedSettings, program: &Path) -> LoopbackCluster {
        let mut cluster = LoopbackCluster::prepare(name, shared);
        for node in &mut cluster.nodes {
            node.start_with_program(program);
        }
        cluster.start_heartbeats();
        cluster.wait_until_ready();
        cluster
    }

    /// With controllers that aren't started, and a worker that sends heartbeats to none.
    pub fn prepare(name: &str, shared: &SharedSettings) -> LoopbackCluster {
        let store = Arc::new(Mutex::new(Store::default()));
        let store_access: Vec<Arc<StoreAccess>> = (0..CONTROLLERS).map(|_| Arc::default()).collect();
        let address = |access: &Arc<StoreAccess>| Addresses::new(serve_store(store.clone(), access.clone()));
        let addresses: Vec<Addresses> = store_access.iter().map(address).collect();
        let heartbeat_targets = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let WorkerHandle { addr, state: worker } = start_worker(heartbeat_targets.clone(), stop.clone());
        let cloud = serve_cloud(addr);
        let dir = std::env::temp_dir().join(format!("shedhook-{name}-{}", std::process::id()));
        let nodes = create_controllers(&dir, &addresses, cloud, shared);
        LoopbackCluster { store, store_access, worker, nodes, heartbeat_targets, addresses, cloud, stop, dir }
    }

    /// The worker sends heartbeats to the controllers from now on.
    pub fn start_heartbeats(&self) {
        *self.heartbeat_targets.lock().unwrap() = self.nodes.iter().map(|node| node.client).collect();
    }

    pub fn wait_until_ready(&self) {
        for node in &self.nodes {
            wait_for("ready", || is_ready(node.client).then_some(()));
        }
    }

    /// Kills all controllers, and gives them other settings.
    pub fn change_settings(&mut self, shared: &SharedSettings) {
        self.nodes.clear();
        self.nodes = create_controllers(&self.dir, &self.addresses, self.cloud, shared);
    }

    /// Whoever answers the worker's heartbeats.
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
    pub fn running_tasks(&self, job: &str) -> usize {
        self.worker.lock().unwrap().running_tasks(job)
    }
}

impl Drop for LoopbackCluster {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = fs::remove_dir_all(&self.dir);
    }
}
