//! The forms of the versions before: frames and records, byte for byte. First of
//! `ac1d836`, which knew no prerequisites, then of `ddfa46b`, which does.
//! `tests/fixtures/README.md` says how the files were made.

use std::{collections::BTreeMap, fs, path::Path};

use ciborium::Value;
use shedhook::{
    protocol::{
        cbor,
        ids::{Attempt, Incarnation, Revision},
        jobs::Submission,
        names::Interners,
        peers::{self, Cancelled, ClockEcho, Frame, Gossip, Notice, TaskCounts},
        store::{KeyValue, Page},
    },
    storage::{
        job_cache::JobCache,
        records::{to_value, AssignmentRecord, ChunkRecord, JobRecord, JobStatus, LeaderRecord},
        versions::{version_key, VersionEvidence, VersionRecord, VERSION, VERSION_KEY_PREFIX},
    },
};

/// Encoded forms by their names.
type Lines = BTreeMap<String, Vec<u8>>;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The lines of a fixture: a name, and bytes in hexadecimal digits.
fn read(file: &str) -> Lines {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(file);
    let text = fs::read_to_string(path).unwrap();
    let mut lines = Lines::new();
    for line in text.lines().filter(|line| !line.is_empty()) {
        let (name, digits) = line.split_once(' ').unwrap();
        let byte = |index: usize| u8::from_str_radix(&digits[2 * index..2 * index + 2], 16).unwrap();
        lines.insert(name.to_owned(), (0..digits.len() / 2).map(byte).collect());
    }
    lines
}

fn record<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
    cbor::decode::<Value>(bytes).unwrap().deserialized().unwrap()
}

fn bytes_of<T: serde::Serialize>(record: &T) -> Vec<u8> {
    cbor::encode(&to_value(record))
}

/// What this version reads of the bytes, written again.
fn decode_and_encode(name: &str, bytes: &[u8]) -> Vec<u8> {
    match name.split('/').next().unwrap() {
        "frame" => peers::encode(&peers::decode(bytes).unwrap()),
        "job" => bytes_of(&record::<JobRecord>(bytes)),
        "chunk" => bytes_of(&record::<ChunkRecord>(bytes)),
        "leader" => bytes_of(&record::<LeaderRecord>(bytes)),
        "version" => bytes_of(&record::<VersionRecord>(bytes)),
        other => panic!("no such form: {other}"),
    }
}

#[test]
fn what_production_writes_is_read_and_written_alike() {
    let mut lines = read("production.txt");
    let body = lines.remove("submission").unwrap();
    assert_eq!(lines.len(), 7);
    for (name, bytes) in &lines {
        assert_eq!(hex(&decode_and_encode(name, bytes)), hex(bytes), "{name}");
    }
    // The body named a prerequisite, of which production knows nothing: its
    // record is the one this version writes of a job without any.
    let submitted: Submission = cbor::decode(&body).unwrap();
    assert_eq!(submitted.prereqs(), ["j-000398"]);
    let pending: JobRecord = record(&lines["job/pending"]);
    assert_eq!(pending.submission, Submission { prereqs: None, ..submitted });
    let chunk: ChunkRecord = record(&lines["chunk/000000"]);
    assert_eq!((chunk.done.as_str(), chunk.assignments.len()), ("9429", 2));
    let Ok(Frame::Gossip(frame)) = peers::decode(&lines["frame/full"]) else { panic!("no gossip") };
    assert!(!frame.reads_notices(), "production's gossip shows no newer form");
    assert_eq!((&*frame.from, frame.count, frame.echoes.len(), frame.counts.len()), ("n-2", 41, 2, 1));
    // Production's end of a job says no time, its cancellation keeps all.
    for (name, want) in
        [("job/pending", JobStatus::Pending), ("job/cancelled", JobStatus::Cancelled), ("job/done", JobStatus::Done)]
    {
        let mut job_cache = JobCache::default();
        let value: Value = cbor::decode(&lines[name]).unwrap();
        let index = job_cache.apply_record("j/j-000412", &value, Revision(7), &mut Interners::default()).unwrap();
        assert_eq!(
            (
                job_cache.get(index).status,
                job_cache.get(index).tasks,
                job_cache.get(index).chunk,
                job_cache.has_unfinished_prerequisites(index)
            ),
            (want, 16, 128, false),
            "{name}"
        );
    }
}

fn submission() -> Submission {
    Submission { prereqs: None, ..cbor::decode(&read("production.txt")["submission"]).unwrap() }
}

