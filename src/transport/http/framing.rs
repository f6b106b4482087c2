//! Message framing: the end of the body, and whether the connection is closed after it.

use super::error::HttpError;

/// Maximum length of the line that gives the size of a chunk, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 32;
/// Line ending after the data of each chunk.
const CRLF: &[u8] = b"\r\n";
/// The version number that `httparse` reports for HTTP/1.0, where connections are
/// closed by default.
const HTTP_1_0: u8 = 0;
/// The version number that `httparse` reports for HTTP/1.1.
pub(super) const HTTP_1_1: u8 = 1;

/// Body framing and connection handling, as given by the header fields.
pub(super) struct Framing {
    /// Value of `Content-Length`, in bytes.
    content_length: Option<usize>,
    /// Whether the body has the chunked transfer encoding.
    chunked: bool,
    /// Whether the connection is to be closed after the message.
    pub close: bool,
}

/// The decoded body of a message.
pub(super) struct Body {
    pub bytes: Vec<u8>,
    /// Position in the buffer of the first byte after the message.
    pub end: usize,
}

impl Framing {
    pub fn parse(headers: &[httparse::Header<'_>], version: u8) -> Result<Framing, HttpError> {
        let mut framing = Framing { content_length: None, chunked: false, close: version == HTTP_1_0 };
        for header in headers {
            framing.apply(header)?;
        }
        // Prevents request smuggling: two servers could disagree on where a message with
        // both framings ends, and read different messages from the same bytes.
        if framing.chunked && framing.content_length.is_some() {
            return Err(HttpError::Malformed);
        }
        Ok(framing)
    }

    fn apply(&mut self, header: &httparse::Header<'_>) -> Result<(), HttpError> {
        let text = || std::str::from_utf8(header.value).map_err(|_| HttpError::Malformed);
        if header.name.eq_ignore_ascii_case("content-length") {
            let length: usize = text()?.trim().parse().map_err(|_| HttpError::Malformed)?;
            if self.content_length.is_some_and(|earlier| earlier != length) {
                return Err(HttpError::Malformed);
            }
            self.content_length = Some(length);
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

    /// Decodes the body that starts at `body_start` in `buffer`. Returns `None` if more
    /// bytes are needed, and an error if the body exceeds `max_bytes`.
    pub fn take_body(&self, buffer: &[u8], body_start: usize, max_bytes: usize) -> Result<Option<Body>, HttpError> {
        if self.chunked {
            return take_chunked(buffer, body_start, max_bytes);
        }
        let length = self.content_length.unwrap_or(0);
        if length > max_bytes {
            return Err(HttpError::BodyTooLong);
        }
        let bytes = buffer.get(body_start..body_start.saturating_add(length));
        Ok(bytes.map(|bytes| Body { bytes: bytes.to_vec(), end: body_start + length }))
    }
}

fn take_chunked(buffer: &[u8], mut position: usize, max_bytes: usize) -> Result<Option<Body>, HttpError> {
    let mut bytes = Vec::new();
    loop {
        let rest = buffer.get(position..).unwrap_or(&[]);
        let (size_line_length, size) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete(chunk)) => chunk,
            Ok(httparse::Status::Partial) if rest.len() < MAX_CHUNK_SIZE_LINE_BYTES => return Ok(None),
            _ => return Err(HttpError::Malformed),
        };
        let size = usize::try_from(size).map_err(|_| HttpError::BodyTooLong)?;
        if size > max_bytes || bytes.len() + size > max_bytes {
            return Err(HttpError::BodyTooLong);
        }
        let start = position + size_line_length;
        let end = start + size + CRLF.len();
        let Some(chunk) = buffer.get(start..end) else { return Ok(None) };
        if &chunk[size..] != CRLF {
            return Err(HttpError::Malformed);
        }
        bytes.extend_from_slice(&chunk[..size]);
        position = end;
        if size == 0 {
            return Ok(Some(Body { bytes, end }));
        }
    }
}
