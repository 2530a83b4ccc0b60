//! The recent timeline of this entry, in memory.

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

/// Events that may wait for a slow watcher, after which its stream ends.
const WATCH_BACKLOG: usize = 1_024;

/// A bounded buffer of events under a Lamport counter. Events of single requests are kept apart,
/// so that a burst of refusals does not push out the rest.
#[derive(Debug)]
pub struct Journal {
    entry: Name,
    kept: usize,
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
    /// An empty journal of `entry` that keeps the last `kept` events of requests, and as many
    /// others.
    #[must_use]
    pub fn new(entry: Name, kept: usize) -> Self {
        Self {
            entry,
            kept,
            inner: Mutex::default(),
        }
    }

    /// Records an event and returns it.
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
        if events.len() == self.kept {
            events.pop_front();
        }
        events.push_back(event.clone());
        inner.watchers.retain(|(filter, watcher)| {
            !watcher.is_closed()
                && (!filter.selects(&event) || watcher.try_send(event.clone()).is_ok())
        });
        event
    }

    /// The counter to send with a message.
    pub fn tick(&self) -> u64 {
        let mut inner = self.lock();
        inner.lamport += 1;
        inner.lamport
    }

    /// Jumps over a counter that came with a message.
    pub fn witness(&self, lamport: u64) {
        let mut inner = self.lock();
        inner.lamport = inner.lamport.max(lamport);
    }

    /// The newest events that the filter selects, at most `most`, oldest first.
    pub fn select(&self, filter: &Filter, most: usize) -> Vec<Event> {
        let inner = self.lock();
        let newest = |events: &VecDeque<Event>| {
            let found = events.iter().rev().filter(|event| filter.selects(event));
            found.take(most).cloned().collect::<Vec<_>>()
        };
        let mut found = [newest(&inner.others), newest(&inner.requests)].concat();
        found.sort_by_key(|event| event.lamport);
        found.drain(..found.len().saturating_sub(most));
        found
    }

    /// A stream of the events to come that the filter selects.
    pub fn watch(&self, filter: Filter) -> Receiver<Event> {
        let (sender, receiver) = smol::channel::bounded(WATCH_BACKLOG);
        self.lock().watchers.push((filter, sender));
        receiver
    }

    /// Ends all streams.
    pub fn close(&self) {
        self.lock().watchers.clear();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }
}

/// Whether events of this kind come with single requests, thousands a second under overload.
#[must_use]
pub const fn is_frequent(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::AttemptFailed | Kind::RequestRefused | Kind::RequestUnknown
    )
}

/// Puts the events of several entries into causal order.
pub fn merge(events: &mut [Event]) {
    // Sorting is stable, so events of one entry keep their sequence.
    events.sort_by(|a, b| (a.lamport, &a.entry).cmp(&(b.lamport, &b.entry)));
}
