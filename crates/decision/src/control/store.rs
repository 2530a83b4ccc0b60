//! Operations of the table: what is due, and where each outcome goes.

use std::sync::Arc;

use super::Action;
use super::Id;
use super::Machine;
use super::leftover::Leftover;
use crate::clock::Ms;
use crate::commit::Settled;
use crate::commit::Transaction;
use crate::name::Name;
use crate::peer::Member;
use crate::place;
use crate::record;
use crate::rollout;
use crate::step::Step;
use crate::table::Operation;
use crate::table::Outcome;
use crate::table::Row;
use crate::table::Version;
use crate::timeline::Kind;
use crate::worker::Epoch;

/// Rows in one page of a scan.
pub(super) const PAGE: u32 = 500;

const DRAINS: Ms = Ms(2_000);

/// What a transaction is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Purpose {
    /// Dirty rows of owned groups, and perhaps the heartbeat.
    Flush(Vec<Name>),
    /// Takes these groups; the flag tells that the row did not exist.
    Own(Vec<(Name, bool)>),
    /// Gives these groups up without a successor.
    Release(Vec<Name>),
    /// The effect of an operator's call.
    Call(u64),
    /// Deletes this entry's row when it stops.
    Leave,
    /// Moves a piece between groups.
    Move {
        /// The piece.
        piece: Name,
        /// The group that it leaves.
        from: Name,
        /// The group that it moves to.
        to: Name,
        /// The job.
        job: Name,
    },
}

/// What a read is for.
#[derive(Clone, Debug)]
pub(super) enum Reading {
    /// The newest configuration.
    Config,
    /// The rows of all members, by page.
    Members,
    /// The workers that operators drained.
    Drains(Vec<Row>),
    /// The rows of these groups.
    Groups(Vec<Name>),
    /// The stored work of a group, by page.
    Work(Scan),
    /// The row of the group, read after its work.
    Proof(Scan),
    /// Rows that an operator's call needs.
    Call(u64),
    /// The rows of all groups, by page, to find those without workers.
    Stranded,
    /// Whether a group without workers, whose row has this version, has work left.
    Deserted(Name, Version),
    /// What is stored of ended attempts whose piece is not held here.
    Leftover(Leftover),
    /// The index row of a job whose piece is to be moved.
    Move {
        /// The piece.
        piece: Name,
        /// The group to move it to.
        to: Name,
    },
}

