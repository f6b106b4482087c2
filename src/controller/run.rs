//! The main loop of the process.

use std::{io, net::SocketAddr, time::Duration};

use calloop::EventLoop;

use super::instance::Controller;
use crate::{
    coordination::model::Millis,
    protocol::{
        operator::OperatorSettings,
        settings::{Settings, WorkerSettings},
    },
    transport::{
        descriptors::{raise_descriptor_limit, DescriptorLimit},
        Limits, ListenerKind, Net,
    },
};

/// After a halt of this long, in ms, all pending requests are dropped: nobody
/// waits longer for an answer of ours, nor do we for one of a peer or the key-value
/// store, a few watches aside.
const HALT_THRESHOLD_MS: Millis = 5_000;
/// A connection with no request is closed after this long, in ms: longer than
/// load balancers and workers keep theirs idle.
const IDLE_TIMEOUT_MS: u64 = 75_000;
/// A request must be complete within this time, in ms.
const REQUEST_READ_TIMEOUT_MS: u64 = 5_000;
/// A worker's connection counts as stale after three heartbeat intervals: this many
/// ms per second of the interval, within the range below.
const STALE_MS_PER_HEARTBEAT_S: f64 = 3_000.0;
const MIN_STALE_MS: u64 = 10_000;
const MAX_STALE_MS: u64 = 60_000;

/// Why the process can't go on.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// The event loop can't be set up, or a source can't be added to it.
    #[error("event loop: {0}")]
    EventLoop(#[from] calloop::Error),
    /// A turn of the event loop failed.
    #[error("event loop: {0}")]
    Turn(#[source] io::Error),
    /// An address can't be listened on.
    #[error("listening on {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The error of the socket.
        source: io::Error,
    },
}

fn stale_ms(workers: &WorkerSettings) -> u64 {
    ((workers.heartbeat_interval_s * STALE_MS_PER_HEARTBEAT_S) as u64).clamp(MIN_STALE_MS, MAX_STALE_MS)
}

/// Runs one controller until the process ends.
pub fn run(settings: &Settings, operator: OperatorSettings) -> Result<(), ControllerError> {
    let mut event_loop: EventLoop<'static, Net> = EventLoop::try_new()?;
    let cluster = &settings.cluster;
    let stale_ms = stale_ms(&cluster.workers);
    if let DescriptorLimit::TooLow(descriptors) = raise_descriptor_limit(cluster.limits.sockets) {
        let sockets = cluster.limits.sockets;
        tracing::warn!(descriptors, sockets, "descriptor limit below socket limit");
    }
    let limits = Limits {
        sockets: cluster.limits.sockets,
        idle_ms: IDLE_TIMEOUT_MS,
        head_ms: REQUEST_READ_TIMEOUT_MS,
        stale_ms,
    };
    let mut net = Net::new(&event_loop, limits);
    let listeners = [(settings.client_listen, ListenerKind::Http), (settings.cluster_listen, ListenerKind::Frames)];
    for (addr, kind) in listeners {
        net.listen(addr, kind).map_err(|source| ControllerError::Listen { addr, source })?;
    }
    tracing::info!(label = &*settings.label, zone = &*settings.zone, "started");
    let mut controller = Controller::new(settings, operator, &mut net);
    let mut last_turn = net.now();
    loop {
        controller.tick(&mut net);
        net.turn(&mut event_loop, Duration::from_millis(controller.max_wait_ms())).map_err(ControllerError::Turn)?;
        drop_stale_io_after_halt(&mut net, last_turn);
        last_turn = net.now();
        while let Some(event) = net.next_event() {
            controller.handle(&mut net, event);
        }
    }
}

/// Guard: a process that was halted finds old requests and answers in its
/// sockets. The halt is noticed before any of them is acted on.
fn drop_stale_io_after_halt(net: &mut Net, last_turn: Millis) {
    let now = net.now();
    if now > last_turn + HALT_THRESHOLD_MS {
        tracing::warn!(halted_ms = now - last_turn, "process halted: pending input dropped");
        net.drop_stale_io();
    }
}
