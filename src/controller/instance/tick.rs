//! The periodic duties of a controller, which run at every iteration of the event loop.

use super::Controller;
use crate::{
    controller::{
        leadership::{leader_config, PeerView},
        peers::LocalState,
        role::Role,
    },
    coordination::{lease_renewal::TimeSpan, model::Millis},
    transport::Net,
};

// Longest waits for events, in ms. A leader has more periodic duties than a follower, most
// of all while a scheduling cycle is pending.
const CYCLE_WAIT_MS: u64 = 10;
const LEADER_WAIT_MS: u64 = 25;
const FOLLOWER_WAIT_MS: u64 = 50;
/// Largest number of jobs whose task counts one gossip frame reports. Two such frames fit
/// into the queue of a link to a peer.
pub(super) const MAX_GOSSIP_COUNTS: usize = 8_000;

impl Controller {
    /// Returns how long, in ms, the event loop may wait for events before the next tick.
    pub(in crate::controller) fn max_wait_ms(&self) -> u64 {
        match self.leadership.leader() {
            Some(leader) if leader.is_cycle_pending() => CYCLE_WAIT_MS,
            Some(_) => LEADER_WAIT_MS,
            None => FOLLOWER_WAIT_MS,
        }
    }

    /// Performs all periodic duties that are due.
    pub(in crate::controller) fn tick(&mut self, net: &mut Net) {
        let now = net.now();
        self.leader_key.refresh(net, now, &mut self.client);
        self.jobs.refresh(net, now, &mut self.client, self.renewal_key.read_validity_ms());
        self.machine_types.refresh(net, now, &mut self.client);
        self.versions.refresh(net, now, &mut self.client);
        self.election.tick(net, now, &mut self.client);
        self.renewal_key.tick(net, now, &mut self.client);
        self.run_leader(net);
        let (users, mut context) = self.user_api(net);
        users.flush_read_barrier(&mut context);
        self.gossip(net, now);
        self.users.log_statistics_if_due(now);
    }

    /// Performs the leader's duties that are due, if this controller leads. Whether or not it
    /// leads, sets its shares of the rate limits, and ends a leadership whose term it no
    /// longer holds.
    fn run_leader(&mut self, net: &mut Net) {
        let now = net.now();
        let leading = self.election.leading_term(now);
        self.set_budget_shares(now, Role::from_leading(leading.is_some()));
        self.leadership.end_unless_held(self.election.held_term());
        let Some(term) = leading else { return };
        if self.machine_types.is_empty() || !self.jobs.cache().is_loaded() {
            return;
        }
        if self.leadership.leader().is_none() {
            let config = leader_config(&self.cluster, &self.operator, &mut self.names);
            self.leadership.begin(now, term, config, self.machine_types.types().to_vec());
        }
        let peers = self.peer_view(now);
        let (leadership, mut context) = self.leadership(net);
        leadership.tick(&mut context, now, term, &peers);
    }

    fn peer_view(&self, now: Millis) -> PeerView {
        // Worker leases that this controller renewed before it led are taken into account
        // like those that its peers renewed.
        let no_peer_renewals = self.peers.inactive_span();
        let no_renewals = TimeSpan {
            from: no_peer_renewals.from.max(self.renewal_key.last_leaderless_renewal() as i64),
            to: no_peer_renewals.to,
        };
        PeerView {
            all_upgraded: self.versions.is_complete(),
            have_worker_contact: self.peers.have_worker_contact(now),
            no_renewals,
        }
    }

    /// Sets this controller's shares of the rate limits, unless they are up to date.
    pub(super) fn set_budget_shares(&mut self, now: Millis, role: Role) {
        self.client.budgets().set_shares(now, role, &self.peers.recent_usage(now));
    }

    /// Sends gossip if it is due, then sets the shares of the rate limits again.
    fn gossip(&mut self, net: &mut Net, now: Millis) {
        let leading = self.election.leading_term(now).is_some();
        let local_state = || {
            let counts =
                if leading { self.leadership.take_progress(MAX_GOSSIP_COUNTS, &self.jobs) } else { Vec::new() };
            for count in &counts {
                tracing::trace!(job = &*count.job, done = count.done, running = count.running, "task counts published");
                self.jobs.cache_mut().set_progress(&count.job, count.into());
            }
            LocalState {
                store_age_ms: self.store_health.response_age_ms(now),
                leading,
                usage: self.client.budgets().usage(now),
                since_leaderless_renewal_ms: now.saturating_sub(self.renewal_key.last_leaderless_renewal()),
                counts,
            }
        };
        if self.peers.gossip_if_due(net, now, local_state) {
            self.client.budgets().invalidate_shares();
            self.set_budget_shares(now, Role::from_leading(leading));
        }
    }
}
