//! Draws the requests and jobs of a scenario with their true needs. Demand varies over time, and
//! the declared sizes and run times of jobs are wrong.

use std::collections::BTreeMap;

use decision::clock::Ms;
use decision::name::Name;
use decision::operator::Job;
use decision::resource::Size;
use rand::RngExt;
use rand::rngs::StdRng;
use standin::worker::Need;

use crate::case::Case;
use crate::queue::MS;
use crate::queue::SECOND;
use crate::queue::Us;
use crate::scenario::Batch;
use crate::scenario::Parameters;
use crate::scenario::Plan;
use crate::scenario::Request;
use crate::scenario::WARM_UP;
use crate::scenario::name;
use crate::scenario::seeded_rng;

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The name, as requests give it.
    pub name: Name,
    /// The median run time on an idle worker, in microseconds.
    pub median: Us,
    /// The share of this kind among all requests, in percent.
    pub share: u32,
    /// The share of requests of this kind that must not be repeated, in percent.
    pub unrepeatable: u32,
    /// The share of requests of this kind that run 6 to 20 times longer, in thousandths.
    pub stragglers: u32,
    /// Whether requests of this kind count in the waiting time of short work.
    pub short: bool,
}

/// Returns the kinds of requests of a case. Their shares add up to 100 percent.
pub fn kinds(case: Case, plant: bool) -> Vec<Kind> {
    let kind = |raw, median: u64, share, unrepeatable, short| Kind {
        name: name(raw),
        median: median * MS,
        share,
        unrepeatable,
        stragglers: if case == Case::Stragglers { 15 } else { 2 },
        short,
    };
    match (case, plant) {
        (Case::Stragglers, _) => vec![
            kind("feed", 30, 60, 50, true),
            kind("report", 80, 34, 0, true),
            kind("audit", 1_200, 6, 0, false),
        ],
        (_, true) => vec![
            kind("feed", 40, 45, 60, true),
            kind("report", 150, 45, 0, true),
            kind("audit", 400, 10, 0, false),
        ],
        (_, false) => vec![
            kind("order", 60, 50, 100, true),
            kind("stock", 90, 30, 0, true),
            kind("preview", 300, 20, 0, false),
        ],
    }
}

/// The mean run time over all kinds, which relates demand to the number of slots. Run times are
/// log-normal with a mean of about 1.13 times the median.
fn mean_run_time(kinds: &[Kind]) -> f64 {
    let weighted = kinds.iter().map(|kind| {
        let tail = 1.0 + f64::from(kind.stragglers) / 1_000.0 * 12.0;
        kind.median as f64 * f64::from(kind.share) / 100.0 * tail
    });
    weighted.sum::<f64>() * 1.13
}

/// Demand outside and inside the peak, as a share of what all slots serve without interference.
const fn demand_levels(case: Case) -> (f64, f64) {
    match case {
        Case::OrderRush => (0.35, 1.30),
        Case::ShiftClose => (0.30, 0.80),
        Case::NoisyWave => (0.40, 0.60),
        Case::Stragglers => (0.50, 0.75),
        Case::BlackHole => (0.40, 0.70),
        Case::CancelWave | Case::ImpossibleJobs => (0.35, 0.60),
        Case::RollingRestart => (0.35, 0.55),
    }
}

/// Draws the requests of a case as a Poisson process whose rate jumps at the peak.
pub fn requests(
    parameters: &Parameters,
    kinds: &[Kind],
    slots: usize,
    peak: (Us, Us),
) -> Vec<Request> {
    let mut random = seeded_rng(parameters.seed, "requests");
    let (base_level, peak_level) = demand_levels(parameters.case);
    let full = slots as f64 / mean_run_time(kinds);
    let mut at = WARM_UP as f64;
    let mut requests = Vec::new();
    loop {
        let swing = 1.0 + 0.25 * (at / (7.0 * SECOND as f64)).sin();
        let inside = at >= peak.0 as f64 && at < peak.1 as f64;
        let rate = full
            * if inside {
                peak_level
            } else {
                base_level * swing
            };
        at += -random.random_range(f64::EPSILON..1.0).ln() / rate;
        if at >= (WARM_UP + parameters.window) as f64 {
            return requests;
        }
        requests.push(request(&mut random, kinds, at as Us));
    }
}

fn request(random: &mut StdRng, kinds: &[Kind], at: Us) -> Request {
    let mut draw = random.random_range(0..100);
    let kind = kinds.iter().position(|kind| {
        let found = draw < kind.share;
        draw = draw.saturating_sub(kind.share);
        found
    });
    let kind = kind.unwrap_or(0);
    let drawn_kind = &kinds[kind];
    let mut work = drawn_kind.median as f64 * lognormal(random, 0.5);
    if random.random_range(0..1_000) < drawn_kind.stragglers {
        work *= random.random_range(6.0..20.0);
    }
    Request {
        at,
        kind,
        work: (work as Us).max(MS),
        repeatable: random.random_range(0..100) >= drawn_kind.unrepeatable,
        sends_twice: random.random_ratio(1, 200),
        team: random.random_range(0..2),
    }
}

/// Draws a log-normal factor with median 1. The normal value is approximated by a sum of 12 uniform
/// values, by the central limit theorem.
fn lognormal(random: &mut StdRng, sigma: f64) -> f64 {
    let sum: f64 = (0..12).map(|_| random.random::<f64>()).sum();
    ((sum - 6.0) * sigma).exp()
}

