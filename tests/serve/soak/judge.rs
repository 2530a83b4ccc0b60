//! Checks the promises by what workers, clients and the store see alone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::id::Run;
use scheduler::id::Task;
use scheduler::message::Termination;

use super::plan::Fault;
use super::spec::Spec;
use super::spec::StepSpec;

/// The time after a fault for which bounds in time do not apply, in ms. It covers the end and the
/// start of a process.
const SETTLING_MS: u64 = 10_000;
/// The time within which a cancelled job starts no more tasks, in ms.
const CANCEL_MS: u64 = 3_000;
/// The additional time within which the runs of a cancelled job end, in ms.
const STOP_MS: u64 = 1_000;
/// The number of crashes under a task after which its job may be shown as failed.
const MAX_CRASHES: u32 = 2;

/// A run as its worker observed it. Times are in ms after the start of the play.
#[derive(Clone, Debug)]
pub struct Observed {
    pub run: Run,
    pub epoch: Epoch,
    pub worker: String,
    pub started: u64,
    pub checkpoint: String,
    /// When and how it ended; a crash has no way.
    pub end: Option<(u64, Option<Termination>)>,
    /// When its end was acknowledged under an unbroken lease.
    pub noted: Option<u64>,
}

impl fmt::Display for Observed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { run, epoch, .. } = self;
        write!(f, "[run {run} epoch {epoch} on {} ", self.worker)?;
        write!(f, "from {}", self.started)?;
        match self.end {
            Some((at, Some(how))) => write!(f, " to {at} {how:?}")?,
            Some((at, None)) => write!(f, " to {at} crashed")?,
            None => {}
        }
        self.noted
            .map_or(Ok(()), |at| write!(f, " acknowledged {at}"))?;
        f.write_str("]")
    }
}

/// What a client knows of a job.
#[derive(Clone, Debug)]
pub struct Known {
    pub spec: Spec,
    pub accepted: Option<u64>,
    /// All attempts to submit it were refused, and there are no further ones.
    pub is_refused: bool,
    pub cancel_sent: bool,
    pub cancelled: Option<u64>,
    pub completed: Option<u64>,
}

impl Known {
    /// Returns what a client knows of a job that it is about to submit.
    pub const fn new(spec: Spec) -> Self {
        Self {
            spec,
            accepted: None,
            is_refused: false,
            cancel_sent: false,
            cancelled: None,
            completed: None,
        }
    }
}

/// The promise that was broken, with the observations that contradict each other.
#[derive(Clone, Debug)]
pub struct Finding {
    pub rule: &'static str,
    pub job: Job,
    pub text: String,
}

#[derive(Default)]
pub struct Judge {
    pub findings: Vec<Finding>,
    pub jobs: BTreeMap<Job, Known>,
    pub faults: Vec<Fault>,
    /// The whole answers on kept connections, and those of entries that were stopping.
    pub kept_answers: u64,
    pub stopping_answers: u64,
    runs: BTreeMap<Task, Vec<Observed>>,
    crashes: BTreeMap<Task, u32>,
    /// The runs that were found to go on after a cancel, each of which counts once.
    lingering: BTreeSet<(Task, Run)>,
}

impl Judge {
    pub fn new(faults: Vec<Fault>) -> Self {
        Self {
            faults,
            ..Self::default()
        }
    }

    /// Notes that a promise was broken.
    pub fn find(&mut self, rule: &'static str, job: Job, text: String) {
        eprintln!("{rule} {text}");
        self.findings.push(Finding { rule, job, text });
    }

