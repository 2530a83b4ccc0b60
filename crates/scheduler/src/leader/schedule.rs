//! Starts waiting tasks, the most urgent first.

use std::collections::BTreeSet;
use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;

use super::Leader;
use super::pass;
use super::pass::Pass;
use super::waiting;
use crate::age;
use crate::id;
use crate::id::Run;
use crate::id::Task;
use crate::message::Order;
use crate::message::Start;
use crate::pace::Urgency;
use crate::placement;
use crate::placement::Request;
use crate::task::Attempt;
use crate::task::Phase;

/// The least time between two passes while some steps find no room. Each poll and each end wakes
/// the leader, and a pass over a full fleet costs far more than handling them.
const CROWDED_INTERVAL: Ms = Ms(25);
/// A step whose latest start is nearer than this no longer waits for a better worker.
const MIN_SPARE_TIME: Ms = Ms(1_000);
/// The most starts in one pass, so that a pass does not delay the other work of the leader.
const MAX_STARTS: usize = 200;

/// The interval at which a step that found no room is tried on the whole fleet again. In between
/// only those workers are tried that have freed resources or have answered a poll since.
const FULL_TRY_INTERVAL: Ms = Ms(250);

/// The last try of a step that found no room.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Try {
    at: Ms,
    /// The time of the last try on all workers, and the conditions under which it failed.
    full_at: Ms,
    kept_slack: f64,
    avoids_slow: bool,
}

impl Try {
    /// Returns whether a worker that has not improved since this try has no room for the request
    /// either.
    fn covers(&self, now: Ms, request: &Request<'_>) -> bool {
        now.since(self.full_at) < FULL_TRY_INTERVAL
            && request.kept_slack >= self.kept_slack
            && request.avoids_slow == self.avoids_slow
    }
}

impl Leader {
    pub(super) fn start_tasks(&mut self, now: Ms) {
        let is_too_early = self.is_crowded && now.since(self.last_pass) < CROWDED_INTERVAL;
        if self.holds_starts(now) || is_too_early || self.waiting.is_empty() {
            return;
        }
        self.last_pass = now;
        self.passes += 1;
        let waiting = self.by_urgency(now);
        let avoids_slow = placement::can_avoid_slow(self.workers.values(), now);
        let mut pass = Pass::new(self.has_unheard_workers(), avoids_slow);
        let mut is_cut = waiting.len() < self.waiting.len();
        for (rank, step) in waiting {
            pass.allow(waiting::comes_first(now, rank));
            self.start_step(now, step, &mut pass);
            is_cut |= pass.is_exhausted();
            if pass.starts >= MAX_STARTS || pass.is_exhausted() {
                break;
            }
        }
        if pass.starts < MAX_STARTS && (is_cut || pass.has_skipped) {
            self.try_in_turn(now, &mut pass);
        }
        self.is_crowded = pass.is_crowded;
    }

    /// Tries some of the steps that the pass has skipped, a few in each pass.
    fn try_in_turn(&mut self, now: Ms, pass: &mut Pass) {
        pass.is_crowded = true;
        pass.allow_more();
        for (rank, step) in self.next_in_turn() {
            self.start_step(now, step, pass);
            if pass.has_skipped {
                // The next turn begins with this step.
                return;
            }
            self.last_in_turn = Some((rank, step));
            if pass.starts >= MAX_STARTS {
                return;
            }
        }
    }

