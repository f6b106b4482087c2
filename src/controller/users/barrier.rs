//! Serves the requests that wait for the read barrier: sends the read, and responds to them
//! after it.

use super::{context::UserContext, waiting_request::WaitingRequest, UserApi};
use crate::{
    controller::service_client::{JobsCall, PendingCall, STORE_TIMEOUT_MS},
    coordination::model::Millis,
    storage::rate_limit::Urgency,
    transport::http::status::NOT_FOUND,
};

/// The smallest interval between two reads for the read barrier, in ms, is this times the
/// number of controllers in the cluster.
const BARRIER_GAP_MS: Millis = 40;
/// Longest time, in ms, that a user's request waits for the read barrier.
const MAX_BARRIER_WAIT_MS: Millis = 1_600;

impl UserApi {
    /// Sends a read for the requests that wait for the read barrier if it is due, and responds
    /// with 503 to those that have waited too long.
    pub fn flush_read_barrier(&mut self, context: &mut UserContext) {
        let now = context.net.now();
        if self.read_barrier.is_read_due(now) {
            self.read_barrier.read_sent(now, BARRIER_GAP_MS * context.peers.controller_count() as Millis);
            if !context.client.budgets().take_read(now, Urgency::Cancel) {
                let waiting = self.read_barrier.read_finished();
                return self.respond_unavailable_to_all(context, waiting);
            }
            let request = context.jobs.changes_request(0, STORE_TIMEOUT_MS);
            let pending = PendingCall::Jobs(JobsCall::ReadBarrier { sent_at: now });
            context.client.send_to_store(context.net, pending, request);
        }
        if !self.read_barrier.is_empty() {
            self.reject_expired(context, now);
        }
    }

    /// Handles the completion of a read for the read barrier: responds to the requests that
    /// waited for this read. `applied` is whether its changes are in the job cache.
    pub fn read_barrier_ended(&mut self, context: &mut UserContext, now: Millis, applied: bool) {
        // After a halt of the process, the read is as old as the requests themselves. A
        // response based on it would not show later changes, so expired requests get 503.
        self.reject_expired(context, now);
        let waiting = self.read_barrier.read_finished();
        if !applied {
            return self.respond_unavailable_to_all(context, waiting);
        }
        for request in waiting {
            self.respond_after_read(context, request);
        }
    }

    fn reject_expired(&mut self, context: &mut UserContext, now: Millis) {
        let expired = self.read_barrier.take_expired(now, MAX_BARRIER_WAIT_MS);
        self.respond_unavailable_to_all(context, expired);
    }

    /// Responds with 503 to requests for which no read succeeded in time.
    fn respond_unavailable_to_all(&mut self, context: &mut UserContext, waiting: Vec<WaitingRequest>) {
        for request in waiting {
            self.respond_unavailable(context, request.conn());
        }
    }

    /// Responds to a request that waited for a read of changes, which has been applied.
    fn respond_after_read(&mut self, context: &mut UserContext, request: WaitingRequest) {
        match request {
            WaitingRequest::Poll { conn, id } => match context.find(&id) {
                Some(index) => context.respond_poll(conn, index),
                None => context.respond_empty(conn, NOT_FOUND),
            },
            WaitingRequest::Resubmit { conn, id } => match context.find(&id) {
                Some(index) => context.respond_known_job(conn, index),
                None => self.respond_unavailable(context, conn),
            },
            WaitingRequest::Reject { conn, id, status, reason } => {
                if let Some(index) = context.find(&id) {
                    context.respond_known_job(conn, index);
                } else {
                    tracing::info!(job = &*id, reason, "submission rejected as infeasible");
                    context.respond_empty(conn, status);
                }
            }
            WaitingRequest::SubmitWithPrereqs(write) => match context.find(&write.id) {
                Some(index) => context.respond_known_job(write.conn, index),
                None => self.create_or_reject(context, write),
            },
            WaitingRequest::Cancel { conn, id, retries } => match context.find(&id) {
                Some(_) => self.cancel(context, conn, id, retries),
                None => context.respond_empty(conn, NOT_FOUND),
            },
        }
    }
}
