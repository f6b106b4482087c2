use super::ReadBarrier;

#[test]
fn a_read_serves_only_those_who_came_before_it() {
    let mut b = ReadBarrier::default();
    b.join(0, "a");
    assert!(b.due(0));
    b.sent(0, 50);
    // Guard: "b" came after the read was sent, so its answer could be too old.
    b.join(1, "b");
    assert!(!b.due(60), "one read at a time");
    assert_eq!(b.ended(), vec!["a"]);
    assert!(!b.due(40), "gap kept");
    assert!(b.due(50));
    b.sent(50, 50);
    assert_eq!(b.overdue(2_000, 1_500), vec!["b"]);
    assert_eq!(b.ended(), Vec::<&str>::new());
    b.sent(2_000, 50);
    b.ended();
    b.join(2_010, "c");
    assert!(!b.due(2_010), "gap kept");
    b.expedite(2_010);
    assert!(b.due(2_010), "gap given up");
}
