//! Requests that wait for the read barrier: the read that they wait for, and their
//! answers after it.

use super::{context::UserContext, waiting_request::WaitingRequest, UserApi};
use crate::{
    controller::service_client::{JobsCall, PendingCall, STORE_TIMEOUT_MS},
    coordination::model::Millis,
    storage::rate_limit::Urgency,
    transport::http::status::NOT_FOUND,
};

/// Gap, in ms, between two reads for the read barrier, times the number of controllers.
const BARRIER_GAP_MS: Millis = 40;
/// Longest time, in ms, that a user's request waits for the read barrier.
const MAX_BARRIER_WAIT_MS: Millis = 1_600;

impl UserApi {
    /// Sends a read for the requests that wait for the read barrier, and refuses those
    /// that have waited too long.
    pub fn flush_read_barrier(&mut self, context: &mut UserContext) {
        let now = context.net.now();
        if self.read_barrier.is_read_due(now) {
            self.read_barrier.read_sent(now, BARRIER_GAP_MS * context.peers.controller_count() as Millis);
            if !context.client.budgets().take_read(now, Urgency::Cancel) {
                let waiting = self.read_barrier.read_finished();
                return self.refuse_all(context, waiting);
            }
            let request = context.jobs.read_changes(0, STORE_TIMEOUT_MS);
            let pending = PendingCall::Jobs(JobsCall::ReadBarrier { sent: now });
            context.client.send_to_store(context.net, pending, request);
        }
        if !self.read_barrier.is_empty() {
            self.refuse_overdue(context, now);
        }
    }

    /// The read for the read barrier ended; `applied`: its changes are in the job
    /// cache. The requests that it was sent for are answered.
    pub fn read_barrier_ended(&mut self, context: &mut UserContext, now: Millis, applied: bool) {
        // Guard: after the process was halted, the read is as old as the requests
        // themselves, and must not answer them.
        self.refuse_overdue(context, now);
        let waiting = self.read_barrier.read_finished();
        if !applied {
            return self.refuse_all(context, waiting);
        }
        for request in waiting {
            self.serve(context, request);
        }
    }

    fn refuse_overdue(&mut self, context: &mut UserContext, now: Millis) {
        let overdue = self.read_barrier.take_expired(now, MAX_BARRIER_WAIT_MS);
        self.refuse_all(context, overdue);
    }

    /// Without a read, the requests that waited for it get no answer but 503.
    fn refuse_all(&mut self, context: &mut UserContext, waiting: Vec<WaitingRequest>) {
        for request in waiting {
            self.respond_unavailable(context, request.conn());
        }
    }

    /// Answers a request that waited for a read of changes, which has been applied.
    fn serve(&mut self, context: &mut UserContext, request: WaitingRequest) {
        match request {
            WaitingRequest::Poll { conn, id } => match context.find(&id) {
                Some(index) => context.respond_poll(conn, index),
                None => context.respond_empty(conn, NOT_FOUND),
            },
            WaitingRequest::Known { conn, id } => match context.find(&id) {
                Some(index) => context.respond_known_job(conn, index),
                None => self.respond_unavailable(context, conn),
            },
            WaitingRequest::Refuse { conn, id, status, reason } => {
                if let Some(index) = context.find(&id) {
                    context.respond_known_job(conn, index);
                } else {
                    tracing::info!(job = &*id, reason, "submission rejected as infeasible");
                    context.respond_empty(conn, status);
                }
            }
            WaitingRequest::Dependent(write) => match context.find(&write.id) {
                Some(index) => context.respond_known_job(write.conn, index),
                None => self.create_or_refuse(context, write),
            },
            WaitingRequest::Cancel { conn, id, retries } => match context.find(&id) {
                Some(_) => self.cancel(context, conn, id, retries),
                None => context.respond_empty(conn, NOT_FOUND),
            },
        }
    }
}
