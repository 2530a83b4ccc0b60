//! Acknowledgement of ended attempts that workers still keep although no owner holds their piece.
//!
//! An owner may crash after it stored an outcome and before it acknowledged the attempt. The piece
//! is then no longer among the group's work, so the board cannot acknowledge the attempt.

use std::ops::Bound;

use super::Machine;
use super::adopt::InFlight;
use super::store::Reading;
use super::store::Unacknowledged;
use crate::clock::Ms;
use crate::group::Authority;
use crate::job;
use crate::name::Name;
use crate::piece::Piece;
use crate::piece::Record;
use crate::place;
use crate::record;
use crate::record::Index;
use crate::record::Work;
use crate::step::Step;
use crate::table::Operation;
use crate::table::Row;
use crate::worker::Report;
use crate::worker::State;
use crate::worker::Verb;

/// The interval between checks of one worker for unacknowledged attempts.
const CHECK_INTERVAL: Ms = Ms(10_000);
/// The maximum number of attempts that one check handles.
const MAX_TASKS: usize = 64;
/// An ended piece stays on the board for this long, because acknowledgements may have to be
/// repeated.
const ENDED_RETENTION: Ms = Ms(60_000);

/// Splits the name of a task, `job#index`.
fn split_task(task: &str) -> Option<(&str, u32)> {
    let (job, index) = task.rsplit_once('#')?;
    Some((job, index.parse().ok()?))
}

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Reads what is stored of ended attempts in a report that belong to no piece held here.
    pub(super) fn check_unacknowledged(&mut self, sent: &InFlight, report: &Report) {
        let Some(held) = self.held.get_mut(&sent.group) else {
            return;
        };
        let is_ready =
            held.authority == Authority::Row && held.scanned && self.backoff.down_since().is_none();
        let Some(adoption) = held.workers.get_mut(&sent.vm) else {
            return;
        };
        if !is_ready || self.now < adoption.next_unacknowledged_check {
            return;
        }
        adoption.next_unacknowledged_check = self.now + CHECK_INTERVAL;
        let ended = report
            .tasks
            .iter()
            .filter(|task| task.state != State::Running);
        let unknown = ended.filter(|task| !self.holds_task(&task.name));
        let tasks = unknown.map(|task| (task.name.clone(), task.attempt, task.state));
        let tasks = Vec::from_iter(tasks.take(MAX_TASKS));
        if tasks.is_empty() {
            return;
        }
        let jobs = tasks.iter().filter_map(|(task, ..)| split_task(task));
        let mut keys = Vec::from_iter(jobs.map(|(job, _)| job::index_key(job)));
        keys.sort_unstable();
        keys.dedup();
        let ended = Unacknowledged {
            vm: sent.vm.clone(),
            group: sent.group.clone(),
            epoch: sent.epoch,
            tasks,
            pieces: Vec::new(),
        };
        self.start_read(Reading::Unacknowledged(ended), Operation::Read(keys));
    }

    fn holds_task(&self, task: &str) -> bool {
        let Some((job, index)) = split_task(task) else {
            return false;
        };
        let prefix = format!("{job}.");
        let from = (Bound::Included(prefix.as_str()), Bound::Unbounded);
        let pieces = self.pieces.range::<str, _>(from);
        let mut pieces = pieces.take_while(|(name, _)| name.starts_with(&prefix));
        pieces.any(|(_, stored)| *stored.job == *job && stored.tasks.contains(&index))
    }

    pub(super) fn handle_unacknowledged_rows(&mut self, mut ended: Unacknowledged, rows: &[Row]) {
        if !ended.pieces.is_empty() {
            self.acknowledge_ended(&ended, rows);
            return;
        }
        let mut keys = Vec::new();
        for (task, ..) in &ended.tasks {
            let piece = locate_piece(task, rows);
            if let Some((piece, group)) = &piece {
                keys.push(job::ended_key(piece));
                keys.push(job::piece_key(group, piece));
            }
            ended.pieces.push(piece);
        }
        keys.sort_unstable();
        keys.dedup();
        if !keys.is_empty() {
            self.start_read(Reading::Unacknowledged(ended), Operation::Read(keys));
        }
    }

    fn acknowledge_ended(&mut self, ended: &Unacknowledged, rows: &[Row]) {
        let held = self.held.get(&ended.group);
        if held.is_none_or(|held| held.epoch != ended.epoch) {
            return;
        }
        let mut tasks = Vec::new();
        for ((task, attempt, state), piece) in ended.tasks.iter().zip(&ended.pieces) {
            let Some((piece, group)) = piece else {
                continue;
            };
            let record = stored_outcome(task, piece, group, rows);
            let elsewhere = *group != ended.group && *state != State::Completed;
            let is_final = match record {
                Some(Record::Open { .. }) => elsewhere,
                Some(_) => true,
                None => false,
            };
            if is_final && !self.holds_task(task) {
                tasks.push((task.clone(), *attempt));
            }
        }
        if !tasks.is_empty() {
            let id = self.next_id();
            let (group, vm) = (ended.group.clone(), ended.vm.clone());
            let verb = Verb::Acknowledge { tasks };
            self.send_command(id, group, vm, ended.epoch, verb, None);
        }
    }

    /// Removes pieces from the board that ended [`ENDED_RETENTION`] ago.
    pub(super) fn expire_ended_pieces(&mut self) {
        while let Some((at, _)) = self.ended.front() {
            if self.now.since(*at) < ENDED_RETENTION {
                return;
            }
            if let Some((_, piece)) = self.ended.pop_front() {
                self.drive(place::Event::Moved(piece));
            }
        }
    }
}

/// The piece of a task, and the group that it was assigned to.
fn locate_piece(task: &str, rows: &[Row]) -> Option<(Name, Name)> {
    let (job, index) = split_task(task)?;
    let key = job::index_key(job);
    let row = rows.iter().find(|row| row.key == key)?;
    let index_row = record::decode::<Index>(&row.value).ok()?;
    let number = index.checked_div(index_row.step)?;
    let group = index_row.groups.get(number as usize)?.clone();
    let piece = Name::try_from(format!("{job}.{number}")).ok()?;
    Some((piece, group))
}

/// The stored record of a task, from the ended piece or the open one.
fn stored_outcome(task: &str, piece: &str, group: &str, rows: &[Row]) -> Option<Record> {
    let find = |key: String| rows.iter().find(|row| row.key == key);
    let stored: Piece = match find(job::ended_key(piece)) {
        Some(row) => record::decode(&row.value).ok()?,
        None => match record::decode(&find(job::piece_key(group, piece))?.value).ok()? {
            Work::Piece(piece) => piece,
            Work::Cancel(_) => return None,
        },
    };
    let index = split_task(task)?.1.checked_sub(stored.first)?;
    stored.tasks.get(index as usize).cloned()
}