    /// Returns whether a fault was near this time.
    fn is_disturbed(&self, from: u64, to: u64) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|fault| fault.at < to && fault.end() + SETTLING_MS > from)
    }

    /// Returns the specification of a step, if a client has submitted its job.
    pub fn step(&self, task: Task) -> Option<&StepSpec> {
        let known = self.jobs.get(&task.step.job)?;
        known.spec.steps.get(usize::from(task.step.step))
    }

    /// Returns whether a task has ended as done on some worker.
    pub fn is_done(&self, task: Task) -> bool {
        let ended_done = |task: &Task| {
            let mut runs = self.runs.get(task).into_iter().flatten();
            runs.any(|run| matches!(run.end, Some((_, Some(Termination::Done)))))
        };
        match self.step(task) {
            Some(step) if step.is_gang => step.tasks(task.step).any(|member| ended_done(&member)),
            _ => ended_done(&task),
        }
    }

    fn are_done(&self, job: Job, spec: &Spec, step: usize) -> bool {
        let tasks = spec.steps[step].tasks(spec.step_id(job, step));
        tasks.into_iter().all(|task| self.is_done(task))
    }

    /// Judges a start that a worker has carried out.
    pub fn started(&mut self, task: Task, observed: Observed, is_over: bool) {
        let now = observed.started;
        let job = task.step.job;
        let Some(known) = self.jobs.get(&job).cloned() else {
            return self.find(
                "UNASKED",
                job,
                format!("{now} {task} {observed} of no client"),
            );
        };
        if known.is_refused {
            let text = format!("{now} {task} {observed} although all attempts were refused");
            self.find("REFUSED", job, text);
        }
        if is_over {
            let text = format!("{now} {task} {observed} exceeds the worker's room");
            self.find("LIMIT", job, text);
        }
        if let Some(at) = known.cancelled
            && now > at + CANCEL_MS
            && !self.is_disturbed(at, now)
        {
            let text = format!("{now} {task} {observed} after the cancel acknowledged at {at}");
            self.find("UNASKED", job, text);
        }
        let step = usize::from(task.step.step);
        if step > 0 && !self.are_done(job, &known.spec, step - 1) {
            let text = format!(
                "{now} {task} {observed} before the step {} is done",
                step - 1
            );
            self.find("ORDER", job, text);
        }
        if known.spec.steps[step].is_gang {
            self.judge_gang(task, &observed, &known.spec.steps[step]);
        }
        let others = self.runs.entry(task).or_default();
        let running = others.iter().find(|other| other.end.is_none());
        let twice = running.map(|other| format!("{now} {task} {observed} while {other}"));
        let noted = others.iter().find(|other| other.noted.is_some());
        let after = noted.map(|other| format!("{now} {task} {observed} after {other}"));
        others.push(observed);
        for (rule, text) in [("TWICE", twice), ("AFTER", after)] {
            if let Some(text) = text {
                self.find(rule, job, text);
            }
        }
    }

    fn judge_gang(&mut self, task: Task, observed: &Observed, step: &StepSpec) {
        let members = step.tasks(task.step);
        let mut runs = members.flat_map(|member| self.runs.get(&member).into_iter().flatten());
        let other = runs
            .find(|other| other.run == observed.run && other.checkpoint != observed.checkpoint)
            .cloned();
        if let Some(other) = other {
            let text = format!(
                "{} {task} {observed} from {:?} and {other} from {:?}",
                observed.started, observed.checkpoint, other.checkpoint
            );
            self.find("GANG", task.step.job, text);
        }
    }

    fn observed(&mut self, task: Task, run: Run, worker: &str) -> Option<&mut Observed> {
        let mut runs = self.runs.get_mut(&task)?.iter_mut();
        runs.find(|observed| observed.run == run && observed.worker == worker)
    }

    /// Notes that a run has ended; without a way, because its worker crashed.
    pub fn ended(
        &mut self,
        now: u64,
        task: Task,
        run: Run,
        worker: &str,
        how: Option<Termination>,
    ) {
        if how.is_none() {
            *self.crashes.entry(task).or_default() += 1;
        }
        if let Some(observed) = self.observed(task, run, worker) {
            observed.end = Some((now, how));
        }
    }

    /// Notes that the end of a run as done was acknowledged before the lease lapsed.
    pub fn noted(&mut self, now: u64, task: Task, run: Run, worker: &str) {
        let Some(observed) = self.observed(task, run, worker) else {
            return;
        };
        observed.noted = Some(now);
        let noted = observed.clone();
        let ended = noted.end.map_or(now, |(at, _)| at);
        let later = self.runs[&task].iter().find(|other| other.started > ended);
        if let Some(text) = later.map(|later| format!("{now} {task} {later} after {noted}")) {
            self.find("AFTER", task.step.job, text);
        }
    }

    /// Looks for runs of cancelled jobs that have not ended in time.
    pub fn look(&mut self, now: u64) {
        let cancelled = self.jobs.iter().filter_map(|(job, known)| {
            let at = known.cancelled?;
            (now > at + CANCEL_MS + STOP_MS).then_some((*job, at))
        });
        for (job, at) in cancelled.collect::<Vec<_>>() {
            if self.is_disturbed(at, now) {
                continue;
            }
            let spec = self.jobs[&job].spec.clone();
            let runs = spec.tasks(job).filter_map(|task| {
                let open = self.runs.get(&task)?.iter().find(|run| run.end.is_none())?;
                Some((task, open.clone()))
            });
            for (task, run) in runs.collect::<Vec<_>>() {
                if self.lingering.insert((task, run.run)) {
                    let text = format!("{now} {task} {run} goes on after the cancel at {at}");
                    self.find("UNASKED", job, text);
                }
            }
        }
    }

    /// Notes that all attempts to submit a job were refused.
    pub fn refused(&mut self, now: u64, job: Job) {
        let Some(known) = self.jobs.get_mut(&job) else {
            return;
        };
        known.is_refused = true;
        let spec = known.spec.clone();
        let ran = spec
            .tasks(job)
            .find_map(|task| self.runs.get(&task)?.first().cloned());
        if let Some(run) = ran {
            let text = format!("{now} {job} was refused, and there is {run}");
            self.find("REFUSED", job, text);
        }
    }

    /// Judges the state of an accepted job that an entry shows; without one, that it knows none.
    pub fn shown(&mut self, now: u64, asked: u64, job: Job, state: Option<&str>) {
        let Some(known) = self.jobs.get(&job).cloned() else {
            return;
        };
        let tasks = || known.spec.tasks(job);
        match state {
            Some("completed") => {
                let open = tasks().find(|task| !self.is_done(*task));
                if let Some(task) = open {
                    let text = format!("{now} {job} is shown as completed, {task} is not done");
                    self.find("MIXED", job, text);
                }
                if let Some(known) = self.jobs.get_mut(&job) {
                    known.completed.get_or_insert(now);
                }
            }
            Some("failed") => {
                let crashes = |task| self.crashes.get(&task).copied().unwrap_or(0);
                if tasks().all(|task| crashes(task) < MAX_CRASHES) {
                    let text = format!("{now} {job} is shown as failed without failures");
                    self.find("LOST", job, text);
                }
                if let Some(known) = self.jobs.get_mut(&job) {
                    known.completed.get_or_insert(now);
                }
            }
            Some("cancelled") if !known.cancel_sent => {
                let text = format!("{now} {job} is shown as cancelled, nobody cancelled it");
                self.find("LOST", job, text);
            }
            None if known.cancel_sent || known.accepted.is_none_or(|at| at >= asked) => {}
            None if !self.is_disturbed(asked, now) => {
                let text = format!("{now} {job} accepted at {:?} is unknown", known.accepted);
                self.find("LOST", job, text);
            }
            _ => {}
        }
    }

    /// Returns the accepted jobs that are to complete and have not been shown as completed.
    pub fn owed(&self) -> Vec<Job> {
        let owed = self.jobs.iter().filter(|(_, known)| {
            let is_owed = known.accepted.is_some() && !known.cancel_sent;
            is_owed && known.completed.is_none() && !known.spec.is_lasting()
        });
        owed.map(|(job, _)| *job).collect()
    }

    /// Notes that jobs that are owed are not completed at the end of the play.
    pub fn end(&mut self, now: u64) {
        for job in self.owed() {
            let known = &self.jobs[&job];
            let open = known.spec.tasks(job).find(|task| !self.is_done(*task));
            let runs = open.and_then(|task| self.runs.get(&task));
            let runs: Vec<String> = runs
                .into_iter()
                .flatten()
                .map(Observed::to_string)
                .collect();
            let text = format!(
                "{now} {job} accepted at {:?} is not shown as completed; {open:?} {runs:?}",
                known.accepted
            );
            self.find("LOST", job, text);
        }
    }

    /// Returns the number of starts, and of ends as done.
    pub fn counts(&self) -> (usize, usize) {
        let runs = || self.runs.values().flatten();
        let done = runs().filter(|run| matches!(run.end, Some((_, Some(Termination::Done)))));
        (runs().count(), done.count())
    }
}

