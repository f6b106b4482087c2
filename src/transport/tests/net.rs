use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

use calloop::EventLoop;

use super::{Call, CallError, Event, Limits, ListenerKind, Net};
use crate::transport::http::Method;

struct TestServer {
    event_loop: EventLoop<'static, Net>,
    net: Net,
    addr: SocketAddr,
}

fn start_server(limits: Limits) -> TestServer {
    let event_loop = EventLoop::try_new().unwrap();
    let mut net = Net::new(&event_loop, limits);
    let addr = net.listen("127.0.0.1:0".parse().unwrap(), ListenerKind::Http).unwrap();
    TestServer { event_loop, net, addr }
}

impl TestServer {
    fn run_for(&mut self, ms: u64) {
        let until = self.net.now() + ms;
        while self.net.now() < until {
            self.net.run_once(&mut self.event_loop, Duration::from_millis(5)).unwrap();
            while let Some(event) = self.net.next_event() {
                if let Event::Request { connection, request } = event {
                    if request.path == "/now" {
                        self.net.respond(connection, 200, None, b"");
                    } else if request.path == "/report" {
                        self.net.respond_to_heartbeat(connection, 200, b"");
                    }
                }
            }
        }
    }

    fn client(&mut self, send: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.addr).unwrap();
        stream.write_all(send).unwrap();
        stream.set_nonblocking(true).unwrap();
        stream
    }
}

fn is_open(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 1024];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) => return error.kind() == io::ErrorKind::WouldBlock,
        }
    }
}

/// A connection that sends no request, or not a complete one, must not occupy a socket
/// permanently.
#[test]
fn idle_connections_and_incomplete_requests_are_closed_after_their_timeout() {
    let mut server =
        start_server(Limits { sockets: 100, idle_timeout_ms: 1_500, request_timeout_ms: 300, stale_after_ms: 100 });
    // (bytes that the client sends, open after 700 ms, open after 2,500 ms)
    let cases: [(&[u8], bool, bool); 4] = [
        (b"", true, false),
        (b"GET /now HTTP/1.1\r\n\r\n", true, false),
        (b"GET /now HT", false, false),
        (b"POST /now HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", false, false),
    ];
    let mut clients: Vec<TcpStream> = cases.iter().map(|case| server.client(case.0)).collect();
    server.run_for(700);
    for (client, (sent, open, _)) in clients.iter_mut().zip(cases) {
        assert_eq!(is_open(client), open, "after 700 ms: {}", String::from_utf8_lossy(sent));
    }
    server.run_for(1_800);
    for (client, (sent, _, open)) in clients.iter_mut().zip(cases) {
        assert_eq!(is_open(client), open, "after 2,500 ms: {}", String::from_utf8_lossy(sent));
    }
    assert_eq!(server.net.connection_count(), 0);
}

/// With more workers than sockets, workers that found no free socket lost their leases,
/// and users and health probes were refused as well.
#[test]
fn all_workers_and_users_are_served_when_workers_outnumber_sockets() {
    let mut server = start_server(Limits {
        sockets: 64,
        idle_timeout_ms: 60_000,
        request_timeout_ms: 5_000,
        stale_after_ms: 30_000,
    });
    let mut workers: Vec<Option<TcpStream>> = (0..96).map(|_| None).collect();
    for round in 0..4 {
        for (index, worker) in workers.iter_mut().enumerate() {
            if !worker.as_mut().is_some_and(is_open) {
                *worker = Some(server.client(b""));
            }
            let Some(stream) = worker else { continue };
            stream.write_all(b"GET /report HTTP/1.1\r\n\r\n").unwrap();
            server.run_for(5);
            let received = stream.read(&mut [0; 1024]).unwrap_or(0);
            assert!(received > 0, "round {round}: worker {index} received no response");
        }
        let mut user = server.client(b"GET /now HTTP/1.1\r\n\r\n");
        server.run_for(20);
        assert!(is_open(&mut user), "round {round}: the user's connection was refused");
    }
    assert!(
        server.net.connection_count() <= 48 && server.net.connection_count() > 32,
        "{} open connections",
        server.net.connection_count()
    );
}

/// After a halt of the process, the input pending in its sockets is old: requests in that
/// input must not be executed, and responses in it must not be accepted.
#[test]
fn drop_stale_io_discards_requests_and_replies_read_before_it() {
    let mut server = start_server(Limits {
        sockets: 64,
        idle_timeout_ms: 60_000,
        request_timeout_ms: 5_000,
        stale_after_ms: 30_000,
    });
    let service = TcpListener::bind("127.0.0.1:0").unwrap();
    let destination = service.local_addr().unwrap();
    server.net.call(&Call {
        destination,
        method: Method::Get,
        path: "/".into(),
        body: vec![],
        timeout_ms: 60_000,
        tag: 7,
    });
    server.run_for(50);
    let (mut service_stream, _) = service.accept().unwrap();
    service_stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    let mut client = server.client(b"GET /now HTTP/1.1\r\n\r\n");
    // Reads both messages without handling their events.
    for _ in 0..5 {
        server.net.run_once(&mut server.event_loop, Duration::from_millis(10)).unwrap();
    }
    server.net.drop_stale_io();
    let mut events = Vec::new();
    while let Some(event) = server.net.next_event() {
        events.push(event);
    }
    assert!(matches!(&events[..], [Event::Reply { tag: 7, result: Err(CallError::Unknown) }]), "{events:?}");
    server.run_for(20);
    assert!(!is_open(&mut client) && server.net.connection_count() == 0);
}

/// Connections of machines that no longer existed stayed open. At the socket limit, running
/// machines could then not connect, and their leases expired.
#[test]
fn longest_idle_connections_are_closed_when_the_socket_limit_is_reached() {
    let mut server =
        start_server(Limits { sockets: 40, idle_timeout_ms: 60_000, request_timeout_ms: 5_000, stale_after_ms: 300 });
    let mut idle_clients: Vec<TcpStream> = (0..24).map(|_| server.client(b"GET /now HTTP/1.1\r\n\r\n")).collect();
    server.run_for(100);
    // A connection with a request in progress is not idle, however long it takes.
    idle_clients[0].write_all(b"GET /later HTTP/1.1\r\n\r\n").unwrap();
    let mut refused_client = server.client(b"GET /now HTTP/1.1\r\n\r\n");
    server.run_for(100);
    assert!(!is_open(&mut refused_client), "must be refused: no connection has been idle for long enough");
    server.run_for(400);
    let mut new_clients: Vec<TcpStream> = (0..10).map(|_| server.client(b"GET /now HTTP/1.1\r\n\r\n")).collect();
    server.run_for(200);
    assert!(new_clients.iter_mut().all(is_open), "idle connections must be closed to admit new ones");
    assert!(is_open(&mut idle_clients[0]), "a connection with a request in progress must stay open");
    assert!(idle_clients.iter_mut().filter_map(|client| is_open(client).then_some(())).count() < 24);
    assert!(server.net.connection_count() <= 24);
}
