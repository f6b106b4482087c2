//! Divides a job's unmet tasks among zones if its zone rules require it.

use std::cmp::Reverse;

use super::{offer::Offer, pending_capacity::PendingCapacity};
use crate::{
    coordination::{cluster::ClusterState, model::Resources, snapshot::CapacityKind},
    protocol::{
        jobs::{JobKind, JobSpec},
        names::ZoneIndex,
    },
};

/// Multiple of the required capacity that is requested for service replicas. Boot
/// times vary widely; with it, the machines that come up first have enough capacity
/// for all replicas.
const SERVICE_OVERPROVISIONING_FACTOR: u32 = 2;

/// Number of tasks for which machines are needed, in one zone or in any.
pub struct ZoneDemand {
    /// Zone in which the machines must be; `None`: any zone.
    pub zone: Option<ZoneIndex>,
    /// Number of tasks for which machines are needed.
    pub tasks: u32,
}

/// Calculation of the zones in which a job needs machines.
pub struct JobZones<'a> {
    /// Cluster whose machine types and free capacity are used.
    pub cluster: &'a ClusterState,
    /// Specification of the job, with its zone rules.
    pub spec: &'a JobSpec,
    /// Number of the job's assignments by zone, if the job restricts zones.
    pub zone_used: &'a [u32],
}

/// Capacity of a zone for a job whose tasks must be spread over zones.
struct SpreadZone {
    zone: ZoneIndex,
    /// Number of further tasks that the spread rule allows in the zone.
    limit: u32,
    /// Number of tasks for which there is free capacity, now or soon.
    free: u32,
}

/// Capacity of a zone for a job whose tasks must be in one zone.
struct SingleZone {
    zone: ZoneIndex,
    /// Number of tasks for which there is free capacity, now or soon.
    free: u32,
    /// Number of tasks that fit on machines that are not up yet.
    pending: u32,
}

impl SingleZone {
    fn total(&self) -> u32 {
        self.free + self.pending
    }
}

