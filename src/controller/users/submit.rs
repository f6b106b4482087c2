//! `POST /api/jobs`: a job's record is created before 201 is answered.

use std::rc::Rc;

use super::{
    context::{status_word, UserContext},
    waiting_request::WaitingRequest,
    UserApi, WriteOutcome,
};
use crate::{
    controller::{
        clock::wall_clock_ms,
        cluster_limits::{chunk_size, team_limits},
        service_client::{CallResult, JobWrite, UserCall},
    },
    coordination::model::{fits_some_type, MachineTypeSpec, TeamLimits},
    protocol::{
        cbor,
        ids::Revision,
        jobs::{JobSpec, Submission, SubmissionError, SubmissionSource},
        names::TeamIndex,
        store::Condition,
    },
    storage::{
        rate_limit::Urgency,
        records::{self, JobRecord, JobStatus},
    },
    transport::{
        http::status::{BAD_REQUEST, CREATED, UNPROCESSABLE_CONTENT},
        ConnectionId,
    },
};

/// How often a submission is tried again when a job that it needs changes.
const CREATE_RETRIES: u32 = 3;
/// Conditions that a transaction may have for each of its writes.
const CONDITIONS_PER_WRITE: usize = 4;

/// The jobs that a submission names, as far as they are known here.
#[derive(Debug)]
enum Prereqs {
    /// All are accepted; the conditions say that their records are unchanged.
    Accepted(Vec<Condition>),
    /// At least one is not known.
    Unknown,
    /// At least one is a service, which never ends.
    Service,
}

impl UserApi {
    /// `POST /api/jobs`
    pub fn submit(&mut self, context: &mut UserContext, conn: ConnectionId, body: &[u8]) {
        let Ok(mut submission) = cbor::decode::<Submission>(body) else {
            return context.respond_empty(conn, BAD_REQUEST);
        };
        let checked = submission.validate(context.names, SubmissionSource::User);
        if let Err(SubmissionError::Malformed(field)) = checked {
            tracing::debug!(field, "malformed submission");
            return context.respond_empty(conn, BAD_REQUEST);
        }
        // Whether a well-formed job can run depends on what isn't known yet.
        if !context.jobs.cache().is_loaded() || context.machine_types.is_empty() {
            return self.respond_unavailable(context, conn);
        }
        submission.remove_duplicate_prereqs();
        let Some(id) = submission.name_id.clone() else {
            return context.respond_empty(conn, BAD_REQUEST);
        };
        if let Some(index) = context.find(&id) {
            if context.is_over(index) {
                return context.respond_known_job(conn, index);
            }
            return self.read_barrier.enqueue(context.net.now(), WaitingRequest::Known { conn, id });
        }
        if let Some(reason) = self.infeasibility(&checked, context.machine_types) {
            return self.refuse(context, conn, id, UNPROCESSABLE_CONTENT, reason);
        }
        self.create_feasible(context, conn, id, submission);
    }

    /// Creates the record of a job that can run, if it is not too large.
    fn create_feasible(&mut self, context: &mut UserContext, conn: ConnectionId, id: String, submission: Submission) {
        let chunk = chunk_size(&self.cluster);
        let record = JobRecord { submission, status: JobStatus::Pending, at_ms: wall_clock_ms(), chunk };
        if !self.fits_a_value(&record) {
            return self.refuse(context, conn, id, BAD_REQUEST, "too long for a record");
        }
        // Guard: a controller that doesn't know prerequisites would start the
        // job too early, or drop them from its record.
        if !record.submission.prereqs().is_empty() && !context.all_upgraded {
            return self.respond_unavailable(context, conn);
        }
        self.create(context, JobWrite { conn, id, record: Rc::new(record), retries: 0 });
    }

    /// Refuses a submission for good. Guard: never one of a job that was
    /// accepted, so a read comes first.
    fn refuse(&mut self, context: &UserContext, conn: ConnectionId, id: String, status: u16, reason: &'static str) {
        self.read_barrier.enqueue(context.net.now(), WaitingRequest::Refuse { conn, id, status, reason });
    }

