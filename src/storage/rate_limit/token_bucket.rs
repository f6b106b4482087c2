//! Token bucket in which less urgent requests leave tokens for more urgent ones.

/// Share of the burst that placements must leave for more urgent requests.
const COMMIT_FLOOR: f64 = 0.1;
/// Share of the burst that submissions must leave for more urgent requests.
const SUBMIT_FLOOR: f64 = 0.2;
/// Share of the burst that submissions of teams without a guarantee must leave
/// for those of teams that have one.
const BEST_EFFORT_SUBMIT_FLOOR: f64 = 0.3;
/// Minimum time, in ms, over which usage is measured.
const MIN_USAGE_INTERVAL_MS: u64 = 100;
/// Weight of the newest measurement of usage in the moving average.
const USAGE_SMOOTHING: f64 = 0.4;
const MS_PER_S: f64 = 1000.0;

/// Urgency of a request. More urgent requests may use the part of the burst that less
/// urgent ones must leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// Leases: never rejected; the resulting debt delays all other requests.
    Lease,
    /// Cancellations and completions of jobs.
    Cancel,
    /// Placements.
    Commit,
    /// Submissions and everything else.
    Submit,
    /// Submissions of teams without a guarantee, where other teams have one.
    BestEffortSubmit,
}

impl Urgency {
    /// Returns the share of the burst that a request must leave.
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

/// Error of a request for which there are too few tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("rate limit exceeded; retry in {retry_after_ms} ms")]
pub struct RateLimited {
    /// Time, in ms from now, after which there are enough tokens if no other request
    /// takes them.
    pub retry_after_ms: u64,
}

/// Token bucket. Times are in ms on the monotonic clock.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    /// Tokens per second.
    rate: f64,
    /// Maximum number of tokens in the bucket.
    burst: f64,
    /// Current number of tokens; negative after a request took more than there were.
    level: f64,
    /// Time of the last update of `level`, in ms.
    filled_at_ms: u64,
    /// Number of tokens taken since `spent_since_ms`.
    spent: f64,
    /// Start of the current measurement of usage, in ms.
    spent_since_ms: u64,
    /// Moving average of tokens taken per second.
    usage_per_s: f64,
}

impl RateLimiter {
    /// Creates a full bucket: `rate` tokens per second, at most `burst` at once.
    pub fn new(rate: f64, burst: f64) -> RateLimiter {
        RateLimiter { rate, burst, level: burst, filled_at_ms: 0, spent: 0.0, spent_since_ms: 0, usage_per_s: 0.0 }
    }

    /// Returns the moving average of tokens taken per second, measured up to `now`.
    pub fn usage_per_s(&mut self, now: u64) -> f64 {
        let elapsed_ms = now.saturating_sub(self.spent_since_ms);
        if elapsed_ms >= MIN_USAGE_INTERVAL_MS {
            self.usage_per_s += (self.spent / elapsed_ms as f64 * MS_PER_S - self.usage_per_s) * USAGE_SMOOTHING;
            self.spent = 0.0;
            self.spent_since_ms = now;
        }
        self.usage_per_s
    }

    /// Changes the rate (tokens per second) and the burst, for example when other
    /// users of the limit use less.
    pub fn set_limits(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    fn fill(&mut self, now: u64) {
        let elapsed_ms = now.saturating_sub(self.filled_at_ms);
        self.filled_at_ms = self.filled_at_ms.max(now);
        self.level = (self.level + self.rate * elapsed_ms as f64 / MS_PER_S).min(self.burst);
    }

    /// Takes `amount` tokens for a request of this urgency, if there are enough.
    pub fn take(&mut self, now: u64, amount: f64, urgency: Urgency) -> Result<(), RateLimited> {
        self.fill(now);
        let floor = urgency.floor() * self.burst;
        // An amount larger than the burst is taken from a full bucket.
        let needed = (amount + floor.max(0.0)).min(self.burst);
        if urgency == Urgency::Lease || self.level >= needed {
            self.level -= amount;
            self.spent += amount;
            return Ok(());
        }
        let retry_after_ms = (((needed - self.level) / self.rate) * MS_PER_S).ceil() as u64;
        Err(RateLimited { retry_after_ms })
    }

    /// Returns the maximum number of tokens in the bucket.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Returns the number of tokens that requests of this urgency may take now.
    pub fn available(&mut self, now: u64, urgency: Urgency) -> f64 {
        self.fill(now);
        (self.level - urgency.floor().max(0.0) * self.burst).max(0.0)
    }

    /// Records that the service itself responded with 429: others have used up its
    /// limit, so the bucket is emptied.
    pub fn record_rejection(&mut self, now: u64) {
        self.fill(now);
        self.level = self.level.min(0.0);
    }
}
