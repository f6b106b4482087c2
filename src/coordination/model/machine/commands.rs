//! Commands to a machine that may still be in flight.

use crate::{
    coordination::model::{CallId, DirectCall, ExitRecord, Millis, PendingReap},
    protocol::{ids::Attempt, workers::TaskStatus},
    storage::job_cache::JobIndex,
};

/// Commands to a machine that may still be in flight, and exits to be reaped.
#[derive(Debug)]
pub struct CommandState {
    /// Exited or orphaned tasks that the worker still lists.
    pub pending_reaps: Vec<PendingReap>,
    /// Whether a task was added to them since the token was last raised for that.
    reap_added: bool,
    /// The direct call in flight, if any.
    pub direct_call: Option<DirectCall>,
    /// No direct call is made before this time.
    direct_calls_paused_until: Millis,
    /// Whether the response to the last heartbeat carried launches and no heartbeat was
    /// received since.
    pub(super) launch_in_response: bool,
}

impl CommandState {
    pub(super) fn new() -> CommandState {
        CommandState {
            pending_reaps: Vec::new(),
            reap_added: false,
            direct_call: None,
            direct_calls_paused_until: 0,
            launch_in_response: false,
        }
    }

    /// Returns the time until which direct calls are paused. They are not paused if it is
    /// in the past.
    pub fn direct_calls_paused_until(&self) -> Millis {
        self.direct_calls_paused_until
    }

    /// Pauses direct calls until `until`.
    pub fn pause_direct_calls(&mut self, until: Millis) {
        self.direct_calls_paused_until = until;
    }

    /// Removes and returns the direct call in flight if it has this number.
    pub fn end_direct_call(&mut self, id: CallId) -> Option<DirectCall> {
        self.direct_call.take_if(|call| call.id == id)
    }

    /// Records whether the response to the last heartbeat may still deliver launches.
    pub fn set_launch_in_response(&mut self, launch_in_response: bool) {
        self.launch_in_response = launch_in_response;
    }

    /// Reports whether the response to the last heartbeat may still deliver launches.
    pub fn has_launch_in_response(&self) -> bool {
        self.launch_in_response
    }

    /// Adds an attempt to those to be reaped. The worker lists the attempt, but it has no
    /// assignment.
    pub fn add_pending_reap(&mut self, status: &TaskStatus, job: JobIndex, record: ExitRecord) {
        let (task, attempt) = (status.task.clone(), status.attempt);
        self.pending_reaps.push(PendingReap { task, attempt, job, record });
        self.reap_added = true;
    }

    /// Returns whether an attempt to be reaped was added since the last call.
    pub fn take_reap_added(&mut self) -> bool {
        std::mem::take(&mut self.reap_added)
    }

    /// Reports whether this attempt is among those to be reaped.
    pub fn is_pending_reap(&self, task: &str, attempt: Attempt) -> bool {
        self.pending_reaps.iter().any(|exit| exit.task == task && exit.attempt == attempt)
    }
}
