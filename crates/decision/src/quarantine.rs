//! Quarantine of workers on which most tasks fail, with probes and a slow start on return.

use crate::clock::Ms;

/// Minimum number of results before a worker may be quarantined.
const MIN_RESULTS: u32 = 5;

/// Weight of a new result in the failure share.
const RESULT_WEIGHT: f64 = 0.2;

/// Failure share above which a worker is quarantined.
const MAX_FAILURE_SHARE: f64 = 0.5;

/// Delay before the first probe of a quarantined worker; doubled after each failed probe.
const MIN_PROBE_INTERVAL: Ms = Ms(1_000);

/// Maximum delay before a probe.
const MAX_PROBE_INTERVAL: Ms = Ms(60_000);

/// Numbers of tasks that may run at once during the slow start, raised with each success.
const SLOW_START_TASKS: [u32; 4] = [1, 2, 4, 8];

/// The state that decides whether tasks may be placed on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Healthy,
    Quarantined { until: Ms },
    Probing,
    SlowStart { step: usize },
}

/// The change that a result caused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The worker's state stays as it was, except for statistics.
    None,
    /// The worker was quarantined: recent failures on it do not count against their tasks.
    Quarantined,
    /// The worker left quarantine and begins its slow start.
    Restored,
}

/// The record of recent results on one worker, and its state of quarantine.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    failure_share: f64,
    results: u32,
    probe_interval: Ms,
    state: State,
    has_succeeded: bool,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failure_share: 0.0,
            results: 0,
            probe_interval: MIN_PROBE_INTERVAL,
            state: State::Healthy,
            has_succeeded: false,
        }
    }
}

impl Health {
    /// Returns whether the worker is quarantined, so that nothing but a probe is placed on it.
    #[must_use]
    pub const fn quarantined(&self) -> bool {
        matches!(self.state, State::Quarantined { .. } | State::Probing)
    }

    /// Returns whether a task has succeeded since the worker was last quarantined.
    #[must_use]
    pub const fn has_succeeded(&self) -> bool {
        self.has_succeeded
    }

    /// Returns whether a probe task was placed and has not ended.
    #[must_use]
    pub fn probing(&self) -> bool {
        self.state == State::Probing
    }

    /// Returns whether one more task may be placed now on a worker that has `tasks` already.
    #[must_use]
    pub fn allows(&self, now: Ms, tasks: u32) -> bool {
        match self.state {
            State::Healthy => true,
            State::Quarantined { until } => now >= until,
            State::Probing => false,
            State::SlowStart { step } => tasks < SLOW_START_TASKS[step],
        }
    }

    /// Records that a task was placed; on a quarantined worker it is the probe.
    pub fn record_start(&mut self) {
        if let State::Quarantined { .. } = self.state {
            self.state = State::Probing;
        }
    }

    /// Ends a probe without a result: its task neither succeeded nor failed by the worker's fault.
    /// The next probe may follow at once.
    pub fn abort_probe(&mut self, now: Ms) {
        if self.state == State::Probing {
            self.state = State::Quarantined { until: now };
        }
    }

    /// Records that a task completed, or ran long enough to show that the worker works.
    pub fn record_success(&mut self) -> Change {
        self.update_share(0.0);
        self.has_succeeded = true;
        match self.state {
            State::Healthy => Change::None,
            State::Quarantined { .. } | State::Probing => {
                self.failure_share = 0.0;
                self.results = 0;
                self.state = State::SlowStart { step: 0 };
                Change::Restored
            }
            State::SlowStart { step } if step + 1 < SLOW_START_TASKS.len() => {
                self.state = State::SlowStart { step: step + 1 };
                Change::None
            }
            State::SlowStart { .. } => {
                self.probe_interval = MIN_PROBE_INTERVAL;
                self.state = State::Healthy;
                Change::None
            }
        }
    }

    /// Records that a task failed, probably by the worker's fault.
    pub fn record_failure(&mut self, now: Ms) -> Change {
        self.update_share(1.0);
        match self.state {
            State::Healthy
                if self.results >= MIN_RESULTS && self.failure_share > MAX_FAILURE_SHARE =>
            {
                self.quarantine(now)
            }
            State::Healthy | State::Quarantined { .. } => Change::None,
            State::Probing | State::SlowStart { .. } => {
                self.probe_interval = Ms((self.probe_interval.0 * 2).min(MAX_PROBE_INTERVAL.0));
                self.quarantine(now)
            }
        }
    }

    fn quarantine(&mut self, now: Ms) -> Change {
        self.has_succeeded = false;
        self.state = State::Quarantined {
            until: now + self.probe_interval,
        };
        Change::Quarantined
    }

    fn update_share(&mut self, result: f64) {
        self.failure_share += (result - self.failure_share) * RESULT_WEIGHT;
        self.results = self.results.saturating_add(1);
    }
}
