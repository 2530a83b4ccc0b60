//! Entries as processes in three failure domains, between proxies for each of their connections.

use std::collections::BTreeMap;
use std::fs;
use std::iter;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use link::Spawner;
use link::pool::Limits;
use link::pool::Pool;
use serde_json::Value;
use serde_json::json;
use smol::Timer;

use super::judge::Finding;
use super::judge::Judge;
use super::plan::Fault;
use super::plan::Kind;
use super::plan::Path;
use super::releases;
use super::site::Site;
use crate::entry::Entry;
use crate::proxy::Mode;
use crate::proxy::Proxy;
use crate::server;
use crate::store::Store;

/// The threads that run the proxies, the store and the workers.
const RUNNERS: usize = 3;
/// How long an entry may take to end after SIGTERM.
const END_TIMEOUT: Duration = Duration::from_secs(9);
/// How long a draining worker serves before it has no registration, in ms.
const DRAIN_MS: u64 = 1_500;
/// How often metrics are read, in ms, and how long that may take.
const METRICS_INTERVAL_MS: u64 = 1_000;
const METRICS_TIMEOUT: Duration = Duration::from_millis(300);
/// The start of each address in a row, and the length of one with a port of five digits.
const ADDRESS_START: &[u8] = b"127.0.0.1:";
const ADDRESS_LENGTH: usize = 15;
/// The addresses that each worker has in turn if it moves.
const SLOTS: usize = 2;

/// What an entry sees instead of the addresses of workers and of other entries.
#[derive(Default)]
struct View {
    addresses: Mutex<BTreeMap<String, String>>,
    refuses: AtomicBool,
}

impl View {
    fn replace(&self, original: &str, replacement: SocketAddr) {
        let mut addresses = self
            .addresses
            .lock()
            .expect("no holder of this lock panics");
        addresses.insert(original.into(), replacement.to_string());
    }

    /// Replaces the addresses in the value of a row.
    fn rewrite(&self, row: &mut Value) {
        let Some(mut bytes) = row["value"]
            .as_str()
            .and_then(|raw| STANDARD.decode(raw).ok())
        else {
            return;
        };
        let addresses = self
            .addresses
            .lock()
            .expect("no holder of this lock panics");
        for start in 0..bytes.len().saturating_sub(ADDRESS_LENGTH - 1) {
            let place = &mut bytes[start..start + ADDRESS_LENGTH];
            if place.starts_with(ADDRESS_START)
                && let Some(other) = str::from_utf8(place).ok().and_then(|it| addresses.get(it))
            {
                place.copy_from_slice(other.as_bytes());
            }
        }
        row["value"] = STANDARD.encode(bytes).into();
    }
}

/// The process of an entry.
struct Node {
    name: String,
    domain: String,
    entry: Mutex<Entry>,
    is_busy: AtomicBool,
    /// The address for customers' requests, past the proxy.
    customer: Mutex<SocketAddr>,
    /// Whether its process has been asked to end.
    is_stopping: AtomicBool,
    /// How many of its processes were killed.
    kills: AtomicU64,
    /// The logs of all processes of this entry.
    logs: Mutex<Vec<PathBuf>>,
}

impl Node {
    fn entry(&self) -> MutexGuard<'_, Entry> {
        self.entry.lock().expect("no holder of this lock panics")
    }
}

/// The addresses at which the entries listen for agents, by number.
type Peers = Mutex<Vec<Option<SocketAddr>>>;

pub struct World {
    pub site: Site,
    pub store: Store,
    nodes: Vec<Node>,
    /// What surrounds the entries, by number.
    parts: Vec<Parts>,
    hosts_busy: Vec<AtomicBool>,
    host_addresses: Vec<SocketAddr>,
    peers: Peers,
    /// What the metrics of the entries show, by the address of a process.
    counted: Mutex<BTreeMap<SocketAddr, Finding>>,
    is_over: Arc<AtomicBool>,
}

