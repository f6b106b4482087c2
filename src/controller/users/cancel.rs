//! `POST /api/jobs/{id}/abort`: the job's record says cancelled before its user
//! is told so. Jobs that need it are cancelled by the same record.

use std::rc::Rc;

use super::{context::UserContext, waiting_request::WaitingRequest, UserApi, WriteOutcome};
use crate::{
    controller::service_client::{CallResult, JobWrite, UserCall},
    protocol::{
        jobs::{is_valid_job_id, Submission},
        peers::Cancelled,
        store::Condition,
    },
    storage::{
        rate_limit::Urgency,
        records::{self, JobRecord, JobStatus},
    },
    transport::{
        http::status::{NOT_FOUND, OK},
        ConnectionId,
    },
};

/// How often a cancellation is tried again when the job's record changes.
const CANCEL_RETRIES: u32 = 3;

impl UserApi {
    /// `POST /api/jobs/{id}/abort`. `retries`: how often it was tried again so far.
    pub fn cancel(&mut self, context: &mut UserContext, conn: ConnectionId, id: String, retries: u32) {
        if !is_valid_job_id(&id) {
            return context.respond_empty(conn, NOT_FOUND);
        }
        match context.find(&id) {
            Some(index) if context.is_over(index) => context.respond_known_job(conn, index),
            Some(index) => {
                let entry = context.jobs.cache().get(index);
                let (Some(pending), revision) = (entry.record.clone(), entry.revision) else {
                    return self.respond_unavailable(context, conn);
                };
                let record = Rc::new(self.cancelled_record(&pending));
                let conditions = vec![Condition { key: records::job_key(&id), revision }];
                let write = JobWrite { conn, id, record, retries };
                self.write_record(context, Urgency::Cancel, conditions, write, UserCall::Cancel);
            }
            None if !context.jobs.cache().is_loaded() => self.respond_unavailable(context, conn),
            None => self.read_barrier.enqueue(context.net.now(), WaitingRequest::Cancel { conn, id, retries }),
        }
    }

    /// The record of a job that is cancelled. Guard: a record that was written
    /// under a larger limit must still fit, or the cancellation would be refused
    /// for ever. What only matters for starts can go.
    fn cancelled_record(&self, pending: &JobRecord) -> JobRecord {
        let record = JobRecord { status: JobStatus::Cancelled, ..pending.clone() };
        if self.fits_a_value(&record) {
            return record;
        }
        let submission = Submission { types: None, prereqs: None, ..record.submission };
        JobRecord { submission, ..record }
    }

    /// The write of a cancelled job's record has ended.
    pub(super) fn cancelled(&mut self, context: &mut UserContext, write: JobWrite, result: &CallResult) {
        let outcome = self.record_written(context, &write, result);
        let JobWrite { conn, id, retries, .. } = write;
        match outcome {
            WriteOutcome::Applied => {
                if let Some(index) = context.find(&id) {
                    let revision = context.jobs.cache().get(index).revision;
                    let cancelled = Cancelled { job: id.clone(), revision };
                    context.peers.announce_cancellation(context.net, context.net.now(), cancelled);
                }
                context.respond_job(conn, OK, &id, "cancelled");
            }
            // Done or cancelled in the meantime: read, then decide again.
            WriteOutcome::Conflict if retries < CANCEL_RETRIES => {
                self.read_barrier.enqueue(context.net.now(), WaitingRequest::Cancel { conn, id, retries: retries + 1 });
            }
            WriteOutcome::Conflict => self.respond_unavailable(context, conn),
            WriteOutcome::Answered => {}
        }
    }
}

#[cfg(test)]
#[path = "../tests/cancel.rs"]
mod tests;
