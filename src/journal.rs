//! The recent timeline events of this entry, in memory.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;

use decision::clock::Ms;
use decision::name::Name;
use decision::timeline::Event;
use decision::timeline::Filter;
use decision::timeline::Kind;
use decision::timeline::Note;
use smol::channel::Receiver;
use smol::channel::Sender;

/// The most events queued for a slow watcher. Its stream ends when the queue overflows.
const WATCH_BACKLOG: usize = 1_024;

/// A bounded buffer of events numbered by a Lamport counter. Events of single requests have their
/// own buffer, so that a burst of refusals does not displace the others.
#[derive(Debug)]
pub struct Journal {
    entry: Name,
    capacity: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    lamport: u64,
    requests: VecDeque<Event>,
    others: VecDeque<Event>,
    watchers: Vec<(Filter, Sender<Event>)>,
}

impl Journal {
    /// Creates an empty journal of `entry` that retains the last `capacity` events of requests and
    /// the last `capacity` other events.
    #[must_use]
    pub fn new(entry: Name, capacity: usize) -> Self {
        Self {
            entry,
            capacity,
            inner: Mutex::default(),
        }
    }

    /// Records an event, sends it to watchers and returns it.
    pub fn record(&self, at: Ms, note: Note) -> Event {
        let mut inner = self.lock();
        inner.lamport += 1;
        let event = Event {
            entry: self.entry.clone(),
            lamport: inner.lamport,
            at,
            note,
        };
        let events = if is_frequent(event.note.kind) {
            &mut inner.requests
        } else {
            &mut inner.others
        };
        if events.len() == self.capacity {
            events.pop_front();
        }
        events.push_back(event.clone());
        inner.watchers.retain(|(filter, watcher)| {
            !watcher.is_closed()
                && (!filter.selects(&event) || watcher.try_send(event.clone()).is_ok())
        });
        event
    }

    /// Increments the Lamport counter and returns it, for an outgoing message.
    pub fn tick(&self) -> u64 {
        let mut inner = self.lock();
        inner.lamport += 1;
        inner.lamport
    }

    /// Advances the Lamport counter to that of a received message, if it is higher.
    pub fn advance_to(&self, lamport: u64) {
        let mut inner = self.lock();
        inner.lamport = inner.lamport.max(lamport);
    }

    /// Returns the newest events that the filter selects, at most `limit`, oldest first.
    pub fn select(&self, filter: &Filter, limit: usize) -> Vec<Event> {
        let inner = self.lock();
        let newest = |events: &VecDeque<Event>| {
            let selected = events.iter().rev().filter(|event| filter.selects(event));
            selected.take(limit).cloned().collect::<Vec<_>>()
        };
        let mut selected = [newest(&inner.others), newest(&inner.requests)].concat();
        selected.sort_by_key(|event| event.lamport);
        selected.drain(..selected.len().saturating_sub(limit));
        selected
    }

    /// Returns a stream of the future events that the filter selects.
    pub fn watch(&self, filter: Filter) -> Receiver<Event> {
        let (sender, receiver) = smol::channel::bounded(WATCH_BACKLOG);
        self.lock().watchers.push((filter, sender));
        receiver
    }

    /// Ends the streams of all watchers.
    pub fn close(&self) {
        self.lock().watchers.clear();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }
}

/// Whether events of this kind belong to single requests, of which there may be thousands a second
/// under overload.
#[must_use]
pub const fn is_frequent(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::AttemptFailed | Kind::RequestRefused | Kind::RequestUnknown
    )
}

/// Sorts the events of several entries into causal order.
pub fn merge(events: &mut [Event]) {
    // The sort is stable, so events of one entry keep their order.
    events.sort_by(|a, b| (a.lamport, &a.entry).cmp(&(b.lamport, &b.entry)));
}
