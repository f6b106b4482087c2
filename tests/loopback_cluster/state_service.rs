//! Stand-in for the state service: one store, and one address a controller.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use ciborium::{cbor, Value};
use shedhook::protocol::{
    cbor as body,
    ids::{GrantId, Revision},
    store::{Change, Changes, GrantRequest, Op, Page, Pair, Txn},
};

use super::{
    http::{serve, HeartbeatOutcome},
    json_size::json_size,
};

const KB: usize = 1_024;
/// Conditions of a transaction, for each write that it may have.
const CONDITIONS_PER_WRITE: usize = 4;

/// What a transaction may hold; more gets 400.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub value_kb: usize,
    pub txn_ops: usize,
}

/// What the controllers' settings say, see [`super::controllers`].
pub const LIMITS: Limits = Limits { value_kb: 16, txn_ops: 24 };

/// Keys with their values, revisions and permits, and all changes since the start.
pub struct Store {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub epoch: u64,
    pub log: Vec<LogEntry>,
    grants: BTreeMap<u64, (Instant, Duration)>,
    pub limits: Limits,
    /// Transactions that were refused for their size.
    pub too_large: usize,
}

/// A change, and when it was made.
pub struct LogEntry {
    pub change: Change,
    pub at: Instant,
}

impl Default for Store {
    fn default() -> Store {
        Store {
            keys: BTreeMap::new(),
            epoch: 0,
            log: Vec::new(),
            grants: BTreeMap::new(),
            limits: LIMITS,
            too_large: 0,
        }
    }
}

impl Store {
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self.grants.iter().filter(|(_, g)| now > g.0).map(|(id, _)| *id).collect();
        for id in over {
            self.end(id);
        }
    }

    fn end(&mut self, id: u64) {
        self.grants.remove(&id);
        let keys: Vec<String> = self.keys.iter().filter(|(_, k)| k.2 == Some(id)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.epoch += 1;
            self.keys.remove(&key);
            self.write_log(Change { write: None, drop: Some(key), v: None, revision: Revision(self.epoch) });
        }
    }

    fn write_log(&mut self, change: Change) {
        self.log.push(LogEntry { change, at: Instant::now() });
    }

    fn is_too_large(&self, txn: &Txn) -> bool {
        let value_too_large = |op: &Op| matches!(op, Op::Put { v, .. } if json_size(v) > self.limits.value_kb * KB);
        txn.writes.len() > self.limits.txn_ops
            || txn.conditions.len() > CONDITIONS_PER_WRITE * self.limits.txn_ops
            || txn.writes.iter().any(value_too_large)
    }

    /// Applies a transaction whole or not at all.
    pub fn txn(&mut self, txn: Txn) -> HeartbeatOutcome {
        if self.is_too_large(&txn) {
            self.too_large += 1;
            return (400, body::encode(&cbor!({"error" => "too large"}).unwrap()));
        }
        let lost = |op: &Op| matches!(op, Op::Put { permit: Some(p), .. } if !self.grants.contains_key(&p.0));
        if txn.writes.iter().any(lost) {
            return (400, body::encode(&cbor!({"error" => "no such lease"}).unwrap()));
        }
        let expected_revision = |key: &str| self.keys.get(key).map_or(0, |k| k.1);
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| expected_revision(&c.key) != c.revision.0)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return (409, body::encode(&cbor!({"failed" => failed, "epoch" => self.epoch}).unwrap()));
        }
        self.epoch += 1;
        let revision = self.epoch;
        for op in txn.writes {
            let change = match op {
                Op::Put { key, v, permit } => {
                    self.keys.insert(key.clone(), (v.clone(), revision, permit.map(|grant| grant.0)));
                    Change { write: Some(key), drop: None, v: Some(v), revision: Revision(revision) }
                }
                Op::Delete { key } => {
                    self.keys.remove(&key);
                    Change { write: None, drop: Some(key), v: None, revision: Revision(revision) }
                }
            };
            self.write_log(change);
        }
        (200, body::encode(&cbor!({"epoch" => revision}).unwrap()))
    }
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    path.split_once('?')?.1.split('&').find_map(|p| p.split_once('=').filter(|(k, _)| *k == name).map(|(_, v)| v))
}

