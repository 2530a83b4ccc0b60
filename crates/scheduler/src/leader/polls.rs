//! Handles the reports of agents on the workers that they poll.

use std::collections::BTreeSet;

use decision::clock::Ms;
use decision::name::Name;

use super::Leader;
use super::crashes::Evidence;
use crate::fleet::Life;
use crate::id;
use crate::id::Run;
use crate::id::Task;
use crate::message::Finding;
use crate::message::Observation;
use crate::message::Order;
use crate::message::Report;
use crate::message::Running;
use crate::over;

impl Leader {
    pub(super) fn handle_report(&mut self, now: Ms, entry: &Name, report: Report) {
        let needs_jobs = !matches!(
            report,
            Report::QueryStage(..) | Report::Beat | Report::Config(_) | Report::Store(..)
        );
        if needs_jobs && !self.is_recovered {
            return self.defer(entry, report);
        }
        match report {
            Report::Hello(hello) => self.record_earlier_renewals(now, &hello),
            // The embedder handles these reports.
            Report::Beat | Report::Config(_) | Report::Store(..) => {}
            Report::Watched(watch, finding) => self.handle_finding(now, entry, watch, finding),
            Report::Polled(observation) => {
                let finding = Finding::Polled(observation);
                self.handle_finding(now, entry, id::Watch::NONE, finding);
            }
            Report::PollFailed(failure) => {
                let finding = Finding::PollFailed(failure);
                self.handle_finding(now, entry, id::Watch::NONE, finding);
            }
            Report::Started(placement, outcome) => {
                self.handle_start_outcome(now, &placement, outcome)
            }
            Report::Stopped(placement, outcome, at) => match placement.echo_sent_at() {
                Some(sent_at) => self.agents.record_echo(entry, sent_at),
                None => self.handle_stop_outcome(now, entry, &placement, outcome, at),
            },
            Report::QueryStage(number, job) => {
                let stage = self.stage(job);
                self.send(entry, Order::Stage(number, stage));
            }
        }
    }

    /// Handles what an agent has found out about a worker, if it polls the worker now. What it found
    /// out under a former watch is of the past: that the worker answered or did not, which runs it
    /// listed, and when the lease was last renewed. An agent of an earlier build numbers no watch.
    fn handle_finding(&mut self, now: Ms, entry: &Name, watch: id::Watch, finding: Finding) {
        let Some(worker) = self.workers.get(finding.worker()) else {
            return;
        };
        let is_present = watch.is_none() || watch == worker.watch;
        if !is_present || worker.agent.as_ref() != Some(entry) {
            return self.drop_outdated(entry, watch, &finding);
        }
        match finding {
            Finding::Polled(observation) => {
                self.apply_observation(now, entry, watch, &observation);
            }
            Finding::PollFailed(failure) => self.handle_poll_failure(now, entry, &failure),
            Finding::Stopped(placement, outcome, at) => {
                self.handle_stop_outcome(now, entry, &placement, outcome, at);
            }
        }
    }

    fn drop_outdated(&mut self, entry: &Name, watch: id::Watch, finding: &Finding) {
        let worker = self.workers.get(finding.worker());
        let present = worker.map_or(id::Watch::NONE, |worker| worker.watch);
        self.tally.outdated_reports += 1;
        self.log(format!(
            "kind=report-outdated report={} worker={} agent={entry} watch={watch} present={present}",
            finding.kind(),
            finding.worker()
        ));
    }

    /// Keeps a report until the rows of earlier leaders are read. Of the answers of an incarnation of
    /// a worker to the same agent, the last one with its runs tells all that those before it do.
    fn defer(&mut self, entry: &Name, report: Report) {
        let later = report.observation();
        let is_repeated = |(by, earlier): &(Name, Report)| match (earlier.observation(), later) {
            (Some((earlier_watch, earlier)), Some((watch, later))) => {
                by == entry
                    && earlier_watch == watch
                    && earlier.worker == later.worker
                    && earlier.incarnation == later.incarnation
                    && later.running.is_some()
            }
            _ => false,
        };
        self.deferred_reports.retain(|kept| !is_repeated(kept));
        self.deferred_reports.push((entry.clone(), report));
    }

