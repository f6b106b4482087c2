//! The process as a whole: events in, calls out, and which answer belongs to what.

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use calloop::EventLoop;

use super::users::UserResponseCounts;
use crate::{
    bookkeeping::{
        barrier::Barrier,
        budget::{Budget, Urgency},
        job_cache::JobCache,
        records::{self, JobRecord, LeaderRecord},
        versions::Evidence,
    },
    coordination::{
        election::{Action, Election},
        leader::{Config, Leader, ServiceObjective},
        lease_renewal::{self, PeerInactivity, RenewalRight},
        model::{MachineIx, Ms, TeamLimits, TypeInfo},
    },
    protocol::{cbor, names::Tables, operator::Operator, peers, settings::Settings},
    transport::{Call, CallError, ConnId, Event, Limits, Net, Reply, Request},
};

#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    #[error("event loop: {0}")]
    PollLoop(String),
    #[error("listening on {addr}: {source}")]
    Listen { addr: SocketAddr, source: io::Error },
}

/// Who waits for the read barrier.
#[derive(Debug)]
pub enum Waiter {
    Poll {
        conn: ConnId,
        id: String,
    },
    /// A submission of a job that exists.
    Known {
        conn: ConnId,
        id: String,
    },
    /// A submission that would be refused for good, unless the job exists.
    Refuse {
        conn: ConnId,
        id: String,
        status: u16,
        why: &'static str,
    },
    /// A submission that names others, some unknown here or changed lately.
    Dependent {
        conn: ConnId,
        id: String,
        record: Rc<JobRecord>,
        tries: u32,
    },
    Abort {
        conn: ConnId,
        id: String,
        tries: u32,
    },
}

impl Waiter {
    pub fn conn(&self) -> ConnId {
        match self {
            Waiter::Poll { conn, .. }
            | Waiter::Known { conn, .. }
            | Waiter::Refuse { conn, .. }
            | Waiter::Dependent { conn, .. }
            | Waiter::Abort { conn, .. } => *conn,
        }
    }
}

/// What an answer from outside is for.
#[derive(Debug)]
pub enum Pending {
    Grant,
    Renew,
    Claim,
    Resign,
    LeaderKey,
    LeaderWatch { sent: Ms },
    JobsPage { first: bool },
    JobsWatch { sent: Ms },
    Barrier { sent: Ms },
    RenewalRightGrant,
    RenewalRightRenew,
    RenewalRightRegister,
    VersionWrite,
    VersionRead,
    Submit { conn: ConnId, id: String, record: Rc<JobRecord>, tries: u32 },
    Abort { conn: ConnId, id: String, record: Rc<JobRecord>, tries: u32 },
    TasksSync { stamp: u64, sent: Ms },
    TasksPage { stamp: u64 },
    Commit { stamp: u64 },
    Resync { stamp: u64, key: String },
    Do { stamp: u64, machine: MachineIx, call: u64 },
    Rent { stamp: u64, call: u64 },
    Return { stamp: u64, call: u64 },
    List { stamp: u64, call: u64 },
    Probe { stamp: u64, machine: MachineIx },
    Flavors,
}

#[derive(Debug)]
pub struct Peer {
    pub label: String,
    pub link: usize,
    pub order: peers::Order,
    pub heard: Option<Ms>,
    pub state_age: Ms,
    pub rejected_reports: u32,
    pub leading: bool,
    pub reads_used: f64,
    pub writes_used: f64,
    pub commits_used: f64,
    /// Of its last frame: which start of it, and its clock.
    pub clock: Option<(u64, Ms)>,
    /// Since when it is known to have no key under which it may keep leases.
    pub keyless: Option<Ms>,
    /// Its last frame showed that it reads notices.
    pub reads_notices: bool,
}

/// A read or watch that is kept going: at most one at a time, again after a pause.
#[derive(Debug, Default)]
pub struct PollLoop {
    pub in_flight: bool,
    pub after: Ms,
}

impl PollLoop {
    pub fn due(&self, now: Ms) -> bool {
        !self.in_flight && now >= self.after
    }
}

/// Nobody waits longer than this for an answer of ours, nor we for a peer's or
/// the state service's, a few watches aside.
const STOOD_STILL_MS: Ms = 5_000;

/// How long a peer's word, and the state service's, that somebody leads is believed.
const LEADER_HINT_MS: Ms = 1_500;
const LEADER_HINT_STATE_MS: Ms = 4_500;

