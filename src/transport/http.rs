//! Parsing (with `httparse`) and writing of HTTP/1.1 messages, without I/O.

mod error;
mod framing;
mod message;
mod parse;
pub mod status;
mod write;

pub use self::{
    error::HttpError,
    message::{Method, Reply, Request},
    parse::{parse_reply, parse_request, Parsed, MAX_HEAD_BYTES, MAX_REPLY_BODY_BYTES, MAX_REQUEST_BODY_BYTES},
    status::reason_phrase,
    write::{write_request, write_response},
};

#[cfg(test)]
#[path = "tests/http.rs"]
mod tests;
