//! Users' requests that wait for the read barrier.

use std::rc::Rc;

use crate::{storage::records::JobRecord, transport::ConnId};

/// A user's request, to be answered after the next read of the jobs' changes.
#[derive(Debug)]
pub(super) enum Waiter {
    /// A question for a job's status.
    Poll { conn: ConnId, id: String },
    /// A submission of a job that exists.
    Known { conn: ConnId, id: String },
    /// A submission that is refused for good, unless the job exists.
    Refuse { conn: ConnId, id: String, status: u16, why: &'static str },
    /// A submission with prerequisites, of which some are unknown here or
    /// changed lately.
    Dependent { conn: ConnId, id: String, record: Rc<JobRecord>, tries: u32 },
    /// A cancellation.
    Abort { conn: ConnId, id: String, tries: u32 },
}

impl Waiter {
    /// The connection of the user.
    pub fn conn(&self) -> ConnId {
        match self {
            Waiter::Poll { conn, .. }
            | Waiter::Known { conn, .. }
            | Waiter::Refuse { conn, .. }
            | Waiter::Dependent { conn, .. }
            | Waiter::Abort { conn, .. } => *conn,
        }
    }
}
