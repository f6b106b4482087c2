//! Validation of submissions.

use super::{
    spec::{JobSpec, Kind, Priority},
    submission::Submission,
};
use crate::protocol::names::{MachineTypeIndex, Tables, ZoneIndex};

/// The largest number of tasks in one job.
pub const MAX_TASKS: u32 = 100_000;
/// A job is long overdue once this multiple of its deadline has passed.
const OVERDUE_FACTOR: f64 = 1.5;
/// Longest name, in bytes, of a class, team, image, machine type or zone.
const MAX_NAME_BYTES: usize = 256;
/// Longest job id in bytes.
const MAX_ID_BYTES: usize = 64;
/// Most machine types that a job may list.
const MAX_TYPES: usize = 64;
/// Amounts (CPUs, gigabytes, seconds) must stay below this.
const MAX_AMOUNT: f64 = 1e12;

/// Why a submission is refused for good.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Answered with 400; names the missing or invalid field.
    #[error("missing or invalid field `{0}`")]
    Malformed(&'static str),
    /// Answered with 422; says why the job can never run.
    #[error("the job can never run: {0}")]
    NeverRuns(&'static str),
}

/// Where a submission comes from, which decides how unknown names are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionSource {
    /// From a user: the team must be known, and other unknown names are not
    /// interned, so that users can't exhaust the memory with them.
    User,
    /// From the record of an accepted job: its names are interned as they are,
    /// since machine types may not be known yet when records are read.
    Record,
}

/// Whether a text has the form of a job id: lower-case letters (with dashes
/// between), a dash, digits.
pub fn valid_id(id: &str) -> bool {
    let Some((head, digits)) = id.rsplit_once('-') else { return false };
    id.len() <= MAX_ID_BYTES
        && !head.is_empty()
        && head.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'-')
        && !digits.is_empty()
        && digits.bytes().all(|byte| byte.is_ascii_digit())
}

fn required<T>(value: Option<T>, field: &'static str) -> Result<T, Refusal> {
    value.ok_or(Refusal::Malformed(field))
}

fn amount(value: Option<f64>, field: &'static str) -> Result<f64, Refusal> {
    match value {
        Some(amount) if amount.is_finite() && (0.0..MAX_AMOUNT).contains(&amount) => Ok(amount),
        _ => Err(Refusal::Malformed(field)),
    }
}

fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

fn text<'a>(value: &'a Option<String>, field: &'static str) -> Result<&'a str, Refusal> {
    match value {
        Some(name) if is_name(name) => Ok(name),
        _ => Err(Refusal::Malformed(field)),
    }
}

impl Submission {
    /// Validates the fields and interns the names.
    ///
    /// An unknown team, or a job that is its own prerequisite, is reported as
    /// [`Refusal::NeverRuns`], but only if no field is malformed.
    pub fn validate(&self, tables: &mut Tables, source: SubmissionSource) -> Result<JobSpec, Refusal> {
        let id = text(&self.name_id, "nameId")?;
        if !valid_id(id) {
            return Err(Refusal::Malformed("nameId"));
        }
        let class = text(&self.class, "lane")?;
        let team = text(&self.team, "owner")?;
        let kind = required(Kind::parse(text(&self.kind, "shape")?), "shape")?;
        let priority = required(Priority::parse(text(&self.priority, "rank")?), "rank")?;
        let tasks = self.task_count()?;
        let cpus = amount(self.cpus, "cpus")?;
        let gpus = amount(self.gpus, "cards")?;
        let memory_gb = amount(self.memory_gb, "memoryGb")?;
        let image = text(&self.image, "bundle")?;
        let image_gb = amount(self.image_gb, "imageGb")?;
        let types = self.allowed_types(tables, source)?;
        let zone = self.allowed_zone(tables, source)?;
        let one_zone = required(self.one_zone, "samePlace")?;
        let spread = required(self.spread, "scatter")?;
        let spot = required(self.spot, "loaners")?;
        let estimate_s = amount(self.estimate_s, "guessS")?;
        let checkpoint_s = amount(self.checkpoint_s, "bookmarkS")?;
        let save_s = amount(self.save_s, "stashS")?;
        let deadline_s = self.deadline_s.map(|_| amount(self.deadline_s, "dueS")).transpose()?;
        if self.prereqs().iter().any(|prereq| !valid_id(prereq)) {
            return Err(Refusal::Malformed("prereqs"));
        }
        // The job itself is not accepted yet when it is submitted.
        if self.prereqs().iter().any(|prereq| prereq == id) {
            return Err(Refusal::NeverRuns("needs itself"));
        }
        let team = match tables.teams.find(team) {
            Some(index) => index,
            None if source == SubmissionSource::Record => tables.teams.intern(team),
            None => return Err(Refusal::NeverRuns("unknown team")),
        };
        Ok(JobSpec {
            class: tables.classes.intern(class),
            team,
            kind,
            priority,
            tasks,
            cpus,
            gpus,
            memory_gb,
            image: tables.images.intern(image),
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
            overdue_s: deadline_s.map(|deadline_s| deadline_s * OVERDUE_FACTOR),
        })
    }

    fn task_count(&self) -> Result<u32, Refusal> {
        let tasks = required(self.tasks, "pieces")?;
        if tasks >= 1.0 && tasks <= f64::from(MAX_TASKS) && tasks.fract() == 0.0 {
            Ok(tasks as u32)
        } else {
            Err(Refusal::Malformed("pieces"))
        }
    }

    /// A type that isn't known gets an index that no machine has, and stays
    /// out of the tables, so that users can't fill them.
    fn allowed_types(
        &self,
        tables: &mut Tables,
        source: SubmissionSource,
    ) -> Result<Option<Vec<MachineTypeIndex>>, Refusal> {
        let Some(names) = &self.types else { return Ok(None) };
        if names.is_empty() || names.len() > MAX_TYPES || !names.iter().all(|name| is_name(name)) {
            return Err(Refusal::Malformed("breeds"));
        }
        let index = |name: &String| match source {
            SubmissionSource::Record => tables.types.intern(name),
            SubmissionSource::User => tables.types.find(name).unwrap_or(MachineTypeIndex(u32::MAX)),
        };
        Ok(Some(names.iter().map(index).collect()))
    }

    fn allowed_zone(&self, tables: &mut Tables, source: SubmissionSource) -> Result<Option<ZoneIndex>, Refusal> {
        match &self.zone {
            None => Ok(None),
            Some(name) if !is_name(name) => Err(Refusal::Malformed("yard")),
            Some(name) if source == SubmissionSource::Record => Ok(Some(tables.zones.intern(name))),
            Some(name) => Ok(Some(tables.zones.find(name).unwrap_or(ZoneIndex(u32::MAX)))),
        }
    }
}
