//! Checks of the invariants at the workers and in the table.

use std::collections::BTreeSet;

use decision::clock::Ms;
use decision::name::Name;
use decision::piece::Record;
use decision::place::Event;
use decision::place::Order;
use decision::place::Read;
use decision::step::Step;
use decision::worker::State;

use super::World;
use super::worker::Action;

impl<B: Step<Event = Event, Action = Order> + Read> World<B> {
    /// Checks the invariants at the workers. Called after each change.
    pub(super) fn check(&mut self) {
        let mut actions = Vec::new();
        for worker in &mut self.workers {
            actions.append(&mut worker.actions);
        }
        actions
            .into_iter()
            .for_each(|action| self.check_action(action));
        let mut places = BTreeSet::new();
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            let total = worker.granted().plus(self.reserve);
            assert!(
                total.fits(worker.vm.capacity),
                "{} is overcommitted at {}: {total:?}",
                worker.vm.name,
                self.now
            );
            for task in worker.running() {
                let once = places.insert(task.name.clone());
                assert!(once, "{} runs in two places at {}", task.name, self.now);
            }
        }
    }

    fn check_action(&mut self, action: Action) {
        match action {
            Action::Started(task, attempt, from) => {
                let starts = self.starts.entry(task.clone()).or_default();
                let known = starts.iter().any(|(other, _)| *other >= attempt);
                assert!(!known, "{task} attempt {attempt} starts after {starts:?}");
                starts.push((attempt, from));
            }
            Action::Ended(task, State::Completed) => {
                *self.completions.entry(task).or_default() += 1;
            }
            Action::Ended(_, State::Stopped) => self.stops += 1,
            Action::Ended(..) => {}
            Action::Forgot(task, attempt, state) => self.check_forgotten(&task, attempt, state),
        }
    }

    /// Checks that the outcome of an acknowledged attempt is in the table. A task that was
    /// cancelled after its lease expired stays cancelled even if its completion is reported later.
    fn check_forgotten(&self, task: &Name, attempt: u32, state: State) {
        let record = self.record(task);
        let stored = match (state, record) {
            (State::Completed, record) => !is_open(record),
            (_, Record::Open { attempt: known, .. }) => *known >= attempt,
            _ => true,
        };
        assert!(
            stored,
            "{task} attempt {attempt} {state:?} is acknowledged, but stored is {record:?}"
        );
    }

    pub fn record(&self, task: &Name) -> &Record {
        let (job, index) = task.rsplit_once('#').expect("task names have an index");
        let index: usize = index.parse().expect("the index is a number");
        let mut pieces = self.table.values();
        let piece = pieces.find(|piece| &*piece.job.name == job);
        &piece.expect("the task's piece is stored").tasks[index]
    }

    /// Returns all stored records.
    pub fn records(&self) -> Vec<Record> {
        let pieces = self.table.values();
        pieces.flat_map(|piece| piece.tasks.clone()).collect()
    }

    /// Simulates until every task has ended in the table, or at most `time`.
    pub fn run_until_ended(&mut self, time: Ms) {
        let end = self.now + time;
        while self.now < end && self.records().iter().any(is_open) {
            self.run(Ms(1_000));
        }
    }
}

pub const fn is_open(record: &Record) -> bool {
    matches!(record, Record::Open { .. })
}
