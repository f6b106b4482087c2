//! What users send, and what they read of the answers.

use std::net::SocketAddr;

use ciborium::{cbor, Value};
use shedhook::protocol::cbor as body;

use super::http::{call, Response};

/// The body of a submission.
pub fn job_body(id: &str, kind: &str, tasks: u32) -> Vec<u8> {
    body::encode(
        &cbor!({"nameId" => id, "lane" => "c", "owner" => "red", "shape" => kind, "rank" => "normal",
            "pieces" => tasks, "cpus" => 1, "cards" => 0, "memoryGb" => 1.0, "bundle" => "img", "imageGb" => 0.1,
            "breeds" => null, "yard" => null, "samePlace" => false, "scatter" => false, "loaners" => true,
            "guessS" => 1.0, "bookmarkS" => 0.0, "stashS" => 0.0, "dueS" => null})
        .unwrap(),
    )
}

/// A submission with one field set.
pub fn with_field(job: &[u8], field: &str, value: Value) -> Vec<u8> {
    let mut submission: Value = body::decode(job).unwrap();
    let fields = submission.as_map_mut().unwrap();
    fields.retain(|(key, _)| key.as_text() != Some(field));
    fields.push((Value::Text(field.into()), value));
    body::encode(&submission)
}

/// A submission of one task with prerequisites.
pub fn job_with_prereqs(id: &str, kind: &str, prereqs: Value) -> Vec<u8> {
    with_field(&job_body(id, kind, 1), "prereqs", prereqs)
}

/// A list of ids.
pub fn id_list(ids: &[&str]) -> Value {
    Value::Array(ids.iter().map(|id| Value::Text((*id).into())).collect())
}

pub fn submit(to: SocketAddr, bytes: &[u8]) -> Option<Response> {
    call(to, "POST", "/api/jobs", bytes)
}

pub fn abort(to: SocketAddr, id: &str) -> Option<Response> {
    call(to, "POST", &format!("/api/jobs/{id}/abort"), &[])
}

pub fn poll(to: SocketAddr, id: &str) -> Option<Response> {
    call(to, "GET", &format!("/api/jobs/{id}"), &[])
}

/// The status in the body of an answer.
pub fn decode_status(bytes: &[u8]) -> Option<String> {
    let response: Value = body::decode(bytes).ok()?;
    let (_, status) = response.as_map()?.iter().find(|(key, _)| key.as_text() == Some("status"))?;
    Some(status.as_text()?.to_owned())
}

/// What a poll says, if it is answered 200.
pub fn status(to: SocketAddr, id: &str) -> Option<String> {
    let response = poll(to, id).filter(|response| response.status == 200)?;
    decode_status(&response.body)
}

/// Whether a controller says that it takes requests.
pub fn is_ready(to: SocketAddr) -> bool {
    call(to, "GET", "/ready", &[]).is_some_and(|response| response.status == 200)
}
