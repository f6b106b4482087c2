use super::*;

const TTL: u64 = 4_000;

fn other(nonce: u64) -> LeaderRecord {
    LeaderRecord { label: "b".into(), nonce }
}

fn lead(election: &mut Election) {
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
fn the_lease_is_counted_from_when_it_was_sent() {
    let mut election = Election::new("a", 1, TTL);
    lead(&mut election);
    assert_eq!(election.leading_term(20), Some(Term(Revision(5))));
    // Guard: counted from the grant's sending (0), less drift and margin.
    assert_eq!(election.leading_term(TTL - 40), None);
    assert_eq!(election.tick(1_000), Some(Action::RenewStoreLease(StoreLeaseId(7))));
    election.handle_renewal_outcome(3_900, RenewalOutcome::Renewed);
    assert_eq!(election.leading_term(4_500), Some(Term(Revision(5))));
    assert_eq!(election.leading_term(5_000), None, "sent at 1000, not answered at 3900");
    // An outage: the key is still ours, we just may not act.
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

/// Guard: a claim without an answer is carried out after its grant was given
/// up for another: the key is ours by name, and ends with the old grant.
#[test]
fn a_claim_carried_out_under_an_earlier_grant() {
    let mut election = Election::new("a", 1, TTL);
    election.observe_key(0, None, Revision(1));
    assert_eq!(election.tick(0), Some(Action::RequestStoreLease));
    election.handle_store_lease_response(10, Some(StoreLeaseId(7)));
    assert_eq!(
        election.tick(10),
        Some(Action::WriteKey { store_lease: StoreLeaseId(7), expected_revision: Revision(0) })
    );
    let early = election.record(StoreLeaseId(7));
    election.handle_claim_result(2_500, None);
    assert_eq!(election.tick(2_900), Some(Action::RequestStoreLease), "the first grant has too little left");
    election.handle_store_lease_response(2_910, Some(StoreLeaseId(8)));
    election.observe_key(2_920, Some(early), Revision(5));
    assert_eq!((election.leading_term(2_920), election.held_term()), (None, None));
    assert_eq!(
        election.tick(2_930),
        Some(Action::WriteKey { store_lease: StoreLeaseId(8), expected_revision: Revision(5) }),
        "written anew, under the grant it holds"
    );
    election.handle_claim_result(2_940, Some(Revision(6)));
    assert_eq!(election.leading_term(2_940), Some(Term(Revision(6))));
}

/// Guard: where the service takes over a second to answer, renewals that
/// were never waited for cost the leadership again and again.
#[test]
fn renewals_wait_as_long_as_answers_take() {
    // (answers take so long, leads to the end)
    for (took, leads) in [(20, true), (900, true), (1_400, true), (1_900, true), (4_000, false)] {
        let mut election = Election::new("a", 1, TTL);
        lead(&mut election);
        let mut in_flight: Option<u64> = None;
        let mut lost = 0;
        for now in (30..60_000).step_by(10) {
            if let Some(sent) = in_flight {
                let timeout_ms = election.renewal_timeout_ms();
                if now >= sent + took.min(timeout_ms) {
                    in_flight = None;
                    let outcome = if took <= timeout_ms { RenewalOutcome::Renewed } else { RenewalOutcome::Unknown };
                    election.handle_renewal_outcome(now, outcome);
                }
            } else if let Some(action) = election.tick(now) {
                assert_eq!(action, Action::RenewStoreLease(StoreLeaseId(7)));
                in_flight = Some(now);
            }
            // While it finds out how slow it is, it may stand still once.
            lost += u32::from(now > 10_000 && election.leading_term(now).is_none());
        }
        assert_eq!(lost == 0, leads, "answers after {took} ms: {lost} times not leading");
    }
}

#[test]
fn who_may_stand_for_election() {
    // (key seen, expected action)
    let dead = LeaderRecord { label: "a".into(), nonce: 99 };
    let cases = [
        (None, false),
        (Some((None, 3)), true),
        (Some((Some(other(1)), 3)), false),
        (Some((Some(dead.clone()), 3)), true),
    ];
    for (key, stands) in cases {
        let mut election = Election::new("a", 1, TTL);
        if let Some((record, revision)) = key.clone() {
            election.observe_key(0, record, Revision(revision));
        }
        assert_eq!(election.tick(0), stands.then_some(Action::RequestStoreLease), "{key:?}");
    }
    // One's own dead start is replaced conditionally on its revision.
    let mut election = Election::new("a", 1, TTL);
    election.observe_key(0, Some(dead), Revision(3));
    election.tick(0);
    election.handle_store_lease_response(1, Some(StoreLeaseId(8)));
    assert_eq!(
        election.tick(1),
        Some(Action::WriteKey { store_lease: StoreLeaseId(8), expected_revision: Revision(3) })
    );
    // A claim with no answer that was applied late still counts, by the watch.
    election.handle_claim_result(5, None);
    assert_eq!(election.leading_term(6), None);
    election.observe_key(50, Some(election.record(StoreLeaseId(8))), Revision(9));
    assert_eq!(election.leading_term(51), Some(Term(Revision(9))));
    // An older sight of the key changes nothing.
    election.observe_key(60, Some(other(1)), Revision(4));
    assert_eq!(election.leading_term(61), Some(Term(Revision(9))));
    assert_eq!(election.step_down(70), Some(StoreLeaseId(8)));
    election.observe_key(80, None, Revision(12));
    assert_eq!((election.leading_term(80), election.tick(80)), (None, None), "stands aside for a while");
}
