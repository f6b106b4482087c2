use ciborium::Value;

use super::*;
use crate::{
    coordination::{
        cluster::{ClusterState, Config, NewAssignment, ReleaseReason},
        effects::CommitOutcome,
        model::{Millis, Term},
    },
    protocol::{
        cbor,
        ids::{Attempt, Incarnation, Revision},
        jobs::Submission,
        names::{Interners, ZoneIndex},
        store::{Transaction, WriteOperation},
    },
    storage::{
        job_cache::{JobCache, JobIndex},
        records::{self, ChunkRecord, JobRecord, JobStatus},
    },
};

const NOW: Millis = 1_000;
const JOB_REVISION: Revision = Revision(5);
const LEADER_REVISION: Revision = Revision(3);
const FIRST_CHUNK: &str = "t/j-1/000000";
const SECOND_CHUNK: &str = "t/j-1/000001";
const URGENT: WriteAllowance = WriteAllowance { max_ops: 8, has_spare: false };
const SPARE: WriteAllowance = WriteAllowance { max_ops: 8, has_spare: true };

/// A gang of 16 tasks in two chunks, and the pipeline that writes it.
struct Fixture {
    commits: CommitPipeline,
    cluster: ClusterState,
    interners: Interners,
    job: JobIndex,
}

fn config() -> Config {
    Config {
        worker_lease_ms: 3_000,
        heartbeat_interval_ms: 500,
        gang_peer_s: 8.0,
        max_transaction_writes: 8,
        max_value_bytes: 16_384,
        reduced_max_value_bytes: 4_096,
        reduced_chunk_size: 4,
        host_list_delay_ms: 1_000,
        teams: Vec::new(),
        objectives: Vec::new(),
        min_idle_ms: 60_000,
        heartbeat_timeout_ms: 2_000,
        max_machines: usize::MAX,
        use_spot: true,
    }
}

fn fixture() -> Fixture {
    let mut interners = Interners::default();
    let submission: Submission = cbor::decode(&cbor::encode(&crate::protocol::jobs::tests::sample())).unwrap();
    let record = JobRecord { submission, status: JobStatus::Pending, at_ms: 5, chunk: 8 };
    let mut job_cache = JobCache::default();
    let job = job_cache.apply_record("j/j-1", &records::to_value(&record), JOB_REVISION, &mut interners).unwrap();
    let mut cluster = ClusterState::new(config(), Term(LEADER_REVISION), Attempt(0), NOW, Vec::new());
    cluster.apply_job_record(NOW, NOW, job, &job_cache);
    interners.zones.intern("z1");
    Fixture { commits: CommitPipeline::new(100), cluster, interners, job }
}

impl Fixture {
    fn assign(&mut self, task: u32) {
        let machine = self.cluster.find_or_add_machine(NOW, "m-1", ZoneIndex(0));
        self.cluster.update_snapshot_host(NOW, machine);
        let (attempt, job) = (self.cluster.next_attempt(), self.job);
        let new = NewAssignment { job, task, machine, incarnation: Incarnation(1), attempt, zone: ZoneIndex(0) };
        self.cluster.add_assignment(NOW, new).expect("a pending task");
    }

    fn next(&mut self, now: Millis, allowance: WriteAllowance) -> Option<Transaction> {
        self.commits.next_transaction(now, allowance, &mut self.cluster, &self.interners)
    }

    fn finish(&mut self, now: Millis, outcome: CommitOutcome) -> bool {
        self.commits.finish(now, outcome, &mut self.cluster).is_ok()
    }

    fn has_writes(&mut self, now: Millis, has_spare: bool) -> bool {
        self.commits.has_writes(now, has_spare, &mut self.cluster)
    }

    fn resynced(&mut self, now: Millis, key: &str, found: Option<(Value, Revision)>) {
        self.commits.resynced(now, key, found, &mut self.cluster);
    }

    fn chunk_revision(&self, chunk: usize) -> Revision {
        self.cluster.job(self.job).expect("active").records.chunks[chunk].revision
    }

    fn has_unwritten_placement(&self) -> bool {
        self.cluster.job(self.job).expect("active").has_unwritten_placement()
    }
}

fn written(transaction: &Transaction) -> Vec<(&str, &Value)> {
    transaction.writes.iter().filter_map(put).collect()
}

