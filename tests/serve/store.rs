//! A fake of the platform's store with versioned rows, transactions and feeds.

use std::collections::BTreeMap;
use std::mem;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use smol::Timer;

/// How long a delayed write is held back. It is longer than the time limit of the writer.
const WRITE_DELAY: Duration = Duration::from_millis(2_500);
/// The time within which a client that follows a table begins another feed call.
const FEED_INTERVAL: Duration = Duration::from_millis(5_000);

/// The table, part and key of a row.
type RowKey = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    /// Values in base64 with their versions. A removed row has no value.
    rows: BTreeMap<RowKey, (Option<String>, u64)>,
}

/// An in-memory store with switchable faults.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    started_at: Instant,
    is_silent: Arc<AtomicBool>,
    delays_progress: Arc<AtomicBool>,
    delays_acceptance: Arc<AtomicBool>,
    refuses_writes: Arc<AtomicBool>,
    drops_heartbeats: Arc<AtomicBool>,
    loses_record_answer: Arc<AtomicBool>,
    /// The table of which the next feed call gets no answer; `None` once that call has begun.
    lost_feed: Arc<Mutex<Option<String>>>,
}

fn text(value: &Value, name: &str) -> String {
    value[name].as_str().unwrap_or_default().into()
}

fn row_key(value: &Value) -> RowKey {
    (
        text(value, "table"),
        text(value, "part"),
        text(value, "key"),
    )
}

