//! This controller's shares of the outside services' rate limits.

use crate::{
    controller::role::Role,
    coordination::model::Millis,
    protocol::settings::{CloudLimits, LimitPhase, StoreLimits, StoreRates},
    storage::rate_limit::{allotted_rate, LimitUser, RateLimited, RateLimiter, Urgency},
};

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

// Seconds of the key-value store's limits that may be used at once.
const LEADER_READ_BURST_S: f64 = 0.5;
const FOLLOWER_READ_BURST_S: f64 = 0.2;
/// The jobs of a pipeline are submitted together, to one controller.
const WRITE_BURST_S: f64 = 0.4;
const COMMIT_BURST_S: f64 = 0.5;
/// Smallest burst of writes, so that one with several parts is possible at all.
const MIN_WRITE_BURST: f64 = 4.0;

/// Commits are scarce while less than this share of their burst is available.
const SCARCE_COMMITS: f64 = 0.4;
/// Commits are to spare, so that optional ones are made too, while more than this
/// share of their burst is available.
const SPARE_COMMITS: f64 = 0.6;

/// What one controller uses per second of the key-value store's limits.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Requests.
    pub reads: f64,
    /// Writes for users' requests.
    pub writes: f64,
    /// Writes of the leader's own work.
    pub commits: f64,
}

/// The budgets of one controller.
#[derive(Debug)]
pub struct Budgets {
    /// Requests to the key-value store.
    reads: RateLimiter,
    /// Writes for users' requests.
    writes: RateLimiter,
    /// Writes of the leader's own work.
    commits: RateLimiter,
    /// Requests to the cloud.
    cloud: RateLimiter,
    /// The key-value store's limits.
    limits: StoreLimits,
    /// Which of these limits hold, as far as the store's answers show.
    phase: LimitPhase,
    /// This controller's role when the shares were set; None: they must be set anew.
    set_for_role: Option<Role>,
}

impl Budgets {
    /// The budgets of a controller that has not heard its peers yet.
    pub fn new(limits: &StoreLimits, cloud: &CloudLimits) -> Budgets {
        Budgets {
            reads: RateLimiter::new(limits.rps * INITIAL_READ_SHARE, limits.rps * INITIAL_READ_BURST_SHARE),
            writes: RateLimiter::new(limits.write_rps * INITIAL_WRITE_SHARE, limits.write_rps * INITIAL_WRITE_SHARE),
            commits: RateLimiter::new(limits.write_rps * INITIAL_COMMIT_SHARE, limits.write_rps * INITIAL_COMMIT_SHARE),
            cloud: RateLimiter::new(cloud.rps * CLOUD_SHARE, cloud.rps * CLOUD_BURST_S),
            limits: limits.clone(),
            phase: LimitPhase::Current,
            set_for_role: None,
        }
    }

    /// Takes one request to the key-value store. Returns whether there was one.
    pub fn take_read(&mut self, now: Millis, urgency: Urgency) -> bool {
        self.reads.take(now, 1.0, urgency).is_ok()
    }

    /// Takes one request to the key-value store for a lease, which is never refused.
    pub fn charge_read(&mut self, now: Millis) {
        let _ = self.reads.take(now, 1.0, Urgency::Lease);
    }

    /// Takes one request with one write for a user, or returns after how many ms
    /// to try again.
    pub fn take_user_write(&mut self, now: Millis, urgency: Urgency) -> Result<(), RateLimited> {
        // Writes are the scarcer: where they refuse, no request is taken either.
        self.writes.take(now, 1.0, urgency)?;
        self.reads.take(now, 1.0, urgency)
    }

    /// Takes one request with one write for the controller itself. Returns whether
    /// there was one.
    pub fn take_own_write(&mut self, now: Millis, urgency: Urgency) -> bool {
        self.take_read(now, urgency) && self.writes.take(now, 1.0, urgency).is_ok()
    }

    /// Takes writes of the leader or for a lease, which are never refused.
    pub fn charge_commits(&mut self, now: Millis, writes: usize) {
        let _ = self.commits.take(now, writes as f64, Urgency::Lease);
    }

