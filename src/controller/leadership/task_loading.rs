//! Loading of the task records by a new leader.
//!
//! The leader first reads the changes that the job cache may have missed, then the task
//! records. All of them are read after the leader's key was written, so that no
//! transaction of an earlier leader can still be applied.

use super::context::LeaderContext;
use crate::{
    controller::{
        clock::wall_clock_ms,
        poll_schedule::PollSchedule,
        service_client::{
            body, CallResult, JobsCall, LeaderCall, PendingCall, StoreRequest, PAGE_TIMEOUT_MS, STORE_TIMEOUT_MS,
        },
    },
    coordination::{
        leader::Leader,
        model::{Millis, Term},
    },
    protocol::store::Page,
    storage::{rate_limit::Urgency, records},
};

/// Pause, in ms, after a failed request.
const RETRY_MS: Millis = 200;

/// Progress of the loading of the task records.
#[derive(Debug, Default)]
pub(super) struct TaskLoading {
    schedule: PollSchedule,
    /// Whether the changes that the job cache may have missed were applied.
    jobs_synced: bool,
    /// Key after which the next page starts; None: the first page is next.
    next_page_from: Option<String>,
}

impl TaskLoading {
    /// Restarts the loading, for a new leadership.
    pub(super) fn restart(&mut self, now: Millis) {
        self.jobs_synced = false;
        self.next_page_from = None;
        self.schedule.end_and_wait_until(now);
    }

    /// Sends the next request of the loading, if none is pending.
    pub(super) fn refresh(&mut self, context: &mut LeaderContext, now: Millis, term: Term) {
        if !self.schedule.is_due(now) || !context.client.budgets().take_read(now, Urgency::Lease) {
            return;
        }
        self.schedule.begin();
        if !self.jobs_synced {
            let request = context.jobs.changes_request(0, STORE_TIMEOUT_MS);
            let pending = PendingCall::Jobs(JobsCall::LeaderSync { term, sent_at: now });
            return context.client.send_to_store(context.net, pending, request);
        }
        let from = self.next_page_from.as_deref();
        let request = StoreRequest::read_page(records::CHUNK_KEY_PREFIX, from, PAGE_TIMEOUT_MS);
        context.send_to_store(term, LeaderCall::TasksPage, request);
    }

    /// Records that the read of the job records' changes has ended. `synced`: the changes
    /// that the job cache may have missed were applied.
    pub(super) fn jobs_synced(&mut self, now: Millis, synced: bool) {
        self.jobs_synced = synced;
        self.schedule.end_and_wait_until(if synced { now } else { now + RETRY_MS });
    }

    /// Processes a page of the task records, for a leader that is still loading.
    pub(super) fn page_received(
        &mut self,
        context: &mut LeaderContext,
        now: Millis,
        leader: &mut Leader,
        result: &CallResult,
    ) {
        let Some(page) = body::<Page>(result) else {
            self.schedule.end_and_wait_until(now + RETRY_MS);
            return;
        };
        self.schedule.end();
        let wall_ms = wall_clock_ms();
        let job_cache = context.jobs.cache();
        for pair in &page.pairs {
            leader.load_chunk_record(now, wall_ms, pair, job_cache, context.names);
        }
        match page.pairs.last() {
            Some(last) if page.truncated => self.next_page_from = Some(last.key.clone()),
            _ => leader.finish_loading(now, wall_ms, job_cache),
        }
    }
}
