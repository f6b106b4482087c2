//! Resource vectors: CPUs, GPUs and memory.

use std::ops;

use crate::protocol::jobs::JobSpec;

/// Amount of each resource that the scheduler accounts for. Differences may be
/// negative.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory, in GB.
    pub memory_gb: f64,
}

/// Tolerance in comparisons of sums of decimal amounts, so that rounding errors don't
/// decide whether a task fits.
pub const RESOURCE_TOLERANCE: f64 = 1e-6;

impl Resources {
    /// Returns the resources that one task of the job requests.
    pub fn of(spec: &JobSpec) -> Resources {
        Resources { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// Reports whether `available` has at least this much of every resource.
    pub fn fits_in(&self, available: &Resources) -> bool {
        self.cpus <= available.cpus + RESOURCE_TOLERANCE
            && self.gpus <= available.gpus + RESOURCE_TOLERANCE
            && self.memory_gb <= available.memory_gb + RESOURCE_TOLERANCE
    }

    /// Returns how many times `self` fits into `available`. A resource whose amount in
    /// `self` is zero doesn't limit the count; if all amounts are zero, returns
    /// `u32::MAX`.
    pub fn count_fitting_in(&self, available: &Resources) -> u32 {
        let of_one_resource = |need: f64, have: f64| {
            if need <= RESOURCE_TOLERANCE {
                f64::from(u32::MAX)
            } else {
                ((have + RESOURCE_TOLERANCE) / need).floor().max(0.0)
            }
        };
        of_one_resource(self.cpus, available.cpus)
            .min(of_one_resource(self.gpus, available.gpus))
            .min(of_one_resource(self.memory_gb, available.memory_gb)) as u32
    }

    /// Reports whether any resource differs from zero.
    pub fn is_nonzero(&self) -> bool {
        self.cpus.abs() > RESOURCE_TOLERANCE
            || self.gpus.abs() > RESOURCE_TOLERANCE
            || self.memory_gb.abs() > RESOURCE_TOLERANCE
    }

    /// Replaces negative amounts by zero.
    pub fn clamp_to_zero(self) -> Resources {
        Resources { cpus: self.cpus.max(0.0), gpus: self.gpus.max(0.0), memory_gb: self.memory_gb.max(0.0) }
    }

    /// Returns the larger amount of each resource.
    pub fn max(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.max(other.cpus),
            gpus: self.gpus.max(other.gpus),
            memory_gb: self.memory_gb.max(other.memory_gb),
        }
    }

    /// Returns the smaller amount of each resource.
    pub fn min(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }
}

impl ops::Add for Resources {
    type Output = Resources;
    fn add(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory_gb: self.memory_gb + other.memory_gb,
        }
    }
}

impl ops::Sub for Resources {
    type Output = Resources;
    fn sub(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory_gb: self.memory_gb - other.memory_gb,
        }
    }
}

impl ops::Mul<f64> for Resources {
    type Output = Resources;
    fn mul(self, factor: f64) -> Resources {
        Resources { cpus: self.cpus * factor, gpus: self.gpus * factor, memory_gb: self.memory_gb * factor }
    }
}

impl ops::AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = *self + other;
    }
}

impl ops::SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = *self - other;
    }
}
