//! Opening of outgoing TCP connections.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4, TcpStream},
    os::fd::OwnedFd,
};

/// Starts a non-blocking connect. The returned stream may not be connected yet. Only
/// IPv4 addresses are supported.
pub(super) fn dial(destination: SocketAddr) -> io::Result<TcpStream> {
    use rustix::net::{connect, socket_with, AddressFamily, SocketFlags, SocketType};
    let SocketAddr::V4(v4) = destination else { return Err(io::ErrorKind::Unsupported.into()) };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let fd: OwnedFd = socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
    match connect(&fd, &SocketAddrV4::new(*v4.ip(), v4.port())) {
        Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
        Err(error) => return Err(error.into()),
    }
    let stream = TcpStream::from(fd);
    let _ = stream.set_nodelay(true);
    Ok(stream)
}
