//! Users' requests. Every controller serves them by itself, through the state
//! service: conditional writes before anything is confirmed, and a read barrier
//! before anything is said of a job that isn't over.

mod cancel;
mod submit;

use super::{
    calls::{StateCall, SLOW_STATE_TIMEOUT_MS},
    wiring::{Controller, Pending, Waiter},
};
use crate::{
    protocol::{
        cbor,
        jobs::{valid_id, JobAnswer, PollAnswer},
        store::{AppliedTransaction, Condition, Op, Txn},
    },
    storage::{
        budget::{RateLimited, Urgency},
        job_cache::{JobEntry, JobIndex},
        records::{self, JobRecord, JobStatus},
    },
    transport::{CallError, ConnId, Net, Reply},
};

/// `Retry-After` of an answer that says the service is unavailable, in seconds.
const RETRY_AFTER_S: u32 = 1;
/// Longest `Retry-After` that is told to a user over budget, in seconds.
const MAX_RETRY_AFTER_S: u64 = 30;

/// How users' requests were answered since this was last logged.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct UserResponseCounts {
    /// Answered with 503.
    pub unavailable: u32,
    /// Answered with 429.
    pub over_budget: u32,
    /// Submissions answered with 201.
    pub accepted: u32,
}

/// One conditional write of a job's record on behalf of a user.
struct RecordWrite {
    conn: ConnId,
    urgency: Urgency,
    conditions: Vec<Condition>,
    id: String,
    record: JobRecord,
}

/// How a write of a job's record ended.
enum WriteOutcome {
    Applied,
    /// The record, or one that the write depended on, had changed.
    Conflict,
    /// It could not be carried out, and the user was told to retry.
    Answered,
}

fn status_word(entry: &JobEntry) -> &'static str {
    match entry.status {
        JobStatus::Done => "done",
        JobStatus::Cancelled => "cancelled",
        JobStatus::Pending if entry.running > 0 => "running",
        JobStatus::Pending => "pending",
    }
}

impl Controller {
    /// Logs how users were answered, if some of them have to retry.
    pub fn log_user_responses(&mut self) {
        let counts = std::mem::take(&mut self.user_responses);
        if counts.unavailable + counts.over_budget > 0 {
            tracing::info!(
                accepted = counts.accepted,
                over_budget = counts.over_budget,
                unavailable = counts.unavailable,
                "users told to come back"
            );
        }
    }

    /// Answers 503, so that the user retries.
    pub fn unavailable(&mut self, net: &mut Net, conn: ConnId) {
        self.user_responses.unavailable += 1;
        net.respond(conn, 503, Some(RETRY_AFTER_S), b"");
    }

    fn over_budget(&mut self, net: &mut Net, conn: ConnId, wait_ms: u64) {
        self.user_responses.over_budget += 1;
        let wait_s = wait_ms.div_ceil(1_000).clamp(1, MAX_RETRY_AFTER_S) as u32;
        net.respond(conn, 429, Some(wait_s), b"");
    }

    fn job_answer(&self, net: &mut Net, conn: ConnId, code: u16, id: &str, status: &str) {
        net.respond(conn, code, None, &cbor::encode(&JobAnswer { name_id: id, status }));
    }

    /// Answers 200 with the state of a known job.
    fn known_job_answer(&self, net: &mut Net, conn: ConnId, index: JobIndex) {
        let entry = self.job_cache.get(index);
        self.job_answer(net, conn, 200, &entry.id, status_word(entry));
    }

    fn poll_answer(&self, net: &mut Net, conn: ConnId, index: JobIndex) {
        let entry = self.job_cache.get(index);
        let answer =
            PollAnswer { name_id: &entry.id, status: status_word(entry), done: entry.done, running: entry.running };
        net.respond(conn, 200, None, &cbor::encode(&answer));
    }

    fn is_over(&self, index: JobIndex) -> bool {
        self.job_cache.get(index).status != JobStatus::Pending
    }

