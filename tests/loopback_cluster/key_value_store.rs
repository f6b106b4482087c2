//! Stand-in for the key-value store: one store, and one address a controller.

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
    ids::{Revision, StoreLeaseId},
    store::{Change, Changes, KeyValue, Page, StoreLeaseRequest, Transaction, WriteOperation},
};

use super::{
    http::{serve, Response},
    json_size::json_size,
};

const KB: usize = 1_024;
/// Conditions of a transaction, for each write that it may have.
const CONDITIONS_PER_WRITE: usize = 4;
/// Prefix of the jobs' keys.
const JOB_KEY_PREFIX: &str = "j/";
/// How often an open watch looks for changes.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How often a read that gets no answer looks whether that is over.
const STALLED_READ_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What a transaction may hold; more gets 400.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub value_kb: usize,
    pub txn_ops: usize,
}

/// What the controllers' settings say, see [`super::controllers`].
pub const LIMITS: Limits = Limits { value_kb: 16, txn_ops: 24 };

/// The value of a key.
#[derive(Clone)]
pub struct StoredValue {
    pub value: Value,
    pub revision: u64,
    /// The key is deleted when this lease ends.
    pub store_lease: Option<StoreLeaseId>,
}

/// A lease of keys.
struct StoreLease {
    expires: Instant,
    ttl: Duration,
}

/// Keys with their values, and all changes since the start.
pub struct Store {
    pub keys: BTreeMap<String, StoredValue>,
    pub log: Vec<LogEntry>,
    pub limits: Limits,
    /// Transactions that were refused for their size.
    pub too_large_transactions: usize,
    revision: u64,
    store_leases: BTreeMap<StoreLeaseId, StoreLease>,
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
            log: Vec::new(),
            limits: LIMITS,
            too_large_transactions: 0,
            revision: 0,
            store_leases: BTreeMap::new(),
        }
    }
}

impl Store {
    /// Applies a transaction whole or not at all.
    pub fn apply(&mut self, txn: Transaction) -> Response {
        if self.is_too_large(&txn) {
            self.too_large_transactions += 1;
            return Response::error(400, "too large");
        }
        let is_expired = |op: &WriteOperation| match op {
            WriteOperation::Put { store_lease: Some(id), .. } => !self.store_leases.contains_key(id),
            _ => false,
        };
        if txn.writes.iter().any(is_expired) {
            return Response::error(400, "no such lease");
        }
        let failed = self.failed_conditions(&txn);
        if !failed.is_empty() {
            return Response::encoded(409, &cbor!({"failed" => failed, "epoch" => self.revision}).unwrap());
        }
        self.revision += 1;
        let revision = self.revision;
        for op in txn.writes {
            let change = match op {
                WriteOperation::Put { key, value, store_lease } => {
                    self.keys.insert(key.clone(), StoredValue { value: value.clone(), revision, store_lease });
                    Change { write: Some(key), drop: None, value: Some(value), revision: Revision(revision) }
                }
                WriteOperation::Delete { key } => {
                    self.keys.remove(&key);
                    Change { write: None, drop: Some(key), value: None, revision: Revision(revision) }
                }
            };
            self.write_log(change);
        }
        Response::encoded(200, &cbor!({"epoch" => revision}).unwrap())
    }

    fn failed_conditions(&self, txn: &Transaction) -> Vec<String> {
        let revision_of = |key: &str| self.keys.get(key).map_or(0, |stored| stored.revision);
        let failed = txn.conditions.iter().filter(|condition| revision_of(&condition.key) != condition.revision.0);
        failed.map(|condition| condition.key.clone()).collect()
    }

    fn is_too_large(&self, txn: &Transaction) -> bool {
        let value_too_large = |op: &WriteOperation| match op {
            WriteOperation::Put { value, .. } => json_size(value) > self.limits.value_kb * KB,
            _ => false,
        };
        txn.writes.len() > self.limits.txn_ops
            || txn.conditions.len() > CONDITIONS_PER_WRITE * self.limits.txn_ops
            || txn.writes.iter().any(value_too_large)
    }

    /// Grants a lease, and returns its id.
    fn create_store_lease(&mut self, ttl: Duration) -> StoreLeaseId {
        self.revision += 1;
        let id = StoreLeaseId(self.revision);
        self.store_leases.insert(id, StoreLease { expires: Instant::now() + ttl, ttl });
        id
    }

    /// Renews a lease; false when it is over.
    fn renew_store_lease(&mut self, id: StoreLeaseId) -> bool {
        let Some(store_lease) = self.store_leases.get_mut(&id) else { return false };
        store_lease.expires = Instant::now() + store_lease.ttl;
        true
    }

