//! Responses to users' requests about jobs.

use serde::{Deserialize, Serialize};

/// Response to `POST /api/jobs` and to `/abort`.
#[derive(Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct JobResponse<'a> {
    /// Id of the job.
    pub name_id: &'a str,
    /// Status of the job: `pending`, `running`, `done` or `cancelled`.
    pub status: &'a str,
}

/// Response to `GET /api/jobs/{id}`.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PollResponse<'a> {
    /// Id of the job.
    pub name_id: &'a str,
    /// Status of the job: `pending`, `running`, `done` or `cancelled`.
    pub status: &'a str,
    /// Number of done tasks, for display only.
    pub done: u32,
    /// Number of running tasks, for display only.
    pub running: u32,
}
