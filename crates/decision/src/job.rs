//! Jobs: whether they can run at all, their pieces and the groups these are assigned to.

use std::collections::BTreeMap;

use crate::config::Checked;
use crate::name::Name;
use crate::operator::Job;
use crate::operator::Refusal;
use crate::piece::MAX_TASKS;
use crate::piece::Piece;
use crate::piece::Record;
use crate::resource::Size;
use crate::vm::Vm;

/// The most tasks in one job, so that its pieces fit into one commit.
pub const MAX_JOB_TASKS: u32 = 100_000;

// Names of tasks are `job#index`, names of pieces `job.number`.
const MAX_NAME_BYTES: usize = 100;
// Smaller pieces would cost more rows than their spread over groups gains.
const MIN_TASKS: u32 = 16;

/// What a worker leaves for tasks beside the services' reservations.
#[must_use]
pub fn batch_capacity(vm: &Vm, config: &Checked) -> Size {
    let services = config.document().services.iter();
    let reserved = services.fold(Size::ZERO, |sum, one| sum.plus(one.reserved));
    vm.capacity.minus(reserved)
}

/// Checks a job's declaration against the configuration.
///
/// # Errors
///
/// When the declaration is wrong, or its team could never hold one of its tasks.
pub fn check(job: &Job, config: &Checked) -> Result<(), Refusal> {
    let invalid = |reason: &str| Err(Refusal::Invalid(format!("job {}: {reason}", job.name)));
    if !(1..=MAX_JOB_TASKS).contains(&job.tasks) {
        return invalid("the number of tasks is out of range");
    }
    if job.name.len() > MAX_NAME_BYTES {
        return invalid("the name is too long");
    }
    if job.size == Size::ZERO {
        return invalid("the size is zero");
    }
    if config.document().teams.is_empty() {
        return Ok(());
    }
    let Some(team) = config.team(&job.team) else {
        return invalid("the team is not declared");
    };
    job.size.lacking(team.quota).map_or(Ok(()), |dimension| {
        Err(Refusal::Infeasible {
            dimension,
            nearest: team.quota,
        })
    })
}

/// Checks that some worker could hold a task if nothing else ran there.
///
/// # Errors
///
/// When none could; the refusal names the offer that falls short the least.
pub fn feasible<'a>(
    job: &Job,
    config: &Checked,
    vms: impl Iterator<Item = &'a Vm>,
) -> Result<(), Refusal> {
    let mut nearest = None;
    for vm in vms {
        let offer = batch_capacity(vm, config);
        let Some(dimension) = job.size.lacking(offer) else {
            return Ok(());
        };
        let short = shortfall(job.size, offer);
        if nearest.is_none_or(|(least, _, _)| short < least) {
            nearest = Some((short, dimension, offer));
        }
    }
    Err(match nearest {
        Some((_, dimension, nearest)) => Refusal::Infeasible { dimension, nearest },
        None => Refusal::Unavailable,
    })
}

/// How much is lacking, summed over dimensions as thousandths of what is asked.
fn shortfall(size: Size, offer: Size) -> u64 {
    let part = |asked: u32, offered: u32| {
        u64::from(asked.saturating_sub(offered)) * 1_000 / u64::from(asked.max(1))
    };
    part(size.millicores, offer.millicores)
        + part(size.memory_mb, offer.memory_mb)
        + part(size.accelerators, offer.accelerators)
}

/// How many tasks of this size a group has room for, and could hold if nothing else ran.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Tasks that fit into what is free now.
    pub free: u64,
    /// Tasks that fit at all.
    pub total: u64,
}

/// How many times `size` fits into `room`.
#[must_use]
pub fn count_fitting(size: Size, room: Size) -> u64 {
    let part = |asked: u32, free: u32| u64::from(free).checked_div(u64::from(asked));
    let parts = [
        part(size.millicores, room.millicores),
        part(size.memory_mb, room.memory_mb),
        part(size.accelerators, room.accelerators),
    ];
    parts.into_iter().flatten().min().unwrap_or(0)
}

/// What each group could hold, from all known workers and the room that owners tell.
#[must_use]
pub fn capacities<'a>(
    size: Size,
    config: &Checked,
    vms: impl Iterator<Item = &'a Vm>,
    room: &BTreeMap<Name, Size>,
) -> BTreeMap<Name, Capacity> {
    let mut groups = BTreeMap::<_, Capacity>::new();
    for vm in vms {
        let fits = count_fitting(size, batch_capacity(vm, config));
        if fits > 0 {
            groups.entry(vm.group.clone()).or_default().total += fits;
        }
    }
    for (group, capacity) in &mut groups {
        let free = room.get(group).map_or(0, |room| count_fitting(size, *room));
        capacity.free = free.min(capacity.total);
    }
    groups
}

/// Splits a job into pieces, and assigns each to the group with most free room left, or, when
/// none has any, to the one with the fewest assigned tasks for its capacity.
#[must_use]
pub fn split(job: &Job, groups: &BTreeMap<Name, Capacity>) -> Vec<(Name, Piece)> {
    let largest = job
        .tasks
        .div_ceil(u32::try_from(groups.len()).unwrap_or(u32::MAX).max(1));
    let step = largest.clamp(MIN_TASKS, MAX_TASKS);
    let mut left = groups
        .iter()
        .map(|(name, one)| (name, one.free, one.total, 0_u64));
    let mut left = Vec::from_iter(left.by_ref());
    let mut pieces = Vec::new();
    let mut first = 0;
    while first < job.tasks && !left.is_empty() {
        let tasks = step.min(job.tasks - first);
        let best = left
            .iter_mut()
            .max_by_key(|(_, free, total, given)| {
                (*free, std::cmp::Reverse(*given * 1_000 / (*total).max(1)))
            })
            .expect("the list of groups was checked not to be empty");
        best.1 = best.1.saturating_sub(u64::from(tasks));
        best.3 += u64::from(tasks);
        pieces.push((best.0.clone(), piece(job, pieces.len(), first, tasks)));
        first += tasks;
    }
    pieces
}

fn piece(job: &Job, number: usize, first: u32, tasks: u32) -> Piece {
    let open = Record::Open {
        attempt: 0,
        checkpoint: None,
        evictions: 0,
        failures: 0,
    };
    let name = format!("{}.{number}", job.name);
    Piece {
        name: Name::try_from(name).expect("a checked job name leaves room for the piece number"),
        job: job.clone(),
        first,
        tasks: vec![open; tasks as usize],
        cancelled: false,
    }
}

/// The key of a stored piece.
#[must_use]
pub fn piece_key(group: &str, piece: &str) -> String {
    format!("job/{group}/{piece}")
}

/// The key of a stored cancellation. A name cannot hold a `~`, so it is never a piece's key.
#[must_use]
pub fn cancel_key(group: &str, job: &str) -> String {
    format!("job/{group}/~{job}")
}

/// The key of a piece whose tasks have all ended.
#[must_use]
pub fn ended_key(piece: &str) -> String {
    format!("ended/{piece}")
}

/// The key of a job's index row.
#[must_use]
pub fn index_key(job: &str) -> String {
    format!("index/{job}")
}

/// Whether every task has ended.
#[must_use]
pub fn has_ended(piece: &Piece) -> bool {
    !piece
        .tasks
        .iter()
        .any(|one| matches!(one, Record::Open { .. }))
}
