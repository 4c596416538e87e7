//! The machines that a leader knows, and which of them have room left.
//!
//! A pass over the queue asks for machines with room many times a second. In a busy fleet few have any, so
//! machines are also kept by the CPUs that they have free: what is asked then grows with those, not with
//! the fleet.

use crate::model::{Id, Machine, Placement};
use shaleshunt_wire::Resources;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;

/// Machines are looked up one by one if at most one in so many qualifies; else all are gone through, which
/// takes less for each.
const LOOK_UP_BELOW: usize = 4;

/// The machines by name. What a machine has room for changes only through here.
#[derive(Debug, Default)]
pub(crate) struct MachineIndex {
    machines: BTreeMap<Id, Machine>,
    /// Machines by their free CPUs, in thousandths.
    by_free: BTreeMap<i64, BTreeSet<Id>>,
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

    /// Adds a machine, in place of one of the same name.
    pub(crate) fn insert(&mut self, machine: Machine) {
        let (id, free) = (machine.id.clone(), machine.free().cores);
        if let Some(old) = self.machines.insert(id.clone(), machine) {
            self.remove_free(&id, old.free().cores);
        }
        self.by_free.entry(free).or_default().insert(id);
    }

    pub(crate) fn remove(&mut self, id: &str) -> Option<Machine> {
        let machine = self.machines.remove(id)?;
        self.remove_free(id, machine.free().cores);
        Some(machine)
    }

    /// Puts a placement on a machine, which takes room there. Returns the machine, if it is known.
    pub(crate) fn add_placement(&mut self, id: &str, placement: Placement) -> Option<&Machine> {
        let need = placement.need;
        self.change(id, |machine| machine.capacity.used.add(&need, 1));
        let machine = self.machines.get_mut(id)?;
        machine.placements.push(placement);
        Some(machine)
    }

    /// Takes a placement off a machine, by its number; its room is free again.
    pub(crate) fn remove_placement(&mut self, id: &str, placement_id: u64, now: u64) -> Option<Placement> {
        let machine = self.machines.get_mut(id)?;
        let at = machine.placements.iter().position(|placement| placement.placement_id == placement_id)?;
        let placement = machine.placements.remove(at);
        if machine.placements.is_empty() {
            machine.lifecycle.idle_since_ms = now;
        }
        self.change(id, |machine| machine.capacity.used.add(&placement.need, -1));
        Some(placement)
    }

    /// All the room that a machine has became known.
    pub(crate) fn set_capacity(&mut self, id: &str, resources: Resources) {
        self.change(id, |machine| machine.capacity.total = resources);
    }

    /// The room of machines by their type became known.
    pub(crate) fn set_capacities(&mut self, room_of: impl Fn(&str) -> Option<Resources>) {
        let changed: Vec<(Id, Resources)> = self
            .machines
            .values()
            .filter_map(|m| {
                room_of(&m.machine_type)
                    .filter(|resources| *resources != m.capacity.total)
                    .map(|resources| (m.id.clone(), resources))
            })
            .collect();
        for (id, resources) in changed {
            self.set_capacity(&id, resources);
        }
    }

    fn change(&mut self, id: &str, change: impl FnOnce(&mut Machine)) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let before = machine.free().cores;
        change(machine);
        let after = machine.free().cores;
        if before != after {
            let id = machine.id.clone();
            self.remove_free(&id, before);
            self.by_free.entry(after).or_default().insert(id);
        }
    }

    fn remove_free(&mut self, id: &str, free: i64) {
        if let Some(ids) = self.by_free.get_mut(&free) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_free.remove(&free);
            }
        }
    }

    /// How many machines have so many CPUs free.
    pub(crate) fn count_with_free_cores(&self, cores: i64) -> usize {
        self.by_free.range(cores..).map(|(_, ids)| ids.len()).sum()
    }

    /// Machines that have so many CPUs free, in no order that matters.
    pub(crate) fn with_free_cores(&self, cores: i64) -> Box<dyn Iterator<Item = &Machine> + '_> {
        if self.count_with_free_cores(cores) * LOOK_UP_BELOW <= self.machines.len() {
            Box::new(self.fullest_first(cores))
        } else {
            Box::new(self.machines.values().filter(move |m| m.free().cores >= cores))
        }
    }

    /// Machines that have so many CPUs free, those with the fewest first.
    pub(crate) fn fullest_first(&self, cores: i64) -> impl Iterator<Item = &Machine> + '_ {
        self.by_free.range(cores..).flat_map(|(_, ids)| ids).filter_map(|id| self.machines.get(id))
    }

    /// Machines that have so many CPUs free, those with the most first.
    pub(crate) fn emptiest_first(&self, cores: i64) -> impl Iterator<Item = &Machine> + '_ {
        self.by_free.range(cores..).rev().flat_map(|(_, ids)| ids).filter_map(|id| self.machines.get(id))
    }

    /// Whether the order by free CPUs is that of the machines.
    pub(crate) fn is_consistent(&self) -> bool {
        let kept: usize = self.by_free.values().map(BTreeSet::len).sum();
        let found = |m: &Machine| self.by_free.get(&m.free().cores).is_some_and(|ids| ids.contains(&m.id));
        kept == self.machines.len() && self.machines.values().all(found)
    }
}

#[cfg(test)]
mod tests;
