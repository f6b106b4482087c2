//! Inventory: discovers machines through the cloud's machine list.

use crate::{
    coordination::{
        cluster::ClusterState,
        effects::{Effect, Outbox},
        model::{CallId, MachineLifecycle, Millis},
    },
    protocol::{
        cloud::{HostList, HostState, ListedHost},
        names::Interners,
    },
};

/// Largest plausible age of a machine, in seconds; larger values are clamped.
const MACHINE_AGE_MAX_S: f64 = 1e9;
/// The cloud is considered reachable for this long after its last response.
const REACHABLE_AFTER_RESPONSE_MS: Millis = 5_000;

/// Progress of the listing of all machines at the cloud, page by page.
#[derive(Debug)]
pub struct Inventory {
    /// The call that requested a page, until its response is received.
    in_flight: Option<CallId>,
    /// Name of the machine after which the next page begins; `None` for the first page.
    next_page_after: Option<String>,
    /// Whether at least one page was received.
    has_received_page: bool,
    /// When the cloud last responded to a listing call; initially the start of the
    /// leadership.
    last_response_at: Millis,
}

impl Inventory {
    /// Creates the inventory of a new leadership, which has not listed any machines yet.
    pub fn new(now: Millis) -> Inventory {
        Inventory { in_flight: None, next_page_after: None, has_received_page: false, last_response_at: now }
    }

    /// Reports whether a page was requested and its response is outstanding.
    pub fn is_listing(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Reports whether at least one page of the list of provisioned machines was received.
    pub fn has_received_page(&self) -> bool {
        self.has_received_page
    }

    /// Reports whether the cloud responded recently. If it did not, this controller
    /// itself may be partitioned.
    pub fn is_cloud_reachable(&self, now: Millis) -> bool {
        self.last_response_at + REACHABLE_AFTER_RESPONSE_MS > now
    }

    /// Requests the next page of the list.
    ///
    /// A page whose call failed is requested again. If listing restarted from the first
    /// page instead, a long list would never be read to its end while scale-out requests
    /// use up the cloud's rate limit.
    pub fn request_page(&mut self, outbox: &mut Outbox) {
        let call = outbox.next_call();
        self.in_flight = Some(call);
        outbox.send(Effect::ListMachines { call, from: self.next_page_after.clone() });
    }

    /// Processes a page and requests the next one, if any. `list` is `None` if the
    /// call failed.
    pub fn page_received(
        &mut self,
        now: Millis,
        call: CallId,
        list: Option<&HostList>,
        cluster: &mut ClusterState,
        outbox: &mut Outbox,
        interners: &mut Interners,
    ) {
        self.in_flight.take_if(|in_flight| *in_flight == call);
        let Some(list) = list else { return };
        self.has_received_page = true;
        self.last_response_at = now;
        for host in &list.hosts {
            reconcile_host(now, host, cluster, interners);
        }
        let last = list.hosts.last().filter(|_| list.truncated);
        self.next_page_after = last.map(|host| host.id.clone());
        if self.next_page_after.is_some() {
            self.request_page(outbox);
        }
    }
}

/// Updates the cluster state with the cloud's list entry of one machine.
fn reconcile_host(now: Millis, host: &ListedHost, cluster: &mut ClusterState, interners: &mut Interners) {
    let zone = interners.zones.intern(&host.zone);
    let is_known = cluster.find_machine(&host.id).is_some();
    let index = cluster.find_or_add_machine(now, &host.id, zone);
    let machine = cluster.machine_mut(index);
    if machine.lifecycle == MachineLifecycle::Gone {
        return; // The page was read before the release was confirmed.
    }
    machine.zone = zone;
    let listed_type = interners.types.intern(&host.machine_type);
    machine.machine_type = machine.machine_type.or(Some(listed_type));
    machine.spot = host.spot;
    if let Some(addr) = &host.addr {
        machine.addr = machine.addr.or(addr.parse().ok());
    }
    if !is_known {
        machine.provisioned_at = now.saturating_sub(age_ms(host));
        tracing::info!(machine = &*machine.id, state = ?host.state, "machine discovered");
    }
    if host.state == HostState::Failed && machine.lifecycle != MachineLifecycle::Releasing {
        tracing::info!(machine = &*machine.id, "machine failed");
        machine.lifecycle = MachineLifecycle::Releasing;
        machine.release_retry_at = now;
    }
}

fn age_ms(host: &ListedHost) -> Millis {
    (host.age_s.clamp(0.0, MACHINE_AGE_MAX_S) * 1000.0) as Millis
}
