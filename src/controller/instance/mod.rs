//! One controller: its components, and the dispatch of events to them.
//!
//! [`Controller`] owns the components and passes each event to those that handle it.
//! The components, which are the other modules of `controller`, don't depend on it.

mod heartbeats;
mod replies;
mod routes;
mod tick;

use std::rc::Rc;

use super::{
    election_driver::ElectionDriver,
    identity::Identity,
    job_watch::JobWatch,
    leader_key_watch::LeaderKeyWatch,
    leadership::{LeaderContext, Leadership},
    machine_types::MachineTypeCatalog,
    peers::Peers,
    renewal_key::RenewalKey,
    service_client::ServiceClient,
    store_health::StoreHealth,
    users::{UserApi, UserContext},
    version_watch::VersionWatch,
};
use crate::{
    coordination::model::Millis,
    protocol::{
        names::Interners,
        operator::OperatorSettings,
        peers::{self as frames, Frame, Gossip, Notice},
        settings::{ClusterSettings, Settings},
    },
    transport::{Event, Net},
};

/// Once the key-value store's last response is this old, in ms, the last read state of the
/// leader's key no longer serves as a hint. The limit is the duration of a watch of the key,
/// plus the time to detect that the watch failed.
const LEADER_HINT_MAX_STORE_AGE_MS: Millis = 4_500;
/// A failure of the key-value store that has lasted for less than this, in ms, doesn't make
/// the controller unready.
const UNREADY_AFTER_MS: Millis = 2_500;

/// One controller: its components and their shared state.
pub(super) struct Controller {
    identity: Identity,
    cluster: Rc<ClusterSettings>,
    operator: OperatorSettings,
    /// Interned names of teams, classes, zones, machine types and images.
    names: Interners,
    client: ServiceClient,
    store_health: StoreHealth,
    peers: Peers,
    election: ElectionDriver,
    renewal_key: RenewalKey,
    leader_key: LeaderKeyWatch,
    jobs: JobWatch,
    machine_types: MachineTypeCatalog,
    versions: VersionWatch,
    users: UserApi,
    leadership: Leadership,
}

/// Interns the names in the settings, so that their indices follow the order of the settings.
fn configured_names(cluster: &ClusterSettings) -> Interners {
    let mut names = Interners::default();
    for team in &cluster.teams {
        names.teams.intern(&team.name);
    }
    for zone in &cluster.zones {
        names.zones.intern(zone);
    }
    names
}

impl Controller {
    /// Creates a controller that has not read the key-value store yet, nor received gossip
    /// from its peers.
    pub(super) fn new(settings: &Settings, operator: OperatorSettings, net: &mut Net) -> Controller {
        let identity = Identity::new(settings);
        let cluster = Rc::new(settings.cluster.clone());
        Controller {
            names: configured_names(&cluster),
            client: ServiceClient::new(settings),
            store_health: StoreHealth::default(),
            peers: Peers::new(identity.clone(), &settings.peer_settings, net),
            election: ElectionDriver::new(&identity, operator.leader_ttl_ms),
            renewal_key: RenewalKey::new(identity.clone(), settings),
            leader_key: LeaderKeyWatch::default(),
            jobs: JobWatch::default(),
            machine_types: MachineTypeCatalog::default(),
            versions: VersionWatch::new(identity.clone(), &settings.peer_settings),
            users: UserApi::new(Rc::clone(&cluster)),
            leadership: Leadership::default(),
            identity,
            cluster,
            operator,
        }
    }

    /// Handles one event of the event loop.
    pub(super) fn handle(&mut self, net: &mut Net, event: Event) {
        match event {
            Event::Request { connection, request } => self.handle_request(net, connection, &request),
            Event::Frame { bytes } => self.handle_frame(net, &bytes),
            Event::Reply { tag, result } => {
                if let Some(pending) = self.client.take_pending(tag) {
                    self.handle_reply(net, pending, &result);
                }
            }
        }
    }

    /// Handles a frame of a peer.
    fn handle_frame(&mut self, net: &Net, bytes: &[u8]) {
        match frames::decode(bytes) {
            Ok(Frame::Gossip(gossip)) => self.handle_gossip(net.now(), gossip),
            Ok(Frame::Notice(notice)) => self.handle_notice(&notice),
            Err(error) => tracing::debug!(%error, "invalid peer frame ignored"),
        }
    }

    fn handle_gossip(&mut self, now: Millis, gossip: Gossip) {
        let counts = self.peers.receive_gossip(now, gossip);
        // Counts that arrive at the leader are those of an earlier leader.
        if self.leadership.leader().is_some() {
            return;
        }
        for count in &counts {
            tracing::trace!(job = &*count.job, done = count.done, running = count.running, "task counts received");
            self.jobs.cache_mut().set_progress(&count.job, count.into());
        }
    }

    /// Applies the cancellations that a peer confirmed.
    fn handle_notice(&mut self, notice: &Notice) {
        if !self.peers.contains(&notice.from) {
            return;
        }
        for cancelled in &notice.cancelled {
            self.jobs.cache_mut().apply_peer_cancellation(&cancelled.job, cancelled.revision, &mut self.names);
        }
    }

    /// Returns the component that serves users, and the components it needs for that.
    fn user_api<'a>(&'a mut self, net: &'a mut Net) -> (&'a mut UserApi, UserContext<'a>) {
        let context = UserContext {
            net,
            client: &mut self.client,
            jobs: &mut self.jobs,
            names: &mut self.names,
            peers: &mut self.peers,
            machine_types: self.machine_types.types(),
            all_upgraded: self.versions.is_complete(),
        };
        (&mut self.users, context)
    }

    /// Returns the component that performs the leader's duties, and the components it needs
    /// for that.
    fn leadership<'a>(&'a mut self, net: &'a mut Net) -> (&'a mut Leadership, LeaderContext<'a>) {
        let context = LeaderContext {
            net,
            client: &mut self.client,
            election: &mut self.election,
            jobs: &mut self.jobs,
            names: &mut self.names,
        };
        (&mut self.leadership, context)
    }

    /// Returns the label of the leader to which workers are redirected; None if it is not
    /// known.
    ///
    /// This controller itself is never returned. A peer is returned only if its recent
    /// gossip advertised that it leads, or if the key-value store responded recently, so
    /// that the watch of the leader's key is up to date. Without this condition, a
    /// controller that can reach neither the key-value store nor its peers would redirect
    /// workers to a former leader, which may no longer exist.
    fn leader_hint(&self, now: Millis) -> Option<&str> {
        let label = self.election.leader().filter(|label| *label != self.identity.label)?;
        if !self.peers.contains(label) {
            return None;
        }
        let peer_confirms = self.peers.advertises_leadership(now, label);
        let key_is_current = self.store_health.responded_within(now, LEADER_HINT_MAX_STORE_AGE_MS);
        (peer_confirms || key_is_current).then_some(label)
    }

    /// Reports whether this controller is able to serve users.
    ///
    /// In an outage of the key-value store that affects all controllers, they stay ready, so
    /// that no connection is lost. A controller becomes unready if the store fails only for
    /// it, or if none of its peers is reachable.
    fn is_ready(&self, now: Millis) -> bool {
        if !self.jobs.cache().is_loaded() || self.machine_types.is_empty() {
            return false;
        }
        let Some(failing_since) = self.store_health.failing_since() else { return true };
        now < failing_since + UNREADY_AFTER_MS
            || !self.peers.is_store_failure_local(now, now.saturating_sub(failing_since))
    }
}

#[cfg(test)]
#[path = "../tests/instance.rs"]
mod tests;
