//! How a service's limit is divided among the controllers and their purposes.

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

/// Who uses a part of a limit that all controllers share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitUser {
    /// The leader's own work.
    Leader,
    /// Users' requests at one of so many controllers.
    Users(usize),
}

/// The rate, per second, that one user of a shared limit may use: what the others
/// leave unused, and never less than its guaranteed share.
///
/// `others` is what each of the other users uses per second, or `None` for a
/// controller that was not heard lately, which is assumed to use its whole share.
pub fn allotted_rate(limit: f64, part: LimitUser, others: &[Option<f64>]) -> f64 {
    let guaranteed = match part {
        LimitUser::Leader => LEADER_SHARE,
        LimitUser::Users(controllers) => USERS_SHARE / controllers.max(1) as f64,
    };
    let assumed_when_silent = limit * USERS_SHARE / (others.len() + 1) as f64;
    let used: f64 =
        others.iter().map(|other| other.map_or(assumed_when_silent, |used| used.max(MIN_USED_SHARE * limit))).sum();
    (DISTRIBUTED_SHARE * limit - used).max(guaranteed * limit)
}