/// A scan of a group's work under way.
#[derive(Clone, Debug)]
pub(super) struct Scan {
    pub(super) group: Name,
    pub(super) epoch: Epoch,
    pub(super) began: Ms,
    pub(super) rows: Vec<Row>,
}

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Whether the last operation of the table succeeded.
    pub(super) const fn store_up(&self) -> bool {
        self.backoff.down_since().is_none()
    }

    /// How long the table has not answered.
    pub(super) fn store_down(&self) -> Option<Ms> {
        self.backoff.down_since().map(|since| self.now.since(since))
    }

    pub(super) fn read(&mut self, reading: Reading, operation: Operation) -> Id {
        let id = self.id();
        self.reads.insert(id, reading);
        self.out.push(Action::Table(id, operation));
        id
    }

    pub(super) fn scan(&mut self, reading: Reading, prefix: &str, after: &str) -> Id {
        let operation = Operation::Scan {
            prefix: prefix.into(),
            after: after.into(),
            limit: PAGE,
        };
        self.read(reading, operation)
    }

    /// Starts periodic reads. While the table is down, only the configuration is read, as a
    /// probe after each backoff.
    pub(super) fn read_due(&mut self) {
        if !self.backoff.ready(self.now) {
            return;
        }
        if self.rollout.due(self.now) {
            self.read(Reading::Config, Operation::Read(vec![rollout::KEY.into()]));
        }
        if !self.store_up() {
            return;
        }
        if self.now >= self.due.members {
            self.due.members = self.now + self.roster.heartbeat_interval(self.now);
            self.scan(Reading::Members, "member/", "");
        }
        if self.now >= self.due.drains {
            self.due.drains = self.now + DRAINS;
            self.scan(Reading::Drains(Vec::new()), "drain/", "");
        }
        self.scan_due();
    }

    pub(super) fn table_ended(&mut self, id: Id, outcome: Outcome) {
        // A failure from before a pause says nothing about the table now.
        if id >= self.floor || !matches!(outcome, Outcome::Unavailable | Outcome::Unknown) {
            self.judge(&outcome);
        }
        if self.writer.waits(id) {
            let settled = self.writer.ended(id, &outcome);
            if let Some((purpose, transaction, settled)) = settled {
                self.settled(purpose, &transaction, settled);
            }
            return;
        }
        let Some(reading) = self.reads.remove(&id) else {
            return;
        };
        match outcome {
            Outcome::Rows(rows) => self.found(id, reading, rows),
            _ => self.unread(id, reading),
        }
    }

    fn judge(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Unavailable | Outcome::Unknown => {
                // Operations that fail together count as one attempt.
                if self.backoff.ready(self.now) && self.backoff.fail(self.now, &mut self.random) {
                    self.note(Kind::StoreLost, "table", None, "an operation failed");
                }
            }
            _ => {
                if self.backoff.succeed() {
                    self.note(Kind::StoreBack, "table", None, "an operation succeeded");
                    self.due.rows = self.now;
                }
            }
        }
    }

    fn found(&mut self, id: Id, reading: Reading, rows: Vec<Row>) {
        match reading {
            Reading::Config => {
                if id >= self.floor {
                    self.read_config(&rows);
                }
            }
            Reading::Members => self.read_members(&rows),
            Reading::Drains(before) => self.read_drains(before, rows),
            Reading::Groups(names) => self.read_groups(id, &names, &rows),
            Reading::Work(scan) => self.read_work(scan, rows),
            Reading::Proof(scan) => self.read_proof(&scan, &rows),
            Reading::Call(call) => self.call_read(call, Some(&rows)),
            Reading::Stranded => self.stranded_read(&rows),
            Reading::Deserted(group, version) => self.deserted_read(group, version, &rows),
            Reading::Leftover(leftover) => self.leftover_read(leftover, &rows),
            Reading::Move { piece, to } => self.move_read(&piece, &to, &rows),
        }
    }

    fn unread(&mut self, id: Id, reading: Reading) {
        match reading {
            Reading::Config => {
                if id >= self.floor {
                    self.rollout.failed();
                }
            }
            Reading::Groups(_) => self.due.rows = self.now,
            Reading::Work(scan) | Reading::Proof(scan) => {
                if let Some(held) = self.held.get_mut(&scan.group) {
                    held.scanning = false;
                    held.scan = self.now;
                }
            }
            Reading::Call(call) => self.call_read(call, None),
            Reading::Members
            | Reading::Drains(_)
            | Reading::Leftover(_)
            | Reading::Stranded
            | Reading::Deserted(..)
            | Reading::Move { .. } => {}
        }
    }

    fn read_config(&mut self, rows: &[Row]) {
        let value = rows.first().map(|row| &row.value[..]);
        let changed = self.rollout.read(value);
        self.mark(rollout::KEY, self.rollout.damage().cloned());
        self.configured(changed);
    }

    /// Takes a configuration into force that was just accepted by the rollout.
    pub(super) fn configured(&mut self, changed: bool) {
        self.retarget = true;
        if !changed {
            return;
        }
        let version = self.rollout.version();
        self.roster.set_version(version);
        let Some(checked) = self.rollout.checked().cloned() else {
            return;
        };
        self.out.push(Action::Config(version, Arc::clone(&checked)));
        self.drive(place::Event::Config(checked));
        self.note(
            Kind::ConfigInForce,
            &format!("config/{}", version.0),
            None,
            "newest version seen",
        );
    }

    fn read_members(&mut self, rows: &[Row]) {
        for row in rows {
            let member = record::decode::<Member>(&row.value);
            self.mark(&row.key, member.as_ref().err().cloned());
            if let Ok(member) = member {
                let change = self.roster.merge_row(self.now, &member);
                self.digested(&member, change);
            }
        }
        if let (Some(last), true) = (rows.last(), rows.len() == PAGE as usize) {
            self.scan(Reading::Members, "member/", &last.key);
        }
    }

    /// Keeps the list of rows that cannot be decoded.
    pub(super) fn mark(&mut self, key: &str, error: Option<record::Error>) {
        match error {
            Some(error) => {
                self.damaged.insert(key.into(), error);
            }
            None => {
                self.damaged.remove(key);
            }
        }
    }

    fn settled(&mut self, purpose: Purpose, transaction: &Transaction, settled: Settled) {
        match purpose {
            Purpose::Flush(pieces) => self.flushed(&pieces, transaction, &settled),
            Purpose::Own(groups) => self.taken(&groups, &settled),
            Purpose::Release(groups) => self.released(&groups, &settled),
            Purpose::Leave => self.left = matches!(settled, Settled::Done(_)),
            Purpose::Call(call) => self.call_settled(call, &settled),
            Purpose::Move {
                piece,
                from,
                to,
                job,
            } => self.moved(&piece, &from, &to, &job, &settled),
        }
    }
}
