//! `POST /api/jobs`: a job's record is created before the user receives 201.

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

/// Largest number of retries of a submission whose prerequisite's record has changed.
const CREATE_RETRIES: u32 = 3;
/// The largest number of conditions in a transaction is this times the largest number of
/// writes in a transaction.
const CONDITIONS_PER_WRITE: usize = 4;

/// Result of a lookup of a submission's prerequisites in the job cache.
#[derive(Debug)]
enum PrereqCheck {
    /// All prerequisites are accepted jobs; the conditions require that their records are
    /// unchanged.
    Accepted(Vec<Condition>),
    /// At least one prerequisite is not in the job cache.
    Unknown,
    /// At least one prerequisite is a service, which never completes.
    Service,
}

impl UserApi {
    /// Handles `POST /api/jobs`.
    pub fn submit(&mut self, context: &mut UserContext, conn: ConnectionId, body: &[u8]) {
        let Ok(mut submission) = cbor::decode::<Submission>(body) else {
            return context.respond_empty(conn, BAD_REQUEST);
        };
        let checked = submission.validate(context.names, SubmissionSource::User);
        if let Err(SubmissionError::Malformed(field)) = checked {
            tracing::debug!(field, "malformed submission");
            return context.respond_empty(conn, BAD_REQUEST);
        }
        // Whether a well-formed job can run can't be decided before the jobs' records and the
        // machine types have been read.
        if !context.jobs.cache().is_loaded() || context.machine_types.is_empty() {
            return self.respond_unavailable(context, conn);
        }
        submission.remove_duplicate_prereqs();
        let Some(id) = submission.name_id.clone() else {
            return context.respond_empty(conn, BAD_REQUEST);
        };
        if let Some(index) = context.find(&id) {
            if context.is_finished(index) {
                return context.respond_known_job(conn, index);
            }
            return self.read_barrier.enqueue(context.net.now(), WaitingRequest::Resubmit { conn, id });
        }
        if let Some(reason) = self.infeasibility(&checked, context.machine_types) {
            return self.reject_after_read(context, conn, id, UNPROCESSABLE_CONTENT, reason);
        }
        self.create_feasible(context, conn, id, submission);
    }

    /// Creates the record of a job that can run, if the record is not too large.
    fn create_feasible(&mut self, context: &mut UserContext, conn: ConnectionId, id: String, submission: Submission) {
        let tasks_per_chunk = chunk_size(&self.cluster);
        let record = JobRecord { submission, status: JobStatus::Pending, at_ms: wall_clock_ms(), tasks_per_chunk };
        if !self.fits_value_limit(&record) {
            return self.reject_after_read(context, conn, id, BAD_REQUEST, "too long for a record");
        }
        // Until the upgrade is complete, a controller of an older version may run. It ignores
        // prerequisites: it would start the job too early, or drop the prerequisites from the
        // job's record.
        if !record.submission.prereqs().is_empty() && !context.all_upgraded {
            return self.respond_unavailable(context, conn);
        }
        self.create(context, JobWrite { conn, id, record: Rc::new(record), retries: 0 });
    }

    /// Rejects a submission permanently, after a read for the read barrier. Without the read,
    /// a resubmission of a job that another controller accepted would be rejected.
    fn reject_after_read(
        &mut self,
        context: &UserContext,
        conn: ConnectionId,
        id: String,
        status: u16,
        reason: &'static str,
    ) {
        self.read_barrier.enqueue(context.net.now(), WaitingRequest::Reject { conn, id, status, reason });
    }

