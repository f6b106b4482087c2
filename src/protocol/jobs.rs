//! Users' interface: submissions, their validation, answers.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use super::cbor::maybe_number;
use super::names::{ClassIx, ImageIx, Tables, TeamIx, TypeIx, ZoneIx};

pub const MAX_TASKS: u32 = 100_000;
/// A job is long overdue at so many times its deadline.
const OVERDUE: f64 = 1.5;

/// The body of `POST /api/jobs`, as it came. Also kept in the job's record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Submission {
    pub name_id: Option<String>,
    #[serde(rename = "lane")]
    pub class: Option<String>,
    #[serde(rename = "owner")]
    pub team: Option<String>,
    #[serde(rename = "shape")]
    pub kind: Option<String>,
    #[serde(rename = "rank")]
    pub priority: Option<String>,
    #[serde(rename = "pieces")]
    #[serde(deserialize_with = "maybe_number")]
    pub tasks: Option<f64>,
    #[serde(deserialize_with = "maybe_number")]
    pub cpus: Option<f64>,
    #[serde(rename = "cards")]
    #[serde(deserialize_with = "maybe_number")]
    pub gpus: Option<f64>,
    #[serde(deserialize_with = "maybe_number")]
    pub memory_gb: Option<f64>,
    #[serde(rename = "bundle")]
    pub image: Option<String>,
    #[serde(deserialize_with = "maybe_number")]
    pub image_gb: Option<f64>,
    #[serde(rename = "breeds", skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "yard", skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "samePlace")]
    pub one_zone: Option<bool>,
    #[serde(rename = "scatter")]
    pub spread: Option<bool>,
    #[serde(rename = "loaners")]
    pub spot: Option<bool>,
    #[serde(rename = "guessS")]
    #[serde(deserialize_with = "maybe_number")]
    pub estimate_s: Option<f64>,
    #[serde(rename = "bookmarkS")]
    #[serde(deserialize_with = "maybe_number")]
    pub checkpoint_s: Option<f64>,
    #[serde(rename = "stashS")]
    #[serde(deserialize_with = "maybe_number")]
    pub save_s: Option<f64>,
    #[serde(rename = "dueS", skip_serializing_if = "Option::is_none")]
    #[serde(deserialize_with = "maybe_number")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts. Versions
    /// that don't know it never meet a record in which it stands.
    #[serde(skip_serializing_if = "names_nobody")]
    pub prereqs: Option<Vec<String>>,
}

fn names_nobody(prereqs: &Option<Vec<String>>) -> bool {
    prereqs.as_ref().is_none_or(Vec::is_empty)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Array,
    Gang,
    Service,
}

/// Ordered: a greater priority goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    Low,
    Normal,
    High,
    Production,
}

/// A checked job, with names as indices.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    pub class: ClassIx,
    pub team: TeamIx,
    pub kind: Kind,
    pub priority: Priority,
    pub tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image: ImageIx,
    pub image_gb: f64,
    pub types: Option<Vec<TypeIx>>,
    pub zone: Option<ZoneIx>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub estimate_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
    pub deadline_s: Option<f64>,
    /// When it is long overdue: half as much again.
    pub overdue_s: Option<f64>,
}

