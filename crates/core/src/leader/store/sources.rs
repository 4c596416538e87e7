//! Inputs for building a transaction.

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

/// Time, settings and limits that apply to a transaction.
pub(crate) struct StoreContext<'a> {
    pub now: Timestamp,
    pub settings: &'a Settings,
    pub tuning: &'a Tuning,
    /// Current limits of the key-value store.
    pub limits: &'a StoreLimits,
    /// The machine types. `None` until the cloud or the store has provided them.
    pub catalog: Option<&'a Catalog>,
    /// Whether users wait for writes of controllers: submissions to be accepted, or cancellations by a dependency.
    pub user_writes_waiting: bool,
    /// Version that the key of the epoch has while this leader's epoch lasts.
    pub epoch_version: Revision,
}

/// State that records are built from. Changes that are added to a transaction are marked as sent here.
pub(crate) struct RecordSources<'a> {
    pub jobs: &'a mut BTreeMap<Id, Job>,
    pub machines: &'a mut MachineIndex,
    pub images: &'a ImageNames,
    pub scale_outs: &'a mut ScaleOutRequests,
}
