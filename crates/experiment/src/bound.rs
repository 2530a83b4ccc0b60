//! An upper bound of the batch work that any policy can do.

use decision::resource::Size;

use crate::queue::MS;
use crate::scenario::Scenario;

/// The share of the workers' free processor time that could do useful batch work, if true sizes and
/// run times were known, nothing interfered and tasks could be split at will.
#[must_use]
pub fn batch_work(scenario: &Scenario) -> f64 {
    let workers = scenario.vms.len() as f64;
    let room = scenario.vms[0].capacity.minus(scenario.service.reserved);
    let window = (scenario.parameters.window / MS) as f64;
    let processors = f64::from(room.millicores) * workers * window;
    let memory = f64::from(room.memory_mb) * workers * window;
    let mut offers: Vec<(Size, f64)> = Vec::new();
    for plan in &scenario.jobs {
        let left = (scenario.end().saturating_sub(plan.at) / MS) as f64;
        let times = plan.needs.iter();
        offers.extend(times.map(|need| (need.size, (need.work.0 as f64).min(left))));
    }
    let offered: f64 = offers.iter().map(|(size, time)| area(*size, *time)).sum();
    let fitting = by_memory(&mut offers, memory);
    offered.min(processors).min(fitting) / processors
}

/// The processor time of a task in millicores times milliseconds.
fn area(size: Size, time: f64) -> f64 {
    f64::from(size.millicores) * time
}

/// The largest processor time that fits into the memory, which takes tasks with the least memory
/// per core first.
fn by_memory(offers: &mut [(Size, f64)], memory: f64) -> f64 {
    let density = |size: &Size| f64::from(size.memory_mb) / f64::from(size.millicores);
    offers.sort_by(|(a, _), (b, _)| density(a).total_cmp(&density(b)));
    let mut left = memory;
    let mut fitting = 0.0;
    for (size, time) in offers {
        let need = f64::from(size.memory_mb) * *time;
        let share = if need > 0.0 {
            (left / need).clamp(0.0, 1.0)
        } else {
            1.0
        };
        left -= need * share;
        fitting += area(*size, *time) * share;
    }
    fitting
}