impl JobZones<'_> {
    /// Returns how many tasks, out of `tasks` unmet ones, need machines. The number is
    /// divided among zones if the tasks must be spread. It is for a single zone if a gang
    /// of several tasks, or a job with both zone rules, must be in one; otherwise for any
    /// zone. Capacity beyond the job's need is left to other jobs.
    ///
    /// A gang that must be spread over two zones, or that must be in one, can't use
    /// free capacity of arbitrary zones. Without the division by zone, it would wait
    /// permanently, and more machines would be requested where capacity is already
    /// free.
    pub fn demand(&self, tasks: u32, pending_capacity: &PendingCapacity) -> Vec<ZoneDemand> {
        let spec = self.spec;
        let is_one_zone_gang = spec.one_zone && spec.kind == JobKind::Gang && tasks > 1;
        if spec.spread && !spec.one_zone {
            self.spread_demand(tasks)
        } else if spec.one_zone && (spec.spread || is_one_zone_gang) {
            vec![self.single_zone_demand(tasks, pending_capacity)]
        } else {
            vec![ZoneDemand { zone: None, tasks: tasks * overprovisioning_factor(spec) }]
        }
    }

    /// Returns the zones of the machine types that the job may use, in the order of the
    /// types.
    fn allowed_zones(&self) -> Vec<ZoneIndex> {
        let spec = self.spec;
        let mut zones: Vec<ZoneIndex> = Vec::new();
        let allowed_types =
            self.cluster.machine_types().iter().filter(|machine_type| spec.allows_type(machine_type.index));
        for zone in allowed_types.flat_map(|machine_type| machine_type.zones.iter().copied()) {
            if !zones.contains(&zone) && spec.zone.is_none_or(|only| only == zone) {
                zones.push(zone);
            }
        }
        zones
    }

    /// Returns the number of tasks, up to `limit`, for which a zone has free capacity
    /// now or once the tasks that are being stopped have exited. It is 0 for jobs other
    /// than gangs: only gangs wait while there is free capacity, whereas arrays and
    /// services have already placed all tasks that fit in the zone.
    fn free_in_zone(&self, zone: ZoneIndex, limit: u32) -> u32 {
        if self.spec.kind != JobKind::Gang {
            return 0;
        }
        let request = Resources::of(self.spec);
        let mut free = 0;
        self.cluster.snapshot().visit_candidates(self.spec, Some(zone), CapacityKind::FreeOrStopping, |_, host, _| {
            free = (free + request.count_fitting_in(&host.capacity(CapacityKind::FreeOrStopping))).min(limit);
        });
        free
    }

    /// Returns the demand in the one zone that has, or will have, capacity for the most
    /// tasks, without the tasks for which there is free capacity; in any zone if no zone
    /// has or will have capacity.
    fn single_zone_demand(&self, tasks: u32, pending_capacity: &PendingCapacity) -> ZoneDemand {
        let zones = self.allowed_zones().into_iter().map(|zone| self.single_zone(zone, tasks, pending_capacity));
        match zones.max_by_key(SingleZone::total) {
            Some(best) if best.total() > 0 => ZoneDemand { zone: Some(best.zone), tasks: tasks - best.free },
            _ => ZoneDemand { zone: None, tasks },
        }
    }

    fn single_zone(&self, zone: ZoneIndex, tasks: u32, pending_capacity: &PendingCapacity) -> SingleZone {
        let free = self.free_in_zone(zone, tasks);
        let allows = |offer: &Offer| offer.zone == zone && offer.allows(self.spec, self.zone_used);
        let pending = pending_capacity.count_fitting(&Resources::of(self.spec), tasks - free, allows);
        SingleZone { zone, free, pending }
    }

    /// Divides the tasks among the zones within the limits of the spread rule. Zones
    /// with less free capacity get more machines.
    fn spread_demand(&self, tasks: u32) -> Vec<ZoneDemand> {
        let zones = self.spread_zones(tasks);
        let mut remaining_tasks = tasks;
        let mut demands = Vec::new();
        for (position, zone) in zones.iter().enumerate() {
            // An even share; more if the later zones can't take the rest or if this zone
            // has free capacity for more.
            let later_limits: u32 = zones[position + 1..].iter().map(|later| later.limit).sum();
            let even_share = remaining_tasks.div_ceil((zones.len() - position) as u32);
            let share = even_share
                .max(remaining_tasks.saturating_sub(later_limits))
                .max(zone.free.min(remaining_tasks))
                .min(zone.limit);
            remaining_tasks -= share.min(remaining_tasks);
            let missing = share.saturating_sub(zone.free) * overprovisioning_factor(self.spec);
            if missing > 0 {
                demands.push(ZoneDemand { zone: Some(zone.zone), tasks: missing });
            }
        }
        demands
    }

    /// Returns the allowed zones, those with the most usable free capacity first.
    fn spread_zones(&self, tasks: u32) -> Vec<SpreadZone> {
        let mut zones: Vec<SpreadZone> =
            self.allowed_zones().into_iter().map(|zone| self.spread_zone(zone, tasks)).collect();
        zones.sort_by_key(|zone| (Reverse(zone.free.min(zone.limit)), zone.zone));
        zones
    }

    fn spread_zone(&self, zone: ZoneIndex, tasks: u32) -> SpreadZone {
        let used = self.zone_used.get(zone.as_usize()).copied().unwrap_or(0);
        let limit = self.spec.zone_cap().saturating_sub(used);
        SpreadZone { zone, limit, free: self.free_in_zone(zone, tasks) }
    }
}

/// Returns the multiple of the job's required capacity that is requested.
fn overprovisioning_factor(spec: &JobSpec) -> u32 {
    match spec.kind {
        JobKind::Service => SERVICE_OVERPROVISIONING_FACTOR,
        JobKind::Array | JobKind::Gang => 1,
    }
}
