use super::*;

const TTL_MS: Millis = 4_000;
const RETRY_DELAYS: RetryDelays = RetryDelays { after_renewal_ms: 250, after_write_ms: 300 };

fn key_with_store_lease() -> EphemeralKey {
    let mut key = EphemeralKey::new(TTL_MS, RETRY_DELAYS);
    assert_eq!(key.write(0, Revision::ABSENT), Action::RequestStoreLease);
    key.handle_store_lease_response(10, Some(StoreLeaseId(7)));
    key
}

#[test]
fn a_new_store_lease_is_requested_when_little_time_remains_of_the_old_one() {
    let write = Action::WriteKey { store_lease: StoreLeaseId(7), expected_revision: Revision(3) };
    // The store lease is valid until 4000 ms, less the drift of 8 ms and a margin of 40 ms.
    for (now, expected) in [(10, write.clone()), (1_951, write), (1_952, Action::RequestStoreLease)] {
        assert_eq!(key_with_store_lease().write(now, Revision(3)), expected, "at {now}");
    }
}

#[test]
fn a_failed_call_is_retried_after_its_delay() {
    let mut key = EphemeralKey::new(TTL_MS, RETRY_DELAYS);
    key.write(0, Revision::ABSENT);
    key.handle_store_lease_response(100, None);
    assert!(key.is_retry_delayed(399) && !key.is_retry_delayed(400));
    key.cancel_retry_delay(200);
    assert!(!key.is_retry_delayed(200));

    let mut key = key_with_store_lease();
    assert_eq!(key.renew_if_due(999, 1_000), None);
    assert_eq!(key.renew_if_due(1_000, 1_000), Some(Action::RenewStoreLease(StoreLeaseId(7))));
    assert_eq!(key.handle_renewal_outcome(1_100, RenewalOutcome::Unknown), Some(1_000));
    assert_eq!(key.renew_if_due(1_349, 1_000), None);
    assert_eq!(key.renew_if_due(1_350, 1_000), Some(Action::RenewStoreLease(StoreLeaseId(7))));
}

/// The outcome of an abandoned call must not be taken for that of another call.
#[test]
fn outcomes_of_calls_not_in_flight_are_ignored() {
    let mut key = key_with_store_lease();
    key.handle_store_lease_response(20, Some(StoreLeaseId(8)));
    assert_eq!(key.store_lease(), Some(StoreLeaseId(7)));
    assert_eq!(key.handle_renewal_outcome(20, RenewalOutcome::Expired), None);
    assert_eq!(key.handle_write_result(20, Some(Revision(5))), None);
    assert!(key.is_idle() && key.is_store_lease_valid(20));

    key.write(30, Revision::ABSENT);
    assert_eq!(key.release(), Some(StoreLeaseId(7)));
    assert_eq!(key.handle_write_result(40, Some(Revision(5))), None);
    assert!(key.is_idle() && !key.is_store_lease_valid(40));
}
