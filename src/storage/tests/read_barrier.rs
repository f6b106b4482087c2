use super::ReadBarrier;

#[test]
fn a_read_serves_only_those_who_came_before_it() {
    let mut barrier = ReadBarrier::default();
    barrier.join(0, "a");
    assert!(barrier.due(0));
    barrier.sent(0, 50);
    // Guard: "b" came after the read was sent, so its answer could be too old.
    barrier.join(1, "b");
    assert!(!barrier.due(60), "one read at a time");
    assert_eq!(barrier.ended(), vec!["a"]);
    assert!(!barrier.due(40), "gap kept");
    assert!(barrier.due(50));
    barrier.sent(50, 50);
    assert_eq!(barrier.overdue(2_000, 1_500), vec!["b"]);
    assert_eq!(barrier.ended(), Vec::<&str>::new());
    barrier.sent(2_000, 50);
    barrier.ended();
    barrier.join(2_010, "c");
    assert!(!barrier.due(2_010), "gap kept");
    barrier.expedite(2_010);
    assert!(barrier.due(2_010), "gap given up");
}
