//! This controller's shares of the rate limits of the key-value store and the cloud.

use crate::{
    controller::role::Role,
    coordination::model::Millis,
    protocol::settings::{CloudLimits, LimitPhase, StoreLimits, StoreRates},
    storage::rate_limit::{allotted_rate, LimitUser, RateLimited, RateLimiter, Urgency},
};

// Shares of the store's limits at the start, before the usage of the peers is known.
const INITIAL_READ_SHARE: f64 = 0.25;
const INITIAL_READ_BURST_SHARE: f64 = 0.3;
const INITIAL_WRITE_SHARE: f64 = 0.2;
const INITIAL_COMMIT_SHARE: f64 = 0.5;

/// Share of the cloud's limit that this controller uses. The rest is for the other
/// controllers, which only read the machine types.
const CLOUD_SHARE: f64 = 0.9;
/// Burst of requests to the cloud, in seconds of its rate limit.
const CLOUD_BURST_S: f64 = 1.5;

// Bursts of requests to the key-value store, in seconds of its rate limits.
const LEADER_READ_BURST_S: f64 = 0.5;
const FOLLOWER_READ_BURST_S: f64 = 0.2;
/// Allows for the jobs of a pipeline, which may all be submitted to one controller in a row.
const WRITE_BURST_S: f64 = 0.4;
const COMMIT_BURST_S: f64 = 0.5;
/// Smallest burst of writes, so that a transaction of several writes is possible at all.
const MIN_WRITE_BURST: f64 = 4.0;

/// Commits are scarce while less than this share of the commit burst is available.
const SCARCE_COMMITS_SHARE: f64 = 0.4;
/// Optional commits are made while more than this share of the commit burst is available.
const SPARE_COMMITS_SHARE: f64 = 0.6;

/// Usage of the key-value store's limits by one controller, per second.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Requests per second, of all kinds.
    pub reads: f64,
    /// Writes for users' requests, per second.
    pub writes: f64,
    /// Writes of the leader's own transactions, per second.
    pub commits: f64,
}

/// The rate-limit budgets of one controller.
#[derive(Debug)]
pub struct Budgets {
    /// Requests to the key-value store, of all kinds.
    reads: RateLimiter,
    /// Writes for users' requests.
    writes: RateLimiter,
    /// Writes of the leader's own transactions, and of keys under store leases.
    commits: RateLimiter,
    /// Requests to the cloud.
    cloud: RateLimiter,
    /// The key-value store's limits from the settings.
    limits: StoreLimits,
    /// Which of these limits are in force, as far as the store's responses show.
    phase: LimitPhase,
    /// This controller's role when the shares were set; None if they must be set again.
    shares_set_for_role: Option<Role>,
}

impl Budgets {
    /// Creates the budgets of a controller that has not received gossip from its peers yet.
    pub fn new(limits: &StoreLimits, cloud: &CloudLimits) -> Budgets {
        Budgets {
            reads: RateLimiter::new(limits.rps * INITIAL_READ_SHARE, limits.rps * INITIAL_READ_BURST_SHARE),
            writes: RateLimiter::new(limits.write_rps * INITIAL_WRITE_SHARE, limits.write_rps * INITIAL_WRITE_SHARE),
            commits: RateLimiter::new(limits.write_rps * INITIAL_COMMIT_SHARE, limits.write_rps * INITIAL_COMMIT_SHARE),
            cloud: RateLimiter::new(cloud.rps * CLOUD_SHARE, cloud.rps * CLOUD_BURST_S),
            limits: limits.clone(),
            phase: LimitPhase::Current,
            shares_set_for_role: None,
        }
    }

    /// Takes one request to the key-value store from the budget. Returns whether one was
    /// available.
    pub fn take_read(&mut self, now: Millis, urgency: Urgency) -> bool {
        self.reads.take(now, 1.0, urgency).is_ok()
    }

    /// Charges the budget for one request to the key-value store, even if none is available.
    /// Requests for a lease or for the leader's transactions are charged in this way, because
    /// they are never refused.
    pub fn charge_read(&mut self, now: Millis) {
        let _ = self.reads.take(now, 1.0, Urgency::Lease);
    }

    /// Takes one request with one write for a user from the budgets. Fails with the time, in
    /// ms, after which to retry.
    pub fn take_user_write(&mut self, now: Millis, urgency: Urgency) -> Result<(), RateLimited> {
        // Writes are scarcer than requests, so a write is taken first: if none is available, no
        // request is taken either.
        self.writes.take(now, 1.0, urgency)?;
        self.reads.take(now, 1.0, urgency)
    }

    /// Takes one request with one write for the controller itself from the budgets. Returns
    /// whether both were available.
    pub fn take_own_write(&mut self, now: Millis, urgency: Urgency) -> bool {
        self.take_read(now, urgency) && self.writes.take(now, 1.0, urgency).is_ok()
    }

