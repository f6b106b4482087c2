//! Keeps the job cache up to date with the jobs' records in the key-value store.

use super::{
    poll_schedule::PollSchedule,
    role::Role,
    service_client::{
        body, status, CallResult, JobsCall, PendingCall, ServiceClient, StoreRequest, PAGE_TIMEOUT_MS, WATCH_GRACE_MS,
    },
};
use crate::{
    coordination::model::Millis,
    protocol::{
        names::Interners,
        store::{Changes, Page},
    },
    storage::{job_cache::JobCache, rate_limit::Urgency, records},
    transport::{http::status::GONE, Net},
};

/// Longest time, in ms, that a watch of the jobs' records waits for a change. The age of
/// the cache is measured from when the last completed watch was sent, so it includes the
/// time for which that watch waited.
const MAX_WATCH_MS: u64 = 3_000;
/// Shortest time, in ms, that a watch of the jobs' records waits for a change.
const MIN_WATCH_MS: u64 = 250;
/// Number of consecutive watches that fit into `read_validity_ms`, the time for which a
/// read of the jobs' records allows worker leases to be renewed.
const WATCHES_PER_READ_VALIDITY: u64 = 4;
/// Pause, in ms, after a failed request.
const RETRY_MS: Millis = 250;
/// Pause, in ms, between two watches at the leader.
const LEADER_WATCH_GAP_MS: Millis = 10;
/// Pause, in ms, between two watches at a follower. A follower needs no current cache
/// between users' requests: the reads for those requests bring it up to date.
const FOLLOWER_WATCH_GAP_MS: Millis = 1_000;

/// The job cache, and the progress of the reads that fill and update it.
#[derive(Debug, Default)]
pub struct JobWatch {
    cache: JobCache,
    pages: PollSchedule,
    /// Key after which the next page begins; None if the first page is next.
    next_page_from: Option<String>,
    watch: PollSchedule,
}

impl JobWatch {
    /// Returns the cache of the jobs' records that were read so far.
    pub fn cache(&self) -> &JobCache {
        &self.cache
    }

    /// Returns a mutable reference to the same cache as [`JobWatch::cache`].
    pub fn cache_mut(&mut self) -> &mut JobCache {
        &mut self.cache
    }

    /// Sends the next request if it is due: for a page of all records until the cache is
    /// loaded, after that for a watch of their changes. `read_validity_ms` is the time, in
    /// ms, for which a read allows worker leases to be renewed.
    pub fn refresh(&mut self, net: &mut Net, now: Millis, client: &mut ServiceClient, read_validity_ms: Millis) {
        if self.cache.is_loaded() {
            self.send_watch(net, now, client, read_validity_ms);
        } else {
            self.load_page(net, now, client);
        }
    }

    fn load_page(&mut self, net: &mut Net, now: Millis, client: &mut ServiceClient) {
        if !self.pages.is_due(now) || !client.budgets().take_read(now, Urgency::Commit) {
            return;
        }
        self.pages.begin();
        let request = StoreRequest::read_page(records::JOB_KEY_PREFIX, self.next_page_from.as_deref(), PAGE_TIMEOUT_MS);
        let is_first = self.next_page_from.is_none();
        client.send_to_store(net, PendingCall::Jobs(JobsCall::Page { is_first }), request);
    }

    fn send_watch(&mut self, net: &mut Net, now: Millis, client: &mut ServiceClient, read_validity_ms: Millis) {
        if !self.watch.is_due(now) || !client.budgets().take_read(now, Urgency::Commit) {
            return;
        }
        self.watch.begin();
        let wait_ms = (read_validity_ms / WATCHES_PER_READ_VALIDITY).clamp(MIN_WATCH_MS, MAX_WATCH_MS);
        let request = self.changes_request(wait_ms, wait_ms + WATCH_GRACE_MS);
        client.send_to_store(net, PendingCall::Jobs(JobsCall::Watch { sent_at: now }), request);
    }

    /// Returns a request for the changes since the cache's revision. The store waits for a
    /// change for at most `wait_ms`.
    pub fn changes_request(&self, wait_ms: u64, timeout_ms: u64) -> StoreRequest {
        StoreRequest::read_changes(records::JOB_KEY_PREFIX, self.cache.store_revision(), wait_ms, timeout_ms)
    }

    /// Ends the pause before the next watch, which is then due at `now`.
    pub fn end_watch_pause(&mut self, now: Millis) {
        self.watch.set_not_before(now);
    }

    /// Handles the result of a request for a page of all records.
    pub fn page_received(&mut self, now: Millis, is_first: bool, result: &CallResult, names: &mut Interners) {
        let Some(page) = body::<Page>(result) else {
            self.pages.end_and_wait_until(now + RETRY_MS);
            return;
        };
        self.pages.end();
        self.cache.apply_page(&page, is_first, names);
        let last_key = page.pairs.last().map(|pair| pair.key.clone());
        self.next_page_from = last_key.filter(|_| page.truncated);
    }

    /// Schedules the next watch after one has completed. `applied` is whether its changes
    /// are in the cache.
    pub fn watch_ended(&mut self, now: Millis, applied: bool, role: Role) {
        let gap_ms = match role {
            _ if !applied => RETRY_MS,
            Role::Leader => LEADER_WATCH_GAP_MS,
            Role::Follower => FOLLOWER_WATCH_GAP_MS,
        };
        self.watch.end_and_wait_until(now + gap_ms);
    }

    /// Applies the result of a read of changes. Returns whether the cache now includes all
    /// changes up to the time when that read was sent.
    pub fn apply_changes(&mut self, result: &CallResult, names: &mut Interners) -> bool {
        // Until all pages are loaded, the cache lacks the records of the later pages. The
        // changes since the first page don't include those records, so the cache would
        // seem complete although they are missing.
        if !self.cache.is_loaded() {
            return false;
        }
        let Some(changes) = body::<Changes>(result) else {
            if status(result) == GONE {
                self.cache.require_reload();
                self.next_page_from = None;
            }
            return false;
        };
        self.cache.apply_changes(&changes, names);
        true
    }
}

#[cfg(test)]
#[path = "tests/job_watch.rs"]
mod tests;
