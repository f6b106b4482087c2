//! Parsing of requests and replies, with size limits.

use super::{
    error::HttpError,
    framing::{Framing, HTTP_1_1},
    message::{Reply, Request},
};

/// Maximum size of a request body, in bytes.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of the head of a request or a reply, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum size of a reply body, in bytes. Replies of `/changes` have no limit of their
/// own; this constant only prevents a broken service from exhausting the memory.
pub const MAX_REPLY_BODY_BYTES: usize = 24 * 1024 * 1024;
/// Maximum number of header fields in one message.
const MAX_HEADER_FIELDS: usize = 48;

/// The result of parsing bytes that may still be incomplete.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// More bytes are needed.
    Partial,
    /// The message, and its length in bytes in the buffer.
    Complete(T, usize),
}

/// Parses the request at the start of `buffer`.
pub fn parse_request(buffer: &[u8]) -> Result<Parsed<Request>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Request::new(&mut headers);
    let head_end = match head.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => return Ok(Parsed::Partial),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLong),
        Err(_) => return Err(HttpError::Malformed),
    };
    let framing = Framing::parse(head.headers, head.version.unwrap_or(HTTP_1_1))?;
    let method = head.method.unwrap_or("").to_owned();
    let path = head.path.unwrap_or("").to_owned();
    Ok(match framing.take_body(buffer, head_end, MAX_REQUEST_BODY_BYTES)? {
        None => Parsed::Partial,
        Some(body) => Parsed::Complete(Request { method, path, body: body.bytes, close: framing.close }, body.end),
    })
}

/// Parses the reply at the start of `buffer`.
pub fn parse_reply(buffer: &[u8]) -> Result<Parsed<Reply>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Response::new(&mut headers);
    let head_end = match head.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => return Ok(Parsed::Partial),
        Ok(httparse::Status::Partial) => return Err(HttpError::HeadTooLong),
        Err(_) => return Err(HttpError::Malformed),
    };
    let framing = Framing::parse(head.headers, head.version.unwrap_or(HTTP_1_1))?;
    let status = head.code.unwrap_or(0);
    Ok(match framing.take_body(buffer, head_end, MAX_REPLY_BODY_BYTES)? {
        None => Parsed::Partial,
        Some(body) => Parsed::Complete(Reply { status, body: body.bytes, close: framing.close }, body.end),
    })
}
