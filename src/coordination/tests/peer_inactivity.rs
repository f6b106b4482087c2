use super::*;

/// Guard: a lease is taken for expired only over a time for which every other
/// controller has vouched.
#[test]
fn only_adjoining_spans_count() {
    let mut inactivity = PeerInactivity::new(2);
    let none = inactivity.span();
    assert!(none.from > none.to);
    inactivity.record_inactive(0, -500, 1_000);
    inactivity.record_inactive(1, 200, 900);
    assert_eq!(inactivity.span(), TimeSpan { from: 200, to: 900 });
    inactivity.record_inactive(1, 850, 1_500);
    assert_eq!(inactivity.span(), TimeSpan { from: 200, to: 1_000 }, "joined");
    // It ended, and came back after a gap: what was before counts no more.
    inactivity.record_inactive(0, 1_700, 1_600);
    assert_eq!(inactivity.span(), TimeSpan { from: 200, to: 1_000 }, "an empty span says nothing");
    inactivity.record_inactive(0, 1_400, 2_000);
    assert_eq!(inactivity.span(), TimeSpan { from: 1_400, to: 1_500 });
    inactivity.record_inactive(0, 100, 300);
    assert_eq!(inactivity.span(), TimeSpan { from: 1_400, to: 1_500 }, "a late message about long ago");
    assert_eq!(PeerInactivity::new(0).span().to, i64::MAX / 2);
}
