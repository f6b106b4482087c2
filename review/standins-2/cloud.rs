//! Stand-in for the cloud.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        atomic::{AtomicU32, Ordering::Relaxed},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cbor::{decode, encode, V},
    http::{serve, Request, Response},
    map,
    worker::{Config, Spec, Worker},
    world::World,
};

#[derive(Debug, Clone)]
pub struct Breed {
    pub name: &'static str,
    pub cpus: f64,
    pub cards: f64,
    pub memory: f64,
    pub boot_s: f64,
    pub yards: Vec<&'static str>,
}

struct Host {
    breed: String,
    zone: String,
    spot: bool,
    rented: Instant,
    worker: Option<Arc<Worker>>,
}

#[derive(Default)]
struct State {
    hosts: BTreeMap<String, Host>,
    next: u32,
    asks: HashMap<String, Vec<String>>,
}

pub struct Cloud {
    state: Mutex<State>,
    breeds: Vec<Breed>,
    /// Machines that may still be rented.
    pub capacity: AtomicU32,
    listed: AtomicU32,
    world: Arc<World>,
    config: Arc<Config>,
    nodes: Arc<Vec<(String, SocketAddr)>>,
}

fn answer(status: u16, body: V) -> Option<Response> {
    Some(Response { status, body: encode(&body) })
}

impl Cloud {
    pub fn new(
        breeds: Vec<Breed>,
        world: Arc<World>,
        config: Arc<Config>,
        nodes: Arc<Vec<(String, SocketAddr)>>,
    ) -> Arc<Cloud> {
        Arc::new(Cloud {
            state: Mutex::new(State { next: 1, ..State::default() }),
            breeds,
            capacity: AtomicU32::new(0),
            listed: AtomicU32::new(0),
            world,
            config,
            nodes,
        })
    }

    pub fn serve(self: &Arc<Cloud>) -> SocketAddr {
        let cloud = self.clone();
        serve(move |request| cloud.handle(request))
    }

    /// Adds a machine that is up.
    pub fn add(&self, breed: &str, zone: &str, spot: bool) -> Arc<Worker> {
        let name = {
            let mut state = self.state.lock().unwrap();
            let name = format!("i-{:06}", state.next);
            state.next += 1;
            let host = Host { breed: breed.into(), zone: zone.into(), spot, rented: Instant::now(), worker: None };
            state.hosts.insert(name.clone(), host);
            name
        };
        self.boot(&name).unwrap()
    }

    /// How often the list of machines was asked for.
    pub fn listings(&self) -> u32 {
        self.listed.load(Relaxed)
    }

    pub fn is_listed(&self, host: &str) -> bool {
        self.state.lock().unwrap().hosts.contains_key(host)
    }

    /// The machine is up: its worker starts.
    fn boot(&self, name: &str) -> Option<Arc<Worker>> {
        let mut state = self.state.lock().unwrap();
        let host = state.hosts.get_mut(name)?;
        let breed = self.breeds.iter().find(|breed| breed.name == host.breed)?;
        let spec = Spec {
            host: name.into(),
            breed: host.breed.clone(),
            zone: host.zone.clone(),
            spot: host.spot,
            cpus: breed.cpus,
            cards: breed.cards,
            memory: breed.memory,
        };
        self.world.note(format!("machine {name} ({}, {}, spot {}) is up", spec.breed, spec.zone, spec.spot));
        let worker = Worker::start(spec, self.config.clone(), self.world.clone(), self.nodes.clone());
        host.worker = Some(worker.clone());
        Some(worker)
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        self.state
            .lock()
            .unwrap()
            .hosts
            .values()
            .filter_map(|host| host.worker.clone())
            .filter(|worker| !worker.is_gone())
            .collect()
    }

