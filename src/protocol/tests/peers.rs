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
fn frames_survive_the_way_and_garbage_is_refused() {
    let notice = Notice { from: "a".into(), cancelled: vec![Cancelled { job: "j-1".into(), revision: Revision(12) }] };
    assert_eq!(decode(&[]), Err(FrameError::Empty));
    for frame in [Frame::Gossip(gossip(7, 1)), Frame::Notice(notice)] {
        let bytes = encode(&frame);
        assert_eq!(decode(&bytes), Ok(frame));
        for n in 1..bytes.len() {
            assert_eq!(decode(&bytes[..n]), Err(FrameError::Malformed), "cut at {n}");
        }
        let mut other = bytes.clone();
        other[0] = 9;
        assert_eq!(decode(&other), Err(FrameError::UnknownType(9)));
        let mut huge = vec![bytes[0]];
        huge.extend(vec![0xff; 300_000]);
        assert_eq!(decode(&huge), Err(FrameError::Malformed));
    }
}

/// Guard: newer frames go only to peers that have shown that they read
/// them, and the mark is no echo that the first version could mistake.
#[test]
fn who_reads_notices() {
    let mut g = gossip(7, 1);
    assert!(!g.reads_notices());
    g.echoes.push(Gossip::supported_frames_marker());
    assert!(g.reads_notices());
    assert_eq!(g.echoes.iter().filter(|e| !e.peer_label.is_empty()).count(), 1);
}

/// Guard: late frames of a process that is over are no news of the peer.
#[test]
fn frames_of_an_earlier_start_are_no_news() {
    let mut o = FrameOrder::default();
    // (nonce, count, news)
    for (nonce, count, news) in
        [(5, 1, true), (5, 3, true), (5, 2, false), (5, 3, false), (6, 1, true), (5, 4, false), (6, 2, true)]
    {
        assert_eq!(o.accept_if_newer(&gossip(nonce, count)), news, "{nonce} {count}");
    }
}
