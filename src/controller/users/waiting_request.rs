//! Users' requests that wait for the read barrier.

use crate::{controller::service_client::JobWrite, transport::ConnectionId};

/// A user's request that waits for the next read of the jobs' changes.
#[derive(Debug)]
pub(super) enum WaitingRequest {
    /// A query of a job's status.
    Poll { conn: ConnectionId, id: String },
    /// A submission of a job that exists already.
    Resubmit { conn: ConnectionId, id: String },
    /// A submission that is rejected permanently, unless the job exists already.
    Reject { conn: ConnectionId, id: String, status: u16, reason: &'static str },
    /// A submission with prerequisites, some of which are unknown to this controller, are
    /// services, or have changed recently.
    SubmitWithPrereqs(JobWrite),
    /// A cancellation.
    Cancel { conn: ConnectionId, id: String, retries: u32 },
}

impl WaitingRequest {
    /// Returns the connection on which the user waits for the response.
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
