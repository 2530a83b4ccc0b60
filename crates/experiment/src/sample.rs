//! Measurements within the window.

use hdrhistogram::Histogram;
use standin::table::Count;

use crate::agenda::MS;
use crate::agenda::SECOND;
use crate::agenda::Us;
use crate::ledger::Summary;
use crate::scene::Scene;
use crate::scene::WARM_UP;

/// What happened within one second of the window.
#[derive(Clone, Debug)]
pub struct Second {
    /// Latencies in microseconds of requests that were first sent then.
    pub latency: Histogram<u64>,
    /// Shares of slots and processors in use, summed over samples.
    pub busy: (f64, f64),
    /// How many samples.
    pub samples: u32,
}

/// Measurements of one run.
#[derive(Clone, Debug)]
pub struct Samples {
    /// Latencies in microseconds of answered requests.
    pub latency: Histogram<u64>,
    /// Time that answered requests of short kinds did not spend in their last run.
    pub short_wait: Histogram<u64>,
    /// Requests of the peak that were answered before their deadline, and all of them.
    pub crest: (u64, u64),
    /// By second of the window.
    pub seconds: Vec<Second>,
    /// Batch results at the end of the window.
    pub batch: Summary,
    /// Table operations within the window.
    pub table: Count,
}

fn histogram() -> Histogram<u64> {
    let longest = 3_600 * SECOND;
    Histogram::new_with_bounds(1, longest, 3).expect("the bounds are in order")
}

impl Samples {
    pub(crate) fn new(scene: &Scene) -> Self {
        let second = || Second {
            latency: histogram(),
            busy: (0.0, 0.0),
            samples: 0,
        };
        let (from, to) = scene.crest;
        let inside = |request: &&crate::scene::Request| request.at >= from && request.at < to;
        let crest = scene.requests.iter().filter(inside).count() as u64;
        Self {
            latency: histogram(),
            short_wait: histogram(),
            crest: (0, crest),
            seconds: (0..scene.shape.window.div_ceil(SECOND))
                .map(|_| second())
                .collect(),
            batch: Summary::default(),
            table: Count::default(),
        }
    }

    /// A request was answered after a last run of that length.
    pub(crate) fn answered(&mut self, scene: &Scene, request: usize, now: Us, took: Us) {
        let spec = &scene.requests[request];
        let latency = now - spec.at;
        self.latency.saturating_record(latency);
        if scene.kinds[spec.kind].short {
            self.short_wait
                .saturating_record(latency.saturating_sub(took));
        }
        let (from, to) = scene.crest;
        let in_time = latency <= scene.service.deadline.0 * MS;
        if spec.at >= from && spec.at < to && in_time {
            self.crest.0 += 1;
        }
        if let Some(second) = self.second(spec.at) {
            second.latency.saturating_record(latency);
        }
    }

    pub(crate) fn utilisation(&mut self, now: Us, busy: (f64, f64)) {
        if let Some(second) = self.second(now) {
            second.busy = (second.busy.0 + busy.0, second.busy.1 + busy.1);
            second.samples += 1;
        }
    }

    /// Counts of the table at the start or the end of the window.
    pub(crate) fn mark(&mut self, now: Us, count: Count) {
        if now == WARM_UP {
            self.table = count;
        } else {
            self.table.reads = count.reads - self.table.reads;
            self.table.writes = count.writes - self.table.writes;
        }
    }

    fn second(&mut self, at: Us) -> Option<&mut Second> {
        let index = at.checked_sub(WARM_UP)? / SECOND;
        self.seconds.get_mut(index as usize)
    }
}
