//! `POST /api/jobs/{id}/abort`: the job's record says cancelled before its user
//! is told so. Jobs that need it are cancelled by the same record.

use std::rc::Rc;

use super::{RecordWrite, WriteOutcome};
use crate::{
    controller::wiring::{Controller, Pending, Waiter},
    protocol::{
        jobs::{valid_id, Submission},
        store::Condition,
    },
    storage::{
        budget::Urgency,
        records::{self, JobRecord, JobStatus},
    },
    transport::{CallError, ConnId, Net, Reply},
};

/// How often a cancellation is tried again when the job's record changes.
const ABORT_RETRIES: u32 = 3;

impl Controller {
    /// `POST /api/jobs/{id}/abort`
    pub fn abort(&mut self, net: &mut Net, conn: ConnId, id: String, tries: u32) {
        if !valid_id(&id) {
            return net.respond(conn, 404, None, b"");
        }
        match self.job_cache.find(&id) {
            Some(index) if self.is_over(index) => self.known_job_answer(net, conn, index),
            Some(index) => {
                let entry = self.job_cache.get(index);
                let (Some(pending), revision) = (entry.record.clone(), entry.revision) else {
                    return self.unavailable(net, conn);
                };
                let record = Rc::new(self.cancelled(&pending));
                let conditions = vec![Condition { key: records::job_key(&id), revision }];
                let write = RecordWrite {
                    conn,
                    urgency: Urgency::Cancel,
                    conditions,
                    id: id.clone(),
                    record: (*record).clone(),
                };
                self.write_record(net, write, Pending::Abort { conn, id, record, tries });
            }
            None if !self.job_cache.loaded() => self.unavailable(net, conn),
            None => self.read_barrier.join(net.now(), Waiter::Abort { conn, id, tries }),
        }
    }

    /// The record of a job that is cancelled. Guard: a record that was written
    /// under a larger limit must still fit, or the cancellation would be refused
    /// for ever. What only matters for starts can go.
    fn cancelled(&self, pending: &JobRecord) -> JobRecord {
        let record = JobRecord { status: JobStatus::Cancelled, ..pending.clone() };
        if self.fits_a_value(&record) {
            return record;
        }
        let submission = Submission { types: None, prereqs: None, ..record.submission };
        JobRecord { submission, ..record }
    }

    /// The write of a cancelled job's record has ended.
    pub fn aborted(
        &mut self,
        net: &mut Net,
        conn: ConnId,
        id: String,
        record: &JobRecord,
        tries: u32,
        result: Result<Reply, CallError>,
    ) {
        match self.record_written(net, conn, &id, record, &result) {
            WriteOutcome::Applied => {
                if let Some(revision) = self.job_cache.find(&id).map(|index| self.job_cache.get(index).revision) {
                    self.tell_cancelled(net, net.now(), &id, revision);
                }
                self.job_answer(net, conn, 200, &id, "cancelled");
            }
            // Done or cancelled in the meantime: read, then decide again.
            WriteOutcome::Conflict if tries < ABORT_RETRIES => {
                self.read_barrier.join(net.now(), Waiter::Abort { conn, id, tries: tries + 1 });
            }
            WriteOutcome::Conflict => self.unavailable(net, conn),
            WriteOutcome::Answered => {}
        }
    }
}

#[cfg(test)]
#[path = "../tests/cancel.rs"]
mod tests;
