use super::*;

const TTL_MS: u64 = 4_000;

fn record_of_other_controller(nonce: u64) -> LeaderRecord {
    LeaderRecord { label: "b".into(), nonce }
}

/// Requests a store lease at 0 ms and claims the key under it.
fn win_election(election: &mut Election) {
    election.observe_key(0, None, Revision(1));
    assert_eq!(election.tick(0), Some(Action::RequestStoreLease));
    election.handle_store_lease_response(10, Some(StoreLeaseId(7)));
    assert_eq!(
        election.tick(10),
        Some(Action::WriteKey { store_lease: StoreLeaseId(7), expected_revision: Revision(0) })
    );
    election.handle_claim_result(20, Some(Revision(5)));
}

#[test]
fn leadership_expiry_is_counted_from_the_sending_of_the_request() {
    let mut election = Election::new("a", 1, TTL_MS);
    win_election(&mut election);
    assert_eq!(election.leading_term(20), Some(Term(Revision(5))));
    // Counted from the sending of the request for the store lease (0), less drift and margin.
    assert_eq!(election.leading_term(TTL_MS - 40), None);
    assert_eq!(election.tick(1_000), Some(Action::RenewStoreLease(StoreLeaseId(7))));
    election.handle_renewal_outcome(3_900, RenewalOutcome::Renewed);
    assert_eq!(election.leading_term(4_500), Some(Term(Revision(5))));
    assert_eq!(election.leading_term(5_000), None, "counted from the sending at 1000, not from the response at 3900");
    // In an outage the key still names this controller, but it has no authority to act.
    assert_eq!(election.held_term(), Some(Term(Revision(5))));
    assert_eq!(election.tick(5_000), Some(Action::RenewStoreLease(StoreLeaseId(7))));
    election.handle_renewal_outcome(5_010, RenewalOutcome::Unknown);
    assert_eq!(election.tick(5_100), None);
    assert_eq!(election.tick(5_260), Some(Action::RenewStoreLease(StoreLeaseId(7))));
    election.handle_renewal_outcome(5_270, RenewalOutcome::Renewed);
    assert_eq!(election.leading_term(5_270), Some(Term(Revision(5))));
    assert_eq!(election.tick(6_260), Some(Action::RenewStoreLease(StoreLeaseId(7))));
    election.handle_renewal_outcome(6_270, RenewalOutcome::Expired);
    assert_eq!((election.leading_term(6_270), election.held_term()), (None, None));
}

/// A claim without a response may be applied after its store lease was abandoned for
/// another one: the key names this controller, but is removed with the old lease.
#[test]
fn a_claim_applied_late_under_an_earlier_store_lease_gives_no_leadership() {
    let mut election = Election::new("a", 1, TTL_MS);
    election.observe_key(0, None, Revision(1));
    assert_eq!(election.tick(0), Some(Action::RequestStoreLease));
    election.handle_store_lease_response(10, Some(StoreLeaseId(7)));
    assert_eq!(
        election.tick(10),
        Some(Action::WriteKey { store_lease: StoreLeaseId(7), expected_revision: Revision(0) })
    );
    let late_record = election.record(StoreLeaseId(7));
    election.handle_claim_result(2_500, None);
    assert_eq!(
        election.tick(2_900),
        Some(Action::RequestStoreLease),
        "too little time remains of the first store lease"
    );
    election.handle_store_lease_response(2_910, Some(StoreLeaseId(8)));
    election.observe_key(2_920, Some(late_record), Revision(5));
    assert_eq!((election.leading_term(2_920), election.held_term()), (None, None));
    assert_eq!(
        election.tick(2_930),
        Some(Action::WriteKey { store_lease: StoreLeaseId(8), expected_revision: Revision(5) }),
        "the key is written again, under the current store lease"
    );
    election.handle_claim_result(2_940, Some(Revision(6)));
    assert_eq!(election.leading_term(2_940), Some(Term(Revision(6))));
}

/// If the store takes over a second to respond and renewals time out before that, the
/// leadership is lost again and again.
#[test]
fn the_renewal_timeout_adapts_to_slow_responses() {
    // (response time in ms, keeps leading to the end)
    for (response_ms, keeps_leading) in [(20, true), (900, true), (1_400, true), (1_900, true), (4_000, false)] {
        let mut election = Election::new("a", 1, TTL_MS);
        win_election(&mut election);
        let mut in_flight: Option<u64> = None;
        let mut not_leading_count = 0;
        for now in (30..60_000).step_by(10) {
            if let Some(sent) = in_flight {
                let timeout_ms = election.renewal_timeout_ms();
                if now >= sent + response_ms.min(timeout_ms) {
                    in_flight = None;
                    let outcome =
                        if response_ms <= timeout_ms { RenewalOutcome::Renewed } else { RenewalOutcome::Unknown };
                    election.handle_renewal_outcome(now, outcome);
                }
            } else if let Some(action) = election.tick(now) {
                assert_eq!(action, Action::RenewStoreLease(StoreLeaseId(7)));
                in_flight = Some(now);
            }
            // Until the timeout has adapted to the response time, leadership may be interrupted once.
            not_leading_count += u32::from(now > 10_000 && election.leading_term(now).is_none());
        }
        assert_eq!(
            not_leading_count == 0,
            keeps_leading,
            "responses after {response_ms} ms: not leading {not_leading_count} times"
        );
    }
}

#[test]
fn the_key_is_claimed_only_if_absent_or_of_an_earlier_start() {
    // (observed key, whether it is claimed)
    let earlier_start = LeaderRecord { label: "a".into(), nonce: 99 };
    let cases = [
        (None, false),
        (Some((None, 3)), true),
        (Some((Some(record_of_other_controller(1)), 3)), false),
        (Some((Some(earlier_start.clone()), 3)), true),
    ];
    for (key, is_claimed) in cases {
        let mut election = Election::new("a", 1, TTL_MS);
        if let Some((record, revision)) = key.clone() {
            election.observe_key(0, record, Revision(revision));
        }
        assert_eq!(election.tick(0), is_claimed.then_some(Action::RequestStoreLease), "{key:?}");
    }
    // The key of an earlier start of this controller is replaced only if its revision is
    // still the observed one.
    let mut election = Election::new("a", 1, TTL_MS);
    election.observe_key(0, Some(earlier_start), Revision(3));
    election.tick(0);
    election.handle_store_lease_response(1, Some(StoreLeaseId(8)));
    assert_eq!(
        election.tick(1),
        Some(Action::WriteKey { store_lease: StoreLeaseId(8), expected_revision: Revision(3) })
    );
    // A claim that received no response and was applied late takes effect once the watch
    // shows it.
    election.handle_claim_result(5, None);
    assert_eq!(election.leading_term(6), None);
    election.observe_key(50, Some(election.record(StoreLeaseId(8))), Revision(9));
    assert_eq!(election.leading_term(51), Some(Term(Revision(9))));
    // An older state of the key is ignored.
    election.observe_key(60, Some(record_of_other_controller(1)), Revision(4));
    assert_eq!(election.leading_term(61), Some(Term(Revision(9))));
    assert_eq!(election.step_down(70), Some(StoreLeaseId(8)));
    election.observe_key(80, None, Revision(12));
    assert_eq!(
        (election.leading_term(80), election.tick(80)),
        (None, None),
        "no claim for a while after stepping down"
    );
}
