//! Compares the encoded forms of frames and records with those of earlier versions, byte
//! for byte: first of `ac1d836`, which doesn't support prerequisites, then of `ddfa46b`,
//! which does. `tests/fixtures/README.md` describes how the files were made.

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

/// Encoded forms by name.
type EncodedForms = BTreeMap<String, Vec<u8>>;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads a fixture, whose lines hold a name, and bytes in hexadecimal digits.
fn read_fixture(file: &str) -> EncodedForms {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(file);
    let text = fs::read_to_string(path).unwrap();
    let mut lines = EncodedForms::new();
    for line in text.lines().filter(|line| !line.is_empty()) {
        let (name, digits) = line.split_once(' ').unwrap();
        let byte = |index: usize| u8::from_str_radix(&digits[2 * index..2 * index + 2], 16).unwrap();
        lines.insert(name.to_owned(), (0..digits.len() / 2).map(byte).collect());
    }
    lines
}

/// Decodes a record from the bytes stored for it.
fn decode_record<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
    cbor::decode::<Value>(bytes).unwrap().deserialized().unwrap()
}

/// Encodes a record as it is stored.
fn encode_record<T: serde::Serialize>(record: &T) -> Vec<u8> {
    cbor::encode(&to_value(record))
}

/// Decodes a form with this version, and encodes the result.
fn decode_and_encode(name: &str, bytes: &[u8]) -> Vec<u8> {
    match name.split('/').next().unwrap() {
        "frame" => peers::encode(&peers::decode(bytes).unwrap()),
        "job" => encode_record(&decode_record::<JobRecord>(bytes)),
        "chunk" => encode_record(&decode_record::<ChunkRecord>(bytes)),
        "leader" => encode_record(&decode_record::<LeaderRecord>(bytes)),
        "version" => encode_record(&decode_record::<VersionRecord>(bytes)),
        other => panic!("unknown form: {other}"),
    }
}

#[test]
fn forms_of_ac1d836_decode_and_reencode_unchanged() {
    let mut lines = read_fixture("production.txt");
    let body = lines.remove("submission").unwrap();
    assert_eq!(lines.len(), 7);
    for (name, bytes) in &lines {
        assert_eq!(hex(&decode_and_encode(name, bytes)), hex(bytes), "{name}");
    }
    // The submission named a prerequisite, which `ac1d836` ignores: the record that it wrote
    // is the one that this version writes for the same job without prerequisites.
    let submitted: Submission = cbor::decode(&body).unwrap();
    assert_eq!(submitted.prereqs(), ["j-000398"]);
    let pending: JobRecord = decode_record(&lines["job/pending"]);
    assert_eq!(pending.submission, Submission { prereqs: None, ..submitted });
    let chunk: ChunkRecord = decode_record(&lines["chunk/000000"]);
    assert_eq!((chunk.done.as_str(), chunk.assignments.len()), ("9429", 2));
    let Ok(Frame::Gossip(frame)) = peers::decode(&lines["frame/full"]) else { panic!("expected a gossip frame") };
    assert!(!frame.reads_notices(), "the gossip of ac1d836 must not show that its sender reads notices");
    assert_eq!((&*frame.from, frame.count, frame.echoes.len(), frame.counts.len()), ("n-2", 41, 2, 1));
    // A done record of `ac1d836` holds no time of completion; a cancelled record of that
    // version keeps all fields.
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
                job_cache.get(index).tasks_per_chunk,
                job_cache.has_unfinished_prerequisites(index)
            ),
            (want, 16, 128, false),
            "{name}"
        );
    }
}

/// Returns the submission of the fixtures, without prerequisites.
fn submission() -> Submission {
    Submission { prereqs: None, ..cbor::decode(&read_fixture("production.txt")["submission"]).unwrap() }
}

