//! Quotas of teams and service objectives of job classes.

use serde::Deserialize;

/// Quota of a team: guaranteed and maximum amounts. 0 means no guarantee, or no maximum.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed number of CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPUs in use at once.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed number of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs in use at once.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Reports whether any amount is guaranteed to the team.
    pub fn has_guarantee(&self) -> bool {
        self.cpus > 0.0 || self.gpus > 0.0
    }
}

/// Quantity that a service objective limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// Time until a job starts.
    Wait,
    /// Time until a job has completed.
    Finished,
    /// Any other kind; scheduling ignores it.
    #[serde(other)]
    Other,
}

/// Service objective: a share of the jobs of a class must meet a time limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Quantity that the objective limits.
    pub kind: ObjectiveKind,
    /// Name of the job class; `None` if the objective names none.
    #[serde(default)]
    pub class: Option<String>,
    /// Time limit in seconds; `None` if the objective has none.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of the jobs that must meet the time limit, from 0 to 1; `None` if the
    /// objective has none.
    #[serde(default)]
    pub share: Option<f64>,
}
