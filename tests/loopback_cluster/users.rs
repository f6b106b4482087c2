//! Requests of users, and decoding of the responses.

use std::net::SocketAddr;

use ciborium::{cbor, Value};
use shedhook::protocol::cbor as body;

use super::http::{call, Response};

/// Encodes a submission of a job. `kind`: `batch`, `ensemble` or `service`.
pub fn job_body(id: &str, kind: &str, tasks: u32) -> Vec<u8> {
    body::encode(
        &cbor!({"nameId" => id, "lane" => "c", "owner" => "red", "shape" => kind, "rank" => "normal",
            "pieces" => tasks, "cpus" => 1, "cards" => 0, "memoryGb" => 1.0, "bundle" => "img", "imageGb" => 0.1,
            "breeds" => null, "yard" => null, "samePlace" => false, "scatter" => false, "loaners" => true,
            "guessS" => 1.0, "bookmarkS" => 0.0, "stashS" => 0.0, "dueS" => null})
        .unwrap(),
    )
}

/// Encodes a copy of a submission with one field replaced or added.
pub fn with_field(job: &[u8], field: &str, value: Value) -> Vec<u8> {
    let mut submission: Value = body::decode(job).unwrap();
    let fields = submission.as_map_mut().unwrap();
    fields.retain(|(key, _)| key.as_text() != Some(field));
    fields.push((Value::Text(field.into()), value));
    body::encode(&submission)
}

/// Encodes a submission of a job of one task with prerequisites.
pub fn job_with_prereqs(id: &str, kind: &str, prereqs: Value) -> Vec<u8> {
    with_field(&job_body(id, kind, 1), "prereqs", prereqs)
}

/// Returns a list of ids as a CBOR value.
pub fn id_list(ids: &[&str]) -> Value {
    Value::Array(ids.iter().map(|id| Value::Text((*id).into())).collect())
}

/// Submits an encoded job. Returns None if no response is received.
pub fn submit(to: SocketAddr, bytes: &[u8]) -> Option<Response> {
    call(to, "POST", "/api/jobs", bytes)
}

/// Requests the cancellation of a job. Returns None if no response is received.
pub fn abort(to: SocketAddr, id: &str) -> Option<Response> {
    call(to, "POST", &format!("/api/jobs/{id}/abort"), &[])
}

/// Requests the status of a job. Returns None if no response is received.
pub fn poll(to: SocketAddr, id: &str) -> Option<Response> {
    call(to, "GET", &format!("/api/jobs/{id}"), &[])
}

/// Returns the status in the body of a response.
pub fn decode_status(bytes: &[u8]) -> Option<String> {
    let response: Value = body::decode(bytes).ok()?;
    let (_, status) = response.as_map()?.iter().find(|(key, _)| key.as_text() == Some("status"))?;
    Some(status.as_text()?.to_owned())
}

/// Polls a job, and returns its status if the response is 200.
pub fn status(to: SocketAddr, id: &str) -> Option<String> {
    let response = poll(to, id).filter(|response| response.status == 200)?;
    decode_status(&response.body)
}

/// Reports whether a controller responds that it is ready for requests.
pub fn is_ready(to: SocketAddr) -> bool {
    call(to, "GET", "/ready", &[]).is_some_and(|response| response.status == 200)
}
