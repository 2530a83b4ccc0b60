//! A fake platform on loopback with a store and workers, and a client of its entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use decision::resource::Size;
use http::Request;
use http_body_util::Full;
use link::Spawner;
use link::pool::Limits;
use link::pool::Pool;
use scheduler::id::Epoch;
use serde_json::Value;
use serde_json::json;

use crate::cluster;
use crate::cluster::Cluster;
use crate::entry::Entry;
use crate::proxy::Proxy;
use crate::server;
use crate::store::Store;
use crate::worker::Worker;

/// A fake platform on loopback and a client of its entries.
pub struct Fleet {
    pub spawner: Spawner,
    pub store: Store,
    cluster: Arc<Mutex<Cluster>>,
    pub store_proxy: Proxy,
    pub worker_proxies: Vec<Proxy>,
    started_at: Instant,
    pool: Pool,
}

impl Fleet {
    /// Starts a store and `workers` workers of two cores each.
    pub fn start(workers: usize) -> Self {
        let spawner = Spawner::default();
        let runner = Arc::clone(&spawner);
        thread::spawn(move || smol::block_on(runner.run(smol::future::pending::<()>())));
        let store = Store::new();
        let cluster: Arc<Mutex<Cluster>> = Arc::default();
        let started_at = Instant::now();
        let owned_store = store.clone();
        let store_address = server::start(&spawner, move |path, query, body| {
            let store = owned_store.clone();
            async move { store.respond(&path, &query, &body).await }
        });
        let store_proxy = Proxy::start(&spawner, store_address);
        let mut fleet = Self {
            spawner,
            store,
            cluster,
            store_proxy,
            worker_proxies: Vec::new(),
            started_at,
            pool: Pool::new(Limits::default()),
        };
        fleet.configure(1);
        for index in 0..workers {
            fleet.add_worker(index);
        }
        fleet
    }

    /// Writes a configuration with one queue.
    pub fn configure(&self, version: u64) {
        let config = json!({"version": version, "routes": [{"name": "r-1", "host": "a.example",
            "pathPrefix": "/q/", "service": "s", "priority": 0, "maxAttempts": 3, "stretch": 1.5,
            "targetLatencyMs": 250}], "services": [{"name": "s"}], "limits": {}});
        self.store.put("op", "config", &config.to_string());
    }

    fn add_worker(&mut self, index: usize) {
        let id = format!("i-{index}");
        let size = Size {
            millicores: 2_000,
            memory_mb: 4_000,
            accelerators: 0,
        };
        let worker = Worker::new(size, 0);
        let mut cluster = self.cluster();
        cluster.workers.insert(id.clone(), worker);
        drop(cluster);
        let (shared, name, started_at) = (Arc::clone(&self.cluster), id.clone(), self.started_at);
        let address = server::start(&self.spawner, move |path, _, body| {
            let (shared, name) = (Arc::clone(&shared), name.clone());
            async move { cluster::respond(&shared, &name, started_at, &path, &body).await }
        });
        let proxy = Proxy::start(&self.spawner, address);
        self.worker_proxies.push(proxy);
        self.register(index, "ready");
    }

    /// Writes the registration of the worker with this number.
    pub fn register(&self, index: usize, state: &str) {
        let id = format!("i-{index}");
        let address = self.worker_proxies[index].address.to_string();
        let born = self.cluster().workers[&id].incarnation.0;
        let row = json!({"service": "s", "address": address, "zone": "z",
            "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0, "seqNo": 1,
            "capacity": {"cpu": 2000, "memMb": 4000, "gpu": 0}, "labels": ["a", "r1"],
            "born": born});
        self.store.put("servers", &id, &row.to_string());
    }

    /// Returns the state of the workers, which stand still until it is dropped.
    pub fn cluster(&self) -> MutexGuard<'_, Cluster> {
        self.cluster.lock().expect("no holder of this lock panics")
    }

    /// Starts an entry of this platform.
    pub fn entry(&self, name: &str) -> Entry {
        Entry::start(name, self.store_proxy.address)
    }

    /// Sends a customer's request and returns the status and body; status 0 means no response.
    pub fn send(&self, to: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "a.example")
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .expect("the request is valid");
        let response = smol::block_on(self.pool.send(to, request, Duration::from_secs(3)));
        response.map_or((0, String::new()), |response| {
            let body = String::from_utf8_lossy(response.body()).into_owned();
            (response.status().as_u16(), body)
        })
    }

    /// Submits a job, and panics unless the entry accepts it.
    #[track_caller]
    pub fn submit(&self, to: SocketAddr, job: &str, spec: &str) {
        let (status, _) = self.send(to, "POST", &format!("/q/{job}"), spec);
        assert_eq!(status, 200, "{job}");
    }

    /// Returns the state of a job according to an entry; empty if the entry returns none.
    pub fn state(&self, to: SocketAddr, job: &str) -> String {
        let (_, body) = self.send(to, "GET", &format!("/q/{job}"), "");
        let value: Value = serde_json::from_str(&body).unwrap_or_default();
        value["state"].as_str().unwrap_or_default().into()
    }

    /// Waits until an entry reports that it is ready, and panics after `limit` ms.
    #[track_caller]
    pub fn wait_for_readiness(&self, ready: SocketAddr, limit: u64) {
        wait_until("readiness", limit, || {
            self.send(ready, "GET", "/readiness", "").0 == 200
        });
    }

    /// Submits a job until an entry accepts it, and panics after `limit` ms.
    #[track_caller]
    pub fn wait_for_acceptance(&self, to: SocketAddr, job: &str, spec: &str, limit: u64) {
        let path = format!("/q/{job}");
        wait_until(&format!("acceptance of {job}"), limit, || {
            self.send(to, "POST", &path, spec).0 == 200
        });
    }

    /// Waits until an entry shows a job as completed, and panics after `limit` ms.
    #[track_caller]
    pub fn wait_for_completion(&self, to: SocketAddr, job: &str, limit: u64) {
        wait_until(&format!("completion of {job}"), limit, || {
            self.state(to, job) == "completed"
        });
    }

    /// Lets a worker see the fencing token of a leader that the store does not show yet. The next
    /// leader has at least this token.
    pub fn fence(&self, worker: &str) {
        let token = Epoch(self.store.version() + 1);
        let mut cluster = self.cluster();
        let worker = cluster.workers.get_mut(worker).expect("the worker exists");
        assert!(worker.accept_token(token), "{token} is the highest token");
    }

    /// Starts a worker anew under its id and its address.
    pub fn restart(&self, worker: &str) {
        let now = u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.cluster().restart(worker, now);
    }

    /// Panics if a worker has observed a violation.
    pub fn assert_no_violations(&self) {
        let cluster = self.cluster();
        assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    }
}

/// Waits until a condition holds, and panics after `limit` ms.
#[track_caller]
pub fn wait_until(what: &str, limit: u64, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_millis(limit);
    while !condition() {
        assert!(
            Instant::now() < end,
            "{what}: condition did not hold within {limit} ms"
        );
        thread::sleep(Duration::from_millis(20));
    }
}
