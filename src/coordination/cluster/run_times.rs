//! Observed run times relative to the submitters' estimates, by class.

use std::collections::HashMap;

use crate::protocol::{jobs::JobSpec, names::ClassIndex};

/// Lower bound of an observed ratio, so that one outlier does not distort the mean.
const MIN_RATIO: f64 = 0.05;
/// Upper bound of an observed ratio, for the same reason.
const MAX_RATIO: f64 = 20.0;
/// Number of runs after which the mean is exponentially smoothed instead of exact,
/// so that it follows a change.
const MEAN_WINDOW_RUNS: f64 = 20.0;

/// Mean ratio of observed to estimated run time of one class.
#[derive(Debug, Clone, Copy)]
struct RatioMean {
    ratio: f64,
    runs: f64,
}

/// Corrections of the submitters' run-time estimates.
#[derive(Debug, Default)]
pub(super) struct RunTimeEstimates {
    by_class: HashMap<ClassIndex, RatioMean>,
}

impl RunTimeEstimates {
    /// Returns the expected run time of a task in seconds: its estimate, corrected
    /// by the mean ratio of its class.
    pub fn expected_s(&self, spec: &JobSpec) -> f64 {
        spec.estimate_s * self.by_class.get(&spec.class).map_or(1.0, |mean| mean.ratio)
    }

    /// Records the run time, in seconds, of a task that ran to completion.
    pub fn observe(&mut self, spec: &JobSpec, ran_s: f64) {
        if spec.estimate_s <= 0.0 {
            return;
        }
        let ratio = (ran_s / spec.estimate_s).clamp(MIN_RATIO, MAX_RATIO);
        let mean = self.by_class.entry(spec.class).or_insert(RatioMean { ratio: 1.0, runs: 0.0 });
        let weight = 1.0 / (mean.runs + 1.0).min(MEAN_WINDOW_RUNS);
        mean.ratio += (ratio - mean.ratio) * weight;
        mean.runs += 1.0;
    }
}
