use super::{allotted_rate, LimitUser, RateLimited, RateLimiter, Urgency};

#[test]
fn less_urgent_requests_leave_tokens_for_more_urgent_ones() {
    // (time in ms, amount, urgency, whether it is allowed)
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
        (100_000, 50.0, Urgency::Commit, true), // more than the burst: from a full bucket
        (100_000, 1.0, Urgency::Cancel, false),
    ];
    let mut bucket = RateLimiter::new(10.0, 10.0);
    for (number, (at, amount, urgency, expected)) in cases.into_iter().enumerate() {
        assert_eq!(bucket.take(at, amount, urgency).is_ok(), expected, "case {number}");
    }
    // Without a reserve for teams with a guarantee, a flood of submissions of a team
    // without one caused the submissions of the other teams to be rejected.
    let mut bucket = RateLimiter::new(10.0, 10.0);
    let taken = (0..20).filter(|_| bucket.take(0, 1.0, Urgency::BestEffortSubmit).is_ok()).count();
    assert_eq!(taken, 7);
    assert!(
        (0..1).all(|_| bucket.take(0, 1.0, Urgency::Submit).is_ok()),
        "the rest is left for teams with a guarantee"
    );
    let mut bucket = RateLimiter::new(10.0, 10.0);
    bucket.record_rejection(0);
    assert_eq!(bucket.take(0, 1.0, Urgency::Cancel), Err(RateLimited { retry_after_ms: 100 }));
}

/// With fixed shares, half of the limit was unused while submissions were rejected.
/// A controller from which no frame was received recently keeps its share.
#[test]
fn allotted_rate_follows_the_usage_of_others() {
    let (idle, unreachable) = (Some(0.0), None);
    let (leader, users) = (LimitUser::Leader, LimitUser::Users(5));
    // (user, usage of the others, min rate, max rate), of a limit of 100
    let cases: [(LimitUser, &[Option<f64>], f64, f64); 6] = [
        (leader, &[idle; 4], 90.0, 95.0),
        (leader, &[unreachable; 4], 70.0, 72.0),
        (leader, &[Some(30.0); 4], 50.0, 50.0),
        (users, &[Some(60.0), idle, idle, idle], 30.0, 35.0),
        (users, &[Some(95.0), idle, idle, idle], 6.0, 6.0),
        (LimitUser::Users(1), &[], 90.0, 95.0),
    ];
    for (user, others, min, max) in cases {
        let rate = allotted_rate(100.0, user, others);
        assert!((min..=max).contains(&rate), "{user:?}, others {others:?}: {rate}");
    }
    let mut bucket = RateLimiter::new(100.0, 100.0);
    for ms in 0..50 {
        let _ = bucket.take(ms * 100, 2.0, Urgency::Submit);
        bucket.usage_per_s(ms * 100);
    }
    assert!((19.0..21.0).contains(&bucket.usage_per_s(4_900)), "{}", bucket.usage_per_s(4_900));
}
