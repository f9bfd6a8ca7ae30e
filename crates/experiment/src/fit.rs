//! Linear least-squares fit of a measured cost, with the standard error of its estimates.

/// A straight line fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LinearFit {
    /// Value at x = 0.
    pub(crate) intercept: f64,
    /// Increase of y for each unit of x.
    pub(crate) slope: f64,
    /// Standard deviation of the residuals. NaN for two points: a line always fits them exactly,
    /// so they say nothing about the deviation.
    pub(crate) residual_std: f64,
    points: usize,
    mean_x: f64,
    sum_squares_x: f64,
}

/// A value on the fitted line, with its standard error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    pub(crate) value: f64,
    pub(crate) std_error: f64,
}

impl LinearFit {
    /// Fits a line to `points` of (x, y). Returns `None` if they have fewer than two different x.
    pub(crate) fn least_squares(points: &[(f64, f64)]) -> Option<Self> {
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

    /// Value and standard error of the line at `x`. Outside the measured range the standard error
    /// grows with the distance. It does not cover the assumption that the cost stays linear there,
    /// which the measured points cannot confirm.
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
