//! Least squares: the slope of a measured cost, and how far the line may be trusted.

/// A straight line through measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Fit {
    /// Value at 0.
    pub(crate) base: f64,
    /// Rise for each unit.
    pub(crate) slope: f64,
    /// Standard deviation of the points around the line; not a number for two points, which any
    /// line fits.
    pub(crate) spread: f64,
    points: usize,
    mean_x: f64,
    sum_squares_x: f64,
}

/// A value read off a line, with the standard error of the reading.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Reading {
    pub(crate) value: f64,
    pub(crate) error: f64,
}

impl Fit {
    /// The line with the least squared distance; `None` for fewer than two different sizes.
    pub(crate) fn of(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_squares_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || sum_squares_x == 0.0 {
            return None;
        }
        let products: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = products / sum_squares_x;
        let base = mean_y - slope * mean_x;
        let residual = |(x, y): &(f64, f64)| (y - base - slope * x).powi(2);
        let squares: f64 = points.iter().map(residual).sum();
        let spread = match points.len() - 2 {
            0 => f64::NAN,
            freedom => (squares / freedom as f64).sqrt(),
        };
        Some(Self {
            base,
            slope,
            spread,
            points: points.len(),
            mean_x,
            sum_squares_x,
        })
    }

    /// The line's value at `x`, and the standard error of the line there. Far outside the
    /// measured sizes the error grows with the distance; that the line stays one there is an
    /// assumption that no figure here can show.
    pub(crate) fn at(&self, x: f64) -> Reading {
        let leverage = 1.0 / self.points as f64 + (x - self.mean_x).powi(2) / self.sum_squares_x;
        Reading {
            value: self.base + self.slope * x,
            error: self.spread * leverage.sqrt(),
        }
    }
}

#[cfg(test)]
mod tests;
