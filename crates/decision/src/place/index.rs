//! Workers of one group by free room, in cells of nearly equal room.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::resource::Size;

/// Cells looked at in one search, so that its cost does not depend on the number of workers.
const MAX_CELLS: usize = 128;

/// Workers looked at in one cell. Searches start at different workers of a cell, so that all are
/// looked at in time.
const MAX_IN_CELL: usize = 16;

/// Free accelerators, then the levels of free processors and memory.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Cell(u8, u8, u8);

/// Where a worker is in the index.
#[derive(Clone, Copy, Debug)]
pub struct Spot {
    cell: Cell,
    at: u32,
}

/// The index of a group.
#[derive(Debug, Default)]
pub struct Index {
    cells: BTreeMap<Cell, Vec<u32>>,
}

impl From<Size> for Cell {
    fn from(room: Size) -> Self {
        let accelerators = u8::try_from(room.accelerators).unwrap_or(u8::MAX);
        Self(accelerators, level(room.millicores), level(room.memory_mb))
    }
}

/// Four levels for each doubling of an amount.
fn level(amount: u32) -> u8 {
    let Some(exponent) = amount.checked_ilog2().filter(|&exponent| exponent >= 2) else {
        return u8::try_from(amount).unwrap_or(0);
    };
    let quarter = (amount >> (exponent - 2)) & 3;
    u8::try_from((exponent - 1) * 4 + quarter).unwrap_or(u8::MAX)
}

impl Index {
    /// Adds a worker.
    pub fn insert(&mut self, worker: u32, room: Size) -> Spot {
        let cell = Cell::from(room);
        let members = self.cells.entry(cell).or_default();
        members.push(worker);
        let at = u32::try_from(members.len() - 1).expect("workers fit in an index");
        Spot { cell, at }
    }

    /// Whether a worker with this room would stay at its spot.
    #[must_use]
    pub fn stays(spot: Spot, room: Size) -> bool {
        spot.cell == Cell::from(room)
    }

    /// Removes the worker at a spot. Returns the worker that took its position in the cell.
    pub fn remove(&mut self, spot: Spot) -> Option<(u32, Spot)> {
        let members = self.cells.get_mut(&spot.cell)?;
        members.swap_remove(spot.at as usize);
        let moved = members.get(spot.at as usize).copied();
        if members.is_empty() {
            self.cells.remove(&spot.cell);
        }
        moved.map(|worker| (worker, spot))
    }

    /// Visits workers that may hold `grant`, tightest first, until `visit` returns true. With
    /// `plain`, only workers without free accelerators are visited.
    pub fn search(
        &self,
        grant: Size,
        exclude_accelerators: bool,
        rotation: usize,
        mut visit: impl FnMut(u32) -> bool,
    ) {
        let least = Cell::from(grant);
        let mut cursor = least;
        for _ in 0..MAX_CELLS {
            let Some((&cell, members)) = self.cells.range(cursor..).next() else {
                return;
            };
            if exclude_accelerators && cell.0 > 0 {
                return;
            }
            if cell.1 < least.1 {
                cursor = Cell(cell.0, least.1, least.2);
            } else if cell.2 < least.2 {
                cursor = Cell(cell.0, cell.1, least.2);
            } else {
                let (before, after) = members.split_at(rotation % members.len());
                let mut candidates = after.iter().chain(before).take(MAX_IN_CELL);
                if candidates.any(|&worker| visit(worker)) {
                    return;
                }
                let Some(next) = cell.2.checked_add(1) else {
                    return;
                };
                cursor = Cell(cell.0, cell.1, next);
            }
        }
    }
}

/// The indices of all groups.
#[derive(Debug, Default)]
pub struct Rooms {
    groups: HashMap<u32, Index>,
    spots: Vec<Option<(u32, Spot)>>,
}

impl Rooms {
    /// Sets the room of a worker, or takes it out.
    pub fn set(&mut self, group: u32, worker: u32, room: Option<Size>) {
        let current = self.spots.get(worker as usize).copied().flatten();
        if let (Some((_, spot)), Some(room)) = (current, room)
            && Index::stays(spot, room)
        {
            return;
        }
        self.remove(worker);
        if let Some(room) = room {
            let spot = self.groups.entry(group).or_default().insert(worker, room);
            if self.spots.len() <= worker as usize {
                self.spots.resize(worker as usize + 1, None);
            }
            self.spots[worker as usize] = Some((group, spot));
        }
    }

    /// Takes a worker out.
    pub fn remove(&mut self, worker: u32) {
        let current = self.spots.get_mut(worker as usize).and_then(Option::take);
        let Some((group, spot)) = current else {
            return;
        };
        let index = self.groups.get_mut(&group);
        if let Some((other, spot)) = index.and_then(|index| index.remove(spot)) {
            self.spots[other as usize] = Some((group, spot));
        }
    }

    /// The index of a group.
    #[must_use]
    pub fn group(&self, group: u32) -> Option<&Index> {
        self.groups.get(&group)
    }
}
