//! Stand-in for the state service: one store, served at one address for each controller.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering::Relaxed},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cbor::{decode, encode, V},
    http::{serve, Request, Response},
    map, rng,
};

struct Stored {
    value: V,
    stamp: u64,
    permit: Option<u64>,
}

struct Grant {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    keys: BTreeMap<String, Stored>,
    grants: BTreeMap<u64, Grant>,
    next_grant: u64,
    epoch: u64,
    /// Changes: revision, key, value (None: dropped).
    log: Vec<(u64, String, Option<V>)>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Outage for all controllers: 503; open watches wait.
    pub outage: AtomicBool,
}

/// Faults of one controller's access.
#[derive(Default)]
pub struct Access {
    /// Every request gets 503; open watches wait.
    pub refused: AtomicBool,
    /// Nothing is answered or executed.
    pub cut: AtomicBool,
    /// Percentage of transactions that get no answer and are carried out 2 to 12 s later.
    pub late_writes: AtomicU32,
    /// Percentage of transactions that are carried out at once and get no answer.
    pub lost_answers: AtomicU32,
    /// Every answer takes up to this many ms.
    pub delay_ms: AtomicU32,
}

const OPS_MAX: usize = 24;
const CHANGES_KEPT: usize = 10_000;

fn ok(value: V) -> Option<Response> {
    Some(Response { status: 200, body: encode(&value) })
}

fn error(status: u16, value: V) -> Option<Response> {
    Some(Response { status, body: encode(&value) })
}

