use super::*;

#[test]
fn timer_is_due_once_per_interval() {
    let mut interval = Interval::starting_at(1_000, 250);
    assert!(!interval.is_due(999));
    assert!(interval.is_due(1_000));
    assert!(!interval.is_due(1_249));
    assert!(interval.is_due(1_300), "checked late");
    assert!(!interval.is_due(1_549), "the next interval begins at the late check");
    assert!(interval.is_due(1_550));
}
