//! One budget per outside service. Who asks for more than there is hears so
//! at once; nothing is queued here.

/// More urgent work may use the part of the budget that less urgent work must leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// Leases: never refused, the debt is borne by the rest.
    Lease,
    /// Cancels and ends of jobs.
    Cancel,
    /// Placements.
    Commit,
    /// Submissions and everything else.
    Submit,
}

impl Urgency {
    /// Share of the burst that must be left after taking.
    fn floor(self) -> f64 {
        match self {
            Urgency::Lease => f64::NEG_INFINITY,
            Urgency::Cancel => 0.0,
            Urgency::Commit => 0.1,
            Urgency::Submit => 0.2,
        }
    }
}

#[derive(Debug, Clone)]
pub struct Budget {
    rate: f64,
    burst: f64,
    level: f64,
    at: u64,
    spent: f64,
    spent_from: u64,
    used: f64,
}

/// The part of a service's limit that is shared out; the rest is for what the
/// service counts and we don't.
const SHARED: f64 = 0.95;
/// The leader's own work may always use this part; users' requests this one, at
/// all controllers together.
const LEADERS: f64 = 0.5;
const USERS: f64 = 0.3;

/// Who uses a part of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetRole {
    Leader,
    /// Users' requests at one of so many controllers.
    Users(usize),
}

/// The rate of one part under a limit that all share: what the other parts do
/// not use, and never less than its least. `others`: what each uses a second,
/// or None for a controller that wasn't heard lately.
pub fn share(limit: f64, part: BudgetRole, others: &[Option<f64>]) -> f64 {
    let least = match part {
        BudgetRole::Leader => LEADERS,
        BudgetRole::Users(n) => USERS / n.max(1) as f64,
    };
    let silent = limit * USERS / (others.len() + 1) as f64;
    let used: f64 = others.iter().map(|o| o.map_or(silent, |u| u.max(0.01 * limit))).sum();
    (SHARED * limit - used).max(least * limit)
}

impl Budget {
    pub fn new(rate: f64, burst: f64) -> Budget {
        Budget { rate, burst, level: burst, at: 0, spent: 0.0, spent_from: 0, used: 0.0 }
    }

    /// What was taken a second, smoothed; counted anew from `now` on.
    pub fn used(&mut self, now: u64) -> f64 {
        let ms = now.saturating_sub(self.spent_from);
        if ms >= 100 {
            self.used += (self.spent / ms as f64 * 1000.0 - self.used) * 0.4;
            (self.spent, self.spent_from) = (0.0, now);
        }
        self.used
    }

    /// Changes the rate, as when others use less or this controller begins to lead.
    pub fn set(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    fn fill(&mut self, now: u64) {
        let ms = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        self.level = (self.level + self.rate * ms as f64 / 1000.0).min(self.burst);
    }

    /// Takes `n`, or says after how many milliseconds to come back.
    pub fn take(&mut self, now: u64, n: f64, urgency: Urgency) -> Result<(), u64> {
        self.fill(now);
        let floor = urgency.floor() * self.burst;
        // What asks for more than the bucket holds gets it from a full one.
        let need = (n + floor.max(0.0)).min(self.burst);
        if urgency == Urgency::Lease || self.level >= need {
            self.level -= n;
            self.spent += n;
            return Ok(());
        }
        Err((((need - self.level) / self.rate) * 1000.0).ceil() as u64)
    }

    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// What may be taken now.
    pub fn available(&mut self, now: u64, urgency: Urgency) -> f64 {
        self.fill(now);
        (self.level - urgency.floor().max(0.0) * self.burst).max(0.0)
    }

    /// The service itself said 429: others use it too.
    pub fn refused(&mut self, now: u64) {
        self.fill(now);
        self.level = self.level.min(0.0);
    }
}

#[cfg(test)]
#[path = "tests/budget.rs"]
mod tests;
