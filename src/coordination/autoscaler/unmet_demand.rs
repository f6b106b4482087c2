//! Records which machine types unmet demand could use.

use crate::{
    coordination::{
        cluster::ClusterState,
        model::{Job, MachineTypeSpec, Millis, Resources},
    },
    protocol::names::MachineTypeIndex,
};

/// Records in the backlog which machine types the present unmet demand could use:
/// their machines are not drained while it lasts.
///
/// Guard: a best-effort team may have unmet demand at all times. Once such a job
/// has started, its remaining tasks don't count: they would keep every machine
/// from scale-in, however expensive. Nor does work count that can't run on such
/// a machine at all.
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

/// Machine types that the job allows and of which one machine can hold one of its tasks.
fn types_usable_by<'a>(cluster: &'a ClusterState, job: &'a Job) -> impl Iterator<Item = MachineTypeIndex> + 'a {
    let request = Resources::of(&job.spec);
    let is_usable = move |machine_type: &&MachineTypeSpec| {
        job.spec.allows_type(machine_type.index) && request.fits_in(&machine_type.capacity)
    };
    cluster.machine_types().iter().filter(is_usable).map(|machine_type| machine_type.index)
}
