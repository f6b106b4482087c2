//! HTTP/1.1 heads and bodies, parsed with `httparse`. No I/O here.

use std::fmt::Write as _;

/// Largest request body a client may send.
pub const MAX_REQUEST_BODY: usize = 64 * 1024;
/// Largest head of a request or a response.
pub const MAX_HEAD: usize = 8 * 1024;
/// Largest answer taken from an outside service; `/changes` has no limit of
/// its own, so this one only keeps a broken peer from filling the memory.
pub const MAX_REPLY_BODY: usize = 24 * 1024 * 1024;

const MAX_HEADERS: usize = 48;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
    pub close: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
    pub close: bool,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    Partial,
    /// The message and the bytes it took.
    Whole(T, usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    #[error("not HTTP/1.1")]
    Malformed,
    #[error("head too long")]
    HeadTooLong,
    #[error("body too long")]
    BodyTooLong,
}

impl HttpError {
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::HeadTooLong => 431,
            HttpError::BodyTooLong => 413,
        }
    }
}

struct HeadFacts {
    length: Option<usize>,
    chunked: bool,
    close: bool,
}

fn head_facts(headers: &[httparse::Header<'_>], version: u8) -> Result<HeadFacts, HttpError> {
    let mut facts = HeadFacts { length: None, chunked: false, close: version == 0 };
    for h in headers {
        let text = || std::str::from_utf8(h.value).map_err(|_| HttpError::Malformed);
        if h.name.eq_ignore_ascii_case("content-length") {
            let n: usize = text()?.trim().parse().map_err(|_| HttpError::Malformed)?;
            if facts.length.is_some_and(|old| old != n) {
                return Err(HttpError::Malformed);
            }
            facts.length = Some(n);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            if !text()?.trim().eq_ignore_ascii_case("chunked") {
                return Err(HttpError::Malformed);
            }
            facts.chunked = true;
        } else if h.name.eq_ignore_ascii_case("connection") {
            let v = text()?;
            if v.eq_ignore_ascii_case("close") {
                facts.close = true;
            } else if v.eq_ignore_ascii_case("keep-alive") {
                facts.close = false;
            }
        }
    }
    // Both at once is how requests are smuggled past one another.
    if facts.chunked && facts.length.is_some() {
        return Err(HttpError::Malformed);
    }
    Ok(facts)
}

/// Takes the body that starts at `at`. None: more bytes are needed.
fn take_body(buf: &[u8], at: usize, facts: &HeadFacts, max: usize) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    if facts.chunked {
        return take_chunked(buf, at, max);
    }
    let n = facts.length.unwrap_or(0);
    if n > max {
        return Err(HttpError::BodyTooLong);
    }
    match buf.get(at..at.saturating_add(n)) {
        Some(b) => Ok(Some((b.to_vec(), at + n))),
        None => Ok(None),
    }
}

fn take_chunked(buf: &[u8], mut at: usize, max: usize) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let mut out = Vec::new();
    loop {
        let rest = buf.get(at..).unwrap_or(&[]);
        match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((skip, size))) => {
                let size = usize::try_from(size).map_err(|_| HttpError::BodyTooLong)?;
                if size > max || out.len() + size > max {
                    return Err(HttpError::BodyTooLong);
                }
                let from = at + skip;
                let Some(part) = buf.get(from..from + size + 2) else { return Ok(None) };
                if &part[size..] != b"\r\n" {
                    return Err(HttpError::Malformed);
                }
                out.extend_from_slice(&part[..size]);
                at = from + size + 2;
                if size == 0 {
                    return Ok(Some((out, at)));
                }
            }
            Ok(httparse::Status::Partial) if rest.len() < 32 => return Ok(None),
            _ => return Err(HttpError::Malformed),
        }
    }
}

pub fn parse_request(buf: &[u8]) -> Result<Parsed<Request>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    let at = match req.parse(buf) {
        Ok(httparse::Status::Complete(n)) if n <= MAX_HEAD => n,
        Ok(httparse::Status::Partial) if buf.len() <= MAX_HEAD => return Ok(Parsed::Partial),
        Ok(_) => return Err(HttpError::HeadTooLong),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLong),
        Err(_) => return Err(HttpError::Malformed),
    };
    let facts = head_facts(req.headers, req.version.unwrap_or(1))?;
    let method = req.method.unwrap_or("").to_owned();
    let path = req.path.unwrap_or("").to_owned();
    Ok(match take_body(buf, at, &facts, MAX_REQUEST_BODY)? {
        None => Parsed::Partial,
        Some((body, used)) => Parsed::Whole(Request { method, path, body, close: facts.close }, used),
    })
}

pub fn parse_reply(buf: &[u8]) -> Result<Parsed<Reply>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut rep = httparse::Response::new(&mut headers);
    let at = match rep.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() <= MAX_HEAD => return Ok(Parsed::Partial),
        Ok(httparse::Status::Partial) => return Err(HttpError::HeadTooLong),
        Err(_) => return Err(HttpError::Malformed),
    };
    let facts = head_facts(rep.headers, rep.version.unwrap_or(1))?;
    let status = rep.code.unwrap_or(0);
    Ok(match take_body(buf, at, &facts, MAX_REPLY_BODY)? {
        None => Parsed::Partial,
        Some((body, used)) => Parsed::Whole(Reply { status, body, close: facts.close }, used),
    })
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

pub fn write_reply(out: &mut Vec<u8>, status: u16, retry_after_s: Option<u32>, body: &[u8], close: bool) {
    let mut head = String::with_capacity(160);
    let _ = write!(
        head,
        "HTTP/1.1 {status} {}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n",
        reason(status),
        body.len()
    );
    if let Some(s) = retry_after_s {
        let _ = write!(head, "Retry-After: {s}\r\n");
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

pub fn write_request(out: &mut Vec<u8>, method: &str, path: &str, host: &str, body: &[u8]) {
    let mut head = String::with_capacity(160);
    let _ = write!(head, "{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    if !body.is_empty() || method == "POST" {
        let _ = write!(head, "Content-Type: application/cbor\r\nContent-Length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

#[cfg(test)]
#[path = "tests/http.rs"]
mod tests;