/// Every form that this version writes where production may meet it, and the
/// one that it must not meet.
fn forms_of_this_version() -> Vec<(&'static str, Vec<u8>)> {
    let job = |submission: Submission, status, at_ms, chunk| bytes_of(&JobRecord { submission, status, at_ms, chunk });
    let ended = Submission { tasks: Some(16.0), ..Submission::default() };
    let waiting = Submission { prereqs: Some(vec!["j-000398".into(), "j-000405".into()]), ..submission() };
    let chunk = ChunkRecord {
        done: "6".into(),
        assignments: vec![AssignmentRecord(
            27,
            "i-000231".into(),
            Incarnation(3),
            Attempt(434_896_896_001),
            "b".into(),
        )],
        tag: 434_896_896_077,
    };
    let frame = Gossip {
        from: "n-4".into(),
        nonce: u64::MAX >> 1,
        count: 7,
        state_age_ms: 3,
        rejected_heartbeats: 0,
        leading: false,
        reads_used: 0.5,
        writes_used: 0.25,
        commits_used: 0.0,
        clock_ms: 55_000,
        echoes: vec![ClockEcho { peer_label: "n-1".into(), nonce: 5, clock_ms: 6 }],
        since_leaderless_renewal_ms: 1 << 41,
        counts: vec![TaskCounts { job: "j-000001".into(), done: 1, running: 0 }],
    };
    let mut marked = frame.clone();
    marked.echoes.push(Gossip::supported_frames_marker());
    vec![
        ("job/pending", job(submission(), JobStatus::Pending, 1_780_000_000_000, 28)),
        ("job/cancelled", job(submission(), JobStatus::Cancelled, 1_780_000_000_000, 28)),
        // With the time of the end, for those that wait for it.
        ("job/done", job(ended, JobStatus::Done, 1_780_000_123_456, 28)),
        ("job/waiting", job(waiting, JobStatus::Pending, 1_780_000_000_000, 28)),
        ("chunk/000001", bytes_of(&chunk)),
        ("leader/n-4", bytes_of(&LeaderRecord { label: "n-4".into(), nonce: 9 })),
        ("frame/plain", peers::encode(&Frame::Gossip(frame.clone()))),
        // With the mark that newer forms are read.
        ("frame/marked", peers::encode(&Frame::Gossip(marked))),
    ]
}

#[test]
fn what_this_version_writes_is_read_and_rewritten_by_production() {
    let (written, rewritten) = (read("this.txt"), read("this-as-production-rewrites.txt"));
    for (name, bytes) in forms_of_this_version() {
        println!("form {name} {}", hex(&bytes)); // what stands in `this.txt`
    }
    for (name, bytes) in forms_of_this_version() {
        assert_eq!(hex(&bytes), hex(&written[name]), "{name}: the form has changed, or the file is old");
        let kept = written[name] == rewritten[name];
        // Guard: production loses the prerequisites. So none is accepted while
        // one of that version may be left.
        assert_eq!(kept, name != "job/waiting", "{name}");
    }
    assert_eq!((written.len(), rewritten.len()), (forms_of_this_version().len(), forms_of_this_version().len()));
    let lost: JobRecord = record(&rewritten["job/waiting"]);
    assert!(lost.submission.prereqs().is_empty());
}

/// Production reads and watches what begins with these alone.
#[test]
fn production_never_meets_the_versions_keys() {
    for prefix in ["leader", "j/", "t/"] {
        assert!(!VERSION_KEY_PREFIX.starts_with(prefix) && !prefix.starts_with(VERSION_KEY_PREFIX));
    }
}

// ---- ddfa46b ---------------------------------------------------------------

fn page_of(key: &str, bytes: &[u8]) -> Page {
    let pair =
        KeyValue { key: key.to_owned(), value: cbor::decode(bytes).unwrap(), revision: Revision(7), grant: None };
    Page { pairs: vec![pair], truncated: false, store_revision: Revision(7) }
}

#[test]
fn what_ddfa46b_writes_is_read_and_written_alike() {
    let mut lines = read("ddfa46b.txt");
    let submission = lines.remove("submission").unwrap();
    assert_eq!(lines.len(), 12);
    for (name, bytes) in &lines {
        assert_eq!(hex(&decode_and_encode(name, bytes)), hex(bytes), "{name}");
    }
    // The record of a submission, with its prerequisites, each named once.
    let mut submitted: Submission = cbor::decode(&submission).unwrap();
    submitted.remove_duplicate_prereqs();
    assert_eq!(submitted.prereqs(), ["j-000398", "j-000405"]);
    let waiting: JobRecord = record(&lines["job/waiting"]);
    assert_eq!((&waiting.submission, waiting.status, waiting.chunk), (&submitted, JobStatus::Pending, 128));
    let without: JobRecord = record(&lines["job/pending"]);
    assert_eq!(without.submission, Submission { prereqs: None, ..submitted });
    // The time of a done record is that of the end.
    let done: JobRecord = record(&lines["job/done"]);
    assert_eq!((done.status, done.at_ms), (JobStatus::Done, 1_780_000_123_456));
    let chunk: ChunkRecord = record(&lines["chunk/000000"]);
    let last = AssignmentRecord(5, "i-001007".into(), Incarnation(12), Attempt(434_896_896_002), "brescia".into());
    assert_eq!((chunk.done.as_str(), chunk.assignments.last()), ("93", Some(&last)));
}