    /// Returns why a well-formed job can never run; None if it can.
    fn infeasibility(
        &self,
        checked: &Result<JobSpec, SubmissionError>,
        types: &[MachineTypeSpec],
    ) -> Option<&'static str> {
        match checked {
            Err(SubmissionError::Infeasible(reason) | SubmissionError::Malformed(reason)) => Some(reason),
            Ok(spec) if !fits_some_type(spec, types) => Some("fits no machine type"),
            Ok(spec) if !self.team_limits(spec.team).can_admit(spec) => Some("over the team's limit"),
            Ok(_) => None,
        }
    }

    /// Returns the quota of a team; one without limits if the team is not in the settings.
    fn team_limits(&self, team: TeamIndex) -> TeamLimits {
        self.cluster.teams.get(team.as_usize()).map(team_limits).unwrap_or_default()
    }

    /// Writes the record of a new job if all its prerequisites are in the job cache and can
    /// complete; otherwise waits for a read first.
    fn create(&mut self, context: &mut UserContext, write: JobWrite) {
        match self.check_prereqs(context, &write.record) {
            PrereqCheck::Accepted(conditions) => self.write_new_job(context, write, conditions),
            PrereqCheck::Unknown | PrereqCheck::Service => {
                // The jobs of a pipeline are submitted one after another, and each may be sent
                // to any controller, so another controller may have just accepted a prerequisite.
                self.read_barrier.expedite(context.net.now());
                self.read_barrier.enqueue(context.net.now(), WaitingRequest::SubmitWithPrereqs(write));
            }
        }
    }

    /// Writes the record of a new job, or rejects its submission if a prerequisite is unknown
    /// or a service. Called after the completion of a read that was sent after the submission
    /// arrived: a prerequisite that is still unknown had not been accepted when the user
    /// submitted the job.
    pub(super) fn create_or_reject(&mut self, context: &mut UserContext, write: JobWrite) {
        match self.check_prereqs(context, &write.record) {
            PrereqCheck::Accepted(conditions) => self.write_new_job(context, write, conditions),
            prereqs @ (PrereqCheck::Unknown | PrereqCheck::Service) => {
                tracing::info!(
                    job = &*write.id,
                    ?prereqs,
                    "submission rejected: a prerequisite is unknown or a service"
                );
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

    /// Returns the urgency of the write of a submission. It is lower for a best-effort team,
    /// which has no guaranteed quota: otherwise its submissions could use up the budget and
    /// displace those of the other teams.
    fn submission_urgency(&self, record: &JobRecord) -> Urgency {
        let team = record.submission.team.as_deref().unwrap_or_default();
        if self.cluster.is_best_effort(team) {
            Urgency::BestEffortSubmit
        } else {
            Urgency::Submit
        }
    }

    fn check_prereqs(&self, context: &UserContext, record: &JobRecord) -> PrereqCheck {
        // One condition is for the job's own key. Prerequisites beyond the limit need no
        // condition, because the records of jobs are never removed.
        let max_conditions = CONDITIONS_PER_WRITE * self.cluster.store.fitting_txn_ops() - 1;
        let cache = context.jobs.cache();
        let mut conditions = Vec::new();
        let mut has_service = false;
        for prereq in record.submission.prereqs() {
            let Some(index) = cache.find(prereq) else { return PrereqCheck::Unknown };
            has_service |= cache.is_service(index);
            // The record of a job that is done or cancelled no longer changes, so it needs no
            // condition.
            if !context.is_finished(index) && conditions.len() < max_conditions {
                let revision = cache.get(index).revision;
                conditions.push(Condition { key: records::job_key(prereq), revision });
            }
        }
        if has_service {
            return PrereqCheck::Service;
        }
        PrereqCheck::Accepted(conditions)
    }

    /// Handles the result of the write of a new job's record.
    pub(super) fn handle_submit_reply(&mut self, context: &mut UserContext, write: JobWrite, result: &CallResult) {
        let outcome = self.process_write_result(context, &write, result);
        let JobWrite { conn, id, record, retries } = write;
        let now = context.net.now();
        match outcome {
            WriteOutcome::Applied => {
                self.statistics.record_accepted();
                // A job with a cancelled prerequisite is itself cancelled at once.
                let cache = context.jobs.cache();
                let status = cache.find(&id).map_or("pending", |index| status_word(cache.get(index)));
                context.respond_job(conn, CREATED, &id, status);
            }
            WriteOutcome::Conflict if record.submission.prereqs().is_empty() => {
                self.read_barrier.enqueue(now, WaitingRequest::Resubmit { conn, id });
            }
            // The job exists already, or the record of a prerequisite has changed.
            WriteOutcome::Conflict if retries < CREATE_RETRIES => {
                let write = JobWrite { conn, id, record, retries: retries + 1 };
                self.read_barrier.enqueue(now, WaitingRequest::SubmitWithPrereqs(write));
            }
            WriteOutcome::Conflict => self.respond_unavailable(context, conn),
            WriteOutcome::Responded => {}
        }
    }
}
