use super::{allotted_rate, LimitUser, RateLimited, RateLimiter, Urgency};

#[test]
fn budget_table() {
    // (at ms, amount, urgency, allowed)
    let cases = [
        (0, 8.0, Urgency::Submit, true),
        (0, 1.0, Urgency::Submit, false), // 2 left, Submit must leave 2
        (0, 1.0, Urgency::Commit, true),
        (0, 1.0, Urgency::Commit, false),
        (0, 1.0, Urgency::Cancel, true),
        (0, 1.0, Urgency::Cancel, false),
        (0, 1.0, Urgency::Lease, true), // into debt
        (100, 1.0, Urgency::Cancel, false),
        (200, 1.0, Urgency::Cancel, true),
        (100_000, 50.0, Urgency::Commit, true), // more than the bucket: from a full one
        (100_000, 1.0, Urgency::Cancel, false),
    ];
    let mut bucket = RateLimiter::new(10.0, 10.0);
    for (number, (at, amount, urgency, want)) in cases.into_iter().enumerate() {
        assert_eq!(bucket.take(at, amount, urgency).is_ok(), want, "case {number}");
    }
    // Guard: a flood of submissions of a team without a guarantee had those of
    // the other teams refused.
    let mut bucket = RateLimiter::new(10.0, 10.0);
    let taken = (0..20).filter(|_| bucket.take(0, 1.0, Urgency::BestEffortSubmit).is_ok()).count();
    assert_eq!(taken, 7);
    assert!((0..1).all(|_| bucket.take(0, 1.0, Urgency::Submit).is_ok()), "the rest is left to the others");
    let mut bucket = RateLimiter::new(10.0, 10.0);
    bucket.record_rejection(0);
    assert_eq!(bucket.take(0, 1.0, Urgency::Cancel), Err(RateLimited { retry_after_ms: 100 }));
}

/// Guard: fixed shares left half of the limit unused while submissions were
/// refused; whoever is silent keeps its part.
#[test]
fn shares_follow_need() {
    let (idle, silent) = (Some(0.0), None);
    let (leader, users) = (LimitUser::Leader, LimitUser::Users(5));
    // (part, others, at least, at most), of a limit of 100
    let cases: [(LimitUser, &[Option<f64>], f64, f64); 6] = [
        (leader, &[idle; 4], 90.0, 95.0),
        (leader, &[silent; 4], 70.0, 72.0),
        (leader, &[Some(30.0); 4], 50.0, 50.0),
        (users, &[Some(60.0), idle, idle, idle], 30.0, 35.0),
        (users, &[Some(95.0), idle, idle, idle], 6.0, 6.0),
        (LimitUser::Users(1), &[], 90.0, 95.0),
    ];
    for (part, others, least, most) in cases {
        let got = allotted_rate(100.0, part, others);
        assert!((least..=most).contains(&got), "{part:?} {others:?}: {got}");
    }
    let mut bucket = RateLimiter::new(100.0, 100.0);
    for ms in 0..50 {
        let _ = bucket.take(ms * 100, 2.0, Urgency::Submit);
        bucket.used(ms * 100);
    }
    assert!((19.0..21.0).contains(&bucket.used(4_900)), "{}", bucket.used(4_900));
}
