//! Collects the measurements within the window.

use hdrhistogram::Histogram;
use standin::table::Count;

use crate::ledger::Summary;
use crate::queue::MS;
use crate::queue::SECOND;
use crate::queue::Us;
use crate::scenario::Scenario;
use crate::scenario::WARM_UP;

/// The measurements of one second of the window.
#[derive(Clone, Debug)]
pub struct Second {
    /// The latencies of answered requests that were first sent in this second, in microseconds.
    pub latency: Histogram<u64>,
    /// The shares of slots and of processors in use, summed over the samples.
    pub busy: (f64, f64),
    /// The number of samples in `busy`.
    pub samples: u32,
}

/// The measurements of one run.
#[derive(Clone, Debug)]
pub struct Samples {
    /// The latencies of answered requests, in microseconds.
    pub latency: Histogram<u64>,
    /// The time that answered requests of short kinds spent outside their last run, in
    /// microseconds.
    pub short_wait: Histogram<u64>,
    /// The number of requests of the peak that were answered before their deadline, and the number
    /// of all requests of the peak.
    pub peak: (u64, u64),
    /// The measurements of each second of the window.
    pub seconds: Vec<Second>,
    /// The batch results at the end of the window.
    pub batch: Summary,
    /// The rows that were read and written within the window.
    pub table: Count,
}

fn histogram() -> Histogram<u64> {
    let longest = 3_600 * SECOND;
    Histogram::new_with_bounds(1, longest, 3).expect("the bounds are in order")
}

impl Samples {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let second = || Second {
            latency: histogram(),
            busy: (0.0, 0.0),
            samples: 0,
        };
        let (from, to) = scenario.peak;
        let inside = |request: &&crate::scenario::Request| request.at >= from && request.at < to;
        let peak = scenario.requests.iter().filter(inside).count() as u64;
        Self {
            latency: histogram(),
            short_wait: histogram(),
            peak: (0, peak),
            seconds: (0..scenario.parameters.window.div_ceil(SECOND))
                .map(|_| second())
                .collect(),
            batch: Summary::default(),
            table: Count::default(),
        }
    }

    /// Records the answer to a request whose last run took `run_time`.
    pub(crate) fn record_answered(
        &mut self,
        scenario: &Scenario,
        request: usize,
        now: Us,
        run_time: Us,
    ) {
        let spec = &scenario.requests[request];
        let latency = now - spec.at;
        self.latency.saturating_record(latency);
        if scenario.kinds[spec.kind].short {
            self.short_wait
                .saturating_record(latency.saturating_sub(run_time));
        }
        let (from, to) = scenario.peak;
        let in_time = latency <= scenario.service.deadline.0 * MS;
        if spec.at >= from && spec.at < to && in_time {
            self.peak.0 += 1;
        }
        if let Some(second) = self.second(spec.at) {
            second.latency.saturating_record(latency);
        }
    }

    pub(crate) fn record_utilisation(&mut self, now: Us, busy: (f64, f64)) {
        if let Some(second) = self.second(now) {
            second.busy = (second.busy.0 + busy.0, second.busy.1 + busy.1);
            second.samples += 1;
        }
    }

    /// Records the row counts of the table at the start or the end of the window, so that `table`
    /// holds their difference at the end.
    pub(crate) fn record_table_count(&mut self, now: Us, count: Count) {
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
