use super::PollSchedule;

/// A request is due only if none is in flight and the pause is over.
#[test]
fn request_is_due_after_the_pause_when_none_is_in_flight() {
    let mut schedule = PollSchedule::default();
    assert!(schedule.is_due(0));
    schedule.begin();
    assert!(!schedule.is_due(1_000), "due while a request is in flight");
    schedule.end_and_wait_until(500);
    assert!(!schedule.is_due(499) && schedule.is_due(500));
    schedule.begin();
    schedule.set_not_before(700);
    assert!(!schedule.is_due(700), "due while the second request is in flight");
    schedule.end();
    assert!(!schedule.is_due(699) && schedule.is_due(700));
}
