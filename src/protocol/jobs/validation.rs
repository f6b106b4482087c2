//! Validation of submissions.

use super::{
    spec::{JobKind, JobSpec, Priority},
    submission::Submission,
};
use crate::protocol::names::{Interners, MachineTypeIndex, ZoneIndex};

/// Maximum number of tasks in one job.
pub const MAX_TASKS: u32 = 100_000;
/// Extended deadline of a job, as a multiple of its deadline: the objective for
/// scheduling once the job can no longer meet its deadline.
const EXTENDED_DEADLINE_FACTOR: f64 = 1.5;
/// Maximum length, in bytes, of the name of a class, team, image, machine type or
/// zone.
const MAX_NAME_BYTES: usize = 256;
/// Maximum length of a job id in bytes.
const MAX_ID_BYTES: usize = 64;
/// Maximum number of machine types that a job may list.
const MAX_TYPES: usize = 64;
/// Amounts (CPUs, gigabytes, seconds) must stay below this.
const MAX_AMOUNT: f64 = 1e12;

/// Reason for rejecting a submission permanently.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SubmissionError {
    /// Rejected with status 400; contains the name of the missing or invalid field.
    #[error("missing or invalid field `{0}`")]
    Malformed(&'static str),
    /// Rejected with status 422; contains the reason why the job can never run.
    #[error("the job can never run: {0}")]
    Infeasible(&'static str),
}

/// Origin of a submission, which determines how unknown names are handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionSource {
    /// From a user: the team must be known, and unknown names of machine types and zones
    /// are not interned, so that users can't exhaust the memory with them.
    User,
    /// From the record of an accepted job: all of its names are interned, because
    /// machine types may not be known yet when records are read.
    Record,
}

/// Reports whether a text has the form of a job id: lower-case letters or dashes, then a
/// dash, then digits.
pub fn is_valid_job_id(id: &str) -> bool {
    let Some((head, digits)) = id.rsplit_once('-') else { return false };
    id.len() <= MAX_ID_BYTES
        && !head.is_empty()
        && head.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'-')
        && !digits.is_empty()
        && digits.bytes().all(|byte| byte.is_ascii_digit())
}

fn required<T>(value: Option<T>, field: &'static str) -> Result<T, SubmissionError> {
    value.ok_or(SubmissionError::Malformed(field))
}

fn required_amount(value: Option<f64>, field: &'static str) -> Result<f64, SubmissionError> {
    match value {
        Some(amount) if amount.is_finite() && (0.0..MAX_AMOUNT).contains(&amount) => Ok(amount),
        _ => Err(SubmissionError::Malformed(field)),
    }
}

fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

fn required_name<'a>(value: Option<&'a str>, field: &'static str) -> Result<&'a str, SubmissionError> {
    match value {
        Some(name) if is_name(name) => Ok(name),
        _ => Err(SubmissionError::Malformed(field)),
    }
}

impl Submission {
    /// Validates the fields and interns the names.
    ///
    /// An unknown team, or a job that is its own prerequisite, is rejected as
    /// [`SubmissionError::Infeasible`], but only if no field is malformed.
    pub fn validate(&self, interners: &mut Interners, source: SubmissionSource) -> Result<JobSpec, SubmissionError> {
        let id = required_name(self.name_id.as_deref(), "nameId")?;
        if !is_valid_job_id(id) {
            return Err(SubmissionError::Malformed("nameId"));
        }
        let class = required_name(self.class.as_deref(), "lane")?;
        let team = required_name(self.team.as_deref(), "owner")?;
        let kind = required(JobKind::parse(required_name(self.kind.as_deref(), "shape")?), "shape")?;
        let priority = required(Priority::parse(required_name(self.priority.as_deref(), "rank")?), "rank")?;
        let tasks = self.task_count()?;
        let cpus = required_amount(self.cpus, "cpus")?;
        let gpus = required_amount(self.gpus, "cards")?;
        let memory_gb = required_amount(self.memory_gb, "memoryGb")?;
        let image = required_name(self.image.as_deref(), "bundle")?;
        let image_gb = required_amount(self.image_gb, "imageGb")?;
        let types = self.allowed_types(interners, source)?;
        let zone = self.allowed_zone(interners, source)?;
        let one_zone = required(self.one_zone, "samePlace")?;
        let spread = required(self.spread, "scatter")?;
        let spot = required(self.spot, "loaners")?;
        let estimate_s = required_amount(self.estimate_s, "guessS")?;
        let checkpoint_s = required_amount(self.checkpoint_s, "bookmarkS")?;
        let save_s = required_amount(self.save_s, "stashS")?;
        let deadline_s = self.deadline_s.map(|_| required_amount(self.deadline_s, "dueS")).transpose()?;
        if self.prereqs().iter().any(|prereq| !is_valid_job_id(prereq)) {
            return Err(SubmissionError::Malformed("prereqs"));
        }
        // Each prerequisite must be an accepted job. The submitted job is not accepted yet,
        // so it can't be its own prerequisite.
        if self.prereqs().iter().any(|prereq| prereq == id) {
            return Err(SubmissionError::Infeasible("needs itself"));
        }
        let team = match interners.teams.find(team) {
            Some(index) => index,
            None if source == SubmissionSource::Record => interners.teams.intern(team),
            None => return Err(SubmissionError::Infeasible("unknown team")),
        };
        Ok(JobSpec {
            class: interners.classes.intern(class),
            team,
            kind,
            priority,
            tasks,
            cpus,
            gpus,
            memory_gb,
            image: interners.images.intern(image),
            image_gb,
            types,
            zone,
            one_zone,
            spread,
            spot,
            estimate_s,
            checkpoint_s,
            save_s,
            deadline_s,
            extended_deadline_s: deadline_s.map(|deadline_s| deadline_s * EXTENDED_DEADLINE_FACTOR),
        })
    }

    fn task_count(&self) -> Result<u32, SubmissionError> {
        let tasks = required(self.tasks, "pieces")?;
        if tasks >= 1.0 && tasks <= f64::from(MAX_TASKS) && tasks.fract() == 0.0 {
            Ok(tasks as u32)
        } else {
            Err(SubmissionError::Malformed("pieces"))
        }
    }

    /// Returns the indices of the allowed machine types. An unknown type in a user's
    /// submission gets an index that no machine has, and is not interned, so that users
    /// can't fill the interner with names of types.
    fn allowed_types(
        &self,
        interners: &mut Interners,
        source: SubmissionSource,
    ) -> Result<Option<Vec<MachineTypeIndex>>, SubmissionError> {
        let Some(names) = &self.types else { return Ok(None) };
        if names.is_empty() || names.len() > MAX_TYPES || !names.iter().all(|name| is_name(name)) {
            return Err(SubmissionError::Malformed("breeds"));
        }
        let index = |name: &String| match source {
            SubmissionSource::Record => interners.types.intern(name),
            SubmissionSource::User => interners.types.find(name).unwrap_or(MachineTypeIndex(u32::MAX)),
        };
        Ok(Some(names.iter().map(index).collect()))
    }

    fn allowed_zone(
        &self,
        interners: &mut Interners,
        source: SubmissionSource,
    ) -> Result<Option<ZoneIndex>, SubmissionError> {
        match &self.zone {
            None => Ok(None),
            Some(name) if !is_name(name) => Err(SubmissionError::Malformed("yard")),
            Some(name) if source == SubmissionSource::Record => Ok(Some(interners.zones.intern(name))),
            Some(name) => Ok(Some(interners.zones.find(name).unwrap_or(ZoneIndex(u32::MAX)))),
        }
    }
}
