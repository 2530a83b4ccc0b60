//! Invariants of every world, and counts of completed work.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use decision::clock::Ms;
use decision::name::Name;
use decision::piece::Piece;
use decision::piece::Record;
use decision::record;
use decision::table::Condition;
use decision::table::Version;

use super::World;

impl World {
    /// Checks that no task runs on two workers.
    pub(super) fn check(&mut self) {
        let now = Ms(self.now);
        let mut places = BTreeMap::<Name, Name>::new();
        for worker in self.workers.values_mut() {
            worker.advance(now, &mut self.observed);
            for task in worker.runs() {
                if let Some(other) = places.insert(task.clone(), worker.vm.name.clone()) {
                    let violation = format!("{now}: {task} runs on {other} and {}", worker.vm.name);
                    self.observed.violations.push(violation);
                }
            }
        }
    }

    /// Checks that stored work is changed only by the owner of its group, in a commit that requires
    /// the version of the group's row.
    pub(super) fn check_owner(&mut self, entry: &Name, conditions: &[Condition]) {
        let changed = conditions
            .iter()
            .filter(|condition| condition.version != Version(0));
        let groups =
            changed.filter_map(|condition| condition.key.strip_prefix("job/")?.split('/').next());
        for group in BTreeSet::from_iter(groups) {
            let key = format!("group/{group}");
            let fenced = conditions.iter().any(|condition| condition.key == key);
            let row = &self.table.rows[&key];
            let owner = record::decode::<record::Group>(&row.value).unwrap().owner;
            if !fenced || owner.is_none_or(|(owner, _)| owner != *entry) {
                let violation = format!("{}: {entry} changed work of {group}", self.now);
                self.observed.violations.push(violation);
            }
        }
    }

    /// Fails if any invariant was violated.
    pub fn assert_clean(&self) {
        let versions = &self.table.configs;
        assert!(
            versions.is_sorted(),
            "configuration rows went back: {versions:?}"
        );
        let violations = &self.observed.violations;
        assert!(
            violations.is_empty(),
            "{:#?}",
            &violations[..violations.len().min(5)]
        );
    }

    /// The number of groups with a worker that last accepted this entry as owner.
    pub fn owned(&self, entry: &str) -> usize {
        let owned = self.workers.values();
        let owned = owned.filter(|worker| worker.owner.as_deref() == Some(entry));
        BTreeSet::from_iter(owned.map(|worker| &worker.vm.group)).len()
    }

    /// The number of tasks of a job that are stored as done.
    pub fn done(&self, job: &str) -> usize {
        let prefix = format!("ended/{job}.");
        let rows = self.table.rows.values();
        let rows = rows.filter(|row| row.key.starts_with(&prefix));
        let pieces = rows.map(|row| record::decode::<Piece>(&row.value).unwrap());
        let done = |task: &&Record| **task == Record::Done;
        pieces
            .map(|piece| piece.tasks.iter().filter(done).count())
            .sum()
    }

    /// The number of tasks of a job that completed on workers.
    pub fn completed(&self, job: &str) -> usize {
        let prefix = format!("{job}#");
        let done = self.observed.completed.keys();
        done.filter(|task| task.starts_with(&prefix)).count()
    }
}
