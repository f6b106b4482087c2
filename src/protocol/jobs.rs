//! Interface for users: submissions, their validation, and the responses.
//!
//! A [`Submission`] holds the body that a user sent, with names and optional
//! fields; its validation yields a [`JobSpec`], with indices and checked amounts.

mod responses;
mod spec;
mod submission;
mod validation;

pub use self::{
    responses::{JobResponse, PollResponse},
    spec::{JobKind, JobSpec, Priority},
    submission::Submission,
    validation::{is_valid_job_id, SubmissionError, SubmissionSource, MAX_TASKS},
};

/// Tests of submissions, and a sample that other tests use.
#[cfg(test)]
#[path = "tests/jobs.rs"]
pub mod tests;
