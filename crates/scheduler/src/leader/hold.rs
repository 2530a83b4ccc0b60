//! Holds starts back while other entries may know of draining workers that this leader does not.
//!
//! A leader that the store does not serve learns of no change of the registrations. If the store
//! serves nobody, nothing changes there that anybody could know, and work goes on. But if it serves
//! an agent promptly, a worker may have registered as draining, and nothing may start on it after
//! that.

use decision::clock::Ms;

use super::Leader;

/// The age of the registrations from which on starts are held back. The platform allows starts on a
/// worker for 2 s after its draining was acknowledged; the rest is for orders under way.
const MAX_REGISTRATIONS_AGE: Ms = Ms(1_600);
/// For how long the statement of an agent that the store serves it counts. An agent repeats it after
/// 0.4 to 1.2 s.
const STATEMENT_VALIDITY: Ms = Ms(2_000);

/// What the leader knows of the age of the registrations.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    /// All changes of registrations before this time have been handled.
    read_until: Ms,
    /// When an agent last stated that the store serves it; absent if none has.
    stated_at: Option<Ms>,
    is_in_force: bool,
}

impl Hold {
    pub(super) const fn new(now: Ms) -> Self {
        Self {
            read_until: now,
            stated_at: None,
            is_in_force: false,
        }
    }

    fn is_due(&self, now: Ms) -> bool {
        let is_recent = |at: Ms| now.since(at) < STATEMENT_VALIDITY;
        now.since(self.read_until) >= MAX_REGISTRATIONS_AGE && self.stated_at.is_some_and(is_recent)
    }
}

impl Leader {
    /// Records that all changes of registrations before a time have been handled.
    pub(super) fn record_registrations(&mut self, read_until: Ms) {
        self.hold.read_until = self.hold.read_until.max(read_until);
    }

    /// Records that the store serves an agent.
    pub(super) const fn record_statement(&mut self, now: Ms) {
        self.hold.stated_at = Some(now);
    }

    /// Returns whether no task may start now.
    pub(super) fn holds_starts(&mut self, now: Ms) -> bool {
        let is_due = self.hold.is_due(now);
        if is_due != self.hold.is_in_force {
            self.hold.is_in_force = is_due;
            let kind = if is_due {
                "starts-held"
            } else {
                "starts-resumed"
            };
            let age = now.since(self.hold.read_until);
            self.log(format!("kind={kind} registrations_age_ms={}", age.0));
        }
        is_due
    }
}
