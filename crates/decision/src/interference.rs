//! How much batch kinds slow services down, learned per pair from lagging measurements.

use std::collections::HashMap;

use crate::clock::Ms;
use crate::name::Name;

/// Measurements after which a pair counts as known.
const MIN_PAIR_SAMPLES: u32 = 8;

/// Measurements without batch work after which their mean is the base.
const MIN_BASE_SAMPLES: u32 = 10;

/// Weight of a new measurement in the base.
const BASE_WEIGHT: f64 = 0.05;

/// Step of a pair towards what a measurement says. Service times vary, so it is small.
const LEARNING_RATE: f64 = 0.05;

/// Keeps the step small when little batch work is present.
const DAMPING: f64 = 0.02;

/// Share of a worker below which batch work counts as absent.
const NEGLIGIBLE_SHARE: f64 = 0.02;

/// Weight of a time below the running low mean.
const LOW_MEAN_FALL_WEIGHT: f64 = 0.04;

/// Weight of a time above it.
const LOW_MEAN_RISE_WEIGHT: f64 = 0.02;

/// The largest multiple of the base taken into it, so that stragglers among the requests do not
/// hide interference.
const MAX_BASE_RATIO: f64 = 4.0;

/// The largest slowdown taken in from one measurement, so that a stray one does not condemn a
/// pair.
const MAX_RATIO: f64 = 4.0;

/// The shortest service time taken in, in ms; times are whole milliseconds.
const MIN_TIME_MS: f64 = 0.5;

/// Service times of one kind of request without batch work.
#[derive(Clone, Copy, Debug, Default)]
struct Base {
    isolated: f64,
    samples: u32,
    low: f64,
}

/// The slowdown of one service by one batch kind. Unknown kinds slow nothing down.
#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    /// Added to the ratio of service times by a worker full of tasks of the kind.
    slowdown: f64,
    samples: u32,
}

/// A batch kind on a worker, with the share of the worker's processors that its tasks hold.
#[derive(Clone, Copy, Debug)]
pub struct Presence<'a> {
    /// The kind.
    pub kind: &'a Name,
    /// The share, from 0 to 1.
    pub share: f64,
}

/// Everything learned about pairs.
#[derive(Clone, Debug, Default)]
pub struct Model {
    bases: HashMap<Name, HashMap<Name, Base>>,
    pairs: HashMap<Name, HashMap<Name, Pair>>,
}

impl Model {
    /// Takes in a service time seen on a worker where tasks of `present` kinds run. Returns its
    /// ratio to the time without batch work.
    pub fn observe(
        &mut self,
        service: &Name,
        request: &Name,
        time: Ms,
        present: &[Presence<'_>],
    ) -> f64 {
        let time = f64::from(u32::try_from(time.0).unwrap_or(u32::MAX)).max(MIN_TIME_MS);
        let total: f64 = present.iter().map(|one| one.share).sum();
        let bases = entry(&mut self.bases, service);
        let base = entry(bases, request);
        base.observe(time, total < NEGLIGIBLE_SHARE);
        let ratio = (time / base.time()).min(MAX_RATIO);
        self.attribute(service, ratio, present);
        ratio
    }

    /// Moves the kinds present towards what explains the ratio, each by its share.
    fn attribute(&mut self, service: &Name, ratio: f64, present: &[Presence<'_>]) {
        let unexplained = ratio - self.slowdown(service, present.iter().copied());
        let squares: f64 = present.iter().map(|one| one.share * one.share).sum();
        let pairs = entry(&mut self.pairs, service);
        for one in present.iter().filter(|one| one.share >= NEGLIGIBLE_SHARE) {
            let pair = entry(pairs, one.kind);
            let step = LEARNING_RATE * unexplained * one.share / (squares + DAMPING);
            pair.slowdown = (pair.slowdown + step).max(0.0);
            pair.samples = pair.samples.saturating_add(1);
        }
    }

    /// The expected ratio of a service's times beside these kinds together.
    #[must_use]
    pub fn slowdown<'a>(
        &self,
        service: &Name,
        present: impl IntoIterator<Item = Presence<'a>>,
    ) -> f64 {
        let Some(pairs) = self.pairs.get(service) else {
            return 1.0;
        };
        let each = present.into_iter();
        let slowdown = each.filter_map(|one| Some(pairs.get(one.kind)?.slowdown * one.share));
        1.0 + slowdown.sum::<f64>()
    }

    /// Whether enough was measured of a pair.
    #[must_use]
    pub fn is_known(&self, service: &Name, kind: &Name) -> bool {
        let pair = self.pairs.get(service).and_then(|pairs| pairs.get(kind));
        pair.is_some_and(|pair| pair.samples >= MIN_PAIR_SAMPLES)
    }
}

impl Base {
    fn observe(&mut self, time: f64, isolated: bool) {
        if self.low == 0.0 {
            self.low = time;
        }
        let step = if time < self.low {
            LOW_MEAN_FALL_WEIGHT
        } else {
            LOW_MEAN_RISE_WEIGHT
        };
        self.low += (time - self.low) * step;
        if isolated {
            let early = 1.0 / f64::from(self.samples + 1);
            let known = self.samples >= MIN_BASE_SAMPLES;
            let time = if known {
                time.min(self.isolated * MAX_BASE_RATIO)
            } else {
                time
            };
            self.isolated += (time - self.isolated) * BASE_WEIGHT.max(early);
            self.samples = self.samples.saturating_add(1);
        }
    }

    /// Until enough is measured without batch work, a low mean of all times stands in.
    fn time(&self) -> f64 {
        if self.samples >= MIN_BASE_SAMPLES {
            self.isolated
        } else {
            self.low
        }
    }
}

/// The value of a key; the key is only cloned when it is new.
fn entry<'a, V: Default>(map: &'a mut HashMap<Name, V>, key: &Name) -> &'a mut V {
    if !map.contains_key(key) {
        map.insert(key.clone(), V::default());
    }
    map.get_mut(key).expect("the key was just inserted")
}
