//! Users' requests. Every controller serves them by itself, through the key-value
//! store: conditional writes before anything is confirmed, and a read barrier
//! before anything is said of a job that isn't over.

mod barrier;
mod cancel;
mod context;
mod statistics;
mod submit;
mod waiting_request;

use std::rc::Rc;

pub use self::context::UserContext;
use self::{statistics::RequestStatistics, waiting_request::WaitingRequest};
use super::service_client::{CallResult, JobWrite, PendingCall, StoreRequest, UserCall, SLOW_STORE_TIMEOUT_MS};
use crate::{
    coordination::model::Millis,
    protocol::{
        cbor,
        jobs::is_valid_job_id,
        settings::ClusterSettings,
        store::{AppliedTransaction, Condition, Transaction, WriteOperation},
    },
    storage::{
        rate_limit::{RateLimited, Urgency},
        read_barrier::ReadBarrier,
        records::{self, JobRecord},
    },
    transport::{
        http::status::{CONFLICT, NOT_FOUND, OK, SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS},
        ConnectionId,
    },
};

/// `Retry-After` of an answer that says the service is unavailable, in seconds.
const RETRY_AFTER_S: u32 = 1;
/// Longest `Retry-After` that is told to a user over budget, in seconds.
const MAX_RETRY_AFTER_S: u64 = 30;
const BYTES_PER_KB: f64 = 1024.0;
const MS_PER_S: u64 = 1_000;

/// How the write of a job's record ended.
enum WriteOutcome {
    Applied,
    /// The record, or one that the write depended on, had changed.
    Conflict,
    /// It could not be carried out, and the user was told to retry.
    Answered,
}

/// Serves users' requests.
pub struct UserApi {
    cluster: Rc<ClusterSettings>,
    /// Requests that wait for a read of the jobs' changes.
    read_barrier: ReadBarrier<WaitingRequest>,
    statistics: RequestStatistics,
}

impl UserApi {
    /// No request waits yet.
    pub fn new(cluster: Rc<ClusterSettings>) -> UserApi {
        UserApi { cluster, read_barrier: ReadBarrier::default(), statistics: RequestStatistics::default() }
    }

    /// Logs how users were answered when that is due.
    pub fn log_statistics_if_due(&mut self, now: Millis) {
        self.statistics.log_if_due(now);
    }

    /// Answers 503, so that the user retries.
    fn respond_unavailable(&mut self, context: &mut UserContext, conn: ConnectionId) {
        self.statistics.record_unavailable();
        context.net.respond(conn, SERVICE_UNAVAILABLE, Some(RETRY_AFTER_S), b"");
    }

    fn respond_over_budget(&mut self, context: &mut UserContext, conn: ConnectionId, retry_after_ms: u64) {
        self.statistics.record_over_budget();
        let wait_s = retry_after_ms.div_ceil(MS_PER_S).clamp(1, MAX_RETRY_AFTER_S) as u32;
        context.net.respond(conn, TOO_MANY_REQUESTS, Some(wait_s), b"");
    }

    /// Whether a record fits the smaller of the present and the later limit.
    fn fits_a_value(&self, record: &JobRecord) -> bool {
        let bytes = records::json_size(&records::to_value(record));
        bytes as f64 <= self.cluster.state.fitting_value_kb() * BYTES_PER_KB
    }

    /// Sends a record's write if the budgets allow it now, and otherwise tells
    /// the user at once when to retry.
    fn write_record(
        &mut self,
        context: &mut UserContext,
        urgency: Urgency,
        conditions: Vec<Condition>,
        write: JobWrite,
        call: fn(JobWrite) -> UserCall,
    ) {
        let now = context.net.now();
        if let Err(RateLimited { retry_after_ms }) = context.client.budgets().take_user_write(now, urgency) {
            return self.respond_over_budget(context, write.conn, retry_after_ms);
        }
        let put = WriteOperation::Put {
            key: records::job_key(&write.id),
            value: records::to_value(&*write.record),
            grant: None,
        };
        let transaction = Transaction { conditions, writes: vec![put] };
        let request = StoreRequest::transaction(&transaction, SLOW_STORE_TIMEOUT_MS);
        context.client.send_to_store(context.net, PendingCall::User(call(write)), request);
    }

    /// A write for a user ended.
    pub fn handle_reply(&mut self, context: &mut UserContext, call: UserCall, result: &CallResult) {
        match call {
            UserCall::Submit(write) => self.submitted(context, write, result),
            UserCall::Cancel(write) => self.cancelled(context, write, result),
        }
    }

    fn record_written(&mut self, context: &mut UserContext, write: &JobWrite, result: &CallResult) -> WriteOutcome {
        match result {
            Ok(reply) if reply.status == OK => {
                if let Ok(applied) = cbor::decode::<AppliedTransaction>(&reply.body) {
                    let (key, value) = (records::job_key(&write.id), records::to_value(&*write.record));
                    context.jobs.cache_mut().apply_record(&key, &value, applied.store_revision, context.names);
                }
                WriteOutcome::Applied
            }
            Ok(reply) if reply.status == CONFLICT => WriteOutcome::Conflict,
            Ok(reply) if reply.status == TOO_MANY_REQUESTS => {
                context.client.budgets().record_refused_write(context.net.now());
                self.statistics.record_over_budget();
                context.net.respond(write.conn, TOO_MANY_REQUESTS, Some(RETRY_AFTER_S), b"");
                WriteOutcome::Answered
            }
            _ => {
                self.respond_unavailable(context, write.conn);
                WriteOutcome::Answered
            }
        }
    }

    /// `GET /api/jobs/{id}`
    pub fn poll(&mut self, context: &mut UserContext, conn: ConnectionId, id: &str) {
        if !is_valid_job_id(id) {
            return context.respond_empty(conn, NOT_FOUND);
        }
        match context.find(id) {
            Some(index) if context.is_over(index) => context.respond_poll(conn, index),
            _ if !context.jobs.cache().is_loaded() => self.respond_unavailable(context, conn),
            _ => self.read_barrier.enqueue(context.net.now(), WaitingRequest::Poll { conn, id: id.to_owned() }),
        }
    }
}
