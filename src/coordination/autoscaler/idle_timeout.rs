//! Timeout after which idle machines are released.

use crate::coordination::{
    cluster::ClusterState,
    model::{Machine, MachineTypeSpec, Millis, Resources},
    scheduler::{gpu_demand::GpuDemand, trial::SLOWEST_FETCH_GB_PER_S},
};

/// Idle machines are kept for this multiple of the time that it takes to provision
/// them again.
const IDLE_TIMEOUT_FACTOR: f64 = 1.4;
/// More GPU jobs of a shape are expected for this long after the last one arrived.
const GPU_DEMAND_EXPECTED_MS: i64 = 90_000;

/// Reports whether a machine has been idle for longer than its idle timeout.
pub fn has_idle_timed_out(now: Millis, cluster: &ClusterState, gpu_demand: &GpuDemand, machine: &Machine) -> bool {
    machine.load.idle_since.is_some_and(|since| now > since + idle_timeout_ms(now, cluster, gpu_demand, machine))
}

/// Returns how long an idle machine is kept, which grows with the time that it takes
/// to provision the machine again.
fn idle_timeout_ms(now: Millis, cluster: &ClusterState, gpu_demand: &GpuDemand, machine: &Machine) -> Millis {
    let startup_s =
        cluster.machine_type_of(machine).map_or(0.0, |machine_type| expected_startup_s(now, machine_type, gpu_demand));
    cluster.config().min_idle_ms.max((startup_s * IDLE_TIMEOUT_FACTOR * 1000.0) as Millis)
}

/// Returns the seconds until a new machine of this type could run the tasks that are
/// expected on it. Images take long to fetch on machines with GPUs, so for these the
/// fetch is included; the result is 0 while no GPU tasks are expected on them.
fn expected_startup_s(now: Millis, machine_type: &MachineTypeSpec, gpu_demand: &GpuDemand) -> f64 {
    if machine_type.capacity.gpus <= 0.0 {
        return machine_type.boot_s;
    }
    let expected = gpu_demand.shapes().iter().filter(|shape| {
        shape.spec.allows_type(machine_type.index)
            && Resources::of(&shape.spec).fits_in(&machine_type.capacity)
            && now as i64 - shape.latest_arrival < GPU_DEMAND_EXPECTED_MS
    });
    let fetch_gb_per_s = machine_type.fetch_gb_per_s.max(SLOWEST_FETCH_GB_PER_S);
    expected.map(|shape| machine_type.boot_s + shape.spec.image_gb / fetch_gb_per_s).fold(0.0, f64::max)
}
