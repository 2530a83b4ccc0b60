//! The platform's services: table and object store with latency, limits and faults, and VM list.

use std::collections::BTreeMap;

use decision::clock::Ms;
use decision::name::Name;
use decision::object;
use decision::piece::Piece;
use decision::piece::Record;
use decision::record;
use decision::table;
use history::Ending;
use history::Fact;
use rand::RngExt;
use standin::table::Count;

use crate::agenda::MS;
use crate::agenda::SECOND;
use crate::agenda::Us;
use crate::scene::Scene;
use crate::world::Answer;
use crate::world::Back;
use crate::world::Happening;
use crate::world::World;

/// The table sustains 500 row writes/s.
const WRITE: Us = 2 * MS;

/// The table sustains 2,000 row reads/s.
const READ: Us = MS / 2;

/// The rest of the way of an operation's 2 ms when the table is idle.
const ANSWER: Us = 3 * MS / 2;

/// The object store takes this long.
const OBJECT: Us = 10 * MS;

/// The VM list lags behind the truth by this much.
const VM_LAG: Ms = Ms(2_000);

/// An operation of the table or the object store.
#[derive(Clone, Debug)]
pub(crate) enum Query {
    Table(table::Operation),
    Object(object::Operation),
}

/// The platform's services and what currently goes wrong with them.
pub(crate) struct Platform {
    pub table: standin::table::Model,
    pub objects: standin::object::Model,
    pub vms: standin::vms::Model,
    pub outage: bool,
    pub slow: bool,
    pub lossy: bool,
    busy: Us,
    recorded: BTreeMap<Name, Ending>,
}

impl Platform {
    pub(crate) fn new(scene: &Scene) -> Self {
        Self {
            table: standin::table::Model::default(),
            objects: standin::object::Model::default(),
            vms: standin::vms::Model::new(VM_LAG, scene.vms.clone()),
            outage: false,
            slow: false,
            lossy: false,
            busy: 0,
            recorded: BTreeMap::new(),
        }
    }

    /// Rows read and written so far.
    pub(crate) const fn count(&self) -> Count {
        self.table.count
    }

    /// How the table says a task ended.
    pub(crate) fn ended(&self, task: &str) -> bool {
        self.recorded.contains_key(task)
    }

    /// The ends of tasks that a commit stored for the first time or changed.
    fn record(&mut self, writes: &[table::Write]) -> Vec<Fact> {
        let mut facts = Vec::new();
        let holds_piece = |key: &str| key.starts_with("job/") || key.starts_with("ended/");
        let jobs = writes.iter().filter(|write| holds_piece(&write.key));
        for value in jobs.filter_map(|write| write.value.as_ref()) {
            let Some(piece) = piece(value) else {
                continue;
            };
            for (index, task) in (piece.first..).zip(&piece.tasks) {
                let ending = match task {
                    Record::Open { .. } => continue,
                    Record::Done => Ending::Completed,
                    Record::Cancelled => Ending::Stopped,
                    Record::Failed => Ending::Failed,
                };
                let task = crate::scene::name(&format!("{}#{index}", piece.job.name));
                if self.recorded.insert(task.clone(), ending) != Some(ending) {
                    facts.push(Fact::Recorded { task, ending });
                }
            }
        }
        facts
    }
}

/// The piece in a row of an assigned or of an ended piece.
fn piece(row: &[u8]) -> Option<Piece> {
    match record::decode(row) {
        Ok(record::Work::Piece(piece)) => Some(piece),
        Ok(record::Work::Cancel(_)) => None,
        Err(_) => record::decode(row).ok(),
    }
}

impl World<'_> {
    pub(crate) fn reach_platform(&mut self, back: Back, query: Query) {
        let now = self.agenda.now();
        if self.platform.outage {
            return self.refuse(back, &query);
        }
        let operation = match query {
            Query::Table(operation) => operation,
            Query::Object(_) => {
                return self
                    .agenda
                    .after(OBJECT, Happening::Carry(back, query, true));
            }
        };
        let cost = match &operation {
            table::Operation::Read(keys) => keys.len().max(1) as u64 * READ,
            table::Operation::Scan { .. } => READ * 4,
            table::Operation::Commit { writes, .. } => writes.len().max(1) as u64 * WRITE,
        };
        self.platform.busy = self.platform.busy.max(now) + cost;
        let slow = if self.platform.slow {
            self.random.random_range(300 * MS..1_500 * MS)
        } else {
            0
        };
        let commit = matches!(operation, table::Operation::Commit { .. });
        // Of lost answers, some belong to commits that take effect after the sender gave up.
        let fate = if self.platform.lossy && commit {
            self.random.random_range(0..12)
        } else {
            12
        };
        let late = if fate == 0 { 1_500 * MS } else { 0 };
        let at = self.platform.busy + slow + late;
        let happening = Happening::Carry(back, Query::Table(operation), fate > 2);
        self.agenda.put(at, happening);
    }

    /// During an outage most operations are refused at once, and some get no answer.
    fn refuse(&mut self, back: Back, query: &Query) {
        if self.random.random_ratio(1, 5) {
            return;
        }
        let answer = match query {
            Query::Table(_) => Answer::Table(table::Outcome::Unavailable),
            Query::Object(_) => Answer::Object(object::Outcome::Unavailable),
        };
        self.answer(back, 5 * MS, answer);
    }

    pub(crate) fn carry(&mut self, back: Back, query: Query, answering: bool) {
        let answer = match query {
            Query::Object(operation) => Answer::Object(self.platform.objects.apply(&operation)),
            Query::Table(operation) => {
                let outcome = self.platform.table.apply(&operation);
                self.see_commit(&operation, &outcome);
                Answer::Table(outcome)
            }
        };
        if answering {
            self.answer(back, ANSWER, answer);
        }
    }

    fn see_commit(&mut self, operation: &table::Operation, outcome: &table::Outcome) {
        let table::Operation::Commit { writes, .. } = operation else {
            return;
        };
        if !matches!(outcome, table::Outcome::Committed(_)) {
            return;
        }
        for fact in self.platform.record(writes) {
            self.see(fact);
        }
        let versions = writes.iter().filter_map(|write| {
            let number = write.key.strip_prefix("config/")?;
            number.parse().ok().map(decision::config::Version)
        });
        for version in versions.collect::<Vec<_>>() {
            self.see(Fact::Stored { version });
        }
    }

    pub(crate) fn set_store(&mut self, outage: bool, slow: bool) {
        let healthy = |platform: &Platform| !platform.outage && !platform.slow && !platform.lossy;
        let before = healthy(&self.platform);
        self.platform.outage = outage;
        self.platform.slow = slow;
        self.platform.objects.fault.outage = outage;
        let after = healthy(&self.platform);
        if before != after {
            self.see(Fact::Store { healthy: after });
        }
    }
}

/// How long the store stays down or slow at a time.
pub(crate) const LONG: Us = 25 * SECOND;
