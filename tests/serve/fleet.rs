//! A stand-in platform on loopback: a store and workers, and entries as real processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use decision::resource::Size;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use link::Spawner;
use link::pool::Limits;
use link::pool::Pool;
use link::server::Server;
use scheduler::id::Epoch;
use scheduler::id::Run;
use scheduler::id::Task;
use scheduler::message::Outcome;
use scheduler::message::Termination;
use serde_json::Value;
use serde_json::json;
use smol::Timer;
use smol::net::TcpListener;

use crate::proxy::Proxy;
use crate::store::Store;
use crate::worker::Execution;
use crate::worker::Worker;

/// How long each task runs, in ms.
pub const WORK: u64 = 150;

/// How often an entry is started, and the time in which it takes its ports.
const MAX_STARTS: usize = 5;
const START: Duration = Duration::from_millis(150);

/// Workers and what broke a promise.
#[derive(Default)]
pub struct Floor {
    pub workers: BTreeMap<String, Worker>,
    pub done: BTreeMap<Task, u32>,
    pub broken: Vec<String>,
    pub lasts: bool,
}

/// A platform on loopback.
pub struct Fleet {
    spawner: Spawner,
    pub store: Store,
    pub floor: Arc<Mutex<Floor>>,
    pub store_proxy: Proxy,
    pub worker_proxies: Vec<Proxy>,
    begun: Instant,
    pool: Pool,
}

impl Fleet {
    /// Starts a store and workers of two cores.
    pub fn start(workers: usize) -> Self {
        let spawner = Spawner::default();
        let runner = Arc::clone(&spawner);
        thread::spawn(move || smol::block_on(runner.run(smol::future::pending::<()>())));
        let store = Store::new();
        let floor: Arc<Mutex<Floor>> = Arc::default();
        let begun = Instant::now();
        let served = store.clone();
        let store_address = serve(&spawner, move |path, query, body| {
            let store = served.clone();
            async move { store.answer(&path, &query, &body).await }
        });
        let store_proxy = Proxy::start(&spawner, store_address);
        let mut fleet = Self {
            spawner,
            store,
            floor,
            store_proxy,
            worker_proxies: Vec::new(),
            begun,
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
        let born = worker.incarnation.0;
        let mut floor = self.floor.lock().expect("no panic");
        floor.workers.insert(id.clone(), worker);
        drop(floor);
        let (shared, name, begun) = (Arc::clone(&self.floor), id.clone(), self.begun);
        let address = serve(&self.spawner, move |path, _, body| {
            let (shared, name) = (Arc::clone(&shared), name.clone());
            async move { answer(&shared, &name, begun, &path, &body).await }
        });
        let proxy = Proxy::start(&self.spawner, address);
        let row = json!({"service": "s", "address": proxy.address.to_string(), "zone": "z",
            "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seqNo": 1,
            "capacity": {"cpu": 2000, "memMb": 4000, "gpu": 0}, "labels": ["a", "r1"],
            "born": born});
        self.worker_proxies.push(proxy);
        self.store.put("servers", &id, &row.to_string());
    }

    /// Starts an entry as a process. A port that was free may be taken by an outgoing connection
    /// before the entry listens, so an entry that ends at once is started with other ports.
    pub fn entry(&self, name: &str) -> Entry {
        for _ in 0..MAX_STARTS {
            let mut entry = self.spawn(name);
            thread::sleep(START);
            if !entry.has_ended() {
                return entry;
            }
        }
        panic!("entry {name} does not stay up");
    }

    /// Starts an entry whose log nobody reads.
    pub fn entry_with_stuck_reader(&self, name: &str) -> (Entry, ChildStdout) {
        let mut entry = self.spawn_with(name, Some(Stdio::piped()));
        let log = entry.child.stdout.take().expect("the log is piped");
        (entry, log)
    }

    fn spawn(&self, name: &str) -> Entry {
        self.spawn_with(name, None)
    }

    fn spawn_with(&self, name: &str, output: Option<Stdio>) -> Entry {
        let free = || {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
            listener.local_addr().expect("an address")
        };
        let (customer, ready, peer) = (free(), free(), free());
        let text = format!(
            "[entry]\nname = {name}\nfailure_domain = z\n[listen]\ncustomer = {customer}\n\
             ready = {ready}\npeer = {peer}\n[platform]\nstore = {}\n[bounds]\nlease_ms = 6000\n\
             retention_s = 120\nharm_ms = 4000\nstop_s = 6\n",
            self.store_proxy.address
        );
        let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("serve-{name}-{}.ini", customer.port()));
        std::fs::write(&file, text).expect("a scratch file");
        let log_file = file.with_extension("log");
        let log = std::fs::File::create(&log_file).expect("a scratch file");
        let child = Command::new(env!("CARGO_BIN_EXE_samphiretrail"))
            .arg("serve")
            .env("SAMPHIRETRAIL_BOOT", &file)
            .stdout(output.unwrap_or_else(|| log.into()))
            .spawn()
            .expect("the binary runs");
        Entry {
            child,
            customer,
            ready,
            log: log_file,
        }
    }

