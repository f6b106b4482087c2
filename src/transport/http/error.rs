//! Errors of parsing HTTP messages.

use super::status;

/// Why received bytes are rejected as an HTTP message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The bytes are not a valid HTTP/1.1 message.
    #[error("malformed HTTP/1.1 message")]
    Malformed,
    /// The head exceeds [`MAX_HEAD_BYTES`](super::MAX_HEAD_BYTES), or a request has
    /// too many header fields.
    #[error("message head too long")]
    HeadTooLong,
    /// The body exceeds [`MAX_REQUEST_BODY_BYTES`](super::MAX_REQUEST_BODY_BYTES) or
    /// [`MAX_REPLY_BODY_BYTES`](super::MAX_REPLY_BODY_BYTES).
    #[error("message body too long")]
    BodyTooLong,
}

impl HttpError {
    /// Returns the status code of the response to the client.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => status::BAD_REQUEST,
            HttpError::HeadTooLong => status::HEADERS_TOO_LARGE,
            HttpError::BodyTooLong => status::CONTENT_TOO_LARGE,
        }
    }
}
