//! HTTP/1.1 messages: parsed with `httparse`, and written. No I/O here.

use std::fmt::Write as _;

/// Largest request body a client may send, in bytes.
pub const MAX_REQUEST_BODY: usize = 64 * 1024;
/// Largest head of a request or a reply, in bytes.
pub const MAX_HEAD: usize = 8 * 1024;
/// Largest body of a reply, in bytes. `/changes` has no limit of its own, so
/// this one only keeps a broken service from filling the memory.
pub const MAX_REPLY_BODY: usize = 24 * 1024 * 1024;

/// Most header fields of one message.
const MAX_HEADERS: usize = 48;
/// Longest line with the size of a chunk, in bytes.
const MAX_CHUNK_SIZE_LINE: usize = 32;
/// Line end after the data of each chunk.
const CRLF: &[u8] = b"\r\n";
/// Room reserved for the head of a message, in bytes; most fit without growing.
const TYPICAL_HEAD: usize = 160;

/// Status codes that are sent or acted on.
pub mod status {
    /// Success.
    pub const OK: u16 = 200;
    /// A new resource exists.
    pub const CREATED: u16 = 201;
    /// The request is malformed.
    pub const BAD_REQUEST: u16 = 400;
    /// There is no such resource.
    pub const NOT_FOUND: u16 = 404;
    /// The path doesn't support the method.
    pub const METHOD_NOT_ALLOWED: u16 = 405;
    /// The request contradicts the present state.
    pub const CONFLICT: u16 = 409;
    /// What was asked for is no longer available.
    pub const GONE: u16 = 410;
    /// The body is too long.
    pub const CONTENT_TOO_LARGE: u16 = 413;
    /// Another controller has to serve the request.
    pub const MISDIRECTED_REQUEST: u16 = 421;
    /// The request is well-formed, but can't be carried out.
    pub const UNPROCESSABLE_CONTENT: u16 = 422;
    /// The client is to send fewer requests.
    pub const TOO_MANY_REQUESTS: u16 = 429;
    /// The head of the request is too long.
    pub const HEADERS_TOO_LARGE: u16 = 431;
    /// The service can't answer at present.
    pub const SERVICE_UNAVAILABLE: u16 = 503;
}

/// Methods of the requests that are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// GET.
    Get,
    /// POST.
    Post,
    /// DELETE.
    Delete,
}

impl Method {
    /// The method's name on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Delete => "DELETE",
        }
    }
}

/// A request as it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method, as it was sent.
    pub method: String,
    /// Path, with its query if there is one.
    pub path: String,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
    /// The client wants the connection closed after the reply.
    pub close: bool,
}

/// A reply as it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
    /// The service closes the connection after this reply.
    pub close: bool,
}

/// The result of parsing bytes that may still be incomplete.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// More bytes are needed.
    Partial,
    /// The message, and the number of bytes it took.
    Whole(T, usize),
}

/// Why bytes are refused as a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The bytes are no message of HTTP/1.1.
    #[error("not HTTP/1.1")]
    Malformed,
    /// The head exceeds its limit.
    #[error("head too long")]
    HeadTooLong,
    /// The body exceeds its limit.
    #[error("body too long")]
    BodyTooLong,
}

impl HttpError {
    /// The status that the client is answered with.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => status::BAD_REQUEST,
            HttpError::HeadTooLong => status::HEADERS_TOO_LARGE,
            HttpError::BodyTooLong => status::CONTENT_TOO_LARGE,
        }
    }
}

/// What the header fields say about the body and the connection.
struct Framing {
    length: Option<usize>,
    chunked: bool,
    close: bool,
}

/// A body, and the position in the buffer after it.
struct Body {
    bytes: Vec<u8>,
    end: usize,
}

/// HTTP/1.0, where connections are closed by default, as `httparse` numbers it.
const HTTP_1_0: u8 = 0;
const HTTP_1_1: u8 = 1;

