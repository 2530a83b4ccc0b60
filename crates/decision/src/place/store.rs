//! Stores of changed pieces: when they are ordered, and what follows when they are confirmed.

use super::Order;
use super::ledger::Ledger;
use crate::name::Name;
use crate::piece;
use crate::task::Any;

impl Ledger {
    /// Marks a piece as changed and returns the number of the change.
    pub(super) fn mark_changed(&mut self, index: u32) -> u64 {
        let piece = self.piece_mut(index);
        piece.change += 1;
        let change = piece.change;
        if piece.ordered.is_none() && !piece.queued {
            piece.queued = true;
            self.dirty.push(index);
        }
        change
    }

    pub(super) fn order_stores(&mut self) {
        for index in std::mem::take(&mut self.dirty) {
            let Some(piece) = self.pieces[index as usize].as_mut() else {
                continue;
            };
            piece.queued = false;
            if piece.ordered.is_none() {
                piece.ordered = Some(piece.change);
                let name = piece.name.clone();
                self.order(Order::Store(name));
            }
        }
    }

    /// Handles the confirmation that a piece was stored as it was when the store was ordered.
    pub(super) fn confirm_store(&mut self, name: &Name) {
        let Some(&index) = self.piece_by_name.get(name) else {
            return;
        };
        let piece = self.piece_mut(index);
        let Some(ordered) = piece.ordered.take() else {
            return;
        };
        piece.stored = ordered;
        if piece.change > ordered {
            piece.queued = true;
            self.dirty.push(index);
        }
        self.pieces_to_ack.push(index);
    }

    /// Returns a piece in its stored form, if it is held.
    #[must_use]
    pub fn stored_form(&self, name: &Name) -> Option<piece::Piece> {
        let held = self.piece(*self.piece_by_name.get(name)?);
        Some(piece::Piece {
            name: held.name.clone(),
            job: held.job.clone(),
            first: held.first,
            tasks: held.tasks.iter().map(Any::record).collect(),
            cancelled: held.cancelled,
        })
    }
}
