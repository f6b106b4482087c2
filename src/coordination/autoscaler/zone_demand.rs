//! For how many tasks machines are wanted, zone by zone where it matters.

use std::cmp::Reverse;

use super::pending_capacity::PendingCapacity;
use crate::{
    coordination::{leader::Leader, model::Resources, snapshot::RoomKind},
    protocol::{
        jobs::{JobSpec, Kind},
        names::ZoneIndex,
    },
};

/// Boot times vary widely: for replicas this many times the room that they need
/// is ordered, so that the machines that come up first hold them all.
const REPLICA_ROOM_FACTOR: u32 = 2;

/// Tasks for which machines are wanted, in any zone or in this one.
pub struct ZoneDemand {
    pub zone: Option<ZoneIndex>,
    pub tasks: u32,
}

/// What a zone has for a job that must be spread.
struct SpreadZone {
    zone: ZoneIndex,
    /// Tasks that the spread rule still allows there.
    limit: u32,
    /// Tasks for which there is room, now or soon.
    room: u32,
}

impl Leader {
    /// For how many tasks machines are wanted, zone by zone where it matters.
    /// What is ordered beyond the job's need is left to other work.
    ///
    /// Guard: a gang that must be spread over two zones, or that must be in one,
    /// is not served by room in any zone: it would wait for ever, and more
    /// machines would come where there is room already.
    pub fn demand_by_zone(
        &self,
        spec: &JobSpec,
        zone_used: &[u32],
        tasks: u32,
        pending_capacity: &PendingCapacity,
    ) -> Vec<ZoneDemand> {
        let is_one_zone_gang = spec.one_zone && spec.kind == Kind::Gang && tasks > 1;
        if spec.spread && !spec.one_zone {
            self.spread_demand(spec, zone_used, tasks)
        } else if spec.one_zone && (spec.spread || is_one_zone_gang) {
            vec![self.one_zone_demand(spec, zone_used, tasks, pending_capacity)]
        } else {
            vec![ZoneDemand { zone: None, tasks: tasks * room_factor(spec) }]
        }
    }

    /// Zones of the machine types that the job may use, in the order of the types.
    fn zones_for(&self, spec: &JobSpec) -> Vec<ZoneIndex> {
        let mut zones: Vec<ZoneIndex> = Vec::new();
        let allowed_types = self.cluster.types.iter().filter(|machine_type| spec.allows_type(machine_type.index));
        for zone in allowed_types.flat_map(|machine_type| machine_type.zones.iter().copied()) {
            if !zones.contains(&zone) && spec.zone.is_none_or(|only| only == zone) {
                zones.push(zone);
            }
        }
        zones
    }

    /// Tasks for which a zone has room, counted up to `limit`: now, or once what
    /// is being stopped is gone. What a started array or service could place
    /// there now, it has placed.
    fn room_in_zone(&self, spec: &JobSpec, zone: ZoneIndex, limit: u32) -> u32 {
        if spec.kind != Kind::Gang {
            return 0;
        }
        let need = Resources::of(spec);
        let mut room = 0;
        self.cluster.snapshot.candidates(spec, Some(zone), RoomKind::FreeOrStopping, |_, host, _| {
            room = (room + need.times_in(&host.room(RoomKind::FreeOrStopping))).min(limit);
        });
        room
    }

    /// Everything goes to the zone that has, or will have, the most room.
    fn one_zone_demand(
        &self,
        spec: &JobSpec,
        zone_used: &[u32],
        tasks: u32,
        pending_capacity: &PendingCapacity,
    ) -> ZoneDemand {
        let need = Resources::of(spec);
        let zones = self.zones_for(spec).into_iter().map(|zone| {
            let room = self.room_in_zone(spec, zone, tasks);
            let arriving =
                pending_capacity.room(&need, tasks - room, |offer| offer.zone == zone && offer.allows(spec, zone_used));
            (zone, room, arriving)
        });
        match zones.max_by_key(|(_, room, arriving)| room + arriving) {
            Some((zone, room, arriving)) if room + arriving > 0 => ZoneDemand { zone: Some(zone), tasks: tasks - room },
            _ => ZoneDemand { zone: None, tasks },
        }
    }

    /// Each zone takes its part of what the spread rule allows; the emptier one
    /// gets more.
    fn spread_demand(&self, spec: &JobSpec, zone_used: &[u32], tasks: u32) -> Vec<ZoneDemand> {
        let mut zones: Vec<SpreadZone> = self
            .zones_for(spec)
            .into_iter()
            .map(|zone| {
                let used = zone_used.get(zone.at()).copied().unwrap_or(0);
                let limit = spec.zone_cap().saturating_sub(used);
                SpreadZone { zone, limit, room: self.room_in_zone(spec, zone, tasks) }
            })
            .collect();
        zones.sort_by_key(|zone| (Reverse(zone.room.min(zone.limit)), zone.zone));
        let mut left = tasks;
        let mut demands = Vec::new();
        for (position, zone) in zones.iter().enumerate() {
            // As even as the limits of the zones after it allow.
            let later_limits: u32 = zones[position + 1..].iter().map(|later| later.limit).sum();
            let even = left.div_ceil((zones.len() - position) as u32);
            let part = even.max(left.saturating_sub(later_limits)).max(zone.room.min(left)).min(zone.limit);
            left -= part.min(left);
            let missing = part.saturating_sub(zone.room) * room_factor(spec);
            if missing > 0 {
                demands.push(ZoneDemand { zone: Some(zone.zone), tasks: missing });
            }
        }
        demands
    }
}

fn room_factor(spec: &JobSpec) -> u32 {
    match spec.kind {
        Kind::Service => REPLICA_ROOM_FACTOR,
        Kind::Array | Kind::Gang => 1,
    }
}
