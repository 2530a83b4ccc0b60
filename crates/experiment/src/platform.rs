//! Models the services of the platform: the table and the object store with their latency, limits
//! and faults, and the VM list.

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

use crate::queue::MS;
use crate::queue::SECOND;
use crate::queue::Us;
use crate::scenario::Scenario;
use crate::simulation::Answer;
use crate::simulation::Correlation;
use crate::simulation::Event;
use crate::simulation::Simulation;

/// The time that the table spends on one row write, as it sustains 500 row writes/s.
const WRITE_COST: Us = 2 * MS;

/// The time that the table spends on one row read, as it sustains 2,000 row reads/s.
const READ_COST: Us = MS / 2;

/// The latency of an answer. Together with the 0.5 ms of the request, an operation spends 2 ms on
/// the way when the table is idle.
const ANSWER_DELAY: Us = 3 * MS / 2;

/// The time that the object store spends on one operation.
const OBJECT_LATENCY: Us = 10 * MS;

/// The delay after which the VM list shows a change of a VM.
const VM_LIST_LAG: Ms = Ms(2_000);

/// An operation of the table or the object store.
#[derive(Clone, Debug)]
pub(crate) enum Operation {
    Table(table::Operation),
    Object(object::Operation),
}

/// The services of the platform with their current faults.
pub(crate) struct Platform {
    pub table: standin::table::Model,
    pub objects: standin::object::Model,
    pub vms: standin::vms::Model,
    /// Whether the table and the object store refuse or drop all operations.
    pub outage: bool,
    /// Whether the table answers late.
    pub slow: bool,
    /// Whether the answers to some commits are lost.
    pub losing_answers: bool,
    /// The time at which the table has finished all operations that it received.
    busy_until: Us,
    /// The stored outcome of each ended task.
    recorded: BTreeMap<Name, Ending>,
}

impl Platform {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        Self {
            table: standin::table::Model::default(),
            objects: standin::object::Model::default(),
            vms: standin::vms::Model::new(VM_LIST_LAG, scenario.vms.clone()),
            outage: false,
            slow: false,
            losing_answers: false,
            busy_until: 0,
            recorded: BTreeMap::new(),
        }
    }

    /// The numbers of rows read and written since the start of the run.
    pub(crate) const fn count(&self) -> Count {
        self.table.count
    }

    /// Whether the table holds the outcome of a task.
    pub(crate) fn has_ended(&self, task: &str) -> bool {
        self.recorded.contains_key(task)
    }

    /// Returns the facts for task outcomes that a commit stored for the first time or changed.
    fn record_endings(&mut self, writes: &[table::Write]) -> Vec<Fact> {
        let mut facts = Vec::new();
        let holds_piece = |key: &str| key.starts_with("job/") || key.starts_with("ended/");
        let jobs = writes.iter().filter(|write| holds_piece(&write.key));
        for value in jobs.filter_map(|write| write.value.as_ref()) {
            let Some(piece) = decode_piece(value) else {
                continue;
            };
            for (index, task) in (piece.first..).zip(&piece.tasks) {
                let ending = match task {
                    Record::Open { .. } => continue,
                    Record::Done => Ending::Completed,
                    Record::Cancelled => Ending::Stopped,
                    Record::Failed => Ending::Failed,
                };
                let task = crate::scenario::name(&format!("{}#{index}", piece.job.name));
                if self.recorded.insert(task.clone(), ending) != Some(ending) {
                    facts.push(Fact::Recorded { task, ending });
                }
            }
        }
        facts
    }
}

/// Decodes the piece in the row of an assigned or of an ended piece, if the row holds one.
fn decode_piece(row: &[u8]) -> Option<Piece> {
    match record::decode(row) {
        Ok(record::Work::Piece(piece)) => Some(piece),
        Ok(record::Work::Cancel(_)) => None,
        Err(_) => record::decode(row).ok(),
    }
}

impl Simulation<'_> {
    pub(crate) fn receive_operation(&mut self, correlation: Correlation, operation: Operation) {
        let now = self.queue.now();
        if self.platform.outage {
            return self.refuse_in_outage(correlation, &operation);
        }
        let operation = match operation {
            Operation::Table(operation) => operation,
            Operation::Object(_) => {
                return self
                    .queue
                    .schedule_after(OBJECT_LATENCY, Event::Execute(correlation, operation, true));
            }
        };
        let cost = match &operation {
            table::Operation::Read(keys) => keys.len().max(1) as u64 * READ_COST,
            table::Operation::Scan { .. } => READ_COST * 4,
            table::Operation::Commit { writes, .. } => writes.len().max(1) as u64 * WRITE_COST,
        };
        self.platform.busy_until = self.platform.busy_until.max(now) + cost;
        let slow = if self.platform.slow {
            self.random.random_range(300 * MS..1_500 * MS)
        } else {
            0
        };
        let commit = matches!(operation, table::Operation::Commit { .. });
        // Of 12 commits, 3 lose their answer on average, and one of these takes effect only after
        // the sender's timeout.
        let draw = if self.platform.losing_answers && commit {
            self.random.random_range(0..12)
        } else {
            12
        };
        let late = if draw == 0 { 1_500 * MS } else { 0 };
        let at = self.platform.busy_until + slow + late;
        let event = Event::Execute(correlation, Operation::Table(operation), draw > 2);
        self.queue.schedule_at(at, event);
    }

    /// During an outage, four of five operations are refused at once, and the rest get no answer.
    fn refuse_in_outage(&mut self, correlation: Correlation, operation: &Operation) {
        if self.random.random_ratio(1, 5) {
            return;
        }
        let answer = match operation {
            Operation::Table(_) => Answer::Table(table::Outcome::Unavailable),
            Operation::Object(_) => Answer::Object(object::Outcome::Unavailable),
        };
        self.schedule_answer(correlation, 5 * MS, answer);
    }

    pub(crate) fn execute(
        &mut self,
        correlation: Correlation,
        operation: Operation,
        answering: bool,
    ) {
        let answer = match operation {
            Operation::Object(operation) => Answer::Object(self.platform.objects.apply(&operation)),
            Operation::Table(operation) => {
                let outcome = self.platform.table.apply(&operation);
                self.record_commit(&operation, &outcome);
                Answer::Table(outcome)
            }
        };
        if answering {
            self.schedule_answer(correlation, ANSWER_DELAY, answer);
        }
    }

    fn record_commit(&mut self, operation: &table::Operation, outcome: &table::Outcome) {
        let table::Operation::Commit { writes, .. } = operation else {
            return;
        };
        if !matches!(outcome, table::Outcome::Committed(_)) {
            return;
        }
        for fact in self.platform.record_endings(writes) {
            self.record(fact);
        }
        let versions = writes.iter().filter_map(|write| {
            let number = write.key.strip_prefix("config/")?;
            number.parse().ok().map(decision::config::Version)
        });
        for version in versions.collect::<Vec<_>>() {
            self.record(Fact::Stored { version });
        }
    }

    pub(crate) fn set_store_faults(&mut self, outage: bool, slow: bool) {
        let healthy =
            |platform: &Platform| !platform.outage && !platform.slow && !platform.losing_answers;
        let before = healthy(&self.platform);
        self.platform.outage = outage;
        self.platform.slow = slow;
        self.platform.objects.fault.outage = outage;
        let after = healthy(&self.platform);
        if before != after {
            self.record(Fact::Store { healthy: after });
        }
    }
}

/// The duration of an outage or a slow phase of the store.
pub(crate) const STORE_FAULT_DURATION: Us = 25 * SECOND;
