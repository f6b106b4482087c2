use super::{OutgoingGossip, MAX_REJECTED_HEARTBEATS, REJECTED_HEARTBEAT_MS};

/// Guard: beyond its limit the list was emptied, so that with thousands of
/// machines the leader took a flood of rejected heartbeats for none.
#[test]
fn a_flood_of_rejected_heartbeats_still_counts() {
    let mut gossip = OutgoingGossip::default();
    for n in 0..=MAX_REJECTED_HEARTBEATS as u64 {
        gossip.record_rejected_heartbeat(n / 10);
    }
    assert_eq!(gossip.recent_rejection_count(MAX_REJECTED_HEARTBEATS as u64 / 10), MAX_REJECTED_HEARTBEATS as u32);
    assert_eq!(gossip.recent_rejection_count(MAX_REJECTED_HEARTBEATS as u64 / 10 + REJECTED_HEARTBEAT_MS), 0);
}
