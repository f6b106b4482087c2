//! A cluster during an upgrade: controllers of two versions, and the jobs that they
//! accepted.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use ciborium::Value;

use super::{
    cluster::LoopbackCluster,
    controllers::{this_version, SharedSettings},
    http::Response,
    status_watch::StatusWatch,
    users::{abort, decode_status, id_list, is_ready, job_body, status, submit, with_field},
    versions::production,
    wait_for, wait_up_to,
};

/// Time limit for a job to be done; it may wait for many other jobs, and for limits
/// that were lowered.
const DONE_WAIT_MAX: Duration = Duration::from_secs(90);

/// Version of the program that a controller runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Version {
    /// The version in production.
    Production,
    /// The version under test.
    This,
}

/// A job to be submitted.
#[derive(Debug, Clone, Copy)]
pub struct Job<'a> {
    /// Id of the job.
    pub id: &'a str,
    /// Kind on the wire (`shape`): `batch`, `ensemble` or `service`.
    pub kind: &'a str,
    /// Number of tasks.
    pub tasks: u32,
    /// Ids of the prerequisites.
    pub prereqs: &'a [&'a str],
}

/// Returns a job of independent tasks.
pub fn batch<'a>(id: &'a str, tasks: u32, prereqs: &'a [&'a str]) -> Job<'a> {
    Job { id, kind: "batch", tasks, prereqs }
}

/// Reduces the size of a submission's tasks so that a hundred of them fit the worker.
fn small_tasks(bytes: &[u8]) -> Vec<u8> {
    with_field(&with_field(bytes, "cpus", Value::Float(0.05)), "memoryGb", Value::Float(0.1))
}

/// An accepted job as the test recorded it.
#[derive(Debug, Default)]
pub struct AcceptedJob {
    /// Number of tasks.
    pub tasks: u32,
    /// Ids of the prerequisites.
    pub prereqs: Vec<String>,
    /// When a user had received the response that the job, or one of its prerequisites,
    /// is cancelled; None: not cancelled.
    pub cancelled_at: Option<Instant>,
}

/// A cluster whose controllers may run different versions, and the jobs that it accepted.
pub struct UpgradeTest {
    /// The controllers and stand-ins.
    pub cluster: LoopbackCluster,
    /// Version of each controller, also while it is down.
    pub versions: [Version; 3],
    /// Accepted jobs by id.
    pub accepted: BTreeMap<String, AcceptedJob>,
    /// Checks of the reported final statuses.
    pub watch: StatusWatch,
}

impl UpgradeTest {
    /// Starts a cluster whose controllers all run the production version.
    pub fn start(name: &str, shared: &SharedSettings) -> UpgradeTest {
        let cluster = LoopbackCluster::start_with_program(name, shared, production());
        let watch = StatusWatch::start(cluster.controllers.iter().map(|controller| controller.client_addr).collect());
        UpgradeTest { cluster, versions: [Version::Production; 3], accepted: BTreeMap::new(), watch }
    }

    /// Returns the address of a controller for users' requests.
    pub fn client_addr(&self, index: usize) -> SocketAddr {
        self.cluster.controllers[index].client_addr
    }

    /// Returns the addresses of all controllers for users' requests.
    pub fn clients(&self) -> [SocketAddr; 3] {
        [self.client_addr(0), self.client_addr(1), self.client_addr(2)]
    }

    /// Starts a controller that is down, with the version recorded for it, and waits until
    /// it is ready.
    pub fn start_controller(&mut self, index: usize) {
        let program = match self.versions[index] {
            Version::Production => production(),
            Version::This => this_version(),
        };
        self.cluster.controllers[index].start_with_program(program);
        let at = self.client_addr(index);
        wait_for("controller ready", || is_ready(at).then_some(()));
    }

    /// Kills a controller, and restarts it with this version.
    pub fn replace(&mut self, index: usize) {
        self.cluster.controllers[index].kill();
        self.versions[index] = Version::This;
        self.start_controller(index);
    }

    /// Kills a controller, and restarts it with the version that it had.
    pub fn restart(&mut self, index: usize) {
        self.cluster.controllers[index].kill();
        self.start_controller(index);
    }

    /// Returns the index of the controller whose label is stored under the leader's key.
    pub fn leader(&self) -> Option<usize> {
        let store = self.cluster.store.lock().unwrap();
        let label = text_field(&store.keys.get("leader")?.value, "l")?.to_owned();
        label.strip_prefix("n-")?.parse().ok()
    }