pub struct Node {
    pub settings: Settings,
    pub operator: Operator,
    pub tables: Tables,
    pub job_cache: JobCache,
    pub barrier: Barrier<Waiter>,
    pub election: Election,
    pub leader: Option<Leader>,
    pub renewal_right: RenewalRight,
    pub peer_inactivity: PeerInactivity,
    /// When a worker of another zone last reported here.
    pub foreign_zone_report: Option<Ms>,
    pub reads: Budget,
    /// For users' requests.
    pub writes: Budget,
    /// For the leader's own work.
    pub commits: Budget,
    pub cloud: Budget,
    pub types: Vec<TypeInfo>,
    pub peers: Vec<Peer>,
    pub pending: HashMap<u64, Pending>,
    pub next_tag: u64,
    /// When the state service last answered with anything but 503.
    pub state_ok: Ms,
    pub state_bad_since: Option<Ms>,
    pub leader_key: PollLoop,
    pub leader_known: bool,
    pub leader_epoch: u64,
    pub jobs_page: PollLoop,
    pub jobs_from: Option<String>,
    pub jobs_watch: PollLoop,
    pub tasks: PollLoop,
    pub tasks_from: Option<String>,
    pub tasks_synced: bool,
    pub flavors: PollLoop,
    pub resync: PollLoop,
    pub rejected_reports: Vec<Ms>,
    pub next_gossip: Ms,
    pub gossips: u64,
    pub nonce: u64,
    pub budget_leading: Option<bool>,
    pub user_responses: UserResponseCounts,
    pub next_user_summary: Ms,
    /// Cancellations confirmed here lately, to be told to peers.
    pub notices: VecDeque<(Ms, peers::Cancelled)>,
    /// Who is known to run this version, and the key that says that this one does.
    pub versions: Evidence,
    pub version_written: bool,
    /// The state service has shown that `state.next` holds.
    pub limits_lowered: bool,
    pub version_write: PollLoop,
    pub version_read: PollLoop,
}

