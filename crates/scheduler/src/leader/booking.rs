//! Chooses and books workers for the tasks of a step.

use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::ops::Bound;

use decision::clock::Ms;
use decision::name::Name;

use super::Leader;
use super::crashes;
use crate::fleet::Claim;
use crate::id::Run;
use crate::id::Task;
use crate::over::Over;
use crate::placement;
use crate::placement::Request;

/// The number of workers with room from which on a search for the best ones may end.
const MIN_CANDIDATES: usize = 1_024;
/// The number of workers with room for each task of a step from which on a search may end. Some may
/// turn out not to be in the stored fleet.
const CANDIDATES_PER_TASK: usize = 4;
/// The most racks that are searched for one step. Those with room for all of its tasks hold them,
/// unless serving tasks there leave too little slack.
const MAX_RACKS: usize = 16;

impl Leader {
    /// Books the best worker for each task, until one fits nowhere. Only workers that have improved
    /// since the given time are examined, if there is one.
    pub(super) fn choose_each(
        &mut self,
        now: Ms,
        request: &Request<'_>,
        indices: &[u32],
        improved_since: Option<Ms>,
    ) -> Vec<(Task, Run, Name)> {
        let mut candidates = self.find_candidates(now, request, improved_since);
        let mut chosen = Vec::new();
        for &index in indices {
            let task = Task {
                step: request.step,
                index,
            };
            let run = self.next_run();
            let Some(worker) = self.book_best(now, request, task, run, &mut candidates) else {
                // The run number was not used.
                self.run_count -= 1;
                if self.is_suspect(task) {
                    continue;
                }
                break;
            };
            chosen.push((task, run, worker));
        }
        chosen
    }

    /// Books workers for all tasks of a gang, or of a step whose tasks should share a rack.
    pub(super) fn choose_together(
        &mut self,
        now: Ms,
        request: &Request<'_>,
        indices: &[u32],
    ) -> Vec<(Task, Run, Name)> {
        let shared = self.next_run();
        let mut racks: Vec<Option<Name>> = Vec::new();
        if request.spec.is_same_rack {
            let found = self.racks_with_room(now, request, indices.len());
            racks.extend(found.into_iter().take(MAX_RACKS).map(Some));
        }
        racks.push(None);
        let mut best: Vec<(Task, Run, Name)> = Vec::new();
        for rack in racks {
            self.unbook(request.claim, &best);
            best.clear();
            let request = Request {
                rack: rack.as_ref(),
                ..*request
            };
            let mut candidates = self.find_candidates(now, &request, None);
            for &index in indices {
                let task = Task {
                    step: request.step,
                    index,
                };
                let run = if request.spec.is_gang {
                    shared
                } else {
                    self.next_run()
                };
                let found = self.book_best(now, &request, task, run, &mut candidates);
                let Some(worker) = found else {
                    break;
                };
                best.push((task, run, worker));
            }
            let is_whole = best.len() == indices.len();
            let is_together = rack
                .as_ref()
                .is_none_or(|rack| best.iter().all(|(_, _, name)| self.has_label(name, rack)));
            if is_whole && is_together {
                break;
            }
        }
        best
    }

    fn has_label(&self, worker: &Name, label: &Name) -> bool {
        let registration = self
            .workers
            .get(worker)
            .and_then(|worker| worker.registration.as_ref());
        registration.is_some_and(|registration| registration.labels.contains(label))
    }

    /// Returns the racks of which the workers have room for this many tasks of a step, the one with
    /// the most free processors first.
    fn racks_with_room(&self, now: Ms, request: &Request<'_>, tasks: usize) -> Vec<Name> {
        let mut racks: BTreeMap<&Name, (u64, u64)> = BTreeMap::new();
        for (name, worker) in &self.workers {
            let Some(registration) = &worker.registration else {
                continue;
            };
            // The rack is the last label of a worker.
            let Some(rack) = registration
                .labels
                .last()
                .filter(|_| registration.service == *request.service)
            else {
                continue;
            };
            let (free, room) = racks.entry(rack).or_default();
            *free += u64::from(registration.size.minus(worker.booked).millicores);
            *room += u64::from(placement::room(request, &self.model, name, worker, now));
        }
        let mut racks: Vec<(u64, Name)> = racks
            .into_iter()
            .filter(|&(_, (_, room))| room >= tasks as u64)
            .map(|(rack, (free, _))| (free, rack.clone()))
            .collect();
        racks.sort_unstable_by(|a, b| b.cmp(a));
        racks.into_iter().map(|(_, rack)| rack).collect()
    }

