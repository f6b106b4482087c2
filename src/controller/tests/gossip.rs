use super::{OutgoingGossip, MAX_REJECTED_HEARTBEATS, REJECTED_HEARTBEAT_MS};

/// If the list is emptied when it exceeds its limit, then with thousands of machines the
/// leader takes a high number of rejected heartbeats for none.
#[test]
fn the_count_of_rejected_heartbeats_stays_at_its_limit() {
    let mut gossip = OutgoingGossip::default();
    for number in 0..=MAX_REJECTED_HEARTBEATS as u64 {
        gossip.record_rejected_heartbeat(number / 10);
    }
    assert_eq!(gossip.recent_rejection_count(MAX_REJECTED_HEARTBEATS as u64 / 10), MAX_REJECTED_HEARTBEATS as u32);
    assert_eq!(gossip.recent_rejection_count(MAX_REJECTED_HEARTBEATS as u64 / 10 + REJECTED_HEARTBEAT_MS), 0);
}
