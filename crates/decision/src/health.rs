//! Quarantine of targets that fail, single probes, and slow start on return.

use crate::clock::Ms;

/// Weight of the newest result in the failure share.
const RESULT_WEIGHT: f32 = 0.2;
/// A target is not judged by fewer results.
const MIN_RESULTS: u32 = 5;
/// A failure share above this is quarantined.
const MAX_FAILURE_SHARE: f32 = 0.5;
const MIN_PROBE_INTERVAL: Ms = Ms(1_000);
const MAX_PROBE_INTERVAL: Ms = Ms(60_000);
/// The limit that slow start begins with; it doubles after as many successes as the limit.
const MIN_SLOW_START_LIMIT: u32 = 1;
/// Slow start ends after this limit.
const MAX_SLOW_START_LIMIT: u32 = 8;

/// What a result changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// No more than statistics.
    None,
    /// The target is quarantined now.
    Quarantined,
    /// The target takes requests again, few at first.
    Restored,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Healthy,
    Quarantined { probe_at: Ms, probing: bool },
    SlowStart { limit: u32, successes: u32 },
}

/// The health of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Health {
    failure_share: f32,
    results: u32,
    interval: Ms,
    state: State,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failure_share: 0.0,
            results: 0,
            interval: MIN_PROBE_INTERVAL,
            state: State::Healthy,
        }
    }
}

impl Health {
    /// How many requests it may have at once, out of `slots`; probes come on top.
    #[must_use]
    pub fn limit(&self, slots: u32) -> u32 {
        match self.state {
            State::Healthy => slots,
            State::SlowStart { limit, .. } => limit.min(slots),
            State::Quarantined { .. } => 0,
        }
    }

    /// When the next probe is due, if it waits for one.
    #[must_use]
    pub const fn probe_at(&self) -> Option<Ms> {
        match self.state {
            State::Quarantined {
                probe_at,
                probing: false,
            } => Some(probe_at),
            _ => None,
        }
    }

    /// The time between the last two probes, or before the first.
    #[must_use]
    pub const fn interval(&self) -> Ms {
        self.interval
    }

    /// A probe is on its way.
    pub const fn start_probe(&mut self) {
        if let State::Quarantined { probing, .. } = &mut self.state {
            *probing = true;
        }
    }

    /// A probe ended without a verdict; the next may follow at once.
    pub const fn abort_probe(&mut self) {
        if let State::Quarantined { probing, .. } = &mut self.state {
            *probing = false;
        }
    }

    /// Takes in the result of a request, or of a probe.
    pub fn record(&mut self, now: Ms, failed: bool, probe: bool) -> Change {
        match self.state {
            State::Quarantined { .. } if probe => self.record_probe(now, failed),
            // Sent before the quarantine; says nothing about recovery.
            State::Quarantined { .. } => Change::None,
            State::Healthy | State::SlowStart { .. } => self.record_request(now, failed),
        }
    }

    fn record_probe(&mut self, now: Ms, failed: bool) -> Change {
        if failed {
            self.interval = Ms(self.interval.0 * 2).min(MAX_PROBE_INTERVAL);
            self.quarantine(now);
            return Change::None;
        }
        // Kept at the threshold, so that the next failure quarantines again.
        self.failure_share = MAX_FAILURE_SHARE;
        self.state = State::SlowStart {
            limit: MIN_SLOW_START_LIMIT,
            successes: 0,
        };
        Change::Restored
    }

    fn record_request(&mut self, now: Ms, failed: bool) -> Change {
        let result = if failed { 1.0 } else { 0.0 };
        self.failure_share += RESULT_WEIGHT * (result - self.failure_share);
        self.results = self.results.saturating_add(1);
        if self.results >= MIN_RESULTS && self.failure_share > MAX_FAILURE_SHARE {
            if matches!(self.state, State::SlowStart { .. }) {
                self.interval = Ms(self.interval.0 * 2).min(MAX_PROBE_INTERVAL);
            }
            self.quarantine(now);
            return Change::Quarantined;
        }
        if !failed {
            self.advance_slow_start();
        }
        Change::None
    }

    fn advance_slow_start(&mut self) {
        let State::SlowStart { limit, successes } = self.state else {
            return;
        };
        self.state = match (limit, successes + 1) {
            (limit, successes) if successes < limit => State::SlowStart { limit, successes },
            (MAX_SLOW_START_LIMIT.., _) => State::Healthy,
            (limit, _) => State::SlowStart {
                limit: limit * 2,
                successes: 0,
            },
        };
        if self.state == State::Healthy {
            self.interval = MIN_PROBE_INTERVAL;
        }
    }

    fn quarantine(&mut self, now: Ms) {
        self.state = State::Quarantined {
            probe_at: now + self.interval,
            probing: false,
        };
    }
}