/// Returns every form of this version that `ac1d836` may read, and the one that it must
/// not read, `job/waiting`.
fn forms_of_this_version() -> Vec<(&'static str, Vec<u8>)> {
    let job = |submission: Submission, status, at_ms, tasks_per_chunk| {
        encode_record(&JobRecord { submission, status, at_ms, tasks_per_chunk })
    };
    let done_submission = Submission { tasks: Some(16.0), ..Submission::default() };
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
    let mut with_marker = frame.clone();
    with_marker.echoes.push(Gossip::supported_frames_marker());
    vec![
        ("job/pending", job(submission(), JobStatus::Pending, 1_780_000_000_000, 28)),
        ("job/cancelled", job(submission(), JobStatus::Cancelled, 1_780_000_000_000, 28)),
        // With the time of completion, for the jobs that wait for this one.
        ("job/done", job(done_submission, JobStatus::Done, 1_780_000_123_456, 28)),
        ("job/waiting", job(waiting, JobStatus::Pending, 1_780_000_000_000, 28)),
        ("chunk/000001", encode_record(&chunk)),
        ("leader/n-4", encode_record(&LeaderRecord { label: "n-4".into(), nonce: 9 })),
        ("frame/plain", peers::encode(&Frame::Gossip(frame.clone()))),
        // With the marker which shows that the sender can decode notices.
        ("frame/marked", peers::encode(&Frame::Gossip(with_marker))),
    ]
}

#[test]
fn ac1d836_rewrites_forms_of_this_version_and_drops_only_prerequisites() {
    let (written, rewritten) = (read_fixture("this.txt"), read_fixture("this-as-production-rewrites.txt"));
    for (name, bytes) in forms_of_this_version() {
        println!("form {name} {}", hex(&bytes)); // the content of `this.txt`
    }
    for (name, bytes) in forms_of_this_version() {
        assert_eq!(hex(&bytes), hex(&written[name]), "{name}: the form has changed, or the fixture is out of date");
        let is_unchanged = written[name] == rewritten[name];
        // `ac1d836` drops the prerequisites when it rewrites a record. Therefore no job with
        // prerequisites is accepted while a controller of that version may be left.
        assert_eq!(is_unchanged, name != "job/waiting", "{name}");
    }
    assert_eq!((written.len(), rewritten.len()), (forms_of_this_version().len(), forms_of_this_version().len()));
    let without_prereqs: JobRecord = decode_record(&rewritten["job/waiting"]);
    assert!(without_prereqs.submission.prereqs().is_empty());
}

/// `ac1d836` reads and watches only keys with these prefixes.
#[test]
fn version_keys_share_no_prefix_with_keys_read_by_ac1d836() {
    for prefix in ["leader", "j/", "t/"] {
        assert!(!VERSION_KEY_PREFIX.starts_with(prefix) && !prefix.starts_with(VERSION_KEY_PREFIX));
    }
}

// ---- ddfa46b ---------------------------------------------------------------

/// Returns a page of the store that holds one key with an encoded value.
fn page_of(key: &str, bytes: &[u8]) -> Page {
    let pair =
        KeyValue { key: key.to_owned(), value: cbor::decode(bytes).unwrap(), revision: Revision(7), store_lease: None };
    Page { pairs: vec![pair], truncated: false, store_revision: Revision(7) }
}

#[test]
fn forms_of_ddfa46b_decode_and_reencode_unchanged() {
    let mut lines = read_fixture("ddfa46b.txt");
    let submission = lines.remove("submission").unwrap();
    assert_eq!(lines.len(), 12);
    for (name, bytes) in &lines {
        assert_eq!(hex(&decode_and_encode(name, bytes)), hex(bytes), "{name}");
    }
    // The record of a submission holds its prerequisites, each of them once.
    let mut submitted: Submission = cbor::decode(&submission).unwrap();
    submitted.remove_duplicate_prereqs();
    assert_eq!(submitted.prereqs(), ["j-000398", "j-000405"]);
    let waiting: JobRecord = decode_record(&lines["job/waiting"]);
    assert_eq!((&waiting.submission, waiting.status, waiting.tasks_per_chunk), (&submitted, JobStatus::Pending, 128));
    let without_prereqs: JobRecord = decode_record(&lines["job/pending"]);
    assert_eq!(without_prereqs.submission, Submission { prereqs: None, ..submitted });
    // The time of a done record is the time of completion.
    let done: JobRecord = decode_record(&lines["job/done"]);
    assert_eq!((done.status, done.at_ms), (JobStatus::Done, 1_780_000_123_456));
    let chunk: ChunkRecord = decode_record(&lines["chunk/000000"]);
    let last = AssignmentRecord(5, "i-001007".into(), Incarnation(12), Attempt(434_896_896_002), "brescia".into());
    assert_eq!((chunk.done.as_str(), chunk.assignments.last()), ("93", Some(&last)));
}

