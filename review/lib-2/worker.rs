//! Workers, which run tasks under leases and register in the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Handler;
use crate::http::Request;
use crate::http::Server;
use crate::json::Json;
use crate::json::int;
use crate::json::num;
use crate::json::obj;
use crate::json::str;
use crate::record::Record;
use crate::record::unix;
use crate::store::Store;

/// The interval at which a worker registers (`heartbeatMs`).
const REGISTER: Duration = Duration::from_millis(1_100);
/// The most ends that are listed at a time.
const MAX_LISTED: usize = 500;
/// The longest lease (`holdMaxMs`).
const HOLD_MAX: u64 = 6_000;
/// The longest time that a stop takes is `stopGraceMs`; it takes half of that here.
const STOP_TIME: u64 = 450;

/// How a task behaves on a worker.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// How long it works, in ms; `None` for one that lasts.
    pub work: Option<u64>,
    /// It ends `failed`.
    pub fails: bool,
    /// The tail of its response times without others beside it, in ms; 0 for one that serves nobody.
    pub tail: f64,
    /// How much it adds to the tails beside it at full pace, as a factor.
    pub disturbs: f64,
    /// The thousandths of a core that it uses at full pace.
    pub uses: f64,
}

/// Returns how a task behaves, by its name.
pub type Behave = Arc<dyn Fn(&str) -> Behaviour + Send + Sync>;

struct Execution {
    run: u64,
    behaviour: Behaviour,
    done: f64,
    pace: f64,
    stops_at: Option<u64>,
}

struct Life {
    id: String,
    born: u64,
    begun: Instant,
    token: u64,
    lease: u64,
    advanced: u64,
    running: BTreeMap<String, Execution>,
    /// The highest run that was stopped or ended, by task.
    over: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    state: &'static str,
    sequence: u64,
}

pub struct Worker {
    pub name: String,
    pub rack: String,
    pub cpu: u32,
    service: String,
    store: Arc<Store>,
    record: Arc<Record>,
    behave: Behave,
    life: Mutex<Option<Life>>,
    ended: Condvar,
    server: Mutex<Option<Server>>,
    port: Mutex<u16>,
    lives: Mutex<u32>,
    /// All tasks that it has begun, in any life.
    begun: Mutex<BTreeSet<String>>,
    /// The first label.
    pub kind: Mutex<String>,
    /// It refuses orders on the pace of tasks, as an unhealthy worker.
    pub refuses_pace: Mutex<bool>,
    /// How many times as long its tasks take, also those that serve.
    pub slowness: Mutex<f64>,
}

