//! A new leader loads the task records.
//!
//! First it reads what the job cache may have missed, then the task records. All
//! of that is read after the leader's key was written, so that no transaction of
//! an earlier leader can be applied any more.

use super::{
    super::{
        clock::wall_clock_ms,
        poll_schedule::PollSchedule,
        service_client::{
            body, status, CallResult, JobsCall, LeaderCall, PendingCall, StoreRequest, PAGE_TIMEOUT_MS,
            STORE_TIMEOUT_MS,
        },
    },
    LeaderContext, Leadership,
};
use crate::{
    coordination::model::{Millis, Term},
    protocol::store::{Page, Pair},
    storage::{budget::Urgency, records},
    transport::http::status::{NOT_FOUND, OK},
};

/// Pause, in ms, after a request that failed.
const RETRY_MS: Millis = 200;

/// How far the task records were loaded.
#[derive(Debug, Default)]
pub(super) struct TaskLoading {
    schedule: PollSchedule,
    /// The job cache was brought up to date.
    jobs_synced: bool,
    /// Key after which the next page begins; None: the first page is next.
    next_page_from: Option<String>,
    /// Records that are read again later, after a transaction's result was unknown.
    resync: PollSchedule,
}

impl TaskLoading {
    /// Starts anew, for a new leadership.
    pub(super) fn restart(&mut self, now: Millis) {
        self.jobs_synced = false;
        self.next_page_from = None;
        self.schedule.end_until(now);
        self.resync.end();
    }
}

impl Leadership {
    /// Sends the next request of the loading.
    pub(super) fn load_tasks(&mut self, context: &mut LeaderContext, now: Millis, term: Term) {
        if !self.loading.schedule.is_due(now) || !context.client.budgets().take_read(now, Urgency::Lease) {
            return;
        }
        self.loading.schedule.begin();
        if !self.loading.jobs_synced {
            let request = context.jobs.read_changes(0, STORE_TIMEOUT_MS);
            let pending = PendingCall::Jobs(JobsCall::LeaderSync { term, sent: now });
            return context.client.send_to_store(context.net, pending, request);
        }
        let from = self.loading.next_page_from.as_deref();
        let request = StoreRequest::read_page(records::TASKS, from, PAGE_TIMEOUT_MS);
        context.send_to_store(term, LeaderCall::TasksPage, request);
    }

    /// The read of the changes that the job cache may have missed ended; `synced`:
    /// they were applied.
    pub fn jobs_synced(&mut self, now: Millis, synced: bool) {
        self.loading.jobs_synced = synced;
        self.loading.schedule.end_until(if synced { now } else { now + RETRY_MS });
    }

    /// A page of the task records came.
    pub(super) fn tasks_page_received(
        &mut self,
        context: &mut LeaderContext,
        now: Millis,
        term: Term,
        result: &CallResult,
    ) {
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.term == term && !leader.loaded) else {
            return;
        };
        let Some(page) = body::<Page>(result) else {
            self.loading.schedule.end_until(now + RETRY_MS);
            return;
        };
        self.loading.schedule.end();
        let wall_ms = wall_clock_ms();
        let job_cache = context.jobs.cache();
        for pair in &page.pairs {
            leader.load(now, wall_ms, &pair.key, &pair.v, pair.revision, job_cache, context.names);
        }
        match page.pairs.last() {
            Some(last) if page.truncated => self.loading.next_page_from = Some(last.key.clone()),
            _ => leader.loaded(now, wall_ms, job_cache),
        }
    }

    /// Reads a record again whose last write may or may not have been applied.
    pub(super) fn resync_record(&mut self, context: &mut LeaderContext, now: Millis, term: Term, key: String) {
        if self.loading.resync.is_due(now) && context.client.budgets().take_read(now, Urgency::Cancel) {
            self.loading.resync.begin();
            let request = StoreRequest::read_key(&key, STORE_TIMEOUT_MS);
            context.send_to_store(term, LeaderCall::Resync { key }, request);
        }
    }

    /// A record that was read again came.
    pub(super) fn resynced(&mut self, now: Millis, term: Term, key: &str, result: &CallResult) {
        self.loading.resync.end();
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.term == term) else { return };
        match status(result) {
            OK => {
                if let Some(pair) = body::<Pair>(result) {
                    leader.resynced(now, key, Some((pair.v, pair.revision)));
                }
            }
            NOT_FOUND => leader.resynced(now, key, None),
            _ => self.loading.resync.set_not_before(now + RETRY_MS),
        }
    }
}
