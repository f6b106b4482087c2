//! Keeps the job cache up to date, and serves the read barrier from it.

use super::{
    calls::{Pending, StateCall, PAGE_TIMEOUT_MS, STATE_TIMEOUT_MS, WATCH_GRACE_MS},
    poll_loop::PollLoop,
    replies::{body, status},
    wiring::Node,
};
use crate::{
    bookkeeping::{budget::Urgency, records},
    coordination::model::Ms,
    protocol::store::{Changes, Page},
    transport::{http::status::GONE, CallError, Net, Reply},
};

/// Longest time, in ms, that a watch of the jobs' records waits for a change. How
/// recent the cache is known to be counts from when the last completed watch was sent.
const MAX_WATCH_MS: u64 = 3_000;
const MIN_WATCH_MS: u64 = 250;
/// Watches sent within the time for which a read allows leases to be renewed.
const WATCHES_PER_RENEWAL: u64 = 4;
/// Pause, in ms, after a request that failed.
const RETRY_MS: Ms = 250;
/// Pause, in ms, between two watches of the leader.
const LEADER_WATCH_GAP_MS: Ms = 10;
/// The same at other controllers. They need no current cache of their own: the
/// reads for users' requests bring it up to date.
const FOLLOWER_WATCH_GAP_MS: Ms = 1_000;
/// Gap, in ms, between two reads for the barrier, times the number of controllers.
const BARRIER_GAP_MS: Ms = 40;
/// Longest time, in ms, that a user's request waits for the barrier.
const MAX_BARRIER_WAIT_MS: Ms = 1_600;

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
    pub fn watch_now(&mut self, now: Ms) {
        self.watch.after = now;
    }
}

impl Node {
    /// Keeps the loading of all records, or a watch of their changes, going.
    pub(super) fn refresh_job_cache(&mut self, net: &mut Net, now: Ms) {
        if self.job_cache.loaded() {
            self.watch_jobs(net, now);
        } else {
            self.load_jobs(net, now);
        }
    }

    fn load_jobs(&mut self, net: &mut Net, now: Ms) {
        if !self.jobs.page.due(now) || self.budgets.reads.take(now, 1.0, Urgency::Commit).is_err() {
            return;
        }
        self.jobs.page.in_flight = true;
        let from = self.jobs.next_page_from.as_ref().map_or(String::new(), |key| format!("&from={key}"));
        let path = format!("/store?under={}{from}&most=1000", records::JOBS);
        let first = self.jobs.next_page_from.is_none();
        self.ask_state(net, Pending::JobsPage { first }, StateCall::read(path, PAGE_TIMEOUT_MS));
    }

    fn watch_jobs(&mut self, net: &mut Net, now: Ms) {
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
        let epoch = self.job_cache.epoch();
        let path = format!("/changes?under={}&from={epoch}&waitMs={wait_ms}", records::JOBS);
        StateCall::read(path, timeout_ms)
    }

    /// Sends a read for the requests that wait for the barrier, and refuses those
    /// that have waited too long.
    pub(super) fn flush_barrier(&mut self, net: &mut Net) {
        let now = net.now();
        if self.barrier.due(now) {
            self.barrier.sent(now, BARRIER_GAP_MS * (self.peers.list.len() as Ms + 1));
            if self.budgets.reads.take(now, 1.0, Urgency::Cancel).is_err() {
                let waiters = self.barrier.ended();
                return self.refuse_all(net, waiters);
            }
            let call = self.read_job_changes(0, STATE_TIMEOUT_MS);
            self.ask_state(net, Pending::Barrier { sent: now }, call);
        }
        if !self.barrier.is_empty() {
            self.refuse_overdue(net, now);
        }
    }

    fn refuse_overdue(&mut self, net: &mut Net, now: Ms) {
        let overdue = self.barrier.overdue(now, MAX_BARRIER_WAIT_MS);
        self.refuse_all(net, overdue);
    }

    /// A page of the jobs' records came.
    pub(super) fn jobs_page(&mut self, now: Ms, first: bool, result: &Result<Reply, CallError>) {
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
    pub(super) fn jobs_watched(&mut self, now: Ms, sent: Ms, result: &Result<Reply, CallError>) {
        let gap_ms = if self.leader.is_some() { LEADER_WATCH_GAP_MS } else { FOLLOWER_WATCH_GAP_MS };
        let applied = self.apply_changes(sent, result);
        self.jobs.watch.finish(now + if applied { gap_ms } else { RETRY_MS });
    }

    /// The read for the barrier came: the requests that it was sent for are answered.
    pub(super) fn barrier_read(&mut self, net: &mut Net, now: Ms, sent: Ms, result: &Result<Reply, CallError>) {
        let applied = self.apply_changes(sent, result);
        // Guard: after the process was halted, the read is as old as the requests
        // themselves, and must not answer them.
        self.refuse_overdue(net, now);
        let waiters = self.barrier.ended();
        if applied {
            self.serve(net, waiters);
        } else {
            self.refuse_all(net, waiters);
        }
    }

    /// Applies the result of a read of changes that was sent at `sent`. Returns
    /// whether the cache is now as recent as that.
    pub(super) fn apply_changes(&mut self, sent: Ms, result: &Result<Reply, CallError>) -> bool {
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
        self.renewal_right.synced(sent);
        true
    }
}
