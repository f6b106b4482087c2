use super::{decode, encode, Cancelled, ClockEcho, Frame, FrameError, FrameOrder, Gossip, Notice, TaskCounts};
use crate::protocol::ids::Revision;

fn gossip(nonce: u64, count: u64) -> Gossip {
    Gossip {
        from: "a".into(),
        nonce,
        count,
        state_age_ms: 3,
        rejected_heartbeats: 1,
        leading: true,
        reads_used: 7.5,
        writes_used: 0.5,
        commits_used: 1.0,
        clock_ms: 40,
        echoes: vec![ClockEcho { peer_label: "b".into(), nonce: 9, clock_ms: 17 }],
        since_leaderless_renewal_ms: 12,
        counts: vec![TaskCounts { job: "j-1".into(), done: 2, running: 3 }],
    }
}

#[test]
fn frames_round_trip_and_malformed_frames_are_rejected() {
    let notice = Notice { from: "a".into(), cancelled: vec![Cancelled { job: "j-1".into(), revision: Revision(12) }] };
    assert_eq!(decode(&[]), Err(FrameError::Empty));
    for frame in [Frame::Gossip(gossip(7, 1)), Frame::Notice(notice)] {
        let bytes = encode(&frame);
        assert_eq!(decode(&bytes), Ok(frame));
        for len in 1..bytes.len() {
            assert_eq!(decode(&bytes[..len]), Err(FrameError::Malformed), "truncated to {len} bytes");
        }
        let mut other = bytes.clone();
        other[0] = 9;
        assert_eq!(decode(&other), Err(FrameError::UnknownType(9)));
        let mut huge = vec![bytes[0]];
        huge.extend(vec![0xff; 300_000]);
        assert_eq!(decode(&huge), Err(FrameError::Malformed));
    }
}

/// Frames of newer types are sent only to peers whose gossip shows that they can decode
/// them. The marker names no peer, so that the first version can't mistake it for
/// the echo of a clock.
#[test]
fn gossip_with_marker_announces_support_for_notices() {
    let mut gossip = gossip(7, 1);
    assert!(!gossip.reads_notices());
    gossip.echoes.push(Gossip::supported_frames_marker());
    assert!(gossip.reads_notices());
    assert_eq!(gossip.echoes.iter().filter(|echo| !echo.peer_label.is_empty()).count(), 1);
}

/// Delayed frames of a process that has exited must not be accepted as the current
/// state of the peer.
#[test]
fn frames_of_an_earlier_start_are_not_newer() {
    let mut order = FrameOrder::default();
    // (nonce, count, whether the frame is newer)
    for (nonce, count, is_newer) in
        [(5, 1, true), (5, 3, true), (5, 2, false), (5, 3, false), (6, 1, true), (5, 4, false), (6, 2, true)]
    {
        assert_eq!(order.accept_if_newer(&gossip(nonce, count)), is_newer, "nonce {nonce}, count {count}");
    }
}
