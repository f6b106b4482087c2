//! A blocking HTTP server and client.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use shedhook::transport::http::{parse_reply, parse_request, write_reply, write_request, Parsed};

/// Status and body of a response.
pub type HeartbeatOutcome = (u16, Vec<u8>);

/// Serves until the test process ends; one thread a connection.
pub fn serve(handler: impl Fn(&str, &str, &[u8]) -> HeartbeatOutcome + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || talk(stream, &*handler));
        }
    });
    addr
}

fn talk(mut stream: TcpStream, handler: &dyn Fn(&str, &str, &[u8]) -> HeartbeatOutcome) {
    let mut buf = Vec::new();
    let mut part = [0; 8192];
    loop {
        match parse_request(&buf) {
            Ok(Parsed::Whole(req, used)) => {
                buf.drain(..used);
                let (status, bytes) = handler(&req.method, &req.path, &req.body);
                let mut out = Vec::new();
                write_reply(&mut out, status, None, &bytes, false);
                if stream.write_all(&out).is_err() {
                    return;
                }
            }
            Ok(Parsed::Partial) => match stream.read(&mut part) {
                Ok(n) if n > 0 => buf.extend_from_slice(&part[..n]),
                _ => return,
            },
            Err(_) => return,
        }
    }
}

/// One request on a connection of its own. None: no response.
pub fn call(to: SocketAddr, method: &str, path: &str, bytes: &[u8]) -> Option<HeartbeatOutcome> {
    let mut s = TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok()?;
    s.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let mut out = Vec::new();
    write_request(&mut out, method, path, "test", bytes);
    s.write_all(&out).ok()?;
    let mut buf = Vec::new();
    let mut part = [0; 8192];
    loop {
        match parse_reply(&buf) {
            Ok(Parsed::Whole(r, _)) => return Some((r.status, r.body)),
            Ok(Parsed::Partial) => match s.read(&mut part) {
                Ok(n) if n > 0 => buf.extend_from_slice(&part[..n]),
                _ => return None,
            },
            Err(_) => return None,
        }
    }
}
