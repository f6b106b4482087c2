//! Requests and replies as they are received.

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
    /// The method's name in a request.
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
