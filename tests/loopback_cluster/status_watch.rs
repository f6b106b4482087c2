//! Answers that must stay: once a job was called done or cancelled by any
//! controller, none may call it anything else, and none may forget a job.

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

const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Statuses that were told and may not change any more, and what broke that.
#[derive(Debug, Default)]
struct ObservedStatuses {
    jobs: BTreeSet<String>,
    final_statuses: BTreeMap<String, String>,
    violations: Vec<String>,
    /// Answers that were compared.
    compared_responses: usize,
}

impl ObservedStatuses {
    /// `before`: what was final when the question was asked.
    fn record(&mut self, id: &str, before: Option<&str>, response: &Response) {
        if response.status == 404 {
            self.violations.push(format!("{id} is forgotten"));
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

/// Polls every accepted job at every controller all the time.
pub struct StatusWatch {
    observed: Arc<Mutex<ObservedStatuses>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl StatusWatch {
    /// Polls from now on.
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

    /// Polls this job too.
    pub fn add_job(&self, id: &str) {
        self.observed.lock().unwrap().jobs.insert(id.to_owned());
    }

    /// A user was told elsewhere that this job is cancelled.
    pub fn record_cancelled(&self, id: &str) {
        self.observed.lock().unwrap().final_statuses.insert(id.to_owned(), "cancelled".to_owned());
    }

    /// The final status of each job of which some user was told one.
    pub fn final_statuses(&self) -> BTreeMap<String, String> {
        self.observed.lock().unwrap().final_statuses.clone()
    }

    /// Ends the polls, and fails the test if an answer was taken back.
    pub fn stop_and_check(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let joined = self.thread.take().is_none_or(|thread| thread.join().is_ok());
        let observed = self.observed.lock().unwrap();
        assert!(joined && observed.violations.is_empty(), "{:?}", observed.violations);
        assert!(
            observed.compared_responses > observed.jobs.len(),
            "hardly anything was answered: {}",
            observed.compared_responses
        );
    }
}

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
