//! Quarantine of workers where everything fails.

use crate::clock::Ms;

/// Results needed before a worker is judged.
const ENOUGH: u32 = 5;

/// Weight of a new result.
const WEIGHT: f64 = 0.2;

/// The failure share above which a worker is quarantined.
const LIMIT: f64 = 0.5;

/// The first pause before a probe.
const FIRST: Ms = Ms(1_000);

/// The longest pause before a probe.
const LONGEST: Ms = Ms(60_000);

/// Tasks that may run at once while a worker comes back, until it is trusted again.
const SLOW_START: [u32; 4] = [1, 2, 4, 8];

/// Whether tasks may be placed on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Healthy,
    Quarantined { until: Ms },
    Probing,
    Returning { step: usize },
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
    share: f64,
    results: u32,
    pause: Ms,
    state: State,
    works: bool,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            share: 0.0,
            results: 0,
            pause: FIRST,
            state: State::Healthy,
            works: false,
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
    pub const fn works(&self) -> bool {
        self.works
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
            State::Returning { step } => tasks < SLOW_START[step],
        }
    }

    /// A task was placed.
    pub fn placed(&mut self) {
        if let State::Quarantined { .. } = self.state {
            self.state = State::Probing;
        }
    }

    /// The placed task neither succeeded nor failed by the worker's fault.
    pub fn unproven(&mut self, now: Ms) {
        if self.state == State::Probing {
            self.state = State::Quarantined { until: now };
        }
    }

    /// A task completed, or ran long enough to show that the worker works.
    pub fn succeeded(&mut self) -> Change {
        self.take(0.0);
        self.works = true;
        match self.state {
            State::Healthy => Change::None,
            State::Quarantined { .. } | State::Probing => {
                self.share = 0.0;
                self.results = 0;
                self.state = State::Returning { step: 0 };
                Change::Restored
            }
            State::Returning { step } if step + 1 < SLOW_START.len() => {
                self.state = State::Returning { step: step + 1 };
                Change::None
            }
            State::Returning { .. } => {
                self.pause = FIRST;
                self.state = State::Healthy;
                Change::None
            }
        }
    }

    /// A task failed, probably by the worker's fault.
    pub fn failed(&mut self, now: Ms) -> Change {
        self.take(1.0);
        match self.state {
            State::Healthy if self.results >= ENOUGH && self.share > LIMIT => self.enter(now),
            State::Healthy | State::Quarantined { .. } => Change::None,
            State::Probing | State::Returning { .. } => {
                self.pause = Ms((self.pause.0 * 2).min(LONGEST.0));
                self.enter(now)
            }
        }
    }

    fn enter(&mut self, now: Ms) -> Change {
        self.works = false;
        self.state = State::Quarantined {
            until: now + self.pause,
        };
        Change::Quarantined
    }

    fn take(&mut self, result: f64) {
        self.share += (result - self.share) * WEIGHT;
        self.results = self.results.saturating_add(1);
    }
}