fn put(op: &WriteOperation) -> Option<(&str, &Value)> {
    match op {
        WriteOperation::Put { key, value: v, .. } => Some((key, v)),
        WriteOperation::Delete { .. } => None,
    }
}

fn deleted(op: &WriteOperation) -> Option<&str> {
    match op {
        WriteOperation::Put { .. } => None,
        WriteOperation::Delete { key } => Some(key),
    }
}

fn written_keys(transaction: &Transaction) -> Vec<&str> {
    written(transaction).into_iter().map(|(key, _)| key).collect()
}

fn deleted_keys(transaction: &Transaction) -> Vec<&str> {
    transaction.writes.iter().filter_map(deleted).collect()
}

fn requires(transaction: &Transaction, key: &str, revision: Revision) -> bool {
    transaction.conditions.iter().any(|condition| condition.key == key && condition.revision == revision)
}

fn chunk_record(transaction: &Transaction, key: &str) -> ChunkRecord {
    let (_, value) = written(transaction).into_iter().find(|(written, _)| *written == key).expect("written");
    value.deserialized().expect("a chunk record")
}

#[test]
fn placements_are_written_under_the_terms_of_this_leadership() {
    let mut f = fixture();
    assert!(!f.has_writes(NOW, false) && f.next(NOW, URGENT).is_none(), "nothing is assigned");
    f.assign(0);
    f.assign(9);
    assert!(f.has_writes(NOW, false));
    let transaction = f.next(NOW, URGENT).expect("two chunks changed");
    assert_eq!(written_keys(&transaction), [FIRST_CHUNK, SECOND_CHUNK]);
    assert!(requires(&transaction, records::LEADER_KEY, LEADER_REVISION));
    assert!(requires(&transaction, "j/j-1", JOB_REVISION));
    assert!(
        requires(&transaction, FIRST_CHUNK, Revision::ABSENT) && requires(&transaction, SECOND_CHUNK, Revision::ABSENT)
    );
    let assignments = chunk_record(&transaction, SECOND_CHUNK).assignments;
    assert_eq!(assignments.iter().map(|record| (record.0, record.1.as_str())).collect::<Vec<_>>(), [(9, "m-1")]);
    assert!(!f.commits.may_send(NOW) && f.next(NOW, URGENT).is_none(), "one transaction at a time");
    assert!(f.finish(NOW + 20, CommitOutcome::Applied(Revision(8))));
    assert_eq!((f.chunk_revision(0), f.chunk_revision(1)), (Revision(8), Revision(8)));
    assert!(!f.has_unwritten_placement() && !f.has_writes(NOW + 20, false));
    let statistics = f.commits.take_statistics();
    assert_eq!((statistics.transactions, statistics.placements, statistics.exits), (1, 2, 0));
    assert_eq!(statistics.mean_placement_wait_ms(), 20);
    assert_eq!(f.commits.take_statistics().transactions, 0, "counted once");
}

#[test]
fn a_refused_transaction_is_built_anew_after_a_pause() {
    let mut f = fixture();
    f.assign(0);
    let first = f.next(NOW, URGENT).unwrap();
    assert!(f.finish(NOW, CommitOutcome::Refused));
    assert!(!f.commits.may_send(NOW + 149) && f.commits.may_send(NOW + 150));
    f.assign(1);
    let second = f.next(NOW + 150, URGENT).unwrap();
    assert_eq!(chunk_record(&second, FIRST_CHUNK).assignments.len(), 2);
    assert!(chunk_record(&second, FIRST_CHUNK).tag > chunk_record(&first, FIRST_CHUNK).tag);
}

/// Guard: an unanswered transaction may have been applied, or may yet be; it is
/// sent again as it was until one copy is answered for certain.
#[test]
fn an_unanswered_transaction_is_sent_again_as_it_was() {
    let mut f = fixture();
    f.assign(0);
    let first = f.next(NOW, URGENT).unwrap();
    assert!(f.finish(NOW, CommitOutcome::Unknown));
    assert!(!f.commits.may_send(NOW + 99) && f.commits.may_send(NOW + 100));
    f.assign(1);
    assert_eq!(f.next(NOW + 100, URGENT).as_ref(), Some(&first));
    // That copy is refused; the first one may still be on its way.
    assert!(f.finish(NOW + 100, CommitOutcome::Refused));
    assert_eq!(f.next(NOW + 250, URGENT).as_ref(), Some(&first));
    assert!(f.finish(NOW + 250, CommitOutcome::Applied(Revision(8))));
    assert!(f.has_unwritten_placement(), "the second assignment is not written yet");
    let next = f.next(NOW + 250, URGENT).unwrap();
    assert_eq!(chunk_record(&next, FIRST_CHUNK).assignments.len(), 2);
    assert!(requires(&next, FIRST_CHUNK, Revision(8)));
}