/// The day's time, in ms.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Node {
    pub fn new(settings: Settings, operator: Operator, net: &mut Net) -> Node {
        let nonce: u64 = rand::random::<u64>() >> 1;
        let mut tables = Tables::default();
        for t in &settings.cluster.teams {
            tables.teams.intern(&t.name);
        }
        for z in &settings.cluster.zones {
            tables.zones.intern(z);
        }
        let peers = settings
            .seeds
            .iter()
            .map(|s| Peer {
                label: s.label.clone(),
                link: net.add_link(s.endpoint),
                order: peers::Order::default(),
                heard: None,
                state_age: Ms::MAX,
                rejected_reports: 0,
                leading: false,
                reads_used: 0.0,
                writes_used: 0.0,
                commits_used: 0.0,
                clock: None,
                keyless: None,
                reads_notices: false,
            })
            .collect();
        let election = Election::new(&settings.label, nonce, operator.leader_ttl_ms);
        let w = &settings.cluster.workers;
        let alone = settings.seeds.is_empty();
        let most_ms = if alone { 0 } else { lease_renewal::most_ms(w.cancel_s, w.lease_s) };
        let renewal_right = RenewalRight::new(lease_renewal::renewal_ms(w.cancel_s, w.lease_s), most_ms);
        let peer_inactivity = PeerInactivity::new(settings.seeds.len());
        let (st, cl) = (&settings.cluster.state, &settings.cluster.cloud);
        Node {
            reads: Budget::new(st.rps * 0.25, st.rps * 0.3),
            writes: Budget::new(st.write_rps * 0.2, st.write_rps * 0.2),
            commits: Budget::new(st.write_rps * 0.5, st.write_rps * 0.5),
            cloud: Budget::new(cl.rps * 0.9, cl.rps * 1.5),
            tables,
            job_cache: JobCache::default(),
            barrier: Barrier::default(),
            election,
            leader: None,
            renewal_right,
            peer_inactivity,
            foreign_zone_report: None,
            types: Vec::new(),
            peers,
            pending: HashMap::new(),
            next_tag: 1,
            state_ok: 0,
            state_bad_since: None,
            leader_key: PollLoop::default(),
            leader_known: false,
            leader_epoch: 0,
            jobs_page: PollLoop::default(),
            jobs_from: None,
            jobs_watch: PollLoop::default(),
            tasks: PollLoop::default(),
            tasks_from: None,
            tasks_synced: false,
            flavors: PollLoop::default(),
            resync: PollLoop::default(),
            rejected_reports: Vec::new(),
            next_gossip: 0,
            gossips: 0,
            nonce,
            budget_leading: None,
            user_responses: UserResponseCounts::default(),
            next_user_summary: 0,
            notices: VecDeque::new(),
            versions: Evidence::new(settings.seeds.iter().map(|s| &*s.label).chain(std::iter::once(&*settings.label))),
            version_written: false,
            limits_lowered: false,
            version_write: PollLoop::default(),
            version_read: PollLoop::default(),
            settings,
            operator,
        }
    }

    /// Tasks per chunk of a job that is recorded now.
    pub fn chunk_size(&self) -> u32 {
        let c = &self.settings.cluster;
        let zone_len = c.zones.iter().map(String::len).max().unwrap_or(16);
        records::chunk_size(c.state.fitting_value_kb(), zone_len)
    }

    /// The limits that were announced hold now, as an answer shows.
    pub(super) fn lower_limits(&mut self) {
        let st = &self.settings.cluster.state;
        if st.next.is_some() && !self.limits_lowered {
            tracing::warn!(rates = ?st.rates(true), "the state service's limits are lowered");
            self.limits_lowered = true;
            self.budget_leading = None;
        }
    }

    pub fn leader_config(&mut self) -> Config {
        let chunk_fit = self.chunk_size();
        let c = &self.settings.cluster;
        let set = |x: f64| (x > 0.0).then_some(x);
        let report_ms = (c.workers.report_s * 1000.0) as Ms;
        let mut aims: Vec<ServiceObjective> = c
            .objectives
            .iter()
            .filter_map(|o| {
                let start = match o.kind.as_str() {
                    "wait" => true,
                    "finished" => false,
                    _ => return None,
                };
                let class = self.tables.classes.intern(o.class.as_deref()?);
                Some(ServiceObjective { class, start, within_s: o.within_s? })
            })
            .collect();
        aims.sort_by(|a, b| a.within_s.total_cmp(&b.within_s));
        Config {
            lease_ms: (c.workers.lease_s * 1000.0) as Ms,
            report_ms,
            gang_peer_s: c.workers.gang_peer_s,
            txn_ops: c.state.fitting_txn_ops(),
            value_max: (c.state.value_kb * 1024.0) as usize,
            value_fit: (c.state.fitting_value_kb() * 1024.0) as usize,
            chunk_fit,
            list_lag_ms: (c.cloud.list_lag_s * 1000.0) as Ms,
            teams: c
                .teams
                .iter()
                .map(|t| TeamLimits {
                    cpus: set(t.cpus),
                    gpus: set(t.gpus),
                    cpus_max: set(t.cpus_max),
                    gpus_max: set(t.gpus_max),
                })
                .collect(),
            aims,
            idle_keep_ms: (self.operator.idle_keep_s * 1000.0) as Ms,
            silent_ms: self.operator.silent_return_s.map_or(report_ms * 2 + 2_500, |s| (s * 1000.0) as Ms),
            max_machines: self.operator.max_machines.unwrap_or(usize::MAX),
            use_spot: self.operator.use_spot,
        }
    }

    // ---- calls ---------------------------------------------------------

    #[allow(clippy::too_many_arguments)]
    pub fn send(
        &mut self,
        net: &mut Net,
        dest: SocketAddr,
        what: Pending,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) {
        let tag = self.next_tag;
        self.next_tag += 1;
        self.pending.insert(tag, what);
        net.call(Call { dest, method, path, body, timeout_ms, tag });
    }

    pub fn ask_state(
        &mut self,
        net: &mut Net,
        what: Pending,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) {
        let dest = self.settings.outside.state;
        self.send(net, dest, what, method, path, body, timeout_ms);
    }

    pub fn ask_cloud(&mut self, net: &mut Net, what: Pending, method: &'static str, path: String, body: Vec<u8>) {
        let dest = self.settings.outside.cloud;
        self.send(net, dest, what, method, path, body, 4_000);
    }

    pub fn act(&mut self, net: &mut Net, act: Action) {
        let now = net.now();
        let _ = self.reads.take(now, 1.0, Urgency::Lease);
        match act {
            Action::Grant => {
                let body = cbor::encode(&crate::protocol::store::GrantRequest { ttl_ms: self.election.ttl_ms() });
                self.ask_state(net, Pending::Grant, "POST", "/grants".into(), body, 1_500);
            }
            Action::Renew(p) => {
                let patience = self.election.patience_ms();
                self.ask_state(net, Pending::Renew, "POST", format!("/grants/{p}/renew"), Vec::new(), patience);
            }
            Action::Claim { permit, expect } => {
                use crate::protocol::store::{Condition, Op, Txn};
                let rec = self.election.record(permit);
                let txn = Txn {
                    conditions: vec![Condition { key: records::LEADER.into(), stamp: expect }],
                    writes: vec![Op::Put {
                        key: records::LEADER.into(),
                        v: records::to_value(&rec),
                        permit: Some(permit),
                    }],
                };
                let _ = self.commits.take(now, 1.0, Urgency::Lease);
                self.ask_state(net, Pending::Claim, "POST", "/multi".into(), cbor::encode(&txn), 1_500);
            }
            Action::Resign(p) => {
                self.ask_state(net, Pending::Resign, "DELETE", format!("/grants/{p}"), Vec::new(), 1_500);
            }
        }
    }

    pub fn perform_renewal_action(&mut self, net: &mut Net, act: lease_renewal::Action) {
        use crate::protocol::store::{Condition, GrantRequest, Op, Txn};
        let now = net.now();
        let _ = self.reads.take(now, 1.0, Urgency::Lease);
        match act {
            lease_renewal::Action::Grant => {
                let body = cbor::encode(&GrantRequest { ttl_ms: self.renewal_right.ttl_ms() });
                self.ask_state(net, Pending::RenewalRightGrant, "POST", "/grants".into(), body, 1_500);
            }
            lease_renewal::Action::Renew(p) => {
                self.ask_state(
                    net,
                    Pending::RenewalRightRenew,
                    "POST",
                    format!("/grants/{p}/renew"),
                    Vec::new(),
                    1_500,
                );
            }
            lease_renewal::Action::Register { permit, expect } => {
                let nonce = self.renewal_right.mark(self.nonce).unwrap_or(self.nonce);
                let rec = LeaderRecord { label: self.settings.label.clone(), nonce };
                let key = records::renewal_key(&self.settings.label);
                let txn = Txn {
                    conditions: vec![Condition { key: key.clone(), stamp: expect }],
                    writes: vec![Op::Put { key, v: records::to_value(&rec), permit: Some(permit) }],
                };
                let _ = self.commits.take(now, 1.0, Urgency::Lease);
                self.ask_state(net, Pending::RenewalRightRegister, "POST", "/multi".into(), cbor::encode(&txn), 1_500);
            }
        }
    }

    // ---- events --------------------------------------------------------

    pub fn handle(&mut self, net: &mut Net, event: Event) {
        match event {
            Event::Request { conn, req } => self.request(net, conn, req),
            Event::Frame { bytes } => self.frame(net, &bytes),
            Event::Reply { tag, result } => {
                if let Some(what) = self.pending.remove(&tag) {
                    self.reply(net, what, result);
                }
            }
        }
    }

    fn request(&mut self, net: &mut Net, conn: ConnId, req: Request) {
        // Guard: no work for a client that has given up meanwhile.
        if !net.is_open(conn) {
            return;
        }
        let path = req.path.split('?').next().unwrap_or("");
        let method = req.method.as_str();
        if path == "/checkin" {
            return match method {
                "POST" => self.checkin(net, conn, &req.body),
                _ => net.respond(conn, 405, None, b""),
            };
        }
        if path == "/ready" {
            return match method {
                "GET" | "HEAD" => {
                    let status = if self.is_ready(net.now()) { 200 } else { 503 };
                    net.respond(conn, status, None, b"");
                }
                _ => net.respond(conn, 405, None, b""),
            };
        }
        if path == "/api/jobs" {
            return match method {
                "POST" => self.submit(net, conn, &req.body),
                _ => net.respond(conn, 405, None, b""),
            };
        }
        if let Some(rest) = path.strip_prefix("/api/jobs/") {
            return match (rest.strip_suffix("/abort"), method) {
                (Some(id), "POST") => self.abort(net, conn, id.to_owned(), 0),
                (Some(_), _) => net.respond(conn, 405, None, b""),
                (None, _) if rest.contains('/') => net.respond(conn, 404, None, b""),
                (None, "GET") => self.poll(net, conn, rest),
                (None, _) => net.respond(conn, 405, None, b""),
            };
        }
        net.respond(conn, 404, None, b"");
    }

    /// Keeps count of whether the state service serves this controller.
    pub fn state_answered(&mut self, now: Ms, result: &Result<Reply, CallError>) {
        match result {
            Ok(r) if r.status == 503 => {
                self.state_bad_since.get_or_insert(now);
            }
            Ok(r) => {
                if r.status == 429 {
                    self.reads.refused(now);
                    // Budgets keep below the limits as they are.
                    self.lower_limits();
                }
                self.state_ok = now;
                self.state_bad_since = None;
            }
            Err(_) => {
                self.state_bad_since.get_or_insert(now);
            }
        }
    }

    fn frame(&mut self, net: &mut Net, bytes: &[u8]) {
        let g = match peers::decode(bytes) {
            Ok(peers::Frame::Gossip(g)) => g,
            Ok(peers::Frame::Notice(n)) => return self.take_notice(&n),
            Err(e) => {
                tracing::debug!(error = %e, "a peer's frame is left out");
                return;
            }
        };
        let now = net.now();
        let Some(n) = self.peers.iter().position(|p| p.label == g.from) else { return };
        let p = &mut self.peers[n];
        if !p.order.is_news(&g) {
            return;
        }
        p.heard = Some(now);
        p.reads_notices = g.reads_notices();
        p.clock = Some((g.nonce, g.clock_ms));
        // Guard: it speaks for the time up to when it had heard our clock at
        // that reading, however long its frame was on the way.
        let own = |e: &&peers::Echo| e.of == self.settings.label && e.nonce == self.nonce;
        if let Some(e) = g.echoes.iter().find(own) {
            let quiet = (g.no_renewal_ms.min(1 << 40) as f64 * 0.999) as i64;
            self.peer_inactivity.record_inactive(n, now as i64 - quiet, e.clock_ms.min(now) as i64);
        }
        p.state_age = g.state_age_ms;
        p.rejected_reports = g.rejected_reports;
        p.leading = g.leading;
        (p.reads_used, p.writes_used, p.commits_used) = (g.reads_used, g.writes_used, g.commits_used);
        for c in g.counts {
            self.job_cache.show(&c.job, c.done, c.running);
        }
    }

    /// Whom to send workers to. Guard: never oneself, and nobody whose
    /// leadership is only remembered: a peer must have said so a moment ago, or
    /// the state service have answered, while its watch shows the key.
    pub fn leader_hint(&self, now: Ms) -> Option<&str> {
        let label = self.election.leader().filter(|l| *l != self.settings.label)?;
        let peer = self.peers.iter().find(|p| p.label == label)?;
        let says = peer.leading && peer.heard.is_some_and(|h| now < h + LEADER_HINT_MS);
        let seen = self.state_bad_since.is_none() && now < self.state_ok + LEADER_HINT_STATE_MS;
        (says || seen).then_some(label)
    }

    /// Ready: able to serve users. In an outage of the state service that hits
    /// all, controllers stay ready, so that no connection is lost; one that is
    /// alone in being refused, or sees nobody at all, is not.
    pub fn is_ready(&self, now: Ms) -> bool {
        if !self.job_cache.loaded() || self.types.is_empty() {
            return false;
        }
        let Some(since) = self.state_bad_since else { return true };
        if now < since + 2_500 {
            return true;
        }
        let fresh = |p: &&Peer| p.heard.is_some_and(|h| now < h + 2_500);
        let mut seen = self.peers.iter().filter(fresh).peekable();
        if seen.peek().is_none() {
            return self.peers.is_empty();
        }
        // A peer that was served well after we last were shows that it's us.
        !seen.any(|p| p.state_age + 1_500 < now.saturating_sub(since))
    }
}

