//! Persistent links to peers, and their frames: a length of four bytes (little endian)
//! followed by the content.

use std::net::SocketAddr;

use super::{
    connection::{ConnectionId, Disposition, Role},
    dial::dial,
    peer_link::{PeerLink, MAX_LINK_QUEUE_BYTES},
    Event, Net,
};

/// Maximum size of a frame's content, in bytes. A connection that announces a longer frame
/// is closed.
const MAX_FRAME_BYTES: usize = 512 * 1024;
/// Delay between two attempts to connect to a peer, in ms.
const LINK_RETRY_MS: u64 = 400;
/// Time within which a link must be established, in ms.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Size of the length prefix of a frame, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

impl Net {
    /// Adds a link to a peer and returns its number, for [`Net::send_frame`].
    pub fn add_link(&mut self, destination: SocketAddr) -> usize {
        self.links.push(PeerLink { destination, connection: None, retry_at: 0 });
        self.links.len() - 1
    }

    /// Sends a frame to a peer, or drops it if the link is down or its queue is full.
    /// A dropped frame is not sent again, because the next frame repeats its state.
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

    /// Returns the connection of a link. Opens one if there is none, unless the last
    /// attempt was less than [`LINK_RETRY_MS`] ago.
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

    /// Records that a link's connection was closed. It is opened again after
    /// [`LINK_RETRY_MS`] at the earliest.
    pub(super) fn handle_link_closed(&mut self, link: usize) {
        let retry_at = self.now() + LINK_RETRY_MS;
        if let Some(peer_link) = self.links.get_mut(link) {
            peer_link.connection = None;
            peer_link.retry_at = retry_at;
        }
    }

    /// Extracts the complete frames from a peer's input.
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
