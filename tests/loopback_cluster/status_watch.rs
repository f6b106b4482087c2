//! Checks that final statuses stay: once any controller has reported a job as done
//! or cancelled, no controller may report another status, and no controller may
//! report an accepted job as unknown.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use super::{
    http::Response,
    users::{decode_status, poll},
};

/// Pause between two rounds of polls.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Final statuses that users received, and the responses that contradicted them.
#[derive(Debug, Default)]
struct ObservedStatuses {
    jobs: BTreeSet<String>,
    final_statuses: BTreeMap<String, String>,
    violations: Vec<String>,
    /// Number of responses that were checked against the final statuses.
    compared_responses: usize,
}

impl ObservedStatuses {
    /// Checks a response. `before`: the final status that was known when the request was sent.
    fn record(&mut self, id: &str, before: Option<&str>, response: &Response) {
        if response.status == 404 {
            self.violations.push(format!("{id} is unknown to a controller"));
        }
        if response.status != 200 {
            return;
        }
        self.compared_responses += 1;
        let status = decode_status(&response.body).unwrap_or_default();
        if before.is_some_and(|before| before != status) {
            self.violations.push(format!("{id} was {before:?}, then {status}"));
        }
        if status == "done" || status == "cancelled" {
            self.final_statuses.insert(id.to_owned(), status);
        }
    }
}

/// Thread that repeatedly polls every accepted job at every controller.
pub struct StatusWatch {
    observed: Arc<Mutex<ObservedStatuses>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl StatusWatch {
    /// Starts to poll these controllers.
    pub fn start(controllers: Vec<SocketAddr>) -> StatusWatch {
        let (observed, stop) = (Arc::<Mutex<ObservedStatuses>>::default(), Arc::<AtomicBool>::default());
        let (shared, stopped) = (observed.clone(), stop.clone());
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let jobs = shared.lock().unwrap().jobs.clone();
                for id in &jobs {
                    controllers.iter().for_each(|at| poll_job(&shared, *at, id));
                }
                thread::sleep(ROUND_INTERVAL);
            }
        });
        StatusWatch { observed, stop, thread: Some(thread) }
    }

    /// Adds an accepted job to the polled ones.
    pub fn add_job(&self, id: &str) {
        self.observed.lock().unwrap().jobs.insert(id.to_owned());
    }

    /// Records that a user received `cancelled` as the status of this job in a response to
    /// a request other than a poll.
    pub fn record_cancelled(&self, id: &str) {
        self.observed.lock().unwrap().final_statuses.insert(id.to_owned(), "cancelled".to_owned());
    }

    /// Returns the final status of each job for which a user received one.
    pub fn final_statuses(&self) -> BTreeMap<String, String> {
        self.observed.lock().unwrap().final_statuses.clone()
    }

    /// Stops polling, and fails the test if a response contradicted a final status.
    pub fn stop_and_check(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let joined = self.thread.take().is_none_or(|thread| thread.join().is_ok());
        let observed = self.observed.lock().unwrap();
        assert!(joined && observed.violations.is_empty(), "{:?}", observed.violations);
        assert!(
            observed.compared_responses > observed.jobs.len(),
            "too few status responses: {}",
            observed.compared_responses
        );
    }
}

/// Polls a job and checks the response against the status known before the request.
fn poll_job(observed: &Mutex<ObservedStatuses>, at: SocketAddr, id: &str) {
    let before = observed.lock().unwrap().final_statuses.get(id).cloned();
    if let Some(response) = poll(at, id) {
        observed.lock().unwrap().record(id, before.as_deref(), &response);
    }
}

impl Drop for StatusWatch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