/// What a worker or a client observes, in the cases below.
#[derive(Clone, Copy)]
enum Observation {
    /// A run of the only task of the first step starts at this time.
    Start(u64, u64),
    /// A run of the only task of the second step starts at this time.
    StartNext(u64, u64),
    End(u64, u64, Option<Termination>),
    Noted(u64, u64),
    Cancelled(u64),
    Refused(u64),
    Shown(u64, &'static str),
    Look(u64),
}

fn judge(observations: &[Observation]) -> Vec<&'static str> {
    let job = Job(1);
    let step = StepSpec {
        count: 1,
        millicores: 500,
        memory_mb: 100,
        duration: 200,
        is_gang: false,
        has_checkpoints: false,
        is_lasting: false,
    };
    let spec = Spec {
        steps: vec![step.clone(), step],
    };
    let mut judge = Judge::default();
    let tasks: Vec<Task> = spec.tasks(job).collect();
    let known = Known {
        accepted: Some(0),
        ..Known::new(spec)
    };
    judge.jobs.insert(job, known);
    let start = |run, started| Observed {
        run: Run(run),
        epoch: Epoch(2),
        worker: format!("i-{run}"),
        started,
        checkpoint: String::new(),
        end: None,
        noted: None,
    };
    for observation in observations {
        match *observation {
            Observation::Start(run, at) => judge.started(tasks[0], start(run, at), false),
            Observation::StartNext(run, at) => judge.started(tasks[1], start(run, at), false),
            Observation::End(run, at, how) => {
                judge.ended(at, tasks[0], Run(run), &format!("i-{run}"), how);
            }
            Observation::Noted(run, at) => {
                judge.noted(at, tasks[0], Run(run), &format!("i-{run}"));
            }
            Observation::Cancelled(at) => {
                let known = judge.jobs.get_mut(&job).expect("the job is known");
                known.cancelled = Some(at);
            }
            Observation::Refused(at) => judge.refused(at, job),
            Observation::Shown(at, state) => judge.shown(at, at - 1, job, Some(state)),
            Observation::Look(at) => judge.look(at),
        }
    }
    judge.findings.iter().map(|finding| finding.rule).collect()
}