impl Store {
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            started_at: Instant::now(),
            is_silent: Arc::default(),
            delays_progress: Arc::default(),
            delays_acceptance: Arc::default(),
            refuses_writes: Arc::default(),
            drops_heartbeats: Arc::default(),
            loses_record_answer: Arc::default(),
            lost_feed: Arc::default(),
        }
    }

    /// Sets whether calls get no response.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Delays the next write of progress by [`WRITE_DELAY`] and sends no response to it. The write
    /// is then applied if its expected versions still match.
    pub fn delay_next_progress_write(&self) {
        self.delays_progress.store(true, Ordering::SeqCst);
    }

    /// Delays the next write of an accepted job in the same way.
    pub fn delay_next_acceptance(&self) {
        self.delays_acceptance.store(true, Ordering::SeqCst);
    }

    /// Whether the acceptance to delay has arrived.
    pub fn has_delayed_acceptance(&self) -> bool {
        !self.delays_acceptance.load(Ordering::SeqCst)
    }

    /// Returns whether this part of a table holds a row.
    pub fn has_row(&self, table: &str, part: &str, key: &str) -> bool {
        let state = self.state.lock().expect("no holder of this lock panics");
        let row = state.rows.get(&(table.into(), part.into(), key.into()));
        row.is_some_and(|(value, _)| value.is_some())
    }

    /// Applies the next write of the leader record and sends no response to it.
    pub fn lose_next_record_answer(&self) {
        self.loses_record_answer.store(true, Ordering::SeqCst);
    }

    /// Whether the write of the leader record whose response is lost has been applied.
    pub fn has_lost_record_answer(&self) -> bool {
        !self.loses_record_answer.load(Ordering::SeqCst)
    }

    /// Sends no response to the next feed call of this table, and waits until that call has begun.
    #[track_caller]
    pub fn lose_next_feed(&self, table: &str) {
        *self.lost_feed() = Some(table.into());
        let end = Instant::now() + FEED_INTERVAL;
        while self.lost_feed().is_some() {
            assert!(Instant::now() < end, "no feed of {table} has begun");
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn lost_feed(&self) -> MutexGuard<'_, Option<String>> {
        let lost = self.lost_feed.lock();
        lost.expect("no holder of this lock panics")
    }

    /// Returns whether this feed call gets no response.
    fn loses_feed(&self, table: &str) -> bool {
        let mut lost = self.lost_feed();
        let is_lost = lost.as_deref() == Some(table);
        if is_lost {
            *lost = None;
        }
        is_lost
    }

    /// Sets whether writes are refused. Reads are always served.
    pub fn refuse_writes(&self, refuses: bool) {
        self.refuses_writes.store(refuses, Ordering::SeqCst);
    }

    /// Sets whether writes with the heartbeat of a leader are not done and get no response. Reads,
    /// takeovers and the writes of entries that do not lead are served.
    pub fn drop_heartbeats(&self, drops: bool) {
        self.drops_heartbeats.store(drops, Ordering::SeqCst);
    }

    fn drops(&self, body: &Value) -> bool {
        let puts = body["puts"].as_array().cloned().unwrap_or_default();
        let is_put = |key: &str| puts.iter().any(|row| text(row, "key") == key);
        self.drops_heartbeats.load(Ordering::SeqCst) && is_put("beat") && !is_put("record")
    }

    /// Returns the version of the newest write.
    pub fn version(&self) -> u64 {
        let state = self.state.lock().expect("no holder of this lock panics");
        state.version
    }

    /// Whether the write to delay has arrived.
    pub fn has_delayed(&self) -> bool {
        !self.delays_progress.load(Ordering::SeqCst)
    }

    async fn transact_delayed(&self, body: &Value) -> (StatusCode, Value) {
        let (store, body) = (self.clone(), body.clone());
        thread::spawn(move || {
            thread::sleep(WRITE_DELAY);
            store.transact(&body);
        });
        // The client times out before this response.
        Timer::after(WRITE_DELAY + WRITE_DELAY).await;
        (StatusCode::SERVICE_UNAVAILABLE, json!({}))
    }

    /// Writes a row without an expected version, as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.put_raw(table, "", key, &base64(value.as_bytes()));
    }

    /// Writes a row in this part of a table with a value that may be no base64.
    pub fn put_raw(&self, table: &str, part: &str, key: &str, value: &str) {
        self.set_row(table, part, key, Some(value.into()));
    }

    /// Removes a row without an expected version.
    pub fn remove(&self, table: &str, key: &str) {
        self.set_row(table, "", key, None);
    }

    /// Returns the value of a row as it was written with [`Self::put_raw`].
    pub fn raw_value(&self, table: &str, key: &str) -> String {
        self.find_raw_value(table, key).expect("the row exists")
    }

    /// Returns the value of a row in base64 if the row exists.
    pub fn find_raw_value(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state.lock().expect("no holder of this lock panics");
        let row = state.rows.get(&(table.into(), String::new(), key.into()));
        row.and_then(|(value, _)| value.clone())
    }

    /// Replaces bytes in the value of a row by as many others, without a new version.
    pub fn replace(&self, table: &str, key: &str, from: &str, to: &str) {
        assert_eq!(from.len(), to.len());
        let mut state = self.state.lock().expect("no holder of this lock panics");
        let row = (table.into(), String::new(), key.into());
        let value = state.rows.get_mut(&row).and_then(|row| row.0.as_mut());
        let value = value.expect("the row exists");
        let mut bytes = unbase64(value);
        let found = bytes
            .windows(from.len())
            .position(|it| it == from.as_bytes());
        let at = found.expect("the value contains the bytes");
        bytes[at..at + to.len()].copy_from_slice(to.as_bytes());
        *value = base64(&bytes);
    }

    fn set_row(&self, table: &str, part: &str, key: &str, value: Option<String>) {
        let mut state = self.state.lock().expect("no holder of this lock panics");
        state.version += 1;
        let version = state.version;
        let row_key = (table.into(), part.into(), key.into());
        state.rows.insert(row_key, (value, version));
    }

    fn page(&self, version: u64, rows: Vec<Value>) -> Value {
        let now = self.started_at.elapsed().as_millis();
        json!({"rows": rows, "hasMore": false, "ver": version, "nowMs": now as u64})
    }

    fn transact(&self, body: &Value) -> (StatusCode, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let mut state = self.state.lock().expect("no holder of this lock panics");
        let versions_match = list("expectedRev").iter().all(|row| {
            let found = state.rows.get(&row_key(row));
            let version = found
                .filter(|(value, _)| value.is_some())
                .map_or(0, |(_, version)| *version);
            row["ver"].as_u64() == Some(version)
        });
        if !versions_match {
            let version = state.version;
            return (
                StatusCode::PRECONDITION_FAILED,
                self.page(version, Vec::new()),
            );
        }
        state.version += 1;
        let version = state.version;
        for row in list("puts") {
            state
                .rows
                .insert(row_key(&row), (Some(text(&row, "value")), version));
        }
        for row in list("remove") {
            state.rows.insert(row_key(&row), (None, version));
        }
        (StatusCode::OK, self.page(version, Vec::new()))
    }

    fn rows(&self, selects: impl Fn(&RowKey, u64, bool) -> bool) -> (u64, Vec<Value>) {
        let state = self.state.lock().expect("no holder of this lock panics");
        let selected = state
            .rows
            .iter()
            .filter(|(row_key, (value, version))| selects(row_key, *version, value.is_some()));
        let rows = selected.map(|((table, part, key), (value, version))| {
            json!({"table": table, "part": part, "key": key, "ver": version,
                   "value": value, "deleted": value.is_none()})
        });
        (state.version, rows.collect())
    }

    /// Responds to a call.
    pub async fn respond(&self, path: &str, query: &str, body: &Value) -> (StatusCode, Value) {
        while self.is_silent.load(Ordering::SeqCst) {
            Timer::after(Duration::from_millis(20)).await;
        }
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| value);
            percent_decoded(found.next().unwrap_or_default())
        };
        match path {
            "/rows-tx" if self.refuses_writes.load(Ordering::SeqCst) => {
                (StatusCode::SERVICE_UNAVAILABLE, json!({}))
            }
            "/rows-tx" if self.drops(body) => smol::future::pending().await,
            "/rows-tx" => {
                let puts = body["puts"].as_array().cloned().unwrap_or_default();
                let is_progress = puts.iter().any(|row| text(row, "table") == "progress");
                let is_acceptance = puts
                    .iter()
                    .any(|row| text(row, "table") == "jobs" && text(row, "key").starts_with('j'));
                let is_record = puts.iter().any(|row| text(row, "key") == "record");
                if is_record && self.loses_record_answer.load(Ordering::SeqCst) {
                    self.transact(body);
                    self.loses_record_answer.store(false, Ordering::SeqCst);
                    Timer::after(WRITE_DELAY).await;
                    (StatusCode::SERVICE_UNAVAILABLE, json!({}))
                } else if (is_progress && self.delays_progress.swap(false, Ordering::SeqCst))
                    || (is_acceptance && self.delays_acceptance.swap(false, Ordering::SeqCst))
                {
                    self.transact_delayed(body).await
                } else {
                    self.transact(body)
                }
            }
            "/rows-get" => {
                let (table, part, from) =
                    (parameter("table"), parameter("part"), parameter("from"));
                let limit = parameter("limit").parse().unwrap_or(500);
                let (version, mut rows) = self.rows(|(row_table, row_part, key), _, exists| {
                    exists && *row_table == table && *row_part == part && *key >= from
                });
                let has_more = rows.len() > limit;
                rows.truncate(limit);
                let mut page = self.page(version, rows);
                page["hasMore"] = has_more.into();
                (StatusCode::OK, page)
            }
            "/rows-feed" => {
                let table = parameter("table");
                if self.loses_feed(&table) {
                    return smol::future::pending().await;
                }
                let after = parameter("after").parse().unwrap_or(0);
                let wait = parameter("waitMs").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                let mut seen = None;
                loop {
                    // Most looks find no write since the one before.
                    let newest = Some(self.version());
                    if mem::replace(&mut seen, newest) == newest && Instant::now() < end {
                        Timer::after(Duration::from_millis(5)).await;
                        continue;
                    }
                    let (version, rows) = self.rows(|(row_table, _, _), version, _| {
                        *row_table == table && version > after
                    });
                    if !rows.is_empty() || Instant::now() >= end {
                        return (StatusCode::OK, self.page(version, rows));
                    }
                    Timer::after(Duration::from_millis(5)).await;
                }
            }
            _ => (StatusCode::NOT_FOUND, json!({})),
        }
    }
}

