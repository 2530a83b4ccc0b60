//! Proofs that runs are over.
//!
//! A task that has run may start again, and the room of its run be used again, only when that run is
//! certainly over. An [`Over`] is the proof for one run. Only the evidence below builds one; that
//! nothing is known of a run is none. Whatever frees a run takes its proof.
//!
//! All evidence assumes that one leader decides at a time, that agents report to the leader whose
//! calls they make, over one connection and in order, and that each order is carried out at most
//! once. An order without an answer may be carried out seconds later.
//!
//! | evidence | assumptions |
//! | --- | --- |
//! | [`Over::ended`]: the worker lists the end | The list is of the worker's latest life that has answered. |
//! | [`Over::refused`]: the start was refused or never sent | A worker that refuses a start has done nothing. An agent sends a start once, and repeats it over another connection only if the first one certainly delivered nothing. |
//! | [`Over::stopped`]: a stop was answered, and a later poll does not list the run | The worker rejects a stopped run for the rest of its life. Answer and poll are compared on the clock of one agent, because answers on different connections may overtake each other. A full list of ends proves nothing, because the worker may keep more. |
//! | [`Over::replaced`]: another worker answers at the address | An address belongs to one worker at a time, and its former worker no longer runs. |
//! | [`Over::outlived`]: a later life of the worker answers | A life that begins knows nothing of earlier ones, which have ended. Which one is the later is told by its start time if that is higher than all before, and else by an answer under a watch that began after the last answer of the other ([`Worker::compare_life`]). A start without an answer may reach the later life, so this counts only for runs that the former life listed. |
//! | [`Lapse`]: all leases on the worker have expired | A worker kills its runs when its lease expires, by a clock that is at most 2% slow. The expiry is computed from [`Renewals`](crate::renewals::Renewals), which end with the last renewal that any agent can have sent: what a watch reports counts only while it is the present one, and no lease ends sooner than a lease after a start that was sent. No other entry leads yet, and all that the agent of the worker reported until then is handled; what a slow or suspended leader has not read may tell of renewals. |
//! | [`Over::never_ordered`]: the booked run was not ordered | The leader records each run before it sends the order. |

use decision::clock::Ms;
use decision::name::Name;

use crate::fleet::Life;
use crate::fleet::Worker;
use crate::id::Run;
use crate::id::Task;
use crate::message::End;
use crate::message::Observation;
use crate::message::Outcome;
use crate::message::Placement;
use crate::message::Termination;
use crate::task;
use crate::task::Attempt;
use crate::task::Phase;

/// The most ends that a worker lists at a time. It keeps any further ones until these are
/// acknowledged.
pub const MAX_LISTED_ENDS: usize = 500;

/// The proof that a run is over, or that it will never begin. It is used up by what it permits.
#[derive(Debug, Eq, PartialEq)]
#[must_use]
pub struct Over {
    task: Task,
    run: Run,
    reason: &'static str,
}

impl Over {
    /// Proves the end of a run that a worker lists, given the incarnation of the worker that listed
    /// it.
    pub fn ended(
        worker: &Worker,
        incarnation: Ms,
        end: &End,
        name: &Name,
        attempt: &Attempt,
    ) -> Option<Self> {
        let is_latest = worker.incarnation == Some(incarnation);
        let is_same = attempt.run == end.run && attempt.worker == *name;
        (is_latest && is_same).then(|| Self {
            task: end.task,
            run: end.run,
            reason: end_reason(end.termination),
        })
    }

    /// Proves that a run never begins, because the order to start it was refused or not sent.
    pub fn refused(attempt: &Attempt, placement: &Placement, outcome: Outcome) -> Option<Self> {
        let reason = match outcome {
            Outcome::Done | Outcome::Fenced | Outcome::Unknown => return None,
            Outcome::Invalid => "refused-as-invalid",
            Outcome::Ticket => "ticket-refused",
            Outcome::Old
            | Outcome::Late
            | Outcome::Room
            | Outcome::Unsent
            | Outcome::Unhealthy
            | Outcome::Reborn => "start-refused",
        };
        is_of(attempt, placement).then_some(Self {
            task: placement.task,
            run: placement.run,
            reason,
        })
    }

    /// Proves the end of a run by the answer of another worker to the order to stop it.
    pub fn replaced(attempt: &Attempt, placement: &Placement, outcome: Outcome) -> Option<Self> {
        let is_replaced =
            outcome == Outcome::Reborn && attempt.incarnation == placement.incarnation;
        (is_replaced && is_of(attempt, placement)).then_some(Self {
            task: placement.task,
            run: placement.run,
            reason: "worker-restarted",
        })
    }

    /// Proves the end of a run that was ordered to stop. The agent of the entry `by` received the
    /// answer to a poll that it sent later, in which the run is missing.
    pub fn stopped(
        attempt: &Attempt,
        task: Task,
        by: &Name,
        observation: &Observation,
    ) -> Option<Self> {
        let reason = match attempt.phase {
            Phase::Unsure => "never-started",
            Phase::Stopping => "stopped",
            Phase::Starting | Phase::Running => return None,
        };
        let is_answered = attempt.stopped_by.as_ref() == Some(by)
            && attempt
                .stopped_at
                .is_some_and(|at| observation.polled_at > at);
        let is_same_life =
            attempt.worker == observation.worker && attempt.incarnation == observation.incarnation;
        let run = attempt.run;
        let is_listed = observation.running.as_ref().is_none_or(|rows| {
            let mut rows = rows.iter();
            rows.any(|row| row.task == task && row.run == run)
        });
        let is_missing = lists_all(observation) && !is_listed;
        (is_answered && is_same_life && is_missing).then_some(Self { task, run, reason })
    }

