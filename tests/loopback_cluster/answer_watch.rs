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
    users::{poll, status_word},
};

const ROUND_GAP: Duration = Duration::from_millis(100);

/// Statuses that were told and may not change any more, and what broke that.
#[derive(Debug, Default)]
struct Told {
    jobs: BTreeSet<String>,
    last: BTreeMap<String, String>,
    broken: Vec<String>,
    /// Answers that were compared.
    answers: usize,
}

impl Told {
    /// `before`: what was final when the question was asked.
    fn hear(&mut self, id: &str, before: Option<&str>, response: &Response) {
        if response.status == 404 {
            self.broken.push(format!("{id} is forgotten"));
        }
        if response.status != 200 {
            return;
        }
        self.answers += 1;
        let word = status_word(&response.body).unwrap_or_default();
        if before.is_some_and(|before| before != word) {
            self.broken.push(format!("{id} was {before:?}, then {word}"));
        }
        if word == "done" || word == "cancelled" {
            self.last.insert(id.to_owned(), word);
        }
    }
}

/// Polls every accepted job at every controller all the time.
pub struct AnswerWatch {
    told: Arc<Mutex<Told>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl AnswerWatch {
    /// Polls from now on.
    pub fn start(controllers: Vec<SocketAddr>) -> AnswerWatch {
        let (told, stop) = (Arc::<Mutex<Told>>::default(), Arc::<AtomicBool>::default());
        let (shared, stopped) = (told.clone(), stop.clone());
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let jobs = shared.lock().unwrap().jobs.clone();
                for id in &jobs {
                    controllers.iter().for_each(|at| ask(&shared, *at, id));
                }
                thread::sleep(ROUND_GAP);
            }
        });
        AnswerWatch { told, stop, thread: Some(thread) }
    }

    /// Polls this job too.
    pub fn accepted(&self, id: &str) {
        self.told.lock().unwrap().jobs.insert(id.to_owned());
    }

    /// A user was told elsewhere that this job is cancelled.
    pub fn cancelled(&self, id: &str) {
        self.told.lock().unwrap().last.insert(id.to_owned(), "cancelled".to_owned());
    }

    /// The final status of each job of which some user was told one.
    pub fn last(&self) -> BTreeMap<String, String> {
        self.told.lock().unwrap().last.clone()
    }

    /// Ends the polls, and fails the test if an answer was taken back.
    pub fn end(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let ended = self.thread.take().is_none_or(|thread| thread.join().is_ok());
        let told = self.told.lock().unwrap();
        assert!(ended && told.broken.is_empty(), "{:?}", told.broken);
        assert!(told.answers > told.jobs.len(), "hardly anything was answered: {}", told.answers);
    }
}

fn ask(told: &Mutex<Told>, at: SocketAddr, id: &str) {
    let before = told.lock().unwrap().last.get(id).cloned();
    if let Some(response) = poll(at, id) {
        told.lock().unwrap().hear(id, before.as_deref(), &response);
    }
}

impl Drop for AnswerWatch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
