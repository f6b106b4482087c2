//! Users' requests that wait for the read barrier.

use crate::{controller::service_client::JobWrite, transport::ConnectionId};

/// A user's request, to be answered after the next read of the jobs' changes.
#[derive(Debug)]
pub(super) enum WaitingRequest {
    /// A question for a job's status.
    Poll { conn: ConnectionId, id: String },
    /// A submission of a job that exists.
    Resubmit { conn: ConnectionId, id: String },
    /// A submission that is refused for good, unless the job exists.
    Reject { conn: ConnectionId, id: String, status: u16, reason: &'static str },
    /// A submission with prerequisites, of which some are unknown here or
    /// changed lately.
    SubmitWithPrereqs(JobWrite),
    /// A cancellation.
    Cancel { conn: ConnectionId, id: String, retries: u32 },
}

impl WaitingRequest {
    /// The connection of the user.
    pub(super) fn conn(&self) -> ConnectionId {
        match self {
            WaitingRequest::Poll { conn, .. }
            | WaitingRequest::Resubmit { conn, .. }
            | WaitingRequest::Reject { conn, .. }
            | WaitingRequest::SubmitWithPrereqs(JobWrite { conn, .. })
            | WaitingRequest::Cancel { conn, .. } => *conn,
        }
    }
}
