//! This controller's shares of the outside services' limits.

use super::{peers::Peer, wiring::Controller};
use crate::{
    coordination::model::Millis,
    protocol::settings::{CloudLimits, LimitPhase, StateLimits, StateRates},
    storage::budget::{share, Budget, BudgetRole},
};

/// A peer that was not heard for this long, in ms, is assumed to use its whole
/// share of the budgets.
const PEER_SILENT_MS: Millis = 2_000;

// Shares of the limits at the start, before anything is known of what the
// peers use.
const INITIAL_READ_SHARE: f64 = 0.25;
const INITIAL_READ_BURST_SHARE: f64 = 0.3;
const INITIAL_WRITE_SHARE: f64 = 0.2;
const INITIAL_COMMIT_SHARE: f64 = 0.5;

/// Part of the cloud's limit that is used; the rest is for the other controllers,
/// which only ask for the machine types.
const CLOUD_SHARE: f64 = 0.9;
/// Seconds of the cloud's limit that may be used at once.
const CLOUD_BURST_S: f64 = 1.5;

// Seconds of the state service's limits that may be used at once.
const LEADER_READ_BURST_S: f64 = 0.5;
const FOLLOWER_READ_BURST_S: f64 = 0.2;
/// The jobs of a pipeline are submitted together, to one controller.
const WRITE_BURST_S: f64 = 0.4;
const COMMIT_BURST_S: f64 = 0.5;
/// Smallest burst of writes, so that one with several parts is possible at all.
const MIN_WRITE_BURST: f64 = 4.0;

/// The budgets of one controller.
#[derive(Debug)]
pub(super) struct Budgets {
    /// Requests to the state service.
    pub reads: Budget,
    /// Writes for users' requests.
    pub writes: Budget,
    /// Writes of the leader's own work.
    pub commits: Budget,
    /// Requests to the cloud.
    pub cloud: Budget,
    /// Which of the state service's limits hold, as far as its answers show.
    phase: LimitPhase,
    /// Whether this controller was leading when the shares were set; None: they
    /// must be set anew.
    set_while_leading: Option<bool>,
}

impl Budgets {
    /// The budgets of a controller that has not heard its peers yet.
    pub fn new(state: &StateLimits, cloud: &CloudLimits) -> Budgets {
        Budgets {
            reads: Budget::new(state.rps * INITIAL_READ_SHARE, state.rps * INITIAL_READ_BURST_SHARE),
            writes: Budget::new(state.write_rps * INITIAL_WRITE_SHARE, state.write_rps * INITIAL_WRITE_SHARE),
            commits: Budget::new(state.write_rps * INITIAL_COMMIT_SHARE, state.write_rps * INITIAL_COMMIT_SHARE),
            cloud: Budget::new(cloud.rps * CLOUD_SHARE, cloud.rps * CLOUD_BURST_S),
            phase: LimitPhase::Current,
            set_while_leading: None,
        }
    }

    /// The shares are to be set anew, as what others use may have changed.
    pub fn invalidate_shares(&mut self) {
        self.set_while_leading = None;
    }

    /// An answer showed that the limits which were announced have taken effect.
    fn lower_limits(&mut self, limits: &StateLimits) {
        if limits.next.is_some() && self.phase == LimitPhase::Current {
            let StateRates { requests, writes } = limits.rates(LimitPhase::Lowered);
            tracing::warn!(rates = ?(requests, writes), "the state service's limits are lowered");
            self.phase = LimitPhase::Lowered;
            self.invalidate_shares();
        }
    }

    /// Sets the shares by need: what the peers say they use is left to them.
    fn set_shares(&mut self, now: Millis, leading: bool, limits: &StateLimits, peers: &[Peer]) {
        if self.set_while_leading == Some(leading) {
            return;
        }
        self.set_while_leading = Some(leading);
        let rates = limits.rates(self.phase);
        let users = BudgetRole::Users(peers.len() + 1);
        let used = |of: fn(&Peer) -> f64| -> Vec<Option<f64>> {
            peers.iter().map(|peer| peer.heard_within(now, PEER_SILENT_MS).then(|| of(peer))).collect()
        };

        let reader = if leading { BudgetRole::Leader } else { users };
        let reads = share(rates.requests, reader, &used(|peer| peer.usage.reads));

        let mut others = used(|peer| peer.usage.writes + peer.usage.commits);
        others.push(Some(self.commits.used(now)));
        let writes = share(rates.writes, users, &others);

        let mut others = used(|peer| peer.usage.writes);
        others.push(Some(self.writes.used(now)));
        let commits = share(rates.writes, BudgetRole::Leader, &others);

        let read_burst_s = if leading { LEADER_READ_BURST_S } else { FOLLOWER_READ_BURST_S };
        self.reads.set(reads, rates.requests * read_burst_s);
        self.writes.set(writes, (rates.writes * WRITE_BURST_S).max(MIN_WRITE_BURST));
        self.commits.set(commits, (rates.writes * COMMIT_BURST_S).max(MIN_WRITE_BURST));
    }
}

impl Controller {
    /// Sets this controller's shares, unless they are up to date.
    pub(super) fn set_budgets(&mut self, now: Millis, leading: bool) {
        self.budgets.set_shares(now, leading, &self.settings.cluster.state, &self.peers.list);
    }

    /// An answer showed that the limits which were announced have taken effect.
    pub(super) fn lower_limits(&mut self) {
        self.budgets.lower_limits(&self.settings.cluster.state);
    }
}
