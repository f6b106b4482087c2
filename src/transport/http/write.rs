//! Writing of requests and responses with CBOR bodies.

use std::fmt::Write as _;

use super::status;

/// Initial capacity of the buffer for the head of a message, in bytes; most heads fit
/// without reallocation.
const TYPICAL_HEAD_BYTES: usize = 160;

/// Appends a response with a CBOR body to `out`. A `retry_after_s` is sent as the
/// `Retry-After` header; with `close`, the response announces that the connection closes.
pub fn write_response(out: &mut Vec<u8>, status: u16, retry_after_s: Option<u32>, body: &[u8], close: bool) {
    let mut head = String::with_capacity(TYPICAL_HEAD_BYTES);
    let _ = write!(
        head,
        "HTTP/1.1 {status} {}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n",
        status::reason_phrase(status),
        body.len()
    );
    if let Some(seconds) = retry_after_s {
        let _ = write!(head, "Retry-After: {seconds}\r\n");
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

/// Appends a request with a CBOR body to `out`.
pub fn write_request(out: &mut Vec<u8>, method: &str, path: &str, host: &str, body: &[u8]) {
    let mut head = String::with_capacity(TYPICAL_HEAD_BYTES);
    let _ = write!(head, "{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    if !body.is_empty() || method == "POST" {
        let _ = write!(head, "Content-Type: application/cbor\r\nContent-Length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}
