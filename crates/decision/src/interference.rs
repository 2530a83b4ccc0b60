//! A model of how much each kind of batch task slows down each service, learned from lagging
//! measurements of service times.

use std::collections::HashMap;

use crate::clock::Ms;
use crate::name::Name;

/// Number of measurements from which a pair counts as known.
const MIN_PAIR_SAMPLES: u32 = 8;

/// Number of measurements without batch work from which their mean is used as the base.
const MIN_BASE_SAMPLES: u32 = 10;

/// Weight of a new measurement in the mean without batch work.
const BASE_WEIGHT: f64 = 0.05;

/// Learning rate of a pair. It is small because service times vary.
const LEARNING_RATE: f64 = 0.05;

/// Regularization that keeps the step of a pair small when little batch work is present.
const DAMPING: f64 = 0.02;

/// Share of a worker's processors below which batch work counts as absent.
const NEGLIGIBLE_SHARE: f64 = 0.02;

/// Weight of a service time below the low mean.
const LOW_MEAN_FALL_WEIGHT: f64 = 0.04;

/// Weight of a service time above the low mean. It is smaller, so that the mean stays low.
const LOW_MEAN_RISE_WEIGHT: f64 = 0.02;

/// Upper limit for a service time in the base, as a multiple of the base, so that stragglers among
/// the requests do not hide interference.
const MAX_BASE_RATIO: f64 = 4.0;

/// Upper limit for the slowdown in one measurement, so that a single outlier does not dominate a
/// pair.
const MAX_RATIO: f64 = 4.0;

/// Lower limit for a measured service time, in ms; times are measured in whole milliseconds.
const MIN_TIME_MS: f64 = 0.5;

/// The service time of one kind of request without batch work, in ms.
#[derive(Clone, Copy, Debug, Default)]
struct Base {
    /// The mean of the service times measured without batch work.
    isolated: f64,
    samples: u32,
    /// A low mean of all service times, which weighs short times more than long ones.
    low: f64,
}

/// The slowdown of one service by one batch kind. An unknown kind is assumed to cause none.
#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    /// The increase of the ratio of service times on a worker whose processors are all held by
    /// tasks of the kind.
    slowdown: f64,
    samples: u32,
}

/// A kind of batch task on a worker, with the share of the worker's processors that its tasks hold.
#[derive(Clone, Copy, Debug)]
pub struct Presence<'a> {
    /// The kind of the tasks.
    pub kind: &'a Name,
    /// The share of the processors, from 0 to 1.
    pub share: f64,
}

/// The learned base service times and slowdowns.
#[derive(Clone, Debug, Default)]
pub struct Model {
    bases: HashMap<Name, HashMap<Name, Base>>,
    pairs: HashMap<Name, HashMap<Name, Pair>>,
}

impl Model {
    /// Records a service time measured on a worker where tasks of the `present` kinds run. Returns
    /// its ratio to the time without batch work.
    pub fn observe(
        &mut self,
        service: &Name,
        request: &Name,
        time: Ms,
        present: &[Presence<'_>],
    ) -> f64 {
        let time = f64::from(u32::try_from(time.0).unwrap_or(u32::MAX)).max(MIN_TIME_MS);
        let total: f64 = present.iter().map(|presence| presence.share).sum();
        let bases = entry(&mut self.bases, service);
        let base = entry(bases, request);
        base.observe(time, total < NEGLIGIBLE_SHARE);
        let ratio = (time / base.time()).min(MAX_RATIO);
        self.attribute(service, ratio, present);
        ratio
    }

    /// Adjusts the slowdowns of the present kinds towards the measured ratio, each by its share.
    fn attribute(&mut self, service: &Name, ratio: f64, present: &[Presence<'_>]) {
        let unexplained = ratio - self.slowdown(service, present.iter().copied());
        let squares: f64 = present
            .iter()
            .map(|presence| presence.share * presence.share)
            .sum();
        let pairs = entry(&mut self.pairs, service);
        for presence in present
            .iter()
            .filter(|presence| presence.share >= NEGLIGIBLE_SHARE)
        {
            let pair = entry(pairs, presence.kind);
            let step = LEARNING_RATE * unexplained * presence.share / (squares + DAMPING);
            pair.slowdown = (pair.slowdown + step).max(0.0);
            pair.samples = pair.samples.saturating_add(1);
        }
    }

    /// Returns the expected ratio of service times when tasks of all these kinds run beside the
    /// service.
    #[must_use]
    pub fn slowdown<'a>(
        &self,
        service: &Name,
        present: impl IntoIterator<Item = Presence<'a>>,
    ) -> f64 {
        let Some(pairs) = self.pairs.get(service) else {
            return 1.0;
        };
        let slowdowns = present
            .into_iter()
            .filter_map(|presence| Some(pairs.get(presence.kind)?.slowdown * presence.share));
        1.0 + slowdowns.sum::<f64>()
    }

    /// Returns whether the pair was measured often enough for its slowdown to be relied on.
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
            let min_weight = 1.0 / f64::from(self.samples + 1);
            let has_base = self.samples >= MIN_BASE_SAMPLES;
            let time = if has_base {
                time.min(self.isolated * MAX_BASE_RATIO)
            } else {
                time
            };
            self.isolated += (time - self.isolated) * BASE_WEIGHT.max(min_weight);
            self.samples = self.samples.saturating_add(1);
        }
    }

    /// Returns the service time without batch work. Until there are enough such measurements, the
    /// low mean of all service times is used instead.
    fn time(&self) -> f64 {
        if self.samples >= MIN_BASE_SAMPLES {
            self.isolated
        } else {
            self.low
        }
    }
}

/// Returns the value of a key, inserting a default. The key is cloned only when it is new.
fn entry<'a, V: Default>(map: &'a mut HashMap<Name, V>, key: &Name) -> &'a mut V {
    if !map.contains_key(key) {
        map.insert(key.clone(), V::default());
    }
    map.get_mut(key).expect("the key was just inserted")
}
