//! What the store reads to put a transaction together.

use crate::io::Timestamp;
use crate::leader::fleet::images::ImageNames;
use crate::leader::fleet::machines::MachineIndex;
use crate::leader::scale_out_requests::ScaleOutRequests;
use crate::model::{Id, Job};
use crate::settings::{Settings, Tuning};
use crate::store_limits::StoreLimits;
use shaleshunt_wire::Revision;
use shaleshunt_wire::cloud::Catalog;
use std::collections::BTreeMap;

/// The surroundings of a transaction.
pub(crate) struct StoreContext<'a> {
    pub now: Timestamp,
    pub settings: &'a Settings,
    pub tuning: &'a Tuning,
    /// Limits of the key-value store that are in force.
    pub limits: &'a StoreLimits,
    /// The machine types, if they are known.
    pub catalog: Option<&'a Catalog>,
    /// Users' submissions wait to be accepted.
    pub submissions_waiting: bool,
    /// Version of the epoch's key, while the epoch is the leader's.
    pub epoch_version: Revision,
}

/// What records are made from. What is taken into a transaction is marked there.
pub(crate) struct RecordSources<'a> {
    pub jobs: &'a mut BTreeMap<Id, Job>,
    pub machines: &'a mut MachineIndex,
    pub images: &'a ImageNames,
    pub scale_outs: &'a mut ScaleOutRequests,
}
