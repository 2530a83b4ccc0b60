//! A small deployment: the store, workers, and entries of the project as processes.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Server;
use crate::json::Json;
use crate::json::int;
use crate::json::obj;
use crate::json::str;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Behave;
use crate::worker::Worker;

/// The program of the deploy file.
const PROGRAM: &str = "target/release/samphiretrail";
pub const SERVICE: &str = "svc-main";
pub const HOST: &str = "q.example";

pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
    _store: Server,
}

impl Entry {
    pub fn start(&mut self, record: &Record) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("the log is in the temporary folder");
        let child = Command::new(PROGRAM)
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => {
                eprintln!("{PROGRAM} does not start: {error}");
                std::process::exit(2);
            }
        }
        record.line(&format!("entry {} starts", self.name));
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub entries: Vec<Entry>,
    folder: PathBuf,
}

/// Returns a free port below those that connections get by themselves. Plays at the same time begin at
/// different ones.
fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let begin = 20_000 + (std::process::id() % 700) as u16 * 16;
    loop {
        let port = begin + NEXT.fetch_add(1, Ordering::SeqCst) % 500;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Fleet {
    pub fn start(
        record: Arc<Record>,
        entries: usize,
        workers: usize,
        advice: Option<SocketAddr>,
        behave: &Behave,
    ) -> Fleet {
        Self::with_kinds(record, entries, workers, 0, advice, behave)
    }

    /// Starts a deployment in which this many of the workers are of kind b, and the others of kind a.
    pub fn with_kinds(
        record: Arc<Record>,
        entries: usize,
        workers: usize,
        of_kind_b: usize,
        advice: Option<SocketAddr>,
        behave: &Behave,
    ) -> Fleet {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::new();
        let workers: Vec<Arc<Worker>> = (0..workers)
            .map(|n| {
                let (name, rack) = (format!("w{n}"), format!("r{}", n / 4));
                Worker::new(name, rack, SERVICE, 16_000, &store, &record, behave)
            })
            .collect();
        for worker in &workers[..of_kind_b] {
            *worker.kind.lock().expect("lock") = "b".into();
        }
        workers.iter().for_each(Worker::start);
        let entries = (0..entries).map(|n| {
            let server = store.serve();
            let name = format!("front-z-a-{n}");
            let front = SocketAddr::from(([127, 0, 0, 1], free_port()));
            let settings = folder.join(format!("{name}.ini"));
            let text = format!(
                "[entry]\nname = {name}\nfailure_domain = z-a\nprocessor_share = 0.25\nlog = info\n\n\
                 [listen]\ncustomer = {front}\nready = 127.0.0.1:{}\npeer = 127.0.0.1:{}\n\
                 metrics = 127.0.0.1:{}\n\n\
                 [platform]\nstore = {}\nadvice = {}\nrow_bytes = 65536\n\n\
                 [bounds]\nlease_ms = 6000\nretention_s = 120\nharm_ms = 4000\nstop_s = 6\n",
                free_port(),
                free_port(),
                free_port(),
                server.address,
                advice.map_or_else(String::new, |address| address.to_string()),
            );
            fs::write(&settings, text).expect("the settings are in the temporary folder");
            Entry {
                name,
                front,
                settings,
                child: None,
                _store: server,
            }
        });
        let entries = entries.collect();
        let mut fleet = Fleet {
            record,
            store,
            workers,
            entries,
            folder,
        };
        for entry in &mut fleet.entries {
            entry.start(&fleet.record);
        }
        fleet
    }

    /// Writes a configuration as the operator does.
    pub fn configure(&self, version: u64, routes: Vec<Json>) {
        let names: Vec<&str> = routes
            .iter()
            .map(|route| route.get("name").text())
            .collect();
        self.record.line(&format!(
            "operator writes version {version} with {}",
            names.join(", ")
        ));
        let config = obj(vec![
            ("version", int(version)),
            ("routes", Json::Arr(routes)),
            (
                "services",
                Json::Arr(vec![obj(vec![
                    ("name", str(SERVICE)),
                    ("enforcesCapacity", Json::Bool(false)),
                ])]),
            ),
            ("limits", obj(vec![])),
        ]);
        self.store.put("op", "config", &config);
    }

    /// Makes a call of a client and records it. The clients use each entry in turn.
    pub fn call(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let entry = &self.entries[entry % self.entries.len()];
        let limit = Duration::from_millis(3_000);
        let answer = http::call(entry.front, method, HOST, path, body, limit);
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".into(),
        };
        self.record.line(&format!(
            "client {method} {path} at {}{}{body} -> {shown}",
            entry.name,
            if body.is_empty() { "" } else { " " },
        ));
        answer
    }

    /// Submits a job, again and again until it is accepted; returns whether it was within 10 s.
    pub fn submit(&self, path: &str, body: &str) -> bool {
        (0..50).any(|turn| {
            if turn > 0 {
                thread::sleep(Duration::from_millis(200));
            }
            matches!(self.call(turn, "POST", path, body), Some((200..=299, _)))
        })
    }

    /// Returns the state of a job, asked of any entry.
    pub fn state(&self, path: &str) -> Option<String> {
        (0..self.entries.len()).find_map(|entry| match self.call(entry, "GET", path, "") {
            Some((200, body)) => Some(Json::read(&body)?.get("state").text().to_owned()),
            Some((410, _)) => Some("410".into()),
            _ => None,
        })
    }

    /// Returns the worker that runs a task, and the run.
    pub fn find(&self, task: &str) -> Option<(usize, u64)> {
        self.workers.iter().enumerate().find_map(|(index, worker)| {
            let runs = worker.runs();
            let found = runs.iter().find(|run| run.0 == task)?;
            Some((index, found.1))
        })
    }

    /// Waits until a condition holds; returns whether it did within `limit` ms.
    pub fn wait(&self, limit: u64, mut condition: impl FnMut(&Fleet) -> bool) -> bool {
        let end = self.record.now() + limit;
        while self.record.now() < end {
            if condition(self) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Waits until the entries serve a queue; returns whether they do.
    pub fn is_served(&self, path: &str) -> bool {
        let is_served = self.wait(20_000, |fleet| {
            thread::sleep(Duration::from_millis(300));
            (0..fleet.entries.len())
                .all(|entry| matches!(fleet.call(entry, "GET", path, ""), Some((200, _))))
        });
        if !is_served {
            self.record.line("the entries do not serve");
        }
        is_served
    }

    fn keep_logs(&self) {
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            for entry in &self.entries {
                let _ = fs::write(format!("{folder}/{}.log", entry.name), entry.log());
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.keep_logs();
        for entry in &mut self.entries {
            if let Some(mut child) = entry.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a route of the configuration.
pub fn route(name: &str, prefix: &str, attempts: u64) -> Json {
    ranked_route(name, prefix, attempts, 0)
}

/// Returns a route of the configuration with this priority; 0 comes first.
pub fn ranked_route(name: &str, prefix: &str, attempts: u64, priority: u64) -> Json {
    obj(vec![
        ("name", str(name)),
        ("host", str(HOST)),
        ("pathPrefix", str(prefix)),
        ("service", str(SERVICE)),
        ("priority", int(priority)),
        ("maxAttempts", int(attempts)),
        ("stretch", Json::Num(2.0)),
        ("targetLatencyMs", int(1_000)),
    ])
}
