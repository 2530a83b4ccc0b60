//! What a later leader needs of the learned presses, in the form that is stored.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::DEFAULT_COEFFICIENT;
use super::Fit;
use super::Model;
use super::PRIOR_WEIGHT;

/// The most weight of a stored press: as much as some dozens of figures, so that it can be revised.
const MAX_WEIGHT: f64 = 0.5;

/// The learned presses, by names of images.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    /// What is known of each serving image.
    pub serving: Vec<Serving>,
}

/// What is known of one serving image.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Serving {
    /// Its name.
    pub image: Arc<str>,
    /// Its slack without filling tasks.
    pub base: f32,
    /// The presses of filling images on it.
    pub coefficients: Vec<Coefficient>,
}

/// A press with the weight of the figures behind it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Coefficient {
    /// The filling image.
    pub image: Arc<str>,
    /// The slack that it takes for a load of all processors.
    pub value: f32,
    /// The sum of the squares of the loads seen.
    pub weight: f32,
}

impl Model {
    /// What a later leader needs of this model.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let mut names: Vec<_> = self.images.iter().collect();
        names.sort_unstable();
        let serving = names.iter().filter_map(|(name, image)| {
            let fit = self.fit(**image)?;
            let coefficients = names.iter().filter_map(|(name, image)| {
                let index = usize::from(image.0);
                let weight = *fit.loads.get(index)?.get(index)?;
                let has_samples = weight > PRIOR_WEIGHT;
                has_samples.then(|| Coefficient {
                    image: Arc::clone(name),
                    value: narrow(fit.coefficients[index]),
                    weight: narrow(weight),
                })
            });
            Some(Serving {
                image: Arc::clone(name),
                base: narrow(fit.base),
                coefficients: coefficients.collect(),
            })
        });
        Summary {
            serving: serving.collect(),
        }
    }

    /// Takes over what an earlier leader learned of images that this one has no figures of.
    pub fn merge(&mut self, summary: &Summary) {
        for serving in &summary.serving {
            let image = self.image(Some(&serving.image));
            let index = usize::from(image.0);
            if self.fits.len() <= index {
                self.fits.resize(index + 1, None);
            }
            if self.fits[index].is_some() || !serving.base.is_finite() {
                continue;
            }
            let mut fit = Fit::new(serving.base.into());
            for coefficient in &serving.coefficients {
                let filling = self.image(Some(&coefficient.image));
                fit.restore(usize::from(filling.0), coefficient);
            }
            self.fits[index] = Some(fit);
        }
    }
}

impl Fit {
    fn restore(&mut self, index: usize, coefficient: &Coefficient) {
        if !coefficient.value.is_finite() || !coefficient.weight.is_finite() {
            return;
        }
        self.resize(index + 1);
        let weight = f64::from(coefficient.weight).clamp(0.0, MAX_WEIGHT);
        self.loads[index][index] = PRIOR_WEIGHT + weight;
        self.losses[index] =
            PRIOR_WEIGHT * DEFAULT_COEFFICIENT + weight * f64::from(coefficient.value);
        self.coefficients[index] = self.losses[index] / self.loads[index][index];
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a stored figure needs no more than a few digits"
)]
const fn narrow(value: f64) -> f32 {
    value as f32
}
