//! Resources and task counts that classes and teams have placed on machines.
//!
//! Invariant: the sums cover exactly the placements that were added and not removed.

use shaleshunt_wire::Resources;
use std::collections::BTreeMap;

/// Numbers of placed tasks of a class.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClassUsage {
    /// Tasks on any machine.
    pub(crate) total: i64,
    /// Tasks on owned machines.
    pub(crate) owned: i64,
}

/// Whether a machine is owned or rented from the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ownership {
    Owned,
    Rented,
}

impl Ownership {
    /// Converts a flag for owned machines.
    pub(crate) fn from_owned(owned: bool) -> Ownership {
        if owned { Ownership::Owned } else { Ownership::Rented }
    }

    fn owned_count(self) -> i64 {
        match self {
            Ownership::Owned => 1,
            Ownership::Rented => 0,
        }
    }
}

/// Sums over all placements by class and by team.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    by_class: BTreeMap<String, ClassUsage>,
    by_team: BTreeMap<String, Resources>,
}

impl Usage {
    /// Adds a placed task of this class and team.
    pub(crate) fn add(&mut self, class: &str, team: &str, need: &Resources, ownership: Ownership) {
        self.by_team.entry(team.to_string()).or_default().add(need, 1);
        let class = self.by_class.entry(class.to_string()).or_default();
        class.total += 1;
        class.owned += ownership.owned_count();
    }

    /// Removes a placed task of this class and team.
    pub(crate) fn remove(&mut self, class: &str, team: &str, need: &Resources, ownership: Ownership) {
        if let Some(used) = self.by_team.get_mut(team) {
            used.add(need, -1);
        }
        if let Some(class) = self.by_class.get_mut(class) {
            class.total -= 1;
            class.owned -= ownership.owned_count();
        }
    }

    /// Corrects the ownership of a machine with a placed task of this class. `ownership` is the new value.
    pub(crate) fn change_ownership(&mut self, class: &str, ownership: Ownership) {
        if let Some(class) = self.by_class.get_mut(class) {
            class.owned += match ownership {
                Ownership::Owned => 1,
                Ownership::Rented => -1,
            };
        }
    }

    /// Resources that the placed tasks of the team take.
    pub(crate) fn of_team(&self, team: &str) -> Resources {
        self.by_team.get(team).copied().unwrap_or_default()
    }

    /// Resources that the placed tasks of each team take.
    pub(crate) fn by_team(&self) -> &BTreeMap<String, Resources> {
        &self.by_team
    }

    /// Numbers of placed tasks of the class.
    pub(crate) fn of_class(&self, class: &str) -> ClassUsage {
        self.by_class.get(class).copied().unwrap_or_default()
    }
}
