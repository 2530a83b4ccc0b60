//! The platform's store: rows in tables, transactions, reads and feeds.

use std::collections::BTreeMap;
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
use crate::json::base64;
use crate::json::int;
use crate::json::obj;
use crate::json::str;

type Key = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    /// The value, its version, and whether the row is dropped.
    rows: BTreeMap<Key, (String, u64, bool)>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    begun: Instant,
    /// The bytes of the transactions that were refused for their size.
    pub refusals: Mutex<Vec<usize>>,
}

/// The time of a transaction.
const TRANSACTION: Duration = Duration::from_millis(3);
/// The most bytes and entries of a transaction.
const MAX_BYTES: usize = 1 << 20;
const MAX_ENTRIES: usize = 100;
/// The most bytes of a value in base64 (`rowBytes`).
const ROW_BYTES: usize = 65_536;
/// The version at the beginning: the store has served others before.
const FIRST_VERSION: u64 = 50_000;

impl Store {
    pub fn new() -> Arc<Store> {
        Arc::new(Store {
            state: Mutex::new(State {
                version: FIRST_VERSION,
                rows: BTreeMap::new(),
            }),
            changed: Condvar::new(),
            begun: Instant::now(),
            refusals: Mutex::default(),
        })
    }

    /// Starts a port of the store.
    pub fn serve(self: &Arc<Self>) -> Server {
        let store = Arc::clone(self);
        let handler: Handler = Arc::new(move |request| Some(store.answer(&request)));
        Server::start(0, handler)
    }

    /// Writes a row for the operator or a worker.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let mut state = self.state.lock().expect("lock");
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = base64(value.write().as_bytes());
        state.rows.insert(key, (value, version, false));
        drop(state);
        self.changed.notify_all();
    }

    /// Drops a row for the operator or a worker.
    pub fn drop_row(&self, table: &str, key: &str) {
        let mut state = self.state.lock().expect("lock");
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        if let Some(row) = state.rows.get_mut(&key) {
            *row = (String::new(), version, true);
        }
        drop(state);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.path.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("POST", "/rows-tx") => self.transact(&request.body),
            ("GET", "/rows-get") => self.read(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => (404, "{}".into()),
        }
    }

    fn page(&self, state: &State, rows: Vec<Json>, has_more: bool) -> String {
        let now = self.begun.elapsed().as_millis() as u64;
        obj(vec![
            ("rows", Json::Arr(rows)),
            ("hasMore", Json::Bool(has_more)),
            ("ver", int(state.version)),
            ("nowMs", int(now)),
        ])
        .write()
    }

    fn transact(&self, body: &str) -> (u16, String) {
        thread::sleep(TRANSACTION);
        let Some(call) = Json::read(body) else {
            return (400, "{}".into());
        };
        let lists = ["expectedRev", "puts", "remove"].map(|list| call.get(list).list());
        let entries: usize = lists.iter().map(|list| list.len()).sum();
        let mut puts = lists[1].iter();
        let is_long = puts.any(|row| row.get("value").text().len() > ROW_BYTES);
        if body.len() > MAX_BYTES || entries > MAX_ENTRIES || is_long {
            let text = format!("refused: {} bytes, {entries} entries", body.len());
            let mut refusals = self.refusals.lock().expect("lock");
            refusals.push(body.len());
            return (400, obj(vec![("error", str(text))]).write());
        }
        let mut state = self.state.lock().expect("lock");
        let expected = call.get("expectedRev").list();
        let present = |state: &State, key: &Key| {
            let row = state.rows.get(key).filter(|row| !row.2);
            row.map_or(0, |row| row.1)
        };
        if expected
            .iter()
            .any(|row| present(&state, &key_of(row)) != row.get("ver").u64())
        {
            let rows = expected.iter().filter_map(|row| {
                let key = key_of(row);
                let row = state.rows.get(&key).filter(|row| !row.2)?;
                Some(row_json(&key, row))
            });
            let rows = rows.collect();
            return (412, self.page(&state, rows, false));
        }
        state.version += 1;
        let version = state.version;
        for row in call.get("puts").list() {
            let value = row.get("value").text().to_owned();
            state.rows.insert(key_of(row), (value, version, false));
        }
        for row in call.get("remove").list() {
            if let Some(row) = state.rows.get_mut(&key_of(row)) {
                *row = (String::new(), version, true);
            }
        }
        let answer = self.page(&state, Vec::new(), false);
        drop(state);
        self.changed.notify_all();
        (200, answer)
    }

    fn read(&self, request: &Request) -> (u16, String) {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, target) = (request.parameter("from"), request.parameter("target"));
        let limit = request.parameter("limit").parse().unwrap_or(500).min(500);
        let state = self.state.lock().expect("lock");
        let mut found = state.rows.iter().filter(|(key, row)| {
            let is_within = key.2 >= from && (target.is_empty() || key.2 < target);
            !row.2 && key.0 == table && key.1 == part && is_within
        });
        let rows: Vec<Json> = found
            .by_ref()
            .take(limit)
            .map(|(key, row)| row_json(key, row))
            .collect();
        let has_more = found.next().is_some();
        (200, self.page(&state, rows, has_more))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("waitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().expect("lock");
        loop {
            let mut rows: Vec<(&Key, &(String, u64, bool))> = state
                .rows
                .iter()
                .filter(|(key, row)| key.0 == table && row.1 > after)
                .collect();
            let now = Instant::now();
            if !rows.is_empty() || now >= end {
                rows.sort_by_key(|(_, row)| row.1);
                let rows = rows.iter().map(|(key, row)| row_json(key, row)).collect();
                return (200, self.page(&state, rows, false));
            }
            state = self.changed.wait_timeout(state, end - now).expect("lock").0;
        }
    }
}

fn key_of(row: &Json) -> Key {
    (
        row.get("table").text().to_owned(),
        row.get("part").text().to_owned(),
        row.get("key").text().to_owned(),
    )
}

fn row_json(key: &Key, row: &(String, u64, bool)) -> Json {
    let mut fields = vec![
        ("table", str(&*key.0)),
        ("part", str(&*key.1)),
        ("key", str(&*key.2)),
        ("value", str(&*row.0)),
        ("ver", int(row.1)),
    ];
    if row.2 {
        fields.push(("deleted", Json::Bool(true)));
    }
    obj(fields)
}
