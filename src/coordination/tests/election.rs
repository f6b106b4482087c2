use super::*;
use crate::{coordination::model::Term, protocol::ids::Revision};

const TTL: u64 = 4_000;

fn other(n: u64) -> LeaderRecord {
    LeaderRecord { label: "b".into(), nonce: n }
}

fn lead(e: &mut Election) {
    e.saw_key(0, None, Revision(1));
    assert_eq!(e.tick(0), Some(Action::Grant));
    e.granted(10, Some(7));
    assert_eq!(e.tick(10), Some(Action::Claim { permit: 7, expect: Revision(0) }));
    e.claimed(20, Some(Revision(5)));
}

#[test]
fn the_lease_is_counted_from_when_it_was_sent() {
    let mut e = Election::new("a", 1, TTL);
    lead(&mut e);
    assert_eq!(e.leading(20), Some(Term(Revision(5))));
    // Guard: counted from the grant's sending (0), less drift and margin.
    assert_eq!(e.leading(TTL - 40), None);
    assert_eq!(e.tick(1_000), Some(Action::Renew(7)));
    e.renewed(3_900, Some(true));
    assert_eq!(e.leading(4_500), Some(Term(Revision(5))));
    assert_eq!(e.leading(5_000), None, "sent at 1000, not answered at 3900");
    // An outage: the key is still ours, we just may not act.
    assert_eq!(e.holds_key(), Some(Term(Revision(5))));
    assert_eq!(e.tick(5_000), Some(Action::Renew(7)));
    e.renewed(5_010, None);
    assert_eq!(e.tick(5_100), None);
    assert_eq!(e.tick(5_260), Some(Action::Renew(7)));
    e.renewed(5_270, Some(true));
    assert_eq!(e.leading(5_270), Some(Term(Revision(5))));
    assert_eq!(e.tick(6_260), Some(Action::Renew(7)));
    e.renewed(6_270, Some(false));
    assert_eq!((e.leading(6_270), e.holds_key()), (None, None));
}

/// Guard: a claim without an answer is carried out after its grant was given
/// up for another: the key is ours by name, and ends with the old grant.
#[test]
fn a_claim_carried_out_under_an_earlier_grant() {
    let mut e = Election::new("a", 1, TTL);
    e.saw_key(0, None, Revision(1));
    assert_eq!(e.tick(0), Some(Action::Grant));
    e.granted(10, Some(7));
    assert_eq!(e.tick(10), Some(Action::Claim { permit: 7, expect: Revision(0) }));
    let early = e.record(7);
    e.claimed(2_500, None);
    assert_eq!(e.tick(2_900), Some(Action::Grant), "the first grant has too little left");
    e.granted(2_910, Some(8));
    e.saw_key(2_920, Some(early), Revision(5));
    assert_eq!((e.leading(2_920), e.holds_key()), (None, None));
    assert_eq!(
        e.tick(2_930),
        Some(Action::Claim { permit: 8, expect: Revision(5) }),
        "written anew, under the grant it holds"
    );
    e.claimed(2_940, Some(Revision(6)));
    assert_eq!(e.leading(2_940), Some(Term(Revision(6))));
}

/// Guard: where the service takes over a second to answer, renewals that
/// were never waited for cost the leadership again and again.
#[test]
fn renewals_wait_as_long_as_answers_take() {
    // (answers take so long, leads to the end)
    for (took, leads) in [(20, true), (900, true), (1_400, true), (1_900, true), (4_000, false)] {
        let mut e = Election::new("a", 1, TTL);
        lead(&mut e);
        let mut flight: Option<u64> = None;
        let mut lost = 0;
        for now in (30..60_000).step_by(10) {
            if let Some(sent) = flight {
                let patience = e.patience_ms();
                if now >= sent + took.min(patience) {
                    flight = None;
                    e.renewed(now, (took <= patience).then_some(true));
                }
            } else if let Some(act) = e.tick(now) {
                assert_eq!(act, Action::Renew(7));
                flight = Some(now);
            }
            // While it finds out how slow it is, it may stand still once.
            lost += u32::from(now > 10_000 && e.leading(now).is_none());
        }
        assert_eq!(lost == 0, leads, "answers after {took} ms: {lost} times not leading");
    }
}

#[test]
fn who_may_stand() {
    // (key seen, expected act)
    let dead = LeaderRecord { label: "a".into(), nonce: 99 };
    let cases = [
        (None, false),
        (Some((None, 3)), true),
        (Some((Some(other(1)), 3)), false),
        (Some((Some(dead.clone()), 3)), true),
    ];
    for (key, stands) in cases {
        let mut e = Election::new("a", 1, TTL);
        if let Some((r, s)) = key.clone() {
            e.saw_key(0, r, Revision(s));
        }
        assert_eq!(e.tick(0), stands.then_some(Action::Grant), "{key:?}");
    }
    // One's own dead start is replaced conditionally on its revision.
    let mut e = Election::new("a", 1, TTL);
    e.saw_key(0, Some(dead), Revision(3));
    e.tick(0);
    e.granted(1, Some(8));
    assert_eq!(e.tick(1), Some(Action::Claim { permit: 8, expect: Revision(3) }));
    // A claim with no answer that was applied late still counts, by the watch.
    e.claimed(5, None);
    assert_eq!(e.leading(6), None);
    e.saw_key(50, Some(e.record(8)), Revision(9));
    assert_eq!(e.leading(51), Some(Term(Revision(9))));
    // An older sight of the key changes nothing.
    e.saw_key(60, Some(other(1)), Revision(4));
    assert_eq!(e.leading(61), Some(Term(Revision(9))));
    assert_eq!(e.step_down(70), Some(Action::StepDown(8)));
    e.saw_key(80, None, Revision(12));
    assert_eq!((e.leading(80), e.tick(80)), (None, None), "stands aside for a while");
}
