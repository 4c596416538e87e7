//! The leader's machines, indexed by free CPUs.
//!
//! Scheduling passes ask for machines with free capacity many times a second. In a busy fleet few machines have any, so
//! the index makes the cost of a query grow with the number of those machines and not with the fleet.

use crate::model::{Id, Machine, Placement};
use shaleshunt_wire::Resources;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;

/// A query uses the index if at most one machine in this many qualifies. Otherwise it scans all machines, which costs
/// less per machine than a lookup by name.
const MACHINES_PER_INDEX_LOOKUP: usize = 4;

/// Machines by name. A machine's capacity and placements may change only through this type, which keeps the index by
/// free CPUs consistent.
#[derive(Debug, Default)]
pub(crate) struct MachineIndex {
    machines: BTreeMap<Id, Machine>,
    /// Machine names by free CPUs, in thousandths of a CPU.
    by_free_cores: BTreeMap<i64, BTreeSet<Id>>,
    /// Machine names by address. No two machines have the same address.
    by_endpoint: BTreeMap<String, Id>,
}

impl Deref for MachineIndex {
    type Target = BTreeMap<Id, Machine>;
    fn deref(&self) -> &Self::Target {
        &self.machines
    }
}

impl MachineIndex {
    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Machine> {
        self.machines.get_mut(id)
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Machine> {
        self.machines.values_mut()
    }

    /// Adds a machine; replaces a machine of the same name. A machine that has the same address has none any more.
    pub(crate) fn insert(&mut self, mut machine: Machine) {
        let (id, free) = (machine.id.clone(), machine.free().cores);
        let endpoint = std::mem::take(&mut machine.agent.endpoint);
        self.clear_endpoint(&id);
        if let Some(old) = self.machines.insert(id.clone(), machine) {
            self.remove_from_index(&id, old.free().cores);
        }
        self.by_free_cores.entry(free).or_default().insert(id.clone());
        if !endpoint.is_empty() {
            self.set_endpoint(&id, endpoint);
        }
    }

    /// Name of the machine that has the address.
    pub(crate) fn machine_at(&self, endpoint: &str) -> Option<&Id> {
        self.by_endpoint.get(endpoint)
    }

    /// Sets the address of a machine; a machine that has the same address has none any more.
    pub(crate) fn set_endpoint(&mut self, id: &str, endpoint: String) {
        self.clear_endpoint(id);
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.agent.endpoint.clone_from(&endpoint);
        let former = self.by_endpoint.insert(endpoint, machine.id.clone());
        if let Some(other) = former.and_then(|other| self.machines.get_mut(&other)) {
            other.agent.endpoint.clear();
        }
    }

    fn clear_endpoint(&mut self, id: &str) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let endpoint = std::mem::take(&mut machine.agent.endpoint);
        self.by_endpoint.remove(&endpoint);
    }

    pub(crate) fn remove(&mut self, id: &str) -> Option<Machine> {
        let machine = self.machines.remove(id)?;
        self.by_endpoint.remove(&machine.agent.endpoint);
        self.remove_from_index(id, machine.free().cores);
        Some(machine)
    }

    /// Adds a placement to a machine and reserves its resources. Returns the machine; `None` if it is unknown.
    pub(crate) fn add_placement(&mut self, id: &str, placement: Placement) -> Option<&Machine> {
        let need = placement.need;
        self.update_capacity(id, |machine| machine.capacity.used.add(&need, 1));
        let machine = self.machines.get_mut(id)?;
        machine.placements.push(placement);
        Some(machine)
    }

    /// Removes a placement from a machine, by its number, and frees its resources.
    pub(crate) fn remove_placement(&mut self, id: &str, placement_id: u64, now: u64) -> Option<Placement> {
        let machine = self.machines.get_mut(id)?;
        let at = machine.placements.iter().position(|placement| placement.placement_id == placement_id)?;
        let placement = machine.placements.remove(at);
        if machine.placements.is_empty() {
            machine.lifecycle.idle_since_ms = now;
        }
        self.update_capacity(id, |machine| machine.capacity.used.add(&placement.need, -1));
        Some(placement)
    }

