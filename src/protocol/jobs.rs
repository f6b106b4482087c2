//! The users' interface: submissions, their validation, and answers.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use super::cbor::maybe_number;
use super::names::{ClassIndex, ImageIndex, MachineTypeIndex, Tables, TeamIndex, ZoneIndex};

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

/// The body of `POST /api/jobs` as it was received. It is also stored in the
/// job's record, so the serialized names are part of the stored format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Submission {
    /// Unique job id, chosen by the user; a retry uses the same id.
    pub name_id: Option<String>,
    /// Class of jobs that the job belongs to.
    #[serde(rename = "lane")]
    pub class: Option<String>,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "owner")]
    pub team: Option<String>,
    /// Array, gang or service.
    #[serde(rename = "shape")]
    pub kind: Option<String>,
    /// Scheduling priority.
    #[serde(rename = "rank")]
    pub priority: Option<String>,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    #[serde(deserialize_with = "maybe_number")]
    pub tasks: Option<f64>,
    /// CPUs of each task.
    #[serde(deserialize_with = "maybe_number")]
    pub cpus: Option<f64>,
    /// GPUs of each task.
    #[serde(rename = "cards")]
    #[serde(deserialize_with = "maybe_number")]
    pub gpus: Option<f64>,
    /// Memory of each task.
    #[serde(deserialize_with = "maybe_number")]
    pub memory_gb: Option<f64>,
    /// Image that a machine needs before a task can start.
    #[serde(rename = "bundle")]
    pub image: Option<String>,
    /// Size of the image.
    #[serde(deserialize_with = "maybe_number")]
    pub image_gb: Option<f64>,
    /// Allowed machine types; absent: any.
    #[serde(rename = "breeds", skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone; absent: any.
    #[serde(rename = "yard", skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks must be in the same zone.
    #[serde(rename = "samePlace")]
    pub one_zone: Option<bool>,
    /// At most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub spread: Option<bool>,
    /// Spot machines are allowed.
    #[serde(rename = "loaners")]
    pub spot: Option<bool>,
    /// The owner's estimate of a task's run time; 0 for services.
    #[serde(rename = "guessS")]
    #[serde(deserialize_with = "maybe_number")]
    pub estimate_s: Option<f64>,
    /// Progress between two checkpoints; 0: the task never saves.
    #[serde(rename = "bookmarkS")]
    #[serde(deserialize_with = "maybe_number")]
    pub checkpoint_s: Option<f64>,
    /// Time that a task needs to save when it is stopped.
    #[serde(rename = "stashS")]
    #[serde(deserialize_with = "maybe_number")]
    pub save_s: Option<f64>,
    /// Deadline, counted from the submission.
    #[serde(rename = "dueS", skip_serializing_if = "Option::is_none")]
    #[serde(deserialize_with = "maybe_number")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts. Versions
    /// without pipelines never meet a record that contains it.
    #[serde(skip_serializing_if = "names_nobody")]
    pub prereqs: Option<Vec<String>>,
}

fn names_nobody(prereqs: &Option<Vec<String>>) -> bool {
    prereqs.as_ref().is_none_or(Vec::is_empty)
}

/// How the tasks of a job belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// All tasks run at the same time, or none does.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

impl Kind {
    fn parse(name: &str) -> Option<Kind> {
        match name {
            "batch" => Some(Kind::Array),
            "ensemble" => Some(Kind::Gang),
            "service" => Some(Kind::Service),
            _ => None,
        }
    }
}

/// Scheduling priority; the greater one is scheduled first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// `low`
    Low,
    /// `normal`
    Normal,
    /// `high`
    High,
    /// `prod`
    Production,
}

impl Priority {
    fn parse(name: &str) -> Option<Priority> {
        match name {
            "prod" => Some(Priority::Production),
            "high" => Some(Priority::High),
            "normal" => Some(Priority::Normal),
            "low" => Some(Priority::Low),
            _ => None,
        }
    }
}

/// A validated job, with names interned to dense indices.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// Class, which the objectives in the settings refer to.
    pub class: ClassIndex,
    /// Team whose guarantee and limit apply.
    pub team: TeamIndex,
    /// Array, gang or service.
    pub kind: Kind,
    /// Priority; for a prerequisite, the highest of all jobs that need it.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// GPUs of each task.
    pub gpus: f64,
    /// Memory of each task.
    pub memory_gb: f64,
    /// Image that a machine needs before a task can start.
    pub image: ImageIndex,
    /// Size of the image.
    pub image_gb: f64,
    /// Allowed machine types; `None`: any.
    pub types: Option<Vec<MachineTypeIndex>>,
    /// The only allowed zone; `None`: any.
    pub zone: Option<ZoneIndex>,
    /// All tasks must be in the same zone.
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// Spot machines are allowed.
    pub spot: bool,
    /// The owner's estimate of a task's run time; 0 for services.
    pub estimate_s: f64,
    /// Progress between two checkpoints; 0: the task never saves.
    pub checkpoint_s: f64,
    /// Time that a task needs to save when it is stopped.
    pub save_s: f64,
    /// Deadline, counted from when the job became ready to start.
    pub deadline_s: Option<f64>,
    /// When the job is long overdue, counted like the deadline.
    pub overdue_s: Option<f64>,
}