impl World {
    pub fn start(seed: u64, entries: usize, workers: usize, judge: Judge) -> Self {
        let spawner = Spawner::default();
        let is_over: Arc<AtomicBool> = Arc::default();
        for _ in 0..RUNNERS {
            let (runner, is_over) = (Arc::clone(&spawner), Arc::clone(&is_over));
            let until_over = async move {
                while !is_over.load(Ordering::SeqCst) {
                    Timer::after(Duration::from_millis(500)).await;
                }
            };
            thread::spawn(move || smol::block_on(runner.run(until_over)));
        }
        let site = Site::new(seed, workers, judge);
        let store = Store::new();
        let config = json!({"version": 1, "routes": [{"name": "r-1", "host": "a.example",
            "pathPrefix": "/q/", "service": "s", "priority": 0, "maxAttempts": 3, "stretch": 1.5,
            "targetLatencyMs": 250}], "services": [{"name": "s"}], "limits": {}});
        store.put("op", "config", &config.to_string());
        let host_addresses = (0..workers * SLOTS).map(|place| {
            let site = site.clone();
            server::start_with_calls(&spawner, move |call| {
                let site = site.clone();
                async move { site.respond(place / SLOTS, place % SLOTS, call).await }
            })
        });
        let host_addresses: Vec<SocketAddr> = host_addresses.collect();
        let peers: Peers = Mutex::new(vec![None; entries]);
        let parts: Vec<Parts> = (0..entries)
            .map(|_| Parts::new(&spawner, &store, &host_addresses, entries))
            .collect();
        let nodes = (0..entries).map(|index| {
            let (name, domain) = (format!("e{index}"), format!("z{}", index % 3));
            let entry = Entry::start_in(&domain, &name, parts[index].store.address, &|peer| {
                publish(&parts, &peers, index, peer);
            });
            parts[index].clients.redirect(entry.customer);
            Node {
                name,
                domain,
                logs: Mutex::new(vec![entry.log_path()]),
                customer: Mutex::new(entry.customer),
                is_stopping: AtomicBool::new(false),
                kills: AtomicU64::new(0),
                entry: Mutex::new(entry),
                is_busy: AtomicBool::new(false),
            }
        });
        let nodes = nodes.collect();
        let world = Self {
            site,
            store,
            nodes,
            parts,
            hosts_busy: (0..workers).map(|_| AtomicBool::new(false)).collect(),
            host_addresses,
            peers,
            counted: Mutex::default(),
            is_over,
        };
        (0..workers).for_each(|index| world.register(index));
        world.start_clock();
        world
    }

