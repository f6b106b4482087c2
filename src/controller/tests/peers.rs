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

/// Task counts of unknown senders and of late frames are not shown.
#[test]
fn only_news_of_known_peers_counts() {
    let mut peers = peers();
    assert_eq!(peers.receive_gossip(1_000, gossip("stranger", 1)), []);
    assert_eq!(peers.receive_gossip(1_000, gossip("n-1", 2)).len(), 1);
    assert_eq!(peers.receive_gossip(1_100, gossip("n-1", 2)), [], "the same frame");
    assert_eq!(peers.receive_gossip(1_100, gossip("n-1", 1)), [], "an earlier frame");
    let usage = Usage { reads: 3.0, writes: 2.0, commits: 1.0 };
    assert_eq!(peers.recent_usage(1_000 + PEER_SILENT_MS - 1), [Some(usage), None]);
    assert_eq!(peers.recent_usage(1_000 + PEER_SILENT_MS), [None, None]);
}

/// Guard: a frame proves that its sender renewed no lease only up to the reading
/// of our clock that it repeats, and only if that is of this start of ours.
#[test]
fn quiet_times_end_at_the_echoed_clock() {
    let echo = |of: &str, nonce, clock_ms| ClockEcho { peer_label: of.to_owned(), nonce, clock_ms };
    // (echo in the peers' frames, whether their quiet time is believed)
    let cases =
        [(echo("n-0", NONCE, 9_000), true), (echo("n-0", NONCE + 1, 9_000), false), (echo("n-2", NONCE, 9_000), false)];
    for (echo, believed) in cases {
        let mut peers = peers();
        for from in ["n-1", "n-2"] {
            peers.receive_gossip(
                10_000,
                Gossip { echoes: vec![echo.clone()], since_leaderless_renewal_ms: 4_000, ..gossip(from, 1) },
            );
        }
        let want = if believed { TimeSpan { from: 10_000 - 3_996, to: 9_000 } } else { TimeSpan::NEVER };
        assert_eq!(peers.inactive_span(), want, "{echo:?}");
    }
}

/// A peer without a renewal key renewed nothing until the watch that shows it was sent.
#[test]
fn peers_without_a_renewal_key_are_quiet() {
    let mut peers = peers();
    peers.observe_renewal_keys(1_000, |label| label == "n-2");
    peers.record_inactive_without_key(4_000);
    assert_eq!(peers.inactive_span(), TimeSpan::NEVER, "n-2 has its key");
    peers.observe_renewal_key(2_000, false, |label| label == "n-2");
    peers.record_inactive_without_key(4_000);
    assert_eq!(peers.inactive_span(), TimeSpan { from: 2_000, to: 4_000 });
    peers.observe_renewal_key(5_000, true, |label| label == "n-1");
    peers.record_inactive_without_key(8_000);
    assert_eq!(peers.inactive_span(), TimeSpan { from: 2_000, to: 4_000 }, "n-1 has its key again");
}

/// A failure is this controller's own if no peer is heard, or a peer was served meanwhile.
#[test]
fn peers_show_whose_failure_it_is() {
    // (when n-1 was heard, how long before that it was served, how long we
    // have been failing, whether the failure is ours)
    let cases = [
        (None, 0, 3_000, true),
        (Some(9_500), 3_000, 3_000, false),
        (Some(9_500), 1_500, 3_000, false),
        (Some(9_500), 1_499, 3_000, true),
        (Some(7_500), 3_000, 3_000, true),
    ];
    for (heard, state_age_ms, failing_ms, want) in cases {
        let mut peers = peers();
        if let Some(heard) = heard {
            peers.receive_gossip(heard, Gossip { state_age_ms, ..gossip("n-1", 1) });
        }
        assert_eq!(peers.show_own_failure(10_000, failing_ms), want, "{heard:?} {state_age_ms}");
    }
}

/// Workers reach a peer that rejected several of their heartbeats and was heard lately.
#[test]
fn rejected_heartbeats_show_where_workers_are() {
    let mut peers = peers();
    peers.receive_gossip(1_000, Gossip { rejected_heartbeats: 1, ..gossip("n-1", 1) });
    assert!(!peers.are_reached_by_workers(1_100));
    peers.receive_gossip(1_200, Gossip { rejected_heartbeats: 2, ..gossip("n-1", 2) });
    assert!(peers.are_reached_by_workers(1_200 + PEER_HEARTBEATS_MS - 1));
    assert!(!peers.are_reached_by_workers(1_200 + PEER_HEARTBEATS_MS));
}
