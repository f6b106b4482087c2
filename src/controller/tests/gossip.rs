use super::{OutgoingGossip, MAX_REJECTED_HEARTBEATS, REJECTED_HEARTBEAT_MS};

/// Regression test: the list of rejected heartbeats used to be emptied when it exceeded its
/// limit. With thousands of machines, the leader then concluded from the low count that none
/// were rejected, although very many were.
#[test]
fn the_count_of_rejected_heartbeats_stays_at_its_limit() {
    let mut gossip = OutgoingGossip::default();
    for number in 0..=MAX_REJECTED_HEARTBEATS as u64 {
        gossip.record_rejected_heartbeat(number / 10);
    }
    assert_eq!(gossip.recent_rejection_count(MAX_REJECTED_HEARTBEATS as u64 / 10), MAX_REJECTED_HEARTBEATS as u32);
    assert_eq!(gossip.recent_rejection_count(MAX_REJECTED_HEARTBEATS as u64 / 10 + REJECTED_HEARTBEAT_MS), 0);
}