    /// Waits until a running controller of the given version leads, and returns its index.
    pub fn wait_for_leader(&self, version: Version) -> usize {
        wait_for(&format!("a leader of {version:?}"), || {
            let is_up = |n: &usize| self.cluster.controllers[*n].child.is_some();
            self.leader().filter(is_up).filter(|n| self.versions[*n] == version)
        })
    }

    /// Submits a job to a controller until it is accepted.
    pub fn submit(&mut self, index: usize, job: Job) {
        self.submit_body(index, job, |bytes| bytes);
    }

    /// Submits a job like [`UpgradeTest::submit`], with tasks so small that a hundred of
    /// them fit the worker.
    pub fn submit_small(&mut self, index: usize, job: Job) {
        self.submit_body(index, job, |bytes| small_tasks(&bytes));
    }

    fn submit_body(&mut self, index: usize, submitted: Job, change: impl Fn(Vec<u8>) -> Vec<u8>) {
        let bytes = change(with_field(
            &job_body(submitted.id, submitted.kind, submitted.tasks),
            "prereqs",
            id_list(submitted.prereqs),
        ));
        let at = self.client_addr(index);
        wait_for(&format!("{} accepted", submitted.id), || submit(at, &bytes).filter(Response::is_success));
        self.record_accepted(submitted.id, submitted.tasks, submitted.prereqs);
    }

    /// Records an accepted job, whose prerequisites must have been recorded before.
    pub fn record_accepted(&mut self, id: &str, tasks: u32, prereqs: &[&str]) {
        let prereqs: Vec<String> = prereqs.iter().map(|id| (*id).to_owned()).collect();
        let cancelled_at = prereqs.iter().any(|id| self.accepted[id].cancelled_at.is_some()).then(Instant::now);
        self.accepted.insert(id.to_owned(), AcceptedJob { tasks, prereqs, cancelled_at });
        self.watch.add_job(id);
    }

    /// Cancels a job, and checks that every running controller reports it and all jobs that
    /// depend on it as cancelled.
    pub fn cancel(&mut self, index: usize, id: &str) {
        let at = self.client_addr(index);
        let response = wait_for("job cancelled", || abort(at, id).filter(|response| response.status == 200));
        assert_eq!(code_and_status(Some(response)), (200, Some("cancelled".to_owned())), "{id}");
        self.record_cancelled(id, Instant::now());
        self.check_cancelled();
    }

    /// Records the cancellation of a job, and of all jobs that depend on it.
    fn record_cancelled(&mut self, id: &str, at: Instant) {
        self.accepted.get_mut(id).unwrap().cancelled_at = Some(at);
        self.watch.record_cancelled(id);
        let needs = |job: &AcceptedJob| job.cancelled_at.is_none() && job.prereqs.iter().any(|prereq| prereq == id);
        let dependents: Vec<String> =
            self.accepted.iter().filter(|(_, job)| needs(job)).map(|(id, _)| id.clone()).collect();
        dependents.iter().for_each(|id| self.record_cancelled(id, at));
    }

    /// Checks that every running controller reports all cancelled jobs as cancelled.
    pub fn check_cancelled(&self) {
        for id in self.accepted.iter().filter(|(_, job)| job.cancelled_at.is_some()).map(|(id, _)| id) {
            for (index, controller) in
                self.cluster.controllers.iter().enumerate().filter(|(_, controller)| controller.child.is_some())
            {
                let status = status(controller.client_addr, id);
                assert_eq!(status.as_deref(), Some("cancelled"), "{id} at {index}, {:?}", self.versions[index]);
            }
        }
    }

    /// Lets the tasks of a job exit.
    pub fn finish(&self, id: &str) {
        self.cluster.worker.lock().unwrap().finish(id);
    }

    /// Waits until every controller reports a job as done.
    pub fn wait_until_done(&self, id: &str) {
        for at in self.clients() {
            wait_up_to(DONE_WAIT_MAX, &format!("{id} done"), || (status(at, id)? == "done").then_some(()));
        }
    }
}

/// Returns the text of a field in a map, if it is a text.
pub fn text_field<'a>(map: &'a Value, name: &str) -> Option<&'a str> {
    map.as_map()?.iter().find(|(key, _)| key.as_text() == Some(name))?.1.as_text()
}

/// Returns the status code and the job's status of a response.
pub fn code_and_status(response: Option<Response>) -> (u16, Option<String>) {
    let response = response.expect("no response received");
    (response.status, decode_status(&response.body))
}