#[test]
fn the_judge_finds_each_contradiction_and_no_other() {
    use Observation::Cancelled;
    use Observation::End;
    use Observation::Look;
    use Observation::Noted;
    use Observation::Refused;
    use Observation::Shown;
    use Observation::Start;
    use Observation::StartNext;
    let done = Some(Termination::Done);
    let lapsed = Some(Termination::Lapsed);
    let cases: &[(&[Observation], &[&str])] = &[
        (&[Start(1, 10), Start(2, 20)], &["TWICE"]),
        (&[Start(1, 10), End(1, 15, lapsed), Start(2, 20)], &[]),
        (&[Start(1, 10), End(1, 15, None), Start(2, 20)], &[]),
        (&[Start(1, 10), End(1, 15, done), Start(2, 20)], &[]),
        (
            &[Start(1, 10), End(1, 15, done), Noted(1, 16), Start(2, 20)],
            &["AFTER"],
        ),
        (
            &[Start(1, 10), End(1, 15, done), Start(2, 20), Noted(1, 30)],
            &["AFTER"],
        ),
        (&[Start(1, 10), StartNext(2, 20)], &["ORDER"]),
        (&[Start(1, 10), End(1, 15, done), StartNext(2, 20)], &[]),
        (&[Cancelled(10), Start(1, 3_000)], &[]),
        (&[Cancelled(10), Start(1, 3_011)], &["UNASKED"]),
        (&[Start(1, 5), Cancelled(10), Look(4_000)], &[]),
        (&[Start(1, 5), Cancelled(10), Look(4_011)], &["UNASKED"]),
        (&[Start(1, 5), Refused(10)], &["REFUSED"]),
        (&[Refused(10), Start(1, 15)], &["REFUSED"]),
        (&[Start(1, 5), Shown(10, "completed")], &["MIXED"]),
        (&[Shown(10, "failed")], &["LOST"]),
        (&[Shown(10, "cancelled")], &["LOST"]),
        (&[Shown(10, "running")], &[]),
    ];
    for (index, (observations, rules)) in cases.iter().enumerate() {
        assert_eq!(judge(observations), *rules, "case {index}");
    }
}
