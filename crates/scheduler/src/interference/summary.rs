//! The learned interference in the form in which it is stored for later leaders.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::DEFAULT_COEFFICIENT;
use super::Fit;
use super::Model;
use super::PRIOR_WEIGHT;

/// The largest weight of a stored coefficient. It equals a few dozen samples, so that new samples
/// can correct the coefficient.
const MAX_WEIGHT: f64 = 0.5;

/// The learned interference between images, by their names.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    /// The serving images with samples.
    pub serving: Vec<Serving>,
}

/// The learned interference with one serving image.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Serving {
    /// The name of the serving image.
    pub image: Arc<str>,
    /// The slack of the image without filling tasks.
    pub base: f32,
    /// The coefficients of the filling images with samples.
    pub coefficients: Vec<Coefficient>,
}

/// An interference coefficient with the weight of its samples.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Coefficient {
    /// The name of the filling image.
    pub image: Arc<str>,
    /// The slack that the filling image takes at a load of all processors.
    pub value: f32,
    /// The decayed sum of the squared loads of all samples.
    pub weight: f32,
}

impl Model {
    /// Returns the parts of this model that a later leader needs.
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

    /// Adds what an earlier leader learned of serving images for which this model has no samples.
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
    reason = "a stored value needs only a few digits"
)]
const fn narrow(value: f64) -> f32 {
    value as f32
}