impl Worker {
    pub fn new(
        name: String,
        rack: String,
        service: &str,
        cpu: u32,
        store: &Arc<Store>,
        record: &Arc<Record>,
        behave: &Behave,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            name,
            rack,
            cpu,
            service: service.to_owned(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            behave: Arc::clone(behave),
            life: Mutex::new(None),
            ended: Condvar::new(),
            server: Mutex::new(None),
            port: Mutex::new(0),
            lives: Mutex::new(0),
            begun: Mutex::new(BTreeSet::new()),
            kind: Mutex::new("a".into()),
            refuses_pace: Mutex::new(false),
            slowness: Mutex::new(1.0),
        });
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            let mut registered = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(10));
                ticking.advance();
                if registered.elapsed() >= REGISTER {
                    registered = Instant::now();
                    ticking.register();
                }
            }
        });
        worker
    }

    /// Begins a life, which has an id of its own.
    pub fn start(self: &Arc<Self>) {
        let number = {
            let mut lives = self.lives.lock().expect("lock");
            *lives += 1;
            *lives
        };
        let id = format!("i-{}-{number}", self.name);
        *self.life.lock().expect("lock") = Some(Life {
            id: id.clone(),
            born: unix(),
            begun: Instant::now(),
            token: 0,
            lease: 0,
            advanced: 0,
            running: BTreeMap::new(),
            over: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            state: "ready",
            sequence: 0,
        });
        let worker = Arc::clone(self);
        let handler: Handler = Arc::new(move |request| worker.answer(&request));
        let mut port = self.port.lock().expect("lock");
        let server = Server::start(*port, handler);
        *port = server.address.port();
        drop(port);
        *self.server.lock().expect("lock") = Some(server);
        self.record
            .line(&format!("worker {} starts as {id}", self.name));
        self.register();
    }

    /// Crashes: its connections are closed, its port is closed, and what it ran is lost.
    pub fn crash(&self) {
        let life = self.life.lock().expect("lock").take();
        let mut server = self.server.lock().expect("lock").take();
        if let Some(server) = &mut server {
            server.stop();
        }
        if let Some(life) = life {
            let lost: Vec<String> = life
                .running
                .iter()
                .map(|(task, execution)| format!("{task} run {}", execution.run))
                .collect();
            let lost = if lost.is_empty() {
                "nothing".into()
            } else {
                lost.join(", ")
            };
            self.record
                .line(&format!("worker {} crashes; it ran {lost}", life.id));
            // Its entry is removed after three heartbeat intervals of silence.
            let (store, id) = (Arc::clone(&self.store), life.id);
            thread::spawn(move || {
                thread::sleep(REGISTER * 3);
                store.drop_row("servers", &id);
            });
        }
        self.ended.notify_all();
    }

    /// Returns the runs in progress: task, run, pace and share of the work that is done.
    pub fn runs(&self) -> Vec<(String, u64, f64, f64)> {
        let life = self.life.lock().expect("lock");
        let Some(life) = life.as_ref() else {
            return Vec::new();
        };
        let runs = life.running.iter().map(|(task, execution)| {
            let work = execution.behaviour.work.unwrap_or(u64::MAX) as f64;
            (
                task.clone(),
                execution.run,
                execution.pace,
                execution.done / work,
            )
        });
        runs.collect()
    }

    /// Returns whether it has begun a task, in any life.
    pub fn has_begun(&self, task: &str) -> bool {
        self.begun.lock().expect("lock").contains(task)
    }

    pub fn register(&self) {
        let port = *self.port.lock().expect("lock");
        let kind = self.kind.lock().expect("lock").clone();
        let mut life = self.life.lock().expect("lock");
        let Some(life) = life.as_mut() else {
            return;
        };
        life.sequence += 1;
        let entry = obj(vec![
            ("service", str(&*self.service)),
            ("address", str(format!("127.0.0.1:{port}"))),
            ("zone", str("z-a")),
            ("version", str("1")),
            ("slots", int(8)),
            ("state", str(life.state)),
            ("coldLeftMs", int(0)),
            ("seqNo", int(life.sequence)),
            ("born", int(life.born)),
            ("machine", str(&*self.name)),
            (
                "capacity",
                obj(vec![
                    ("cpu", num(self.cpu)),
                    ("memMb", int(64_000)),
                    ("gpu", int(0)),
                ]),
            ),
            ("labels", Json::Arr(vec![str(&*kind), str(&*self.rack)])),
        ]);
        self.store.put("servers", &life.id, &entry);
    }

    /// Brings the tasks to the present.
    fn advance(&self) {
        let slowness = *self.slowness.lock().expect("lock");
        let mut life = self.life.lock().expect("lock");
        let Some(life) = life.as_mut() else {
            return;
        };
        let now = life.begun.elapsed().as_millis() as u64;
        let passed = (now - life.advanced) as f64;
        life.advanced = now;
        let has_lapsed = now > life.lease;
        let mut over: Vec<(String, &'static str)> = Vec::new();
        for (task, execution) in &mut life.running {
            execution.done += passed * execution.pace / 100.0 / slowness;
            let work = execution.behaviour.work;
            let is_finished = work.is_some_and(|work| execution.done >= work as f64);
            let how = if execution.stops_at.is_some_and(|at| now >= at) {
                "stopped"
            } else if has_lapsed {
                "lapsed"
            } else if is_finished && execution.behaviour.fails {
                "failed"
            } else if is_finished {
                "done"
            } else {
                continue;
            };
            over.push((task.clone(), how));
        }
        let is_any = !over.is_empty();
        for (task, how) in over {
            let Some(execution) = life.running.remove(&task) else {
                continue;
            };
            life.last_end += 1;
            let run = execution.run;
            let highest = life.over.entry(task.clone()).or_default();
            *highest = (*highest).max(run);
            self.record
                .line(&format!("worker {} ends {task} run {run} {how}", life.id));
            life.ended.push((life.last_end, task, run, how));
        }
        if is_any {
            self.ended.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        let body = Json::read(&request.body).unwrap_or(Json::Null);
        let mut guard = self.life.lock().expect("lock");
        let id = guard.as_ref()?.id.clone();
        if request.header("Expect-Instance") != id {
            return Some((421, "{}".into()));
        }
        let life = guard.as_mut()?;
        let now = life.begun.elapsed().as_millis() as u64;
        let token = body.get("fencingToken").u64();
        if token < life.token {
            return Some((409, refused(now, "fence")));
        }
        life.token = token;
        let task = body.get("task").text().to_owned();
        let run = body.get("runId").u64();
        match request.path.as_str() {
            "/run-start" => {
                let deadline = body.get("deadlineMs").u64();
                if now > deadline {
                    return Some((409, refused(now, "late")));
                }
                life.lease = life.lease.max(deadline.min(now + HOLD_MAX));
                let present = life.running.get(&task).map(|execution| execution.run);
                if present == Some(run) {
                    return Some((200, clock(now)));
                }
                if present.is_some_and(|present| run < present)
                    || life.over.get(&task).is_some_and(|&over| run <= over)
                {
                    return Some((409, refused(now, "old")));
                }
                let behaviour = (self.behave)(&task);
                self.record
                    .line(&format!("worker {id} starts {task} run {run}"));
                let execution = Execution {
                    run,
                    behaviour,
                    done: 0.0,
                    pace: 100.0,
                    stops_at: None,
                };
                self.begun.lock().expect("lock").insert(task.clone());
                life.running.insert(task, execution);
                Some((200, clock(now)))
            }
            "/run-stop" => {
                let over = life.over.entry(task.clone()).or_default();
                *over = (*over).max(run);
                if let Some(execution) = life.running.get_mut(&task).filter(|it| it.run == run) {
                    execution.stops_at.get_or_insert(now + STOP_TIME);
                    self.record
                        .line(&format!("worker {id} is told to stop {task} run {run}"));
                }
                Some((200, clock(now)))
            }
            "/pace" if *self.refuses_pace.lock().expect("lock") => {
                self.record
                    .line(&format!("worker {id} refuses the pace of {task} with 503"));
                Some((503, clock(now)))
            }
            "/pace" => {
                let percent = body.get("percent").u64();
                if let Some(execution) = life.running.get_mut(&task).filter(|it| it.run == run) {
                    execution.pace = percent as f64;
                    self.record
                        .line(&format!("worker {id} paces {task} run {run} at {percent}"));
                }
                Some((200, clock(now)))
            }
            "/hold" => {
                let acknowledged = body.get("ackedUpto").u64();
                life.ended.retain(|end| end.0 > acknowledged);
                let deadline = body.get("deadlineMs").u64();
                if deadline > 0 {
                    life.lease = life.lease.max(deadline.min(now + HOLD_MAX));
                }
                let end =
                    Instant::now() + Duration::from_millis(body.get("waitMs").u64().min(2_000));
                loop {
                    let life = guard.as_ref().filter(|life| life.id == id)?;
                    let left = end.saturating_duration_since(Instant::now());
                    if !life.ended.is_empty() || left.is_zero() {
                        let slowness = *self.slowness.lock().expect("lock");
                        return Some((200, report(life, slowness)));
                    }
                    guard = self.ended.wait_timeout(guard, left).expect("lock").0;
                }
            }
            _ => Some((404, "{}".into())),
        }
    }
}

/// Returns the tail of a task that serves, as a multiple of its own.
fn tail(life: &Life, task: &str) -> f64 {
    let others = life.running.iter().filter(|(name, _)| *name != task);
    let disturbance: f64 = others
        .map(|(_, execution)| execution.behaviour.disturbs * execution.pace / 100.0)
        .sum();
    1.0 + disturbance
}

fn clock(now: u64) -> String {
    obj(vec![("clockMs", int(now))]).write()
}

fn refused(now: u64, reason: &str) -> String {
    obj(vec![("clockMs", int(now)), ("reason", str(reason))]).write()
}

fn report(life: &Life, slowness: f64) -> String {
    let running = life.running.iter().map(|(task, execution)| {
        let percent = match execution.behaviour.work {
            Some(work) => (execution.done * 100.0 / work as f64).min(99.0).floor(),
            None => 100.0,
        };
        let figure = if execution.behaviour.tail > 0.0 {
            (execution.behaviour.tail * slowness * tail(life, task)).round()
        } else {
            (execution.behaviour.uses * execution.pace / 100.0).round()
        };
        let (run, percent) = (int(execution.run), num(percent));
        Json::Arr(vec![str(&**task), run, str(""), percent, num(figure)])
    });
    let ended = life
        .ended
        .iter()
        .take(MAX_LISTED)
        .map(|(number, task, run, how)| {
            Json::Arr(vec![
                int(*number),
                str(&**task),
                int(*run),
                str(*how),
                str(""),
            ])
        });
    obj(vec![
        ("clockMs", int(life.begun.elapsed().as_millis() as u64)),
        ("born", int(life.born)),
        ("running", Json::Arr(running.collect())),
        ("ended", Json::Arr(ended.collect())),
    ])
    .write()
}