impl Store {
    pub fn start() -> Arc<Store> {
        let store = Arc::new(Store {
            state: Mutex::new(State { next_grant: 1, ..State::default() }),
            changed: Condvar::new(),
            outage: AtomicBool::new(false),
        });
        let ticker = store.clone();
        thread::spawn(move || {
            let mut was_out = false;
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = ticker.state.lock().unwrap();
                let is_out = ticker.outage.load(Relaxed);
                let now = Instant::now();
                // After an outage every lease has its full time again.
                if is_out || was_out {
                    state.grants.values_mut().for_each(|grant| grant.ends = now + grant.ttl);
                }
                was_out = is_out;
                let ended: Vec<u64> =
                    state.grants.iter().filter(|(_, grant)| now > grant.ends).map(|(id, _)| *id).collect();
                for id in &ended {
                    state.end_grant(*id);
                }
                if !ended.is_empty() {
                    ticker.changed.notify_all();
                }
            }
        });
        store
    }

    /// Serves the store to one controller.
    pub fn serve(self: &Arc<Store>, access: Arc<Access>) -> SocketAddr {
        let store = self.clone();
        serve(move |request| store.handle(request, &access))
    }

    fn handle(self: &Arc<Store>, request: &Request, access: &Access) -> Option<Response> {
        let hangs = |access: &Access| access.cut.load(Relaxed);
        let refuses = |access: &Access| access.refused.load(Relaxed) || self.outage.load(Relaxed);
        if hangs(access) {
            return None;
        }
        let delay = access.delay_ms.load(Relaxed);
        if delay > 0 {
            thread::sleep(Duration::from_millis(u64::from(rng::below(delay))));
        }
        if refuses(access) {
            return error(503, map! {"error" => "unavailable"});
        }
        let resource = request.resource();
        let answer = match (&*request.method, resource) {
            ("POST", "/multi") => {
                let Some(txn) = decode(&request.body) else { return error(400, map! {"error" => "malformed"}) };
                if rng::percent(access.late_writes.load(Relaxed)) {
                    let store = self.clone();
                    let wait = 2_000 + rng::below(10_000);
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(u64::from(wait)));
                        store.multi(&txn);
                    });
                    return None;
                }
                let answer = self.multi(&txn);
                if rng::percent(access.lost_answers.load(Relaxed)) {
                    return None;
                }
                answer
            }
            ("POST", "/grants") => self.grant(request),
            ("GET", "/store") => self.page(request),
            ("GET", "/changes") => self.changes(request, access),
            ("GET", _) if resource.starts_with("/store/") => {
                let state = self.state.lock().unwrap();
                let key = &resource["/store/".len()..];
                match state.keys.get(key) {
                    Some(stored) => ok(pair(key, stored)),
                    None => error(404, map! {"epoch" => state.epoch}),
                }
            }
            _ if resource.starts_with("/grants/") => {
                let mut parts = resource["/grants/".len()..].split('/');
                let Some(id) = parts.next().and_then(|id| id.parse::<u64>().ok()) else { return error(400, V::Null) };
                let mut state = self.state.lock().unwrap();
                if request.method == "DELETE" {
                    state.end_grant(id);
                    self.changed.notify_all();
                    return ok(map! {});
                }
                match state.grants.get_mut(&id) {
                    Some(grant) => {
                        grant.ends = Instant::now() + grant.ttl;
                        ok(map! {"permit" => id})
                    }
                    None => error(404, map! {"error" => "no such lease"}),
                }
            }
            _ => error(400, map! {"error" => "malformed"}),
        };
        if hangs(access) {
            return None;
        }
        answer
    }

    fn multi(&self, txn: &V) -> Option<Response> {
        let (conditions, writes) = (txn.list("if"), txn.list("writes"));
        if writes.len() > OPS_MAX || conditions.len() > 4 * OPS_MAX {
            return error(400, map! {"error" => "too large"});
        }
        let mut state = self.state.lock().unwrap();
        if writes.iter().filter_map(|write| write.u64("permit")).any(|id| !state.grants.contains_key(&id)) {
            return error(400, map! {"error" => "no such lease"});
        }
        let stamp = |key: &str| state.keys.get(key).map_or(0, |stored| stored.stamp);
        let failed: Vec<V> = conditions
            .iter()
            .filter(|condition| stamp(condition.str("key").unwrap_or("")) != condition.u64("stamp").unwrap_or(0))
            .map(|condition| V::from(condition.str("key").unwrap_or("")))
            .collect();
        if !failed.is_empty() {
            return error(409, map! {"failed" => failed, "epoch" => state.epoch});
        }
        if !writes.is_empty() {
            state.epoch += 1;
        }
        let epoch = state.epoch;
        for write in writes {
            if let Some(key) = write.str("write") {
                let value = write.get("v").cloned().unwrap_or(V::Null);
                state.log.push((epoch, key.to_owned(), Some(value.clone())));
                state.keys.insert(key.to_owned(), Stored { value, stamp: epoch, permit: write.u64("permit") });
            } else if let Some(key) = write.str("drop") {
                if state.keys.remove(key).is_some() {
                    state.log.push((epoch, key.to_owned(), None));
                }
            }
        }
        let excess = state.log.len().saturating_sub(CHANGES_KEPT);
        state.log.drain(..excess);
        self.changed.notify_all();
        ok(map! {"epoch" => epoch})
    }

    fn grant(&self, request: &Request) -> Option<Response> {
        let ttl = decode(&request.body).and_then(|body| body.u64("ttlMs"))?;
        let ttl = Duration::from_millis(ttl);
        let mut state = self.state.lock().unwrap();
        let id = state.next_grant;
        state.next_grant += 1;
        state.grants.insert(id, Grant { ttl, ends: Instant::now() + ttl });
        ok(map! {"permit" => id})
    }

    fn page(&self, request: &Request) -> Option<Response> {
        let (under, from) = (request.query("under").unwrap_or(""), request.query("from").unwrap_or(""));
        let most = request.query("most").and_then(|most| most.parse().ok()).unwrap_or(1_000usize).min(1_000);
        let state = self.state.lock().unwrap();
        let mut found = state.keys.iter().filter(|(key, _)| key.starts_with(under) && key.as_str() > from);
        let pairs: Vec<V> = found.by_ref().take(most).map(|(key, stored)| pair(key, stored)).collect();
        let truncated = found.next().is_some();
        ok(map! {"pairs" => pairs, "truncated" => truncated, "epoch" => state.epoch})
    }

    fn changes(&self, request: &Request, access: &Access) -> Option<Response> {
        let under = request.query("under").unwrap_or("");
        let from: u64 = request.query("from").and_then(|from| from.parse().ok()).unwrap_or(0);
        let wait: u64 = request.query("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(60_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if state.log.len() >= CHANGES_KEPT && state.log.first().is_some_and(|first| from + 1 < first.0) {
                return error(410, map! {"error" => "too old"});
            }
            let events: Vec<V> = state
                .log
                .iter()
                .rev()
                .take_while(|(epoch, _, _)| *epoch > from)
                .filter(|(_, key, _)| key.starts_with(under))
                .map(|(epoch, key, value)| match value {
                    Some(value) => map! {"write" => key.clone(), "v" => value.clone(), "stamp" => *epoch},
                    None => map! {"drop" => key.clone(), "stamp" => *epoch},
                })
                .collect();
            let is_out = self.outage.load(Relaxed) || access.refused.load(Relaxed) || access.cut.load(Relaxed);
            let now = Instant::now();
            if !is_out && (!events.is_empty() || now >= until) {
                let events: Vec<V> = events.into_iter().rev().collect();
                return ok(map! {"epoch" => state.epoch, "events" => events});
            }
            if wait == 0 && is_out {
                return error(503, map! {"error" => "unavailable"});
            }
            let pause = Duration::from_millis(20);
            state = self.changed.wait_timeout(state, pause).unwrap().0;
        }
    }
}

fn pair(key: &str, stored: &Stored) -> V {
    let mut fields = vec![
        ("key".to_owned(), V::from(key)),
        ("v".to_owned(), stored.value.clone()),
        ("stamp".to_owned(), V::from(stored.stamp)),
    ];
    if let Some(permit) = stored.permit {
        fields.push(("permit".to_owned(), V::from(permit)));
    }
    V::M(fields)
}

impl State {
    fn end_grant(&mut self, id: u64) {
        self.grants.remove(&id);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, stored)| stored.permit == Some(id)).map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.epoch += 1;
        for key in keys {
            self.keys.remove(&key);
            let epoch = self.epoch;
            self.log.push((epoch, key, None));
        }
    }
}
