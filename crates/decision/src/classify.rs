//! Run-time classes, learned per service and kind of request.

use std::collections::HashMap;

use crate::clock::Ms;
use crate::name::Name;

/// Weight of the newest time in a kind's mean and deviation.
const KIND_WEIGHT: f32 = 0.05;
/// Weight of the newest time in a service's means.
const SERVICE_WEIGHT: f32 = 0.02;
/// Nothing is concluded from fewer times.
const MIN_SAMPLES: u32 = 5;
/// A kind is long when its geometric mean exceeds the service's this many times. A few stragglers
/// hardly move a geometric mean, so that their kind does not become long.
const LONG_FACTOR: f32 = 2.5;
/// A short request is reclassified when it runs this many times its kind's mean.
const SLOW_FACTOR: f32 = 8.0;
/// A hedge is sent when the mean is exceeded by this many deviations.
const HEDGE_DEVIATIONS: f32 = 4.0;
/// Times below the clock's resolution count as this many ms.
const MIN_MS: f32 = 0.5;
/// Kinds remembered in each service; callers choose the names.
const MAX_KINDS: usize = 4_096;

/// How long a request is expected to run, compared with others.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Class {
    /// As long as most.
    Short,
    /// Many times longer than most.
    Long,
}

#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    samples: u32,
    log_mean: f32,
    /// Times above `SLOW_FACTOR` means are counted as that, so that stragglers do not hide others.
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

/// What was learned about run times.
#[derive(Debug, Default)]
pub struct Classes {
    services: HashMap<Name, Service>,
}

impl Classes {
    /// The class of requests of that kind; unknown kinds count as short.
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

    /// The run time after which a short request is reclassified.
    #[must_use]
    pub fn slow_after(&self, service: &Name, kind: &Name) -> Option<Ms> {
        let kind = self.kind(service, kind)?;
        Some(ceil(kind.mean * SLOW_FACTOR))
    }

    /// The run time after which a hedge is worth sending.
    #[must_use]
    pub fn hedge_after(&self, service: &Name, kind: &Name) -> Option<Ms> {
        let kind = self.kind(service, kind)?;
        Some(ceil(kind.mean + HEDGE_DEVIATIONS * kind.deviation))
    }

    /// The mean time that a request of the class holds a slot.
    #[must_use]
    pub fn mean(&self, service: &Name, class: Class) -> Option<Ms> {
        let service = self.services.get(service)?;
        let mean = match class {
            Class::Short => service.short,
            Class::Long => service.long,
        };
        (mean.samples >= MIN_SAMPLES).then(|| ceil(mean.value))
    }

    /// Takes in the run time of an answered request.
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
