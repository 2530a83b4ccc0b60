//! A fake platform on loopback with a store and workers, and entries as real processes.

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

/// How long each task runs unless [`Cluster::runs_forever`] is set.
pub const RUN_MS: u64 = 150;

/// Attempts to start an entry whose ports may be taken before it listens.
const MAX_START_ATTEMPTS: usize = 5;
/// The time within which an entry whose port is taken has exited.
const START_TIME: Duration = Duration::from_millis(150);

/// The state of all workers, and the violations of invariants that they have observed.
#[derive(Default)]
pub struct Cluster {
    pub workers: BTreeMap<String, Worker>,
    /// How often each task has completed.
    pub done: BTreeMap<Task, u32>,
    /// Starts of a task that was running elsewhere or done, or that exceeded the worker's capacity.
    pub violations: Vec<String>,
    /// Whether tasks that start now run until they are stopped.
    pub runs_forever: bool,
    /// Which polls are held back; `None` answers all.
    pub held_polls: Option<HeldPolls>,
    /// How often a call with this fencing token was refused because the worker had seen a higher
    /// one.
    pub fenced_calls: BTreeMap<Epoch, u32>,
    /// The time of the last poll that extended a lease, by its fencing token.
    pub renewed_at: BTreeMap<Epoch, Instant>,
}

/// Holds back the polls of the leader of one epoch until a later leader polls, whose own polls get
/// no answer.
pub struct HeldPolls {
    pub epoch: Epoch,
    /// Whether a poll of a later leader has arrived.
    pub has_later: bool,
    /// The number of held polls that have been answered since.
    pub answered: u32,
}

impl HeldPolls {
    pub const fn of(epoch: Epoch) -> Self {
        Self {
            epoch,
            has_later: false,
            answered: 0,
        }
    }

    /// Returns whether a poll with this fencing token may be answered now.
    fn may_answer(&mut self, token: Epoch) -> bool {
        self.has_later |= token > self.epoch;
        self.has_later && token <= self.epoch
    }
}

/// A fake platform on loopback and a client of its entries.
pub struct Fleet {
    spawner: Spawner,
    pub store: Store,
    pub cluster: Arc<Mutex<Cluster>>,
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
        let store_address = serve(&spawner, move |path, query, body| {
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
        let born = worker.incarnation.0;
        let mut cluster = self.cluster.lock().expect("no holder of this lock panics");
        cluster.workers.insert(id.clone(), worker);
        drop(cluster);
        let (shared, name, started_at) = (Arc::clone(&self.cluster), id.clone(), self.started_at);
        let address = serve(&self.spawner, move |path, _, body| {
            let (shared, name) = (Arc::clone(&shared), name.clone());
            async move { respond(&shared, &name, started_at, &path, &body).await }
        });
        let proxy = Proxy::start(&self.spawner, address);
        let row = json!({"service": "s", "address": proxy.address.to_string(), "zone": "z",
            "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seqNo": 1,
            "capacity": {"cpu": 2000, "memMb": 4000, "gpu": 0}, "labels": ["a", "r1"],
            "born": born});
        self.worker_proxies.push(proxy);
        self.store.put("servers", &id, &row.to_string());
    }

    /// Starts an entry as a process. An outgoing connection may take one of its ports before the
    /// entry listens, so an entry that exits at once is started again with other ports.
    pub fn entry(&self, name: &str) -> Entry {
        for _ in 0..MAX_START_ATTEMPTS {
            let mut entry = self.spawn(name);
            thread::sleep(START_TIME);
            if !entry.has_ended() {
                return entry;
            }
        }
        panic!("entry {name} exited after each of {MAX_START_ATTEMPTS} starts");
    }

    /// Starts an entry whose standard output is a pipe that the caller may leave unread.
    pub fn entry_with_unread_log(&self, name: &str) -> (Entry, ChildStdout) {
        let mut entry = self.spawn_with(name, Some(Stdio::piped()));
        let log = entry.child.stdout.take().expect("standard output is piped");
        (entry, log)
    }

    fn spawn(&self, name: &str) -> Entry {
        self.spawn_with(name, None)
    }

    fn spawn_with(&self, name: &str, output: Option<Stdio>) -> Entry {
        let free = || {
            let listener =
                std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
            listener.local_addr().expect("the listener has an address")
        };
        let (customer, ready, peer, metrics) = (free(), free(), free(), free());
        let text = format!(
            "[entry]\nname = {name}\nfailure_domain = z\n[listen]\ncustomer = {customer}\n\
             ready = {ready}\npeer = {peer}\nmetrics = {metrics}\n[platform]\nstore = {}\n\
             [bounds]\nlease_ms = 6000\nretention_s = 120\nharm_ms = 4000\nstop_s = 6\n",
            self.store_proxy.address
        );
        let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("serve-{name}-{}.ini", customer.port()));
        std::fs::write(&file, text).expect("the scratch file can be written");
        let log_file = file.with_extension("log");
        let log = std::fs::File::create(&log_file).expect("the scratch file can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_samphiretrail"))
            .arg("serve")
            .env("SAMPHIRETRAIL_BOOT", &file)
            .stdout(output.unwrap_or_else(|| log.into()))
            .spawn()
            .expect("the binary can be started");
        Entry {
            child,
            customer,
            ready,
            metrics,
            log: log_file,
        }
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

