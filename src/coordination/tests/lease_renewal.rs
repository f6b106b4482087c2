use super::*;
use crate::protocol::ids::Revision;

/// Guard: alone in being cut off, with workers that reach the others.
#[test]
fn who_shares_a_cut() {
    const NOW: Millis = 50_000;
    let o = |near, ago: Option<Millis>, state_age| Other { near, heard: ago.map(|a| NOW - a), state_age };
    let far = o(false, None, Millis::MAX);
    // (others, a worker of another zone came so long ago, keeps)
    let cases: [(&[Other], Option<Millis>, bool); 8] = [
        (&[o(true, Some(300), 6_000), far, far], None, true),
        (&[o(true, Some(300), 6_000), o(false, Some(300), 200)], None, false),
        (&[o(false, Some(300), 6_000), o(false, Some(300), 7_000)], Some(300), true),
        (&[o(true, Some(9_000), 6_000), far], None, false),
        (&[o(true, None, 0), far], None, false),
        (&[far, far], None, true),
        (&[far, far], Some(300), false),
        (&[far, far], Some(9_500), true),
    ];
    for (n, (others, ago, want)) in cases.into_iter().enumerate() {
        assert_eq!(shares_the_cut(NOW, NOW - 9_000, others, ago.map(|a| NOW - a)), want, "case {n}");
    }
}

fn ready(most: Millis) -> RenewalRight {
    let mut k = RenewalRight::new(most, most);
    k.saw_key(Revision(0), Revision(5), false);
    assert_eq!(k.tick(0), Some(Action::Grant));
    k.granted(20, Some(7));
    assert_eq!(k.tick(20), Some(Action::Register { permit: 7, expect: Revision(0) }));
    k.registered(40, Some(Revision(9)));
    k.synced(1_000);
    k
}

/// Guard: what is cancelled right after the last read is still gone in time.
#[test]
fn kept_only_for_so_long() {
    // (cancel_s, lease_s, longest)
    for (cancel, lease, most) in [(50.0, 30.0, 17_840), (66.0, 36.0, 27_795), (30.0, 30.0, 0), (35.0, 30.0, 0)] {
        let got = most_ms(cancel, lease);
        assert_eq!(got, most, "{cancel} {lease}");
        assert!(got == 0 || got as f64 + lease * 1000.0 < cancel * 1000.0 - 1_000.0);
    }
    let k = ready(18_000);
    // (now, may keep): in contact, out of contact, too long.
    for (now, may) in [(1_100, false), (3_400, false), (3_600, true), (18_900, true), (19_000, false)] {
        assert_eq!(k.may_renew_without_leader(now), may, "at {now}");
    }
    let mut k = ready(18_000);
    k.saw_key(Revision(0), Revision(12), false);
    assert!(!k.may_renew_without_leader(5_000), "the key is gone: a leader no longer counts on us");
    assert_eq!(k.tick(5_000), Some(Action::Register { permit: 7, expect: Revision(0) }));
    k.registered(5_010, None);
    k.saw_key(Revision(13), Revision(13), true);
    assert!(k.may_renew_without_leader(5_100), "the watch shows that it was written");
    k.saw_key(Revision(8), Revision(8), false);
    assert!(k.may_renew_without_leader(5_100), "an older sight changes nothing");
    assert_eq!(k.tick(6_100), Some(Action::Renew(7)));
    k.renewed(6_110, Some(false));
    assert!(!k.may_renew_without_leader(6_200));
    // The grant's end is counted from when its renewal was sent.
    let mut k = ready(18_000);
    k.synced(30_000);
    assert!(!k.may_renew_without_leader(33_000), "never renewed");
    assert!(RenewalRight::new(0, 0).tick(0).is_none());
}

/// Guard: the leader's answers are bound as well. An open watch, an answer
/// under way and a restart are no knowledge: only a read that has come back
/// counts, and from when it was sent.
#[test]
fn whoever_answers_knows_what_was_cancelled() {
    // (cancel_s, lease_s): the last lease renewed ends before what was
    // cancelled right after the read has to be gone.
    for (cancel, lease) in [(50.0, 30.0), (66.0, 36.0), (35.0, 30.0), (10.0, 4.0), (30.0, 30.0)] {
        let most = renewal_ms(cancel, lease);
        let mut k = RenewalRight::new(most, 0);
        assert!(!k.may_renew(0) && !k.may_renew(20), "a restart knows nothing");
        k.synced(10_000);
        let last = (10_000..100_000).take_while(|&t| k.may_renew(t)).last();
        match last {
            Some(s) => {
                assert!(s as f64 + lease * 1_000.5 < 10_000.0 + cancel * 999.5 - 1_500.0, "{cancel} {lease}")
            }
            None => assert_eq!(most, 0, "{cancel} {lease}"),
        }
        // An older read that comes back later takes nothing away.
        k.synced(9_000);
        assert_eq!((10_000..100_000).take_while(|&t| k.may_renew(t)).last(), last);
    }
}

/// Guard: a lease is counted out only over a time that every other
/// controller has spoken for.
#[test]
fn who_spoke_for_which_time() {
    let mut w = PeerInactivity::new(2);
    let none = w.span();
    assert!(none.from > none.to);
    w.record_inactive(0, -500, 1_000);
    w.record_inactive(1, 200, 900);
    assert_eq!(w.span(), TimeSpan { from: 200, to: 900 });
    w.record_inactive(1, 850, 1_500);
    assert_eq!(w.span(), TimeSpan { from: 200, to: 1_000 }, "joined on");
    // It ended, and came back after a gap: what was before counts no more.
    w.record_inactive(0, 1_700, 1_600);
    assert_eq!(w.span(), TimeSpan { from: 200, to: 1_000 }, "an old word says nothing");
    w.record_inactive(0, 1_400, 2_000);
    assert_eq!(w.span(), TimeSpan { from: 1_400, to: 1_500 });
    w.record_inactive(0, 100, 300);
    assert_eq!(w.span(), TimeSpan { from: 1_400, to: 1_500 }, "a late word about long ago");
    assert_eq!(PeerInactivity::new(0).span().to, i64::MAX / 2);
}
