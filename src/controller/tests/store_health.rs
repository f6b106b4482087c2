use super::StoreHealth;
use crate::{controller::test_support::reply_with_status, transport::CallError};

/// Any answer but 503 shows that the store serves; a failure lasts from its first sign.
#[test]
fn failures_last_until_an_answer() {
    let mut health = StoreHealth::default();
    // (when, how the request ended, failing since, age)
    let cases = [
        (10, reply_with_status(200), None, 0),
        (20, reply_with_status(503), Some(20), 10),
        (30, Err(CallError::Unknown), Some(20), 20),
        (40, Err(CallError::NotSent), Some(20), 30),
        (50, reply_with_status(429), None, 0),
        (60, reply_with_status(503), Some(60), 10),
        (70, reply_with_status(404), None, 0),
    ];
    for (now, result, failing_since, age) in cases {
        health.record(now, &result);
        assert_eq!((health.failing_since(), health.response_age_ms(now)), (failing_since, age), "at {now}");
        assert_eq!(health.responded_within(now, 5), failing_since.is_none(), "at {now}");
    }
    assert!(health.responded_within(74, 5) && !health.responded_within(75, 5));
}
