//! Keeps the cache of the jobs' records up to date.

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

/// The job cache, and how far the jobs' records were read into it.
#[derive(Debug, Default)]
pub struct JobWatch {
    cache: JobCache,
    pages: PollSchedule,
    /// Key after which the next page begins; None: the first page is next.
    next_page_from: Option<String>,
    watch: PollSchedule,
}

impl JobWatch {
    /// The jobs' records, as far as they were read.
    pub fn cache(&self) -> &JobCache {
        &self.cache
    }

    /// As [`JobWatch::cache`], to be changed.
    pub fn cache_mut(&mut self) -> &mut JobCache {
        &mut self.cache
    }

    /// Keeps the loading of all records, or a watch of their changes, going.
    /// `read_validity_ms`: how long a read allows leases to be renewed.
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
        let wait_ms = (read_validity_ms / WATCHES_PER_RENEWAL).clamp(MIN_WATCH_MS, MAX_WATCH_MS);
        let request = self.read_changes(wait_ms, wait_ms + WATCH_GRACE_MS);
        client.send_to_store(net, PendingCall::Jobs(JobsCall::Watch { sent: now }), request);
    }

    /// A read of the changes since the last one, which waits for a change for at
    /// most `wait_ms`.
    pub fn read_changes(&self, wait_ms: u64, timeout_ms: u64) -> StoreRequest {
        StoreRequest::read_changes(records::JOB_KEY_PREFIX, self.cache.store_revision(), wait_ms, timeout_ms)
    }

    /// The next watch may be sent from now on.
    pub fn watch_now(&mut self, now: Millis) {
        self.watch.set_not_before(now);
    }

    /// A page of all records came.
    pub fn page_received(&mut self, now: Millis, is_first: bool, result: &CallResult, names: &mut Interners) {
        let Some(page) = body::<Page>(result) else {
            self.pages.end_until(now + RETRY_MS);
            return;
        };
        self.pages.end();
        self.cache.apply_page(&page, is_first, names);
        let last_key = page.pairs.last().map(|pair| pair.key.clone());
        self.next_page_from = last_key.filter(|_| page.truncated);
    }

    /// The watch of the changes ended; `applied`: its changes are in the cache.
    pub fn watch_ended(&mut self, now: Millis, applied: bool, role: Role) {
        let gap_ms = match role {
            _ if !applied => RETRY_MS,
            Role::Leader => LEADER_WATCH_GAP_MS,
            Role::Follower => FOLLOWER_WATCH_GAP_MS,
        };
        self.watch.end_until(now + gap_ms);
    }

    /// Applies the result of a read of changes. Returns whether the cache is now as
    /// recent as the sending of that read.
    pub fn apply_changes(&mut self, result: &CallResult, names: &mut Interners) -> bool {
        // Guard: while all records are loaded again, the changes since the first
        // page don't show what the later pages contain.
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
