//! An index of the workers of a group by free capacity, in cells of nearly equal capacity.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::resource::Size;

/// Maximum number of cells visited in one search, so that its cost does not depend on the number of
/// workers.
const MAX_CELLS: usize = 128;

/// Maximum number of workers visited in one cell. Successive searches start at different workers of
/// a cell, so that all of them are visited over time.
const MAX_IN_CELL: usize = 16;

/// The number of free accelerators, then the levels of free processors and memory.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Cell(u8, u8, u8);

/// The position of a worker in the index.
#[derive(Clone, Copy, Debug)]
pub struct Spot {
    cell: Cell,
    at: u32,
}

/// The index of one group.
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

/// Maps an amount to a logarithmic scale with four levels for each doubling.
fn level(amount: u32) -> u8 {
    let Some(exponent) = amount.checked_ilog2().filter(|&exponent| exponent >= 2) else {
        return u8::try_from(amount).unwrap_or(0);
    };
    let quarter = (amount >> (exponent - 2)) & 3;
    u8::try_from((exponent - 1) * 4 + quarter).unwrap_or(u8::MAX)
}

impl Index {
    /// Adds a worker with this free capacity.
    pub fn insert(&mut self, worker: u32, room: Size) -> Spot {
        let cell = Cell::from(room);
        let members = self.cells.entry(cell).or_default();
        members.push(worker);
        let at = u32::try_from(members.len() - 1).expect("there are fewer than 2^32 workers");
        Spot { cell, at }
    }

    /// Returns whether a worker at a spot stays there when its free capacity becomes `room`.
    #[must_use]
    pub fn stays(spot: Spot, room: Size) -> bool {
        spot.cell == Cell::from(room)
    }

    /// Removes the worker at a spot. Returns the worker that was moved to this spot, if any.
    pub fn remove(&mut self, spot: Spot) -> Option<(u32, Spot)> {
        let members = self.cells.get_mut(&spot.cell)?;
        members.swap_remove(spot.at as usize);
        let moved = members.get(spot.at as usize).copied();
        if members.is_empty() {
            self.cells.remove(&spot.cell);
        }
        moved.map(|worker| (worker, spot))
    }

    /// Visits workers that may hold `grant`, the tightest fits first, until `visit` returns true.
    /// With `exclude_accelerators`, only workers without free accelerators are visited. `rotation`
    /// selects the worker of each cell at which the search starts.
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

/// The indices of all groups, with the position of each worker.
#[derive(Debug, Default)]
pub struct Rooms {
    groups: HashMap<u32, Index>,
    spots: Vec<Option<(u32, Spot)>>,
}

impl Rooms {
    /// Sets the free capacity of a worker, or removes the worker if `room` is `None`.
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

    /// Removes a worker from the index of its group.
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

    /// Returns the index of a group, if a worker was ever added to it.
    #[must_use]
    pub fn group(&self, group: u32) -> Option<&Index> {
        self.groups.get(&group)
    }
}
