//! HTTP/1.1 over TCP, one thread for each accepted connection.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::cbor::{self, Value};

/// A received request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name).map(|(_, v)| v))
    }
}

/// The response to a request.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: &Value) -> Response {
        Response { status, body: cbor::encode(body) }
    }
}

/// Handles a request; `None`: the connection is closed without a response.
pub type Handler = Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>;

struct Message {
    first_line: String,
    close: bool,
    body: Vec<u8>,
}

fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0u8; 65536];
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first_line = lines.next().unwrap_or("").to_owned();
            let (mut length, mut close) = (0, false);
            for line in lines {
                let Some((name, value)) = line.split_once(':') else { continue };
                if name.eq_ignore_ascii_case("content-length") {
                    length = value.trim().parse().map_err(|_| io::ErrorKind::InvalidData)?;
                } else if name.eq_ignore_ascii_case("connection") {
                    close |= value.trim().eq_ignore_ascii_case("close");
                }
            }
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Ok(Some(Message { first_line, close, body }));
            }
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
}

/// Listens on a free loopback port.
pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Serves requests until the process ends. Returns the address.
pub fn serve(listener: TcpListener, handler: Handler) -> SocketAddr {
    let address = listener.local_addr().expect("a bound listener");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(message)) = read_message(&mut stream, &mut buffer) {
        let mut words = message.first_line.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let request = Request { method, path: path.to_owned(), query: query.to_owned(), body: message.body };
        let Some(response) = handler(request) else { return };
        let connection = if message.close { "Connection: close\r\n" } else { "" };
        let mut bytes = format!(
            "HTTP/1.1 {} Status\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n{connection}\r\n",
            response.status,
            response.body.len()
        )
        .into_bytes();
        bytes.extend(response.body);
        if stream.write_all(&bytes).is_err() || message.close {
            return;
        }
    }
}

/// Sends one request on a connection of its own and waits for the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<(u16, Option<Value>)> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/cbor\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)?;
    let message = read_message(&mut stream, &mut Vec::new())?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = message.first_line.split(' ').nth(1).and_then(|code| code.parse().ok());
    Ok((status.ok_or(io::ErrorKind::InvalidData)?, cbor::decode(&message.body)))
}
