//! Moves waiting pieces to groups with room.

use super::Machine;
use super::store::Purpose;
use super::store::Reading;
use crate::clock::Ms;
use crate::commit::Resolution;
use crate::commit::Transaction;
use crate::group::Authority;
use crate::job;
use crate::name::Name;
use crate::place;
use crate::record;
use crate::step::Step;
use crate::table;
use crate::table::Operation;
use crate::table::Row;

/// The interval between moves.
const MOVE_INTERVAL: Ms = Ms(200);

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Queues a piece that may be moved to another group.
    pub(super) fn queue_surplus(&mut self, piece: Name) {
        if !self.surplus.contains(&piece) {
            self.surplus.push_back(piece);
        }
    }

    /// Starts to move one of the queued pieces, which the board cannot start soon.
    pub(super) fn start_surplus_move(&mut self) {
        if self.now < self.due.surplus || !self.is_table_up() || self.stopping.is_some() {
            return;
        }
        let Some(piece) = self.surplus.pop_front() else {
            return;
        };
        self.due.surplus = self.now + MOVE_INTERVAL;
        if !self.is_waiting(&piece) {
            return;
        }
        if let Some(to) = self.roomiest_group(&piece) {
            let job = self.pieces[&piece].job.clone();
            let keys = vec![job::index_key(&job)];
            self.start_read(Reading::Move { piece, to }, Operation::Read(keys));
        }
    }

    /// Whether the piece only waits: none of its tasks runs or may run, and no change of it is
    /// being stored.
    fn is_waiting(&self, piece: &Name) -> bool {
        let Some(stored) = self.pieces.get(piece) else {
            return false;
        };
        let Some(held) = self.held.get(&stored.group) else {
            return false;
        };
        let mut workers = self.board.workers().into_iter();
        let workerless = !workers.any(|worker| worker.group == stored.group);
        let progress = self.board.progress(Some(&stored.job));
        held.authority == Authority::Row
            && held.confirmed
            && !held.frozen
            && !stored.dirty
            && (workerless || progress.iter().all(|job| job.running == 0))
            && !self.writer.is_locked(&job::piece_key(&stored.group, piece))
    }

    /// The group with the most free room for the piece, unless it is the group of the piece. A
    /// group without room is returned only for a piece whose group has no workers.
    fn roomiest_group(&self, piece: &Name) -> Option<Name> {
        let from = &self.pieces.get(piece)?.group;
        let size = self.board.piece(piece)?.job.size;
        let groups = self.capacities(size, self.rollout.checked()?);
        let workerless = self.is_workerless(from);
        let (group, capacity) = groups
            .into_iter()
            .max_by_key(|(_, capacity)| (capacity.free, capacity.total))?;
        ((capacity.free > 0 || workerless) && group != *from).then_some(group)
    }

    pub(super) fn handle_move_index(&mut self, piece: &Name, to: &Name, rows: &[Row]) {
        let Some(row) = rows.first() else {
            return;
        };
        let Ok(mut index) = record::decode::<record::Index>(&row.value) else {
            return;
        };
        if !self.is_waiting(piece) || index.cancelled || self.writer.is_locked(&row.key) {
            return;
        }
        let (Some(content), Some(stored)) = (self.board.piece(piece), self.pieces.get(piece))
        else {
            return;
        };
        let from = stored.group.clone();
        let Some(epoch) = self.held.get(&from).map(|held| held.epoch) else {
            return;
        };
        let number = piece
            .rsplit('.')
            .next()
            .and_then(|number| number.parse().ok());
        let Some(assigned) = number.and_then(|number: usize| index.groups.get_mut(number)) else {
            return;
        };
        assigned.clone_from(to);
        let job = stored.job.clone();
        let mut transaction = Transaction::default();
        transaction.require(table::key("group", &from), table::Version(epoch.row));
        transaction.replace(row.key.clone(), row.version, Some(record::encode(&index)));
        transaction.replace(job::piece_key(&from, piece), stored.version, None);
        let value = record::encode(&record::Work::Piece(content));
        transaction.replace(job::piece_key(to, piece), table::Version(0), Some(value));
        // The piece is removed from the board first, so that none of its tasks starts meanwhile.
        self.pieces.remove(piece);
        self.drive(place::Event::Moved(piece.clone()));
        let purpose = Purpose::Move {
            piece: piece.clone(),
            from,
            to: to.clone(),
            job,
        };
        self.writer.push(purpose, transaction);
    }

    /// Handles the outcome of a move. If it failed, the next scan finds the piece in its old group.
    pub(super) fn move_resolved(
        &mut self,
        piece: &Name,
        from: &Name,
        to: &Name,
        job: &Name,
        resolution: &Resolution,
    ) {
        if matches!(resolution, Resolution::Done(_)) {
            self.removed.insert(job::piece_key(from, piece), self.now);
            self.notify_owner(to, job);
        } else if let Some(held) = self.held.get_mut(from) {
            held.next_scan = self.now;
        }
    }
}
