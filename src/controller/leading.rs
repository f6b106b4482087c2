//! What a controller does while it leads.

use std::collections::HashSet;

use super::wiring::{wall_ms, Controller};
use crate::{
    coordination::{
        leader::Leader,
        model::{Millis, Term},
    },
    storage::budget::Urgency,
    transport::Net,
};

/// Pause, in ms, between two scheduling cycle that are needed.
const CYCLE_GAP_MS: Millis = 40;
/// The same while writes are scarce: a scheduling cycle then places more at a time, so that
/// each write carries more.
const SCARCE_CYCLE_GAP_MS: Millis = 300;
/// Longest time, in ms, without a scheduling cycle.
const MAX_CYCLE_GAP_MS: Millis = 1_000;
/// Writes are scarce while less than this share of their burst is available.
const SCARCE_WRITES: f64 = 0.4;
/// A leader that hardly any worker has reached for this long, in ms, may step down.
const UNREACHED_MS: Millis = 8_000;
/// Interval, in ms, of the checks whether to step down: they look at all machines.
const STEP_DOWN_CHECK_MS: Millis = 500;
/// What a peer says of rejected heartbeats counts for this long, in ms.
const PEER_HEARTBEATS_MS: Millis = 2_000;
/// Rejected reports at one peer that show that workers are there.
const MIN_REJECTED_HEARTBEATS: u32 = 2;

impl Controller {
    /// Does all that is due if this controller leads.
    pub(super) fn lead(&mut self, net: &mut Net) {
        let now = net.now();
        let leading = self.election.leading(now);
        self.set_budgets(now, leading.is_some());
        self.drop_lost_leadership();
        let Some(term) = leading else { return };
        if self.types.is_empty() || !self.job_cache.loaded() {
            return;
        }
        if self.leader.is_none() {
            self.begin_leadership(now, term);
        }
        self.sync_jobs_to_leader(now);
        if self.leader.as_ref().is_some_and(|leader| !leader.loaded) {
            return self.load_tasks(net, now, term);
        }
        self.schedule(now);
        self.commit(net, term);
        if let Some(leader) = &mut self.leader {
            leader.dispatch_commands(now);
        }
        self.carry_out_effects(net, term);
        self.step_down_if_unfit(net, now);
    }

    fn drop_lost_leadership(&mut self) {
        let Some(leader) = &self.leader else { return };
        if self.election.holds_key() != Some(leader.term) {
            tracing::warn!(term = %leader.term, "no longer leading");
            self.leader = None;
        }
    }

    fn begin_leadership(&mut self, now: Millis, term: Term) {
        tracing::info!(%term, "elected");
        let config = self.leader_config();
        // The nonce is of this leadership alone, so that names of rental requests
        // never repeat.
        let nonce = rand::random();
        self.leader = Some(Leader::new(config, term, nonce, now, self.types.clone()));
        self.task_loading.restart(now);
    }

    /// Hands changed job records on to the leader.
    pub(super) fn sync_jobs_to_leader(&mut self, now: Millis) {
        let changed = self.job_cache.take_changed();
        let Some(leader) = &mut self.leader else { return };
        let mut seen = HashSet::new();
        for job in changed {
            if seen.insert(job) {
                leader.job_update(now, wall_ms(), job, &self.job_cache);
            }
        }
    }

    /// Advances leases, the autoscaler and the schedule.
    fn schedule(&mut self, now: Millis) {
        let Some(leader) = &mut self.leader else { return };
        leader.may_reshard = self.versions.is_complete();
        // Leases that this controller renewed before it led count like its peers'.
        let mut no_peer_renewals = self.peers.inactivity.span();
        no_peer_renewals.from = no_peer_renewals.from.max(self.renewal_right.last_leaderless_renewal() as i64);
        leader.no_peer_renewals = no_peer_renewals;
        leader.sweep(now);
        leader.autoscale(now, &self.tables);

        let commits = &mut self.budgets.commits;
        let scarce = commits.available(now, Urgency::Commit) < SCARCE_WRITES * commits.burst();
        let min_gap_ms = if scarce { SCARCE_CYCLE_GAP_MS } else { CYCLE_GAP_MS };
        if leader.is_cycle_due(now, min_gap_ms, MAX_CYCLE_GAP_MS) {
            leader.pass(now);
        }
    }

    /// steps down if another controller, or another leadership, would serve better.
    fn step_down_if_unfit(&mut self, net: &mut Net, now: Millis) {
        let Some(leader) = &self.leader else { return };
        if now < self.next_step_down_check {
            return;
        }
        self.next_step_down_check = now + STEP_DOWN_CHECK_MS;
        if leader.tokens_exhausted() {
            tracing::info!("a worker's tokens are spent: a new leadership begins");
            return self.step_down(net, now);
        }
        let unreached = now > leader.started + UNREACHED_MS && leader.is_unreached(now, UNREACHED_MS);
        let reach_others = self.peers.list.iter().any(|peer| {
            peer.heard_within(now, PEER_HEARTBEATS_MS) && peer.rejected_heartbeats >= MIN_REJECTED_HEARTBEATS
        });
        if unreached && reach_others {
            tracing::warn!("hardly a worker reaches this controller, others they do: giving way");
            self.step_down(net, now);
        }
    }
}
