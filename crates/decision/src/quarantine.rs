//! Quarantine of workers where everything fails.

use crate::clock::Ms;

/// Results needed before a worker is judged.
const MIN_RESULTS: u32 = 5;

/// Weight of a new result.
const RESULT_WEIGHT: f64 = 0.2;

/// The failure share above which a worker is quarantined.
const MAX_FAILURE_SHARE: f64 = 0.5;

/// The first pause before a probe.
const MIN_PROBE_DELAY: Ms = Ms(1_000);

/// The longest pause before a probe.
const MAX_PROBE_DELAY: Ms = Ms(60_000);

/// Tasks that may run at once while a worker comes back, until it is trusted again.
const SLOW_START_TASKS: [u32; 4] = [1, 2, 4, 8];

/// Whether tasks may be placed on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Healthy,
    Quarantined { until: Ms },
    Probing,
    Recovering { step: usize },
}

/// What a result changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing.
    None,
    /// The worker was quarantined: recent failures on it do not count against their tasks.
    Quarantined,
    /// The worker is back.
    Restored,
}

/// The health of one worker.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    failure_share: f64,
    results: u32,
    probe_delay: Ms,
    state: State,
    has_succeeded: bool,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failure_share: 0.0,
            results: 0,
            probe_delay: MIN_PROBE_DELAY,
            state: State::Healthy,
            has_succeeded: false,
        }
    }
}

impl Health {
    /// Whether the worker is kept from normal placement.
    #[must_use]
    pub const fn quarantined(&self) -> bool {
        matches!(self.state, State::Quarantined { .. } | State::Probing)
    }

    /// Whether a task has succeeded since the worker was last quarantined.
    #[must_use]
    pub const fn has_succeeded(&self) -> bool {
        self.has_succeeded
    }

    /// Whether a probe is placed and has not ended.
    #[must_use]
    pub fn probing(&self) -> bool {
        self.state == State::Probing
    }

    /// Whether one more task may start beside `tasks` now.
    #[must_use]
    pub fn allows(&self, now: Ms, tasks: u32) -> bool {
        match self.state {
            State::Healthy => true,
            State::Quarantined { until } => now >= until,
            State::Probing => false,
            State::Recovering { step } => tasks < SLOW_START_TASKS[step],
        }
    }

    /// A task was placed.
    pub fn record_start(&mut self) {
        if let State::Quarantined { .. } = self.state {
            self.state = State::Probing;
        }
    }

    /// The placed task neither succeeded nor failed by the worker's fault.
    pub fn abort_probe(&mut self, now: Ms) {
        if self.state == State::Probing {
            self.state = State::Quarantined { until: now };
        }
    }

    /// A task completed, or ran long enough to show that the worker works.
    pub fn record_success(&mut self) -> Change {
        self.update_share(0.0);
        self.has_succeeded = true;
        match self.state {
            State::Healthy => Change::None,
            State::Quarantined { .. } | State::Probing => {
                self.failure_share = 0.0;
                self.results = 0;
                self.state = State::Recovering { step: 0 };
                Change::Restored
            }
            State::Recovering { step } if step + 1 < SLOW_START_TASKS.len() => {
                self.state = State::Recovering { step: step + 1 };
                Change::None
            }
            State::Recovering { .. } => {
                self.probe_delay = MIN_PROBE_DELAY;
                self.state = State::Healthy;
                Change::None
            }
        }
    }

    /// A task failed, probably by the worker's fault.
    pub fn record_failure(&mut self, now: Ms) -> Change {
        self.update_share(1.0);
        match self.state {
            State::Healthy
                if self.results >= MIN_RESULTS && self.failure_share > MAX_FAILURE_SHARE =>
            {
                self.quarantine(now)
            }
            State::Healthy | State::Quarantined { .. } => Change::None,
            State::Probing | State::Recovering { .. } => {
                self.probe_delay = Ms((self.probe_delay.0 * 2).min(MAX_PROBE_DELAY.0));
                self.quarantine(now)
            }
        }
    }

    fn quarantine(&mut self, now: Ms) -> Change {
        self.has_succeeded = false;
        self.state = State::Quarantined {
            until: now + self.probe_delay,
        };
        Change::Quarantined
    }

    fn update_share(&mut self, result: f64) {
        self.failure_share += (result - self.failure_share) * RESULT_WEIGHT;
        self.results = self.results.saturating_add(1);
    }
}
