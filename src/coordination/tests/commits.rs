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
const URGENT: WriteAllowance = WriteAllowance { max_writes: 8, has_spare_budget: false };
const SPARE: WriteAllowance = WriteAllowance { max_writes: 8, has_spare_budget: true };

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
    let record = JobRecord { submission, status: JobStatus::Pending, at_ms: 5, tasks_per_chunk: 8 };
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
        self.cluster.add_assignment(NOW, new).expect("the task is pending");
    }

    fn next(&mut self, now: Millis, allowance: WriteAllowance) -> Option<Transaction> {
        self.commits.next_transaction(now, allowance, &mut self.cluster, &self.interners)
    }

    fn finish(&mut self, now: Millis, outcome: CommitOutcome) -> bool {
        self.commits.finish(now, outcome, &mut self.cluster).is_ok()
    }

    fn has_writes(&mut self, now: Millis, has_spare_budget: bool) -> bool {
        self.commits.has_writes(now, has_spare_budget, &mut self.cluster)
    }

    fn resynced(&mut self, now: Millis, key: &str, found: Option<(Value, Revision)>) {
        self.commits.resynced(now, key, found, &mut self.cluster);
    }

    fn chunk_revision(&self, chunk: usize) -> Revision {
        self.cluster.job(self.job).expect("the job is active").records.chunks[chunk].revision
    }

    fn has_unwritten_placement(&self) -> bool {
        self.cluster.job(self.job).expect("the job is active").has_unwritten_placement()
    }
}

fn written(transaction: &Transaction) -> Vec<(&str, &Value)> {
    transaction.writes.iter().filter_map(put).collect()
}

