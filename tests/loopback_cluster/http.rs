//! Blocking HTTP server and client of the tests.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use ciborium::Value;
use serde::Serialize;
use shedhook::{
    protocol::cbor,
    transport::http::{parse_reply, parse_request, write_request, write_response, Parsed},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const READ_TIMEOUT: Duration = Duration::from_secs(3);
const READ_BYTES: usize = 8192;

/// An HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body in bytes; empty if there is none.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response without a body.
    pub fn empty(status: u16) -> Response {
        Response { status, body: Vec::new() }
    }

    /// Creates a response with a body encoded as CBOR.
    pub fn encoded(status: u16, body: &impl Serialize) -> Response {
        Response { status, body: cbor::encode(body) }
    }

    /// Creates an error response whose body holds the reason.
    pub fn error(status: u16, reason: &str) -> Response {
        let body = Value::Map(vec![(Value::Text("error".into()), Value::Text(reason.into()))]);
        Response::encoded(status, &body)
    }

    /// Reports whether the status code is below 300.
    pub fn is_success(&self) -> bool {
        self.status < 300
    }
}

/// Starts a server with one thread per connection, which runs until the test process
/// exits, and returns its address.
pub fn serve(handler: impl Fn(&str, &str, &[u8]) -> Response + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    addr
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(&str, &str, &[u8]) -> Response) {
    let mut received = Vec::new();
    let mut chunk = [0; READ_BYTES];
    loop {
        match parse_request(&received) {
            Ok(Parsed::Complete(request, used)) => {
                received.drain(..used);
                let response = handler(&request.method, &request.path, &request.body);
                let mut out = Vec::new();
                write_response(&mut out, response.status, None, &response.body, false);
                if stream.write_all(&out).is_err() {
                    return;
                }
            }
            Ok(Parsed::Partial) => match stream.read(&mut chunk) {
                Ok(read) if read > 0 => received.extend_from_slice(&chunk[..read]),
                _ => return,
            },
            Err(_) => return,
        }
    }
}

/// Sends one request on a new connection. Returns None if no response is received.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let mut request = Vec::new();
    write_request(&mut request, method, path, "test", body);
    stream.write_all(&request).ok()?;
    let mut received = Vec::new();
    let mut chunk = [0; READ_BYTES];
    loop {
        match parse_reply(&received) {
            Ok(Parsed::Complete(reply, _)) => return Some(Response { status: reply.status, body: reply.body }),
            Ok(Parsed::Partial) => match stream.read(&mut chunk) {
                Ok(read) if read > 0 => received.extend_from_slice(&chunk[..read]),
                _ => return None,
            },
            Err(_) => return None,
        }
    }
}

/// Returns the status code of a response, if there was one.
pub fn status_code(response: Option<Response>) -> Option<u16> {
    response.map(|response| response.status)
}