#[test]
fn a_conflict_at_the_leaders_key_ends_the_leadership() {
    let mut f = fixture();
    f.assign(0);
    f.next(NOW, URGENT).unwrap();
    assert!(!f.finish(NOW, CommitOutcome::Conflict(vec![records::LEADER_KEY.to_owned(), FIRST_CHUNK.to_owned()])));
}

#[test]
fn a_conflict_at_a_jobs_key_waits_for_the_job_cache() {
    let mut f = fixture();
    f.assign(0);
    f.next(NOW, URGENT).unwrap();
    assert!(f.finish(NOW, CommitOutcome::Conflict(vec!["j/j-1".to_owned()])));
    assert!(f.cluster.job(f.job).unwrap().records.stale);
    assert!(f.next(NOW, URGENT).is_none() && f.commits.resync_key().is_none());
}

#[test]
fn a_conflict_at_a_chunks_key_is_settled_by_reading_it() {
    // The key holds: our own write; that of another; nothing.
    for case in 0..3 {
        let mut f = fixture();
        f.assign(0);
        let transaction = f.next(NOW, URGENT).unwrap();
        assert!(f.finish(NOW, CommitOutcome::Conflict(vec![FIRST_CHUNK.to_owned()])));
        assert_eq!(f.commits.resync_key(), Some(FIRST_CHUNK), "case {case}");
        assert!(f.next(NOW, URGENT).is_none(), "case {case}: not before it is read");
        let own = chunk_record(&transaction, FIRST_CHUNK);
        let found = match case {
            0 => Some((records::to_value(&own), Revision(8))),
            1 => Some((records::to_value(&ChunkRecord { tag: own.tag + 1, ..own }), Revision(8))),
            _ => None,
        };
        f.resynced(NOW, FIRST_CHUNK, found);
        assert_eq!(f.commits.resync_key(), None, "case {case}");
        assert_eq!(f.has_unwritten_placement(), case != 0, "case {case}");
        assert_eq!(f.chunk_revision(0), if case == 2 { Revision::ABSENT } else { Revision(8) }, "case {case}");
        assert_eq!(f.commits.take_statistics().transactions, u32::from(case == 0), "case {case}");
    }
}

#[test]
fn a_refusal_as_too_large_lowers_the_limits_one_after_the_other() {
    let mut f = fixture();
    f.assign(0);
    f.assign(9);
    assert_eq!(f.next(NOW, URGENT).unwrap().writes.len(), 2);
    assert!(f.finish(NOW, CommitOutcome::TooLarge));
    assert_eq!(f.cluster.value_limit(), 4_096, "the store's lower limits hold");
    assert_eq!(f.next(NOW + 150, URGENT).unwrap().writes.len(), 2);
    assert!(f.finish(NOW + 150, CommitOutcome::TooLarge));
    assert!(!f.commits.may_send(NOW + 1_149) && f.commits.may_send(NOW + 1_150));
    assert_eq!(f.next(NOW + 1_150, URGENT).unwrap().writes.len(), 1, "half of them");
    assert!(f.finish(NOW + 1_150, CommitOutcome::TooLarge));
    // Refused as the only write: its assignment is released for a while, and
    // with it those of the rest of its gang.
    let job = f.cluster.job(f.job).unwrap();
    assert_eq!((job.tasks.placed, job.records.chunks[0].retry_at), (0, NOW + 3_150));
}

