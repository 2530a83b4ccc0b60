//! Amounts of processors, memory and accelerators.

use serde::Deserialize;
use serde::Serialize;

/// An amount of each resource, such as a worker's capacity or what is granted to a task.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Size {
    /// Processor time in thousandths of a core.
    pub millicores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

/// A dimension of a [`Size`], named in refusals.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Dimension {
    /// Processor time, `millicores`.
    Processors,
    /// Memory, `memory_mb`.
    Memory,
    /// Whole accelerators.
    Accelerators,
}

impl Size {
    /// The amount with zero in each dimension.
    pub const ZERO: Self = Self {
        millicores: 0,
        memory_mb: 0,
        accelerators: 0,
    };

    /// Returns whether no dimension exceeds `room`.
    #[must_use]
    pub const fn fits(self, room: Self) -> bool {
        self.lacking(room).is_none()
    }

    /// Returns the first dimension in which `self` exceeds `room`, accelerators before memory
    /// before processors.
    #[must_use]
    pub const fn lacking(self, room: Self) -> Option<Dimension> {
        if self.accelerators > room.accelerators {
            Some(Dimension::Accelerators)
        } else if self.memory_mb > room.memory_mb {
            Some(Dimension::Memory)
        } else if self.millicores > room.millicores {
            Some(Dimension::Processors)
        } else {
            None
        }
    }

    /// Returns how often `self` fits into `room`; `u32::MAX` if it is zero in each dimension.
    #[must_use]
    pub fn times_in(self, room: Self) -> u32 {
        let times = |need: u32, have: u32| have.checked_div(need).unwrap_or(u32::MAX);
        times(self.millicores, room.millicores)
            .min(times(self.memory_mb, room.memory_mb))
            .min(times(self.accelerators, room.accelerators))
    }

    /// Returns the sum in each dimension, saturating at the maximum.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference in each dimension, saturating at zero.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger amount in each dimension.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller amount in each dimension.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.min(other.millicores),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }
}