    /// Proves the end of a run that an earlier incarnation of a worker had listed, by an answer of the
    /// latest one. `life` tells how that one relates to the one that had answered before.
    pub fn outlived(
        attempt: &Attempt,
        task: Task,
        life: Life,
        observation: &Observation,
    ) -> Option<Self> {
        let is_other =
            attempt.worker == observation.worker && attempt.incarnation != observation.incarnation;
        let is_later = life == Life::Later && is_other;
        (is_later && !attempt.may_outlive_incarnation()).then_some(Self {
            task,
            run: attempt.run,
            reason: "worker-restarted",
        })
    }

    /// Proves that a run that was only booked never begins: its task has no such attempt.
    pub fn never_ordered(state: &task::Task, task: Task, run: Run) -> Option<Self> {
        let is_ordered = state.runs().iter().any(|attempt| attempt.run == run);
        (!is_ordered).then_some(Self {
            task,
            run,
            reason: "never-ordered",
        })
    }

    /// Returns the task of the run.
    #[must_use]
    pub const fn task(&self) -> Task {
        self.task
    }

    /// Returns the number of the run.
    #[must_use]
    pub const fn run(&self) -> Run {
        self.run
    }

    /// Returns how the run ended, as log lines give it.
    #[must_use]
    pub const fn reason(&self) -> &'static str {
        self.reason
    }
}

/// What a leader must know of itself before it counts leases as expired.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// The present time.
    pub now: Ms,
    /// The time after its last renewal by which a lease has expired for certain.
    pub lease: Ms,
    /// No other entry can have taken the lead before this time, so no agent of another leader can
    /// have renewed a lease.
    pub certain_until: Ms,
    /// The rows of earlier leaders are read. Until then reports, which may tell of renewals, are
    /// deferred.
    pub is_recovered: bool,
}

/// The proof that all leases on a worker have expired.
#[derive(Debug, Eq, PartialEq)]
#[must_use]
pub struct Lapse {
    worker: Name,
    expired_at: Ms,
}

/// Why leases do not count as expired.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Unproven {
    /// The leases may last, or another entry may have taken the lead before their end.
    Early,
    /// Not all that this agent reported before their end has been handled.
    Unheard(Name),
}

impl Lapse {
    /// Proves that the leases on a worker have expired. The last argument returns the time until
    /// which all reports of a connected agent are handled, and `None` for an agent that is not
    /// connected and thus reports nothing.
    ///
    /// # Errors
    ///
    /// Returns what is missing for a proof.
    pub fn prove(
        standing: &Standing,
        name: &Name,
        worker: &Worker,
        heard_until: impl FnOnce(&Name) -> Option<Ms>,
    ) -> Result<Self, Unproven> {
        let has_expired = |at: &Ms| *at <= standing.now && *at < standing.certain_until;
        let expiry = worker.renewals.last().map(|at| at + standing.lease);
        let expired_at = expiry
            .filter(has_expired)
            .filter(|_| standing.is_recovered)
            .ok_or(Unproven::Early)?;
        if let Some(agent) = &worker.agent
            && heard_until(agent).is_some_and(|until| until < expired_at)
        {
            return Err(Unproven::Unheard(agent.clone()));
        }
        Ok(Self {
            worker: name.clone(),
            expired_at,
        })
    }

    /// Returns the worker whose leases have expired.
    #[must_use]
    pub const fn worker(&self) -> &Name {
        &self.worker
    }

    /// Returns the time by which the leases had expired.
    #[must_use]
    pub const fn expired_at(&self) -> Ms {
        self.expired_at
    }

    /// Proves the end of a run on the worker; `None` for a run on another one.
    pub fn ends(&self, attempt: &Attempt, task: Task) -> Option<Over> {
        (attempt.worker == self.worker).then_some(Over {
            task,
            run: attempt.run,
            reason: "lease-expired",
        })
    }
}

/// Returns whether the answer to a poll names all runs on the worker and all ends that it keeps. If
/// the list of ends is full, it may keep more.
#[must_use]
pub const fn lists_all(observation: &Observation) -> bool {
    observation.running.is_some() && observation.ended.len() < MAX_LISTED_ENDS
}

/// Returns whether an order was for this attempt.
fn is_of(attempt: &Attempt, placement: &Placement) -> bool {
    attempt.run == placement.run && attempt.worker == placement.worker
}

/// Returns the reason that log lines give for an end.
const fn end_reason(termination: Termination) -> &'static str {
    match termination {
        Termination::Done => "done",
        Termination::Failed => "failed",
        Termination::Stopped => "stopped",
        Termination::Lapsed => "lapsed",
        Termination::Broken => "gang-broken",
        Termination::Alone => "gang-alone",
    }
}
