//! The components that serve users' requests, and the responses to users.

use crate::{
    controller::{job_watch::JobWatch, peers::Peers, service_client::ServiceClient},
    coordination::model::MachineTypeSpec,
    protocol::{
        cbor,
        jobs::{JobResponse, PollResponse},
        names::Interners,
    },
    storage::{
        job_cache::{JobEntry, JobIndex, JobProgress},
        records::JobStatus,
    },
    transport::{http::status::OK, ConnectionId, Net},
};

/// The components that serve users' requests.
pub struct UserContext<'a> {
    /// Sockets, through which responses and calls are sent.
    pub net: &'a mut Net,
    /// Client of the key-value store and the other outside services, with its budgets.
    pub client: &'a mut ServiceClient,
    /// Job cache and the reads that update it.
    pub jobs: &'a mut JobWatch,
    /// Interned names of teams, classes, zones, machine types and images.
    pub names: &'a mut Interners,
    /// The other controllers, which are notified of cancellations.
    pub peers: &'a mut Peers,
    /// Machine types that the cloud offers; empty before they were first read.
    pub machine_types: &'a [MachineTypeSpec],
    /// Whether all controllers are known to run this version.
    pub all_upgraded: bool,
}

impl UserContext<'_> {
    /// Responds with a status and no body.
    pub(super) fn respond_empty(&mut self, conn: ConnectionId, status: u16) {
        self.net.respond(conn, status, None, b"");
    }

    /// Responds with the state of a job; `code` is the HTTP status.
    pub(super) fn respond_job(&mut self, conn: ConnectionId, code: u16, id: &str, status: &str) {
        self.net.respond(conn, code, None, &cbor::encode(&JobResponse { name_id: id, status }));
    }

    /// Responds with 200 and the state of a known job.
    pub(super) fn respond_known_job(&mut self, conn: ConnectionId, index: JobIndex) {
        let entry = self.jobs.cache().get(index);
        let response = JobResponse { name_id: &entry.id, status: status_word(entry) };
        self.net.respond(conn, OK, None, &cbor::encode(&response));
    }

    /// Responds with 200, the state and the task counts of a known job.
    pub(super) fn respond_poll(&mut self, conn: ConnectionId, index: JobIndex) {
        let entry = self.jobs.cache().get(index);
        let JobProgress { done, running } = entry.progress();
        let response = PollResponse { name_id: &entry.id, status: status_word(entry), done, running };
        self.net.respond(conn, OK, None, &cbor::encode(&response));
    }

    /// Looks up a job in the cache by its id.
    pub(super) fn find(&self, id: &str) -> Option<JobIndex> {
        self.jobs.cache().find(id)
    }

    /// Reports whether a job is done or cancelled.
    pub(super) fn is_finished(&self, index: JobIndex) -> bool {
        self.jobs.cache().get(index).status != JobStatus::Pending
    }
}

/// Returns the word for the state of a job in responses to users.
pub(super) fn status_word(entry: &JobEntry) -> &'static str {
    match entry.status {
        JobStatus::Done => "done",
        JobStatus::Cancelled => "cancelled",
        JobStatus::Pending if entry.progress().running > 0 => "running",
        JobStatus::Pending => "pending",
    }
}
