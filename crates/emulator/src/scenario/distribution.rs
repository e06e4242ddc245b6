//! Validation of distributions.

use super::ScenarioError;
use crate::random::Dist;

impl Dist {
    /// Validates the parameters.
    ///
    /// # Errors
    ///
    /// A parameter out of range, a mean of 0, or an empty list of measured values.
    pub fn check(&self) -> Result<(), ScenarioError> {
        match self {
            Self::Lognormal { cv, .. } if !(cv.is_finite() && *cv >= 0.0) => {
                Err(ScenarioError::Distribution {
                    name: "`cv`",
                    number: *cv,
                    fault: "not a number from 0 on",
                })
            }
            Self::Pareto { shape, .. } if !(shape.is_finite() && *shape > 1.0) => {
                Err(ScenarioError::Distribution {
                    name: "`shape`",
                    number: *shape,
                    fault: "not over 1: there is no mean",
                })
            }
            Self::Measured(values) if values.is_empty() => {
                Err(ScenarioError::EmptyList("measured"))
            }
            _ if self.mean() == 0.0 => Err(ScenarioError::Inconsistent("its mean is 0")),
            _ => Ok(()),
        }
    }
}
