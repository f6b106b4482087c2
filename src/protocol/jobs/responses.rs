//! Answers to the users' requests about jobs.

use serde::{Deserialize, Serialize};

/// The answer to `POST /api/jobs` and to `/abort`.
#[derive(Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct JobResponse<'a> {
    /// The job's id.
    pub name_id: &'a str,
    /// `pending`, `running`, `done` or `cancelled`.
    pub status: &'a str,
}

/// The answer to `GET /api/jobs/{id}`.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PollResponse<'a> {
    /// The job's id.
    pub name_id: &'a str,
    /// `pending`, `running`, `done` or `cancelled`.
    pub status: &'a str,
    /// Tasks that are done, for display.
    pub done: u32,
    /// Tasks that run, for display.
    pub running: u32,
}
