//! Stand-in of the state service.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    cbor::{self, int, map, text, Value},
    http::{self, Request, Response},
};

const CHANGES_KEPT: usize = 10_000;
const PAGE_BYTES: usize = 512 * 1024;
const TRANSACTION_BYTES: usize = 64 * 1024;

/// Limits of the service.
#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct Entry {
    value: Value,
    stamp: u64,
    permit: Option<u64>,
}

struct Grant {
    ttl: Duration,
    ends: Instant,
}

struct Bucket {
    rate: f64,
    level: f64,
    filled: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, level: rate, filled: Instant::now() }
    }

    fn take(&mut self, count: f64) -> bool {
        let now = Instant::now();
        self.level = (self.level + self.rate * (now - self.filled).as_secs_f64()).min(self.rate);
        self.filled = now;
        let allowed = self.level >= count;
        if allowed {
            self.level -= count;
        }
        allowed
    }
}

struct Data {
    epoch: u64,
    keys: BTreeMap<String, Entry>,
    /// Changes: revision, key, and the value if the key was written.
    changes: VecDeque<(u64, String, Option<Value>)>,
    first_change: u64,
    grants: BTreeMap<u64, Grant>,
    last_grant: u64,
    requests: Bucket,
    writes: Bucket,
    limits: Limits,
}

/// The state service.
#[derive(Clone)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
    /// Called after a page of a listing was answered: controller, prefix, whether it was the last.
    pub on_page: Arc<Mutex<Option<PageObserver>>>,
}

/// See [`Store::on_page`].
pub type PageObserver = Box<dyn Fn(usize, &str, bool) + Send>;

impl Data {
    fn record(&mut self, key: &str, value: Option<Value>) {
        self.changes.push_back((self.epoch, key.to_owned(), value));
        while self.changes.len() > CHANGES_KEPT {
            if let Some((revision, ..)) = self.changes.pop_front() {
                self.first_change = revision;
            }
        }
    }

    fn end_grant(&mut self, id: u64) {
        self.grants.remove(&id);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, entry)| entry.permit == Some(id)).map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.epoch += 1;
        for key in keys {
            self.keys.remove(&key);
            self.record(&key, None);
        }
    }

    fn multi(&mut self, body: &Value) -> Option<Response> {
        let conditions = body.get("if").map_or(&[][..], Value::list);
        let writes = body.get("writes").map_or(&[][..], Value::list);
        let malformed = || Some(Response::new(400, &map([("error", text("malformed"))])));
        let too_many = writes.len() > self.limits.txn_ops || conditions.len() > 4 * self.limits.txn_ops;
        if too_many || body.json().len() > TRANSACTION_BYTES {
            return malformed();
        }
        for write in writes {
            let is_put = write.get("write").is_some();
            let size = write.get("v").map_or(0, |value| value.json().len());
            if is_put != write.get("v").is_some() || size as f64 > self.limits.value_kb * 1024.0 {
                return malformed();
            }
        }
        if !self.writes.take(writes.len() as f64) {
            return Some(Response::new(429, &map([])));
        }
        let has_ended = |permit: u64| !self.grants.contains_key(&permit);
        if writes.iter().filter_map(|write| write.int_at("permit")).any(has_ended) {
            return Some(Response::new(400, &map([("error", text("no such lease"))])));
        }
        let stamp_of = |key: &str| self.keys.get(key).map_or(0, |entry| entry.stamp);
        let failed: Vec<Value> = conditions
            .iter()
            .filter_map(|condition| Some((condition.text_at("key")?, condition.int_at("stamp")?)))
            .filter(|(key, stamp)| stamp_of(key) != *stamp)
            .map(|(key, _)| text(key))
            .collect();
        if !failed.is_empty() {
            return Some(Response::new(409, &map([("failed", Value::List(failed)), ("epoch", int(self.epoch))])));
        }
        if !writes.is_empty() {
            self.epoch += 1;
        }
        for write in writes {
            if let Some(key) = write.text_at("write") {
                let value = write.get("v").cloned().unwrap_or(Value::Null);
                let entry = Entry { value: value.clone(), stamp: self.epoch, permit: write.int_at("permit") };
                self.keys.insert(key.to_owned(), entry);
                self.record(key, Some(value));
            } else if let Some(key) = write.text_at("drop") {
                if self.keys.remove(key).is_some() {
                    self.record(key, None);
                }
            }
        }
        Some(Response::new(200, &map([("epoch", int(self.epoch))])))
    }

    fn page(&self, prefix: &str, from: Option<&str>, most: usize) -> (Response, bool) {
        let (mut pairs, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, entry) in self.keys.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if from.is_some_and(|from| key.as_str() <= from) {
                continue;
            }
            let pair = map([("key", text(key)), ("v", entry.value.clone()), ("stamp", int(entry.stamp))]);
            bytes += pair.json().len();
            if pairs.len() >= most.min(1000) || bytes > PAGE_BYTES {
                truncated = true;
                break;
            }
            pairs.push(pair);
        }
        let body =
            map([("pairs", Value::List(pairs)), ("truncated", Value::Bool(truncated)), ("epoch", int(self.epoch))]);
        (Response::new(200, &body), truncated)
    }

    fn changes_since(&self, prefix: &str, from: u64) -> Vec<Value> {
        let is_wanted = |change: &&(u64, String, Option<Value>)| change.0 > from && change.1.starts_with(prefix);
        let event = |(revision, key, value): &(u64, String, Option<Value>)| match value {
            Some(value) => map([("write", text(key)), ("v", value.clone()), ("stamp", int(*revision))]),
            None => map([("drop", text(key)), ("stamp", int(*revision))]),
        };
        self.changes.iter().filter(is_wanted).map(event).collect()
    }
}