#[test]
fn job_records_of_ddfa46b_load_with_equal_status_and_tasks() {
    let lines = read_fixture("ddfa46b.txt");
    let forms = [
        ("job/pending", JobStatus::Pending, false),
        ("job/waiting", JobStatus::Pending, true),
        ("job/waiting-cancelled", JobStatus::Cancelled, false),
        ("job/cancelled", JobStatus::Cancelled, false),
        ("job/done", JobStatus::Done, false),
    ];
    for (name, status, has_unfinished) in forms {
        let mut job_cache = JobCache::default();
        let value: Value = cbor::decode(&lines[name]).unwrap();
        let index = job_cache.apply_record("j/j-000731", &value, Revision(7), &mut Interners::default()).unwrap();
        let job = job_cache.get(index);
        assert_eq!(
            (job.status, job.tasks, job.tasks_per_chunk, job_cache.has_unfinished_prerequisites(index)),
            (status, 6, 128, has_unfinished),
            "{name}"
        );
    }
}

#[test]
fn frames_and_version_key_of_ddfa46b_decode_to_equal_values() {
    let lines = read_fixture("ddfa46b.txt");
    for (name, from, count, counts) in [("frame/first", "n-1", 0, 0), ("frame/marked", "n-2", 41, 2)] {
        let Ok(Frame::Gossip(frame)) = peers::decode(&lines[name]) else { panic!("expected a gossip frame") };
        assert_eq!((&*frame.from, frame.count, frame.counts.len()), (from, count, counts), "{name}");
        assert!(frame.reads_notices(), "{name} must show that its sender reads notices");
    }
    let Ok(Frame::Notice(notice)) = peers::decode(&lines["frame/notice"]) else { panic!("expected a notice frame") };
    let cancelled = |job: &str, revision| Cancelled { job: job.into(), revision };
    let all = vec![cancelled("j-000398", Revision(412)), cancelled("j-000731", Revision(1 << 32))];
    assert_eq!(notice, Notice { from: "n-2".into(), cancelled: all });
    // The version key is evidence that the controller supports prerequisites.
    let key = version_key("n-2");
    let mut evidence = VersionEvidence::new(["n-2"].into_iter());
    assert!(!evidence.is_complete());
    evidence.record_listing(&page_of(&key, &lines[&key]));
    assert!(evidence.is_complete());
}

/// Returns every form of this version that `ddfa46b` may read.
fn forms_read_by_ddfa46b() -> Vec<(&'static str, Vec<u8>)> {
    let waiting = Submission { prereqs: Some(vec!["j-000398".into(), "j-000405".into()]), ..submission() };
    let cancelled =
        JobRecord { submission: waiting, status: JobStatus::Cancelled, at_ms: 1_780_000_000_000, tasks_per_chunk: 28 };
    let notice =
        Notice { from: "n-4".into(), cancelled: vec![Cancelled { job: "j-000412".into(), revision: Revision(431) }] };
    let mut all = forms_of_this_version();
    all.extend([
        ("job/waiting-cancelled", encode_record(&cancelled)),
        ("version/n-4", encode_record(&VersionRecord { version: VERSION, nonce: 9 })),
        ("frame/notice", peers::encode(&Frame::Notice(notice))),
    ]);
    all
}

#[test]
fn ddfa46b_rewrites_forms_of_this_version_unchanged() {
    let forms = forms_read_by_ddfa46b();
    for (name, bytes) in &forms {
        println!("beside {name} {}", hex(bytes)); // the content of `this-beside-ddfa46b.txt`
    }
    let (written, rewritten) = (read_fixture("this-beside-ddfa46b.txt"), read_fixture("this-as-ddfa46b-rewrites.txt"));
    for (name, bytes) in &forms {
        assert_eq!(hex(bytes), hex(&written[*name]), "{name}: the form has changed, or the fixture is out of date");
        assert_eq!(hex(&written[*name]), hex(&rewritten[*name]), "{name}: ddfa46b changed the form when it rewrote it");
    }
    assert_eq!((written.len(), rewritten.len()), (forms.len(), forms.len()));
    let kept: JobRecord = decode_record(&rewritten["job/waiting"]);
    assert_eq!(kept.submission.prereqs(), ["j-000398", "j-000405"]);
}
