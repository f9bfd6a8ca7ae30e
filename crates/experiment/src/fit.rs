//! Least squares: the slope of a measured cost, and how far the line may be trusted.

/// A straight line through measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LinearFit {
    /// Value at 0.
    pub(crate) intercept: f64,
    /// Rise for each unit.
    pub(crate) slope: f64,
    /// Standard deviation of the points around the line; not a number for two points, which any
    /// line fits.
    pub(crate) residual_std: f64,
    points: usize,
    mean_x: f64,
    sum_squares_x: f64,
}

/// A value read off a line, with the standard error of the reading.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    pub(crate) value: f64,
    pub(crate) std_error: f64,
}

impl LinearFit {
    /// The line with the least squared distance; `None` for fewer than two different sizes.
    pub(crate) fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_squares_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || sum_squares_x == 0.0 {
            return None;
        }
        let sum_products: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = sum_products / sum_squares_x;
        let intercept = mean_y - slope * mean_x;
        let squared_residual = |(x, y): &(f64, f64)| (y - intercept - slope * x).powi(2);
        let residual_sum_squares: f64 = points.iter().map(squared_residual).sum();
        let residual_std = match points.len() - 2 {
            0 => f64::NAN,
            degrees_of_freedom => (residual_sum_squares / degrees_of_freedom as f64).sqrt(),
        };
        Some(Self {
            intercept,
            slope,
            residual_std,
            points: points.len(),
            mean_x,
            sum_squares_x,
        })
    }

    /// The line's value at `x`, and the standard error of the line there. Far outside the
    /// measured sizes the error grows with the distance; that the line stays one there is an
    /// assumption that no figure here can show.
    pub(crate) fn estimate_at(&self, x: f64) -> Estimate {
        let leverage = 1.0 / self.points as f64 + (x - self.mean_x).powi(2) / self.sum_squares_x;
        Estimate {
            value: self.intercept + self.slope * x,
            std_error: self.residual_std * leverage.sqrt(),
        }
    }
}

#[cfg(test)]
mod tests;
