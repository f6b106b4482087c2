//! Stand-in for the key-value store: one store, served at one address per controller.

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

/// Bytes per KB of the limits.
const KB: usize = 1_024;
/// Maximum number of conditions of a transaction, per write that the limits allow.
const CONDITIONS_PER_WRITE: usize = 4;
/// Prefix of the keys of job records.
const JOB_KEY_PREFIX: &str = "j/";
/// Interval at which an open watch checks for changes.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which a stalled read checks whether it may continue.
const STALLED_READ_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Limits of a transaction; a larger one is rejected with 400.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of a value, in KB of JSON text.
    pub value_kb: usize,
    /// Maximum number of writes.
    pub txn_ops: usize,
}

/// The limits in the controllers' settings, see [`super::controllers`].
pub const LIMITS: Limits = Limits { value_kb: 16, txn_ops: 24 };

/// A value with its revision and store lease.
#[derive(Clone)]
pub struct StoredValue {
    /// The value as the controllers wrote it.
    pub value: Value,
    /// Revision of the last write of the key.
    pub revision: u64,
    /// The key is deleted when this store lease ends; None: the key has no store lease.
    pub store_lease: Option<StoreLeaseId>,
}

/// A store lease, which keys may refer to.
struct StoreLease {
    expires: Instant,
    ttl: Duration,
}

/// Contents of the store, and all changes since the start.
pub struct Store {
    /// All keys with their values.
    pub keys: BTreeMap<String, StoredValue>,
    /// All changes in order, with their time.
    pub log: Vec<LogEntry>,
    /// Limits in force.
    pub limits: Limits,
    /// Number of transactions that were rejected for their size.
    pub too_large_transactions: usize,
    revision: u64,
    store_leases: BTreeMap<StoreLeaseId, StoreLease>,
}

/// A change of one key, with its time.
pub struct LogEntry {
    /// The change as watches report it.
    pub change: Change,
    /// When the change was applied.
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

    /// Returns the keys whose conditions the store doesn't meet.
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

    /// Creates a store lease, and returns its id.
    fn create_store_lease(&mut self, ttl: Duration) -> StoreLeaseId {
        self.revision += 1;
        let id = StoreLeaseId(self.revision);
        self.store_leases.insert(id, StoreLease { expires: Instant::now() + ttl, ttl });
        id
    }

    /// Renews a store lease; returns false if it has ended.
    fn renew_store_lease(&mut self, id: StoreLeaseId) -> bool {
        let Some(store_lease) = self.store_leases.get_mut(&id) else { return false };
        store_lease.expires = Instant::now() + store_lease.ttl;
        true
    }

    /// Ends all store leases that have expired.
    fn expire_store_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<StoreLeaseId> =
            self.store_leases.iter().filter(|(_, store_lease)| now > store_lease.expires).map(|(id, _)| *id).collect();
        for id in expired {
            self.end_store_lease(id);
        }
    }

    /// Ends a store lease, and deletes the keys that refer to it.
    fn end_store_lease(&mut self, id: StoreLeaseId) {
        self.store_leases.remove(&id);
        let attached = self.keys.iter().filter(|(_, stored)| stored.store_lease == Some(id));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
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

/// Returns the value of a query parameter in a request's path.
fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let parameters = path.split_once('?')?.1.split('&').filter_map(|parameter| parameter.split_once('='));
    parameters.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}

/// Faults that a test injects into one controller's access to the store.
#[derive(Default)]
pub struct StoreAccess {
    /// Every request is rejected with 503.
    pub unavailable: AtomicBool,
    /// Reads of changes of job records receive no response; all other requests are served.
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

/// Starts a server through which one controller uses the store, with the faults in
/// `access`, and returns its address.
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

/// Renews or ends a store lease. `rest`: the path after `/grants/`.
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

/// Responds as soon as there are changes, or when the requested wait time has passed.
fn watch(store: &Mutex<Store>, access: &StoreAccess, path: &str, prefix: &str) -> Response {
    let from = Revision(query(path, "from").unwrap().parse().unwrap());
    let wait_ms: u64 = query(path, "waitMs").map_or(0, |wait| wait.parse().unwrap());
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let mut locked = store.lock().unwrap();
        locked.expire_store_leases();
        let changes = locked.changes(prefix, from);
        // During an outage, a watch that is already open receives no response.
        let is_stalled = access.stalls_reads_of(prefix) || access.is_unavailable();
        if !is_stalled && (!changes.events.is_empty() || Instant::now() >= until) {
            return Response::encoded(200, &changes);
        }
        drop(locked);
        thread::sleep(WATCH_CHECK_INTERVAL);
    }
}
