//! Users' requests. Every controller serves them by itself, through the key-value
//! store: conditional writes before anything is confirmed, and a read barrier
//! before anything is said of a job that isn't over.

mod cancel;
mod statistics;
mod submit;
mod waiting_request;

use std::rc::Rc;

use self::{statistics::RequestStatistics, waiting_request::WaitingRequest};
use super::{
    job_watch::JobWatch,
    peers::Peers,
    service_client::{
        CallResult, JobWrite, JobsCall, PendingCall, ServiceClient, StoreRequest, UserCall, SLOW_STORE_TIMEOUT_MS,
        STORE_TIMEOUT_MS,
    },
};
use crate::{
    coordination::model::{MachineTypeSpec, Millis},
    protocol::{
        cbor,
        jobs::{valid_id, JobAnswer, PollAnswer},
        names::Tables,
        settings::Cluster,
        store::{AppliedTransaction, Condition, Op, Txn},
    },
    storage::{
        budget::Urgency,
        job_cache::{JobEntry, JobIndex},
        read_barrier::ReadBarrier,
        records::{self, JobRecord, JobStatus},
    },
    transport::{
        http::status::{
            BAD_REQUEST, CONFLICT, CREATED, NOT_FOUND, OK, SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS,
            UNPROCESSABLE_CONTENT,
        },
        ConnId, Net,
    },
};

/// `Retry-After` of an answer that says the service is unavailable, in seconds.
const RETRY_AFTER_S: u32 = 1;
/// Longest `Retry-After` that is told to a user over budget, in seconds.
const MAX_RETRY_AFTER_S: u64 = 30;
/// Gap, in ms, between two reads for the read barrier, times the number of controllers.
const BARRIER_GAP_MS: Millis = 40;
/// Longest time, in ms, that a user's request waits for the read barrier.
const MAX_BARRIER_WAIT_MS: Millis = 1_600;
const BYTES_PER_KB: f64 = 1024.0;
const MS_PER_S: u64 = 1_000;

/// The components that users' requests are served with.
pub struct UserContext<'a> {
    pub net: &'a mut Net,
    pub client: &'a mut ServiceClient,
    pub jobs: &'a mut JobWatch,
    pub names: &'a mut Tables,
    pub peers: &'a mut Peers,
    /// The machine types that the cloud offers; none before they were read.
    pub machine_types: &'a [MachineTypeSpec],
    /// All controllers are known to run this version.
    pub all_upgraded: bool,
}

impl UserContext<'_> {
    /// Answers with no body.
    fn respond_empty(&mut self, conn: ConnId, status: u16) {
        self.net.respond(conn, status, None, b"");
    }

    fn respond_job(&mut self, conn: ConnId, code: u16, id: &str, status: &str) {
        self.net.respond(conn, code, None, &cbor::encode(&JobAnswer { name_id: id, status }));
    }

    /// Answers 200 with the state of a known job.
    fn respond_known_job(&mut self, conn: ConnId, index: JobIndex) {
        let entry = self.jobs.cache().get(index);
        let answer = JobAnswer { name_id: &entry.id, status: status_word(entry) };
        self.net.respond(conn, OK, None, &cbor::encode(&answer));
    }

    /// Answers 200 with the state and the task counts of a known job.
    fn respond_poll(&mut self, conn: ConnId, index: JobIndex) {
        let entry = self.jobs.cache().get(index);
        let answer =
            PollAnswer { name_id: &entry.id, status: status_word(entry), done: entry.done, running: entry.running };
        self.net.respond(conn, OK, None, &cbor::encode(&answer));
    }

    fn find(&self, id: &str) -> Option<JobIndex> {
        self.jobs.cache().find(id)
    }

    fn is_over(&self, index: JobIndex) -> bool {
        self.jobs.cache().get(index).status != JobStatus::Pending
    }
}

/// How the write of a job's record ended.
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

/// Serves users' requests.
pub struct UserApi {
    cluster: Rc<Cluster>,
    /// Requests that wait for a read of the jobs' changes.
    read_barrier: ReadBarrier<WaitingRequest>,
    statistics: RequestStatistics,
}

impl UserApi {
    /// No request waits yet.
    pub fn new(cluster: Rc<Cluster>) -> UserApi {
        UserApi { cluster, read_barrier: ReadBarrier::default(), statistics: RequestStatistics::default() }
    }

    /// Logs how users were answered when that is due.
    pub fn log_statistics_if_due(&mut self, now: Millis) {
        self.statistics.log_if_due(now);
    }

    /// Answers 503, so that the user retries.
    fn respond_unavailable(&mut self, context: &mut UserContext, conn: ConnId) {
        self.statistics.record_unavailable();
        context.net.respond(conn, SERVICE_UNAVAILABLE, Some(RETRY_AFTER_S), b"");
    }

    fn respond_over_budget(&mut self, context: &mut UserContext, conn: ConnId, wait_ms: u64) {
        self.statistics.record_over_budget();
        let wait_s = wait_ms.div_ceil(MS_PER_S).clamp(1, MAX_RETRY_AFTER_S) as u32;
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
        if let Err(wait_ms) = context.client.budgets().take_user_write(now, urgency) {
            return self.respond_over_budget(context, write.conn, wait_ms);
        }
        let put = Op::Put { key: records::job_key(&write.id), v: records::to_value(&*write.record), permit: None };
        let transaction = Txn { conditions, writes: vec![put] };
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
                    context.jobs.cache_mut().put(&key, &value, applied.store_revision, context.names);
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
    pub fn poll(&mut self, context: &mut UserContext, conn: ConnId, id: &str) {
        if !valid_id(id) {
            return context.respond_empty(conn, NOT_FOUND);
        }
        match context.find(id) {
            Some(index) if context.is_over(index) => context.respond_poll(conn, index),
            _ if !context.jobs.cache().loaded() => self.respond_unavailable(context, conn),
            _ => self.read_barrier.join(context.net.now(), WaitingRequest::Poll { conn, id: id.to_owned() }),
        }
    }

    /// Sends a read for the requests that wait for the read barrier, and refuses those
    /// that have waited too long.
    pub fn flush_read_barrier(&mut self, context: &mut UserContext) {
        let now = context.net.now();
        if self.read_barrier.due(now) {
            self.read_barrier.sent(now, BARRIER_GAP_MS * context.peers.controller_count() as Millis);
            if !context.client.budgets().take_read(now, Urgency::Cancel) {
                let waiting = self.read_barrier.ended();
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
        let waiting = self.read_barrier.ended();
        if !applied {
            return self.refuse_all(context, waiting);
        }
        for request in waiting {
            self.serve(context, request);
        }
    }

    fn refuse_overdue(&mut self, context: &mut UserContext, now: Millis) {
        let overdue = self.read_barrier.overdue(now, MAX_BARRIER_WAIT_MS);
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
            WaitingRequest::Refuse { conn, id, status, reason } => match context.find(&id) {
                Some(index) => context.respond_known_job(conn, index),
                None => {
                    tracing::info!(job = &*id, reason, "submission rejected as infeasible");
                    context.respond_empty(conn, status);
                }
            },
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
