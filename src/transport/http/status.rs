//! The HTTP status codes that are sent, or that are handled when received.

/// The request succeeded.
pub const OK: u16 = 200;
/// A new resource was created.
pub const CREATED: u16 = 201;
/// The request is malformed.
pub const BAD_REQUEST: u16 = 400;
/// There is no such resource.
pub const NOT_FOUND: u16 = 404;
/// The path doesn't support the method.
pub const METHOD_NOT_ALLOWED: u16 = 405;
/// The request conflicts with the current state.
pub const CONFLICT: u16 = 409;
/// The requested data is no longer available.
pub const GONE: u16 = 410;
/// The body of the request is too long.
pub const CONTENT_TOO_LARGE: u16 = 413;
/// The request must be sent to another controller.
pub const MISDIRECTED_REQUEST: u16 = 421;
/// The request is well-formed but can't be executed.
pub const UNPROCESSABLE_CONTENT: u16 = 422;
/// The client exceeds its request rate.
pub const TOO_MANY_REQUESTS: u16 = 429;
/// The head of the request is too long.
pub const HEADERS_TOO_LARGE: u16 = 431;
/// The service is temporarily unable to handle the request.
pub const SERVICE_UNAVAILABLE: u16 = 503;

/// Returns the reason phrase of a status code that this process sends; `Status` for any
/// other code.
pub fn reason_phrase(code: u16) -> &'static str {
    match code {
        OK => "OK",
        CREATED => "Created",
        BAD_REQUEST => "Bad Request",
        NOT_FOUND => "Not Found",
        METHOD_NOT_ALLOWED => "Method Not Allowed",
        CONFLICT => "Conflict",
        CONTENT_TOO_LARGE => "Content Too Large",
        MISDIRECTED_REQUEST => "Misdirected Request",
        UNPROCESSABLE_CONTENT => "Unprocessable Content",
        TOO_MANY_REQUESTS => "Too Many Requests",
        HEADERS_TOO_LARGE => "Request Header Fields Too Large",
        SERVICE_UNAVAILABLE => "Service Unavailable",
        _ => "Status",
    }
}
