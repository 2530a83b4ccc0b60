//! Batch jobs: checks whether they can run at all, their division into pieces, the assignment of
//! pieces to groups, and the keys under which they are stored.

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

/// Maximum number of tasks in one job, so that all its pieces fit into one commit.
pub const MAX_JOB_TASKS: u32 = 100_000;

// Maximum length of the name of a job. It leaves room for the names of tasks, `job#index`, and of
// pieces, `job.number`.
const MAX_NAME_BYTES: usize = 100;
// Minimum number of tasks in a piece. Smaller pieces would cost more rows in the table than a finer
// distribution over groups is worth.
const MIN_TASKS: u32 = 16;

/// Returns the capacity that a worker has for tasks beside the reservations of all services.
#[must_use]
pub fn batch_capacity(vm: &Vm, config: &Checked) -> Size {
    let services = config.document().services.iter();
    let reserved = services.fold(Size::ZERO, |sum, service| sum.plus(service.reserved));
    vm.capacity.minus(reserved)
}

/// Checks the declaration of a job against its limits and the quota of its team.
///
/// # Errors
///
/// If the declaration is invalid, or if a single task exceeds the quota of its team.
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

/// Checks that some worker could hold a task of the job if no other task ran there.
///
/// # Errors
///
/// If no worker could; the refusal names the batch capacity that falls short by the least. If there
/// are no workers at all, the refusal is `Unavailable`.
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

/// Returns by how much `offer` falls short of `size`, in thousandths of the requested amount,
/// summed over the dimensions.
fn shortfall(size: Size, offer: Size) -> u64 {
    let part = |asked: u32, offered: u32| {
        u64::from(asked.saturating_sub(offered)) * 1_000 / u64::from(asked.max(1))
    };
    part(size.millicores, offer.millicores)
        + part(size.memory_mb, offer.memory_mb)
        + part(size.accelerators, offer.accelerators)
}

/// The number of tasks of one size that a group can hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// The number of tasks that fit into the capacity that is free now.
    pub free: u64,
    /// The number of tasks that would fit if no other task ran.
    pub total: u64,
}

/// Returns how many tasks of `size` fit into `room`; zero if `size` is zero.
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

/// Returns how many tasks of `size` each group can hold, from all known workers and the free
/// capacity that the owners of groups report. Groups that can hold none are left out.
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

/// Splits a job into pieces, and assigns each to the group with the most free capacity left. When
/// no group has any, the one with the fewest assigned tasks relative to its capacity is chosen.
#[must_use]
pub fn split(job: &Job, groups: &BTreeMap<Name, Capacity>) -> Vec<(Name, Piece)> {
    let largest = job
        .tasks
        .div_ceil(u32::try_from(groups.len()).unwrap_or(u32::MAX).max(1));
    let step = largest.clamp(MIN_TASKS, MAX_TASKS);
    let candidates = groups
        .iter()
        .map(|(group, capacity)| (group, capacity.free, capacity.total, 0_u64));
    let mut candidates = Vec::from_iter(candidates);
    let mut pieces = Vec::new();
    let mut first = 0;
    while first < job.tasks && !candidates.is_empty() {
        let tasks = step.min(job.tasks - first);
        let (group, free, _, assigned) = candidates
            .iter_mut()
            .max_by_key(|(_, free, total, assigned)| {
                (
                    *free,
                    std::cmp::Reverse(*assigned * 1_000 / (*total).max(1)),
                )
            })
            .expect("the loop runs only while there are groups");
        *free = free.saturating_sub(u64::from(tasks));
        *assigned += u64::from(tasks);
        pieces.push((group.clone(), piece(job, pieces.len(), first, tasks)));
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

/// Returns the key of a stored piece.
#[must_use]
pub fn piece_key(group: &str, piece: &str) -> String {
    format!("job/{group}/{piece}")
}

/// Returns the key of a stored cancellation. Names cannot contain `~`, so that it differs from the
/// key of every piece.
#[must_use]
pub fn cancel_key(group: &str, job: &str) -> String {
    format!("job/{group}/~{job}")
}

/// Returns the key under which a piece is stored after all its tasks have ended.
#[must_use]
pub fn ended_key(piece: &str) -> String {
    format!("ended/{piece}")
}

/// Returns the key of the index row of a job.
#[must_use]
pub fn index_key(job: &str) -> String {
    format!("index/{job}")
}

/// Returns whether all tasks of a piece have ended.
#[must_use]
pub fn has_ended(piece: &Piece) -> bool {
    !piece
        .tasks
        .iter()
        .any(|task| matches!(task, Record::Open { .. }))
}