    fn handle(self: &Arc<Cloud>, request: &Request) -> Option<Response> {
        match (&*request.method, request.resource()) {
            ("GET", "/flavors") => {
                let breeds: Vec<V> = self.breeds.iter().map(|breed| {
                    let yards: Vec<V> = breed.yards.iter().map(|yard| V::from(*yard)).collect();
                    map! {"name" => breed.name, "cpus" => breed.cpus, "cards" => breed.cards, "memoryGb" => breed.memory,
                        "localGb" => 100.0, "pullGbPerS" => 1.0, "price" => 1.0 + breed.cpus / 10.0, "spotPrice" => 0.5 + breed.cpus / 20.0,
                        "readyS" => breed.boot_s, "yards" => yards}
                }).collect();
                answer(200, map! {"breeds" => breeds})
            }
            ("GET", "/hosts") => {
                let from = request.query("from").unwrap_or("");
                let most = request.query("most").and_then(|most| most.parse().ok()).unwrap_or(500usize).min(500);
                self.listed.fetch_add(1, Relaxed);
                let state = self.state.lock().unwrap();
                let mut listed = state.hosts.iter().filter(|(name, _)| name.as_str() > from);
                let hosts: Vec<V> = listed.by_ref().take(most).map(|(name, host)| {
                    let endpoint = host.worker.as_ref().map_or(V::Null, |worker| V::from(worker.endpoint.lock().unwrap().to_string()));
                    let status = if host.worker.is_some() { "running" } else { "booting" };
                    map! {"nameId" => name.clone(), "endpoint" => endpoint, "breed" => host.breed.clone(), "yard" => host.zone.clone(),
                        "loaners" => host.spot, "status" => status, "heldS" => host.rented.elapsed().as_secs_f64()}
                }).collect();
                let truncated = listed.next().is_some();
                answer(200, map! {"hosts" => hosts, "truncated" => truncated})
            }
            ("POST", "/hosts") => {
                let body = decode(&request.body)?;
                let (Some(ask), Some(breed), Some(yard)) = (body.str("ask"), body.str("breed"), body.str("yard"))
                else {
                    return answer(400, map! {});
                };
                let spot = matches!(body.get("loaners"), Some(V::Bool(true)));
                let mut state = self.state.lock().unwrap();
                if let Some(names) = state.asks.get(ask) {
                    let names: Vec<V> = names.iter().map(|name| V::from(name.clone())).collect();
                    return answer(200, map! {"hosts" => names});
                }
                let Some(kind) = self.breeds.iter().find(|kind| kind.name == breed) else {
                    return answer(400, map! {});
                };
                let number = (body.u64("number").unwrap_or(0) as u32).min(self.capacity.load(Relaxed));
                if number == 0 {
                    return answer(503, map! {"error" => "no capacity"});
                }
                self.capacity.fetch_sub(number, Relaxed);
                let mut names = Vec::new();
                for _ in 0..number {
                    let name = format!("i-{:06}", state.next);
                    state.next += 1;
                    state.hosts.insert(
                        name.clone(),
                        Host { breed: breed.into(), zone: yard.into(), spot, rented: Instant::now(), worker: None },
                    );
                    let (cloud, booting, boot_s) = (self.clone(), name.clone(), kind.boot_s);
                    thread::spawn(move || {
                        thread::sleep(Duration::from_secs_f64(boot_s));
                        cloud.boot(&booting);
                    });
                    names.push(name);
                }
                state.asks.insert(ask.into(), names.clone());
                self.world.note(format!("cloud: rented {names:?}, {breed} in {yard}, spot {spot}"));
                let names: Vec<V> = names.into_iter().map(V::from).collect();
                answer(200, map! {"hosts" => names})
            }
            ("POST", "/hosts/return") => {
                let body = decode(&request.body)?;
                let mut state = self.state.lock().unwrap();
                for name in body.list("hosts") {
                    let V::T(name) = name else { continue };
                    let Some(host) = state.hosts.remove(name) else { continue };
                    // A machine that stopped by itself can't be rented out again.
                    if !host.worker.as_ref().is_some_and(|worker| worker.is_gone()) {
                        self.capacity.fetch_add(1, Relaxed);
                    }
                    if let Some(worker) = host.worker {
                        worker.remove("returned");
                    }
                }
                answer(200, map! {})
            }
            _ => answer(404, map! {}),
        }
    }

    /// A machine stops with all that is on it; the cloud goes on listing it for a while.
    pub fn die(self: &Arc<Cloud>, worker: &Arc<Worker>) {
        worker.remove("died");
        let (cloud, name) = (self.clone(), worker.spec.host.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(30));
            cloud.state.lock().unwrap().hosts.remove(&name);
        });
    }
}