    /// Takes one request to the cloud. Returns whether there was one.
    pub fn take_cloud(&mut self, now: Millis, urgency: Urgency) -> bool {
        self.cloud.take(now, 1.0, urgency).is_ok()
    }

    /// Requests that the leader's commits may take now.
    pub fn available_reads(&mut self, now: Millis) -> f64 {
        self.reads.available(now, Urgency::Commit)
    }

    /// Writes that the leader's commits may take now.
    pub fn available_commits(&mut self, now: Millis) -> f64 {
        self.commits.available(now, Urgency::Commit)
    }

    /// Most writes that the leader's commits may take at once.
    pub fn commit_burst(&self) -> f64 {
        self.commits.burst()
    }

    /// Whether few commits are available.
    pub fn are_commits_scarce(&mut self, now: Millis) -> bool {
        self.available_commits(now) < SCARCE_COMMITS * self.commit_burst()
    }

    /// Whether so many commits are available that optional ones may be made.
    pub fn has_spare_commits(&mut self, now: Millis) -> bool {
        self.available_commits(now) > SPARE_COMMITS * self.commit_burst()
    }

    /// The key-value store itself answered a request with 429.
    pub fn record_refused_read(&mut self, now: Millis) {
        self.reads.record_rejection(now);
    }

    /// The key-value store itself answered a user's write with 429.
    pub fn record_refused_write(&mut self, now: Millis) {
        self.writes.record_rejection(now);
    }

    /// The key-value store itself answered a transaction of the leader with 429.
    pub fn record_refused_commit(&mut self, now: Millis) {
        self.commits.record_rejection(now);
    }

    /// What this controller uses of the key-value store's limits.
    pub fn usage(&mut self, now: Millis) -> Usage {
        Usage { reads: self.reads.used(now), writes: self.writes.used(now), commits: self.commits.used(now) }
    }

    /// The shares are to be set anew, as what others use may have changed.
    pub fn invalidate_shares(&mut self) {
        self.set_for_role = None;
    }

    /// An answer showed that the limits which were announced have taken effect.
    pub fn lower_limits(&mut self) {
        if self.limits.next.is_some() && self.phase == LimitPhase::Current {
            let StoreRates { requests, writes } = self.limits.rates(LimitPhase::Lowered);
            tracing::warn!(requests_per_s = requests, writes_per_s = writes, "store limits lowered");
            self.phase = LimitPhase::Lowered;
            self.invalidate_shares();
        }
    }

    /// Sets the shares by need, unless they are up to date: what the peers say they
    /// use is left to them. None: a peer was not heard lately.
    pub fn set_shares(&mut self, now: Millis, role: Role, peers: &[Option<Usage>]) {
        if self.set_for_role == Some(role) {
            return;
        }
        self.set_for_role = Some(role);
        let rates = self.limits.rates(self.phase);
        let users = LimitUser::Users(peers.len() + 1);
        let used = |of: fn(Usage) -> f64| -> Vec<Option<f64>> { peers.iter().map(|peer| peer.map(of)).collect() };

        let (reader, read_burst_s) = match role {
            Role::Leader => (LimitUser::Leader, LEADER_READ_BURST_S),
            Role::Follower => (users, FOLLOWER_READ_BURST_S),
        };
        let reads = allotted_rate(rates.requests, reader, &used(|peer| peer.reads));

        let mut others = used(|peer| peer.writes + peer.commits);
        others.push(Some(self.commits.used(now)));
        let writes = allotted_rate(rates.writes, users, &others);

        let mut others = used(|peer| peer.writes);
        others.push(Some(self.writes.used(now)));
        let commits = allotted_rate(rates.writes, LimitUser::Leader, &others);

        self.reads.set_limits(reads, rates.requests * read_burst_s);
        self.writes.set_limits(writes, (rates.writes * WRITE_BURST_S).max(MIN_WRITE_BURST));
        self.commits.set_limits(commits, (rates.writes * COMMIT_BURST_S).max(MIN_WRITE_BURST));
    }
}

#[cfg(test)]
#[path = "../tests/budgets.rs"]
mod tests;
