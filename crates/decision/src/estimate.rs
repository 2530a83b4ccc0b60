//! Corrections of declared sizes and run times, learned per kind from reports.

use crate::clock::Ms;
use crate::resource::Size;

/// Reports at which what was learned weighs as much as the declaration.
const EVEN_SAMPLES: f64 = 1.0;

/// The most that what was learned may weigh.
const MAX_LEARNED_WEIGHT: f64 = 0.9;

/// Memory and processors granted above what was learned, because later tasks may need more.
const HEADROOM: f64 = 1.15;

/// Share of its processors from which a task may be held back by its grant.
const SATURATED_SHARE: f64 = 0.95;

/// Growth of the processors of tasks that are held back by their grant.
const SATURATED_GROWTH: f64 = 1.25;

/// Growth of the memory of other tasks after one ran out of it. The task itself gets twice as much.
const EXHAUSTED_GROWTH: f64 = 1.25;

/// The most processors granted, as a multiple of the declaration.
const MAX_PROCESSORS: f64 = 2.0;

/// The most that a declaration is corrected upwards, as a multiple. What needs more shows it by
/// running out of memory.
const MAX_RATIO: f64 = 8.0;

/// Weight of a new observation of the use of processors.
const PROCESSOR_WEIGHT: f64 = 0.1;

/// Weight of a new run time.
const TIME_WEIGHT: f64 = 0.2;

/// Decay of the highest memory use with each completion, so that one outlier does not raise all
/// later grants for good.
const MEMORY_DECAY: f64 = 0.98;

/// What is known of one kind, as ratios to the declaration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Tasks whose memory was seen.
    memory_samples: u32,
    memory: f64,
    /// Tasks whose use of processors was seen.
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
    /// Takes in what a running task used; `first` tells that it is its first report.
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

    /// Takes in a completion after `work` of full-speed run time.
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

    /// Takes in that a task ran out of memory with this grant.
    pub fn record_exhaustion(&mut self, declared: Size, grant: Size) {
        self.memory_samples = self.memory_samples.saturating_add(1);
        let more = ratio(grant.memory_mb, declared.memory_mb) * EXHAUSTED_GROWTH;
        self.memory = self.memory.max(more);
    }

    /// What to grant to a task, never above `most`. Memory is never below what was observed, because
    /// a task that lacks it fails; one that lacks processors is only slower.
    #[must_use]
    pub fn grant(&self, declared: Size, memory_floor: u32, most: Size) -> Size {
        let processors = scale(
            declared.millicores,
            blend(self.processor_samples, self.processors),
        );
        let memory = blend(self.memory_samples, self.memory).max(self.memory);
        let memory = scale(declared.memory_mb, memory).max(memory_floor);
        Size {
            millicores: cap(processors, declared.millicores, most.millicores),
            memory_mb: cap(memory, declared.memory_mb, most.memory_mb),
            accelerators: declared.accelerators,
        }
    }

    /// The expected run time at full speed.
    #[must_use]
    pub fn run_time(&self, declared: Ms) -> Ms {
        let times = f64::from(self.time_samples);
        let weight = (times / (times + EVEN_SAMPLES)).min(MAX_LEARNED_WEIGHT);
        let mixed = (1.0 - weight) + weight * self.time;
        Ms(round_up(milliseconds(declared) * mixed))
    }
}

/// The declaration, as 1, and what was learned, weighted by the number of observations.
fn blend(observations: u32, learned: f64) -> f64 {
    let observations = f64::from(observations);
    let weight = (observations / (observations + EVEN_SAMPLES)).min(MAX_LEARNED_WEIGHT);
    (1.0 - weight) + weight * learned * HEADROOM
}

/// A corrected amount is cut to the largest worker, but a declaration above it stays visible as
/// impossible.
fn cap(amount: u32, declared: u32, most: u32) -> u32 {
    if declared > most {
        declared
    } else {
        amount.min(most)
    }
}

fn ratio(amount: u32, declared: u32) -> f64 {
    (f64::from(amount) / f64::from(declared.max(1))).min(MAX_RATIO)
}

fn scale(amount: u32, factor: f64) -> u32 {
    let scaled = round_up(f64::from(amount) * factor);
    u32::try_from(scaled).unwrap_or(u32::MAX)
}

/// Rounds up; the conversion saturates.
fn round_up(amount: f64) -> u64 {
    amount.ceil() as u64
}

fn milliseconds(time: Ms) -> f64 {
    f64::from(u32::try_from(time.0).unwrap_or(u32::MAX))
}