/// Decodes the `%` escapes of a query parameter.
fn percent_decoded(raw: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = raw.as_bytes();
    while let [first, after @ ..] = rest {
        rest = after;
        let escape = after.get(..2).filter(|_| *first == b'%');
        let value = escape.and_then(|digits| std::str::from_utf8(digits).ok());
        match value.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => bytes.push(*first),
        }
    }
    String::from_utf8(bytes).expect("keys are texts")
}

/// Encodes bytes in base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = group >> (18 - 6 * index) & 63;
            let is_padding = index > chunk.len();
            text.push(if is_padding {
                '='
            } else {
                DIGITS[digit as usize].into()
            });
        }
    }
    text
}

/// Decodes base64 with padding.
fn unbase64(text: &str) -> Vec<u8> {
    let digit = |raw: u8| match raw {
        b'A'..=b'Z' => raw - b'A',
        b'a'..=b'z' => raw - b'a' + 26,
        b'0'..=b'9' => raw - b'0' + 52,
        b'+' => 62,
        _ => 63,
    };
    let mut bytes = Vec::new();
    for chunk in text.trim_end_matches('=').as_bytes().chunks(4) {
        let digits = chunk.iter().map(|&raw| u32::from(digit(raw)));
        let group = digits.fold(0, |group, digit| group << 6 | digit) << (6 * (4 - chunk.len()));
        let raw = group.to_be_bytes();
        bytes.extend(&raw[1..chunk.len()]);
    }
    bytes
}
