//! `POST /api/jobs/{id}/abort`: the job's record is written as cancelled before the user
//! receives the response. The cancellation of the jobs that depend on this one follows from
//! the same record; their own records are not written.

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

/// Largest number of retries of a cancellation after conflicts: the job's record had changed.
const CANCEL_RETRIES: u32 = 3;

impl UserApi {
    /// Handles `POST /api/jobs/{id}/abort`. `retries` is the number of retries so far.
    pub fn cancel(&mut self, context: &mut UserContext, conn: ConnectionId, id: String, retries: u32) {
        if !is_valid_job_id(&id) {
            return context.respond_empty(conn, NOT_FOUND);
        }
        match context.find(&id) {
            Some(index) if context.is_finished(index) => context.respond_known_job(conn, index),
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

    /// Returns the record of a cancelled job. A pending record that was written under a larger
    /// size limit may exceed the lowered limit; the store would then reject the cancellation
    /// permanently. If the cancelled record doesn't fit, it is returned without the fields that
    /// are needed only to start tasks.
    fn cancelled_record(&self, pending: &JobRecord) -> JobRecord {
        let record = JobRecord { status: JobStatus::Cancelled, ..pending.clone() };
        if self.fits_value_limit(&record) {
            return record;
        }
        let submission = Submission { types: None, prereqs: None, ..record.submission };
        JobRecord { submission, ..record }
    }

    /// Handles the result of the write of a cancelled job's record.
    pub(super) fn handle_cancel_reply(&mut self, context: &mut UserContext, write: JobWrite, result: &CallResult) {
        let outcome = self.process_write_result(context, &write, result);
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
            // The job was completed or cancelled in the meantime: read its record, then
            // decide again.
            WriteOutcome::Conflict if retries < CANCEL_RETRIES => {
                self.read_barrier.enqueue(context.net.now(), WaitingRequest::Cancel { conn, id, retries: retries + 1 });
            }
            WriteOutcome::Conflict => self.respond_unavailable(context, conn),
            WriteOutcome::Responded => {}
        }
    }
}

#[cfg(test)]
#[path = "../tests/cancel.rs"]
mod tests;