fn put(op: &WriteOperation) -> Option<(&str, &Value)> {
    match op {
        WriteOperation::Put { key, value, .. } => Some((key, value)),
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

fn has_condition(transaction: &Transaction, key: &str, revision: Revision) -> bool {
    transaction.conditions.iter().any(|condition| condition.key == key && condition.revision == revision)
}

fn chunk_record(transaction: &Transaction, key: &str) -> ChunkRecord {
    let (_, value) = written(transaction).into_iter().find(|(written, _)| *written == key).expect("the key is written");
    value.deserialized().expect("the value is a chunk record")
}

#[test]
fn placements_are_written_on_condition_of_leader_job_and_chunk_revisions() {
    let mut fixture = fixture();
    assert!(
        !fixture.has_writes(NOW, false) && fixture.next(NOW, URGENT).is_none(),
        "no task is assigned, so nothing is written"
    );
    fixture.assign(0);
    fixture.assign(9);
    assert!(fixture.has_writes(NOW, false));
    let transaction = fixture.next(NOW, URGENT).expect("two chunks changed");
    assert_eq!(written_keys(&transaction), [FIRST_CHUNK, SECOND_CHUNK]);
    assert!(has_condition(&transaction, records::LEADER_KEY, LEADER_REVISION));
    assert!(has_condition(&transaction, "j/j-1", JOB_REVISION));
    assert!(
        has_condition(&transaction, FIRST_CHUNK, Revision::ABSENT)
            && has_condition(&transaction, SECOND_CHUNK, Revision::ABSENT)
    );
    let assignments = chunk_record(&transaction, SECOND_CHUNK).assignments;
    assert_eq!(assignments.iter().map(|record| (record.0, record.1.as_str())).collect::<Vec<_>>(), [(9, "m-1")]);
    assert!(!fixture.commits.may_send(NOW) && fixture.next(NOW, URGENT).is_none(), "one transaction at a time");
    assert!(fixture.finish(NOW + 20, CommitOutcome::Applied(Revision(8))));
    assert_eq!((fixture.chunk_revision(0), fixture.chunk_revision(1)), (Revision(8), Revision(8)));
    assert!(!fixture.has_unwritten_placement() && !fixture.has_writes(NOW + 20, false));
    let statistics = fixture.commits.take_statistics();
    assert_eq!((statistics.transactions, statistics.placements, statistics.exits), (1, 2, 0));
    assert_eq!(statistics.mean_placement_wait_ms(), 20);
    assert_eq!(fixture.commits.take_statistics().transactions, 0, "each transaction is counted once");
}

#[test]
fn refused_transaction_is_rebuilt_after_a_pause() {
    let mut fixture = fixture();
    fixture.assign(0);
    let first = fixture.next(NOW, URGENT).unwrap();
    assert!(fixture.finish(NOW, CommitOutcome::Refused));
    assert!(!fixture.commits.may_send(NOW + 149) && fixture.commits.may_send(NOW + 150));
    fixture.assign(1);
    let second = fixture.next(NOW + 150, URGENT).unwrap();
    assert_eq!(chunk_record(&second, FIRST_CHUNK).assignments.len(), 2);
    assert!(chunk_record(&second, FIRST_CHUNK).tag > chunk_record(&first, FIRST_CHUNK).tag);
}

/// A transaction without a response may have been applied, or may still be applied
/// later: it is sent again, unchanged, until the outcome of one copy is certain.
#[test]
fn transaction_without_response_is_sent_again_unchanged() {
    let mut fixture = fixture();
    fixture.assign(0);
    let first = fixture.next(NOW, URGENT).unwrap();
    assert!(fixture.finish(NOW, CommitOutcome::Unknown));
    assert!(!fixture.commits.may_send(NOW + 99) && fixture.commits.may_send(NOW + 100));
    fixture.assign(1);
    assert_eq!(fixture.next(NOW + 100, URGENT).as_ref(), Some(&first));
    // The second copy is refused; the first one may still be in flight.
    assert!(fixture.finish(NOW + 100, CommitOutcome::Refused));
    assert_eq!(fixture.next(NOW + 250, URGENT).as_ref(), Some(&first));
    assert!(fixture.finish(NOW + 250, CommitOutcome::Applied(Revision(8))));
    assert!(fixture.has_unwritten_placement(), "the second assignment is not written yet");
    let next = fixture.next(NOW + 250, URGENT).unwrap();
    assert_eq!(chunk_record(&next, FIRST_CHUNK).assignments.len(), 2);
    assert!(has_condition(&next, FIRST_CHUNK, Revision(8)));
}

#[test]
fn conflict_on_leader_key_ends_the_leadership() {
    let mut fixture = fixture();
    fixture.assign(0);
    fixture.next(NOW, URGENT).unwrap();
    assert!(!fixture.finish(NOW, CommitOutcome::Conflict(vec![records::LEADER_KEY.to_owned(), FIRST_CHUNK.to_owned()])));
}

#[test]
fn conflict_on_job_key_marks_the_job_stale_and_blocks_its_writes() {
    let mut fixture = fixture();
    fixture.assign(0);
    fixture.next(NOW, URGENT).unwrap();
    assert!(fixture.finish(NOW, CommitOutcome::Conflict(vec!["j/j-1".to_owned()])));
    assert!(fixture.cluster.job(fixture.job).unwrap().records.stale);
    assert!(fixture.next(NOW, URGENT).is_none() && fixture.commits.resync_key().is_none());
}

#[test]
fn conflict_on_chunk_key_is_resolved_by_reading_the_key() {
    // The key holds: this transaction's write; another transaction's write; nothing.
    for case in 0..3 {
        let mut fixture = fixture();
        fixture.assign(0);
        let transaction = fixture.next(NOW, URGENT).unwrap();
        assert!(fixture.finish(NOW, CommitOutcome::Conflict(vec![FIRST_CHUNK.to_owned()])));
        assert_eq!(fixture.commits.resync_key(), Some(FIRST_CHUNK), "case {case}");
        assert!(fixture.next(NOW, URGENT).is_none(), "case {case}: no transaction before the key is read");
        let own = chunk_record(&transaction, FIRST_CHUNK);
        let found = match case {
            0 => Some((records::to_value(&own), Revision(8))),
            1 => Some((records::to_value(&ChunkRecord { tag: own.tag + 1, ..own }), Revision(8))),
            _ => None,
        };
        fixture.resynced(NOW, FIRST_CHUNK, found);
        assert_eq!(fixture.commits.resync_key(), None, "case {case}");
        assert_eq!(fixture.has_unwritten_placement(), case != 0, "case {case}");
        assert_eq!(fixture.chunk_revision(0), if case == 2 { Revision::ABSENT } else { Revision(8) }, "case {case}");
        assert_eq!(fixture.commits.take_statistics().transactions, u32::from(case == 0), "case {case}");
    }
}

#[test]
fn refusal_as_too_large_lowers_one_limit_at_a_time() {
    let mut fixture = fixture();
    fixture.assign(0);
    fixture.assign(9);
    assert_eq!(fixture.next(NOW, URGENT).unwrap().writes.len(), 2);
    assert!(fixture.finish(NOW, CommitOutcome::TooLarge));
    assert_eq!(fixture.cluster.value_limit(), 4_096, "the store's lower limits are in effect");
    assert_eq!(fixture.next(NOW + 150, URGENT).unwrap().writes.len(), 2);
    assert!(fixture.finish(NOW + 150, CommitOutcome::TooLarge));
    assert!(!fixture.commits.may_send(NOW + 1_149) && fixture.commits.may_send(NOW + 1_150));
    assert_eq!(fixture.next(NOW + 1_150, URGENT).unwrap().writes.len(), 1, "half the number of writes");
    assert!(fixture.finish(NOW + 1_150, CommitOutcome::TooLarge));
    // The chunk is refused as the only write of a transaction: its assignment is released,
    // with those of the rest of its gang, and the chunk is left out for some time.
    let job = fixture.cluster.job(fixture.job).unwrap();
    assert_eq!((job.tasks.placed, job.records.chunks[0].retry_at), (0, NOW + 3_150));
}

#[test]
fn exits_are_written_together_after_a_delay() {
    // (has spare budget, delay in ms)
    for (has_spare_budget, delay) in [(false, 8_000), (true, 1_500)] {
        let mut fixture = fixture();
        fixture.assign(0);
        fixture.next(NOW, URGENT).unwrap();
        assert!(fixture.finish(NOW, CommitOutcome::Applied(Revision(8))));
        let assignment = fixture.cluster.job(fixture.job).unwrap().assignments()[0];
        fixture.cluster.release_assignment(assignment, ReleaseReason::Done);
        assert!(!fixture.has_writes(NOW, has_spare_budget) && !fixture.has_writes(NOW + delay - 1, has_spare_budget));
        assert!(fixture.has_writes(NOW + delay, has_spare_budget));
        let allowance = WriteAllowance { has_spare_budget, ..URGENT };
        assert_eq!(written_keys(&fixture.next(NOW + delay, allowance).unwrap()), [FIRST_CHUNK]);
        assert!(fixture.finish(NOW + delay, CommitOutcome::Applied(Revision(9))));
        let statistics = fixture.commits.take_statistics();
        assert_eq!((statistics.placements, statistics.exits), (1, 1));
    }
}

#[test]
fn completed_job_is_recorded_and_its_chunks_are_deleted() {
    let mut fixture = fixture();
    fixture.commits.set_wall_clock(NOW, 50_000);
    for task in 0..16 {
        fixture.assign(task);
    }
    fixture.next(NOW, URGENT).unwrap();
    assert!(fixture.finish(NOW, CommitOutcome::Applied(Revision(8))));
    for assignment in fixture.cluster.job(fixture.job).unwrap().assignments() {
        fixture.cluster.release_assignment(assignment, ReleaseReason::Done);
    }
    let transaction = fixture.next(NOW + 10, URGENT).expect("completions are written without a delay");
    assert_eq!(written_keys(&transaction), ["j/j-1"]);
    assert!(has_condition(&transaction, "j/j-1", JOB_REVISION));
    let record: JobRecord = written(&transaction)[0].1.deserialized().unwrap();
    assert_eq!((record.status, record.at_ms), (JobStatus::Done, 50_010));
    assert!(fixture.finish(NOW + 10, CommitOutcome::Applied(Revision(9))));
    assert!(fixture.cluster.job(fixture.job).is_none(), "the completed job is removed");
    assert!(
        !fixture.has_writes(NOW + 10, false) && fixture.has_writes(NOW + 10, true),
        "deletions use only spare budget"
    );
    let transaction = fixture.next(NOW + 10, SPARE).unwrap();
    assert_eq!(deleted_keys(&transaction), [FIRST_CHUNK, SECOND_CHUNK]);
    assert!(
        has_condition(&transaction, FIRST_CHUNK, Revision(8))
            && has_condition(&transaction, records::LEADER_KEY, LEADER_REVISION)
    );
    // One key has changed in the meantime: only the deletion of the other one is retried,
    // after a pause.
    assert!(fixture.finish(NOW + 10, CommitOutcome::Conflict(vec![FIRST_CHUNK.to_owned()])));
    assert!(fixture.next(NOW + 809, SPARE).is_none());
    assert_eq!(deleted_keys(&fixture.next(NOW + 810, SPARE).unwrap()), [SECOND_CHUNK]);
}

#[test]
fn job_is_resharded_only_when_enabled_and_with_spare_budget() {
    let mut fixture = fixture();
    fixture.assign(5);
    fixture.next(NOW, URGENT).unwrap();
    assert!(fixture.finish(NOW, CommitOutcome::Applied(Revision(8))));
    assert!(!fixture.has_writes(NOW, true) && fixture.next(NOW, SPARE).is_none(), "resharding is not enabled");
    fixture.commits.set_resharding_enabled(true);
    assert!(fixture.next(NOW + 200, URGENT).is_none(), "no spare budget");
    let transaction = fixture.next(NOW + 200, SPARE).expect("chunks of 8 tasks become chunks of 4");
    // Task 5 is in the second of the new chunks; the first one's record is deleted.
    assert_eq!(written_keys(&transaction), ["j/j-1", SECOND_CHUNK]);
    assert_eq!(deleted_keys(&transaction), [FIRST_CHUNK]);
    assert!(
        has_condition(&transaction, FIRST_CHUNK, Revision(8))
            && has_condition(&transaction, SECOND_CHUNK, Revision::ABSENT)
    );
    assert!(has_condition(&transaction, records::LEADER_KEY, LEADER_REVISION));
    assert!(
        fixture.cluster.job(fixture.job).unwrap().records.resharding,
        "none of the job's tasks may be assigned during resharding"
    );
    assert!(fixture.finish(NOW + 200, CommitOutcome::Applied(Revision(9))));
    let records = &fixture.cluster.job(fixture.job).unwrap().records;
    assert_eq!((records.chunk_size, records.chunks.len(), records.resharding), (4, 4, false));
    assert_eq!(records.chunks[1].revision, Revision(9));
}
