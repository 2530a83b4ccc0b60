//! Reports the leader's own state: the load for the log and the counts of waiting jobs for
//! customers.

use std::collections::BTreeMap;

use decision::clock::Ms;
use decision::name::Name;

use super::Leader;

/// The interval of the log lines on the interference model.
const MODEL_INTERVAL: Ms = Ms(5_000);

/// Sums over all registered workers. Capacity, bookings and loads are in millicores.
#[derive(Default)]
struct Load {
    workers: usize,
    unresponsive: usize,
    capacity: u64,
    booked: u64,
    serving: u64,
    filling: u64,
    runs: usize,
}

impl Leader {
    /// Returns the number of accepted jobs without a started task, by queue, without the queues in
    /// which none waits. There are no counts until all accepted jobs were read: that this leader
    /// knows of no job does not mean that none waits.
    pub(super) fn count_waiting(&self) -> Vec<(Name, u32)> {
        if !self.is_recovered {
            return Vec::new();
        }
        let mut counts: BTreeMap<&Name, u32> = BTreeMap::new();
        let waiting = self
            .jobs
            .values()
            .filter(|job| !job.has_ended() && !job.progress.has_started);
        for job in waiting {
            *counts.entry(&job.queue).or_default() += 1;
        }
        if counts.is_empty() {
            // One count shows that the others are known to be zero.
            let queue = self.config.queues.first();
            counts.extend(queue.map(|queue| (&queue.name, 0)));
        }
        let counts = counts.into_iter();
        counts.map(|(name, count)| (name.clone(), count)).collect()
    }

    /// Logs the booked load and the number of waiting steps, and from time to time the interference
    /// model.
    pub(super) fn log_load(&mut self, now: Ms) {
        let mut load = Load::default();
        for worker in self.workers.values() {
            let Some(registration) = &worker.registration else {
                continue;
            };
            load.workers += 1;
            load.unresponsive += usize::from(worker.is_unresponsive);
            load.capacity += u64::from(registration.size.millicores);
            load.booked += u64::from(worker.booked.millicores);
            load.serving += u64::from(worker.serving_millicores);
            load.filling += u64::from(worker.filling_millicores);
            load.runs += worker.runs.len();
        }
        let waiting = self.waiting.len();
        let unsettled = self.unsettled.len();
        let Load {
            workers,
            unresponsive,
            capacity,
            booked,
            serving,
            filling,
            runs,
        } = load;
        self.log(format!(
            "kind=load workers={workers} silent={unresponsive} capacity={capacity} booked={booked} \
             serving={serving} filling={filling} runs={runs} waiting_steps={waiting} \
             passes={} unsettled={unsettled} unheard={} agents={} certain={} congestion={:.2}",
            self.passes,
            self.workers
                .values()
                .filter(|worker| !worker.is_known)
                .count(),
            self.agents.len(),
            now < self.certain_until,
            self.congestion.level(now)
        ));
        if now.since(self.model_logged) >= MODEL_INTERVAL {
            self.model_logged = now;
            for line in self.model.describe() {
                self.log(format!("kind=interference {line}"));
            }
        }
    }
}
