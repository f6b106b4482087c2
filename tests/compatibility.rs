//! The forms of the version in production: frames and records, byte for byte.
//! `tests/fixtures/README.md` says how the files were made.

use std::{collections::BTreeMap, fs, path::Path};

use ciborium::Value;
use shedhook::{
    bookkeeping::{
        job_cache::JobCache,
        records::{to_value, AssignmentRecord, ChunkRecord, JobRecord, LeaderRecord, Status},
        versions::VERSIONS,
    },
    protocol::{
        cbor,
        jobs::Submission,
        names::Tables,
        peers::{self, Count, Echo, Frame, Gossip},
    },
};

type Lines = BTreeMap<String, Vec<u8>>;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn read(file: &str) -> Lines {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(file);
    let text = fs::read_to_string(path).unwrap();
    let mut out = Lines::new();
    for line in text.lines().filter(|l| !l.is_empty()) {
        let (name, digits) = line.split_once(' ').unwrap();
        let byte = |n: usize| u8::from_str_radix(&digits[2 * n..2 * n + 2], 16).unwrap();
        out.insert(name.to_owned(), (0..digits.len() / 2).map(byte).collect());
    }
    out
}

fn record<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
    cbor::decode::<Value>(bytes).unwrap().deserialized().unwrap()
}

fn bytes_of<T: serde::Serialize>(v: &T) -> Vec<u8> {
    cbor::encode(&to_value(v))
}

/// What this version reads of the bytes, written again.
fn again(name: &str, bytes: &[u8]) -> Vec<u8> {
    match name.split('/').next().unwrap() {
        "frame" => peers::encode(&peers::decode(bytes).unwrap()),
        "job" => bytes_of(&record::<JobRecord>(bytes)),
        "chunk" => bytes_of(&record::<ChunkRecord>(bytes)),
        "leader" => bytes_of(&record::<LeaderRecord>(bytes)),
        other => panic!("no such form: {other}"),
    }
}

#[test]
fn what_production_writes_is_read_and_written_alike() {
    let mut lines = read("production.txt");
    let body = lines.remove("submission").unwrap();
    assert_eq!(lines.len(), 7);
    for (name, bytes) in &lines {
        assert_eq!(hex(&again(name, bytes)), hex(bytes), "{name}");
    }
    // The body named a prerequisite, of which production knows nothing: its
    // record is the one this version writes of a job without any.
    let sub: Submission = cbor::decode(&body).unwrap();
    assert_eq!(sub.prereqs(), ["j-000398"]);
    let rec: JobRecord = record(&lines["job/pending"]);
    assert_eq!(rec.submission, Submission { prereqs: None, ..sub });
    let chunk: ChunkRecord = record(&lines["chunk/000000"]);
    assert_eq!((chunk.done.as_str(), chunk.assignments.len()), ("9429", 2));
    let Ok(Frame::Gossip(frame)) = peers::decode(&lines["frame/full"]) else { panic!("no gossip") };
    assert!(!frame.reads_notices(), "production's gossip shows no newer form");
    assert_eq!((&*frame.from, frame.count, frame.echoes.len(), frame.counts.len()), ("n-2", 41, 2, 1));
    // Production's end of a job says no time, its cancellation keeps all.
    for (name, want) in
        [("job/pending", Status::Pending), ("job/cancelled", Status::Cancelled), ("job/done", Status::Done)]
    {
        let mut m = JobCache::default();
        let v: Value = cbor::decode(&lines[name]).unwrap();
        let ix = m.put("j/j-000412", &v, 7, &mut Tables::default()).unwrap();
        assert_eq!((m.get(ix).status, m.get(ix).tasks, m.get(ix).chunk, m.waits(ix)), (want, 16, 128, false), "{name}");
    }
}

fn submission() -> Submission {
    Submission { prereqs: None, ..cbor::decode(&read("production.txt")["submission"]).unwrap() }
}

/// Every form that this version writes where production may meet it, and the
/// one that it must not meet.
fn ours() -> Vec<(&'static str, Vec<u8>)> {
    let job = |submission: Submission, status, at_ms, chunk| bytes_of(&JobRecord { submission, status, at_ms, chunk });
    let ended = Submission { tasks: Some(16.0), ..Submission::default() };
    let waiting = Submission { prereqs: Some(vec!["j-000398".into(), "j-000405".into()]), ..submission() };
    let chunk = ChunkRecord {
        done: "6".into(),
        assignments: vec![AssignmentRecord(27, "i-000231".into(), 3, 434_896_896_001, "b".into())],
        tag: 434_896_896_077,
    };
    let frame = Gossip {
        from: "n-4".into(),
        nonce: u64::MAX >> 1,
        count: 7,
        state_age_ms: 3,
        rejected_reports: 0,
        leading: false,
        reads_used: 0.5,
        writes_used: 0.25,
        commits_used: 0.0,
        clock_ms: 55_000,
        echoes: vec![Echo { of: "n-1".into(), nonce: 5, clock_ms: 6 }],
        no_renewal_ms: 1 << 41,
        counts: vec![Count { job: "j-000001".into(), done: 1, running: 0 }],
    };
    let mut marked = frame.clone();
    marked.echoes.push(Gossip::reads_mark());
    vec![
        ("job/pending", job(submission(), Status::Pending, 1_780_000_000_000, 28)),
        ("job/cancelled", job(submission(), Status::Cancelled, 1_780_000_000_000, 28)),
        // With the time of the end, for those that wait for it.
        ("job/done", job(ended, Status::Done, 1_780_000_123_456, 28)),
        ("job/waiting", job(waiting, Status::Pending, 1_780_000_000_000, 28)),
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
    for (name, bytes) in ours() {
        println!("form {name} {}", hex(&bytes)); // what stands in `this.txt`
    }
    for (name, bytes) in ours() {
        assert_eq!(hex(&bytes), hex(&written[name]), "{name}: the form has changed, or the file is old");
        let kept = written[name] == rewritten[name];
        // Guard: production loses the prerequisites. So none is accepted while
        // one of that version may be left.
        assert_eq!(kept, name != "job/waiting", "{name}");
    }
    assert_eq!((written.len(), rewritten.len()), (ours().len(), ours().len()));
    let lost: JobRecord = record(&rewritten["job/waiting"]);
    assert!(lost.submission.prereqs().is_empty());
}

/// Production reads and watches what begins with these alone.
#[test]
fn production_never_meets_the_versions_keys() {
    for prefix in ["leader", "j/", "t/"] {
        assert!(!VERSIONS.starts_with(prefix) && !prefix.starts_with(VERSIONS));
    }
}
