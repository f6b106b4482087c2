//! The API for users. Every controller serves it through the key-value store, without
//! involving the leader. A submission or cancellation is confirmed only after a conditional
//! write. A query of a job that is neither done nor cancelled receives its response only
//! after a read barrier.

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

/// `Retry-After`, in seconds, of a response with 503, or with 429 because the store itself
/// responded to the write with 429.
const RETRY_AFTER_S: u32 = 1;
/// Longest `Retry-After`, in seconds, of a response with 429 because the write exceeded this
/// controller's budgets.
const MAX_RETRY_AFTER_S: u64 = 30;
const BYTES_PER_KB: f64 = 1024.0;
const MS_PER_S: u64 = 1_000;

/// Outcome of the write of a job's record.
enum WriteOutcome {
    Applied,
    /// The record, or another one that the write's conditions named, had changed.
    Conflict,
    /// The write failed, or its result is unknown; the user received 429 or 503, to retry later.
    Responded,
}

/// Serves users' requests.
pub struct UserApi {
    cluster: Rc<ClusterSettings>,
    /// The requests that wait for a read of the jobs' changes.
    read_barrier: ReadBarrier<WaitingRequest>,
    statistics: RequestStatistics,
}

impl UserApi {
    /// Creates the API without waiting requests.
    pub fn new(cluster: Rc<ClusterSettings>) -> UserApi {
        UserApi { cluster, read_barrier: ReadBarrier::default(), statistics: RequestStatistics::default() }
    }

    /// Logs the outcomes of users' requests if that is due.
    pub fn log_statistics_if_due(&mut self, now: Millis) {
        self.statistics.log_if_due(now);
    }

    /// Responds with 503 and `Retry-After`, so that the user retries.
    fn respond_unavailable(&mut self, context: &mut UserContext, conn: ConnectionId) {
        self.statistics.record_unavailable();
        context.net.respond(conn, SERVICE_UNAVAILABLE, Some(RETRY_AFTER_S), b"");
    }

    fn respond_over_budget(&mut self, context: &mut UserContext, conn: ConnectionId, retry_after_ms: u64) {
        self.statistics.record_over_budget();
        let wait_s = retry_after_ms.div_ceil(MS_PER_S).clamp(1, MAX_RETRY_AFTER_S) as u32;
        context.net.respond(conn, TOO_MANY_REQUESTS, Some(wait_s), b"");
    }

    /// Reports whether a record fits both the store's present size limit and the announced
    /// next one.
    fn fits_value_limit(&self, record: &JobRecord) -> bool {
        let bytes = records::json_size(&records::to_value(record));
        bytes as f64 <= self.cluster.store.fitting_value_kb() * BYTES_PER_KB
    }

    /// Sends the write of a record if the budgets allow it now. Otherwise responds at once
    /// with 429 and the time after which to retry.
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
            store_lease: None,
        };
        let transaction = Transaction { conditions, writes: vec![put] };
        let request = StoreRequest::transaction(&transaction, SLOW_STORE_TIMEOUT_MS);
        context.client.send_to_store(context.net, PendingCall::User(call(write)), request);
    }

    /// Handles the result of a write for a user.
    pub fn handle_reply(&mut self, context: &mut UserContext, call: UserCall, result: &CallResult) {
        match call {
            UserCall::Submit(write) => self.handle_submit_reply(context, write, result),
            UserCall::Cancel(write) => self.handle_cancel_reply(context, write, result),
        }
    }

    /// Handles the result of a write. If it was applied, puts the record into the job cache;
    /// if it failed for another reason than a conflict, responds to the user.
    fn process_write_result(
        &mut self,
        context: &mut UserContext,
        write: &JobWrite,
        result: &CallResult,
    ) -> WriteOutcome {
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
                WriteOutcome::Responded
            }
            _ => {
                self.respond_unavailable(context, write.conn);
                WriteOutcome::Responded
            }
        }
    }

    /// Handles `GET /api/jobs/{id}`.
    pub fn poll(&mut self, context: &mut UserContext, conn: ConnectionId, id: &str) {
        if !is_valid_job_id(id) {
            return context.respond_empty(conn, NOT_FOUND);
        }
        match context.find(id) {
            Some(index) if context.is_finished(index) => context.respond_poll(conn, index),
            _ if !context.jobs.cache().is_loaded() => self.respond_unavailable(context, conn),
            _ => self.read_barrier.enqueue(context.net.now(), WaitingRequest::Poll { conn, id: id.to_owned() }),
        }
    }
}