    /// Sends a request of a customer; 0 stands for no answer.
    pub fn send(&self, to: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "a.example")
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .expect("a request");
        let answer = smol::block_on(self.pool.send(to, request, Duration::from_secs(3)));
        answer.map_or((0, String::new()), |answer| {
            let body = String::from_utf8_lossy(answer.body()).into_owned();
            (answer.status().as_u16(), body)
        })
    }

    /// The state of a job as an entry shows it.
    pub fn state(&self, to: SocketAddr, job: &str) -> String {
        let (_, body) = self.send(to, "GET", &format!("/q/{job}"), "");
        let value: Value = serde_json::from_str(&body).unwrap_or_default();
        value["state"].as_str().unwrap_or_default().into()
    }

    /// Panics if a promise was broken.
    pub fn assert_kept(&self) {
        let floor = self.floor.lock().expect("no panic");
        assert!(floor.broken.is_empty(), "{:?}", floor.broken);
    }
}

/// An entry process, killed when dropped.
pub struct Entry {
    child: Child,
    pub customer: SocketAddr,
    pub ready: SocketAddr,
    /// Where its log is written.
    pub log: PathBuf,
}

impl Entry {
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    pub fn has_ended(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the process is ours")
            .is_some()
    }

    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("the process is ours").code()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Waits until a condition holds, or panics.
pub fn wait(what: &str, limit: u64, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_millis(limit);
    while !holds() {
        assert!(Instant::now() < end, "{what} not within {limit} ms");
        thread::sleep(Duration::from_millis(20));
    }
}

fn serve<F>(
    spawner: &Spawner,
    answer: impl Fn(String, String, Value) -> F + Clone + Send + Sync + 'static,
) -> SocketAddr
where
    F: Future<Output = (StatusCode, Value)> + Send + 'static,
{
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
    let handler = move |request: Request<Incoming>| {
        let answer = answer.clone();
        async move {
            let path = request.uri().path().to_owned();
            let query = request.uri().query().unwrap_or_default().to_owned();
            let body = request.into_body().collect().await;
            let body = body.map(|body| body.to_bytes()).unwrap_or_default();
            let body = serde_json::from_slice(&body).unwrap_or_default();
            let (status, value) = answer(path, query, body).await;
            let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
            *response.status_mut() = status;
            response
        }
    };
    let server = Server::start(spawner, listener, link::server::Limits::default(), handler);
    let server = server.expect("a server");
    let address = server.address();
    // The stand-in lives as long as the test process.
    std::mem::forget(server);
    address
}

async fn answer(
    floor: &Mutex<Floor>,
    name: &str,
    begun: Instant,
    path: &str,
    body: &Value,
) -> (StatusCode, Value) {
    let now = || u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
    let token = Epoch(body["fencingToken"].as_u64().unwrap_or(0));
    let end = now() + body["waitMs"].as_u64().unwrap_or(0);
    loop {
        let now = now();
        {
            let mut floor = floor.lock().expect("no panic");
            floor.advance(now);
            if path != "/hold" {
                return floor.order(name, now, path, token, body);
            }
            let worker = floor.workers.get_mut(name).expect("a known worker");
            if !worker.accept_token(token) {
                return refused("fence");
            }
            if let Some(deadline) = body["deadlineMs"].as_u64() {
                worker.extend_lease(now, deadline);
            }
            let upto = body["ackedUpto"].as_u64().unwrap_or(0);
            worker.ends.retain(|end| end.number > upto);
            if !worker.ends.is_empty() || now >= end {
                return (StatusCode::OK, held(worker, now));
            }
        }
        Timer::after(Duration::from_millis(5)).await;
    }
}

fn refused(reason: &str) -> (StatusCode, Value) {
    (
        StatusCode::CONFLICT,
        json!({"clockMs": 0, "reason": reason}),
    )
}

fn held(worker: &Worker, now: u64) -> Value {
    let running: Vec<Value> = worker
        .executions
        .iter()
        .map(|(task, busy)| json!([task.to_string(), busy.run.0, "", 0, 0]))
        .collect();
    let ended: Vec<Value> = worker
        .ends
        .iter()
        .map(|end| {
            let how = match end.termination {
                Termination::Done => "done",
                Termination::Stopped => "stopped",
                Termination::Lapsed => "lapsed",
                _ => "failed",
            };
            json!([end.number, end.task.to_string(), end.run.0, how, ""])
        })
        .collect();
    json!({"clockMs": worker.clock(now), "born": worker.incarnation.0, "running": running, "ended": ended})
}

impl Floor {
    fn advance(&mut self, now: u64) {
        for worker in self.workers.values_mut() {
            for (task, how) in worker.advance(now) {
                if how == Termination::Done {
                    *self.done.entry(task).or_default() += 1;
                }
            }
        }
    }

