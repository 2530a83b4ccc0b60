//! The line of results of each policy, and a table that compares several lines.

use std::fmt::Write;

use history::Check;
use history::Violation;
use history::check;
use serde::Serialize;

use crate::bound;
use crate::queue::SECOND;
use crate::scenario::Scenario;
use crate::simulation::Record;
use crate::simulation::Setup;
use crate::simulation::run;

/// The maximum number of violations of each check that are listed.
const MAX_EXAMPLES: usize = 3;

/// The violations of one check.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Broken {
    /// The check that reported them.
    pub check: Check,
    /// The number of violations.
    pub count: usize,
    /// The first violations, each with its reason and the events that show it.
    pub examples: Vec<String>,
}

/// The results of one run, which are printed as one JSON line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The name of the case.
    pub case: &'static str,
    /// The name of the policy.
    pub policy: &'static str,
    /// The seed from which the scenario was drawn.
    pub seed: u64,
    /// The names of the injected faults.
    pub faults: Vec<&'static str>,
    /// The median latency of answered requests, in milliseconds.
    pub service_p50_ms: f64,
    /// The 99th percentile of the latency of answered requests, in milliseconds.
    pub service_p99_ms: f64,
    /// The share of the requests of the peak that were answered before their deadline, from 0 to 1.
    pub crest_answered_share: f64,
    /// The share of all requests that were answered, in time or late, from 0 to 1.
    pub answered_share: f64,
    /// The number of tasks that finished by the end of the window.
    pub batch_done: u64,
    /// The useful batch work as a share of the processor time that the service does not reserve.
    pub batch_work_share: f64,
    /// The upper bound of `batch_work_share` with true sizes and without interference.
    pub batch_work_bound: f64,
    /// The number of stops by command of tasks whose job was not cancelled.
    pub evictions: u64,
    /// The share of the executed batch work that was lost, from 0 to 1.
    pub wasted_work_share: f64,
    /// The 99th percentile of the time that answered requests of short kinds spent outside their
    /// last run, in milliseconds.
    pub short_wait_p99_ms: f64,
    /// The violated invariants, grouped by check.
    pub violations: Vec<Broken>,
    /// The number of rows that all entries wrote per second of the window.
    pub table_writes_per_s: f64,
    /// The number of rows that all entries read per second of the window.
    pub table_reads_per_s: f64,
}

/// Runs a scenario under a policy, checks the history and returns the results with the record.
#[must_use]
pub fn measure(scenario: &Scenario, setup: &Setup) -> (Line, Record) {
    let record = run(scenario, setup.clone());
    let broken = broken(&check(&record.log));
    (line(scenario, setup, &record, broken), record)
}

fn line(scenario: &Scenario, setup: &Setup, record: &Record, violations: Vec<Broken>) -> Line {
    let samples = &record.samples;
    let seconds = scenario.parameters.window as f64 / SECOND as f64;
    let quantile_ms = |histogram: &hdrhistogram::Histogram<u64>, quantile| {
        rounded(histogram.value_at_quantile(quantile) as f64 / 1_000.0)
    };
    let room = scenario.vms[0].capacity.minus(scenario.service.reserved);
    let cores = f64::from(room.millicores) / 1_000.0 * scenario.vms.len() as f64;
    let batch = samples.batch;
    let share = |part: f64, whole: f64| rounded(if whole > 0.0 { part / whole } else { 0.0 });
    Line {
        case: scenario.parameters.case.name(),
        policy: setup.policy.name(),
        seed: scenario.parameters.seed,
        faults: setup.faults.iter().map(|fault| fault.name()).collect(),
        service_p50_ms: quantile_ms(&samples.latency, 0.5),
        service_p99_ms: quantile_ms(&samples.latency, 0.99),
        crest_answered_share: share(samples.peak.0 as f64, samples.peak.1 as f64),
        answered_share: share(samples.latency.len() as f64, scenario.requests.len() as f64),
        batch_done: batch.done,
        batch_work_share: share(batch.useful, cores * seconds * 1_000.0),
        batch_work_bound: rounded(bound::batch_work(scenario)),
        evictions: batch.evictions,
        wasted_work_share: share(batch.executed - batch.useful, batch.executed),
        short_wait_p99_ms: quantile_ms(&samples.short_wait, 0.99),
        violations,
        table_writes_per_s: rounded(samples.table.writes as f64 / seconds),
        table_reads_per_s: rounded(samples.table.reads as f64 / seconds),
    }
}

fn broken(violations: &[Violation]) -> Vec<Broken> {
    let mut found: Vec<Broken> = Vec::new();
    for violation in violations {
        let index = found
            .iter()
            .position(|known| known.check == violation.check);
        let index = index.unwrap_or_else(|| {
            found.push(Broken {
                check: violation.check,
                count: 0,
                examples: Vec::new(),
            });
            found.len() - 1
        });
        let known = &mut found[index];
        known.count += 1;
        if known.examples.len() < MAX_EXAMPLES {
            known.examples.push(violation.to_string());
        }
    }
    found
}

fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

/// Formats a table with one row for each measurement and one column for each line.
#[must_use]
pub fn table(lines: &[Line]) -> String {
    type Metric = fn(&Line) -> f64;
    let rows: [(&str, Metric); 12] = [
        ("service_p50_ms", |line| line.service_p50_ms),
        ("service_p99_ms", |line| line.service_p99_ms),
        ("crest_answered_share", |line| line.crest_answered_share),
        ("answered_share", |line| line.answered_share),
        ("batch_done", |line| line.batch_done as f64),
        ("batch_work_share", |line| line.batch_work_share),
        ("batch_work_bound", |line| line.batch_work_bound),
        ("evictions", |line| line.evictions as f64),
        ("wasted_work_share", |line| line.wasted_work_share),
        ("short_wait_p99_ms", |line| line.short_wait_p99_ms),
        ("table_writes_per_s", |line| line.table_writes_per_s),
        ("table_reads_per_s", |line| line.table_reads_per_s),
    ];
    let mut text = String::new();
    let mut add_row = |name: &str, cells: Vec<String>| {
        let cells = cells.iter().map(|cell| format!(" {cell:>14}"));
        let cells: String = cells.collect();
        writeln!(text, "{name:<22}{cells}").expect("writing to a string does not fail");
    };
    let headings = lines.iter().map(|line| line.policy.to_owned());
    add_row(
        lines.first().map_or("", |line| line.case),
        headings.collect(),
    );
    for (name, metric) in rows {
        let cells = lines.iter().map(|line| format!("{:.3}", metric(line)));
        add_row(name, cells.collect());
    }
    let broken = |line: &Line| {
        line.violations
            .iter()
            .map(|broken| broken.count)
            .sum::<usize>()
    };
    let cells = lines.iter().map(|line| broken(line).to_string());
    add_row("violations", cells.collect());
    text
}
