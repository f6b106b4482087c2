//! Offers: the kinds of machines that the cloud can provision.

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
    /// Machine type, as an index of the interned type names.
    pub machine_type: MachineTypeIndex,
    /// Zone in which the machine is provisioned.
    pub zone: ZoneIndex,
    /// Billing kind: spot if true, on demand otherwise.
    pub spot: bool,
}

/// A number of machines of one offer.
#[derive(Debug, Clone, Copy)]
pub struct OfferQuantity {
    /// Kind of the machines.
    pub offer: Offer,
    /// Number of machines.
    pub machines: u32,
}

impl Offer {
    /// Reports whether the job's tasks may run on machines of this offer. `zone_used`:
    /// number of the job's assignments by zone, if the job restricts zones.
    pub fn allows(&self, spec: &JobSpec, zone_used: &[u32]) -> bool {
        let is_other_zone = spec.zone.is_some_and(|zone| zone != self.zone);
        if !spec.allows_type(self.machine_type) || is_other_zone || (self.spot && !spec.spot) {
            return false;
        }
        let here = zone_used.get(self.zone.as_usize()).copied().unwrap_or(0);
        let elsewhere = zone_used.iter().sum::<u32>() - here;
        (!spec.spread || here < spec.zone_cap()) && (!spec.one_zone || elsewhere == 0)
    }

    /// Returns the specification of the offer's machine type; `None` if the cloud no
    /// longer lists it.
    pub fn type_spec<'a>(&self, types: &'a [MachineTypeSpec]) -> Option<&'a MachineTypeSpec> {
        types.iter().find(|known| known.index == self.machine_type)
    }
}
