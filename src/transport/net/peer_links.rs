//! Standing links to peers, and the frames on them: a length of four bytes
//! (little endian), then the content.

use std::net::SocketAddr;

use super::{
    connection::{ConnectionId, Disposition, Role},
    dial::dial,
    peer_link::{PeerLink, MAX_LINK_QUEUE_BYTES},
    Event, Net,
};

/// Largest content of a frame, in bytes; a longer one is invalid.
const MAX_FRAME_BYTES: usize = 512 * 1024;
/// Pause, in ms, between two attempts to connect to a peer.
const LINK_RETRY_MS: u64 = 400;
/// A link must be established within this time, in ms.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Bytes of a frame's length.
const LENGTH_PREFIX_BYTES: usize = 4;

impl Net {
    /// Adds a link to a peer and returns its number.
    pub fn add_link(&mut self, destination: SocketAddr) -> usize {
        self.links.push(PeerLink { destination, connection: None, retry_at: 0 });
        self.links.len() - 1
    }

    /// Sends a frame to a peer, or drops it when the link is down or full:
    /// frames carry state that the next one repeats.
    pub fn send_frame(&mut self, link: usize, content: &[u8]) {
        let Some(id) = self.link_connection(link) else { return };
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.unsent() > MAX_LINK_QUEUE_BYTES || content.len() > MAX_FRAME_BYTES {
            return;
        }
        connection.output.extend_from_slice(&(content.len() as u32).to_le_bytes());
        connection.output.extend_from_slice(content);
        if connection.flush() == Disposition::Close {
            self.close(id);
        }
    }

    /// The connection of a link, which is opened unless an attempt failed just now.
    fn link_connection(&mut self, link: usize) -> Option<ConnectionId> {
        let now = self.now();
        let peer_link = self.links.get_mut(link)?;
        if let Some(id) = peer_link.connection {
            return Some(id);
        }
        if now < peer_link.retry_at {
            return None;
        }
        peer_link.retry_at = now + LINK_RETRY_MS;
        let stream = dial(peer_link.destination).ok()?;
        let id = self.register(stream, Role::PeerOutbound { link }, true, now + CONNECT_TIMEOUT_MS)?;
        self.links[link].connection = Some(id);
        Some(id)
    }

    /// A link's connection was closed: it is opened again after a pause.
    pub(super) fn handle_link_closed(&mut self, link: usize) {
        let retry_at = self.now() + LINK_RETRY_MS;
        if let Some(peer_link) = self.links.get_mut(link) {
            peer_link.connection = None;
            peer_link.retry_at = retry_at;
        }
    }

    /// Takes the complete frames out of a peer's input.
    pub(super) fn parse_frames(&mut self, id: ConnectionId) -> Disposition {
        let deadline = self.now() + self.limits.idle_timeout_ms;
        let Some(connection) = self.connections.get_mut(&id) else { return Disposition::Keep };
        connection.deadline = deadline;
        let mut offset = 0;
        while let Some(prefix) = connection.input.get(offset..offset + LENGTH_PREFIX_BYTES) {
            let length = u32::from_le_bytes([prefix[0], prefix[1], prefix[2], prefix[3]]) as usize;
            if length > MAX_FRAME_BYTES {
                return Disposition::Close;
            }
            let start = offset + LENGTH_PREFIX_BYTES;
            let Some(content) = connection.input.get(start..start + length) else { break };
            self.events.push_back(Event::Frame { bytes: content.to_vec() });
            offset = start + length;
        }
        connection.input.drain(..offset);
        Disposition::Keep
    }
}
