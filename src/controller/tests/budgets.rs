use super::{Budgets, Usage};
use crate::{
    controller::role::Role,
    protocol::settings::{tests::SAMPLE, Settings},
    storage::rate_limit::Urgency,
};

fn budgets() -> Budgets {
    let settings = Settings::parse(SAMPLE, "x.toml").unwrap();
    Budgets::new(&settings.cluster.store, &settings.cluster.cloud)
}

/// Shares are set again only if the role or the usage of peers may have changed.
#[test]
fn shares_are_set_again_when_role_or_usage_changes() {
    let mut budgets = budgets();
    budgets.set_shares(1_000, Role::Follower, &[]);
    assert_eq!(budgets.reads.burst(), 20.0, "a follower's burst");
    budgets.set_shares(1_000, Role::Leader, &[]);
    assert_eq!(budgets.reads.burst(), 50.0, "a leader's burst");
    budgets.reads.set_limits(1.0, 1.0);
    budgets.set_shares(1_000, Role::Leader, &[]);
    assert_eq!(budgets.reads.burst(), 1.0, "shares are up to date");
    budgets.invalidate_shares();
    budgets.set_shares(1_000, Role::Leader, &[]);
    assert_eq!(budgets.reads.burst(), 50.0, "shares were invalidated");
}

/// This controller's share is what the usage that peers report leaves of the limit. A peer
/// without recent gossip is assumed to use its whole share.
#[test]
fn read_share_shrinks_with_usage_of_peers() {
    let reads_after_half_a_second = |peers: &[Option<Usage>]| {
        let mut budgets = budgets();
        budgets.set_shares(0, Role::Leader, peers);
        // A 429 empties the token bucket, so that only the rate refills it.
        budgets.record_refused_read(0);
        budgets.reads.available(500, Urgency::Cancel)
    };
    let idle = Usage::default();
    let busy = Usage { reads: 40.0, ..Usage::default() };
    let (beside_idle, beside_unknown, beside_busy) = (
        reads_after_half_a_second(&[Some(idle)]),
        reads_after_half_a_second(&[None]),
        reads_after_half_a_second(&[Some(busy)]),
    );
    assert!(
        beside_idle > beside_unknown && beside_unknown > beside_busy,
        "{beside_idle} {beside_unknown} {beside_busy}"
    );
}

/// A user's write takes a request from the budget only if a write is available too.
#[test]
fn write_over_budget_takes_no_request() {
    let mut budgets = budgets();
    budgets.set_shares(0, Role::Follower, &[]);
    budgets.record_refused_write(0);
    let before = budgets.reads.available(0, Urgency::Cancel);
    assert!(budgets.take_user_write(0, Urgency::Cancel).is_err());
    assert_eq!(budgets.reads.available(0, Urgency::Cancel), before);
}
