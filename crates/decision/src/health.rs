//! Quarantine of targets that fail, with single probes and a slow start on return.

use crate::clock::Ms;

/// Weight of the newest result in the failure share.
const RESULT_WEIGHT: f32 = 0.2;
/// Minimum number of results before a target may be quarantined.
const MIN_RESULTS: u32 = 5;
/// Failure share above which a target is quarantined.
const MAX_FAILURE_SHARE: f32 = 0.5;
/// Time before the first probe; doubled after each failed probe.
const MIN_PROBE_INTERVAL: Ms = Ms(1_000);
const MAX_PROBE_INTERVAL: Ms = Ms(60_000);
/// Limit of concurrent requests at the beginning of slow start. The limit doubles after as many
/// successes as its value.
const MIN_SLOW_START_LIMIT: u32 = 1;
/// Last limit of slow start, after which the target is healthy again.
const MAX_SLOW_START_LIMIT: u32 = 8;

/// The change that a result caused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing but statistics changed.
    None,
    /// The target was quarantined.
    Quarantined,
    /// The target left quarantine and begins its slow start.
    Restored,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Healthy,
    Quarantined { probe_at: Ms, probing: bool },
    SlowStart { limit: u32, successes: u32 },
}

/// The record of recent results of one target, and its state of quarantine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Health {
    failure_share: f32,
    results: u32,
    probe_interval: Ms,
    state: State,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failure_share: 0.0,
            results: 0,
            probe_interval: MIN_PROBE_INTERVAL,
            state: State::Healthy,
        }
    }
}

impl Health {
    /// Returns how many concurrent requests the target may have, out of `slots`. Probes come on
    /// top.
    #[must_use]
    pub fn limit(&self, slots: u32) -> u32 {
        match self.state {
            State::Healthy => slots,
            State::SlowStart { limit, .. } => limit.min(slots),
            State::Quarantined { .. } => 0,
        }
    }

    /// Returns when the next probe is due; `None` if the target is not quarantined or being probed.
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

    /// Returns the current interval between the quarantine or the last probe and the next probe.
    #[must_use]
    pub const fn probe_interval(&self) -> Ms {
        self.probe_interval
    }

    /// Records that a probe was sent.
    pub const fn start_probe(&mut self) {
        if let State::Quarantined { probing, .. } = &mut self.state {
            *probing = true;
        }
    }

    /// Records that a probe ended without a result. The next one may follow at once.
    pub const fn abort_probe(&mut self) {
        if let State::Quarantined { probing, .. } = &mut self.state {
            *probing = false;
        }
    }

    /// Records the result of a request or of a probe.
    pub fn record(&mut self, now: Ms, failed: bool, probe: bool) -> Change {
        match self.state {
            State::Quarantined { .. } if probe => self.record_probe(now, failed),
            // The request was sent before the quarantine and says nothing about recovery.
            State::Quarantined { .. } => Change::None,
            State::Healthy | State::SlowStart { .. } => self.record_request(now, failed),
        }
    }

    fn record_probe(&mut self, now: Ms, failed: bool) -> Change {
        if failed {
            self.probe_interval = Ms(self.probe_interval.0 * 2).min(MAX_PROBE_INTERVAL);
            self.quarantine(now);
            return Change::None;
        }
        // The share stays at the threshold, so that the next failure quarantines the target again.
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
                self.probe_interval = Ms(self.probe_interval.0 * 2).min(MAX_PROBE_INTERVAL);
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
            self.probe_interval = MIN_PROBE_INTERVAL;
        }
    }

    fn quarantine(&mut self, now: Ms) {
        self.state = State::Quarantined {
            probe_at: now + self.probe_interval,
            probing: false,
        };
    }
}