impl JobSpec {
    /// The largest number of this job's tasks that one zone may hold.
    pub fn zone_cap(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether tasks may run on this machine type.
    pub fn allows_type(&self, t: MachineTypeIndex) -> bool {
        self.types.as_ref().is_none_or(|l| l.contains(&t))
    }
}

/// Why a submission is refused for good.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Answered with 400; names the missing or invalid field.
    #[error("{0}")]
    Malformed(&'static str),
    /// Answered with 422; says why the job can never run.
    #[error("{0}")]
    NeverRuns(&'static str),
}

/// Whether a text has the form of a job id: lower-case letters (with dashes
/// between), a dash, digits.
pub fn valid_id(id: &str) -> bool {
    let Some((head, digits)) = id.rsplit_once('-') else { return false };
    id.len() <= MAX_ID_BYTES
        && !head.is_empty()
        && head.bytes().all(|b| b.is_ascii_lowercase() || b == b'-')
        && !digits.is_empty()
        && digits.bytes().all(|b| b.is_ascii_digit())
}

fn required<T>(value: Option<T>, field: &'static str) -> Result<T, Refusal> {
    value.ok_or(Refusal::Malformed(field))
}

fn amount(value: Option<f64>, field: &'static str) -> Result<f64, Refusal> {
    match value {
        Some(x) if x.is_finite() && (0.0..MAX_AMOUNT).contains(&x) => Ok(x),
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
    /// The jobs that have to be done before this one may start.
    pub fn prereqs(&self) -> &[String] {
        self.prereqs.as_deref().unwrap_or_default()
    }

    /// Removes repeated prerequisites, keeping their order; an empty list
    /// becomes none.
    pub fn fold_prereqs(&mut self) {
        let mut seen = HashSet::new();
        if let Some(l) = &mut self.prereqs {
            l.retain(|id| seen.insert(id.clone()));
        }
        self.prereqs = self.prereqs.take().filter(|l| !l.is_empty());
    }

    /// Validates the form and interns names. An unknown team or a job that
    /// needs itself is `NeverRuns`, reported only if nothing is malformed.
    /// `accepted`: the submission comes from a stored record, whose names are
    /// taken as they are, since machine types may not be known yet when
    /// records are read.
    pub fn check(&self, tables: &mut Tables, accepted: bool) -> Result<JobSpec, Refusal> {
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
        let types = self.allowed_types(tables, accepted)?;
        let zone = self.allowed_zone(tables, accepted)?;
        let one_zone = required(self.one_zone, "samePlace")?;
        let spread = required(self.spread, "scatter")?;
        let spot = required(self.spot, "loaners")?;
        let estimate_s = amount(self.estimate_s, "guessS")?;
        let checkpoint_s = amount(self.checkpoint_s, "bookmarkS")?;
        let save_s = amount(self.save_s, "stashS")?;
        let deadline_s = self.deadline_s.map(|_| amount(self.deadline_s, "dueS")).transpose()?;
        if self.prereqs().iter().any(|p| !valid_id(p)) {
            return Err(Refusal::Malformed("prereqs"));
        }
        // The job itself is not accepted yet when it is submitted.
        if self.prereqs().iter().any(|p| p == id) {
            return Err(Refusal::NeverRuns("needs itself"));
        }
        let team = match tables.teams.find(team) {
            Some(index) => index,
            None if accepted => tables.teams.intern(team),
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
            overdue_s: deadline_s.map(|d| d * OVERDUE_FACTOR),
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
    fn allowed_types(&self, tables: &mut Tables, accepted: bool) -> Result<Option<Vec<MachineTypeIndex>>, Refusal> {
        let Some(names) = &self.types else { return Ok(None) };
        if names.is_empty() || names.len() > MAX_TYPES || !names.iter().all(|name| is_name(name)) {
            return Err(Refusal::Malformed("breeds"));
        }
        let index = |name: &String| {
            if accepted {
                tables.types.intern(name)
            } else {
                tables.types.find(name).unwrap_or(MachineTypeIndex(u32::MAX))
            }
        };
        Ok(Some(names.iter().map(index).collect()))
    }

    fn allowed_zone(&self, tables: &mut Tables, accepted: bool) -> Result<Option<ZoneIndex>, Refusal> {
        match &self.zone {
            None => Ok(None),
            Some(name) if !is_name(name) => Err(Refusal::Malformed("yard")),
            Some(name) if accepted => Ok(Some(tables.zones.intern(name))),
            Some(name) => Ok(Some(tables.zones.find(name).unwrap_or(ZoneIndex(u32::MAX)))),
        }
    }
}

/// The answer to `POST /api/jobs` and to `/abort`.
#[derive(Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct JobAnswer<'a> {
    /// The job's id.
    pub name_id: &'a str,
    /// `pending`, `running`, `done` or `cancelled`.
    pub status: &'a str,
}

/// The answer to `GET /api/jobs/{id}`.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PollAnswer<'a> {
    /// The job's id.
    pub name_id: &'a str,
    /// `pending`, `running`, `done` or `cancelled`.
    pub status: &'a str,
    /// Tasks that are done, for display.
    pub done: u32,
    /// Tasks that run, for display.
    pub running: u32,
}

/// Tests of submissions, and a sample that other tests use.
#[cfg(test)]
#[path = "tests/jobs.rs"]
pub mod tests;
