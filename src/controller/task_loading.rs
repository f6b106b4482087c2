//! A new leader loads the task records.
//!
//! First it reads what the job cache may have missed, then the task records. All
//! of that is read after the leader's key was written, so that no transaction of
//! an earlier leader can be applied any more.

use super::{
    calls::{Pending, StateCall, PAGE_TIMEOUT_MS, STATE_TIMEOUT_MS},
    poll_loop::PollLoop,
    replies::{body, status},
    wiring::{wall_ms, Controller},
};
use crate::{
    coordination::model::{Millis, Term},
    protocol::store::{Page, Pair},
    storage::{budget::Urgency, records},
    transport::{
        http::status::{NOT_FOUND, OK},
        CallError, Net, Reply,
    },
};

/// Pause, in ms, after a request that failed.
const RETRY_MS: Millis = 200;

/// How far the task records were loaded.
#[derive(Debug, Default)]
pub(super) struct TaskLoading {
    poll: PollLoop,
    /// The job cache was brought up to date.
    jobs_synced: bool,
    /// Key after which the next page begins; None: the first page is next.
    next_page_from: Option<String>,
    /// Records that are read again later, after a transaction's result was unknown.
    resync: PollLoop,
}

impl TaskLoading {
    /// Starts anew, for a new leadership.
    pub fn restart(&mut self, now: Millis) {
        self.jobs_synced = false;
        self.next_page_from = None;
        self.poll.finish(now);
        self.resync.in_flight = false;
    }
}

impl Controller {
    /// Sends the next request of the loading.
    pub(super) fn load_tasks(&mut self, net: &mut Net, now: Millis, term: Term) {
        if !self.task_loading.poll.due(now) || self.budgets.reads.take(now, 1.0, Urgency::Lease).is_err() {
            return;
        }
        self.task_loading.poll.in_flight = true;
        if !self.task_loading.jobs_synced {
            let call = self.read_job_changes(0, STATE_TIMEOUT_MS);
            return self.ask_state(net, Pending::TasksSync { term, sent: now }, call);
        }
        let from = self.task_loading.next_page_from.as_ref().map_or(String::new(), |key| format!("&from={key}"));
        let path = format!("/store?under={}{from}&most=1000", records::TASKS);
        self.ask_state(net, Pending::TasksPage { term }, StateCall::read(path, PAGE_TIMEOUT_MS));
    }

    /// The changes that the job cache may have missed came.
    pub(super) fn tasks_synced(&mut self, now: Millis, term: Term, sent: Millis, result: &Result<Reply, CallError>) {
        if self.leader_of(term).is_none() {
            return;
        }
        let synced = self.apply_changes(sent, result);
        self.task_loading.jobs_synced = synced;
        self.task_loading.poll.finish(if synced { now } else { now + RETRY_MS });
    }

    /// A page of the task records came.
    pub(super) fn tasks_page(&mut self, now: Millis, term: Term, result: &Result<Reply, CallError>) {
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.term() == term && !leader.is_loaded()) else {
            return;
        };
        self.task_loading.poll.in_flight = false;
        let Some(page) = body::<Page>(result) else {
            self.task_loading.poll.after = now + RETRY_MS;
            return;
        };
        let wall = wall_ms();
        for pair in &page.pairs {
            leader.load(now, wall, pair, &self.job_cache, &mut self.tables);
        }
        match page.pairs.last() {
            Some(last) if page.truncated => self.task_loading.next_page_from = Some(last.key.clone()),
            _ => leader.loaded(now, wall, &self.job_cache),
        }
    }

    /// Reads a record again whose last write may or may not have been applied.
    pub(super) fn resync_record(&mut self, net: &mut Net, now: Millis, term: Term, key: String) {
        if self.task_loading.resync.due(now) && self.budgets.reads.take(now, 1.0, Urgency::Cancel).is_ok() {
            self.task_loading.resync.in_flight = true;
            let call = StateCall::read(format!("/store/{key}"), STATE_TIMEOUT_MS);
            self.ask_state(net, Pending::Resync { term, key }, call);
        }
    }

    /// A record that was read again came.
    pub(super) fn resynced(&mut self, now: Millis, term: Term, key: &str, result: &Result<Reply, CallError>) {
        self.task_loading.resync.in_flight = false;
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.term() == term) else { return };
        match status(result) {
            OK => {
                if let Some(pair) = body::<Pair>(result) {
                    leader.resynced(now, key, Some((pair.v, pair.revision)));
                }
            }
            NOT_FOUND => leader.resynced(now, key, None),
            _ => self.task_loading.resync.after = now + RETRY_MS,
        }
    }
}