    /// Sets the total resources of a machine, once they are known.
    pub(crate) fn set_capacity(&mut self, id: &str, resources: Resources) {
        self.update_capacity(id, |machine| machine.capacity.total = resources);
    }

    /// Sets the total resources of all machines of known type. `resources_of` returns those of a machine type.
    pub(crate) fn set_capacities(&mut self, resources_of: impl Fn(&str) -> Option<Resources>) {
        let changed: Vec<(Id, Resources)> = self
            .machines
            .values()
            .filter_map(|m| {
                resources_of(&m.machine_type)
                    .filter(|resources| *resources != m.capacity.total)
                    .map(|resources| (m.id.clone(), resources))
            })
            .collect();
        for (id, resources) in changed {
            self.set_capacity(&id, resources);
        }
    }

    fn update_capacity(&mut self, id: &str, change: impl FnOnce(&mut Machine)) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let before = machine.free().cores;
        change(machine);
        let after = machine.free().cores;
        if before != after {
            let id = machine.id.clone();
            self.remove_from_index(&id, before);
            self.by_free_cores.entry(after).or_default().insert(id);
        }
    }

    fn remove_from_index(&mut self, id: &str, free: i64) {
        if let Some(ids) = self.by_free_cores.get_mut(&free) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_free_cores.remove(&free);
            }
        }
    }

    /// Number of machines with at least this many free CPUs (in thousandths).
    pub(crate) fn count_with_free_cores(&self, cores: i64) -> usize {
        self.by_free_cores.range(cores..).map(|(_, ids)| ids.len()).sum()
    }

    /// Machines with at least this many free CPUs, in no defined order.
    pub(crate) fn with_free_cores(&self, cores: i64) -> Box<dyn Iterator<Item = &Machine> + '_> {
        if self.count_with_free_cores(cores) * MACHINES_PER_INDEX_LOOKUP <= self.machines.len() {
            Box::new(self.fullest_first(cores))
        } else {
            Box::new(self.machines.values().filter(move |m| m.free().cores >= cores))
        }
    }

    /// Machines with at least this many free CPUs, the ones with the fewest free CPUs first.
    pub(crate) fn fullest_first(&self, cores: i64) -> impl Iterator<Item = &Machine> + '_ {
        self.by_free_cores.range(cores..).flat_map(|(_, ids)| ids).filter_map(|id| self.machines.get(id))
    }

    /// Machines with at least this many free CPUs, the ones with the most free CPUs first.
    pub(crate) fn emptiest_first(&self, cores: i64) -> impl Iterator<Item = &Machine> + '_ {
        self.by_free_cores.range(cores..).rev().flat_map(|(_, ids)| ids).filter_map(|id| self.machines.get(id))
    }

    /// Whether the indexes by free CPUs and by address agree with the machines.
    pub(crate) fn is_consistent(&self) -> bool {
        let has_endpoint = |m: &&Machine| !m.agent.endpoint.is_empty();
        let is_found = |m: &Machine| self.machine_at(&m.agent.endpoint) == Some(&m.id);
        let with_endpoint = self.machines.values().filter(has_endpoint);
        let endpoints_agree =
            with_endpoint.clone().count() == self.by_endpoint.len() && with_endpoint.clone().all(is_found);
        let indexed_count: usize = self.by_free_cores.values().map(BTreeSet::len).sum();
        let is_indexed = |m: &Machine| self.by_free_cores.get(&m.free().cores).is_some_and(|ids| ids.contains(&m.id));
        endpoints_agree && indexed_count == self.machines.len() && self.machines.values().all(is_indexed)
    }
}

#[cfg(test)]
mod tests;
