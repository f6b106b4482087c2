//! Passes the result of each call on to the component that waits for it.

use super::Controller;
use crate::{
    controller::{
        leader_key_watch::KeyObservers,
        role::Role,
        service_client::{CallResult, JobsCall, PendingCall},
    },
    coordination::model::{Millis, Term},
    transport::{http::status::TOO_MANY_REQUESTS, Net},
};

impl Controller {
    /// Handles the result of a call.
    pub(super) fn handle_reply(&mut self, net: &mut Net, pending: PendingCall, result: &CallResult) {
        let now = net.now();
        if pending.reflects_store_health() {
            self.record_store_reply(now, result);
        }
        match pending {
            PendingCall::Election(call) => self.election.handle_reply(now, &call, result),
            PendingCall::RenewalKey(call) => self.renewal_key.handle_reply(now, &call, result),
            PendingCall::LeaderKey(call) => {
                let mut observers = KeyObservers {
                    election: &mut self.election,
                    renewal_key: &mut self.renewal_key,
                    peers: &mut self.peers,
                };
                self.leader_key.handle_reply(now, &call, result, &mut observers);
            }
            PendingCall::Version(call) => self.versions.handle_reply(now, &call, result),
            PendingCall::Jobs(call) => self.handle_jobs_reply(net, now, &call, result),
            PendingCall::User(call) => {
                let (users, mut context) = self.user_api(net);
                users.handle_reply(&mut context, call, result);
            }
            PendingCall::Leader { term, call } => {
                let (leadership, mut context) = self.leadership(net);
                leadership.handle_reply(&mut context, now, term, call, result);
            }
            PendingCall::MachineTypes => {
                if self.machine_types.update(now, result, &mut self.names) {
                    self.leadership.set_machine_types(self.machine_types.types());
                }
            }
        }
    }

    /// Records whether the key-value store responded to a request, and adjusts the budgets
    /// if it responded with 429.
    pub(super) fn record_store_reply(&mut self, now: Millis, result: &CallResult) {
        if result.as_ref().is_ok_and(|reply| reply.status == TOO_MANY_REQUESTS) {
            self.client.budgets().record_refused_read(now);
            // The budgets keep this controller below the current limits, so a 429 shows that
            // the limits were lowered.
            self.client.budgets().lower_limits();
        }
        self.store_health.record(now, result);
    }

    fn handle_jobs_reply(&mut self, net: &mut Net, now: Millis, call: &JobsCall, result: &CallResult) {
        match *call {
            JobsCall::Page { is_first } => self.jobs.page_received(now, is_first, result, &mut self.names),
            JobsCall::Watch { sent_at } => {
                let applied = self.apply_job_changes(sent_at, result);
                let role = Role::from_leading(self.leadership.leader().is_some());
                self.jobs.watch_ended(now, applied, role);
            }
            JobsCall::LeaderSync { term, sent_at } => self.leader_jobs_synced(now, term, sent_at, result),
            JobsCall::ReadBarrier { sent_at } => {
                let applied = self.apply_job_changes(sent_at, result);
                let (users, mut context) = self.user_api(net);
                users.read_barrier_ended(&mut context, now, applied);
            }
        }
    }

    fn leader_jobs_synced(&mut self, now: Millis, term: Term, sent_at: Millis, result: &CallResult) {
        if self.leadership.leader_of(term).is_some() {
            let synced = self.apply_job_changes(sent_at, result);
            self.leadership.jobs_synced(now, synced);
        }
    }

    /// Applies the result of a read of the jobs' changes that was sent at `sent_at`.
    /// Returns whether the cache now includes all changes up to that time.
    pub(super) fn apply_job_changes(&mut self, sent_at: Millis, result: &CallResult) -> bool {
        let applied = self.jobs.apply_changes(result, &mut self.names);
        if applied {
            self.renewal_key.record_job_read(sent_at);
        }
        applied
    }
}
