//! The state of one controller, and the handling of events.

use std::time::{SystemTime, UNIX_EPOCH};

use super::{
    budgets::Budgets, calls::PendingCalls, gossip::GossipState, health::StateHealth, job_feed::JobFeed,
    leader_key::LeaderKeyFeed, peers::PeerTable, poll_loop::PollLoop, task_loading::TaskLoading, upgrade::VersionFeed,
    users::UserResponseCounts,
};
pub(super) use super::{calls::Pending, waiters::Waiter};
use crate::{
    coordination::{
        election::Election,
        leader::Leader,
        lease_renewal::{self, RenewalRight},
        model::{MachineTypeSpec, Millis},
    },
    protocol::{names::Tables, operator::Operator, settings::Settings},
    storage::{job_cache::JobCache, read_barrier::ReadBarrier},
    transport::{Event, Net},
};

/// One controller.
pub(super) struct Controller {
    pub settings: Settings,
    pub operator: Operator,
    /// Identifies this start of the process.
    pub nonce: u64,

    /// Interned names.
    pub tables: Tables,
    /// The jobs' records, and how far they were read.
    pub job_cache: JobCache,
    pub jobs: JobFeed,
    /// Users' requests that wait for a read.
    pub read_barrier: ReadBarrier<Waiter>,
    /// The machine types, and when they are read again.
    pub types: Vec<MachineTypeSpec>,
    pub types_poll: PollLoop,
    /// Which controllers run this version.
    pub versions: VersionFeed,

    pub election: Election,
    pub leader_key: LeaderKeyFeed,
    /// Present while this controller leads.
    pub leader: Option<Leader>,
    pub task_loading: TaskLoading,
    /// Whether to step down is checked no earlier.
    pub next_step_down_check: Millis,
    /// The right to renew workers' leases without leading.
    pub renewal_right: RenewalRight,
    /// When a worker of another zone last reported here.
    pub last_foreign_heartbeat: Option<Millis>,

    pub calls: PendingCalls,
    pub budgets: Budgets,
    pub state_health: StateHealth,
    pub peers: PeerTable,
    pub gossip: GossipState,
    /// Outcomes of users' requests, and when they are logged next.
    pub user_responses: UserResponseCounts,
    pub next_user_summary: Millis,
}

/// The time of day, in ms since the store_revision.
pub(super) fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// The names that the settings give, so that their indices follow its order.
fn configured_names(settings: &Settings) -> Tables {
    let mut tables = Tables::default();
    for team in &settings.cluster.teams {
        tables.teams.intern(&team.name);
    }
    for zone in &settings.cluster.zones {
        tables.zones.intern(zone);
    }
    tables
}

fn new_renewal_right(settings: &Settings) -> RenewalRight {
    let workers = &settings.cluster.workers;
    // A single controller has no leader but itself to renew leases for.
    let is_single = settings.seeds.is_empty();
    let max_ms = if is_single { 0 } else { lease_renewal::most_ms(workers.cancel_s, workers.lease_s) };
    RenewalRight::new(lease_renewal::renewal_ms(workers.cancel_s, workers.lease_s), max_ms)
}

impl Controller {
    /// A controller that knows nothing yet of the state service and its peers.
    pub fn new(settings: Settings, operator: Operator, net: &mut Net) -> Controller {
        // 63 bits, as the state service's numbers are signed.
        let nonce: u64 = rand::random::<u64>() >> 1;
        Controller {
            nonce,
            tables: configured_names(&settings),
            job_cache: JobCache::default(),
            jobs: JobFeed::default(),
            read_barrier: ReadBarrier::default(),
            types: Vec::new(),
            types_poll: PollLoop::default(),
            versions: VersionFeed::new(&settings),
            election: Election::new(&settings.label, nonce, operator.leader_ttl_ms),
            leader_key: LeaderKeyFeed::default(),
            leader: None,
            task_loading: TaskLoading::default(),
            next_step_down_check: 0,
            renewal_right: new_renewal_right(&settings),
            last_foreign_heartbeat: None,
            calls: PendingCalls::default(),
            budgets: Budgets::new(&settings.cluster.state, &settings.cluster.cloud),
            state_health: StateHealth::default(),
            peers: PeerTable::new(&settings.seeds, net),
            gossip: GossipState::default(),
            user_responses: UserResponseCounts::default(),
            next_user_summary: 0,
            settings,
            operator,
        }
    }

    /// Handles one event of the event loop.
    pub fn handle(&mut self, net: &mut Net, event: Event) {
        match event {
            Event::Request { conn, req } => self.handle_request(net, conn, &req),
            Event::Frame { bytes } => self.handle_frame(net, &bytes),
            Event::Reply { tag, result } => {
                if let Some(pending) = self.calls.take(tag) {
                    self.handle_reply(net, pending, result);
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "tests/wiring.rs"]
mod tests;
