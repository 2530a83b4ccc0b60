//! Batched commits of changed pieces and of the heartbeat.

use super::Action;
use super::Machine;
use super::store::Purpose;
use crate::commit::Resolution;
use crate::commit::Transaction;
use crate::group::Authority;
use crate::job;
use crate::name::Name;
use crate::piece::Piece;
use crate::place;
use crate::record;
use crate::step::Step;
use crate::table;
use crate::table::Version;

// Keeps a commit well under the size that the table can process within the time limit of an answer.
const MAX_ROWS_PER_COMMIT: usize = 64;
// Transactions of other purposes may start in the same tick as a batched commit.
const MAX_OPERATIONS_PER_TICK: usize = 4;

/// What is known of the row of a piece that the board holds.
#[derive(Clone, Debug)]
pub(super) struct Stored {
    pub(super) group: Name,
    pub(super) job: Name,
    pub(super) version: Version,
    /// The indices of its tasks within the job.
    pub(super) tasks: std::ops::Range<u32>,
    /// Whether the piece changed since its last commit was queued.
    pub(super) dirty: bool,
}

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    pub(super) fn mark_dirty(&mut self, piece: &Name) {
        if let Some(stored) = self.pieces.get_mut(piece)
            && !std::mem::replace(&mut stored.dirty, true)
        {
            self.dirty.push_back(piece.clone());
        }
    }

    /// Queues at most one batched commit, and sends the operations that the budget allows.
    pub(super) fn flush(&mut self) {
        if !self.is_table_up() {
            return;
        }
        self.queue_batch_commit();
        for _ in 0..MAX_OPERATIONS_PER_TICK {
            let id = self.next_id();
            let Some(operation) = self.writer.next_operation(self.now, id) else {
                return;
            };
            self.actions.push(Action::Table(id, operation));
        }
    }

    fn queue_batch_commit(&mut self) {
        let is_flush = |purpose: &Purpose| matches!(purpose, Purpose::Flush(_));
        if self.writer.purposes().any(is_flush) {
            return;
        }
        let mut transaction = Transaction::default();
        let max_rows = self
            .writer
            .budget()
            .available_rows(self.now)
            .min(MAX_ROWS_PER_COMMIT);
        if max_rows == 0 {
            return;
        }
        self.add_heartbeat(&mut transaction);
        let pieces = self.add_dirty_pieces(&mut transaction, max_rows);
        if !transaction.writes.is_empty() {
            self.writer.push(Purpose::Flush(pieces), transaction);
        }
    }

    fn add_heartbeat(&mut self, transaction: &mut Transaction) {
        if self.now < self.due.heartbeat || self.stopping.is_some() {
            return;
        }
        self.due.heartbeat = self.now + self.roster.heartbeat_interval(self.now);
        let mut member = self.roster.next_heartbeat();
        // Every entry reads this row. The room of groups and the held sizes are carried by digests
        // only.
        member.room.clear();
        member.held.clear();
        transaction.writes.push(table::Write {
            key: table::key("member", &self.identity.entry),
            value: Some(record::encode(&member)),
        });
    }

    /// Adds changed pieces while the transaction has fewer than `max_rows` writes, and returns
    /// their names.
    fn add_dirty_pieces(&mut self, transaction: &mut Transaction, max_rows: usize) -> Vec<Name> {
        let mut pieces = Vec::new();
        let mut locked = Vec::new();
        while transaction.writes.len() < max_rows {
            let Some(name) = self.dirty.pop_front() else {
                break;
            };
            let Some(stored) = self.pieces.get_mut(&name).filter(|stored| stored.dirty) else {
                continue;
            };
            let key = job::piece_key(&stored.group, &name);
            if self.writer.is_locked(&key) {
                locked.push(name);
                continue;
            }
            stored.dirty = false;
            let held = self.held.get(&stored.group);
            let Some(held) = held.filter(|held| held.authority == Authority::Row) else {
                continue;
            };
            let Some(piece) = self.board.piece(&name) else {
                continue;
            };
            let group = table::key("group", &stored.group);
            if !transaction
                .conditions
                .iter()
                .any(|condition| condition.key == group)
            {
                transaction.require(group, Version(held.epoch.row));
            }
            add_piece_write(transaction, key, stored.version, piece);
            pieces.push(name);
        }
        self.dirty.extend(locked);
        pieces
    }

    pub(super) fn flush_resolved(
        &mut self,
        pieces: &[Name],
        transaction: &Transaction,
        resolution: &Resolution,
    ) {
        match resolution {
            Resolution::Done(versions) => {
                let deleted = transaction
                    .writes
                    .iter()
                    .filter(|write| write.value.is_none());
                let deleted = deleted.map(|write| (write.key.clone(), self.now));
                self.removed.extend(deleted);
                let rows = transaction.writes.iter().zip(versions);
                let rows = rows.map(|(write, version)| (write.key.clone(), *version));
                let rows = std::collections::BTreeMap::from_iter(rows);
                for name in pieces {
                    self.piece_stored(name, &rows);
                }
            }
            Resolution::Conflict(condition) => {
                // The second part of the key is the group, both for its own row and for its pieces.
                let mut parts = condition.key.split('/').skip(1);
                let group = parts.next().and_then(|group| Name::try_from(group).ok());
                if let Some(group) = group {
                    self.lose_group(&group, "a commit failed because its rows had changed");
                }
                self.requeue_unsaved(pieces);
            }
            Resolution::Unavailable => self.requeue_unsaved(pieces),
        }
    }

    /// Queues the pieces and the heartbeat of a failed commit again.
    fn requeue_unsaved(&mut self, pieces: &[Name]) {
        self.due.heartbeat = self.now;
        for name in pieces {
            self.mark_dirty(name);
        }
    }

    fn piece_stored(&mut self, name: &Name, rows: &std::collections::BTreeMap<String, Version>) {
        let Some(stored) = self.pieces.get_mut(name) else {
            return;
        };
        let version = rows.get(&job::piece_key(&stored.group, name)).copied();
        if rows.contains_key(&job::ended_key(name)) {
            self.pieces.remove(name);
            self.ended.push_back((self.now, name.clone()));
            self.drive(place::Event::Stored(name.clone()));
            return;
        }
        stored.version = version.unwrap_or(stored.version);
        // If the piece changed after this commit was queued, the next commit stores the change and
        // reports it.
        if !stored.dirty {
            self.drive(place::Event::Stored(name.clone()));
        }
    }
}

/// Adds the write of a piece to the transaction. An ended piece moves to the rows of ended pieces,
/// which owners do not scan.
fn add_piece_write(transaction: &mut Transaction, key: String, version: Version, piece: Piece) {
    if job::has_ended(&piece) {
        let ended = job::ended_key(&piece.name);
        transaction.replace(key, version, None);
        transaction.replace(ended, Version(0), Some(record::encode(&piece)));
    } else {
        let value = record::encode(&record::Work::Piece(piece));
        transaction.replace(key, version, Some(value));
    }
}
