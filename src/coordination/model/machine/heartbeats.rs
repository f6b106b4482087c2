//! Heartbeats received from a machine.

use crate::{
    coordination::model::Millis,
    protocol::ids::{Incarnation, SequenceNumber},
};

/// Heartbeats received from a machine, the lease of its worker, and its probes.
#[derive(Debug)]
pub struct HeartbeatState {
    /// The latest incarnation of its worker.
    pub incarnation: Incarnation,
    /// Heartbeats of this incarnation and of earlier ones are stale: their leases
    /// expired.
    pub expired_incarnation: Incarnation,
    /// When the last heartbeat was received, periodic or in response to a call; `None`:
    /// no heartbeat was received.
    pub last_contact: Option<Millis>,
    /// When the last periodic heartbeat was received; `None`: none was.
    pub last_heartbeat: Option<Millis>,
    /// Latest time at which any leader may have responded 200 to a heartbeat, which
    /// renews the worker's lease.
    pub lease_renewed_at: Millis,
    /// Consecutive probes without a response.
    pub failed_probes: u32,
    /// Sequence number of the latest heartbeat within the incarnation.
    sequence: SequenceNumber,
    /// Whether a probe is in flight.
    probe_in_flight: bool,
}

impl HeartbeatState {
    pub(super) fn new(now: Millis) -> HeartbeatState {
        HeartbeatState {
            incarnation: Incarnation::NONE,
            expired_incarnation: Incarnation::NONE,
            last_contact: None,
            last_heartbeat: None,
            lease_renewed_at: now,
            failed_probes: 0,
            sequence: SequenceNumber::default(),
            probe_in_flight: false,
        }
    }

    /// Reports whether the latest heartbeat precedes one with these numbers.
    pub fn precedes(&self, incarnation: Incarnation, sequence: SequenceNumber) -> bool {
        (incarnation, sequence) > (self.incarnation, self.sequence)
    }

    /// Reports whether the lease of this incarnation is known to have expired.
    pub fn is_expired(&self, incarnation: Incarnation) -> bool {
        incarnation <= self.expired_incarnation
    }

    /// Records that a heartbeat was received, periodic or in response to a call.
    pub fn record_contact(&mut self, now: Millis, sequence: SequenceNumber) {
        self.sequence = sequence;
        self.last_contact = Some(now);
        self.failed_probes = 0;
    }

    /// Begins a new incarnation and returns the previous one.
    ///
    /// The new incarnation has its own lease from its start, even if it is known only
    /// from the response to a probe or a command. So the lease is considered renewed at
    /// `now` or later.
    pub fn begin_incarnation(&mut self, now: Millis, incarnation: Incarnation) -> Incarnation {
        self.lease_renewed_at = self.lease_renewed_at.max(now);
        std::mem::replace(&mut self.incarnation, incarnation)
    }

    /// Records that the worker's lease expired: for its latest incarnation and for
    /// `last_assigned`, the latest incarnation to which tasks were assigned.
    pub fn expire(&mut self, last_assigned: Incarnation) {
        self.expired_incarnation = self.expired_incarnation.max(self.incarnation).max(last_assigned);
    }

    /// Reports whether the last heartbeat, periodic or in response to a call, was
    /// received at most `max_age_ms` ago.
    pub fn contacted_within(&self, now: Millis, max_age_ms: Millis) -> bool {
        self.last_contact.is_some_and(|contact| now <= contact + max_age_ms)
    }

    /// Reports whether the last periodic heartbeat was received at most `max_age_ms` ago.
    pub fn heartbeat_within(&self, now: Millis, max_age_ms: Millis) -> bool {
        self.last_heartbeat.is_some_and(|heartbeat| now <= heartbeat + max_age_ms)
    }

    /// Reports whether a probe is in flight.
    pub fn is_probing(&self) -> bool {
        self.probe_in_flight
    }

    /// Records that a probe is sent.
    pub fn begin_probe(&mut self) {
        self.probe_in_flight = true;
    }

    /// Records that the probe in flight completed or timed out.
    pub fn end_probe(&mut self) {
        self.probe_in_flight = false;
    }
}
