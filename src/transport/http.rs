//! HTTP/1.1 messages: parsed with `httparse`, and written. No I/O here.

mod error;
mod framing;
mod message;
mod parse;
pub mod status;
mod write;

pub use self::{
    error::HttpError,
    message::{Method, Reply, Request},
    parse::{parse_reply, parse_request, Parsed, MAX_HEAD, MAX_REPLY_BODY, MAX_REQUEST_BODY},
    status::reason,
    write::{write_reply, write_request},
};

#[cfg(test)]
#[path = "tests/http.rs"]
mod tests;