    /// Returns the state of a job according to an entry; empty if the entry returns none.
    pub fn state(&self, to: SocketAddr, job: &str) -> String {
        let (_, body) = self.send(to, "GET", &format!("/q/{job}"), "");
        let value: Value = serde_json::from_str(&body).unwrap_or_default();
        value["state"].as_str().unwrap_or_default().into()
    }

    /// Lets a worker see the fencing token of a leader that the store does not show yet. The next
    /// leader has at least this token.
    pub fn fence(&self, worker: &str) {
        let token = Epoch(self.store.version() + 1);
        let mut cluster = self.cluster.lock().expect("no holder of this lock panics");
        let worker = cluster.workers.get_mut(worker).expect("the worker exists");
        assert!(worker.accept_token(token), "{token} is the highest token");
    }

    /// Panics if a worker has observed a violation.
    pub fn assert_no_violations(&self) {
        let cluster = self.cluster.lock().expect("no holder of this lock panics");
        assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    }
}

/// An entry process, which is killed on drop.
pub struct Entry {
    child: Child,
    pub customer: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    /// The file that its log is written to.
    pub log: PathBuf,
}

impl Entry {
    /// Returns what the entry has logged so far.
    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("the kill command runs").success());
    }

    pub fn has_ended(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the entry is a child of this process")
            .is_some()
    }

    pub fn wait(&mut self) -> Option<i32> {
        self.child
            .wait()
            .expect("the entry is a child of this process")
            .code()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Waits until a condition holds, and panics after `limit` ms.
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

fn serve<F>(
    spawner: &Spawner,
    respond: impl Fn(String, String, Value) -> F + Clone + Send + Sync + 'static,
) -> SocketAddr
where
    F: Future<Output = (StatusCode, Value)> + Send + 'static,
{
    let listener =
        smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a loopback port is free");
    let handler = move |request: Request<Incoming>| {
        let respond = respond.clone();
        async move {
            let path = request.uri().path().to_owned();
            let query = request.uri().query().unwrap_or_default().to_owned();
            let body = request.into_body().collect().await;
            let body = body.map(|body| body.to_bytes()).unwrap_or_default();
            let body = serde_json::from_slice(&body).unwrap_or_default();
            let (status, value) = respond(path, query, body).await;
            let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
            *response.status_mut() = status;
            response
        }
    };
    let server = Server::start(spawner, listener, link::server::Limits::default(), handler);
    let server = server.expect("the server starts");
    let address = server.address();
    // Forgetting the server keeps it running until the test process exits.
    std::mem::forget(server);
    address
}

async fn respond(
    cluster: &Mutex<Cluster>,
    name: &str,
    started_at: Instant,
    path: &str,
    body: &Value,
) -> (StatusCode, Value) {
    let now = || u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    let token = Epoch(body["fencingToken"].as_u64().unwrap_or(0));
    let end = now() + body["waitMs"].as_u64().unwrap_or(0);
    loop {
        let now = now();
        {
            let mut cluster = cluster.lock().expect("no holder of this lock panics");
            cluster.advance(now);
            if path != "/hold" {
                return cluster.order(name, now, path, token, body);
            }
            if let Some(response) = cluster.poll(name, now, end, token, body) {
                return response;
            }
        }
        Timer::after(Duration::from_millis(5)).await;
    }
}

fn refusal(reason: &str) -> (StatusCode, Value) {
    (
        StatusCode::CONFLICT,
        json!({"clockMs": 0, "reason": reason}),
    )
}

fn status_json(worker: &Worker, now: u64) -> Value {
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

impl Cluster {
    fn advance(&mut self, now: u64) {
        for worker in self.workers.values_mut() {
            for (task, how) in worker.advance(now) {
                if how == Termination::Done {
                    *self.done.entry(task).or_default() += 1;
                }
            }
        }
    }

    /// Returns the response to a poll, or `None` while the poll waits.
    fn poll(
        &mut self,
        name: &str,
        now: u64,
        end: u64,
        token: Epoch,
        body: &Value,
    ) -> Option<(StatusCode, Value)> {
        let held = self.held_polls.as_mut();
        if held.is_some_and(|held| !held.may_answer(token)) {
            return None;
        }
        let worker = self.workers.get_mut(name).expect("the worker exists");
        if !worker.accept_token(token) {
            return Some(self.refuse_token(token));
        }
        if let Some(deadline) = body["deadlineMs"].as_u64() {
            worker.extend_lease(now, deadline);
            self.renewed_at.insert(token, Instant::now());
        }
        let upto = body["ackedUpto"].as_u64().unwrap_or(0);
        worker.ends.retain(|end| end.number > upto);
        if worker.ends.is_empty() && now < end {
            return None;
        }
        if let Some(held) = &mut self.held_polls {
            held.answered += 1;
        }
        Some((StatusCode::OK, status_json(worker, now)))
    }

    fn refuse_token(&mut self, token: Epoch) -> (StatusCode, Value) {
        *self.fenced_calls.entry(token).or_default() += 1;
        refusal("fence")
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
            .expect("the task id is valid");
        let run = Run(body["runId"].as_u64().unwrap_or(0));
        let runs_elsewhere = self
            .workers
            .iter()
            .any(|(other, worker)| other != name && worker.executions.contains_key(&task));
        let is_done = self.done.contains_key(&task);
        let runs_forever = self.runs_forever;
        let worker = self.workers.get_mut(name).expect("the worker exists");
        if !worker.accept_token(token) {
            return self.refuse_token(token);
        }
        let outcome = match path {
            "/run-start" => {
                let busy = Execution {
                    run,
                    ends_at: now + if runs_forever { 1_000_000 } else { RUN_MS },
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
                if outcome == Outcome::Done && (runs_elsewhere || is_done || is_over) {
                    let what = format!(
                        "{task} started on {name} at {now} ms: runs elsewhere: {runs_elsewhere}, \
                         done before: {is_done}, exceeds capacity: {is_over}"
                    );
                    self.violations.push(what);
                }
                outcome
            }
            _ => worker.stop(now, task, run),
        };
        match outcome {
            Outcome::Done => (StatusCode::OK, json!({"clockMs": 0})),
            Outcome::Late => refusal("late"),
            _ => refusal("old"),
        }
    }
}
