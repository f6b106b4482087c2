//! What users send, and what they read of the answers.

use std::net::SocketAddr;

use ciborium::{cbor, Value};
use shedhook::protocol::cbor as body;

use super::http::{call, HeartbeatOutcome};

/// The body of a submission.
pub fn job(id: &str, kind: &str, tasks: u32) -> Vec<u8> {
    body::encode(
        &cbor!({"nameId" => id, "lane" => "c", "owner" => "red", "shape" => kind, "rank" => "normal",
            "pieces" => tasks, "cpus" => 1, "cards" => 0, "memoryGb" => 1.0, "bundle" => "img", "imageGb" => 0.1,
            "breeds" => null, "yard" => null, "samePlace" => false, "scatter" => false, "loaners" => true,
            "guessS" => 1.0, "bookmarkS" => 0.0, "stashS" => 0.0, "dueS" => null})
        .unwrap(),
    )
}

/// A submission with one field set.
pub fn with(job: &[u8], field: &str, value: Value) -> Vec<u8> {
    let mut v: Value = body::decode(job).unwrap();
    let fields = v.as_map_mut().unwrap();
    fields.retain(|(k, _)| k.as_text() != Some(field));
    fields.push((Value::Text(field.into()), value));
    body::encode(&v)
}

/// A submission of one task with prerequisites.
pub fn job_after(id: &str, kind: &str, prereqs: Value) -> Vec<u8> {
    with(&job(id, kind, 1), "prereqs", prereqs)
}

pub fn ids(l: &[&str]) -> Value {
    Value::Array(l.iter().map(|s| Value::Text((*s).into())).collect())
}

pub fn submit(to: SocketAddr, bytes: &[u8]) -> Option<HeartbeatOutcome> {
    call(to, "POST", "/api/jobs", bytes)
}

pub fn abort(to: SocketAddr, id: &str) -> Option<HeartbeatOutcome> {
    call(to, "POST", &format!("/api/jobs/{id}/abort"), &[])
}

pub fn poll(to: SocketAddr, id: &str) -> Option<HeartbeatOutcome> {
    call(to, "GET", &format!("/api/jobs/{id}"), &[])
}

/// The status in the body of an answer.
pub fn status_word(bytes: &[u8]) -> Option<String> {
    let v: Value = body::decode(bytes).ok()?;
    let word = v.as_map()?.iter().find(|(k, _)| k.as_text() == Some("status"))?.1.as_text()?.to_owned();
    Some(word)
}

/// What a poll says, if it is answered 200.
pub fn status(to: SocketAddr, id: &str) -> Option<String> {
    let (code, bytes) = poll(to, id)?;
    if code != 200 {
        return None;
    }
    status_word(&bytes)
}

/// Whether a controller says that it takes requests.
pub fn is_ready(to: SocketAddr) -> bool {
    call(to, "GET", "/ready", &[]).is_some_and(|a| a.0 == 200)
}
