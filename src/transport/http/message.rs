//! Received requests and replies, and the methods of outgoing requests.

/// Methods of outgoing requests.
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
    /// Returns the method's name in a request line.
    pub fn as_str(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Delete => "DELETE",
        }
    }
}

/// A received request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method, as the client sent it; it need not be one of [`Method`].
    pub method: String,
    /// Path, including the query if there is one.
    pub path: String,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
    /// Whether the connection must be closed after the response: the client requested it,
    /// or uses HTTP/1.0 without `keep-alive`.
    pub close: bool,
}

/// The received response to an outgoing request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
    /// Whether the service closes the connection after this reply.
    pub close: bool,
}
