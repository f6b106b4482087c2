//! `POST /api/jobs`: a job's record is created before 201 is answered.

use std::rc::Rc;

use super::{status_word, RecordWrite, WriteOutcome};
use crate::{
    controller::wiring::{wall_ms, Controller, Pending, Waiter},
    coordination::model::{fits_some_type, TeamLimits},
    protocol::{
        cbor,
        ids::Revision,
        jobs::{JobSpec, Refusal, Submission, SubmissionSource},
        names::TeamIndex,
        store::Condition,
    },
    storage::{
        budget::Urgency,
        records::{self, JobRecord, JobStatus},
    },
    transport::{CallError, ConnId, Net, Reply},
};

/// How often a submission is tried again when a job that it needs changes.
const CREATE_RETRIES: u32 = 3;

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

impl Controller {
    /// `POST /api/jobs`
    pub fn submit(&mut self, net: &mut Net, conn: ConnId, body: &[u8]) {
        let Ok(mut submission) = cbor::decode::<Submission>(body) else {
            return net.respond(conn, 400, None, b"");
        };
        let checked = submission.validate(&mut self.tables, SubmissionSource::User);
        if let Err(Refusal::Malformed(field)) = checked {
            tracing::debug!(field, "malformed submission");
            return net.respond(conn, 400, None, b"");
        }
        // Whether a well-formed job can run depends on what isn't known yet.
        if !self.job_cache.loaded() || self.types.is_empty() {
            return self.unavailable(net, conn);
        }
        submission.fold_prereqs();
        let Some(id) = submission.name_id.clone() else {
            return net.respond(conn, 400, None, b"");
        };
        if let Some(index) = self.job_cache.find(&id) {
            if self.is_over(index) {
                return self.known_job_answer(net, conn, index);
            }
            return self.read_barrier.join(net.now(), Waiter::Known { conn, id });
        }
        if let Some(why) = self.never_runs(&checked) {
            return self.refuse(net, conn, id, 422, why);
        }
        let chunk = self.chunk_size();
        let record = JobRecord { submission, status: JobStatus::Pending, at_ms: wall_ms(), chunk };
        if !self.fits_a_value(&record) {
            return self.refuse(net, conn, id, 400, "too long for a record");
        }
        // Guard: a controller that doesn't know prerequisites would start the
        // job too early, or drop them from its record.
        if !record.submission.prereqs().is_empty() && !self.versions.is_complete() {
            return self.unavailable(net, conn);
        }
        self.create(net, conn, id, Rc::new(record), 0);
    }

    /// Refuses a submission for good. Guard: never one of a job that was
    /// accepted, so a read comes first.
    fn refuse(&mut self, net: &Net, conn: ConnId, id: String, status: u16, why: &'static str) {
        self.read_barrier.join(net.now(), Waiter::Refuse { conn, id, status, why });
    }

