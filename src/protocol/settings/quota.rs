//! What teams and classes of jobs are promised: quotas and service objectives.

use serde::Deserialize;

/// A team's quota: its guaranteed and largest amounts; 0: none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// CPUs that are guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs in use at once.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs that are guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs in use at once.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Whether any amount is guaranteed to the team.
    pub fn has_guarantee(&self) -> bool {
        self.cpus > 0.0 || self.gpus > 0.0
    }
}

/// What a service objective measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// The time until a job starts.
    Wait,
    /// The time until a job has finished.
    Finished,
    /// Anything else; scheduling has no use for it.
    #[serde(other)]
    Other,
}

/// A service objective: a share of a class of jobs within a time.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is measured.
    pub kind: ObjectiveKind,
    /// Name of the class of jobs; None if the objective names none.
    #[serde(default)]
    pub class: Option<String>,
    /// The time limit, in seconds; None if the objective has none.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of the jobs that must keep the time, from 0 to 1; None if it has none.
    #[serde(default)]
    pub share: Option<f64>,
}
