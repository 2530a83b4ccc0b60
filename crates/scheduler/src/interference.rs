//! Estimates how much filling tasks slow serving tasks on the same worker, by pairs of images.
//!
//! Some images hardly disturb each other, so bursts of filling work on a fleet full of serving
//! tasks can go where they need no pacing. The slack of a serving task is its latency limit divided
//! by its tail latency; below 1 the task exceeds its limit. The delay in a queue grows with the
//! reciprocal of the free capacity, so the slack falls linearly with the load: `base - sum of
//! coefficient * load`, where a load is a fraction of the worker's processors.

mod summary;

use std::collections::HashMap;
use std::sync::Arc;

pub use summary::Summary;

/// The number of an image within one model.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Image(u16);

/// The coefficient of a pair of images without a common sample.
const DEFAULT_COEFFICIENT: f64 = 6.0;
/// The largest coefficient of a pair.
const MAX_COEFFICIENT: f64 = 40.0;
/// The base slack of a serving image without samples.
const DEFAULT_BASE: f64 = 2.5;
/// The largest slack that a sample counts with.
const MAX_SLACK: f64 = 6.0;
/// Below this slack a sample does not show how far the load exceeds the capacity of the worker.
const SATURATED_SLACK: f64 = 0.15;
/// The weight of a new sample in the base slack.
const BASE_LEARNING_RATE: f64 = 0.05;
/// Below this total load a sample updates the base slack instead of the coefficients.
const NEGLIGIBLE_LOAD: f64 = 0.01;
/// The largest residual that one sample contributes, in either direction.
const MAX_RESIDUAL: f64 = 1.0;
/// The factor by which all sums decay with each sample, so that the model follows changes.
const FORGETTING_FACTOR: f64 = 0.9985;
/// The weight of the default coefficient relative to the samples.
const PRIOR_WEIGHT: f64 = 0.02;
/// The number of samples after which the coefficients are computed again.
const SOLVE_INTERVAL: u32 = 12;
/// The number of images that are distinguished; all others count as one.
const MAX_IMAGES: u16 = 64;

/// A least-squares fit of the slack of one serving image over the loads of all filling images.
#[derive(Clone, Debug)]
struct Fit {
    /// The slack without filling tasks.
    base: f64,
    /// The decayed sums of products of loads, by pairs of filling images.
    loads: Vec<Vec<f64>>,
    /// The decayed sums of products of load and lost slack, by filling image.
    losses: Vec<f64>,
    /// The slack that is lost for each unit of load, by filling image.
    coefficients: Vec<f64>,
    samples_since_solve: u32,
}

impl Fit {
    const fn new(base: f64) -> Self {
        Self {
            base,
            loads: Vec::new(),
            losses: Vec::new(),
            coefficients: Vec::new(),
            samples_since_solve: 0,
        }
    }

    fn resize(&mut self, count: usize) {
        while self.coefficients.len() < count {
            let index = self.coefficients.len();
            for row in &mut self.loads {
                row.push(0.0);
            }
            let mut row = vec![0.0; index + 1];
            row[index] = PRIOR_WEIGHT;
            self.loads.push(row);
            self.losses.push(PRIOR_WEIGHT * DEFAULT_COEFFICIENT);
            self.coefficients.push(DEFAULT_COEFFICIENT);
        }
    }

    fn learn(&mut self, loss: f64, loads: &[(Image, f64)]) {
        let max_index = loads.iter().map(|(image, _)| usize::from(image.0)).max();
        self.resize(max_index.map_or(0, |max_index| max_index + 1));
        for row in &mut self.loads {
            row.iter_mut().for_each(|sum| *sum *= FORGETTING_FACTOR);
        }
        self.losses
            .iter_mut()
            .for_each(|sum| *sum *= FORGETTING_FACTOR);
        for index in 0..self.coefficients.len() {
            self.loads[index][index] += PRIOR_WEIGHT * (1.0 - FORGETTING_FACTOR);
            self.losses[index] += PRIOR_WEIGHT * DEFAULT_COEFFICIENT * (1.0 - FORGETTING_FACTOR);
        }
        for &(image, load) in loads {
            let row = usize::from(image.0);
            self.losses[row] += load * loss;
            for &(other, other_load) in loads {
                self.loads[row][usize::from(other.0)] += load * other_load;
            }
        }
        self.samples_since_solve += 1;
        if self.samples_since_solve >= SOLVE_INTERVAL {
            self.samples_since_solve = 0;
            self.solve();
        }
    }

