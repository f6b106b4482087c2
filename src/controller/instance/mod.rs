//! One controller: its components, and the events that they are told of.
//!
//! [`Controller`] owns the components and hands each event to those it concerns.
//! The components, which are the other modules of `controller`, don't know it.

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

/// For how long, in ms, the leader's key is believed after the key-value store
/// last answered: a watch of it, and the time to notice that it failed.
const LEADER_HINT_STORE_MS: Millis = 4_500;
/// The key-value store may fail for this long, in ms, before the controller may
/// become unready.
const UNREADY_AFTER_MS: Millis = 2_500;

/// One controller.
pub(super) struct Controller {
    identity: Identity,
    cluster: Rc<ClusterSettings>,
    operator: OperatorSettings,
    /// Interned names.
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

/// The names that the settings give, so that their indices follow its order.
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
    /// A controller that knows nothing yet of the key-value store and its peers.
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
            Event::Request { conn, req } => self.handle_request(net, conn, &req),
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
        for count in self.peers.receive_gossip(now, gossip) {
            self.jobs.cache_mut().set_progress(&count.job, count.done, count.running);
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

    /// The part that serves users, and what it works with.
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

    /// The part that leads, and what it works with.
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

    /// Whom workers are redirected to.
    ///
    /// Guard: never this controller itself, and no leader that may be gone. Either
    /// the peer said a moment ago that it leads, or the key-value store answered
    /// lately, so that the watch of the leader's key is up to date.
    fn leader_hint(&self, now: Millis) -> Option<&str> {
        let label = self.election.leader().filter(|label| *label != self.identity.label)?;
        if !self.peers.contains(label) {
            return None;
        }
        let peer_confirms = self.peers.claims_to_lead(now, label);
        let key_is_current = self.store_health.answered_within(now, LEADER_HINT_STORE_MS);
        (peer_confirms || key_is_current).then_some(label)
    }

    /// Whether this controller is able to serve users.
    ///
    /// In an outage of the key-value store that affects all controllers, they stay
    /// ready, so that no connection is lost. A controller becomes unready when it
    /// alone is refused, or when it is in contact with no peer.
    fn is_ready(&self, now: Millis) -> bool {
        if !self.jobs.cache().is_loaded() || self.machine_types.is_empty() {
            return false;
        }
        let Some(failing_since) = self.store_health.failing_since() else { return true };
        now < failing_since + UNREADY_AFTER_MS || !self.peers.show_own_failure(now, now.saturating_sub(failing_since))
    }
}

#[cfg(test)]
#[path = "../tests/instance.rs"]
mod tests;