impl Framing {
    fn parse(headers: &[httparse::Header<'_>], version: u8) -> Result<Framing, HttpError> {
        let mut framing = Framing { length: None, chunked: false, close: version == HTTP_1_0 };
        for header in headers {
            framing.apply(header)?;
        }
        // Guard: request smuggling. A message with both framings could be taken
        // for two different messages by two servers.
        if framing.chunked && framing.length.is_some() {
            return Err(HttpError::Malformed);
        }
        Ok(framing)
    }

    fn apply(&mut self, header: &httparse::Header<'_>) -> Result<(), HttpError> {
        let text = || std::str::from_utf8(header.value).map_err(|_| HttpError::Malformed);
        if header.name.eq_ignore_ascii_case("content-length") {
            let length: usize = text()?.trim().parse().map_err(|_| HttpError::Malformed)?;
            if self.length.is_some_and(|earlier| earlier != length) {
                return Err(HttpError::Malformed);
            }
            self.length = Some(length);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !text()?.trim().eq_ignore_ascii_case("chunked") {
                return Err(HttpError::Malformed);
            }
            self.chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            let value = text()?;
            if value.eq_ignore_ascii_case("close") {
                self.close = true;
            } else if value.eq_ignore_ascii_case("keep-alive") {
                self.close = false;
            }
        }
        Ok(())
    }

    /// Takes the body that starts at `at`, or None when more bytes are needed.
    fn take_body(&self, buffer: &[u8], at: usize, max: usize) -> Result<Option<Body>, HttpError> {
        if self.chunked {
            return take_chunked(buffer, at, max);
        }
        let length = self.length.unwrap_or(0);
        if length > max {
            return Err(HttpError::BodyTooLong);
        }
        let bytes = buffer.get(at..at.saturating_add(length));
        Ok(bytes.map(|bytes| Body { bytes: bytes.to_vec(), end: at + length }))
    }
}

fn take_chunked(buffer: &[u8], mut at: usize, max: usize) -> Result<Option<Body>, HttpError> {
    let mut bytes = Vec::new();
    loop {
        let rest = buffer.get(at..).unwrap_or(&[]);
        let (skip, size) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete(chunk)) => chunk,
            Ok(httparse::Status::Partial) if rest.len() < MAX_CHUNK_SIZE_LINE => return Ok(None),
            _ => return Err(HttpError::Malformed),
        };
        let size = usize::try_from(size).map_err(|_| HttpError::BodyTooLong)?;
        if size > max || bytes.len() + size > max {
            return Err(HttpError::BodyTooLong);
        }
        let start = at + skip;
        let end = start + size + CRLF.len();
        let Some(chunk) = buffer.get(start..end) else { return Ok(None) };
        if &chunk[size..] != CRLF {
            return Err(HttpError::Malformed);
        }
        bytes.extend_from_slice(&chunk[..size]);
        at = end;
        if size == 0 {
            return Ok(Some(Body { bytes, end }));
        }
    }
}

/// Parses the request at the start of `buffer`.
pub fn parse_request(buffer: &[u8]) -> Result<Parsed<Request>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_end = match head.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD => length,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD => return Ok(Parsed::Partial),
        Ok(_) => return Err(HttpError::HeadTooLong),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLong),
        Err(_) => return Err(HttpError::Malformed),
    };
    let framing = Framing::parse(head.headers, head.version.unwrap_or(HTTP_1_1))?;
    let method = head.method.unwrap_or("").to_owned();
    let path = head.path.unwrap_or("").to_owned();
    Ok(match framing.take_body(buffer, head_end, MAX_REQUEST_BODY)? {
        None => Parsed::Partial,
        Some(body) => Parsed::Whole(Request { method, path, body: body.bytes, close: framing.close }, body.end),
    })
}

/// Parses the reply at the start of `buffer`.
pub fn parse_reply(buffer: &[u8]) -> Result<Parsed<Reply>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let head_end = match head.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD => return Ok(Parsed::Partial),
        Ok(httparse::Status::Partial) => return Err(HttpError::HeadTooLong),
        Err(_) => return Err(HttpError::Malformed),
    };
    let framing = Framing::parse(head.headers, head.version.unwrap_or(HTTP_1_1))?;
    let status = head.code.unwrap_or(0);
    Ok(match framing.take_body(buffer, head_end, MAX_REPLY_BODY)? {
        None => Parsed::Partial,
        Some(body) => Parsed::Whole(Reply { status, body: body.bytes, close: framing.close }, body.end),
    })
}

/// The reason phrase of a status.
pub fn reason(code: u16) -> &'static str {
    match code {
        status::OK => "OK",
        status::CREATED => "Created",
        status::BAD_REQUEST => "Bad Request",
        status::NOT_FOUND => "Not Found",
        status::METHOD_NOT_ALLOWED => "Method Not Allowed",
        status::CONFLICT => "Conflict",
        status::CONTENT_TOO_LARGE => "Content Too Large",
        status::MISDIRECTED_REQUEST => "Misdirected Request",
        status::UNPROCESSABLE_CONTENT => "Unprocessable Content",
        status::TOO_MANY_REQUESTS => "Too Many Requests",
        status::HEADERS_TOO_LARGE => "Request Header Fields Too Large",
        status::SERVICE_UNAVAILABLE => "Service Unavailable",
        _ => "Status",
    }
}

/// Appends a reply with a CBOR body to `out`.
pub fn write_reply(out: &mut Vec<u8>, status: u16, retry_after_s: Option<u32>, body: &[u8], close: bool) {
    let mut head = String::with_capacity(TYPICAL_HEAD);
    let _ = write!(
        head,
        "HTTP/1.1 {status} {}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n",
        reason(status),
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
    let mut head = String::with_capacity(TYPICAL_HEAD);
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
