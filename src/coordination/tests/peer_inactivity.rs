use super::*;

/// A leader may consider a worker lease expired only on the basis of a span of time for
/// which every other controller confirmed that it renewed no lease.
#[test]
fn only_overlapping_spans_are_joined() {
    let mut inactivity = PeerInactivity::new(2);
    let empty = inactivity.span();
    assert!(empty.from > empty.to);
    inactivity.record_inactive(0, -500, 1_000);
    inactivity.record_inactive(1, 200, 900);
    assert_eq!(inactivity.span(), TimeSpan { from: 200, to: 900 });
    inactivity.record_inactive(1, 850, 1_500);
    assert_eq!(inactivity.span(), TimeSpan { from: 200, to: 1_000 }, "overlapping spans are joined");
    // After a gap, the earlier span is no longer included.
    inactivity.record_inactive(0, 1_700, 1_600);
    assert_eq!(inactivity.span(), TimeSpan { from: 200, to: 1_000 }, "an empty span is ignored");
    inactivity.record_inactive(0, 1_400, 2_000);
    assert_eq!(inactivity.span(), TimeSpan { from: 1_400, to: 1_500 });
    inactivity.record_inactive(0, 100, 300);
    assert_eq!(
        inactivity.span(),
        TimeSpan { from: 1_400, to: 1_500 },
        "a delayed message about an earlier span is ignored"
    );
    assert_eq!(PeerInactivity::new(0).span().to, i64::MAX / 2);
}
