//! Machines become known by the cloud's list.

use super::Call;
use crate::{
    coordination::{
        effects::Effect,
        leader::Leader,
        model::{CallId, MachineLifecycle, Millis},
    },
    protocol::{
        cloud::{HostList, HostState, ListedHost},
        names::Tables,
    },
};

/// Greatest age of a machine that is believed, in seconds.
const AGE_MAX_S: f64 = 1e9;

impl Leader {
    /// Asks for the next page of the list.
    ///
    /// Guard: a page that failed is asked for again. Begun anew each time, a long
    /// list never came to its end while rentals used up the cloud's limit.
    pub fn list_machines(&mut self) {
        let call = self.outbox.next_call();
        self.autoscaler.calls.insert(call, Call::List);
        let from = self.autoscaler.list_from.clone();
        self.outbox.send(Effect::List { call, from });
    }

    /// How a listing ended. `None`: it failed.
    pub fn listed(&mut self, now: Millis, call: CallId, list: Option<&HostList>, tables: &mut Tables) {
        self.autoscaler.calls.remove(&call);
        let Some(list) = list else { return };
        self.autoscaler.listed_once = true;
        self.autoscaler.cloud_ok = now;
        for host in &list.hosts {
            self.apply_listed_host(now, host, tables);
        }
        let last = list.hosts.last().filter(|_| list.truncated);
        self.autoscaler.list_from = last.map(|host| host.id.clone());
        if self.autoscaler.list_from.is_some() {
            self.list_machines();
        }
    }

    fn apply_listed_host(&mut self, now: Millis, host: &ListedHost, tables: &mut Tables) {
        let zone = tables.zones.intern(&host.zone);
        let is_known = self.cluster.machines.find(&host.id).is_some();
        let index = self.cluster.machine_named(now, &host.id, zone);
        let machine = &mut self.cluster.machines[index.at()];
        if machine.lifecycle == MachineLifecycle::Gone {
            return; // lists lag
        }
        machine.zone = zone;
        let listed_type = tables.types.intern(&host.machine_type);
        machine.machine_type = machine.machine_type.or(Some(listed_type));
        machine.spot = host.spot;
        if let Some(addr) = &host.addr {
            machine.addr = machine.addr.or(addr.parse().ok());
        }
        if !is_known {
            let age_ms = (host.age_s.clamp(0.0, AGE_MAX_S) * 1000.0) as Millis;
            machine.rented_at = now.saturating_sub(age_ms);
            tracing::info!(machine = &*machine.id, state = ?host.state, "adopted from the list");
        }
        if host.state == HostState::Failed && machine.lifecycle != MachineLifecycle::Returning {
            tracing::info!(machine = &*machine.id, "failed");
            machine.lifecycle = MachineLifecycle::Returning;
            machine.return_after = now;
        }
    }
}
