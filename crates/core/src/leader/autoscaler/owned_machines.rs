//! The owned machines: those that were up when the service started for the first time.
//!
//! The set is recorded once and never changes after that.

use std::collections::BTreeSet;

/// Names of the owned machines.
#[derive(Debug, Default)]
pub(crate) struct OwnedMachines {
    names: Option<BTreeSet<String>>,
    /// Names from the parts of the recorded set that have been read so far.
    loading: BTreeSet<String>,
}

impl OwnedMachines {
    /// Whether the set of owned machines is known.
    pub(crate) fn is_known(&self) -> bool {
        self.names.is_some()
    }

    /// Whether the machine is known to be owned.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.names.as_ref().is_some_and(|names| names.contains(name))
    }

    /// Number of owned machines; `None` while the set is unknown.
    pub(crate) fn count(&self) -> Option<usize> {
        self.names.as_ref().map(BTreeSet::len)
    }

    /// Adds a part of the recorded set.
    pub(crate) fn load_part(&mut self, names: Vec<String>) {
        self.loading.extend(names);
    }

    /// Completes the set after all its recorded parts were read.
    pub(crate) fn finish_loading(&mut self) {
        self.names = Some(std::mem::take(&mut self.loading));
    }

    /// Sets the names for the first time.
    pub(super) fn set_names(&mut self, names: BTreeSet<String>) {
        self.names = Some(names);
    }
}

#[cfg(test)]
mod tests;