    /// Lets the time of the workers pass and the judge look while nothing calls them.
    fn start_clock(&self) {
        let (site, is_over) = (self.site.clone(), Arc::clone(&self.is_over));
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let (mut hosts, now) = site.settled();
                hosts.judge.look(now);
                drop(hosts);
                thread::sleep(Duration::from_millis(50));
            }
        });
    }

    fn register(&self, index: usize) {
        let slot = self.site.settled().0.list[index].slot;
        let address = self.host_addresses[index * SLOTS + slot].to_string();
        let (id, row) = self.site.registration(index, &address);
        self.store.put("servers", &id, &row);
    }

    fn unregister(&self, index: usize) {
        let (id, _) = self.site.registration(index, "");
        self.store.remove("servers", &id);
    }

    /// Returns the address at which clients reach an entry.
    pub fn customer(&self, entry: usize) -> SocketAddr {
        self.parts[entry].clients.address
    }

    /// Returns the address of an entry for customers' requests, past the proxy.
    pub fn direct(&self, entry: usize) -> SocketAddr {
        let customer = self.nodes[entry].customer.lock();
        *customer.expect("no holder of this lock panics")
    }

    /// Returns whether the process of an entry was asked to end.
    pub fn is_stopping(&self, entry: usize) -> bool {
        self.nodes[entry].is_stopping.load(Ordering::SeqCst)
    }

    /// Returns how many processes of an entry were killed.
    pub fn kills(&self, entry: usize) -> u64 {
        self.nodes[entry].kills.load(Ordering::SeqCst)
    }

    /// Reads the metrics of all entries until the end of the traffic.
    pub fn read_metrics(&self, is_over: &AtomicBool) {
        let pool = Pool::new(Limits::default());
        while !is_over.load(Ordering::SeqCst) {
            wait(METRICS_INTERVAL_MS);
            self.nodes.iter().for_each(|node| self.count(&pool, node));
        }
    }

    fn count(&self, pool: &Pool, node: &Node) {
        // The entry is locked while its process restarts.
        let Ok(address) = node.entry.try_lock().map(|entry| entry.metrics) else {
            return;
        };
        let request = Request::get("/metrics").header("host", "metrics");
        let request = request.body(Full::default()).expect("the request is valid");
        let page = smol::block_on(pool.send(address, request, METRICS_TIMEOUT));
        let page = page.map(|page| String::from_utf8_lossy(page.body()).into_owned());
        if let Some(finding) = releases::counted(&node.name, &page.unwrap_or_default()) {
            let mut counted = self.counted.lock().expect("no holder of this lock panics");
            counted.insert(address, finding);
        }
    }

    /// Returns the runs that were released early by the logs and the metrics of the entries.
    pub fn early_releases(&self) -> Vec<Finding> {
        let lines = self.log_lines(&["kind=start ", "lease-expired"].map(str::to_owned));
        let mut findings = releases::early(lines.iter().map(String::as_str));
        let counted = self.counted.lock().expect("no holder of this lock panics");
        findings.extend(counted.values().cloned());
        findings
    }

    pub fn entries(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the entries whose processes have ended by themselves.
    pub fn ended_entries(&self) -> Vec<String> {
        let ended = self.nodes.iter().filter(|node| node.entry().has_ended());
        ended.map(|node| node.name.clone()).collect()
    }

    /// Returns the log lines of all entries that contain one of these words.
    pub fn log_lines(&self, words: &[String]) -> Vec<String> {
        let mut lines = Vec::new();
        for node in &self.nodes {
            let logs = node.logs.lock().expect("no holder of this lock panics");
            for log in logs.iter().filter_map(|path| fs::read_to_string(path).ok()) {
                let named = log
                    .lines()
                    .filter(|line| words.iter().any(|word| line.contains(word.as_str())));
                lines.extend(named.map(str::to_owned));
            }
        }
        lines.sort_unstable();
        lines
    }

    /// Returns the number of the entry that the leader record names, if there is one.
    fn leader(&self) -> Option<usize> {
        let raw = self.store.find_raw_value("lead", "record")?;
        let bytes = STANDARD.decode(raw).ok()?;
        let peers = self.peers.lock().expect("no holder of this lock panics");
        peers.iter().position(|peer| {
            let address = peer.map(|peer| peer.to_string()).unwrap_or_default();
            let mut windows = bytes.windows(ADDRESS_LENGTH);
            windows.any(|window| window == address.as_bytes())
        })
    }

    /// Plays a fault from its begin to its end. A fault of a process or a worker is left out while
    /// another one of the same process or worker is played.
    pub fn play(&self, fault: &Fault) {
        let entry = fault.entry.or_else(|| self.leader()).unwrap_or(0);
        let (node, parts) = (&self.nodes[entry], &self.parts[entry]);
        match fault.kind {
            Kind::Link(path, mode) => self.disturb(path, mode, entry, fault),
            Kind::StoreRefuses => {
                parts.view.refuses.store(true, Ordering::SeqCst);
                wait(fault.lasts);
                parts.view.refuses.store(false, Ordering::SeqCst);
            }
            Kind::Pause => alone(&node.is_busy, || {
                node.entry().set_stopped(true);
                wait(fault.lasts);
                node.entry().set_stopped(false);
            }),
            Kind::Slow { runs, period } => alone(&node.is_busy, || {
                let end = Instant::now() + Duration::from_millis(fault.lasts);
                while Instant::now() < end {
                    node.entry().set_stopped(true);
                    wait(period - runs);
                    node.entry().set_stopped(false);
                    wait(runs);
                }
            }),
            Kind::Kill => alone(&node.is_busy, || self.restart(entry, "-KILL", fault.lasts)),
            Kind::Terminate => alone(&node.is_busy, || self.restart(entry, "-TERM", fault.lasts)),
            Kind::Crash | Kind::Rebirth | Kind::Drain | Kind::Leave => {
                for &worker in &fault.workers {
                    alone(&self.hosts_busy[worker], || self.replace(worker, fault));
                }
            }
            Kind::Relist { mode, moves } => self.relist(mode, moves, fault),
        }
    }

    fn disturb(&self, path: Path, mode: Mode, entry: usize, fault: &Fault) {
        let to_workers = |parts: &Parts| -> Vec<Proxy> {
            let workers = fault.workers.iter();
            let proxies = workers.flat_map(|worker| parts.worker(*worker));
            proxies.cloned().collect()
        };
        let parts = &self.parts[entry];
        let proxies: Vec<Proxy> = match path {
            Path::Store => vec![parts.store.clone()],
            Path::Clients => vec![parts.clients.clone()],
            Path::Peers => parts.peers.clone(),
            Path::Pairs => {
                let others = fault.workers.iter();
                others.map(|other| parts.peers[*other].clone()).collect()
            }
            Path::ToPeer => {
                let others = self.parts.iter();
                others.map(|parts| parts.peers[entry].clone()).collect()
            }
            Path::Workers => to_workers(parts),
            Path::AllToWorkers => self.parts.iter().flat_map(to_workers).collect(),
        };
        let begun: Vec<u64> = proxies.iter().map(|proxy| proxy.disturb(mode)).collect();
        wait(fault.lasts);
        for (proxy, number) in iter::zip(proxies, begun) {
            proxy.restore(number);
        }
    }

    fn restart(&self, entry: usize, signal: &str, pause: u64) {
        let node = &self.nodes[entry];
        let mut process = node.entry();
        let is_kill = signal == "-KILL";
        node.kills.fetch_add(u64::from(is_kill), Ordering::SeqCst);
        node.is_stopping.store(!is_kill, Ordering::SeqCst);
        process.signal(signal);
        let end = Instant::now() + END_TIMEOUT;
        while !process.has_ended() {
            if Instant::now() >= end {
                node.kills.fetch_add(1, Ordering::SeqCst);
                process.signal("-KILL");
            }
            wait(20);
        }
        node.is_stopping.store(false, Ordering::SeqCst);
        wait(pause);
        let parts = &self.parts[entry];
        *process = Entry::start_in(&node.domain, &node.name, parts.store.address, &|peer| {
            publish(&self.parts, &self.peers, entry, peer);
        });
        parts.clients.redirect(process.customer);
        let mut customer = node.customer.lock().expect("no holder of this lock panics");
        *customer = process.customer;
        let mut logs = node.logs.lock().expect("no holder of this lock panics");
        logs.push(process.log_path());
    }

    /// Closes or opens all connections of a worker.
    fn set_reachable(&self, worker: usize, is_reachable: bool) {
        for proxy in self.parts.iter().flat_map(|parts| parts.worker(worker)) {
            // Refusing drops the calls under way, so that none outlives the life of the worker.
            proxy.set(Mode::Refuse);
            if is_reachable {
                proxy.set(Mode::Pass);
            }
        }
    }

    /// Removes the registrations of some workers while their connections are disturbed, and lists
    /// those that are not busy with another fault again.
    fn relist(&self, mode: Mode, moves: bool, fault: &Fault) {
        let idle = |worker: &&usize| !self.hosts_busy[**worker].swap(true, Ordering::SeqCst);
        let workers: Vec<usize> = fault.workers.iter().filter(idle).copied().collect();
        workers.iter().for_each(|worker| self.unregister(*worker));
        let proxies = |worker: usize| {
            self.parts
                .iter()
                .flat_map(move |parts| parts.worker(worker))
        };
        let proxies: Vec<&Proxy> = workers.iter().flat_map(|worker| proxies(*worker)).collect();
        let begun: Vec<u64> = proxies.iter().map(|proxy| proxy.disturb(mode)).collect();
        wait(fault.lasts);
        if moves {
            workers.iter().for_each(|worker| self.relocate(*worker));
        }
        for (proxy, number) in iter::zip(proxies, begun) {
            proxy.restore(number);
        }
        for worker in workers {
            self.register(worker);
            self.hosts_busy[worker].store(false, Ordering::SeqCst);
        }
    }

    /// Restarts a worker under its id at its other address. Nothing answers at the former one.
    fn relocate(&self, worker: usize) {
        let (mut hosts, now) = self.site.settled();
        hosts.crash(worker, now);
        let host = &hosts.list[worker];
        let (id, slot) = (host.id.clone(), (host.slot + 1) % SLOTS);
        hosts.restart(worker, now, id, slot);
    }

    /// Ends the life of a worker as the fault says, and begins the next one.
    fn replace(&self, worker: usize, fault: &Fault) {
        let set_draining = |is_draining| {
            self.site.settled().0.list[worker].is_draining = is_draining;
            self.register(worker);
        };
        let crash = || {
            self.set_reachable(worker, false);
            let (mut hosts, now) = self.site.settled();
            hosts.crash(worker, now);
        };
        match fault.kind {
            Kind::Drain => {
                set_draining(true);
                wait(fault.lasts);
                crash();
            }
            Kind::Leave => {
                set_draining(true);
                wait(DRAIN_MS);
                self.set_reachable(worker, false);
                self.unregister(worker);
                wait(fault.lasts - DRAIN_MS);
                crash();
            }
            _ => {
                crash();
                wait(fault.lasts);
            }
        }
        if fault.kind != Kind::Rebirth {
            self.unregister(worker);
        }
        let (mut hosts, now) = self.site.settled();
        let id = match fault.kind {
            Kind::Rebirth => hosts.list[worker].id.clone(),
            _ => format!("i-{worker}-{now}"),
        };
        let slot = hosts.list[worker].slot;
        hosts.restart(worker, now, id, slot);
        drop(hosts);
        self.set_reachable(worker, true);
        self.register(worker);
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for parts in &self.parts {
            let single = [&parts.store, &parts.clients];
            let proxies = single.into_iter().chain(&parts.workers).chain(&parts.peers);
            // Closes the sockets, which would otherwise stay open until the test process exits.
            proxies.for_each(|proxy| {
                proxy.set(Mode::Refuse);
            });
        }
        self.is_over.store(true, Ordering::SeqCst);
    }
}