    /// Why a well-formed job can never run; None: it can.
    fn infeasibility(
        &self,
        checked: &Result<JobSpec, SubmissionError>,
        types: &[MachineTypeSpec],
    ) -> Option<&'static str> {
        match checked {
            Err(SubmissionError::Infeasible(reason) | SubmissionError::Malformed(reason)) => Some(reason),
            Ok(spec) if !fits_some_type(spec, types) => Some("fits no machine type"),
            Ok(spec) if !self.team_limits(spec.team).ever_allows(spec) => Some("over the team's limit"),
            Ok(_) => None,
        }
    }

    /// The quota of a team; none for a team that the settings don't name.
    fn team_limits(&self, team: TeamIndex) -> TeamLimits {
        self.cluster.teams.get(team.as_usize()).map(team_limits).unwrap_or_default()
    }

    /// Writes the record of a new job if all its prerequisites are known here;
    /// otherwise a read comes first.
    fn create(&mut self, context: &mut UserContext, write: JobWrite) {
        match self.prereqs(context, &write.record) {
            Prereqs::Accepted(conditions) => self.write_new_job(context, write, conditions),
            Prereqs::Unknown | Prereqs::Service => {
                // The jobs of a pipeline are submitted one after another, to any controller.
                self.read_barrier.expedite(context.net.now());
                self.read_barrier.enqueue(context.net.now(), WaitingRequest::Dependent(write));
            }
        }
    }

    /// Like `create`, after a read that was sent after the submission arrived.
    /// Guard: a prerequisite that is unknown now was not accepted when the user
    /// named it.
    pub(super) fn create_or_refuse(&mut self, context: &mut UserContext, write: JobWrite) {
        match self.prereqs(context, &write.record) {
            Prereqs::Accepted(conditions) => self.write_new_job(context, write, conditions),
            prereqs @ (Prereqs::Unknown | Prereqs::Service) => {
                tracing::info!(job = &*write.id, ?prereqs, "submission rejected for its prerequisites");
                context.respond_empty(write.conn, UNPROCESSABLE_CONTENT);
            }
        }
    }

    fn write_new_job(&mut self, context: &mut UserContext, write: JobWrite, prereqs_unchanged: Vec<Condition>) {
        let mut conditions = vec![Condition { key: records::job_key(&write.id), revision: Revision::ABSENT }];
        conditions.extend(prereqs_unchanged);
        let urgency = self.submission_urgency(&write.record);
        self.write_record(context, urgency, conditions, write, UserCall::Submit);
    }

    /// Guard: a team to which nothing is guaranteed must not push out the
    /// submissions of the others.
    fn submission_urgency(&self, record: &JobRecord) -> Urgency {
        let team = record.submission.team.as_deref().unwrap_or_default();
        if self.cluster.is_best_effort(team) {
            Urgency::BestEffortSubmit
        } else {
            Urgency::Submit
        }
    }

    fn prereqs(&self, context: &UserContext, record: &JobRecord) -> Prereqs {
        // One condition is for the job's own key. Records of jobs are never
        // removed, so those beyond the limit need none.
        let max_conditions = CONDITIONS_PER_WRITE * self.cluster.state.fitting_txn_ops() - 1;
        let cache = context.jobs.cache();
        let mut conditions = Vec::new();
        let mut has_service = false;
        for prereq in record.submission.prereqs() {
            let Some(index) = cache.find(prereq) else { return Prereqs::Unknown };
            has_service |= cache.is_service(index);
            // A job that is over doesn't change any more.
            if !context.is_over(index) && conditions.len() < max_conditions {
                let revision = cache.get(index).revision;
                conditions.push(Condition { key: records::job_key(prereq), revision });
            }
        }
        if has_service {
            return Prereqs::Service;
        }
        Prereqs::Accepted(conditions)
    }

    /// The write of a new job's record has ended.
    pub(super) fn submitted(&mut self, context: &mut UserContext, write: JobWrite, result: &CallResult) {
        let outcome = self.record_written(context, &write, result);
        let JobWrite { conn, id, record, retries } = write;
        let now = context.net.now();
        match outcome {
            WriteOutcome::Applied => {
                self.statistics.record_accepted();
                // It is cancelled at once if it needs a cancelled job.
                let cache = context.jobs.cache();
                let status = cache.find(&id).map_or("pending", |index| status_word(cache.get(index)));
                context.respond_job(conn, CREATED, &id, status);
            }
            WriteOutcome::Conflict if record.submission.prereqs().is_empty() => {
                self.read_barrier.enqueue(now, WaitingRequest::Known { conn, id });
            }
            // The job exists, or one that it needs has changed.
            WriteOutcome::Conflict if retries < CREATE_RETRIES => {
                let write = JobWrite { conn, id, record, retries: retries + 1 };
                self.read_barrier.enqueue(now, WaitingRequest::Dependent(write));
            }
            WriteOutcome::Conflict => self.respond_unavailable(context, conn),
            WriteOutcome::Answered => {}
        }
    }
}
