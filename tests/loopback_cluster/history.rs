//! Checks the worker's log of starts and exits against the store's log of changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use shedhook::protocol::workers::ExitReason;

use super::{
    upgrade::{text_field, AcceptedJob, UpgradeTest},
    worker::{TaskChange, TaskEvent},
};

impl UpgradeTest {
    /// Ends the test: checks that final statuses stayed, and that tasks ran once and after
    /// their prerequisites.
    pub fn check_history(&mut self) {
        self.watch.stop_and_check();
        let final_statuses = self.watch.final_statuses();
        let done_records = self.done_records();
        let events = self.cluster.worker.lock().unwrap().events.clone();
        for (id, job) in &self.accepted {
            let starts: Vec<&TaskEvent> =
                events.iter().filter(|event| event.job() == id && event.change == TaskChange::Started).collect();
            let is_recorded = done_records.contains_key(id);
            check_final_status(id, job, final_statuses.get(id).map(String::as_str), is_recorded);
            check_started_once(id, job, &starts, is_recorded);
            for start in starts {
                self.check_prerequisites(job, start, &done_records, &events);
            }
        }
    }

    /// Returns every job that was recorded as done, and when it first was.
    fn done_records(&self) -> BTreeMap<String, Instant> {
        let store = self.cluster.store.lock().unwrap();
        let mut done = BTreeMap::new();
        for entry in &store.log {
            let (Some(key), Some(value)) = (&entry.change.write, &entry.change.value) else { continue };
            let Some(id) = key.strip_prefix("j/") else { continue };
            if text_field(value, "st") == Some("d") {
                done.entry(id.to_owned()).or_insert(entry.at);
            }
        }
        done
    }

    /// Checks that, before a task started, all tasks of its job's prerequisites had exited
    /// on the worker, and the prerequisites were recorded as done.
    fn check_prerequisites(
        &self,
        job: &AcceptedJob,
        start: &TaskEvent,
        done: &BTreeMap<String, Instant>,
        events: &[TaskEvent],
    ) {
        for prereq in &job.prereqs {
            assert!(
                done.get(prereq).is_some_and(|at| *at <= start.at),
                "{} started before {prereq} was recorded as done",
                start.task
            );
            let is_done_exit =
                |event: &&TaskEvent| event.job() == prereq && event.change == TaskChange::Exited(ExitReason::Done);
            let exits = events.iter().filter(is_done_exit).filter(|event| event.at <= start.at).count();
            assert_eq!(
                exits, self.accepted[prereq].tasks as usize,
                "{} started before all tasks of {prereq} had exited",
                start.task
            );
        }
    }
}

/// Checks that a job reported as done is recorded as done, and that for a job reported
/// as cancelled, a user cancelled the job or one of its prerequisites.
fn check_final_status(id: &str, job: &AcceptedJob, final_status: Option<&str>, is_recorded_done: bool) {
    match final_status {
        Some("done") => assert!(is_recorded_done, "{id} was reported as done, but isn't recorded as done"),
        Some("cancelled") => {
            assert!(job.cancelled_at.is_some(), "{id} was reported as cancelled, but no user cancelled it")
        }
        _ => {}
    }
}

/// Checks that no task started twice, or after its user received the response that the
/// job is cancelled, and that every task of a done job started.
fn check_started_once(id: &str, job: &AcceptedJob, starts: &[&TaskEvent], is_done: bool) {
    let tasks: BTreeSet<&str> = starts.iter().map(|start| &*start.task).collect();
    assert_eq!(tasks.len(), starts.len(), "{id}: a task started twice: {starts:?}");
    if is_done {
        assert_eq!(starts.len(), job.tasks as usize, "{id} is done, but some of its tasks did not start");
    }
    if let Some(at) = job.cancelled_at {
        assert!(starts.iter().all(|start| start.at <= at), "{id}: a task started after the cancellation: {starts:?}");
    }
}
