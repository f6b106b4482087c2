//! Job submissions, as users send them.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use crate::protocol::cbor::optional_number;

/// Body of `POST /api/jobs` as it was received. It is also stored in the job's
/// record, so the serialized names are part of the stored format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Submission {
    /// Unique job id, chosen by the user; a retry of the request uses the same id.
    pub name_id: Option<String>,
    /// Class of the job; service objectives refer to it.
    #[serde(rename = "lane")]
    pub class: Option<String>,
    /// Team whose quota applies.
    #[serde(rename = "owner")]
    pub team: Option<String>,
    /// Kind of the job: `batch`, `ensemble` or `service`.
    #[serde(rename = "shape")]
    pub kind: Option<String>,
    /// Scheduling priority: `low`, `normal`, `high` or `prod`.
    #[serde(rename = "rank")]
    pub priority: Option<String>,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    #[serde(deserialize_with = "optional_number")]
    pub tasks: Option<f64>,
    /// CPUs of each task.
    #[serde(deserialize_with = "optional_number")]
    pub cpus: Option<f64>,
    /// GPUs of each task.
    #[serde(rename = "cards")]
    #[serde(deserialize_with = "optional_number")]
    pub gpus: Option<f64>,
    /// Memory of each task, in GB.
    #[serde(deserialize_with = "optional_number")]
    pub memory_gb: Option<f64>,
    /// Image that a machine needs before a task can start.
    #[serde(rename = "bundle")]
    pub image: Option<String>,
    /// Size of the image, in GB.
    #[serde(deserialize_with = "optional_number")]
    pub image_gb: Option<f64>,
    /// Allowed machine types; absent: any.
    #[serde(rename = "breeds", skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone; absent: any.
    #[serde(rename = "yard", skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must be in the same zone.
    #[serde(rename = "samePlace")]
    pub one_zone: Option<bool>,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub spread: Option<bool>,
    /// Whether spot machines are allowed.
    #[serde(rename = "loaners")]
    pub spot: Option<bool>,
    /// The owner's estimate of a task's run time, in seconds; 0 for services.
    #[serde(rename = "guessS")]
    #[serde(deserialize_with = "optional_number")]
    pub estimate_s: Option<f64>,
    /// Run time between two checkpoints, in seconds; 0: the task never saves its state.
    #[serde(rename = "bookmarkS")]
    #[serde(deserialize_with = "optional_number")]
    pub checkpoint_s: Option<f64>,
    /// Time that a task needs to save its state when it is stopped, in seconds.
    #[serde(rename = "stashS")]
    #[serde(deserialize_with = "optional_number")]
    pub save_s: Option<f64>,
    /// Deadline, in seconds from the submission; absent: none.
    #[serde(rename = "dueS", skip_serializing_if = "Option::is_none")]
    #[serde(deserialize_with = "optional_number")]
    pub deadline_s: Option<f64>,
    /// Ids of jobs that must be done before any task of this one starts. Versions that
    /// don't support prerequisites never read a record that contains this field.
    #[serde(skip_serializing_if = "has_no_prereqs")]
    pub prereqs: Option<Vec<String>>,
}

/// Reports whether there are no prerequisites, for `skip_serializing_if`, which
/// passes a reference to the field.
#[allow(clippy::ref_option, reason = "serde prescribes the signature")]
fn has_no_prereqs(prereqs: &Option<Vec<String>>) -> bool {
    prereqs.as_ref().is_none_or(Vec::is_empty)
}

impl Submission {
    /// Returns the ids of the jobs that must be done before this one may start.
    pub fn prereqs(&self) -> &[String] {
        self.prereqs.as_deref().unwrap_or_default()
    }

    /// Removes duplicate prerequisites and keeps their order; an empty list
    /// becomes `None`.
    pub fn remove_duplicate_prereqs(&mut self) {
        let mut seen = HashSet::new();
        if let Some(prereqs) = &mut self.prereqs {
            prereqs.retain(|id| seen.insert(id.clone()));
        }
        self.prereqs = self.prereqs.take().filter(|prereqs| !prereqs.is_empty());
    }
}
