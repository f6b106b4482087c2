use super::*;

/// If only this controller is partitioned from the store, its workers can reach the other
/// controllers, and it must not renew their leases.
#[test]
fn a_partition_is_shared_only_without_evidence_of_the_contrary() {
    const NOW: Millis = 50_000;
    let peer = |same_zone, received_ms_ago: Option<Millis>, store_age_ms| PeerContact {
        same_zone,
        last_received: received_ms_ago.map(|ms_ago| NOW - ms_ago),
        store_age_ms,
    };
    let never_received = peer(false, None, Millis::MAX);
    // (peers, how many ms ago a worker of another zone sent a heartbeat, whether the
    // partition is shared)
    let cases: [(&[PeerContact], Option<Millis>, bool); 8] = [
        (&[peer(true, Some(300), 6_000), never_received, never_received], None, true),
        (&[peer(true, Some(300), 6_000), peer(false, Some(300), 200)], None, false),
        (&[peer(false, Some(300), 6_000), peer(false, Some(300), 7_000)], Some(300), true),
        (&[peer(true, Some(9_000), 6_000), never_received], None, false),
        (&[peer(true, None, 0), never_received], None, false),
        (&[never_received, never_received], None, true),
        (&[never_received, never_received], Some(300), false),
        (&[never_received, never_received], Some(9_500), true),
    ];
    for (number, (peers, heartbeat_ms_ago, expected)) in cases.into_iter().enumerate() {
        let last_heartbeat = heartbeat_ms_ago.map(|ms_ago| NOW - ms_ago);
        assert_eq!(is_shared_partition(NOW, NOW - 9_000, peers, last_heartbeat), expected, "case {number}");
    }
}
