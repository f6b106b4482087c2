use super::{RequestStatistics, LOG_INTERVAL_MS};

/// The counts are reset once per log interval, not earlier.
#[test]
fn counts_are_reset_once_per_log_interval() {
    let mut statistics = RequestStatistics::default();
    statistics.log_if_due(0);
    statistics.record_accepted();
    statistics.record_unavailable();
    statistics.record_over_budget();
    statistics.log_if_due(LOG_INTERVAL_MS - 1);
    assert_eq!((statistics.accepted, statistics.unavailable, statistics.over_budget), (1, 1, 1));
    statistics.log_if_due(LOG_INTERVAL_MS);
    assert_eq!((statistics.accepted, statistics.unavailable, statistics.over_budget), (0, 0, 0));
    assert_eq!(statistics.next_log, 2 * LOG_INTERVAL_MS);
}