#[test]
fn ddfa46b_job_records_stand_for_the_same_jobs() {
    let lines = read("ddfa46b.txt");
    let forms = [
        ("job/pending", JobStatus::Pending, false),
        ("job/waiting", JobStatus::Pending, true),
        ("job/waiting-cancelled", JobStatus::Cancelled, false),
        ("job/cancelled", JobStatus::Cancelled, false),
        ("job/done", JobStatus::Done, false),
    ];
    for (name, status, waits) in forms {
        let mut job_cache = JobCache::default();
        let value: Value = cbor::decode(&lines[name]).unwrap();
        let index = job_cache.apply_record("j/j-000731", &value, Revision(7), &mut Interners::default()).unwrap();
        let job = job_cache.get(index);
        assert_eq!(
            (job.status, job.tasks, job.chunk, job_cache.has_unfinished_prerequisites(index)),
            (status, 6, 128, waits),
            "{name}"
        );
    }
}

#[test]
fn ddfa46b_frames_and_version_key_mean_the_same() {
    let lines = read("ddfa46b.txt");
    for (name, from, count, counts) in [("frame/first", "n-1", 0, 0), ("frame/marked", "n-2", 41, 2)] {
        let Ok(Frame::Gossip(frame)) = peers::decode(&lines[name]) else { panic!("no gossip") };
        assert_eq!((&*frame.from, frame.count, frame.counts.len()), (from, count, counts), "{name}");
        assert!(frame.reads_notices(), "{name} shows that its sender reads notices");
    }
    let Ok(Frame::Notice(notice)) = peers::decode(&lines["frame/notice"]) else { panic!("no notice") };
    let cancelled = |job: &str, revision| Cancelled { job: job.into(), revision };
    let all = vec![cancelled("j-000398", Revision(412)), cancelled("j-000731", Revision(1 << 32))];
    assert_eq!(notice, Notice { from: "n-2".into(), cancelled: all });
    // Its key is evidence that it takes prerequisites.
    let key = version_key("n-2");
    let mut evidence = VersionEvidence::new(["n-2"].into_iter());
    assert!(!evidence.is_complete());
    evidence.record_listing(&page_of(&key, &lines[&key]));
    assert!(evidence.is_complete());
}

/// Every form that this version writes where `ddfa46b` meets it.
fn forms_beside_ddfa46b() -> Vec<(&'static str, Vec<u8>)> {
    let waiting = Submission { prereqs: Some(vec!["j-000398".into(), "j-000405".into()]), ..submission() };
    let cancelled =
        JobRecord { submission: waiting, status: JobStatus::Cancelled, at_ms: 1_780_000_000_000, chunk: 28 };
    let notice =
        Notice { from: "n-4".into(), cancelled: vec![Cancelled { job: "j-000412".into(), revision: Revision(431) }] };
    let mut all = forms_of_this_version();
    all.extend([
        ("job/waiting-cancelled", bytes_of(&cancelled)),
        ("version/n-4", bytes_of(&VersionRecord { version: VERSION, nonce: 9 })),
        ("frame/notice", peers::encode(&Frame::Notice(notice))),
    ]);
    all
}

#[test]
fn what_this_version_writes_is_rewritten_unchanged_by_ddfa46b() {
    let forms = forms_beside_ddfa46b();
    for (name, bytes) in &forms {
        println!("beside {name} {}", hex(bytes)); // what stands in `this-beside-ddfa46b.txt`
    }
    let (written, rewritten) = (read("this-beside-ddfa46b.txt"), read("this-as-ddfa46b-rewrites.txt"));
    for (name, bytes) in &forms {
        assert_eq!(hex(bytes), hex(&written[*name]), "{name}: the form has changed, or the file is old");
        assert_eq!(hex(&written[*name]), hex(&rewritten[*name]), "{name}: not kept as it was");
    }
    assert_eq!((written.len(), rewritten.len()), (forms.len(), forms.len()));
    let kept: JobRecord = record(&rewritten["job/waiting"]);
    assert_eq!(kept.submission.prereqs(), ["j-000398", "j-000405"]);
}
