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
/// The weight of a new figure in a press.
const PRESS_RATE: f64 = 0.12;
/// The weight of a new figure in a base.
const BASE_RATE: f64 = 0.05;
/// A load below which a figure tells the base.
const NO_LOAD: f64 = 0.01;
/// The largest surprise taken from one figure.
const MAX_SURPRISE: f64 = 1.2;

/// The learned presses.
#[derive(Clone, Debug, Default)]
pub struct Model {
    images: HashMap<Arc<str>, Image>,
    /// The logarithm of the base by serving image.
    bases: Vec<Option<f64>>,
    /// Presses by serving image and filling image.
    presses: Vec<Vec<f64>>,
}

impl Model {
    /// The number of an image.
    pub fn image(&mut self, name: Option<&Arc<str>>) -> Image {
        let name = name.cloned().unwrap_or_else(|| Arc::from(""));
        if let Some(&image) = self.images.get(&name) {
            return image;
        }
        // With too many images the last number stands for all further ones.
        let number = u16::try_from(self.images.len()).unwrap_or(u16::MAX);
        let image = Image(number);
        self.images.insert(name, image);
        image
    }

    /// The press of a filling image on a serving one.
    #[must_use]
    pub fn press(&self, serving: Image, filling: Image) -> f64 {
        let row = self.presses.get(usize::from(serving.0));
        let press = row.and_then(|row| row.get(usize::from(filling.0)));
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
        let base = self.bases.get(usize::from(serving.0)).copied().flatten();
        base.unwrap_or_else(|| (limit * UNKNOWN_BASE).ln())
    }

    /// Learns from a figure: the tail of a serving task and the loads beside it.
    pub fn learn(&mut self, serving: Image, tail: f64, limit: f64, loads: &[(Image, f64)]) {
        let index = usize::from(serving.0);
        let total: f64 = loads.iter().map(|(_, load)| load).sum();
        let base = self.base(serving, limit);
        let measured = tail.max(1.0).ln();
        if total < NO_LOAD {
            if self.bases.len() <= index {
                self.bases.resize(index + 1, None);
            }
            self.bases[index] = Some(base + BASE_RATE * (measured - base));
            return;
        }
        let expected = base
            + loads
                .iter()
                .map(|&(filling, load)| self.press(serving, filling) * load)
                .sum::<f64>();
        let surprise = (measured - expected).clamp(-MAX_SURPRISE, MAX_SURPRISE);
        let norm: f64 = loads.iter().map(|(_, load)| load * load).sum::<f64>() + NO_LOAD;
        for &(filling, load) in loads {
            let press = self.press_mut(serving, filling);
            *press = (*press + PRESS_RATE * surprise * load / norm).clamp(0.0, MAX_PRESS);
        }
    }

    fn press_mut(&mut self, serving: Image, filling: Image) -> &mut f64 {
        let (row, column) = (usize::from(serving.0), usize::from(filling.0));
        if self.presses.len() <= row {
            self.presses.resize(row + 1, Vec::new());
        }
        let row = &mut self.presses[row];
        if row.len() <= column {
            row.resize(column + 1, UNKNOWN_PRESS);
        }
        &mut row[column]
    }
}
