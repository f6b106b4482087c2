//! What users' requests are served with, and the forms of the answers.

use crate::{
    controller::{job_watch::JobWatch, peers::Peers, service_client::ServiceClient},
    coordination::model::MachineTypeSpec,
    protocol::{
        cbor,
        jobs::{JobResponse, PollResponse},
        names::Interners,
    },
    storage::{
        job_cache::{JobEntry, JobIndex},
        records::JobStatus,
    },
    transport::{http::status::OK, ConnectionId, Net},
};

/// The components that users' requests are served with.
pub struct UserContext<'a> {
    /// The sockets.
    pub net: &'a mut Net,
    /// Requests to the outside services, and their budgets.
    pub client: &'a mut ServiceClient,
    /// The jobs' records.
    pub jobs: &'a mut JobWatch,
    /// Interned names.
    pub names: &'a mut Interners,
    /// The other controllers.
    pub peers: &'a mut Peers,
    /// The machine types that the cloud offers; none before they were read.
    pub machine_types: &'a [MachineTypeSpec],
    /// All controllers are known to run this version.
    pub all_upgraded: bool,
}

impl UserContext<'_> {
    /// Answers with no body.
    pub(super) fn respond_empty(&mut self, conn: ConnectionId, status: u16) {
        self.net.respond(conn, status, None, b"");
    }

    /// Answers with the state of a job.
    pub(super) fn respond_job(&mut self, conn: ConnectionId, code: u16, id: &str, status: &str) {
        self.net.respond(conn, code, None, &cbor::encode(&JobResponse { name_id: id, status }));
    }

    /// Answers 200 with the state of a known job.
    pub(super) fn respond_known_job(&mut self, conn: ConnectionId, index: JobIndex) {
        let entry = self.jobs.cache().get(index);
        let answer = JobResponse { name_id: &entry.id, status: status_word(entry) };
        self.net.respond(conn, OK, None, &cbor::encode(&answer));
    }

    /// Answers 200 with the state and the task counts of a known job.
    pub(super) fn respond_poll(&mut self, conn: ConnectionId, index: JobIndex) {
        let entry = self.jobs.cache().get(index);
        let answer =
            PollResponse { name_id: &entry.id, status: status_word(entry), done: entry.done, running: entry.running };
        self.net.respond(conn, OK, None, &cbor::encode(&answer));
    }

    /// Looks a job up by its id.
    pub(super) fn find(&self, id: &str) -> Option<JobIndex> {
        self.jobs.cache().find(id)
    }

    /// Whether a job is done or cancelled.
    pub(super) fn is_over(&self, index: JobIndex) -> bool {
        self.jobs.cache().get(index).status != JobStatus::Pending
    }
}

/// The word for the state of a job.
pub(super) fn status_word(entry: &JobEntry) -> &'static str {
    match entry.status {
        JobStatus::Done => "done",
        JobStatus::Cancelled => "cancelled",
        JobStatus::Pending if entry.running > 0 => "running",
        JobStatus::Pending => "pending",
    }
}
