//! Offers: the kinds of machines that the cloud provisions.

use crate::{
    coordination::model::MachineTypeSpec,
    protocol::{
        jobs::JobSpec,
        names::{MachineTypeIndex, ZoneIndex},
    },
};

/// A kind of machine that can be provisioned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Offer {
    /// The machine type.
    pub machine_type: MachineTypeIndex,
    /// The zone.
    pub zone: ZoneIndex,
    /// Billing: spot if true, on demand otherwise.
    pub spot: bool,
}

/// A number of machines of one offer.
#[derive(Debug, Clone, Copy)]
pub struct OfferQuantity {
    /// The offer.
    pub offer: Offer,
    /// How many machines of it.
    pub machines: u32,
}

impl Offer {
    /// Whether the job's tasks may run on such machines. `zone_used`: number of
    /// the job's assignments by zone, if it restricts zones.
    pub fn allows(&self, spec: &JobSpec, zone_used: &[u32]) -> bool {
        let is_other_zone = spec.zone.is_some_and(|zone| zone != self.zone);
        if !spec.allows_type(self.machine_type) || is_other_zone || (self.spot && !spec.spot) {
            return false;
        }
        let here = zone_used.get(self.zone.as_usize()).copied().unwrap_or(0);
        let elsewhere = zone_used.iter().sum::<u32>() - here;
        (!spec.spread || here < spec.zone_cap()) && (!spec.one_zone || elsewhere == 0)
    }

    /// The description of the offer's machine type, if the cloud still lists it.
    pub fn type_spec<'a>(&self, types: &'a [MachineTypeSpec]) -> Option<&'a MachineTypeSpec> {
        types.iter().find(|known| known.index == self.machine_type)
    }
}