    fn next_run(&mut self) -> Run {
        self.run_count += 1;
        Run::new(self.epoch, self.run_count)
    }

    /// Returns workers that a task fits on, by their scores. In a very large fleet the search ends
    /// once there are many more than the step has tasks, and the next one goes on from there.
    fn find_candidates(
        &mut self,
        now: Ms,
        request: &Request<'_>,
        improved_since: Option<Ms>,
    ) -> BinaryHeap<(i64, Name)> {
        self.searches += 1;
        let prefers_rack = request.rack.or(request.spec.rack.as_ref()).is_some();
        let count = request.spec.count as usize;
        let limit = if prefers_rack {
            usize::MAX
        } else {
            MIN_CANDIDATES.max(count * CANDIDATES_PER_TASK)
        };
        let from = self.next_candidate.clone();
        let from = from.as_deref().unwrap_or_default();
        let later = (Bound::Included(from), Bound::Unbounded);
        let earlier = (Bound::Unbounded, Bound::Excluded(from));
        let later = self.workers.range::<str, _>(later);
        let all = later.chain(self.workers.range::<str, _>(earlier));
        let open = all
            .filter(|(_, worker)| improved_since.is_none_or(|since| worker.improved_at >= since));
        let scored = open.filter_map(|(name, worker)| {
            let score = placement::score(request, &self.model, name, worker, now)?;
            Some((score, name.clone()))
        });
        let found: Vec<(i64, Name)> = scored.take(limit).collect();
        if found.len() == limit {
            self.next_candidate = found.last().map(|(_, name)| name.clone());
        }
        BinaryHeap::from(found)
    }

    /// Books the best worker for a task, from the candidates for the tasks of its step. A task that
    /// has failed or may crash workers prefers others than its step.
    fn book_best(
        &mut self,
        now: Ms,
        request: &Request<'_>,
        task: Task,
        run: Run,
        candidates: &mut BinaryHeap<(i64, Name)>,
    ) -> Option<Name> {
        let failed_on = self
            .jobs
            .get_mut(&task.step.job)
            .and_then(|job| job.task(task))
            .and_then(|state| state.failed_on.clone());
        let is_suspect = self.is_suspect(task);
        let name = if failed_on.is_some() || is_suspect {
            let own = Request {
                failed_on: failed_on.as_ref(),
                is_suspect,
                ..*request
            };
            let is_usable = |name: &Name| self.is_stored(name);
            placement::choose(&own, &self.model, self.workers.iter(), is_usable, now)
        } else {
            self.take_candidate(now, request, candidates)
        }?;
        let worker = self.workers.get_mut(&name)?;
        worker.book(request.claim, task, run);
        worker.last_start = now;
        if is_suspect {
            worker.trial = Some((task.step.job, now + crashes::TRIAL_DURATION));
        }
        if let Some(score) = placement::score(request, &self.model, &name, worker, now) {
            candidates.push((score, name.clone()));
        }
        Some(name)
    }

    /// Removes the best candidate and returns it. The scores of those on which other tasks were
    /// booked meanwhile are updated.
    fn take_candidate(
        &self,
        now: Ms,
        request: &Request<'_>,
        candidates: &mut BinaryHeap<(i64, Name)>,
    ) -> Option<Name> {
        loop {
            let (score, name) = candidates.pop()?;
            let worker = self.workers.get(&name)?;
            match placement::score(request, &self.model, &name, worker, now) {
                Some(current) if current != score => candidates.push((current, name)),
                Some(_) if self.is_stored(&name) => return Some(name),
                Some(_) | None => {}
            }
        }
    }

    pub(super) fn unbook(&mut self, claim: &Claim, chosen: &[(Task, Run, Name)]) {
        for &(task, run, ref name) in chosen {
            let job = self.jobs.get_mut(&task.step.job);
            let state = job.and_then(|job| job.task(task));
            let over = state.and_then(|state| Over::never_ordered(state, task, run));
            if let (Some(worker), Some(over)) = (self.workers.get_mut(name), over) {
                worker.free(claim, over);
            }
        }
    }
}
