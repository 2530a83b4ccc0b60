//! Corrections of the declared sizes and run times of tasks, learned from reports.

use crate::clock::Ms;
use crate::resource::Size;

/// Number of samples at which the learned value weighs as much as the declaration.
const EVEN_SAMPLES: f64 = 1.0;

/// Maximum weight of the learned value.
const MAX_LEARNED_WEIGHT: f64 = 0.9;

/// Factor for memory and processors above the learned value, because later tasks may need more.
const HEADROOM: f64 = 1.15;

/// Share of its granted processors from which a task is assumed to be limited by its grant.
const SATURATED_SHARE: f64 = 0.95;

/// Growth factor for the processors of tasks that are limited by their grant.
const SATURATED_GROWTH: f64 = 1.25;

/// Growth factor for the memory of other tasks after one ran out of it. The task itself gets twice
/// its grant.
const EXHAUSTED_GROWTH: f64 = 1.25;

/// Maximum growth of the processors, as a multiple of the declaration.
const MAX_PROCESSORS: f64 = 2.0;

/// Maximum ratio of an observed amount to its declaration. A task that needs more memory shows it
/// by running out of it.
const MAX_RATIO: f64 = 8.0;

/// Weight of a new sample of processor usage.
const PROCESSOR_WEIGHT: f64 = 0.1;

/// Weight of a new sample of the run time.
const TIME_WEIGHT: f64 = 0.2;

/// Decay factor of the peak memory usage with each completion, so that one outlier does not raise
/// all later grants permanently.
const MEMORY_DECAY: f64 = 0.98;

/// The learned usage and run time of the tasks of one kind or job, as ratios to the declaration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The number of tasks whose memory usage was observed.
    memory_samples: u32,
    memory: f64,
    /// The number of tasks whose processor usage was observed.
    processor_samples: u32,
    processors: f64,
    time: f64,
    time_samples: u32,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            memory_samples: 0,
            memory: 0.0,
            processor_samples: 0,
            processors: 0.0,
            time: 1.0,
            time_samples: 0,
        }
    }
}

impl Estimate {
    /// Records the usage of a running task. `first` is set for the first sample of an attempt.
    pub fn record_usage(&mut self, declared: Size, grant: Size, used: Size, first: bool) {
        if first {
            self.memory_samples = self.memory_samples.saturating_add(1);
            self.processor_samples = self.processor_samples.saturating_add(1);
        }
        self.memory = self.memory.max(ratio(used.memory_mb, declared.memory_mb));
        let share = ratio(used.millicores, grant.millicores);
        let mut processors = ratio(used.millicores, declared.millicores);
        if share >= SATURATED_SHARE {
            processors = (processors * SATURATED_GROWTH).min(MAX_PROCESSORS);
        }
        let weight = if self.processor_samples <= 1 {
            1.0
        } else {
            PROCESSOR_WEIGHT
        };
        self.processors += (processors - self.processors) * weight;
    }

    /// Records the completion of a task that took `work` of full-speed run time.
    pub fn record_completion(&mut self, declared: Size, used: Size, run_time: Ms, work: Ms) {
        self.memory = (self.memory * MEMORY_DECAY).max(ratio(used.memory_mb, declared.memory_mb));
        let observed = milliseconds(work) / milliseconds(run_time).max(1.0);
        let weight = if self.time_samples == 0 {
            1.0
        } else {
            TIME_WEIGHT
        };
        self.time += (observed - self.time) * weight;
        self.time_samples = self.time_samples.saturating_add(1);
    }

    /// Records that a task ran out of memory with this grant.
    pub fn record_exhaustion(&mut self, declared: Size, grant: Size) {
        self.memory_samples = self.memory_samples.saturating_add(1);
        let raised = ratio(grant.memory_mb, declared.memory_mb) * EXHAUSTED_GROWTH;
        self.memory = self.memory.max(raised);
    }

    /// Returns the size to grant to a task, never above `largest` unless the declaration is. Memory
    /// is never below what was observed, because a task that lacks memory fails, whereas one that
    /// lacks processors is only slower.
    #[must_use]
    pub fn grant(&self, declared: Size, memory_floor: u32, largest: Size) -> Size {
        let processors = scale(
            declared.millicores,
            blend(self.processor_samples, self.processors),
        );
        let memory = blend(self.memory_samples, self.memory).max(self.memory);
        let memory = scale(declared.memory_mb, memory).max(memory_floor);
        Size {
            millicores: cap(processors, declared.millicores, largest.millicores),
            memory_mb: cap(memory, declared.memory_mb, largest.memory_mb),
            accelerators: declared.accelerators,
        }
    }

    /// Returns the expected run time at full speed.
    #[must_use]
    pub fn run_time(&self, declared: Ms) -> Ms {
        let samples = f64::from(self.time_samples);
        let weight = (samples / (samples + EVEN_SAMPLES)).min(MAX_LEARNED_WEIGHT);
        let factor = (1.0 - weight) + weight * self.time;
        Ms(round_up(milliseconds(declared) * factor))
    }
}

/// Returns the mean of the declaration, as 1, and the learned ratio with headroom, weighted by the
/// number of samples.
fn blend(samples: u32, learned: f64) -> f64 {
    let samples = f64::from(samples);
    let weight = (samples / (samples + EVEN_SAMPLES)).min(MAX_LEARNED_WEIGHT);
    (1.0 - weight) + weight * learned * HEADROOM
}

/// Limits a corrected amount to what the largest worker has. A declaration above that is returned
/// unchanged, so that it is recognized as impossible.
fn cap(amount: u32, declared: u32, largest: u32) -> u32 {
    if declared > largest {
        declared
    } else {
        amount.min(largest)
    }
}

fn ratio(amount: u32, declared: u32) -> f64 {
    (f64::from(amount) / f64::from(declared.max(1))).min(MAX_RATIO)
}

fn scale(amount: u32, factor: f64) -> u32 {
    let scaled = round_up(f64::from(amount) * factor);
    u32::try_from(scaled).unwrap_or(u32::MAX)
}

/// Rounds up to an integer; the conversion saturates.
fn round_up(amount: f64) -> u64 {
    amount.ceil() as u64
}

fn milliseconds(time: Ms) -> f64 {
    f64::from(u32::try_from(time.0).unwrap_or(u32::MAX))
}