impl Store {
    pub fn new(limits: Limits) -> Store {
        let data = Data {
            epoch: 1,
            keys: BTreeMap::new(),
            changes: VecDeque::new(),
            first_change: 0,
            grants: BTreeMap::new(),
            last_grant: 0,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
            limits,
        };
        let store = Store { data: Arc::new((Mutex::new(data), Condvar::new())), on_page: Arc::default() };
        let shared = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            shared.end_old_grants();
        });
        store
    }

    fn end_old_grants(&self) {
        let mut data = self.data.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = data.grants.iter().filter(|(_, grant)| now >= grant.ends).map(|(id, _)| *id).collect();
        for id in &ended {
            data.end_grant(*id);
        }
        if !ended.is_empty() {
            self.data.1.notify_all();
        }
    }

    /// Opens a port for controller `index`.
    pub fn serve(&self, index: usize) -> SocketAddr {
        let store = self.clone();
        http::serve(http::listen(), Arc::new(move |request: Request| store.handle(index, &request)))
    }

    fn handle(&self, index: usize, request: &Request) -> Option<Response> {
        if !self.data.0.lock().unwrap().requests.take(1.0) {
            return Some(Response::new(429, &map([])));
        }
        let body = cbor::decode(&request.body).unwrap_or(Value::Null);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/store") => {
                let prefix = request.parameter("under").unwrap_or("");
                let most = request.parameter("most").and_then(|most| most.parse().ok()).unwrap_or(1000);
                let (response, truncated) = self.data.0.lock().unwrap().page(prefix, request.parameter("from"), most);
                if let Some(observer) = &*self.on_page.lock().unwrap() {
                    observer(index, prefix, !truncated);
                }
                Some(response)
            }
            ("GET", "/changes") => self.changes(request),
            ("POST", "/multi") => {
                let response = self.data.0.lock().unwrap().multi(&body);
                self.data.1.notify_all();
                response
            }
            ("POST", "/grants") => Some(self.grant(&body)),
            (method, path) => self.handle_named(method, path),
        }
    }

    fn grant(&self, body: &Value) -> Response {
        let Some(ttl_ms) = body.int_at("ttlMs").filter(|ttl| (100..=600_000).contains(ttl)) else {
            return Response::new(400, &map([]));
        };
        let mut data = self.data.0.lock().unwrap();
        data.last_grant += 1;
        let (id, ttl) = (data.last_grant, Duration::from_millis(ttl_ms));
        data.grants.insert(id, Grant { ttl, ends: Instant::now() + ttl });
        Response::new(200, &map([("permit", int(id))]))
    }

    fn handle_named(&self, method: &str, path: &str) -> Option<Response> {
        let mut data = self.data.0.lock().unwrap();
        if let Some(key) = path.strip_prefix("/store/").filter(|_| method == "GET") {
            return Some(match data.keys.get(key) {
                Some(entry) => {
                    let mut body = vec![
                        ("key".to_owned(), text(key)),
                        ("v".to_owned(), entry.value.clone()),
                        ("stamp".to_owned(), int(entry.stamp)),
                    ];
                    body.extend(entry.permit.map(|permit| ("permit".to_owned(), int(permit))));
                    Response::new(200, &Value::Map(body))
                }
                None => Response::new(404, &map([("epoch", int(data.epoch))])),
            });
        }
        let grant = path.strip_prefix("/grants/")?;
        let id: u64 = grant.strip_suffix("/renew").unwrap_or(grant).parse().ok()?;
        if method == "DELETE" {
            data.end_grant(id);
            self.data.1.notify_all();
            return Some(Response::new(200, &map([])));
        }
        match data.grants.get_mut(&id) {
            Some(grant) => {
                grant.ends = Instant::now() + grant.ttl;
                Some(Response::new(200, &map([("permit", int(id))])))
            }
            None => Some(Response::new(404, &map([]))),
        }
    }

    fn changes(&self, request: &Request) -> Option<Response> {
        let prefix = request.parameter("under").unwrap_or("").to_owned();
        let from: u64 = request.parameter("from")?.parse().ok()?;
        let wait_ms: u64 = request.parameter("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(60_000));
        let mut data = self.data.0.lock().unwrap();
        loop {
            if data.first_change > from {
                return Some(Response::new(410, &map([])));
            }
            let events = data.changes_since(&prefix, from);
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                return Some(Response::new(200, &map([("epoch", int(data.epoch)), ("events", Value::List(events))])));
            }
            let left =
                deadline.saturating_duration_since(now).clamp(Duration::from_millis(5), Duration::from_millis(50));
            data = self.data.1.wait_timeout(data, left).unwrap().0;
        }
    }
}