/// The proxies of an entry and its view of the store.
struct Parts {
    view: Arc<View>,
    store: Proxy,
    workers: Vec<Proxy>,
    peers: Vec<Proxy>,
    clients: Proxy,
}

impl Parts {
    /// Returns the proxies of the addresses of a worker.
    fn worker(&self, worker: usize) -> &[Proxy] {
        &self.workers[worker * SLOTS..][..SLOTS]
    }

    fn new(spawner: &Spawner, store: &Store, hosts: &[SocketAddr], entries: usize) -> Self {
        let view: Arc<View> = Arc::default();
        let workers: Vec<Proxy> = hosts
            .iter()
            .map(|host| Proxy::start(spawner, *host))
            .collect();
        for (host, proxy) in iter::zip(hosts, &workers) {
            view.replace(&host.to_string(), proxy.address);
        }
        let (owned, owned_view) = (store.clone(), Arc::clone(&view));
        let address = server::start(spawner, move |path, query, body| {
            let (store, view) = (owned.clone(), Arc::clone(&owned_view));
            async move {
                if view.refuses.load(Ordering::SeqCst) {
                    return (StatusCode::SERVICE_UNAVAILABLE, json!({}));
                }
                let (status, mut page) = store.respond(&path, &query, &body).await;
                if let Some(rows) = page["rows"].as_array_mut() {
                    let is_rewritten =
                        |row: &Value| row["table"] == "servers" || row["table"] == "lead";
                    let rows = rows.iter_mut().filter(|row| is_rewritten(row));
                    rows.for_each(|row| view.rewrite(row));
                }
                (status, page)
            }
        });
        let placeholder = SocketAddr::from(([127, 0, 0, 1], 9));
        Self {
            view,
            store: Proxy::start(spawner, address),
            workers,
            peers: (0..entries)
                .map(|_| Proxy::start(spawner, placeholder))
                .collect(),
            clients: Proxy::start(spawner, placeholder),
        }
    }
}

/// Lets the other entries reach the entry of this number at an address by their proxies.
fn publish(parts: &[Parts], peers: &Peers, entry: usize, peer: SocketAddr) {
    for other in parts {
        other.peers[entry].redirect(peer);
        other
            .view
            .replace(&peer.to_string(), other.peers[entry].address);
    }
    let mut peers = peers.lock().expect("no holder of this lock panics");
    peers[entry] = Some(peer);
}

/// Runs `play` unless something else of the same kind is under way.
fn alone(is_busy: &AtomicBool, play: impl FnOnce()) {
    if !is_busy.swap(true, Ordering::SeqCst) {
        play();
        is_busy.store(false, Ordering::SeqCst);
    }
}

pub fn wait(time: u64) {
    thread::sleep(Duration::from_millis(time));
}
