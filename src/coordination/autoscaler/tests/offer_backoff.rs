use super::*;
use crate::protocol::names::{MachineTypeIndex, ZoneIndex};

const OFFER: Offer = Offer { machine_type: MachineTypeIndex(0), zone: ZoneIndex(0), spot: false };
const OTHER_BILLING: Offer = Offer { spot: true, ..OFFER };

#[test]
fn repeated_lack_of_capacity_grows_the_backoff_by_half_up_to_its_limit() {
    let mut backoffs = OfferBackoffs::default();
    for wait_ms in [6_000, 9_000, 13_500, 20_250, 25_000, 25_000] {
        backoffs.record_no_capacity(100, OFFER);
        assert!(!backoffs.is_available(100 + wait_ms - 1, &OFFER), "{wait_ms}");
        assert!(backoffs.is_available(100 + wait_ms, &OFFER), "{wait_ms}");
        assert!(backoffs.is_available(100, &OTHER_BILLING), "{wait_ms}");
    }
}

#[test]
fn rejected_or_partly_filled_request_sets_a_fixed_backoff_and_filled_one_resets_it() {
    let mut backoffs = OfferBackoffs::default();
    backoffs.record_rejected(0, OFFER);
    assert!(!backoffs.is_available(24_999, &OFFER) && backoffs.is_available(25_000, &OFFER));
    backoffs.record_partly_filled(0, OFFER);
    assert!(!backoffs.is_available(5_999, &OFFER) && backoffs.is_available(6_000, &OFFER));
    backoffs.record_filled(OFFER);
    assert!(backoffs.is_available(0, &OFFER));
    backoffs.record_no_capacity(0, OFFER);
    assert!(backoffs.is_available(6_000, &OFFER), "a filled request resets the back-off to its initial length");
}
