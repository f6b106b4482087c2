use super::*;
use crate::controller::test_support::{new_net, settings_with_peers, NONCE};

fn peers() -> Peers {
    let mut net = new_net();
    let settings = settings_with_peers();
    let identity = Identity { label: settings.label, zone: settings.zone, nonce: NONCE };
    Peers::new(identity, &settings.peer_settings, &mut net)
}

fn gossip(from: &str, count: u64) -> Gossip {
    Gossip {
        from: from.to_owned(),
        nonce: 5,
        count,
        state_age_ms: 100,
        rejected_heartbeats: 0,
        leading: false,
        reads_used: 3.0,
        writes_used: 2.0,
        commits_used: 1.0,
        clock_ms: 40,
        echoes: Vec::new(),
        since_leaderless_renewal_ms: 0,
        counts: vec![TaskCounts { job: "j-1".to_owned(), done: 1, running: 2 }],
    }
}

/// Task counts of unknown senders and of late frames are ignored.
#[test]
fn gossip_of_unknown_senders_and_late_frames_is_ignored() {
    let mut peers = peers();
    assert_eq!(peers.receive_gossip(1_000, gossip("stranger", 1)), []);
    assert_eq!(peers.receive_gossip(1_000, gossip("n-1", 2)).len(), 1);
    assert_eq!(peers.receive_gossip(1_100, gossip("n-1", 2)), [], "the same frame");
    assert_eq!(peers.receive_gossip(1_100, gossip("n-1", 1)), [], "an earlier frame");
    let usage = Usage { reads: 3.0, writes: 2.0, commits: 1.0 };
    assert_eq!(peers.recent_usage(1_000 + PEER_USAGE_VALID_MS - 1), [Some(usage), None]);
    assert_eq!(peers.recent_usage(1_000 + PEER_USAGE_VALID_MS), [None, None]);
}

/// The span in which a frame's sender renewed no lease ends at the reading of this
/// controller's clock that the frame echoes. The span is accepted only if that reading was
/// sent by this start of the controller's process.
#[test]
fn inactive_spans_end_at_the_echoed_clock() {
    let echo = |label: &str, nonce, clock_ms| ClockEcho { peer_label: label.to_owned(), nonce, clock_ms };
    // (echo in the peers' frames, whether their inactive span is accepted)
    let cases =
        [(echo("n-0", NONCE, 9_000), true), (echo("n-0", NONCE + 1, 9_000), false), (echo("n-2", NONCE, 9_000), false)];
    for (echo, accepted) in cases {
        let mut peers = peers();
        for from in ["n-1", "n-2"] {
            peers.receive_gossip(
                10_000,
                Gossip { echoes: vec![echo.clone()], since_leaderless_renewal_ms: 4_000, ..gossip(from, 1) },
            );
        }
        let expected = if accepted { TimeSpan { from: 10_000 - 3_996, to: 9_000 } } else { TimeSpan::EMPTY };
        assert_eq!(peers.inactive_span(), expected, "{echo:?}");
    }
}

/// A peer whose renewal key doesn't exist is inactive from when its absence was observed
/// until the last completed watch was sent.
#[test]
fn peers_without_a_renewal_key_are_inactive() {
    let mut peers = peers();
    peers.observe_renewal_keys(1_000, |label| label == "n-2");
    peers.record_inactive_without_key(4_000);
    assert_eq!(peers.inactive_span(), TimeSpan::EMPTY, "n-2 has its key");
    peers.observe_renewal_key(2_000, false, |label| label == "n-2");
    peers.record_inactive_without_key(4_000);
    assert_eq!(peers.inactive_span(), TimeSpan { from: 2_000, to: 4_000 });
    peers.observe_renewal_key(5_000, true, |label| label == "n-1");
    peers.record_inactive_without_key(8_000);
    assert_eq!(peers.inactive_span(), TimeSpan { from: 2_000, to: 4_000 }, "n-1 has its key again");
}

/// A failure of the store is local to this controller if no peer is reachable, or the
/// store responded to a peer meanwhile.
#[test]
fn a_store_failure_is_local_unless_reachable_peers_share_it() {
    // (when a frame of n-1 was received, how long before that the store had responded to
    // it, how long this controller's failure has lasted, whether the failure is local)
    let cases = [
        (None, 0, 3_000, true),
        (Some(9_500), 3_000, 3_000, false),
        (Some(9_500), 1_500, 3_000, false),
        (Some(9_500), 1_499, 3_000, true),
        (Some(7_500), 3_000, 3_000, true),
    ];
    for (received_at, state_age_ms, failing_ms, expected) in cases {
        let mut peers = peers();
        if let Some(received_at) = received_at {
            peers.receive_gossip(received_at, Gossip { state_age_ms, ..gossip("n-1", 1) });
        }
        assert_eq!(peers.is_store_failure_local(10_000, failing_ms), expected, "{received_at:?} {state_age_ms}");
    }
}

/// Workers reach a peer that rejected several of their heartbeats and whose frame was
/// received recently.
#[test]
fn several_recently_rejected_heartbeats_show_worker_contact() {
    let mut peers = peers();
    peers.receive_gossip(1_000, Gossip { rejected_heartbeats: 1, ..gossip("n-1", 1) });
    assert!(!peers.have_worker_contact(1_100));
    peers.receive_gossip(1_200, Gossip { rejected_heartbeats: 2, ..gossip("n-1", 2) });
    assert!(peers.have_worker_contact(1_200 + REJECTION_COUNT_VALID_MS - 1));
    assert!(!peers.have_worker_contact(1_200 + REJECTION_COUNT_VALID_MS));
}