    /// Why a well-formed job can never run.
    fn never_runs(&self, checked: &Result<JobSpec, Refusal>) -> Option<&'static str> {
        match checked {
            Err(Refusal::NeverRuns(why) | Refusal::Malformed(why)) => Some(why),
            Ok(spec) if !fits_some_type(spec, &self.types) => Some("fits no machine type"),
            Ok(spec) if !self.team_limits(spec.team).ever_allows(spec) => Some("over the team's limit"),
            Ok(_) => None,
        }
    }

    /// The limits of a team; its guarantee doesn't matter here.
    fn team_limits(&self, team: TeamIndex) -> TeamLimits {
        let set = |amount: f64| (amount > 0.0).then_some(amount);
        let team = self.settings.cluster.teams.get(team.at());
        team.map_or_else(TeamLimits::default, |team| TeamLimits {
            cpus_max: set(team.cpus_max),
            gpus_max: set(team.gpus_max),
            ..TeamLimits::default()
        })
    }

    /// Whether a record fits the smaller of the present and the later limit.
    pub(super) fn fits_a_value(&self, record: &JobRecord) -> bool {
        let bytes = records::json_size(&records::to_value(record));
        bytes as f64 <= self.settings.cluster.state.fitting_value_kb() * 1024.0
    }

    /// Writes the record of a new job if all its prerequisites are known here;
    /// otherwise a read comes first.
    fn create(&mut self, net: &mut Net, conn: ConnId, id: String, record: Rc<JobRecord>, tries: u32) {
        match self.prereqs(&record) {
            Prereqs::Accepted(conditions) => self.write_new_job(net, conn, id, record, tries, conditions),
            Prereqs::Unknown | Prereqs::Service => {
                // The jobs of a pipeline are submitted one after another, to any controller.
                self.read_barrier.expedite(net.now());
                self.read_barrier.join(net.now(), Waiter::Dependent { conn, id, record, tries });
            }
        }
    }

    /// Like `create`, after a read that was sent after the submission arrived.
    /// Guard: a prerequisite that is unknown now was not accepted when the user
    /// named it.
    pub(super) fn create_or_refuse(
        &mut self,
        net: &mut Net,
        conn: ConnId,
        id: String,
        record: Rc<JobRecord>,
        tries: u32,
    ) {
        match self.prereqs(&record) {
            Prereqs::Accepted(conditions) => self.write_new_job(net, conn, id, record, tries, conditions),
            no @ (Prereqs::Unknown | Prereqs::Service) => {
                tracing::info!(job = &*id, ?no, "names a job that it can't wait for");
                net.respond(conn, 422, None, b"");
            }
        }
    }

    fn write_new_job(
        &mut self,
        net: &mut Net,
        conn: ConnId,
        id: String,
        record: Rc<JobRecord>,
        tries: u32,
        prereqs_unchanged: Vec<Condition>,
    ) {
        let mut conditions = vec![Condition { key: records::job_key(&id), revision: Revision::ABSENT }];
        conditions.extend(prereqs_unchanged);
        let urgency = self.submission_urgency(&record);
        let write = RecordWrite { conn, urgency, conditions, id: id.clone(), record: (*record).clone() };
        self.write_record(net, write, Pending::Submit { conn, id, record, tries });
    }

    /// Guard: a team to which nothing is guaranteed must not push out the
    /// submissions of the others.
    fn submission_urgency(&self, record: &JobRecord) -> Urgency {
        let team = record.submission.team.as_deref().unwrap_or_default();
        if self.settings.cluster.is_best_effort(team) {
            Urgency::BestEffortSubmit
        } else {
            Urgency::Submit
        }
    }

    fn prereqs(&self, record: &JobRecord) -> Prereqs {
        // One condition is for the job's own key. Records of jobs are never
        // removed, so those beyond the limit need none.
        let most = 4 * self.settings.cluster.state.fitting_txn_ops() - 1;
        let mut conditions = Vec::new();
        let mut has_service = false;
        for prereq in record.submission.prereqs() {
            let Some(index) = self.job_cache.find(prereq) else { return Prereqs::Unknown };
            has_service |= self.job_cache.is_service(index);
            // A job that is over doesn't change any more.
            if !self.is_over(index) && conditions.len() < most {
                let revision = self.job_cache.get(index).revision;
                conditions.push(Condition { key: records::job_key(prereq), revision });
            }
        }
        if has_service {
            return Prereqs::Service;
        }
        Prereqs::Accepted(conditions)
    }

    /// The write of a new job's record has ended.
    pub fn submitted(
        &mut self,
        net: &mut Net,
        conn: ConnId,
        id: String,
        record: Rc<JobRecord>,
        tries: u32,
        result: Result<Reply, CallError>,
    ) {
        match self.record_written(net, conn, &id, &record, &result) {
            WriteOutcome::Applied => {
                self.user_responses.accepted += 1;
                // It is cancelled at once if it needs a cancelled job.
                let word = self.job_cache.find(&id).map_or("pending", |index| status_word(self.job_cache.get(index)));
                self.job_answer(net, conn, 201, &id, word);
            }
            WriteOutcome::Conflict if record.submission.prereqs().is_empty() => {
                self.read_barrier.join(net.now(), Waiter::Known { conn, id });
            }
            // The job exists, or one that it needs has changed.
            WriteOutcome::Conflict if tries < CREATE_RETRIES => {
                self.read_barrier.join(net.now(), Waiter::Dependent { conn, id, record, tries: tries + 1 });
            }
            WriteOutcome::Conflict => self.unavailable(net, conn),
            WriteOutcome::Answered => {}
        }
    }
}