/// Draws how each kind of batch task slows each kind of request.
pub fn batch(seed: u64, requests: usize) -> BTreeMap<Name, Batch> {
    let mut random = seeded_rng(seed, "batch");
    let mut kinds = BTreeMap::new();
    for (raw, low, high) in [
        ("pack", 0, 20),
        ("index", 10, 60),
        ("render", 20, 90),
        ("noisy", 250, 500),
    ] {
        let interference = (0..requests).map(|_| random.random_range(low..high));
        let interference = interference.collect();
        kinds.insert(name(raw), Batch { interference });
    }
    kinds
}

/// Draws the jobs of a case. In total they offer between 0.6 and 1.3 times the work that the free
/// capacity can run in the window.
pub fn jobs(parameters: &Parameters, room: Size, workers: usize, teams: &[Name]) -> Vec<Plan> {
    let mut random = seeded_rng(parameters.seed, "jobs");
    let offered = match parameters.case {
        Case::ShiftClose | Case::CancelWave | Case::ImpossibleJobs => 1.3,
        Case::RollingRestart | Case::BlackHole => 0.9,
        _ => 0.6,
    };
    let window = parameters.window as f64 / MS as f64;
    let area = f64::from(room.millicores) * workers as f64 * window * offered;
    let mut left = area;
    let mut plans = Vec::new();
    while left > 0.0 {
        let mut plan = job(&mut random, parameters, plans.len(), teams);
        set_submission_time(&mut random, parameters, &mut plan);
        for need in &plan.needs {
            left -= need.work.0 as f64 * f64::from(need.size.millicores);
        }
        plans.push(plan);
        if parameters.case == Case::ImpossibleJobs && plans.len() % 3 == 0 {
            plans.push(impossible(
                &mut random,
                parameters,
                plans.len(),
                room,
                teams,
            ));
        }
    }
    plans.sort_by_key(|plan| plan.at);
    plans
}

fn set_submission_time(random: &mut StdRng, parameters: &Parameters, plan: &mut Plan) {
    let window = parameters.window;
    let noisy = &*plan.job.kind == "noisy";
    plan.at = WARM_UP
        + match (parameters.case, noisy) {
            // The noisy jobs arrive in two waves of two seconds each.
            (Case::NoisyWave, true) => {
                let wave = random.random_range(0..2) * window * 2 / 5 + window / 5;
                wave + random.random_range(0..2 * SECOND)
            }
            (Case::ShiftClose, _) => random.random_range(0..window / 4),
            _ => random.random_range(0..window * 3 / 5),
        };
}

fn job(random: &mut StdRng, parameters: &Parameters, index: usize, teams: &[Name]) -> Plan {
    let noisy = if parameters.case == Case::NoisyWave {
        5
    } else {
        1
    };
    let kind = match random.random_range(0..10) {
        draw if draw < noisy => "noisy",
        draw if draw < 5 => "pack",
        draw if draw < 8 => "index",
        _ => "render",
    };
    let tasks = random.random_range(8_u32..60);
    let true_size = Size {
        millicores: random.random_range(500..3_000),
        memory_mb: random.random_range(500..6_000),
        accelerators: 0,
    };
    let run_time = random.random_range(3_000..10_000);
    let needs = (0..tasks).map(|_| need(random, parameters, true_size, run_time));
    let needs = needs.collect();
    let job = Job {
        name: name(&format!("job-{index:03}")),
        team: teams[random.random_range(0..teams.len())].clone(),
        kind: name(kind),
        tasks,
        size: declared(random, true_size),
        run_time: Ms((run_time as f64 * lognormal(random, 0.8)) as u64 + 1),
        urgent: random.random_ratio(1, 10),
    };
    Plan { at: 0, job, needs }
}

fn need(random: &mut StdRng, parameters: &Parameters, size: Size, run_time: u64) -> Need {
    let scale = |value: u32, by: f64| (f64::from(value) * by) as u32 + 1;
    let rare = if parameters.case == Case::Stragglers {
        30
    } else {
        5
    };
    let tail = if random.random_range(0..1_000) < rare {
        random.random_range(4.0..10.0)
    } else {
        1.0
    };
    let work = run_time as f64 * lognormal(random, 0.3) * tail;
    let (cpu, memory) = (lognormal(random, 0.15), lognormal(random, 0.1));
    Need {
        work: Ms(work as u64 + 1),
        size: Size {
            millicores: scale(size.millicores, cpu),
            memory_mb: scale(size.memory_mb, memory),
            accelerators: 0,
        },
    }
}

/// Draws the declared size of a task. Four of five values are up to three times too large, and the
/// rest are as small as half of the true value.
fn declared(random: &mut StdRng, size: Size) -> Size {
    let mut misdeclare = |value: u32| {
        let factor = if random.random_ratio(1, 5) {
            random.random_range(0.5..1.0)
        } else {
            random.random_range(1.0..3.0)
        };
        (f64::from(value) * factor) as u32 + 1
    };
    Size {
        millicores: misdeclare(size.millicores),
        memory_mb: misdeclare(size.memory_mb),
        accelerators: 0,
    }
}

fn impossible(
    random: &mut StdRng,
    parameters: &Parameters,
    index: usize,
    room: Size,
    teams: &[Name],
) -> Plan {
    let mut plan = job(random, parameters, index, teams);
    match random.random_range(0..3) {
        0 => plan.job.size.millicores = room.millicores * 4,
        1 => plan.job.size.memory_mb = room.memory_mb * 4,
        _ => plan.job.size.accelerators = 1,
    }
    plan.needs.clear();
    plan.at = WARM_UP + random.random_range(0..parameters.window * 3 / 5);
    plan
}
