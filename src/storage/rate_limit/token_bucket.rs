//! A token bucket in which less urgent work leaves tokens to more urgent work.

/// Share of the burst that placements must leave to more urgent work.
const COMMIT_FLOOR: f64 = 0.1;
/// Share of the burst that submissions must leave to more urgent work.
const SUBMIT_FLOOR: f64 = 0.2;
/// Share of the burst that submissions of teams without a guarantee must leave
/// to those of teams that have one.
const BEST_EFFORT_SUBMIT_FLOOR: f64 = 0.3;
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

/// There are too few tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("over the rate limit; try again in {retry_after_ms} ms")]
pub struct RateLimited {
    /// When the tokens will be there if nothing else takes them, in ms from now.
    pub retry_after_ms: u64,
}

/// A token bucket. Times are in ms on the steady clock.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    /// Tokens per second.
    rate: f64,
    /// Most tokens that the bucket holds.
    burst: f64,
    /// Tokens now; negative after urgent work took more than there were.
    level: f64,
    /// When `level` was last brought up to date, in ms.
    filled_at: u64,
    /// Tokens taken since `spent_since`.
    spent: f64,
    /// Start of the measurement, in ms.
    spent_since: u64,
    /// Moving average of tokens taken per second.
    used: f64,
}

impl RateLimiter {
    /// A full bucket: `rate` tokens per second, at most `burst` at once.
    pub fn new(rate: f64, burst: f64) -> RateLimiter {
        RateLimiter { rate, burst, level: burst, filled_at: 0, spent: 0.0, spent_since: 0, used: 0.0 }
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

    /// Changes the rate (tokens per second) and the burst, for example when others
    /// use less.
    pub fn set_limits(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    fn fill(&mut self, now: u64) {
        let elapsed_ms = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + self.rate * elapsed_ms as f64 / MS_PER_S).min(self.burst);
    }

    /// Takes `amount` tokens, if work of this urgency may.
    pub fn take(&mut self, now: u64, amount: f64, urgency: Urgency) -> Result<(), RateLimited> {
        self.fill(now);
        let floor = urgency.floor() * self.burst;
        // An amount larger than the bucket is taken from a full one.
        let needed = (amount + floor.max(0.0)).min(self.burst);
        if urgency == Urgency::Lease || self.level >= needed {
            self.level -= amount;
            self.spent += amount;
            return Ok(());
        }
        let retry_after_ms = (((needed - self.level) / self.rate) * MS_PER_S).ceil() as u64;
        Err(RateLimited { retry_after_ms })
    }

    /// Most tokens that the bucket holds.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Tokens that work of this urgency may take now.
    pub fn available(&mut self, now: u64, urgency: Urgency) -> f64 {
        self.fill(now);
        (self.level - urgency.floor().max(0.0) * self.burst).max(0.0)
    }

    /// The service itself answered 429: its limit is used up by others, so the
    /// bucket is emptied.
    pub fn record_rejection(&mut self, now: u64) {
        self.fill(now);
        self.level = self.level.min(0.0);
    }
}
