//! What classes and teams have placed on machines.
//!
//! Holds at all times: the sums are those over all placements that were added and not removed.

use shaleshunt_wire::Resources;
use std::collections::BTreeMap;

/// How many tasks of a class are placed.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClassUsage {
    /// On any machine.
    pub(crate) all: i64,
    /// On owned machines.
    pub(crate) owned: i64,
}

/// Whether a machine is owned or was rented from the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ownership {
    Owned,
    Rented,
}

impl Ownership {
    /// Ownership from a machine's flag.
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
    /// A task of this class and team was placed.
    pub(crate) fn add(&mut self, class: &str, team: &str, need: &Resources, ownership: Ownership) {
        self.by_team.entry(team.to_string()).or_default().add(need, 1);
        let class = self.by_class.entry(class.to_string()).or_default();
        class.all += 1;
        class.owned += ownership.owned_count();
    }

    /// A task of this class and team left its machine.
    pub(crate) fn remove(&mut self, class: &str, team: &str, need: &Resources, ownership: Ownership) {
        if let Some(used) = self.by_team.get_mut(team) {
            used.add(need, -1);
        }
        if let Some(class) = self.by_class.get_mut(class) {
            class.all -= 1;
            class.owned -= ownership.owned_count();
        }
    }

    /// A machine with a placed task of this class turned out to be owned, or not to be.
    pub(crate) fn change_ownership(&mut self, class: &str, ownership: Ownership) {
        if let Some(class) = self.by_class.get_mut(class) {
            class.owned += match ownership {
                Ownership::Owned => 1,
                Ownership::Rented => -1,
            };
        }
    }

    /// What the team's tasks take.
    pub(crate) fn of_team(&self, team: &str) -> Resources {
        self.by_team.get(team).copied().unwrap_or_default()
    }

    /// What each team's tasks take.
    pub(crate) fn by_team(&self) -> &BTreeMap<String, Resources> {
        &self.by_team
    }

    /// How many tasks of the class are placed.
    pub(crate) fn of_class(&self, class: &str) -> ClassUsage {
        self.by_class.get(class).copied().unwrap_or_default()
    }
}
