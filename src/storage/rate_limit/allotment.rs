//! Division of a service's rate limit among the controllers and their purposes.

/// Share of a service's limit that is distributed; the rest covers requests that the
/// service counts differently.
const DISTRIBUTED_SHARE: f64 = 0.95;
/// Share of the limit that the leader's own requests may always use.
const LEADER_SHARE: f64 = 0.5;
/// Share of the limit that users' requests may always use, summed over all
/// controllers.
const USERS_SHARE: f64 = 0.3;
/// Share of the limit that each other user is assumed to use at least, so that an idle
/// user can begin to send requests.
const MIN_USED_SHARE: f64 = 0.01;

/// User of a part of a limit that all controllers share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitUser {
    /// The leader's own requests.
    Leader,
    /// Users' requests at one controller; the value is the number of controllers.
    Users(usize),
}

/// Returns the rate, per second, that one user of a shared limit may use: the rate
/// that the others leave unused, and never less than its guaranteed share.
///
/// `others` contains the rate, per second, that each of the other users uses, or
/// `None` for a controller from which no frame was received recently, which is
/// assumed to use its whole share.
pub fn allotted_rate(limit: f64, user: LimitUser, others: &[Option<f64>]) -> f64 {
    let guaranteed = match user {
        LimitUser::Leader => LEADER_SHARE,
        LimitUser::Users(controllers) => USERS_SHARE / controllers.max(1) as f64,
    };
    let assumed_when_unreachable = limit * USERS_SHARE / (others.len() + 1) as f64;
    let used: f64 = others
        .iter()
        .map(|other| other.map_or(assumed_when_unreachable, |used| used.max(MIN_USED_SHARE * limit)))
        .sum();
    (DISTRIBUTED_SHARE * limit - used).max(guaranteed * limit)
}
