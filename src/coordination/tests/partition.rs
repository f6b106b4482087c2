use super::*;

/// Guard: a controller that alone is out of contact, with workers that reach the others.
#[test]
fn a_partition_is_shared_by_the_zone() {
    const NOW: Millis = 50_000;
    let peer = |same_zone, ago: Option<Millis>, store_age_ms| PeerContact {
        same_zone,
        last_received: ago.map(|ago| NOW - ago),
        store_age_ms,
    };
    let far = peer(false, None, Millis::MAX);
    // (peers, how long ago a worker of another zone sent a heartbeat, renews leases)
    let cases: [(&[PeerContact], Option<Millis>, bool); 8] = [
        (&[peer(true, Some(300), 6_000), far, far], None, true),
        (&[peer(true, Some(300), 6_000), peer(false, Some(300), 200)], None, false),
        (&[peer(false, Some(300), 6_000), peer(false, Some(300), 7_000)], Some(300), true),
        (&[peer(true, Some(9_000), 6_000), far], None, false),
        (&[peer(true, None, 0), far], None, false),
        (&[far, far], None, true),
        (&[far, far], Some(300), false),
        (&[far, far], Some(9_500), true),
    ];
    for (number, (peers, ago, expected)) in cases.into_iter().enumerate() {
        assert_eq!(is_shared_partition(NOW, NOW - 9_000, peers, ago.map(|ago| NOW - ago)), expected, "case {number}");
    }
}
