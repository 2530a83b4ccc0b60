//! Periodic reads of the table and the dispatch of all its outcomes.

use std::sync::Arc;

use super::Action;
use super::Id;
use super::Machine;
use crate::clock::Ms;
use crate::commit::Resolution;
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
use crate::worker::State;

/// The maximum number of rows in one page of a scan.
pub(super) const PAGE_ROWS: u32 = 500;

/// The interval between reads of the drained workers.
const DRAINS_INTERVAL: Ms = Ms(2_000);

/// The purpose of a transaction, which selects the handler of its outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Purpose {
    /// Stores these changed pieces, and the heartbeat if it is due.
    Flush(Vec<Name>),
    /// Acquires these groups. The flag is set for a group without a row.
    Acquire(Vec<(Name, bool)>),
    /// Releases these groups without a successor.
    Release(Vec<Name>),
    /// Stores the effect of the operator's call with this number.
    Call(u64),
    /// Deletes the row of this entry when it stops.
    Leave,
    /// Moves a piece of a job between groups.
    Move {
        piece: Name,
        from: Name,
        to: Name,
        job: Name,
    },
}

/// The purpose of a read, which selects the handler of its rows.
#[derive(Clone, Debug)]
pub(super) enum Reading {
    /// The newest configuration.
    Config,
    /// The rows of all members, page by page.
    Members,
    /// The drained workers, with the rows of the pages read before.
    Drains(Vec<Row>),
    /// The rows of these groups.
    Groups(Vec<Name>),
    /// The stored work of a group, page by page.
    Work(Scan),
    /// The row of the group, read after its work to check that the owner did not change.
    ScanCheck(Scan),
    /// The rows that the operator's call with this number needs.
    Call(u64),
    /// The rows of all groups, page by page, to find those without workers.
    Stranded,
    /// The first work row of a group without workers, whose own row has this version.
    WorkerlessWork(Name, Version),
    /// What is stored of ended attempts whose piece no owner holds.
    Unacknowledged(Unacknowledged),
    /// The index row of a job, to move one of its pieces to a group.
    Move { piece: Name, to: Name },
}

/// An unfinished scan of a group's work.
#[derive(Clone, Debug)]
pub(super) struct Scan {
    pub(super) group: Name,
    pub(super) epoch: Epoch,
    pub(super) began: Ms,
    pub(super) rows: Vec<Row>,
}