    /// Returns the tasks of a step to start, and whether others are held back because another leader
    /// may start them too: an earlier one on a worker that has not answered, or a later one. Rows of
    /// jobs that are newer than a leader's own row were unknown to earlier leaders, which start such
    /// jobs only if they read them while they certainly held the lead.
    fn startable_tasks(&mut self, step: id::Step, has_unheard_workers: bool) -> (Vec<u32>, bool) {
        let (epoch, certain_until) = (self.epoch.0, self.certain_until);
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return (Vec::new(), false);
        };
        let is_newer = job.row_version > epoch;
        if is_newer && job.learned_at >= certain_until {
            return (Vec::new(), true);
        }
        let may_run_unseen = has_unheard_workers && !is_newer;
        let is_gang = job.step_spec(step.step).is_some_and(|spec| spec.is_gang);
        let Some(state) = job.step(step) else {
            return (Vec::new(), false);
        };
        let mut tasks: Vec<u32> = state.startable().iter().copied().collect();
        if is_gang && tasks.len() < state.unfinished as usize {
            // The members share one run, so none starts before the last run of all has ended.
            return (Vec::new(), false);
        }
        if may_run_unseen && !state.is_fresh {
            tasks.retain(|&index| state.tasks[index as usize].is_seen);
        }
        let startable = state.startable().len();
        if !job.are_crashes_durable() {
            tasks.retain(|&index| !job.is_suspect(Task { step, index }));
        }
        let is_held = tasks.len() < startable;
        if is_gang && is_held {
            tasks.clear();
        }
        (tasks, is_held)
    }

    /// Starts as many tasks of a step as fit, or none of a gang that does not fit as a whole.
    fn start_step(&mut self, now: Ms, step: id::Step, pass: &mut Pass) {
        let Some(job) = self.jobs.get(&step.job) else {
            return self.dequeue(step);
        };
        let job_spec = Arc::clone(&job.spec);
        let Some(spec) = job_spec.steps.get(usize::from(step.step)) else {
            return self.dequeue(step);
        };
        let Some(claim) = job.claim(step.step) else {
            return;
        };
        let Some(queue) = self.queue(&job.queue) else {
            return;
        };
        let (service, needs_ticket) = (queue.service.clone(), queue.needs_ticket);
        let kept_slack = self.kept_slack(now, step);
        if !pass.should_try(step, &service, &claim, kept_slack) {
            return;
        }
        if !pass.has_unheard_workers {
            self.assume_crashes(step);
        }
        let (indices, is_held) = self.startable_tasks(step, pass.has_unheard_workers);
        pass.is_crowded |= is_held;
        if is_held && indices.is_empty() {
            return;
        }
        let tickets = needs_ticket.then(|| self.workers_with_ticket(step, now));
        let request = Request {
            service: &service,
            spec,
            claim: &claim,
            step,
            tickets: tickets.as_ref(),
            failed_on: None,
            is_suspect: false,
            rack: None,
            avoids_slow: pass.avoids_slow,
            kept_slack,
        };
        let has_suspects = self.has_suspects(step, &indices);
        let is_independent = !(spec.is_gang || spec.is_same_rack || needs_ticket || has_suspects);
        let improved_since = self
            .tried
            .get(&step)
            .filter(|last| is_independent && last.covers(now, &request))
            .map(|last| last.at);
        let chosen = if spec.is_gang || spec.is_same_rack {
            self.choose_together(now, &request, &indices)
        } else {
            self.choose_each(now, &request, &indices, improved_since)
        };
        let is_whole = chosen.len() == indices.len();
        if !is_whole {
            let is_constrained = pass::is_constrained(&request, has_suspects);
            let mut workers = self.workers.values();
            let has_room =
                is_constrained && workers.any(|worker| placement::has_room(&request, worker, now));
            pass.record_unplaced(&request, is_constrained && has_room);
            self.record_try(now, &request, improved_since.is_none());
        }
        if is_whole && !is_held {
            self.dequeue(step);
        } else if !is_whole && needs_ticket {
            self.request_advice(now, &request);
        }
        if spec.is_gang && !is_whole {
            self.unbook(&claim, &chosen);
            return;
        }
        pass.starts += chosen.len();
        for (task, run, worker) in chosen {
            self.start(now, task, run, worker);
        }
    }

    /// Returns the slack that a filling step must leave to serving tasks.
    pub(super) fn kept_slack(&self, now: Ms, step: id::Step) -> f64 {
        let slack = match self.urgency(now, step) {
            Urgency::Critical => placement::MIN_SLACK,
            Urgency::Early | Urgency::Late => placement::AMPLE_SLACK,
        };
        slack + self.congestion.extra_slack(now)
    }

    /// Returns how much a delay of the step costs.
    pub(super) fn urgency(&self, now: Ms, step: id::Step) -> Urgency {
        let Some(rank) = self.compute_rank(step) else {
            return Urgency::Late;
        };
        let remaining = self.jobs.get(&step.job).map(|job| &job.remaining);
        let remaining = remaining.and_then(|all| all.get(usize::from(step.step)));
        let end = rank.latest_start + remaining.copied().unwrap_or_default();
        let now = age::shifted(now);
        if now > end {
            Urgency::Late
        } else if now + MIN_SPARE_TIME < rank.latest_start {
            Urgency::Early
        } else {
            Urgency::Critical
        }
    }

    /// Returns the workers for which the step has a ticket.
    fn workers_with_ticket(&self, step: id::Step, now: Ms) -> BTreeSet<Name> {
        let names = self.workers.keys();
        let names = names.filter(|name| self.advice.ticket(step, name, now).is_some());
        names.cloned().collect()
    }

    /// Records that a step found no room among all workers, or among those that have improved since
    /// its last try.
    fn record_try(&mut self, now: Ms, request: &Request<'_>, is_full: bool) {
        let last = self.tried.entry(request.step).or_default();
        last.at = now;
        if is_full {
            *last = Try {
                at: now,
                full_at: now,
                kept_slack: request.kept_slack,
                avoids_slow: request.avoids_slow,
            };
        }
    }

    fn start(&mut self, now: Ms, id: Task, run: Run, name: Name) {
        let Some(worker) = self.workers.get(&name) else {
            return;
        };
        let (Some(agent), Some(incarnation)) = (worker.agent.clone(), worker.incarnation) else {
            return;
        };
        let ticket = self.advice.ticket(id.step, &name, now);
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            return;
        };
        let payload = Arc::clone(&job.spec.payload);
        let checkpoint = job.start_checkpoint(id);
        let waited = age::shifted(now).since(job.occurrence_age(id.step.occurrence).begin());
        let Some(task) = job.task(id) else {
            return;
        };
        task.is_seen = true;
        let attempt = Attempt {
            worker: name.clone(),
            incarnation,
            run,
            started_at: now,
            is_listed: false,
            phase: Phase::Starting,
            phase_since: now,
            stop_sent: None,
            stopped_at: None,
            stopped_by: None,
            missed_polls: 0,
            share: Some(100),
            percent: 0,
            measurement: 0,
        };
        if let Some(step) = job.step(id.step) {
            step.add_run(id.index, attempt);
        }
        self.log(format!(
            "kind=start task={id} run={run} worker={name} agent={agent} waited_ms={}",
            waited.0
        ));
        let order = Start {
            worker: name,
            incarnation,
            task: id,
            run,
            payload,
            checkpoint,
            ticket,
        };
        self.send(&agent, Order::Start(order));
    }
}
