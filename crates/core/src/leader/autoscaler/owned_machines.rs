//! Which machines are owned: those that were up when the service first began.
//!
//! The set is recorded once and never changes after that.

use std::collections::BTreeSet;

/// The owned machines, by name.
#[derive(Debug, Default)]
pub(crate) struct OwnedMachines {
    names: Option<BTreeSet<String>>,
    /// Parts of the recorded set that have been read so far.
    loading: BTreeSet<String>,
}

impl OwnedMachines {
    /// Whether it is known which machines are owned.
    pub(crate) fn is_known(&self) -> bool {
        self.names.is_some()
    }

    /// Whether this machine is known to be owned.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.names.as_ref().is_some_and(|names| names.contains(name))
    }

    /// How many are owned, if that is known.
    pub(crate) fn count(&self) -> Option<usize> {
        self.names.as_ref().map(BTreeSet::len)
    }

    /// A part of the recorded set was read.
    pub(crate) fn load_part(&mut self, names: Vec<String>) {
        self.loading.extend(names);
    }

    /// All parts of the recorded set were read.
    pub(crate) fn finish_loading(&mut self) {
        self.names = Some(std::mem::take(&mut self.loading));
    }

    /// The set is determined for the first time.
    pub(super) fn determine(&mut self, names: BTreeSet<String>) {
        self.names = Some(names);
    }
}

#[cfg(test)]
mod tests;
