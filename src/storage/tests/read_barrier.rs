use super::ReadBarrier;

#[test]
fn read_serves_only_requests_queued_before_it_was_sent() {
    let mut barrier = ReadBarrier::default();
    barrier.enqueue(0, "a");
    assert!(barrier.is_read_due(0));
    barrier.read_sent(0, 50);
    // "b" was queued after the read was sent, so the result could be too old for it.
    barrier.enqueue(1, "b");
    assert!(!barrier.is_read_due(60), "one read at a time");
    assert_eq!(barrier.read_finished(), vec!["a"]);
    assert!(!barrier.is_read_due(40), "gap between reads is kept");
    assert!(barrier.is_read_due(50));
    barrier.read_sent(50, 50);
    assert_eq!(barrier.take_expired(2_000, 1_500), vec!["b"]);
    assert_eq!(barrier.read_finished(), Vec::<&str>::new());
    barrier.read_sent(2_000, 50);
    barrier.read_finished();
    barrier.enqueue(2_010, "c");
    assert!(!barrier.is_read_due(2_010), "gap between reads is kept");
    barrier.expedite(2_010);
    assert!(barrier.is_read_due(2_010), "expedited read skips the gap");
}
