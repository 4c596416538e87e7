//! The machines, and what is to be told them.

pub(crate) mod commands;
pub(crate) mod health;
pub(crate) mod heartbeats;
pub(crate) mod machines;
pub(crate) mod reachability;

use crate::leader::fleet::machines::MachineIndex;
use crate::model::*;
use std::collections::*;

/// The machines, and what is to be told them.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) machines: MachineIndex,
    /// Machines to be told something at once; those that wait for a time; those to confirm a token.
    pub(crate) machines_to_call: BTreeSet<Id>,
    pub(crate) calls_later: BTreeSet<(u64, Id)>,
    pub(crate) unconfirmed: VecDeque<Id>,
    pub(crate) confirmations_in_flight: u32,
    /// Images by number.
    pub(crate) image_names: Vec<String>,
    pub(crate) image_numbers: HashMap<String, u32>,
    /// By zone: when last a machine in it reported, and how many do.
    pub(crate) zone_activity: BTreeMap<String, (u64, u32)>,
    /// Machines whose reports are overdue are few: it is them and not us.
    pub(crate) few_overdue: bool,
    /// Zones from which nobody reports.
    pub(crate) partitioned_zones: BTreeSet<String>,
    pub(crate) next_reachability_check: u64,
}

impl Fleet {
    pub(crate) fn new(now: u64) -> Fleet {
        Fleet {
            machines: MachineIndex::default(),
            machines_to_call: BTreeSet::new(),
            calls_later: BTreeSet::new(),
            unconfirmed: VecDeque::new(),
            confirmations_in_flight: 0,
            image_names: Vec::new(),
            image_numbers: HashMap::new(),
            zone_activity: BTreeMap::new(),
            few_overdue: false,
            partitioned_zones: BTreeSet::new(),
            next_reachability_check: now,
        }
    }
}