/// One door to the store, for one controller.
#[derive(Default)]
pub struct AccessGate {
    /// Whoever uses it is refused.
    pub shut: AtomicBool,
    /// Reads of changed jobs get no answer; all else is served.
    pub blind: AtomicBool,
}

/// Serves the store through one gate.
pub fn state_service(store: Arc<Mutex<Store>>, gate: Arc<AccessGate>) -> SocketAddr {
    serve(move |method, path, bytes| {
        if gate.shut.load(Ordering::Relaxed) {
            return (503, Vec::new());
        }
        while path.starts_with("/changes?under=j/") && gate.blind.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
        }
        let mut s = store.lock().unwrap();
        s.expire();
        let plain = path.split('?').next().unwrap();
        if plain == "/multi" {
            return s.txn(body::decode(bytes).unwrap());
        }
        if plain == "/grants" {
            let ask: GrantRequest = body::decode(bytes).unwrap();
            s.epoch += 1;
            let (id, ttl) = (s.epoch, Duration::from_millis(ask.ttl_ms));
            s.grants.insert(id, (Instant::now() + ttl, ttl));
            return (200, body::encode(&cbor!({"permit" => id}).unwrap()));
        }
        if let Some(rest) = plain.strip_prefix("/grants/") {
            return grant(&mut s, method, rest);
        }
        let prefix = query(path, "under").unwrap_or("");
        if plain == "/store" {
            return page(&s, prefix, query(path, "from").unwrap_or(""));
        }
        if plain == "/changes" {
            drop(s);
            return watch(&store, &gate, path, prefix);
        }
        (404, Vec::new())
    })
}

/// Renews or ends a grant. `rest`: the path after `/grants/`.
fn grant(s: &mut Store, method: &str, rest: &str) -> HeartbeatOutcome {
    let id: u64 = rest.split('/').next().unwrap().parse().unwrap();
    if method == "DELETE" {
        s.end(id);
        return (200, Vec::new());
    }
    match s.grants.get_mut(&id) {
        Some(g) => {
            g.0 = Instant::now() + g.1;
            (200, body::encode(&cbor!({"permit" => id}).unwrap()))
        }
        None => (404, Vec::new()),
    }
}

fn page(s: &Store, prefix: &str, from: &str) -> HeartbeatOutcome {
    let pairs: Vec<Pair> = s
        .keys
        .iter()
        .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > from)
        .map(|(k, v)| Pair { key: k.clone(), v: v.0.clone(), revision: Revision(v.1), permit: v.2.map(GrantId) })
        .collect();
    (200, body::encode(&Page { pairs, truncated: false, store_revision: Revision(s.epoch) }))
}

fn watch(store: &Mutex<Store>, gate: &AccessGate, path: &str, prefix: &str) -> HeartbeatOutcome {
    let from: u64 = query(path, "from").unwrap().parse().unwrap();
    let wait: u64 = query(path, "waitMs").map_or(0, |w| w.parse().unwrap());
    let until = Instant::now() + Duration::from_millis(wait);
    let touches = |c: &&Change| c.write.as_ref().or(c.drop.as_ref()).is_some_and(|k| k.starts_with(prefix));
    loop {
        let mut s = store.lock().unwrap();
        s.expire();
        let changes = s.log.iter().map(|entry| &entry.change);
        let events: Vec<Change> = changes.filter(|c| c.revision > Revision(from)).filter(touches).cloned().collect();
        // In an outage open watches stay open.
        let blind = prefix == "j/" && gate.blind.load(Ordering::Relaxed);
        let held = blind || gate.shut.load(Ordering::Relaxed);
        if !held && (!events.is_empty() || Instant::now() >= until) {
            return (200, body::encode(&Changes { store_revision: Revision(s.epoch), events }));
        }
        drop(s);
        thread::sleep(Duration::from_millis(10));
    }
}
