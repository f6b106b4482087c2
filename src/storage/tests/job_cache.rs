use super::*;
use crate::protocol::{cbor, ids::Revision, jobs::Submission, store::Change};

fn record(status: JobStatus) -> Value {
    let bytes = cbor::encode(&crate::protocol::jobs::tests::sample());
    let submission: Submission = cbor::decode(&bytes).unwrap();
    to_value(&JobRecord { submission, status, at_ms: 5, chunk: 64 })
}

fn change(status: JobStatus, revision: Revision) -> Changes {
    let c = Change { write: Some(job_key("j-000412")), drop: None, value: Some(record(status)), revision };
    Changes { store_revision: revision, events: vec![c] }
}

#[test]
fn never_back_whatever_the_order() {
    use JobStatus::*;
    // Changes as they arrive, with revisions, and the status after each.
    let cases: [&[(JobStatus, u64, JobStatus)]; 4] = [
        &[(Pending, 1, Pending), (Cancelled, 4, Cancelled)],
        &[(Pending, 1, Pending), (Done, 4, Done), (Pending, 1, Done)],
        &[(Done, 4, Done), (Pending, 1, Done), (Pending, 9, Done)],
        &[(Pending, 3, Pending), (Pending, 3, Pending)],
    ];
    for (n, case) in cases.iter().enumerate() {
        let mut m = JobCache::default();
        let mut t = Interners::default();
        let mut top = 0;
        for (status, revision, want) in *case {
            m.apply_changes(&change(*status, Revision(*revision)), &mut t);
            top = top.max(*revision);
            let index = m.find("j-000412").expect("known");
            assert_eq!(m.get(index).status, *want, "case {n}");
            assert_eq!(m.store_revision(), Revision(top), "case {n}");
        }
    }
}

/// Guard: a peer's word of a cancellation counts at once, and neither it nor
/// the record it speaks of turns anything back, in whatever order they come.
#[test]
fn a_peers_word_of_a_cancellation() {
    use JobStatus::*;
    // (record known before, told revision, record read after, status at the end)
    let cases = [
        (Some((Pending, 3)), 7, None, Some(Cancelled)),
        (Some((Pending, 3)), 7, Some((Cancelled, 7)), Some(Cancelled)),
        (Some((Cancelled, 7)), 7, None, Some(Cancelled)),
        (Some((Done, 9)), 7, None, Some(Done)),
        (None, 7, Some((Cancelled, 7)), Some(Cancelled)),
        (None, 7, None, None),
    ];
    for (n, (before, told_stamp, after, want)) in cases.into_iter().enumerate() {
        let (mut m, mut t) = (JobCache::default(), Interners::default());
        let read = |m: &mut JobCache, t: &mut Interners, r: Option<(JobStatus, u64)>| {
            if let Some((status, revision)) = r {
                m.apply_changes(&change(status, Revision(revision)), t);
            }
        };
        read(&mut m, &mut t, before);
        m.take_changed();
        m.apply_peer_cancellation("j-000412", Revision(told_stamp), &mut t);
        let first = matches!(before, Some((Pending, _)));
        assert_eq!(m.take_changed().len(), usize::from(first), "case {n}: the leader is told once");
        read(&mut m, &mut t, after);
        assert_eq!(m.find("j-000412").map(|index| m.get(index).status), want, "case {n}");
    }
}

#[test]
fn a_record_that_cannot_be_read_is_left_out() {
    let mut m = JobCache::default();
    assert_eq!(m.apply_record("j/j-1", &Value::Text("?".into()), Revision(3), &mut Interners::default()), None);
    assert!(m.is_empty());
}
