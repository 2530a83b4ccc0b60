//! Inputs at and beyond their limits.

use std::sync::Arc;

use decision::clock::Ms;
use decision::resource::Size;
use proptest::collection;
use proptest::option;
use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::sample;
use scheduler::config::Config;
use scheduler::config::Queue;
use scheduler::id;
use scheduler::id::Run;
use scheduler::id::Task;
use scheduler::message::End;
use scheduler::message::Failure;
use scheduler::message::Observation;
use scheduler::message::Outcome;
use scheduler::message::Placement;
use scheduler::message::Report;
use scheduler::message::Running;
use scheduler::message::Termination;
use scheduler::progress;
use scheduler::progress::Progress;
use scheduler::spec;

use super::fleet::name;

/// A time of day.
pub const TODAY: Ms = Ms(1_700_000_000_000);
/// The size of an ordinary worker.
pub const ROOM: Size = Size {
    millicores: 8_000,
    memory_mb: 16_000,
    accelerators: 1,
};
const YEAR: u64 = 31_536_000_000;
/// The most tasks of all occurrences of a drawn job, so that a case takes milliseconds.
const MAX_TASKS: u32 = 1_200;

fn edge_u32() -> BoxedStrategy<u32> {
    let edges = vec![0, 1, 2, 63, 64, 65, 8_000, 20_000, 1 << 31, u32::MAX];
    prop_oneof![3 => sample::select(edges), 1 => any::<u32>()].boxed()
}

fn edge_ms() -> BoxedStrategy<Ms> {
    let edges = vec![0, 1, 500, 60_000, YEAR, TODAY.0, u64::MAX / 30, u64::MAX];
    prop_oneof![3 => sample::select(edges), 1 => any::<u64>()]
        .prop_map(Ms)
        .boxed()
}

fn need() -> BoxedStrategy<u32> {
    prop_oneof![6 => 0..2_000_u32, 1 => edge_u32()].boxed()
}

/// Returns sizes of workers.
pub fn size() -> BoxedStrategy<Size> {
    let edges = (edge_u32(), edge_u32(), edge_u32());
    let edges = edges.prop_map(|(millicores, memory_mb, accelerators)| Size {
        millicores,
        memory_mb,
        accelerators,
    });
    prop_oneof![4 => Just(ROOM), 1 => edges].boxed()
}

/// Returns times of the clock of a leader.
pub fn clock() -> BoxedStrategy<Ms> {
    sample::select(vec![0, 20_000, 40_000_000, 100 * YEAR])
        .prop_map(Ms)
        .boxed()
}

/// Returns times of day.
pub fn time_of_day() -> BoxedStrategy<Ms> {
    prop_oneof![4 => Just(TODAY), 1 => edge_ms()].boxed()
}

fn step(index: usize) -> BoxedStrategy<spec::Step> {
    let flags = collection::vec(prop_oneof![4 => Just(false), 1 => Just(true)], 6);
    let count = prop_oneof![4 => 1..6_u32, 1 => 60..70_u32, 1 => 1..400_u32];
    let size = (need(), need(), sample::select(vec![0, 0, 0, 1, 2]));
    let times = (edge_ms(), option::weighted(0.3, edge_ms()));
    let texts = (
        option::weighted(0.2, sample::select(vec!["kind", "kind", "r0", "none"])),
        option::weighted(0.2, sample::select(vec!["r0", "r1", "none"])),
        option::weighted(0.2, "[a-c]"),
    );
    let limits = (
        option::weighted(0.2, sample::select(vec![1, 2, u32::MAX])),
        edge_u32(),
    );
    let after = collection::btree_set(0..index.max(1) as u16, 0..4);
    (flags, count, size, times, texts, limits, after)
        .prop_map(
            move |(flags, count, size, times, texts, limits, after)| spec::Step {
                count,
                need: Size {
                    millicores: size.0,
                    memory_mb: size.1,
                    accelerators: size.2,
                },
                estimate: times.0,
                after: after.into_iter().filter(|_| index > 0).collect(),
                is_gang: flags[0],
                is_same_rack: flags[1],
                label: texts.0.map(name),
                rack: texts.1.map(name),
                per_worker: limits.0,
                is_speculative: flags[2],
                is_lasting: flags[3],
                has_checkpoints: flags[4],
                image: texts.2.map(Arc::from),
                tail_limit: times.1.map(|limit| Ms(limit.0.max(1))),
                is_filling: flags[5],
                disruption_budget: limits.1,
            },
        )
        .boxed()
}

