use super::*;

fn ready(most: Millis) -> RenewalAuthority {
    let mut authority = RenewalAuthority::new(most, most);
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

/// Guard: what is cancelled right after the last read is still gone in time.
#[test]
fn leases_are_renewed_for_a_limited_time() {
    // (cancel_s, lease_s, longest)
    for (cancel, lease, most) in [(50.0, 30.0, 17_840), (66.0, 36.0, 27_795), (30.0, 30.0, 0), (35.0, 30.0, 0)] {
        let got = leaderless_window_ms(cancel, lease);
        assert_eq!(got, most, "{cancel} {lease}");
        assert!(got == 0 || got as f64 + lease * 1000.0 < cancel * 1000.0 - 1_000.0);
    }
    let authority = ready(18_000);
    // (now, may renew): in contact, out of contact, too long.
    for (now, may) in [(1_100, false), (3_400, false), (3_600, true), (18_900, true), (19_000, false)] {
        assert_eq!(authority.may_renew_without_leader(now), may, "at {now}");
    }
    let mut authority = ready(18_000);
    authority.observe_key(Revision(0), Revision(12), false);
    assert!(!authority.may_renew_without_leader(5_000), "the key is gone: a leader no longer counts on us");
    assert_eq!(
        authority.tick(5_000),
        Some(Action::WriteKey { store_lease: StoreLeaseId(7), expected_revision: Revision(0) })
    );
    authority.handle_write_result(5_010, None);
    authority.observe_key(Revision(13), Revision(13), true);
    assert!(authority.may_renew_without_leader(5_100), "the watch shows that it was written");
    authority.observe_key(Revision(8), Revision(8), false);
    assert!(authority.may_renew_without_leader(5_100), "an older sight changes nothing");
    assert_eq!(authority.tick(6_100), Some(Action::RenewStoreLease(StoreLeaseId(7))));
    authority.handle_renewal_outcome(6_110, RenewalOutcome::Expired);
    assert!(!authority.may_renew_without_leader(6_200));
    // The grant's end is counted from when its renewal was sent.
    let mut authority = ready(18_000);
    authority.record_job_read(30_000);
    assert!(!authority.may_renew_without_leader(33_000), "never renewed");
    assert!(RenewalAuthority::new(0, 0).tick(0).is_none());
}

/// Guard: the leader's answers are bound as well. An open watch, an answer
/// under way and a restart are no knowledge: only a read that has come back
/// counts, and from when it was sent.
#[test]
fn whoever_answers_knows_what_was_cancelled() {
    // (cancel_s, lease_s): the last lease renewed ends before what was
    // cancelled right after the read has to be gone.
    for (cancel, lease) in [(50.0, 30.0), (66.0, 36.0), (35.0, 30.0), (10.0, 4.0), (30.0, 30.0)] {
        let most = renewal_window_ms(cancel, lease);
        let mut authority = RenewalAuthority::new(most, 0);
        assert!(!authority.may_renew(0) && !authority.may_renew(20), "a restart knows nothing");
        authority.record_job_read(10_000);
        let last = (10_000..100_000).take_while(|&t| authority.may_renew(t)).last();
        match last {
            Some(s) => {
                assert!(s as f64 + lease * 1_000.5 < 10_000.0 + cancel * 999.5 - 1_500.0, "{cancel} {lease}")
            }
            None => assert_eq!(most, 0, "{cancel} {lease}"),
        }
        // An older read that comes back later takes nothing away.
        authority.record_job_read(9_000);
        assert_eq!((10_000..100_000).take_while(|&t| authority.may_renew(t)).last(), last);
    }
}