    /// Charges the budget for writes of the leader or of keys under store leases, even if too
    /// few are available: such writes are never refused.
    pub fn charge_commits(&mut self, now: Millis, writes: usize) {
        let _ = self.commits.take(now, writes as f64, Urgency::Lease);
    }

    /// Takes one request to the cloud from the budget. Returns whether one was available.
    pub fn take_cloud(&mut self, now: Millis, urgency: Urgency) -> bool {
        self.cloud.take(now, 1.0, urgency).is_ok()
    }

    /// Returns the number of requests that the leader's commits may take now.
    pub fn available_reads(&mut self, now: Millis) -> f64 {
        self.reads.available(now, Urgency::Commit)
    }

    /// Returns the number of writes that the leader's commits may take now.
    pub fn available_commits(&mut self, now: Millis) -> f64 {
        self.commits.available(now, Urgency::Commit)
    }

    /// Returns the largest number of writes that the leader's commits may take at once.
    pub fn commit_burst(&self) -> f64 {
        self.commits.burst()
    }

    /// Reports whether few commits are available, so that the leader should make fewer.
    pub fn are_commits_scarce(&mut self, now: Millis) -> bool {
        self.available_commits(now) < SCARCE_COMMITS_SHARE * self.commit_burst()
    }

    /// Reports whether enough commits are available for optional ones.
    pub fn has_spare_commits(&mut self, now: Millis) -> bool {
        self.available_commits(now) > SPARE_COMMITS_SHARE * self.commit_burst()
    }

    /// Records that the key-value store itself responded to a request with 429.
    pub fn record_refused_read(&mut self, now: Millis) {
        self.reads.record_rejection(now);
    }

    /// Records that the key-value store itself responded to a user's write with 429.
    pub fn record_refused_write(&mut self, now: Millis) {
        self.writes.record_rejection(now);
    }

    /// Records that the key-value store itself responded to a transaction of the leader
    /// with 429.
    pub fn record_refused_commit(&mut self, now: Millis) {
        self.commits.record_rejection(now);
    }

    /// Returns this controller's usage of the key-value store's limits.
    pub fn usage(&mut self, now: Millis) -> Usage {
        Usage {
            reads: self.reads.usage_per_s(now),
            writes: self.writes.usage_per_s(now),
            commits: self.commits.usage_per_s(now),
        }
    }

    /// Makes the next [`Budgets::set_shares`] set the shares again, because the usage of
    /// other controllers may have changed.
    pub fn invalidate_shares(&mut self) {
        self.shares_set_for_role = None;
    }

    /// Switches to the lowered limits that the settings announce, after a response showed
    /// that they have taken effect.
    pub fn lower_limits(&mut self) {
        if self.limits.next.is_some() && self.phase == LimitPhase::Current {
            let StoreRates { requests, writes } = self.limits.rates(LimitPhase::Lowered);
            tracing::warn!(requests_per_s = requests, writes_per_s = writes, "store limits lowered");
            self.phase = LimitPhase::Lowered;
            self.invalidate_shares();
        }
    }

    /// Sets this controller's shares of the key-value store's limits, unless they are up to
    /// date: each share is the part of the limit that the other users leave unused, but no
    /// less than a guaranteed minimum. `peers` contains the usage that each peer reported;
    /// None stands for a peer from which no recent gossip was received.
    pub fn set_shares(&mut self, now: Millis, role: Role, peers: &[Option<Usage>]) {
        if self.shares_set_for_role == Some(role) {
            return;
        }
        self.shares_set_for_role = Some(role);
        let rates = self.limits.rates(self.phase);
        let users = LimitUser::Users(peers.len() + 1);
        let used = |of: fn(Usage) -> f64| -> Vec<Option<f64>> { peers.iter().map(|peer| peer.map(of)).collect() };

        let (reader, read_burst_s) = match role {
            Role::Leader => (LimitUser::Leader, LEADER_READ_BURST_S),
            Role::Follower => (users, FOLLOWER_READ_BURST_S),
        };
        let reads = allotted_rate(rates.requests, reader, &used(|peer| peer.reads));

        let mut others = used(|peer| peer.writes + peer.commits);
        others.push(Some(self.commits.usage_per_s(now)));
        let writes = allotted_rate(rates.writes, users, &others);

        let mut others = used(|peer| peer.writes);
        others.push(Some(self.writes.usage_per_s(now)));
        let commits = allotted_rate(rates.writes, LimitUser::Leader, &others);

        self.reads.set_limits(reads, rates.requests * read_burst_s);
        self.writes.set_limits(writes, (rates.writes * WRITE_BURST_S).max(MIN_WRITE_BURST));
        self.commits.set_limits(commits, (rates.writes * COMMIT_BURST_S).max(MIN_WRITE_BURST));
    }
}

#[cfg(test)]
#[path = "../tests/budgets.rs"]
mod tests;
