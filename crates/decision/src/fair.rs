//! Fairness between teams: weighted dominant shares and quotas.

use std::collections::HashMap;

use crate::config::Checked;
use crate::name::Name;
use crate::resource::Size;

/// What teams hold, here and elsewhere.
#[derive(Debug, Default)]
pub struct Shares {
    held_elsewhere: HashMap<Name, Size>,
    total: Total,
}

/// A sum over all workers, which is more than a [`Size`] holds.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    millicores: u64,
    memory_mb: u64,
    accelerators: u64,
}

impl Shares {
    /// Replaces what teams hold on the workers of other entries.
    pub fn set_held_elsewhere(&mut self, held: Vec<(Name, Size)>) {
        self.held_elsewhere = held.into_iter().collect();
    }

    /// A worker's capacity for batch work changed.
    pub fn resize(&mut self, before: Size, after: Size) {
        let change = |total: &mut u64, before: u32, after: u32| {
            *total = (*total + u64::from(after)).saturating_sub(u64::from(before));
        };
        let total = &mut self.total;
        change(&mut total.millicores, before.millicores, after.millicores);
        change(&mut total.memory_mb, before.memory_mb, after.memory_mb);
        change(
            &mut total.accelerators,
            before.accelerators,
            after.accelerators,
        );
    }

    /// What a team holds, here (`own`) and elsewhere.
    #[must_use]
    pub fn held(&self, team: &Name, own: Size) -> Size {
        let others = self.held_elsewhere.get(team).copied().unwrap_or_default();
        own.plus(others)
    }

    /// The largest share of any resource that a team holds, divided by its weight. A team that is
    /// not configured has weight 1.
    #[must_use]
    pub fn dominant_share(&self, config: &Checked, team: &Name, own: Size) -> f64 {
        let held = self.held(team, own);
        let part = |held: u32, total: u64| f64::from(held) / total.max(1) as f64;
        let processors = part(held.millicores, self.total.millicores);
        let memory = part(held.memory_mb, self.total.memory_mb);
        let accelerators = part(held.accelerators, self.total.accelerators);
        let weight = config.team(team).map_or(1, |team| team.weight);
        processors.max(memory).max(accelerators) / f64::from(weight)
    }

    /// Whether a team may hold `grant` more. A team that is not configured has no quota.
    #[must_use]
    pub fn within_quota(&self, config: &Checked, team: &Name, own: Size, grant: Size) -> bool {
        let quota = config.team(team).map(|team| team.quota);
        quota.is_none_or(|quota| self.held(team, own).plus(grant).fits(quota))
    }
}
