use super::*;

/// An authority that holds its key and sent its last read of the jobs' records at 1000 ms.
fn authority_with_key(window_ms: Millis) -> RenewalAuthority {
    let mut authority = RenewalAuthority::new(window_ms, window_ms);
    authority.observe_key(Revision(0), Revision(5), false);
    assert_eq!(authority.tick(0), Some(Action::RequestStoreLease));
    authority.handle_store_lease_response(20, Some(StoreLeaseId(7)));
    assert_eq!(
        authority.tick(20),
        Some(Action::WriteKey { store_lease: StoreLeaseId(7), expected_revision: Revision(0) })
    );
    authority.handle_write_result(40, Some(Revision(9)));
    authority.record_job_read(1_000);
    authority
}

/// A task that is cancelled right after the last read of the jobs' records must still be
/// stopped in time.
#[test]
fn leaderless_renewal_is_limited_to_its_time_window() {
    // (cancel_s, lease_s, expected window in ms)
    for (cancel_s, lease_s, expected_ms) in
        [(50.0, 30.0, 17_840), (66.0, 36.0, 27_795), (30.0, 30.0, 0), (35.0, 30.0, 0)]
    {
        let window_ms = leaderless_window_ms(cancel_s, lease_s);
        assert_eq!(window_ms, expected_ms, "cancel_s {cancel_s}, lease_s {lease_s}");
        assert!(window_ms == 0 || window_ms as f64 + lease_s * 1000.0 < cancel_s * 1000.0 - 1_000.0);
    }
    let authority = authority_with_key(18_000);
    // (now, whether a lease may be renewed): the store is considered reachable at first, then
    // unreachable, and in the last case unreachable for too long.
    for (now, expected) in [(1_100, false), (3_400, false), (3_600, true), (18_900, true), (19_000, false)] {
        assert_eq!(authority.may_renew_without_leader(now), expected, "at {now}");
    }
    let mut authority = authority_with_key(18_000);
    authority.observe_key(Revision(0), Revision(12), false);
    assert!(
        !authority.may_renew_without_leader(5_000),
        "without the key, a leader assumes that this controller renews no lease"
    );
    assert_eq!(
        authority.tick(5_000),
        Some(Action::WriteKey { store_lease: StoreLeaseId(7), expected_revision: Revision(0) })
    );
    authority.handle_write_result(5_010, None);
    authority.observe_key(Revision(13), Revision(13), true);
    assert!(authority.may_renew_without_leader(5_100), "the watch shows that the key was written");
    authority.observe_key(Revision(8), Revision(8), false);
    assert!(authority.may_renew_without_leader(5_100), "an older state of the key is ignored");
    assert_eq!(authority.tick(6_100), Some(Action::RenewStoreLease(StoreLeaseId(7))));
    authority.handle_renewal_outcome(6_110, RenewalOutcome::Expired);
    assert!(!authority.may_renew_without_leader(6_200));
    // The expiry of the store lease is counted from when its request or renewal was sent.
    let mut authority = authority_with_key(18_000);
    authority.record_job_read(30_000);
    assert!(!authority.may_renew_without_leader(33_000), "the store lease was never renewed");
    assert!(RenewalAuthority::new(0, 0).tick(0).is_none());
}

/// The limit applies to the leader's responses too. A pending watch, a response in flight
/// and a restart show nothing about cancellations: only a completed read is taken into
/// account, from when it was sent.
#[test]
fn a_lease_is_renewed_only_after_a_recent_read_of_the_jobs() {
    // (cancel_s, lease_s): the last renewed lease expires before the deadline of a
    // cancellation right after the read.
    for (cancel_s, lease_s) in [(50.0, 30.0), (66.0, 36.0), (35.0, 30.0), (10.0, 4.0), (30.0, 30.0)] {
        let window_ms = renewal_window_ms(cancel_s, lease_s);
        let mut authority = RenewalAuthority::new(window_ms, 0);
        assert!(!authority.may_renew(0) && !authority.may_renew(20), "no read has completed since the restart");
        authority.record_job_read(10_000);
        let last = (10_000..100_000).take_while(|&now| authority.may_renew(now)).last();
        match last {
            Some(renewed_at) => {
                assert!(
                    renewed_at as f64 + lease_s * 1_000.5 < 10_000.0 + cancel_s * 999.5 - 1_500.0,
                    "cancel_s {cancel_s}, lease_s {lease_s}"
                )
            }
            None => assert_eq!(window_ms, 0, "cancel_s {cancel_s}, lease_s {lease_s}"),
        }
        // An older read that completes later doesn't shorten the window.
        authority.record_job_read(9_000);
        assert_eq!((10_000..100_000).take_while(|&now| authority.may_renew(now)).last(), last);
    }
}
