//! Keeps the job cache up to date, and serves the read barrier from it.

use super::{
    calls::{Pending, StateCall, PAGE_TIMEOUT_MS, STATE_TIMEOUT_MS, WATCH_GRACE_MS},
    poll_loop::PollLoop,
    replies::{body, status},
    wiring::Controller,
};
use crate::{
    coordination::model::Millis,
    protocol::store::{Changes, Page},
    storage::{budget::Urgency, records},
    transport::{http::status::GONE, CallError, Net, Reply},
};

/// Longest time, in ms, that a watch of the jobs' records waits for a change. How
/// recent the cache is known to be counts from when the last completed watch was sent.
const MAX_WATCH_MS: u64 = 3_000;
const MIN_WATCH_MS: u64 = 250;
/// Watches sent within the time for which a read allows leases to be renewed.
const WATCHES_PER_RENEWAL: u64 = 4;
/// Pause, in ms, after a request that failed.
const RETRY_MS: Millis = 250;
/// Pause, in ms, between two watches of the leader.
const LEADER_WATCH_GAP_MS: Millis = 10;
/// The same at other controllers. They need no current cache of their own: the
/// reads for users' requests bring it up to date.
const FOLLOWER_WATCH_GAP_MS: Millis = 1_000;
/// Gap, in ms, between two reads for the read barrier, times the number of controllers.
const BARRIER_GAP_MS: Millis = 40;
/// Longest time, in ms, that a user's request waits for the read barrier.
const MAX_BARRIER_WAIT_MS: Millis = 1_600;

/// How far the jobs' records were read.
#[derive(Debug, Default)]
pub(super) struct JobFeed {
    page: PollLoop,
    /// Key after which the next page begins; None: the first page is next.
    next_page_from: Option<String>,
    watch: PollLoop,
}

impl JobFeed {
    /// The next watch is sent no later than now.
    pub fn watch_now(&mut self, now: Millis) {
        self.watch.after = now;
    }
}

impl Controller {
    /// Keeps the loading of all records, or a watch of their changes, going.
    pub(super) fn refresh_job_cache(&mut self, net: &mut Net, now: Millis) {
        if self.job_cache.loaded() {
            self.watch_jobs(net, now);
        } else {
            self.load_jobs(net, now);
        }
    }

    fn load_jobs(&mut self, net: &mut Net, now: Millis) {
        if !self.jobs.page.due(now) || self.budgets.reads.take(now, 1.0, Urgency::Commit).is_err() {
            return;
        }
        self.jobs.page.in_flight = true;
        let from = self.jobs.next_page_from.as_ref().map_or(String::new(), |key| format!("&from={key}"));
        let path = format!("/store?under={}{from}&most=1000", records::JOBS);
        let first = self.jobs.next_page_from.is_none();
        self.ask_state(net, Pending::JobsPage { first }, StateCall::read(path, PAGE_TIMEOUT_MS));
    }

    fn watch_jobs(&mut self, net: &mut Net, now: Millis) {
        if !self.jobs.watch.due(now) || self.budgets.reads.take(now, 1.0, Urgency::Commit).is_err() {
            return;
        }
        self.jobs.watch.in_flight = true;
        let wait_ms = (self.renewal_right.renewal_ms() / WATCHES_PER_RENEWAL).clamp(MIN_WATCH_MS, MAX_WATCH_MS);
        let call = self.read_job_changes(wait_ms, wait_ms + WATCH_GRACE_MS);
        self.ask_state(net, Pending::JobsWatch { sent: now }, call);
    }

    /// A read of the jobs' changes since the last one, which waits for a change
    /// for at most `wait_ms`.
    pub(super) fn read_job_changes(&self, wait_ms: u64, timeout_ms: u64) -> StateCall {
        let store_revision = self.job_cache.store_revision();
        let path = format!("/changes?under={}&from={store_revision}&waitMs={wait_ms}", records::JOBS);
        StateCall::read(path, timeout_ms)
    }

    /// Sends a read for the requests that wait for the read barrier, and refuses those
    /// that have waited too long.
    pub(super) fn flush_read_barrier(&mut self, net: &mut Net) {
        let now = net.now();
        if self.read_barrier.due(now) {
            self.read_barrier.sent(now, BARRIER_GAP_MS * (self.peers.list.len() as Millis + 1));
            if self.budgets.reads.take(now, 1.0, Urgency::Cancel).is_err() {
                let waiters = self.read_barrier.ended();
                return self.refuse_all(net, waiters);
            }
            let call = self.read_job_changes(0, STATE_TIMEOUT_MS);
            self.ask_state(net, Pending::ReadBarrier { sent: now }, call);
        }
        if !self.read_barrier.is_empty() {
            self.refuse_overdue(net, now);
        }
    }

    fn refuse_overdue(&mut self, net: &mut Net, now: Millis) {
        let overdue = self.read_barrier.overdue(now, MAX_BARRIER_WAIT_MS);
        self.refuse_all(net, overdue);
    }

    /// A page of the jobs' records came.
    pub(super) fn jobs_page(&mut self, now: Millis, first: bool, result: &Result<Reply, CallError>) {
        self.jobs.page.in_flight = false;
        match body::<Page>(result) {
            Some(page) => {
                self.job_cache.page(&page, first, &mut self.tables);
                let last_key = page.pairs.last().map(|pair| pair.key.clone());
                self.jobs.next_page_from = last_key.filter(|_| page.truncated);
            }
            None => self.jobs.page.after = now + RETRY_MS,
        }
    }

    /// The watch of the jobs' changes ended.
    pub(super) fn jobs_watched(&mut self, now: Millis, sent: Millis, result: &Result<Reply, CallError>) {
        let gap_ms = if self.leader.is_some() { LEADER_WATCH_GAP_MS } else { FOLLOWER_WATCH_GAP_MS };
        let applied = self.apply_changes(sent, result);
        self.jobs.watch.finish(now + if applied { gap_ms } else { RETRY_MS });
    }

    /// The read for the read barrier came: the requests that it was sent for are answered.
    pub(super) fn read_barrier_completed(
        &mut self,
        net: &mut Net,
        now: Millis,
        sent: Millis,
        result: &Result<Reply, CallError>,
    ) {
        let applied = self.apply_changes(sent, result);
        // Guard: after the process was halted, the read is as old as the requests
        // themselves, and must not answer them.
        self.refuse_overdue(net, now);
        let waiters = self.read_barrier.ended();
        if applied {
            self.serve(net, waiters);
        } else {
            self.refuse_all(net, waiters);
        }
    }

    /// Applies the result of a read of changes that was sent at `sent`. Returns
    /// whether the cache is now as recent as that.
    pub(super) fn apply_changes(&mut self, sent: Millis, result: &Result<Reply, CallError>) -> bool {
        // Guard: while all records are loaded again, the changes since the first
        // page don't show what the later pages contain.
        if !self.job_cache.loaded() {
            return false;
        }
        let Some(changes) = body::<Changes>(result) else {
            if status(result) == GONE {
                self.job_cache.reload();
                self.jobs.next_page_from = None;
            }
            return false;
        };
        self.job_cache.apply(&changes, &mut self.tables);
        self.renewal_right.record_sync(sent);
        true
    }
}
