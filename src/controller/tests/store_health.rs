use super::StoreHealth;
use crate::{controller::test_support::reply_with_status, transport::CallError};

/// Any response other than 503 ends a failure; a failure begins with the first 503 or missing
/// response.
#[test]
fn store_fails_until_a_response_other_than_503() {
    let mut health = StoreHealth::default();
    // (time in ms, result of the request, failing since, ms since the last response)
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
