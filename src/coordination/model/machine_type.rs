//! Machine types offered by the cloud.

use super::Resources;
use crate::protocol::{
    jobs::JobSpec,
    names::{MachineTypeIndex, ZoneIndex},
};

/// Description of a machine type, as the cloud lists it.
#[derive(Debug, Clone)]
pub struct MachineTypeSpec {
    /// Index of the type among the interned names.
    pub index: MachineTypeIndex,
    /// Capacity of one machine.
    pub capacity: Resources,
    /// Size of a machine's image cache, in GB.
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price per hour of an on-demand machine.
    pub price: f64,
    /// Price per hour of a spot machine; 0: the type has no separate spot price, and the
    /// on-demand price applies.
    pub spot_price: f64,
    /// Nominal boot time, in seconds.
    pub boot_s: f64,
    /// Zones in which the type is offered.
    pub zones: Vec<ZoneIndex>,
}

impl MachineTypeSpec {
    /// Returns the price per hour of an on-demand or spot machine.
    pub fn price_of(&self, spot: bool) -> f64 {
        if spot && self.spot_price > 0.0 {
            self.spot_price
        } else {
            self.price
        }
    }
}

/// Reports whether at least one of the machine types that can be provisioned can run a
/// task of this job.
pub fn fits_some_type(spec: &JobSpec, types: &[MachineTypeSpec]) -> bool {
    types.iter().any(|machine_type| {
        spec.allows_type(machine_type.index)
            && Resources::of(spec).fits_in(&machine_type.capacity)
            && spec.zone.is_none_or(|zone| machine_type.zones.contains(&zone))
    })
}
