//! Runs that a leader releases for an expired lease, in the log lines and metrics of the entries.
//!
//! Each start renews the lease of its worker, so a run that is confirmed is released for an expired
//! lease a lease after its start was ordered, or later.

use std::collections::BTreeMap;

use scheduler::id::Task;

use super::judge::Finding;

/// The lease that the entries of a play give, in ms.
const LEASE_MS: u64 = 6_000;
/// The rule that findings of this module name.
const RULE: &str = "EARLY";

/// Returns the value of a key in a log line.
fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut words = line.split(' ').filter_map(|word| word.split_once('='));
    words.find(|(name, _)| *name == key).map(|(_, value)| value)
}

fn time(line: &str) -> Option<u64> {
    value(line, "time")?.parse().ok()
}

/// Returns the runs in log lines of all entries that were confirmed and released for an expired lease
/// sooner than a lease after their start was ordered. The lines may stand in any order.
pub fn early<'a>(lines: impl Iterator<Item = &'a str> + Clone) -> Vec<Finding> {
    let of_kind = |kind: &'static str| {
        let lines = lines.clone();
        lines.filter(move |line| value(line, "kind") == Some(kind))
    };
    let of_run = |line: &'a str| Some((value(line, "task")?, value(line, "run")?));
    let by_run = |kind| -> BTreeMap<_, _> {
        let lines = of_kind(kind);
        lines
            .filter_map(|line| Some((of_run(line)?, line)))
            .collect()
    };
    let (starts, expiries) = (by_run("start"), by_run("lease-expired"));
    let is_early = |line: &str, start: &str| {
        let is_confirmed = matches!(value(line, "phase"), Some("Running" | "Stopping"));
        let age = time(line).zip(time(start));
        let age = age.map(|(released, started)| released.saturating_sub(started));
        is_confirmed && age.is_some_and(|age| age < LEASE_MS)
    };
    let releases = of_kind("run-released");
    let releases = releases.filter(|line| value(line, "reason") == Some("lease-expired"));
    let found = releases.filter_map(|line| {
        let run = of_run(line)?;
        let start = starts.get(&run).filter(|start| is_early(line, start))?;
        let expiry = expiries.get(&run).unwrap_or(&"no line lease-expired");
        let task: Task = run.0.parse().ok()?;
        Some(Finding {
            rule: RULE,
            job: task.step.job,
            text: format!("{line} | {expiry} | {start}"),
        })
    });
    found.collect()
}

/// Returns the finding that the metrics of an entry count early releases, if they do.
pub fn counted(entry: &str, metrics: &str) -> Option<Finding> {
    let mut counts = metrics
        .lines()
        .filter(|line| !line.starts_with('#') && line.contains("early_releases"));
    let line = counts.find(|line| !line.ends_with(" 0"))?;
    Some(Finding {
        rule: RULE,
        job: scheduler::id::Job::default(),
        text: format!("the metrics of {entry} say {line}"),
    })
}

#[test]
fn only_confirmed_runs_that_are_younger_than_a_lease_are_released_early() {
    let start = "time=10000 level=INFO entry=e0 epoch=2 kind=start \
        task=0000000000000001.0.0.2 run=7 worker=w agent=e1 waited_ms=0";
    let expiry = "time=15999 level=INFO entry=e0 epoch=2 kind=lease-expired \
        task=0000000000000001.0.0.2 run=7 worker=w agent=e1 expired_ago_ms=1";
    let release = |at: u64, reason: &str, phase: &str| {
        format!(
            "time={at} level=INFO entry=e0 epoch=2 kind=run-released \
             task=0000000000000001.0.0.2 run=7 worker=w reason={reason} phase={phase} ms=59"
        )
    };
    let cases = [
        (15_999, "lease-expired", "Running", 1),
        (15_999, "lease-expired", "Stopping", 1),
        (15_999, "lease-expired", "Unsure", 0),
        (15_999, "stopped", "Stopping", 0),
        (16_000, "lease-expired", "Running", 0),
    ];
    for (at, reason, phase, count) in cases {
        let release = release(at, reason, phase);
        let found = early([&*release, expiry, start].into_iter());
        assert_eq!(found.len(), count, "{release}");
        for finding in found {
            assert_eq!(finding.text, format!("{release} | {expiry} | {start}"));
        }
    }
}

#[test]
fn early_releases_are_found_in_metrics() {
    let page = |count| {
        format!("# TYPE early_releases_total counter\nearly_releases_total{{a=\"b\"}} {count}\n")
    };
    assert!(counted("e0", &page(0)).is_none());
    let found = counted("e0", &page(10)).expect("a finding");
    assert_eq!(
        found.text,
        "the metrics of e0 say early_releases_total{a=\"b\"} 10"
    );
}
