//! Request budgets: token buckets below the limits of the outside services.
//!
//! A request that exceeds the budget is refused at once; nothing is queued here.
//! Times are in ms on the steady clock.

/// Share of the burst that placements must leave to more urgent work.
const COMMIT_FLOOR: f64 = 0.1;
/// Share of the burst that submissions must leave to more urgent work.
const SUBMIT_FLOOR: f64 = 0.2;
/// Share of the burst that submissions of teams without a guarantee must leave
/// to those of teams that have one.
const BEST_EFFORT_SUBMIT_FLOOR: f64 = 0.3;
/// Share of a service's limit that is distributed; the rest covers what the
/// service counts differently.
const DISTRIBUTED_SHARE: f64 = 0.95;
/// Share of the limit that the leader's own work may always use.
const LEADER_SHARE: f64 = 0.5;
/// Share of the limit that users' requests may always use, over all controllers.
const USERS_SHARE: f64 = 0.3;
/// Share of the limit that each other user of it is counted with at least, so
/// that it can begin to use it.
const MIN_USED_SHARE: f64 = 0.01;
/// Shortest time, in ms, over which use is measured.
const USE_INTERVAL_MS: u64 = 100;
/// Weight of the newest measurement of use in the moving average.
const USE_SMOOTHING: f64 = 0.4;
const MS_PER_S: f64 = 1000.0;

/// More urgent work may use the part of the budget that less urgent work must leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// Leases: never refused; the debt delays all other work.
    Lease,
    /// Cancellations and ends of jobs.
    Cancel,
    /// Placements.
    Commit,
    /// Submissions and everything else.
    Submit,
    /// Submissions of teams without a guarantee, where other teams have one.
    BestEffortSubmit,
}

impl Urgency {
    /// Share of the burst that must be left after taking.
    fn floor(self) -> f64 {
        match self {
            Urgency::Lease => f64::NEG_INFINITY,
            Urgency::Cancel => 0.0,
            Urgency::Commit => COMMIT_FLOOR,
            Urgency::Submit => SUBMIT_FLOOR,
            Urgency::BestEffortSubmit => BEST_EFFORT_SUBMIT_FLOOR,
        }
    }
}

/// Who uses a part of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetRole {
    /// The leader's own work.
    Leader,
    /// Users' requests at one of so many controllers.
    Users(usize),
}

/// The rate of one part of a limit that all controllers share: what the others
/// leave unused, and never less than its guaranteed share.
///
/// `others` is what each of them uses per second, or None for a controller that
/// was not heard lately.
pub fn share(limit: f64, part: BudgetRole, others: &[Option<f64>]) -> f64 {
    let guaranteed = match part {
        BudgetRole::Leader => LEADER_SHARE,
        BudgetRole::Users(controllers) => USERS_SHARE / controllers.max(1) as f64,
    };
    let assumed_when_silent = limit * USERS_SHARE / (others.len() + 1) as f64;
    let used: f64 =
        others.iter().map(|other| other.map_or(assumed_when_silent, |used| used.max(MIN_USED_SHARE * limit))).sum();
    (DISTRIBUTED_SHARE * limit - used).max(guaranteed * limit)
}

/// A token bucket.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Tokens per second.
    rate: f64,
    /// Most tokens that the bucket holds.
    burst: f64,
    /// Tokens now; negative after urgent work took more than there were.
    level: f64,
    /// When `level` was last brought up to date.
    filled_at: u64,
    /// Tokens taken since `spent_since`.
    spent: f64,
    spent_since: u64,
    /// Moving average of tokens taken per second.
    used: f64,
}

impl Budget {
    /// A full bucket.
    pub fn new(rate: f64, burst: f64) -> Budget {
        Budget { rate, burst, level: burst, filled_at: 0, spent: 0.0, spent_since: 0, used: 0.0 }
    }

    /// The moving average of what was taken per second, measured up to `now`.
    pub fn used(&mut self, now: u64) -> f64 {
        let elapsed_ms = now.saturating_sub(self.spent_since);
        if elapsed_ms >= USE_INTERVAL_MS {
            self.used += (self.spent / elapsed_ms as f64 * MS_PER_S - self.used) * USE_SMOOTHING;
            self.spent = 0.0;
            self.spent_since = now;
        }
        self.used
    }

    /// Changes the rate and the burst, for example when others use less.
    pub fn set(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    fn fill(&mut self, now: u64) {
        let elapsed_ms = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + self.rate * elapsed_ms as f64 / MS_PER_S).min(self.burst);
    }

    /// Takes `amount` tokens, or returns after how many ms to try again.
    pub fn take(&mut self, now: u64, amount: f64, urgency: Urgency) -> Result<(), u64> {
        self.fill(now);
        let floor = urgency.floor() * self.burst;
        // An amount larger than the bucket is taken from a full one.
        let needed = (amount + floor.max(0.0)).min(self.burst);
        if urgency == Urgency::Lease || self.level >= needed {
            self.level -= amount;
            self.spent += amount;
            return Ok(());
        }
        Err((((needed - self.level) / self.rate) * MS_PER_S).ceil() as u64)
    }

    /// Most tokens that the bucket holds.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// What may be taken now.
    pub fn available(&mut self, now: u64, urgency: Urgency) -> f64 {
        self.fill(now);
        (self.level - urgency.floor().max(0.0) * self.burst).max(0.0)
    }

    /// The service itself answered 429: its limit is used up by others.
    pub fn refused(&mut self, now: u64) {
        self.fill(now);
        self.level = self.level.min(0.0);
    }
}

#[cfg(test)]
#[path = "tests/budget.rs"]
mod tests;