fn steps() -> BoxedStrategy<Vec<spec::Step>> {
    let count = prop_oneof![6 => 1..5_usize, 1 => Just(spec::MAX_STEPS)];
    count
        .prop_flat_map(|count| (0..count).map(step).collect::<Vec<_>>())
        .boxed()
}

fn schedule() -> BoxedStrategy<Option<spec::Schedule>> {
    let first = prop_oneof![2 => Just(Ms(TODAY.0 - 1_000)), 1 => edge_ms()];
    let count = prop_oneof![3 => 1..10_u32, 1 => Just(300_u32), 1 => Just(spec::MAX_OCCURRENCES)];
    option::of(
        (first, edge_ms(), count).prop_map(|(first, interval, count)| spec::Schedule {
            first,
            interval,
            count,
        }),
    )
    .boxed()
}

/// Changes a step so that its tasks fit and end.
fn tame(step: &mut spec::Step) {
    step.is_lasting = false;
    step.label = step.label.take().filter(|label| **label == *"kind");
    step.need.accelerators = step.need.accelerators.min(1);
    if step.is_gang {
        step.count = step.count.min(3);
        step.need.accelerators = 0;
    }
    step.need.millicores = step.need.millicores.min(ROOM.millicores / 3);
    step.need.memory_mb = step.need.memory_mb.min(ROOM.memory_mb / 3);
}

/// Returns jobs that an entry accepts, with few enough tasks to run them all. Half of them end by
/// their tasks.
pub fn job() -> BoxedStrategy<spec::Job> {
    (steps(), schedule(), any::<bool>())
        .prop_map(|(mut steps, mut schedule, is_tame)| {
            if is_tame {
                steps.iter_mut().for_each(tame);
                if let Some(schedule) = &mut schedule {
                    schedule.first = schedule.first.min(TODAY);
                    schedule.interval = schedule.interval.min(Ms(1));
                }
            }
            let tasks: u32 = steps.iter().map(|step| step.count).sum();
            let most = (MAX_TASKS / tasks).max(1);
            let schedule = schedule.map(|schedule| spec::Schedule {
                count: schedule.count.min(most),
                ..schedule
            });
            spec::Job {
                payload: Arc::from(""),
                steps,
                schedule,
            }
        })
        .boxed()
}

/// Returns jobs, some of which no entry accepts.
pub fn odd_job() -> BoxedStrategy<spec::Job> {
    let after = collection::vec(any::<u16>(), 0..3);
    let odd = (job(), after, prop_oneof![Just(0), edge_u32()], edge_u32());
    let odd = odd.prop_map(|(mut job, after, count, occurrences)| {
        let last = job.steps.len() - 1;
        job.steps[last].after.extend(after);
        job.steps[0].count = count;
        if let Some(schedule) = &mut job.schedule {
            schedule.count = occurrences;
        }
        job
    });
    let empty = job().prop_map(|mut job| {
        job.steps.clear();
        job
    });
    prop_oneof![3 => job(), 3 => odd, 1 => empty].boxed()
}

/// Returns a job of one task that runs at once.
pub fn plain_job() -> spec::Job {
    let step = spec::Step {
        count: 1,
        estimate: Ms(500),
        ..spec::Step::default()
    };
    spec::Job {
        payload: Arc::from(""),
        steps: vec![step],
        schedule: None,
    }
}

/// Returns a configuration with the queue of all jobs.
pub fn plain_config() -> Config {
    Config {
        version: 1,
        queues: vec![Queue {
            name: name("queue"),
            host: Arc::from("host"),
            prefix: Arc::from("/q/"),
            service: name("service"),
            priority: 0,
            max_attempts: 3,
            stretch: 1.5,
            latency_allowance: Ms(250),
            needs_ticket: false,
        }],
        services: Vec::new(),
        max_body_bytes: 1_000,
    }
}

/// Returns configurations with that queue.
pub fn config() -> BoxedStrategy<Config> {
    let stretch = sample::select(vec![0.0, 1.0, 1.5, -1.0, 1e308, -1e308, 5e-324]);
    (stretch, edge_ms(), edge_u32(), edge_u32())
        .prop_map(|(stretch, latency_allowance, priority, max_attempts)| {
            let mut config = plain_config();
            config.queues[0].stretch = stretch;
            config.queues[0].latency_allowance = latency_allowance;
            config.queues[0].priority = priority;
            config.queues[0].max_attempts = max_attempts;
            config
        })
        .boxed()
}

