//! Searches the snapshot for machines.

use super::{CapacityKind, ClusterSnapshot, Host, Pool};
use crate::{
    coordination::model::{Resources, RESOURCE_TOLERANCE},
    protocol::{jobs::JobSpec, names::ZoneIndex},
};

/// Maximum number of machines of one pool that are examined for one task.
pub const HOSTS_EXAMINED_MAX: usize = 192;
/// Maximum number of machines with tasks being stopped that are examined for one
/// task.
const STOPPING_HOSTS_EXAMINED_MAX: usize = 2 * HOSTS_EXAMINED_MAX;

impl ClusterSnapshot {
    /// Calls `visit` for the machines on which a task fits. Examines at most
    /// [`HOSTS_EXAMINED_MAX`] machines of each pool, those with the least free capacity
    /// first. With [`CapacityKind::FreeOrStopping`], then also visits the machines on
    /// which the task fits once the tasks being stopped have exited; these may include
    /// machines already visited. Returns the number of machines examined.
    pub fn visit_candidates(
        &self,
        spec: &JobSpec,
        zone: Option<ZoneIndex>,
        capacity: CapacityKind,
        mut visit: impl FnMut(usize, &Host, &Pool),
    ) -> u64 {
        let need = Resources::of(spec);
        let needs_gpus = need.gpus > RESOURCE_TOLERANCE;
        let mut examined = 0;
        for pool in &self.pools {
            if zone.is_some_and(|zone| zone != pool.zone) || !pool.allows(spec) {
                continue;
            }
            for host_index in pool.hosts_that_may_fit(&need, needs_gpus).take(HOSTS_EXAMINED_MAX) {
                examined += 1;
                let host = &self.hosts[host_index];
                if pool.host_allows(host, spec) && need.fits_in(&host.free) {
                    visit(host_index, host, pool);
                }
            }
        }
        if capacity == CapacityKind::FreeOrStopping {
            examined += self.visit_stopping_candidates(spec, zone, visit);
        }
        examined
    }

    /// Calls `visit` for the machines on which a task fits once the tasks being
    /// stopped have exited. Returns the number of machines examined.
    fn visit_stopping_candidates(
        &self,
        spec: &JobSpec,
        zone: Option<ZoneIndex>,
        mut visit: impl FnMut(usize, &Host, &Pool),
    ) -> u64 {
        let need = Resources::of(spec);
        let mut examined = 0;
        for &host_index in self.stopping_hosts.iter().take(STOPPING_HOSTS_EXAMINED_MAX) {
            examined += 1;
            let host = &self.hosts[host_index as usize];
            let Some(pool) = host.pool.map(|pool| &self.pools[pool]) else { continue };
            if zone.is_none_or(|zone| zone == pool.zone)
                && pool.allows(spec)
                && pool.host_allows(host, spec)
                && need.fits_in(&host.capacity(CapacityKind::FreeOrStopping))
            {
                visit(host_index as usize, host, pool);
            }
        }
        examined
    }

    /// Returns a sample of the machines that this job may use, whatever tasks are on
    /// them: at most `limit` machines of each pool, beginning at machine `first` and
    /// wrapping around.
    pub fn sample(&self, spec: &JobSpec, zone: Option<ZoneIndex>, first: u32, limit: usize) -> Vec<usize> {
        let mut sample = Vec::new();
        for pool in &self.pools {
            if zone.is_some_and(|zone| zone != pool.zone) || !pool.allows(spec) {
                continue;
            }
            let members = pool.members.range(first..).chain(pool.members.range(..first));
            let allowed = |host_index: &usize| pool.host_allows(&self.hosts[*host_index], spec);
            sample.extend(members.take(limit).map(|&host| host as usize).filter(allowed));
        }
        sample
    }
}
