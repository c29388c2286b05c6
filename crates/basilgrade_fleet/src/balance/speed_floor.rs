//! Speeds that tell whether the upstreams of a pool differ.
//!
//! Work of which nobody knew only lengthens a sample, so a low quantile of the samples shows the speed
//! of an upstream, where their average mostly shows its load.

/// Quantile of the samples that is estimated.
const QUANTILE: f64 = 0.25;

/// Step, as a natural logarithm, by which a sample moves the estimate once there are many.
const STEP: f64 = 0.04;

/// Number of samples from which on an estimate counts.
const MIN_SAMPLES: u32 = 16;

/// Parts of the upstreams of a pool, in order of speed, that are compared.
const COMPARED: [f64; 2] = [0.2, 0.8];

/// Ratio between the compared speeds from which on a pool is uneven, and that below which it is no
/// longer. Engines that are alike differ by 1.75 under load; engines of which a third is 2.4 times as
/// fast as the others by 3.5 (both measured on the users' bench).
const UNEVEN_RATIO: f64 = 2.5;
const EVEN_RATIO: f64 = 2.1;

/// Estimate of a low quantile of the time that an upstream takes for a unit of work, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedFloor {
    pace: Option<f64>,
    samples: u32,
}

impl SpeedFloor {
    /// Estimate that another daemon has made of enough samples.
    pub const fn known(pace: f64) -> Self {
        Self {
            pace: Some(pace),
            samples: MIN_SAMPLES,
        }
    }

    /// Records `count` samples with the mean `pace`.
    pub fn record(&mut self, count: u32, pace: f64) {
        if count == 0 {
            return;
        }
        self.samples = self.samples.saturating_add(count);
        let Some(known) = &mut self.pace else {
            self.pace = Some(pace);
            return;
        };
        let step = STEP.max(1.0 / f64::from(self.samples)) * f64::from(count.min(MIN_SAMPLES));
        let share = if pace < *known {
            QUANTILE - 1.0
        } else {
            QUANTILE
        };
        *known *= (step * share).exp();
    }

    /// The estimate, if there are enough samples.
    pub fn value(&self) -> Option<f64> {
        self.pace.filter(|_| self.samples >= MIN_SAMPLES)
    }
}

/// Whether the upstreams of a pool, with these `floors`, differ in speed; `was_uneven` tells whether
/// they did before. A pool of which half of the speeds are unknown stays as it was.
pub fn is_uneven(floors: &[SpeedFloor], was_uneven: bool) -> bool {
    let mut known: Vec<f64> = floors.iter().filter_map(SpeedFloor::value).collect();
    if known.len() * 2 <= floors.len() {
        return was_uneven;
    }
    known.sort_by(f64::total_cmp);
    let [fast, slow] = COMPARED.map(|part| known[(known.len() as f64 * part) as usize]);
    let ratio = slow / fast.max(f64::MIN_POSITIVE);
    ratio >= if was_uneven { EVEN_RATIO } else { UNEVEN_RATIO }
}