fn edge_u16() -> BoxedStrategy<u16> {
    prop_oneof![3 => 0..4_u16, 1 => sample::select(vec![63, 1 << 15, u16::MAX])].boxed()
}

fn task() -> BoxedStrategy<Task> {
    let job = sample::select(vec![1, 1, 1, 2, u64::MAX]).prop_map(id::Job);
    let occurrence = prop_oneof![3 => 0..3_u32, 1 => edge_u32()];
    let index = prop_oneof![3 => 0..6_u32, 1 => edge_u32()];
    (job, occurrence, edge_u16(), index)
        .prop_map(|(job, occurrence, step, index)| Task {
            step: id::Step {
                job,
                occurrence,
                step,
            },
            index,
        })
        .boxed()
}

fn run() -> BoxedStrategy<Run> {
    let edges = vec![0, 1, 7 << 20, (7 << 20) + 1, (7 << 20) + 2, u64::MAX];
    sample::select(edges).prop_map(Run).boxed()
}

fn end() -> BoxedStrategy<End> {
    let termination = sample::select(vec![
        Termination::Done,
        Termination::Failed,
        Termination::Failed,
        Termination::Stopped,
        Termination::Lapsed,
        Termination::Broken,
        Termination::Alone,
    ]);
    let number = prop_oneof![3 => 1..30_u64, 1 => any::<u64>()];
    (number, task(), run(), termination)
        .prop_map(|(number, task, run, termination)| End {
            number,
            task,
            run,
            termination,
            checkpoint: None,
        })
        .boxed()
}

fn running() -> BoxedStrategy<Running> {
    (task(), run(), any::<u8>(), edge_u32())
        .prop_map(|(task, run, percent, measurement)| Running {
            task,
            run,
            checkpoint: None,
            percent,
            measurement,
        })
        .boxed()
}

fn placement() -> BoxedStrategy<Placement> {
    (task(), run())
        .prop_map(|(task, run)| Placement {
            worker: name("w0"),
            incarnation: Ms(77),
            task,
            run,
        })
        .boxed()
}

/// Returns reports on a worker that no well-behaved one gives rise to.
pub fn report() -> BoxedStrategy<Report> {
    let incarnation = prop_oneof![6 => Just(Ms(77)), 1 => edge_ms()];
    let running = option::of(collection::vec(running(), 0..4));
    let polled = (
        incarnation,
        edge_ms(),
        running,
        collection::vec(end(), 0..4),
    );
    let polled = polled.prop_map(|(incarnation, polled_at, running, ended)| {
        Report::Polled(Observation {
            worker: name("w0"),
            incarnation,
            polled_at,
            running,
            ended,
        })
    });
    let failed = (edge_ms(), any::<bool>()).prop_map(|(renewal_age, is_closed)| {
        Report::PollFailed(Failure {
            worker: name("w0"),
            renewal_age,
            is_closed,
        })
    });
    let outcome = sample::select(vec![
        Outcome::Done,
        Outcome::Old,
        Outcome::Late,
        Outcome::Room,
        Outcome::Ticket,
        Outcome::Reborn,
        Outcome::Unhealthy,
        Outcome::Unsent,
        Outcome::Unknown,
    ]);
    let started = (placement(), outcome.clone());
    let stopped = (placement(), outcome, edge_ms());
    prop_oneof![
        6 => polled,
        1 => failed,
        1 => started.prop_map(|(run, outcome)| Report::Started(run, outcome)),
        1 => stopped.prop_map(|(run, outcome, at)| Report::Stopped(run, outcome, at)),
    ]
    .boxed()
}

/// Returns progress of any job.
pub fn progress() -> BoxedStrategy<Progress> {
    let failures = collection::btree_map(edge_u32(), collection::btree_set(run(), 0..3), 0..3);
    let step = (collection::vec(any::<u64>(), 0..4), failures);
    let step = step.prop_map(|(done, failures)| progress::Step { done, failures });
    let steps = collection::btree_map((prop_oneof![0..3_u32, edge_u32()], edge_u16()), step, 0..4);
    (
        any::<bool>(),
        prop_oneof![4 => Just(0), 1 => edge_u32()],
        steps,
    )
        .prop_map(|(has_started, finished_occurrences, steps)| Progress {
            has_started,
            ended: None,
            finished_occurrences,
            steps,
        })
        .boxed()
}
