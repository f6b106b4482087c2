//! Why bytes are refused as an HTTP message.

use super::status;

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