    fn order(
        &mut self,
        name: &str,
        now: u64,
        path: &str,
        token: Epoch,
        body: &Value,
    ) -> (StatusCode, Value) {
        let task: Task = body["task"]
            .as_str()
            .unwrap_or_default()
            .parse()
            .expect("a task");
        let run = Run(body["runId"].as_u64().unwrap_or(0));
        let elsewhere = self
            .workers
            .iter()
            .any(|(other, worker)| other != name && worker.executions.contains_key(&task));
        let is_done = self.done.contains_key(&task);
        let lasts = self.lasts;
        let worker = self.workers.get_mut(name).expect("a known worker");
        if !worker.accept_token(token) {
            return refused("fence");
        }
        let outcome = match path {
            "/run-start" => {
                let busy = Execution {
                    run,
                    ends_at: now + if lasts { 1_000_000 } else { WORK },
                    termination: Termination::Done,
                    size: Size {
                        millicores: 500,
                        memory_mb: 100,
                        accelerators: 0,
                    },
                };
                let deadline = body["deadlineMs"].as_u64().unwrap_or(0);
                let outcome = worker.start(now, task, busy, deadline);
                let is_over = !worker.booked().fits(worker.size);
                if outcome == Outcome::Done && (elsewhere || is_done || is_over) {
                    let what = format!(
                        "{now}: {task} on {name}: elsewhere={elsewhere} done={is_done} over={is_over}"
                    );
                    self.broken.push(what);
                }
                outcome
            }
            _ => worker.stop(now, task, run),
        };
        match outcome {
            Outcome::Done => (StatusCode::OK, json!({"clockMs": 0})),
            Outcome::Late => refused("late"),
            _ => refused("old"),
        }
    }
}
