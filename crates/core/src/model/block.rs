//! Blocks: groups of machines that share one stored record.

use super::Id;
use shaleshunt_wire::Revision;
use std::collections::BTreeSet;

/// A block of machines, as its record has or will have it.
#[derive(Debug, Default)]
pub struct Block {
    /// Zone.
    pub zone: String,
    /// Whether its machines are owned.
    pub owned: bool,
    /// The machines.
    pub machines: BTreeSet<Id>,
    /// Version of its record, if there is one.
    pub version: Revision,
    /// When it was last written: images are noted now and then.
    pub wrote: u64,
    /// Blocks that took over some of its machines: they are stored first.
    pub after: BTreeSet<u32>,
}
