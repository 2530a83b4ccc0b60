//! The jobs that clients submit.

use rand::RngExt;
use rand::rngs::StdRng;
use scheduler::id::Job;
use scheduler::id::Step;
use scheduler::id::Task;
use serde_json::json;

/// The times that tasks work, in ms.
const DURATIONS_MS: [u64; 9] = [200, 400, 1_000, 1_000, 2_500, 2_500, 6_000, 6_000, 12_000];
/// The tasks of a wide step of short tasks.
const WIDE_COUNT: u32 = 60;

#[derive(Clone, Debug)]
pub struct StepSpec {
    pub count: u32,
    pub millicores: u32,
    pub memory_mb: u32,
    /// How long each task works, in ms.
    pub duration: u64,
    pub is_gang: bool,
    pub has_checkpoints: bool,
    pub is_lasting: bool,
}

impl StepSpec {
    /// Returns the tasks of this step under its id.
    pub fn tasks(&self, step: Step) -> impl Iterator<Item = Task> + use<> {
        (0..self.count).map(move |index| Task { step, index })
    }
}

/// A job of one or more steps, each of which follows the one before.
#[derive(Clone, Debug)]
pub struct Spec {
    pub steps: Vec<StepSpec>,
}

impl Spec {
    pub fn draw(random: &mut StdRng) -> Self {
        let step = |random: &mut StdRng| {
            let is_gang = random.random_range(0..8) == 0;
            StepSpec {
                count: random.random_range(1..if is_gang { 4 } else { 6 }),
                millicores: [500, 500, 1_000, 2_000][random.random_range(0..4)],
                memory_mb: 100,
                duration: DURATIONS_MS[random.random_range(0..DURATIONS_MS.len())],
                is_gang,
                has_checkpoints: random.random_range(0..3) == 0,
                is_lasting: false,
            }
        };
        let mut steps = vec![step(random)];
        if random.random_range(0..3) == 0 {
            steps.push(step(random));
        }
        if random.random_range(0..24) == 0 {
            steps.truncate(1);
            steps[0].is_lasting = true;
            steps[0].is_gang = false;
            steps[0].millicores = 500;
        }
        if random.random_range(0..8) == 0 {
            steps[0].count = WIDE_COUNT;
            steps[0].millicores = 200;
            steps[0].duration = DURATIONS_MS[0];
            steps[0].is_gang = false;
            steps[0].is_lasting = false;
        }
        Self { steps }
    }

    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.is_lasting)
    }

    /// Returns the id of the step at this position.
    #[expect(clippy::unused_self, reason = "the position is one of this job")]
    pub fn step_id(&self, job: Job, step: usize) -> Step {
        Step {
            job,
            occurrence: 0,
            step: u16::try_from(step).expect("a job has few steps"),
        }
    }

    /// Returns all tasks of the job under its id.
    pub fn tasks(&self, job: Job) -> impl Iterator<Item = Task> {
        let steps = self.steps.iter().enumerate();
        steps.flat_map(move |(index, step)| step.tasks(self.step_id(job, index)))
    }

    /// Returns the body of the request that submits the job.
    pub fn to_json(&self) -> String {
        let steps = self.steps.iter().enumerate().map(|(index, step)| {
            let after: Vec<usize> = index.checked_sub(1).into_iter().collect();
            json!({"count": step.count, "cpu": step.millicores, "memMb": step.memory_mb,
                "estimateMs": step.duration, "after": after, "gang": step.is_gang,
                "checkpointing": step.has_checkpoints, "longRunning": step.is_lasting})
        });
        json!({"taskSpec": "x", "steps": steps.collect::<Vec<_>>()}).to_string()
    }
}
