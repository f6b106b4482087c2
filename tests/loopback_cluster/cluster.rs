//! A test cluster: three controllers, a worker, and the stand-ins that they use.

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

/// Controller processes, the stand-ins for the external services, and one worker.
pub struct LoopbackCluster {
    /// Contents of the key-value store, shared by all controllers.
    pub store: Arc<Mutex<Store>>,
    /// Each controller's access to the store, by the controller's index.
    pub store_access: Vec<Arc<StoreAccess>>,
    /// State of the worker.
    pub worker: Arc<Mutex<Worker>>,
    /// The controllers, running or not, by index.
    pub controllers: Vec<Controller>,
    /// Addresses of the controllers that the worker sends heartbeats to.
    heartbeat_targets: Arc<Mutex<Vec<SocketAddr>>>,
    addresses: Vec<Addresses>,
    cloud: SocketAddr,
    stop: Arc<AtomicBool>,
    dir: PathBuf,
}

impl LoopbackCluster {
    /// Starts a cluster with controllers of this version, and waits until they are ready.
    pub fn start(name: &str, shared: &SharedSettings) -> LoopbackCluster {
        LoopbackCluster::start_with_program(name, shared, this_version())
    }

    /// Starts a cluster with controllers that run `program`, and waits until they are ready.
    pub fn start_with_program(name: &str, shared: &SharedSettings, program: &Path) -> LoopbackCluster {
        let mut cluster = LoopbackCluster::prepare(name, shared);
        for controller in &mut cluster.controllers {
            controller.start_with_program(program);
        }
        cluster.start_heartbeats();
        cluster.wait_until_ready();
        cluster
    }

    /// Creates a cluster whose controllers aren't started, and whose worker sends no
    /// heartbeats yet.
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
        let controllers = create_controllers(&dir, &addresses, cloud, shared);
        LoopbackCluster { store, store_access, worker, controllers, heartbeat_targets, addresses, cloud, stop, dir }
    }

    /// Lets the worker send heartbeats to the controllers.
    pub fn start_heartbeats(&self) {
        *self.heartbeat_targets.lock().unwrap() =
            self.controllers.iter().map(|controller| controller.client_addr).collect();
    }

    /// Waits until every controller is ready.
    pub fn wait_until_ready(&self) {
        for controller in &self.controllers {
            wait_for("controller ready", || is_ready(controller.client_addr).then_some(()));
        }
    }

    /// Kills all controllers and writes new settings for them; they aren't started.
    pub fn change_settings(&mut self, shared: &SharedSettings) {
        self.controllers.clear();
        self.controllers = create_controllers(&self.dir, &self.addresses, self.cloud, shared);
    }

    /// Waits for a controller that accepts the worker's heartbeats, and returns its index.
    pub fn leader(&self) -> usize {
        wait_for("a leader", || {
            let heartbeat = body::encode(&self.worker.lock().unwrap().heartbeat());
            let leads = |controller: &Controller| {
                call(controller.client_addr, "POST", "/checkin", &heartbeat)
                    .is_some_and(|response| response.status == 200)
            };
            self.controllers.iter().position(leads)
        })
    }

    /// Returns the number of running tasks of a job.
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
