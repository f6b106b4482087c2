use super::*;
use crate::protocol::{
    cbor,
    settings::{tests::SAMPLE, Settings},
};

/// A job may have been recorded under a larger limit. If its record were written again at
/// that size, the store would reject the cancellation permanently.
#[test]
fn cancelled_record_fits_lowered_value_limit() {
    const LOWERED: &str = "[cluster.state.next]\nvalue_kb = 2.0\n[cluster.cloud]";
    let settings = Settings::parse(&SAMPLE.replacen("[cluster.cloud]", LOWERED, 1), "x.toml").unwrap();
    let users = UserApi::new(Rc::new(settings.cluster));
    let small: Submission = cbor::decode(&cbor::encode(&crate::protocol::jobs::tests::sample())).unwrap();
    let name_list = |count: usize, bytes: usize| Some(vec!["t".repeat(bytes); count]);
    // (machine types, prerequisites, whether both are kept)
    let cases = [
        (name_list(1, 8), None, true),
        (name_list(20, 60), name_list(10, 8), true),
        (name_list(60, 200), None, false),
        (name_list(1, 8), name_list(300, 12), false),
    ];
    for (types, prereqs, kept) in cases {
        let submission = Submission { types, prereqs, ..small.clone() };
        let pending = JobRecord { submission, status: JobStatus::Pending, at_ms: 5, tasks_per_chunk: 64 };
        let cancelled = users.cancelled_record(&pending);
        assert!(users.fits_value_limit(&cancelled), "{pending:?}");
        assert_eq!((cancelled.status, cancelled.at_ms, cancelled.tasks_per_chunk), (JobStatus::Cancelled, 5, 64));
        assert_eq!(cancelled.submission == pending.submission, kept, "{pending:?}");
        // The resources that the tasks occupy until they have stopped stay in the record.
        assert_eq!((cancelled.submission.tasks, cancelled.submission.cpus), (small.tasks, small.cpus));
    }
}
