//! What a controller does while it leads.

use std::collections::HashSet;

use super::wiring::{wall_ms, Node};
use crate::{
    bookkeeping::budget::Urgency,
    coordination::{leader::Leader, model::Ms},
    transport::Net,
};

/// Pause, in ms, between two scheduling passes that are needed.
const PASS_GAP_MS: Ms = 40;
/// The same while writes are scarce: a pass then places more at a time, so that
/// each write carries more.
const SCARCE_PASS_GAP_MS: Ms = 300;
/// Longest time, in ms, without a scheduling pass.
const MAX_PASS_GAP_MS: Ms = 1_000;
/// Writes are scarce while less than this share of their burst is available.
const SCARCE_WRITES: f64 = 0.4;
/// A leader that hardly any worker has reached for this long, in ms, may resign.
const UNREACHED_MS: Ms = 8_000;
/// Interval, in ms, of the checks whether to resign: they look at all machines.
const RESIGN_CHECK_MS: Ms = 500;
/// What a peer says of rejected reports counts for this long, in ms.
const PEER_REPORTS_MS: Ms = 2_000;
/// Rejected reports at one peer that show that workers are there.
const MIN_REJECTED_REPORTS: u32 = 2;

impl Node {
    /// Does all that is due if this controller leads.
    pub(super) fn lead(&mut self, net: &mut Net) {
        let now = net.now();
        let leading = self.election.leading(now);
        self.set_budgets(now, leading.is_some());
        self.drop_lost_leadership();
        let Some(stamp) = leading else { return };
        if self.types.is_empty() || !self.job_cache.loaded() {
            return;
        }
        if self.leader.is_none() {
            self.begin_leadership(now, stamp);
        }
        self.feed_leader(now);
        if self.leader.as_ref().is_some_and(|leader| !leader.loaded) {
            return self.load_tasks(net, now, stamp);
        }
        self.schedule(now);
        self.commit(net, stamp);
        if let Some(leader) = &mut self.leader {
            leader.push_orders(now);
        }
        self.carry_out_effects(net, stamp);
        self.resign_if_useless(net, now);
    }

    fn drop_lost_leadership(&mut self) {
        let Some(leader) = &self.leader else { return };
        if self.election.holds_key() != Some(leader.stamp) {
            tracing::warn!(stamp = leader.stamp, "no longer leading");
            self.leader = None;
        }
    }

    fn begin_leadership(&mut self, now: Ms, stamp: u64) {
        tracing::info!(stamp, "elected");
        let config = self.leader_config();
        // The nonce is of this leadership alone, so that names of rental requests
        // never repeat.
        let nonce = rand::random();
        self.leader = Some(Leader::new(config, stamp, nonce, now, self.types.clone()));
        self.task_loading.restart(now);
    }

    /// Hands changed job records on to the leader.
    pub(super) fn feed_leader(&mut self, now: Ms) {
        let changed = self.job_cache.take_changed();
        let Some(leader) = &mut self.leader else { return };
        let mut seen = HashSet::new();
        for job in changed {
            if seen.insert(job) {
                leader.job_update(now, wall_ms(), job, &self.job_cache);
            }
        }
    }

    /// Advances leases, the fleet and the schedule.
    fn schedule(&mut self, now: Ms) {
        let Some(leader) = &mut self.leader else { return };
        leader.may_reshard = self.versions.is_complete();
        // Leases that this controller renewed before it led count like its peers'.
        let mut no_peer_renewals = self.peers.inactivity.span();
        no_peer_renewals.from = no_peer_renewals.from.max(self.renewal_right.last as i64);
        leader.no_peer_renewals = no_peer_renewals;
        leader.sweep(now);
        leader.fleet_step(now, &self.tables);

        let commits = &mut self.budgets.commits;
        let scarce = commits.available(now, Urgency::Commit) < SCARCE_WRITES * commits.burst();
        let min_gap_ms = if scarce { SCARCE_PASS_GAP_MS } else { PASS_GAP_MS };
        if leader.needs_pass(now, min_gap_ms, MAX_PASS_GAP_MS) {
            leader.pass(now);
        }
    }

    /// Resigns if another controller, or another leadership, would serve better.
    fn resign_if_useless(&mut self, net: &mut Net, now: Ms) {
        let Some(leader) = &self.leader else { return };
        if now < self.next_resign_check {
            return;
        }
        self.next_resign_check = now + RESIGN_CHECK_MS;
        if leader.tokens_spent() {
            tracing::info!("a worker's tokens are spent: a new leadership begins");
            return self.resign(net, now);
        }
        let unreached = now > leader.started + UNREACHED_MS && leader.is_unreached(now, UNREACHED_MS);
        let reach_others = self
            .peers
            .list
            .iter()
            .any(|peer| peer.heard_within(now, PEER_REPORTS_MS) && peer.rejected_reports >= MIN_REJECTED_REPORTS);
        if unreached && reach_others {
            tracing::warn!("hardly a worker reaches this controller, others they do: giving way");
            self.resign(net, now);
        }
    }
}
