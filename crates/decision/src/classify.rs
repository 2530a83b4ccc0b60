//! Run-time classes of requests, learned for each kind of request of a service.

use std::collections::HashMap;

use crate::clock::Ms;
use crate::name::Name;

/// Weight of the newest run time in the mean and deviation of a kind.
const KIND_WEIGHT: f32 = 0.05;
/// Weight of the newest run time in the means of a service.
const SERVICE_WEIGHT: f32 = 0.02;
/// Minimum number of run times from which anything is concluded.
const MIN_SAMPLES: u32 = 5;
/// Ratio of geometric means of a kind and its service above which the kind is long. A few
/// stragglers hardly change a geometric mean, so that their kind does not become long.
const LONG_FACTOR: f32 = 2.5;
/// Multiple of the mean run time of its kind after which a short request is reclassified as long.
const SLOW_FACTOR: f32 = 8.0;
/// Number of deviations above the mean run time after which a hedge is sent.
const HEDGE_DEVIATIONS: f32 = 4.0;
/// Run time in ms that is assumed for times below the resolution of the clock.
const MIN_MS: f32 = 0.5;
/// Maximum number of kinds of each service; it is bounded because callers choose the names.
const MAX_KINDS: usize = 4_096;

/// The expected run time of a request, compared with other requests of its service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Class {
    /// The request runs about as long as most, or its run time is unknown.
    Short,
    /// The request runs several times longer than most.
    Long,
}

#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    samples: u32,
    log_mean: f32,
    /// The mean run time in ms. Times above `SLOW_FACTOR` means are counted as that much, so that
    /// stragglers do not raise the mean and hide others.
    mean: f32,
    deviation: f32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    samples: u32,
    value: f32,
}

impl Mean {
    fn record(&mut self, time: f32) {
        self.samples = self.samples.saturating_add(1);
        let weight = SERVICE_WEIGHT.max(1.0 / self.samples as f32);
        self.value += weight * (time - self.value);
    }
}

#[derive(Debug, Default)]
struct Service {
    samples: u32,
    log_mean: f32,
    short: Mean,
    long: Mean,
    kinds: HashMap<Name, Kind>,
}

/// The run times learned for all services.
#[derive(Debug, Default)]
pub struct Classes {
    services: HashMap<Name, Service>,
}

impl Classes {
    /// Returns the class of requests of a kind. Unknown kinds count as short.
    #[must_use]
    pub fn class(&self, service: &Name, kind: &Name) -> Class {
        let Some(service) = self.services.get(service) else {
            return Class::Short;
        };
        match service.kinds.get(kind) {
            Some(kind) if kind.samples >= MIN_SAMPLES => {
                if kind.log_mean > service.log_mean + LONG_FACTOR.ln() {
                    Class::Long
                } else {
                    Class::Short
                }
            }
            _ => Class::Short,
        }
    }

    /// Returns the run time after which a short request is reclassified as long; `None` for a kind
    /// with too few samples.
    #[must_use]
    pub fn slow_after(&self, service: &Name, kind: &Name) -> Option<Ms> {
        let kind = self.kind(service, kind)?;
        Some(ceil(kind.mean * SLOW_FACTOR))
    }

    /// Returns the run time after which a hedge is sent; `None` for a kind with too few samples.
    #[must_use]
    pub fn hedge_after(&self, service: &Name, kind: &Name) -> Option<Ms> {
        let kind = self.kind(service, kind)?;
        Some(ceil(kind.mean + HEDGE_DEVIATIONS * kind.deviation))
    }

    /// Returns the mean time for which a request of the class holds a slot; `None` if there are too
    /// few samples.
    #[must_use]
    pub fn mean(&self, service: &Name, class: Class) -> Option<Ms> {
        let service = self.services.get(service)?;
        let mean = match class {
            Class::Short => service.short,
            Class::Long => service.long,
        };
        (mean.samples >= MIN_SAMPLES).then(|| ceil(mean.value))
    }

    /// Records the run time of an answered request.
    pub fn record(&mut self, service: &Name, kind: &Name, time: Ms) {
        let class = self.class(service, kind);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Service::default());
        }
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        let time = (time.0 as f32).max(MIN_MS);
        service.samples = service.samples.saturating_add(1);
        let weight = SERVICE_WEIGHT.max(1.0 / service.samples as f32);
        service.log_mean += weight * (time.ln() - service.log_mean);
        match class {
            Class::Short => service.short.record(time),
            Class::Long => service.long.record(time),
        }
        if !service.kinds.contains_key(kind) {
            if service.kinds.len() >= MAX_KINDS {
                return;
            }
            service.kinds.insert(kind.clone(), Kind::default());
        }
        if let Some(kind) = service.kinds.get_mut(kind) {
            kind.record(time);
        }
    }

    fn kind(&self, service: &Name, kind: &Name) -> Option<&Kind> {
        let kind = self.services.get(service)?.kinds.get(kind)?;
        (kind.samples >= MIN_SAMPLES).then_some(kind)
    }
}

impl Kind {
    fn record(&mut self, time: f32) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.log_mean = time.ln();
            self.mean = time;
            self.deviation = time / 2.0;
            return;
        }
        let weight = KIND_WEIGHT.max(1.0 / self.samples as f32);
        self.log_mean += weight * (time.ln() - self.log_mean);
        let time = time.min(self.mean * SLOW_FACTOR);
        let error = time - self.mean;
        self.mean += weight * error;
        self.deviation += weight * (error.abs() - self.deviation);
    }
}

fn ceil(ms: f32) -> Ms {
    Ms(ms.ceil() as u64)
}