    /// Sends a record's write if the budgets allow it now, and otherwise tells
    /// the user at once when to retry.
    fn write_record(&mut self, net: &mut Net, write: RecordWrite, what: Pending) {
        let now = net.now();
        let budgets = &mut self.budgets;
        // Writes are the scarcer: where they refuse, no request is taken either.
        let taken =
            budgets.writes.take(now, 1.0, write.urgency).and_then(|()| budgets.reads.take(now, 1.0, write.urgency));
        if let Err(RateLimited { retry_after_ms: wait_ms }) = taken {
            return self.over_budget(net, write.conn, wait_ms);
        }
        let put = Op::Put { key: records::job_key(&write.id), v: records::to_value(&write.record), permit: None };
        let txn = Txn { conditions: write.conditions, writes: vec![put] };
        self.ask_state(net, what, StateCall::transaction(&txn, SLOW_STATE_TIMEOUT_MS));
    }

    fn record_written(
        &mut self,
        net: &mut Net,
        conn: ConnId,
        id: &str,
        record: &JobRecord,
        result: &Result<Reply, CallError>,
    ) -> WriteOutcome {
        match result {
            Ok(reply) if reply.status == 200 => {
                if let Ok(revision) = cbor::decode::<AppliedTransaction>(&reply.body) {
                    let value = records::to_value(record);
                    self.job_cache.put(&records::job_key(id), &value, revision.store_revision, &mut self.tables);
                }
                WriteOutcome::Applied
            }
            Ok(reply) if reply.status == 409 => WriteOutcome::Conflict,
            Ok(reply) if reply.status == 429 => {
                self.budgets.writes.refused(net.now());
                self.user_responses.over_budget += 1;
                net.respond(conn, 429, Some(RETRY_AFTER_S), b"");
                WriteOutcome::Answered
            }
            _ => {
                self.unavailable(net, conn);
                WriteOutcome::Answered
            }
        }
    }

    /// `GET /api/jobs/{id}`
    pub fn poll(&mut self, net: &mut Net, conn: ConnId, id: &str) {
        if !valid_id(id) {
            return net.respond(conn, 404, None, b"");
        }
        match self.job_cache.find(id) {
            Some(index) if self.is_over(index) => self.poll_answer(net, conn, index),
            _ if !self.job_cache.loaded() => self.unavailable(net, conn),
            _ => self.read_barrier.join(net.now(), Waiter::Poll { conn, id: id.to_owned() }),
        }
    }

    /// Answers the requests that waited for a read of changes, which has been
    /// applied.
    pub fn serve(&mut self, net: &mut Net, waiters: Vec<Waiter>) {
        for waiter in waiters {
            self.serve_one(net, waiter);
        }
    }

    fn serve_one(&mut self, net: &mut Net, waiter: Waiter) {
        match waiter {
            Waiter::Poll { conn, id } => match self.job_cache.find(&id) {
                Some(index) => self.poll_answer(net, conn, index),
                None => net.respond(conn, 404, None, b""),
            },
            Waiter::Known { conn, id } => match self.job_cache.find(&id) {
                Some(index) => self.known_job_answer(net, conn, index),
                None => self.unavailable(net, conn),
            },
            Waiter::Refuse { conn, id, status, why } => match self.job_cache.find(&id) {
                Some(index) => self.known_job_answer(net, conn, index),
                None => {
                    tracing::info!(job = &*id, why, "can never run");
                    net.respond(conn, status, None, b"");
                }
            },
            Waiter::Dependent { conn, id, record, tries } => match self.job_cache.find(&id) {
                Some(index) => self.known_job_answer(net, conn, index),
                None => self.create_or_refuse(net, conn, id, record, tries),
            },
            Waiter::Abort { conn, id, tries } => match self.job_cache.find(&id) {
                Some(_) => self.abort(net, conn, id, tries),
                None => net.respond(conn, 404, None, b""),
            },
        }
    }

    /// The read failed: without it, the requests that waited get no answer but 503.
    pub fn refuse_all(&mut self, net: &mut Net, waiters: Vec<Waiter>) {
        for waiter in waiters {
            self.unavailable(net, waiter.conn());
        }
    }
}
