//! Least-squares fit of a plane.

/// A fitted plane `c0 + c1 x1 + c2 x2`, with the standard error of each coefficient.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlaneFit {
    pub(crate) coefficients: [f64; 3],
    pub(crate) errors: [f64; 3],
}

impl PlaneFit {
    /// Fits a plane to points `(x1, x2, y)`; requires more than three points.
    pub(crate) fn of(points: &[(f64, f64, f64)]) -> Self {
        let mut normal = [[0.0; 3]; 3];
        let mut right = [0.0; 3];
        for (x1, x2, y) in points {
            let row = [1.0, *x1, *x2];
            for i in 0..3 {
                right[i] += row[i] * y;
                for j in 0..3 {
                    normal[i][j] += row[i] * row[j];
                }
            }
        }
        let inverse = invert(normal);
        let coefficients =
            inverse.map(|row| row.iter().zip(right).map(|(cell, sum)| cell * sum).sum());
        let mut fit = Self {
            coefficients,
            errors: [0.0; 3],
        };
        let squares: f64 = points
            .iter()
            .map(|(x1, x2, y)| (y - fit.at(*x1, *x2)).powi(2))
            .sum();
        let variance = squares / (points.len() as f64 - 3.0);
        fit.errors = std::array::from_fn(|i| (variance * inverse[i][i]).sqrt());
        fit
    }

    /// Evaluates the plane at `(x1, x2)`.
    pub(crate) fn at(&self, x1: f64, x2: f64) -> f64 {
        let [c0, c1, c2] = self.coefficients;
        c0 + c1 * x1 + c2 * x2
    }
}

/// Inverts a symmetric 3 by 3 matrix by cofactors.
fn invert(m: [[f64; 3]; 3]) -> [[f64; 3]; 3] {
    let minor = |i: usize, j: usize| {
        let (upper, lower) = (m[(i + 1) % 3], m[(i + 2) % 3]);
        let (left, right) = ((j + 1) % 3, (j + 2) % 3);
        upper[left] * lower[right] - upper[right] * lower[left]
    };
    let determinant: f64 = (0..3).map(|j| m[0][j] * minor(0, j)).sum();
    let mut inverse = [[0.0; 3]; 3];
    for (i, row) in inverse.iter_mut().enumerate() {
        for (j, cell) in row.iter_mut().enumerate() {
            *cell = minor(j, i) / determinant;
        }
    }
    inverse
}