impl JobSpec {
    /// Most of this job's tasks in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    pub fn allows_type(&self, t: TypeIx) -> bool {
        self.types.as_ref().is_none_or(|l| l.contains(&t))
    }
}

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// 400
    #[error("{0}")]
    Malformed(&'static str),
    /// 422
    #[error("{0}")]
    NeverRuns(&'static str),
}

/// Ids come "always in this form": letters, then digits, with a dash between.
pub fn valid_id(id: &str) -> bool {
    let Some((head, digits)) = id.rsplit_once('-') else { return false };
    id.len() <= 64
        && !head.is_empty()
        && head.bytes().all(|b| b.is_ascii_lowercase() || b == b'-')
        && !digits.is_empty()
        && digits.bytes().all(|b| b.is_ascii_digit())
}

fn need<T>(v: Option<T>, name: &'static str) -> Result<T, Refusal> {
    v.ok_or(Refusal::Malformed(name))
}

fn amount(v: Option<f64>, name: &'static str) -> Result<f64, Refusal> {
    match v {
        Some(x) if x.is_finite() && (0.0..1e12).contains(&x) => Ok(x),
        _ => Err(Refusal::Malformed(name)),
    }
}

fn text(v: &Option<String>, name: &'static str) -> Result<String, Refusal> {
    match v {
        Some(s) if !s.is_empty() && s.len() <= 256 => Ok(s.clone()),
        _ => Err(Refusal::Malformed(name)),
    }
}

impl Submission {
    pub fn prereqs(&self) -> &[String] {
        self.prereqs.as_deref().unwrap_or_default()
    }

    /// Names each prerequisite once, in the order in which they came.
    pub fn fold_prereqs(&mut self) {
        let mut seen = HashSet::new();
        if let Some(l) = &mut self.prereqs {
            l.retain(|id| seen.insert(id.clone()));
        }
        self.prereqs = self.prereqs.take().filter(|l| !l.is_empty());
    }

    /// Checks form only. The team must be known to give an index: an unknown
    /// one is `NeverRuns`, and comes after everything malformed. `accepted`
    /// jobs come from records: their names are taken as they are, since types
    /// may not be known yet when records are read.
    pub fn check(&self, tables: &mut Tables, accepted: bool) -> Result<JobSpec, Refusal> {
        let id = text(&self.name_id, "nameId")?;
        if !valid_id(&id) {
            return Err(Refusal::Malformed("nameId"));
        }
        let class = text(&self.class, "lane")?;
        let team = text(&self.team, "owner")?;
        let kind = match text(&self.kind, "shape")?.as_str() {
            "batch" => Kind::Array,
            "ensemble" => Kind::Gang,
            "service" => Kind::Service,
            _ => return Err(Refusal::Malformed("shape")),
        };
        let priority = match text(&self.priority, "rank")?.as_str() {
            "prod" => Priority::Production,
            "high" => Priority::High,
            "normal" => Priority::Normal,
            "low" => Priority::Low,
            _ => return Err(Refusal::Malformed("rank")),
        };
        let tasks = need(self.tasks, "pieces")?;
        if !(tasks >= 1.0 && tasks <= f64::from(MAX_TASKS) && tasks.fract() == 0.0) {
            return Err(Refusal::Malformed("pieces"));
        }
        let cpus = amount(self.cpus, "cpus")?;
        let gpus = amount(self.gpus, "cards")?;
        let memory_gb = amount(self.memory_gb, "memoryGb")?;
        let image = text(&self.image, "bundle")?;
        let image_gb = amount(self.image_gb, "imageGb")?;
        let types = match &self.types {
            None => None,
            Some(l) if l.is_empty() || l.len() > 64 => return Err(Refusal::Malformed("breeds")),
            Some(l) => {
                let mut out = Vec::with_capacity(l.len());
                for t in l {
                    if t.is_empty() || t.len() > 256 {
                        return Err(Refusal::Malformed("breeds"));
                    }
                    // A type that isn't known stays out of the tables: it fits nothing.
                    out.push(if accepted {
                        tables.types.intern(t)
                    } else {
                        tables.types.find(t).unwrap_or(TypeIx(u32::MAX))
                    });
                }
                Some(out)
            }
        };
        let zone = match &self.zone {
            None => None,
            Some(z) if z.is_empty() || z.len() > 256 => return Err(Refusal::Malformed("yard")),
            Some(z) if accepted => Some(tables.zones.intern(z)),
            Some(z) => Some(tables.zones.find(z).unwrap_or(ZoneIx(u32::MAX))),
        };
        let one_zone = need(self.one_zone, "samePlace")?;
        let spread = need(self.spread, "scatter")?;
        let spot = need(self.spot, "loaners")?;
        let estimate_s = amount(self.estimate_s, "guessS")?;
        let checkpoint_s = amount(self.checkpoint_s, "bookmarkS")?;
        let save_s = amount(self.save_s, "stashS")?;
        let deadline_s = match self.deadline_s {
            None => None,
            some => Some(amount(some, "dueS")?),
        };
        if self.prereqs().iter().any(|p| !valid_id(p) || *p == id) {
            return Err(Refusal::Malformed("prereqs"));
        }
        let team = match tables.teams.find(&team) {
            Some(ix) => ix,
            None if accepted => tables.teams.intern(&team),
            None => return Err(Refusal::NeverRuns("unknown team")),
        };
        Ok(JobSpec {
            class: tables.classes.intern(&class),
            team,
            kind,
            priority,
            tasks: tasks as u32,
            cpus,
            gpus,
            memory_gb,
            image: tables.images.intern(&image),
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
            overdue_s: deadline_s.map(|d| d * OVERDUE),
        })
    }
}

/// What `POST /api/jobs` and `/abort` answer.
#[derive(Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct JobAnswer<'a> {
    pub name_id: &'a str,
    pub status: &'a str,
}

/// What `GET /api/jobs/{id}` answers.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PollAnswer<'a> {
    pub name_id: &'a str,
    pub status: &'a str,
    pub done: u32,
    pub running: u32,
}

#[cfg(test)]
#[path = "tests/jobs.rs"]
pub mod tests;