    fn apply_observation(
        &mut self,
        now: Ms,
        entry: &Name,
        watch: id::Watch,
        observation: &Observation,
    ) {
        let Some(worker) = self.workers.get_mut(&observation.worker) else {
            return;
        };
        let life = worker.compare_life(watch, observation.incarnation);
        if life == Life::Unclear {
            return self.clear_up_life(now, watch, observation);
        }
        worker.improved_at = now;
        worker.is_unresponsive = false;
        worker.renewals.continue_renewing();
        worker.has_lapsed = false;
        self.is_fleet_synced &= !worker.is_unreached;
        worker.is_unreached = false;
        if life == Life::Same {
            worker.record_answer(now, watch);
        }
        self.retract_crash(&observation.worker, observation.incarnation);
        if life == Life::Later {
            self.begin_life(now, watch, life, observation);
        }
        let is_first = self
            .workers
            .get_mut(&observation.worker)
            .is_some_and(|worker| {
                let is_first = !worker.is_known;
                // Runs that a list does not name may have ended.
                worker.is_known |= over::lists_all(observation);
                is_first && worker.is_known
            });
        for end in &observation.ended {
            self.handle_end(now, &observation.worker, observation.incarnation, end);
        }
        if let Some(running) = &observation.running {
            self.reconcile(now, entry, observation, running);
        }
        if is_first {
            self.log(format!(
                "kind=worker-known worker={} agent={entry} born={} running={} ended={}",
                observation.worker,
                observation.incarnation,
                observation.running.as_ref().map_or(0, Vec::len),
                observation.ended.len()
            ));
            self.send_watch(&observation.worker);
        }
        self.acknowledge(&observation.worker);
    }

    /// Begins another watch of a worker that has answered in two incarnations, of which either may be
    /// the later one. Only the later one can answer under it.
    fn clear_up_life(&mut self, now: Ms, watch: id::Watch, observation: &Observation) {
        if watch.is_none() {
            // An answer under another watch of an agent of an earlier build looks the same.
            return;
        }
        self.log(format!(
            "kind=worker-life-unclear worker={} born={} watch={watch}",
            observation.worker, observation.incarnation
        ));
        self.renew_watch(now, &observation.worker);
    }

    /// Ends what is known of the earlier incarnation of a worker, if there was one.
    fn begin_life(&mut self, now: Ms, watch: id::Watch, life: Life, observation: &Observation) {
        let Some(worker) = self.workers.get_mut(&observation.worker) else {
            return;
        };
        let earlier = worker.incarnation;
        if let Some(earlier) = earlier {
            self.record_crash(now, &observation.worker, earlier, Evidence::Restarted);
        }
        if let Some(worker) = self.workers.get_mut(&observation.worker) {
            worker.restart(observation.incarnation);
            worker.record_answer(now, watch);
        }
        if earlier.is_some() {
            self.log(format!(
                "kind=worker-restarted worker={} born={}",
                observation.worker, observation.incarnation
            ));
            // The agent must no longer acknowledge the ends of the incarnation before.
            self.send_watch(&observation.worker);
        }
        self.release_outlived_runs(now, life, observation);
    }

    /// Compares the runs that the worker reports with the booked ones.
    fn reconcile(&mut self, now: Ms, entry: &Name, observation: &Observation, running: &[Running]) {
        let mut reported: BTreeSet<(Task, Run)> = BTreeSet::new();
        for row in running {
            reported.insert((row.task, row.run));
            self.observe_run(now, observation, row);
        }
        let Some(worker) = self.workers.get_mut(&observation.worker) else {
            return;
        };
        worker.unknown_runs.retain(|run| reported.contains(run));
        let mut missing: Vec<(Task, Run)> = worker.runs.difference(&reported).copied().collect();
        if !over::lists_all(observation) {
            // The missing runs may have ended in a way that the worker has not listed yet.
            missing.clear();
        }
        for (task, run) in missing {
            self.handle_missing_run(now, entry, observation, task, run);
        }
        self.apply_measurements(now, &observation.worker, running);
    }
}
