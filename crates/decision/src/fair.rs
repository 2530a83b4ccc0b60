//! Fairness between teams: weighted dominant shares of the resources, and quotas.

use std::collections::HashMap;

use crate::config::Checked;
use crate::name::Name;
use crate::resource::Size;

/// The data from which the shares of teams are computed: what they hold on the workers of other
/// entries, and the total capacity.
#[derive(Debug, Default)]
pub struct Shares {
    held_elsewhere: HashMap<Name, Size>,
    total: Total,
}

/// A sum over all workers, which may exceed the range of [`Size`].
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    millicores: u64,
    memory_mb: u64,
    accelerators: u64,
}

impl Shares {
    /// Sets the resources that teams hold on the workers of other entries.
    pub fn set_held_elsewhere(&mut self, held: Vec<(Name, Size)>) {
        self.held_elsewhere = held.into_iter().collect();
    }

    /// Updates the total after a worker's capacity for batch work changed.
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

    /// Returns what a team holds on the workers of this entry (`own`) and of all others.
    #[must_use]
    pub fn held(&self, team: &Name, own: Size) -> Size {
        let others = self.held_elsewhere.get(team).copied().unwrap_or_default();
        own.plus(others)
    }

    /// Returns the dominant share of a team divided by its weight: the largest share of any
    /// resource that it holds. A team that is not configured has weight 1.
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

    /// Returns whether a team may hold `grant` in addition. A team that is not configured has no
    /// quota.
    #[must_use]
    pub fn within_quota(&self, config: &Checked, team: &Name, own: Size, grant: Size) -> bool {
        let quota = config.team(team).map(|team| team.quota);
        quota.is_none_or(|quota| self.held(team, own).plus(grant).fits(quota))
    }
}
