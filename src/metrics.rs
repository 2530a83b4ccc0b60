//! The metrics of an entry in Prometheus text format.

use std::time::Duration;

use decision::request::Ending;
use decision::request::Outcome;
use decision::request::Peer;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use quick_error::quick_error;

/// Upper bounds of the buckets of the request time histogram.
const BUCKET_BOUNDS_MS: [f64; 10] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 250.0, 1_000.0, 5_000.0,
];

quick_error! {
    /// Why the metrics exporter cannot be set up.
    #[derive(Debug)]
    pub enum Error {
        /// The exporter refused its configuration.
        Start(reason: String) {
            display("metrics: {}", reason)
        }
    }
}

/// A meter provider whose metrics are exported as Prometheus text.
#[derive(Debug)]
pub(crate) struct Export {
    registry: Registry,
    pub(crate) provider: SdkMeterProvider,
}

impl Export {
    /// Creates an export without instruments.
    pub(crate) fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| Error::Start(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns all metrics, or a comment with the error if they cannot be encoded.
    pub(crate) fn text(&self) -> String {
        let mut bytes = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        match encoded {
            Ok(()) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }
}

/// The counters, gauges and histograms of an entry.
#[derive(Debug)]
pub struct Metrics {
    export: Export,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    table: Counter<u64>,
    commands: Counter<u64>,
    times: Histogram<f64>,
    free: Gauge<u64>,
    waiting: Gauge<u64>,
    outcomes: [[KeyValue; 1]; 3],
    endings: [[KeyValue; 1]; 3],
}

impl Metrics {
    /// Creates all instruments with their counts at zero.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter refuses its configuration.
    pub fn new() -> Result<Self, Error> {
        let export = Export::new()?;
        let meter = export.provider.meter("samphiretrail");
        let counter = |name, about| meter.u64_counter(name).with_description(about).build();
        let gauge = |name, about| meter.u64_gauge(name).with_description(about).build();
        Ok(Self {
            requests: counter("requests", "Requests of callers by outcome"),
            attempts: counter("attempts", "Attempts at targets and peers by ending"),
            table: counter("table_operations", "Operations of the table service"),
            commands: counter("worker_commands", "Commands sent to workers"),
            times: meter
                .f64_histogram("request_time_ms")
                .with_description("Time from the arrival of a request to its outcome")
                .with_boundaries(BUCKET_BOUNDS_MS.into())
                .build(),
            free: gauge("free_slots", "Free request slots of owned targets"),
            waiting: gauge("waiting_requests", "Requests in the queue"),
            outcomes: labels("outcome", ["answered", "refused", "unknown"]),
            endings: labels("ending", ["answered", "not-run", "unknown"]),
            export,
        })
    }

    /// Counts a request by its outcome and records the time it took.
    pub fn request(&self, outcome: &Outcome, time: Duration) {
        let index = match outcome {
            Outcome::Answered(_) => 0,
            Outcome::Refused(_) => 1,
            Outcome::Unknown => 2,
        };
        self.requests.add(1, &self.outcomes[index]);
        self.times.record(time.as_secs_f64() * 1_000.0, &[]);
    }

    /// Counts an attempt by how it ended. A refused attempt counts as not run.
    pub fn attempt(&self, ending: &Ending) {
        let index = match ending {
            Ending::Answered(_) => 0,
            Ending::NotRun | Ending::Refused(_) => 1,
            Ending::Unknown => 2,
        };
        self.attempts.add(1, &self.endings[index]);
    }

    /// Counts an operation of the table service.
    pub fn table(&self) {
        self.table.add(1, &[]);
    }

    /// Counts a command sent to a worker.
    pub fn command(&self) {
        self.commands.add(1, &[]);
    }

    /// Sets the gauges of free slots and waiting requests.
    pub fn load(&self, load: &Peer) {
        self.free.record(load.free.into(), &[]);
        self.waiting.record(load.waiting.into(), &[]);
    }

    /// Returns all metrics in Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        self.export.text()
    }
}

fn labels(key: &'static str, values: [&'static str; 3]) -> [[KeyValue; 1]; 3] {
    values.map(|value| [KeyValue::new(key, value)])
}