    /// Improves the coefficients by coordinate descent. None is below zero.
    fn solve(&mut self) {
        const PASSES: usize = 6;
        for _ in 0..PASSES {
            for index in 0..self.coefficients.len() {
                let row = &self.loads[index];
                let explained: f64 = row
                    .iter()
                    .zip(&self.coefficients)
                    .enumerate()
                    .filter(|(other, _)| *other != index)
                    .map(|(_, (sum, coefficient))| sum * coefficient)
                    .sum();
                let coefficient = (self.losses[index] - explained) / row[index];
                self.coefficients[index] = coefficient.clamp(0.0, MAX_COEFFICIENT);
            }
        }
    }
}

/// The learned interference between images.
#[derive(Clone, Debug, Default)]
pub struct Model {
    images: HashMap<Arc<str>, Image>,
    /// The fits by the number of the serving image.
    fits: Vec<Option<Fit>>,
}

impl Model {
    /// Returns the number of an image and assigns one to a new image. All tasks without an image
    /// share a number.
    pub fn image(&mut self, name: Option<&Arc<str>>) -> Image {
        let name = name.cloned().unwrap_or_else(|| Arc::from(""));
        if let Some(&image) = self.images.get(&name) {
            return image;
        }
        let number = u16::try_from(self.images.len()).unwrap_or(MAX_IMAGES);
        if number >= MAX_IMAGES {
            return Image(MAX_IMAGES);
        }
        let image = Image(number);
        self.images.insert(name, image);
        image
    }

    fn fit(&self, serving: Image) -> Option<&Fit> {
        self.fits.get(usize::from(serving.0))?.as_ref()
    }

    /// Returns the slack that a serving image loses for each unit of load of a filling image.
    #[must_use]
    pub fn coefficient(&self, serving: Image, filling: Image) -> f64 {
        let coefficient = self
            .fit(serving)
            .and_then(|fit| fit.coefficients.get(usize::from(filling.0)));
        coefficient.copied().unwrap_or(DEFAULT_COEFFICIENT)
    }

    /// Returns the expected slack of a serving image beside these loads.
    #[must_use]
    pub fn slack(&self, serving: Image, loads: impl Iterator<Item = (Image, f64)>) -> f64 {
        let lost: f64 = loads
            .map(|(filling, load)| self.coefficient(serving, filling) * load)
            .sum();
        let base = self.fit(serving).map_or(DEFAULT_BASE, |fit| fit.base);
        base - lost
    }

    /// Trains the model with a sample: the slack of a serving task and the loads beside it.
    pub fn learn(&mut self, serving: Image, slack: f64, loads: &[(Image, f64)]) {
        let index = usize::from(serving.0);
        if self.fits.len() <= index {
            self.fits.resize(index + 1, None);
        }
        let residual = self.residual(serving, slack, loads);
        let clipped = residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        let fit = self.fits[index].get_or_insert_with(|| Fit::new(DEFAULT_BASE));
        let total: f64 = loads.iter().map(|(_, load)| load).sum();
        if total < NEGLIGIBLE_LOAD {
            fit.base += BASE_LEARNING_RATE * clipped;
        } else if slack > SATURATED_SLACK || residual < 0.0 {
            let expected = slack.min(MAX_SLACK) - residual;
            fit.learn(fit.base - expected - clipped, loads);
        }
    }

    /// Returns the difference between a slack and the expected one beside these loads, negative if
    /// the slack is lower than expected.
    #[must_use]
    pub fn residual(&self, serving: Image, slack: f64, loads: &[(Image, f64)]) -> f64 {
        slack.min(MAX_SLACK) - self.slack(serving, loads.iter().copied())
    }

    /// Returns the model of each serving image as `key=value` pairs for the log.
    #[must_use]
    pub fn describe(&self) -> Vec<String> {
        let mut names: Vec<(&Image, &Arc<str>)> = self
            .images
            .iter()
            .map(|(name, image)| (image, name))
            .collect();
        names.sort_unstable();
        let known = names.iter().filter_map(|(image, name)| {
            let fit = self.fit(**image)?;
            let coefficients = names.iter().filter_map(|(filling, name)| {
                let coefficient = fit.coefficients.get(usize::from(filling.0))?;
                Some(format!("{name}:{coefficient:.1}"))
            });
            let coefficients: Vec<String> = coefficients.collect();
            Some(format!(
                "serving={name} base={:.2} presses={}",
                fit.base,
                coefficients.join(",")
            ))
        });
        known.collect()
    }
}
