use super::PollSchedule;

#[test]
fn one_request_at_a_time_each_after_a_pause() {
    let mut schedule = PollSchedule::default();
    assert!(schedule.is_due(0));
    schedule.begin();
    assert!(!schedule.is_due(1_000), "in flight");
    schedule.end_and_wait_until(500);
    assert!(!schedule.is_due(499) && schedule.is_due(500));
    schedule.begin();
    schedule.set_not_before(700);
    assert!(!schedule.is_due(700), "still in flight");
    schedule.end();
    assert!(!schedule.is_due(699) && schedule.is_due(700));
}
