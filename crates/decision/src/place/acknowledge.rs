//! Acknowledgements of ended attempts.

use super::ledger::Ledger;
use super::ledger::Purpose;
use super::ledger::piece::Ack;
use super::ledger::piece::Key;
use crate::clock::Ms;
use crate::task::LEASE_EXPIRY;
use crate::worker;
use crate::worker::Verb;

/// Maximum number of attempts in one acknowledgement.
const MAX_ACKS: usize = 256;

impl Ledger {
    /// Schedules the acknowledgement of an ended attempt for when the change of the piece is stored
    /// and no late start of the attempt can arrive any more.
    pub(super) fn schedule_ack(
        &mut self,
        index: u32,
        key: Key,
        reported: &worker::Task,
        unanswered_at: Option<Ms>,
        is_new: bool,
    ) {
        let is_scheduled = |ack: &Ack| {
            ack.worker == index && ack.task == key.task && ack.attempt == reported.attempt
        };
        if self.piece(key.piece).acks.iter().any(is_scheduled) {
            return;
        }
        let not_before =
            unanswered_at.map_or(self.now, |unanswered_at| unanswered_at + LEASE_EXPIRY);
        let open = !self.task_mut(key).has_ended();
        let change = if is_new || open {
            self.mark_changed(key.piece)
        } else {
            self.piece(key.piece).change
        };
        self.pieces_to_ack.push(key.piece);
        self.piece_mut(key.piece).acks.push(Ack {
            worker: index,
            task: key.task,
            attempt: reported.attempt,
            change,
            not_before,
        });
    }

    /// Sends the acknowledgements that are due: their change is stored, and no late start of the
    /// attempt can arrive any more.
    pub(super) fn order_acks(&mut self) {
        let mut later = Vec::new();
        let mut workers = std::mem::take(&mut self.workers_to_ack);
        for index in std::mem::take(&mut self.pieces_to_ack) {
            let now = self.now;
            let Some(piece) = self.pieces[index as usize].as_mut() else {
                continue;
            };
            let stored = piece.stored;
            let due = |ack: &Ack| ack.change <= stored && ack.not_before <= now;
            let ready: Vec<Ack> = piece.acks.iter().copied().filter(due).collect();
            piece.acks.retain(|ack| !due(ack));
            if piece.acks.iter().any(|ack| ack.change <= stored) {
                later.push(index);
            }
            workers.extend(
                ready
                    .into_iter()
                    .filter_map(|ack| self.queue_ack(index, ack)),
            );
        }
        later.sort_unstable();
        later.dedup();
        self.pieces_to_ack = later;
        for index in workers {
            self.send_acks(index);
        }
    }

    fn queue_ack(&mut self, piece: u32, ack: Ack) -> Option<u32> {
        let key = Key {
            piece,
            task: ack.task,
        };
        let task = self.task_name(key);
        let worker = self.workers[ack.worker as usize].as_mut()?;
        let entry = (task, ack.attempt);
        if !worker.acks.contains(&entry) {
            worker.acks.push(entry);
        }
        Some(ack.worker)
    }

    fn send_acks(&mut self, index: u32) {
        if self.workers[index as usize].is_none() || !self.may_command(index) {
            return;
        }
        let worker = self.worker_mut(index);
        if worker.ack_in_flight || worker.acks.is_empty() {
            return;
        }
        worker.ack_in_flight = true;
        let count = worker.acks.len().min(MAX_ACKS);
        let tasks = worker.acks.drain(..count).collect();
        self.command(index, Verb::Acknowledge { tasks }, Purpose::Acknowledge);
    }
}
