//! Counters, gauges and histograms of an entry on the users' platform, in Prometheus text.

use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use decision::clock::Ms;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use link::server::Limits;
use link::server::Server;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use scheduler::leader::Tally;
use scheduler::message::Storage;
use smol::net::TcpListener;

use super::Error;
use super::Shared;
use super::lock;
use crate::metrics::Export;

/// Upper bounds of the histogram buckets.
const BUCKET_BOUNDS_MS: [f64; 9] = [2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 1_000.0, 5_000.0];

/// The counters, gauges and histograms of an entry.
pub(super) struct Instruments {
    export: Export,
    submissions: Counter<u64>,
    starts: Counter<u64>,
    ends: Counter<u64>,
    refusals: Counter<u64>,
    leads: Counter<u64>,
    feeds_lost: Counter<u64>,
    lapses: Counter<u64>,
    early_releases: Counter<u64>,
    outdated_reports: Counter<u64>,
    crashes: Counter<u64>,
    crashing_jobs: Counter<u64>,
    second_runs: Counter<u64>,
    unheard: Gauge<u64>,
    /// The tally that was recorded last.
    tally: Mutex<Tally>,
    writes: Histogram<f64>,
    polls: Histogram<f64>,
    rounds: Histogram<f64>,
    inputs: Gauge<u64>,
}

impl Instruments {
    /// Creates all instruments with their counts at zero.
    pub(super) fn new() -> Result<Self, Error> {
        let export = Export::new().map_err(|error| Error::Start(error.to_string()))?;
        let meter = export.provider.meter("samphiretrail");
        let counter = |name, about| meter.u64_counter(name).with_description(about).build();
        let histogram = |name, about| {
            let builder = meter.f64_histogram(name).with_description(about);
            builder.with_boundaries(BUCKET_BOUNDS_MS.into()).build()
        };
        let instruments = Self {
            submissions: counter("submissions", "Submitted and cancelled jobs by outcome"),
            starts: counter("starts", "Orders to start by outcome"),
            ends: counter("ends", "Ends of runs that workers listed, by how"),
            refusals: counter("refusals", "Requests of customers refused, by reason"),
            leads: counter("leads", "Times that this entry became the leader"),
            feeds_lost: counter("feeds_lost", "Feeds of the store that broke off, by table"),
            lapses: counter("lapses", "Workers whose leases counted as expired"),
            early_releases: counter(
                "early_releases",
                "Confirmed runs released for expired leases sooner than a lease after their start was ordered",
            ),
            outdated_reports: counter(
                "outdated_reports",
                "Reports of watches that had ended, which were dropped",
            ),
            crashes: counter("crashes", "Crashes of workers on which runs had just begun"),
            crashing_jobs: counter(
                "crashing_jobs",
                "Jobs given up because a task crashes the workers that start it",
            ),
            second_runs: counter("second_runs", "Runs found while their task had another run"),
            unheard: meter
                .u64_gauge("unheard")
                .with_description("Workers of earlier leaders that have not answered this leader")
                .build(),
            tally: Mutex::default(),
            writes: histogram("write_ms", "Time to make a customer's write durable"),
            polls: histogram("look_ms", "Time of looks at workers beyond their wait"),
            rounds: histogram("round_ms", "Time of the rounds of the leader's loop"),
            inputs: meter
                .u64_gauge("inputs_queued")
                .with_description("Inputs that wait for the leader's loop")
                .build(),
            export,
        };
        // An instrument without a value is not exported.
        instruments.lapses.add(0, &[]);
        instruments.early_releases.add(0, &[]);
        instruments.outdated_reports.add(0, &[]);
        instruments.crashes.add(0, &[]);
        instruments.crashing_jobs.add(0, &[]);
        instruments.second_runs.add(0, &[]);
        instruments.unheard.record(0, &[]);
        instruments.inputs.record(0, &[]);
        Ok(instruments)
    }

    /// Records the outcome of a customer's write and the time it took.
    pub(super) fn record_submission(&self, storage: Storage, time: Ms) {
        let outcome = KeyValue::new("outcome", format!("{storage:?}").to_lowercase());
        self.submissions.add(1, &[outcome]);
        self.writes.record(milliseconds(time), &[]);
    }

    pub(super) fn record_start(&self, outcome: scheduler::message::Outcome) {
        let outcome = KeyValue::new("outcome", format!("{outcome:?}").to_lowercase());
        self.starts.add(1, &[outcome]);
    }

    pub(super) fn record_end(&self, how: scheduler::message::Termination) {
        let how = KeyValue::new("how", format!("{how:?}").to_lowercase());
        self.ends.add(1, &[how]);
    }

    pub(super) fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    pub(super) fn record_lead(&self) {
        self.leads.add(1, &[]);
    }

    /// Records what has changed in the leader's tally, which is all zero outside a leadership.
    pub(super) fn record_tally(&self, tally: Tally) {
        let last = std::mem::replace(&mut *lock(&self.tally), tally);
        if last == tally {
            return;
        }
        self.lapses
            .add(tally.lapses.saturating_sub(last.lapses), &[]);
        let early = tally.early_releases.saturating_sub(last.early_releases);
        self.early_releases.add(early, &[]);
        let outdated = tally.outdated_reports.saturating_sub(last.outdated_reports);
        self.outdated_reports.add(outdated, &[]);
        self.crashes
            .add(tally.crashes.saturating_sub(last.crashes), &[]);
        self.crashing_jobs
            .add(tally.crashing_jobs.saturating_sub(last.crashing_jobs), &[]);
        self.second_runs
            .add(tally.second_runs.saturating_sub(last.second_runs), &[]);
        self.unheard.record(tally.unheard as u64, &[]);
    }

    pub(super) fn record_feed_lost(&self, table: &'static str) {
        self.feeds_lost.add(1, &[KeyValue::new("table", table)]);
    }

    /// Records the time of a poll in excess of the wait that it requested.
    pub(super) fn record_poll(&self, time: Ms) {
        self.polls.record(milliseconds(time), &[]);
    }

    /// Records the time of one round of the leader's loop, and the inputs that it left in the queue.
    pub(super) fn record_round(&self, time: Ms, queued: usize) {
        self.rounds.record(milliseconds(time), &[]);
        self.inputs.record(queued as u64, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(super) fn export_text(&self) -> String {
        self.export.text()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times are far below the precision of a float"
)]
const fn milliseconds(time: Ms) -> f64 {
    time.0 as f64
}

/// Starts a server that answers every request with all metrics.
pub(super) fn serve(shared: &Arc<Shared>, listener: TcpListener) -> Result<Server, Error> {
    let owned = Arc::clone(shared);
    let handler = move |_: Request<Incoming>| {
        let text = owned.instruments.export_text();
        async move { Response::new(Full::new(Bytes::from(text))) }
    };
    Server::start(&shared.spawner, listener, Limits::default(), handler)
        .map_err(|error| Error::Start(error.to_string()))
}