    /// Ends the leases that are over by now.
    fn expire_store_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<StoreLeaseId> =
            self.store_leases.iter().filter(|(_, store_lease)| now > store_lease.expires).map(|(id, _)| *id).collect();
        for id in expired {
            self.end_store_lease(id);
        }
    }

    fn end_store_lease(&mut self, id: StoreLeaseId) {
        self.store_leases.remove(&id);
        let held = self.keys.iter().filter(|(_, stored)| stored.store_lease == Some(id));
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.keys.remove(&key);
            self.write_log(Change { write: None, drop: Some(key), value: None, revision: Revision(self.revision) });
        }
    }

    fn write_log(&mut self, change: Change) {
        self.log.push(LogEntry { change, at: Instant::now() });
    }

    fn page(&self, prefix: &str, from: &str) -> Page {
        let pairs: Vec<KeyValue> = self
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > from)
            .map(|(key, stored)| KeyValue {
                key: key.clone(),
                value: stored.value.clone(),
                revision: Revision(stored.revision),
                store_lease: stored.store_lease,
            })
            .collect();
        Page { pairs, truncated: false, store_revision: Revision(self.revision) }
    }

    fn changes(&self, prefix: &str, from: Revision) -> Changes {
        let has_prefix = |change: &&Change| {
            change.write.as_ref().or(change.drop.as_ref()).is_some_and(|key| key.starts_with(prefix))
        };
        let later = self.log.iter().map(|entry| &entry.change).filter(|change| change.revision > from);
        Changes { store_revision: Revision(self.revision), events: later.filter(has_prefix).cloned().collect() }
    }
}

/// The value of a parameter in a request's path.
fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let parameters = path.split_once('?')?.1.split('&').filter_map(|parameter| parameter.split_once('='));
    parameters.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}

/// One controller's access to the store.
#[derive(Default)]
pub struct StoreAccess {
    /// Whoever uses it is refused.
    pub unavailable: AtomicBool,
    /// Reads of changed jobs get no answer; all else is served.
    pub stalls_job_reads: AtomicBool,
}

impl StoreAccess {
    fn is_unavailable(&self) -> bool {
        self.unavailable.load(Ordering::Relaxed)
    }

    fn stalls_reads_of(&self, prefix: &str) -> bool {
        prefix == JOB_KEY_PREFIX && self.stalls_job_reads.load(Ordering::Relaxed)
    }
}

/// Serves the store through one access.
pub fn serve_store(store: Arc<Mutex<Store>>, access: Arc<StoreAccess>) -> SocketAddr {
    serve(move |method, path, bytes| {
        if access.is_unavailable() {
            return Response::empty(503);
        }
        while path.starts_with("/changes?under=j/") && access.stalls_reads_of(JOB_KEY_PREFIX) {
            thread::sleep(STALLED_READ_CHECK_INTERVAL);
        }
        let prefix = query(path, "under").unwrap_or("");
        let resource = path.split('?').next().unwrap();
        let mut locked = store.lock().unwrap();
        locked.expire_store_leases();
        match resource {
            "/multi" => locked.apply(body::decode(bytes).unwrap()),
            "/grants" => {
                let request: StoreLeaseRequest = body::decode(bytes).unwrap();
                store_lease_response(locked.create_store_lease(Duration::from_millis(request.ttl_ms)))
            }
            "/store" => Response::encoded(200, &locked.page(prefix, query(path, "from").unwrap_or(""))),
            "/changes" => {
                drop(locked);
                watch(&store, &access, path, prefix)
            }
            _ => match resource.strip_prefix("/grants/") {
                Some(rest) => renew_or_end_store_lease(&mut locked, method, rest),
                None => Response::empty(404),
            },
        }
    })
}

fn store_lease_response(id: StoreLeaseId) -> Response {
    Response::encoded(200, &cbor!({"permit" => id.0}).unwrap())
}

/// `rest`: the path after `/grants/`.
fn renew_or_end_store_lease(store: &mut Store, method: &str, rest: &str) -> Response {
    let id = StoreLeaseId(rest.split('/').next().unwrap().parse().unwrap());
    if method == "DELETE" {
        store.end_store_lease(id);
        return Response::empty(200);
    }
    if store.renew_store_lease(id) {
        store_lease_response(id)
    } else {
        Response::empty(404)
    }
}

/// Answers once there are changes, or the time to wait is over.
fn watch(store: &Mutex<Store>, access: &StoreAccess, path: &str, prefix: &str) -> Response {
    let from = Revision(query(path, "from").unwrap().parse().unwrap());
    let wait_ms: u64 = query(path, "waitMs").map_or(0, |wait| wait.parse().unwrap());
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let mut locked = store.lock().unwrap();
        locked.expire_store_leases();
        let changes = locked.changes(prefix, from);
        // In an outage open watches stay open.
        let is_stalled = access.stalls_reads_of(prefix) || access.is_unavailable();
        if !is_stalled && (!changes.events.is_empty() || Instant::now() >= until) {
            return Response::encoded(200, &changes);
        }
        drop(locked);
        thread::sleep(WATCH_CHECK_INTERVAL);
    }
}
