//! Records which machine types could meet the unmet demand.

use crate::{
    coordination::{
        cluster::ClusterState,
        model::{Job, MachineTypeSpec, Millis, Resources},
    },
    protocol::names::MachineTypeIndex,
};

/// Records in the cluster state which machine types could meet the current unmet
/// demand. Machines of these types are not drained while it lasts.
///
/// A best-effort team may have unmet demand at all times. The remaining tasks of a
/// best-effort job that has started are therefore not included: they would keep
/// every machine from being scaled in, however expensive. Tasks that can't run on a
/// machine type at all are not included for that type either.
pub fn record_unmet_demand(now: Millis, cluster: &mut ClusterState) {
    let mut usable_types: Vec<MachineTypeIndex> = Vec::new();
    for unmet in cluster.unmet_demand() {
        let Some(job) = cluster.job(unmet.job) else { continue };
        if !is_started_best_effort(cluster, job) {
            usable_types.extend(types_usable_by(cluster, job));
        }
    }
    cluster.record_unmet_demand_for(now, usable_types);
}

fn is_started_best_effort(cluster: &ClusterState, job: &Job) -> bool {
    job.tasks.placed > 0 && cluster.is_best_effort(job.spec.team)
}

/// Returns the machine types that the job allows and whose machines have the
/// capacity for at least one of its tasks.
fn types_usable_by<'a>(cluster: &'a ClusterState, job: &'a Job) -> impl Iterator<Item = MachineTypeIndex> + 'a {
    let request = Resources::of(&job.spec);
    let is_usable = move |machine_type: &&MachineTypeSpec| {
        job.spec.allows_type(machine_type.index) && request.fits_in(&machine_type.capacity)
    };
    cluster.machine_types().iter().filter(is_usable).map(|machine_type| machine_type.index)
}
