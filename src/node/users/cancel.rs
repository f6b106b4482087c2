//! `POST /api/jobs/{id}/abort`: the job's record says cancelled before its user
//! is told so. Jobs that need it are cancelled by the same record.

use std::rc::Rc;

use super::{RecordWrite, WriteOutcome};
use crate::{
    bookkeeping::{
        budget::Urgency,
        records::{self, JobRecord, Status},
    },
    node::wiring::{Node, Pending, Waiter},
    protocol::{
        jobs::{valid_id, Submission},
        store::Condition,
    },
    transport::{CallError, ConnId, Net, Reply},
};

/// How often a cancellation is tried again when the job's record changes.
const ABORT_RETRIES: u32 = 3;

impl Node {
    /// `POST /api/jobs/{id}/abort`
    pub fn abort(&mut self, net: &mut Net, conn: ConnId, id: String, tries: u32) {
        if !valid_id(&id) {
            return net.respond(conn, 404, None, b"");
        }
        match self.job_cache.find(&id) {
            Some(ix) if self.is_over(ix) => self.known_job_answer(net, conn, ix),
            Some(ix) => {
                let entry = self.job_cache.get(ix);
                let (Some(pending), stamp) = (entry.record.clone(), entry.stamp) else {
                    return self.unavailable(net, conn);
                };
                let record = Rc::new(self.cancelled(&pending));
                let conditions = vec![Condition { key: records::job_key(&id), stamp }];
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
            None => self.barrier.join(net.now(), Waiter::Abort { conn, id, tries }),
        }
    }

    /// The record of a job that is cancelled. Guard: a record that was written
    /// under a larger limit must still fit, or the cancellation would be refused
    /// for ever. What only matters for starts can go.
    fn cancelled(&self, pending: &JobRecord) -> JobRecord {
        let record = JobRecord { status: Status::Cancelled, ..pending.clone() };
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
                if let Some(stamp) = self.job_cache.find(&id).map(|ix| self.job_cache.get(ix).stamp) {
                    self.tell_cancelled(net, net.now(), &id, stamp);
                }
                self.job_answer(net, conn, 200, &id, "cancelled");
            }
            // Done or cancelled in the meantime: read, then decide again.
            WriteOutcome::Conflict if tries < ABORT_RETRIES => {
                self.barrier.join(net.now(), Waiter::Abort { conn, id, tries: tries + 1 });
            }
            WriteOutcome::Conflict => self.unavailable(net, conn),
            WriteOutcome::Answered => {}
        }
    }
}

#[cfg(test)]
#[path = "../tests/cancel.rs"]
mod tests;
