//! Machine types that the cloud offers.

use super::Resources;
use crate::protocol::{
    jobs::JobSpec,
    names::{MachineTypeIndex, ZoneIndex},
};

/// A machine type as the cloud describes it.
#[derive(Debug, Clone)]
pub struct MachineTypeSpec {
    /// Index of the type.
    pub index: MachineTypeIndex,
    /// Capacity of one machine.
    pub capacity: Resources,
    /// Size of a machine's image cache, in GB.
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price per hour of a machine on demand.
    pub price: f64,
    /// Price per hour as a spot machine; 0: the type has no spot price of its own.
    pub spot_price: f64,
    /// Nominal boot time, in seconds.
    pub boot_s: f64,
    /// The zones in which the type is offered.
    pub zones: Vec<ZoneIndex>,
}

impl MachineTypeSpec {
    /// Price per hour of a machine, on demand or as a spot machine.
    pub fn price_of(&self, spot: bool) -> f64 {
        if spot && self.spot_price > 0.0 {
            self.spot_price
        } else {
            self.price
        }
    }
}

/// Whether one task of this job can ever run on some machine that may be rented.
pub fn fits_some_type(spec: &JobSpec, types: &[MachineTypeSpec]) -> bool {
    types.iter().any(|machine_type| {
        spec.allows_type(machine_type.index)
            && Resources::of(spec).fits_in(&machine_type.capacity)
            && spec.zone.is_none_or(|zone| machine_type.zones.contains(&zone))
    })
}
