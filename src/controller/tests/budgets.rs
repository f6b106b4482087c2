use super::{Budgets, Usage};
use crate::{
    controller::role::Role,
    protocol::settings::{tests::SAMPLE, Settings},
    storage::rate_limit::Urgency,
};

fn budgets() -> Budgets {
    let settings = Settings::parse(SAMPLE, "x.toml").unwrap();
    Budgets::new(&settings.cluster.state, &settings.cluster.cloud)
}

/// Shares are set only when they may have changed.
#[test]
fn shares_are_set_anew_when_leading_or_use_changes() {
    let mut budgets = budgets();
    budgets.set_shares(1_000, Role::Follower, &[]);
    assert_eq!(budgets.reads.burst(), 20.0, "a follower's burst");
    budgets.set_shares(1_000, Role::Leader, &[]);
    assert_eq!(budgets.reads.burst(), 50.0, "a leader's burst");
    budgets.reads.set_limits(1.0, 1.0);
    budgets.set_shares(1_000, Role::Leader, &[]);
    assert_eq!(budgets.reads.burst(), 1.0, "up to date");
    budgets.invalidate_shares();
    budgets.set_shares(1_000, Role::Leader, &[]);
    assert_eq!(budgets.reads.burst(), 50.0, "invalidated");
}

/// What peers use is left to them, and a silent one is assumed to use its share.
#[test]
fn peers_that_use_more_leave_less() {
    let reads_after_a_second = |peers: &[Option<Usage>]| {
        let mut budgets = budgets();
        budgets.set_shares(0, Role::Leader, peers);
        // The bucket is emptied, so that only the rate fills it again.
        budgets.record_refused_read(0);
        budgets.reads.available(500, Urgency::Cancel)
    };
    let idle = Usage::default();
    let busy = Usage { reads: 40.0, ..Usage::default() };
    let (beside_idle, beside_silent, beside_busy) =
        (reads_after_a_second(&[Some(idle)]), reads_after_a_second(&[None]), reads_after_a_second(&[Some(busy)]));
    assert!(beside_idle > beside_silent && beside_silent > beside_busy, "{beside_idle} {beside_silent} {beside_busy}");
}

/// A user's write takes a request only if there is a write too.
#[test]
fn a_refused_write_takes_no_request() {
    let mut budgets = budgets();
    budgets.set_shares(0, Role::Follower, &[]);
    budgets.record_refused_write(0);
    let before = budgets.reads.available(0, Urgency::Cancel);
    assert!(budgets.take_user_write(0, Urgency::Cancel).is_err());
    assert_eq!(budgets.reads.available(0, Urgency::Cancel), before);
}
