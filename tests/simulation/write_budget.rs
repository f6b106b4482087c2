//! The key-value store's limit on writes, shared by several controllers.

use shedhook::{
    coordination::model::Millis,
    storage::rate_limit::{allotted_rate, LimitUser, RateLimiter, Urgency},
};

/// Initial and smallest fraction of the limit for submissions to a controller.
const USERS_SHARE: f64 = 0.2;

/// Initial and smallest fraction of the limit for the commits of a controller.
const COMMITS_SHARE: f64 = 0.5;

/// Fraction of the commit budget; only while more than this is unused, commits may include
/// writes that can wait.
const SPARE_SHARE: f64 = 0.6;

/// A controller's budgets of the store's writes.
struct ControllerBudgets {
    users: RateLimiter,
    commits: RateLimiter,
}

/// A controller's use of its budgets, in writes per second.
struct Usage {
    users: f64,
    commits: f64,
}

/// How many writes the leader may commit now.
pub(super) struct CommitAllowance {
    pub(super) writes: usize,
    /// Whether there is enough budget for writes that can wait.
    pub(super) has_spare_budget: bool,
}

/// The store's own limit on writes, and the budgets of the controllers that share it;
/// the first controller leads.
pub struct WriteBudgets {
    limit: f64,
    controllers: Vec<ControllerBudgets>,
    store: RateLimiter,
    written: usize,
    refused: usize,
}

impl WriteBudgets {
    pub(super) fn new(limit: f64, controllers: usize) -> WriteBudgets {
        let rate_limit = |part| RateLimiter::new(limit * part, limit * part);
        let of_controller =
            |_| ControllerBudgets { users: rate_limit(USERS_SHARE), commits: rate_limit(COMMITS_SHARE) };
        WriteBudgets {
            limit,
            controllers: (0..controllers).map(of_controller).collect(),
            store: RateLimiter::new(limit, limit),
            written: 0,
            refused: 0,
        }
    }

    /// Returns the number of writes that the store received.
    pub fn written(&self) -> usize {
        self.written
    }

    /// Returns the number of requests that exceeded the store's own limit.
    pub fn refused(&self) -> usize {
        self.refused
    }

    /// Lets the controllers report their usage to each other and adjust their budgets.
    pub(super) fn exchange_usage(&mut self, now: Millis) {
        let usage: Vec<Usage> = self
            .controllers
            .iter_mut()
            .map(|budgets| Usage { users: budgets.users.usage_per_s(now), commits: budgets.commits.usage_per_s(now) })
            .collect();
        let count = self.controllers.len();
        for (own, budgets) in self.controllers.iter_mut().enumerate() {
            let of_others = |part: fn(&Usage) -> f64| -> Vec<Option<f64>> {
                let others = usage.iter().enumerate().filter(|(other, _)| *other != own);
                others.map(|(_, usage)| Some(part(usage))).collect()
            };
            let mut except_own_users = of_others(|usage| usage.users + usage.commits);
            except_own_users.push(Some(usage[own].commits));
            let users_rate = allotted_rate(self.limit, LimitUser::Users(count), &except_own_users);
            budgets.users.set_limits(users_rate, self.limit * USERS_SHARE);
            let mut all_users = of_others(|usage| usage.users);
            all_users.push(Some(usage[own].users));
            let commits_rate = allotted_rate(self.limit, LimitUser::Leader, &all_users);
            budgets.commits.set_limits(commits_rate, self.limit * COMMITS_SHARE);
        }
    }

    /// Takes one write from a controller's budget for a submission; returns false when
    /// none is left.
    pub(super) fn take_for_submission(&mut self, now: Millis, controller: usize) -> bool {
        self.controllers[controller].users.take(now, 1.0, Urgency::Submit).is_ok()
    }

    /// Returns how much the leader may commit now.
    pub(super) fn commit_allowance(&mut self, now: Millis) -> CommitAllowance {
        let commits = &mut self.controllers[0].commits;
        let available = commits.available(now, Urgency::Commit);
        CommitAllowance { writes: available as usize, has_spare_budget: available > SPARE_SHARE * commits.burst() }
    }

    /// Takes the writes of a commit from the leader's budget.
    pub(super) fn take_for_commit(&mut self, now: Millis, writes: usize) {
        let _ = self.controllers[0].commits.take(now, writes as f64, Urgency::Lease);
    }

    /// Counts writes against the store's own limit.
    pub(super) fn count_writes(&mut self, now: Millis, writes: usize) {
        self.written += writes;
        self.refused += usize::from(self.store.take(now, writes as f64, Urgency::Cancel).is_err());
    }
}