/// Runs one controller until the process ends.
pub fn run(settings: Settings, operator: Operator) -> Result<(), NodeError> {
    let mut event_loop: EventLoop<'static, Net> =
        EventLoop::try_new().map_err(|e| NodeError::PollLoop(e.to_string()))?;
    let stale_ms = ((settings.cluster.workers.report_s * 3_000.0) as u64).clamp(10_000, 60_000);
    let limits = Limits { sockets: settings.cluster.limits.sockets, idle_ms: 75_000, head_ms: 5_000, stale_ms };
    let mut net = Net::new(&event_loop, limits);
    for (addr, frames) in [(settings.client_listen, false), (settings.cluster_listen, true)] {
        net.listen(addr, frames).map_err(|source| NodeError::Listen { addr, source })?;
    }
    tracing::info!(label = &*settings.label, zone = &*settings.domain, "started");
    let mut node = Node::new(settings, operator, &mut net);
    let mut looked = net.now();
    loop {
        node.tick(&mut net);
        let wait = node.wait_ms(net.now());
        net.turn(&mut event_loop, Duration::from_millis(wait)).map_err(|e| NodeError::PollLoop(e.to_string()))?;
        // Guard: after standing still, the time is noted before anything that
        // was waiting is acted on.
        let now = net.now();
        if now > looked + STOOD_STILL_MS {
            tracing::warn!(ms = now - looked, "stood still: what was waiting is dropped");
            net.stood_still();
        }
        looked = net.now();
        while let Some(event) = net.pop() {
            node.handle(&mut net, event);
        }
    }
}

#[cfg(test)]
#[path = "tests/wiring.rs"]
mod tests;
