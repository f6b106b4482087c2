//! The autoscaler: provisions machines for unmet demand and releases those that
//! are idle, failed or too expensive for what runs on them.
//!
//! [`Autoscaler`] runs its components at their intervals and passes the cloud's
//! responses to them:
//!
//! * `inventory`: lists the machines that the cloud has provisioned for this system;
//! * `scale_out` (with `scale_out_plan`, `zone_demand`, `offer_selection`,
//!   `offer_backoff` and `pending_capacity`): requests machines for unmet demand;
//! * `scale_in` (with `scale_in_policy`, `failure_detector`, `contact`, `zone_health`,
//!   `boot_delays` and `idle_timeout`): releases machines;
//! * `consolidation` and `gpu_reclaim`: drain expensive machines, which scale-in
//!   then releases.

mod boot_delays;
mod consolidation;
mod contact;
mod drain;
mod failure_detector;
mod gpu_reclaim;
mod idle_timeout;
mod interval;
mod inventory;
mod offer;
mod offer_backoff;
mod offer_selection;
mod pending_capacity;
mod scale_in;
mod scale_in_policy;
mod scale_out;
mod scale_out_plan;
mod unmet_demand;
mod zone_demand;
mod zone_health;

pub use self::scale_out::ScaleOutOutcome;
use self::{
    boot_delays::BootDelays, interval::Interval, inventory::Inventory, scale_in::ScaleIn,
    scale_in_policy::ScaleInPolicy, scale_out::ScaleOut, zone_health::ZoneHealth,
};
use super::{
    cluster::ClusterState,
    effects::Outbox,
    model::{CallId, Millis},
    scheduler::gpu_demand::GpuDemand,
};
use crate::protocol::{cloud::HostList, names::Interners};

/// Interval between scale-out decisions.
const SCALE_OUT_INTERVAL_MS: Millis = 250;
/// Interval at which a listing of all machines is started or resumed.
const LISTING_INTERVAL_MS: Millis = 2_500;
/// Interval between scale-in decisions.
const SCALE_IN_INTERVAL_MS: Millis = 400;
/// Interval between consolidation decisions.
const CONSOLIDATION_INTERVAL_MS: Millis = 2_000;

/// The autoscaler of one leadership, which matches the number and kinds of machines to
/// the demand.
#[derive(Debug)]
pub struct Autoscaler {
    inventory: Inventory,
    scale_out: ScaleOut,
    scale_in: ScaleIn,
    zone_health: ZoneHealth,
    boot_delays: BootDelays,
    listing_interval: Interval,
    scale_out_interval: Interval,
    scale_in_interval: Interval,
    consolidation_interval: Interval,
}

impl Autoscaler {
    /// Creates the autoscaler of a new leadership, which has not listed any machines
    /// yet. `nonce` is a random number unique to this leadership.
    pub fn new(nonce: u64, now: Millis) -> Autoscaler {
        Autoscaler {
            inventory: Inventory::new(now),
            scale_out: ScaleOut::new(nonce),
            scale_in: ScaleIn::default(),
            zone_health: ZoneHealth::default(),
            boot_delays: BootDelays::default(),
            listing_interval: Interval::starting_at(now, LISTING_INTERVAL_MS),
            scale_out_interval: Interval::starting_at(now, SCALE_OUT_INTERVAL_MS),
            scale_in_interval: Interval::starting_at(now, SCALE_IN_INTERVAL_MS),
            consolidation_interval: Interval::starting_at(now, CONSOLIDATION_INTERVAL_MS),
        }
    }

    /// Lists, releases, consolidates and provisions machines, each at its interval.
    pub fn step(
        &mut self,
        now: Millis,
        cluster: &mut ClusterState,
        gpu_demand: &GpuDemand,
        outbox: &mut Outbox,
        interners: &Interners,
    ) {
        if !self.inventory.is_listing() && self.listing_interval.is_due(now) {
            self.inventory.request_page(outbox);
        }
        if self.scale_in_interval.is_due(now) {
            self.scale_in(now, cluster, gpu_demand, outbox);
        }
        unmet_demand::record_unmet_demand(now, cluster);
        if self.consolidation_interval.is_due(now) {
            gpu_reclaim::drain_best_effort_machines(now, cluster);
            consolidation::consolidate(now, cluster);
        }
        if self.scale_out_interval.is_due(now) {
            self.scale_out.step(now, cluster, &self.inventory, outbox, interners);
        }
    }

    fn scale_in(&mut self, now: Millis, cluster: &mut ClusterState, gpu_demand: &GpuDemand, outbox: &mut Outbox) {
        self.zone_health.update(now, cluster);
        self.boot_delays.update(now, cluster);
        let policy =
            ScaleInPolicy::new(now, cluster, &self.inventory, &self.zone_health, &self.boot_delays, gpu_demand);
        let decisions = policy.machines_to_release();
        self.scale_in.release(now, decisions, cluster, outbox);
    }

    /// Handles the outcome of a scale-out request.
    pub fn scale_out_finished(
        &mut self,
        now: Millis,
        call: CallId,
        outcome: ScaleOutOutcome,
        cluster: &mut ClusterState,
    ) {
        self.scale_out.finished(now, call, outcome, cluster);
    }

    /// Handles the outcome of a scale-in request. `is_released`: the cloud confirmed
    /// the release, so the machines and everything on them no longer exist.
    pub fn scale_in_finished(&mut self, now: Millis, call: CallId, is_released: bool, cluster: &mut ClusterState) {
        self.scale_in.finished(now, call, is_released, cluster);
    }

    /// Handles a page of the machine list. `list` is `None` if the call failed.
    pub fn machines_listed(
        &mut self,
        now: Millis,
        call: CallId,
        list: Option<&HostList>,
        cluster: &mut ClusterState,
        outbox: &mut Outbox,
        interners: &mut Interners,
    ) {
        self.inventory.page_received(now, call, list, cluster, outbox, interners);
    }
}
