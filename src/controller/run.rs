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

/// If the process was halted for longer than this, in ms, all pending input is dropped.
/// No client waits longer than this for a response of this controller. Nor does this
/// controller wait longer than this for a response of a peer or the key-value store,
/// except for a few watches.
const HALT_THRESHOLD_MS: Millis = 5_000;
/// Time, in ms, after which a connection without a request is closed. Longer than load
/// balancers and workers keep an idle connection open.
const IDLE_TIMEOUT_MS: u64 = 75_000;
/// Time, in ms, within which a request must have been received in full.
const REQUEST_READ_TIMEOUT_MS: u64 = 5_000;
/// A client's connection is stale if it had no request for three of the workers' heartbeat
/// intervals. This is that time in ms per second of the interval; the result is clamped
/// to the range from [`MIN_STALE_AFTER_MS`] to [`MAX_STALE_AFTER_MS`].
const STALE_AFTER_MS_PER_HEARTBEAT_S: f64 = 3_000.0;
const MIN_STALE_AFTER_MS: u64 = 10_000;
const MAX_STALE_AFTER_MS: u64 = 60_000;

/// An error that ends the process.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// The event loop could not be created, or a source could not be added to it.
    #[error("event loop: {0}")]
    EventLoop(#[from] calloop::Error),
    /// An iteration of the event loop failed.
    #[error("event loop: {0}")]
    Iteration(#[source] io::Error),
    /// A listening socket could not be opened.
    #[error("listening on {addr}: {source}")]
    Listen {
        /// Address from the settings (`client_listen` or `cluster_listen`).
        addr: SocketAddr,
        /// Error that the socket returned.
        source: io::Error,
    },
}

fn stale_after_ms(workers: &WorkerSettings) -> u64 {
    ((workers.heartbeat_interval_s * STALE_AFTER_MS_PER_HEARTBEAT_S) as u64)
        .clamp(MIN_STALE_AFTER_MS, MAX_STALE_AFTER_MS)
}

/// Runs one controller until the process is killed. Returns only if the event loop or a
/// listening socket fails.
pub fn run(settings: &Settings, operator: OperatorSettings) -> Result<(), ControllerError> {
    let mut event_loop: EventLoop<'static, Net> = EventLoop::try_new()?;
    let cluster = &settings.cluster;
    let stale_after_ms = stale_after_ms(&cluster.workers);
    if let DescriptorLimit::TooLow(descriptors) = raise_descriptor_limit(cluster.limits.sockets) {
        let sockets = cluster.limits.sockets;
        tracing::warn!(descriptors, sockets, "descriptor limit below socket limit");
    }
    let limits = Limits {
        sockets: cluster.limits.sockets,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        request_timeout_ms: REQUEST_READ_TIMEOUT_MS,
        stale_after_ms,
    };
    let mut net = Net::new(&event_loop, limits);
    let listeners = [(settings.client_listen, ListenerKind::Http), (settings.cluster_listen, ListenerKind::Frames)];
    for (addr, kind) in listeners {
        net.listen(addr, kind).map_err(|source| ControllerError::Listen { addr, source })?;
    }
    tracing::info!(label = &*settings.label, zone = &*settings.zone, "started");
    let mut controller = Controller::new(settings, operator, &mut net);
    let mut last_iteration = net.now();
    loop {
        controller.tick(&mut net);
        net.run_once(&mut event_loop, Duration::from_millis(controller.max_wait_ms()))
            .map_err(ControllerError::Iteration)?;
        drop_stale_io_after_halt(&mut net, last_iteration);
        last_iteration = net.now();
        while let Some(event) = net.next_event() {
            controller.handle(&mut net, event);
        }
    }
}

/// Drops pending input if the process was halted since `last_iteration`. After a halt the
/// sockets hold old requests and responses, so this must be called before any of them is
/// handled.
fn drop_stale_io_after_halt(net: &mut Net, last_iteration: Millis) {
    let now = net.now();
    if now > last_iteration + HALT_THRESHOLD_MS {
        tracing::warn!(halted_ms = now - last_iteration, "process halted: pending input dropped");
        net.drop_stale_io();
    }
}
