//! How much filling tasks slow serving tasks on the same worker, learned by pairs of images.
//!
//! Answers bursts of filling work on a fleet full of serving tasks: some images hardly disturb
//! each other, and work that goes there needs no pacing. The tail of a serving task is modelled as
//! `base * exp(sum of press * load)`, where the load is a share of the worker's processors.

use std::collections::HashMap;
use std::sync::Arc;

/// An image by its number.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Image(u16);

/// The press of a pair that has not been seen together.
const UNKNOWN_PRESS: f64 = 2.5;
/// The largest press of a pair.
const MAX_PRESS: f64 = 15.0;
/// The base of a serving image that has not been seen, as a share of its limit.
const UNKNOWN_BASE: f64 = 0.4;
/// The weight of a new figure in a base.
const BASE_RATE: f64 = 0.05;
/// A load below which a figure tells the base.
const NO_LOAD: f64 = 0.01;
/// The largest factor over the base taken from one figure, as a logarithm.
const MAX_FACTOR: f64 = 4.0;
/// The largest part of a surprise, as a logarithm, that changes a base.
const MAX_BASE_SURPRISE: f64 = 0.3;
/// The largest part of a surprise, as a logarithm, that changes the presses.
const MAX_PRESS_SURPRISE: f64 = 1.0;
/// How much of what was learned is kept with each figure, so that changes are followed.
const KEPT: f64 = 0.9985;
/// The weight of the unknown press against figures.
const PRIOR: f64 = 0.02;
/// Figures after which the presses are worked out anew.
const SOLVE_INTERVAL: u32 = 12;
/// Images that are distinguished; all further ones count as one.
const MAX_IMAGES: u16 = 24;

/// Least squares of one serving image, over the loads of all filling images.
#[derive(Clone, Debug)]
struct Fit {
    /// The logarithm of the base.
    base: f64,
    /// Sums of products of loads.
    loads: Vec<Vec<f64>>,
    /// Sums of products of loads and factors.
    factors: Vec<f64>,
    presses: Vec<f64>,
    unsolved: u32,
}

impl Fit {
    const fn new(base: f64) -> Self {
        Self {
            base,
            loads: Vec::new(),
            factors: Vec::new(),
            presses: Vec::new(),
            unsolved: 0,
        }
    }

    fn grow(&mut self, count: usize) {
        while self.presses.len() < count {
            let index = self.presses.len();
            for row in &mut self.loads {
                row.push(0.0);
            }
            let mut row = vec![0.0; index + 1];
            row[index] = PRIOR;
            self.loads.push(row);
            self.factors.push(PRIOR * UNKNOWN_PRESS);
            self.presses.push(UNKNOWN_PRESS);
        }
    }

    fn learn(&mut self, factor: f64, loads: &[(Image, f64)]) {
        let most = loads.iter().map(|(image, _)| usize::from(image.0)).max();
        self.grow(most.map_or(0, |most| most + 1));
        for row in &mut self.loads {
            row.iter_mut().for_each(|sum| *sum *= KEPT);
        }
        self.factors.iter_mut().for_each(|sum| *sum *= KEPT);
        for index in 0..self.presses.len() {
            self.loads[index][index] += PRIOR * (1.0 - KEPT);
            self.factors[index] += PRIOR * UNKNOWN_PRESS * (1.0 - KEPT);
        }
        for &(image, load) in loads {
            let row = usize::from(image.0);
            self.factors[row] += load * factor;
            for &(other, other_load) in loads {
                self.loads[row][usize::from(other.0)] += load * other_load;
            }
        }
        self.unsolved += 1;
        if self.unsolved >= SOLVE_INTERVAL {
            self.unsolved = 0;
            self.solve();
        }
    }

    /// Improves the presses by coordinate descent; none is below zero.
    fn solve(&mut self) {
        const PASSES: usize = 6;
        for _ in 0..PASSES {
            for index in 0..self.presses.len() {
                let row = &self.loads[index];
                let explained: f64 = row
                    .iter()
                    .zip(&self.presses)
                    .enumerate()
                    .filter(|(other, _)| *other != index)
                    .map(|(_, (sum, press))| sum * press)
                    .sum();
                let press = (self.factors[index] - explained) / row[index];
                self.presses[index] = press.clamp(0.0, MAX_PRESS);
            }
        }
    }
}

/// The learned presses.
#[derive(Clone, Debug, Default)]
pub struct Model {
    images: HashMap<Arc<str>, Image>,
    /// What is learned by serving image.
    fits: Vec<Option<Fit>>,
}

impl Model {
    /// The number of an image.
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

    /// The press of a filling image on a serving one.
    #[must_use]
    pub fn press(&self, serving: Image, filling: Image) -> f64 {
        let press = self
            .fit(serving)
            .and_then(|fit| fit.presses.get(usize::from(filling.0)));
        press.copied().unwrap_or(UNKNOWN_PRESS)
    }

    /// The logarithm of the expected tail over its limit; above 0 it is over.
    #[must_use]
    pub fn excess(
        &self,
        serving: Image,
        limit: f64,
        loads: impl Iterator<Item = (Image, f64)>,
    ) -> f64 {
        let pressed: f64 = loads
            .map(|(filling, load)| self.press(serving, filling) * load)
            .sum();
        self.base(serving, limit) + pressed - limit.ln()
    }

    fn base(&self, serving: Image, limit: f64) -> f64 {
        let base = self.fit(serving).map(|fit| fit.base);
        base.unwrap_or_else(|| (limit * UNKNOWN_BASE).ln())
    }

    /// Learns from a figure: the tail of a serving task and the loads beside it.
    pub fn learn(&mut self, serving: Image, tail: f64, limit: f64, loads: &[(Image, f64)]) {
        let index = usize::from(serving.0);
        if self.fits.len() <= index {
            self.fits.resize(index + 1, None);
        }
        let surprise = self.surprise(serving, tail, limit, loads);
        let unknown = (limit * UNKNOWN_BASE).ln();
        let fit = self.fits[index].get_or_insert_with(|| Fit::new(unknown));
        let total: f64 = loads.iter().map(|(_, load)| load).sum();
        if total < NO_LOAD {
            fit.base += BASE_RATE * surprise.clamp(-MAX_BASE_SURPRISE, MAX_BASE_SURPRISE);
        } else {
            let clipped = surprise.clamp(-MAX_PRESS_SURPRISE, MAX_PRESS_SURPRISE);
            let measured = tail.max(1.0).ln() - surprise + clipped;
            let factor = (measured - fit.base).clamp(-MAX_FACTOR, MAX_FACTOR);
            fit.learn(factor, loads);
        }
    }

    /// How far a tail is over what is expected beside these loads, as a logarithm.
    #[must_use]
    pub fn surprise(&self, serving: Image, tail: f64, limit: f64, loads: &[(Image, f64)]) -> f64 {
        let expected = self.excess(serving, limit, loads.iter().copied()) + limit.ln();
        tail.max(1.0).ln() - expected
    }

    /// What is believed of each serving image, as `key=value` pairs.
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
            let presses = names.iter().filter_map(|(filling, name)| {
                let press = fit.presses.get(usize::from(filling.0))?;
                Some(format!("{name}:{press:.1}"))
            });
            let presses: Vec<String> = presses.collect();
            Some(format!(
                "serving={name} base_ms={:.0} presses={}",
                fit.base.exp(),
                presses.join(",")
            ))
        });
        known.collect()
    }
}
