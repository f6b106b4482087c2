//! A blocking HTTP server with a thread per connection, and a client.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

impl Request {
    /// The path without the query.
    pub fn resource(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }

    /// A parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.path.split_once('?')?.1.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }
}

#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Reads one message. Returns the first line and the body.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>, until: Option<Instant>) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0; 16384];
    loop {
        if let Some(head_end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next()?.to_owned();
            let length = lines
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse::<usize>().ok())
                .unwrap_or(0);
            let end = head_end + 4 + length;
            if buffer.len() >= end {
                let body = buffer[head_end + 4..end].to_vec();
                buffer.drain(..end);
                return Some((first, body));
            }
        }
        if let Some(until) = until {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            stream.set_read_timeout(Some(left)).ok()?;
        }
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    }
}

/// Serves requests on a free port. The handler returns None to leave a request without an answer.
pub fn serve(handler: impl Fn(&Request) -> Option<Response> + Send + Sync + 'static) -> SocketAddr {
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

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(&Request) -> Option<Response>) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    loop {
        let (first, body) = read_message(&mut stream, &mut buffer, None)?;
        let mut words = first.split(' ');
        let request = Request { method: words.next()?.into(), path: words.next()?.into(), body };
        match handler(&request) {
            Some(Response { status, body }) => {
                let mut out = format!(
                    "HTTP/1.1 {status} S\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                )
                .into_bytes();
                out.extend(body);
                stream.write_all(&out).ok()?;
            }
            // No answer: the connection stays silent until the client closes it.
            None => {
                let mut rest = [0; 1024];
                while stream.read(&mut rest).is_ok_and(|n| n > 0) {}
                return None;
            }
        }
    }
}

/// Sends one request on a connection of its own. None: no answer in time.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &[u8], timeout: Duration) -> Option<Response> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let mut out =
        format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", body.len())
            .into_bytes();
    out.extend(body);
    stream.write_all(&out).ok()?;
    let (first, body) = read_message(&mut stream, &mut Vec::new(), Some(until))?;
    Some(Response { status: first.split(' ').nth(1)?.parse().ok()?, body })
}