#[test]
fn exits_wait_for_one_another() {
    // (budget to spare, delay)
    for (has_spare, delay) in [(false, 8_000), (true, 1_500)] {
        let mut f = fixture();
        f.assign(0);
        f.next(NOW, URGENT).unwrap();
        assert!(f.finish(NOW, CommitOutcome::Applied(Revision(8))));
        let assignment = f.cluster.job(f.job).unwrap().assignments()[0];
        f.cluster.release_assignment(assignment, ReleaseReason::Done);
        assert!(!f.has_writes(NOW, has_spare) && !f.has_writes(NOW + delay - 1, has_spare));
        assert!(f.has_writes(NOW + delay, has_spare));
        let allowance = WriteAllowance { has_spare, ..URGENT };
        assert_eq!(written_keys(&f.next(NOW + delay, allowance).unwrap()), [FIRST_CHUNK]);
        assert!(f.finish(NOW + delay, CommitOutcome::Applied(Revision(9))));
        let statistics = f.commits.take_statistics();
        assert_eq!((statistics.placements, statistics.exits), (1, 1));
    }
}

#[test]
fn a_completed_job_is_recorded_and_its_chunks_are_deleted() {
    let mut f = fixture();
    f.commits.set_wall_clock(NOW, 50_000);
    for task in 0..16 {
        f.assign(task);
    }
    f.next(NOW, URGENT).unwrap();
    assert!(f.finish(NOW, CommitOutcome::Applied(Revision(8))));
    for assignment in f.cluster.job(f.job).unwrap().assignments() {
        f.cluster.release_assignment(assignment, ReleaseReason::Done);
    }
    let transaction = f.next(NOW + 10, URGENT).expect("completions wait for nothing");
    assert_eq!(written_keys(&transaction), ["j/j-1"]);
    assert!(requires(&transaction, "j/j-1", JOB_REVISION));
    let record: JobRecord = written(&transaction)[0].1.deserialized().unwrap();
    assert_eq!((record.status, record.at_ms), (JobStatus::Done, 50_010));
    assert!(f.finish(NOW + 10, CommitOutcome::Applied(Revision(9))));
    assert!(f.cluster.job(f.job).is_none(), "removed");
    assert!(!f.has_writes(NOW + 10, false) && f.has_writes(NOW + 10, true), "deletions take only what is to spare");
    let transaction = f.next(NOW + 10, SPARE).unwrap();
    assert_eq!(deleted_keys(&transaction), [FIRST_CHUNK, SECOND_CHUNK]);
    assert!(
        requires(&transaction, FIRST_CHUNK, Revision(8))
            && requires(&transaction, records::LEADER_KEY, LEADER_REVISION)
    );
    // One key has changed meanwhile: only the other one is tried again, after a pause.
    assert!(f.finish(NOW + 10, CommitOutcome::Conflict(vec![FIRST_CHUNK.to_owned()])));
    assert!(f.next(NOW + 809, SPARE).is_none());
    assert_eq!(deleted_keys(&f.next(NOW + 810, SPARE).unwrap()), [SECOND_CHUNK]);
}

#[test]
fn a_job_is_resharded_once_all_controllers_can_follow_and_there_is_budget_to_spare() {
    let mut f = fixture();
    f.assign(5);
    f.next(NOW, URGENT).unwrap();
    assert!(f.finish(NOW, CommitOutcome::Applied(Revision(8))));
    assert!(!f.has_writes(NOW, true) && f.next(NOW, SPARE).is_none(), "not enabled");
    f.commits.set_resharding_enabled(true);
    assert!(f.next(NOW + 200, URGENT).is_none(), "nothing to spare");
    let transaction = f.next(NOW + 200, SPARE).expect("chunks of 8 tasks become chunks of 4");
    // Task 5 is in the second of the new chunks; the first one's record is deleted.
    assert_eq!(written_keys(&transaction), ["j/j-1", SECOND_CHUNK]);
    assert_eq!(deleted_keys(&transaction), [FIRST_CHUNK]);
    assert!(requires(&transaction, FIRST_CHUNK, Revision(8)) && requires(&transaction, SECOND_CHUNK, Revision::ABSENT));
    assert!(requires(&transaction, records::LEADER_KEY, LEADER_REVISION));
    assert!(f.cluster.job(f.job).unwrap().records.resharding, "none of its tasks may be assigned");
    assert!(f.finish(NOW + 200, CommitOutcome::Applied(Revision(9))));
    let records = &f.cluster.job(f.job).unwrap().records;
    assert_eq!((records.chunk_size, records.chunks.len(), records.resharding), (4, 4, false));
    assert_eq!(records.chunks[1].revision, Revision(9));
}
