//! What a controller does by itself at every turn of the event loop.

use super::wiring::Controller;
use crate::{coordination::model::Millis, transport::Net};

/// Interval, in ms, at which the outcomes of users' requests are logged.
const USER_SUMMARY_MS: Millis = 5_000;

// Longest waits for events, in ms: a leader has more to do by itself, most of
// all while a scheduling cycle is needed.
const CYCLE_WAIT_MS: u64 = 10;
const LEADER_WAIT_MS: u64 = 25;
const FOLLOWER_WAIT_MS: u64 = 50;

impl Controller {
    /// How long the event loop may wait for events before the next tick.
    pub(super) fn max_wait_ms(&self) -> u64 {
        match &self.leader {
            Some(leader) if leader.is_cycle_pending() => CYCLE_WAIT_MS,
            Some(_) => LEADER_WAIT_MS,
            None => FOLLOWER_WAIT_MS,
        }
    }

    /// Does all that is due.
    pub(super) fn tick(&mut self, net: &mut Net) {
        let now = net.now();
        self.refresh_leader_key(net, now);
        self.refresh_job_cache(net, now);
        self.refresh_machine_types(net, now);
        self.refresh_versions(net, now);
        if let Some(action) = self.election.tick(now) {
            self.perform_election_action(net, action);
        }
        if let Some(action) = self.renewal_right.tick(now) {
            self.perform_renewal_action(net, action);
        }
        self.lead(net);
        self.flush_read_barrier(net);
        self.gossip_if_due(net, now);
        if now >= self.next_user_summary {
            self.next_user_summary = now + USER_SUMMARY_MS;
            self.log_user_responses();
        }
    }
}