/// Ended attempts on one worker whose stored outcome is being read.
#[derive(Clone, Debug)]
pub(super) struct Unacknowledged {
    pub(super) vm: Name,
    pub(super) group: Name,
    pub(super) epoch: Epoch,
    pub(super) tasks: Vec<(Name, u32, State)>,
    /// The piece of each task and the group that it is assigned to; empty until the index rows were
    /// read.
    pub(super) pieces: Vec<Option<(Name, Name)>>,
}

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Whether no operation of the table has failed since the last success.
    pub(super) const fn is_table_up(&self) -> bool {
        self.backoff.down_since().is_none()
    }

    /// How long every operation of the table has failed, or `None` if the last one succeeded.
    pub(super) fn outage_duration(&self) -> Option<Ms> {
        self.backoff.down_since().map(|since| self.now.since(since))
    }

    pub(super) fn start_read(&mut self, reading: Reading, operation: Operation) -> Id {
        let id = self.next_id();
        self.reads.insert(id, reading);
        self.actions.push(Action::Table(id, operation));
        id
    }

    pub(super) fn start_scan(&mut self, reading: Reading, prefix: &str, after: &str) -> Id {
        let operation = Operation::Scan {
            prefix: prefix.into(),
            after: after.into(),
            limit: PAGE_ROWS,
        };
        self.start_read(reading, operation)
    }

    /// Starts the periodic reads that are due. While the table is down, only the configuration is
    /// read, as a probe after each backoff.
    pub(super) fn start_due_reads(&mut self) {
        if !self.backoff.is_elapsed(self.now) {
            return;
        }
        if self.rollout.begin_read(self.now) {
            self.start_read(Reading::Config, Operation::Read(vec![rollout::KEY.into()]));
        }
        if !self.is_table_up() {
            return;
        }
        if self.now >= self.due.members {
            self.due.members = self.now + self.roster.heartbeat_interval(self.now);
            self.start_scan(Reading::Members, "member/", "");
        }
        if self.now >= self.due.drains {
            self.due.drains = self.now + DRAINS_INTERVAL;
            self.start_scan(Reading::Drains(Vec::new()), "drain/", "");
        }
        self.start_due_scans();
    }

    pub(super) fn handle_table_outcome(&mut self, id: Id, outcome: Outcome) {
        // The failure of an operation that began before a pause says nothing about the table now.
        if id >= self.first_valid_id || !matches!(outcome, Outcome::Unavailable | Outcome::Unknown)
        {
            self.update_backoff(&outcome);
        }
        if self.writer.is_awaiting(id) {
            let resolution = self.writer.handle_outcome(id, &outcome);
            if let Some((purpose, transaction, resolution)) = resolution {
                self.dispatch_resolution(purpose, &transaction, resolution);
            }
            return;
        }
        let Some(reading) = self.reads.remove(&id) else {
            return;
        };
        match outcome {
            Outcome::Rows(rows) => self.dispatch_rows(id, reading, rows),
            _ => self.handle_failed_read(id, reading),
        }
    }

    fn update_backoff(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Unavailable | Outcome::Unknown => {
                // Failures within one backoff count as one attempt.
                if self.backoff.is_elapsed(self.now)
                    && self.backoff.record_failure(self.now, &mut self.random)
                {
                    self.record_event(Kind::StoreLost, "table", None, "a table operation failed");
                }
            }
            _ => {
                if self.backoff.record_success() {
                    self.record_event(
                        Kind::StoreBack,
                        "table",
                        None,
                        "a table operation succeeded",
                    );
                    self.due.rows = self.now;
                }
            }
        }
    }

    fn dispatch_rows(&mut self, id: Id, reading: Reading, rows: Vec<Row>) {
        match reading {
            Reading::Config => {
                if id >= self.first_valid_id {
                    self.apply_config_row(&rows);
                }
            }
            Reading::Members => self.merge_member_rows(&rows),
            Reading::Drains(before) => self.handle_drain_rows(before, rows),
            Reading::Groups(names) => self.handle_group_rows(id, &names, &rows),
            Reading::Work(scan) => self.handle_work_rows(scan, rows),
            Reading::ScanCheck(scan) => self.handle_scan_check(&scan, &rows),
            Reading::Call(call) => self.handle_call_rows(call, Some(&rows)),
            Reading::Stranded => self.handle_stranded_rows(&rows),
            Reading::WorkerlessWork(group, version) => {
                self.acquire_if_work_left(group, version, &rows)
            }
            Reading::Unacknowledged(ended) => self.handle_unacknowledged_rows(ended, &rows),
            Reading::Move { piece, to } => self.handle_move_index(&piece, &to, &rows),
        }
    }

    fn handle_failed_read(&mut self, id: Id, reading: Reading) {
        match reading {
            Reading::Config => {
                if id >= self.first_valid_id {
                    self.rollout.read_failed();
                }
            }
            Reading::Groups(_) => self.due.rows = self.now,
            Reading::Work(scan) | Reading::ScanCheck(scan) => {
                if let Some(held) = self.held.get_mut(&scan.group) {
                    held.scanning = false;
                    held.next_scan = self.now;
                }
            }
            Reading::Call(call) => self.handle_call_rows(call, None),
            Reading::Members
            | Reading::Drains(_)
            | Reading::Unacknowledged(_)
            | Reading::Stranded
            | Reading::WorkerlessWork(..)
            | Reading::Move { .. } => {}
        }
    }

    fn apply_config_row(&mut self, rows: &[Row]) {
        let value = rows.first().map(|row| &row.value[..]);
        let changed = self.rollout.apply_row(value);
        self.record_decode_result(rollout::KEY, self.rollout.decode_error().cloned());
        self.apply_config(changed);
    }

    /// Puts the configuration of the rollout into force if it changed.
    pub(super) fn apply_config(&mut self, changed: bool) {
        self.targets_changed = true;
        if !changed {
            return;
        }
        let version = self.rollout.version();
        self.roster.set_version(version);
        let Some(checked) = self.rollout.checked().cloned() else {
            return;
        };
        self.actions
            .push(Action::Config(version, Arc::clone(&checked)));
        self.drive(place::Event::Config(checked));
        self.record_event(
            Kind::ConfigInForce,
            &format!("config/{}", version.0),
            None,
            "it is the newest valid version known",
        );
    }

    fn merge_member_rows(&mut self, rows: &[Row]) {
        for row in rows {
            let member = record::decode::<Member>(&row.value);
            self.record_decode_result(&row.key, member.as_ref().err().cloned());
            if let Ok(member) = member {
                let change = self.roster.merge_row(self.now, &member);
                self.apply_member_change(&member, change);
            }
        }
        if let (Some(last), true) = (rows.last(), rows.len() == PAGE_ROWS as usize) {
            self.start_scan(Reading::Members, "member/", &last.key);
        }
    }

    /// Updates the list of rows that cannot be decoded.
    pub(super) fn record_decode_result(&mut self, key: &str, error: Option<record::Error>) {
        match error {
            Some(error) => {
                self.damaged.insert(key.into(), error);
            }
            None => {
                self.damaged.remove(key);
            }
        }
    }

    fn dispatch_resolution(
        &mut self,
        purpose: Purpose,
        transaction: &Transaction,
        resolution: Resolution,
    ) {
        match purpose {
            Purpose::Flush(pieces) => self.flush_resolved(&pieces, transaction, &resolution),
            Purpose::Acquire(groups) => self.acquire_resolved(&groups, &resolution),
            Purpose::Release(groups) => self.release_resolved(&groups, &resolution),
            Purpose::Leave => self.row_deleted = matches!(resolution, Resolution::Done(_)),
            Purpose::Call(call) => self.call_resolved(call, &resolution),
            Purpose::Move {
                piece,
                from,
                to,
                job,
            } => self.move_resolved(&piece, &from, &to, &job, &resolution),
        }
    }
}
